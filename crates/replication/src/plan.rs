//! Which single step brings a group's membership nearer to the one that is wanted.

use ruddervalve_consensus::{Membership, MembershipChange, Replica};
use ruddervalve_protocol::ReplicaId;

/// What the leader knows of its followers.
pub trait Followers {
    /// Whether the replica has, or very soon has, all that is committed.
    fn is_caught_up(&self, id: ReplicaId) -> bool;
    /// Whether the replica answered lately.
    fn is_active(&self, id: ReplicaId) -> bool;
}

/// What a leading replica knows of its followers, and of itself.
#[derive(Debug, Clone, Copy)]
pub struct LeaderView<'a> {
    /// The replica; it must lead.
    pub replica: &'a Replica,
    /// The time.
    pub now: u64,
}

impl Followers for LeaderView<'_> {
    fn is_caught_up(&self, id: ReplicaId) -> bool {
        id == self.replica.id() || self.replica.is_caught_up(id)
    }

    fn is_active(&self, id: ReplicaId) -> bool {
        id == self.replica.id() || self.replica.recently_active(id, self.now)
    }
}

/// The next step towards `wanted` voters, if one can be taken now.
///
/// A replica that was lost goes first, as it can only lower the quorum's chances; a living one goes only when all that are
/// wanted have a vote. New ones learn the log before they vote.
pub fn next_change(
    membership: &Membership,
    wanted: &[ReplicaId],
    followers: &impl Followers,
) -> Option<MembershipChange> {
    let is_unwanted = |id: &&ReplicaId| !wanted.contains(id);
    let lost = membership.voters.iter().filter(is_unwanted).find(|id| !followers.is_active(**id));
    if let Some(lost) = lost
        && membership.voters.len() > 1
    {
        return Some(MembershipChange::Remove(*lost));
    }
    let ready = |id: &&ReplicaId| wanted.contains(id) && followers.is_caught_up(**id);
    if let Some(ready) = membership.learners.iter().find(ready) {
        return Some(MembershipChange::PromoteLearner(*ready));
    }
    if let Some(missing) = wanted.iter().find(|id| !membership.contains(**id)) {
        return Some(MembershipChange::AddLearner(*missing));
    }
    if let Some(learner) = membership.learners.iter().find(is_unwanted) {
        return Some(MembershipChange::Remove(*learner));
    }
    let complete = wanted.iter().all(|id| membership.is_voter(*id));
    let surplus = membership.voters.iter().find(is_unwanted);
    surplus.filter(|_| complete).map(|id| MembershipChange::Remove(*id))
}
