//! Owns the settings object that the simulator's adapter and the real dispatcher are both given: it reads the object,
//! checks it, fills in defaults, and maps it to [`ruddervalve::Settings`], [`ruddervalve::Names`] and the figures that
//! only sockets need. A fault is told with the key at fault. It must never decide anything, nor read a file itself.

mod decisions;
mod form;
mod network;
mod observability;

use ruddervalve::{Discovery, Micros, Reporting};
use serde::Deserialize;
use thiserror::Error;

use self::form::{Family, Goal, InfoLimits, InfoReporting, Obligations, Prices, Profile, Tenant};
pub use self::network::{Network, ProbeKind};
pub use self::observability::Observability;

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

impl Info {
    /// Reads the object from its JSON text.
    ///
    /// # Errors
    ///
    /// The text is no settings object; the problem names the key.
    pub fn read(text: &str) -> Result<Self, Fault> {
        let mut json = serde_json::Deserializer::from_str(text);
        serde_path_to_error::deserialize(&mut json).map_err(|error| Fault::Form(error.to_string()))
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
}

/// Where a name stands among others.
pub fn position(names: &[String], name: &str) -> Option<usize> {
    names.iter().position(|known| known == name)
}

#[cfg(test)]
mod tests;
