//! What a coordinator tells the operator and its sessions while it is cut off for twenty seconds, and once it is back.

mod group;
mod world;

use ruddervalve_coordinator::operator::{OperatorCall, RetireOrder};
use ruddervalve_protocol::{CoordinatorReply, Incarnation, Registration};
use world::history::{body, machine_at, replace, version_of};
use world::{CallEnd, MACHINES, World};

/// `AckTimeoutMs` of the tests' settings.
const ACK_TIMEOUT_MS: u64 = 5_000;
/// The longest election timeout: `LivenessMs` of 4,000 / 20 * 2.
const ELECTION_MAX_MS: u64 = 400;
/// After so long nobody calls a leader what was lost; ms: an election timeout and the way there and back.
const KNOWN_LOST_MS: u64 = ELECTION_MAX_MS + 20;
const CUT_MS: u64 = 20_000;

fn get() -> OperatorCall {
    OperatorCall::GetConfiguration
}

fn retire() -> OperatorCall {
    OperatorCall::StartRetire(RetireOrder { node: "nowhere".to_owned(), deadline_ms: 10_000 })
}

fn status(end: Option<CallEnd>) -> Option<u16> {
    match end {
        Some(CallEnd::Answered(status, _)) => Some(status),
        _ => None,
    }
}

/// A leader with a configuration in force.
fn led_with(seed: u64, version: u64) -> (World, u8) {
    let (mut world, leader) = World::led(seed);
    let end = world.ask(leader, replace(0, &body(version, 1)), ACK_TIMEOUT_MS);
    assert_eq!(status(end), Some(200));
    (world, leader)
}

/// Waits until one of the others leads.
fn successor(world: &mut World, lost: u8) -> u8 {
    let leads = |world: &World| world.leader().is_some_and(|leader| leader != lost);
    assert!(world.run_until(ACK_TIMEOUT_MS, leads), "nobody took over");
    world.leader().unwrap()
}

#[test]
fn a_leader_that_is_cut_off_answers_nothing_from_its_state_from_the_first_moment() {
    for seed in 0..10 {
        let (mut world, leader) = led_with(seed, 5);
        world.isolate(leader);
        let calls = [get(), retire(), OperatorCall::GetRetire { node: "nowhere".to_owned() }];
        let calls = calls.map(|call| world.call(leader, call));
        world.run(KNOWN_LOST_MS + ELECTION_MAX_MS);
        for call in calls {
            assert_eq!(status(world.end_of(call)), Some(503), "seed {seed}: no 200, 404 or 409");
        }
    }
}

#[test]
fn a_leader_that_is_cut_off_neither_confirms_nor_refuses_an_order() {
    for seed in 0..10 {
        let (mut world, leader) = led_with(seed, 5);
        world.isolate(leader);
        let good = world.call(leader, replace(5, &body(6, 2)));
        let stale = world.call(leader, replace(0, &body(7, 3)));
        world.run(KNOWN_LOST_MS + ELECTION_MAX_MS);
        for call in [good, stale] {
            assert!(
                matches!(world.end_of(call), Some(CallEnd::Closed)),
                "seed {seed}: what became of it is open"
            );
        }
    }
}

#[test]
fn for_twenty_seconds_a_member_that_is_cut_off_says_at_once_that_it_cannot_tell() {
    for was_leader in [true, false] {
        let (mut world, leader) = led_with(11, 5);
        let cut = if was_leader { leader } else { world.others(leader)[0] };
        world.told_leads(cut, leader);
        world.isolate(cut);
        world.run(2 * ELECTION_MAX_MS);
        let until = world.now + CUT_MS;
        let mut version = 5;
        while world.now < until {
            for call in [get(), replace(version, &body(version + 1, 9)), retire()] {
                let end = world.ask(cut, call, 50);
                assert_eq!(
                    status(end),
                    Some(503),
                    "at once, and neither an answer nor a 307 to a lost leader"
                );
            }
            // The rest serves on.
            let rest = world.leader().expect("the rest has a leader");
            let change = replace(version, &body(version + 1, 1));
            assert_eq!(status(world.ask(rest, change, 200)), Some(200));
            version += 1;
            let Some(CallEnd::Answered(200, read)) = world.ask(rest, get(), 200) else { panic!("no answer") };
            assert_eq!(version_of(&read), version);
            world.run(250);
        }
    }
}

#[test]
fn the_rest_serves_the_operator_within_ack_timeout() {
    for seed in 0..20 {
        let (mut world, leader) = led_with(seed, 5);
        let cut_at = world.now;
        world.isolate(leader);
        let rest = successor(&mut world, leader);
        assert_eq!(status(world.ask(rest, replace(5, &body(6, 2)), 1_000)), Some(200));
        let took = world.now - cut_at;
        assert!(took < ACK_TIMEOUT_MS / 2, "seed {seed}: {took} ms");
    }
}

#[test]
fn a_redirect_never_leads_to_a_leader_that_was_lost() {
    for seed in 0..10 {
        let (mut world, leader) = led_with(seed, 5);
        let follower = world.others(leader)[0];
        let Some(CallEnd::Redirected(address)) = world.ask(follower, get(), 50) else { panic!("no 307") };
        assert_eq!(machine_at(&address), leader);
        for other in world.others(leader) {
            world.told_leads(other, leader);
        }
        world.kill(leader);
        let lost_at = world.now;
        world.run(KNOWN_LOST_MS);
        for _ in 0..40 {
            for machine in world.others(leader) {
                if let Some(CallEnd::Redirected(address)) = world.ask(machine, get(), 50) {
                    let after = world.now - lost_at;
                    assert_ne!(machine_at(&address), leader, "seed {seed}: {after} ms after it was lost");
                }
            }
        }
    }
}

#[test]
fn a_member_that_was_cut_off_disturbs_nobody_in_its_first_second_back() {
    for seed in 0..10 {
        let (mut world, leader) = led_with(seed, 5);
        let cut = world.others(leader)[0];
        world.isolate(cut);
        world.run(CUT_MS);
        let term = world.term(leader);
        world.cuts.clear();
        let until = world.now + 1_000;
        let mut version = 5;
        while world.now < until {
            assert_eq!(world.leader(), Some(leader), "seed {seed}");
            let change = replace(version, &body(version + 1, 1));
            assert_eq!(status(world.ask(leader, change, 200)), Some(200));
            version += 1;
        }
        assert_eq!(world.term(leader), term, "seed {seed}: pre-votes raise no term");
        assert_eq!(world.term(cut), term, "seed {seed}");
        let caught_up = |world: &World| world.core(cut).state().configuration_version() == version;
        assert!(world.run_until(200, caught_up), "seed {seed}");
    }
}

#[test]
fn a_leader_that_was_cut_off_follows_in_its_first_second_back_and_its_orders_end_clearly() {
    for seed in 0..10 {
        let (mut world, leader) = led_with(seed, 5);
        world.isolate(leader);
        let change = replace(5, &body(6, 2));
        world.call(leader, change.clone());
        let rest = successor(&mut world, leader);
        assert_eq!(status(world.ask(rest, replace(5, &body(6, 3)), 1_000)), Some(200));
        world.run(CUT_MS);
        let term = world.term(rest);
        world.cuts.clear();
        world.run(500);
        assert_eq!((world.leader(), world.term(leader)), (Some(rest), term), "seed {seed}");
        let Some(CallEnd::Redirected(address)) = world.ask(leader, change.clone(), 50) else {
            panic!("no 307")
        };
        assert_eq!(machine_at(&address), rest);
        assert_eq!(status(world.ask(rest, change, 1_000)), Some(412), "the other one won");
        assert_eq!(world.in_force.last().unwrap().1, body(6, 3).as_bytes());
    }
}

#[test]
fn cuts_of_one_direction_leave_a_leader_that_all_can_reach_or_another() {
    for seed in 0..12 {
        let (mut world, leader) = led_with(seed, 5);
        let others = world.others(leader);
        for other in others {
            let cut = if seed % 2 == 0 { (leader, other) } else { (other, leader) };
            world.cuts.insert(cut);
        }
        let cut_at = world.now;
        let rest = successor(&mut world, leader);
        assert_eq!(status(world.ask(rest, replace(5, &body(6, 2)), 1_000)), Some(200));
        assert!(world.now - cut_at < ACK_TIMEOUT_MS / 2, "seed {seed}");
        let until = world.now + CUT_MS;
        while world.now < until {
            let end = world.ask(leader, get(), 50);
            if let Some(CallEnd::Answered(code, _)) = &end {
                assert_eq!(*code, 503, "seed {seed}: it leads no more");
            }
            assert!(!matches!(end, Some(CallEnd::Closed)), "seed {seed}");
            world.run(500);
        }
        assert_eq!(world.leader(), Some(rest), "seed {seed}: it stays in office");
    }
}

#[test]
fn a_member_that_does_not_hear_the_leader_but_the_others_unseats_nobody() {
    for seed in 0..6 {
        let (mut world, leader) = led_with(seed, 5);
        let deaf = world.others(leader)[0];
        let term = world.term(leader);
        world.cuts.insert((leader, deaf));
        let until = world.now + CUT_MS;
        while world.now < until {
            world.run(100);
            assert_eq!((world.leader(), world.term(leader)), (Some(leader), term), "seed {seed}");
            assert!(status(world.ask(deaf, get(), 50)).is_none_or(|status| status == 503), "seed {seed}");
        }
        assert_eq!(status(world.ask(leader, replace(5, &body(6, 2)), 1_000)), Some(200));
        world.cuts.clear();
        world.run(1_000);
        assert_eq!((world.leader(), world.term(leader)), (Some(leader), term), "seed {seed}: nor later");
    }
}

#[test]
fn sessions_of_a_leader_that_is_cut_off_are_told_within_its_lease_that_it_leads_no_more() {
    let (mut world, leader) = led_with(3, 5);
    let edge = world.session(leader, Registration::Edge { incarnation: Incarnation(7) });
    let told = world.heartbeat(leader, edge);
    assert!(told.iter().any(|reply| matches!(reply, CoordinatorReply::Alive { configuration: 5, .. })));
    world.isolate(leader);
    world.run(ELECTION_MAX_MS / 2);
    let until = world.now + CUT_MS;
    while world.now < until {
        let told = world.heartbeat(leader, edge);
        assert!(told.iter().all(|reply| matches!(reply, CoordinatorReply::NotLeader { .. })), "{told:?}");
        world.run(450);
    }
    world.cuts.clear();
    world.run(500);
    let rest = world.leader().unwrap();
    assert_ne!(rest, leader);
    let told = world.heartbeat(leader, edge);
    let [CoordinatorReply::NotLeader { candidates }] = told.as_slice() else { panic!("{told:?}") };
    let [address] = candidates.as_slice() else { panic!("{told:?}") };
    assert_eq!(machine_at(address), rest);
}

#[test]
fn a_leader_that_thaws_after_another_took_over_answers_nothing_and_tells_nothing() {
    for seed in 0..20 {
        let (mut world, leader) = led_with(seed, 5);
        let edge = world.session(leader, Registration::Edge { incarnation: Incarnation(7) });
        world.heartbeat(leader, edge);
        // The calls arrive while it is frozen; it takes them when it goes on.
        world.freeze(leader, CUT_MS);
        let calls = [get(), retire(), replace(5, &body(6, 2))].map(|call| world.call(leader, call));
        let rest = successor(&mut world, leader);
        assert_eq!(status(world.ask(rest, replace(5, &body(7, 3)), 1_000)), Some(200));
        world.run(CUT_MS);
        for call in calls {
            let end = world.end_of(call);
            let is_referred = match &end {
                Some(CallEnd::Redirected(address)) => machine_at(address) == rest,
                end => matches!(end, Some(CallEnd::Answered(503, _))),
            };
            assert!(is_referred, "seed {seed}: {end:?}");
        }
        let told = world.heartbeat(leader, edge);
        let is_stale = |reply: &CoordinatorReply| !matches!(reply, CoordinatorReply::NotLeader { .. });
        assert!(!told.iter().any(is_stale), "seed {seed}: {told:?}");
    }
}

#[test]
fn while_all_are_cut_off_from_all_nobody_answers_and_afterwards_nothing_is_lost() {
    let (mut world, leader) = led_with(8, 5);
    MACHINES.into_iter().for_each(|machine| world.isolate(machine));
    world.call(leader, replace(5, &body(6, 2)));
    world.run(2 * ELECTION_MAX_MS);
    let until = world.now + CUT_MS;
    while world.now < until {
        for machine in MACHINES {
            assert_eq!(status(world.ask(machine, get(), 50)), Some(503));
            assert_eq!(status(world.ask(machine, replace(5, &body(8, 4)), 50)), Some(503));
        }
        world.run(500);
    }
    world.cuts.clear();
    assert!(world.run_until(ACK_TIMEOUT_MS, |world| world.leader().is_some()));
    let leader = world.leader().unwrap();
    let Some(CallEnd::Answered(200, read)) = world.ask(leader, get(), 1_000) else { panic!("no answer") };
    assert!([5, 6].contains(&version_of(&read)), "the order without a clear answer may be in force or not");
    let again = status(world.ask(leader, replace(5, &body(6, 2)), 1_000));
    assert_eq!(again, Some(200));
}
