//! Each deliberate fault in the protocol code has to be found by a standard scenario within a bounded number of seeds, in
//! a history in which nothing is found without it.
#![cfg(feature = "mutants")]

use std::path::Path;

use ruddervalve_mutation::{Mutation, activate};
use ruddervalve_simulation::{Scenario, play};

const MOST_SEEDS: u64 = 200;

/// The scenario that finds a fault soonest; none for those that the simulation of consensus alone finds
/// (`crates/consensus/tests/simulation/mutants.rs`): states here fit into one part of a snapshot, elections are over
/// before a voter is back, and what a transfer leaves of a lease shows in one history of a hundred. A vouched vote goes wrong
/// where a leader is cut off while its voters restart.
fn scenario_name(mutation: Mutation) -> Option<&'static str> {
    match mutation {
        Mutation::SnapshotPartsMixed
        | Mutation::VoteForgotten
        | Mutation::LeaseKeptInTransfer
        | Mutation::LeaderAbsenceAssumed => None,
        Mutation::VoteDespiteLeader
        | Mutation::VoteForShorterLog
        | Mutation::EarlierTermCommitted
        | Mutation::ChangeWhilePending
        | Mutation::LowerVersionTaken
        | Mutation::SnapshotWithoutMembership => Some("storage.toml"),
        Mutation::VoteBeforeCaughtUp => Some("fleet.toml"),
        Mutation::LeaseOutlastsRefusal => Some("wide.toml"),
        Mutation::HoldersNotAwaited => Some("planned.toml"),
        Mutation::DeadReplicaLinkKept => Some("half-open.toml"),
        _ => Some("standard.toml"),
    }
}

fn scenario(name: &str) -> Scenario {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../deploy/scenarios");
    Scenario::read(&folder.join(name)).unwrap_or_else(|error| panic!("{error}"))
}

/// The rule that a seed breaks first.
fn broken_rule(scenario: &Scenario, seed: u64, mutation: Option<Mutation>) -> Option<&'static str> {
    activate(mutation);
    let report = play(scenario, seed, false).expect("the settings are valid");
    activate(None);
    report.broken.first().map(|broken| broken.rule)
}

/// The first seed that finds a fault, and the rule that it breaks.
fn found(mutation: Mutation, scenario: &Scenario) -> Option<(u64, &'static str)> {
    (0..MOST_SEEDS).find_map(|seed| {
        let rule = broken_rule(scenario, seed, Some(mutation))?;
        let without = broken_rule(scenario, seed, None);
        assert_eq!(without, None, "seed {seed} breaks a rule without {mutation:?}");
        Some((seed, rule))
    })
}

#[test]
fn every_fault_in_the_protocol_code_is_found() {
    let mut missed = Vec::new();
    for mutation in Mutation::ALL {
        let Some(name) = scenario_name(mutation) else { continue };
        let found = found(mutation, &scenario(name));
        println!("{mutation:?}: {name} {found:?}");
        if found.is_none() {
            missed.push(mutation);
        }
    }
    assert!(missed.is_empty(), "not found within {MOST_SEEDS} seeds: {missed:?}");
}
