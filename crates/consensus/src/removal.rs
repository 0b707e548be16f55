//! Learning of one's own removal, and leaving the group.
//!
//! A member that is removed gets no entry of it: the leader stops sending as soon as the removal is in force. So a replica
//! that no leader speaks to asks (by its pre-votes, or [`Replica::inquire`]), and a leader with a valid lease whose
//! membership is committed and does not contain it answers with [`Body::NotMember`]; another member passes the question on
//! to its leader.
//!
//! The answer names an entry that is committed, and is taken only by a replica that no leader has spoken to for
//! `election_min_ms` and whose own membership does not begin after that entry. Then the removal is certain: the entry that
//! began its membership is either committed and at or before the one named, so that the leader's answer is newer, or it is
//! in a place that is committed with another entry, or (its term being lower than that of a committed entry before it) can
//! never be committed.
//!
//! The host then drops the replica but keeps its [`ElectionRecord`] on disk. If the replica joins again it begins with an
//! empty log, but with that hard state, so it never votes twice in a term, and it grants votes only to candidates whose log
//! reaches as far as its own and as the record's `floor`. So whoever is elected with its vote still has each entry `e` that
//! was committed by counting its old log. That log held `e` and ended at the floor, and the candidate's log ends no earlier:
//! - If it ends in the floor's term, it ends at or after the floor's index, and that term's leader made both ends. Logs that
//!   share an entry are the same up to it, so the candidate's holds all of the old log, `e` included.
//! - If it ends in a later term, that term's leader was elected after `e` was committed, held `e` by induction over the
//!   terms, and the candidate's log is the same as that leader's up to its own last entry.
//!
//! This is Raft's own argument with the floor in place of the old log, and needs no certainty that the replica was removed.
//! It goes for the replica's own vote too: it does not campaign before its log reaches the floor again.

use ruddervalve_protocol::ReplicaId;

use crate::entry::{ElectionRecord, LogPosition};
use crate::message::{Body, Inquiry, NotMember};
use crate::replica::{Replica, Role};

impl Replica {
    /// Whether it was told that it belongs to the group no more: its host is to keep [`Replica::election_record`] and drop
    /// it. It does not campaign.
    pub fn is_removed(&self) -> bool {
        self.removed
    }

    /// The end of the log that it had when it left the group; the default if it never did.
    pub fn floor(&self) -> LogPosition {
        self.floor
    }

    /// What has to be kept when this replica leaves the group.
    pub fn election_record(&self) -> ElectionRecord {
        ElectionRecord { hard_state: self.hard_state, floor: self.log_end().max(self.floor) }
    }

    /// Asks a replica whether this one still belongs to the group, unless a leader was heard within `election_max_ms`.
    pub fn inquire(&mut self, now: u64, to: ReplicaId) {
        self.advance(now);
        let heard_until = self.heard_leader_at.map_or(0, |at| at.saturating_add(self.timing.election_max_ms));
        if self.role() != Role::Leader && self.now >= heard_until && to != self.id {
            self.send(to, Body::Inquiry(Inquiry { about: self.id }));
        }
    }

    /// One that asked for a pre-vote may be unaware of its removal.
    pub(crate) fn ask_about_stranger(&mut self, from: ReplicaId) {
        self.on_inquiry(from, Inquiry { about: from });
    }

    /// Answers as leader; else passes a question on to the leader, once.
    pub(crate) fn on_inquiry(&mut self, from: ReplicaId, inquiry: Inquiry) {
        let about = inquiry.about;
        if self.memberships.latest().contains(about) {
            return;
        }
        match self.leader {
            Some(leader) if leader == self.id => self.tell_if_removed(about),
            Some(leader) if from == about && leader != about => self.send(leader, Body::Inquiry(inquiry)),
            _ => {}
        }
    }

    fn tell_if_removed(&mut self, stranger: ReplicaId) {
        if !self.lease_valid(self.now) || !self.membership_committed() {
            return;
        }
        let Some(term) = self.log.term(self.commit) else { return };
        self.send(stranger, Body::NotMember(NotMember { index: self.commit, term }));
    }

    pub(crate) fn on_not_member(&mut self, notice: NotMember) {
        if self.role() == Role::Leader || self.heard_leader_lately() {
            return;
        }
        let since = self.memberships.latest_index();
        let is_void = self.log.term(since).is_some_and(|term| term < notice.term);
        if since <= notice.index || is_void {
            self.removed = true;
            self.become_follower(self.hard_state.term, None);
        }
    }

    fn heard_leader_lately(&self) -> bool {
        let heard_until = self.heard_leader_at.map_or(0, |at| at.saturating_add(self.timing.election_min_ms));
        self.now < heard_until
    }
}
