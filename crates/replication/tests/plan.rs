//! The steps from one membership to another.

use ruddervalve_consensus::{Membership, MembershipChange};
use ruddervalve_protocol::ReplicaId;
use ruddervalve_replication::{Followers, next_change};

struct Known {
    active: Vec<u64>,
    caught_up: Vec<u64>,
}

impl Followers for Known {
    fn is_caught_up(&self, id: ReplicaId) -> bool {
        self.caught_up.contains(&id.0)
    }

    fn is_active(&self, id: ReplicaId) -> bool {
        self.active.contains(&id.0)
    }
}

fn ids(ids: &[u64]) -> Vec<ReplicaId> {
    ids.iter().map(|id| ReplicaId(*id)).collect()
}

fn step(voters: &[u64], learners: &[u64], wanted: &[u64], known: &Known) -> Option<MembershipChange> {
    let membership = Membership { voters: ids(voters), learners: ids(learners) };
    next_change(&membership, &ids(wanted), known)
}

#[test]
fn a_lost_replica_is_replaced_by_its_successor() {
    let known = Known { active: vec![1, 3], caught_up: vec![1, 3] };
    assert_eq!(step(&[1, 2, 3], &[], &[1, 4, 3], &known), Some(MembershipChange::Remove(ReplicaId(2))));
    assert_eq!(step(&[1, 3], &[], &[1, 4, 3], &known), Some(MembershipChange::AddLearner(ReplicaId(4))));
    assert_eq!(step(&[1, 3], &[4], &[1, 4, 3], &known), None, "it has to catch up");
    let known = Known { active: vec![1, 3, 4], caught_up: vec![1, 3, 4] };
    assert_eq!(step(&[1, 3], &[4], &[1, 4, 3], &known), Some(MembershipChange::PromoteLearner(ReplicaId(4))));
    assert_eq!(step(&[1, 3, 4], &[], &[1, 4, 3], &known), None);
}

#[test]
fn a_living_replica_leaves_only_after_its_successor_votes() {
    let known = Known { active: vec![1, 2, 3, 4], caught_up: vec![1, 2, 3] };
    assert_eq!(step(&[1, 2, 3], &[], &[1, 4, 3], &known), Some(MembershipChange::AddLearner(ReplicaId(4))));
    assert_eq!(step(&[1, 2, 3], &[4], &[1, 4, 3], &known), None);
    assert_eq!(step(&[1, 2, 3, 4], &[], &[1, 4, 3], &known), Some(MembershipChange::Remove(ReplicaId(2))));
}

#[test]
fn the_last_voter_and_wanted_ones_stay() {
    let none = Known { active: vec![], caught_up: vec![] };
    assert_eq!(step(&[1], &[], &[1], &none), None);
    assert_eq!(step(&[1, 2, 3], &[], &[1, 2, 3], &none), None);
    assert_eq!(step(&[1], &[2], &[1], &none), Some(MembershipChange::Remove(ReplicaId(2))));
}
