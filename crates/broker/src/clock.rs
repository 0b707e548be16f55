//! Owns the time: milliseconds as a floating-point number, anchored once to Unix time and monotonic from then on, so
//! that the starts of runners and the spans between rounds stand on one scale. It must never be read around: nothing
//! else in the dispatcher asks the system for the time. Tests set it by hand.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Longer than any wait.
pub const LONGEST_WAIT: Duration = Duration::from_secs(86_400);

/// The clock; its copies tell the same time.
#[derive(Debug, Clone)]
pub enum Clock {
    /// Runs by itself.
    Running {
        /// Unix time at the anchor.
        unix_ms: f64,
        /// The anchor.
        anchor: Instant,
    },
    /// Stands where a test last set it.
    Manual(std::rc::Rc<std::cell::Cell<f64>>),
}

impl Clock {
    /// A clock anchored now.
    pub fn running() -> Self {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Self::Running { unix_ms: unix.as_secs_f64() * 1e3, anchor: Instant::now() }
    }

    /// Unix time in milliseconds; never goes back.
    pub fn now(&self) -> f64 {
        match self {
            Self::Running { unix_ms, anchor } => unix_ms + anchor.elapsed().as_secs_f64() * 1e3,
            Self::Manual(time) => time.get(),
        }
    }

    /// The span from now to a time, none if that has passed.
    pub fn until(&self, at_ms: f64) -> Duration {
        duration_from_ms(at_ms - self.now())
    }
}

/// Milliseconds as a duration; what makes no sense as such is none, and a day is the longest.
pub fn duration_from_ms(ms: f64) -> Duration {
    // What is no number becomes none, too: `clamp` alone would let it through.
    let seconds = if ms > 0.0 { ms / 1e3 } else { 0.0 };
    Duration::from_secs_f64(seconds.min(LONGEST_WAIT.as_secs_f64()))
}
