//! What the leading coordinator does about members that are gone, and how it ends.

mod group;

use group::{GRACE_MS, Group, LIVENESS_MS, SYNC_MS};
use ruddervalve_coordinator::operator::{OperatorCall, ReplaceOrder, RetireOrder};
use ruddervalve_coordinator::state_command::ReplaceConfiguration;
use ruddervalve_coordinator::{CoordinatorOutput, OperatorReply};
use ruddervalve_protocol::{
    Blob, CoordinatorReply, CoordinatorRequest, Incarnation, Registration, ReplicaId,
};

/// So long after its loss a member is taken for gone for good.
const GONE_AFTER_MS: u64 = 4 * SYNC_MS;
/// So long after its loss a member's place is given to another.
const AWAY_AFTER_MS: u64 = SYNC_MS / 4;
/// Enough for a few steps of a membership in a group whose messages arrive at once.
const STEPS_MS: u64 = 500;
const CONFIGURATION: &str = r#"{"ResourceVersion":7,"Services":[{"Name":"s"}],
    "Routes":[{"Name":"r","Hostname":"h","PathPrefix":"/","Type":"asynchronous","TimeoutMs":5,"Backend":"s"}]}"#;

fn follower(leader: u8) -> u8 {
    [1, 2, 3].into_iter().find(|number| *number != leader).unwrap()
}

fn retire(node: &str) -> OperatorCall {
    OperatorCall::StartRetire(RetireOrder { node: node.to_owned(), deadline_ms: 10_000 })
}

fn code(reply: Option<OperatorReply>) -> Option<u16> {
    match reply {
        Some(OperatorReply::Answer(answer)) => Some(answer.status.code()),
        _ => None,
    }
}

fn names(group: &mut Group, at: u8) -> (Vec<String>, Vec<String>) {
    let directory = group.member(at).core.state().directory();
    let stores = directory.stores.into_iter().map(|store| store.node).collect();
    (stores, directory.coordinators.into_iter().map(|member| member.node).collect())
}

fn is_replaced_by_4(group: &Group, leader: u8) -> bool {
    let voters = group.voters(leader);
    voters.len() == 3 && voters.contains(&ReplicaId(4))
}

#[test]
fn a_voter_that_is_away_is_replaced_at_once_and_forgotten_when_it_is_gone_for_good() {
    let (mut group, leader) = Group::led(&[4]);
    let lost = follower(leader);
    assert!(!group.voters(leader).contains(&ReplicaId(4)), "there are three already");
    group.lose(lost);
    group.run(AWAY_AFTER_MS / 2);
    assert!(!group.voters(leader).contains(&ReplicaId(4)), "it may be starting anew");
    let replaced = |group: &Group| is_replaced_by_4(group, leader);
    assert!(group.run_until(AWAY_AFTER_MS / 2 + STEPS_MS, replaced), "{:?}", group.voters(leader));
    group.run(GONE_AFTER_MS - 2 * AWAY_AFTER_MS);
    assert!(names(&mut group, leader).1.contains(&format!("c{lost}")), "it may come back");
    group.run(LIVENESS_MS);
    assert!(!names(&mut group, leader).1.contains(&format!("c{lost}")));
}

#[test]
fn after_a_voter_was_replaced_another_may_be_lost() {
    let (mut group, leader) = Group::led(&[4]);
    let others: Vec<u8> = [1, 2, 3].into_iter().filter(|other| *other != leader).collect();
    group.lose(others[0]);
    assert!(group.run_until(SYNC_MS, |group| is_replaced_by_4(group, leader)));
    group.lose(others[1]);
    group.run(LIVENESS_MS);
    let leads = |group: &Group, at: u8| group.members[&at].core.leads(group.now);
    assert!(leads(&group, leader) || leads(&group, 4));
}

#[test]
fn a_voter_that_returns_before_its_successor_votes_keeps_its_place() {
    let (mut group, leader) = Group::led(&[4]);
    let lost = follower(leader);
    let voters = group.voters(leader);
    let member = group.cut_off(lost).unwrap();
    // The successor is connected, and stands still before it has caught up.
    group.run(AWAY_AFTER_MS - 1);
    let successor = group.members.remove(&4).unwrap();
    let learns = |group: &Group| group.learners(leader) == [ReplicaId(4)];
    assert!(group.run_until(STEPS_MS, learns), "{:?}", group.learners(leader));
    group.rejoin(lost, member);
    group.run(STEPS_MS);
    assert_eq!((group.voters(leader), group.learners(leader)), (voters.clone(), Vec::new()));
    group.members.insert(4, successor);
    group.run(STEPS_MS);
    assert_eq!(group.voters(leader), voters);
}

#[test]
fn a_voter_that_returns_after_it_was_forgotten_may_vote_again() {
    let (mut group, leader) = Group::led(&[4]);
    let lost = follower(leader);
    let identity = group.members[&lost].core.member().replica;
    let member = group.cut_off(lost).unwrap();
    group.run(GONE_AFTER_MS + LIVENESS_MS);
    assert!(!names(&mut group, leader).1.contains(&format!("c{lost}")));
    group.rejoin(lost, member);
    group.run(LIVENESS_MS);
    assert!(names(&mut group, leader).1.contains(&format!("c{lost}")), "nobody has emptied its disk");
    group.lose(4);
    let votes = |group: &Group| group.voters(leader).contains(&identity);
    assert!(group.run_until(SYNC_MS, votes), "{:?}", group.voters(leader));
}

#[test]
fn a_voter_that_is_away_stays_while_there_is_no_other() {
    let (mut group, leader) = Group::led(&[]);
    group.lose(follower(leader));
    group.run(2 * GONE_AFTER_MS);
    assert_eq!(group.voters(leader).len(), 3);
    assert_eq!(names(&mut group, leader).1.len(), 3);
}

#[test]
fn a_store_that_is_gone_for_good_is_forgotten_when_nothing_wants_it() {
    let (mut group, leader) = Group::led(&[]);
    let sessions: Vec<u64> = (1..=4).map(|number| group.store(leader, number)).collect();
    group.run(LIVENESS_MS);
    group.shards_follow(leader, sessions[0]);
    let now = group.now;
    group.member(leader).core.session_ended(now, sessions[3]);
    group.run(GONE_AFTER_MS - 1_000);
    assert_eq!(names(&mut group, leader).0.len(), 4);
    for _ in 0..8 {
        group.run(LIVENESS_MS / 2);
        group.shards_follow(leader, sessions[0]);
    }
    assert_eq!(names(&mut group, leader).0, ["s1", "s2", "s3"]);
}

#[test]
fn a_retirement_that_has_succeeded_is_acknowledged_again() {
    let (mut group, leader) = Group::led(&[]);
    let sessions: Vec<u64> = (1..=4).map(|number| group.store(leader, number)).collect();
    group.run(LIVENESS_MS);
    group.shards_follow(leader, sessions[0]);
    assert_eq!(code(group.call(leader, retire("s5"))), Some(404));
    assert_eq!(code(group.call(leader, retire("s4"))), Some(200));
    assert_eq!(code(group.call(leader, retire("s4"))), Some(200));
    for _ in 0..8 {
        group.run(LIVENESS_MS / 2);
        group.shards_follow(leader, sessions[0]);
    }
    assert_eq!(names(&mut group, leader).0, ["s1", "s2", "s3"]);
    assert_eq!(code(group.call(leader, retire("s4"))), Some(200));
    assert_eq!(code(group.call(leader, retire("s3"))), Some(409), "too few would be left");
}

#[test]
fn a_store_that_registers_waits_for_no_other_command() {
    let (mut group, leader) = Group::led(&[]);
    let sessions: Vec<u64> = (1..=4).map(|number| group.store(leader, number)).collect();
    group.run(LIVENESS_MS);
    group.shards_follow(leader, sessions[0]);
    // Without its peers nothing that the leader proposes is committed.
    for other in [1, 2, 3].into_iter().filter(|other| *other != leader) {
        group.lose(other);
    }
    let last = |group: &mut Group| {
        group.member(leader).core.host().replica(ruddervalve_protocol::GroupId::CONTROL).unwrap().last_index()
    };
    group.store(leader, 5);
    group.settle();
    let before = last(&mut group);
    group.store(leader, 6);
    group.settle();
    assert_eq!(last(&mut group), before + 1);
}

#[test]
fn a_heartbeat_is_answered_after_the_configuration_and_with_its_version() {
    let (mut group, leader) = Group::led(&[]);
    let order = ReplaceOrder {
        replacement: ReplaceConfiguration {
            base_version: 0,
            version: 7,
            digest: ruddervalve_configuration::digest(CONFIGURATION.as_bytes()),
            body: Blob::from(CONFIGURATION.as_bytes()),
        },
        configuration: ruddervalve_configuration::Configuration::parse(CONFIGURATION.as_bytes()).unwrap(),
    };
    assert_eq!(code(group.call(leader, OperatorCall::ReplaceConfiguration(Box::new(order)))), Some(200));
    group.session(leader, Registration::Edge { incarnation: Incarnation(1) });
    group.session(leader, Registration::Edge { incarnation: Incarnation(1) });
    let session = group.session(leader, Registration::Edge { incarnation: Incarnation(2) });
    group.says(leader, session, CoordinatorRequest::Heartbeat);
    group.settle();
    let told = group.told(leader, session);
    let alive = told.iter().position(|reply| matches!(reply, CoordinatorReply::Alive { .. })).unwrap();
    let configured = told.iter().position(|reply| matches!(reply, CoordinatorReply::Configuration(_)));
    assert!(configured.unwrap() < alive, "{told:?}");
    let CoordinatorReply::Alive { configuration, edges, .. } = told[alive] else { panic!() };
    assert_eq!((configuration, edges), (7, 2));
}

#[test]
fn a_leader_that_finds_no_successor_ends_after_half_of_its_grace() {
    let (mut group, leader) = Group::led(&[]);
    for other in [1, 2, 3].into_iter().filter(|other| *other != leader) {
        group.lose(other);
    }
    let now = group.now;
    group.member(leader).core.terminate(now);
    let wake = group.member(leader).core.next_wake(now + GRACE_MS / 2 - 1);
    assert!(wake <= now + GRACE_MS / 2);
    assert!(group.member(leader).core.ended(now + GRACE_MS / 2));
}

#[test]
fn a_leader_that_ends_hands_over_again_if_it_failed() {
    let (mut group, leader) = Group::led(&[]);
    // Nobody has been heard of for a while when the signal comes, and somebody has soon after.
    let others: Vec<u8> = [1, 2, 3].into_iter().filter(|other| *other != leader).collect();
    let held: Vec<_> =
        others.iter().filter_map(|other| group.members.remove(other).map(|m| (*other, m))).collect();
    group.run(LIVENESS_MS / 20 + 1);
    let now = group.now;
    assert!(group.member(leader).core.host().replica(ruddervalve_protocol::GroupId::CONTROL).is_some());
    group.member(leader).core.terminate(now);
    group.members.extend(held);
    let ended = |group: &Group| group.members[&leader].core.ended(group.now);
    assert!(group.run_until(GRACE_MS / 4, ended));
}

#[test]
fn a_coordinator_that_is_no_member_redirects_to_the_leader() {
    let (mut group, leader) = Group::led(&[4]);
    assert_eq!(code(group.call(4, OperatorCall::GetConfiguration)), Some(503), "it has not heard of one");
    group.told_leads(4, leader);
    let control = group.member(leader).core.member().control_address.clone();
    let Some(OperatorReply::Redirect(to)) = group.call(4, OperatorCall::GetConfiguration) else { panic!() };
    assert_eq!(to, control);
    group.run(LIVENESS_MS);
    assert_eq!(code(group.call(4, OperatorCall::GetConfiguration)), Some(503), "that is long ago");
}

#[test]
fn new_seeds_are_connected_to_at_once() {
    let (mut group, leader) = Group::led(&[]);
    let core = &mut group.member(leader).core;
    core.outputs();
    let mut new = group::settings(leader);
    new.seeds.push("10.0.0.77:8064".parse().unwrap());
    core.set_settings(&new);
    assert!(core.outputs().iter().any(|output| matches!(output, CoordinatorOutput::Connect)));
    assert!(core.others().contains(&"10.0.0.77:7780".parse().unwrap()));
}

/// Coordinators 1 to 4 with a store beside each; the group's voters are the first three.
fn stores_beside_coordinators() -> (Group, u8, Vec<u64>) {
    let (mut group, leader) = Group::led(&[4]);
    let sessions = (1..=4).map(|number| group.store_on(leader, number, format!("c{number}"))).collect();
    group.run(LIVENESS_MS);
    (group, leader, sessions)
}

#[test]
fn a_machine_that_is_emptied_leaves_the_control_group_first() {
    let (mut group, leader, sessions) = stores_beside_coordinators();
    let leaves = follower(leader);
    let node = format!("c{leaves}");
    assert_eq!(code(group.call(leader, retire(&node))), Some(200));
    for _ in 0..8 {
        let voters = group.voters(leader);
        let finished = !names(&mut group, leader).0.contains(&node);
        assert!(
            !finished || !voters.iter().any(|voter| *voter == group.member(leaves).core.member().replica)
        );
        group.run(LIVENESS_MS / 2);
        group.shards_follow(leader, sessions[0]);
    }
    assert!(!names(&mut group, leader).0.contains(&node), "the retirement has ended");
    let voters = group.voters(leader);
    assert!(voters.len() == 3 && voters.contains(&ReplicaId(4)), "{voters:?}");
}
