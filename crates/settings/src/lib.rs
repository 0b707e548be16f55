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
    progress: Micros,
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
    fields: Vec<String>,
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
    /// What a new connection to a node costs beside the dearest job that must not run twice, both as prices.
    pub connection_of_a_job: f64,
}

/// What a dispatcher can learn from, for those who run it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Hearing {
    /// All of it, in a line.
    pub line: String,
    /// What is missing, a line each.
    pub missing: Vec<String>,
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
            probe: if self.reports_come() == Reporting::None { Asked::Health } else { Asked::Load },
            list_pushed: self.list_comes() == Discovery::Pushed,
            drain_grace_ms: self.obligations.drain_grace as f64 / 1e3,
            conn_idle_ms: or(self.limits.conn_idle, 15_000.0),
            max_retry_after_ms: self.limits.max_retry_after as f64 / 1e3,
            connection_of_a_job: self.connection_of_a_job(),
        }
    }

    /// The price is for a connection with each job, in units of what all jobs are worth.
    fn connection_of_a_job(&self) -> f64 {
        let mean =
            self.profiles.iter().map(|profile| profile.worth).sum::<f64>() / self.profiles.len() as f64;
        let once = self.profiles.iter().filter(|profile| profile.effect() != Effect::Safe);
        let dearest = once.map(|profile| profile.worth).fold(0.0, f64::max);
        let part = self.prices.handshake * mean / dearest;
        if part.is_finite() { part } else { 0.0 }
    }

    /// What a dispatcher hears of nodes under these settings, and what it would need and does not hear.
    pub fn hearing(&self) -> Hearing {
        let how = self.reports_come();
        let reports = match (how, self.limits.probes) {
            (Reporting::Answers, false) => "with answers",
            (Reporting::Answers, true) => "with answers and probes",
            (Reporting::Probes, true) => "by probes",
            _ => "none",
        };
        let progress = match self.family_info.progress {
            0 => "not told".to_owned(),
            every => format!("each {} ms", every as f64 / 1e3),
        };
        let list = match self.list_comes() {
            Discovery::Pushed => "pushed",
            Discovery::OnRequest => "asked for",
        };
        let starts = if self.family_info.tells_start { "told" } else { "not told" };
        let line = format!(
            "learns from load reports: {reports}; starts: {starts}; progress: {progress}; list: {list}"
        );
        let mut missing = Vec::new();
        let mut lacks = |lacks: bool, what: &str| {
            if lacks {
                missing.push(format!("nothing tells that a node is idle again: {what}"));
            }
        };
        lacks(how == Reporting::None, "settings.reporting.how is neither 'answers' nor 'probe'");
        lacks(
            how == Reporting::Probes && !self.limits.probes,
            "settings.reporting.how is 'probe', and settings.limits.probes forbids them",
        );
        let fields = &self.reporting.fields;
        lacks(
            reports != "none" && !fields.is_empty() && !fields.iter().any(|field| field == "x0"),
            "settings.reporting.fields has no 'x0', the free slots",
        );
        Hearing { line, missing }
    }

    fn reports_come(&self) -> Reporting {
        match self.reporting.how.as_str() {
            "answers" => Reporting::Answers,
            "probe" => Reporting::Probes,
            _ => Reporting::None,
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
            reporting: self.reports_come(),
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

    /// The example's settings with these keys changed.
    fn with(changes: &[(&str, serde_json::Value)]) -> Info {
        let mut example: serde_json::Value =
            serde_json::from_str(include_str!("../../../examples/config.json")).unwrap();
        for (pointer, value) in changes {
            let (parent, key) = pointer.rsplit_once('/').unwrap();
            example["settings"].pointer_mut(parent).unwrap()[key] = value.clone();
        }
        Info::read(&example["settings"].to_string()).unwrap()
    }

    #[test]
    fn what_can_be_learnt_from_is_told_and_what_is_missing_named() {
        use serde_json::json;
        let probes = ("/limits/probes", json!(true));
        for (changes, line, missing) in [
            (vec![], "with answers; starts: told; progress: each 1000 ms; list: asked for", ""),
            (vec![probes.clone()], "with answers and probes; starts: told", ""),
            (vec![("/reporting/how", json!("probe")), probes.clone()], "by probes; starts: told", ""),
            (vec![("/reporting/how", json!("probe"))], "none; starts", "settings.limits.probes forbids"),
            (vec![("/reporting/how", json!("none")), probes], "none; starts", "neither"),
            (vec![("/reporting/fields", json!(["queue"]))], "with answers; starts", "no 'x0'"),
            (vec![("/reporting/fields", json!([]))], "with answers; starts", ""),
            (
                vec![("/family_info/tells_start", json!(false))],
                "with answers; starts: not told; progress",
                "",
            ),
            (vec![("/family_info/progress", json!(0))], "starts: told; progress: not told", ""),
            (vec![("/discovery", json!("pushed"))], "list: pushed", ""),
        ] {
            let hearing = with(&changes).hearing();
            assert!(hearing.line.contains(line), "{changes:?}: {}", hearing.line);
            assert_eq!(hearing.missing.is_empty(), missing.is_empty(), "{changes:?}");
            assert!(hearing.missing.iter().all(|told| told.contains(missing)), "{:?}", hearing.missing);
        }
    }

    #[test]
    fn what_a_connection_costs_of_a_job_follows_from_the_prices() {
        use serde_json::json;
        // Jobs are worth 5 and 10, the second of which must not run twice.
        for (changes, part) in [
            (vec![], 0.06),
            (vec![("/prices/handshake", json!(0.0))], 0.0),
            (vec![("/profiles/1/semantics", json!("retryable"))], 0.0),
            (vec![("/profiles/1/worth", json!(1.0))], 0.24),
        ] {
            let told = with(&changes).network().connection_of_a_job;
            assert!((told - part).abs() < 1e-9, "{changes:?}: {told}");
        }
    }
}
