//! What a replica tells of itself.

use ruddervalve_mutation::{Mutation, is_active};
use ruddervalve_protocol::ReplicaId;

use crate::entry::Entry;
use crate::membership::Membership;
use crate::replica::{Replica, Role};

impl Replica {
    /// This replica.
    pub fn id(&self) -> ReplicaId {
        self.id
    }

    /// What this replica is to its group.
    pub fn role(&self) -> Role {
        self.role
    }

    /// The newest term seen.
    pub fn term(&self) -> u64 {
        self.hard_state.term
    }

    /// The leader of this term, as far as it is known.
    pub fn leader(&self) -> Option<ReplicaId> {
        self.leader
    }

    /// Up to here entries are known to be committed.
    pub fn commit_index(&self) -> u64 {
        self.commit
    }

    /// Up to here entries were handed out to be applied, or are part of a snapshot that was.
    pub fn applied_index(&self) -> u64 {
        self.applied
    }

    /// Up to here the log is known to be on this replica's disk.
    pub fn durable_index(&self) -> u64 {
        self.writes.durable_index()
    }

    /// The entry at `index`, while it is in memory.
    pub fn entry(&self, index: u64) -> Option<&Entry> {
        self.log.entry(index)
    }

    /// The term of the entry at `index`, as far as it is known.
    pub fn entry_term(&self, index: u64) -> Option<u64> {
        self.log.term(index)
    }

    /// The newest entry; it may still be replaced.
    pub fn last_index(&self) -> u64 {
        self.log.last_index()
    }

    /// The membership in force: the newest in the log, committed or not.
    pub fn membership(&self) -> &Membership {
        self.memberships.latest()
    }

    /// Whether the membership in force is committed.
    pub fn membership_committed(&self) -> bool {
        self.memberships.latest_index() <= self.commit || is_active(Mutation::ChangeWhilePending)
    }
}
