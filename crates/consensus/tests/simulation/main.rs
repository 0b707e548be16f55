//! Groups of replicas on a seeded network with faults, checked after each event. `SIMULATION_SEEDS` sets how many seeds
//! are played, `SIMULATION_FIRST_SEED` the first of them.

mod checks;
mod cluster;
mod disk;
mod faults;
mod leaving;
#[cfg(feature = "mutants")]
mod mutants;
mod network;
mod node;

use std::panic::AssertUnwindSafe;

use cluster::{Cluster, Plan};

/// Seeds of a normal run, for each plan.
const SEEDS: u64 = 400;

/// Seeds in which replicas that leave are counted.
const SEEDS_FOR_LEAVING: u64 = 40;

fn setting(name: &str, default: u64) -> u64 {
    std::env::var(name).ok().and_then(|value| value.parse().ok()).unwrap_or(default)
}

fn play(plan: Plan) {
    let first = setting("SIMULATION_FIRST_SEED", 0);
    let seeds = first..first + setting("SIMULATION_SEEDS", SEEDS);
    let fails =
        |seed: &u64| std::panic::catch_unwind(AssertUnwindSafe(|| Cluster::play(plan, *seed))).is_err();
    let failures: Vec<u64> = seeds.filter(fails).collect();
    assert!(failures.is_empty(), "seeds that failed: {failures:?}");
}

#[test]
fn three_replicas_stay_consistent_under_all_faults() {
    play(Plan { replicas: 3, losses: true, replacements: true, leavings: false });
}

#[test]
fn five_replicas_stay_consistent_under_all_faults() {
    play(Plan { replicas: 5, losses: true, replacements: true, leavings: false });
}

#[test]
fn a_single_replica_and_its_successors_stay_consistent() {
    play(Plan { replicas: 1, losses: true, replacements: true, leavings: false });
}

#[test]
fn four_replicas_stay_consistent_with_a_fixed_membership() {
    play(Plan { replicas: 4, losses: true, replacements: false, leavings: false });
}

#[test]
fn the_same_seed_plays_the_same() {
    let plan = Plan { replicas: 3, losses: true, replacements: true, leavings: false };
    assert_eq!(Cluster::play(plan, 7), Cluster::play(plan, 7));
}

#[test]
fn three_replicas_stay_consistent_while_members_leave_and_join_again() {
    play(Plan { replicas: 3, losses: true, replacements: true, leavings: true });
}

#[test]
fn replicas_leave_in_many_seeds() {
    let plan = Plan { replicas: 3, losses: true, replacements: true, leavings: true };
    let left: u64 = (0..SEEDS_FOR_LEAVING).map(|seed| Cluster::play(plan, seed).left).sum();
    assert!(left >= SEEDS_FOR_LEAVING / 2, "{left}");
}
