//! The settings file of a process.

mod bounds;
mod parts;
mod serves;

use std::fmt;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};

use displaydoc::Display;
use sonic_rs::Value;

use crate::convert;
use crate::fault::{Fault, FaultKind, FaultList, write_faults};
use crate::json::Document;
use crate::place::Place;
use crate::section::Section;

pub use bounds::Bounds;
pub use parts::{CloudProvider, FaultTolerance, InternalPorts, ListenAddresses, ProcessLimits, ZoneRegion};
pub use serves::Serves;

/// How many heartbeats fall into `LivenessMs`, if the file does not say: one may be lost, and one late, unnoticed.
const HEARTBEATS_PER_LIVENESS: u64 = 4;

/// All that a process is told at its start, and again when the file changes. Fields that a role needs are missing from
/// no settings that were read; of the others, each comment names the default.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// `NodeName`.
    pub node: String,
    /// `Role`; empty if it is not given.
    pub role: String,
    /// What may be called from outside; also decides which fields are needed. Values that are not known are ignored.
    pub serves: Serves,
    /// `Zone`.
    pub zone: String,
    /// All zones with their regions, by name of the zone; empty if they are not given.
    pub zones: Vec<ZoneRegion>,
    /// `Ip`.
    pub ip: IpAddr,
    /// The addresses for what the role serves.
    pub listen: ListenAddresses,
    /// The ports for what processes say to each other.
    pub internal_ports: InternalPorts,
    /// `ControlPlane` addresses to begin with; may be none on a role that serves the control plane itself, or while
    /// nobody does.
    pub seeds: Vec<SocketAddr>,
    /// Whether the whole system starts for the first time; false if it is not given.
    pub bootstrap: bool,
    /// Whether `FaultTolerance` counts this machine; false if it is not given.
    pub counts_for_quorum: bool,
    /// What the process may use.
    pub limits: ProcessLimits,
    /// The disk folder; needed by roles that serve the control plane or storage.
    pub data_dir: Option<PathBuf>,
    /// How often processes tell each other that they are alive, in milliseconds; a quarter of `LivenessMs` if it is not
    /// given or 0.
    pub heartbeat_ms: u64,
    /// What may be lost at once.
    pub fault_tolerance: FaultTolerance,
    /// The figures of the rules.
    pub bounds: Bounds,
    /// Where the platform keeps its list of runners; needed by roles that serve the control plane.
    pub cloud_provider: Option<CloudProvider>,
}

/// Why settings could not be had.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum SettingsError {
    /// the settings file {path} cannot be read ({reason}): check the path and its rights
    Unreadable {
        /// The path.
        path: String,
        /// What the system said.
        reason: String,
    },
    #[doc = "the settings are faulty, mend each of these fields:\n{0}"]
    Faulty(SettingsFaults),
}

impl std::error::Error for SettingsError {}

/// All that is wrong with settings, one fault a line when displayed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SettingsFaults {
    /// All faults, at least one.
    pub faults: Vec<Fault>,
}

impl fmt::Display for SettingsFaults {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write_faults(formatter, &self.faults, 0)
    }
}

impl std::error::Error for SettingsFaults {}

impl Settings {
    /// Reads the file at `path`. This is the only I/O of the crate.
    ///
    /// # Errors
    /// [`SettingsError::Unreadable`] where the file cannot be had, [`SettingsError::Faulty`] with all faults otherwise.
    pub fn read(path: &Path) -> Result<Self, SettingsError> {
        let bytes = std::fs::read(path).map_err(|error| SettingsError::Unreadable {
            path: path.display().to_string(),
            reason: error.to_string(),
        })?;
        Self::parse(&bytes).map_err(SettingsError::Faulty)
    }

    /// Reads settings from the bytes of a file.
    ///
    /// # Errors
    /// All faults at once: not readable in full, fields that the role needs missing, fields of the wrong type or range,
    /// also those that the role would not need. Never panics.
    pub fn parse(bytes: &[u8]) -> Result<Self, SettingsFaults> {
        let mut faults = FaultList::new(usize::MAX);
        match Document::read(bytes) {
            Ok(document) => {
                let settings = read_settings(document.value(), &mut faults);
                match settings {
                    Some(settings) if faults.is_empty() => Ok(settings),
                    _ => Err(SettingsFaults { faults: faults.into_parts().faults }),
                }
            }
            Err(reason) => {
                faults.add(Place::ROOT, FaultKind::Unreadable(reason));
                Err(SettingsFaults { faults: faults.into_parts().faults })
            }
        }
    }

    /// The region of a zone, where the settings name it.
    pub fn region(&self, zone: &str) -> Option<&str> {
        region_of(&self.zones, zone)
    }
}

/// The region of a zone among those that are known.
pub(crate) fn region_of<'a>(zones: &'a [ZoneRegion], zone: &str) -> Option<&'a str> {
    zones.iter().find(|known| known.zone == zone).map(|known| known.region.as_str())
}

/// Reads all fields. Stand-ins for needed fields get nowhere: each has a fault noted beside it.
fn read_settings(value: &Value, faults: &mut FaultList) -> Option<Settings> {
    let root = Section::new(value, Place::ROOT, faults)?;
    let serves = serves::read(root, faults);
    let has_disk = serves.intersects(Serves::STORAGE | Serves::CONTROL_PLANE);
    let node = root.required("NodeName", convert::name, faults);
    let role = root.optional("Role", convert::text, faults);
    let zone = root.required("Zone", convert::name, faults);
    let zones = parts::zones(root, faults);
    let ip = root.required("Ip", convert::ip_number, faults);
    let listen = ListenAddresses::read(root, serves, faults);
    let internal_ports = InternalPorts::read(root, faults);
    let seeds = read_seeds(root, serves, faults);
    let bootstrap = root.optional("Bootstrap", convert::flag, faults);
    let counts_for_quorum = root.optional("CountsForQuorum", convert::flag, faults);
    let limits = ProcessLimits::read(root, serves, faults);
    let data_dir = root.needed_if(has_disk, "DataDir", convert::name, faults);
    let heartbeat_ms = root.optional("HeartbeatMs", convert::milliseconds, faults);
    let fault_tolerance = FaultTolerance::read(root, faults);
    let bounds = Bounds::read(root, serves, faults);
    let cloud_provider = CloudProvider::read(root, serves, faults);
    let heartbeat_ms = heartbeat_ms.filter(|interval| *interval > 0);
    Some(Settings {
        node: node.unwrap_or_default(),
        role: role.unwrap_or_default(),
        serves,
        zone: zone.unwrap_or_default(),
        zones,
        ip: ip.unwrap_or(IpAddr::V4(Ipv4Addr::UNSPECIFIED)),
        listen,
        internal_ports,
        seeds,
        bootstrap: bootstrap.unwrap_or(false),
        counts_for_quorum: counts_for_quorum.unwrap_or(false),
        limits,
        data_dir: data_dir.map(PathBuf::from),
        heartbeat_ms: heartbeat_ms.unwrap_or((bounds.liveness_ms / HEARTBEATS_PER_LIVENESS).max(1)),
        fault_tolerance,
        bounds,
        cloud_provider,
    })
}

fn read_seeds(root: Section<'_>, serves: Serves, faults: &mut FaultList) -> Vec<SocketAddr> {
    let is_needed = !serves.contains(Serves::CONTROL_PLANE);
    let Some(array) = root.array(is_needed, "SeedNodes", faults) else { return Vec::new() };
    let root_place = root.place();
    let array_place = root_place.key("SeedNodes");
    let mut seeds = Vec::new();
    for (index, value) in array.iter().enumerate() {
        match convert::address(value) {
            Ok(seed) => seeds.push(seed),
            Err(kind) => faults.add(array_place.index(index), kind),
        }
    }
    seeds
}

/// An object field of the root; a fault where it is needed and absent, or no object.
fn subsection<'a>(
    root: &'a Section<'a>,
    root_place: &'a Place<'a>,
    is_needed: bool,
    key: &'static str,
    faults: &mut FaultList,
) -> Option<Section<'a>> {
    match root.find(key) {
        Some(value) => Section::new(value, root_place.key(key), faults),
        None => {
            if is_needed {
                faults.add(root_place.key(key), FaultKind::Missing { wanted: "an object" });
            }
            None
        }
    }
}
