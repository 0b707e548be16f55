//! Handing leadership over.
//!
//! A leader that has told another to take over cannot know when that word arrives, or the votes that it leads to, so it
//! holds no lease for the rest of its term. If nobody takes over in time it asks for votes itself, in the next term, in
//! which the word counts no more, and leads on with a lease.

use ruddervalve_protocol::ReplicaId;

use crate::message::Body;
use crate::replica::{Replica, Role};

/// A transfer of leadership under way.
#[derive(Debug)]
pub(crate) struct Transfer {
    to: ReplicaId,
    /// When to lead on instead; ms.
    pub(crate) give_up_at: u64,
    /// `to` was told to take over.
    pub(crate) told: bool,
}

impl Replica {
    /// Begins to hand leadership over: to a voter, or to the one that has most of the log. No proposals are taken until
    /// it took over; if it does not within `election_max_ms`, this replica leads on, under a new term if the other had
    /// already been told to take over. Whether it began: not if this replica does not lead, is handing over already, or
    /// there is no such voter that was active of late.
    pub fn transfer_leadership(&mut self, now: u64, to: Option<ReplicaId>) -> bool {
        self.advance(now);
        let Some(to) = self.successor(to) else { return false };
        let give_up_at = self.now.saturating_add(self.timing.election_max_ms);
        let Some(leadership) = &mut self.leadership else { return false };
        if leadership.transfer.is_some() || !leadership.own_voter() {
            return false;
        }
        leadership.transfer = Some(Transfer { to, give_up_at, told: false });
        self.hand_over_if_caught_up();
        true
    }

    /// Tells the successor to take over once it has the whole log.
    pub(crate) fn hand_over_if_caught_up(&mut self) {
        let last_index = self.log.last_index();
        let Some(leadership) = &mut self.leadership else { return };
        let Some(transfer) = &leadership.transfer else { return };
        let to = transfer.to;
        let caught_up = leadership.peer(to).is_some_and(|peer| peer.matched >= last_index);
        let Some(transfer) = &mut leadership.transfer else { return };
        if caught_up && !transfer.told {
            transfer.told = true;
            self.send(to, Body::TimeoutNow);
        }
    }

    /// Ends a transfer that takes too long; whether that ended this term's leadership.
    pub(crate) fn check_transfer(&mut self) -> bool {
        let Some(leadership) = &mut self.leadership else { return false };
        let Some(transfer) = &leadership.transfer else { return false };
        if self.now < transfer.give_up_at {
            return false;
        }
        let told = transfer.told;
        leadership.transfer = None;
        if told {
            self.start_campaign(true);
        }
        told
    }

    /// Leaves the leadership once the leader's own removal is committed.
    pub(crate) fn leave_if_removed(&mut self) {
        let removed = !self.memberships.latest().is_voter(self.id);
        if !removed || !self.membership_committed() {
            return;
        }
        if let Some(successor) = self.successor(None) {
            self.send(successor, Body::TimeoutNow);
        }
        self.become_follower(self.hard_state.term, None);
    }

    pub(crate) fn on_timeout_now(&mut self, from: ReplicaId, term: u64) {
        let from_leader = term == self.hard_state.term && self.leader == Some(from);
        if from_leader && self.role() == Role::Follower && self.is_promotable() {
            self.start_campaign(true);
        }
    }

    /// The voter asked for, or the one with most of the log; it must have been active of late.
    fn successor(&self, asked: Option<ReplicaId>) -> Option<ReplicaId> {
        let peers = &self.leadership.as_ref()?.peers;
        let able =
            |id: ReplicaId| asked.is_none_or(|asked| asked == id) && self.recently_active(id, self.now);
        let voters = peers.iter().filter(|peer| peer.voter && able(peer.id));
        voters.max_by_key(|peer| peer.matched).map(|peer| peer.id)
    }
}
