//! Trial runner.
use ruddervalve_simulation::{Scenario, play};
fn main() {
    let args: Vec<String> = std::env::args().collect();
    let number = |place: usize| args.get(place).and_then(|text| text.parse::<u64>().ok());
    let (from, to) = (number(1).unwrap_or(0), number(2).unwrap_or(10));
    let trace = args.get(3).is_some_and(|text| text == "trace");
    let scenario = match args.get(4) { Some(path) => Scenario::read(std::path::Path::new(path)).unwrap(), None => Scenario::standard() };
    for seed in from..to {
        let start = std::time::Instant::now();
        let Some(report) = play(&scenario, seed, trace) else { println!("cannot begin"); return };
        for line in &report.lines { println!("{line}"); }
        println!("seed {seed}: steps {} sent {} accepted {} unended {} digest {:x} {:?} {:?}", report.steps, report.sent, report.accepted, report.unended, report.digest, start.elapsed(), report.broken.first());
    }
}
