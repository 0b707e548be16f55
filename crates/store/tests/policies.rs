//! When a store takes the configuration that it has for the newest.

mod cluster;

use cluster::{CONFIGURATION, Cluster, GROUP, LIVENESS_MS, message};
use ruddervalve_protocol::{CoordinatorReply, EdgeToStore, NewMessage, ReplicaId};

const LEADER: ReplicaId = ReplicaId(1);
/// The version of [`CONFIGURATION`].
const VERSION: u64 = 1;

/// Messages that are pending after a while in which coordinators tell that this version is in force; the store has
/// [`CONFIGURATION`], which has no route for the one message.
fn pending_under(version: u64) -> usize {
    let mut cluster = Cluster::of_three(["s1", "s2", "s3"]);
    assert!(cluster.run_until(3 * LIVENESS_MS, |cluster| cluster.leader() == Some(LEADER)));
    cluster.configure(LEADER, VERSION, CONFIGURATION);
    let edge = cluster.edge(LEADER, 7);
    cluster.takes_stock(LEADER, edge);
    cluster.run(LIVENESS_MS);
    let message = NewMessage { path: "/new/".to_owned(), ..message("m1", 10) };
    cluster.edge_says(
        LEADER,
        edge,
        EdgeToStore::Append { request: 1, group: GROUP, lease_here: false, message },
    );
    for _ in 0..4 {
        cluster.run(LIVENESS_MS);
        cluster.edge_says(LEADER, edge, EdgeToStore::Heartbeat);
        let now = cluster.now;
        let alive = CoordinatorReply::Alive { term: 1, configuration: version, edges: 1 };
        cluster.member(LEADER).core.coordinator_says(now, alive);
    }
    cluster.run(LIVENESS_MS);
    let shard = cluster.member(LEADER).core.shards().get(&GROUP).unwrap();
    shard.state().pending_count()
}

#[test]
fn a_store_that_lacks_the_newest_configuration_ends_no_message_whose_route_it_does_not_know() {
    assert_eq!(pending_under(VERSION + 1), 1);
}

#[test]
fn a_store_that_has_the_newest_configuration_ends_messages_whose_route_was_dropped() {
    assert_eq!(pending_under(VERSION), 0);
}
