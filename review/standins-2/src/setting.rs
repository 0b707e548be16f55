//! A small system on loopback with the figures of the paint mixers' pages.

use std::fmt;
use std::time::Duration;

use ruddervalve_loopback::{Bounds, DiskKind, ListPlan, System, SystemPlan};

/// How long any one step of the preparation may take.
pub const STEP: Duration = Duration::from_secs(15);
/// The host of all routes.
pub const HOST: &str = "shop.example";

/// What a case found.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// The rule held.
    Held,
    /// The rule was broken.
    Broken,
}

/// Why a case could not run.
#[derive(Debug)]
pub struct Failure(String);

impl fmt::Display for Failure {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&self.0)
    }
}

impl From<&str> for Failure {
    fn from(text: &str) -> Self {
        Self(text.to_owned())
    }
}

impl From<ruddervalve_loopback::RigError> for Failure {
    fn from(error: ruddervalve_loopback::RigError) -> Self {
        Self(error.to_string())
    }
}

impl From<ruddervalve_loopback::OperatorError> for Failure {
    fn from(error: ruddervalve_loopback::OperatorError) -> Self {
        Self(error.to_string())
    }
}

impl From<ruddervalve_loopback::TimedOut> for Failure {
    fn from(error: ruddervalve_loopback::TimedOut) -> Self {
        Self(error.to_string())
    }
}

impl From<std::io::Error> for Failure {
    fn from(error: std::io::Error) -> Self {
        Self(error.to_string())
    }
}

/// `Bounds` of the paint mixers' pages.
pub fn bounds() -> Bounds {
    Bounds {
        seed_staleness_s: 3.0,
        address_reuse_s: 2.0,
        liveness_ms: 4_000,
        ack_timeout_ms: 5_000,
        sync_s: 4.5,
        drain_timeout_ms: 3_000,
        grace_period_s: 6.0,
        loss_slack_ms: 200,
        config_propagation_ms: 3_000,
        rollback_slack_ms: 250,
        max_skew_ms: 12_000,
        recovery_s: 12.0,
        completion_s: 10.0,
        status_ttl_s: 120.0,
        callback_timeout_s: 5.0,
        visibility_timeout_ms: 3_000,
        early_slack_ms: 100,
        origin_window_s: 5.0,
        origin_overshoot: 1.1,
    }
}

/// Three coordinators, three stores and this many edges, as processes of the program.
pub async fn start(program: &str, edges: usize) -> Result<System, Failure> {
    let list = ListPlan { page_size: 50, rate_per_s: 49.0, lag: Duration::from_millis(800) };
    let plan =
        SystemPlan { edges, bounds: bounds(), list, disks: DiskKind::Files, ..SystemPlan::of(program) };
    Ok(System::start(plan).await?)
}
