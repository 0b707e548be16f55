//! Runners come and go, and their addresses are used again.

use std::net::SocketAddr;

use rand::Rng as _;
use ruddervalve_edge::runner::UnclearReason;

use crate::checks::RunOutcome;
use crate::delivery::unclear;
use crate::event::Event;
use crate::places::{ADDRESS_REUSE_MS, Kind, MAX_LAG_MS, endpoint_address};
use crate::runners::SimRunner;
use crate::world::World;

/// Slots of the single endpoint.
const ENDPOINT_SLOTS: usize = 12;
/// A crashed runner stands on the list for so long, in milliseconds.
const GHOST_MS: u64 = 3_000;
/// A runner that drains goes after `DrainTimeoutMs` and so much at most, in milliseconds.
const LONGEST_STAY_MS: u64 = 4_000;

impl World {
    pub fn begin_runners(&mut self) {
        let count = self.scenario.traffic.runners;
        for kind in [Kind::Plain, Kind::Ordered] {
            for number in 0..count {
                let host = u8::try_from(number % 200).unwrap_or(0);
                let second = if kind == Kind::Plain { 128 } else { 129 };
                let address = SocketAddr::from(([10, second, 0, host], 8080));
                self.runner_comes(kind.service(), address, number % self.scenario.zones);
            }
        }
        self.runner_comes(Kind::Endpoint.service(), endpoint_address(), 0);
    }

    pub fn runner_comes(&mut self, service: &'static str, address: SocketAddr, zone: u32) {
        if self.runners.at(address).is_some() {
            return;
        }
        self.runners.counted += 1;
        let slots =
            if address == endpoint_address() { ENDPOINT_SLOTS } else { self.scenario.traffic.slots as usize };
        self.runners.runners.push(SimRunner {
            uid: format!("i-{}", self.runners.counted),
            service,
            address,
            zone,
            slots,
            draining_since: None,
            busy: Vec::new(),
            waiting: Default::default(),
        });
        self.runners.list(self.now);
        self.line(|| format!("runner of {service} comes at {address}"));
    }

    /// A runner on the list, drawn, that neither drains nor is the last ready one of its service.
    pub fn drawn_runner(&mut self) -> Option<String> {
        let ready = |service: &str, runners: &[SimRunner]| {
            runners
                .iter()
                .filter(|runner| runner.service == service && runner.draining_since.is_none())
                .count()
        };
        let runners = &self.runners.runners;
        let candidates: Vec<String> = runners
            .iter()
            .filter(|runner| runner.address != endpoint_address() && runner.draining_since.is_none())
            .filter(|runner| ready(runner.service, runners) > 1)
            .map(|runner| runner.uid.clone())
            .collect();
        let place = self.fault_random.random_range(0..candidates.len().max(1));
        candidates.get(place).cloned()
    }

    pub fn runner_crashes(&mut self, uid: &str) {
        let now = self.now;
        self.runners.list(now);
        let listed = self
            .runners
            .history
            .back()
            .and_then(|state| state.runners.iter().find(|runner| runner.uid == uid));
        let ghost = listed.cloned();
        self.runners.ghosts.extend(ghost);
        self.runner_ends(uid);
        self.after(GHOST_MS, Event::RunnerUnlisted { uid: uid.to_owned() });
    }

    pub fn runner_drains(&mut self, uid: &str) {
        let now = self.now;
        if let Some(runner) = self.runners.runners.iter_mut().find(|runner| runner.uid == uid) {
            runner.draining_since = Some(now);
        }
        self.runners.list(now);
        let stay =
            crate::places::DRAIN_TIMEOUT_MS + MAX_LAG_MS + self.fault_random.random_range(0..LONGEST_STAY_MS);
        self.after(stay, Event::RunnerGone { uid: uid.to_owned() });
    }

    pub fn runner_gone(&mut self, uid: &str) {
        self.runner_ends(uid);
        self.runners.list(self.now);
    }

    pub fn runner_unlisted(&mut self, uid: &str) {
        self.runners.ghosts.retain(|ghost| ghost.uid != uid);
        self.runners.list(self.now);
    }

    /// A runner is no more: what it worked on is lost, and its address is used again, maybe by another service.
    pub fn runner_ends(&mut self, uid: &str) {
        let Some(place) = self.runners.runners.iter().position(|runner| runner.uid == uid) else { return };
        let runner = self.runners.runners.remove(place);
        for run in runner.busy.iter().chain(&runner.waiting) {
            self.checks.run_ended(self.now, &run.id, run.number, RunOutcome::Broken);
            self.answer(run.clone(), unclear(UnclearReason::Reset), None, false);
        }
        let other = if runner.service == Kind::Plain.service() { Kind::Ordered } else { Kind::Plain };
        let same = self.runners.runners.iter().filter(|left| left.service == runner.service).count();
        let few = same < self.scenario.traffic.runners as usize;
        let service =
            if few || self.fault_random.random_bool(0.5) { runner.service } else { other.service() };
        let wait = ADDRESS_REUSE_MS + self.fault_random.random_range(0..1_000);
        self.after(wait, Event::RunnerComes { service, address: runner.address, zone: runner.zone });
    }
}
