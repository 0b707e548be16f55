//! What a store does while its lease is in doubt, and in a handover.

mod cluster;

use cluster::{CONFIGURATION, Cluster, GROUP, LIVENESS_MS, message};
use ruddervalve_protocol::{
    AppendOutcome, DeliveryOutcome, EdgeToStore, LeaseId, MessageId, ReplicaId, StoreToEdge,
};
use ruddervalve_store::EdgeNumber;

const LEADER: ReplicaId = ReplicaId(1);
/// The version of [`CONFIGURATION`].
const VERSION: u64 = 1;

/// A shard that is led and has a configuration, and an edge at its leader that has told what it holds.
fn led() -> (Cluster, EdgeNumber) {
    let mut cluster = Cluster::of_three(["s1", "s2", "s3"]);
    assert!(cluster.run_until(3 * LIVENESS_MS, |cluster| cluster.leader() == Some(LEADER)));
    cluster.run(LIVENESS_MS);
    cluster.configure(LEADER, VERSION, CONFIGURATION);
    let edge = cluster.edge(LEADER, 7);
    cluster.takes_stock(LEADER, edge);
    // The leader waits until it has heard of edges that were connected to its predecessor.
    cluster.run(2 * LIVENESS_MS);
    cluster.edge_says(LEADER, edge, EdgeToStore::Heartbeat);
    cluster.settle();
    cluster.told(LEADER);
    (cluster, edge)
}

fn append(id: &str, body_bytes: usize) -> EdgeToStore {
    EdgeToStore::Append { request: 1, group: GROUP, lease_here: true, message: message(id, body_bytes) }
}

fn outcomes(told: &[StoreToEdge]) -> Vec<AppendOutcome> {
    let outcome = |message: &StoreToEdge| match message {
        StoreToEdge::Appended { outcome, .. } => Some(outcome.clone()),
        _ => None,
    };
    told.iter().filter_map(outcome).collect()
}

#[test]
fn an_append_is_leased_with_its_acknowledgement() {
    let (mut cluster, edge) = led();
    cluster.edge_says(LEADER, edge, append("m1", 10));
    cluster.settle();
    let told = outcomes(&cluster.told(LEADER));
    assert!(matches!(told.as_slice(), [AppendOutcome::Accepted { lease: Some(_) }]), "{told:?}");
}

#[test]
fn an_append_that_commits_in_a_handover_is_acknowledged_without_a_lease() {
    let (mut cluster, edge) = led();
    cluster.edge_says(LEADER, edge, append("m1", 10));
    let now = cluster.now;
    cluster.member(LEADER).core.terminate(now);
    cluster.settle();
    let told = outcomes(&cluster.told(LEADER));
    assert!(!told.is_empty());
    let leased = |outcome: &AppendOutcome| matches!(outcome, AppendOutcome::Accepted { lease: Some(_) });
    assert!(!told.iter().any(leased), "{told:?}");
}

#[test]
fn a_store_in_doubt_of_its_lease_says_nothing_of_outcomes() {
    let (mut cluster, edge) = led();
    cluster.cut.insert(LEADER);
    let in_doubt = |cluster: &Cluster| cluster.leader() != Some(LEADER);
    assert!(cluster.run_until(LIVENESS_MS, in_doubt));
    let outcome = DeliveryOutcome::Succeeded { signature: "s".to_owned() };
    let (id, lease) = (MessageId("m9".to_owned()), LeaseId { term: 99, number: 1 });
    cluster.edge_says(LEADER, edge, EdgeToStore::Outcome { group: GROUP, id, lease, outcome });
    cluster.run(LIVENESS_MS);
    let recorded = |message: &StoreToEdge| matches!(message, StoreToEdge::OutcomeRecorded { .. });
    assert!(!cluster.told(LEADER).iter().any(recorded));
}

#[test]
fn a_message_that_is_kept_is_acknowledged_without_room_for_another() {
    let (mut cluster, edge) = led();
    // A little more than the part of 256 MB that bodies may take.
    let mebibytes = 90;
    for number in 0..mebibytes {
        cluster.edge_says(LEADER, edge, append(&format!("big-{number}"), 1_024 * 1_024));
        cluster.settle();
    }
    cluster.told(LEADER);
    cluster.edge_says(LEADER, edge, append("one-more", 10));
    cluster.edge_says(LEADER, edge, append("big-0", 1_024 * 1_024));
    cluster.settle();
    let told = outcomes(&cluster.told(LEADER));
    let expected =
        [AppendOutcome::Refused { retry_after_ms: 3_000 }, AppendOutcome::Accepted { lease: None }];
    assert_eq!(told, expected);
}

#[test]
fn a_stock_that_was_meant_for_an_earlier_term_is_not_taken() {
    let (mut cluster, _) = led();
    let edge = cluster.edge(LEADER, 8);
    cluster.run(100);
    let term = cluster.member(LEADER).core.shards()[&GROUP].office().unwrap();
    cluster.edge_says(LEADER, edge, EdgeToStore::Follows { group: GROUP, term: term - 1 });
    cluster.edge_says(LEADER, edge, EdgeToStore::Inventory { group: GROUP, items: Vec::new() });
    cluster.told(LEADER);
    cluster.edge_says(LEADER, edge, append("m1", 10));
    cluster.settle();
    assert_eq!(outcomes(&cluster.told(LEADER)), [AppendOutcome::Accepted { lease: None }]);
    cluster.takes_stock(LEADER, edge);
    cluster.edge_says(LEADER, edge, EdgeToStore::Credits { services: Vec::new() });
    cluster.settle();
    cluster.told(LEADER);
    // The first message waits for a credit, and a lease at once does not overtake it.
    cluster.edge_says(LEADER, edge, EdgeToStore::Credits { services: vec![("s".to_owned(), 1)] });
    cluster.settle();
    cluster.told(LEADER);
    cluster.edge_says(LEADER, edge, append("m2", 10));
    cluster.settle();
    let told = outcomes(&cluster.told(LEADER));
    assert!(matches!(told.as_slice(), [AppendOutcome::Accepted { lease: Some(_) }]), "{told:?}");
}
