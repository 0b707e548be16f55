//! `simulate`: the whole system in one process, over many seeds.

use std::ops::Range;
use std::process::ExitCode;

use ruddervalve_simulation::{Report, Scenario, hunt, play};

use crate::FAULTY;
use crate::flags::Simulate;

const DEFAULT_SEEDS: Range<u64> = 0..100;
/// Lines of a history that are printed before the rule that it broke.
const LAST_LINES: usize = 60;

/// Plays seeds, and prints the first that breaks a rule with the end of its history.
pub fn simulate(options: Simulate) -> ExitCode {
    let scenario = match options.scenario.as_deref().map(Scenario::read) {
        None => Scenario::standard(),
        Some(Ok(scenario)) => scenario,
        Some(Err(error)) => return faulty(&error.to_string()),
    };
    if let Some(seed) = options.replay {
        return replay(&scenario, seed, usize::MAX);
    }
    let Some(seeds) = options.seeds.as_deref().map_or(Some(DEFAULT_SEEDS), read_seeds) else {
        return faulty("--seeds is no range: give two whole numbers, such as 0..100");
    };
    let cores = std::thread::available_parallelism().map_or(1, usize::from);
    let reports = play_all(&scenario, seeds, options.jobs.unwrap_or(cores), options.all);
    summarize(&scenario, &reports);
    let first = reports.iter().filter(|report| !report.broken.is_empty()).min_by_key(|report| report.seed);
    match first {
        Some(report) => replay(&scenario, report.seed, LAST_LINES),
        None => ExitCode::SUCCESS,
    }
}

fn play_all(scenario: &Scenario, seeds: Range<u64>, jobs: usize, goes_on: bool) -> Vec<Report> {
    let mut reports = Vec::new();
    hunt(scenario, seeds, jobs, goes_on, |report| {
        if let Some(broken) = report.broken.first() {
            println!("seed {}: {} at {} ms: {}", report.seed, broken.rule, broken.at, broken.text);
        }
        reports.push(report);
    });
    reports
}

fn summarize(scenario: &Scenario, reports: &[Report]) {
    let sum = |count: fn(&Report) -> u64| reports.iter().map(count).sum::<u64>();
    println!(
        "{}: {} seeds, {} broken, {} events, {} tries sent, {} accepted",
        scenario.name,
        reports.len(),
        sum(|report| u64::from(!report.broken.is_empty())),
        sum(|report| report.steps),
        sum(|report| report.sent as u64),
        sum(|report| report.accepted as u64),
    );
}

/// Plays a seed with its history; prints at most so many of the last lines.
fn replay(scenario: &Scenario, seed: u64, most: usize) -> ExitCode {
    let Some(report) = play(scenario, seed, true) else {
        return faulty("the scenario's machines have no valid settings: mend the scenario");
    };
    let skipped = report.lines.len().saturating_sub(most);
    report.lines.iter().skip(skipped).for_each(|line| println!("{line}"));
    println!("seed {seed}: {} events, digest {:016x}", report.steps, report.digest);
    for broken in &report.broken {
        println!("BROKEN {} at {} ms: {}", broken.rule, broken.at, broken.text);
    }
    if report.broken.is_empty() { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}

fn read_seeds(text: &str) -> Option<Range<u64>> {
    let (from, to) = text.split_once("..")?;
    Some(from.parse().ok()?..to.parse().ok()?)
}

fn faulty(reason: &str) -> ExitCode {
    eprintln!("ruddervalve: {reason}");
    ExitCode::from(FAULTY)
}
