//! Runners and the platform's list of them.

use std::collections::VecDeque;
use std::net::SocketAddr;

use ruddervalve_coordinator::listing_page::ListPage;
use ruddervalve_protocol::{Runner, RunnerPhase};

/// One run of a message that waits or is under way at a runner.
#[derive(Debug, Clone)]
pub struct Run {
    /// Counts all runs.
    pub number: u64,
    pub id: String,
    pub deadline_at: u64,
    /// Who waits for the answer.
    pub caller: Caller,
}

/// The edge process that made a delivery, and its job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Caller {
    pub edge: crate::network::Life,
    pub job: u64,
}

/// A runner in one life.
#[derive(Debug)]
pub struct SimRunner {
    pub uid: String,
    pub service: &'static str,
    pub address: SocketAddr,
    pub zone: u32,
    pub slots: usize,
    /// Since when it drains.
    pub draining_since: Option<u64>,
    pub busy: Vec<Run>,
    pub waiting: VecDeque<Run>,
}

/// What the platform's list says, from a moment on.
#[derive(Debug, Clone)]
pub struct ListedState {
    pub from: u64,
    pub runners: Vec<Runner>,
}

/// All runners and the history of the list.
#[derive(Debug, Default)]
pub struct Runners {
    pub runners: Vec<SimRunner>,
    pub history: VecDeque<ListedState>,
    /// The platform answers nothing until then.
    pub down_until: u64,
    /// Crashed runners that the list still shows.
    pub ghosts: Vec<Runner>,
    pub counted: u64,
    /// Calls in the current second.
    pub calls: (u64, u32),
}

impl Runners {
    pub fn at(&mut self, address: SocketAddr) -> Option<&mut SimRunner> {
        self.runners.iter_mut().find(|runner| runner.address == address)
    }

    /// Writes down what the list says from now on.
    pub fn list(&mut self, now: u64) {
        let listed = |runner: &SimRunner| Runner {
            uid: runner.uid.clone(),
            service: runner.service.to_owned(),
            address: runner.address.to_string(),
            zone: format!("zone-{}", runner.zone),
            capacity: u32::try_from(runner.slots).unwrap_or(u32::MAX),
            phase: if runner.draining_since.is_some() { RunnerPhase::Draining } else { RunnerPhase::Ready },
            cold_remaining_ms: 0,
        };
        let endpoint = crate::places::endpoint_address();
        let mut runners: Vec<Runner> =
            self.runners.iter().filter(|runner| runner.address != endpoint).map(listed).collect();
        runners.extend(self.ghosts.iter().cloned());
        self.history.push_back(ListedState { from: now, runners });
    }

    /// The list as it was at a moment.
    pub fn page(&self, at: u64) -> ListPage {
        let state = self.history.iter().rev().find(|state| state.from <= at).or(self.history.front());
        let runners = state.map(|state| state.runners.clone()).unwrap_or_default();
        ListPage { runners, next_page: None, skipped: 0 }
    }
}
