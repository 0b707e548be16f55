//! How deliveries end, and what follows.

mod support;

use ruddervalve_protocol::{DeliveryOutcome, LeaseId, NewMessage};
use ruddervalve_queue::{Action, LeaderOutput};
use support::{Shard, edge, id, message, plain_policy, recorded_in, success};

fn shard_with(name: &str) -> (Shard, u64, LeaseId) {
    let mut shard = Shard::new(plain_policy());
    shard.join_with_credits(1, "near", "s", 99);
    shard.join_with_credits(2, "far", "s", 99);
    shard.accept(message(name, "/s/"));
    let (edge, lease) = shard.granted(name);
    (shard, edge, lease)
}

#[test]
fn a_success_is_recorded_only_once_it_is_applied() {
    let (mut shard, edge, lease) = shard_with("a");
    shard.holds = true;
    shard.outcome(edge, "a", lease, success());
    assert!(shard.poll().is_empty());
    shard.outcome(edge, "a", lease, success());
    assert!(shard.poll().is_empty());
    assert_eq!(shard.held.len(), 1);
    shard.unhold();
    assert_eq!(recorded_in(&shard.poll()), [("a".to_owned(), edge, lease)]);
    assert!(shard.has_succeeded("a"));
}

#[test]
fn an_outcome_of_an_ended_or_unknown_message_is_recorded_at_once() {
    let (mut shard, edge, lease) = shard_with("a");
    shard.outcome(edge, "a", lease, success());
    shard.poll();
    for name in ["a", "never"] {
        shard.outcome(edge, name, lease, DeliveryOutcome::Failed);
        assert_eq!(recorded_in(&shard.poll()), [(name.to_owned(), edge, lease)]);
    }
    assert!(shard.has_succeeded("a"));
}

#[test]
fn after_a_success_the_message_is_never_granted_again() {
    let (mut shard, edge, lease) = shard_with("a");
    shard.holds = true;
    shard.outcome(edge, "a", lease, success());
    for _ in 0..20 {
        shard.advance(1000);
        shard.leader.heartbeat(shard.now_ms, support::edge(1));
        shard.leader.heartbeat(shard.now_ms, support::edge(2));
        assert!(shard.grants().is_empty());
    }
    shard.unhold();
    assert!(shard.grants().is_empty());
}

#[test]
fn a_refusal_for_good_ends_the_message() {
    let (mut shard, edge, lease) = shard_with("a");
    shard.outcome(edge, "a", lease, DeliveryOutcome::Rejected);
    assert_eq!(recorded_in(&shard.poll()).len(), 1);
    assert!(shard.is_dead("a"));
    assert!(shard.state.body(&id("a")).is_some());
}

#[test]
fn failed_attempts_are_repeated_soon_and_end_at_the_most() {
    let (mut shard, mut edge, mut lease) = shard_with("a");
    let start_ms = shard.now_ms;
    for attempt in 1..=4 {
        shard.outcome(edge, "a", lease, DeliveryOutcome::Failed);
        let outputs = shard.poll();
        assert_eq!(recorded_in(&outputs), [("a".to_owned(), edge, lease)], "{attempt}");
        assert!(support::grants_in(&outputs).is_empty());
        if attempt < 4 {
            let grants = shard.grants_within(1000);
            (_, edge, lease) = grants.into_iter().next().expect("another attempt");
        }
    }
    assert!(shard.is_dead("a"));
    assert!(shard.now_ms - start_ms < 1000, "all attempts fit into the aim");
}

#[test]
fn a_failed_attempt_is_recorded_and_run_again_only_once_it_is_applied() {
    let (mut shard, edge, lease) = shard_with("a");
    shard.holds = true;
    shard.outcome(edge, "a", lease, DeliveryOutcome::Failed);
    shard.outcome(edge, "a", lease, DeliveryOutcome::Failed);
    assert!(shard.poll().is_empty());
    assert_eq!(shard.held, [Action::AttemptFailed { id: id("a"), lease }]);
    shard.advance(1200);
    shard.leader.heartbeat(shard.now_ms, support::edge(1));
    assert!(shard.poll().is_empty());
    shard.unhold();
    assert_eq!(shard.granted_names(), ["a"]);
}

#[test]
fn a_repeated_report_of_a_failed_attempt_counts_once() {
    let (mut shard, edge, lease) = shard_with("a");
    shard.outcome(edge, "a", lease, DeliveryOutcome::Failed);
    shard.poll();
    for _ in 0..9 {
        shard.outcome(edge, "a", lease, DeliveryOutcome::Failed);
        assert_eq!(recorded_in(&shard.poll()).len(), 1);
    }
    let sequence = shard.state.sequence(&id("a")).expect("known");
    assert_eq!(shard.state.pending(sequence).expect("pending").failed_attempts, [lease]);
}

#[test]
fn a_failed_attempt_reported_again_to_a_new_leader_counts_once() {
    let (mut shard, edge, lease) = shard_with("a");
    shard.outcome(edge, "a", lease, DeliveryOutcome::Failed);
    shard.poll();
    shard.change_leader();
    shard.connect(1, "node-1", "near");
    shard.inventory(1, &[("a", lease)]);
    assert_eq!(recorded_in(&shard.poll()).len(), 1);
    shard.outcome(edge, "a", lease, DeliveryOutcome::Failed);
    assert_eq!(recorded_in(&shard.poll()).len(), 1);
    let sequence = shard.state.sequence(&id("a")).expect("known");
    assert_eq!(shard.state.pending(sequence).expect("pending").failed_attempts.len(), 1);
}

#[test]
fn an_outcome_whose_record_was_lost_with_the_leader_is_repaired_by_its_repeat() {
    for outcome in [success(), DeliveryOutcome::Failed, DeliveryOutcome::Rejected] {
        let (mut shard, edge, lease) = shard_with("a");
        shard.holds = true;
        shard.outcome(edge, "a", lease, outcome.clone());
        shard.poll();
        shard.holds = false;
        shard.change_leader();
        shard.connect(1, "node-1", "near");
        shard.connect(2, "node-2", "far");
        shard.inventory(1, &[("a", lease)]);
        shard.inventory(2, &[]);
        shard.credits(1, "s", 9);
        assert!(shard.grants().is_empty(), "the edge still holds it");
        shard.outcome(edge, "a", lease, outcome.clone());
        assert_eq!(recorded_in(&shard.poll()), [("a".to_owned(), edge, lease)]);
        assert_eq!(shard.has_succeeded("a"), outcome == success());
        assert_eq!(shard.is_dead("a"), outcome == DeliveryOutcome::Rejected);
    }
}

#[test]
fn a_message_that_did_not_run_is_tried_again_when_the_edge_says() {
    let (mut shard, edge, lease) = shard_with("a");
    shard.outcome(edge, "a", lease, DeliveryOutcome::NotRun { retry_after_ms: 150 });
    let outputs = shard.poll();
    assert_eq!(recorded_in(&outputs).len(), 1);
    assert!(support::grants_in(&outputs).is_empty());
    shard.advance(149);
    assert!(shard.grants().is_empty());
    shard.advance(1);
    shard.granted("a");
}

#[test]
fn a_message_that_keeps_not_running_backs_off_but_not_beyond_its_aim() {
    let (mut shard, mut edge, mut lease) = shard_with("a");
    let mut waits_ms = Vec::new();
    for _ in 0..12 {
        shard.leader.heartbeat(shard.now_ms, support::edge(1));
        shard.leader.heartbeat(shard.now_ms, support::edge(2));
        shard.outcome(edge, "a", lease, DeliveryOutcome::NotRun { retry_after_ms: 0 });
        let before_ms = shard.now_ms;
        (_, edge, lease) = shard.grants_within(2000).remove(0);
        waits_ms.push(shard.now_ms - before_ms);
    }
    assert_eq!(waits_ms[0], 0);
    assert!(waits_ms[1..].iter().all(|wait_ms| *wait_ms > 0));
    assert!(waits_ms.iter().all(|wait_ms| *wait_ms <= 1250), "{waits_ms:?}");
    assert!(waits_ms[8] > waits_ms[1]);
    assert!(!shard.is_dead("a"), "not an attempt");
}

#[test]
fn an_unclear_delivery_is_tried_again_after_a_backoff_and_is_no_attempt() {
    let (mut shard, mut edge, mut lease) = shard_with("a");
    for _ in 0..9 {
        shard.leader.heartbeat(shard.now_ms, support::edge(1));
        shard.outcome(edge, "a", lease, DeliveryOutcome::Unclear);
        assert!(shard.grants().is_empty());
        (_, edge, lease) = shard.grants_within(1500).remove(0);
    }
    assert!(!shard.is_dead("a"));
}

#[test]
fn an_edge_without_the_route_does_not_end_a_message_that_has_one() {
    let (mut shard, edge, lease) = shard_with("a");
    shard.outcome(edge, "a", lease, DeliveryOutcome::RouteGone);
    assert_eq!(recorded_in(&shard.poll()).len(), 1);
    assert!(!shard.is_dead("a"));
    assert_eq!(shard.grants_within(200).len(), 1);
}

#[test]
fn a_superseded_lease_still_ends_the_message_by_success() {
    let (mut shard, edge, lease) = shard_with("a");
    shard.advance(2000);
    shard.leader.heartbeat(shard.now_ms, support::edge(2));
    shard.advance(1000);
    let (second, _) = shard.granted("a");
    assert_ne!(second, edge);
    shard.outcome(edge, "a", lease, DeliveryOutcome::NotRun { retry_after_ms: 0 });
    assert_eq!(recorded_in(&shard.poll()).len(), 1);
    assert_eq!(shard.leader.lease_of(&id("a")).map(|(edge, _)| edge), Some(support::edge(second)));
    shard.outcome(edge, "a", lease, success());
    shard.poll();
    assert!(shard.has_succeeded("a"));
    assert_eq!(shard.leader.outstanding_at(support::edge(second)), 0);
}

#[test]
fn an_unended_message_ends_at_its_retention() {
    let mut shard = Shard::new(plain_policy());
    shard.join(1, "near");
    shard.accept(NewMessage { retention_ms: 400, ..message("a", "/s/") });
    shard.advance(399);
    shard.poll();
    assert!(!shard.is_dead("a"));
    assert_eq!(shard.leader.next_wake(shard.now_ms), Some(shard.now_ms + 1));
    shard.advance(1);
    shard.poll();
    assert!(shard.is_dead("a"));
}

#[test]
fn a_message_that_an_edge_holds_outlives_its_retention_until_the_outcome() {
    for succeeds in [true, false] {
        let mut shard = Shard::new(plain_policy());
        shard.join_with_credits(1, "near", "s", 9);
        shard.accept(NewMessage { retention_ms: 400, ..message("a", "/s/") });
        let (edge, lease) = shard.granted("a");
        shard.advance(500);
        shard.poll();
        assert!(!shard.is_dead("a"));
        let outcome = if succeeds { success() } else { DeliveryOutcome::Unclear };
        shard.outcome(edge, "a", lease, outcome);
        let outputs = shard.poll();
        assert!(support::grants_in(&outputs).is_empty());
        assert_eq!((shard.has_succeeded("a"), shard.is_dead("a")), (succeeds, !succeeds));
    }
}

#[test]
fn a_late_success_does_not_undo_a_dead_letter() {
    let (mut shard, edge, lease) = shard_with("a");
    shard.outcome(edge, "a", lease, DeliveryOutcome::Rejected);
    shard.outcome(edge, "a", lease, success());
    shard.poll();
    assert!(shard.is_dead("a"));
}

#[test]
fn a_success_while_an_attempt_is_being_recorded_ends_the_message() {
    let (mut shard, first, lease) = shard_with("a");
    shard.advance(2000);
    shard.leader.heartbeat(shard.now_ms, edge(2));
    shard.advance(1000);
    let (second, second_lease) = shard.granted("a");
    shard.holds = true;
    shard.outcome(second, "a", second_lease, DeliveryOutcome::Failed);
    shard.outcome(first, "a", lease, success());
    let outputs: Vec<LeaderOutput> = shard.poll();
    assert!(outputs.is_empty(), "{outputs:?}");
    shard.unhold();
    let mut recorded: Vec<u64> = recorded_in(&shard.poll()).into_iter().map(|(_, edge, _)| edge).collect();
    recorded.sort_unstable();
    assert_eq!(recorded, [1, 2]);
    assert!(shard.has_succeeded("a"));
}
