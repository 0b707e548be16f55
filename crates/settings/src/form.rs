//! The settings object as it is written.

use ruddervalve::{Effect, Group, Limits, Micros, Rules};
use serde::Deserialize;

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(super) struct Family {
    pub(super) class_kind: Vec<i64>,
    pub(super) class_stretch: Vec<f64>,
    pub(super) progress: Micros,
    pub(super) tells_start: bool,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(super) struct InfoLimits {
    cancel: bool,
    pub(super) conn_idle: Micros,
    pub(super) connect_timeout: Micros,
    pub(super) probe_timeout: Micros,
    max_attempts: usize,
    pub(super) max_retry_after: Micros,
    pub(super) probes: bool,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(super) struct Obligations {
    ask_within: Micros,
    cold: Micros,
    cold_share: f64,
    pub(super) drain_grace: Micros,
    tip_after: Micros,
    tip_multiple: f64,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(super) struct Goal {
    pub(super) whole: f64,
    pub(super) worst_class: f64,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(super) struct Prices {
    pub(super) cross_zone: f64,
    pub(super) handshake: f64,
}

#[derive(Debug, Deserialize)]
pub(super) struct Profile {
    pub(super) aim: Micros,
    pub(super) aim_stretch: Option<f64>,
    pub(super) deadline: Micros,
    group: Option<String>,
    #[serde(default)]
    pub(super) late_worth: f64,
    pub(super) name: String,
    semantics: String,
    #[serde(default)]
    window: Micros,
    pub(super) worth: f64,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(super) struct InfoReporting {
    pub(super) fields: Vec<String>,
    pub(super) how: String,
}

#[derive(Debug, Deserialize)]
pub(super) struct Tenant {
    pub(super) name: String,
    #[serde(default)]
    pub(super) quota_per_s: f64,
}

impl Profile {
    /// What is not known to be harmless counts as unsafe.
    pub(super) fn effect(&self) -> Effect {
        let group = match self.group.as_deref() {
            Some("all") => Group::All,
            Some("zone") => Group::Zone,
            _ => Group::Cell,
        };
        match self.semantics.as_str() {
            "retryable" => Effect::Safe,
            "dedup" => Effect::Keyed { group, window: self.window },
            _ => Effect::Unsafe,
        }
    }
}

impl InfoLimits {
    pub(super) fn limits(&self) -> Limits {
        Limits {
            max_attempts: self.max_attempts,
            cancel: self.cancel,
            probes: self.probes,
            max_retry_after: self.max_retry_after,
        }
    }
}

impl Obligations {
    pub(super) fn rules(&self) -> Rules {
        Rules {
            cold_share: self.cold_share,
            cold: self.cold,
            fall_multiple: self.tip_multiple,
            fall_after: self.tip_after,
            ask_within: self.ask_within,
        }
    }
}
