//! Elections right after members have restarted.

use ruddervalve_consensus::{Membership, MembershipChange, MessageKind, Restored, Role};
use ruddervalve_protocol::ReplicaId;

use crate::group::{A, B, C, D, Group, TIMING, used, voters};

/// Long enough for some rounds, and well before forgotten promises are over.
const SOON_MS: u64 = 400;

fn restarted(ids: &[ReplicaId]) -> Group {
    Group::new(ids.iter().map(|id| (*id, used(ids, 3, 5))).collect())
}

/// The process of a member ends, and another one starts from a disk with a log of empty entries of `term`.
fn restart(group: &mut Group, id: ReplicaId, restored: Restored) {
    group.members.retain(|member| member.replica.id() != id);
    group.join(id, restored);
}

fn leaders(group: &Group) -> Vec<ReplicaId> {
    let leads = |member: &&crate::group::Member| member.replica.role() == Role::Leader;
    group.members.iter().filter(leads).map(|member| member.replica.id()).collect()
}

#[test]
fn a_group_that_has_restarted_whole_elects_without_waiting_for_forgotten_leases() {
    for ids in [&[A, B][..], &[A, B, C], &[A, B, C, D]] {
        let mut group = restarted(ids);
        group.run(SOON_MS);
        assert_eq!(leaders(&group).len(), 1, "{ids:?}");
        assert!(group.now < TIMING.election_min_ms);
    }
}

#[test]
fn a_lone_voter_leads_at_once() {
    let mut group = restarted(&[A]);
    let now = group.replica(A).next_wake();
    group.run(now);
    assert_eq!(leaders(&group), [A]);
    assert_eq!(group.now, 0, "it has nobody to wait for");
}

#[test]
fn a_member_that_is_away_may_lead_so_the_others_wait() {
    let mut group = restarted(&[A, B, C]);
    group.isolate(C);
    group.run(TIMING.election_min_ms - 1);
    assert_eq!(leaders(&group), []);
    group.run(TIMING.election_max_ms * 2);
    assert_eq!(leaders(&group).len(), 1);
}

#[test]
fn a_learner_that_is_away_may_lead_so_the_others_wait() {
    let membership = Membership { voters: vec![A, B, C], learners: vec![D] };
    let with_learner = || Restored { founding: Some(membership.clone()), ..used(&[A, B, C], 3, 5) };
    let mut group = Group::new([A, B, C].map(|id| (id, with_learner())).to_vec());
    group.run(TIMING.election_min_ms - 1);
    assert_eq!(leaders(&group), []);
    let mut group = Group::new([A, B, C, D].map(|id| (id, with_learner())).to_vec());
    group.run(SOON_MS);
    assert_eq!(leaders(&group).len(), 1);
}

#[test]
fn a_leader_that_is_cut_off_keeps_its_lease_while_its_followers_restart() {
    let mut group = Group::led_by_a(&[A, B, C]);
    let term = group.replica(A).term();
    group.isolate(A);
    for id in [B, C] {
        restart(&mut group, id, used(&[A, B, C], term, 1));
    }
    let mut now = group.now;
    while group.replica(A).lease_valid(now) {
        assert_eq!(leaders(&group), [A]);
        group.run(10);
        now = group.now;
    }
    assert_eq!(leaders(&group), [A], "its lease is over, and nobody has been elected in it");
}

#[test]
fn a_member_that_hears_a_leader_says_so() {
    let mut group = Group::led_by_a(&[A, B, C]);
    let term = group.replica(A).term();
    group.cuts.extend([(A, C), (C, A)]);
    restart(&mut group, C, used(&[A, B, C], term, 1));
    group.run(TIMING.election_min_ms - 1);
    assert_eq!(leaders(&group), [A]);
    assert_eq!(group.replica(C).term(), term);
}

#[test]
fn a_voter_that_restarts_between_its_answer_and_its_vote_refuses() {
    let mut group = restarted(&[A, B, C]);
    group.hold = Some(MessageKind::Vote);
    group.run(SOON_MS);
    assert!(!group.held.is_empty(), "somebody campaigns");
    let terms: Vec<u64> = group.members.iter().map(|member| member.replica.term()).collect();
    let asked: Vec<ReplicaId> = group.held.iter().map(|(_, to, _)| *to).collect();
    let candidates: Vec<ReplicaId> = group.held.iter().map(|(from, _, _)| *from).collect();
    let others: Vec<ReplicaId> = asked.into_iter().filter(|id| !candidates.contains(id)).collect();
    for id in &others {
        restart(&mut group, *id, used(&[A, B, C], 3, 5));
    }
    group.release();
    assert_eq!(leaders(&group), [], "{terms:?}");
    for id in others {
        assert_eq!(group.replica(id).term(), 3, "{id:?} refused");
    }
}

#[test]
fn an_answer_that_is_older_than_the_round_does_not_count() {
    let mut group = restarted(&[A, B, C]);
    group.hold = Some(MessageKind::PreVoteReply);
    group.run(SOON_MS);
    let late = std::mem::take(&mut group.held);
    group.hold = None;
    group.isolate(C);
    group.run(TIMING.heartbeat_ms * 2);
    for (from, to, message) in late {
        let now = group.now;
        group.replica(to).step(now, from, message);
    }
    group.settle();
    assert_eq!(leaders(&group), []);
}

#[test]
fn a_leader_that_has_appended_a_membership_without_itself_holds_no_lease() {
    let mut group = Group::led_by_a(&[A, B, C]);
    group.hold = Some(MessageKind::AppendReply);
    let now = group.now;
    assert!(group.replica(A).lease_valid(now));
    group.replica(A).change_membership(now, MembershipChange::Remove(A)).expect("it leads");
    assert!(!group.replica(A).lease_valid(now));
    assert_eq!(group.replica(A).membership(), &voters(&[B, C]));
}
