//! Limits that follow from the settings of a process.

use std::time::Duration;

/// At which intervals a write is tried again that found the disk full: the first, then twice the one before up to the
/// longest.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RetryIntervals {
    /// The first interval.
    pub first: Duration,
    /// The longest interval.
    pub longest: Duration,
}

impl RetryIntervals {
    /// The interval that follows `interval`.
    pub(crate) fn after(&self, interval: Duration) -> Duration {
        interval.saturating_mul(2).min(self.longest)
    }
}

impl Default for RetryIntervals {
    /// From a disk's usual sync (tens of milliseconds) to where a try costs nothing and room is still noticed soon.
    fn default() -> Self {
        Self { first: Duration::from_millis(20), longest: Duration::from_millis(500) }
    }
}

/// Limits that follow from the settings of a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Options {
    /// When a full disk is tried again.
    pub full_retry: RetryIntervals,
    /// How many bytes a checkpoint gathers before it writes them, and the most that a log's buffer keeps between batches:
    /// enough that calls of the system cost little, little enough beside the memory of a process.
    pub chunk_bytes: usize,
}

impl Default for Options {
    fn default() -> Self {
        const CHUNK_BYTES: usize = 256 * 1024;
        Self { full_retry: RetryIntervals::default(), chunk_bytes: CHUNK_BYTES }
    }
}
