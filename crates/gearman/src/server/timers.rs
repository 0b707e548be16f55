//! What happens when time has passed.

use ruddervalve::Outcome;

use super::attempts::AttemptPlace;
use super::{Effect, Server};
use crate::workers::ConnectionId;
use ruddervalve_broker::AttemptId;

/// What becomes due.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Timer {
    /// An attempt has to be grabbed.
    Grab(ConnectionId),
    /// An assigned job's attempt is given up.
    Run(ConnectionId),
    /// An attempt that waits for a busy worker has waited for all its time.
    Queue(AttemptId),
    /// A worker that was given up may be trusted again.
    Readmit(ConnectionId),
    /// A background job comes back to the broker.
    Resubmit(u64),
}

/// Whole microseconds, upwards: nothing becomes due before its time.
pub(super) fn microseconds(ms: f64) -> u64 {
    (ms.max(0.0) * 1e3).ceil() as u64
}

impl Server {
    /// When [`Server::tick`] is to be called next.
    pub fn next_wake_ms(&self) -> Option<f64> {
        let timer = self.timers.first().map(|(at, _)| *at as f64 / 1e3);
        timer.into_iter().chain(self.jobs.next_expiry_ms()).reduce(f64::min)
    }

    /// Time has passed.
    pub fn tick(&mut self, now_ms: f64) {
        self.jobs.expire(now_ms);
        while let Some(due) = self.timers.first().copied().filter(|(at, _)| *at as f64 <= now_ms * 1e3) {
            self.timers.remove(&due);
            self.fire(due.1, now_ms);
        }
    }

    fn fire(&mut self, timer: Timer, now_ms: f64) {
        match timer {
            Timer::Grab(connection) => self.not_grabbed(connection, now_ms),
            Timer::Run(connection) => {
                self.counters.count("gearman", "run_timed_out");
                self.suspect(connection, now_ms);
                self.abandon_run(connection, Outcome::TimedOut);
            }
            Timer::Readmit(connection) => self.readmit(connection, now_ms),
            Timer::Queue(attempt) => {
                if let Some(AttemptPlace::Queued(worker, _)) = self.attempts.get(&attempt).cloned() {
                    self.workers.remove_queued(&worker, attempt);
                    self.ended(attempt, Outcome::Skipped, None, None);
                }
            }
            Timer::Resubmit(id) => {
                if self.jobs.get(id).is_some_and(|job| job.request.is_none()) {
                    self.effects.push_back(Effect::Submit(id));
                }
            }
        }
    }

    /// A worker was offered a job and did not grab it: it may be hung, and is not free before it speaks again.
    fn not_grabbed(&mut self, connection: ConnectionId, now_ms: f64) {
        let Some(attempt) = self.workers.offered(connection) else { return };
        self.counters.count("gearman", "not_grabbed");
        self.suspect(connection, now_ms);
        self.end_ungrabbed(connection, attempt, Outcome::ConnectFailed);
    }
}
