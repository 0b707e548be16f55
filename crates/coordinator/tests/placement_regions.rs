//! Which stores hold which shards, where stores lie in several regions.

mod placing;

use std::collections::{BTreeMap, BTreeSet};

use placing::{GONE_AFTER_MS, rules, settled, store};
use proptest::prelude::*;
use ruddervalve_coordinator::placement::{PlacementRules, StoreView, found};
use ruddervalve_coordinator::placement_improve::improve;
use ruddervalve_protocol::ShardPlacement;

/// So many stores in each of these (region, zone).
fn stores(counts: &[(&str, &str, usize)]) -> Vec<StoreView> {
    let places = counts.iter().flat_map(|(region, zone, count)| (0..*count).map(move |_| (*region, *zone)));
    (1..).zip(places).map(|(number, (region, zone))| store(number, region, zone)).collect()
}

/// Three regions of two zones each, of which the first has one store more.
fn three_regions() -> Vec<StoreView> {
    stores(&[("x", "xa", 3), ("x", "xb", 2), ("y", "ya", 2), ("y", "yb", 2), ("z", "za", 2), ("z", "zb", 2)])
}

fn region_of<'a>(stores: &'a [StoreView], node: &str) -> &'a str {
    stores.iter().find(|store| store.node == node).map_or("", |store| store.region.as_str())
}

/// How many members a shard has in each region.
fn regions_of<'a>(stores: &'a [StoreView], shard: &ShardPlacement) -> BTreeMap<&'a str, usize> {
    let mut counts = BTreeMap::new();
    for node in &shard.wanted {
        *counts.entry(region_of(stores, node)).or_insert(0) += 1;
    }
    counts
}

#[test]
fn shards_lie_whole_in_the_region_that_can_hold_them() {
    let stores = three_regions();
    let shards = found(&stores, &rules(2)).expect("they are enough");
    for shard in &shards {
        assert_eq!(regions_of(&stores, shard), BTreeMap::from([("x", 5)]), "{shard:?}");
    }
    assert_eq!(improve(&stores, &rules(2), &shards, &BTreeSet::new()), None);
}

#[test]
fn where_no_region_can_hold_a_shard_a_quorum_and_the_leader_lie_in_one() {
    let stores = stores(&[("x", "xa", 4), ("y", "ya", 4), ("z", "za", 4)]);
    let shards = found(&stores, &rules(2)).expect("they are enough");
    let mut homes = BTreeSet::new();
    for shard in &shards {
        let regions = regions_of(&stores, shard);
        let leader = region_of(&stores, shard.wanted.first().expect("it has members"));
        assert_eq!(regions.get(leader), Some(&4), "{shard:?}");
        homes.insert(leader);
    }
    assert_eq!(homes.len(), 3, "all regions lead");
}

#[test]
fn a_region_that_can_hold_shards_takes_no_more_than_its_stores_bear() {
    let counts =
        [("x", "xa", 3), ("y", "ya", 2), ("z", "za", 2), ("u", "ua", 2), ("v", "va", 2), ("w", "wa", 2)];
    let stores = stores(&counts);
    let shards = found(&stores, &rules(1)).expect("they are enough");
    let mut held: BTreeMap<&String, usize> = BTreeMap::new();
    shards.iter().flat_map(|shard| &shard.wanted).for_each(|node| *held.entry(node).or_insert(0) += 1);
    let most = held.values().max().copied().unwrap_or_default();
    assert!(most <= 9, "three even shares of three replicas: {held:?}");
    assert!(held.len() > 3, "the others hold shards, too");
}

#[test]
fn a_loss_that_has_to_be_borne_goes_before_nearness() {
    let stores = three_regions();
    let by_region = PlacementRules { lost_regions: 1, ..rules(1) };
    for shard in found(&stores, &by_region).expect("they are enough") {
        assert!(regions_of(&stores, &shard).values().all(|count| *count == 1), "{shard:?}");
    }
    let by_zone = PlacementRules { lost_zones: 1, ..rules(1) };
    for shard in found(&stores, &by_zone).expect("they are enough") {
        let zone = |node: &String| stores.iter().find(|store| store.node == *node).map(|store| &store.zone);
        let zones: BTreeSet<_> = shard.wanted.iter().map(zone).collect();
        assert_eq!(zones.len(), 3, "{shard:?}");
        assert!(
            regions_of(&stores, &shard).values().any(|count| *count == 2),
            "as near as zones allow: {shard:?}"
        );
    }
}

#[test]
fn one_store_a_region_no_region_and_an_unknown_one_are_placed() {
    let counts = [("x", "a", 1), ("y", "b", 1), ("z", "c", 1), ("u", "d", 1), ("v", "e", 1)];
    for counts in [&counts[..], &[("", "a", 5)], &[("x", "a", 3), ("", "b", 2)]] {
        let stores = stores(counts);
        let shards = found(&stores, &rules(2)).expect("they are enough");
        assert!(shards.iter().all(|shard| shard.wanted.len() == 5), "{shards:?}");
        assert_eq!(settled(&stores, &rules(2), shards.clone()), shards);
    }
}

#[test]
fn a_lost_member_is_replaced_from_elsewhere_and_its_place_comes_home() {
    let mut stores = three_regions();
    let rules = rules(2);
    let shards = found(&stores, &rules).expect("they are enough");
    stores[0].dead_for_ms = GONE_AFTER_MS;
    let without = settled(&stores, &rules, shards);
    for shard in &without {
        assert!(!shard.wanted.contains(&"s01".to_owned()), "{shard:?}");
        let leader = region_of(&stores, shard.wanted.first().expect("it has members"));
        assert_eq!(leader, "x", "{shard:?}");
    }
    stores[0].dead_for_ms = 0;
    for shard in settled(&stores, &rules, without) {
        assert_eq!(regions_of(&stores, &shard), BTreeMap::from([("x", 5)]), "{shard:?}");
    }
}

#[test]
fn the_preferred_leader_comes_home() {
    let stores = three_regions();
    let rules = rules(2);
    let mut shards = found(&stores, &rules).expect("they are enough");
    for shard in &mut shards {
        shard.wanted[0] = "s06".to_owned();
        shard.wanted.sort_by_key(|node| node != "s06");
    }
    for shard in settled(&stores, &rules, shards) {
        let leader = region_of(&stores, shard.wanted.first().expect("it has members"));
        assert_eq!(leader, "x", "{shard:?}");
    }
}

proptest! {
    #[test]
    fn any_regions_give_whole_shards_that_settle(
        counts in prop::collection::vec((0_usize..4, 0_usize..3, 1_usize..4), 1..8),
        lost in 1_u32..3,
        lost_zones in 0_u32..2,
        lost_regions in 0_u32..2,
        dead in 0_usize..3,
    ) {
        let names: Vec<(String, String, usize)> = counts
            .into_iter()
            .map(|(region, zone, count)| (format!("r{region}"), format!("r{region}z{zone}"), count))
            .collect();
        let places: Vec<(&str, &str, usize)> =
            names.iter().map(|(region, zone, count)| (region.as_str(), zone.as_str(), *count)).collect();
        let mut stores = stores(&places);
        let rules = PlacementRules { lost_zones, lost_regions, ..rules(lost) };
        if let Ok(shards) = found(&stores, &rules) {
            let needed = usize::try_from(rules.replicas()).unwrap_or(usize::MAX);
            for shard in &shards {
                let distinct: BTreeSet<&String> = shard.wanted.iter().collect();
                prop_assert_eq!(distinct.len(), needed);
            }
            let shards = settled(&stores, &rules, shards);
            stores.iter_mut().take(dead).for_each(|store| store.dead_for_ms = GONE_AFTER_MS);
            let without = settled(&stores, &rules, shards);
            prop_assert!(without.iter().all(|shard| shard.wanted.len() == needed));
            stores.iter_mut().for_each(|store| store.dead_for_ms = 0);
            settled(&stores, &rules, without);
        }
    }
}
