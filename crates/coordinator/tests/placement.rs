//! Which stores hold which shards.

use std::collections::{BTreeMap, BTreeSet};

use proptest::prelude::*;
use ruddervalve_coordinator::placement::{
    PlacementRules, RetireFault, StoreView, TooFewStores, check_retire, found,
};
use ruddervalve_coordinator::placement_improve::improve;
use ruddervalve_protocol::{GroupId, ReplicaId, ShardPlacement};

const AWAY_AFTER_MS: u64 = 1_000;
const GONE_AFTER_MS: u64 = 30_000;

fn rules(lost_nodes: u32, lost_zones: u32) -> PlacementRules {
    PlacementRules {
        lost_nodes,
        lost_zones,
        lost_regions: 0,
        shards_per_store: 3,
        away_after_ms: AWAY_AFTER_MS,
        gone_after_ms: GONE_AFTER_MS,
        moves_at_once: 2,
    }
}

fn store(number: u64, zone: &str) -> StoreView {
    StoreView {
        node: format!("s{number:02}"),
        replica: ReplicaId(number),
        zone: zone.to_owned(),
        region: String::new(),
        is_retiring: false,
        dead_for_ms: 0,
    }
}

/// Stores with these zones, one each.
fn stores(zones: &[&str]) -> Vec<StoreView> {
    (1_u64..).zip(zones).map(|(number, zone)| store(number, zone)).collect()
}

fn retiring(stores: &mut [StoreView], node: &str) {
    stores.iter_mut().filter(|store| store.node == node).for_each(|store| store.is_retiring = true);
}

fn dead(stores: &mut [StoreView], node: &str, dead_for_ms: u64) {
    stores.iter_mut().filter(|store| store.node == node).for_each(|store| store.dead_for_ms = dead_for_ms);
}

fn replicas_of(shards: &[ShardPlacement]) -> BTreeMap<&str, usize> {
    let mut counts = BTreeMap::new();
    for node in shards.iter().flat_map(|shard| &shard.wanted) {
        *counts.entry(node.as_str()).or_insert(0) += 1;
    }
    counts
}

fn leaders_of(shards: &[ShardPlacement]) -> BTreeMap<&str, usize> {
    let mut counts = BTreeMap::new();
    for leader in shards.iter().filter_map(|shard| shard.wanted.first()) {
        *counts.entry(leader.as_str()).or_insert(0) += 1;
    }
    counts
}

fn zones_of<'a>(shard: &ShardPlacement, stores: &'a [StoreView]) -> BTreeMap<&'a str, usize> {
    let mut counts = BTreeMap::new();
    for node in &shard.wanted {
        let store = stores.iter().find(|store| &store.node == node).expect("the store is known");
        *counts.entry(store.zone.as_str()).or_insert(0) += 1;
    }
    counts
}

/// The zone of the store that shall lead a shard.
fn home_zone<'a>(shard: &ShardPlacement, stores: &'a [StoreView]) -> &'a str {
    let leader = shard.wanted.first().expect("it has members");
    &stores.iter().find(|store| &store.node == leader).expect("the store is known").zone
}

/// How many members of `after` are not in `before`, shard by shard.
fn exchanges(before: &[ShardPlacement], after: &[ShardPlacement]) -> Vec<usize> {
    let joined = |(before, after): (&ShardPlacement, &ShardPlacement)| {
        after.wanted.iter().filter(|node| !before.wanted.contains(node)).count()
    };
    before.iter().zip(after).map(joined).collect()
}

/// How many places of one store that is away a newcomer takes with a step: all that it has, or none.
fn repairs(stores: &[StoreView], before: &[ShardPlacement], after: &[ShardPlacement]) -> usize {
    let is_away = |store: &&StoreView| store.dead_for_ms >= AWAY_AFTER_MS && !store.is_retiring;
    let left = |store: &StoreView| {
        let (held, kept) = (holders(before, &store.node), holders(after, &store.node));
        if kept.is_empty() { held.len() } else { 0 }
    };
    stores.iter().filter(is_away).map(left).max().unwrap_or(0)
}

/// The shards that hold a store, by group.
fn holders(shards: &[ShardPlacement], node: &str) -> BTreeSet<GroupId> {
    let holds = |shard: &&ShardPlacement| shard.wanted.iter().any(|wanted| wanted == node);
    shards.iter().filter(holds).map(|shard| shard.group).collect()
}

/// Improves until nothing is left to do, as if each step were carried out before the next. Checks every step.
fn settle(stores: &[StoreView], rules: &PlacementRules, start: &[ShardPlacement]) -> Vec<ShardPlacement> {
    const MORE_THAN_ENOUGH: usize = 500;
    let mut present = start.to_vec();
    for _ in 0..MORE_THAN_ENOUGH {
        let Some(next) = improve(stores, rules, &present, &BTreeSet::new()) else { return present };
        let changed = present.iter().zip(&next).filter(|(before, after)| before != after).count();
        let repaired = repairs(stores, &present, &next);
        assert!(changed <= rules.moves_at_once as usize + repaired, "{changed} shards move at once");
        assert!(exchanges(&present, &next).into_iter().all(|joined| joined <= 1));
        for (before, after) in present.iter().zip(&next) {
            assert_eq!((before.group, &before.founders), (after.group, &after.founders));
            assert_eq!(after.wanted.iter().collect::<BTreeSet<_>>().len(), before.wanted.len());
        }
        present = next;
    }
    panic!("it does not come to rest");
}

#[test]
fn three_stores_hold_all_and_lead_a_third_each() {
    let stores = stores(&["a", "b", "c"]);
    let shards = found(&stores, &rules(1, 0)).expect("they are enough");
    assert_eq!(shards.len(), 9);
    assert!(replicas_of(&shards).values().all(|count| *count == 9));
    assert!(leaders_of(&shards).values().all(|count| *count == 3));
    assert_eq!(shards.first().map(|shard| shard.group), Some(GroupId(1)));
    assert!(shards.iter().all(|shard| shard.founders.len() == 3));
    assert_eq!(improve(&stores, &rules(1, 0), &shards, &BTreeSet::new()), None);
}

#[test]
fn founding_needs_enough_stores_that_may_be_given_replicas() {
    let mut stores = stores(&["a", "b", "c"]);
    assert_eq!(found(&stores, &rules(2, 0)), Err(TooFewStores { there: 3, needed: 5 }));
    dead(&mut stores, "s02", 1);
    assert_eq!(found(&stores, &rules(1, 0)), Err(TooFewStores { there: 2, needed: 3 }));
    assert!(found(&stores, &rules(0, 0)).is_ok());
}

#[test]
fn replicas_spread_over_zones_where_one_may_be_lost() {
    let stores = stores(&["a", "a", "a", "b", "c"]);
    for shard in found(&stores, &rules(1, 1)).expect("they are enough") {
        assert!(zones_of(&shard, &stores).values().all(|count| *count == 1), "{shard:?}");
    }
    let stores = self::stores(&["a", "a", "a", "b", "b", "c"]);
    for shard in found(&stores, &rules(2, 1)).expect("they are enough") {
        assert!(zones_of(&shard, &stores).values().all(|count| *count <= 2), "{shard:?}");
    }
}

#[test]
fn replicas_spread_over_regions_where_one_may_be_lost() {
    let mut stores = stores(&["a", "b", "c", "d", "e"]);
    for (store, region) in stores.iter_mut().zip(["x", "x", "x", "y", "z"]) {
        store.region = region.to_owned();
    }
    let rules = PlacementRules { lost_regions: 1, ..rules(1, 0) };
    for shard in found(&stores, &rules).expect("they are enough") {
        assert!(
            shard.wanted.contains(&"s04".to_owned()) && shard.wanted.contains(&"s05".to_owned()),
            "{shard:?}"
        );
    }
}

#[test]
fn a_retiring_store_is_replaced_few_shards_at_a_time() {
    let rules = rules(1, 0);
    let mut stores = stores(&["a", "b", "c", "a"]);
    let shards = found(&stores, &rules).expect("they are enough");
    retiring(&mut stores, "s01");
    let settled = settle(&stores, &rules, &shards);
    assert!(!replicas_of(&settled).contains_key("s01"));
    assert!(settled.iter().all(|shard| zones_of(shard, &stores).len() == 3));
}

#[test]
fn shards_on_the_move_count_and_are_left_alone() {
    let rules = rules(1, 0);
    let mut stores = stores(&["a", "b", "c", "a"]);
    let shards = found(&stores, &rules).expect("they are enough");
    retiring(&mut stores, "s02");
    let holding: Vec<GroupId> = shards
        .iter()
        .filter(|shard| !shard.wanted.contains(&"s02".to_owned()))
        .map(|shard| shard.group)
        .collect();
    // One place is left beside a shard that moves.
    let moving: BTreeSet<GroupId> = [GroupId(99)].into();
    let next = improve(&stores, &rules, &shards, &moving).expect("one may move");
    assert_eq!(exchanges(&shards, &next).into_iter().sum::<usize>(), 1);
    // None is left beside two.
    let moving: BTreeSet<GroupId> = [GroupId(98), GroupId(99)].into();
    assert_eq!(improve(&stores, &rules, &shards, &moving), None);
    // A shard that moves already may lose a member that retires.
    let first = shards.iter().find(|shard| !holding.contains(&shard.group)).expect("one holds it");
    let moving: BTreeSet<GroupId> = [first.group, GroupId(99)].into();
    let next = improve(&stores, &rules, &shards, &moving).expect("it may");
    assert_eq!(exchanges(&shards, &next).into_iter().sum::<usize>(), 1);
}

#[test]
fn a_store_that_is_dead_for_long_is_replaced_and_not_before() {
    let rules = rules(1, 1);
    let mut stores = stores(&["a", "b", "c", "a"]);
    let shards = found(&stores, &rules).expect("they are enough");
    dead(&mut stores, "s02", GONE_AFTER_MS - 1);
    let next = improve(&stores, &rules, &shards, &BTreeSet::new());
    let holds = |shards: &[ShardPlacement]| replicas_of(shards).get("s02").copied();
    assert_eq!(next.map_or(holds(&shards), |next| holds(&next)), holds(&shards));
    dead(&mut stores, "s02", GONE_AFTER_MS);
    let settled = settle(&stores, &rules, &shards);
    assert_eq!(holds(&settled), None);
}

#[test]
fn a_newcomer_takes_all_places_of_a_store_that_is_away() {
    let rules = rules(1, 0);
    let mut stores = stores(&["a", "b", "c"]);
    let shards = found(&stores, &rules).expect("they are enough");
    stores.push(store(4, "b"));
    dead(&mut stores, "s02", AWAY_AFTER_MS - 1);
    let next = improve(&stores, &rules, &shards, &BTreeSet::new()).unwrap_or_else(|| shards.clone());
    assert!(holders(&next, "s02") == holders(&shards, "s02"), "it may be starting anew");
    dead(&mut stores, "s02", AWAY_AFTER_MS);
    let next = improve(&stores, &rules, &shards, &BTreeSet::new()).expect("it is replaced");
    assert_eq!((holders(&next, "s02").len(), holders(&next, "s04").len()), (0, 9));
    // Also while shards are on the move.
    let moving: BTreeSet<GroupId> = [GroupId(1), GroupId(2), GroupId(98)].into();
    let next = improve(&stores, &rules, &shards, &moving).expect("it is replaced");
    assert_eq!((holders(&next, "s02").len(), holders(&next, "s04").len()), (0, 9));
}

#[test]
fn a_store_that_is_away_is_not_replaced_by_stores_that_hold_their_share() {
    let rules = rules(1, 1);
    let mut stores = stores(&["a", "a", "b", "b", "c", "c"]);
    let shards = found(&stores, &rules).expect("they are enough");
    dead(&mut stores, "s02", GONE_AFTER_MS - 1);
    assert_eq!(improve(&stores, &rules, &shards, &BTreeSet::new()), None, "copies would cost more");
    // Nor when nearly all seem to be dead, as after a loss of all power.
    for lost in ["s03", "s04", "s05", "s06"] {
        dead(&mut stores, lost, GONE_AFTER_MS - 1);
    }
    assert_eq!(improve(&stores, &rules, &shards, &BTreeSet::new()), None);
    stores.push(store(7, "a"));
    let next = improve(&stores, &rules, &shards, &BTreeSet::new()).expect("there is a newcomer");
    assert_eq!(replicas_of(&next).get("s07"), Some(&9), "the places of one");
    assert_eq!(improve(&stores, &rules, &next, &BTreeSet::new()), None, "it holds its share");
}

#[test]
fn shards_with_the_fewest_living_members_are_repaired_first() {
    let rules = rules(2, 0);
    let mut stores = stores(&["a", "a", "b", "b", "c", "c", "d"]);
    let shards = found(&stores, &rules).expect("they are enough");
    let living = |shards: &[ShardPlacement], lost: [&str; 3]| -> Vec<usize> {
        let is_living = |node: &&String| !lost.contains(&node.as_str());
        shards.iter().map(|shard| shard.wanted.iter().filter(is_living).count()).collect()
    };
    let lost = ["s01", "s02", "s05"];
    lost.iter().for_each(|lost| dead(&mut stores, lost, AWAY_AFTER_MS));
    let before = living(&shards, lost);
    let fewest = *before.iter().min().expect("there are shards");
    assert!(before.iter().any(|count| *count > fewest), "{before:?}");
    stores.push(store(8, "a"));
    let next = improve(&stores, &rules, &shards, &BTreeSet::new()).expect("there is a newcomer");
    let repaired = holders(&next, "s08");
    let worst = |shard: &ShardPlacement| {
        let is_lost = |node: &&String| lost.contains(&node.as_str());
        shard.wanted.len() - shard.wanted.iter().filter(is_lost).count() == fewest
    };
    assert!(shards.iter().any(|shard| worst(shard) && repaired.contains(&shard.group)), "{repaired:?}");
}

#[test]
fn successors_take_all_that_was_lost_one_loss_after_the_other() {
    let rules = rules(1, 0);
    let mut stores = stores(&["a", "b", "c"]);
    let mut shards = found(&stores, &rules).expect("they are enough");
    for (lost, number) in [("s02", 4), ("s03", 5), ("s04", 6)] {
        dead(&mut stores, lost, AWAY_AFTER_MS);
        stores.push(store(number, "b"));
        shards = settle(&stores, &rules, &shards);
        let held = replicas_of(&shards);
        assert_eq!(held.get(lost), None);
        assert_eq!(held.get(format!("s{number:02}").as_str()), Some(&9));
    }
}

#[test]
fn what_a_newcomer_has_no_room_for_is_shared_out() {
    let rules = PlacementRules { shards_per_store: 1, ..rules(2, 0) };
    let mut stores = stores(&["a", "b", "c", "a", "b"]);
    let shards = found(&stores, &rules).expect("they are enough");
    // A planned replacement: the newcomer is given a few shards by the balance before the other one leaves.
    stores.push(store(6, "b"));
    let balanced = settle(&stores, &rules, &shards);
    assert!(holders(&balanced, "s06").len() >= 3);
    dead(&mut stores, "s02", AWAY_AFTER_MS);
    let next = improve(&stores, &rules, &balanced, &BTreeSet::new()).expect("its places are shared out");
    assert_eq!(holders(&next, "s02").len(), 0);
    assert!(replicas_of(&next).values().all(|count| *count == 5), "{:?}", replicas_of(&next));
}

/// A newcomer may be in the midst of being given shards when another store is lost.
#[test]
fn all_places_of_a_store_that_is_away_are_taken_however_far_the_balance_has_come() {
    let zones = ["a", "b", "c", "a", "b", "c", "a", "b", "c", "a", "b", "c"];
    let rules = PlacementRules { shards_per_store: 1, ..rules(2, 0) };
    for count in 5..zones.len() {
        for steps in 0..6 {
            for lost in 1..=count {
                let mut stores = stores(&zones[..count]);
                let mut shards = found(&stores, &rules).expect("they are enough");
                stores.push(store(20, zones[count]));
                for _ in 0..steps {
                    shards = improve(&stores, &rules, &shards, &BTreeSet::new()).unwrap_or(shards);
                }
                let lost = format!("s{lost:02}");
                dead(&mut stores, &lost, AWAY_AFTER_MS);
                let settled = settle(&stores, &rules, &shards);
                let left = holders(&settled, &lost);
                assert!(left.is_empty(), "{count} stores, {steps} steps: {lost} is left with {left:?}");
            }
        }
    }
}

#[test]
fn two_newcomers_take_the_places_of_two() {
    let rules = PlacementRules { shards_per_store: 1, ..rules(2, 0) };
    let mut stores = stores(&["a", "b", "c", "a", "b", "c", "a", "b", "c"]);
    let shards = found(&stores, &rules).expect("they are enough");
    dead(&mut stores, "s02", AWAY_AFTER_MS);
    dead(&mut stores, "s06", AWAY_AFTER_MS);
    stores.push(store(10, "b"));
    stores.push(store(11, "c"));
    let first = improve(&stores, &rules, &shards, &BTreeSet::new()).expect("one is replaced");
    let second = improve(&stores, &rules, &first, &BTreeSet::new()).expect("and the other");
    let held = replicas_of(&second);
    assert!(!held.contains_key("s02") && !held.contains_key("s06"), "{held:?}");
    assert_eq!((held.get("s10"), held.get("s11")), (Some(&5), Some(&5)));
}

#[test]
fn a_store_that_is_gone_keeps_its_place_while_there_is_no_other() {
    let rules = rules(1, 0);
    let mut stores = stores(&["a", "b", "c"]);
    let shards = found(&stores, &rules).expect("they are enough");
    dead(&mut stores, "s02", GONE_AFTER_MS * 10);
    assert_eq!(improve(&stores, &rules, &shards, &BTreeSet::new()), None);
    stores.push(store(4, "b"));
    let settled = settle(&stores, &rules, &shards);
    assert_eq!(replicas_of(&settled).get("s04"), Some(&9));
}

#[test]
fn a_replaced_leader_is_followed_by_a_member_that_has_the_shard() {
    let rules = PlacementRules { moves_at_once: 100, ..rules(1, 0) };
    let mut stores = stores(&["a", "b", "c"]);
    let shards = found(&stores, &rules).expect("they are enough");
    stores.push(store(4, "a"));
    retiring(&mut stores, "s01");
    let next = improve(&stores, &rules, &shards, &BTreeSet::new()).expect("it is replaced");
    for (before, after) in shards.iter().zip(&next) {
        let leader = after.wanted.first().expect("it has one");
        assert!(before.wanted.contains(leader), "{leader} is empty");
    }
}

#[test]
fn added_stores_take_a_share_with_as_few_moves_as_possible() {
    let rules = rules(1, 1);
    let mut stores = stores(&["a", "b", "c"]);
    let shards = found(&stores, &rules).expect("they are enough");
    for (number, zone) in [(4, "a"), (5, "b"), (6, "c")] {
        stores.push(store(number, zone));
    }
    let settled = settle(&stores, &rules, &shards);
    let counts = replicas_of(&settled);
    assert!(counts.len() == 6 && counts.values().all(|count| (4..=5).contains(count)), "{counts:?}");
    let moved: usize = exchanges(&shards, &settled).into_iter().sum();
    assert!(moved <= 15, "{moved} replicas moved for three stores that take 4 or 5 each");
    let leaders = leaders_of(&settled);
    assert!(leaders.len() == 6 && leaders.values().all(|count| (1..=2).contains(count)), "{leaders:?}");
    assert!(settled.iter().all(|shard| zones_of(shard, &stores).len() == 3));
}

#[test]
fn a_better_spread_is_taken_when_a_zone_appears() {
    let rules = rules(1, 1);
    let mut stores = stores(&["a", "a", "b"]);
    let shards = found(&stores, &rules).expect("they are enough");
    stores.push(store(4, "c"));
    for shard in settle(&stores, &rules, &shards) {
        assert_eq!(zones_of(&shard, &stores).len(), 3, "{shard:?}");
    }
}

#[test]
fn a_store_may_retire_if_enough_remain() {
    let mut stores = stores(&["a", "b", "c", "a"]);
    assert_eq!(check_retire(&stores, &rules(1, 0), "s09"), Err(RetireFault::Unknown));
    assert_eq!(check_retire(&stores, &rules(1, 0), "s01"), Ok(()));
    assert_eq!(
        check_retire(&stores, &rules(2, 0), "s01"),
        Err(RetireFault::TooFewLeft { left: 3, needed: 5 })
    );
    // With a zone to be lost, the only store of one has to stay.
    assert_eq!(check_retire(&stores, &rules(1, 1), "s01"), Ok(()));
    assert_eq!(check_retire(&stores, &rules(1, 1), "s02"), Err(RetireFault::SpreadLost));
    // One that retires or is gone does not remain; one that is away does.
    dead(&mut stores, "s04", 5);
    assert_eq!(check_retire(&stores, &rules(1, 0), "s01"), Ok(()));
    dead(&mut stores, "s04", GONE_AFTER_MS);
    let too_few = Err(RetireFault::TooFewLeft { left: 2, needed: 3 });
    assert_eq!(check_retire(&stores, &rules(1, 0), "s01"), too_few);
    dead(&mut stores, "s04", 0);
    retiring(&mut stores, "s04");
    assert_eq!(check_retire(&stores, &rules(1, 0), "s01"), too_few);
}

/// Any stores in up to four zones.
fn any_stores() -> impl Strategy<Value = Vec<StoreView>> {
    prop::collection::vec(prop::sample::select(vec!["a", "b", "c", "d"]), 3..10)
        .prop_map(|zones| stores(&zones))
}

proptest! {
    #[test]
    fn a_founding_is_spread_and_balanced(
        stores in any_stores(),
        lost_nodes in 0_u32..2,
        lost_zones in 0_u32..2,
    ) {
        let rules = rules(lost_nodes, lost_zones);
        let shards = found(&stores, &rules).expect("they are enough");
        prop_assert_eq!(shards.len(), 3 * stores.len());
        let zones: BTreeSet<&str> = stores.iter().map(|store| store.zone.as_str()).collect();
        let replicas = rules.replicas() as usize;
        for shard in &shards {
            let distinct: BTreeSet<&String> = shard.wanted.iter().collect();
            prop_assert_eq!(distinct.len(), replicas);
            let held = zones_of(shard, &stores);
            if lost_zones > 0 {
                prop_assert_eq!(held.len(), replicas.min(zones.len()));
            } else {
                let home = home_zone(shard, &stores);
                let there = stores.iter().filter(|store| store.zone == home).count();
                prop_assert_eq!(held.get(home).copied(), Some(replicas.min(there)));
            }
        }
        if zones.len() == 1 {
            let counts = replicas_of(&shards);
            let most = counts.values().max().copied().unwrap_or(0);
            let least = counts.values().min().copied().unwrap_or(0);
            prop_assert!(counts.len() == stores.len() && most - least <= 1, "{:?}", counts);
        }
    }

    #[test]
    fn whatever_happens_to_stores_it_comes_to_rest_without_those_that_leave(
        stores in any_stores(),
        added in prop::collection::vec(prop::sample::select(vec!["a", "b", "c", "d"]), 0..4),
        fates in prop::collection::vec(0_u8..6, 13),
    ) {
        let rules = rules(1, 0);
        let shards = found(&stores, &rules).expect("they are enough");
        let mut later = stores.clone();
        for (number, zone) in (20_u64..).zip(&added) {
            later.push(store(number, zone));
        }
        for (store, fate) in later.iter_mut().zip(&fates) {
            match fate {
                0 => store.is_retiring = true,
                1 => store.dead_for_ms = GONE_AFTER_MS,
                2 => store.dead_for_ms = 1,
                _ => {}
            }
        }
        let settled = settle(&later, &rules, &shards);
        let eligible = later.iter().filter(|store| store.is_eligible()).count();
        let away = later.iter().filter(|store| store.dead_for_ms == 1 && !store.is_retiring).count();
        if eligible >= rules.replicas() as usize && away == 0 {
            let holding = replicas_of(&settled);
            let leaving = later.iter().filter(|store| !store.is_eligible());
            for store in leaving {
                prop_assert!(!holding.contains_key(store.node.as_str()), "{} still holds", store.node);
            }
        }
    }
}
