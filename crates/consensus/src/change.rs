//! Changes of membership, one replica at a time.

use displaydoc::Display;
use ruddervalve_protocol::ReplicaId;

use crate::entry::Payload;
use crate::membership::Membership;
use crate::replica::Replica;

/// A change of a group's membership.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MembershipChange {
    /// Adds a replica that receives the log without a vote.
    AddLearner(ReplicaId),
    /// Gives a learner that has caught up a vote.
    PromoteLearner(ReplicaId),
    /// Removes a voter or a learner. A leader that removes itself leads until that is committed.
    Remove(ReplicaId),
}

/// Why a change of membership was not taken.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum MembershipError {
    /// this replica does not lead: ask the leader, {leader:?}, or ask again if there is none
    NotLeader {
        /// The leader, as far as it is known.
        leader: Option<ReplicaId>,
    },
    /// this replica is handing its leadership over: ask again once there is a new leader
    Transferring,
    /// the previous change is not committed yet: ask again once it is
    ChangePending,
    /// the leader has committed nothing in its term yet: ask again once it has
    TermNotCommitted,
    /// {id:?} belongs to the group already: nothing is to be done
    AlreadyMember {
        /// The replica.
        id: ReplicaId,
    },
    /// {id:?} does not belong to the group: add it as a learner first, or take it as removed
    NotMember {
        /// The replica.
        id: ReplicaId,
    },
    /// {id:?} is a voter already: nothing is to be done
    AlreadyVoter {
        /// The replica.
        id: ReplicaId,
    },
    /// {id:?} lacks too much of the log to vote: ask again once it has caught up
    NotCaughtUp {
        /// The replica.
        id: ReplicaId,
    },
    /// the last voter cannot be removed: add and promote another one first
    LastVoter,
}

impl std::error::Error for MembershipError {}

impl Replica {
    /// Appends a change of membership, which is in force at once and undone if the entry is replaced; its index.
    ///
    /// # Errors
    /// If this replica does not lead, hands its leadership over, has committed nothing in its term, or if the previous
    /// change is not committed, or if the change does not fit the membership. Nothing has changed then.
    pub fn change_membership(&mut self, now: u64, change: MembershipChange) -> Result<u64, MembershipError> {
        self.advance(now);
        self.check_may_change()?;
        let membership = self.changed(change)?;
        let index = self.append_own(Payload::Membership(membership));
        self.take_up_membership(index);
        Ok(index)
    }

    fn check_may_change(&self) -> Result<(), MembershipError> {
        let Some(leadership) = &self.leadership else {
            return Err(MembershipError::NotLeader { leader: self.leader });
        };
        if leadership.transfer.is_some() {
            return Err(MembershipError::Transferring);
        }
        if self.commit < leadership.first_index {
            return Err(MembershipError::TermNotCommitted);
        }
        if !self.membership_committed() {
            return Err(MembershipError::ChangePending);
        }
        Ok(())
    }

    fn changed(&self, change: MembershipChange) -> Result<Membership, MembershipError> {
        let mut membership = self.memberships.latest().clone();
        match change {
            MembershipChange::AddLearner(id) if membership.contains(id) => {
                return Err(MembershipError::AlreadyMember { id });
            }
            MembershipChange::AddLearner(id) => membership.learners.push(id),
            MembershipChange::PromoteLearner(id) => {
                self.check_may_promote(&membership, id)?;
                membership.learners.retain(|learner| *learner != id);
                membership.voters.push(id);
            }
            MembershipChange::Remove(id) => {
                if !membership.contains(id) {
                    return Err(MembershipError::NotMember { id });
                }
                membership.learners.retain(|learner| *learner != id);
                membership.voters.retain(|voter| *voter != id);
            }
        }
        if membership.voters.is_empty() {
            return Err(MembershipError::LastVoter);
        }
        Ok(membership)
    }

    fn check_may_promote(&self, membership: &Membership, id: ReplicaId) -> Result<(), MembershipError> {
        if membership.is_voter(id) {
            return Err(MembershipError::AlreadyVoter { id });
        }
        if !membership.is_learner(id) {
            return Err(MembershipError::NotMember { id });
        }
        if !self.is_caught_up(id) {
            return Err(MembershipError::NotCaughtUp { id });
        }
        Ok(())
    }

    fn take_up_membership(&mut self, index: u64) {
        let membership = self.memberships.latest();
        if let Some(leadership) = &mut self.leadership {
            leadership.apply_membership(membership, index, self.now);
        }
        self.advance_commit();
    }
}
