//! How often the platform is called.

use ruddervalve_configuration::{Bounds, CloudProvider};

/// Milliseconds in a second.
const MILLISECONDS_PER_SECOND: f64 = 1000.0;
/// What part of the platform's rate one reader uses at most: while an office changes hands there may be two, and the
/// platform's count need not agree with ours.
const SHARE_OF_RATE: f64 = 0.4;
/// How many whole lists are read within `DrainTimeoutMs`: a runner that drains has to be seen, told to all edges and
/// passed over by them within it, even if one list is lost.
const LISTS_PER_DRAIN_TIMEOUT: u64 = 4;
/// The shortest interval and time-out, in milliseconds, whatever the settings say: less is no time for an answer.
const SHORTEST_MS: u64 = 50;
/// After how many failures in a row the pages so far are given up: the token may have lapsed.
const PERSISTENT_FAILURES: u32 = 3;
/// By which part of it a wait may be shorter, so that readers don't call in step.
const JITTER: f64 = 0.5;
/// How many times the wait doubles at most.
const DOUBLINGS: u32 = 16;
/// What turns 53 random bits into a number from 0 to 1.
const RANDOM_SCALE: f64 = 1.0 / (1_u64 << 53) as f64;

/// Times of the reading, all in milliseconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ListPace {
    /// From the start of one list to the start of the next.
    pub interval_ms: u64,
    /// Between any two calls, at least.
    pub gap_ms: u64,
    /// How long an answer is waited for.
    pub call_timeout_ms: u64,
    /// How long after its start a list that met a failure may still be completed.
    pub collection_limit_ms: u64,
}

impl ListPace {
    /// The pace that the settings call for: several lists within `DrainTimeoutMs`, and never above a share of `RatePerS`.
    /// Pages that are older than `DrainTimeoutMs` less `MaxLagMs` are no base for a list.
    pub fn new(provider: &CloudProvider, bounds: &Bounds) -> Self {
        let gap_ms = (MILLISECONDS_PER_SECOND / (provider.rate_per_s * SHARE_OF_RATE)).ceil() as u64;
        let interval_ms = (bounds.drain_timeout_ms / LISTS_PER_DRAIN_TIMEOUT).max(SHORTEST_MS);
        Self {
            interval_ms,
            gap_ms,
            call_timeout_ms: interval_ms,
            collection_limit_ms: bounds.drain_timeout_ms.saturating_sub(provider.max_lag_ms).max(interval_ms),
        }
    }
}

/// Waits after failures: doubling, with jitter, up to the interval of lists.
#[derive(Debug)]
pub struct Backoff {
    pace: ListPace,
    failures: u32,
    random: u64,
}

impl Backoff {
    /// No failure yet.
    pub fn new(pace: ListPace, seed: u64) -> Self {
        Self { pace, failures: 0, random: seed }
    }

    /// All is well again.
    pub fn reset(&mut self) {
        self.failures = 0;
    }

    /// Whether so many calls in a row failed that the pages so far are of no use.
    pub fn is_persistent(&self) -> bool {
        self.failures >= PERSISTENT_FAILURES
    }

    /// How long to wait after another failure, in milliseconds: never less than the gap of calls. A longer wait that the
    /// platform asks for is kept, up to the interval of lists, beyond which runners that drain would be missed.
    pub fn next(&mut self, retry_after_ms: Option<u64>) -> u64 {
        let doublings = self.failures.min(DOUBLINGS);
        self.failures = self.failures.saturating_add(1);
        let longest_ms = self.pace.interval_ms.max(self.pace.gap_ms);
        let full_ms = self.pace.gap_ms.saturating_mul(1 << doublings).min(longest_ms);
        let waited_ms = (full_ms as f64 * (1.0 - JITTER * self.fraction())) as u64;
        let asked_ms = retry_after_ms.unwrap_or(0).min(longest_ms);
        waited_ms.max(asked_ms).max(self.pace.gap_ms)
    }

    /// The next number from 0 to 1, by splitmix64.
    fn fraction(&mut self) -> f64 {
        self.random = self.random.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut mixed = self.random;
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^= mixed >> 31;
        (mixed >> 11) as f64 * RANDOM_SCALE
    }
}
