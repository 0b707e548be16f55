//! When a shard is handed to its preferred leader.

mod cluster;

use cluster::{Cluster, GROUP, LIVENESS_MS};
use ruddervalve_protocol::ReplicaId;
use ruddervalve_runtime::ReplicaInput;

const PREFERRED: ReplicaId = ReplicaId(1);

/// The preferred store leads, and leaves its office as a store does that ends; who leads then.
fn handed_on() -> (Cluster, ReplicaId) {
    let mut cluster = Cluster::of_three(["s1", "s2", "s3"]);
    assert!(cluster.run_until(3 * LIVENESS_MS, |cluster| cluster.leader() == Some(PREFERRED)));
    cluster.run(LIVENESS_MS);
    let now = cluster.now;
    cluster.member(PREFERRED).core.terminate(now);
    assert!(cluster.run_until(LIVENESS_MS, |cluster| cluster.leader().is_some_and(|id| id != PREFERRED)));
    let leader = cluster.leader().unwrap();
    (cluster, leader)
}

#[test]
fn a_store_that_ends_is_not_handed_its_shards_again() {
    let (mut cluster, leader) = handed_on();
    // The process is still there: it may have other shards to hand over.
    let came_back = |cluster: &Cluster| cluster.leader() != Some(leader);
    assert!(!cluster.run_until(LIVENESS_MS - 100, came_back));
}

#[test]
fn a_preferred_leader_takes_over_when_it_was_there_for_long_enough() {
    let (mut cluster, _) = handed_on();
    let takes_over = |cluster: &Cluster| cluster.leader() == Some(PREFERRED);
    assert!(cluster.run_until(2 * LIVENESS_MS, takes_over));
}

#[test]
fn a_preferred_leader_that_was_away_for_a_moment_begins_to_count_anew() {
    let (mut cluster, leader) = handed_on();
    cluster.run(LIVENESS_MS - 500);
    let now = cluster.now;
    cluster.member(leader).core.replica_input(now, ReplicaInput::Unreachable(PREFERRED));
    let came_back = |cluster: &Cluster| cluster.leader() != Some(leader);
    assert!(!cluster.run_until(LIVENESS_MS - 100, came_back));
    assert!(cluster.member(leader).core.shards().contains_key(&GROUP));
}
