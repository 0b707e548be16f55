//! Explores a scenario whole, or until something is found; one at a time, as each takes several threads.

#![allow(dead_code)]

use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Mutex, PoisonError};
use std::time::Instant;

use ruddervalve_model::membership::{Limits, Scenario, Step};
use stateright::{Checker, CheckerBuilder, Expectation, HasDiscoveries, Model};

const THREADS: usize = 3;

static ONE_AT_A_TIME: Mutex<()> = Mutex::new(());

/// What was found: for a property that has to hold, the steps that break it; else the steps that reach it.
pub type Found = BTreeMap<&'static str, Vec<Step>>;

/// Limits in which the seat 2 fails first.
pub fn limits(terms: u8, entries: usize, commands: u8, restarts: u8, outages: u8, wipes: u8) -> Limits {
    Limits { terms, entries, commands, restarts, outages, wipes, first_failure: Some(2) }
}

/// Explores all states of a scenario.
pub fn explore(scenario: Scenario) -> Found {
    run(scenario, |builder| builder)
}

/// Explores until a property is broken, which it has to be.
pub fn explore_until(scenario: Scenario, broken: &'static str) {
    let found = run(scenario, |builder| builder.finish_when(HasDiscoveries::AllOf(BTreeSet::from([broken]))));
    let steps = found.get(broken);
    println!("{broken}: broken by {steps:?}");
    assert!(steps.is_some(), "not found to be broken: {broken}");
}

/// Explores all states: what has to hold does in each, and what has to be reached is.
pub fn assert_all_hold(scenario: Scenario) {
    let properties = scenario.properties();
    let found = explore(scenario);
    for property in properties {
        let steps = found.get(property.name);
        match property.expectation {
            Expectation::Always => assert!(steps.is_none(), "{}: broken by {steps:?}", property.name),
            _ => assert!(steps.is_some(), "{}: never", property.name),
        }
    }
}

fn run(scenario: Scenario, until: impl Fn(CheckerBuilder<Scenario>) -> CheckerBuilder<Scenario>) -> Found {
    let _guard = ONE_AT_A_TIME.lock().unwrap_or_else(PoisonError::into_inner);
    let start = Instant::now();
    let checker = until(scenario.checker().threads(THREADS)).spawn_bfs().join();
    let states = checker.unique_state_count();
    let seconds = start.elapsed().as_secs_f64();
    println!("{states} states, depth {}, {:.0} a second", checker.max_depth(), states as f64 / seconds);
    checker.discoveries().into_iter().map(|(name, path)| (name, path.into_actions())).collect()
}
