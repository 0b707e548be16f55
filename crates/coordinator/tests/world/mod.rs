//! Coordinators on a seeded network, with disks that take their time, and faults: machines that are cut off, frozen or
//! killed. The operator's calls go over the same network. Events are played in the order of their times; nothing sleeps.

#![allow(dead_code, reason = "each test file uses a part of it")]

pub mod chance;
pub mod disk;
pub mod history;
pub mod processes;
pub mod uplink;

use std::collections::{BTreeMap, BTreeSet};

use chance::Chance;
use disk::Disk;
use nanoserde::SerBin as _;
use processes::Process;
use ruddervalve_configuration::Settings;
use ruddervalve_coordinator::founding::founder_identity;
use ruddervalve_coordinator::operator::OperatorCall;
use ruddervalve_coordinator::{CallerNumber, CoordinatorCore, CoordinatorOutput, OperatorReply};
use ruddervalve_disk::Record;
use ruddervalve_protocol::{CoordinatorReply, CoordinatorRequest, GroupId, ReceivedUpdates, Registration};
use ruddervalve_replication::Envelope;
use ruddervalve_runtime::{InternalPort, ReplicaInput, ReplicaOutput, internal_address};
use uplink::{Connection, Uplink};

use crate::group::settings;

/// The coordinators; all found the group.
pub const MACHINES: [u8; 3] = [1, 2, 3];
/// The operator's place on the network.
pub const OPERATOR: u8 = 0;
/// The longest way from one machine to another; ms.
const LONGEST_WAY_MS: u64 = 6;
/// The longest that a disk takes; ms.
const LONGEST_SYNC_MS: u64 = 8;
const BYTES_PER_MS_IN_MBPS: f64 = 125.0;

/// What travels.
#[derive(Debug)]
pub enum Parcel {
    Consensus(Envelope),
    Call(CallerNumber, OperatorCall),
    /// None: the connection ended without an answer.
    Answer(CallerNumber, Option<OperatorReply>),
    /// To a session.
    Told(u64, CoordinatorReply),
}

#[derive(Debug)]
struct Flight {
    from: u8,
    to: u8,
    parcel: Parcel,
}

/// A process and what it has not noticed yet.
struct Running {
    core: CoordinatorCore,
    /// Records that are being written: when they are on disk, their ticket, and they themselves.
    writes: Vec<(u64, u64, Vec<Record>)>,
    frozen_until: u64,
    /// Who waits for an answer of this process.
    callers: BTreeSet<CallerNumber>,
    /// What it told its sessions.
    told: Vec<(u64, CoordinatorReply)>,
}

/// A call's end, as the operator saw it.
#[derive(Debug)]
pub enum CallEnd {
    Answered(u16, Vec<u8>),
    Redirected(String),
    /// The connection ended, or the process was gone.
    Closed,
}

pub struct World {
    pub now: u64,
    pub chance: Chance,
    settings: BTreeMap<u8, Settings>,
    disks: BTreeMap<u8, Disk>,
    running: BTreeMap<u8, Running>,
    /// One-way cuts; what is sent into one is lost.
    pub cuts: BTreeSet<(u8, u8)>,
    /// The part of the operator's answers that are lost.
    pub lost_answers: f64,
    flights: BTreeMap<(u64, u64), Flight>,
    sent: u64,
    calls: u64,
    /// Calls that ended since they were last asked for.
    ended: BTreeMap<CallerNumber, CallEnd>,
    /// What was ever in force at any machine, in order: the version, its body, and when it was first seen.
    pub in_force: Vec<(u64, Vec<u8>, u64)>,
    /// The links of the machines, where these are limited; else all that is sent leaves at once.
    uplinks: BTreeMap<u8, Uplink>,
    /// Edges that are connected to all coordinators.
    pub processes: Vec<Process>,
}

impl World {
    /// All machines start on empty disks.
    pub fn new(seed: u64) -> Self {
        let mut world = Self {
            now: 1,
            chance: Chance::new(seed),
            settings: MACHINES.map(|machine| (machine, settings(machine))).into(),
            disks: BTreeMap::new(),
            running: BTreeMap::new(),
            cuts: BTreeSet::new(),
            lost_answers: 0.0,
            flights: BTreeMap::new(),
            sent: 0,
            calls: 0,
            ended: BTreeMap::new(),
            in_force: Vec::new(),
            uplinks: BTreeMap::new(),
            processes: Vec::new(),
        };
        for machine in MACHINES {
            let place = &world.settings[&machine];
            let internal = internal_address(place, place.ip, InternalPort::Coordinator);
            world.disks.insert(machine, Disk::empty(founder_identity(internal)));
            world.start(machine);
        }
        world
    }

    /// The same, with a leader whose first entry is committed.
    pub fn led(seed: u64) -> (Self, u8) {
        let mut world = Self::new(seed);
        assert!(world.run_until(4_000, |world| world.leader().is_some()));
        let leader = world.leader().unwrap();
        (world, leader)
    }

    pub fn is_up(&self, machine: u8) -> bool {
        self.running.contains_key(&machine)
    }

    pub fn core(&self, machine: u8) -> &CoordinatorCore {
        &self.running[&machine].core
    }

    /// Who leads with a lease, by the true time; the one of the highest term.
    pub fn leader(&self) -> Option<u8> {
        let leads =
            |(_, running): &(&u8, &Running)| running.frozen_until <= self.now && running.core.leads(self.now);
        let leading = self.running.iter().filter(leads);
        leading.max_by_key(|(_, running)| self.term_of(running)).map(|(machine, _)| *machine)
    }

    fn term_of(&self, running: &Running) -> u64 {
        let replica = running.core.host().replica(GroupId::CONTROL);
        replica.map_or(0, |replica| replica.term())
    }

    pub fn term(&self, machine: u8) -> u64 {
        self.term_of(&self.running[&machine])
    }

    pub fn others(&self, machine: u8) -> Vec<u8> {
        MACHINES.into_iter().filter(|other| *other != machine).collect()
    }

    // Faults.

    /// Starts a process with what its disk holds.
    pub fn start(&mut self, machine: u8) {
        let settings = &self.settings[&machine];
        let disk = &self.disks[&machine];
        let internal = internal_address(settings, settings.ip, InternalPort::Coordinator);
        let control = settings.listen.control_plane.unwrap();
        let (is_new, seed, now) = (disk.is_empty(), self.chance.next(), self.now);
        let core = CoordinatorCore::start(settings, disk.state(), is_new, internal, control, seed, now);
        let (writes, callers, told) = (Vec::new(), BTreeSet::new(), Vec::new());
        let running = Running { core: core.unwrap(), writes, frozen_until: 0, callers, told };
        self.running.insert(machine, running);
        self.settle(machine);
    }

    /// Kills a process; some of what it was writing is on the disk.
    pub fn kill(&mut self, machine: u8) {
        let Some(running) = self.running.remove(&machine) else { return };
        let kept = self.chance.below(running.writes.len() as u64 + 1);
        for (_, _, records) in running.writes.into_iter().take(usize::try_from(kept).unwrap()) {
            self.disk(machine).write(records);
        }
        for caller in running.callers {
            self.send(machine, OPERATOR, Parcel::Answer(caller, None));
        }
    }

    /// The process does nothing until then.
    pub fn freeze(&mut self, machine: u8, milliseconds: u64) {
        let until = self.now + milliseconds;
        if let Some(running) = self.running.get_mut(&machine) {
            running.frozen_until = until;
        }
    }

    /// Cuts a machine off from all others, but not from the operator.
    pub fn isolate(&mut self, machine: u8) {
        for other in self.others(machine) {
            self.cuts.insert((machine, other));
            self.cuts.insert((other, machine));
        }
    }

    /// Takes a checkpoint at once: entries leave the log, a follower that lags needs a snapshot.
    pub fn checkpoint(&mut self, machine: u8) {
        let Some(running) = self.running.get_mut(&machine) else { return };
        let checkpoint = running.core.checkpoint();
        let writes = std::mem::take(&mut running.writes);
        let now = self.now;
        for (_, ticket, _) in writes {
            running.core.replica_input(now, ReplicaInput::Written { ticket });
        }
        let covered = checkpoint.covered;
        running.core.replica_input(now, ReplicaInput::CheckpointDone { covered });
        self.disk(machine).replace(checkpoint.state);
        self.settle(machine);
    }

    /// Whether a machine's disk holds a snapshot.
    pub fn has_snapshot(&self, machine: u8) -> bool {
        let groups = &self.disks[&machine].state().groups;
        groups.get(&GroupId::CONTROL).is_some_and(|group| group.snapshot.is_some())
    }

    fn disk(&mut self, machine: u8) -> &mut Disk {
        self.disks.get_mut(&machine).unwrap()
    }

    /// From now on all machines have a link of this `BandwidthMbps` for what goes to other coordinators and to sessions.
    pub fn limit_links(&mut self, bandwidth_mbps: f64) {
        for (machine, settings) in &mut self.settings {
            settings.limits.bandwidth_mbps = bandwidth_mbps;
            self.running.get_mut(machine).unwrap().core.set_settings(settings);
            let bytes_per_ms = (bandwidth_mbps * BYTES_PER_MS_IN_MBPS) as u64;
            self.uplinks.insert(*machine, Uplink::new(bytes_per_ms));
        }
    }

    /// The most bytes that ever waited for a machine's link.
    pub fn most_queued_bytes(&self, machine: u8) -> u64 {
        self.uplinks[&machine].most_queued_bytes
    }

    /// All bytes that a machine ever sent over its link.
    pub fn sent_bytes(&self, machine: u8) -> u64 {
        self.uplinks[&machine].accepted_bytes
    }

    // The operator.

    /// Sends a call to a machine.
    pub fn call(&mut self, machine: u8, call: OperatorCall) -> CallerNumber {
        self.calls += 1;
        let caller = CallerNumber(self.calls);
        self.send(OPERATOR, machine, Parcel::Call(caller, call));
        caller
    }

    /// How a call ended, if it has.
    pub fn end_of(&mut self, caller: CallerNumber) -> Option<CallEnd> {
        self.ended.remove(&caller)
    }

    /// Sends a call and waits so long for its end.
    pub fn ask(&mut self, machine: u8, call: OperatorCall, milliseconds: u64) -> Option<CallEnd> {
        let caller = self.call(machine, call);
        self.run_until(milliseconds, |world| world.ended.contains_key(&caller));
        self.end_of(caller)
    }

    // Sessions of other processes.

    /// A machine hears over its control link that another one leads.
    pub fn told_leads(&mut self, machine: u8, leader: u8) {
        let settings = &self.settings[&leader];
        let address = internal_address(settings, settings.ip, InternalPort::Coordinator);
        let now = self.now;
        if let Some(running) = self.running.get_mut(&machine) {
            let alive = CoordinatorReply::Alive { term: 1, configuration: 0, edges: 0 };
            running.core.coordinator_says(now, address, alive);
        }
    }

    /// A process connects and registers at once; its session's number.
    pub fn session(&mut self, machine: u8, registration: Registration) -> u64 {
        let now = self.now;
        let running = self.running.get_mut(&machine).unwrap();
        let session = running.core.session_opened(now);
        running.core.session_says(
            now,
            session,
            CoordinatorRequest::Register(registration, ReceivedUpdates::default()),
        );
        session
    }

    /// A session sends a heartbeat; what it was told since it last did.
    pub fn heartbeat(&mut self, machine: u8, session: u64) -> Vec<CoordinatorReply> {
        let now = self.now;
        let Some(running) = self.running.get_mut(&machine) else { return Vec::new() };
        running.core.session_says(now, session, CoordinatorRequest::Heartbeat);
        self.settle(machine);
        let Some(running) = self.running.get_mut(&machine) else { return Vec::new() };
        let told = std::mem::take(&mut running.told);
        told.into_iter().filter(|(to, _)| *to == session).map(|(_, reply)| reply).collect()
    }

    // Time.

    /// Lets time pass until something holds; whether it came to hold.
    pub fn run_until(&mut self, milliseconds: u64, mut holds: impl FnMut(&Self) -> bool) -> bool {
        let end = self.now + milliseconds;
        loop {
            if holds(self) {
                return true;
            }
            if self.now >= end {
                return false;
            }
            self.step(end);
        }
    }

    /// Lets time pass.
    pub fn run(&mut self, milliseconds: u64) {
        self.run_until(milliseconds, |_| false);
    }

    /// Goes to the next event, at most to `end`.
    fn step(&mut self, end: u64) {
        let flight = self.flights.keys().next().map_or(u64::MAX, |(due, _)| *due);
        let wakes = self.running.values().map(|running| self.next_wake(running));
        let due = wakes.min().unwrap_or(u64::MAX).min(flight);
        let heartbeat = self.processes.iter().map(|process| process.next_heartbeat()).min();
        let due = due.min(heartbeat.unwrap_or(u64::MAX));
        let is_sending = self.uplinks.values().any(|uplink| !uplink.is_idle());
        let due = if is_sending { self.now + 1 } else { due };
        self.now = due.clamp(self.now + 1, end.max(self.now + 1));
        self.leave_links();
        self.send_heartbeats();
        // A process that has both in hand may take either first.
        if self.chance.happens(0.5) {
            self.wake_all();
            self.arrive_due();
        } else {
            self.arrive_due();
            self.wake_all();
        }
    }

    fn wake_all(&mut self) {
        for machine in MACHINES {
            self.wake(machine);
        }
    }

    fn arrive_due(&mut self) {
        while let Some(entry) = self.flights.first_entry()
            && entry.key().0 <= self.now
        {
            let flight = entry.remove();
            self.arrive(flight);
        }
    }

    fn next_wake(&self, running: &Running) -> u64 {
        let written = running.writes.first().map_or(u64::MAX, |(due, _, _)| *due);
        running.core.next_wake(self.now).min(written).max(running.frozen_until)
    }

    fn wake(&mut self, machine: u8) {
        let now = self.now;
        let Some(running) = self.running.get_mut(&machine) else { return };
        if running.frozen_until > now {
            return;
        }
        let mut is_due = running.core.next_wake(now) <= now;
        while running.writes.first().is_some_and(|(due, _, _)| *due <= now) {
            let (_, ticket, records) = running.writes.remove(0);
            running.core.replica_input(now, ReplicaInput::Written { ticket });
            self.disks.get_mut(&machine).unwrap().write(records);
            is_due = true;
        }
        if is_due {
            self.settle(machine);
        }
    }

    fn send(&mut self, from: u8, to: u8, parcel: Parcel) {
        let due = self.now + 1 + self.chance.below(LONGEST_WAY_MS);
        self.sent += 1;
        self.flights.insert((due, self.sent), Flight { from, to, parcel });
    }

    /// Sends over the link of a machine, if that is limited, and at once if not.
    fn send_over_link(&mut self, from: u8, connection: Connection, bytes: u64, parcel: Parcel) {
        let now = self.now;
        match self.uplinks.get_mut(&from) {
            Some(uplink) => uplink.send(now, connection, bytes, parcel),
            None => self.leave(from, connection, parcel),
        }
    }

    /// Puts on its way what has left the machines' links.
    fn leave_links(&mut self) {
        let now = self.now;
        let left: Vec<_> =
            self.uplinks.iter_mut().map(|(machine, uplink)| (*machine, uplink.advance(now))).collect();
        for (machine, parcels) in left {
            for (connection, parcel) in parcels {
                self.leave(machine, connection, parcel);
            }
        }
    }

    fn leave(&mut self, from: u8, connection: Connection, parcel: Parcel) {
        match connection {
            Connection::Peer(to) => self.send(from, to, parcel),
            Connection::Session(_) => {
                // Always as long: frames of a connection keep their order.
                self.sent += 1;
                self.flights.insert((self.now + 1, self.sent), Flight { from, to: from, parcel });
            }
        }
    }

    fn arrive(&mut self, flight: Flight) {
        let Flight { from, to, parcel } = flight;
        if self.cuts.contains(&(from, to)) {
            return;
        }
        match parcel {
            Parcel::Answer(caller, reply) => return self.answered(caller, reply),
            Parcel::Told(session, reply) => return self.process_is_told(from, session, reply),
            _ => {}
        }
        let now = self.now;
        let Some(running) = self.running.get_mut(&to) else {
            if let Parcel::Call(caller, _) = parcel {
                self.send(to, OPERATOR, Parcel::Answer(caller, None));
            }
            return;
        };
        if running.frozen_until > now {
            let due = running.frozen_until;
            self.sent += 1;
            self.flights.insert((due, self.sent), Flight { from, to, parcel });
            return;
        }
        match parcel {
            Parcel::Consensus(envelope) => {
                running.core.replica_input(now, ReplicaInput::Received(vec![envelope]));
            }
            Parcel::Call(caller, call) => {
                running.callers.insert(caller);
                running.core.operator(now, caller, call);
            }
            Parcel::Answer(..) | Parcel::Told(..) => {}
        }
        self.settle(to);
    }

    fn answered(&mut self, caller: CallerNumber, reply: Option<OperatorReply>) {
        if self.chance.happens(self.lost_answers) {
            return;
        }
        let end = match reply {
            Some(OperatorReply::Answer(answer)) => CallEnd::Answered(answer.status.code(), answer.body),
            Some(OperatorReply::Redirect(address)) => CallEnd::Redirected(address),
            None => CallEnd::Closed,
        };
        self.ended.insert(caller, end);
    }

    /// Carries out all that a process wants done.
    fn settle(&mut self, machine: u8) {
        let now = self.now;
        let Some(running) = self.running.get_mut(&machine) else { return };
        running.core.settle(now).unwrap();
        let outputs = running.core.replica_outputs();
        let told = running.core.session_outputs();
        let calls = running.core.outputs();
        match self.uplinks.contains_key(&machine) {
            true => self.send_to_sessions(machine, told),
            false => running.told.extend(told),
        }
        for output in outputs {
            self.carry_out(machine, output);
        }
        for output in calls {
            match output {
                CoordinatorOutput::Reply(caller, reply) => self.reply(machine, caller, Some(reply)),
                CoordinatorOutput::NoReply(caller) => self.reply(machine, caller, None),
                CoordinatorOutput::CallPlatform(_) | CoordinatorOutput::Connect => {}
            }
        }
        self.note_in_force(machine);
    }

    fn send_to_sessions(&mut self, machine: u8, told: Vec<(u64, CoordinatorReply)>) {
        for (session, reply) in told {
            let bytes = reply.serialize_bin().len() as u64;
            self.send_over_link(machine, Connection::Session(session), bytes, Parcel::Told(session, reply));
        }
    }

    fn reply(&mut self, machine: u8, caller: CallerNumber, reply: Option<OperatorReply>) {
        let running = self.running.get_mut(&machine).unwrap();
        if running.callers.remove(&caller) {
            self.send(machine, OPERATOR, Parcel::Answer(caller, reply));
        }
    }

    fn carry_out(&mut self, machine: u8, output: ReplicaOutput) {
        match output {
            ReplicaOutput::Write { records, ticket } => {
                let running = self.running.get_mut(&machine).unwrap();
                let last = running.writes.last().map_or(0, |(due, _, _)| *due);
                let due = last.max(self.now + 1 + self.chance.below(LONGEST_SYNC_MS));
                running.writes.push((due, ticket, records));
            }
            ReplicaOutput::Send(envelopes) => {
                for envelope in envelopes {
                    let is_peer = |(_, disk): &(&u8, &Disk)| disk.state().identity == envelope.to;
                    let peer = self.disks.iter().find(is_peer).map(|(machine, _)| *machine);
                    if let Some(peer) = peer {
                        let bytes = envelope.message.serialize_bin().len() as u64;
                        self.send_over_link(
                            machine,
                            Connection::Peer(peer),
                            bytes,
                            Parcel::Consensus(envelope),
                        );
                    }
                }
            }
        }
    }

    /// All machines put the same configurations into force in the same order.
    fn note_in_force(&mut self, machine: u8) {
        let Some(update) = self.running[&machine].core.state().configuration() else { return };
        let body = update.body.as_slice();
        match self.in_force.iter().find(|(version, _, _)| *version == update.version) {
            Some((_, known, _)) => {
                assert_eq!(known, body, "two configurations of version {}", update.version)
            }
            None => {
                let last = self.in_force.last().map_or(0, |(version, _, _)| *version);
                assert!(update.version > last, "version {} comes after {last}", update.version);
                self.in_force.push((update.version, body.to_vec(), self.now));
            }
        }
    }
}
