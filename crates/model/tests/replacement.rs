//! A machine is lost or away, and a newcomer takes its place, or steps back.

mod exploring;

use exploring::{assert_all_hold, explore, explore_until, limits};
use ruddervalve_model::membership::{Beliefs, Scenario, Writes, name};

#[test]
fn one_of_three_is_replaced_and_another_is_lost_then() {
    let scenario = Scenario { calm: true, ..Scenario::replacement(1, &[2], limits(2, 7, 1, 1, 1, 1)) };
    assert_all_hold(Scenario { writes: Writes::Immediate, ..scenario });
}

#[test]
fn one_of_three_is_replaced_while_writes_take_time() {
    let scenario = Scenario::replacement(1, &[2], limits(2, 7, 0, 0, 1, 1));
    assert_all_hold(Scenario { calm: true, ..scenario });
}

#[test]
fn two_of_five_are_replaced() {
    let scenario = Scenario { calm: true, ..Scenario::replacement(2, &[2, 3], limits(1, 9, 1, 0, 0, 2)) };
    assert_all_hold(Scenario { writes: Writes::Immediate, ..scenario });
}

/// Leaders and coordinators may be wrong about who is there. Nothing is lost by it.
#[test]
fn wrong_beliefs_lose_nothing() {
    let scenario = Scenario::replacement(1, &[2], limits(2, 6, 0, 0, 1, 1));
    let checker = explore(Scenario { beliefs: Beliefs::Mistaken, writes: Writes::Immediate, ..scenario });
    for property in [name::AGREEMENT, name::COPIES, name::COMPLETENESS, name::ONE_LEADER, name::VOTERS] {
        assert!(!checker.contains_key(property), "{property}");
    }
}

/// A known limit: if a voter that lives is held for silent and let go before the newcomer votes, then for the time of that
/// one step the loss of another one blocks the group.
#[test]
fn a_living_voter_held_for_silent_leaves_a_step_without_tolerance() {
    let scenario = Scenario::replacement(1, &[2], limits(1, 6, 0, 0, 1, 1));
    let scenario = Scenario { beliefs: Beliefs::Mistaken, writes: Writes::Immediate, ..scenario };
    explore_until(scenario, name::ELECTABLE);
}
