//! Plays any order of events to the Gearman side with its real broker and decisions, on a clock set by slot, and checks
//! after each of them what must hold: what must not run twice is assigned once, every submission gets one last word at
//! most and in the end exactly one, and nothing is assigned that was not offered or to a worker that is drained.

use std::cell::Cell;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

use bytes::{Bytes, BytesMut};
use proptest::prelude::*;
use ruddervalve::Facade;
use ruddervalve_broker::{Broker, Clock, Counters};
use ruddervalve_gearman::codec::{Decoder, Frame, Kind, Magic, Packet, encode_packet};
use ruddervalve_gearman::{ConnectionId, Engine, SocketAction};
use ruddervalve_operators::Operators;

const CONFIG: &str = include_str!("../../../examples/config.json");
const OPERATORS: &str = include_str!("../../../examples/operators.xml");

/// What happens next; numbers choose among what is there.
#[derive(Debug, Clone)]
enum Event {
    Client,
    Submit(usize, bool, u8, bool),
    ClientGoes(usize),
    Worker(u8),
    /// A worker goes on with what it does, in one of several ways.
    Step(usize, u8),
    WorkerGoes(usize),
    Drain(usize, bool),
    CantDo(usize, bool),
    Pass(u16),
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        2 => Just(Event::Client),
        8 => (0..8_usize, any::<bool>(), 0..6_u8, prop::bool::weighted(0.1)).prop_map(|(client, pour, unique, background)| Event::Submit(client, pour, unique, background)),
        2 => (0..8_usize).prop_map(Event::ClientGoes),
        2 => (1..4_u8).prop_map(Event::Worker),
        14 => (0..8_usize, any::<u8>()).prop_map(|(worker, how)| Event::Step(worker, how)),
        1 => (0..8_usize).prop_map(Event::WorkerGoes),
        1 => (0..8_usize, any::<bool>()).prop_map(|(worker, drained)| Event::Drain(worker, drained)),
        1 => (0..8_usize, any::<bool>()).prop_map(|(worker, pour)| Event::CantDo(worker, pour)),
        4 => prop_oneof![0..50_u16, 0..3_000_u16].prop_map(Event::Pass),
    ]
}

#[derive(Default)]
struct Client {
    /// By handle: submissions told of it, and last words.
    reported_free: BTreeMap<Bytes, (usize, usize)>,
    /// Submissions without an answer yet.
    asked: usize,
}

#[derive(Default)]
struct Worker {
    name: String,
    can: BTreeSet<&'static str>,
    /// What it asked for without an answer.
    grabs: bool,
    asleep: bool,
    job: Option<Bytes>,
}

struct World {
    engine: Engine,
    time: Rc<Cell<f64>>,
    clients: BTreeMap<ConnectionId, Client>,
    workers: BTreeMap<ConnectionId, Worker>,
    drained: BTreeSet<String>,
    inboxes: BTreeMap<ConnectionId, BytesMut>,
    /// How often each job that must not run twice was assigned, by unique id.
    set_running: BTreeMap<Bytes, usize>,
    next: ConnectionId,
}

impl World {
    fn new() -> Self {
        let start = CONFIG.find("\"settings\":").unwrap() + "\"settings\":".len();
        let text = CONFIG[start..].trim().trim_end_matches('}').trim_end().to_owned() + "}";
        let (settings, names) = ruddervalve_settings::Info::read(&text).unwrap().checked().unwrap();
        let reported_free = Operators::read(OPERATORS).unwrap().gearman.unwrap();
        let (time, counters) = (Rc::new(Cell::new(1e12)), Rc::new(Counters::default()));
        let clock = Clock::Manual(time.clone());
        let facade = Facade::new(settings.clone(), names.clone(), 7).unwrap();
        let (broker, _) = Broker::new(facade, clock.clone(), counters.clone());
        let engine =
            Engine::new("n0", &reported_free, (&settings, &names), 7, broker, clock, counters).unwrap();
        let (clients, workers) = (BTreeMap::new(), BTreeMap::new());
        let (drained, inboxes, set_running) = (BTreeSet::new(), BTreeMap::new(), BTreeMap::new());
        Self { engine, time, clients, workers, drained, inboxes, set_running, next: 1 }
    }

    fn open(&mut self) -> ConnectionId {
        self.next += 1;
        self.engine.opened(self.next, "127.0.0.1".to_owned());
        self.inboxes.insert(self.next, BytesMut::new());
        self.next
    }

    fn send(&mut self, connection: ConnectionId, kind: Kind, args: &[&[u8]]) {
        let mut bytes = BytesMut::new();
        encode_packet(&mut bytes, Magic::Req, kind, args);
        let decoder = Decoder { longest_body: 1 << 20, longest_line: 64 };
        while let Some(frame) = decoder.decode(&mut bytes).unwrap() {
            self.engine.received(connection, frame);
        }
    }

    fn close(&mut self, connection: ConnectionId) {
        self.inboxes.remove(&connection);
        self.engine.closed(connection);
    }

    fn nth<T>(of: &BTreeMap<ConnectionId, T>, number: usize) -> Option<ConnectionId> {
        of.keys().nth(number % of.len().max(1)).copied()
    }

    fn happen(&mut self, event: Event) {
        match event {
            Event::Client => {
                let connection = self.open();
                self.clients.insert(connection, Client::default());
            }
            Event::Submit(client, pour, unique, background) => {
                let Some(connection) = Self::nth(&self.clients, client) else { return };
                let kind = if background { Kind::SubmitJobBg } else { Kind::SubmitJob };
                let (function, unique) = (if pour { "pour" } else { "tint" }, format!("{pour}-{unique}"));
                if !background {
                    self.clients.get_mut(&connection).unwrap().asked += 1;
                }
                self.send(connection, kind, &[function.as_bytes(), unique.as_bytes(), b"can"]);
            }
            Event::ClientGoes(client) => {
                let Some(connection) = Self::nth(&self.clients, client) else { return };
                self.clients.remove(&connection);
                self.close(connection);
            }
            Event::Worker(can) => {
                let connection = self.open();
                let name = format!("w{}", connection % 3);
                self.send(connection, Kind::SetClientId, &[name.as_bytes()]);
                let can: BTreeSet<_> = ["tint", "pour"]
                    .into_iter()
                    .enumerate()
                    .filter(|(bit, _)| can >> bit & 1 == 1)
                    .map(|(_, name)| name)
                    .collect();
                can.iter().for_each(|function| self.send(connection, Kind::CanDo, &[function.as_bytes()]));
                self.workers.insert(connection, Worker { name, can, ..Worker::default() });
            }
            Event::Step(worker, how) => self.step(worker, how),
            Event::WorkerGoes(worker) => {
                let Some(connection) = Self::nth(&self.workers, worker) else { return };
                self.workers.remove(&connection);
                self.close(connection);
            }
            Event::Drain(worker, drained) => {
                let Some(connection) = Self::nth(&self.workers, worker) else { return };
                let name = self.workers[&connection].name.clone();
                let way = if drained { "drain" } else { "resume" };
                let line = Frame::Line(format!("worker {way} {name}").into());
                let admin = self.open();
                self.engine.received(admin, line);
                self.close(admin);
                // A name that nobody who offers anything goes by is turned down as unknown.
                let known = self.workers.values().any(|worker| worker.name == name && !worker.can.is_empty());
                if drained && known {
                    self.drained.insert(name);
                } else if !drained {
                    self.drained.remove(&name);
                }
            }
            Event::CantDo(worker, pour) => {
                let Some(connection) = Self::nth(&self.workers, worker) else { return };
                let function = if pour { "pour" } else { "tint" };
                self.workers.get_mut(&connection).unwrap().can.remove(function);
                self.send(connection, Kind::CantDo, &[function.as_bytes()]);
            }
            Event::Pass(ms) => self.pass(f64::from(ms)),
        }
        self.look();
    }

    fn step(&mut self, worker: usize, how: u8) {
        let Some(connection) = Self::nth(&self.workers, worker) else { return };
        let worker = self.workers.get_mut(&connection).unwrap();
        if worker.grabs {
            return;
        }
        match worker.job.clone() {
            None if !worker.asleep => {
                worker.grabs = true;
                self.send(connection, Kind::GrabJobUniq, &[]);
            }
            None => {}
            Some(handle) => match how % 8 {
                0 => self.send(connection, Kind::WorkStatus, &[&handle, b"1", b"2"]),
                1 => self.send(connection, Kind::WorkData, &[&handle, b"part"]),
                2 => self.send(connection, Kind::WorkWarning, &[&handle, b"hot"]),
                3 => {
                    self.workers.get_mut(&connection).unwrap().job = None;
                    self.send(connection, Kind::WorkFail, &[&handle]);
                }
                4 => {
                    // As some libraries do, it tells of an exception and goes on.
                    self.workers.get_mut(&connection).unwrap().job = None;
                    self.send(connection, Kind::WorkException, &[&handle, b"spilt"]);
                }
                _ => {
                    self.workers.get_mut(&connection).unwrap().job = None;
                    self.send(connection, Kind::WorkComplete, &[&handle, b"mixed"]);
                }
            },
        }
    }

    fn pass(&mut self, ms: f64) {
        let until = self.time.get() + ms;
        while let Some(at) = self.engine.next_wake().map(|at| at as f64 / 1e3).filter(|at| *at <= until) {
            self.time.set(at.max(self.time.get()));
            self.engine.tick();
            self.look();
        }
        self.time.set(until);
    }

    /// Lets all that follows happen, and reads what each connection was sent.
    fn look(&mut self) {
        loop {
            for act in self.engine.turn() {
                let SocketAction::Write(connection) = act else { continue };
                let written = self.engine.write_buffer(connection, |write_buffer| write_buffer.split());
                if let (Some(written), Some(read_buffer)) = (written, self.inboxes.get_mut(&connection)) {
                    read_buffer.extend_from_slice(&written);
                }
            }
            let mut read = Vec::new();
            for (connection, read_buffer) in &mut self.inboxes {
                let decoder = Decoder { longest_body: 1 << 20, longest_line: 1 << 12 };
                while let Some(frame) = decoder.decode(read_buffer).unwrap() {
                    read.push((*connection, frame));
                }
            }
            if read.is_empty() {
                return;
            }
            for (connection, frame) in read {
                let Frame::Packet(packet) = frame else { continue };
                if self.clients.contains_key(&connection) {
                    self.client_reads(connection, &packet);
                } else if self.workers.contains_key(&connection) {
                    self.worker_reads(connection, &packet);
                }
            }
        }
    }

    fn client_reads(&mut self, connection: ConnectionId, packet: &Packet) {
        let client = self.clients.get_mut(&connection).unwrap();
        let handle = packet.body.split(|byte| *byte == 0).next().map(Bytes::copy_from_slice).unwrap();
        match packet.kind {
            Kind::JobCreated if client.asked > 0 => {
                client.asked -= 1;
                client.reported_free.entry(handle).or_default().0 += 1;
            }
            Kind::WorkComplete | Kind::WorkFail => {
                let (reported_free, ended) = client.reported_free.entry(handle).or_default();
                *ended += 1;
                assert!(ended <= reported_free, "a submission had two last words");
            }
            Kind::Error => panic!("{:?}", packet.body),
            _ => {}
        }
    }

    fn worker_reads(&mut self, connection: ConnectionId, packet: &Packet) {
        let worker = self.workers.get_mut(&connection).unwrap();
        match packet.kind {
            Kind::JobAssignUniq => {
                let [handle, function, unique, _] = packet.split::<4>().unwrap();
                assert!(worker.grabs, "it did not ask");
                assert!(worker.can.iter().any(|can| can.as_bytes() == &function[..]), "it cannot do that");
                assert!(!self.drained.contains(&worker.name), "it is drained");
                (worker.grabs, worker.job) = (false, Some(handle));
                if &function[..] == b"pour" {
                    let set_running = self.set_running.entry(unique).or_default();
                    *set_running += 1;
                    assert_eq!(*set_running, 1, "ran twice");
                }
            }
            Kind::NoJob => {
                (worker.grabs, worker.asleep) = (false, true);
                self.send(connection, Kind::PreSleep, &[]);
            }
            Kind::Noop => worker.asleep = false,
            // Its attempt was given up, or the job was ended by what it told before.
            Kind::Error => assert!(packet.body.starts_with(b"JOB_NOT_FOUND"), "{:?}", packet.body),
            _ => {}
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 200, failure_persistence: None, ..ProptestConfig::default() })]

    /// Guards one last word for each submission and no second run, whatever happens in whatever order.
    #[test]
    fn whatever_happens_each_submission_has_one_last_word_and_nothing_runs_twice(events in prop::collection::vec(event(), 1..120)) {
        let mut world = World::new();
        events.into_iter().for_each(|event| world.happen(event));
        // Foreground jobs have their time, background ones theirs.
        world.pass(700_000.0);
        world.look();
        for client in world.clients.values() {
            prop_assert_eq!(client.asked, 0, "a submission had no answer");
            for (reported_free, ended) in client.reported_free.values() {
                prop_assert_eq!(reported_free, ended, "a submission had no last word");
            }
        }
        prop_assert_eq!(world.engine.open_jobs(), 0);
    }
}
