//! Stores that return before their replacement holds a shard.

use std::collections::BTreeMap;

use ruddervalve_coordinator::placement::StoreView;
use ruddervalve_coordinator::placement_return::Replaced;
use ruddervalve_protocol::{GroupId, ReplicaId, ShardMembers, ShardPlacement};

const GROUP: GroupId = GroupId(1);

fn store(number: u64, dead_for_ms: u64) -> StoreView {
    StoreView {
        node: format!("s{number}"),
        replica: ReplicaId(number),
        zone: "z".to_owned(),
        region: String::new(),
        is_retiring: false,
        dead_for_ms,
    }
}

fn shard(wanted: [u64; 3]) -> ShardPlacement {
    let wanted = wanted.map(|number| format!("s{number}")).to_vec();
    ShardPlacement { group: GROUP, founders: [1, 2, 3].map(ReplicaId).to_vec(), wanted }
}

fn members(voters: &[u64], learners: &[u64]) -> BTreeMap<GroupId, ShardMembers> {
    let ids = |numbers: &[u64]| numbers.iter().map(|number| ReplicaId(*number)).collect();
    let members = ShardMembers { group: GROUP, term: 1, voters: ids(voters), learners: ids(learners) };
    [(GROUP, members)].into()
}

/// Store 2 was replaced by store 4 while it was away.
fn replaced() -> Replaced {
    let mut replaced = Replaced::default();
    let stores = [store(1, 0), store(2, 1_000), store(3, 0), store(4, 0)];
    replaced.note(&stores, &[shard([1, 2, 3])], &[shard([1, 4, 3])]);
    replaced
}

#[test]
fn a_store_that_is_back_before_its_successor_votes_has_its_place_again() {
    let mut replaced = replaced();
    let back = [store(1, 0), store(2, 0), store(3, 0), store(4, 0)];
    let given = replaced.give_back(&back, &[shard([1, 4, 3])], &members(&[1, 2, 3], &[4]));
    assert_eq!(given, Some(vec![shard([1, 2, 3])]));
    replaced.note(&back, &[shard([1, 4, 3])], &[shard([1, 2, 3])]);
    assert_eq!(replaced.give_back(&back, &[shard([1, 2, 3])], &members(&[1, 2, 3], &[])), None);
}

#[test]
fn a_store_that_is_still_away_waits() {
    let away = [store(1, 0), store(2, 2_000), store(3, 0), store(4, 0)];
    let mut replaced = replaced();
    assert_eq!(replaced.give_back(&away, &[shard([1, 4, 3])], &members(&[1, 2, 3], &[4])), None);
}

#[test]
fn a_store_that_is_back_too_late_has_lost_its_place() {
    let back = [store(1, 0), store(2, 0), store(3, 0), store(4, 0)];
    let mut replaced = replaced();
    assert_eq!(replaced.give_back(&back, &[shard([1, 4, 3])], &members(&[1, 3], &[4])), None);
    assert_eq!(replaced.give_back(&back, &[shard([1, 4, 3])], &members(&[1, 3, 4], &[])), None);
    // What is decided stays so, whatever is told later.
    assert_eq!(replaced.give_back(&back, &[shard([1, 4, 3])], &members(&[1, 2, 3], &[4])), None);
}

#[test]
fn a_store_that_moves_while_it_is_there_does_not_come_back() {
    let mut replaced = Replaced::default();
    let stores = [store(1, 0), store(2, 0), store(3, 0), store(4, 0)];
    replaced.note(&stores, &[shard([1, 2, 3])], &[shard([1, 4, 3])]);
    assert_eq!(replaced.give_back(&stores, &[shard([1, 4, 3])], &members(&[1, 2, 3], &[4])), None);
}

#[test]
fn a_new_term_carries_out_what_is_under_way() {
    let mut replaced = replaced();
    replaced.clear();
    let back = [store(1, 0), store(2, 0), store(3, 0), store(4, 0)];
    assert_eq!(replaced.give_back(&back, &[shard([1, 4, 3])], &members(&[1, 2, 3], &[4])), None);
}
