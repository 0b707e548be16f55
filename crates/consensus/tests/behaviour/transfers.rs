use ruddervalve_consensus::{MembershipChange, MembershipError, MessageKind, ProposeError, Role};

use crate::group::{A, B, C, D, Group, TIMING, command};

fn transfer(group: &mut Group, to: Option<ruddervalve_protocol::ReplicaId>) -> bool {
    let now = group.now;
    let begun = group.replica(A).transfer_leadership(now, to);
    group.settle();
    begun
}

#[test]
fn leadership_goes_at_once_to_whom_it_is_handed() {
    let mut group = Group::led_by_a(&[A, B, C]);
    let now = group.now;
    group.replica(A).propose(now, command("x")).expect("A leads");
    assert!(transfer(&mut group, Some(C)));
    assert_eq!(group.replica(C).role(), Role::Leader);
    assert_eq!(group.replica(A).role(), Role::Follower);
    assert_eq!(group.now, now, "nobody waited for a timeout");
    group.run(200);
    assert_eq!(group.commands(C), ["x"]);
}

#[test]
fn the_lease_ends_when_the_successor_is_told() {
    let mut group = Group::led_by_a(&[A, B, C]);
    group.hold = Some(MessageKind::TimeoutNow);
    let now = group.now;
    assert!(transfer(&mut group, None));
    assert_eq!(group.held.len(), 1);
    assert!(!group.replica(A).lease_valid(now));
    assert_eq!(group.replica(A).propose(now, command("x")), Err(ProposeError::Transferring));
    let refused = group.replica(A).change_membership(now, MembershipChange::AddLearner(D));
    assert_eq!(refused, Err(MembershipError::Transferring));
}

#[test]
fn a_transfer_to_one_that_does_not_catch_up_is_given_up_and_the_leader_leads_on_in_its_term() {
    let mut group = Group::led_by_a(&[A, B, C]);
    group.cuts.insert((A, C));
    let now = group.now;
    group.replica(A).propose(now, command("x")).expect("A leads");
    group.settle();
    assert!(transfer(&mut group, Some(C)));
    let term = group.replica(A).term();
    let now = group.now;
    assert!(group.replica(A).lease_valid(now), "nobody was told to take over");
    // C hears nothing but what lets it refuse to campaign: its requests go nowhere.
    group.cuts.extend([(C, A), (C, B)]);
    group.run(TIMING.election_max_ms);
    let now = group.now;
    assert_eq!((group.replica(A).role(), group.replica(A).term()), (Role::Leader, term));
    assert!(group.replica(A).lease_valid(now));
    assert!(group.replica(A).propose(now, command("y")).is_ok());
}

#[test]
fn a_successor_that_was_told_in_vain_is_fenced_by_a_new_term() {
    let mut group = Group::led_by_a(&[A, B, C]);
    let term = group.replica(A).term();
    group.hold = Some(MessageKind::TimeoutNow);
    assert!(transfer(&mut group, Some(C)));
    group.run(TIMING.election_max_ms + 200);
    let now = group.now;
    assert_eq!((group.replica(A).role(), group.replica(A).term()), (Role::Leader, term + 1));
    assert!(group.replica(A).lease_valid(now));
    group.release();
    group.run(200);
    let now = group.now;
    assert_eq!(group.replica(C).role(), Role::Follower, "the late word counts no more");
    assert!(group.replica(A).lease_valid(now));
}

#[test]
fn leadership_is_handed_only_to_voters_that_are_active() {
    let mut group = Group::led_by_a(&[A, B, C]);
    assert!(!transfer(&mut group, Some(D)));
    assert!(!transfer(&mut group, Some(A)));
    group.isolate(C);
    group.run(TIMING.election_min_ms + 100);
    assert!(!transfer(&mut group, Some(C)));
    let now = group.now;
    assert!(!group.replica(B).transfer_leadership(now, None), "B does not lead");
    assert!(group.replica(A).lease_valid(now));
}
