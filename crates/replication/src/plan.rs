//! Which single step brings a group's membership nearer to the one that is wanted.

use ruddervalve_consensus::{Membership, MembershipChange, Replica};
use ruddervalve_protocol::ReplicaId;

/// What the leader knows of its followers.
pub trait Followers {
    /// Whether the replica has, or very soon has, all that is committed.
    fn is_caught_up(&self, id: ReplicaId) -> bool;
    /// Whether the replica answered lately.
    fn is_active(&self, id: ReplicaId) -> bool;
    /// Whether the replica has been silent for so long that it has to be taken for lost, at least for now. One that is
    /// neither active nor lost may just be slow.
    fn is_lost(&self, id: ReplicaId) -> bool;
}

/// What a leading replica knows of its followers, and of itself.
#[derive(Debug, Clone, Copy)]
pub struct LeaderView<'a> {
    /// The replica; it must lead.
    pub replica: &'a Replica,
    /// The time.
    pub now: u64,
    /// How long a replica has to be silent to be taken for lost; ms.
    pub lost_after_ms: u64,
}

impl Followers for LeaderView<'_> {
    fn is_caught_up(&self, id: ReplicaId) -> bool {
        id == self.replica.id() || self.replica.is_caught_up(id)
    }

    fn is_active(&self, id: ReplicaId) -> bool {
        id == self.replica.id() || self.replica.recently_active(id, self.now)
    }

    fn is_lost(&self, id: ReplicaId) -> bool {
        self.replica.silent_for(id, self.now).is_some_and(|silent_ms| silent_ms >= self.lost_after_ms)
    }
}

/// The next step towards `wanted` voters, if one can be taken now. A group never has fewer than `least_voters` by these
/// steps: with twice the number of disks that may be lost, each quorum, and so all that is committed, is on one disk more
/// than that.
///
/// A newcomer learns the log before it votes, and until it has, nobody leaves: whoever is silent may come back. It then
/// takes the place of a voter that is not wanted. If that one is lost, it goes first, so that the newcomer cannot hold up
/// its own vote, nor block the group should it fail in between; if it is active, it goes after, as its copy and its vote
/// count until then. While that is not known the step waits: the one order has no tolerance left if the voter is lost, the
/// other if it is not. While fewer are wanted than a full group has, nobody is let go.
pub fn next_change(
    membership: &Membership,
    wanted: &[ReplicaId],
    least_voters: usize,
    followers: &impl Followers,
) -> Option<MembershipChange> {
    let is_unwanted = |id: &&ReplicaId| !wanted.contains(id);
    let is_ready = |id: &&ReplicaId| wanted.contains(id) && followers.is_caught_up(**id);
    if let Some(ready) = membership.learners.iter().find(is_ready) {
        return next_exchange(membership, *ready, wanted, least_voters, followers);
    }
    if let Some(missing) = wanted.iter().find(|id| !membership.contains(**id)) {
        return Some(MembershipChange::AddLearner(*missing));
    }
    if let Some(learner) = membership.learners.iter().find(is_unwanted) {
        return Some(MembershipChange::Remove(*learner));
    }
    let is_complete = wanted.len() > least_voters && wanted.iter().all(|id| membership.is_voter(*id));
    let surplus = membership.voters.iter().find(is_unwanted);
    surplus.filter(|_| is_complete).map(|id| MembershipChange::Remove(*id))
}

/// The next step that gives a newcomer its vote.
fn next_exchange(
    membership: &Membership,
    newcomer: ReplicaId,
    wanted: &[ReplicaId],
    least_voters: usize,
    followers: &impl Followers,
) -> Option<MembershipChange> {
    let unwanted = || membership.voters.iter().copied().filter(|id| !wanted.contains(id));
    let may_shrink = membership.voters.len() > least_voters;
    if may_shrink && let Some(lost) = unwanted().find(|id| followers.is_lost(*id)) {
        return Some(MembershipChange::Remove(lost));
    }
    let is_unclear = may_shrink && unwanted().any(|id| !followers.is_active(id));
    (!is_unclear).then_some(MembershipChange::PromoteLearner(newcomer))
}
