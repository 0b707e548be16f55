//! A coordinator that was removed from the control group while it was away, and returns with its old disk.

mod group;

use group::{Group, LIVENESS_MS, SYNC_MS};
use ruddervalve_coordinator::OperatorReply;
use ruddervalve_coordinator::operator::OperatorCall;
use ruddervalve_disk::ProcessState;
use ruddervalve_protocol::{
    CoordinatorReply, CoordinatorRequest, GroupId, Incarnation, Registration, ReplicaId,
};

/// So long after its loss a member is surely replaced.
const REPLACED_AFTER_MS: u64 = 4 * SYNC_MS + LIVENESS_MS;

/// A group whose voter was replaced while it was away; the group, its leader, and the number and the disk of the voter.
fn replaced_while_away() -> (Group, u8, u8, ProcessState) {
    let (mut group, leader) = Group::led(&[4]);
    let lost = [1, 2, 3].into_iter().find(|number| *number != leader).unwrap();
    let disk = group.member(lost).core.checkpoint().state;
    group.lose(lost);
    group.run(REPLACED_AFTER_MS);
    assert!(group.voters(leader).contains(&ReplicaId(4)), "{:?}", group.voters(leader));
    (group, leader, lost, disk)
}

fn has_replica(group: &mut Group, number: u8) -> bool {
    group.member(number).core.host().replica(GroupId::CONTROL).is_some()
}

#[test]
fn it_leaves_the_group_and_disturbs_nobody() {
    let (mut group, leader, lost, disk) = replaced_while_away();
    let term = |group: &mut Group| group.member(leader).core.host().replica(GroupId::CONTROL).unwrap().term();
    let before = (term(&mut group), group.voters(leader));
    group.start_on(lost, &disk, false);
    assert!(has_replica(&mut group, lost));
    group.run(LIVENESS_MS);
    assert!(!has_replica(&mut group, lost));
    assert_eq!(group.leader(), Some(leader));
    assert_eq!((term(&mut group), group.voters(leader)), before);
}

#[test]
fn it_forgets_the_state_that_it_had_and_tells_who_leads() {
    let (mut group, leader, lost, disk) = replaced_while_away();
    group.start_on(lost, &disk, false);
    assert_ne!(group.member(lost).core.state().directory_version(), 0);
    group.run(LIVENESS_MS);
    assert_eq!(group.member(lost).core.state().directory_version(), 0);
    assert_eq!(group.member(lost).core.applied(), 0);
    let known = group.member(lost).core.coordinators();
    assert!(known.iter().any(|(id, _)| *id == ReplicaId(4)), "{known:?}");
    group.told_leads(lost, leader);
    let reply = group.call(lost, OperatorCall::GetConfiguration);
    assert!(matches!(reply, Some(OperatorReply::Redirect(_))), "{reply:?}");
}

#[test]
fn it_names_the_leader_to_processes_that_start() {
    let (mut group, leader, lost, disk) = replaced_while_away();
    group.start_on(lost, &disk, false);
    group.run(LIVENESS_MS);
    assert!(!has_replica(&mut group, lost));
    let address = group.told_leads(lost, leader);
    let edge = group.session(lost, Registration::Edge { incarnation: Incarnation(7) });
    group.says(lost, edge, CoordinatorRequest::Heartbeat);
    group.settle();
    assert_eq!(group.told(lost, edge), [CoordinatorReply::NotLeader { candidates: vec![address] }]);
}

#[test]
fn it_stays_out_after_a_restart() {
    let (mut group, leader, lost, disk) = replaced_while_away();
    group.start_on(lost, &disk, false);
    group.run(LIVENESS_MS);
    let disk = group.member(lost).core.checkpoint().state;
    assert!(disk.groups[&GroupId::CONTROL].is_left());
    group.lose(lost);
    group.start_on(lost, &disk, false);
    group.run(LIVENESS_MS);
    assert!(!has_replica(&mut group, lost));
    assert_eq!(group.leader(), Some(leader));
}
