//! Whom a store answers, and what it answers for: edges that connect again or live again, and leaders that follow each
//! other.

mod cluster;

use cluster::{CONFIGURATION, Cluster, GROUP, LIVENESS_MS, message};
use ruddervalve_protocol::{AppendOutcome, EdgeToStore, MessageId, MessagePhase, ReplicaId, StoreToEdge};
use ruddervalve_store::EdgeNumber;

const STORES: [ReplicaId; 3] = [ReplicaId(1), ReplicaId(2), ReplicaId(3)];
const LEADER: ReplicaId = STORES[0];
const VERSION: u64 = 1;
/// Time in which another store takes over in any case.
const TAKEOVER_MS: u64 = 2 * LIVENESS_MS;

/// A shard that is led and has a configuration.
fn led() -> Cluster {
    let mut cluster = Cluster::of_three(["s1", "s2", "s3"]);
    assert!(cluster.run_until(3 * LIVENESS_MS, |cluster| cluster.leader() == Some(LEADER)));
    cluster.run(LIVENESS_MS);
    for store in STORES {
        cluster.configure(store, VERSION, CONFIGURATION);
    }
    cluster
}

fn append(request: u64, id: &str) -> EdgeToStore {
    EdgeToStore::Append { request, group: GROUP, lease_here: false, message: message(id, 10) }
}

fn question(request: u64, id: &str) -> EdgeToStore {
    EdgeToStore::Status { request, group: GROUP, id: MessageId(id.to_owned()), body: false }
}

/// Answers to appends of a store since the last call: connection and request.
fn promises(cluster: &mut Cluster, store: ReplicaId) -> Vec<(EdgeNumber, u64)> {
    let told = std::mem::take(&mut cluster.member(store).to_edges);
    let promise = |(number, message): (EdgeNumber, StoreToEdge)| match message {
        StoreToEdge::Appended { request, outcome: AppendOutcome::Accepted { .. } } => Some((number, request)),
        _ => None,
    };
    told.into_iter().filter_map(promise).collect()
}

/// What a store says of a message: whether it leads, and the state.
fn state(
    cluster: &mut Cluster,
    store: ReplicaId,
    edge: EdgeNumber,
    id: &str,
) -> (bool, Option<MessagePhase>) {
    cluster.told(store);
    cluster.edge_says(store, edge, question(1, id));
    cluster.settle();
    let told = cluster.told(store).into_iter().find_map(|message| match message {
        StoreToEdge::Status { leads, phase, .. } => Some((leads, phase)),
        _ => None,
    });
    told.expect("every question is answered")
}

#[test]
fn an_answer_goes_to_the_newest_connection_of_the_life_that_asked() {
    let mut cluster = led();
    let first = cluster.edge(LEADER, 7);
    let other_life = cluster.edge(LEADER, 8);
    cluster.told(LEADER);
    cluster.edge_says(LEADER, first, append(1, "m1"));
    cluster.edge_says(LEADER, other_life, append(1, "m2"));
    let second = cluster.edge(LEADER, 7);
    cluster.settle();
    let mut told = promises(&mut cluster, LEADER);
    told.sort_unstable();
    let mut expected = [(second, 1), (other_life, 1)];
    expected.sort_unstable();
    assert_eq!(told, expected);
}

#[test]
fn what_still_comes_on_an_older_connection_is_passed_over() {
    let mut cluster = led();
    let first = cluster.edge(LEADER, 7);
    let second = cluster.edge(LEADER, 7);
    cluster.edge_says(LEADER, first, append(1, "m1"));
    cluster.edge_says(LEADER, first, question(2, "m1"));
    cluster.run(100);
    assert!(promises(&mut cluster, LEADER).is_empty());
    assert_eq!(state(&mut cluster, LEADER, second, "m1"), (true, None), "it was never appended");
    let now = cluster.now;
    cluster.member(LEADER).core.edge_ended(now, first);
    cluster.edge_says(LEADER, second, append(3, "m1"));
    cluster.settle();
    assert_eq!(promises(&mut cluster, LEADER), [(second, 3)], "the end of the older one ends nothing");
}

#[test]
fn an_answer_for_a_life_that_has_no_connection_goes_nowhere() {
    let mut cluster = led();
    let dead = cluster.edge(LEADER, 7);
    cluster.edge_says(LEADER, dead, append(1, "m1"));
    let now = cluster.now;
    cluster.member(LEADER).core.edge_ended(now, dead);
    let successor = cluster.edge(LEADER, 8);
    cluster.run(100);
    assert!(promises(&mut cluster, LEADER).is_empty());
    assert_eq!(state(&mut cluster, LEADER, successor, "m1"), (true, Some(MessagePhase::Pending)));
}

/// What becomes of the leader that accepted a message.
#[derive(Debug, Clone, Copy)]
enum Fate {
    Cut,
    Lost,
    HandsOver,
}

#[test]
fn no_leader_denies_a_message_that_was_accepted() {
    for fate in [Fate::Cut, Fate::Lost, Fate::HandsOver] {
        for after_ms in [0, 1, 50, 200] {
            let mut cluster = led();
            let edges = STORES.map(|store| cluster.edge(store, 7));
            cluster.edge_says(LEADER, edges[0], append(1, "m1"));
            cluster.settle();
            assert_eq!(promises(&mut cluster, LEADER), [(edges[0], 1)]);
            cluster.run(after_ms);
            let now = cluster.now;
            match fate {
                Fate::Cut => drop(cluster.cut.insert(LEADER)),
                Fate::Lost => cluster.lose(LEADER),
                Fate::HandsOver => cluster.member(LEADER).core.terminate(now),
            }
            let mut knows_at = None;
            for passed_ms in 0..TAKEOVER_MS {
                cluster.run(1);
                for (store, edge) in STORES.into_iter().zip(edges) {
                    if !cluster.members.contains_key(&store) {
                        continue;
                    }
                    let (leads, phase) = state(&mut cluster, store, edge, "m1");
                    assert!(!leads || phase.is_some(), "{fate:?} {after_ms}: {store:?} after {passed_ms} ms");
                    knows_at = knows_at.or((leads && store != LEADER).then_some(passed_ms));
                }
            }
            assert!(knows_at.is_some(), "{fate:?} {after_ms}: nobody took over");
        }
    }
}
