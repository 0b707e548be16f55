//! Jobs that clients submit.

use std::rc::Rc;

use bytes::Bytes;

use super::{Effect, Server, label};
use crate::codec::{Kind, Packet};
use crate::jobs::{AtCapacity, Function, Job, JobEnd, KeptResult, Priority};
use crate::workers::ConnectionId;

/// The longest client id and unique id that are taken, in bytes.
pub(super) const MAX_ID_BYTES: usize = 256;
/// What has at least so many bytes is held as it was read.
const SHARED_BUFFER_BYTES: usize = 8 << 10;

/// Bytes to be held for long: a copy, as what was read with them would stay in memory as long; what is large is not
/// read with much else.
pub(super) fn detached(bytes: Bytes) -> Bytes {
    if bytes.len() < SHARED_BUFFER_BYTES { Bytes::copy_from_slice(&bytes) } else { bytes }
}

/// A submission of a job.
struct Submission {
    connection: ConnectionId,
    function: Rc<Function>,
    /// The unique id; empty: none.
    unique: Bytes,
    payload: Bytes,
    kind: SubmissionKind,
}

/// What a packet says of the job it submits.
#[derive(Debug, Clone, Copy)]
pub(super) struct SubmissionKind {
    pub(super) priority: Priority,
    /// No client waits for it.
    pub(super) background: bool,
}

impl Server {
    pub(super) fn submit(
        &mut self,
        connection: ConnectionId,
        packet: &Packet,
        kind: SubmissionKind,
        now_ms: f64,
    ) -> Option<()> {
        let [name, unique, payload] = packet.split::<3>()?;
        if unique.len() > MAX_ID_BYTES {
            return None;
        }
        let Some(function) = self.functions.get(&name).cloned() else {
            self.unknown_function(connection);
            return Some(());
        };
        // A unique id of '-' stands for the job's own bytes.
        let unique = if &unique[..] == b"-" { [&b"-"[..], &payload].concat().into() } else { unique };
        self.take_submission(Submission { connection, function, unique, payload, kind }, now_ms);
        Some(())
    }

    fn take_submission(&mut self, submission: Submission, now_ms: f64) {
        let Submission { connection, function, unique, .. } = &submission;
        let (connection, background) = (*connection, submission.kind.background);
        let waits = self.connections.get(&connection).map_or(0, |state| state.waits);
        if !background && waits >= self.limits.jobs_per_connection {
            return self.error(connection, "connection_full", "TOO_MANY_JOBS", &self.retry_after());
        }
        if !unique.is_empty()
            && let Some(id) = self.jobs.open_with_unique(&function.name, unique)
        {
            return self.join(connection, id, background, now_ms);
        }
        if let Some(kept) = self.jobs.kept(&function.name, unique).cloned() {
            return self.answer_from_kept(connection, &kept, background);
        }
        match self.jobs.check_capacity(function, unique, &self.limits.storage) {
            Ok(keeps_result) => self.open_job(submission, keeps_result, now_ms),
            Err(at_capacity) => self.turn_away(&submission, at_capacity),
        }
    }

    fn retry_after(&self) -> String {
        format!("come back in {} ms", self.limits.retry_after_ms)
    }

    pub(super) fn unknown_function(&mut self, connection: ConnectionId) {
        self.error(connection, "unknown_function", "UNKNOWN_FUNCTION", "no such function is served here");
    }

    /// The job has ended, and its result was kept.
    fn answer_from_kept(&mut self, connection: ConnectionId, kept: &KeptResult, background: bool) {
        self.counters.count("gearman", "answered_from_kept");
        self.send(connection, Kind::JobCreated, &[&kept.handle]);
        if background {
            return;
        }
        kept.data.iter().for_each(|data| self.send(connection, Kind::WorkData, &[&kept.handle, data]));
        let gone = Bytes::from_static(b"it ran and ended; its result is not kept any more");
        let end = kept.end.clone().unwrap_or(JobEnd::Fail(Some(gone)));
        self.send_end(connection, &kept.handle, &end);
    }

    fn turn_away(&mut self, submission: &Submission, at_capacity: AtCapacity) {
        let (counter, code) = match at_capacity {
            AtCapacity::Jobs => ("jobs_full", "TOO_MANY_JOBS"),
            AtCapacity::Queue => ("queue_full", "QUEUE_FULL"),
            AtCapacity::Results => ("results_full", "RESULTS_FULL"),
        };
        self.counters.count_answer(&label(&submission.function), |answered| answered.refused += 1);
        self.error(submission.connection, counter, code, &self.retry_after());
    }

    fn open_job(&mut self, submission: Submission, keeps_result: bool, now_ms: f64) {
        let Submission { connection, function, unique, payload, kind } = submission;
        let SubmissionKind { priority, background } = kind;
        let wait_ms = if background { function.background_wait_ms } else { function.wait_ms };
        let handle: Bytes = format!("{}{}", self.prefix, self.jobs.next_id()).into();
        let id = self.jobs.open(Job {
            id: 0,
            handle,
            function,
            unique: detached(unique),
            payload: detached(payload),
            priority,
            background,
            waiting: if background { Vec::new() } else { vec![connection] },
            request: None,
            deadline_ms: now_ms + wait_ms,
            started: false,
            running: false,
            assigned: 0,
            status: (Bytes::from_static(b"0"), Bytes::from_static(b"0")),
            data: Vec::new(),
            data_cut: false,
            exception: None,
            keeps_result,
        });
        if let Some(state) = self.connections.get_mut(&connection).filter(|_| !background) {
            state.waits_for(id);
        }
        self.counters.count("gearman", if background { "background_jobs" } else { "jobs" });
        self.effects.push_back(Effect::Submit(id));
        self.created(connection, id);
    }

    fn created(&mut self, connection: ConnectionId, id: u64) {
        if let Some(handle) = self.jobs.get(id).map(|job| job.handle.clone()) {
            self.send(connection, Kind::JobCreated, &[&handle]);
        }
    }

    /// A submission of the unique id of an open job is that job.
    fn join(&mut self, connection: ConnectionId, id: u64, background: bool, now_ms: f64) {
        let Some(job) = self.jobs.get_mut(id) else { return };
        self.counters.count("gearman", "joined");
        if background {
            // From now on it is promised for longer; it comes back if what it has at the broker is not enough.
            job.background = true;
            job.deadline_ms = job.deadline_ms.max(now_ms + job.function.background_wait_ms);
        } else {
            job.waiting.push(connection);
            if let Some(from) = self.connections.get_mut(&connection) {
                from.waits_for(id);
            }
        }
        let (handle, data, cut) = (job.handle.clone(), job.data.clone(), job.data_cut);
        self.send(connection, Kind::JobCreated, &[&handle]);
        if background {
            return;
        }
        if cut {
            let warning = b"some of what the job sent before is not kept";
            self.send(connection, Kind::WorkWarning, &[&handle, warning]);
        }
        data.iter().for_each(|data| self.send(connection, Kind::WorkData, &[&handle, data]));
    }

    /// The broker has taken a job.
    pub fn taken(&mut self, id: u64, request: u64) {
        self.jobs.set_request(id, Some(request));
    }

    /// The broker takes no jobs now: it is drained.
    pub fn not_taken(&mut self, id: u64) {
        self.counters.count("gearman", "drained");
        self.finish_refused(id, self.limits.retry_after_ms);
    }
}
