//! Shard time across leaders and restarts.

use ruddervalve_protocol::Incarnation;
use ruddervalve_queue::Proposed::{BeforeStart, WhileRunning};
use ruddervalve_queue::{Action, ClockSettings, Command, Proposed, ShardClock};

const SETTINGS: ClockSettings = ClockSettings { longest_gap_ms: 10_000, wall_skew_ms: 50 };
const WALL_MS: u64 = 1_000_000;

/// A command of a term, applied at a local time.
fn apply(clock: &mut ShardClock, local_ms: u64, term: u64, shard_ms: u64, wall_ms: u64, proposed: Proposed) {
    let action = Action::DetachEdge { edge: Incarnation(1) };
    clock.applied(local_ms, term, &Command { shard_ms, wall_ms, action }, proposed);
}

fn clock_started_at(local_ms: u64, wall_ms: u64) -> ShardClock {
    ShardClock::new(local_ms, wall_ms, SETTINGS)
}

#[test]
fn it_goes_on_with_monotonic_time_from_the_last_command() {
    let mut clock = clock_started_at(100, WALL_MS);
    apply(&mut clock, 200, 1, 5000, WALL_MS + 100, WhileRunning);
    assert_eq!(clock.shard_ms(200), 5000);
    assert_eq!(clock.shard_ms(260), 5060);
}

#[test]
fn slow_commits_do_not_slow_it_down() {
    let mut clock = clock_started_at(0, WALL_MS);
    clock.lead(1);
    let action = Action::DetachEdge { edge: Incarnation(1) };
    let mut local_ms = 0;
    for _ in 0..100 {
        let command = clock.stamp(local_ms, action.clone());
        local_ms += 10;
        clock.applied(local_ms, 1, &command, WhileRunning);
    }
    assert_eq!(clock.shard_ms(local_ms), local_ms);
}

#[test]
fn a_follower_keeps_the_fastest_command() {
    let mut clock = clock_started_at(0, WALL_MS);
    apply(&mut clock, 100, 1, 1000, WALL_MS + 100, WhileRunning);
    apply(&mut clock, 250, 1, 1100, WALL_MS + 200, WhileRunning);
    assert_eq!(clock.shard_ms(250), 1150);
    apply(&mut clock, 300, 1, 1300, WALL_MS + 300, WhileRunning);
    assert_eq!(clock.shard_ms(310), 1310);
}

#[test]
fn after_a_restart_the_gap_is_estimated_and_shortened_by_the_skew() {
    let mut clock = clock_started_at(0, WALL_MS);
    apply(&mut clock, 20, 1, 5000, WALL_MS - 3000, BeforeStart);
    assert_eq!(clock.shard_ms(20), 5000 + 3020 - 50);
}

#[test]
fn a_gap_is_bounded() {
    let mut clock = clock_started_at(0, WALL_MS);
    apply(&mut clock, 0, 1, 5000, 0, BeforeStart);
    assert_eq!(clock.shard_ms(0), 15_000);
}

#[test]
fn a_time_of_day_that_was_set_back_gives_no_gap() {
    let mut clock = clock_started_at(0, WALL_MS);
    apply(&mut clock, 30, 1, 5000, WALL_MS + 99_000, BeforeStart);
    assert_eq!(clock.shard_ms(30), 5000);
}

#[test]
fn a_live_command_replaces_an_estimate_that_was_too_fast() {
    let mut clock = clock_started_at(0, WALL_MS);
    apply(&mut clock, 0, 1, 5000, WALL_MS - 9000, BeforeStart);
    assert_eq!(clock.shard_ms(0), 5000 + 8950);
    apply(&mut clock, 100, 1, 6000, WALL_MS + 100, WhileRunning);
    assert_eq!(clock.shard_ms(100), 6000);
    apply(&mut clock, 110, 1, 6001, WALL_MS - 9000, BeforeStart);
    assert_eq!(clock.shard_ms(110), 6010);
}

#[test]
fn a_live_command_of_a_leader_whose_time_of_day_is_behind_gives_no_gap() {
    let mut clock = clock_started_at(0, WALL_MS);
    apply(&mut clock, 100, 1, 5000, WALL_MS - 9000, WhileRunning);
    assert_eq!(clock.shard_ms(100), 5000);
    clock.lead(1);
    assert_eq!(clock.shard_ms(150), 5050);
}

#[test]
fn it_never_goes_below_an_applied_command() {
    let mut clock = clock_started_at(0, WALL_MS);
    apply(&mut clock, 0, 1, 9000, WALL_MS - 10, BeforeStart);
    apply(&mut clock, 10, 1, 4000, WALL_MS + 10, WhileRunning);
    assert_eq!(clock.shard_ms(10), 9000);
}

#[test]
fn a_wake_up_is_turned_back_into_local_time() {
    let mut clock = clock_started_at(0, WALL_MS);
    apply(&mut clock, 200, 1, 5000, WALL_MS + 100, WhileRunning);
    assert_eq!(clock.local_ms(5300), 500);
    assert_eq!(clock.local_ms(1), 200);
    assert_eq!(clock.shard_ms(clock.local_ms(7777)), 7777);
}

/// What a leader of a term would run at a local time, and what replicas learn of it.
struct Chain {
    clocks: Vec<ShardClock>,
}

impl Chain {
    fn new(replicas: usize) -> Self {
        Self { clocks: (0..replicas).map(|_| clock_started_at(0, WALL_MS)).collect() }
    }

    fn lead(&mut self, place: usize, term: u64) {
        self.clocks[place].lead(term);
    }

    /// A leader proposes at a time; each replica applies the command later by its own delay.
    fn propose(&mut self, leader: usize, term: u64, at_ms: u64, delays_ms: &[u64]) {
        let command = self.clocks[leader].stamp(at_ms, Action::DetachEdge { edge: Incarnation(1) });
        for (clock, delay_ms) in self.clocks.iter_mut().zip(delays_ms) {
            clock.applied(at_ms + delay_ms, term, &command, WhileRunning);
        }
    }

    fn shard_ms(&self, place: usize, local_ms: u64) -> u64 {
        self.clocks[place].shard_ms(local_ms)
    }
}

#[test]
fn a_leader_that_led_before_goes_on_from_the_time_of_the_one_between() {
    let mut chain = Chain::new(2);
    chain.lead(0, 1);
    chain.propose(0, 1, 1000, &[10, 900]);
    chain.lead(1, 2);
    let accepted_at = chain.shard_ms(1, 2000);
    chain.propose(1, 2, 2000, &[50, 10]);
    chain.lead(0, 3);
    assert!(accepted_at < 2000, "the follower that applied late is behind");
    assert!(chain.shard_ms(0, 2500) <= accepted_at + 500);
    assert!(chain.shard_ms(0, 2500) >= accepted_at);
}

/// A delay that any leader granted runs out no earlier under any later one, whatever the delays between them were.
#[test]
fn no_change_of_leaders_makes_a_delay_run_early() {
    const DELAYS_MS: [u64; 4] = [0, 5, 120, 900];
    let mut histories = 0;
    for draw in 0..DELAYS_MS.len().pow(6) {
        let delay = |place: u32| DELAYS_MS[draw / DELAYS_MS.len().pow(place) % DELAYS_MS.len()];
        let mut chain = Chain::new(3);
        let mut accepted: Vec<(u64, u64)> = Vec::new();
        for (turn, leader) in [0, 1, 0, 2, 0].into_iter().enumerate() {
            let (term, at_ms) = (turn as u64 + 1, 1000 + turn as u64 * 2000);
            chain.lead(leader, term);
            let shard_ms = chain.shard_ms(leader, at_ms);
            for (before_ms, before_shard_ms) in &accepted {
                assert!(shard_ms - before_shard_ms <= at_ms - before_ms, "draw {draw}, term {term}");
            }
            accepted.push((at_ms, shard_ms));
            let own = |replica: u32| {
                if replica as usize == leader { 1 } else { delay(replica + turn as u32 % 2 * 3) }
            };
            chain.propose(leader, term, at_ms, &[own(0), own(1), own(2)]);
        }
        histories += 1;
    }
    assert_eq!(histories, 4096);
}

#[test]
fn a_leader_s_own_commands_do_not_slow_it_down_in_a_later_term() {
    let mut clock = clock_started_at(0, WALL_MS);
    apply(&mut clock, 100, 1, 1000, WALL_MS + 100, WhileRunning);
    clock.lead(2);
    let command = clock.stamp(200, Action::DetachEdge { edge: Incarnation(1) });
    clock.applied(290, 2, &command, WhileRunning);
    assert_eq!(clock.shard_ms(290), 1190);
}

#[test]
fn a_restored_state_drops_what_was_known_of_earlier_leaders() {
    let mut clock = clock_started_at(0, WALL_MS);
    apply(&mut clock, 100, 1, 5000, WALL_MS + 100, WhileRunning);
    clock.restored(2100, 5400, WALL_MS + 1000, WhileRunning);
    assert_eq!(clock.shard_ms(2100), 5400);
    clock.lead(4);
    assert_eq!(clock.shard_ms(2200), 5500);
}

#[test]
fn a_state_restored_at_the_start_is_followed_by_an_estimate() {
    let mut clock = clock_started_at(0, WALL_MS);
    clock.restored(20, 5000, WALL_MS - 3000, BeforeStart);
    assert_eq!(clock.shard_ms(20), 5000 + 3020 - 50);
}
