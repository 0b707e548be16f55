//! Who belongs to a group, and since which entry.

use std::collections::VecDeque;

use nanoserde::{DeBin, DeBinErr, SerBin};
use ruddervalve_protocol::ReplicaId;

use crate::wire::decode_list;

/// The replicas of a group.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Membership {
    /// Those that vote and count for quorums.
    pub voters: Vec<ReplicaId>,
    /// Those that receive the log without a vote.
    pub learners: Vec<ReplicaId>,
}

impl Membership {
    /// Whether `id` votes.
    pub fn is_voter(&self, id: ReplicaId) -> bool {
        self.voters.contains(&id)
    }

    /// Whether `id` receives the log without a vote.
    pub fn is_learner(&self, id: ReplicaId) -> bool {
        self.learners.contains(&id)
    }

    /// Whether `id` belongs to the group.
    pub fn contains(&self, id: ReplicaId) -> bool {
        self.is_voter(id) || self.is_learner(id)
    }

    /// How many voters are a quorum: more than half.
    pub fn quorum(&self) -> usize {
        self.voters.len() / 2 + 1
    }

    /// All replicas, voters first.
    pub fn members(&self) -> impl Iterator<Item = ReplicaId> + '_ {
        self.voters.iter().chain(&self.learners).copied()
    }

    /// About how many bytes it takes.
    pub(crate) fn size(&self) -> usize {
        (self.voters.len() + self.learners.len()) * size_of::<ReplicaId>()
    }
}

impl SerBin for Membership {
    fn ser_bin(&self, output: &mut Vec<u8>) {
        self.voters.ser_bin(output);
        self.learners.ser_bin(output);
    }
}

impl DeBin for Membership {
    fn de_bin(offset: &mut usize, bytes: &[u8]) -> Result<Self, DeBinErr> {
        let voters = decode_list(offset, bytes)?;
        let learners = decode_list(offset, bytes)?;
        Ok(Self { voters, learners })
    }
}

/// A membership, and the entry that began it.
#[derive(Debug, Clone)]
struct Since {
    index: u64,
    membership: Membership,
}

/// The memberships of the log that is in memory, and the one before it.
#[derive(Debug, Clone)]
pub(crate) struct MembershipHistory {
    first: Since,
    later: VecDeque<Since>,
}

impl MembershipHistory {
    pub(crate) fn new(index: u64, membership: Membership) -> Self {
        Self { first: Since { index, membership }, later: VecDeque::new() }
    }

    /// The one in force: the newest, whether committed or not.
    pub(crate) fn latest(&self) -> &Membership {
        &self.later.back().unwrap_or(&self.first).membership
    }

    /// The index of the entry that began the one in force.
    pub(crate) fn latest_index(&self) -> u64 {
        self.later.back().unwrap_or(&self.first).index
    }

    /// The one after the entry at `index`.
    pub(crate) fn at(&self, index: u64) -> &Membership {
        let since = self.later.iter().rev().find(|since| since.index <= index);
        &since.unwrap_or(&self.first).membership
    }

    /// Whether `id` votes in the one after the entry at `index`, or in one since.
    pub(crate) fn is_voter_since(&self, index: u64, id: ReplicaId) -> bool {
        let later = self.later.iter().rev().take_while(|since| since.index > index);
        later.map(|since| &since.membership).any(|membership| membership.is_voter(id))
            || self.at(index).is_voter(id)
    }

    /// Takes up the one that the entry at `index` holds.
    pub(crate) fn record(&mut self, index: u64, membership: Membership) {
        self.later.push_back(Since { index, membership });
    }

    /// Goes back to what was before the entry at `index`.
    pub(crate) fn truncate_from(&mut self, index: u64) {
        while self.later.back().is_some_and(|since| since.index >= index) {
            self.later.pop_back();
        }
    }

    /// Forgets what was before the entry at `index`, but not the membership that it left.
    pub(crate) fn compact(&mut self, index: u64) {
        while self.later.front().is_some_and(|since| since.index <= index) {
            if let Some(since) = self.later.pop_front() {
                self.first = since;
            }
        }
    }
}
