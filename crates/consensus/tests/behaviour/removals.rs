//! A member that was removed while it was away learns of it, leaves, and may join again.

use ruddervalve_consensus::{
    ElectionRecord, HardState, LogPosition, MembershipChange, MessageKind, Replica, Restored, Role,
};
use ruddervalve_protocol::ReplicaId;

use crate::group::{A, B, C, D, Group, TIMING, command, founded, used};

/// Longer than any election timeout.
const LONG_MS: u64 = 10_000;

fn change(group: &mut Group, change: MembershipChange) {
    let now = group.now;
    group.replica(A).change_membership(now, change).expect("A leads and nothing is pending");
    group.settle();
}

/// C is away while it is removed.
fn removed_while_away() -> Group {
    let mut group = Group::led_by_a(&[A, B, C]);
    group.isolate(C);
    change(&mut group, MembershipChange::Remove(C));
    group.run(LONG_MS);
    assert_eq!(group.replica(C).role(), Role::PreCandidate);
    group
}

fn drop_member(group: &mut Group, id: ReplicaId) -> ElectionRecord {
    let record = group.replica(id).election_record();
    group.members.retain(|member| member.replica.id() != id);
    record
}

fn joins_with(record: ElectionRecord) -> Restored {
    let ElectionRecord { hard_state, floor } = record;
    Restored { hard_state, floor, ..Restored::default() }
}

#[test]
fn a_member_that_was_removed_while_it_was_away_is_told_so_and_stops_asking() {
    let mut group = removed_while_away();
    group.cuts.clear();
    group.run(2 * TIMING.election_max_ms);
    assert!(group.replica(C).is_removed());
    assert_eq!(group.replica(C).role(), Role::Follower);
    group.sent.clear();
    group.run(LONG_MS);
    assert_eq!(group.count(MessageKind::PreVote), 0);
    assert_eq!(group.replica(C).next_wake(), u64::MAX);
}

#[test]
fn a_follower_passes_the_question_on_to_a_leader_that_the_removed_one_does_not_reach() {
    let mut group = removed_while_away();
    group.cuts.retain(|(from, to)| *from != C || *to != B);
    group.cuts.retain(|(from, to)| *from != A || *to != C);
    group.run(2 * TIMING.election_max_ms);
    assert!(group.replica(C).is_removed());
}

#[test]
fn a_leader_without_a_lease_tells_nobody_that_it_was_removed() {
    let mut group = removed_while_away();
    group.cuts.clear();
    group.cuts.extend([(B, A), (B, C)]);
    group.run(TIMING.lease_ms);
    group.sent.clear();
    group.run(LONG_MS);
    assert!(group.count(MessageKind::PreVote) > 0);
    assert_eq!(group.count(MessageKind::NotMember), 0);
    assert!(!group.replica(C).is_removed());
}

#[test]
fn a_removal_that_is_not_committed_is_told_to_nobody() {
    let mut group = Group::led_by_a(&[A, B, C]);
    group.isolate(C);
    group.run(LONG_MS);
    group.slow_disks.insert(B);
    change(&mut group, MembershipChange::Remove(C));
    group.cuts.clear();
    group.run(TIMING.lease_ms / 2);
    let now = group.now;
    group.replica(C).inquire(now, A);
    group.settle();
    assert!(!group.replica(A).membership_committed());
    assert_eq!(group.count(MessageKind::NotMember), 0);
    group.slow_disks.clear();
    group.replica(B).written(now, u64::MAX);
    group.run(TIMING.heartbeat_ms);
    let now = group.now;
    group.replica(C).inquire(now, A);
    group.settle();
    assert!(group.replica(C).is_removed());
}

#[test]
fn a_notice_from_before_a_member_was_added_again_counts_for_nothing() {
    let mut group = removed_while_away();
    group.cuts.clear();
    group.hold = Some(MessageKind::NotMember);
    group.run(2 * TIMING.election_max_ms);
    assert!(!group.held.is_empty());
    change(&mut group, MembershipChange::AddLearner(C));
    group.run(300);
    assert!(group.replica(C).membership().is_learner(C));
    let notice = std::mem::take(&mut group.held).remove(0);
    group.isolate(C);
    group.run(LONG_MS);
    let now = group.now;
    group.replica(C).step(now, notice.0, notice.2);
    assert!(!group.replica(C).is_removed(), "it knows of an entry after the notice's that has it as member");
}

#[test]
fn a_notice_counts_for_nothing_while_a_leader_speaks_to_the_replica() {
    let mut group = removed_while_away();
    group.cuts.clear();
    group.hold = Some(MessageKind::NotMember);
    group.run(2 * TIMING.election_max_ms);
    group.slow_disks.insert(C);
    group.lose = Some((MessageKind::Append, usize::MAX));
    change(&mut group, MembershipChange::AddLearner(C));
    group.run(300);
    assert!(!group.replica(C).membership().is_learner(C), "it has heard of the leader, not of its entry");
    group.release();
    assert!(!group.replica(C).is_removed());
}

#[test]
fn a_learner_that_was_removed_while_it_was_away_is_told_so_when_it_asks() {
    let mut group = Group::led_by_a(&[A, B]);
    group.join(D, Restored::default());
    change(&mut group, MembershipChange::AddLearner(D));
    group.run(300);
    group.isolate(D);
    change(&mut group, MembershipChange::Remove(D));
    group.run(LONG_MS);
    group.cuts.clear();
    group.run(300);
    assert!(!group.replica(D).is_removed());
    let now = group.now;
    group.replica(D).inquire(now, B);
    group.settle();
    assert!(group.replica(D).is_removed());
}

#[test]
fn a_member_that_left_joins_again_as_learner_and_votes_once_it_was_promoted() {
    let mut group = removed_while_away();
    group.cuts.clear();
    group.run(2 * TIMING.election_max_ms);
    let record = drop_member(&mut group, C);
    assert!(record.floor > LogPosition::default());
    group.join(C, joins_with(record));
    change(&mut group, MembershipChange::AddLearner(C));
    group.run(300);
    assert_eq!(group.replica(C).role(), Role::Follower);
    change(&mut group, MembershipChange::PromoteLearner(C));
    group.run(300);
    assert!(group.replica(C).membership_committed());
    group.isolate(A);
    group.run(LONG_MS);
    assert!([B, C].into_iter().any(|id| group.replica(id).role() == Role::Leader));
}

#[test]
fn a_learner_that_lost_what_it_acknowledged_catches_up_again() {
    let mut group = Group::led_by_a(&[A, B]);
    group.join(D, Restored::default());
    change(&mut group, MembershipChange::AddLearner(D));
    group.run(300);
    let record = drop_member(&mut group, D);
    group.join(D, joins_with(record));
    let now = group.now;
    group.replica(A).propose(now, command("x")).expect("A leads");
    group.run(1_000);
    assert_eq!(group.commands(D), ["x"]);
}

/// Whether a replica on such a disk, in a group that A leads no more, grants B its vote in the term in which it had voted
/// for A. The log of B ends at the index.
fn votes_again(disk: Restored, term: u64, last_index: u64) -> bool {
    let mut group = Group::new(vec![(B, used(&[B, C], term - 1, last_index))]);
    // C comes later than B: neither has heard from a leader then.
    group.run(TIMING.election_min_ms);
    group.join(C, disk);
    group.run(LONG_MS);
    group.replica(B).term() == term && group.replica(B).role() == Role::Leader
}

#[test]
fn without_a_mark_a_replica_that_left_votes_twice_in_a_term() {
    // C has voted for A in term 5, with a log up to (4, 2).
    let voted = HardState { term: 5, vote: Some(A) };
    let mark = ElectionRecord { hard_state: voted, floor: LogPosition { term: 4, index: 2 } };
    assert!(votes_again(Restored::default(), 5, 2), "an empty disk forgets the vote: two leaders in term 5");
    assert!(!votes_again(joins_with(mark), 5, 2));
}

#[test]
fn without_a_mark_a_replica_that_left_elects_a_leader_that_lacks_what_it_acknowledged() {
    let free = HardState { term: 4, vote: None };
    let mark = ElectionRecord { hard_state: free, floor: LogPosition { term: 4, index: 3 } };
    assert!(votes_again(Restored::default(), 5, 2), "an empty disk forgets the entry (4, 3)");
    assert!(!votes_again(joins_with(mark), 5, 2));
    assert!(votes_again(joins_with(mark), 5, 3), "a log that reaches the floor is elected");
}

#[test]
fn a_replica_that_left_does_not_campaign_before_its_log_reaches_the_floor_again() {
    let floor = |index| LogPosition { term: 4, index };
    for (index, campaigns) in [(2, true), (3, false)] {
        let restored = Restored { floor: floor(index), ..used(&[C], 4, 2) };
        let mut replica = Replica::new(C, TIMING, 1, restored, 0);
        replica.tick(LONG_MS);
        assert_eq!(replica.role() != Role::Follower, campaigns, "floor at {index}");
    }
}

#[test]
fn a_founder_that_was_removed_before_it_began_is_told_so() {
    let mut group = Group::led_by_a(&[A, B, C]);
    group.isolate(C);
    change(&mut group, MembershipChange::Remove(C));
    group.members.retain(|member| member.replica.id() != C);
    group.cuts.clear();
    group.run(LONG_MS);
    group.join(C, founded(&[A, B, C]));
    group.run(2 * TIMING.election_max_ms);
    assert!(group.replica(C).is_removed());
    assert_eq!(group.replica(A).role(), Role::Leader);
}

#[test]
fn a_removal_counts_also_where_the_replica_has_a_later_membership_that_can_never_be_committed() {
    let mut group = Group::led_by_a(&[A, B, C]);
    group.isolate(A);
    let now = group.now;
    for _ in 0..20 {
        group.replica(A).propose(now, command("lost")).expect("A still leads");
    }
    change(&mut group, MembershipChange::AddLearner(D));
    group.run(LONG_MS);
    let leader = [B, C].into_iter().find(|id| group.replica(*id).role() == Role::Leader).expect("a leader");
    let now = group.now;
    group.replica(leader).change_membership(now, MembershipChange::Remove(A)).expect("it leads");
    group.run(300);
    assert!(group.replica(leader).commit_index() < group.replica(A).last_index());
    group.cuts.clear();
    group.run(2 * TIMING.election_max_ms);
    assert!(group.replica(A).is_removed());
}
