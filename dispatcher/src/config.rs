//! Owns what the dispatcher is told at its start: the file named by `ROUTER_CONFIG` and the `ROUTER_*` variables, which
//! win over the file. It reads, checks and fills in defaults, and names the key at fault; on SIGHUP it reads the file
//! again, as whole and as strictly. It must never change what is in force, and decides nothing.

use std::net::SocketAddr;

use ruddervalve::{Names, Settings};
use ruddervalve_settings::{Info, Network};
use serde::Deserialize;
use serde_json::value::RawValue;
use thiserror::Error;

use crate::machine_list::{ListNews, read_news};

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
}

impl Config {
    /// Reads the file and the variables; `variable` gives a variable's value, `file` a file's text.
    pub fn read(
        variable: impl Fn(&str) -> Option<String>,
        file: impl Fn(&str) -> Result<String, String>,
    ) -> Result<Self, ConfigError> {
        Self::read_at(variable, file, false)
    }

    /// Reads the file again. Its `discovery` wins now: the variable is left from the start, the file is what was changed.
    pub fn read_again(
        variable: impl Fn(&str) -> Option<String>,
        file: impl Fn(&str) -> Result<String, String>,
    ) -> Result<Self, ConfigError> {
        Self::read_at(variable, file, true)
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
        again: bool,
    ) -> Result<Self, ConfigError> {
        let fault = |key: &str, problem: String| ConfigError::Key(key.to_owned(), problem);
        let path = variable("ROUTER_CONFIG")
            .ok_or_else(|| fault("ROUTER_CONFIG", "must name the configuration file".to_owned()))?;
        let text = file(&path).map_err(|error| fault("ROUTER_CONFIG", error))?;
        let mut json = serde_json::Deserializer::from_str(&text);
        let given: File = serde_path_to_error::deserialize(&mut json)
            .map_err(|error| fault("ROUTER_CONFIG", format!("{path}: {error}")))?;
        let address = |key: &str, name: &str, value: Option<String>| -> Result<SocketAddr, ConfigError> {
            let value = match again && key == "discovery" {
                true => value.or_else(|| variable(name)),
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
        let network = info.network();
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
            seed,
            sockets,
            known,
            settings,
            names,
            network,
        })
    }
}
