//! Machines that are replaced, and what is lost right after.

use serde::Deserialize;

/// Machines with disks that are replaced by empty ones at other addresses and under other names.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Replacements {
    /// Mean time between two machines that are lost for good and replaced, in milliseconds; 0: never.
    pub every_ms: u64,
    /// The same for planned work: the new machine starts first, then the old one is told to end and is removed.
    pub planned_every_ms: u64,
    /// From the loss to the successor's start, or from its start to the old machine's SIGTERM, in milliseconds.
    pub wait_ms: u64,
    /// The part of replacements that are followed by a second loss, as soon as the tolerance allows one or later.
    pub second_loss_part: f64,
    /// The part of second losses that come right at the first moment that the tolerance allows.
    pub at_bound_part: f64,
    /// Other second losses come so long after that moment at most, in milliseconds.
    pub latest_second_ms: u64,
}

impl Default for Replacements {
    fn default() -> Self {
        Self {
            every_ms: 0,
            planned_every_ms: 0,
            wait_ms: 1_000,
            second_loss_part: 0.0,
            at_bound_part: 0.5,
            latest_second_ms: 15_000,
        }
    }
}
