//! Who founds the control group: at the first start of the whole system the seeds alone, under identities that follow from
//! their addresses, so that all of them agree without having spoken. Nobody else ever founds one, and a coordinator
//! without a disk that comes later is drawn an identity and joins.

use std::net::SocketAddr;

use ruddervalve_configuration::Settings;
use ruddervalve_consensus::Membership;
use ruddervalve_protocol::ReplicaId;
use ruddervalve_runtime::{InternalPort, internal_address, seed_addresses};

/// FNV-1a's offset basis and prime for 64 bits.
const FNV_BASIS: u64 = 0xCBF2_9CE4_8422_2325;
const FNV_PRIME: u64 = 0x0100_0000_01B3;

/// The identity of the founder at an internal address.
pub fn founder_identity(address: SocketAddr) -> ReplicaId {
    let text = address.to_string();
    let fold = |hash: u64, byte: u8| (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME);
    ReplicaId(text.bytes().fold(FNV_BASIS, fold))
}

/// The founders, if this process is one of them and the whole system starts for the first time.
pub fn founders(settings: &Settings) -> Option<Membership> {
    let own = internal_address(settings, settings.ip, InternalPort::Coordinator);
    let seeds = seed_addresses(settings);
    let founds = settings.bootstrap && seeds.contains(&own);
    let voters = seeds.into_iter().map(founder_identity).collect();
    founds.then_some(Membership { voters, learners: Vec::new() })
}
