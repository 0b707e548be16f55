//! Which connection an attempt goes to, and the attempts that wait for a busy worker.

use std::collections::VecDeque;

use super::connection::{ConnectionId, PendingAttempt, RunningJob};
use super::{WorkerKey, Workers};
use ruddervalve_broker::AttemptId;

impl Workers {
    /// Where an attempt for a worker goes: of its free connections that can do the function the one that grabs soonest.
    pub fn slot_for(&self, worker: &WorkerKey, function: &[u8]) -> Option<ConnectionId> {
        let worker = self.workers.get(worker).filter(|worker| !worker.drained)?;
        let slots =
            worker.slots.iter().filter_map(|connection| Some((*connection, self.slots.get(connection)?)));
        let able = slots.filter(|(_, slot)| slot.is_free() && slot.abilities.contains_key(function));
        able.min_by_key(|(_, slot)| slot.grab_rank()).map(|(connection, _)| connection)
    }

    /// Attempts the connection.
    pub fn offer(&mut self, connection: ConnectionId, attempt: PendingAttempt) {
        if let Some(slot) = self.slots.get_mut(&connection) {
            (slot.attempt, slot.reported_free) = (Some(attempt), false);
        }
    }

    /// Takes the connection's attempt off it, if that is the one.
    pub fn take_back(&mut self, connection: ConnectionId, attempt: AttemptId) -> Option<PendingAttempt> {
        let slot = self.slots.get_mut(&connection)?;
        slot.attempt.take_if(|waiting| waiting.id == attempt)
    }

    /// Has an attempt wait until a connection of the worker is free. False where none of them can do the function.
    pub fn queue(&mut self, worker: &WorkerKey, attempt: PendingAttempt) -> bool {
        let Some(worker) = self.workers.get_mut(worker).filter(|worker| !worker.drained) else {
            return false;
        };
        let able = |connection: &ConnectionId| {
            self.slots.get(connection).is_some_and(|slot| slot.will_do(&attempt.function))
        };
        let any = worker.slots.iter().any(able);
        if any {
            worker.queue.push_back(attempt);
        }
        any
    }

    /// The attempt that a connection which has become free takes over from those that wait for its worker.
    pub fn next_in_queue(&mut self, connection: ConnectionId) -> Option<PendingAttempt> {
        let slot = self.slots.get(&connection).filter(|slot| slot.is_free())?;
        let queue = &mut self.workers.get_mut(self.worker_keys.get(&connection)?)?.queue;
        let first = queue.iter().position(|attempt| slot.abilities.contains_key(&attempt.function))?;
        queue.remove(first)
    }

    /// Takes an attempt out of those that wait for a worker.
    pub fn remove_queued(&mut self, worker: &WorkerKey, attempt: AttemptId) -> Option<PendingAttempt> {
        let queue = &mut self.workers.get_mut(worker)?.queue;
        let index = queue.iter().position(|waiting| waiting.id == attempt)?;
        queue.remove(index)
    }

    /// The attempts that wait for workers that will not take them: the worker is drained, or can no longer do the
    /// function.
    pub fn orphaned(&mut self) -> Vec<PendingAttempt> {
        let mut orphaned = std::mem::take(&mut self.orphaned);
        for worker in self.workers.values_mut().filter(|worker| !worker.queue.is_empty()) {
            let able = |attempt: &PendingAttempt| {
                let can = |connection| {
                    self.slots.get(connection).is_some_and(|slot| slot.will_do(&attempt.function))
                };
                !worker.drained && worker.slots.iter().any(can)
            };
            let (stay, go) = std::mem::take(&mut worker.queue).into_iter().partition(able);
            worker.queue = stay;
            orphaned.extend::<VecDeque<_>>(go);
        }
        orphaned
    }

    /// The attempt is grabbed: the job is the connection's from now on.
    pub fn assign(&mut self, connection: ConnectionId, running: RunningJob) {
        if let Some(slot) = self.slots.get_mut(&connection) {
            (slot.attempt, slot.running, slot.idle) = (None, Some(running), false);
        }
    }

    /// The connection's job has ended: it is free, as it will ask for the next one.
    pub fn done(&mut self, connection: ConnectionId) -> Option<RunningJob> {
        let slot = self.slots.get_mut(&connection)?;
        slot.idle = true;
        slot.running.take()
    }
}
