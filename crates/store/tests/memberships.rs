//! How fast the membership of a shard follows what the coordinators want.

mod cluster;

use cluster::{Cluster, LIVENESS_MS, SYNC_MS, member as store};
use ruddervalve_protocol::{CoordinatorRequest, ReplicaId};

/// From the ready cluster the loss comes at any phase of the stores' slow timer.
const PHASES: u64 = 8;

#[test]
fn a_store_whose_disk_was_lost_counts_again_within_a_quarter_of_its_time() {
    for phase in 0..PHASES {
        let mut cluster = Cluster::of_three(["s1", "s2", "s3"]);
        assert!(cluster.run_until(3 * LIVENESS_MS, |cluster| cluster.leader() == Some(ReplicaId(1))));
        cluster.run(LIVENESS_MS + phase * LIVENESS_MS / PHASES);
        cluster.lose(ReplicaId(2));
        cluster.run(LIVENESS_MS / 20);
        cluster.start("s2", ReplicaId(4), 256);
        cluster.publish();
        let started = cluster.now;
        let votes = |cluster: &Cluster| cluster.voters(ReplicaId(1)) == [1, 3, 4].map(ReplicaId);
        assert!(cluster.run_until(SYNC_MS / 4, votes), "phase {phase}: {:?}", cluster.voters(ReplicaId(1)));
        assert!(cluster.now - started <= SYNC_MS / 4);
    }
}

#[test]
fn coordinators_hear_of_a_new_membership_at_once() {
    let mut cluster = Cluster::of_three(["s1", "s2", "s3"]);
    assert!(cluster.run_until(3 * LIVENESS_MS, |cluster| cluster.leader() == Some(ReplicaId(1))));
    cluster.run(LIVENESS_MS);
    cluster.lose(ReplicaId(2));
    cluster.run(LIVENESS_MS / 20);
    cluster.start("s2", ReplicaId(4), 256);
    cluster.publish();
    cluster.run(SYNC_MS / 4);
    let told = cluster.member(ReplicaId(1)).requests.iter().rev().find_map(|request| match request {
        CoordinatorRequest::ShardMembers(members) => Some(members.clone()),
        _ => None,
    });
    let mut told = told.unwrap();
    told.voters.sort_unstable();
    assert_eq!((told.voters, told.learners), ([1, 3, 4].map(ReplicaId).to_vec(), Vec::new()));
}

/// The directory says that another store shall hold the shard.
fn replace(cluster: &mut Cluster, leaving: &str, joining: &str) {
    for node in cluster.directory.shards.iter_mut().flat_map(|shard| &mut shard.wanted) {
        if node == leaving {
            joining.clone_into(node);
        }
    }
    cluster.publish();
}

#[test]
fn a_lost_store_votes_until_its_successor_has_the_shard() {
    let mut cluster = Cluster::of_three(["s1", "s2", "s3"]);
    assert!(cluster.run_until(3 * LIVENESS_MS, |cluster| cluster.leader() == Some(ReplicaId(1))));
    cluster.run(LIVENESS_MS);
    cluster.lose(ReplicaId(2));
    cluster.run(LIVENESS_MS / 2);
    // The successor is wanted before it is there.
    cluster.directory.stores.push(store("s4", ReplicaId(4)));
    replace(&mut cluster, "s2", "s4");
    cluster.run(SYNC_MS);
    assert_eq!(cluster.voters(ReplicaId(1)), [1, 2, 3].map(ReplicaId));
    cluster.start("s4", ReplicaId(4), 256);
    cluster.publish();
    let votes = |cluster: &Cluster| cluster.voters(ReplicaId(1)) == [1, 3, 4].map(ReplicaId);
    assert!(cluster.run_until(SYNC_MS / 4, votes), "{:?}", cluster.voters(ReplicaId(1)));
}

#[test]
fn after_a_store_was_replaced_another_may_be_lost() {
    for second in [1, 3] {
        let mut cluster = Cluster::of_three(["s1", "s2", "s3"]);
        assert!(cluster.run_until(3 * LIVENESS_MS, |cluster| cluster.leader() == Some(ReplicaId(1))));
        cluster.run(LIVENESS_MS);
        cluster.lose(ReplicaId(2));
        cluster.start("s4", ReplicaId(4), 256);
        replace(&mut cluster, "s2", "s4");
        let votes = |cluster: &Cluster| cluster.voters(ReplicaId(1)) == [1, 3, 4].map(ReplicaId);
        assert!(cluster.run_until(SYNC_MS / 4, votes), "{:?}", cluster.voters(ReplicaId(1)));
        cluster.lose(ReplicaId(second));
        let leads = |cluster: &Cluster| cluster.leader().is_some();
        assert!(cluster.run_until(LIVENESS_MS, leads), "without {second}");
    }
}

#[test]
fn a_store_that_returns_keeps_its_place_if_the_directory_says_so_again() {
    let mut cluster = Cluster::of_three(["s1", "s2", "s3"]);
    assert!(cluster.run_until(3 * LIVENESS_MS, |cluster| cluster.leader() == Some(ReplicaId(1))));
    cluster.run(LIVENESS_MS);
    cluster.cut.insert(ReplicaId(2));
    cluster.start("s4", ReplicaId(4), 256);
    cluster.cut.insert(ReplicaId(4));
    replace(&mut cluster, "s2", "s4");
    cluster.run(SYNC_MS / 4);
    cluster.cut.clear();
    replace(&mut cluster, "s4", "s2");
    cluster.run(SYNC_MS / 4);
    assert_eq!(cluster.voters(ReplicaId(1)), [1, 2, 3].map(ReplicaId));
    let learners = |of: u64| {
        cluster.members[&ReplicaId(of)]
            .core
            .host()
            .replica(cluster::GROUP)
            .unwrap()
            .membership()
            .learners
            .len()
    };
    assert_eq!(learners(1), 0, "the successor has stepped back");
}
