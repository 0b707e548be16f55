//! How many exchanges may be outstanding at one address, by how it answers.

use crate::backoff::Jitter;
use crate::settings::Waits;

/// Failures in a row that are borne before the window shrinks: a few are lost at any endpoint.
const TOLERATED_FAILURES: u32 = 3;

/// An adaptive window with a circuit breaker: failures in a row halve it down to single trials with growing waits,
/// successes open it again by doubling.
#[derive(Debug, Clone)]
pub(crate) struct Breaker {
    ceiling: u32,
    window: u32,
    waits: Waits,
    failures: u32,
    failed_trials: u32,
    closed_until_ms: u64,
}

/// Whether one more may go.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Admission {
    /// Yes.
    Open,
    /// When another one has ended.
    Full,
    /// Not before then.
    Until(u64),
}

impl Breaker {
    /// A window that is open.
    pub(crate) fn new(ceiling: u32, waits: Waits) -> Self {
        let ceiling = ceiling.max(1);
        Self { ceiling, window: ceiling, waits, failures: 0, failed_trials: 0, closed_until_ms: 0 }
    }

    /// Changes the most that may be outstanding.
    pub(crate) fn change_ceiling(&mut self, ceiling: u32) {
        let whole = self.window == self.ceiling;
        self.ceiling = ceiling.max(1);
        self.window = if whole { self.ceiling } else { self.window.min(self.ceiling) };
    }

    /// The most that may be outstanding.
    pub(crate) fn ceiling(&self) -> u32 {
        self.ceiling
    }

    /// Whether one more may go.
    pub(crate) fn admission(&self, now_ms: u64, outstanding: u32) -> Admission {
        if outstanding >= self.window {
            return Admission::Full;
        }
        if now_ms < self.closed_until_ms {
            return Admission::Until(self.closed_until_ms);
        }
        Admission::Open
    }

    /// It answered.
    pub(crate) fn succeeded(&mut self) {
        self.failures = 0;
        self.failed_trials = 0;
        self.closed_until_ms = 0;
        self.window = self.window.saturating_mul(2).min(self.ceiling);
    }

    /// It did not answer, or turned the exchange away.
    pub(crate) fn failed(&mut self, now_ms: u64, jitter: &mut Jitter) {
        self.failures = self.failures.saturating_add(1);
        if self.failures < TOLERATED_FAILURES {
            return;
        }
        if self.window > 1 {
            self.window /= 2;
            return;
        }
        if now_ms >= self.closed_until_ms {
            self.closed_until_ms = now_ms.saturating_add(jitter.wait_ms(self.waits, self.failed_trials));
            self.failed_trials = self.failed_trials.saturating_add(1);
        }
    }
}
