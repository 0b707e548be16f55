//! Prints how long repairs take after replacements: `repair_times SCENARIO [SEEDS]`.

use std::path::Path;
use std::process::ExitCode;

use ruddervalve_simulation::{Scenario, hunt};

const DEFAULT_SEEDS: u64 = 200;
const THREADS: usize = 3;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let Some(path) = arguments.first() else {
        eprintln!("repair_times: name a scenario file");
        return ExitCode::FAILURE;
    };
    let seeds = arguments.get(1).and_then(|text| text.parse().ok()).unwrap_or(DEFAULT_SEEDS);
    match Scenario::read(Path::new(path)) {
        Ok(scenario) => {
            measure(&scenario, seeds);
            ExitCode::SUCCESS
        }
        Err(error) => {
            eprintln!("repair_times: {error}");
            ExitCode::FAILURE
        }
    }
}

fn measure(scenario: &Scenario, seeds: u64) {
    let mut took = Vec::new();
    let (mut cut_short, mut unended, mut broken) = (0, 0, 0);
    hunt(scenario, 0..seeds, THREADS, true, |report| {
        took.extend(report.repairs.took_ms.iter().map(|took| (*took, report.seed)));
        cut_short += report.repairs.cut_short;
        unended += report.repairs.unended;
        broken += u32::from(!report.broken.is_empty());
    });
    took.sort_unstable();
    println!("{}: {seeds} seeds, {broken} broken, {} repairs done", scenario.name, took.len());
    println!("cut short by another fault: {cut_short}, not done at the end: {unended}");
    if let (Some((median, _)), Some((worst, seed))) = (took.get(took.len() / 2), took.last()) {
        println!("p50 {median} ms, worst {worst} ms (seed {seed})");
    }
}
