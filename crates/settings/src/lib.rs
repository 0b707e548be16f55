//! Owns the settings object that the simulator's adapter and the real dispatcher are both given: it reads the object,
//! checks it, fills in defaults, and maps it to [`ruddervalve::Settings`], [`ruddervalve::Names`] and the figures that
//! only sockets need. A fault is told with the key at fault. It must never decide anything, nor read a file itself.

use ruddervalve::{
    ClassSettings, Discovery, Effect, Group, KindId, Limits, Micros, Names, Reporting, Rules, Settings,
    SettingsError, TenantSettings, ZoneId,
};
use serde::Deserialize;
use thiserror::Error;

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
    conn_idle: Micros,
    connect_timeout: Micros,
    probe_timeout: Micros,
    max_attempts: usize,
    max_retry_after: Micros,
    probes: bool,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct Obligations {
    ask_within: Micros,
    cold: Micros,
    cold_share: f64,
    drain_grace: Micros,
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
    handshake: f64,
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

/// Settings that cannot be used.
#[derive(Debug, Error)]
pub enum Fault {
    /// The object is not as it has to be; the text begins with the key.
    #[error("{0}")]
    Form(String),
    /// A key's value makes no sense.
    #[error("{0}: {1}")]
    Value(String, &'static str),
}

/// What a probe asks a node for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Asked {
    /// Its load, as the deployment has reports.
    Load,
    /// Whether it is well.
    Health,
}

/// What the sockets need to know of the settings, in milliseconds.
#[derive(Debug, Clone, PartialEq)]
pub struct Network {
    /// A connection that is not made within this has failed.
    pub connect_timeout_ms: f64,
    /// A probe that is not answered within this has failed.
    pub probe_timeout_ms: f64,
    /// What a probe asks for.
    pub probe: Asked,
    /// The machine list is pushed to an agent beside the dispatcher, which is asked at no cost.
    pub list_pushed: bool,
    /// For so long after it was told that a node leaves the dispatcher may still send to it.
    pub drain_grace_ms: f64,
    /// An execute node closes a connection that has been idle for this.
    pub conn_idle_ms: f64,
    /// The longest wait that a submitter heeds.
    pub max_retry_after_ms: f64,
}

impl Network {
    /// How long an idle connection to an execute node is kept: what is written just as the node closes it is lost.
    pub fn conn_kept_ms(&self) -> f64 {
        self.conn_idle_ms * 0.8
    }
}

impl Info {
    /// Reads the object from its JSON text.
    pub fn read(text: &str) -> Result<Self, Fault> {
        let mut json = serde_json::Deserializer::from_str(text);
        serde_path_to_error::deserialize(&mut json).map_err(|error| Fault::Form(error.to_string()))
    }

    /// What the sockets need; a time of 0 or none stands for the default.
    pub fn network(&self) -> Network {
        let or = |value: Micros, usual: f64| if value > 0 { value as f64 / 1e3 } else { usual };
        Network {
            connect_timeout_ms: or(self.limits.connect_timeout, 250.0),
            probe_timeout_ms: or(self.limits.probe_timeout, 2.0 * or(self.limits.connect_timeout, 250.0)),
            probe: if self.reporting.how.as_str() == "none" { Asked::Health } else { Asked::Load },
            list_pushed: self.list_comes() == Discovery::Pushed,
            drain_grace_ms: self.obligations.drain_grace as f64 / 1e3,
            conn_idle_ms: or(self.limits.conn_idle, 15_000.0),
            max_retry_after_ms: self.limits.max_retry_after as f64 / 1e3,
        }
    }

    fn list_comes(&self) -> Discovery {
        match self.discovery.as_deref() {
            Some("on_request") => Discovery::OnRequest,
            _ => Discovery::Pushed,
        }
    }

    /// The settings in ruddervalve's terms, checked, and the names.
    pub fn checked(self) -> Result<(Settings, Names), Fault> {
        let classes = self.profiles.len();
        for (key, length) in [
            ("family_info.class_kind", self.family_info.class_kind.len()),
            ("family_info.class_stretch", self.family_info.class_stretch.len()),
        ] {
            // A class without its entry would run anywhere, or be due too soon.
            if length != 0 && length != classes {
                return Err(Fault::Value(key.to_owned(), "must have an entry for each class"));
            }
        }
        for (number, profile) in self.profiles.iter().enumerate() {
            if self.profiles[..number].iter().any(|other| other.name == profile.name) {
                return Err(Fault::Value(format!("profiles[{number}].name"), "is there twice"));
            }
        }
        let (settings, names) = self.split();
        settings.validate().map_err(|error| Fault::Value(key(&error), error.problem))?;
        Ok((settings, names))
    }

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
        let priced = self.prices.handshake > 0.0;
        let conn_kept = if priced { (self.network().conn_kept_ms() * 1e3) as Micros } else { 0 };
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
            conn_kept,
            discovery: self.list_comes(),
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
                max_retry_after: self.limits.max_retry_after,
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

/// The key of the settings object that a field of the module's settings is read from.
fn key(error: &SettingsError) -> String {
    let field = error.field.as_str();
    match field.split_once('.') {
        None if field == "index" => "position".to_owned(),
        None if field == "worst_class_weight" => "objective_mix.worst_class".to_owned(),
        None if field == "cross_zone_price" => "prices.cross_zone".to_owned(),
        Some(("rules", "fall_multiple")) => "obligations.tip_multiple".to_owned(),
        Some(("rules", name)) => format!("obligations.{name}"),
        _ => field.replacen("classes", "profiles", 1),
    }
}

/// Where a name stands among others.
pub fn position(names: &[String], name: &str) -> Option<usize> {
    names.iter().position(|known| known == name)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn connections_are_kept_in_mind_only_where_a_new_one_has_a_price() {
        let example = include_str!("../../../examples/config.json");
        let example: serde_json::Value = serde_json::from_str(example).unwrap();
        for (price, kept) in [(0.08, 12_000_000), (0.0, 0)] {
            let mut settings = example["settings"].clone();
            settings["prices"]["handshake"] = price.into();
            settings["limits"]["conn_idle"] = 15_000_000.into();
            let info = Info::read(&settings.to_string()).unwrap();
            // As long as the sockets keep one, which is less than the node does.
            assert_eq!(
                (info.network().conn_kept_ms(), info.checked().unwrap().0.conn_kept),
                (12_000.0, kept)
            );
        }
    }
}
