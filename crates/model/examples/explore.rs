//! Explores the scenarios in wider bounds than the tests do, and prints what was seen.
//!
//! `cargo run --release -p ruddervalve-model --example explore -- [NAME...]`

use std::time::Instant;

use ruddervalve_model::membership::{Beliefs, Limits, ReplicaSet, Scenario, Writes};
use stateright::{Checker, Model};

const THREADS: usize = 3;

fn main() {
    let asked: Vec<String> = std::env::args().skip(1).collect();
    for (name, scenario) in scenarios() {
        if asked.is_empty() || asked.iter().any(|asked| asked == name) {
            explore(name, scenario);
        }
    }
}

fn scenarios() -> Vec<(&'static str, Scenario)> {
    vec![
        ("replacement", one_of_three(limits(3, 8, 1, 0, 1, 1))),
        ("replacement-restarts", one_of_three(limits(2, 8, 1, 2, 1, 1))),
        (
            "replacement-delayed",
            Scenario { writes: Writes::Delayed, ..one_of_three(limits(2, 7, 1, 0, 1, 1)) },
        ),
        (
            "replacement-mistaken",
            Scenario { beliefs: Beliefs::Mistaken, ..one_of_three(limits(2, 7, 1, 0, 1, 1)) },
        ),
        ("two-of-five", two_of_five(limits(2, 9, 0, 0, 0, 2))),
        ("retirement", retirement(limits(2, 7, 1, 1, 1, 1))),
        ("retirement-passive-learners", retirement(limits(2, 7, 1, 1, 1, 1))),
    ]
}

fn limits(terms: u8, entries: usize, commands: u8, restarts: u8, outages: u8, wipes: u8) -> Limits {
    Limits { terms, entries, commands, restarts, outages, wipes, first_failure: Some(2) }
}

fn one_of_three(limits: Limits) -> Scenario {
    Scenario { writes: Writes::Immediate, calm: true, ..Scenario::replacement(1, &[2], limits) }
}

fn two_of_five(limits: Limits) -> Scenario {
    Scenario { writes: Writes::Immediate, calm: true, ..Scenario::replacement(2, &[2, 3], limits) }
}

fn retirement(limits: Limits) -> Scenario {
    let first_leaders = ReplicaSet::default().with(0).with(2);
    let scenario = Scenario::retirement(1, 2, limits);
    Scenario { writes: Writes::Immediate, calm: true, first_leaders, ..scenario }
}

fn explore(name: &str, scenario: Scenario) {
    let start = Instant::now();
    let checker = scenario.checker().threads(THREADS).spawn_bfs().join();
    let seconds = start.elapsed().as_secs_f64();
    let states = checker.unique_state_count();
    println!(
        "{name}: {states} states, depth {}, {seconds:.1} s, {:.0} states a second",
        checker.max_depth(),
        states as f64 / seconds
    );
    for (property, path) in checker.discoveries() {
        let kind = checker.discovery_classification(property);
        let steps = path.into_actions();
        println!("  {property}: {kind} of {} steps", steps.len());
        if kind.to_string() == "counterexample" {
            steps.iter().for_each(|step| println!("    {step:?}"));
        }
    }
}
