//! One replica: what is on its disk, and what it forgets when it restarts.

use super::entry::{Entry, latest_members};
use super::{MAX_REPLICAS, Members, ReplicaSet};

/// What became of a replica's disk.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Disk {
    /// A newcomer that was not started yet.
    Absent,
    /// It is there, also while the machine is not.
    Kept,
    /// It is gone for good, and this identity with it.
    Lost,
}

/// What only a leader knows.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Leadership {
    /// The first entry of its term.
    pub first_index: u8,
    /// Up to here entries are committed, as far as it knows.
    pub commit: u8,
    /// Up to here each replica has told that its log agrees and is on its disk.
    pub matched: [u8; MAX_REPLICAS],
}

/// What a replica is to its group.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Role {
    /// Follows a leader, or waits for one.
    Follower,
    /// Asks for votes.
    Candidate {
        /// Those that voted for it, itself included.
        granted: ReplicaSet,
    },
    /// Leads, or has not learnt yet that another does.
    Leader(Leadership),
}

/// One replica.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct ReplicaState {
    /// What became of its disk.
    pub disk: Disk,
    /// Whether it runs and reaches the others. One that was cut off keeps its role.
    pub reachable: bool,
    /// The newest term seen; on disk.
    pub term: u8,
    /// Whom it voted for in that term; on disk.
    pub vote: Option<u8>,
    /// The log in memory.
    pub log: Vec<Entry>,
    /// How much of the log is on disk.
    pub durable: u8,
    /// What it is to its group.
    pub role: Role,
}

impl ReplicaState {
    /// One that holds `log` on its disk, in `term`.
    pub(super) fn started(log: Vec<Entry>, term: u8) -> Self {
        let durable = index(log.len());
        Self { disk: Disk::Kept, reachable: true, term, vote: None, log, durable, role: Role::Follower }
    }

    /// A newcomer before its start.
    pub(super) fn absent() -> Self {
        Self { disk: Disk::Absent, reachable: false, ..Self::started(Vec::new(), 0) }
    }

    /// Whether it runs, reaches the others and has its disk.
    pub fn is_up(&self) -> bool {
        self.reachable && self.disk == Disk::Kept
    }

    /// The membership in force as far as it knows: the newest in its log, committed or not.
    pub fn members(&self) -> Members {
        latest_members(&self.log).1
    }

    /// Leadership, if it leads.
    pub fn leadership(&self) -> Option<&Leadership> {
        match &self.role {
            Role::Leader(leadership) => Some(leadership),
            Role::Follower | Role::Candidate { .. } => None,
        }
    }

    /// Term and index of the newest entry: whoever has more is more up to date.
    pub(super) fn newest(&self) -> (u8, usize) {
        (self.log.last().map_or(0, |entry| entry.term), self.log.len())
    }

    /// Whether its disk holds the whole of `prefix`.
    pub(super) fn holds_durably(&self, prefix: &[Entry]) -> bool {
        self.disk == Disk::Kept && usize::from(self.durable) >= prefix.len() && self.log.starts_with(prefix)
    }

    /// Whether it may campaign: it votes in the membership in force, or in any that its log holds since the first.
    pub(super) fn is_promotable(&self, id: usize) -> bool {
        self.log.iter().filter_map(Entry::membership).any(|members| members.voters.contains(id))
    }

    /// Follows whoever leads in `term`.
    pub(super) fn become_follower(&mut self, term: u8) {
        if term > self.term {
            self.term = term;
            self.vote = None;
        }
        self.role = Role::Follower;
    }
}

/// An index of the log as it is stored; logs of a model are short.
pub(super) fn index(length: usize) -> u8 {
    u8::try_from(length).unwrap_or(u8::MAX)
}
