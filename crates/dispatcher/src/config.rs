//! Owns the configuration of the dispatcher: the file named by `ROUTER_CONFIG` and the `ROUTER_*` variables, which
//! win over the file. It reads, checks and fills in defaults, and names the key at fault; on SIGHUP it reads the file
//! again, as whole and as strictly. It must never change what is in force, and decides nothing.

use std::net::SocketAddr;

use ruddervalve::{Names, Settings};
use ruddervalve_broker::ListUpdate;
use ruddervalve_http::read_list;
use ruddervalve_settings::{Info, Network, Observability};
use serde::Deserialize;
use serde_json::value::{RawValue, Value};
use thiserror::Error;

/// File descriptors that the process may hold where the file names no number.
const DEFAULT_SOCKETS: usize = 1_024;
/// The fewest with which it can serve.
const FEWEST_SOCKETS: usize = 64;

/// Why the dispatcher cannot start, or not take the file that it reads again.
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

/// The whole configuration.
#[derive(Debug)]
pub struct Config {
    /// Its name.
    pub name: String,
    /// Where clients connect.
    pub listen: SocketAddr,
    /// What the file says of it, which a variable may have won over.
    listen_in_file: Option<String>,
    /// The descriptor of a socket that listens already, which is accepted from instead.
    pub accept_fd: Option<i32>,
    /// Where operators call, if anywhere.
    pub control: Option<SocketAddr>,
    /// What the file says of it.
    control_in_file: Option<String>,
    /// Where the list of runners is had.
    pub discovery: SocketAddr,
    /// The file's keys.
    keys: Value,
    /// For random numbers.
    pub seed: u64,
    /// File descriptors that the process may hold.
    pub sockets: usize,
    /// The list of runners as last held, possibly old.
    pub known: Option<ListUpdate>,
    /// The settings of the decisions.
    pub settings: Settings,
    /// The names in them.
    pub names: Names,
    /// The settings of the sockets.
    pub network: Network,
    /// What can be learnt from under the settings.
    pub observability: Observability,
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
        let (given, keys) = read_file(&variable, &file)?;
        if let Some(missing) = before.and_then(|before| missing(before, &keys, "")) {
            return Err(fault(&missing, "is missing".to_owned()));
        }
        let address = |key: &str, name: &str, value: Option<String>| {
            let file_alone = before.is_some() && key == "discovery";
            read_address(key, if file_alone { value } else { variable(name).or(value) })
        };
        let control = match variable("ROUTER_CONTROL").is_some() || given.control.is_some() {
            true => Some(address("control", "ROUTER_CONTROL", given.control.clone())?),
            false => None,
        };
        let accept_fd = variable("ROUTER_ACCEPT_FD").map(read_accept_fd).transpose()?;
        let seed = read_seed(given.seed.as_deref())?;
        let known = given.known.as_deref().map(read_known).transpose()?;
        let info = Info::read(given.settings.get()).map_err(in_settings)?;
        let (network, observability) = (info.network(), info.observability());
        let (settings, names) = info.checked().map_err(in_settings)?;
        let sockets = read_sockets(&given.limits)?;
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
            observability,
        })
    }
}

fn fault(key: &str, problem: String) -> ConfigError {
    ConfigError::Key(key.to_owned(), problem)
}

fn in_settings(problem: ruddervalve_settings::Fault) -> ConfigError {
    fault("settings", problem.to_string())
}

/// The file that `ROUTER_CONFIG` names, and its keys.
fn read_file(
    variable: impl Fn(&str) -> Option<String>,
    file: impl Fn(&str) -> Result<String, String>,
) -> Result<(File, Value), ConfigError> {
    let path = variable("ROUTER_CONFIG")
        .ok_or_else(|| fault("ROUTER_CONFIG", "must name the configuration file".to_owned()))?;
    let text = file(&path).map_err(|error| fault("ROUTER_CONFIG", error))?;
    let mut json = serde_json::Deserializer::from_str(&text);
    let given = serde_path_to_error::deserialize(&mut json)
        .map_err(|error| fault("ROUTER_CONFIG", format!("{path}: {error}")))?;
    Ok((given, serde_json::from_str(&text).unwrap_or_default()))
}

fn read_address(key: &str, value: Option<String>) -> Result<SocketAddr, ConfigError> {
    let value = value.ok_or_else(|| fault(key, "is missing".to_owned()))?;
    value.parse().map_err(|_| fault(key, format!("'{value}' is no address with a port")))
}

fn read_accept_fd(value: String) -> Result<i32, ConfigError> {
    match value.parse() {
        // The first three are the program's own.
        Ok(fd @ 3..) => Ok(fd),
        _ => Err(fault("ROUTER_ACCEPT_FD", format!("'{value}' is no descriptor from 3 on"))),
    }
}

fn read_seed(seed: Option<&str>) -> Result<u64, ConfigError> {
    let Some(seed) = seed else { return Ok(0) };
    let problem = |_| fault("seed", format!("'{seed}' is no hexadecimal number of 64 bits"));
    u64::from_str_radix(seed, 16).map_err(problem)
}

fn read_known(known: &RawValue) -> Result<ListUpdate, ConfigError> {
    read_list(known.get().as_bytes()).map_err(|problem| fault("known", problem))
}

fn read_sockets(limits: &Limits) -> Result<usize, ConfigError> {
    match limits.sockets.unwrap_or(DEFAULT_SOCKETS) {
        sockets @ FEWEST_SOCKETS.. => Ok(sockets),
        sockets => Err(fault("limits.sockets", format!("{sockets} is too few, {FEWEST_SOCKETS} are needed"))),
    }
}

/// A key that a file had and another one has not. In a list of objects each needs what all of them had before; `known`
/// is read at a start only.
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
mod tests;
