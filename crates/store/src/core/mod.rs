//! What a store decides, without I/O and without a clock: it joins its shards with consensus, edges and coordinators.
//!
//! Its owner feeds it what came from disk, peers, edges and coordinators, says how much still waits on the connections of
//! edges, lets it [`StoreCore::settle`], and then carries out all outputs in order. Times are milliseconds of the owner's
//! monotonic clock.

mod bodies;
mod coordinators;
mod edges;
mod placement;
mod shards;

use std::collections::BTreeMap;
use std::net::SocketAddr;

use ruddervalve_configuration::Settings;
use ruddervalve_consensus::{Replica, Role};
use ruddervalve_disk::ProcessState;
use ruddervalve_flow::SendWindows;
use ruddervalve_protocol::{
    Blob, CoordinatorRequest, Directory, GroupId, Incarnation, ReplicaId, ShardMembers, StoreToEdge,
};
use ruddervalve_queue::{ClockSettings, LeaderSettings, SharedPolicy, StateLimits};
use ruddervalve_replication::{Checkpoint, GroupSnapshot, ReplicaHost};
use ruddervalve_runtime::{
    NodeError, ReplicaInput, ReplicaOutput, Replicas, consensus_timing, coordinator_addresses, link_settings,
    retained_log_bytes,
};

use crate::edges::{EdgeConnections, EdgeNumber};
use crate::error::StoreError;
use crate::seeds::Seeds;
use crate::shard::{Shard, ShardSettings};
use bodies::BodyRequests;
use placement::Steady;

const BYTES_PER_MB: u64 = 1_024 * 1_024;
/// Call-backs that may be outstanding at one receiver for each shard: receivers accept few connections.
const CALLBACKS_PER_RECEIVER: u32 = 12;
/// An edge that lives connects again within this part of `LivenessMs` after its connection has ended: the longest pause
/// between its attempts is less than half of it.
const RECONNECTS_PER_LIVENESS: u64 = 8;
/// An owed call-back is kept for so many times as long as an ended message can be asked about.
const CALLBACK_KEEP_TTLS: u64 = 4;

/// What a store wants done, in order.
#[derive(Debug)]
pub enum StoreOutput {
    /// Send to an edge; what cannot be sent is lost with its connection.
    Edge(EdgeNumber, StoreToEdge),
    /// Close an edge's connection: it has a newer one.
    CloseEdge(EdgeNumber),
    /// Tell all coordinators.
    Coordinators(CoordinatorRequest),
    /// Peers or coordinators have changed: see [`StoreCore::peers`] and [`StoreCore::coordinators`].
    Connect,
}

/// The state of a store.
pub struct StoreCore {
    settings: Settings,
    seeds: Seeds,
    replicas: Replicas,
    shards: BTreeMap<GroupId, Shard>,
    edges: EdgeConnections,
    /// What may still be sent to each edge.
    windows: SendWindows<Incarnation>,
    bodies: BodyRequests,
    /// The shard that is polled first.
    first_polled: GroupId,
    directory: Directory,
    policy: Option<SharedPolicy>,
    policy_version: u64,
    /// The newest term in which a coordinator has said that it leads.
    coordinator_term: u64,
    /// What edges were told last.
    leading: Vec<(GroupId, u64)>,
    /// When the members of all shards are told again.
    care_at: u64,
    /// When the next step of a membership is to be tried.
    step_at: u64,
    /// When stores are next asked about shards whose leader is silent.
    inquire_at: u64,
    /// Who holds each led shard, as the coordinators were told last.
    members_told: BTreeMap<GroupId, ShardMembers>,
    /// Shards that are being handed over, until when that may last.
    handing_over: BTreeMap<GroupId, u64>,
    /// Preferred leaders of led shards, and since when they could take over.
    steady: BTreeMap<GroupId, Steady>,
    /// Since when the process is ending.
    ending_since: Option<u64>,
    outputs: Vec<StoreOutput>,
}

fn shard_settings(settings: &Settings) -> ShardSettings {
    let bounds = &settings.bounds;
    let limits = StateLimits {
        // Shard time may jump a little when its leader changes, and never for longer than a machine takes to be in touch.
        status_ttl_ms: bounds.status_ttl_ms.saturating_add(bounds.liveness_ms),
        callback_keep_ms: bounds.status_ttl_ms.saturating_mul(CALLBACK_KEEP_TTLS),
    };
    let leader = LeaderSettings {
        locality: settings.locality(),
        seed: 0,
        visibility_timeout_ms: bounds.visibility_timeout_ms,
        reconnect_ms: (bounds.liveness_ms / RECONNECTS_PER_LIVENESS).max(1),
        liveness_ms: bounds.liveness_ms,
        route_grace_ms: bounds.config_propagation_ms,
        origin_window_ms: bounds.origin_window_ms,
        origin_overshoot: bounds.origin_overshoot,
        callback_timeout_ms: bounds.callback_timeout_ms,
        callbacks_per_receiver: CALLBACKS_PER_RECEIVER,
        limits,
    };
    let clock = ClockSettings { longest_gap_ms: bounds.recovery_ms, wall_skew_ms: bounds.early_slack_ms };
    ShardSettings { leader, clock }
}

impl StoreCore {
    /// A store that goes on with what its disk held. `seed` is drawn anew for each start; `wall` is the time of day.
    ///
    /// # Errors
    /// Something on disk cannot be read.
    pub fn start(
        settings: &Settings,
        recovered: &ProcessState,
        seed: u64,
        now: u64,
        wall: u64,
    ) -> Result<Self, StoreError> {
        let mut seeds = Seeds::new(seed);
        let (timing, retained) = (consensus_timing(settings), retained_log_bytes(settings));
        let replicas = Replicas::restore(recovered, timing, retained, seeds.next(), now);
        let replicas = replicas.map_err(NodeError::Restore)?;
        let mut shards = BTreeMap::new();
        let held = recovered.groups.iter().filter(|(_, state)| !state.is_left());
        for (group, state) in held {
            let last_on_disk = replicas.host.replica(*group).map_or(0, Replica::last_index);
            let mut shard = Shard::new(*group, shard_settings(settings), now, wall, last_on_disk);
            if let Some(snapshot) = &state.snapshot {
                let restored = shard.restore(now, snapshot.index, &snapshot.data);
                restored.map_err(|_| StoreError::Damaged(group.0))?;
            }
            shards.insert(*group, shard);
        }
        Ok(Self {
            settings: settings.clone(),
            seeds,
            replicas,
            shards,
            edges: EdgeConnections::default(),
            windows: SendWindows::new(link_settings(settings).window_bytes),
            bodies: BodyRequests::default(),
            first_polled: GroupId(0),
            directory: Directory::default(),
            policy: None,
            policy_version: 0,
            coordinator_term: 0,
            leading: Vec::new(),
            care_at: 0,
            step_at: u64::MAX,
            inquire_at: 0,
            members_told: BTreeMap::new(),
            handing_over: BTreeMap::new(),
            steady: BTreeMap::new(),
            ending_since: None,
            outputs: Vec::new(),
        })
    }

    /// Other settings are in force.
    pub fn set_settings(&mut self, settings: &Settings) {
        self.settings = settings.clone();
        self.windows.set_limit(link_settings(settings).window_bytes);
        self.outputs.push(StoreOutput::Connect);
    }

    /// The replicas.
    pub fn host(&self) -> &ReplicaHost {
        &self.replicas.host
    }

    /// The shards that this store holds.
    pub fn shards(&self) -> &BTreeMap<GroupId, Shard> {
        &self.shards
    }

    /// The identity of this store's disk.
    pub fn identity(&self) -> ReplicaId {
        self.replicas.identity()
    }

    /// The other stores, and this one.
    pub fn peers(&self) -> Vec<(ReplicaId, SocketAddr)> {
        let stores = self.directory.stores.iter();
        stores.filter_map(|store| Some((store.replica, store.address.parse().ok()?))).collect()
    }

    /// The internal addresses of all coordinators that are known.
    pub fn coordinators(&self) -> Vec<SocketAddr> {
        coordinator_addresses(&self.settings, &self.directory.coordinators)
    }

    /// When to call [`StoreCore::settle`] at the latest.
    pub fn next_wake(&self, now: u64) -> u64 {
        let replicas = self.replicas.host.next_wake().unwrap_or(u64::MAX);
        let shards = self.shards.values().filter_map(|shard| shard.next_wake(now)).min().unwrap_or(u64::MAX);
        replicas.min(shards).min(self.care_at).min(self.step_at).min(self.inquire_at)
    }

    /// Disk or peers have something for the replicas.
    pub fn replica_input(&mut self, now: u64, input: ReplicaInput) {
        if let ReplicaInput::Unreachable(peer) = &input {
            self.peer_lost(*peer);
        }
        self.replicas.handle(now, input);
    }

    /// What disk and peers are to be handed since the last call.
    pub fn replica_outputs(&mut self) -> Vec<ReplicaOutput> {
        self.replicas.outputs()
    }

    /// What is to be done since the last call.
    pub fn outputs(&mut self) -> Vec<StoreOutput> {
        std::mem::take(&mut self.outputs)
    }

    /// The state of all shards for a checkpoint. Call it when all output of the last [`StoreCore::settle`] was carried out.
    pub fn checkpoint(&self) -> Checkpoint {
        let empty = || GroupSnapshot { applied: 0, data: Blob::default() };
        self.replicas.checkpoint(|group| self.shards.get(&group).map_or_else(empty, Shard::snapshot))
    }

    /// The process is to end: it hands its shards over.
    pub fn terminate(&mut self, now: u64) {
        self.ending_since = Some(now);
        let groups: Vec<GroupId> = self.replicas.host.groups().collect();
        for group in groups {
            if let Some(replica) = self.replicas.host.replica_mut(group) {
                replica.transfer_leadership(now, None);
            }
        }
    }

    /// Ended: all shards are handed over, or there was no time left for it.
    pub fn ended(&self, now: u64) -> bool {
        let Some(since) = self.ending_since else { return false };
        let is_led = |group: GroupId| {
            self.replicas.host.replica(group).is_some_and(|replica| replica.role() == Role::Leader)
        };
        let out_of_time = now >= since + self.settings.bounds.grace_period_ms / 2;
        out_of_time || !self.replicas.host.groups().any(is_led)
    }
}
