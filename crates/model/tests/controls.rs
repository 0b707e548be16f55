//! Rules that are known to be wrong, each of which the exploration has to find.

mod exploring;

use exploring::{explore_until, limits};
use ruddervalve_consensus::{Membership, MembershipChange};
use ruddervalve_model::membership::{Beliefs, Members, Scenario, View, Writes, name};
use ruddervalve_protocol::ReplicaId;
use ruddervalve_replication::Followers;

fn one_of_three() -> Scenario {
    let scenario = Scenario::replacement(1, &[2], limits(2, 7, 1, 0, 2, 1));
    Scenario { writes: Writes::Immediate, ..scenario }
}

/// Lets a silent voter go at once, down to one voter, before any newcomer has caught up.
fn silent_first(membership: &Membership, wanted: &[ReplicaId], _: usize, view: &View) -> Option<Membership> {
    let is_unwanted = |id: &&ReplicaId| !wanted.contains(id);
    let silent = membership.voters.iter().filter(is_unwanted).find(|id| !view.is_active(**id));
    if let Some(silent) = silent.filter(|_| membership.voters.len() > 1) {
        return changed(membership, MembershipChange::Remove(*silent));
    }
    ruddervalve_model::membership::by_contract(membership, wanted, 1, view)
}

/// Replaces a voter by a newcomer in one step.
fn swap(membership: &Membership, wanted: &[ReplicaId], _: usize, view: &View) -> Option<Membership> {
    let out = membership.voters.iter().find(|id| !wanted.contains(id));
    let ready = |id: &&ReplicaId| wanted.contains(id) && view.is_caught_up(**id);
    if let (Some(out), Some(new)) = (out, membership.learners.iter().find(ready)) {
        let members = Members::from(&changed(membership, MembershipChange::PromoteLearner(*new))?);
        return members.changed(MembershipChange::Remove(*out)).map(Members::to_membership);
    }
    let missing = wanted.iter().find(|id| !membership.contains(**id))?;
    changed(membership, MembershipChange::AddLearner(*missing))
}

fn changed(membership: &Membership, change: MembershipChange) -> Option<Membership> {
    Members::from(membership).changed(change).map(Members::to_membership)
}

#[test]
fn fewer_than_2f_voters_keep_too_few_copies_of_five() {
    let scenario = Scenario::replacement(2, &[2], limits(1, 6, 1, 0, 2, 0));
    let scenario = Scenario { planner: silent_first, least_voters: 1, ..scenario };
    let scenario = Scenario { writes: Writes::Immediate, ..scenario };
    explore_until(scenario.clone(), name::VOTERS);
    explore_until(scenario, name::COPIES);
}

#[test]
fn fewer_than_2f_voters_keep_too_few_copies_of_three() {
    let scenario = Scenario { planner: silent_first, least_voters: 1, ..one_of_three() };
    let scenario = Scenario { beliefs: Beliefs::Mistaken, ..scenario };
    explore_until(scenario.clone(), name::VOTERS);
    explore_until(scenario, name::COPIES);
}

#[test]
fn a_vote_before_catching_up_leaves_no_quorum_with_the_old_state() {
    let scenario = Scenario::retirement(1, 2, limits(1, 6, 0, 0, 0, 1));
    let scenario = Scenario { learners_vote_early: true, writes: Writes::Immediate, ..scenario };
    explore_until(scenario, name::WHOLE_QUORUM);
}

#[test]
fn a_swap_in_one_step_lets_two_leaders_commit_apart() {
    explore_until(Scenario { planner: swap, ..one_of_three() }, name::AGREEMENT);
}
