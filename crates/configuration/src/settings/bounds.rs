//! The figures of the rules.

use super::{Serves, subsection};
use crate::convert;
use crate::fault::FaultList;
use crate::section::Section;

/// What `LivenessMs` stands in for while a fault is already noted for it, in milliseconds. Never leaves the reading.
const NO_LIVENESS_MS: u64 = 0;
/// How far over its rate a service may be sent, if the file does not say: not at all.
const DEFAULT_OVERSHOOT: f64 = 1.0;

/// The figures of the rules, as times in milliseconds whatever unit the file gives. A figure that is not given and that
/// the role does not need follows from `liveness_ms`, on the careful side: each comment says how.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Bounds {
    /// How far the operator's list of addresses lags; one `liveness_ms`.
    pub seed_staleness_ms: u64,
    /// How soon after its end a runner's address may belong to another service; 0.
    pub address_reuse_ms: u64,
    /// How long a machine has to be without trouble to be in touch; needed by every role.
    pub liveness_ms: u64,
    /// Within what time a proper order is to be acknowledged; one `liveness_ms`.
    pub ack_timeout_ms: u64,
    /// How long a machine that is back still counts as lost; two `liveness_ms`.
    pub sync_ms: u64,
    /// How long a runner that is draining may still get requests; needed by edges and the control plane.
    pub drain_timeout_ms: u64,
    /// From SIGTERM to SIGKILL; half of `liveness_ms`.
    pub grace_period_ms: u64,
    /// How long after its last byte a request may still be let go; 0.
    pub loss_slack_ms: u64,
    /// Within what time a configuration is in force everywhere; needed by edges and the control plane.
    pub config_propagation_ms: u64,
    /// Within what time after a version's first effect every other process follows; 0.
    pub rollback_slack_ms: u64,
    /// By how much an unstable core stretches `config_propagation_ms`; 0.
    pub max_skew_ms: u64,
    /// Within what time after a final fault requests are served again; one `liveness_ms`.
    pub recovery_ms: u64,
    /// How long messages may still run once traffic has ended; one `liveness_ms`.
    pub completion_ms: u64,
    /// How long the state of a message may be asked for after its end; needed by stores, else thirty `liveness_ms`.
    pub status_ttl_ms: u64,
    /// Within what time after a success its call-back is to arrive; one `liveness_ms`.
    pub callback_timeout_ms: u64,
    /// How long a delivery may stay without news before its message is delivered anew; half of `liveness_ms`.
    pub visibility_timeout_ms: u64,
    /// How much too early a delayed message may run; 0.
    pub early_slack_ms: u64,
    /// The span over which a service's rate is counted; one `liveness_ms`.
    pub origin_window_ms: u64,
    /// By what factor the rate may be exceeded over that span; 1: not at all.
    pub origin_overshoot: f64,
}

/// A share of `LivenessMs`.
#[derive(Clone, Copy)]
struct Share {
    times: u64,
    over: u64,
}

const NONE: Share = Share { times: 0, over: 1 };
const HALF: Share = Share { times: 1, over: 2 };
const ONE: Share = Share { times: 1, over: 1 };
const TWO: Share = Share { times: 2, over: 1 };
const THIRTY: Share = Share { times: 30, over: 1 };

impl Bounds {
    pub(super) fn read(root: Section<'_>, serves: Serves, faults: &mut FaultList) -> Self {
        let root_place = root.place();
        let section = subsection(&root, &root_place, true, "Bounds", faults);
        let mut reader = BoundsReader::new(section, serves, faults);
        let edge_or_control = Serves::EDGE | Serves::CONTROL_PLANE;
        let none = Serves::empty();
        Self {
            seed_staleness_ms: reader.seconds("SeedStalenessS", none, ONE),
            address_reuse_ms: reader.seconds("AddressReuseS", none, NONE),
            liveness_ms: reader.liveness_ms,
            ack_timeout_ms: reader.milliseconds("AckTimeoutMs", none, ONE),
            sync_ms: reader.seconds("SyncS", none, TWO),
            drain_timeout_ms: reader.milliseconds("DrainTimeoutMs", edge_or_control, ONE),
            grace_period_ms: reader.seconds("GracePeriodS", none, HALF),
            loss_slack_ms: reader.milliseconds("LossSlackMs", none, NONE),
            config_propagation_ms: reader.milliseconds("ConfigPropagationMs", edge_or_control, ONE),
            rollback_slack_ms: reader.milliseconds("RollbackSlackMs", none, NONE),
            max_skew_ms: reader.milliseconds("MaxSkewMs", none, NONE),
            recovery_ms: reader.seconds("RecoveryS", none, ONE),
            completion_ms: reader.seconds("CompletionS", none, ONE),
            status_ttl_ms: reader.seconds("StatusTtlS", Serves::STORAGE, THIRTY),
            callback_timeout_ms: reader.seconds("CallbackTimeoutS", none, ONE),
            visibility_timeout_ms: reader.milliseconds("VisibilityTimeoutMs", none, HALF),
            early_slack_ms: reader.milliseconds("EarlySlackMs", none, NONE),
            origin_window_ms: reader.seconds("OriginWindowS", none, ONE),
            origin_overshoot: reader.overshoot(),
        }
    }
}

/// Reads one figure after the other.
struct BoundsReader<'a, 'f> {
    section: Option<Section<'a>>,
    serves: Serves,
    liveness_ms: u64,
    faults: &'f mut FaultList,
}

impl<'a, 'f> BoundsReader<'a, 'f> {
    fn new(section: Option<Section<'a>>, serves: Serves, faults: &'f mut FaultList) -> Self {
        let liveness_ms = section
            .and_then(|section| section.required("LivenessMs", convert::positive_milliseconds, faults))
            .unwrap_or(NO_LIVENESS_MS);
        Self { section, serves, liveness_ms, faults }
    }

    fn milliseconds(&mut self, key: &'static str, needed_by: Serves, default: Share) -> u64 {
        let is_needed = self.serves.intersects(needed_by);
        let read = self
            .section
            .and_then(|section| section.needed_if(is_needed, key, convert::milliseconds, self.faults));
        read.unwrap_or(self.share(default))
    }

    fn seconds(&mut self, key: &'static str, needed_by: Serves, default: Share) -> u64 {
        let is_needed = self.serves.intersects(needed_by);
        let read =
            self.section.and_then(|section| section.needed_if(is_needed, key, convert::seconds, self.faults));
        read.unwrap_or(self.share(default))
    }

    fn overshoot(&mut self) -> f64 {
        let read = self
            .section
            .and_then(|section| section.optional("OriginOvershoot", convert::positive_number, self.faults));
        read.unwrap_or(DEFAULT_OVERSHOOT)
    }

    fn share(&self, share: Share) -> u64 {
        self.liveness_ms.saturating_mul(share.times) / share.over
    }
}
