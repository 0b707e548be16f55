//! What workers say of the jobs that they have.

use bytes::Bytes;
use ruddervalve::{LoadReport, Outcome};

use super::submission::detached;
use super::timers::{Timer, microseconds};
use super::{Effect, EndedAttempt, Server};
use crate::codec::{Kind, Packet};
use crate::jobs::Job;
use crate::workers::{ConnectionId, RunningJob};
use ruddervalve_broker::AttemptId;

impl Server {
    /// What a worker says at the end of its job.
    pub(super) fn work_ended(
        &mut self,
        connection: ConnectionId,
        handle: &Bytes,
        now_ms: f64,
        how: impl FnOnce(&mut Self, &RunningJob) -> (Outcome, Option<Bytes>),
    ) {
        let its = |running: &RunningJob| running.handle == handle;
        if !self.workers.slot(connection).and_then(|slot| slot.running.as_ref()).is_some_and(its) {
            return self.not_its_job(connection);
        }
        self.end_run(connection, now_ms, how);
    }

    pub(super) fn end_run(
        &mut self,
        connection: ConnectionId,
        now_ms: f64,
        how: impl FnOnce(&mut Self, &RunningJob) -> (Outcome, Option<Bytes>),
    ) {
        let Some(running) = self.workers.done(connection) else { return };
        self.timers.remove(&(microseconds(running.deadline_ms), Timer::Run(connection)));
        if running.attempt.is_none() {
            self.counters.count("gearman", "late_results");
            return self.becomes_idle(connection, now_ms);
        }
        let (outcome, result) = how(self, &running);
        self.workers.clear_failures(connection);
        self.take_queued(connection, now_ms);
        let load = self.workers.load(connection);
        self.attempt_ended(running, outcome, result, Some(load));
    }

    pub(super) fn completed(&mut self, _: &RunningJob, result: Bytes) -> (Outcome, Option<Bytes>) {
        (Outcome::Served, Some(result))
    }

    pub(super) fn failed(&mut self, running: &RunningJob) -> (Outcome, Option<Bytes>) {
        if let Some(job) = self.jobs.get_mut(running.job) {
            job.exception.clone_from(&running.exception);
        }
        // A worker's word on the job, not a fault of the worker: another one may know better, where a repeat is
        // harmless.
        (Outcome::Unusable, None)
    }

    pub(super) fn attempt_ended(
        &mut self,
        running: RunningJob,
        outcome: Outcome,
        result: Option<Bytes>,
        load: Option<LoadReport>,
    ) {
        let Some(attempt) = running.attempt else { return };
        self.jobs.set_running(running.job, false);
        // Nobody would be told what another attempt comes to, and nothing of it would be kept.
        let unwanted = |job: &Job| job.waiting.is_empty() && !job.background && !job.function.run_once;
        if outcome != Outcome::Served && self.jobs.get(running.job).is_some_and(unwanted) {
            self.counters.count("gearman", "not_repeated");
            self.drop_job(running.job);
        }
        self.ended(attempt, outcome, result, load);
    }

    pub(super) fn ended(
        &mut self,
        attempt: AttemptId,
        outcome: Outcome,
        result: Option<Bytes>,
        load: Option<LoadReport>,
    ) {
        self.attempts.remove(&attempt);
        self.effects.push_back(Effect::Ended(EndedAttempt { id: attempt, outcome, result, load }));
    }

    /// What a worker says while it works.
    pub(super) fn work_update(&mut self, connection: ConnectionId, packet: &Packet) -> Option<()> {
        let [handle, first] = packet.split::<2>()?;
        let running = self.workers.slot_mut(connection).and_then(|slot| slot.running.as_mut());
        let Some(running) = running.filter(|running| running.handle == handle) else {
            self.not_its_job(connection);
            return Some(());
        };
        let Some(attempt) = running.attempt else {
            self.counters.count("gearman", "late_words");
            return Some(());
        };
        if packet.kind == Kind::WorkException {
            // Told with the end of the job, if this was its last attempt.
            running.exception = Some(detached(first));
            return Some(());
        }
        let id = running.job;
        let Some(waiting) = self.jobs.get(id).map(|job| job.waiting.clone()) else { return Some(()) };
        match packet.kind {
            Kind::WorkStatus => self.record_status(id, attempt, packet)?,
            Kind::WorkData => self.record_data(id, attempt, &first),
            _ => {}
        }
        for client in waiting {
            self.send(client, packet.kind, &[&packet.body]);
        }
        Some(())
    }

    /// So much of a job is done.
    fn record_status(&mut self, id: u64, attempt: AttemptId, packet: &Packet) -> Option<()> {
        let [_, done, whole] = packet.split::<3>()?;
        let number = |text: &Bytes| str::from_utf8(text).ok()?.trim().parse::<f64>().ok();
        let share = number(&done).zip(number(&whole)).filter(|(_, whole)| *whole > 0.0);
        if let Some(job) = self.jobs.get_mut(id) {
            job.status = (detached(done), detached(whole));
        }
        if let Some((done, whole)) = share {
            self.effects.push_back(Effect::Progress(attempt, (done / whole).clamp(0.0, 1.0)));
        }
        Some(())
    }

    /// A part of a job's result goes on to clients: from now on another attempt would tell them the same a second time.
    fn record_data(&mut self, id: u64, attempt: AttemptId, data: &Bytes) {
        let max_bytes = self.limits.storage.bytes;
        if let Some(job) = self.jobs.get_mut(id).filter(|job| !job.unique.is_empty()) {
            let held: usize = job.data.iter().map(Bytes::len).sum();
            if job.data_cut || held + data.len() > max_bytes {
                (job.data_cut, job.data) = (true, Vec::new());
            } else {
                job.data.push(Bytes::copy_from_slice(data));
            }
        }
        self.effects.push_back(Effect::Streams(attempt));
    }

    fn not_its_job(&mut self, connection: ConnectionId) {
        self.error(connection, "not_its_job", "JOB_NOT_FOUND", "no such job is assigned to this connection");
    }

    /// Nobody wants a job any more.
    pub(super) fn drop_job(&mut self, id: u64) {
        let request = self.jobs.get(id).and_then(|job| job.request);
        self.jobs.close(id);
        self.effects.extend(request.map(Effect::Leave));
    }
}
