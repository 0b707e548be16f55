//! A machine that lives is to leave; it may lead, and another disk may be lost right after.

mod exploring;

use exploring::{assert_all_hold, explore_until, limits};
use ruddervalve_model::membership::{ReplicaSet, Scenario, Writes, name};

fn retirement(terms: u8, restarts: u8, outages: u8) -> Scenario {
    let scenario = Scenario::retirement(1, 2, limits(terms, 6, 1, restarts, outages, 1));
    let first_leaders = ReplicaSet::default().with(0).with(2);
    Scenario { first_leaders, calm: true, writes: Writes::Immediate, ..scenario }
}

#[test]
fn a_member_retires_and_a_disk_is_lost_then() {
    assert_all_hold(retirement(2, 0, 0));
}

/// A learner may have the newest entries and a vote that a candidate needs, in a membership that it does not know. If it
/// may not campaign itself, the loss of the leader then blocks the group.
#[test]
fn a_learner_that_may_not_campaign_can_block_the_others() {
    explore_until(Scenario { learners_campaign: false, ..retirement(2, 0, 0) }, name::ELECTABLE);
}
