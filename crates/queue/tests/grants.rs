//! Who may run when, and which edge gets it.

mod support;

use ruddervalve_protocol::{DeliveryOutcome, NewMessage};
use ruddervalve_queue::{Action, LeaderOutput, Observation};
use support::{Shard, TestPolicy, edge, id, keyed, message, plain_policy, settings, success};

#[test]
fn a_message_goes_to_an_edge_with_credits() {
    let mut shard = Shard::new(plain_policy());
    shard.join_with_credits(1, "near", "s", 1);
    shard.accept(message("a", "/s/"));
    let (edge, lease) = shard.granted("a");
    assert_eq!((edge, lease.term), (1, 1));
}

#[test]
fn nothing_is_granted_without_credits_or_for_other_services() {
    let mut shard = Shard::new(plain_policy());
    shard.join_with_credits(1, "near", "other", 5);
    shard.accept(message("a", "/s/"));
    assert!(shard.grants().is_empty());
    shard.credits(1, "s", 1);
    shard.granted("a");
}

#[test]
fn a_credit_is_spent_by_a_grant_and_replaced_by_the_next_number() {
    let mut shard = Shard::new(plain_policy());
    shard.join_with_credits(1, "near", "s", 2);
    for name in ["a", "b", "c", "d"] {
        shard.accept(message(name, "/s/"));
    }
    assert_eq!(shard.granted_names(), ["a", "b"]);
    shard.credits(1, "s", 1);
    assert_eq!(shard.granted_names(), ["c"]);
    shard.leader.credits(shard.now_ms, edge(1), &[]);
    assert!(shard.grants().is_empty());
}

#[test]
fn edges_in_the_zone_come_first_then_the_one_with_most_credits() {
    let mut shard = Shard::new(plain_policy());
    shard.join_with_credits(1, "far", "s", 50);
    shard.join_with_credits(2, "near", "s", 1);
    shard.join_with_credits(3, "near", "s", 3);
    for number in 0..6 {
        shard.accept(message(&format!("m{number}"), "/s/"));
    }
    let edges: Vec<u64> = shard.grants().into_iter().map(|(_, edge, _)| edge).collect();
    assert_eq!(edges, [3, 3, 3, 2, 1, 1]);
}

#[test]
fn nothing_is_granted_before_the_attachment_is_applied_and_the_inventory_has_come() {
    let mut shard = Shard::new(plain_policy());
    shard.holds = true;
    shard.connect(1, "node-1", "near");
    shard.leader.inventory(shard.now_ms, edge(1), &[]);
    shard.credits(1, "s", 5);
    shard.accept(message("a", "/s/"));
    assert!(shard.grants().is_empty());
    assert!(shard.held.contains(&Action::AttachEdge { edge: edge(1), node: "node-1".to_owned() }));
    shard.unhold();
    shard.granted("a");

    let mut shard = Shard::new(plain_policy());
    shard.connect(1, "node-1", "near");
    shard.credits(1, "s", 5);
    shard.accept(message("a", "/s/"));
    assert!(shard.grants().is_empty());
    shard.inventory(1, &[]);
    shard.granted("a");
}

#[test]
fn a_known_edge_is_not_attached_again() {
    let mut shard = Shard::new(plain_policy());
    shard.join(1, "near");
    shard.holds = true;
    shard.leader.edge_disconnected(shard.now_ms, edge(1));
    shard.connect(1, "node-1", "near");
    assert!(shard.held.is_empty());
}

#[test]
fn a_leaving_edge_gets_nothing_more() {
    let mut shard = Shard::new(plain_policy());
    shard.join_with_credits(1, "near", "s", 5);
    shard.leader.leaving(edge(1));
    shard.accept(message("a", "/s/"));
    assert!(shard.grants().is_empty());
    assert_eq!(shard.accept_at(message("b", "/s/"), 1, true), None);
    shard.credits(1, "s", 5);
    assert!(shard.grants().is_empty());
    shard.join_with_credits(2, "near", "s", 5);
    assert_eq!(shard.granted_names(), ["a", "b"]);
}

#[test]
fn a_quiet_edge_gets_nothing_until_it_is_heard() {
    let mut shard = Shard::new(plain_policy());
    shard.join_with_credits(1, "near", "s", 5);
    shard.poll();
    shard.advance(1600);
    shard.accept_at(message("a", "/s/"), 2, false);
    assert!(shard.grants().is_empty());
    shard.leader.heartbeat(shard.now_ms, edge(1));
    shard.granted("a");
}

#[test]
fn a_delayed_message_waits_until_it_is_due() {
    let mut shard = Shard::new(plain_policy());
    shard.join_with_credits(1, "near", "s", 5);
    let delayed = NewMessage { delay_ms: 500, ..message("a", "/s/") };
    assert_eq!(shard.accept_at(delayed, 1, true), None);
    assert!(shard.grants().is_empty());
    let due_ms = shard.now_ms + 500;
    assert_eq!(shard.leader.next_wake(shard.now_ms), Some(due_ms));
    shard.advance(499);
    assert!(shard.grants().is_empty());
    shard.advance(1);
    shard.granted("a");
}

#[test]
fn ready_messages_go_by_priority_then_by_when_they_were_due() {
    let policy = TestPolicy::default().route("/s/", "s").urgent_route("/u/", "s").service("s");
    let mut shard = Shard::new(policy);
    shard.join(1, "near");
    shard.accept(NewMessage { delay_ms: 20, ..message("late", "/s/") });
    shard.advance(10);
    shard.accept(message("early", "/s/"));
    shard.accept(message("urgent", "/u/"));
    shard.advance(20);
    shard.poll();
    shard.credits(1, "s", 9);
    assert_eq!(shard.granted_names(), ["urgent", "early", "late"]);
}

#[test]
fn the_accepting_edge_gets_the_lease_at_once_without_a_credit() {
    let mut shard = Shard::new(plain_policy());
    shard.join(1, "near");
    let lease = shard.accept_at(message("a", "/s/"), 1, true).expect("may run now");
    assert!(shard.grants().is_empty());
    assert_eq!(shard.leader.lease_of(&id("a")), Some((edge(1), lease)));
    shard.outcome(1, "a", lease, success());
    shard.poll();
    assert!(shard.has_succeeded("a"));
}

#[test]
fn a_lease_at_once_does_not_overtake_a_waiting_message() {
    let mut shard = Shard::new(plain_policy());
    shard.join(1, "near");
    shard.accept(message("first", "/s/"));
    assert_eq!(shard.accept_at(message("second", "/s/"), 1, true), None);
    shard.credits(1, "s", 9);
    assert_eq!(shard.granted_names(), ["first", "second"]);
}

#[test]
fn a_lease_at_once_comes_after_the_waiting_ones_were_granted() {
    let mut shard = Shard::new(plain_policy());
    shard.join_with_credits(1, "near", "s", 1);
    shard.accept(message("first", "/s/"));
    assert!(shard.accept_at(message("second", "/s/"), 1, true).is_some());
    assert_eq!(shard.granted_names(), ["first"]);
}

#[test]
fn a_lease_at_once_needs_an_edge_that_may_get_grants() {
    let mut shard = Shard::new(plain_policy());
    shard.connect(1, "node-1", "near");
    assert_eq!(shard.accept_at(message("a", "/s/"), 1, true), None);
    assert_eq!(shard.accept_at(message("b", "/s/"), 77, true), None);
}

#[test]
fn a_repeated_append_can_still_get_the_lease_but_not_a_second_one() {
    let mut shard = Shard::new(plain_policy());
    shard.join(1, "near");
    shard.accept(message("a", "/s/"));
    assert!(shard.accept_at(message("a", "/s/"), 1, true).is_some());
    assert_eq!(shard.accept_at(message("a", "/s/"), 1, true), None);
}

#[test]
fn messages_of_a_key_run_one_after_the_other_in_the_order_of_acceptance() {
    let mut shard = Shard::new(plain_policy());
    shard.join_with_credits(1, "near", "s", 9);
    for name in ["a", "b", "c"] {
        shard.accept(keyed(name, "/s/", "k"));
    }
    for name in ["a", "b", "c"] {
        let (edge, lease) = shard.granted(name);
        shard.outcome(edge, name, lease, success());
    }
    shard.poll();
    assert!(shard.has_succeeded("c"));
}

#[test]
fn a_key_waits_until_the_end_is_applied() {
    let mut shard = Shard::new(plain_policy());
    shard.join_with_credits(1, "near", "s", 9);
    shard.accept(keyed("a", "/s/", "k"));
    shard.accept(keyed("b", "/s/", "k"));
    let (edge, lease) = shard.granted("a");
    shard.holds = true;
    shard.outcome(edge, "a", lease, success());
    assert!(shard.grants().is_empty());
    shard.unhold();
    shard.granted("b");
}

#[test]
fn a_key_waits_for_its_first_message_through_delays_and_retries() {
    let mut shard = Shard::new(plain_policy());
    shard.join_with_credits(1, "near", "s", 9);
    shard.accept(NewMessage { delay_ms: 100, ..keyed("a", "/s/", "k") });
    assert_eq!(shard.accept_at(keyed("b", "/s/", "k"), 1, true), None);
    assert!(shard.grants().is_empty());
    shard.advance(100);
    let (edge, lease) = shard.granted("a");
    shard.outcome(edge, "a", lease, DeliveryOutcome::Unclear);
    assert!(shard.grants().is_empty());
    let (name, edge, lease) = shard.grants_within(100).remove(0);
    assert_eq!(name, "a");
    shard.outcome(edge, "a", lease, DeliveryOutcome::Rejected);
    shard.granted("b");
}

#[test]
fn a_blocked_key_blocks_no_other() {
    let policy = plain_policy().route("/t/", "t").service("t");
    let mut shard = Shard::new(policy);
    shard.join(1, "near");
    let credits = [("s".to_owned(), 9), ("t".to_owned(), 9)];
    shard.leader.credits(shard.now_ms, edge(1), &credits);
    shard.accept(keyed("a", "/s/", "k"));
    let (holder, lease) = shard.granted("a");
    shard.accept(keyed("b", "/s/", "k"));
    shard.accept(keyed("c", "/s/", "other"));
    shard.accept(keyed("d", "/t/", "k"));
    shard.accept(keyed("e", "/t/", "third"));
    shard.accept(message("f", "/s/"));
    let mut names = shard.granted_names();
    names.sort();
    assert_eq!(names, ["c", "e", "f"]);
    shard.outcome(holder, "a", lease, success());
    let (holder, lease) = shard.granted("b");
    shard.outcome(holder, "b", lease, success());
    shard.granted("d");
}

#[test]
fn a_granted_message_is_not_granted_again_while_it_is_held() {
    let mut shard = Shard::new(plain_policy());
    shard.join_with_credits(1, "near", "s", 9);
    shard.accept(message("a", "/s/"));
    shard.granted("a");
    for _ in 0..20 {
        shard.advance(1000);
        shard.leader.heartbeat(shard.now_ms, edge(1));
        assert!(shard.grants().is_empty());
    }
}

#[test]
fn the_limits_of_the_settings_are_proposed_once() {
    let mut shard = Shard::new(plain_policy());
    shard.poll();
    assert_eq!(shard.state.limits(), shard.settings.limits);
    shard.change_leader();
    let outputs = shard.leader.poll(shard.now_ms, &mut shard.windows);
    assert!(!outputs.iter().any(|output| matches!(output, LeaderOutput::Propose(_))));
}

#[test]
fn next_wake_asks_for_a_poll_at_once_while_something_can_be_done() {
    let mut shard = Shard::new(plain_policy());
    shard.join_with_credits(1, "near", "s", 9);
    shard.poll();
    assert!(shard.leader.next_wake(shard.now_ms) > Some(shard.now_ms));
    shard.accept(message("a", "/s/"));
    assert_eq!(shard.leader.next_wake(shard.now_ms), Some(shard.now_ms));
    shard.poll();
    assert!(shard.leader.next_wake(shard.now_ms) > Some(shard.now_ms));
}

#[test]
fn messages_that_no_edge_offers_to_deliver_are_observed_while_they_wait() {
    let mut shard = Shard::new(plain_policy());
    shard.join(1, "near");
    let waiting = |for_ms| Observation::NoCredits { service: "s".to_owned(), messages: 2, for_ms };
    shard.accept(message("a", "/s/"));
    shard.accept(message("b", "/s/"));
    let liveness_ms = settings().liveness_ms;
    let observed = |shard: &mut Shard, after_ms| {
        shard.advance(after_ms);
        shard.leader.heartbeat(shard.now_ms, edge(1));
        assert!(shard.grants().is_empty());
        shard.leader.observations()
    };
    assert_eq!(observed(&mut shard, 0), []);
    assert_eq!(observed(&mut shard, liveness_ms - 1), []);
    assert_eq!(observed(&mut shard, 1), [waiting(liveness_ms)]);
    assert_eq!(observed(&mut shard, 1), []);
    assert_eq!(observed(&mut shard, liveness_ms + 5), [waiting(liveness_ms + 6)]);
    shard.credits(1, "s", 9);
    assert_eq!(shard.granted_names(), ["a", "b"]);
    assert_eq!(observed(&mut shard, 2 * liveness_ms), []);
}
