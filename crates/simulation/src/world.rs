//! The simulated world: all machines, the network between them and one queue of events.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use rand::{Rng as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;

use crate::checks::Checks;
use crate::clients::Clients;
use crate::disk::Disk;
use crate::event::Event;
use crate::host::Host;
use crate::network::{Life, Machine, Network};
use crate::operator::Operator;
use crate::places::{Role, places, seeds, settings};
use crate::repairs::Repairs;
use crate::runners::Runners;
use crate::scenario::Scenario;
use crate::trace::Trace;

/// The world.
pub struct World {
    pub scenario: Scenario,
    pub seed: u64,
    pub now: u64,
    pub network_random: ChaCha8Rng,
    pub fault_random: ChaCha8Rng,
    pub traffic_random: ChaCha8Rng,
    pub process_random: ChaCha8Rng,
    events: BTreeMap<(u64, u64), Event>,
    last_event: u64,
    pub hosts: Vec<Host>,
    pub by_address: BTreeMap<SocketAddr, Machine>,
    pub network: Network,
    pub runners: Runners,
    pub clients: Clients,
    pub operator: Operator,
    pub checks: Checks,
    pub trace: Trace,
    /// Until when each site counts as lost.
    pub lost_until: BTreeMap<Machine, u64>,
    /// Whether the next acknowledgement is followed by a loss of power.
    pub loses_power_at_ack: bool,
    pub steps: u64,
    pub instances: u64,
    /// Machines that came during the day.
    pub newcomers: u8,
    pub repairs: Repairs,
    /// Retirements that have succeeded.
    pub retirements: u32,
}

/// What came of a history.
#[derive(Debug, Clone, PartialEq)]
pub struct Report {
    /// The seed.
    pub seed: u64,
    /// The rules that were broken, the first first.
    pub broken: Vec<crate::checks::Broken>,
    /// What happened, if it was kept.
    pub lines: Vec<String>,
    /// A digest of all events; the same for the same seed and scenario.
    pub digest: u64,
    /// Events.
    pub steps: u64,
    /// Tries that clients made.
    pub sent: usize,
    /// Messages that were accepted.
    pub accepted: usize,
    /// Accepted messages that had not ended at the end of the day.
    pub unended: usize,
    /// What came of repairs after replacements.
    pub repairs: Repairs,
    /// Retirements that have succeeded.
    pub retirements: u32,
    /// Changes of the configuration that were acknowledged.
    pub changes: usize,
}

fn stream(seed: u64, number: u64) -> ChaCha8Rng {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    random.set_stream(number);
    random
}

impl World {
    /// A world before its first event.
    pub fn new(scenario: &Scenario, seed: u64, keeps_trace: bool) -> Option<Self> {
        let places = places(scenario);
        let seeds = seeds(&places);
        let mut hosts: Vec<Host> = Vec::new();
        let mut by_address = BTreeMap::new();
        for (machine, place) in places.into_iter().enumerate() {
            let settings = settings(&place, &seeds, scenario, true).ok()?;
            by_address.extend(place.address(&settings).map(|address| (address, machine)));
            let shared = hosts.iter().position(|host| host.place.ip == place.ip);
            hosts.push(Host::new(place, settings, Disk::new(machine as u64), shared.unwrap_or(machine)));
        }
        let instances = hosts.len() as u64;
        let mut world = Self {
            scenario: scenario.clone(),
            seed,
            now: 0,
            network_random: stream(seed, 1),
            fault_random: stream(seed, 2),
            traffic_random: stream(seed, 3),
            process_random: stream(seed, 4),
            events: BTreeMap::new(),
            last_event: 0,
            hosts,
            by_address,
            network: Network::default(),
            runners: Runners::default(),
            clients: Clients::default(),
            operator: Operator::default(),
            checks: Checks::default(),
            trace: Trace::new(keeps_trace),
            lost_until: BTreeMap::new(),
            loses_power_at_ack: false,
            steps: 0,
            instances,
            newcomers: 0,
            repairs: Repairs::default(),
            retirements: 0,
        };
        world.begin();
        Some(world)
    }

    fn begin(&mut self) {
        self.begin_runners();
        for machine in 0..self.hosts.len() {
            let at = self.process_random.random_range(1..300);
            self.at(at, Event::Start { machine });
        }
        self.begin_clients();
        self.begin_operator();
        self.begin_faults();
    }

    /// Queues an event.
    pub fn at(&mut self, at: u64, event: Event) {
        self.last_event += 1;
        self.events.insert((at.max(self.now), self.last_event), event);
    }

    pub fn after(&mut self, wait: u64, event: Event) {
        self.at(self.now + wait, event);
    }

    /// Plays until the end, or until a rule is broken.
    pub fn play(mut self) -> Report {
        let end = self.end_of_day();
        while let Some(((at, _), event)) = self.events.pop_first() {
            if at > end || !self.checks.broken.is_empty() {
                break;
            }
            self.now = at;
            self.steps += 1;
            self.trace.digest(at);
            self.take(event);
        }
        if self.checks.broken.is_empty() {
            self.close_day();
        }
        self.report()
    }

    fn report(self) -> Report {
        let accepted = self.checks.messages.values().filter(|message| message.accepted_at.is_some());
        let unended = accepted.clone().filter(|message| message.ended_at.is_none()).count();
        Report {
            seed: self.seed,
            accepted: accepted.count(),
            unended,
            sent: self.checks.messages.len(),
            digest: self.trace.digested(),
            lines: self.trace.into_lines(),
            steps: self.steps,
            repairs: self.repairs,
            retirements: self.retirements,
            changes: self.operator.acknowledged.len(),
            broken: self.checks.broken,
        }
    }

    pub fn line(&mut self, text: impl FnOnce() -> String) {
        self.trace.line(self.now, text);
    }

    pub fn name(&self, machine: Machine) -> &str {
        self.hosts.get(machine).map_or("?", |host| &host.place.name)
    }

    pub fn machines(&self, role: Role) -> Vec<Machine> {
        (0..self.hosts.len())
            .filter(|machine| self.hosts.get(*machine).is_some_and(|host| host.place.role == role))
            .collect()
    }

    /// The process that runs on a machine.
    pub fn running(&self, machine: Machine) -> Option<Life> {
        let host = self.hosts.get(machine)?;
        host.process.as_ref()?;
        Some(Life { machine, life: host.life })
    }

    pub fn is_running(&self, process: Life) -> bool {
        self.running(process.machine) == Some(process)
    }
}
