//! Shard time across leaders and restarts.

use ruddervalve_protocol::Incarnation;
use ruddervalve_queue::Proposed::{BeforeStart, WhileRunning};
use ruddervalve_queue::{Action, ClockSettings, ShardClock};

const SETTINGS: ClockSettings = ClockSettings { longest_gap_ms: 10_000, wall_skew_ms: 50 };
const WALL_MS: u64 = 1_000_000;

fn clock_started_at(local_ms: u64, wall_ms: u64) -> ShardClock {
    ShardClock::new(local_ms, wall_ms, SETTINGS)
}

#[test]
fn it_goes_on_with_monotonic_time_from_the_last_command() {
    let mut clock = clock_started_at(100, WALL_MS);
    clock.applied(200, 5000, WALL_MS + 100, WhileRunning);
    assert_eq!(clock.shard_ms(200), 5000);
    assert_eq!(clock.shard_ms(260), 5060);
}

#[test]
fn slow_commits_do_not_slow_it_down() {
    let mut clock = clock_started_at(0, WALL_MS);
    clock.lead();
    let action = Action::DetachEdge { edge: Incarnation(1) };
    let mut local_ms = 0;
    for _ in 0..100 {
        let command = clock.stamp(local_ms, action.clone());
        local_ms += 10;
        clock.applied(local_ms, command.shard_ms, command.wall_ms, WhileRunning);
    }
    assert_eq!(clock.shard_ms(local_ms), local_ms);
}

#[test]
fn a_follower_keeps_the_fastest_command() {
    let mut clock = clock_started_at(0, WALL_MS);
    clock.applied(100, 1000, WALL_MS + 100, WhileRunning);
    clock.applied(250, 1100, WALL_MS + 200, WhileRunning);
    assert_eq!(clock.shard_ms(250), 1150);
    clock.applied(300, 1300, WALL_MS + 300, WhileRunning);
    assert_eq!(clock.shard_ms(310), 1310);
}

#[test]
fn after_a_restart_the_gap_is_estimated_and_shortened_by_the_skew() {
    let mut clock = clock_started_at(0, WALL_MS);
    clock.applied(20, 5000, WALL_MS - 3000, BeforeStart);
    assert_eq!(clock.shard_ms(20), 5000 + 3020 - 50);
}

#[test]
fn a_gap_is_bounded() {
    let mut clock = clock_started_at(0, WALL_MS);
    clock.applied(0, 5000, 0, BeforeStart);
    assert_eq!(clock.shard_ms(0), 15_000);
}

#[test]
fn a_time_of_day_that_was_set_back_gives_no_gap() {
    let mut clock = clock_started_at(0, WALL_MS);
    clock.applied(30, 5000, WALL_MS + 99_000, BeforeStart);
    assert_eq!(clock.shard_ms(30), 5000);
}

#[test]
fn a_live_command_replaces_an_estimate_that_was_too_fast() {
    let mut clock = clock_started_at(0, WALL_MS);
    clock.applied(0, 5000, WALL_MS - 9000, BeforeStart);
    assert_eq!(clock.shard_ms(0), 5000 + 8950);
    clock.applied(100, 6000, WALL_MS + 100, WhileRunning);
    assert_eq!(clock.shard_ms(100), 6000);
    clock.applied(110, 6001, WALL_MS - 9000, BeforeStart);
    assert_eq!(clock.shard_ms(110), 6010);
}

#[test]
fn a_live_command_of_a_leader_whose_time_of_day_is_behind_gives_no_gap() {
    let mut clock = clock_started_at(0, WALL_MS);
    clock.applied(100, 5000, WALL_MS - 9000, WhileRunning);
    assert_eq!(clock.shard_ms(100), 5000);
    clock.lead();
    assert_eq!(clock.shard_ms(150), 5050);
}

#[test]
fn it_never_goes_below_an_applied_command() {
    let mut clock = clock_started_at(0, WALL_MS);
    clock.applied(0, 9000, WALL_MS - 10, BeforeStart);
    clock.applied(10, 4000, WALL_MS + 10, WhileRunning);
    assert_eq!(clock.shard_ms(10), 9000);
}

#[test]
fn a_wake_up_is_turned_back_into_local_time() {
    let mut clock = clock_started_at(0, WALL_MS);
    clock.applied(200, 5000, WALL_MS + 100, WhileRunning);
    assert_eq!(clock.local_ms(5300), 500);
    assert_eq!(clock.local_ms(1), 200);
    assert_eq!(clock.shard_ms(clock.local_ms(7777)), 7777);
}
