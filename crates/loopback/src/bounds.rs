//! The figures of the rules, as a settings file gives them.

use serde::Serialize;

/// `Bounds` of a settings file. The units are in the names.
#[derive(Debug, Clone, PartialEq, Serialize)]
#[serde(rename_all = "PascalCase")]
#[allow(missing_docs, reason = "the published settings file names each of them, and its unit")]
pub struct Bounds {
    pub seed_staleness_s: f64,
    pub address_reuse_s: f64,
    pub liveness_ms: u64,
    pub ack_timeout_ms: u64,
    pub sync_s: f64,
    pub drain_timeout_ms: u64,
    pub grace_period_s: f64,
    pub loss_slack_ms: u64,
    pub config_propagation_ms: u64,
    pub rollback_slack_ms: u64,
    pub max_skew_ms: u64,
    pub recovery_s: f64,
    pub completion_s: f64,
    pub status_ttl_s: f64,
    pub callback_timeout_s: f64,
    pub visibility_timeout_ms: u64,
    pub early_slack_ms: u64,
    pub origin_window_s: f64,
    pub origin_overshoot: f64,
}

impl Default for Bounds {
    /// Scaled down, so that a system on loopback does in a second what takes several in a deployment.
    fn default() -> Self {
        Self {
            seed_staleness_s: 1.0,
            address_reuse_s: 2.0,
            liveness_ms: 1_200,
            ack_timeout_ms: 5_000,
            sync_s: 1.5,
            drain_timeout_ms: 1_000,
            grace_period_s: 4.0,
            loss_slack_ms: 200,
            config_propagation_ms: 1_500,
            rollback_slack_ms: 250,
            max_skew_ms: 4_000,
            recovery_s: 6.0,
            completion_s: 5.0,
            status_ttl_s: 60.0,
            callback_timeout_s: 2.0,
            visibility_timeout_ms: 1_500,
            early_slack_ms: 100,
            origin_window_s: 5.0,
            origin_overshoot: 1.1,
        }
    }
}

/// `FaultTolerance` of a settings file: what may be lost at once.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "PascalCase")]
pub struct FaultTolerance {
    /// So many machines that count.
    pub nodes: u32,
    /// Or so many zones.
    pub zones: u32,
    /// Or so many regions.
    pub regions: u32,
}

impl Default for FaultTolerance {
    /// One machine.
    fn default() -> Self {
        Self { nodes: 1, zones: 0, regions: 0 }
    }
}
