//! Workers that operators drained, and those that did not answer in time.

use super::Workers;
use super::connection::ConnectionId;
use super::listing::WorkerUpdate;

/// Milliseconds after which a worker that did not answer in time and speaks again gets work again, doubled for each
/// time in a row that it did not, so many times at most.
const READMIT_BACKOFF_MS: f64 = 1_000.0;
const MAX_BACKOFF_DOUBLINGS: u32 = 6;

impl Workers {
    /// Operators drain a worker, in all pools and also when it comes back, or take it again. False if none is known by
    /// this name.
    pub fn drain(&mut self, name: &str, drained: bool, updates: &mut Vec<WorkerUpdate>) -> bool {
        let keys: Vec<_> = self.workers.keys().filter(|key| &*key.name == name).cloned().collect();
        let known = match drained {
            true if keys.is_empty() => false,
            true => {
                self.drained.insert(name.into());
                true
            }
            false => self.drained.remove(name),
        };
        for key in keys {
            if let Some(worker) = self.workers.get_mut(&key) {
                worker.drained = drained;
            }
            self.report_worker(&key, updates);
        }
        known
    }

    /// A connection's job or attempt was given up: the decisions withhold work from its worker, and where no job may be
    /// tried twice they would for ever.
    pub fn suspect(&mut self, connection: ConnectionId, now_ms: f64, updates: &mut Vec<WorkerUpdate>) {
        let Some(slot) = self.slots.get_mut(&connection) else { return };
        (slot.suspect_since_ms, slot.idle) = (Some(now_ms), false);
        if let Some(worker) = self.worker_keys.get(&connection).and_then(|key| self.workers.get_mut(key)) {
            worker.failures_in_row += 1;
        }
        self.report(connection, updates);
    }

    /// The worker of a connection has ended a job in time.
    pub fn clear_failures(&mut self, connection: ConnectionId) {
        if let Some(worker) = self.worker_keys.get(&connection).and_then(|key| self.workers.get_mut(key)) {
            worker.failures_in_row = 0;
        }
    }

    /// A connection that was given up wants work again, which shows that it does not hang: its worker counts as started
    /// anew, at once or, where it is given up again and again, later each time. Then that time is returned.
    pub fn readmit(
        &mut self,
        connection: ConnectionId,
        now_ms: f64,
        updates: &mut Vec<WorkerUpdate>,
    ) -> Option<f64> {
        let slot = self.slots.get_mut(&connection).filter(|slot| slot.idle)?;
        let since_ms = slot.suspect_since_ms?;
        let worker = self.workers.get_mut(self.worker_keys.get(&connection)?)?;
        let at_ms = since_ms
            + READMIT_BACKOFF_MS
                * f64::from(1_u32 << worker.failures_in_row.saturating_sub(1).min(MAX_BACKOFF_DOUBLINGS));
        if now_ms < at_ms {
            return Some(at_ms);
        }
        slot.suspect_since_ms = None;
        worker.started_ms = now_ms;
        self.report(connection, updates);
        None
    }
}
