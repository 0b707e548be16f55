//! Which coordinators are known, and who leads.

use std::net::SocketAddr;

use ruddervalve_disk::{ProcessState, StoredEntry};
use ruddervalve_protocol::{CoordinatorMember, GroupId, ReplicaId};
use ruddervalve_runtime::{link_settings, seed_addresses};

use super::{CoordinatorCore, CoordinatorOutput};
use crate::founding::founder_identity;
use crate::state_command::ControlCommand;

impl CoordinatorCore {
    /// Coordinators that are known: the seeds, those that the log names or that have connected, those that a leader told
    /// of, and those of the agreed state.
    pub fn coordinators(&self) -> Vec<(ReplicaId, SocketAddr)> {
        let seeds = seed_addresses(&self.settings);
        let mut known: Vec<_> = seeds.into_iter().map(|seed| (founder_identity(seed), seed)).collect();
        for member in self.heard_of.iter().chain(self.known_members()) {
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

    /// Another coordinator has said who it is.
    pub(super) fn hear_of(&mut self, member: &CoordinatorMember) {
        if !self.heard_of.contains(member) {
            self.heard_of.retain(|known| known.node != member.node);
            self.heard_of.push(member.clone());
            self.outputs.push(CoordinatorOutput::Connect);
        }
    }

    /// Where processes are to look for the leader: its address, or, where it is not known, those of all others. Whether
    /// this coordinator belongs to the control group does not matter: processes that start know the seeds alone, and these
    /// may all have given their places to others.
    pub(super) fn leader_candidates(&self, now: u64) -> Vec<String> {
        let candidates = match self.other_leader(now) {
            Some(leader) => vec![leader],
            None => self.others(),
        };
        candidates.into_iter().map(|address| address.to_string()).collect()
    }

    /// The internal address of the leader, if that is another: as consensus heard of it lately, or, where this coordinator
    /// has no vote, as the leader told lately. A voter that hears of no leader names none, as whoever told it something is
    /// lost: a caller that is sent to a lost machine waits there in vain.
    fn other_leader(&self, now: u64) -> Option<SocketAddr> {
        let own = self.member.address.parse().ok();
        let address = match self.recent_leader(now) {
            Some(leader) => self.address_of(leader),
            None => self.told_leader(now),
        };
        address.filter(|address| Some(*address) != own)
    }

    /// The `ControlPlane` address of the leader, if that is another and known.
    pub(super) fn leader_control_address(&self, now: u64) -> Option<String> {
        let address = self.other_leader(now)?;
        let members = self.known_members();
        let told = members.filter(|member| member.address.parse() == Ok(address)).last();
        told.map(|member| member.control_address.clone()).or_else(|| self.seed_at(address))
    }

    fn recent_leader(&self, now: u64) -> Option<ReplicaId> {
        self.replicas.host.replica(GroupId::CONTROL)?.recent_leader(now)
    }

    fn told_leader(&self, now: u64) -> Option<SocketAddr> {
        let replica = self.replicas.host.replica(GroupId::CONTROL);
        if replica.is_some_and(|replica| replica.membership().is_voter(self.member.replica)) {
            return None;
        }
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

/// The coordinators that the entries on disk name, whether these are known to be committed or not. After a loss of all
/// power nothing is applied before a leader is elected, and none can be elected among replicas that don't find each other.
pub(super) fn logged_members(recovered: &ProcessState) -> Vec<CoordinatorMember> {
    let entries = recovered.groups.get(&GroupId::CONTROL).into_iter().flat_map(|group| &group.entries);
    let member = |entry: &StoredEntry| match ControlCommand::from_bytes(entry.payload.as_slice()) {
        Ok(ControlCommand::RegisterCoordinator(member)) => Some(member),
        _ => None,
    };
    entries.filter_map(member).collect()
}
