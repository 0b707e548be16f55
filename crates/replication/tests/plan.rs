//! The steps from one membership to another.

use ruddervalve_consensus::{Membership, MembershipChange};
use ruddervalve_protocol::ReplicaId;
use ruddervalve_replication::{Followers, next_change};

struct Known {
    active: Vec<u64>,
    caught_up: Vec<u64>,
    /// Silent, and not for long.
    slow: Vec<u64>,
}

impl Followers for Known {
    fn is_caught_up(&self, id: ReplicaId) -> bool {
        self.caught_up.contains(&id.0)
    }

    fn is_active(&self, id: ReplicaId) -> bool {
        self.active.contains(&id.0)
    }

    fn is_lost(&self, id: ReplicaId) -> bool {
        !self.active.contains(&id.0) && !self.slow.contains(&id.0)
    }
}

fn ids(ids: &[u64]) -> Vec<ReplicaId> {
    ids.iter().map(|id| ReplicaId(*id)).collect()
}

/// The next step in a group that tolerates the loss of one disk: two voters at least.
fn step(voters: &[u64], learners: &[u64], wanted: &[u64], known: &Known) -> Option<MembershipChange> {
    step_of(voters, learners, wanted, 2, known)
}

fn step_of(
    voters: &[u64],
    learners: &[u64],
    wanted: &[u64],
    least_voters: usize,
    known: &Known,
) -> Option<MembershipChange> {
    let membership = Membership { voters: ids(voters), learners: ids(learners) };
    next_change(&membership, &ids(wanted), least_voters, known)
}

fn known(active: &[u64], caught_up: &[u64]) -> Known {
    Known { active: active.to_vec(), caught_up: caught_up.to_vec(), slow: Vec::new() }
}

#[test]
fn a_silent_replica_stays_until_its_successor_has_caught_up() {
    let learning = known(&[1, 3, 4], &[1, 3]);
    assert_eq!(
        step(&[1, 2, 3], &[], &[1, 4, 3], &learning),
        Some(MembershipChange::AddLearner(ReplicaId(4)))
    );
    assert_eq!(step(&[1, 2, 3], &[4], &[1, 4, 3], &learning), None, "it has to catch up");
    let learnt = known(&[1, 3, 4], &[1, 3, 4]);
    assert_eq!(
        step(&[1, 2, 3], &[4], &[1, 4, 3], &learnt),
        Some(MembershipChange::Remove(ReplicaId(2))),
        "with four voters and one silent the successor could hold up its own vote"
    );
    assert_eq!(
        step(&[1, 3], &[4], &[1, 4, 3], &learnt),
        Some(MembershipChange::PromoteLearner(ReplicaId(4)))
    );
    assert_eq!(step(&[1, 3, 4], &[], &[1, 4, 3], &learnt), None);
}

#[test]
fn a_replica_that_returns_before_its_successor_votes_keeps_its_place() {
    let back = known(&[1, 2, 3, 4], &[1, 2, 3]);
    assert_eq!(step(&[1, 2, 3], &[4], &[1, 2, 3], &back), Some(MembershipChange::Remove(ReplicaId(4))));
}

#[test]
fn while_a_voter_may_just_be_slow_its_successor_waits() {
    let slow = Known { slow: vec![2], ..known(&[1, 3, 4], &[1, 3, 4]) };
    assert_eq!(step(&[1, 2, 3], &[4], &[1, 4, 3], &slow), None);
    let two = Known { slow: vec![2], ..known(&[1, 2, 3, 6, 7], &[1, 2, 3, 6, 7]) };
    let change = step_of(&[1, 2, 3, 4, 5], &[6, 7], &[1, 2, 3, 6, 7], 4, &two);
    assert_eq!(change, Some(MembershipChange::Remove(ReplicaId(4))), "the others need not wait");
}

#[test]
fn two_silent_replicas_are_replaced_one_after_the_other() {
    let wanted = [1, 2, 3, 6, 7];
    let learnt = known(&[1, 2, 3, 6, 7], &[1, 2, 3, 6, 7]);
    let mut membership = Membership { voters: ids(&[1, 2, 3, 4, 5]), learners: ids(&[6, 7]) };
    let mut fewest = membership.voters.len();
    let mut steps = Vec::new();
    while let Some(change) = next_change(&membership, &ids(&wanted), 4, &learnt) {
        match change {
            MembershipChange::Remove(id) => membership.voters.retain(|voter| *voter != id),
            MembershipChange::PromoteLearner(id) => {
                membership.learners.retain(|learner| *learner != id);
                membership.voters.push(id);
            }
            MembershipChange::AddLearner(id) => membership.learners.push(id),
        }
        let living = membership.voters.iter().filter(|id| learnt.active.contains(&id.0)).count();
        assert!(living >= membership.quorum(), "{membership:?} cannot commit");
        assert!(membership.quorum() >= 3, "{membership:?} commits on two disks");
        fewest = fewest.min(membership.voters.len());
        steps.push(change);
    }
    assert_eq!((steps.len(), fewest), (4, 4));
    membership.voters.sort_unstable();
    assert_eq!(membership.voters, ids(&wanted));
}

#[test]
fn nobody_leaves_a_group_that_would_not_be_full() {
    let all = known(&[1, 2, 3], &[1, 2, 3]);
    assert_eq!(step(&[1, 2, 3], &[], &[1, 3], &all), None, "there is no successor");
    let alone = known(&[1], &[1]);
    assert_eq!(step(&[1, 2, 3], &[], &[1], &alone), None);
    assert_eq!(step(&[1, 2], &[], &[1], &alone), None);
    // At the least number a newcomer votes first, also beside a silent one.
    let learnt = known(&[1, 4], &[1, 4]);
    assert_eq!(
        step(&[1, 2], &[4], &[1, 4, 3], &learnt),
        Some(MembershipChange::PromoteLearner(ReplicaId(4)))
    );
}

#[test]
fn a_living_replica_leaves_only_after_its_successor_votes() {
    let known = known(&[1, 2, 3, 4], &[1, 2, 3]);
    assert_eq!(step(&[1, 2, 3], &[], &[1, 4, 3], &known), Some(MembershipChange::AddLearner(ReplicaId(4))));
    assert_eq!(step(&[1, 2, 3], &[4], &[1, 4, 3], &known), None);
    assert_eq!(step(&[1, 2, 3, 4], &[], &[1, 4, 3], &known), Some(MembershipChange::Remove(ReplicaId(2))));
}

#[test]
fn a_living_replica_goes_after_its_successor_was_given_its_vote() {
    let known = known(&[1, 2, 3, 4], &[1, 2, 3, 4]);
    assert_eq!(
        step(&[1, 2, 3], &[4], &[1, 4, 3], &known),
        Some(MembershipChange::PromoteLearner(ReplicaId(4)))
    );
}

#[test]
fn the_last_voter_and_wanted_ones_stay() {
    let none = known(&[], &[]);
    assert_eq!(step_of(&[1], &[], &[1], 0, &none), None);
    assert_eq!(step(&[1, 2, 3], &[], &[1, 2, 3], &none), None);
    assert_eq!(step_of(&[1], &[2], &[1], 0, &none), Some(MembershipChange::Remove(ReplicaId(2))));
}
