//! Call-backs that are owed once a message has ended.

mod support;

use std::collections::BTreeSet;

use ruddervalve_protocol::DeliveryOutcome;
use ruddervalve_queue::Action;
use support::{
    CALLBACK_KEEP_MS, Shard, callback_records_in, callbacks_in, calling, edge, id, plain_policy, success,
};

const URL: &str = "http://10.0.0.4:8080/done";

/// A shard with two edges; edge 2 has reported the success of each name.
fn shard_with_ended(names: &[&str], url: &str) -> Shard {
    let mut shard = Shard::new(plain_policy());
    shard.join(1, "near");
    shard.join_with_credits(2, "far", "s", 99);
    for name in names {
        shard.accept(calling(name, "/s/", url));
    }
    for (name, holder, lease) in shard.grants() {
        shard.outcome(holder, &name, lease, success());
    }
    shard
}

fn alive(shard: &mut Shard) {
    shard.leader.heartbeat(shard.now_ms, edge(1));
    shard.leader.heartbeat(shard.now_ms, edge(2));
}

/// Lets time pass until a call-back is granted, at most until `limit_ms` from now.
fn callbacks_within(shard: &mut Shard, limit_ms: u64) -> Vec<(String, u64)> {
    let end_ms = shard.now_ms + limit_ms;
    loop {
        alive(shard);
        let calls = callbacks_in(&shard.poll());
        let next_ms = shard.leader.next_wake(shard.now_ms).unwrap_or(u64::MAX);
        if !calls.is_empty() || next_ms > end_ms {
            return calls;
        }
        shard.now_ms = next_ms.max(shard.now_ms);
    }
}

#[test]
fn the_edge_that_reported_the_success_makes_it() {
    let mut shard = shard_with_ended(&["a"], URL);
    assert_eq!(callbacks_in(&shard.poll()), [("a".to_owned(), 2)]);
    let owed = shard.state.callback(&id("a")).expect("owed");
    assert_eq!((owed.url.as_str(), owed.signature.as_str()), (URL, "sig"));
}

#[test]
fn it_is_not_made_before_the_end_is_applied() {
    let mut shard = Shard::new(plain_policy());
    shard.join_with_credits(2, "far", "s", 99);
    shard.accept(calling("a", "/s/", URL));
    let (holder, lease) = shard.granted("a");
    shard.holds = true;
    shard.outcome(holder, "a", lease, success());
    assert!(callbacks_in(&shard.poll()).is_empty());
    shard.unhold();
    assert_eq!(callbacks_in(&shard.poll()).len(), 1);
}

#[test]
fn another_edge_makes_it_if_that_one_may_get_nothing() {
    let mut shard = shard_with_ended(&["a"], URL);
    shard.leader.leaving(edge(2));
    assert_eq!(callbacks_in(&shard.poll()), [("a".to_owned(), 1)]);
}

#[test]
fn dead_letters_owe_one_too() {
    let mut shard = Shard::new(plain_policy());
    shard.join_with_credits(1, "near", "s", 9);
    shard.accept(calling("a", "/s/", URL));
    let (holder, lease) = shard.granted("a");
    shard.outcome(holder, "a", lease, DeliveryOutcome::Rejected);
    assert_eq!(callbacks_in(&shard.poll()).len(), 1);
}

#[test]
fn a_taken_one_is_recorded_once_it_is_applied_and_never_made_again() {
    let mut shard = shard_with_ended(&["a"], URL);
    shard.poll();
    shard.holds = true;
    shard.leader.callback_taken(shard.now_ms, edge(2), &id("a"));
    shard.leader.callback_taken(shard.now_ms, edge(2), &id("a"));
    assert!(shard.poll().is_empty());
    assert_eq!(shard.held, [Action::CallbackTaken { id: id("a") }]);
    shard.unhold();
    assert_eq!(callback_records_in(&shard.poll()), [("a".to_owned(), 2)]);
    shard.leader.callback_taken(shard.now_ms, edge(1), &id("a"));
    assert_eq!(callback_records_in(&shard.poll()), [("a".to_owned(), 1)]);
    shard.advance(60_000);
    alive(&mut shard);
    assert!(callbacks_in(&shard.poll()).is_empty());
}

#[test]
fn a_failed_one_is_made_again_after_a_growing_backoff() {
    let mut shard = shard_with_ended(&["a"], URL);
    shard.poll();
    let mut waits_ms = Vec::new();
    for _ in 0..8 {
        let before_ms = shard.now_ms;
        shard.leader.callback_failed(shard.now_ms, edge(2), &id("a"));
        assert!(callbacks_in(&shard.poll()).is_empty());
        assert_eq!(callbacks_within(&mut shard, 10_000), [("a".to_owned(), 2)]);
        waits_ms.push(shard.now_ms - before_ms);
    }
    assert!(waits_ms[0] < 500 && waits_ms[0] < waits_ms[7], "{waits_ms:?}");
    assert!(waits_ms.iter().all(|wait_ms| *wait_ms < shard.settings.callback_timeout_ms));
}

#[test]
fn a_failure_told_by_an_edge_that_does_not_make_it_changes_nothing() {
    let mut shard = shard_with_ended(&["a"], URL);
    shard.poll();
    shard.leader.callback_failed(shard.now_ms, edge(1), &id("a"));
    assert!(callbacks_within(&mut shard, 10_000).is_empty());
}

#[test]
fn a_receiver_gets_a_bounded_number_at_a_time() {
    let names = ["a", "b", "c", "d", "e", "f"];
    let mut shard = Shard::new(plain_policy());
    shard.join_with_credits(1, "near", "s", 99);
    for name in names {
        shard.accept(calling(name, "/s/", &format!("{URL}?{name}")));
    }
    shard.accept(calling("other", "/s/", "http://10.0.0.5:8080/done"));
    for (name, holder, lease) in shard.grants() {
        shard.outcome(holder, &name, lease, success());
    }
    let made: Vec<String> = callbacks_in(&shard.poll()).into_iter().map(|(name, _)| name).collect();
    assert_eq!(made.len(), 5);
    assert!(made.contains(&"other".to_owned()));
    shard.leader.callback_taken(shard.now_ms, edge(1), &id(&made[0]));
    let more: Vec<String> = callbacks_in(&shard.poll()).into_iter().map(|(name, _)| name).collect();
    assert_eq!(more, ["e"]);
}

#[test]
fn a_receiver_that_is_down_is_tried_with_one_at_a_time_and_opens_fast() {
    let names: Vec<String> = (0..12).map(|number| format!("m{number:02}")).collect();
    let refs: Vec<&str> = names.iter().map(String::as_str).collect();
    let mut shard = shard_with_ended(&refs, URL);
    let mut outstanding = callbacks_in(&shard.poll());
    for _ in 0..20 {
        for (name, holder) in outstanding {
            shard.leader.callback_failed(shard.now_ms, edge(holder), &id(&name));
        }
        outstanding = callbacks_within(&mut shard, 10_000);
    }
    assert_eq!(outstanding.len(), 1);
    for (name, holder) in outstanding {
        shard.leader.callback_taken(shard.now_ms, edge(holder), &id(&name));
    }
    shard.advance(3000);
    alive(&mut shard);
    assert!(callbacks_in(&shard.poll()).len() >= 2);
}

#[test]
fn one_that_is_too_old_is_given_up() {
    let mut shard = shard_with_ended(&["a"], URL);
    shard.poll();
    shard.advance(CALLBACK_KEEP_MS);
    alive(&mut shard);
    shard.apply(Action::DetachEdge { edge: edge(99) });
    shard.leader.callback_taken(shard.now_ms, edge(2), &id("a"));
    let outputs = shard.poll();
    assert!(callbacks_in(&outputs).is_empty());
    assert_eq!(callback_records_in(&outputs), [("a".to_owned(), 2)]);
}

#[test]
fn a_reconnected_edge_that_does_not_name_it_has_lost_it() {
    let mut shard = shard_with_ended(&["a"], URL);
    shard.poll();
    shard.leader.edge_disconnected(shard.now_ms, edge(2));
    shard.connect(2, "node-2", "far");
    assert!(callbacks_in(&shard.poll()).is_empty());
    shard.inventory(2, &[]);
    assert_eq!(callbacks_in(&shard.poll()).len(), 1);
}

/// Tells the outcome of all call-backs that are granted now, until `until_ms`, and returns who was called when.
fn calls_until(shard: &mut Shard, until_ms: u64, taken: bool) -> Vec<(String, u64)> {
    let mut calls = Vec::new();
    while shard.now_ms < until_ms {
        alive(shard);
        for (name, by) in callbacks_in(&shard.poll()) {
            calls.push((name.clone(), shard.now_ms));
            match taken {
                true => shard.leader.callback_taken(shard.now_ms, edge(by), &id(&name)),
                false => shard.leader.callback_failed(shard.now_ms, edge(by), &id(&name)),
            }
        }
        shard.advance(10);
    }
    calls
}

#[test]
fn a_receiver_that_was_down_for_long_gets_all_that_it_is_owed_within_seconds() {
    /// As long as traffic that has ended is judged by.
    const STEADY_MS: u64 = 6_000;
    let names: Vec<String> = (0..30).map(|number| format!("m{number}")).collect();
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    let mut shard = shard_with_ended(&names, URL);
    let up_ms = shard.now_ms + 90_000;
    let in_vain = calls_until(&mut shard, up_ms, false);
    assert!(in_vain.len() < 200, "{} calls to a receiver that is down", in_vain.len());
    assert_eq!(shard.state.owed_callbacks().count(), names.len());
    let made = calls_until(&mut shard, up_ms + STEADY_MS, true);
    assert_eq!(made.len(), names.len());
    assert_eq!(shard.state.owed_callbacks().count(), 0);
}

/// What a call-back has come to when its edge or leader is lost.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Reached {
    Owed,
    Granted,
    Failed,
    Taken,
    Proposed,
}

/// Who is lost.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Lost {
    Leader,
    Edge,
    Both,
}

/// Brings the call-back of `a` to a point; whether edge 2 has had it taken.
fn bring_to(shard: &mut Shard, reached: Reached) -> bool {
    if reached == Reached::Owed {
        return false;
    }
    assert_eq!(callbacks_in(&shard.poll()), [("a".to_owned(), 2)]);
    match reached {
        Reached::Failed => shard.leader.callback_failed(shard.now_ms, edge(2), &id("a")),
        Reached::Proposed => {
            shard.holds = true;
            shard.leader.callback_taken(shard.now_ms, edge(2), &id("a"));
            shard.poll();
            shard.holds = false;
        }
        Reached::Owed | Reached::Granted | Reached::Taken => {}
    }
    matches!(reached, Reached::Taken | Reached::Proposed)
}

#[test]
fn a_callback_is_made_and_recorded_whatever_is_lost_on_the_way() {
    for reached in [Reached::Owed, Reached::Granted, Reached::Failed, Reached::Taken, Reached::Proposed] {
        for lost in [Lost::Leader, Lost::Edge, Lost::Both] {
            let mut shard = shard_with_ended(&["a"], URL);
            // The end is applied, and nothing has followed from it yet.
            shard.holds = true;
            assert!(shard.poll().is_empty());
            shard.unhold();
            let taken = bring_to(&mut shard, reached);
            if lost != Lost::Edge {
                shard.change_leader();
                shard.connect(1, "node-1", "near");
                shard.inventory(1, &[]);
            }
            match lost {
                Lost::Leader => {
                    shard.connect(2, "node-2", "far");
                    shard.inventory(2, &[]);
                    if taken {
                        shard.leader.callback_taken(shard.now_ms, edge(2), &id("a"));
                    }
                }
                Lost::Edge => {
                    shard.leader.edge_disconnected(shard.now_ms, edge(2));
                    shard.unhold();
                }
                Lost::Both => {}
            }
            let until_ms = shard.now_ms + 2 * support::VISIBILITY_MS;
            let mut made = 0;
            while shard.now_ms < until_ms {
                shard.leader.heartbeat(shard.now_ms, edge(1));
                for (name, by) in callbacks_in(&shard.poll()) {
                    made += 1;
                    shard.leader.callback_taken(shard.now_ms, edge(by), &id(&name));
                }
                shard.advance(10);
            }
            assert!(taken || made == 1, "{reached:?} {lost:?}: made {made} times");
            assert!(made <= 1, "{reached:?} {lost:?}");
            assert!(shard.state.callback(&id("a")).is_none(), "{reached:?} {lost:?}: still owed");
        }
    }
}

/// How many edges make the call-backs of one receiver at most: each keeps connections to it, and it accepts few.
const MOST_CALLERS: usize = 8;

/// The edges that make call-backs of one receiver for a shard with so many edges, where each edge has reported a success.
fn callers_of(edges: u64, first_name: u32) -> BTreeSet<u64> {
    let mut shard = Shard::new(plain_policy());
    for number in 1..=edges {
        shard.join_with_credits(number, "near", "s", 1);
    }
    for number in 0..edges {
        shard.accept(calling(&format!("m{}", u64::from(first_name) + number), "/s/", URL));
    }
    for (name, holder, lease) in shard.grants() {
        shard.outcome(holder, &name, lease, success());
    }
    let mut callers = BTreeSet::new();
    let mut made = callbacks_in(&shard.poll());
    while let Some((name, caller)) = made.pop() {
        callers.insert(caller);
        shard.leader.callback_taken(shard.now_ms, edge(caller), &id(&name));
        made.extend(callbacks_in(&shard.poll()));
    }
    assert!(shard.state.owed_callbacks().next().is_none(), "all are made");
    callers
}

/// Receivers accept few connections. If every edge that has reported a success kept some, most call-backs of a large system
/// would be turned away.
#[test]
fn few_edges_make_the_callbacks_of_a_receiver_and_the_same_ones_for_all_shards() {
    let callers = callers_of(40, 0);
    assert!(callers.len() <= MOST_CALLERS, "{} edges call one receiver", callers.len());
    assert!(callers_of(40, 1_000).is_subset(&callers), "another shard uses other edges");
    assert_eq!(callers_of(3, 0).len(), 3, "in a small system the edges with warm connections make them");
}
