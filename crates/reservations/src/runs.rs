//! Owns the learnt distribution of how long runs take, for one class and width: a histogram on a logarithmic scale whose
//! old entries fade. It must never answer with a mean: whoever waits for a run that has gone on for long has to expect more
//! than the mean says, and a heavy tail shows only in the quantiles.

/// Each bucket is so much longer than the one before.
const STEP: f64 = 1.2;
/// The first bucket ends there, in milliseconds; the last holds all that is longer than a day.
const SHORTEST_MS: f64 = 1.0;
const BUCKETS: usize = 101;
/// What was seen so many runs ago counts for a third.
const FADES: f64 = 200.0;
/// A first expectation counts for so many runs.
const EXPECTED: f64 = 4.0;
/// The spread of a first expectation: the deviation of the logarithm.
const SPREAD: f64 = 0.5;

/// How long runs take.
#[derive(Debug, Clone, PartialEq)]
pub struct Runs {
    weights: Vec<f64>,
    total: f64,
}

fn bucket(ms: f64) -> usize {
    if ms > SHORTEST_MS {
        (((ms / SHORTEST_MS).ln() / STEP.ln()).ceil() as usize).min(BUCKETS - 1)
    } else {
        0
    }
}

/// Where a bucket ends.
fn end(bucket: usize) -> f64 {
    SHORTEST_MS * STEP.powi(bucket as i32)
}

impl Runs {
    /// Runs expected to take about so long, before any was seen.
    pub fn expected(ms: f64) -> Self {
        let middle = if ms.is_finite() { ms.max(SHORTEST_MS) } else { SHORTEST_MS };
        let weight = |bucket: usize| {
            let off = (end(bucket) / middle).ln() / SPREAD;
            (-off * off / 2.0).exp()
        };
        let mut weights: Vec<f64> = (0..BUCKETS).map(weight).collect();
        let sum: f64 = weights.iter().sum();
        weights.iter_mut().for_each(|weight| *weight *= EXPECTED / sum.max(f64::MIN_POSITIVE));
        Self { weights, total: EXPECTED }
    }

    /// A run took so long.
    pub fn saw(&mut self, ms: f64) {
        if !ms.is_finite() || ms < 0.0 {
            return;
        }
        let keep = 1.0 - 1.0 / FADES;
        self.weights.iter_mut().for_each(|weight| *weight *= keep);
        self.weights[bucket(ms)] += 1.0;
        self.total = self.total * keep + 1.0;
    }

    /// The weight of runs longer than this: a bucket that it falls into counts in proportion.
    fn beyond(&self, ms: f64) -> f64 {
        let at = bucket(ms);
        let (from, to) = (if at == 0 { 0.0 } else { end(at - 1) }, end(at));
        let part = ((to - ms) / (to - from)).clamp(0.0, 1.0);
        self.weights[at] * part + self.weights[at + 1..].iter().sum::<f64>()
    }

    /// The chance that a run which has gone on for `since_ms` goes on for longer than `more_ms` still. One that has outlived
    /// all that was seen goes on as one of its age usually does on such scales: about as long again.
    pub fn outlives(&self, since_ms: f64, more_ms: f64) -> f64 {
        let (since_ms, more_ms) = (since_ms.max(0.0), more_ms.max(0.0));
        let alive = self.beyond(since_ms);
        if alive <= self.total * 1e-3 {
            return since_ms.max(SHORTEST_MS) / (since_ms.max(SHORTEST_MS) + more_ms);
        }
        (self.beyond(since_ms + more_ms) / alive).clamp(0.0, 1.0)
    }

    /// How much longer a run goes on at the most, but for a chance of `risk`, after `since_ms`.
    pub fn left(&self, since_ms: f64, risk: f64) -> f64 {
        let risk = risk.clamp(1e-3, 1.0);
        let (mut low, mut high) = (0.0, end(BUCKETS - 1));
        if self.outlives(since_ms, high) > risk {
            return high;
        }
        // Halved until the error is beside any wait.
        for _ in 0..48 {
            let middle = (low + high) / 2.0;
            if self.outlives(since_ms, middle) > risk { low = middle } else { high = middle }
        }
        high
    }
}

#[cfg(test)]
mod tests {
    use proptest::prelude::*;

    use super::*;

    proptest! {
        /// Guards against chances that are none, and against a longer look ahead that seems safer than a shorter one.
        #[test]
        fn a_longer_time_is_never_likelier_to_be_outlived(
            seen in prop::collection::vec(0.0..1e6_f64, 0..80), expected in 0.0..1e5_f64,
            since in 0.0..1e6_f64, one in 0.0..1e6_f64, more in 0.0..1e6_f64, risk in 0.01..1.0_f64,
        ) {
            let mut runs = Runs::expected(expected);
            seen.iter().for_each(|ms| runs.saw(*ms));
            let (short, long) = (runs.outlives(since, one), runs.outlives(since, one + more));
            prop_assert!((0.0..=1.0).contains(&short) && long <= short + 1e-9, "{short} {long}");
            let left = runs.left(since, risk);
            prop_assert!(left.is_finite() && left >= 0.0);
            prop_assert!(runs.outlives(since, left + 1e-6) <= risk + 1e-6 || left >= end(BUCKETS - 1));
            prop_assert!(runs.left(since, (risk * 1.5).min(1.0)) <= left + 1e-6, "more risk, less time");
        }
    }

    #[test]
    fn a_tail_shows_in_what_is_left_and_not_only_in_a_mean() {
        // Guards the hold against a run that outstays: of nineteen short runs and a long one in twenty, one that has gone
        // on past the short ones is the long one.
        let mut runs = Runs::expected(100.0);
        for number in 0..400 {
            runs.saw(if number % 20 == 0 { 2_000.0 } else { 100.0 });
        }
        assert!(runs.left(0.0, 0.2) < 130.0, "{}", runs.left(0.0, 0.2));
        assert!(runs.left(0.0, 0.02) > 1_500.0, "{}", runs.left(0.0, 0.02));
        assert!(runs.left(300.0, 0.5) > 1_000.0, "{}", runs.left(300.0, 0.5));
    }

    #[test]
    fn what_changes_is_learnt_and_what_was_fades() {
        let mut runs = Runs::expected(100.0);
        (0..500).for_each(|_| runs.saw(100.0));
        (0..500).for_each(|_| runs.saw(1_000.0));
        assert!(runs.left(0.0, 0.5) > 700.0, "{}", runs.left(0.0, 0.5));
    }
}
