//! The leader's lease, the refusal of votes that it rests on, and stepping down without a quorum's answers.
//!
//! A follower refuses votes for `election_min_ms` after it heard from a leader, in whatever term they are asked for. So
//! once a quorum has answered what the leader sent at a time, nobody else is elected for `election_min_ms` from that time
//! on, and the leader may trust in that for the shorter `lease_ms`. Only votes of a transfer are not refused, and a leader
//! that has asked another to take over holds no lease for the rest of its term, nor does one that has appended a membership
//! without itself: see the `restart` module.

use ruddervalve_mutation::{Mutation, is_active};
use ruddervalve_protocol::ReplicaId;

use crate::replica::{Replica, Role};

impl Replica {
    /// Whether this replica leads and nobody else can, until `now` and a little longer: it may answer from its own state.
    pub fn lease_valid(&self, now: u64) -> bool {
        let Some(leadership) = &self.leadership else { return false };
        let given_up = leadership.lease_given_up() && !is_active(Mutation::LeaseKeptInTransfer);
        let own_term = self.commit >= leadership.first_index || is_active(Mutation::LeaseBeforeOwnTerm);
        if given_up || !own_term || leadership.was_removed() {
            return false;
        }
        let Some(answered) = leadership.quorum_answered_sent(now) else { return false };
        let too_long = is_active(Mutation::LeaseOutlastsRefusal);
        let lease_ms = if too_long { 2 * self.timing.election_max_ms } else { self.timing.lease_ms };
        now < answered.saturating_add(lease_ms)
    }

    /// The leader, if this replica leads or has heard from it within the longest election timeout: later somebody else
    /// leads, or nobody. A replica without a vote never campaigns, so that only this tells it that a leader is lost.
    pub fn recent_leader(&self, now: u64) -> Option<ReplicaId> {
        let heard_until = self.heard_leader_at.map_or(0, |at| at.saturating_add(self.timing.election_max_ms));
        let is_recent = self.role() == Role::Leader || now < heard_until;
        self.leader().filter(|_| is_recent)
    }

    /// Whether a leader may count on this replica's refusal of votes.
    pub(crate) fn refuses_votes(&self) -> bool {
        if is_active(Mutation::VoteDespiteLeader) {
            return false;
        }
        self.promised_since_start() || self.now < self.no_votes_before
    }

    /// Whether a leader may count on what this replica has heard since its start.
    pub(crate) fn promised_since_start(&self) -> bool {
        let heard_until = self.heard_leader_at.map_or(0, |at| at.saturating_add(self.timing.election_min_ms));
        self.role() == Role::Leader || self.now < heard_until
    }

    /// Steps down if a quorum has been silent for too long; whether it did.
    pub(crate) fn check_quorum(&mut self) -> bool {
        let Some(leadership) = &self.leadership else { return false };
        if self.now < leadership.quorum_deadline(&self.timing) {
            return false;
        }
        self.become_follower(self.hard_state.term, None);
        true
    }
}
