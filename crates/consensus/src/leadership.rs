//! What only a leader knows.

use ruddervalve_protocol::ReplicaId;

use crate::membership::Membership;
use crate::progress::{Need, Progress};
use crate::timing::Timing;
use crate::transfer::Transfer;

/// The state of a leader in its term.
#[derive(Debug)]
pub(crate) struct Leadership {
    own_id: ReplicaId,
    /// Whether the leader itself votes; not while its removal is not committed.
    own_voter: bool,
    /// Whether it has appended a membership without itself in its term.
    was_removed: bool,
    /// All other members.
    pub(crate) peers: Vec<Progress>,
    /// The first entry of its term.
    pub(crate) first_index: u64,
    pub(crate) transfer: Option<Transfer>,
    since: u64,
    /// The newest time up to which a quorum answered what was sent; ms. `u64::MAX` if the leader alone is a quorum.
    quorum_answered: Option<u64>,
    /// The newest round of reads; counted from 1 in each term.
    read_round: u64,
    /// Nothing that carries the newest round has been handed out.
    read_round_unsent: bool,
    marks: CommitMarks,
}

/// The commit index as it was a while ago: who has less lags.
#[derive(Debug)]
struct CommitMarks {
    older: u64,
    newer: u64,
    newer_at: u64,
}

impl Leadership {
    pub(crate) fn new(own_id: ReplicaId, membership: &Membership, first_index: u64, now: u64) -> Self {
        let mut leadership = Self {
            own_id,
            own_voter: false,
            was_removed: false,
            peers: Vec::new(),
            first_index,
            transfer: None,
            since: now,
            quorum_answered: None,
            read_round: 0,
            read_round_unsent: false,
            marks: CommitMarks { older: first_index, newer: first_index, newer_at: now },
        };
        leadership.apply_membership(membership, first_index, now);
        leadership
    }

    /// Takes up a membership; new followers begin at `next_index`.
    pub(crate) fn apply_membership(&mut self, membership: &Membership, next_index: u64, now: u64) {
        self.own_voter = membership.is_voter(self.own_id);
        self.was_removed |= !membership.contains(self.own_id);
        self.peers.retain(|peer| membership.contains(peer.id));
        for id in membership.members().filter(|id| *id != self.own_id) {
            let voter = membership.is_voter(id);
            match self.peers.iter_mut().find(|peer| peer.id == id) {
                Some(peer) => peer.voter = voter,
                None => {
                    let mut peer = Progress::new(id, voter, next_index, now);
                    peer.round = self.read_round;
                    self.peers.push(peer);
                }
            }
        }
        self.refresh_quorum_answered();
    }

    /// When it began; ms.
    pub(crate) fn since(&self) -> u64 {
        self.since
    }

    pub(crate) fn was_removed(&self) -> bool {
        self.was_removed
    }

    pub(crate) fn own_voter(&self) -> bool {
        self.own_voter
    }

    pub(crate) fn peer(&self, id: ReplicaId) -> Option<&Progress> {
        self.peers.iter().find(|peer| peer.id == id)
    }

    pub(crate) fn peer_mut(&mut self, id: ReplicaId) -> Option<&mut Progress> {
        self.peers.iter_mut().find(|peer| peer.id == id)
    }

    /// The highest value that a quorum of voters reaches; `own` is the leader's.
    pub(crate) fn quorum_value<T: Ord + Copy>(&self, own: T, value: impl Fn(&Progress) -> T) -> Option<T> {
        let own = self.own_voter.then_some(own);
        let values = || self.peers.iter().filter(|peer| peer.voter).map(&value).chain(own);
        let quorum = values().count() / 2 + 1;
        values().filter(|reached| values().filter(|other| other >= reached).count() >= quorum).max()
    }

    /// To be called after each answer.
    pub(crate) fn refresh_quorum_answered(&mut self) {
        self.quorum_answered = self.quorum_value(Some(u64::MAX), |peer| peer.answered_sent).flatten();
    }

    /// The time up to which a quorum has answered what was sent, at most `now`; ms.
    pub(crate) fn quorum_answered_sent(&self, now: u64) -> Option<u64> {
        self.quorum_answered.map(|answered| answered.min(now))
    }

    /// The round for a read that is asked for now: one of which nothing has been sent yet.
    pub(crate) fn begin_read_round(&mut self) -> u64 {
        if !self.read_round_unsent {
            self.read_round = self.read_round.saturating_add(1);
            self.read_round_unsent = true;
            for peer in &mut self.peers {
                peer.round = self.read_round;
            }
        }
        self.read_round
    }

    /// Whether followers have still to be asked for the newest round; from now on they have been.
    pub(crate) fn take_unsent_round(&mut self) -> bool {
        std::mem::take(&mut self.read_round_unsent)
    }

    /// The newest round that a quorum has answered.
    pub(crate) fn quorum_answered_round(&self) -> Option<u64> {
        self.quorum_value(self.read_round, |peer| peer.answered_round)
    }

    /// When the leader has to step down if no quorum answers anew; ms.
    pub(crate) fn quorum_deadline(&self, timing: &Timing) -> u64 {
        let answered = self.quorum_answered.unwrap_or(0).max(self.since);
        answered.saturating_add(timing.election_max_ms)
    }

    /// Whether another was told to take over.
    pub(crate) fn lease_given_up(&self) -> bool {
        self.transfer.as_ref().is_some_and(|transfer| transfer.told)
    }

    pub(crate) fn next_wake(&self, timing: &Timing) -> u64 {
        let mut wake = self.quorum_deadline(timing);
        if let Some(transfer) = &self.transfer {
            wake = wake.min(transfer.give_up_at);
        }
        for peer in &self.peers {
            wake = wake.min(peer.heartbeat_due(timing.heartbeat_ms));
            wake = wake.min(snapshot_due(peer, timing).unwrap_or(u64::MAX));
        }
        wake
    }

    /// Notes the commit index from time to time.
    pub(crate) fn mark_commit(&mut self, commit: u64, now: u64, timing: &Timing) {
        if now >= self.marks.newer_at.saturating_add(timing.election_min_ms) {
            self.marks = CommitMarks { older: self.marks.newer, newer: commit, newer_at: now };
        }
    }

    /// Whether a follower has all that was committed one to two `election_min_ms` ago.
    pub(crate) fn has_what_was_committed(&self, peer: &Progress) -> bool {
        matches!(peer.need, Need::Log) && peer.matched >= self.marks.older
    }
}

/// When a snapshot has to be asked for, or sent, again; ms.
pub(crate) fn snapshot_due(peer: &Progress, timing: &Timing) -> Option<u64> {
    match &peer.need {
        Need::Log => None,
        Need::Wanted { since } => Some(since.saturating_add(timing.election_max_ms)),
        Need::Sending(sending) => Some(sending.progressed_at.saturating_add(timing.election_min_ms)),
    }
}
