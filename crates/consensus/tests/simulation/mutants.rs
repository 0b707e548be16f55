//! Deliberate faults that only groups with small messages and large states show.

use std::panic::AssertUnwindSafe;

use ruddervalve_mutation::{Mutation, activate};

use crate::cluster::{Cluster, Plan};

const MOST_SEEDS: u64 = 200;

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

fn assert_found(mutation: Mutation, replicas: u64) {
    let plan = Plan { replicas, losses: true, replacements: true };
    let found = found(mutation, plan);
    println!("{mutation:?}: {replicas} replicas {found:?}");
    assert!(found.is_some(), "{mutation:?} is not found within {MOST_SEEDS} seeds");
}

#[test]
fn a_snapshot_of_mixed_parts_is_found() {
    assert_found(Mutation::SnapshotPartsMixed, 4);
}

#[test]
fn a_lease_kept_in_a_transfer_is_found() {
    assert_found(Mutation::LeaseKeptInTransfer, 5);
}

#[test]
fn a_forgotten_vote_is_found() {
    assert_found(Mutation::VoteForgotten, 3);
}
