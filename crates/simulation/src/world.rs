//! The simulated world: all machines, the network between them and one queue of events.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;

use rand::{Rng as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;
use ruddervalve_configuration::Settings;
use ruddervalve_consensus::Membership;
use ruddervalve_coordinator::founding::{founder_identity, founders};
use ruddervalve_protocol::{GroupId, Incarnation, ReplicaId};
use ruddervalve_runtime::{InternalPort, internal_address};

use crate::checks::Checks;
use crate::clients::Clients;
use crate::coordinator_process::CoordinatorProcess;
use crate::disk::Disk;
use crate::edge_process::EdgeProcess;
use crate::event::Event;
use crate::network::{Life, Machine, Network};
use crate::operator::Operator;
use crate::places::{FIRST_PORT, Place, Role, places, settings};
use crate::process::{Effect, Input, Link, Process};
use crate::runners::Runners;
use crate::scenario::Scenario;
use crate::store_process::StoreProcess;
use crate::trace::Trace;

/// A process says that it is alive so often, in milliseconds: a third of the silence of its links.
const HEARTBEAT_MS: u64 = 444;
/// The time of day at the beginning, in milliseconds since 1970.
const WALL: u64 = 1_700_000_000_000;
/// A process that ends by itself is started again after this, in milliseconds.
const RESTART_MS: u64 = 500;

/// A machine and its process, if it runs.
pub struct Host {
    pub place: Place,
    pub settings: Settings,
    pub disk: Disk,
    pub process: Option<Box<dyn Process>>,
    pub life: u64,
    pub started: u64,
    /// How far its time of day is from the true one, in milliseconds.
    pub wall_offset: i64,
    pub has_power: bool,
    pub is_frozen: bool,
    /// What came while it stood still.
    pub backlog: VecDeque<Input>,
    /// What it wants to keep open, and how often in a row each could not be opened.
    pub links: BTreeMap<Link, u32>,
    /// The next wake that is in the queue.
    pub wake_at: u64,
    /// The configuration that an edge had in force last.
    pub version: u64,
    pub has_founded: bool,
    /// Whether the process was told to end.
    pub is_ending: bool,
    /// The members of each group as last traced.
    members: BTreeMap<GroupId, Membership>,
}

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
    pub lost_until: BTreeMap<Machine, u64>,
    /// Whether the next acknowledgement is followed by a loss of power.
    pub loses_power_at_ack: bool,
    pub steps: u64,
    instances: u64,
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
        let mut hosts = Vec::new();
        let mut by_address = BTreeMap::new();
        for (machine, place) in places.iter().enumerate() {
            let settings = settings(place, &places, scenario.zones, true).ok()?;
            for port in FIRST_PORT..=FIRST_PORT + 1 {
                by_address.insert(SocketAddr::new(place.ip, port), machine);
            }
            hosts.push(Host {
                place: place.clone(),
                settings,
                disk: Disk::new(machine as u64),
                process: None,
                life: 0,
                started: 0,
                wall_offset: 0,
                has_power: true,
                is_frozen: false,
                backlog: VecDeque::new(),
                links: BTreeMap::new(),
                wake_at: u64::MAX,
                version: 0,
                has_founded: false,
                is_ending: false,
                members: BTreeMap::new(),
            });
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

    // Processes.

    /// Starts a machine's process, unless it runs or has no power.
    pub fn start(&mut self, machine: Machine) {
        let now = self.now;
        let identity = ReplicaId(self.process_random.random());
        let seed = self.process_random.random();
        let places: Vec<Place> = self.hosts.iter().map(|host| host.place.clone()).collect();
        let zones = self.scenario.zones;
        let Some(host) = self.hosts.get_mut(machine) else { return };
        if host.process.is_some() || !host.has_power {
            return;
        }
        let is_first = !host.has_founded;
        if let Ok(read) = settings(&host.place, &places, zones, is_first) {
            host.settings = read;
        }
        host.has_founded = true;
        host.life += 1;
        host.started = now.saturating_sub(1);
        host.is_ending = false;
        host.version = 0;
        host.links.clear();
        host.backlog.clear();
        host.wake_at = u64::MAX;
        let wall = (WALL + now).saturating_add_signed(host.wall_offset);
        let mut effects = Vec::new();
        let incarnation = Incarnation(incarnation(Life { machine, life: host.life }));
        let started = begin_process(host, incarnation, identity, seed, wall, &mut effects);
        match started {
            Ok((process, identity)) => {
                host.process = Some(process);
                let (disk, life) = (host.disk.instance, host.life);
                if let Some(identity) = identity {
                    self.checks.lives_on(now, identity.0, disk);
                }
                self.line(|| format!("{} starts, life {life}, identity {identity:?}", places[machine].name));
                self.carry_out(Life { machine, life }, effects);
                self.after(HEARTBEAT_MS, Event::Heartbeat(Life { machine, life }));
                self.plan_wake(machine);
            }
            Err(error) => {
                let text = format!("{} cannot start: {error}", places[machine].name);
                self.checks.fail(now, "START", text);
            }
        }
    }

    /// Hands an input to a process, or to its backlog while it stands still.
    pub fn hand(&mut self, process: Life, input: Input) {
        if !self.is_running(process) {
            return;
        }
        let now = self.now;
        let Some(host) = self.hosts.get_mut(process.machine) else { return };
        if host.is_frozen {
            host.backlog.push_back(input);
            return;
        }
        let local = now - host.started;
        let mut effects = Vec::new();
        if let Input::LinkUp(link, _) | Input::LinkDown(link) = &input {
            let is_up = matches!(input, Input::LinkUp(..));
            self.trace.line(now, || format!("{}: {link:?} is up {is_up}", host.place.name));
        }
        if let Some(running) = &mut host.process {
            running.handle(local, input, &mut effects);
        }
        self.carry_out(process, effects);
        self.checkpoint_if_due(process);
        self.check_process(process);
        if self.is_running(process) {
            self.plan_wake(process.machine);
            self.end_if_done(process);
        }
    }

    fn end_if_done(&mut self, process: Life) {
        let Some(host) = self.hosts.get_mut(process.machine) else { return };
        let local = self.now - host.started;
        if host.is_ending && host.process.as_ref().is_some_and(|running| running.ended(local)) {
            self.line(|| format!("machine {} has ended as asked", process.machine));
            self.end_process(process.machine, false);
        }
    }

    fn plan_wake(&mut self, machine: Machine) {
        let now = self.now;
        let Some(host) = self.hosts.get_mut(machine) else { return };
        let Some(process) = &host.process else { return };
        let at = process.next_wake(now - host.started).saturating_add(host.started).max(now + 1);
        if at < host.wake_at || host.wake_at <= now {
            host.wake_at = at;
            let life = Life { machine, life: host.life };
            self.at(at, Event::Wake(life));
        }
    }

    pub fn wake(&mut self, process: Life) {
        if !self.is_running(process) {
            return;
        }
        let now = self.now;
        let Some(host) = self.hosts.get_mut(process.machine) else { return };
        if host.wake_at == now {
            host.wake_at = u64::MAX;
            self.hand(process, Input::Wake);
        }
    }

    pub fn heartbeat(&mut self, process: Life) {
        if self.is_running(process) {
            self.hand(process, Input::Heartbeat);
            self.after(HEARTBEAT_MS, Event::Heartbeat(process));
        }
    }

    /// The process of a machine is gone: its connections end, with a word to the peers unless the power is gone.
    pub fn end_process(&mut self, machine: Machine, by_power: bool) {
        let Some(process) = self.running(machine) else { return };
        let Some(host) = self.hosts.get_mut(machine) else { return };
        host.process = None;
        host.backlog.clear();
        host.links.clear();
        host.is_frozen = false;
        self.end_connections(process, by_power);
        self.clients_lose(process);
        self.runners_lose(process);
        self.operator_loses(process);
    }

    /// A process ends by itself.
    pub fn fails(&mut self, process: Life, reason: &str) {
        let text = format!("{} ends by itself: {reason}", self.name(process.machine));
        self.checks.fail(self.now, "FAULT", text);
        self.end_process(process.machine, false);
        self.after(RESTART_MS, Event::Start { machine: process.machine });
    }

    /// A new disk for a machine whose disk was lost.
    pub fn new_disk(&mut self) -> Disk {
        self.instances += 1;
        Disk::new(self.instances)
    }

    /// What must hold after each step of a process.
    fn check_process(&mut self, process: Life) {
        let now = self.now;
        let Some(host) = self.hosts.get_mut(process.machine) else { return };
        let Some(running) = &host.process else { return };
        if let Some(edge) = running.edge() {
            let version = edge.configuration().map_or(0, |configuration| configuration.version());
            let before = std::mem::replace(&mut host.version, version);
            if version != before {
                self.trace.line(now, || format!("{} has configuration {version} in force", host.place.name));
            }
            if version < before {
                let text = format!("{} goes back from version {before} to {version}", host.place.name);
                self.checks.fail(now, "CONFIG", text);
            }
        }
        if let Some(replicas) = running.host() {
            let identity = replicas.identity().0;
            for group in replicas.groups() {
                let Some(replica) = replicas.replica(group) else { continue };
                let members = replica.membership();
                if self.trace.keeps() && host.members.get(&group) != Some(members) {
                    let (name, term) = (&host.place.name, replica.term());
                    let short = |ids: &[ReplicaId]| ids.iter().map(|id| id.0 % 10_000).collect::<Vec<_>>();
                    let text = format!(
                        "{name} {}: group {} has {:?} and learners {:?} at index {} term {term} {:?}",
                        identity % 10_000,
                        group.0,
                        short(&members.voters),
                        short(&members.learners),
                        replica.last_index(),
                        replica.role()
                    );
                    self.trace.line(now, || text);
                    host.members.insert(group, members.clone());
                }
                if replica.role() == ruddervalve_consensus::Role::Leader {
                    self.checks.leads(now, group.0, replica.term(), identity);
                }
            }
        }
        if let Some(coordinator) = running.coordinator()
            && let Some(update) = coordinator.state().configuration()
        {
            self.operator.committed.entry(update.version).or_insert_with(|| update.body.as_slice().to_vec());
            let is_same = self
                .operator
                .committed
                .get(&update.version)
                .is_some_and(|body| body == update.body.as_slice());
            if !is_same {
                self.checks.fail(now, "CONFIG", format!("version {} has two bodies", update.version));
            }
        }
        self.check_leases();
    }

    /// At most one process holds a leader's lease of a group.
    fn check_leases(&mut self) {
        if self.steps % LEASE_CHECK_STEPS != 0 {
            return;
        }
        let now = self.now;
        let mut holders: BTreeMap<u32, BTreeSet<u64>> = BTreeMap::new();
        for host in &self.hosts {
            let Some(replicas) = host.process.as_ref().and_then(|process| process.host()) else { continue };
            for group in replicas.groups() {
                let holds =
                    replicas.replica(group).is_some_and(|replica| replica.lease_valid(now - host.started));
                if holds {
                    holders.entry(group.0).or_default().insert(replicas.identity().0);
                }
            }
        }
        for (group, holders) in holders {
            self.checks.lease_holders(now, group, &holders);
        }
    }
}

/// Leases are compared at every so many events: each comparison looks at all machines.
const LEASE_CHECK_STEPS: u64 = 4;

type Begun = (Box<dyn Process>, Option<ReplicaId>);

fn begin_process(
    host: &mut Host,
    incarnation: Incarnation,
    identity: ReplicaId,
    seed: u64,
    wall: u64,
    effects: &mut Vec<Effect>,
) -> Result<Begun, String> {
    let settings = &host.settings;
    match host.place.role {
        Role::Edge => Ok((Box::new(EdgeProcess::start(settings, seed, incarnation, effects)), None)),
        Role::Coordinator => {
            let internal = internal_address(settings, settings.ip, InternalPort::Coordinator);
            let identity = founders(settings).map_or(identity, |_| founder_identity(internal));
            let (state, is_new) = host.disk.open(identity).map_err(|error| error.to_string())?;
            let process = CoordinatorProcess::start(settings, &state, is_new, seed, 1, effects);
            Ok((Box::new(process.map_err(|error| error.to_string())?), Some(state.identity)))
        }
        Role::Store => {
            #[cfg(feature = "mutants")]
            let identity = crate::mutants::identity(settings, identity);
            let (state, _) = host.disk.open(identity).map_err(|error| error.to_string())?;
            let process = StoreProcess::start(settings, &state, seed, 1, wall, effects);
            Ok((Box::new(process.map_err(|error| error.to_string())?), Some(state.identity)))
        }
    }
}

/// A number for a life of a process, unique among all lives of all machines.
pub fn incarnation(process: Life) -> u64 {
    process.life * 1_000 + process.machine as u64 + 1
}
