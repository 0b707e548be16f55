//! How processes start, take their inputs and end.

use rand::Rng as _;
use ruddervalve_coordinator::founding::{founder_identity, founders};
use ruddervalve_protocol::{Incarnation, ReplicaId};
use ruddervalve_runtime::{InternalPort, internal_address};

use crate::coordinator_process::CoordinatorProcess;
use crate::disk::Disk;
use crate::edge_process::EdgeProcess;
use crate::event::Event;
use crate::host::Host;
use crate::network::{Life, Machine};
use crate::places::{Role, seeds, settings};
use crate::process::{Effect, Input, Process};
use crate::store_process::StoreProcess;
use crate::world::World;

/// A process says that it is alive so often, in milliseconds: a third of the silence of its links.
const HEARTBEAT_MS: u64 = 444;
/// The time of day at the beginning, in milliseconds since 1970.
const WALL: u64 = 1_700_000_000_000;
/// A process that ends by itself is started again after this, in milliseconds.
const RESTART_MS: u64 = 500;

impl World {
    /// Starts a machine's process, unless it runs or has no power.
    pub fn start(&mut self, machine: Machine) {
        let now = self.now;
        let identity = ReplicaId(self.process_random.random());
        let seed = self.process_random.random();
        let seeds = seeds(self.listed_places());
        let Some(host) = self.hosts.get_mut(machine) else { return };
        if host.process.is_some() || !host.has_power || !host.exists() {
            return;
        }
        let is_first = !host.has_founded;
        if let Ok(read) = settings(&host.place, &seeds, &self.scenario, is_first) {
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
        let name = host.place.name.clone();
        match started {
            Ok((process, identity)) => {
                host.process = Some(process);
                let (disk, life) = (host.disk.instance, host.life);
                if let Some(identity) = identity {
                    self.checks.lives_on(now, identity.0, disk);
                }
                self.line(|| format!("{name} starts, life {life}, identity {identity:?}"));
                self.carry_out(Life { machine, life }, effects);
                self.after(HEARTBEAT_MS, Event::Heartbeat(Life { machine, life }));
                self.plan_wake(machine);
            }
            Err(error) => {
                let text = format!("{name} cannot start: {error}");
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

    pub fn plan_wake(&mut self, machine: Machine) {
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
            if self.hosts.get(process.machine).is_some_and(|host| !host.is_frozen) {
                self.send_replica_heartbeats(process);
            }
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
}

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
