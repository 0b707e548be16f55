//! What tests of placements in zones and regions share.

use std::collections::BTreeSet;

use ruddervalve_coordinator::placement::{PlacementRules, StoreView};
use ruddervalve_coordinator::placement_improve::improve;
use ruddervalve_protocol::{ReplicaId, ShardPlacement};

/// How long a store is dead when a newcomer takes its places, in milliseconds.
pub const AWAY_AFTER_MS: u64 = 1_000;
/// How long a store is dead when it is taken for gone, in milliseconds.
pub const GONE_AFTER_MS: u64 = 30_000;
/// More steps than any placement here takes to settle.
const MOST_STEPS: usize = 800;

/// Only the loss of stores has to be borne.
pub fn rules(lost_nodes: u32) -> PlacementRules {
    PlacementRules {
        lost_nodes,
        lost_zones: 0,
        lost_regions: 0,
        shards_per_store: 1,
        away_after_ms: AWAY_AFTER_MS,
        gone_after_ms: GONE_AFTER_MS,
        moves_at_once: 1,
    }
}

/// A store that is alive.
pub fn store(number: u64, region: &str, zone: &str) -> StoreView {
    StoreView {
        node: format!("s{number:02}"),
        replica: ReplicaId(number),
        zone: zone.to_owned(),
        region: region.to_owned(),
        is_retiring: false,
        dead_for_ms: 0,
    }
}

/// Improves a placement until nothing changes, each step being carried out before the next.
pub fn settled(
    stores: &[StoreView],
    rules: &PlacementRules,
    mut shards: Vec<ShardPlacement>,
) -> Vec<ShardPlacement> {
    for _ in 0..MOST_STEPS {
        match improve(stores, rules, &shards, &BTreeSet::new()) {
            Some(next) => shards = next,
            None => return shards,
        }
    }
    panic!("the placement does not settle: {shards:?}");
}
