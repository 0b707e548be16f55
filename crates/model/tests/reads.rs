//! Who may answer a read, and under which assumption on clocks.

use ruddervalve_model::reads::{
    ClockRead, LINEARIZABLE, NEW_LEADER_ANSWERS, OLD_LEADER_ANSWERS, ReadPolicy, ReadScenario,
};
use stateright::{Checker, Model};

/// Ticks that a clock may miss: as many as the lease is shorter than the refusal of votes.
const DRIFT_ALLOWED: u8 = 1;

fn holds(scenario: ReadScenario) {
    let checker = scenario.checker().spawn_bfs().join();
    println!("{scenario:?}: {} states, depth {}", checker.unique_state_count(), checker.max_depth());
    assert!(checker.is_done(), "all states were explored");
    checker.assert_no_discovery(LINEARIZABLE);
    checker.assert_any_discovery(OLD_LEADER_ANSWERS);
    checker.assert_any_discovery(NEW_LEADER_ANSWERS);
}

fn breaks(scenario: ReadScenario) {
    let checker = scenario.checker().spawn_bfs().join();
    let path = checker.assert_any_discovery(LINEARIZABLE).into_actions();
    println!("{scenario:?}: broken after {} steps: {path:?}", path.len());
}

#[test]
fn a_lease_holds_while_clocks_drift_by_less_than_its_margin() {
    holds(ReadScenario::new(ReadPolicy::Lease(ClockRead::AfterInput), DRIFT_ALLOWED));
}

#[test]
fn a_lease_fails_when_clocks_drift_by_more_than_its_margin() {
    breaks(ReadScenario::new(ReadPolicy::Lease(ClockRead::AfterInput), DRIFT_ALLOWED + 1));
}

#[test]
fn a_lease_fails_when_the_clock_was_read_before_the_request_came() {
    breaks(ReadScenario::new(ReadPolicy::Lease(ClockRead::AtTurnStart), 0));
}

#[test]
fn a_lease_fails_when_a_follower_read_its_clock_before_it_heard_the_leader() {
    let scenario = ReadScenario::new(ReadPolicy::Lease(ClockRead::AfterInput), 0);
    breaks(ReadScenario { hearing: ClockRead::AtTurnStart, ..scenario });
}

#[test]
fn a_round_holds_whatever_clocks_do() {
    holds(ReadScenario::new(ReadPolicy::Round, 5));
}

#[test]
fn a_round_holds_without_any_refusal_of_votes() {
    holds(ReadScenario { refusal: 0, ..ReadScenario::new(ReadPolicy::Round, 0) });
}

#[test]
fn a_round_that_was_asked_for_before_the_read_came_fails() {
    breaks(ReadScenario::new(ReadPolicy::EarlierRound, 0));
}

#[test]
fn a_new_leader_that_answers_before_it_has_committed_in_its_term_fails() {
    for policy in [ReadPolicy::Round, ReadPolicy::Lease(ClockRead::AfterInput)] {
        breaks(ReadScenario { own_term_first: false, ..ReadScenario::new(policy, 0) });
    }
}
