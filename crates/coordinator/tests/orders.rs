//! How orders end that are sent twice, race, or lose their answer.

mod group;
mod world;

use ruddervalve_coordinator::operator::{OperatorCall, RetireOrder};
use ruddervalve_coordinator::state::{ControlState, REMEMBERED_CONFIGURATIONS};
use ruddervalve_coordinator::state_command::{ControlCommand, ControlResult, ReplaceConfiguration};
use ruddervalve_protocol::{Blob, Registration, ReplicaId, StoreMember};
use world::history::{body, long_body, machine_at, replace};
use world::{CallEnd, MACHINES, World};

/// `AckTimeoutMs` of the tests' settings.
const ACK_TIMEOUT_MS: u64 = 5_000;
/// Silence after which the operator asks another machine; ms.
const SILENCE_MS: u64 = 1_000;
/// Thirty bodies of this size are more than a log keeps after a checkpoint.
const BODY_BYTES: usize = 120_000;

fn status(end: Option<CallEnd>) -> Option<u16> {
    match end {
        Some(CallEnd::Answered(status, _)) => Some(status),
        _ => None,
    }
}

/// Sends an order as the operator does, first to `machine`, until it ends; its status.
fn order(world: &mut World, machine: u8, call: &OperatorCall) -> u16 {
    let end = world.now + ACK_TIMEOUT_MS;
    let mut next = machine;
    while world.now < end {
        match world.ask(next, call.clone(), SILENCE_MS) {
            Some(CallEnd::Answered(status, _)) if status < 500 => return status,
            Some(CallEnd::Redirected(address)) => next = machine_at(&address),
            _ => next = next % 3 + 1,
        }
        world.run(10);
    }
    panic!("no clear answer within AckTimeoutMs");
}

fn command(call: &OperatorCall) -> ControlCommand {
    match call {
        OperatorCall::ReplaceConfiguration(order) => {
            ControlCommand::ReplaceConfiguration(order.replacement.clone())
        }
        call => panic!("{call:?} changes no configuration"),
    }
}

fn versions(world: &World) -> Vec<u64> {
    world.in_force.iter().map(|(version, _, _)| *version).collect()
}

#[test]
fn of_two_operators_with_one_number_one_is_acknowledged_whoever_is_asked() {
    let (mut world, leader) = World::led(1);
    let (first, second) = (replace(0, &body(5, 1)), replace(0, &body(5, 2)));
    assert_eq!(order(&mut world, leader, &first), 200);
    for machine in MACHINES {
        assert_eq!(order(&mut world, machine, &second), 412);
        assert_eq!(order(&mut world, machine, &first), 200, "a repeat, at any machine");
    }
    assert_eq!(versions(&world), [5]);
}

#[test]
fn of_two_orders_under_way_at_once_on_one_base_one_wins() {
    for seed in 0..20 {
        let (mut world, leader) = World::led(seed);
        let (first, second) = (replace(0, &body(5, 1)), replace(0, &body(5, 2)));
        let calls = [first.clone(), second.clone(), first, second].map(|call| world.call(leader, call));
        world.run(SILENCE_MS);
        let ends = calls.map(|call| status(world.end_of(call)).unwrap());
        assert!(ends == [200, 412, 200, 412] || ends == [412, 200, 412, 200], "seed {seed}: {ends:?}");
        assert_eq!(versions(&world), [5]);
    }
}

#[test]
fn an_order_whose_answer_was_lost_is_acknowledged_at_every_machine_after_the_leader_is_lost() {
    for seed in 0..10 {
        let (mut world, leader) = World::led(seed);
        let change = replace(0, &body(5, 1));
        world.lost_answers = 1.0;
        assert!(world.ask(leader, change.clone(), SILENCE_MS).is_none());
        world.lost_answers = 0.0;
        world.kill(leader);
        for machine in world.others(leader) {
            assert_eq!(order(&mut world, machine, &change), 200, "seed {seed}");
        }
        world.start(leader);
        assert_eq!(order(&mut world, leader, &change), 200, "seed {seed}");
        assert_eq!(versions(&world), [5]);
    }
}

#[test]
fn an_order_under_way_when_its_leader_is_killed_ends_clearly_and_once() {
    for seed in 0..40 {
        let (mut world, leader) = World::led(seed);
        let change = replace(0, &body(5, 1));
        world.call(leader, change.clone());
        let wait = world.chance.below(30);
        world.run(wait);
        world.kill(leader);
        let other = world.others(leader)[0];
        assert_eq!(order(&mut world, other, &change), 200, "seed {seed}: in force already or now");
        assert_eq!(order(&mut world, other, &replace(0, &body(5, 2))), 412, "seed {seed}");
        world.start(leader);
        assert_eq!(order(&mut world, leader, &change), 200, "seed {seed}");
        assert_eq!(versions(&world), [5]);
    }
}

#[test]
fn an_order_that_is_not_in_force_may_lose_its_number_to_another() {
    let (mut world, leader) = World::led(3);
    let (first, second) = (replace(0, &body(5, 1)), replace(0, &body(5, 2)));
    world.isolate(leader);
    let call = world.call(leader, first.clone());
    world.run(SILENCE_MS);
    assert!(
        matches!(world.end_of(call), Some(CallEnd::Closed)),
        "its entry may be committed yet: no clear answer"
    );
    assert_eq!(order(&mut world, follower(leader), &second), 200);
    world.cuts.clear();
    world.run(SILENCE_MS);
    for machine in MACHINES {
        assert_eq!(order(&mut world, machine, &first), 412, "it lost the race");
    }
    assert_eq!(versions(&world), [5]);
    assert_eq!(world.in_force[0].1, body(5, 2).as_bytes());
}

fn follower(machine: u8) -> u8 {
    machine % 3 + 1
}

#[test]
fn a_repeat_under_another_base_is_another_order() {
    let (mut world, leader) = World::led(4);
    assert_eq!(order(&mut world, leader, &replace(0, &body(5, 1))), 200);
    assert_eq!(order(&mut world, leader, &replace(5, &body(7, 2))), 200);
    // Not higher than the current one: invalid, though its body is in force.
    assert_eq!(order(&mut world, leader, &replace(7, &body(7, 2))), 412);
    assert_eq!(order(&mut world, leader, &replace(0, &body(7, 2))), 412);
    assert_eq!(order(&mut world, leader, &replace(5, &body(7, 2))), 200);
    assert_eq!(order(&mut world, leader, &replace(0, &body(5, 1))), 200);
}

#[test]
fn an_invalid_order_is_refused_each_time() {
    let (mut world, leader) = World::led(5);
    assert_eq!(order(&mut world, leader, &replace(0, &body(5, 1))), 200);
    for machine in MACHINES {
        assert_eq!(order(&mut world, machine, &replace(5, &body(5, 3))), 412);
        assert_eq!(order(&mut world, machine, &replace(5, &body(4, 3))), 412);
    }
    assert_eq!(versions(&world), [5]);
}

#[test]
fn repeats_are_known_by_a_member_that_took_up_a_snapshot_and_after_the_leader_is_lost() {
    for seed in 0..3 {
        let (mut world, leader) = World::led(seed);
        let away = world.others(leader)[0];
        world.kill(away);
        let mut changes = Vec::new();
        for version in 1..=30 {
            let change = replace(version - 1, &long_body(version, version, BODY_BYTES));
            assert_eq!(order(&mut world, leader, &change), 200);
            changes.push(change);
            if version % 7 == 0 {
                world.others(away).into_iter().for_each(|machine| world.checkpoint(machine));
            }
        }
        world.start(away);
        assert!(
            world.run_until(ACK_TIMEOUT_MS, |world| {
                world.core(away).state().configuration_version() == 30
            })
        );
        world.run(100);
        assert!(world.has_snapshot(away), "the others' logs no longer held what it lacked");
        let mut state = world.core(away).state().clone();
        for change in &changes {
            assert!(matches!(state.apply(&command(change)), ControlResult::AlreadyTaken { .. }));
        }
        // The leader is lost; either of the others leads now.
        world.kill(leader);
        let third = world.others(leader).into_iter().find(|machine| *machine != away).unwrap();
        world.kill(third);
        world.start(third);
        for change in &changes {
            assert_eq!(order(&mut world, away, change), 200, "seed {seed}");
        }
        assert_eq!(order(&mut world, away, &replace(29, &body(30, 99))), 412, "seed {seed}");
        assert_eq!(versions(&world), (1..=30).collect::<Vec<_>>());
    }
}

#[test]
fn an_order_at_the_instant_of_a_checkpoint_is_known_after_the_restart() {
    for seed in 0..20 {
        let (mut world, leader) = World::led(seed);
        let change = replace(0, &body(5, 1));
        world.call(leader, change.clone());
        let wait = world.chance.below(25);
        world.run(wait);
        MACHINES.into_iter().for_each(|machine| world.checkpoint(machine));
        MACHINES.into_iter().for_each(|machine| world.kill(machine));
        MACHINES.into_iter().for_each(|machine| world.start(machine));
        assert_eq!(order(&mut world, 1, &change), 200, "seed {seed}");
        assert_eq!(order(&mut world, 2, &change), 200, "seed {seed}");
        assert_eq!(versions(&world), [5]);
    }
}

/// The page's rule is about repeats with no change in between; repeats after many changes are no refusal either.
#[test]
fn a_repeat_is_never_refused_however_many_changes_came_after_it() {
    let order = |version: u64| {
        ControlCommand::ReplaceConfiguration(ReplaceConfiguration {
            base_version: version - 1,
            version,
            digest: u128::from(version),
            body: Blob::default(),
        })
    };
    let changes = REMEMBERED_CONFIGURATIONS as u64 + 3_000;
    let mut state = ControlState::default();
    for version in 1..=changes {
        assert_eq!(state.apply(&order(version)), ControlResult::Taken { version });
        if version % 5_000 == 0 {
            state = ControlState::restore(state.snapshot().as_slice()).unwrap();
        }
        let earlier = 1 + version.wrapping_mul(0x9E37_79B9) % version;
        let repeated = state.apply(&order(earlier));
        let known = version - earlier < REMEMBERED_CONFIGURATIONS as u64;
        let expected = match known {
            true => ControlResult::AlreadyTaken { version: earlier },
            false => ControlResult::TooOldToTell { version: earlier },
        };
        assert_eq!(repeated, expected, "at {version}");
    }
    for earlier in 1..=changes {
        let repeated = state.apply(&order(earlier));
        let is_refused = matches!(repeated, ControlResult::Conflict { .. } | ControlResult::Taken { .. });
        assert!(!is_refused, "{earlier} is answered {repeated:?}");
    }
}

#[test]
fn what_is_remembered_of_changes_stays_small_in_a_snapshot() {
    let mut state = ControlState::default();
    for version in 1..=REMEMBERED_CONFIGURATIONS as u64 {
        let command = ReplaceConfiguration {
            base_version: version - 1,
            version,
            digest: u128::from(version),
            body: Blob::default(),
        };
        state.apply(&ControlCommand::ReplaceConfiguration(command));
    }
    assert!(state.snapshot().as_slice().len() < 1_024 * 1_024, "{}", state.snapshot().as_slice().len());
}

#[test]
fn a_retirement_is_acknowledged_again_after_its_leader_is_lost_and_refused_only_from_the_agreed_state() {
    for seed in 0..5 {
        let (mut world, leader) = World::led(seed);
        for number in 1..=4 {
            world.session(leader, store(number));
        }
        let all_known = |world: &World| world.core(leader).state().stores().len() == 4;
        assert!(world.run_until(ACK_TIMEOUT_MS, all_known));
        assert_eq!(order(&mut world, leader, &retire("s9")), 404);
        assert_eq!(order(&mut world, leader, &retire("s1")), 200);
        assert_eq!(order(&mut world, leader, &retire("s2")), 409, "two would remain");
        world.kill(leader);
        let other = world.others(leader)[0];
        assert_eq!(order(&mut world, other, &retire("s1")), 200, "seed {seed}: a repeat");
        assert_eq!(order(&mut world, other, &retire("s2")), 409, "seed {seed}");
        let phase = OperatorCall::GetRetire { node: "s1".to_owned() };
        assert_eq!(order(&mut world, other, &phase), 200, "seed {seed}");
    }
}

fn retire(node: &str) -> OperatorCall {
    OperatorCall::StartRetire(RetireOrder { node: node.to_owned(), deadline_ms: 10_000 })
}

fn store(number: u64) -> Registration {
    Registration::Store(StoreMember {
        node: format!("s{number}"),
        replica: ReplicaId(1_000 + number),
        address: format!("10.0.1.{number}:7781"),
        zone: "z".to_owned(),
    })
}
