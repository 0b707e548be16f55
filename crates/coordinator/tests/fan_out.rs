//! Configurations on their way to hundreds of processes, over a link that takes its time.

mod group;
mod world;

use std::fmt::Write as _;

use ruddervalve_configuration::{Configuration, digest};
use ruddervalve_coordinator::operator::{OperatorCall, ReplaceOrder};
use ruddervalve_coordinator::state_command::ReplaceConfiguration;
use ruddervalve_protocol::Blob;
use world::{CallEnd, MACHINES, World};

use crate::group::settings;

const SEED: u64 = 74;
const PROCESSES: u64 = 300;
/// Routes that make a configuration of some 300,000 bytes.
const ROUTES: u64 = 1_600;
const CHANGES: u64 = 8;
const BANDWIDTH_MBPS: f64 = 600.0;
/// `AckTimeoutMs`.
const PATIENCE_MS: u64 = 5_000;
/// How long the operator waits for an answer, and before it sends the same again.
const ANSWER_MS: u64 = 1_000;
const PAUSE_MS: u64 = 50;
const BYTES_PER_MB: u64 = 1_024 * 1_024;

/// What a version changes.
#[derive(Clone, Copy)]
enum Changes {
    EachRoute,
    OneRoute,
}

fn configuration(version: u64, changes: Changes) -> Vec<u8> {
    let time_limit = |route: u64| match changes {
        Changes::EachRoute => 500 + version,
        Changes::OneRoute => 500 + u64::from(route == version),
    };
    let mut body = format!(r#"{{"ResourceVersion":{version},"Services":[{{"Name":"s"}}],"Routes":["#);
    for route in 0..ROUTES {
        let comma = if route == 0 { "" } else { "," };
        write!(
            body,
            r#"{comma}{{"Name":"route-{route}","Hostname":"host-{route}.example","PathPrefix":"/{route}/","Type":"asynchronous","TimeoutMs":{},"Backend":"s","MaxRetries":3,"RetentionS":90.0}}"#,
            time_limit(route)
        )
        .unwrap();
    }
    body.push_str("]}");
    body.into_bytes()
}

fn replace(base_version: u64, version: u64, changes: Changes) -> OperatorCall {
    let body = configuration(version, changes);
    let replacement = ReplaceConfiguration {
        base_version,
        version,
        digest: digest(&body),
        body: Blob::from(body.as_slice()),
    };
    let configuration = Configuration::parse(&body).unwrap();
    OperatorCall::ReplaceConfiguration(Box::new(ReplaceOrder { replacement, configuration }))
}

/// A group with a leader, and processes that are connected to all coordinators.
fn connected() -> (World, u8) {
    let (mut world, leader) = World::led(SEED);
    world.limit_links(BANDWIDTH_MBPS);
    world.connect_processes(PROCESSES);
    world.run(PATIENCE_MS);
    (world, leader)
}

/// Makes changes, each as soon as the one before is acknowledged; when each was.
fn change_in_series(world: &mut World) -> Vec<(u64, u64)> {
    (1..=CHANGES).map(|version| (version, change(world, version, Changes::EachRoute))).collect()
}

/// Sends a change until it is acknowledged; when it was.
fn change(world: &mut World, version: u64, changes: Changes) -> u64 {
    let deadline = world.now + PATIENCE_MS;
    while world.now < deadline {
        let leader = world.leader().unwrap_or(MACHINES[0]);
        let end = world.ask(leader, replace(version - 1, version, changes), ANSWER_MS);
        if matches!(end, Some(CallEnd::Answered(200, _))) {
            return world.now;
        }
        world.run(PAUSE_MS);
    }
    panic!("version {version} was not acknowledged");
}

#[test]
fn confirmed_changes_in_series_are_in_force_everywhere_in_time_and_cost_no_leader() {
    let (mut world, leader) = connected();
    let term = world.term(leader);
    let acknowledged = change_in_series(&mut world);
    let propagation_ms = settings(leader).bounds.config_propagation_ms;
    world.run(propagation_ms);
    for (version, at) in acknowledged {
        for process in &world.processes {
            let since = process.has_since(version);
            let is_in_time = since.is_some_and(|since| since <= at + propagation_ms);
            assert!(is_in_time, "version {version}, acknowledged at {at}, is in force at {since:?}");
        }
    }
    assert_eq!(world.leader().map(|leader| world.term(leader)), Some(term), "another leader was elected");
}

#[test]
fn what_waits_for_processes_fits_into_a_coordinators_memory() {
    let (mut world, leader) = connected();
    change_in_series(&mut world);
    let most = MACHINES.map(|machine| world.most_queued_bytes(machine)).into_iter().max().unwrap();
    let memory = settings(leader).limits.memory_mb * BYTES_PER_MB;
    assert!(most < memory, "{most} bytes waited, there is room for {memory}");
}

#[test]
fn a_new_leader_sends_no_process_a_configuration_that_it_has() {
    let (mut world, leader) = connected();
    change(&mut world, 1, Changes::OneRoute);
    world.run(PATIENCE_MS);
    let before: Vec<u64> = MACHINES.iter().map(|machine| world.sent_bytes(*machine)).collect();
    world.kill(leader);
    assert!(world.run_until(PATIENCE_MS, |world| world.leader().is_some()));
    world.run(PATIENCE_MS);
    let sent: u64 =
        MACHINES.iter().zip(before).map(|(machine, before)| world.sent_bytes(*machine) - before).sum();
    let all = PROCESSES * configuration(1, Changes::OneRoute).len() as u64;
    assert!(sent < all / 100, "{sent} bytes were sent, the configurations of all processes are {all}");
}

#[test]
fn changes_of_a_configuration_take_little_beside_the_whole_of_it() {
    let (mut world, leader) = connected();
    change(&mut world, 1, Changes::OneRoute);
    world.run(PATIENCE_MS);
    let before = world.sent_bytes(leader);
    change(&mut world, 2, Changes::OneRoute);
    world.run(PATIENCE_MS);
    assert!(world.processes.iter().all(|process| process.has_since(2).is_some()));
    let sent = world.sent_bytes(leader) - before;
    // Both other coordinators get the whole of it in their logs.
    let whole = configuration(2, Changes::OneRoute).len() as u64;
    assert!(sent < 2 * whole + PROCESSES * whole / 100, "{sent} bytes were sent for one change of {whole}");
}
