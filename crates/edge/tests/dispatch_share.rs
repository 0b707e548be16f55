//! How edges share the connections of runners that accept fewer than there are edges.

mod dispatch_common;

use std::collections::{BTreeMap, BTreeSet};

use dispatch_common::{ServiceLine, configuration, delivered, list, runner};
use ruddervalve_configuration::{Locality, ZoneRegion};
use ruddervalve_edge::dispatch::{Dispatch, DispatchOutcome, DispatchSettings, RunnerLoad};
use ruddervalve_protocol::{Runner, RunnerPhase};

const SERVICE: &str = "service";
const SLOTS: u32 = 3;

/// Regions x and y of two zones each.
fn zones() -> Vec<ZoneRegion> {
    let zones = [("xa", "x"), ("xb", "x"), ("ya", "y"), ("yb", "y")];
    zones.map(|(zone, region)| ZoneRegion { zone: zone.to_owned(), region: region.to_owned() }).to_vec()
}

/// So many runners in each zone.
fn runners_in_each_zone(count: usize) -> Vec<Runner> {
    let of_zone = |zone: ZoneRegion| {
        (0..count).map(move |number| runner(SERVICE, &format!("{}{number}", zone.zone), &zone.zone, SLOTS))
    };
    zones().into_iter().flat_map(of_zone).collect()
}

/// An edge in a zone, among so many, of a service whose runners accept so many connections.
fn edge(zone: &str, seed: u64, edges: u32, max_connections: u32, runners: &[Runner]) -> Dispatch {
    let locality = Locality::new(zone, zones());
    let mut edge = Dispatch::new(DispatchSettings { locality, seed, other_edges: edges - 1 });
    let line = ServiceLine { max_connections, ..ServiceLine::listed(SERVICE) };
    edge.set_configuration(0, &configuration(1, &[line]));
    edge.set_runners(0, &list(1, runners));
    edge
}

/// The runners that an edge delivers to when it has more messages than they have slots.
fn used(edge: &mut Dispatch) -> BTreeSet<String> {
    (0..200).filter_map(|job| delivered(&edge.start(0, job, SERVICE, SERVICE), job)).collect()
}

#[test]
fn each_edge_uses_all_runners_whose_connections_are_enough_for_all() {
    let runners = runners_in_each_zone(2);
    for max_connections in [0, 40] {
        let mut edge = edge("xa", 7, 40, max_connections, &runners);
        assert_eq!(used(&mut edge).len(), runners.len(), "{max_connections} connections");
    }
}

#[test]
fn with_too_few_connections_an_edge_uses_the_nearest_runners() {
    let runners = runners_in_each_zone(3);
    for seed in 0..20 {
        // Twelve runners of 24 connections, of which 18 are planned for, among 45 edges: four for each.
        let used = used(&mut edge("xa", seed, 45, 24, &runners));
        assert_eq!(used.len(), 4, "{used:?}");
        assert!(["xa0", "xa1", "xa2"].iter().all(|uid| used.contains(*uid)), "{used:?}");
        assert!(
            used.iter().any(|uid| uid.starts_with("xb")),
            "the same region goes before the other: {used:?}"
        );
    }
}

#[test]
fn no_runner_is_used_by_more_edges_than_it_accepts_connections() {
    const EDGES: u32 = 44;
    const CONNECTIONS: u32 = 24;
    let runners = runners_in_each_zone(2);
    let mut users: BTreeMap<String, u32> = BTreeMap::new();
    for number in 0..EDGES {
        let zones = zones();
        let zone = &zones[number as usize % zones.len()].zone;
        let mut edge = edge(zone, u64::from(number) + 1, EDGES, CONNECTIONS, &runners);
        used(&mut edge).into_iter().for_each(|uid| *users.entry(uid).or_default() += 1);
    }
    assert_eq!(users.len(), runners.len(), "all runners are used: {users:?}");
    assert!(users.values().all(|count| *count <= CONNECTIONS), "{users:?}");
}

#[test]
fn an_edge_uses_one_runner_at_least() {
    let runners = runners_in_each_zone(1);
    assert_eq!(used(&mut edge("ya", 3, 900, 1, &runners)), BTreeSet::from(["ya0".to_owned()]));
}

#[test]
fn another_runner_takes_the_place_of_one_that_drains() {
    let mut runners = runners_in_each_zone(1);
    let mut edge = edge("ya", 3, 900, 1, &runners);
    runners[2].phase = RunnerPhase::Draining;
    edge.set_runners(1, &list(2, &runners));
    assert_eq!(used(&mut edge), BTreeSet::from(["yb0".to_owned()]));
}

#[test]
fn fewer_edges_use_more_runners() {
    let runners = runners_in_each_zone(2);
    let mut edge = edge("xa", 5, 90, 24, &runners);
    assert!(edge.set_other_edges(9));
    let line = ServiceLine { max_connections: 24, ..ServiceLine::listed(SERVICE) };
    edge.set_configuration(1, &configuration(2, &[line]));
    assert_eq!(used(&mut edge).len(), runners.len());
}

#[test]
fn runners_in_one_zone_elsewhere_are_used() {
    let runners: Vec<Runner> =
        (0..6).map(|number| runner(SERVICE, &format!("r{number}"), "yb", SLOTS)).collect();
    let used = used(&mut edge("xa", 1, 45, 24, &runners));
    assert_eq!(used.len(), 2, "6 x 18 / 45: {used:?}");
}

#[test]
fn an_edge_offers_no_more_slots_than_it_has_connections() {
    let runners = runners_in_each_zone(3);
    // Four runners of three slots, one connection to each.
    let mut edge = edge("xa", 7, 45, 24, &runners);
    assert_eq!(edge.startable(0, SERVICE), 4);
    for job in 0..4 {
        assert!(delivered(&edge.start(0, job, SERVICE, SERVICE), job).is_some(), "job {job}");
    }
    assert_eq!(edge.startable(0, SERVICE), 0);
    let idle = RunnerLoad { running: 0, waiting: 0, slots: SLOTS };
    edge.finished(1, 0, DispatchOutcome::Served, Some(idle));
    assert_eq!(edge.startable(1, SERVICE), 1, "one connection is free again, whatever the runner says");
    edge.finished(1, 1, DispatchOutcome::Served, None);
    assert_eq!(edge.startable(1, SERVICE), 2);
}

#[test]
fn a_probe_does_not_make_an_edge_offer_slots_that_it_has_no_connection_for() {
    let runners = runners_in_each_zone(3);
    let mut edge = edge("xa", 7, 45, 24, &runners);
    for uid in used(&mut edge) {
        let idle = RunnerLoad { running: 0, waiting: 0, slots: SLOTS };
        edge.probed(1, SERVICE, &uid, true, Some(idle));
    }
    assert_eq!(edge.startable(1, SERVICE), 0);
}
