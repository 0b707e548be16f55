//! Which machines a system has.

use std::net::SocketAddr;

use crate::addresses::AddressSpace;
use crate::settings::{Common, Machine, MachineRole, ZONES};
use crate::system::SystemPlan;

/// How many seeds a settings file names at most.
const SEEDS: usize = 3;

/// The machines of a system, each with an address of its own.
pub(crate) fn machines(plan: &SystemPlan, addresses: &AddressSpace) -> Vec<Machine> {
    let roles = [
        (MachineRole::Coordinator, plan.coordinators),
        (MachineRole::Store, plan.stores),
        (MachineRole::Edge, plan.edges),
    ];
    let mut machines = Vec::new();
    for (role, count) in roles {
        for (number, zone) in (1..=count).zip(ZONES.iter().cycle()) {
            let name = format!("{}-{number}", role.command());
            machines.push(Machine { name, role, ip: addresses.next_ip(), zone: (*zone).to_owned() });
        }
    }
    machines
}

/// What their settings files have in common; `list` is where the platform's list is served.
pub(crate) fn common(
    plan: &SystemPlan,
    addresses: &AddressSpace,
    machines: &[Machine],
    list: SocketAddr,
) -> Common {
    let coordinators = machines.iter().filter(|machine| machine.role == MachineRole::Coordinator);
    let seeds = coordinators.map(|machine| SocketAddr::new(machine.ip, addresses.control_port()));
    Common {
        front_port: addresses.front_port(),
        readiness_port: addresses.readiness_port(),
        control_port: addresses.control_port(),
        internal_ports: addresses.internal_ports(),
        seeds: seeds.take(SEEDS).collect(),
        bounds: plan.bounds.clone(),
        tolerance: plan.tolerance,
        list,
        list_rate_per_s: plan.list.rate_per_s,
        list_lag_ms: u64::try_from(plan.list.lag.as_millis()).unwrap_or(u64::MAX),
        memory_mb: plan.memory_mb,
    }
}
