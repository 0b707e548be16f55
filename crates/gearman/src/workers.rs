//! Owns what is known of Gearman workers, free of I/O: which connections make up which worker, what each can do, which
//! of them are free, and what of that the decisions are told. It must never choose a worker (the decisions do) nor give
//! a connection more than one job at a time.

mod connection;
mod health;
mod listing;
mod queue;

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::rc::Rc;

use bytes::Bytes;
use ruddervalve::Availability;
use ruddervalve_broker::{AttemptId, Pool};

pub use self::connection::{ConnectionId, PendingAttempt, RunningJob, Slot};
pub use self::listing::WorkerUpdate;
use self::listing::machine;

/// Which worker it is.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct WorkerKey {
    /// The pool of its functions.
    pub pool: Pool,
    /// Its client id, or the name of its one connection.
    pub name: Rc<str>,
}

impl WorkerKey {
    /// The worker of this name in a pool.
    pub fn new(pool: Pool, name: &str) -> Self {
        Self { pool, name: name.into() }
    }
}

/// A worker as the decisions were told of it.
#[derive(Debug, PartialEq)]
struct Listed {
    availability: Availability,
    abilities: Vec<String>,
    started_ms: f64,
}

/// A worker: all connections of one client id, or a connection that gave none.
#[derive(Debug, Default)]
struct Worker {
    slots: BTreeSet<ConnectionId>,
    /// Operators want it to get nothing new.
    drained: bool,
    /// As the decisions know it, if they do.
    listed: Option<Listed>,
    /// What the decisions believe of its free slots may be wrong.
    load_stale: bool,
    /// How often in a row it did not answer in time.
    failures_in_row: u32,
    /// When it last counted as started anew, in milliseconds of the clock.
    started_ms: f64,
    /// Attempts that wait for one of its connections to become free, as the design has jobs stay on a busy worker.
    queue: VecDeque<PendingAttempt>,
}

/// All workers.
#[derive(Debug, Default)]
pub struct Workers {
    workers: BTreeMap<WorkerKey, Worker>,
    /// The worker that a connection belongs to.
    worker_keys: BTreeMap<ConnectionId, WorkerKey>,
    slots: BTreeMap<ConnectionId, Slot>,
    /// Workers that operators drained, also while they are away.
    drained: BTreeSet<Rc<str>>,
    /// Attempts whose worker has gone.
    orphaned: Vec<PendingAttempt>,
}

impl Workers {
    /// A connection's part as a worker's, if it has one.
    pub fn slot_mut(&mut self, connection: ConnectionId) -> Option<&mut Slot> {
        self.slots.get_mut(&connection)
    }

    /// The same to look at.
    pub fn slot(&self, connection: ConnectionId) -> Option<&Slot> {
        self.slots.get(&connection)
    }

    /// The attempt that a connection was offered and has not grabbed.
    pub fn offered(&self, connection: ConnectionId) -> Option<AttemptId> {
        Some(self.slot(connection)?.attempt.as_ref()?.id)
    }

    /// The worker that a connection belongs to.
    pub fn worker_of(&self, connection: ConnectionId) -> Option<&WorkerKey> {
        self.worker_keys.get(&connection)
    }

    /// The connection can do a function of a pool. False if it serves another pool.
    pub fn can_do(
        &mut self,
        connection: ConnectionId,
        name: &Rc<str>,
        pool: Pool,
        function: Bytes,
        most_ms: Option<f64>,
    ) -> bool {
        let slot = self.slots.entry(connection).or_default();
        if slot.pool.is_some_and(|known| known != pool) {
            return false;
        }
        slot.pool = Some(pool);
        slot.abilities.insert(function, most_ms);
        self.join(connection, pool, name);
        true
    }

    fn join(&mut self, connection: ConnectionId, pool: Pool, name: &Rc<str>) {
        let key = WorkerKey { pool, name: name.clone() };
        let worker = self.workers.entry(key.clone()).or_default();
        worker.drained |= self.drained.contains(name);
        worker.slots.insert(connection);
        self.worker_keys.insert(connection, key);
    }

    /// The connection goes by another name from now on. What it had goes with it.
    pub fn rename(&mut self, connection: ConnectionId, name: &Rc<str>, updates: &mut Vec<WorkerUpdate>) {
        let Some(WorkerKey { pool, name: old }) = self.worker_keys.get(&connection).cloned() else { return };
        if old != *name {
            self.leave(connection, updates);
            self.join(connection, pool, name);
            self.report(connection, updates);
        }
    }

    /// The connection can no longer do a function. With none left it may serve another pool.
    pub fn cant_do(
        &mut self,
        connection: ConnectionId,
        function: Option<&[u8]>,
        updates: &mut Vec<WorkerUpdate>,
    ) {
        let Some(slot) = self.slots.get_mut(&connection) else { return };
        match function {
            Some(function) => drop(slot.abilities.remove(function)),
            None => slot.abilities.clear(),
        }
        if slot.abilities.is_empty() {
            slot.pool = None;
            self.leave(connection, updates);
        } else {
            self.report(connection, updates);
        }
    }

    /// The connection has closed.
    pub fn closed(&mut self, connection: ConnectionId, updates: &mut Vec<WorkerUpdate>) -> Option<Slot> {
        self.leave(connection, updates);
        self.slots.remove(&connection)
    }

    fn leave(&mut self, connection: ConnectionId, updates: &mut Vec<WorkerUpdate>) {
        let Some(key) = self.worker_keys.remove(&connection) else { return };
        let Some(worker) = self.workers.get_mut(&key) else { return };
        worker.slots.remove(&connection);
        if !worker.slots.is_empty() {
            return self.report_worker(&key, updates);
        }
        let Some(gone) = self.workers.remove(&key) else { return };
        self.orphaned.extend(gone.queue);
        if gone.listed.is_some() {
            updates.push(WorkerUpdate::Worker(
                key.pool,
                machine(&key.name, Availability::Gone, Vec::new(), 0.0),
            ));
        }
    }

    /// The connections of a worker.
    pub fn slots_of(&self, name: &str) -> Vec<ConnectionId> {
        let named = self.workers.iter().filter(|(key, _)| &*key.name == name);
        named.flat_map(|(_, worker)| worker.slots.iter().copied()).collect()
    }

    /// All connections that are a worker's, with their parts.
    pub fn all(&self) -> impl Iterator<Item = (ConnectionId, &Slot)> {
        self.slots.iter().map(|(connection, slot)| (*connection, slot))
    }

    /// How many connections can do a function.
    pub fn able(&self, function: &[u8]) -> usize {
        self.slots.values().filter(|slot| slot.abilities.contains_key(function)).count()
    }

    /// How long a job of a function may take on a connection, in milliseconds, if the worker named a time.
    pub fn timeout_ms(&self, connection: ConnectionId, function: &[u8]) -> Option<f64> {
        self.slot(connection)?.abilities.get(function).copied().flatten()
    }

    /// How many workers there are.
    pub fn count(&self) -> usize {
        self.workers.len()
    }
}
