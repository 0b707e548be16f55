//! When a store takes the configuration that it has for the newest.

mod cluster;

use cluster::{CONFIGURATION, Cluster, GROUP, LIVENESS_MS, message};
use ruddervalve_protocol::{Blob, ConfigurationUpdate, CoordinatorReply, EdgeToStore, NewMessage, ReplicaId};

const LEADER: ReplicaId = ReplicaId(1);
/// The version of [`CONFIGURATION`].
const VERSION: u64 = 1;

/// Messages that are pending after a while in which coordinators tell that this version is in force; the store has
/// [`CONFIGURATION`], which has no route for the one message.
fn pending_under(version: u64) -> usize {
    pending_while_told(&[alive(1, version)])
}

fn alive(term: u64, configuration: u64) -> CoordinatorReply {
    CoordinatorReply::Alive { term, configuration, edges: 1 }
}

/// The same, while coordinators tell all this again and again.
fn pending_while_told(told: &[CoordinatorReply]) -> usize {
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
        for reply in told {
            cluster.member(LEADER).core.coordinator_says(now, reply.clone());
        }
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

#[test]
fn a_coordinator_whose_office_ended_does_not_confirm_the_configuration() {
    // The leader of term 2 has a newer one; the one of term 1 was frozen when it was replaced.
    let told = [alive(2, VERSION + 1), alive(1, VERSION)];
    assert_eq!(pending_while_told(&told), 1);
    assert_eq!(pending_while_told(&[alive(1, VERSION + 1), alive(2, VERSION)]), 0);
}

#[test]
fn a_configuration_that_comes_again_confirms_nothing() {
    let update = ConfigurationUpdate { version: VERSION, body: Blob::from(CONFIGURATION.as_bytes()) };
    let told = [alive(2, VERSION + 1), CoordinatorReply::Configuration(update)];
    assert_eq!(pending_while_told(&told), 1);
}
