//! Which coordinators are known, and who leads.

use std::net::SocketAddr;

use ruddervalve_protocol::{CoordinatorMember, ReplicaId};
use ruddervalve_runtime::{link_settings, seed_addresses};

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
        self.address_of(self.leader()?).map(|address| address.to_string())
    }

    /// The `ControlPlane` address of the leader, if that is another: as consensus knows it, or, where this coordinator is no
    /// member of the group, as the leader told lately.
    pub(super) fn leader_control_address(&self, now: u64) -> Option<String> {
        let own = self.member.address.parse().ok();
        let address = match self.leader() {
            Some(leader) => self.address_of(leader)?,
            None => self.told_leader(now)?,
        };
        if Some(address) == own {
            return None;
        }
        let members = self.known_members();
        let told = members.filter(|member| member.address.parse() == Ok(address)).last();
        told.map(|member| member.control_address.clone()).or_else(|| self.seed_at(address))
    }

    fn told_leader(&self, now: u64) -> Option<SocketAddr> {
        let (address, at) = self.told_leader?;
        let is_fresh = now < at.saturating_add(link_settings(&self.settings).silence_ms);
        is_fresh.then_some(address)
    }

    fn address_of(&self, id: ReplicaId) -> Option<SocketAddr> {
        self.coordinators().iter().find(|(known, _)| *known == id).map(|(_, address)| *address)
    }

    /// The `ControlPlane` address of the seed at an internal address: the seeds' are known from the settings.
    fn seed_at(&self, address: SocketAddr) -> Option<String> {
        let mut seeds = self.settings.seeds.iter().zip(seed_addresses(&self.settings));
        let (control, _) = seeds.find(|(_, internal)| *internal == address)?;
        Some(control.to_string())
    }

    /// The coordinators that the leader told of, and then those of the agreed state.
    fn known_members(&self) -> impl Iterator<Item = &CoordinatorMember> {
        let told = self.told.iter().flat_map(|directory| &directory.coordinators);
        told.chain(self.state.coordinators())
    }
}
