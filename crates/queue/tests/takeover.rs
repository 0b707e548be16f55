//! Edges that fall silent or die, and leaders that follow each other.

mod support;

use ruddervalve_protocol::{InventoryItem, NewMessage};
use ruddervalve_queue::Action;
use support::{
    Shard, VISIBILITY_MS, callbacks_in, calling, edge, grants_in, id, keyed, message, plain_policy,
    recorded_in, success,
};

fn shard_with_lease() -> (Shard, ruddervalve_protocol::LeaseId) {
    let mut shard = Shard::new(plain_policy());
    shard.join_with_credits(1, "near", "s", 9);
    shard.join(2, "far");
    shard.accept(message("a", "/s/"));
    let (edge, lease) = shard.granted("a");
    assert_eq!(edge, 1);
    (shard, lease)
}

#[test]
fn a_new_leader_waits_for_all_inventories() {
    let (mut shard, lease) = shard_with_lease();
    shard.accept(message("b", "/t/"));
    shard.change_leader();
    shard.connect(2, "node-2", "far");
    shard.inventory(2, &[]);
    shard.credits(2, "s", 9);
    assert!(shard.grants().is_empty());
    shard.connect(1, "node-1", "near");
    shard.inventory(1, &[("a", lease)]);
    assert!(shard.grants().is_empty());
    assert_eq!(shard.leader.lease_of(&id("a")), Some((edge(1), lease)));
}

#[test]
fn what_no_inventory_names_runs_once_all_have_come() {
    let (mut shard, _) = shard_with_lease();
    shard.change_leader();
    for number in [1, 2] {
        shard.connect(number, &format!("node-{number}"), "far");
        shard.credits(number, "s", 9);
        assert!(shard.grants().is_empty());
        shard.inventory(number, &[]);
    }
    shard.granted("a");
}

#[test]
fn a_new_leader_grants_new_messages_without_waiting() {
    let (mut shard, _) = shard_with_lease();
    shard.change_leader();
    shard.connect(2, "node-2", "far");
    shard.inventory(2, &[]);
    shard.credits(2, "s", 9);
    shard.accept_at(message("new", "/s/"), 2, false);
    assert_eq!(shard.granted_names(), ["new"]);
}

#[test]
fn a_new_message_waits_behind_a_suspect_of_its_key() {
    let mut shard = Shard::new(plain_policy());
    shard.join(1, "near");
    shard.accept(keyed("a", "/s/", "k"));
    shard.change_leader();
    shard.join_with_credits(2, "near", "s", 9);
    assert_eq!(shard.accept_at(keyed("b", "/s/", "k"), 2, true), None);
    assert!(shard.grants().is_empty());
    shard.advance(VISIBILITY_MS);
    shard.leader.heartbeat(shard.now_ms, edge(2));
    let (_, lease) = shard.granted("a");
    shard.outcome(2, "a", lease, success());
    shard.granted("b");
}

#[test]
fn suspects_run_after_the_visibility_timeout_though_an_edge_is_missing() {
    let (mut shard, _) = shard_with_lease();
    shard.change_leader();
    shard.join_with_credits(2, "far", "s", 9);
    shard.advance(VISIBILITY_MS - 1);
    shard.leader.heartbeat(shard.now_ms, edge(2));
    assert!(shard.grants().is_empty());
    shard.advance(1);
    shard.granted("a");
}

#[test]
fn a_newer_process_of_the_machine_settles_for_the_dead_one() {
    let (mut shard, _) = shard_with_lease();
    shard.change_leader();
    shard.join_with_credits(2, "far", "s", 9);
    assert!(shard.grants().is_empty());
    let outputs = shard.connect(11, "node-1", "near");
    assert_eq!(grants_in(&outputs).len(), 1, "freed by the connection alone");
}

#[test]
fn a_newer_process_of_the_machine_frees_the_leases_of_the_dead_one_at_once() {
    let (mut shard, lease) = shard_with_lease();
    shard.credits(2, "s", 9);
    shard.connect(11, "node-1", "near");
    shard.poll();
    assert_ne!(shard.leader.lease_of(&id("a")).map(|(edge, _)| edge), Some(edge(1)));
    assert!(shard.state.attached_edges().all(|attached| attached.edge != edge(1)));
    shard.outcome(1, "a", lease, success());
    shard.poll();
    assert!(shard.has_succeeded("a"), "its last words still count");
}

#[test]
fn a_late_connection_of_an_older_process_gets_nothing_and_takes_nothing() {
    let mut shard = Shard::new(plain_policy());
    shard.apply(Action::AttachEdge { edge: edge(1), node: "node-1".to_owned() });
    shard.apply(Action::AttachEdge { edge: edge(11), node: "node-1".to_owned() });
    shard.connect(11, "node-1", "near");
    shard.inventory(11, &[]);
    shard.credits(11, "s", 1);
    shard.accept(message("a", "/s/"));
    let (holder, lease) = shard.granted("a");
    assert_eq!(holder, 11);
    shard.connect(1, "node-1", "near");
    shard.inventory(1, &[]);
    shard.credits(1, "s", 9);
    shard.accept(message("b", "/s/"));
    assert!(shard.grants().is_empty());
    assert_eq!(shard.leader.lease_of(&id("a")), Some((edge(11), lease)));
}

#[test]
fn a_silent_edge_loses_its_leases_after_the_visibility_timeout() {
    for disconnected in [true, false] {
        let (mut shard, _) = shard_with_lease();
        if disconnected {
            shard.leader.edge_disconnected(shard.now_ms, edge(1));
        }
        shard.advance(VISIBILITY_MS - 1);
        shard.credits(2, "s", 9);
        assert!(shard.grants().is_empty());
        shard.advance(1);
        let (holder, _) = shard.granted("a");
        assert_eq!(holder, 2);
    }
}

#[test]
fn an_edge_that_is_heard_keeps_its_leases() {
    let (mut shard, lease) = shard_with_lease();
    for _ in 0..10 {
        shard.advance(VISIBILITY_MS / 2);
        shard.leader.heartbeat(shard.now_ms, edge(1));
        shard.credits(2, "s", 9);
        assert!(shard.grants().is_empty());
    }
    assert_eq!(shard.leader.lease_of(&id("a")), Some((edge(1), lease)));
}

#[test]
fn a_reconnected_edge_keeps_what_it_names_and_loses_what_never_reached_it() {
    let (mut shard, lease) = shard_with_lease();
    shard.accept(message("b", "/s/"));
    shard.granted("b");
    shard.leader.edge_disconnected(shard.now_ms, edge(1));
    shard.advance(200);
    shard.connect(1, "node-1", "near");
    shard.credits(1, "s", 9);
    assert!(shard.grants().is_empty());
    shard.inventory(1, &[("a", lease)]);
    shard.granted("b");
    assert_eq!(shard.leader.lease_of(&id("a")), Some((edge(1), lease)));
}

#[test]
fn a_later_inventory_on_the_same_connection_frees_nothing() {
    let (mut shard, lease) = shard_with_lease();
    shard.inventory(1, &[]);
    shard.credits(2, "s", 9);
    assert!(shard.grants().is_empty());
    assert_eq!(shard.leader.lease_of(&id("a")), Some((edge(1), lease)));
}

#[test]
fn an_inventory_after_the_timeout_is_taken_over_unless_another_edge_holds_the_message() {
    let (mut shard, lease) = shard_with_lease();
    shard.change_leader();
    shard.advance(VISIBILITY_MS);
    shard.poll();
    shard.connect(1, "node-1", "near");
    shard.inventory(1, &[("a", lease)]);
    shard.credits(1, "s", 9);
    assert!(shard.grants().is_empty());
    assert_eq!(shard.leader.lease_of(&id("a")), Some((edge(1), lease)));

    let (mut shard, lease) = shard_with_lease();
    shard.change_leader();
    shard.advance(VISIBILITY_MS);
    shard.join_with_credits(2, "far", "s", 9);
    let (holder, newer) = shard.granted("a");
    assert_eq!(holder, 2);
    shard.connect(1, "node-1", "near");
    shard.inventory(1, &[("a", lease)]);
    assert_eq!(shard.leader.lease_of(&id("a")), Some((edge(2), newer)));
}

#[test]
fn an_inventory_of_an_ended_message_is_recorded_at_once() {
    let (mut shard, lease) = shard_with_lease();
    shard.outcome(1, "a", lease, success());
    shard.poll();
    shard.change_leader();
    shard.connect(1, "node-1", "near");
    shard.inventory(1, &[("a", lease)]);
    assert_eq!(recorded_in(&shard.poll()), [("a".to_owned(), 1, lease)]);
}

#[test]
fn leases_of_different_leaders_differ() {
    let (mut shard, first) = shard_with_lease();
    shard.change_leader();
    shard.advance(VISIBILITY_MS);
    shard.join_with_credits(2, "far", "s", 9);
    let (_, second) = shard.granted("a");
    assert_ne!(first, second);
    assert_eq!((first.term, second.term), (1, 2));
}

#[test]
fn an_edge_that_is_gone_is_detached_once_its_leases_are_free() {
    let (mut shard, _) = shard_with_lease();
    shard.leader.edge_disconnected(shard.now_ms, edge(1));
    let attached = |shard: &Shard| shard.state.attached_edges().any(|attached| attached.edge == edge(1));
    shard.advance(VISIBILITY_MS);
    shard.poll();
    assert!(attached(&shard));
    shard.advance(shard.settings.liveness_ms);
    shard.poll();
    assert!(!attached(&shard));
    assert!(shard.state.attached_edges().any(|attached| attached.edge == edge(2)));
}

#[test]
fn an_edge_that_no_new_leader_hears_of_is_detached() {
    let (mut shard, _) = shard_with_lease();
    shard.change_leader();
    shard.advance(VISIBILITY_MS + shard.settings.liveness_ms);
    shard.poll();
    assert_eq!(shard.state.attached_edges().count(), 0);
    shard.join_with_credits(1, "near", "s", 9);
    assert_eq!(shard.granted_names(), ["a"]);
    assert_eq!(shard.state.attached_edges().count(), 1);
}

#[test]
fn an_edge_that_comes_back_while_it_is_detached_is_attached_again_before_it_gets_grants() {
    let (mut shard, _) = shard_with_lease();
    shard.change_leader();
    shard.holds = true;
    shard.advance(VISIBILITY_MS + shard.settings.liveness_ms);
    shard.poll();
    shard.connect(1, "node-1", "near");
    shard.inventory(1, &[]);
    shard.credits(1, "s", 9);
    assert!(shard.grants().is_empty());
    shard.unhold();
    assert_eq!(shard.granted_names(), ["a"]);
    assert!(shard.state.attached_edges().any(|attached| attached.edge == edge(1)));
}

#[test]
fn a_suspect_ends_at_its_retention_only_when_no_edge_can_hold_it() {
    let mut shard = Shard::new(plain_policy());
    shard.join(1, "near");
    shard.accept(NewMessage { retention_ms: 500, ..message("a", "/s/") });
    shard.change_leader();
    shard.advance(1000);
    shard.poll();
    assert!(!shard.is_dead("a"));
    shard.advance(VISIBILITY_MS - 1000);
    shard.poll();
    assert!(shard.is_dead("a"));
}

#[test]
fn a_callback_that_an_edge_makes_is_not_granted_again_by_a_new_leader() {
    let mut shard = Shard::new(plain_policy());
    shard.join_with_credits(1, "near", "s", 9);
    shard.join(2, "near");
    shard.accept(calling("a", "/s/", "http://r:1/x"));
    let (_, lease) = shard.granted("a");
    shard.outcome(1, "a", lease, success());
    assert_eq!(callbacks_in(&shard.poll()), [("a".to_owned(), 1)]);
    shard.change_leader();
    shard.join(2, "near");
    assert!(callbacks_in(&shard.poll()).is_empty(), "edge 1 may make it");
    shard.connect(1, "node-1", "near");
    let item = InventoryItem { id: id("a"), lease: None };
    shard.leader.inventory(shard.now_ms, edge(1), &[item]);
    assert!(callbacks_in(&shard.poll()).is_empty());
    shard.leader.edge_disconnected(shard.now_ms, edge(1));
    shard.advance(VISIBILITY_MS - 1);
    shard.leader.heartbeat(shard.now_ms, edge(2));
    assert!(callbacks_in(&shard.poll()).is_empty());
    shard.advance(1);
    assert_eq!(callbacks_in(&shard.poll()), [("a".to_owned(), 2)]);
}

const RECONNECT_MS: u64 = 500;

fn shard_that_expects_reconnections() -> (Shard, ruddervalve_protocol::LeaseId) {
    let settings = ruddervalve_queue::LeaderSettings { reconnect_ms: RECONNECT_MS, ..support::settings() };
    let mut shard = Shard::with_settings(plain_policy(), settings);
    shard.join_with_credits(1, "near", "s", 1);
    shard.accept(message("a", "/s/"));
    let (_, lease) = shard.granted("a");
    shard.join_with_credits(2, "far", "s", 9);
    (shard, lease)
}

#[test]
fn an_edge_that_does_not_connect_again_loses_its_leases_soon() {
    let (mut shard, _) = shard_that_expects_reconnections();
    shard.leader.edge_disconnected(shard.now_ms, edge(1));
    shard.advance(RECONNECT_MS - 1);
    assert!(shard.grants().is_empty());
    shard.advance(1);
    assert_eq!(shard.granted("a").0, 2);
}

#[test]
fn an_edge_that_connects_again_keeps_its_leases() {
    let (mut shard, lease) = shard_that_expects_reconnections();
    shard.leader.edge_disconnected(shard.now_ms, edge(1));
    shard.advance(RECONNECT_MS - 1);
    shard.connect(1, "node-1", "near");
    shard.inventory(1, &[("a", lease)]);
    shard.advance(RECONNECT_MS);
    assert!(shard.grants().is_empty());
    assert_eq!(shard.leader.lease_of(&id("a")), Some((edge(1), lease)));
}

#[test]
fn a_new_leader_does_not_wait_for_an_edge_that_does_not_connect() {
    let (mut shard, _) = shard_that_expects_reconnections();
    shard.change_leader();
    shard.connect(2, "node-2", "far");
    shard.inventory(2, &[]);
    shard.credits(2, "s", 9);
    assert!(shard.grants().is_empty());
    shard.advance(RECONNECT_MS);
    assert_eq!(shard.granted("a").0, 2);
}

#[test]
fn a_new_leader_waits_for_an_edge_that_is_connected_and_slow() {
    let (mut shard, lease) = shard_that_expects_reconnections();
    shard.change_leader();
    shard.connect(2, "node-2", "far");
    shard.inventory(2, &[]);
    shard.credits(2, "s", 9);
    shard.connect(1, "node-1", "near");
    shard.advance(RECONNECT_MS + 1);
    assert!(shard.grants().is_empty());
    shard.inventory(1, &[("a", lease)]);
    assert!(shard.grants().is_empty());
}
