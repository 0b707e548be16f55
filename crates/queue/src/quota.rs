//! How many deliveries a second a service may get.

/// A fraction of what the window allows over the rate. The rest is room for deliveries that bunch up on their way, and
/// for the burst of an earlier leader.
const BURST_PART: f64 = 0.25;
/// What the rule allows in any window beyond the rate, in deliveries.
const WINDOW_EXTRA: f64 = 5.0;
/// Milliseconds in a second.
const MS_PER_S: f64 = 1000.0;

/// Tokens that come at a steady rate up to a small burst; every delivery spends one. Starts empty, so that leaders that
/// follow each other don't give bursts one after the other.
#[derive(Debug, Clone)]
pub(crate) struct TokenBucket {
    rate_per_ms: f64,
    burst: f64,
    tokens: f64,
    filled_ms: u64,
}

/// The window that the rule counts deliveries in.
#[derive(Debug, Clone, Copy)]
pub(crate) struct OriginWindow {
    /// Its length in milliseconds.
    pub(crate) window_ms: u64,
    /// How many times the rate may come in it.
    pub(crate) overshoot: f64,
}

impl TokenBucket {
    /// An empty bucket; none if the rate sets no limit.
    pub(crate) fn new(now_ms: u64, rate_per_s: f64, window: OriginWindow) -> Option<Self> {
        let limited = rate_per_s.is_finite() && rate_per_s > 0.0;
        limited.then(|| Self {
            rate_per_ms: rate_per_s / MS_PER_S,
            burst: burst(rate_per_s, window),
            tokens: 0.0,
            filled_ms: now_ms,
        })
    }

    /// Goes on at another rate with the tokens there are.
    pub(crate) fn change(&mut self, now_ms: u64, rate_per_s: f64, window: OriginWindow) {
        self.fill(now_ms);
        self.rate_per_ms = rate_per_s / MS_PER_S;
        self.burst = burst(rate_per_s, window);
        self.tokens = self.tokens.min(self.burst);
    }

    /// When there will be a token; not after `now_ms` if there is one.
    pub(crate) fn ready_ms(&mut self, now_ms: u64) -> u64 {
        self.fill(now_ms);
        let missing = (1.0 - self.tokens).max(0.0);
        now_ms.saturating_add((missing / self.rate_per_ms).ceil() as u64)
    }

    /// Spends a token; call it only when there is one.
    pub(crate) fn spend(&mut self) {
        self.tokens = (self.tokens - 1.0).max(0.0);
    }

    fn fill(&mut self, now_ms: u64) {
        let passed_ms = now_ms.saturating_sub(self.filled_ms);
        self.tokens = (self.tokens + passed_ms as f64 * self.rate_per_ms).min(self.burst);
        self.filled_ms = self.filled_ms.max(now_ms);
    }
}

fn burst(rate_per_s: f64, window: OriginWindow) -> f64 {
    let in_window = rate_per_s * window.window_ms as f64 / MS_PER_S;
    let spare = in_window * (window.overshoot - 1.0).max(0.0) + WINDOW_EXTRA;
    (spare * BURST_PART).max(1.0)
}
