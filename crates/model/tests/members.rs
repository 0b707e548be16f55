//! The model's memberships agree with the product's.

use ruddervalve_consensus::{Membership, MembershipChange};
use ruddervalve_model::membership::{Members, ReplicaSet};
use ruddervalve_protocol::ReplicaId;

fn members(voters: &[usize], learners: &[usize]) -> Members {
    Members { voters: voters.iter().copied().collect(), learners: learners.iter().copied().collect() }
}

#[test]
fn a_membership_is_the_same_there_and_back() {
    let membership = Membership { voters: vec![ReplicaId(0), ReplicaId(4)], learners: vec![ReplicaId(6)] };
    let members = Members::from(&membership);
    assert_eq!(members.to_membership(), membership);
    assert!(members.contains(6) && !members.contains(5));
}

#[test]
fn quorums_are_the_product_s() {
    for voters in 1..=7 {
        let members = Members { voters: ReplicaSet::first(voters), learners: ReplicaSet::default() };
        assert_eq!(members.quorum(), members.to_membership().quorum(), "{voters} voters");
    }
}

#[test]
fn changes_that_do_not_fit_are_not_made() {
    let three = members(&[0, 1, 2], &[3]);
    let promoted = three.changed(MembershipChange::PromoteLearner(ReplicaId(3)));
    assert_eq!(promoted, Some(members(&[0, 1, 2, 3], &[])));
    assert_eq!(three.changed(MembershipChange::AddLearner(ReplicaId(4))), Some(members(&[0, 1, 2], &[3, 4])));
    assert_eq!(three.changed(MembershipChange::Remove(ReplicaId(2))), Some(members(&[0, 1], &[3])));
    assert_eq!(three.changed(MembershipChange::AddLearner(ReplicaId(2))), None);
    assert_eq!(three.changed(MembershipChange::PromoteLearner(ReplicaId(2))), None);
    assert_eq!(three.changed(MembershipChange::Remove(ReplicaId(4))), None);
    assert_eq!(members(&[0], &[1]).changed(MembershipChange::Remove(ReplicaId(0))), None, "the last voter");
}
