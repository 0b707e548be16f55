//! Which coordinators are known, and who leads.

use std::net::SocketAddr;

use ruddervalve_protocol::ReplicaId;
use ruddervalve_runtime::seed_addresses;

use super::CoordinatorCore;
use crate::founding::founder_identity;

impl CoordinatorCore {
    /// Coordinators that are known: the seeds, those of the agreed state, and those that a leader told of.
    pub fn coordinators(&self) -> Vec<(ReplicaId, SocketAddr)> {
        let seeds = seed_addresses(&self.settings);
        let mut known: Vec<_> = seeds.into_iter().map(|seed| (founder_identity(seed), seed)).collect();
        let told = self.told.iter().flat_map(|directory| &directory.coordinators);
        for member in self.state.coordinators().iter().chain(told) {
            if let Ok(address) = member.address.parse() {
                known.retain(|(id, _)| *id != member.replica);
                known.push((member.replica, address));
            }
        }
        known
    }

    /// The internal addresses of the other coordinators.
    pub fn others(&self) -> Vec<SocketAddr> {
        let own = self.member.address.parse().ok();
        let mut others: Vec<_> = self.coordinators().iter().map(|(_, address)| *address).collect();
        others.retain(|address| Some(*address) != own);
        others.sort_unstable();
        others.dedup();
        others
    }

    pub(super) fn leader_address(&self) -> Option<String> {
        let leader = self.leader()?;
        let known = self.coordinators();
        known.iter().find(|(id, _)| *id == leader).map(|(_, address)| address.to_string())
    }

    /// The `ControlPlane` address of the leader: the seeds' are known from the settings.
    pub(super) fn leader_control_address(&self) -> Option<String> {
        let leader = self.leader().filter(|leader| *leader != self.member.replica)?;
        let member = self.state.coordinators().iter().find(|member| member.replica == leader);
        let seeds = self.settings.seeds.iter().zip(seed_addresses(&self.settings));
        let seed = || seeds.into_iter().find(|(_, internal)| founder_identity(*internal) == leader);
        member.map(|member| member.control_address.clone()).or_else(|| Some(seed()?.0.to_string()))
    }
}
