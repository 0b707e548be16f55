//! The settings object of the wire, mapped to [`ruddervalve::Settings`].

use ruddervalve::{
    ClassSettings, Discovery, Effect, Group, KindId, Limits, Micros, Reporting, Rules, Settings,
    TenantSettings, ZoneId,
};
use serde::Deserialize;

/// The settings as they come; what is unknown is skipped.
#[derive(Debug, Deserialize)]
pub struct Info {
    az: Option<String>,
    discovery: Option<String>,
    #[serde(default)]
    family_info: Family,
    #[serde(default)]
    limits: InfoLimits,
    #[serde(default)]
    localities: Vec<String>,
    #[serde(default)]
    machine_types: Vec<String>,
    #[serde(default)]
    objective_mix: Goal,
    obligations: Obligations,
    #[serde(default)]
    over_share_worth: f64,
    peers_total: usize,
    position: usize,
    #[serde(default)]
    prices: Prices,
    profiles: Vec<Profile>,
    #[serde(default)]
    reporting: InfoReporting,
    #[serde(default)]
    tenants: Vec<Tenant>,
    #[serde(default)]
    tick: Micros,
    weights: Option<String>,
    worth_by: Option<String>,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct Family {
    class_kind: Vec<i64>,
    class_stretch: Vec<f64>,
    tells_start: bool,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct InfoLimits {
    cancel: bool,
    max_attempts: usize,
    probes: bool,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct Obligations {
    ask_within: Micros,
    cold: Micros,
    cold_share: f64,
    tip_after: Micros,
    tip_multiple: f64,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct Goal {
    whole: f64,
    worst_class: f64,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct Prices {
    cross_zone: f64,
}

#[derive(Debug, Deserialize)]
struct Profile {
    aim: Micros,
    aim_stretch: Option<f64>,
    deadline: Micros,
    group: Option<String>,
    #[serde(default)]
    late_worth: f64,
    name: String,
    semantics: String,
    #[serde(default)]
    window: Micros,
    worth: f64,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct InfoReporting {
    how: String,
}

#[derive(Debug, Deserialize)]
struct Tenant {
    name: String,
    #[serde(default)]
    quota_per_s: f64,
}

/// The names of the settings, by which the wire refers to classes, tenants, zones and kinds.
#[derive(Debug)]
pub struct Names {
    /// Class names.
    pub classes: Vec<String>,
    /// Tenant names.
    pub tenants: Vec<String>,
    /// Zone names.
    pub zones: Vec<String>,
    /// Machine kinds.
    pub kinds: Vec<String>,
}

impl Info {
    /// The settings in ruddervalve's terms, and the names.
    pub fn split(self) -> (Settings, Names) {
        let class = |(index, profile): (usize, &Profile)| ClassSettings {
            aim: profile.aim,
            aim_stretch: (profile.aim_stretch)
                .or(self.family_info.class_stretch.get(index).copied())
                .unwrap_or_default(),
            deadline: profile.deadline,
            worth: profile.worth,
            late_worth: profile.late_worth,
            effect: profile.effect(),
            kind: (self.family_info.class_kind.get(index))
                .and_then(|kind| usize::try_from(*kind).ok())
                .map(KindId),
        };
        let settings = Settings {
            index: self.position,
            dispatchers: self.peers_total,
            zone: self.az.as_ref().and_then(|zone| position(&self.localities, zone)).map(ZoneId),
            tick: self.tick,
            classes: self.profiles.iter().enumerate().map(class).collect(),
            tenants: (self.tenants.iter())
                .map(|tenant| TenantSettings { quota_per_s: tenant.quota_per_s })
                .collect(),
            worth_by_work: self.worth_by.as_deref() == Some("work"),
            over_share_worth: self.over_share_worth,
            worst_class_weight: self.objective_mix.worst_class / self.objective_mix.whole.max(f64::EPSILON),
            cross_zone_price: self.prices.cross_zone,
            discovery: match self.discovery.as_deref() {
                Some("on_request") => Discovery::OnRequest,
                _ => Discovery::Pushed,
            },
            reporting: match self.reporting.how.as_str() {
                "answers" => Reporting::Answers,
                "probe" => Reporting::Probes,
                _ => Reporting::None,
            },
            live_weights: self.weights.as_deref() == Some("live"),
            tells_start: self.family_info.tells_start,
            limits: Limits {
                max_attempts: self.limits.max_attempts,
                cancel: self.limits.cancel,
                probes: self.limits.probes,
            },
            rules: Rules {
                cold_share: self.obligations.cold_share,
                cold: self.obligations.cold,
                fall_multiple: self.obligations.tip_multiple,
                fall_after: self.obligations.tip_after,
                ask_within: self.obligations.ask_within,
            },
        };
        let names = Names {
            classes: self.profiles.into_iter().map(|profile| profile.name).collect(),
            tenants: self.tenants.into_iter().map(|tenant| tenant.name).collect(),
            zones: self.localities,
            kinds: self.machine_types,
        };
        (settings, names)
    }
}

impl Profile {
    /// What is not known to be harmless counts as unsafe.
    fn effect(&self) -> Effect {
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

/// Where a name stands among others.
pub fn position(names: &[String], name: &str) -> Option<usize> {
    names.iter().position(|known| known == name)
}
