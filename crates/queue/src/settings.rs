//! Limits that follow from the settings of the process.

use nanoserde::{DeBin, SerBin};
use ruddervalve_configuration::Locality;

/// How long a shard keeps what has ended. Part of the replicated state, as replicas must forget at the same entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq, SerBin, DeBin)]
pub struct StateLimits {
    /// How long an ended message can be asked about (`StatusTtlS`), in milliseconds of shard time.
    pub status_ttl_ms: u64,
    /// How long an owed call-back is kept at most, in milliseconds of shard time since the end. Not below
    /// `status_ttl_ms`.
    pub callback_keep_ms: u64,
}

impl StateLimits {
    /// Forgets nothing; in force until a leader sets others.
    pub const KEEP_ALL: Self = Self { status_ttl_ms: u64::MAX, callback_keep_ms: u64::MAX };
}

impl Default for StateLimits {
    fn default() -> Self {
        Self::KEEP_ALL
    }
}

/// What a shard's leader goes by. All times are milliseconds.
#[derive(Debug, Clone, PartialEq)]
pub struct LeaderSettings {
    /// Where this store stands: near edges are preferred.
    pub locality: Locality,
    /// For jitter: draw it anew for each leader.
    pub seed: u64,
    /// `VisibilityTimeoutMs`: a lease is free again after its edge was silent for so long.
    pub visibility_timeout_ms: u64,
    /// How long an edge whose connection has ended may take to open another one: a process that lives needs less. After
    /// that it is taken for dead, and its leases are free.
    pub reconnect_ms: u64,
    /// `LivenessMs`.
    pub liveness_ms: u64,
    /// `ConfigPropagationMs`: how long a route may be unknown here although an edge has accepted messages on it.
    pub route_grace_ms: u64,
    /// `OriginWindowS` in milliseconds.
    pub origin_window_ms: u64,
    /// `OriginOvershoot`.
    pub origin_overshoot: f64,
    /// `CallbackTimeoutS` in milliseconds.
    pub callback_timeout_ms: u64,
    /// Call-backs that may be outstanding at one receiver address, at least 1. Receivers accept few connections.
    pub callbacks_per_receiver: u32,
    /// Proposed to the state where it has others.
    pub limits: StateLimits,
}

/// A first wait is this part of the time that it must fit into, so that a few growing ones still do.
const FIRST_WAIT_PART: u64 = 16;

impl LeaderSettings {
    /// An edge that was silent for so long gets no grants until it is heard; half of what frees its leases.
    pub(crate) fn quiet_after_ms(&self) -> u64 {
        self.visibility_timeout_ms / 2
    }

    /// How long the leases of an edge stay that has no connection.
    pub(crate) fn disconnected_for_ms(&self) -> u64 {
        self.reconnect_ms.min(self.visibility_timeout_ms)
    }

    /// An edge that is gone for so long, and holds nothing, is detached.
    pub(crate) fn detach_after_ms(&self) -> u64 {
        self.visibility_timeout_ms.saturating_add(self.liveness_ms)
    }

    /// The waits before trials of a single endpoint that does not answer.
    pub(crate) fn trial_waits(&self) -> Waits {
        Waits::within(self.visibility_timeout_ms / 2)
    }

    /// The waits before a failed call-back is made again.
    pub(crate) fn callback_waits(&self) -> Waits {
        Waits::within(self.callback_timeout_ms / 2)
    }

    /// The waits before trials of a receiver that does not take call-backs.
    pub(crate) fn receiver_waits(&self) -> Waits {
        Waits::within(self.callback_timeout_ms / 4)
    }
}

/// The bounds of a growing wait.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Waits {
    /// The first, in milliseconds.
    pub(crate) first_ms: u64,
    /// The longest, in milliseconds.
    pub(crate) longest_ms: u64,
}

impl Waits {
    /// Waits that grow up to a bound.
    pub(crate) fn within(longest_ms: u64) -> Self {
        let longest_ms = longest_ms.max(1);
        Self { first_ms: (longest_ms / FIRST_WAIT_PART).max(1), longest_ms }
    }
}
