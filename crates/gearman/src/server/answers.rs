//! The ends of jobs, and how each client that waits is told.

use bytes::Bytes;
use ruddervalve_broker::Answer;

use super::timers::{Timer, microseconds};
use super::{Server, label};
use crate::codec::Kind;
use crate::jobs::JobEnd;
use crate::workers::ConnectionId;

/// Milliseconds after which a background job that was refused comes back at the soonest.
const MIN_RESUBMIT_MS: f64 = 50.0;

impl Server {
    /// The final answer of the broker to a job.
    pub fn answered(&mut self, broker: u64, answer: Answer, now_ms: f64) {
        // Dropped since: nobody is there to be told.
        let Some(id) = self.jobs.by_request(broker) else { return };
        match answer {
            Answer::Served(result) => self.finish(id, JobEnd::Complete(result), now_ms),
            Answer::Failed | Answer::Unusable => {
                let exception = self.jobs.get_mut(id).and_then(|job| job.exception.take());
                self.finish(id, JobEnd::Fail(exception), now_ms);
            }
            Answer::Refused { wait_ms } => self.refused(id, wait_ms, now_ms),
        }
    }

    /// A refusal is final for those who wait; what runs in the background comes back as its client would have.
    pub(super) fn refused(&mut self, id: u64, wait_ms: f64, now_ms: f64) {
        self.jobs.set_request(id, None);
        let back = now_ms + wait_ms.max(MIN_RESUBMIT_MS);
        let Some(job) = self.jobs.get_mut(id) else { return };
        if !job.background || self.shutting_down || back >= job.deadline_ms {
            return self.finish_refused(id, wait_ms);
        }
        let (handle, waiting) = (job.handle.clone(), std::mem::take(&mut job.waiting));
        self.counters.count("gearman", "background_came_back");
        self.timers.insert((microseconds(back), Timer::Resubmit(id)));
        for connection in waiting {
            self.stop_waiting(connection, id);
            self.send_refusal(connection, &handle, wait_ms);
        }
    }

    pub(super) fn finish_refused(&mut self, id: u64, wait_ms: f64) {
        let Some(job) = self.jobs.close(id) else { return };
        self.counters.count_answer(&label(&job.function), |answered| answered.refused += 1);
        if job.background {
            self.counters.count("gearman", "background_given_up");
        }
        for connection in job.waiting {
            self.stop_waiting(connection, id);
            self.send_refusal(connection, &job.handle, wait_ms);
        }
    }

    /// The protocol has no refusal: a text that says when to come back, and a failure.
    fn send_refusal(&mut self, connection: ConnectionId, handle: &Bytes, wait_ms: f64) {
        let text = format!("refused: come back in {} ms", wait_ms.ceil());
        let exceptions = self.connections.get(&connection).is_some_and(|connection| connection.exceptions);
        let kind = if exceptions { Kind::WorkException } else { Kind::WorkWarning };
        self.send(connection, kind, &[handle, text.as_bytes()]);
        self.send(connection, Kind::WorkFail, &[handle]);
    }

    /// The end of a job: each client that waits is told, and what was promised to be kept is.
    fn finish(&mut self, id: u64, end: JobEnd, now_ms: f64) {
        let Some(job) = self.jobs.close(id) else { return };
        self.counters.count_answer(&label(&job.function), |answered| match end {
            JobEnd::Complete(_) => answered.served += 1,
            JobEnd::Fail(_) => answered.failed += 1,
        });
        for connection in &job.waiting {
            self.stop_waiting(*connection, id);
            self.send_end(*connection, &job.handle, &end);
        }
        if job.keeps_result {
            self.jobs.keep(&job, &end, now_ms, &self.limits.storage);
        }
    }

    pub(super) fn send_end(&mut self, connection: ConnectionId, handle: &Bytes, end: &JobEnd) {
        match end {
            JobEnd::Complete(result) => self.send(connection, Kind::WorkComplete, &[handle, result]),
            JobEnd::Fail(exception) => {
                let exceptions =
                    self.connections.get(&connection).is_some_and(|connection| connection.exceptions);
                if let Some(exception) = exception.as_ref().filter(|_| exceptions) {
                    self.send(connection, Kind::WorkException, &[handle, exception]);
                }
                self.send(connection, Kind::WorkFail, &[handle]);
            }
        }
    }
}
