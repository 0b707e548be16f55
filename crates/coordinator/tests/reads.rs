//! What the operator reads while machines are cut off, frozen and killed, and how its changes end: seeded histories.
//! `HISTORY_SEEDS` sets how many seeds are played, `HISTORY_FIRST_SEED` the first of them.

mod group;
mod world;

use std::panic::AssertUnwindSafe;

use world::history::History;

/// Seeds of a normal run.
const SEEDS: u64 = 60;

fn setting(name: &str, default: u64) -> u64 {
    std::env::var(name).ok().and_then(|value| value.parse().ok()).unwrap_or(default)
}

#[test]
fn histories_of_changes_and_reads_are_linearizable() {
    let first = setting("HISTORY_FIRST_SEED", 0);
    let seeds = first..first + setting("HISTORY_SEEDS", SEEDS);
    let mut answered = 0;
    let mut failures = Vec::new();
    for seed in seeds {
        match std::panic::catch_unwind(AssertUnwindSafe(|| History::play(seed))) {
            Ok(orders) => answered += orders,
            Err(_) => failures.push(seed),
        }
    }
    println!("{answered} orders were answered");
    assert!(failures.is_empty(), "seeds that failed: {failures:?}");
}

#[test]
fn the_same_seed_plays_the_same() {
    assert_eq!(History::play(7), History::play(7));
}
