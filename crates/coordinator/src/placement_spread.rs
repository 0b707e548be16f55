//! How well replicas are spread over zones and regions, and how much each store holds.

use std::collections::BTreeMap;

use crate::placement::{PlacementRules, StoreView};

/// Which losses beyond those of single stores a shard has to bear.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SpreadRules {
    /// Zones that may be lost at once.
    pub lost_zones: u32,
    /// Regions that may be lost at once.
    pub lost_regions: u32,
}

/// What each store holds.
#[derive(Debug, Clone, Default)]
pub struct Load {
    stores: BTreeMap<String, StoreLoad>,
}

/// What one store holds.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct StoreLoad {
    /// Replicas.
    pub replicas: u32,
    /// Shards that it shall lead.
    pub leaders: u32,
}

/// How crowded the replicas of a shard stand; less is better. Losses that have to be borne come first. Where no region's
/// loss is among them the replicas stand in one region as far as they can: a quorum over regions costs their distance, and
/// copies of every entry over it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Crowding {
    borne_regions: u64,
    borne_zones: u64,
    outside_home: usize,
    zones: u64,
}

/// How many replicas of its even share a store may hold at most for the sake of shards that lie whole in one region.
const MOST_EVEN_SHARES: u32 = 3;

impl Load {
    /// Nothing yet, for each of `stores`.
    pub fn new(stores: &[&StoreView]) -> Self {
        let stores = stores.iter().map(|store| (store.node.clone(), StoreLoad::default()));
        Self { stores: stores.collect() }
    }

    /// What a store holds.
    pub fn of(&self, node: &str) -> StoreLoad {
        self.stores.get(node).copied().unwrap_or_default()
    }

    /// Counts a replica.
    pub fn add_replica(&mut self, node: &str) {
        self.change(node, |load| load.replicas = load.replicas.saturating_add(1));
    }

    /// Takes a replica away.
    pub fn remove_replica(&mut self, node: &str) {
        self.change(node, |load| load.replicas = load.replicas.saturating_sub(1));
    }

    /// Counts a preferred leader.
    pub fn add_leader(&mut self, node: &str) {
        self.change(node, |load| load.leaders = load.leaders.saturating_add(1));
    }

    /// Takes a preferred leader away.
    pub fn remove_leader(&mut self, node: &str) {
        self.change(node, |load| load.leaders = load.leaders.saturating_sub(1));
    }

    fn change(&mut self, node: &str, change: impl FnOnce(&mut StoreLoad)) {
        if let Some(load) = self.stores.get_mut(node) {
            change(load);
        }
    }
}

/// The candidate that makes the members least crowded, then the one that holds least, then the first by name.
pub fn pick_member<'a>(
    candidates: &[&'a StoreView],
    members: &[&StoreView],
    rules: SpreadRules,
    load: &Load,
) -> Option<&'a StoreView> {
    let is_new = |candidate: &&&StoreView| !members.iter().any(|member| member.node == candidate.node);
    let cost = |candidate: &&&StoreView| {
        let with_candidate: Vec<&StoreView> =
            members.iter().copied().chain(std::iter::once(**candidate)).collect();
        (crowding(&with_candidate, rules), load.of(&candidate.node).replicas, candidate.node.clone())
    };
    candidates.iter().filter(is_new).min_by_key(cost).copied()
}

/// The first member of a new shard: in a region that can hold all its replicas as long as the stores there have not too
/// much, then the one that holds least, then the first by name.
pub fn pick_first_member<'a>(
    candidates: &[&'a StoreView],
    rules: &PlacementRules,
    load: &Load,
) -> Option<&'a StoreView> {
    let needed = usize::try_from(rules.replicas()).unwrap_or(usize::MAX);
    let even_share = rules.replicas().saturating_mul(rules.shards_per_store.max(1));
    let in_region = |region: &str| candidates.iter().filter(|store| store.region == region).count();
    let cost = |candidate: &&&StoreView| {
        let held = load.of(&candidate.node).replicas;
        let is_full = held >= even_share.saturating_mul(MOST_EVEN_SHARES);
        let missing = needed.saturating_sub(in_region(&candidate.region));
        let outside = if rules.lost_regions > 0 { 0 } else { missing };
        (is_full, outside, held, candidate.node.clone())
    };
    candidates.iter().min_by_key(cost).copied()
}

/// The candidate among the members that shall lead fewest shards, then the one that holds fewest, then the first by name.
/// Where no region's loss has to be borne it is one in the region of most members, whose quorum waits for no other region.
pub fn pick_leader<'a>(
    candidates: &[&'a StoreView],
    members: &[&StoreView],
    rules: SpreadRules,
    load: &Load,
) -> Option<&'a StoreView> {
    let cost = |candidate: &&&StoreView| {
        let held = load.of(&candidate.node);
        let is_outside = is_outside_home(candidate, members, rules);
        (is_outside, held.leaders, held.replicas, candidate.node.clone())
    };
    candidates.iter().min_by_key(cost).copied()
}

/// Whether a store lies in another region than most members do, and that counts.
pub fn is_outside_home(store: &StoreView, members: &[&StoreView], rules: SpreadRules) -> bool {
    let regions = tally(members.iter().map(|member| member.region.as_str()));
    let most = regions.values().max().copied().unwrap_or_default();
    rules.lost_regions == 0 && regions.get(store.region.as_str()) != Some(&most)
}

/// How crowded these members stand.
pub fn crowding(members: &[&StoreView], rules: SpreadRules) -> Crowding {
    let zones = squares(&tally(members.iter().map(|member| member.zone.as_str())));
    let regions = tally(members.iter().map(|member| member.region.as_str()));
    let at_home = regions.values().max().map_or(0, |most| usize::try_from(*most).unwrap_or(usize::MAX));
    Crowding {
        borne_regions: if rules.lost_regions > 0 { squares(&regions) } else { 0 },
        borne_zones: if rules.lost_zones > 0 { zones } else { 0 },
        outside_home: if rules.lost_regions > 0 { 0 } else { members.len().saturating_sub(at_home) },
        zones,
    }
}

/// Whether a majority of these members remains after the loss of any zones and any regions that have to be borne.
pub fn tolerates_losses(members: &[&StoreView], rules: SpreadRules) -> bool {
    let minority = members.len().saturating_sub(1) / 2;
    let lost_zones = largest(members.iter().map(|member| member.zone.as_str()), rules.lost_zones);
    let lost_regions = largest(members.iter().map(|member| member.region.as_str()), rules.lost_regions);
    lost_zones <= minority && lost_regions <= minority
}

/// The sum of the squares of how often each name occurs: lowest where they are spread most evenly.
fn squares(counts: &BTreeMap<&str, u64>) -> u64 {
    counts.values().map(|count| count * count).sum()
}

/// How often the `most` commonest names occur together.
fn largest<'a>(names: impl Iterator<Item = &'a str>, most: u32) -> usize {
    let mut counts: Vec<u64> = tally(names).into_values().collect();
    counts.sort_unstable_by(|one, other| other.cmp(one));
    let taken = usize::try_from(most).unwrap_or(usize::MAX);
    let sum: u64 = counts.into_iter().take(taken).sum();
    usize::try_from(sum).unwrap_or(usize::MAX)
}

fn tally<'a>(names: impl Iterator<Item = &'a str>) -> BTreeMap<&'a str, u64> {
    let mut counts = BTreeMap::new();
    for name in names {
        *counts.entry(name).or_insert(0) += 1;
    }
    counts
}
