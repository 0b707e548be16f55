//! The process's own time.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use tokio::time::Instant;

/// Milliseconds on the monotonic clock since the process began, from 1 on. Leases and timeouts use nothing else.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    start: Instant,
}

impl Clock {
    /// A clock that begins now.
    pub fn start() -> Self {
        Self { start: Instant::now() }
    }

    /// The time now.
    pub fn now(&self) -> u64 {
        u64::try_from(self.start.elapsed().as_millis()).unwrap_or(u64::MAX).saturating_add(1)
    }

    /// When this clock shows `at`.
    pub fn instant(&self, at: u64) -> Instant {
        self.start + Duration::from_millis(at.saturating_sub(1))
    }

    /// The time of day in milliseconds since 1970: it may step, and other machines may disagree.
    pub fn wall(&self) -> u64 {
        let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
    }
}
