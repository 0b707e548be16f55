//! Deliberate faults that only groups with small messages and large states show.

use std::panic::AssertUnwindSafe;

use ruddervalve_mutation::{Mutation, activate};

use crate::cluster::{Cluster, Plan};

const MOST_SEEDS: u64 = 200;
const PLAN: Plan = Plan { replicas: 3, losses: true, replacements: true };

fn fails(seed: u64) -> bool {
    std::panic::catch_unwind(AssertUnwindSafe(|| Cluster::play(PLAN, seed))).is_err()
}

/// The first seed that fails with a fault, and passes without it.
fn found(mutation: Mutation) -> Option<u64> {
    activate(Some(mutation));
    let found = (0..MOST_SEEDS).find(|seed| fails(*seed));
    activate(None);
    found.filter(|seed| !fails(*seed))
}

fn assert_found(mutation: Mutation) {
    let found = found(mutation);
    println!("{mutation:?}: {found:?}");
    assert!(found.is_some(), "{mutation:?} is not found within {MOST_SEEDS} seeds");
}

#[test]
fn a_snapshot_of_mixed_parts_is_found() {
    assert_found(Mutation::SnapshotPartsMixed);
}

#[test]
fn a_lease_kept_in_a_transfer_is_found() {
    assert_found(Mutation::LeaseKeptInTransfer);
}

#[test]
fn a_forgotten_vote_is_found() {
    assert_found(Mutation::VoteForgotten);
}
