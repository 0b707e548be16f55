//! Workers that ask for work.

use bytes::Bytes;
use ruddervalve::Outcome;

use super::timers::{Timer, microseconds};
use super::{Effect, Server};
use crate::codec::Kind;
use crate::workers::{ConnectionId, PendingAttempt, RunningJob};

impl Server {
    /// PRE_SLEEP: the worker sleeps until it is sent a NOOP.
    pub(super) fn pre_sleep(&mut self, connection: ConnectionId, now_ms: f64) {
        self.finish_abandoned_run(connection, now_ms);
        let Some(slot) = self.workers.slot_mut(connection) else { return };
        slot.asleep = true;
        let is_offered_a_job = slot.attempt.is_some();
        if slot.running.is_none() {
            self.becomes_idle(connection, now_ms);
        }
        if is_offered_a_job {
            self.wake(connection);
        }
    }

    /// Wakes a worker that sleeps.
    pub(super) fn wake(&mut self, connection: ConnectionId) {
        if let Some(slot) = self.workers.slot_mut(connection)
            && std::mem::take(&mut slot.asleep)
        {
            self.send(connection, Kind::Noop, &[]);
        }
    }

    /// A worker that asks for more has ended what it had: one that sent an exception, or was given up, says no more.
    fn finish_abandoned_run(&mut self, connection: ConnectionId, now_ms: f64) {
        let ended = |running: &RunningJob| running.attempt.is_none() || running.exception.is_some();
        if self.workers.slot(connection).and_then(|slot| slot.running.as_ref()).is_some_and(ended) {
            self.end_run(connection, now_ms, Self::failed);
        }
    }

    /// The connection wants work: it takes over what waits for its worker, else the decisions are told.
    pub(super) fn becomes_idle(&mut self, connection: ConnectionId, now_ms: f64) {
        if let Some(slot) = self.workers.slot_mut(connection) {
            slot.idle = true;
        }
        self.take_queued(connection, now_ms);
        self.readmit(connection, now_ms);
        let mut updates = Vec::new();
        self.workers.becomes_idle(connection, &mut updates);
        self.report(updates);
    }

    /// A connection that was suspected wants work again.
    pub(super) fn readmit(&mut self, connection: ConnectionId, now_ms: f64) {
        let mut updates = Vec::new();
        let later = self.workers.readmit(connection, now_ms, &mut updates);
        self.report(updates);
        if let Some(at_ms) = later {
            self.timers.insert((microseconds(at_ms), Timer::Readmit(connection)));
        }
    }

    /// A worker asks for a job.
    pub(super) fn grab(&mut self, connection: ConnectionId, kind: Kind, now_ms: f64) {
        self.finish_abandoned_run(connection, now_ms);
        let Some(slot) = self.workers.slot_mut(connection) else {
            // It offers nothing.
            return self.send(connection, Kind::NoJob, &[]);
        };
        slot.asleep = false;
        if slot.running.is_some() || slot.grab.is_some() {
            return self.send(connection, Kind::NoJob, &[]);
        }
        slot.grab = Some(kind);
        self.grabs.push(connection);
        self.becomes_idle(connection, now_ms);
    }

    /// Answers the grabs that wait, once the decisions have seen all that came before them: with the attempt offered to
    /// the connection, or with NO_JOB. False where none waited.
    pub fn answer_grabs(&mut self, now_ms: f64) -> bool {
        let grabs = std::mem::take(&mut self.grabs);
        let any = !grabs.is_empty();
        for connection in grabs {
            let Some(slot) = self.workers.slot_mut(connection) else { continue };
            let Some(kind) = slot.grab.take() else { continue };
            match slot.attempt.clone() {
                Some(attempt) => self.assign(connection, kind, attempt, now_ms),
                None => self.send(connection, Kind::NoJob, &[]),
            }
        }
        any
    }

    /// A worker grabs the attempt that it was offered: the job is its own from now on.
    fn assign(&mut self, connection: ConnectionId, kind: Kind, attempt: PendingAttempt, now_ms: f64) {
        self.timers.remove(&(microseconds(attempt.grab_deadline_ms), Timer::Grab(connection)));
        let timeout_ms = self.workers.timeout_ms(connection, &attempt.function);
        let deadline_ms = timeout_ms.map_or(attempt.deadline_ms, |ms| attempt.deadline_ms.min(now_ms + ms));
        let Some(job) = self.jobs.get_mut(attempt.job) else {
            // Guards against a job that has just ended.
            self.workers.take_back(connection, attempt.id);
            self.ended(attempt.id, Outcome::Skipped, None, None);
            return self.send(connection, Kind::NoJob, &[]);
        };
        job.exception = None;
        job.status = (Bytes::from_static(b"0"), Bytes::from_static(b"0"));
        let (handle, id) = (job.handle.clone(), Some(attempt.id));
        let running = RunningJob { attempt: id, job: attempt.job, handle, deadline_ms, exception: None };
        self.jobs.set_running(attempt.job, true);
        self.workers.assign(connection, running);
        self.timers.insert((microseconds(deadline_ms), Timer::Run(connection)));
        self.send_job(connection, kind, attempt.job);
        self.counters.count("gearman", "assigned");
        self.effects.push_back(Effect::Started(attempt.id));
    }

    /// Sends a job as the kind of grab has it.
    fn send_job(&mut self, connection: ConnectionId, kind: Kind, id: u64) {
        let Some(job) = self.jobs.get(id) else { return };
        let (handle, function) = (job.handle.clone(), job.function.name.clone());
        let (unique, payload) = (job.unique_as_sent(), job.payload.clone());
        match kind {
            Kind::GrabJobUniq => {
                self.send(connection, Kind::JobAssignUniq, &[&handle, &function, &unique, &payload]);
            }
            Kind::GrabJobAll => {
                // The fourth argument names a reducer, which is not carried.
                self.send(connection, Kind::JobAssignAll, &[&handle, &function, &unique, b"", &payload]);
            }
            _ => self.send(connection, Kind::JobAssign, &[&handle, &function, &payload]),
        }
    }
}
