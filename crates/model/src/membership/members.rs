//! Sets of replicas, and memberships made of them: small, so that many states fit into memory.

use std::fmt;

use ruddervalve_consensus::{Membership, MembershipChange};
use ruddervalve_protocol::ReplicaId;

use super::MAX_REPLICAS;

/// A set of replicas, each named by its place in [`super::Group::replicas`].
#[derive(Clone, Copy, PartialEq, Eq, Hash, Default)]
pub struct ReplicaSet(u8);

impl ReplicaSet {
    /// The replicas from 0 up to `count`.
    pub fn first(count: usize) -> Self {
        (0..count).collect()
    }

    /// Whether it holds `replica`.
    pub fn contains(self, replica: usize) -> bool {
        replica < MAX_REPLICAS && self.0 & (1 << replica) != 0
    }

    /// This set and `replica`.
    #[must_use]
    pub fn with(self, replica: usize) -> Self {
        if replica < MAX_REPLICAS { Self(self.0 | (1 << replica)) } else { self }
    }

    /// This set but `replica`.
    #[must_use]
    pub fn without(self, replica: usize) -> Self {
        if replica < MAX_REPLICAS { Self(self.0 & !(1 << replica)) } else { self }
    }

    /// Those in both sets.
    #[must_use]
    pub fn and(self, other: Self) -> Self {
        Self(self.0 & other.0)
    }

    /// Those in either set.
    #[must_use]
    pub fn or(self, other: Self) -> Self {
        Self(self.0 | other.0)
    }

    /// Those that are not in `other`.
    #[must_use]
    pub fn minus(self, other: Self) -> Self {
        Self(self.0 & !other.0)
    }

    /// How many it holds.
    pub fn len(self) -> usize {
        self.0.count_ones() as usize
    }

    /// Whether it holds none.
    pub fn is_empty(self) -> bool {
        self.0 == 0
    }

    /// The replicas, in order.
    pub fn iter(self) -> impl Iterator<Item = usize> {
        (0..MAX_REPLICAS).filter(move |replica| self.contains(*replica))
    }
}

impl FromIterator<usize> for ReplicaSet {
    fn from_iter<I: IntoIterator<Item = usize>>(replicas: I) -> Self {
        replicas.into_iter().fold(Self::default(), Self::with)
    }
}

impl fmt::Debug for ReplicaSet {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.debug_set().entries(self.iter()).finish()
    }
}

/// A membership, as [`Membership`] but without an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default)]
pub struct Members {
    /// Those that vote and count for quorums.
    pub voters: ReplicaSet,
    /// Those that receive the log without a vote.
    pub learners: ReplicaSet,
}

impl Members {
    /// Whether `replica` belongs to the group.
    pub fn contains(self, replica: usize) -> bool {
        self.voters.or(self.learners).contains(replica)
    }

    /// How many voters are a quorum: more than half.
    pub fn quorum(self) -> usize {
        self.voters.len() / 2 + 1
    }

    /// Whether a quorum of the voters is among `replicas`.
    pub fn has_quorum(self, replicas: ReplicaSet) -> bool {
        self.voters.and(replicas).len() >= self.quorum()
    }

    /// The product's type.
    pub fn to_membership(self) -> Membership {
        let ids = |replicas: ReplicaSet| replicas.iter().map(replica_id).collect();
        Membership { voters: ids(self.voters), learners: ids(self.learners) }
    }

    /// The membership after a change, with the checks of `Replica::change_membership`; `None` if it does not fit.
    pub fn changed(self, change: MembershipChange) -> Option<Self> {
        let Self { voters, learners } = self;
        let changed = match change {
            MembershipChange::AddLearner(id) => {
                let learner = replica_index(id).filter(|replica| !self.contains(*replica))?;
                Self { voters, learners: learners.with(learner) }
            }
            MembershipChange::PromoteLearner(id) => {
                let voter = replica_index(id).filter(|replica| learners.contains(*replica))?;
                Self { voters: voters.with(voter), learners: learners.without(voter) }
            }
            MembershipChange::Remove(id) => {
                let removed = replica_index(id).filter(|replica| self.contains(*replica))?;
                Self { voters: voters.without(removed), learners: learners.without(removed) }
            }
        };
        (!changed.voters.is_empty()).then_some(changed)
    }
}

impl From<&Membership> for Members {
    fn from(membership: &Membership) -> Self {
        let replicas = |ids: &[ReplicaId]| ids.iter().copied().filter_map(replica_index).collect();
        Self { voters: replicas(&membership.voters), learners: replicas(&membership.learners) }
    }
}

/// The product's name of a replica.
pub(super) fn replica_id(replica: usize) -> ReplicaId {
    ReplicaId(replica as u64)
}

/// The replica that has this name.
pub(super) fn replica_index(id: ReplicaId) -> Option<usize> {
    usize::try_from(id.0).ok().filter(|replica| *replica < MAX_REPLICAS)
}
