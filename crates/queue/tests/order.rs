//! Which of the messages that may run is granted first.

mod support;

use support::{Shard, TestPolicy, keyed, message, plain_policy};

/// Of the route that `plain_policy` has.
const AIM_MS: u64 = 1000;

#[test]
fn what_can_begin_in_time_goes_before_what_is_late_and_every_fourth_grant_to_the_latest() {
    let mut shard = Shard::new(plain_policy());
    shard.join(1, "near");
    for number in 0..3 {
        shard.accept(message(&format!("old{number}"), "/s/"));
    }
    shard.advance(AIM_MS + 1);
    for number in 0..5 {
        shard.accept(message(&format!("new{number}"), "/s/"));
    }
    shard.credits(1, "s", 100);
    assert_eq!(shard.granted_names(), ["new0", "new1", "new2", "old0", "new3", "new4", "old1", "old2"]);
}

#[test]
fn a_late_message_is_urgent_while_one_behind_it_can_be_in_time() {
    let mut shard = Shard::new(plain_policy());
    shard.join(1, "near");
    shard.accept(keyed("first", "/s/", "k"));
    shard.accept(message("late", "/s/"));
    shard.advance(AIM_MS + 1);
    shard.accept(keyed("second", "/s/", "k"));
    shard.accept(message("fresh", "/s/"));
    shard.credits(1, "s", 2);
    assert_eq!(shard.granted_names(), ["fresh", "first"], "the shorter way to one in time goes first");
}

#[test]
fn priority_goes_before_everything() {
    let policy = TestPolicy::default().route("/s/", "s").urgent_route("/u/", "s").service("s");
    let mut shard = Shard::new(policy);
    shard.join(1, "near");
    shard.accept(message("urgent", "/u/"));
    shard.advance(AIM_MS + 1);
    shard.accept(message("fresh", "/s/"));
    shard.credits(1, "s", 1);
    assert_eq!(shard.granted_names(), ["urgent"]);
}
