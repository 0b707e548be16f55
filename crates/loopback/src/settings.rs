//! The settings file of a process.

use std::net::{IpAddr, SocketAddr};
use std::path::Path;

use serde_json::{Value, json};

use crate::bounds::{Bounds, FaultTolerance};

/// The region of all zones.
const REGION: &str = "loopback";
/// The zones of a system.
pub(crate) const ZONES: [&str; 3] = ["north", "east", "west"];

/// What a machine is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum MachineRole {
    /// It accepts messages and delivers them.
    Edge,
    /// It agrees with others on configuration and members.
    Coordinator,
    /// It keeps shards of the queue.
    Store,
}

impl MachineRole {
    /// The sub-command.
    pub fn command(self) -> &'static str {
        match self {
            Self::Edge => "edge",
            Self::Coordinator => "coordinator",
            Self::Store => "store",
        }
    }

    fn machine_class(self) -> &'static str {
        match self {
            Self::Edge => "edge",
            Self::Coordinator => "core",
            Self::Store => "storage",
        }
    }

    fn serves(self) -> &'static str {
        match self {
            Self::Edge => "edge",
            Self::Coordinator => "control_plane",
            Self::Store => "storage",
        }
    }

    pub(crate) fn has_disk(self) -> bool {
        self != Self::Edge
    }
}

/// A machine of a system.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Machine {
    /// `NodeName`.
    pub name: String,
    /// What it is for.
    pub role: MachineRole,
    /// Its address.
    pub ip: IpAddr,
    /// Its zone.
    pub zone: String,
}

/// What all machines of a system have in common.
#[derive(Debug, Clone)]
pub(crate) struct Common {
    pub front_port: u16,
    pub readiness_port: u16,
    pub control_port: u16,
    pub internal_ports: [u16; 2],
    pub seeds: Vec<SocketAddr>,
    pub bounds: Bounds,
    pub tolerance: FaultTolerance,
    pub list: SocketAddr,
    pub list_rate_per_s: f64,
    pub list_lag_ms: u64,
    pub memory_mb: u64,
}

/// The settings file of a machine.
pub(crate) fn settings(common: &Common, machine: &Machine, folder: &Path, bootstrap: bool) -> Value {
    let role = machine.role;
    let zones: serde_json::Map<String, Value> =
        ZONES.iter().map(|zone| ((*zone).to_owned(), json!(REGION))).collect();
    let seeds: Vec<String> = common.seeds.iter().map(SocketAddr::to_string).collect();
    json!({
        "NodeName": machine.name,
        "Role": role.command(),
        "MachineClass": role.machine_class(),
        "Serves": [role.serves()],
        "Ip": machine.ip.to_string(),
        "Zone": machine.zone,
        "Region": REGION,
        "Zones": zones,
        "ListenAddrs": listen_addresses(common, machine),
        "InternalPortRange": common.internal_ports,
        "SeedNodes": seeds,
        "Bootstrap": bootstrap,
        "CountsForQuorum": role.has_disk(),
        "Limits": {
            "CpuWeight": 0.5, "Cpus": 1, "MemoryMb": common.memory_mb, "MaxOpenFiles": 4096,
            "BandwidthMbps": 1000.0, "DiskMb": if role.has_disk() { 64 } else { 0 },
        },
        "DataDir": role.has_disk().then(|| folder.to_string_lossy().into_owned()),
        "Discovery": "cloud_api",
        "Entrypoint": "vip",
        "HeartbeatMs": common.bounds.liveness_ms / 3,
        "Invariants": ["base", "drain", "config", "cost", "ingest", "recover"],
        "FaultTolerance": common.tolerance,
        "Bounds": common.bounds,
        "CloudProvider": {
            "Address": common.list.to_string(), "RatePerS": common.list_rate_per_s, "Duties": [],
            "MaxLagMs": common.list_lag_ms,
        },
    })
}

fn listen_addresses(common: &Common, machine: &Machine) -> Value {
    let at = |port: u16| SocketAddr::new(machine.ip, port).to_string();
    match machine.role {
        MachineRole::Edge => json!({"Front": at(common.front_port), "Readiness": at(common.readiness_port)}),
        MachineRole::Coordinator => json!({"ControlPlane": at(common.control_port)}),
        MachineRole::Store => json!({}),
    }
}
