//! What the decisions are told of workers.

use std::collections::BTreeSet;
use std::rc::Rc;

use bytes::Bytes;
use ruddervalve::{Availability, LoadReport, Machine};
use ruddervalve_broker::Pool;

use super::connection::{ConnectionId, Slot};
use super::{Listed, Worker, WorkerKey, Workers};

/// What the decisions are to be told.
#[derive(Debug, Clone, PartialEq)]
pub enum WorkerUpdate {
    /// A worker came, changed or went.
    Worker(Pool, Machine),
    /// A worker's free slots.
    Load(Pool, Rc<str>, LoadReport),
}

impl Workers {
    /// The connection wants work: from now on its worker counts.
    pub fn becomes_idle(&mut self, connection: ConnectionId, updates: &mut Vec<WorkerUpdate>) {
        let Some(slot) = self.slots.get_mut(&connection) else { return };
        slot.idle = true;
        let fresh = slot.is_free() && !slot.reported_free;
        // Told on every grab, what its connections can do would be gathered each time: to one that is listed as ready
        // this changes nothing.
        let worker = self.worker_keys.get(&connection).and_then(|key| self.workers.get(key));
        let ready = |worker: &Worker| {
            worker.listed.as_ref().is_some_and(|listed| listed.availability == Availability::Ready)
        };
        if !worker.is_some_and(ready) {
            self.report(connection, updates);
        }
        let load_stale = self
            .worker_keys
            .get(&connection)
            .and_then(|key| self.workers.get(key))
            .is_some_and(|it| it.load_stale);
        if (fresh || load_stale)
            && let Some(WorkerKey { pool, name }) = self.worker_keys.get(&connection).cloned()
        {
            let load = self.load(connection);
            updates.push(WorkerUpdate::Load(pool, name, load));
        }
    }

    /// The free slots of a connection's worker, which the decisions are told thereby.
    pub fn load(&mut self, connection: ConnectionId) -> LoadReport {
        let Some(worker) = self.worker_keys.get(&connection).and_then(|key| self.workers.get_mut(key)) else {
            return LoadReport::default();
        };
        worker.load_stale = false;
        let mut is_free = 0;
        for slot in &worker.slots {
            if let Some(slot) = self.slots.get_mut(slot)
                && slot.is_free()
            {
                slot.reported_free = true;
                is_free += 1;
            }
        }
        LoadReport { free_slots: Some(f64::from(is_free)), queued: Some(0.0) }
    }

    /// What the decisions believe of a worker's free slots was wrong, or was taken for wrong.
    pub fn mark_load_stale(&mut self, worker: &WorkerKey) {
        if let Some(worker) = self.workers.get_mut(worker) {
            worker.load_stale = true;
        }
    }

    /// Tells of a connection's worker where something has changed.
    pub fn report(&mut self, connection: ConnectionId, updates: &mut Vec<WorkerUpdate>) {
        if let Some(key) = self.worker_keys.get(&connection).cloned() {
            self.report_worker(&key, updates);
        }
    }

    /// Tells of a worker where something has changed; of one that never wanted work there is nothing to tell.
    pub(super) fn report_worker(&mut self, key: &WorkerKey, updates: &mut Vec<WorkerUpdate>) {
        let Some(worker) = self.workers.get_mut(key) else { return };
        let slots = || worker.slots.iter().filter_map(|connection| self.slots.get(connection));
        if worker.listed.is_none() && !slots().any(|slot| slot.idle) {
            return;
        }
        let abilities: BTreeSet<&Bytes> = slots().flat_map(|slot| slot.abilities.keys()).collect();
        let name = |ability: &Bytes| String::from_utf8_lossy(ability).into_owned();
        let away = worker.drained || !slots().any(Slot::is_alive);
        let listed = Listed {
            availability: if away { Availability::Draining } else { Availability::Ready },
            abilities: abilities.into_iter().map(name).collect(),
            started_ms: worker.started_ms,
        };
        if worker.listed.as_ref() != Some(&listed) {
            let abilities = listed.abilities.clone();
            let machine = machine(&key.name, listed.availability, abilities, listed.started_ms);
            worker.listed = Some(listed);
            updates.push(WorkerUpdate::Worker(key.pool, machine));
        }
    }
}

pub(super) fn machine(
    name: &str,
    availability: Availability,
    abilities: Vec<String>,
    started_ms: f64,
) -> Machine {
    Machine {
        name: name.to_owned(),
        availability,
        // A worker takes one job at a time on a connection, so that none is pushed over at its start: pools have no
        // cold runners, and this tells only from when on it is to be believed in anew.
        started_ms,
        zone: None,
        kind: None,
        abilities,
        cell: None,
        weight: 1.0,
    }
}
