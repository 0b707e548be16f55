//! What a leader knows of a follower, and what it has sent to it.

use std::collections::VecDeque;

use ruddervalve_protocol::ReplicaId;

use crate::entry::Snapshot;
use crate::message::Stamp;
use crate::snapshot_window::SnapshotWindow;
use crate::timing::Timing;

/// A snapshot on its way to a follower that says nothing is kept for so many of the longest election timeouts, and with it
/// the entries that follow it: a process that freezes, or a link that is cut, for less goes on where it was.
const KEPT_ELECTIONS: u64 = 10;

/// A snapshot on its way to a follower.
#[derive(Debug)]
pub(crate) struct Sending {
    pub(crate) snapshot: Snapshot,
    /// Bytes that the follower has.
    pub(crate) acknowledged: u64,
    /// When the newest part was sent whose answer told of these bytes; ms.
    acknowledged_sent: u64,
    /// Where the next part begins; bytes.
    pub(crate) next_offset: u64,
    /// The last part, which may be empty, has been sent since the last rewind.
    pub(crate) end_sent: bool,
    /// When the follower last had more than before, or the leader began anew; ms.
    pub(crate) progressed_at: u64,
    /// How much may be unanswered.
    pub(crate) window: SnapshotWindow,
}

/// Whether a follower needs a snapshot.
#[derive(Debug)]
pub(crate) enum Need {
    /// The log serves it.
    Log,
    /// The host was asked for a snapshot at this time; ms.
    Wanted { since: u64 },
    /// One is on its way.
    Sending(Sending),
}

/// A leader's view of a follower.
#[derive(Debug)]
pub(crate) struct Progress {
    pub(crate) id: ReplicaId,
    pub(crate) voter: bool,
    /// Up to here its log agrees with the leader's and is on its disk.
    pub(crate) matched: u64,
    /// The entry to send next.
    pub(crate) next_index: u64,
    /// The entry that was sent first since the leader last began anew.
    first_sent: u64,
    pub(crate) need: Need,
    /// Bytes of the newest snapshot that this leader sent to it; 0 for none.
    pub(crate) snapshot_bytes: u64,
    /// Where its log agrees is not known: one append at a time.
    pub(crate) probing: bool,
    /// Its connection was lost, or it is silent and needs a snapshot: only heartbeats, until it answers.
    pub(crate) unreachable: bool,
    /// When the leader sent the newest of what the follower has answered; ms.
    pub(crate) answered_sent: Option<u64>,
    /// The newest round of reads that the leader has begun, and that what it sends carries.
    pub(crate) round: u64,
    /// The newest round of reads that the follower has answered.
    pub(crate) answered_round: u64,
    /// When the follower last said anything; ms.
    pub(crate) heard_at: Option<u64>,
    stream: u32,
    /// The last index of each unanswered append.
    inflight: VecDeque<u64>,
    sent_at: u64,
    heartbeat_at: u64,
}

impl Progress {
    /// A follower to which nothing was sent; `now` counts as the time of the last heartbeat.
    pub(crate) fn new(id: ReplicaId, voter: bool, next_index: u64, now: u64) -> Self {
        Self {
            id,
            voter,
            matched: 0,
            next_index,
            first_sent: next_index,
            need: Need::Log,
            snapshot_bytes: 0,
            probing: true,
            unreachable: false,
            answered_sent: None,
            round: 0,
            answered_round: 0,
            heard_at: None,
            stream: 0,
            inflight: VecDeque::new(),
            sent_at: now,
            heartbeat_at: now,
        }
    }

    pub(crate) fn stamp(&self, now: u64) -> Stamp {
        Stamp { sent: now, stream: self.stream, round: self.round }
    }

    pub(crate) fn is_current(&self, stamp: Stamp) -> bool {
        stamp.stream == self.stream
    }

    /// Whether an append may go out.
    pub(crate) fn may_append(&self, max_inflight: usize) -> bool {
        let limit = if self.probing { 1 } else { max_inflight };
        !self.unreachable && matches!(self.need, Need::Log) && self.inflight.len() < limit
    }

    pub(crate) fn appended(&mut self, last_index: u64, now: u64) {
        self.inflight.push_back(last_index);
        self.next_index = last_index.saturating_add(1);
        self.sent_at = now;
    }

    pub(crate) fn heartbeat_sent(&mut self, now: u64) {
        self.sent_at = now;
        self.heartbeat_at = now;
    }

    pub(crate) fn chunk_sent(&mut self, now: u64) {
        self.sent_at = now;
    }

    /// When a heartbeat is due: nothing was sent for that long, or what was sent is answered late (as a follower answers
    /// an append only when its disk has it, but a heartbeat at once).
    pub(crate) fn heartbeat_due(&self, heartbeat_ms: u64) -> u64 {
        let silent = self.sent_at.saturating_add(heartbeat_ms);
        let unanswered = self.heartbeat_at.max(self.answered_sent.unwrap_or(0)).saturating_add(heartbeat_ms);
        silent.min(unanswered)
    }

    /// Whether it has said nothing for the shortest time after which followers campaign.
    pub(crate) fn is_silent(&self, now: u64, timing: &Timing) -> bool {
        self.heard_at.is_none_or(|at| now >= at.saturating_add(timing.election_min_ms))
    }

    /// Whether a snapshot on its way to it is given up: it has said nothing for long.
    pub(crate) fn is_given_up(&self, now: u64, timing: &Timing) -> bool {
        let kept_ms = timing.election_max_ms.saturating_mul(KEPT_ELECTIONS);
        self.heard_at.is_none_or(|at| now >= at.saturating_add(kept_ms))
    }

    /// Notes an answer.
    pub(crate) fn answered(&mut self, stamp: Stamp, now: u64) {
        let sent = stamp.sent.min(now);
        self.answered_sent = Some(self.answered_sent.map_or(sent, |newest| newest.max(sent)));
        self.answered_round = self.answered_round.max(stamp.round.min(self.round));
    }

    /// Notes how far its log agrees; whether that is news.
    pub(crate) fn acknowledged(&mut self, matched: u64) -> bool {
        while self.inflight.front().is_some_and(|last_index| *last_index <= matched) {
            self.inflight.pop_front();
        }
        if matched <= self.matched {
            return false;
        }
        self.matched = matched;
        self.next_index = self.next_index.max(matched.saturating_add(1));
        true
    }

    /// Begins anew from `next_index`: what was sent before is taken as lost.
    pub(crate) fn rewind(&mut self, next_index: u64) {
        self.next_index = next_index.max(self.matched.saturating_add(1));
        self.first_sent = self.next_index;
        self.inflight.clear();
        self.probing = true;
        self.stream = self.stream.wrapping_add(1);
    }

    /// It has less than it acknowledged: a learner that has left the group and joined it again.
    pub(crate) fn lost_log_after(&mut self, index: u64) {
        if !self.voter {
            self.matched = self.matched.min(index);
        }
    }

    /// The connection is lost, and with it perhaps what was sent last. While it is not known where the logs agree, the same
    /// is asked again: that nothing is known to agree doesn't mean that the follower has nothing.
    pub(crate) fn disconnected(&mut self, now: u64) {
        self.unreachable = true;
        self.rewind(if self.probing { self.first_sent } else { self.matched.saturating_add(1) });
        if let Need::Sending(sending) = &mut self.need {
            sending.rewind(now);
        }
    }
}

impl Sending {
    pub(crate) fn new(snapshot: Snapshot, now: u64, timing: &Timing) -> Self {
        Self {
            snapshot,
            acknowledged: 0,
            acknowledged_sent: 0,
            next_offset: 0,
            end_sent: false,
            progressed_at: now,
            window: SnapshotWindow::new(timing),
        }
    }

    pub(crate) fn total(&self) -> u64 {
        self.snapshot.data.len() as u64
    }

    /// The follower had so many bytes when it answered what was sent at `sent`. Whether it has lost some that it had:
    /// answers that came late or twice don't tell so.
    pub(crate) fn answered(&mut self, received: u64, sent: u64, now: u64) -> bool {
        if received < self.acknowledged {
            let is_newer = sent > self.acknowledged_sent;
            if is_newer {
                self.acknowledged = received;
            }
            return is_newer;
        }
        self.acknowledged_sent = self.acknowledged_sent.max(sent);
        let more = received.saturating_sub(self.acknowledged);
        if more > 0 {
            self.window.answered(more, sent, now);
            self.acknowledged = received;
            self.next_offset = self.next_offset.max(received);
            self.progressed_at = now;
        }
        false
    }

    /// Sends again all that is not acknowledged.
    pub(crate) fn rewind(&mut self, now: u64) {
        self.next_offset = self.acknowledged;
        self.end_sent = false;
        self.progressed_at = now;
        self.window.lost(now);
    }
}
