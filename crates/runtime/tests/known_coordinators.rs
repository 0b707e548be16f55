//! Which coordinators a process keeps connections to while it looks for the leader.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use ruddervalve_protocol::{
    ControlMembers, CoordinatorMember, CoordinatorReply, Incarnation, Registration, ReplicaId,
};
use ruddervalve_runtime::KnownCoordinators;

fn address(number: u8) -> SocketAddr {
    format!("10.0.0.{number}:7780").parse().unwrap()
}

fn addresses(numbers: &[u8]) -> BTreeSet<SocketAddr> {
    numbers.iter().copied().map(address).collect()
}

fn not_leader(candidates: &[u8]) -> CoordinatorReply {
    CoordinatorReply::NotLeader {
        candidates: candidates.iter().map(|number| address(*number).to_string()).collect(),
    }
}

fn alive() -> CoordinatorReply {
    CoordinatorReply::Alive { term: 1, configuration: 0, edges: 0 }
}

/// An edge that knows the seeds 1 and 2.
fn edge() -> KnownCoordinators {
    let mut known = KnownCoordinators::new(&Registration::Edge { incarnation: Incarnation(1) });
    known.set_listed(&[address(1), address(2)]);
    known
}

#[test]
fn all_that_the_seeds_name_are_asked_until_one_of_them_leads() {
    let mut known = edge();
    assert!(known.hear(address(1), &not_leader(&[2, 3, 4])));
    assert!(known.hear(address(2), &not_leader(&[5])));
    assert!(!known.hear(address(2), &not_leader(&[5])), "that is no news");
    assert_eq!(known.addresses(), addresses(&[1, 2, 3, 4, 5]));
    assert!(known.hear(address(4), &alive()));
    assert_eq!(known.addresses(), addresses(&[1, 2, 4]), "the leader tells of the others in its directory");
}

#[test]
fn in_calm_times_no_answer_is_news() {
    let mut known = edge();
    known.hear(address(1), &not_leader(&[3]));
    assert!(known.hear(address(3), &alive()));
    for _ in 0..3 {
        assert!(!known.hear(address(1), &not_leader(&[3])));
        assert!(!known.hear(address(2), &not_leader(&[1, 3])));
        assert!(!known.hear(address(3), &alive()));
    }
}

#[test]
fn a_candidate_names_further_ones() {
    let mut known = edge();
    known.hear(address(1), &not_leader(&[3]));
    known.hear(address(3), &not_leader(&[4]));
    assert_eq!(known.addresses(), addresses(&[1, 2, 3, 4]));
}

#[test]
fn the_newest_word_of_a_coordinator_replaces_its_older_ones() {
    let mut known = edge();
    known.hear(address(1), &not_leader(&[3]));
    known.hear(address(1), &not_leader(&[4]));
    assert_eq!(known.addresses(), addresses(&[1, 2, 4]));
}

#[test]
fn the_leader_that_was_heard_last_is_kept_until_another_is_heard() {
    let mut known = edge();
    known.hear(address(3), &alive());
    known.set_listed(&[address(2)]);
    known.hear(address(3), &not_leader(&[4]));
    assert_eq!(known.addresses(), addresses(&[2, 3, 4]));
    known.hear(address(4), &alive());
    assert_eq!(known.addresses(), addresses(&[2, 4]));
}

#[test]
fn a_coordinator_does_not_connect_to_itself() {
    let member = CoordinatorMember {
        node: "c3".to_owned(),
        replica: ReplicaId(3),
        address: address(3).to_string(),
        control_address: "10.0.0.3:8064".to_owned(),
    };
    let mut known = KnownCoordinators::new(&Registration::Coordinator(member));
    known.set_listed(&[address(1)]);
    known.hear(address(1), &not_leader(&[2, 3]));
    assert_eq!(known.addresses(), addresses(&[1, 2]));
}

#[test]
fn what_is_no_address_is_passed_over_and_no_coordinator_names_too_many() {
    let mut known = edge();
    let strange =
        CoordinatorReply::NotLeader { candidates: vec!["nowhere".to_owned(), address(3).to_string()] };
    known.hear(address(1), &strange);
    assert_eq!(known.addresses(), addresses(&[1, 2, 3]));
    let many = (0..=u16::MAX).map(|port| format!("10.0.0.9:{port}")).collect();
    known.hear(address(2), &CoordinatorReply::NotLeader { candidates: many });
    assert!(known.addresses().len() < 2_000);
}

fn members(version: u64, numbers: &[u8]) -> CoordinatorReply {
    let addresses = numbers.iter().map(|number| address(*number).to_string()).collect();
    CoordinatorReply::Members(ControlMembers { version, addresses })
}

/// An edge that hears the leader 3, and that the members of the control group are 3, 4 and 5.
fn settled_edge() -> KnownCoordinators {
    let mut known = edge();
    known.set_listed(&[1, 2, 3, 4, 5, 6, 7].map(address));
    known.hear(address(3), &alive());
    assert!(known.hear(address(3), &members(1, &[3, 4, 5])));
    known
}

#[test]
fn while_a_leader_answers_the_members_of_its_group_are_enough() {
    let mut known = settled_edge();
    assert_eq!(known.addresses(), addresses(&[3, 4, 5]));
    for _ in 0..10 {
        assert!(!known.heartbeat_sent());
        assert!(!known.hear(address(3), &alive()));
    }
    assert_eq!(known.addresses(), addresses(&[3, 4, 5]));
}

#[test]
fn another_member_that_leads_is_heard_at_once() {
    let mut known = settled_edge();
    known.heartbeat_sent();
    assert!(known.hear(address(4), &alive()));
    assert!(known.hear(address(4), &members(1, &[4, 5, 6])));
    assert_eq!(known.addresses(), addresses(&[4, 5, 6]));
}

#[test]
fn all_coordinators_are_asked_when_no_leader_has_answered_for_a_silence() {
    let mut known = settled_edge();
    let news: Vec<bool> = (0..6).map(|_| known.heartbeat_sent()).collect();
    assert_eq!(news, [false, false, false, true, false, false]);
    assert_eq!(known.addresses(), addresses(&[1, 2, 3, 4, 5, 6, 7]));
    known.hear(address(6), &alive());
    known.hear(address(6), &members(1, &[5, 6, 7]));
    assert_eq!(known.addresses(), addresses(&[5, 6, 7]));
}

#[test]
fn members_without_an_address_that_can_be_read_leave_all_coordinators_asked() {
    let mut known = settled_edge();
    let unknown = ControlMembers { version: 2, addresses: vec!["nowhere".to_owned()] };
    assert!(known.hear(address(3), &CoordinatorReply::Members(unknown)));
    assert_eq!(known.addresses(), addresses(&[1, 2, 3, 4, 5, 6, 7]));
}

#[test]
fn a_coordinator_that_leads_does_not_miss_a_leader() {
    let mut known = settled_edge();
    for _ in 0..10 {
        known.leads_itself();
        assert!(!known.heartbeat_sent());
    }
}
