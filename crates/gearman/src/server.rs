//! Owns the Gearman protocol as a server speaks it, free of I/O and clocks: what each packet means, what each
//! connection is owed, how an attempt reaches a worker's connection and what comes of it, and when a job comes back to
//! the broker. It must never choose a worker or decide on a repeat (the decisions do), give a waiting client a second
//! answer, or assign a job for which there is no attempt. What it wants done outside leaves it as [`Effect`]s, in
//! order.

mod abilities;
mod answers;
mod attempts;
mod client_connection;
mod grabs;
mod packets;
mod runs;
mod status;
mod submission;
mod timers;

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::rc::Rc;

use bytes::{Bytes, BytesMut};
use ruddervalve::{LoadReport, Machine, Outcome};
use ruddervalve_broker::{Counters, Pool};

use self::attempts::AttemptPlace;
use self::client_connection::ConnectionState;
use self::timers::Timer;
use crate::jobs::{Function, Jobs, StorageLimits};
use crate::workers::{ConnectionId, Slot, Workers};
use ruddervalve_broker::AttemptId;

/// What the server wants done outside.
#[derive(Debug)]
pub enum Effect {
    /// Hand a job to the broker.
    Submit(u64),
    /// The job of the broker's number is not wanted any more.
    Leave(u64),
    /// The job of an attempt has started.
    Started(AttemptId),
    /// It is so far done.
    Progress(AttemptId, f64),
    /// A part of its result went on to clients.
    Streams(AttemptId),
    /// An attempt has ended.
    Ended(EndedAttempt),
    /// A worker came, changed or went.
    Worker(Pool, Machine),
    /// A worker's free slots.
    Load(Pool, Rc<str>, LoadReport),
    /// Close a connection.
    Close(ConnectionId, Closing),
    /// The program is to end.
    Shutdown,
}

/// An attempt that has ended, and what came of it.
#[derive(Debug)]
pub struct EndedAttempt {
    /// Which attempt it was.
    pub id: AttemptId,
    /// How it ended.
    pub outcome: Outcome,
    /// The result, if there is one.
    pub result: Option<Bytes>,
    /// The free slots of its worker, if they are known.
    pub load: Option<LoadReport>,
}

/// How a connection is closed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Closing {
    /// Once what is owed on it is written.
    AfterOutput,
    /// At once.
    AtOnce,
}

/// What bounds the server.
#[derive(Debug, Clone)]
pub struct Limits {
    /// Bytes that may wait for a peer that does not read.
    pub unread_bytes: usize,
    /// Jobs that one connection may wait for.
    pub jobs_per_connection: usize,
    /// Jobs and results.
    pub storage: StorageLimits,
    /// How long a worker may take to grab, in milliseconds.
    pub grab_timeout_ms: f64,
    /// What a client is told to wait that is turned away before its job is taken, in milliseconds.
    pub retry_after_ms: f64,
    /// Whether the text command `shutdown` ends the program.
    pub shutdown: bool,
}

/// An attempt as the broker orders it.
#[derive(Debug, Clone)]
pub struct AttemptOrder {
    /// Which attempt it is.
    pub id: AttemptId,
    /// The job, by its number here.
    pub job: u64,
    /// The pool of the worker.
    pub pool: Pool,
    /// The worker.
    pub worker: String,
    /// When the attempt's time is over, in milliseconds of the clock.
    pub deadline_ms: f64,
}

/// The server.
pub struct Server {
    limits: Limits,
    functions: BTreeMap<Bytes, Rc<Function>>,
    pub(crate) counters: Rc<Counters>,
    connections: HashMap<ConnectionId, ConnectionState>,
    pub(crate) workers: Workers,
    pub(crate) jobs: Jobs,
    /// By when they are due, in whole microseconds.
    timers: BTreeSet<(u64, Timer)>,
    effects: VecDeque<Effect>,
    /// Connections with something to write.
    with_output: Vec<ConnectionId>,
    /// Connections whose grab is not answered.
    grabs: Vec<ConnectionId>,
    /// What handles begin with.
    prefix: String,
    /// The program ends: what is refused does not come back.
    shutting_down: bool,
    /// Where each attempt is that has not ended.
    attempts: HashMap<AttemptId, AttemptPlace>,
}

impl Server {
    /// A server of these functions; handles begin with `name`.
    pub fn new(name: &str, limits: Limits, functions: Vec<Function>, counters: Rc<Counters>) -> Self {
        let mut server = Self {
            limits,
            functions: BTreeMap::new(),
            counters,
            connections: HashMap::new(),
            workers: Workers::default(),
            jobs: Jobs::default(),
            timers: BTreeSet::new(),
            effects: VecDeque::new(),
            with_output: Vec::new(),
            grabs: Vec::new(),
            prefix: format!("H:{name}:"),
            shutting_down: false,
            attempts: HashMap::new(),
        };
        server.take_functions(functions);
        server
    }

    fn take_functions(&mut self, functions: Vec<Function>) {
        self.functions = (functions.into_iter())
            .map(|function| {
                self.counters.show_class(&label(&function));
                (function.name.clone(), Rc::new(function))
            })
            .collect();
    }

    /// The counts of a function, kept over reloads.
    pub fn counts(&self, function: &[u8]) -> Option<Rc<crate::jobs::JobCounts>> {
        self.functions.get(function).map(|function| function.counts.clone())
    }

    /// Takes new limits and functions. Open jobs stay under what they came with; a function that is gone, or has gone
    /// to another pool, is nobody's ability any more.
    pub fn reconfigure(&mut self, limits: Limits, functions: Vec<Function>) {
        let old = std::mem::take(&mut self.functions);
        self.limits = limits;
        self.take_functions(functions);
        let stays =
            |old: &Rc<Function>| self.functions.get(&old.name).is_some_and(|new| new.pool == old.pool);
        let gone: Vec<Bytes> =
            old.values().filter(|function| !stays(function)).map(|function| function.name.clone()).collect();
        let connections: Vec<ConnectionId> = self.workers.all().map(|(connection, _)| connection).collect();
        for function in gone {
            connections.iter().for_each(|connection| self.cant_do(*connection, Some(&function)));
        }
    }

    /// The program ends: jobs that are refused from now on do not come back.
    pub fn shut_down(&mut self) {
        self.shutting_down = true;
        let waiting: Vec<u64> =
            self.jobs.all().filter(|job| job.request.is_none()).map(|job| job.id).collect();
        let wait_ms = self.limits.retry_after_ms;
        waiting.into_iter().for_each(|id| self.finish_refused(id, wait_ms));
    }

    /// What the server wants done next.
    pub fn next_effect(&mut self) -> Option<Effect> {
        self.effects.pop_front()
    }

    /// Connections that have something to write since the last call.
    pub fn take_with_output(&mut self) -> Vec<ConnectionId> {
        std::mem::take(&mut self.with_output)
    }

    /// What is to be written on a connection.
    pub fn write_buffer(&mut self, connection: ConnectionId) -> Option<&mut BytesMut> {
        self.connections.get_mut(&connection).map(|connection| &mut connection.write_buffer)
    }

    /// Whether a connection may be given up for another one: nothing came on it.
    pub fn has_sent_nothing(&self, connection: ConnectionId) -> bool {
        self.connections.get(&connection).is_none_or(|connection| !connection.has_sent)
    }

    /// Whether a connection waits for nothing and works on nothing.
    pub fn is_idle(&self, connection: ConnectionId) -> bool {
        let free = |slot: &Slot| slot.running.is_none() && slot.attempt.is_none();
        self.connections
            .get(&connection)
            .is_none_or(|connection| connection.jobs.is_empty() && connection.write_buffer.is_empty())
            && self.workers.slot(connection).is_none_or(free)
    }

    /// Whether it is a worker's.
    pub fn is_worker(&self, connection: ConnectionId) -> bool {
        self.workers.slot(connection).is_some()
    }

    pub(crate) fn ask_shutdown(&mut self) -> bool {
        if self.limits.shutdown {
            self.effects.push_back(Effect::Shutdown);
        }
        self.limits.shutdown
    }

    pub(crate) fn functions(&self) -> impl Iterator<Item = &Rc<Function>> {
        self.functions.values()
    }

    pub(crate) fn function(&self, name: &[u8]) -> Option<&Rc<Function>> {
        self.functions.get(name)
    }

    /// The connections, with where each comes from and its name as a worker.
    pub(crate) fn connections(&self) -> impl Iterator<Item = (ConnectionId, &str, &str)> {
        self.connections.iter().map(|(connection, it)| (*connection, it.peer.as_str(), &*it.name))
    }
}

/// What the counters call a function's jobs.
pub fn label(function: &Function) -> String {
    format!("gearman.{}", function.text)
}
