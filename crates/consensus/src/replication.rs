//! The leader's side of replication: proposals, appends, heartbeats and commits.

use displaydoc::Display;
use ruddervalve_mutation::{Mutation, is_active};
use ruddervalve_protocol::{Blob, ReplicaId};

use crate::entry::{Entry, Payload};
use crate::leadership::Leadership;
use crate::log::Log;
use crate::message::{Append, AppendReply, Body, EntryList, Heartbeat, HeartbeatReply, Hint, Message, Stamp};
use crate::output::Output;
use crate::progress::{Need, Progress};
use crate::replica::{Replica, Role};
use crate::timing::Timing;

/// Why a command was not taken.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum ProposeError {
    /// this replica does not lead: propose to the leader, {leader:?}, or ask again if there is none
    NotLeader {
        /// The leader, as far as it is known.
        leader: Option<ReplicaId>,
    },
    /// this replica is handing its leadership over: propose again once there is a new leader
    Transferring,
}

impl std::error::Error for ProposeError {}

impl Replica {
    /// Appends a command to the log of the group; its index. It is done once it comes in [`crate::Ready::committed`] with
    /// the term that it was proposed in; under another term it was replaced.
    ///
    /// # Errors
    /// If this replica does not lead, or hands its leadership over. The command will then never be applied.
    pub fn propose(&mut self, now: u64, command: Blob) -> Result<u64, ProposeError> {
        self.advance(now);
        let Some(leadership) = &self.leadership else {
            return Err(ProposeError::NotLeader { leader: self.leader });
        };
        if leadership.transfer.is_some() || !leadership.own_voter() {
            return Err(ProposeError::Transferring);
        }
        Ok(self.append_own(Payload::Command(command)))
    }

    /// The connection to a peer was lost: what was sent last may not have come.
    pub fn peer_unreachable(&mut self, now: u64, peer: ReplicaId) {
        self.advance(now);
        let now = self.now;
        if let Some(peer) = self.leadership.as_mut().and_then(|leadership| leadership.peer_mut(peer)) {
            peer.disconnected(now);
        }
    }

    /// Up to here the log of a peer agrees with this leader's and is on its disk; `None` if this replica does not lead or
    /// has no such peer.
    pub fn match_index(&self, peer: ReplicaId) -> Option<u64> {
        Some(self.leadership.as_ref()?.peer(peer)?.matched)
    }

    /// Whether a peer of this leader is active and has all that was committed until shortly before.
    pub fn is_caught_up(&self, peer: ReplicaId) -> bool {
        let Some(leadership) = &self.leadership else { return false };
        let Some(progress) = leadership.peer(peer) else { return false };
        let has_committed = leadership.has_what_was_committed(progress);
        self.recently_active(peer, self.now) && (has_committed || is_active(Mutation::VoteBeforeCaughtUp))
    }

    /// How long a peer of this leader has said nothing; ms. Counted from the begin of the leadership at the earliest; none
    /// if this replica does not lead or has no such peer.
    pub fn silent_for(&self, peer: ReplicaId, now: u64) -> Option<u64> {
        let leadership = self.leadership.as_ref()?;
        let heard_at = leadership.peer(peer)?.heard_at.unwrap_or(leadership.since());
        Some(now.saturating_sub(heard_at))
    }

    /// Whether a peer of this leader said anything in the last `election_min_ms`.
    pub fn recently_active(&self, peer: ReplicaId, now: u64) -> bool {
        let progress = self.leadership.as_ref().and_then(|leadership| leadership.peer(peer));
        progress.is_some_and(|progress| !progress.is_silent(now, &self.timing))
    }

    pub(crate) fn become_leader(&mut self) {
        let first_index = self.log.last_index().saturating_add(1);
        let leadership = Leadership::new(self.id, self.memberships.latest(), first_index, self.now);
        self.set_role(Role::Leader, Some(self.id));
        self.leadership = Some(leadership);
        self.append_own(Payload::Empty);
    }

    pub(crate) fn append_own(&mut self, payload: Payload) -> u64 {
        let index = self.log.last_index().saturating_add(1);
        self.append(Entry { term: self.hard_state.term, index, payload });
        index
    }

    /// What is due for a leader.
    pub(crate) fn lead(&mut self) {
        if self.check_quorum() || self.check_transfer() {
            return;
        }
        self.send_heartbeats();
        self.retry_snapshots();
        let Some(leadership) = &mut self.leadership else { return };
        leadership.mark_commit(self.commit, self.now, &self.timing);
    }

    /// Sends each follower what it has not been sent, as far as its pipeline allows.
    pub(crate) fn replicate(&mut self) {
        let Some(leadership) = &mut self.leadership else { return };
        let last_index = self.log.last_index();
        for peer in &mut leadership.peers {
            if peer.next_index > last_index {
                continue;
            }
            if peer.next_index <= self.log.base_index() {
                want_snapshot(peer, &mut self.output, self.now, &self.timing);
                continue;
            }
            while peer.next_index <= last_index && peer.may_append(self.timing.max_inflight) {
                let stamp = peer.stamp(self.now);
                let max_bytes = self.timing.max_entries_bytes;
                let next = next_append(peer, &self.log, self.commit, stamp, max_bytes);
                let Some((append, last_sent)) = next else { break };
                peer.appended(last_sent, self.now);
                let message = Message { term: self.hard_state.term, body: Body::Append(append) };
                self.output.messages.push((peer.id, message));
            }
        }
    }

    pub(crate) fn on_append_reply(&mut self, from: ReplicaId, reply: AppendReply) {
        self.on_answer(from, reply.stamp, reply.matched, reply.rejection);
    }

    pub(crate) fn on_heartbeat_reply(&mut self, from: ReplicaId, reply: HeartbeatReply) {
        self.on_answer(from, reply.stamp, reply.matched, reply.rejection);
    }

    /// Whether `from` is a follower of this leader, answering in its term. A newer term ends the leadership.
    pub(crate) fn accept_answer(&mut self, from: ReplicaId, term: u64) -> bool {
        let now = self.now;
        let Some(peer) = self.leadership.as_mut().and_then(|leadership| leadership.peer_mut(from)) else {
            return false;
        };
        if term > self.hard_state.term {
            self.become_follower(term, None);
            return false;
        }
        if term < self.hard_state.term {
            return false;
        }
        peer.heard_at = Some(now);
        peer.unreachable = false;
        true
    }

    /// Commits what a quorum has on disk, if it is of this term.
    pub(crate) fn advance_commit(&mut self) {
        let durable = self.writes.durable_index();
        let Some(leadership) = &self.leadership else { return };
        let Some(reached) = leadership.quorum_value(durable, |peer| peer.matched) else { return };
        let own_term = self.log.term(reached) == Some(self.hard_state.term);
        if reached <= self.commit || !(own_term || is_active(Mutation::EarlierTermCommitted)) {
            return;
        }
        self.commit = reached;
        self.leave_if_removed();
    }

    fn on_answer(&mut self, from: ReplicaId, stamp: Stamp, matched: u64, rejection: Option<Hint>) {
        let last_index = self.log.last_index();
        let Some(leadership) = &mut self.leadership else { return };
        let Some(peer) = leadership.peer_mut(from) else { return };
        peer.answered(stamp, self.now);
        let news = peer.acknowledged(matched.min(last_index));
        finish_snapshot(peer);
        if peer.is_current(stamp) {
            match rejection {
                Some(hint) if matches!(peer.need, Need::Log) => {
                    peer.lost_log_after(hint.index);
                    let agreed = self.log.last_index_up_to(hint.index, hint.term);
                    peer.rewind(agreed.saturating_add(1).min(last_index.saturating_add(1)));
                }
                Some(_) => {}
                None => peer.probing = false,
            }
        }
        leadership.refresh_quorum_answered();
        if news {
            self.advance_commit();
            self.hand_over_if_caught_up();
        }
        self.send_chunks(from);
    }

    fn send_heartbeats(&mut self) {
        let Some(leadership) = &self.leadership else { return };
        for place in 0..leadership.peers.len() {
            self.send_heartbeat_if_due(place);
        }
    }

    fn send_heartbeat_if_due(&mut self, place: usize) {
        let peer = self.leadership.as_ref().and_then(|leadership| leadership.peers.get(place));
        if peer.is_some_and(|peer| self.now >= peer.heartbeat_due(self.timing.heartbeat_ms)) {
            self.send_heartbeat(place);
        }
    }

    /// Sends a heartbeat to the follower at this place among the leader's peers.
    pub(crate) fn send_heartbeat(&mut self, place: usize) {
        let Some(leadership) = &mut self.leadership else { return };
        let Some(peer) = leadership.peers.get_mut(place) else { return };
        let sent_index = match peer.need {
            Need::Log => peer.next_index.saturating_sub(1),
            Need::Wanted { .. } | Need::Sending(_) => peer.matched,
        };
        // 0 stands for the begin of the log, on which all agree.
        let check_index = if self.log.term(sent_index).is_some() { sent_index } else { 0 };
        let heartbeat = Heartbeat {
            stamp: peer.stamp(self.now),
            check_index,
            check_term: self.log.term(check_index).unwrap_or(0),
            commit: self.commit,
        };
        peer.heartbeat_sent(self.now);
        let message = Message { term: self.hard_state.term, body: Body::Heartbeat(heartbeat) };
        self.output.messages.push((peer.id, message));
    }
}

/// The entries to send next, and the last one's index.
fn next_append(
    peer: &Progress,
    log: &Log,
    commit: u64,
    stamp: Stamp,
    max_bytes: usize,
) -> Option<(Append, u64)> {
    let previous_index = peer.next_index.saturating_sub(1);
    let previous_term = log.term(previous_index)?;
    let entries = log.batch(peer.next_index, max_bytes);
    let last_sent = entries.last()?.index;
    let entries = EntryList(entries);
    Some((Append { stamp, previous_index, previous_term, commit, entries }, last_sent))
}

/// The log no longer holds what a follower needs next, whatever of the sent it still acknowledges.
fn want_snapshot(peer: &mut Progress, output: &mut Output, now: u64, timing: &Timing) {
    if !matches!(peer.need, Need::Log) || peer.unreachable {
        return;
    }
    if peer.is_silent(now, timing) {
        peer.unreachable = true;
        return;
    }
    peer.need = Need::Wanted { since: now };
    output.snapshots_wanted.push(peer.id);
}

/// A follower that has what the snapshot on its way holds needs it no more.
fn finish_snapshot(peer: &mut Progress) {
    let Need::Sending(sending) = &peer.need else { return };
    if peer.matched >= sending.snapshot.index {
        peer.need = Need::Log;
        peer.rewind(peer.matched.saturating_add(1));
    }
}
