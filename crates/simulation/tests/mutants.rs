//! Each deliberate fault has to be found within a bounded number of seeds; without one, nothing is found.
#![cfg(feature = "mutants")]

use std::path::Path;

use ruddervalve_simulation::mutants::{Mutant, activate};
use ruddervalve_simulation::{Scenario, play};

const MOST_SEEDS: u64 = 60;

fn scenario(mutant: Mutant) -> Scenario {
    let name = match mutant {
        Mutant::VoteNotWritten => "herd.toml",
        Mutant::EntriesNotWritten | Mutant::SyncSkipped => "power.toml",
        Mutant::IdentityReused => "storage.toml",
        Mutant::OutcomeRecordedEarly | Mutant::InventoryDropped => "planned.toml",
        Mutant::AcceptedEarly => "storage.toml",
        Mutant::UnknownRefused => "wide.toml",
        _ => "standard.toml",
    };
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../deploy/scenarios").join(name);
    Scenario::read(&path).unwrap_or_else(|error| panic!("{error}"))
}

/// The first seed that finds a fault, and the rule that it breaks.
fn found(mutant: Mutant) -> Option<(u64, &'static str)> {
    let scenario = scenario(mutant);
    activate(Some(mutant));
    let found = (0..MOST_SEEDS).find_map(|seed| {
        let report = play(&scenario, seed, false)?;
        Some((seed, report.broken.first()?.rule))
    });
    activate(None);
    found
}

#[test]
fn every_mutant_is_found() {
    let results: Vec<_> = Mutant::ALL.iter().map(|mutant| (*mutant, found(*mutant))).collect();
    for (mutant, found) in &results {
        println!("{mutant:?}: {found:?}");
    }
    let missed: Vec<_> =
        results.iter().filter(|(_, found)| found.is_none()).map(|(mutant, _)| mutant).collect();
    assert!(missed.is_empty(), "not found within {MOST_SEEDS} seeds: {missed:?}");
}
