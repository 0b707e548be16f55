//! Which stores hold which shards. Pure: the same input gives the same placement.

use displaydoc::Display;
use ruddervalve_protocol::{GroupId, ReplicaId, ShardPlacement};

use crate::placement_spread::{
    Load, SpreadRules, pick_first_member, pick_leader, pick_member, tolerates_losses,
};

/// A store as the placement sees it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoreView {
    /// Its `NodeName`.
    pub node: String,
    /// Its disk.
    pub replica: ReplicaId,
    /// Its zone.
    pub zone: String,
    /// The region of its zone; empty where it is not known.
    pub region: String,
    /// Whether it is being emptied.
    pub is_retiring: bool,
    /// For how long it has been known to be dead, in milliseconds; 0 while it is alive.
    pub dead_for_ms: u64,
}

/// What a placement has to keep to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PlacementRules {
    /// Stores that may be lost at once.
    pub lost_nodes: u32,
    /// Zones that may be lost at once.
    pub lost_zones: u32,
    /// Regions that may be lost at once.
    pub lost_regions: u32,
    /// Shards for each store that is there at the founding. More spread the load more evenly, and cost more groups.
    pub shards_per_store: u32,
    /// How long a store has to be dead to give its places to a newcomer, in milliseconds.
    pub away_after_ms: u64,
    /// How long a store has to be dead to be taken for gone for good, in milliseconds.
    pub gone_after_ms: u64,
    /// How many shards may be on the move at the same time; 0 keeps all where they are, also for retirements. A newcomer
    /// takes all places of a store that is away at once.
    pub moves_at_once: u32,
}

/// {there} stores are there and {needed} are needed: start more stores
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub struct TooFewStores {
    /// How many may be given replicas.
    pub there: u32,
    /// How many are needed.
    pub needed: u32,
}

impl std::error::Error for TooFewStores {}

/// Why a store may not be emptied.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum RetireFault {
    /// the store is not known: name one that the system has
    Unknown,
    /// {left} stores would remain and {needed} are needed: add a store before
    TooFewLeft {
        /// How many would remain.
        left: u32,
        /// How many have to.
        needed: u32,
    },
    /// the stores that would remain lie in too few zones or regions to bear the loss of one: add a store elsewhere before
    SpreadLost,
}

impl std::error::Error for RetireFault {}

impl StoreView {
    /// Whether it may be given replicas.
    pub fn is_eligible(&self) -> bool {
        !self.is_retiring && self.dead_for_ms == 0
    }
}

impl PlacementRules {
    /// How many replicas each shard has: a majority remains after any loss that has to be borne.
    pub fn replicas(&self) -> u32 {
        let losses = self.lost_nodes.max(self.lost_zones).max(self.lost_regions);
        losses.saturating_mul(2).saturating_add(1)
    }

    /// Whether a store is away for so long that a newcomer takes its place.
    pub fn is_away(&self, store: &StoreView) -> bool {
        store.dead_for_ms > 0 && store.dead_for_ms >= self.away_after_ms
    }

    /// Whether a store has to be taken for gone for good.
    pub fn is_gone(&self, store: &StoreView) -> bool {
        store.dead_for_ms > 0 && store.dead_for_ms >= self.gone_after_ms
    }

    pub(crate) fn spread(&self) -> SpreadRules {
        SpreadRules { lost_zones: self.lost_zones, lost_regions: self.lost_regions }
    }
}

/// The first placement, over the stores that may be given replicas: spread over zones first, then balanced in replicas
/// and in preferred leaders. The groups count from 1.
///
/// # Errors
/// [`TooFewStores`] where fewer than [`PlacementRules::replicas`] may be given replicas.
pub fn found(stores: &[StoreView], rules: &PlacementRules) -> Result<Vec<ShardPlacement>, TooFewStores> {
    let eligible: Vec<&StoreView> = stores.iter().filter(|store| store.is_eligible()).collect();
    let there = count(eligible.len());
    let needed = rules.replicas();
    if there < needed {
        return Err(TooFewStores { there, needed });
    }
    let shard_count = rules.shards_per_store.max(1).saturating_mul(there);
    let mut load = Load::new(&eligible);
    let shards = (1..=shard_count).map(|group| found_shard(GroupId(group), &eligible, rules, &mut load));
    Ok(shards.collect())
}

/// Whether a store may be emptied: enough others remain that are neither retiring nor gone, in as many zones and regions
/// as have to be borne the loss of.
///
/// # Errors
/// [`RetireFault`] says what stands against it.
pub fn check_retire(stores: &[StoreView], rules: &PlacementRules, node: &str) -> Result<(), RetireFault> {
    if !stores.iter().any(|store| store.node == node) {
        return Err(RetireFault::Unknown);
    }
    let staying = |store: &&StoreView| !store.is_retiring && !rules.is_gone(store);
    let before: Vec<&StoreView> = stores.iter().filter(staying).collect();
    let after: Vec<&StoreView> = before.iter().copied().filter(|store| store.node != node).collect();
    let needed = rules.replicas();
    let left = count(after.len());
    if left < needed {
        return Err(RetireFault::TooFewLeft { left, needed });
    }
    let is_borne = |stores: &[&StoreView]| {
        tolerates_losses(&pick_members(stores, rules, &Load::new(stores)), rules.spread())
    };
    if is_borne(&before) && !is_borne(&after) {
        return Err(RetireFault::SpreadLost);
    }
    Ok(())
}

fn found_shard(
    group: GroupId,
    eligible: &[&StoreView],
    rules: &PlacementRules,
    load: &mut Load,
) -> ShardPlacement {
    let members = pick_members(eligible, rules, load);
    for member in &members {
        load.add_replica(&member.node);
    }
    let leader = pick_leader(&members, &members, rules.spread(), load);
    if let Some(leader) = leader {
        load.add_leader(&leader.node);
    }
    let founders = members.iter().map(|member| member.replica).collect();
    let names = members.iter().map(|member| member.node.clone()).collect();
    ShardPlacement { group, founders, wanted: leader_first(names, leader.map(|leader| leader.node.as_str())) }
}

/// The members of a new shard.
fn pick_members<'a>(stores: &[&'a StoreView], rules: &PlacementRules, load: &Load) -> Vec<&'a StoreView> {
    let mut members = Vec::new();
    members.extend(pick_first_member(stores, rules, load));
    for _ in 1..rules.replicas() {
        members.extend(pick_member(stores, &members, rules.spread(), load));
    }
    members
}

/// The names with the leader's at the start, the others in their order.
pub(crate) fn leader_first(mut names: Vec<String>, leader: Option<&str>) -> Vec<String> {
    if let Some(index) = leader.and_then(|leader| names.iter().position(|name| name == leader)) {
        let name = names.remove(index);
        names.insert(0, name);
    }
    names
}

fn count(length: usize) -> u32 {
    u32::try_from(length).unwrap_or(u32::MAX)
}
