//! Attempts that the broker orders, from the order to the worker or to their end.

use ruddervalve::Outcome;

use super::timers::{Timer, microseconds};
use super::{AttemptOrder, Effect, Server};
use crate::workers::{ConnectionId, PendingAttempt, Slot, WorkerKey};
use ruddervalve_broker::AttemptId;

/// Where an attempt is.
#[derive(Debug, Clone)]
pub(super) enum AttemptPlace {
    /// With a connection that is to grab it, or has.
    At(ConnectionId),
    /// It waits for a connection of a worker to become free, until its deadline in milliseconds.
    Queued(WorkerKey, f64),
}

impl Server {
    /// An attempt is ordered: it goes to a connection of the worker, which is woken if it sleeps.
    pub fn start_attempt(&mut self, order: &AttemptOrder, now_ms: f64) {
        let Some(job) = self.jobs.get(order.job) else {
            return self.ended(order.id, Outcome::Skipped, None, None);
        };
        let AttemptOrder { id, job: number, deadline_ms, .. } = *order;
        let function = job.function.name.clone();
        let worker = WorkerKey::new(order.pool, &order.worker);
        let slot = self.workers.slot_for(&worker, &function);
        let attempt = PendingAttempt { id, job: number, function, deadline_ms, grab_deadline_ms: 0.0 };
        match slot {
            Some(connection) => self.offer(connection, attempt, now_ms),
            None if self.workers.queue(&worker, attempt) => {
                self.counters.count("gearman", "waited_for_worker");
                self.attempts.insert(id, AttemptPlace::Queued(worker, deadline_ms));
                self.timers.insert((microseconds(deadline_ms), Timer::Queue(id)));
            }
            None => {
                self.counters.count("gearman", "worker_unfit");
                self.workers.mark_load_stale(&worker);
                self.ended(id, Outcome::Full, None, None);
            }
        }
    }

    /// An attempt is this connection's to grab.
    fn offer(&mut self, connection: ConnectionId, mut attempt: PendingAttempt, now_ms: f64) {
        attempt.grab_deadline_ms = attempt.deadline_ms.min(now_ms + self.limits.grab_timeout_ms);
        self.timers.insert((microseconds(attempt.grab_deadline_ms), Timer::Grab(connection)));
        self.attempts.insert(attempt.id, AttemptPlace::At(connection));
        self.workers.offer(connection, attempt);
        self.wake(connection);
    }

    /// A connection that has become free takes over what waits for its worker.
    pub(super) fn take_queued(&mut self, connection: ConnectionId, now_ms: f64) {
        if let Some(attempt) = self.workers.next_in_queue(connection) {
            self.timers.remove(&(microseconds(attempt.deadline_ms), Timer::Queue(attempt.id)));
            self.offer(connection, attempt, now_ms);
        }
    }

    /// What waits for workers that will not take it was never sent.
    pub(super) fn end_orphaned(&mut self) {
        for attempt in self.workers.orphaned() {
            self.timers.remove(&(microseconds(attempt.deadline_ms), Timer::Queue(attempt.id)));
            self.ended(attempt.id, Outcome::Skipped, None, None);
        }
    }

    /// An attempt is withdrawn. One that was grabbed goes on at the worker, which cannot be told.
    pub fn withdraw(&mut self, attempt: AttemptId) {
        match self.attempts.get(&attempt).cloned() {
            Some(AttemptPlace::At(connection)) if self.workers.offered(connection).is_some() => {
                self.end_ungrabbed(connection, attempt, Outcome::Cancelled);
            }
            Some(AttemptPlace::At(connection)) => self.abandon_run(connection, Outcome::Cancelled),
            Some(AttemptPlace::Queued(worker, deadline_ms)) => {
                self.timers.remove(&(microseconds(deadline_ms), Timer::Queue(attempt)));
                if self.workers.remove_queued(&worker, attempt).is_some() {
                    self.ended(attempt, Outcome::Cancelled, None, None);
                }
            }
            None => {}
        }
    }

    /// An attempt that has not been grabbed ends: its job never came near a worker.
    pub(super) fn end_ungrabbed(&mut self, connection: ConnectionId, attempt: AttemptId, outcome: Outcome) {
        let Some(waiting) = self.workers.take_back(connection, attempt) else { return };
        self.timers.remove(&(microseconds(waiting.grab_deadline_ms), Timer::Grab(connection)));
        let worker = self.workers.worker_of(connection).cloned();
        if let Some(worker) = &worker {
            self.workers.mark_load_stale(worker);
        }
        self.ended(attempt, outcome, None, None);
        // The decisions take the end for a sign of a busy worker: it still is free.
        if let Some(WorkerKey { pool, name }) = worker
            && self.workers.slot(connection).is_some_and(Slot::is_free)
            && outcome == Outcome::Cancelled
        {
            let load = self.workers.load(connection);
            self.effects.push_back(Effect::Load(pool, name, load));
        }
    }

    /// The attempt of an assigned job ends, though the worker has said nothing: its connection stays taken until it
    /// does.
    pub(super) fn abandon_run(&mut self, connection: ConnectionId, outcome: Outcome) {
        let Some(running) = self.workers.slot_mut(connection).and_then(|slot| slot.running.as_mut()) else {
            return;
        };
        let deadline_ms = running.deadline_ms;
        let ended = running.clone();
        running.attempt = None;
        self.timers.remove(&(microseconds(deadline_ms), Timer::Run(connection)));
        self.attempt_ended(ended, outcome, None, None);
    }

    /// A connection is away until it speaks, and what waits for its worker with it, if it has no other.
    pub(super) fn suspect(&mut self, connection: ConnectionId, now_ms: f64) {
        let mut updates = Vec::new();
        self.workers.suspect(connection, now_ms, &mut updates);
        self.report(updates);
        self.end_orphaned();
    }
}
