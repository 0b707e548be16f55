//! Many seeds over several threads.

use std::ops::Range;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc;

use crate::scenario::Scenario;
use crate::world::Report;

/// Plays all seeds on so many threads and hands each report over as it comes. Seeds beyond the first that breaks a rule
/// are not begun any more, unless `goes_on`.
pub fn hunt(
    scenario: &Scenario,
    seeds: Range<u64>,
    jobs: usize,
    goes_on: bool,
    mut report: impl FnMut(Report),
) {
    let next = AtomicU64::new(seeds.start);
    let (sender, received) = mpsc::channel();
    std::thread::scope(|scope| {
        for _ in 0..jobs.max(1) {
            let (sender, next) = (sender.clone(), &next);
            let end = seeds.end;
            scope.spawn(move || play_seeds(scenario, next, end, goes_on, &sender));
        }
        drop(sender);
        received.into_iter().for_each(&mut report);
    });
}

fn play_seeds(scenario: &Scenario, next: &AtomicU64, end: u64, goes_on: bool, sender: &mpsc::Sender<Report>) {
    loop {
        let seed = next.fetch_add(1, Ordering::Relaxed);
        if seed >= end {
            return;
        }
        let Some(report) = crate::play(scenario, seed, false) else { return };
        if !report.broken.is_empty() && !goes_on {
            next.store(end, Ordering::Relaxed);
        }
        if sender.send(report).is_err() {
            return;
        }
    }
}
