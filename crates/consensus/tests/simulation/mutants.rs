//! Deliberate faults that only groups with small messages and large states show.

use std::panic::AssertUnwindSafe;

use ruddervalve_mutation::{Mutation, activate};

use crate::cluster::{Cluster, Plan};

const MOST_SEEDS: u64 = 6_000;

fn fails(plan: Plan, seed: u64) -> bool {
    std::panic::catch_unwind(AssertUnwindSafe(|| Cluster::play(plan, seed))).is_err()
}

/// The first seed that fails with a fault, and passes without it.
fn found(mutation: Mutation, plan: Plan) -> Option<u64> {
    activate(Some(mutation));
    let found = (0..MOST_SEEDS).find(|seed| fails(plan, *seed));
    activate(None);
    found.filter(|seed| !fails(plan, *seed))
}

const REPLACEMENTS: Plan = Plan { replicas: 3, losses: true, replacements: true, leavings: false };
const LEAVINGS: Plan = Plan { leavings: true, ..REPLACEMENTS };

fn assert_found(mutation: Mutation, plan: Plan) {
    let found = found(mutation, plan);
    println!("{mutation:?}: {found:?}");
    assert!(found.is_some(), "{mutation:?} is not found within {MOST_SEEDS} seeds");
}

#[test]
fn a_snapshot_of_mixed_parts_is_found() {
    assert_found(Mutation::SnapshotPartsMixed, LEAVINGS);
}

#[test]
fn a_lease_kept_in_a_transfer_is_found() {
    assert_found(Mutation::LeaseKeptInTransfer, Plan { replicas: 5, ..REPLACEMENTS });
}

#[test]
fn a_forgotten_vote_is_found() {
    assert_found(Mutation::VoteForgotten, REPLACEMENTS);
}

#[test]
fn a_leader_that_is_assumed_to_be_gone_is_found() {
    assert_found(Mutation::LeaderAbsenceAssumed, REPLACEMENTS);
}
