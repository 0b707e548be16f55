//! Grants wait for room on the connections to edges.

mod support;

use ruddervalve_flow::SendWindows;
use ruddervalve_protocol::{Blob, NewMessage};
use support::{Shard, TestPolicy, edge, message, plain_policy, success};

/// Bytes of a large body.
const LARGE: usize = 1_000;
/// What may wait for an edge before messages wait for room: two large bodies and a part of a third.
const WINDOW: usize = 2_500;

fn large(name: &str, path: &str) -> NewMessage {
    NewMessage { body: Blob::from(vec![0; LARGE]), ..message(name, path) }
}

fn shard(policy: TestPolicy) -> Shard {
    let mut shard = Shard::new(policy);
    shard.windows = SendWindows::new(WINDOW);
    shard
}

/// So many bytes still wait for an edge.
fn unsent(shard: &mut Shard, number: u64, bytes: usize) {
    if shard.windows.refresh(edge(number), bytes) {
        shard.leader.room_came();
    }
}

#[test]
fn no_more_is_granted_than_the_window_of_a_connection_takes() {
    let mut shard = shard(plain_policy());
    shard.join_with_credits(1, "near", "s", 50);
    for number in 0..6 {
        shard.accept(large(&format!("m{number}"), "/s/"));
    }
    assert_eq!(shard.granted_names(), ["m0", "m1", "m2"]);
    assert!(
        shard.leader.next_wake(shard.now_ms).is_none_or(|at| at > shard.now_ms),
        "it would poll without end"
    );
    unsent(&mut shard, 1, WINDOW);
    assert!(shard.grants().is_empty(), "there is no room yet");
    unsent(&mut shard, 1, LARGE);
    assert_eq!(shard.granted_names(), ["m3", "m4"]);
    unsent(&mut shard, 1, 0);
    assert_eq!(shard.granted_names(), ["m5"]);
}

#[test]
fn a_message_larger_than_the_window_goes_out_alone() {
    let mut shard = shard(TestPolicy::default().route("/s/", "s").endpoint("s", 1_500));
    shard.join(1, "near");
    for name in ["a", "b"] {
        shard.accept(NewMessage { body: Blob::from(vec![0; 10 * WINDOW]), ..message(name, "/s/") });
    }
    assert_eq!(shard.granted_names(), ["a"]);
    unsent(&mut shard, 1, 0);
    assert_eq!(shard.granted_names(), ["b"]);
}

#[test]
fn an_edge_with_room_takes_what_another_has_no_room_for() {
    let mut shard = shard(TestPolicy::default().route("/s/", "s").endpoint("s", 1_500));
    shard.join(1, "near");
    shard.join(2, "near");
    for number in 0..8 {
        shard.accept(large(&format!("m{number}"), "/s/"));
    }
    let grants = shard.grants();
    let at = |number: u64| grants.iter().filter(|(_, edge, _)| *edge == number).count();
    assert_eq!((at(1), at(2)), (3, 3), "{grants:?}");
}

#[test]
fn services_take_turns_at_the_room_that_comes_free() {
    let services = ["a", "b", "c"];
    let policy = services.iter().fold(TestPolicy::default(), |policy, service| {
        policy.route(&format!("/{service}/"), service).endpoint(service, 1_500)
    });
    let mut shard = shard(policy);
    shard.windows = SendWindows::new(1);
    shard.join(1, "near");
    for service in services {
        for number in 0..3 {
            shard.accept(large(&format!("{service}{number}"), &format!("/{service}/")));
        }
    }
    let mut granted = Vec::new();
    for _ in 0..9 {
        let grants = shard.grants();
        granted.extend(grants.iter().map(|(name, _, _)| name.clone()));
        // What is done makes room for more of the same service, which must not overtake the others for it.
        grants.into_iter().for_each(|(name, _, lease)| shard.outcome(1, &name, lease, success()));
        shard.poll();
        unsent(&mut shard, 1, 0);
    }
    assert_eq!(granted, ["a0", "b0", "c0", "a1", "b1", "c1", "a2", "b2", "c2"]);
}

#[test]
fn a_lease_with_an_acknowledgement_needs_no_room() {
    let mut shard = shard(plain_policy());
    shard.join_with_credits(1, "near", "s", 50);
    shard.windows.charge(edge(1), WINDOW);
    assert!(shard.accept_at(large("a", "/s/"), 1, true).is_some(), "its edge has the body");
}
