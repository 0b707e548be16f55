//! The settings of the decisions, and the names in them.

use ruddervalve::{ClassSettings, KindId, Micros, Names, Settings, SettingsError, TenantSettings, ZoneId};

use super::form::Profile;
use super::{Fault, Info, position};

impl Info {
    /// The settings in ruddervalve's terms, checked, and the names.
    ///
    /// # Errors
    ///
    /// A value makes no sense; the problem names the key.
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
        let settings = Settings {
            index: self.position,
            dispatchers: self.peers_total,
            zone: self.az.as_ref().and_then(|zone| position(&self.localities, zone)).map(ZoneId),
            tick: self.tick,
            classes: self.classes(),
            tenants: (self.tenants.iter())
                .map(|tenant| TenantSettings { quota_per_s: tenant.quota_per_s })
                .collect(),
            worth_by_work: self.worth_by.as_deref() == Some("work"),
            over_share_worth: self.over_share_worth,
            worst_class_weight: self.objective_mix.worst_class / self.objective_mix.whole.max(f64::EPSILON),
            cross_zone_price: self.prices.cross_zone,
            conn_kept: self.conn_kept(),
            discovery: self.list_comes(),
            reporting: self.reports_come(),
            live_weights: self.weights.as_deref() == Some("live"),
            tells_start: self.family_info.tells_start,
            limits: self.limits.limits(),
            rules: self.obligations.rules(),
        };
        let names = Names {
            classes: self.profiles.into_iter().map(|profile| profile.name).collect(),
            tenants: self.tenants.into_iter().map(|tenant| tenant.name).collect(),
            zones: self.localities,
            kinds: self.machine_types,
        };
        (settings, names)
    }

    fn classes(&self) -> Vec<ClassSettings> {
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
        self.profiles.iter().enumerate().map(class).collect()
    }

    /// For how long connections are kept in mind, in microseconds; 0 where a new one has no price.
    fn conn_kept(&self) -> Micros {
        let priced = self.prices.handshake > 0.0;
        if priced { (self.network().conn_kept_ms() * 1e3) as Micros } else { 0 }
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
