//! Histories that once broke a rule.

use std::path::Path;

use ruddervalve_simulation::{Scenario, play};

/// A shard's time jumped ahead by 0.1 s when a replica led that had led before: a delayed message ran early.
#[test]
fn shard_time_does_not_jump_ahead_when_a_leader_leads_again() {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../deploy/scenarios/wide.toml");
    let scenario = Scenario::read(&path).unwrap_or_else(|error| panic!("{error}"));
    let report = play(&scenario, 503, false).expect("the settings are valid");
    let broken: Vec<String> =
        report.broken.iter().map(|fault| format!("{} {}", fault.rule, fault.text)).collect();
    assert_eq!(broken, Vec::<String>::new());
    assert!(report.accepted > 100);
}
