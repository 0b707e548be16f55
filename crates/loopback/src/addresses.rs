//! Addresses of loopback: each machine gets one of its own, and all of a system share their port numbers.

use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::sync::atomic::{AtomicU8, AtomicU16, Ordering};

use displaydoc::Display;

/// The ports of a system begin here: below those that the kernel gives to outgoing connections.
const FIRST_PORT: u16 = 21_000;
/// Ports that a system takes, with some to spare.
const PORTS: u16 = 32;
/// How many places are tried for the ports of a system.
const PLACES: u16 = 300;
/// The internal ports within those of a system; the others are for clients, platform and operator.
const INTERNAL_OFFSET: u16 = 8;
const INTERNAL_PORTS: u16 = 16;
/// The second byte of addresses: those below are left to others.
const FIRST_NETWORK: u8 = 16;
const NETWORKS: u32 = 200;

/// Systems that this process has made; they must not share addresses.
static SYSTEMS: AtomicU8 = AtomicU8::new(0);

/// no run of free ports was found on loopback: end other systems that run here
#[derive(Debug, Display, Clone, Copy, PartialEq, Eq)]
pub struct NoAddress;

impl std::error::Error for NoAddress {}

/// The addresses of one system.
#[derive(Debug)]
pub struct AddressSpace {
    network: u8,
    system: u8,
    base_port: u16,
    next_host: AtomicU16,
}

impl AddressSpace {
    /// Takes addresses that no other system has.
    ///
    /// # Errors
    /// There are no free ports.
    pub fn take() -> Result<Self, NoAddress> {
        let number = std::process::id() % NETWORKS;
        let network = FIRST_NETWORK.saturating_add(u8::try_from(number).unwrap_or(0));
        let system = SYSTEMS.fetch_add(1, Ordering::Relaxed);
        let probe = IpAddr::V4(Ipv4Addr::new(127, network, system, 1));
        let base_port = (0..PLACES)
            .map(|place| FIRST_PORT + place * PORTS)
            .find(|base| (*base..*base + PORTS).all(|port| is_free(SocketAddr::new(probe, port))))
            .ok_or(NoAddress)?;
        Ok(Self { network, system, base_port, next_host: AtomicU16::new(1) })
    }

    /// The address of another machine.
    pub fn next_ip(&self) -> IpAddr {
        let host = self.next_host.fetch_add(1, Ordering::Relaxed);
        let host = u8::try_from(host % 250).unwrap_or(0).saturating_add(1);
        IpAddr::V4(Ipv4Addr::new(127, self.network, self.system, host))
    }

    /// The port of `Front`.
    pub fn front_port(&self) -> u16 {
        self.base_port
    }

    /// The port of `Readiness`.
    pub fn readiness_port(&self) -> u16 {
        self.base_port + 1
    }

    /// The port of `ControlPlane`.
    pub fn control_port(&self) -> u16 {
        self.base_port + 2
    }

    /// The first and last of `InternalPortRange`.
    pub fn internal_ports(&self) -> [u16; 2] {
        let first = self.base_port + INTERNAL_OFFSET;
        [first, first + INTERNAL_PORTS - 1]
    }
}

fn is_free(address: SocketAddr) -> bool {
    TcpListener::bind(address).is_ok()
}
