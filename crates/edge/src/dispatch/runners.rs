//! The runners of one service: what is known of them beside what the decisions know.

use std::collections::BTreeMap;

use ruddervalve::{Availability, Machine};
use ruddervalve_configuration::{Distance, Locality};
use ruddervalve_protocol::{Runner, RunnerPhase};

use super::settings::{ELSEWHERE, HOME};
use super::step::DispatchOutcome;

/// The runners of one service, and those that have left the list with messages of this edge still there.
#[derive(Debug)]
pub(crate) struct RunnerTable {
    /// Where this edge stands.
    locality: Locality,
    runners: BTreeMap<String, Standing>,
    /// The list as the decisions have it.
    machines: Vec<Machine>,
}

/// What is known of one runner.
#[derive(Debug)]
pub(crate) struct Standing {
    /// `ip:port`.
    pub(crate) address: String,
    /// The slots that the list gives it.
    pub(crate) capacity: u32,
    /// Whether it takes new work.
    pub(crate) ready: bool,
    /// Messages of this edge that are there.
    pub(crate) out: u32,
    /// Answers of 500 since it last served.
    errors_in_a_row: u32,
    /// The last that was heard is that no connection could be opened.
    pub(crate) unreachable: bool,
}

/// What a list changed.
#[derive(Debug)]
pub(crate) struct ListNews {
    /// The list as the decisions are to have it; none if they have it already.
    pub(crate) machines: Option<Vec<Machine>>,
    /// The `Uid`s of runners that were not known before.
    pub(crate) new: Vec<String>,
}

impl RunnerTable {
    /// No runners yet.
    pub(crate) fn new(locality: Locality) -> Self {
        Self { locality, runners: BTreeMap::new(), machines: Vec::new() }
    }

    /// Where this edge stands.
    pub(crate) fn locality(&self) -> &Locality {
        &self.locality
    }

    /// Takes the runners as they are listed now.
    pub(crate) fn list<'a>(&mut self, listed: impl Iterator<Item = &'a Runner>) -> ListNews {
        let mut machines = Vec::new();
        let mut new = Vec::new();
        let mut before = std::mem::take(&mut self.runners);
        for runner in listed {
            let known = before.remove(&runner.uid);
            if known.is_none() {
                new.push(runner.uid.clone());
            }
            machines.push(self.machine(runner));
            self.runners.insert(runner.uid.clone(), Standing::of(runner, known));
        }
        self.keep_busy(before);
        if machines == self.machines {
            return ListNews { machines: None, new };
        }
        self.machines.clone_from(&machines);
        ListNews { machines: Some(machines), new }
    }

    /// Runners that have left the list are remembered while messages of this edge are there, until the next list at least.
    fn keep_busy(&mut self, left: BTreeMap<String, Standing>) {
        for (uid, mut runner) in left {
            if runner.out > 0 {
                runner.ready = false;
                self.runners.entry(uid).or_insert(runner);
            }
        }
    }

    fn machine(&self, runner: &Runner) -> Machine {
        let is_home = self.locality.distance_to(&runner.zone) == Distance::SameZone;
        let zone = if is_home { HOME } else { ELSEWHERE };
        Machine {
            name: runner.uid.clone(),
            availability: availability(runner.phase),
            started_ms: 0.0,
            zone: Some(zone.to_owned()),
            kind: None,
            abilities: Vec::new(),
            cell: None,
            weight: f64::from(runner.capacity),
        }
    }

    /// What is known of a runner.
    pub(crate) fn get(&self, uid: &str) -> Option<&Standing> {
        self.runners.get(uid)
    }

    /// What is known of a runner, to be changed.
    pub(crate) fn get_mut(&mut self, uid: &str) -> Option<&mut Standing> {
        self.runners.get_mut(uid)
    }

    /// Whether any runner takes new work.
    pub(crate) fn any_ready(&self) -> bool {
        self.runners.values().any(|runner| runner.ready)
    }

    /// Runners that take new work but could not be reached when they were last tried.
    pub(crate) fn unreachable(&self) -> impl Iterator<Item = &str> {
        let unreachable = self.runners.iter().filter(|(_, runner)| runner.ready && runner.unreachable);
        unreachable.map(|(uid, _)| uid.as_str())
    }
}

impl Standing {
    /// A runner as it is listed now; what was known of it stays.
    fn of(runner: &Runner, known: Option<Self>) -> Self {
        let fresh = Self {
            address: runner.address.clone(),
            capacity: runner.capacity,
            ready: runner.phase == RunnerPhase::Ready,
            out: 0,
            errors_in_a_row: 0,
            unreachable: false,
        };
        let Some(known) = known else { return fresh };
        Self { address: fresh.address, capacity: fresh.capacity, ready: fresh.ready, ..known }
    }

    /// Counts the errors in a row after an end, and tells the count.
    pub(crate) fn count_errors(&mut self, outcome: DispatchOutcome) -> u32 {
        match outcome {
            DispatchOutcome::Served => self.errors_in_a_row = 0,
            DispatchOutcome::Error500 => self.errors_in_a_row = self.errors_in_a_row.saturating_add(1),
            _ => {}
        }
        self.errors_in_a_row
    }
}

fn availability(phase: RunnerPhase) -> Availability {
    match phase {
        RunnerPhase::Ready => Availability::Ready,
        RunnerPhase::Draining => Availability::Draining,
    }
}
