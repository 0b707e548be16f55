//! Where processes listen for each other: each role has its place in `InternalPortRange`, so that the address of a
//! coordinator follows from a seed's.

use std::net::{IpAddr, SocketAddr};

use ruddervalve_configuration::Settings;
use ruddervalve_protocol::CoordinatorMember;

/// The place of a role in `InternalPortRange`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum InternalPort {
    /// Coordinators.
    Coordinator,
    /// Stores.
    Store,
}

impl InternalPort {
    fn offset(self) -> u16 {
        match self {
            Self::Coordinator => 0,
            Self::Store => 1,
        }
    }
}

/// Where a role listens on a machine, by the port range that all machines share.
pub fn internal_address(settings: &Settings, ip: IpAddr, port: InternalPort) -> SocketAddr {
    let ports = settings.internal_ports;
    SocketAddr::new(ip, ports.first.saturating_add(port.offset()).min(ports.last))
}

/// The internal addresses of the coordinators that the settings name.
pub fn seed_addresses(settings: &Settings) -> Vec<SocketAddr> {
    let address = |seed: &SocketAddr| internal_address(settings, seed.ip(), InternalPort::Coordinator);
    settings.seeds.iter().map(address).collect()
}

/// The internal addresses of all coordinators that are known: the seeds, and those that a directory names.
pub fn coordinator_addresses(settings: &Settings, listed: &[CoordinatorMember]) -> Vec<SocketAddr> {
    let mut addresses = seed_addresses(settings);
    addresses.extend(listed.iter().filter_map(|member| member.address.parse::<SocketAddr>().ok()));
    addresses.sort_unstable();
    addresses.dedup();
    addresses
}
