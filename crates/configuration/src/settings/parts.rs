//! The smaller sections of the settings.

use std::net::SocketAddr;
use std::ops::RangeInclusive;

use sonic_rs::{JsonContainerTrait, JsonValueTrait, Value};

use super::{Serves, subsection};
use crate::FaultKind;
use crate::convert;
use crate::fault::FaultList;
use crate::section::Section;

/// Parts of a processor core, if the file does not say: a whole one.
const DEFAULT_CPU_WEIGHT: f64 = 1.0;
/// Cores, if the file does not say.
const DEFAULT_CPUS: u32 = 1;
/// Descriptors, if the file does not say: what systems commonly grant.
const DEFAULT_MAX_OPEN_FILES: u64 = 1_024;
/// Megabits a second, if the file does not say: a slow link of today.
const DEFAULT_BANDWIDTH_MBPS: f64 = 100.0;
/// Machines that may be lost at once, if the file does not say.
const DEFAULT_LOST_NODES: u32 = 1;
/// Calls a second to the platform, if the file does not say.
const DEFAULT_RATE_PER_S: f64 = 1.0;

const PORT_PAIR: &str = "two ports, the lower one first, such as [7780, 7795]";

/// A zone and the region that it lies in.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ZoneRegion {
    /// The zone.
    pub zone: String,
    /// Its region.
    pub region: String,
}

/// Addresses for callers from outside; each is there where the role serves it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct ListenAddresses {
    /// Where clients connect; on roles that serve the edge.
    pub front: Option<SocketAddr>,
    /// Where the platform asks whether the process is ready; on roles that serve the edge.
    pub readiness: Option<SocketAddr>,
    /// Where the operator connects; on roles that serve the control plane.
    pub control_plane: Option<SocketAddr>,
}

/// The ports for what processes say to each other, both ends included.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct InternalPorts {
    /// The lowest.
    pub first: u16,
    /// The highest.
    pub last: u16,
}

/// What a process may use.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ProcessLimits {
    /// Its part of a core; 1 if it is not given.
    pub cpu_weight: f64,
    /// Cores of the machine; 1 if it is not given.
    pub cpus: u32,
    /// Memory in megabytes, over which it is killed; needed by every role that serves something, else 0.
    pub memory_mb: u64,
    /// Descriptors; 1,024 if it is not given.
    pub max_open_files: u64,
    /// The machine's link in megabits a second; 100 if it is not given.
    pub bandwidth_mbps: f64,
    /// Its disk in megabytes; needed by roles that serve the control plane or storage, else 0: no disk.
    pub disk_mb: u64,
}

/// What the system may lose at once.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FaultTolerance {
    /// Machines that count for the quorum; 1 if it is not given.
    pub nodes: u32,
    /// Zones; 0 if it is not given.
    pub zones: u32,
    /// Regions; 0 if it is not given.
    pub regions: u32,
}

/// The platform's list of runners.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct CloudProvider {
    /// Where it is asked.
    pub address: SocketAddr,
    /// Calls a second that it takes from all processes together; 1 if it is not given.
    pub rate_per_s: f64,
    /// How far the list lags, in milliseconds; 0 if it is not given.
    pub max_lag_ms: u64,
}

impl ListenAddresses {
    pub(super) fn read(root: Section<'_>, serves: Serves, faults: &mut FaultList) -> Self {
        let is_edge = serves.contains(Serves::EDGE);
        let is_control_plane = serves.contains(Serves::CONTROL_PLANE);
        let root_place = root.place();
        let is_needed = is_edge || is_control_plane;
        let Some(section) = subsection(&root, &root_place, is_needed, "ListenAddrs", faults) else {
            return Self::default();
        };
        Self {
            front: section.needed_if(is_edge, "Front", convert::address, faults),
            readiness: section.needed_if(is_edge, "Readiness", convert::address, faults),
            control_plane: section.needed_if(is_control_plane, "ControlPlane", convert::address, faults),
        }
    }
}

impl InternalPorts {
    /// All of them, in order.
    pub fn range(&self) -> RangeInclusive<u16> {
        self.first..=self.last
    }

    pub(super) fn read(root: Section<'_>, faults: &mut FaultList) -> Self {
        root.required("InternalPortRange", port_pair, faults).unwrap_or(Self { first: 0, last: 0 })
    }
}

impl ProcessLimits {
    pub(super) fn read(root: Section<'_>, serves: Serves, faults: &mut FaultList) -> Self {
        let is_serving = !serves.is_empty();
        let has_disk = serves.intersects(Serves::STORAGE | Serves::CONTROL_PLANE);
        let root_place = root.place();
        let Some(section) = subsection(&root, &root_place, is_serving, "Limits", faults) else {
            return Self::default();
        };
        let default = Self::default();
        let cpu_weight = section.optional("CpuWeight", convert::positive_number, faults);
        let cpus = section.optional("Cpus", convert::whole_32, faults);
        let memory_mb = section.needed_if(is_serving, "MemoryMb", convert::positive_whole, faults);
        let max_open_files = section.optional("MaxOpenFiles", convert::positive_whole, faults);
        let bandwidth_mbps = section.optional("BandwidthMbps", convert::positive_number, faults);
        let disk_mb = section.needed_if(has_disk, "DiskMb", convert::whole, faults);
        Self {
            cpu_weight: cpu_weight.unwrap_or(default.cpu_weight),
            cpus: cpus.unwrap_or(default.cpus),
            memory_mb: memory_mb.unwrap_or(default.memory_mb),
            max_open_files: max_open_files.unwrap_or(default.max_open_files),
            bandwidth_mbps: bandwidth_mbps.unwrap_or(default.bandwidth_mbps),
            disk_mb: disk_mb.unwrap_or(default.disk_mb),
        }
    }
}

impl Default for ProcessLimits {
    fn default() -> Self {
        Self {
            cpu_weight: DEFAULT_CPU_WEIGHT,
            cpus: DEFAULT_CPUS,
            memory_mb: 0,
            max_open_files: DEFAULT_MAX_OPEN_FILES,
            bandwidth_mbps: DEFAULT_BANDWIDTH_MBPS,
            disk_mb: 0,
        }
    }
}

impl FaultTolerance {
    pub(super) fn read(root: Section<'_>, faults: &mut FaultList) -> Self {
        let root_place = root.place();
        let Some(section) = subsection(&root, &root_place, false, "FaultTolerance", faults) else {
            return Self::default();
        };
        let nodes = section.optional("Nodes", convert::whole_32, faults);
        let zones = section.optional("Zones", convert::whole_32, faults);
        let regions = section.optional("Regions", convert::whole_32, faults);
        Self {
            nodes: nodes.unwrap_or(DEFAULT_LOST_NODES),
            zones: zones.unwrap_or(0),
            regions: regions.unwrap_or(0),
        }
    }
}

impl Default for FaultTolerance {
    fn default() -> Self {
        Self { nodes: DEFAULT_LOST_NODES, zones: 0, regions: 0 }
    }
}

impl CloudProvider {
    pub(super) fn read(root: Section<'_>, serves: Serves, faults: &mut FaultList) -> Option<Self> {
        let is_needed = serves.contains(Serves::CONTROL_PLANE);
        let root_place = root.place();
        let section = subsection(&root, &root_place, is_needed, "CloudProvider", faults)?;
        let address = section.needed_if(is_needed, "Address", convert::address, faults);
        let rate_per_s = section.optional("RatePerS", convert::positive_number, faults);
        let max_lag_ms = section.optional("MaxLagMs", convert::milliseconds, faults);
        Some(Self {
            address: address?,
            rate_per_s: rate_per_s.unwrap_or(DEFAULT_RATE_PER_S),
            max_lag_ms: max_lag_ms.unwrap_or(0),
        })
    }
}

/// Reads `Zones`, sorted by name; it may be absent.
pub(super) fn zones(root: Section<'_>, faults: &mut FaultList) -> Vec<ZoneRegion> {
    let root_place = root.place();
    let Some(section) = subsection(&root, &root_place, false, "Zones", faults) else { return Vec::new() };
    let Some(object) = section.value().as_object() else { return Vec::new() };
    let section_place = section.place();
    let mut zones = Vec::with_capacity(object.len());
    for (zone, value) in object.iter() {
        match value.as_str() {
            Some(region) => zones.push(ZoneRegion { zone: zone.to_owned(), region: region.to_owned() }),
            None => faults.add(section_place.key(zone), FaultKind::WrongType { wanted: "a text" }),
        }
    }
    zones.sort_by(|one, other| one.zone.cmp(&other.zone));
    zones
}

fn port_pair(value: &Value) -> Result<InternalPorts, FaultKind> {
    let wrong = FaultKind::WrongType { wanted: PORT_PAIR };
    let array = value.as_array().ok_or(wrong.clone())?;
    let [first, last] = array.as_slice() else { return Err(wrong) };
    let ports = InternalPorts { first: port(first)?, last: port(last)? };
    if ports.first > ports.last {
        return Err(FaultKind::PortsReversed);
    }
    Ok(ports)
}

fn port(value: &Value) -> Result<u16, FaultKind> {
    let number = value.as_u64().ok_or(FaultKind::WrongType { wanted: PORT_PAIR })?;
    match u16::try_from(number) {
        Ok(port) if port > 0 => Ok(port),
        _ => Err(FaultKind::OutOfRange { wanted: PORT_PAIR }),
    }
}
