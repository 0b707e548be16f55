//! Owns what the dispatcher is told at its start: the file named by `ROUTER_CONFIG` and the `ROUTER_*` variables, which
//! win over the file. It reads, checks and fills in defaults, and names the key at fault; on SIGHUP it reads the file
//! again, as whole and as strictly. It must never change what is in force, and decides nothing.

use std::net::SocketAddr;

use ruddervalve::{Names, Settings};
use ruddervalve_broker::ListNews;
use ruddervalve_http::read_news;
use ruddervalve_settings::{Hearing, Info, Network};
use serde::Deserialize;
use serde_json::value::{RawValue, Value};
use thiserror::Error;

/// Why the dispatcher cannot start, or not take the file it is told to read again.
#[derive(Debug, Error)]
pub enum ConfigError {
    /// A key or variable that is missing or makes no sense.
    #[error("{0}: {1}")]
    Key(String, String),
}

/// The file as it is written.
#[derive(Debug, Deserialize)]
struct File {
    #[serde(default)]
    name: Option<String>,
    #[serde(default)]
    listen: Option<String>,
    #[serde(default)]
    control: Option<String>,
    #[serde(default)]
    discovery: Option<String>,
    #[serde(default)]
    seed: Option<String>,
    #[serde(default)]
    limits: Limits,
    #[serde(default)]
    known: Option<Box<RawValue>>,
    settings: Box<RawValue>,
}

#[derive(Debug, Default, Deserialize)]
struct Limits {
    sockets: Option<usize>,
}

/// All that the dispatcher is told.
#[derive(Debug)]
pub struct Config {
    /// Its name.
    pub name: String,
    /// Where submitters connect.
    pub listen: SocketAddr,
    /// What the file says of it, which a variable may have won over.
    listen_in_file: Option<String>,
    /// The descriptor of a socket that listens already, which is accepted from instead.
    pub accept_fd: Option<i32>,
    /// Where operators call, if anywhere.
    pub control: Option<SocketAddr>,
    /// What the file says of it.
    control_in_file: Option<String>,
    /// Where the machine list is had.
    pub discovery: SocketAddr,
    /// The file's keys.
    keys: Value,
    /// For random numbers.
    pub seed: u64,
    /// File descriptors that the process may hold.
    pub sockets: usize,
    /// The machine list as last held, possibly old.
    pub known: Option<ListNews>,
    /// What the decisions are told.
    pub settings: Settings,
    /// The names in them.
    pub names: Names,
    /// What the sockets are told.
    pub network: Network,
    /// What can be learnt from under the settings.
    pub hearing: Hearing,
}

impl Config {
    /// Reads the file and the variables; `variable` gives a variable's value, `file` a file's text.
    pub fn read(
        variable: impl Fn(&str) -> Option<String>,
        file: impl Fn(&str) -> Result<String, String>,
    ) -> Result<Self, ConfigError> {
        Self::read_at(variable, file, None)
    }

    /// Reads the file again. Its `discovery` counts now: the variable is left from the start, the file is what was
    /// changed. A key that the file in force has may not be missing: that would put a default in force untold.
    pub fn read_again(
        &self,
        variable: impl Fn(&str) -> Option<String>,
        file: impl Fn(&str) -> Result<String, String>,
    ) -> Result<Self, ConfigError> {
        Self::read_at(variable, file, Some(&self.keys))
    }

    /// The keys that differ and cannot take effect in a program that runs. `known` is none of them: the list in hand is
    /// newer.
    pub fn fixed_keys_changed(&self, new: &Self) -> Vec<&'static str> {
        let changed = [
            ("control", self.control_in_file != new.control_in_file),
            ("listen", self.listen_in_file != new.listen_in_file),
            ("name", self.name != new.name),
            ("seed", self.seed != new.seed),
        ];
        changed.into_iter().filter_map(|(key, changed)| changed.then_some(key)).collect()
    }

    fn read_at(
        variable: impl Fn(&str) -> Option<String>,
        file: impl Fn(&str) -> Result<String, String>,
        before: Option<&Value>,
    ) -> Result<Self, ConfigError> {
        let fault = |key: &str, problem: String| ConfigError::Key(key.to_owned(), problem);
        let path = variable("ROUTER_CONFIG")
            .ok_or_else(|| fault("ROUTER_CONFIG", "must name the configuration file".to_owned()))?;
        let text = file(&path).map_err(|error| fault("ROUTER_CONFIG", error))?;
        let mut json = serde_json::Deserializer::from_str(&text);
        let given: File = serde_path_to_error::deserialize(&mut json)
            .map_err(|error| fault("ROUTER_CONFIG", format!("{path}: {error}")))?;
        let keys = serde_json::from_str(&text).unwrap_or_default();
        if let Some(missing) = before.and_then(|before| missing(before, &keys, "")) {
            return Err(fault(&missing, "is missing".to_owned()));
        }
        let address = |key: &str, name: &str, value: Option<String>| -> Result<SocketAddr, ConfigError> {
            let value = match before.is_some() && key == "discovery" {
                true => value,
                false => variable(name).or(value),
            };
            let value = value.ok_or_else(|| fault(key, "is missing".to_owned()))?;
            value.parse().map_err(|_| fault(key, format!("'{value}' is no address with a port")))
        };
        let control = match variable("ROUTER_CONTROL").is_some() || given.control.is_some() {
            true => Some(address("control", "ROUTER_CONTROL", given.control.clone())?),
            false => None,
        };
        let accept_fd = variable("ROUTER_ACCEPT_FD").map(|value| match value.parse() {
            // The first three are the program's own.
            Ok(fd @ 3..) => Ok(fd),
            _ => Err(fault("ROUTER_ACCEPT_FD", format!("'{value}' is no descriptor from 3 on"))),
        });
        let accept_fd = accept_fd.transpose()?;
        let seed = match &given.seed {
            None => 0,
            Some(seed) => u64::from_str_radix(seed, 16)
                .map_err(|_| fault("seed", format!("'{seed}' is no hexadecimal number of 64 bits")))?,
        };
        let known = (given.known.as_ref())
            .map(|known| read_news(known.get().as_bytes()).map_err(|problem| fault("known", problem)))
            .transpose()?;
        let in_settings = |problem: ruddervalve_settings::Fault| {
            ConfigError::Key("settings".to_owned(), problem.to_string())
        };
        let info = Info::read(given.settings.get()).map_err(in_settings)?;
        let (network, hearing) = (info.network(), info.hearing());
        let (settings, names) = info.checked().map_err(in_settings)?;
        let sockets = given.limits.sockets.unwrap_or(1_024);
        if sockets < 64 {
            return Err(fault("limits.sockets", format!("{sockets} is too few, 64 are needed")));
        }
        Ok(Self {
            name: variable("ROUTER_NAME").or(given.name).unwrap_or_else(|| "ruddervalve".to_owned()),
            accept_fd,
            control,
            control_in_file: given.control,
            listen_in_file: given.listen.clone(),
            listen: address("listen", "ROUTER_LISTEN", given.listen)?,
            discovery: address("discovery", "ROUTER_DISCOVERY", given.discovery)?,
            keys,
            seed,
            sockets,
            known,
            settings,
            names,
            network,
            hearing,
        })
    }
}

/// A key that a file had and another one has not. In a list of objects each needs what all of them had before; `known` is
/// read at a start only.
fn missing(before: &Value, after: &Value, path: &str) -> Option<String> {
    let at = |key: &str| if path.is_empty() { key.to_owned() } else { format!("{path}.{key}") };
    match (before, after) {
        (Value::Object(before), Value::Object(after)) => before.iter().find_map(|(key, value)| {
            let counts = !(path.is_empty() && key == "known");
            match after.get(key) {
                None => counts.then(|| at(key)),
                Some(new) => missing(value, new, &at(key)).filter(|_| counts),
            }
        }),
        (Value::Array(before), Value::Array(after)) => {
            let common = before.iter().skip(1).fold(before.first()?.clone(), |mut common, entry| {
                if let (Value::Object(common), Value::Object(entry)) = (&mut common, entry) {
                    common.retain(|key, _| entry.contains_key(key));
                }
                common
            });
            let entry =
                |(number, entry): (usize, &Value)| missing(&common, entry, &format!("{path}[{number}]"));
            after.iter().enumerate().find_map(entry)
        }
        _ => None,
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const GOOD: &str = include_str!("../../../examples/config.json");

    #[test]
    fn a_file_read_again_may_leave_nothing_out_and_its_figures_must_be_positive() {
        // Guards what is in force against files written in part: a default would come into force untold.
        let variable = |name: &str| match name {
            "ROUTER_CONFIG" => Some("FILE".to_owned()),
            "ROUTER_DISCOVERY" => Some("127.0.0.1:1".to_owned()),
            _ => None,
        };
        let config = Config::read(variable, |_| Ok(GOOD.to_owned())).unwrap();
        let mut table = String::new();
        for (old, new) in [
            ("\"discovery\": \"127.0.0.1:8500\",", ""),
            ("\"limits\": { \"cores\": 1.0, \"memory_mb\": 192, \"sockets\": 1024 },", ""),
            (", \"sockets\": 1024", ""),
            ("\"max_attempts\": 5,", ""),
            ("\"max_attempts\": 5", "\"max_attempts\": 0"),
            ("\"max_attempts\": 5", "\"max_attempts\": -1"),
            ("\"max_attempts\": 5", "\"max_attempts\": \"many\""),
            ("\"aim\": 300000, \"deadline\": 5000000", "\"aim\": 300000"),
            ("\"deadline\": 5000000", "\"deadline\": 0"),
            ("\"deadline\": 5000000", "\"deadline\": -5"),
            ("\"deadline\": 5000000", "\"deadline\": 1e999"),
            ("\"deadline\": 5000000", "\"deadline\": null"),
            ("\"semantics\": \"fragile\", ", ""),
            ("\"tip_multiple\": 3.0", "\"tip\": 3.0"),
            ("[-1, 0]", "[-1]"),
            ("\"name\": \"tint\"", "\"name\": \"pour\""),
            (GOOD, ""),
            (&GOOD[200..], ""),
            ("\"profiles\": [", "\"profiles\": [], \"others\": ["),
        ] {
            assert!(GOOD.contains(old), "{old}");
            let text = GOOD.replacen(old, new, 1);
            let fault = config.read_again(variable, |_| Ok(text.clone())).expect_err(old).to_string();
            table += &format!("{}\n", fault.split(" at line").next().unwrap_or_default());
        }
        insta::assert_snapshot!(table, @r#"
        discovery: is missing
        limits: is missing
        limits.sockets: is missing
        settings.limits.max_attempts: is missing
        settings: limits.max_attempts: must be at least 1
        settings: limits.max_attempts: invalid value: integer `-1`, expected usize
        settings: limits.max_attempts: invalid type: string "many", expected usize
        settings.profiles[0].deadline: is missing
        settings: profiles[0].deadline: must be above 0
        settings: profiles[0].deadline: invalid value: integer `-5`, expected u64
        settings: profiles[0].deadline: number out of range
        settings: profiles[0].deadline: invalid type: null, expected u64
        settings.profiles[1].semantics: is missing
        settings.obligations.tip_multiple: is missing
        settings: family_info.class_kind: must have an entry for each class
        settings: profiles[1].name: is there twice
        ROUTER_CONFIG: FILE: EOF while parsing a value
        ROUTER_CONFIG: FILE: settings: EOF while parsing an object
        settings: family_info.class_kind: must have an entry for each class
        "#);
        // Anything may come, and what an earlier list knew of machines need not.
        let more = GOOD.replacen(
            "\"settings\"",
            "\"known\": {\"version\":1,\"full\":true,\"servers\":[]}, \"settings\"",
            1,
        );
        let grown = config.read_again(variable, |_| Ok(more.clone())).unwrap();
        assert!(grown.read_again(variable, |_| Ok(GOOD.to_owned())).is_ok());
    }
}
