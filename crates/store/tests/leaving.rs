//! A store whose shard went elsewhere while it was away drops the shard, and takes it up again only as a learner.

mod cluster;

use cluster::{CONFIGURATION, Cluster, GROUP, LIVENESS_MS, SYNC_MS, message};
use ruddervalve_protocol::{EdgeToStore, ReplicaId};

const S1: ReplicaId = ReplicaId(1);
const S2: ReplicaId = ReplicaId(2);
const S3: ReplicaId = ReplicaId(3);
const S4: ReplicaId = ReplicaId(4);
const BODY_BYTES: usize = 1_000;

/// Three stores of which `S1` leads the shard, with a message that all hold.
fn with_a_message() -> Cluster {
    let mut cluster = Cluster::of_three(["s1", "s2", "s3"]);
    assert!(cluster.run_until(3 * LIVENESS_MS, |cluster| cluster.leader() == Some(S1)));
    cluster.configure(S1, 1, CONFIGURATION);
    append(&mut cluster, S1, "m-1");
    assert_eq!(held(&mut cluster, S3), Some(BODY_BYTES));
    cluster
}

fn append(cluster: &mut Cluster, to: ReplicaId, id: &str) {
    let edge = cluster.edge(to, 1);
    let message = message(id, BODY_BYTES);
    let append = EdgeToStore::Append { request: 1, group: GROUP, lease_here: false, message };
    cluster.edge_says(to, edge, append);
    cluster.run(LIVENESS_MS / 4);
}

/// Bytes of bodies that a store holds of the shard; none if it does not have the shard.
fn held(cluster: &mut Cluster, store: ReplicaId) -> Option<usize> {
    let shard = cluster.member(store).core.shards().get(&GROUP)?;
    Some(shard.state().held_bytes())
}

fn has_replica(cluster: &mut Cluster, store: ReplicaId) -> bool {
    cluster.member(store).core.host().replica(GROUP).is_some()
}

fn want(cluster: &mut Cluster, wanted: &[&str]) {
    cluster.directory.shards[0].wanted = wanted.iter().map(|node| (*node).to_owned()).collect();
    cluster.publish();
}

/// `S3` is away while `S4` takes its place.
fn replaced_while_away() -> Cluster {
    let mut cluster = with_a_message();
    cluster.cut.insert(S3);
    cluster.run(LIVENESS_MS);
    cluster.start("s4", S4, 256);
    want(&mut cluster, &["s1", "s2", "s4"]);
    let votes = |cluster: &Cluster| cluster.voters(S1) == [S1, S2, S4];
    assert!(cluster.run_until(SYNC_MS, votes), "{:?}", cluster.voters(S1));
    assert!(has_replica(&mut cluster, S3));
    cluster
}

#[test]
fn a_store_that_was_replaced_while_it_was_away_drops_its_shard() {
    let mut cluster = replaced_while_away();
    cluster.cut.clear();
    assert!(cluster.run_until(LIVENESS_MS, |cluster| {
        cluster.members.get(&S3).is_some_and(|member| member.core.shards().is_empty())
    }));
    assert!(!has_replica(&mut cluster, S3));
    assert_eq!(held(&mut cluster, S4), Some(BODY_BYTES));
    assert_eq!(cluster.leader(), Some(S1), "nobody was disturbed");
}

#[test]
fn a_store_that_gave_its_shard_away_drops_it() {
    let mut cluster = with_a_message();
    cluster.start("s4", S4, 256);
    want(&mut cluster, &["s2", "s3", "s4"]);
    assert!(cluster.run_until(4 * LIVENESS_MS, |cluster| cluster.voters(S2) == [S2, S3, S4]));
    assert!(cluster.run_until(2 * LIVENESS_MS, |cluster| {
        cluster.members.get(&S1).is_some_and(|member| member.core.shards().is_empty())
    }));
    assert!(!has_replica(&mut cluster, S1));
}

#[test]
fn a_store_that_returns_when_all_that_it_knew_are_replaced_drops_its_shard() {
    let mut cluster = replaced_while_away();
    for (number, node) in [(5, "s5"), (6, "s6")] {
        cluster.start(node, ReplicaId(number), 256);
    }
    want(&mut cluster, &["s4", "s5", "s6"]);
    let moved = |cluster: &Cluster| cluster.voters(S4) == [4, 5, 6].map(ReplicaId);
    assert!(cluster.run_until(4 * LIVENESS_MS, moved), "{:?}", cluster.voters(S4));
    cluster.run(2 * LIVENESS_MS);
    assert!(!has_replica(&mut cluster, S1) && !has_replica(&mut cluster, S2));
    cluster.cut.clear();
    cluster.run(LIVENESS_MS);
    assert!(!has_replica(&mut cluster, S3));
}

#[test]
fn a_founder_that_left_does_not_found_its_shard_again() {
    let mut cluster = replaced_while_away();
    cluster.cut.clear();
    cluster.run(LIVENESS_MS);
    assert!(!has_replica(&mut cluster, S3));
    for _ in 0..2 {
        cluster.publish();
        cluster.run(LIVENESS_MS);
        assert!(!has_replica(&mut cluster, S3));
        assert_eq!(held(&mut cluster, S3), None);
        cluster.restart(S3);
    }
}

#[test]
fn a_store_that_left_and_is_wanted_again_gets_the_whole_shard() {
    let mut cluster = replaced_while_away();
    cluster.cut.clear();
    cluster.run(LIVENESS_MS);
    append(&mut cluster, S1, "m-2");
    cluster.restart(S3);
    cluster.publish();
    want(&mut cluster, &["s1", "s3", "s4"]);
    assert!(cluster.run_until(SYNC_MS, |cluster| cluster.voters(S1) == [S1, S3, S4]));
    cluster.run(LIVENESS_MS);
    assert_eq!(held(&mut cluster, S3), Some(2 * BODY_BYTES));
    assert!(!has_replica(&mut cluster, S2));
    // It counts: with S4 alone it goes on.
    cluster.lose(S1);
    assert!(cluster.run_until(LIVENESS_MS, |cluster| cluster.leader().is_some()));
}

#[test]
fn a_store_that_is_only_cut_off_keeps_its_shard() {
    let mut cluster = with_a_message();
    cluster.cut.insert(S3);
    cluster.run(3 * LIVENESS_MS);
    cluster.cut.clear();
    cluster.run(LIVENESS_MS);
    assert_eq!(held(&mut cluster, S3), Some(BODY_BYTES));
    // All others are away: nobody can tell that it was removed.
    cluster.cut.extend([S1, S2]);
    cluster.run(3 * LIVENESS_MS);
    assert!(has_replica(&mut cluster, S3));
}
