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
/// loss is among them the replicas stand in one region as far as they can, and where no zone's loss is either, in one zone:
/// a quorum over regions or zones costs their distance, and copies of every entry over it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Crowding {
    borne_regions: u64,
    borne_zones: u64,
    outside_home_region: usize,
    outside_home_zone: usize,
    zones: u64,
}

/// How far a store lies from the place where most members of a shard stand, as far as that counts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum HomeDistance {
    /// In that zone, or zones don't count.
    Zone,
    /// In that region, or regions don't count.
    Region,
    /// In another region.
    Beyond,
}

/// How many replicas of its even share a store may hold at most for the sake of shards that lie whole in one place.
const MOST_EVEN_SHARES: u32 = 3;

impl SpreadRules {
    /// Whether replicas shall stand in one region.
    fn gathers_in_region(self) -> bool {
        self.lost_regions == 0
    }

    /// Whether replicas shall stand in one zone.
    fn gathers_in_zone(self) -> bool {
        self.lost_regions == 0 && self.lost_zones == 0
    }
}

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

/// The first member of a new shard: in a region, and within it in a zone, that can hold all its replicas as long as the
/// stores there have not too much, then the one that holds least, then the first by name.
pub fn pick_first_member<'a>(
    candidates: &[&'a StoreView],
    rules: &PlacementRules,
    load: &Load,
) -> Option<&'a StoreView> {
    let spread = rules.spread();
    let even_share = rules.replicas().saturating_mul(rules.shards_per_store.max(1));
    let regions = tally(candidates.iter().map(|store| store.region.as_str()));
    let zones = tally(candidates.iter().map(|store| store.zone.as_str()));
    let missing =
        |there: Option<&u64>| u64::from(rules.replicas()).saturating_sub(there.copied().unwrap_or_default());
    let cost = |candidate: &&&StoreView| {
        let held = load.of(&candidate.node).replicas;
        let is_full = held >= even_share.saturating_mul(MOST_EVEN_SHARES);
        let outside_region =
            if spread.gathers_in_region() { missing(regions.get(candidate.region.as_str())) } else { 0 };
        let outside_zone =
            if spread.gathers_in_zone() { missing(zones.get(candidate.zone.as_str())) } else { 0 };
        (is_full, outside_region, outside_zone, held, candidate.node.clone())
    };
    candidates.iter().min_by_key(cost).copied()
}

/// The candidate among the members that shall lead: the nearest to most members, whose quorum and copies cross least, then
/// the one that leads fewest shards, then the one that holds fewest, then the first by name.
pub fn pick_leader<'a>(
    candidates: &[&'a StoreView],
    members: &[&StoreView],
    rules: SpreadRules,
    load: &Load,
) -> Option<&'a StoreView> {
    let cost = |candidate: &&&StoreView| {
        let held = load.of(&candidate.node);
        let distance = distance_from_home(candidate, members, rules);
        (distance, held.leaders, held.replicas, candidate.node.clone())
    };
    candidates.iter().min_by_key(cost).copied()
}

/// How far a store lies from where most members are.
pub fn distance_from_home(store: &StoreView, members: &[&StoreView], rules: SpreadRules) -> HomeDistance {
    let regions = tally(members.iter().map(|member| member.region.as_str()));
    let zones = tally(members.iter().map(|member| member.zone.as_str()));
    if rules.gathers_in_region() && !is_commonest(&regions, &store.region) {
        HomeDistance::Beyond
    } else if rules.gathers_in_zone() && !is_commonest(&zones, &store.zone) {
        HomeDistance::Region
    } else {
        HomeDistance::Zone
    }
}

/// How crowded these members stand.
pub fn crowding(members: &[&StoreView], rules: SpreadRules) -> Crowding {
    let zones = tally(members.iter().map(|member| member.zone.as_str()));
    let regions = tally(members.iter().map(|member| member.region.as_str()));
    Crowding {
        borne_regions: if rules.lost_regions > 0 { squares(&regions) } else { 0 },
        borne_zones: if rules.lost_zones > 0 { squares(&zones) } else { 0 },
        outside_home_region: if rules.gathers_in_region() { outside_commonest(&regions) } else { 0 },
        outside_home_zone: if rules.gathers_in_zone() { outside_commonest(&zones) } else { 0 },
        zones: squares(&zones),
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

/// Whether no other name occurs more often.
fn is_commonest(counts: &BTreeMap<&str, u64>, name: &str) -> bool {
    counts.get(name) == counts.values().max()
}

/// How many occurrences are of other names than the commonest.
fn outside_commonest(counts: &BTreeMap<&str, u64>) -> usize {
    let most = counts.values().max().copied().unwrap_or_default();
    let all: u64 = counts.values().sum();
    usize::try_from(all.saturating_sub(most)).unwrap_or(usize::MAX)
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
