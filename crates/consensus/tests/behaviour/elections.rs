use nanoserde::DeBin;
use ruddervalve_consensus::{
    HardState, Message, MessageKind, Payload, ProposeError, Replica, Restored, Role, Write,
};

use crate::group::{A, B, C, Group, TIMING, command, founded, used};

#[test]
fn a_group_elects_one_leader_that_commits_an_empty_entry_of_its_term() {
    let mut group = Group::founded(&[A, B, C]);
    group.run(4000);
    let leaders = group.members.iter().filter(|member| member.replica.role() == Role::Leader).count();
    assert_eq!(leaders, 1);
    for member in &group.members {
        assert_eq!(member.applied[0].payload, Payload::Empty);
        assert_eq!(member.applied[0].term, member.replica.term());
        assert!(member.replica.leader().is_some());
    }
}

#[test]
fn a_single_voter_leads_and_commits_alone_also_after_a_restart() {
    let mut group = Group::new(vec![(A, used(&[A], 3, 5))]);
    group.run(2500);
    assert_eq!(group.replica(A).role(), Role::Leader);
    assert_eq!(group.replica(A).commit_index(), 6);
    let now = group.now;
    assert_eq!(group.replica(A).propose(now, command("x")), Ok(7));
    group.settle();
    assert_eq!(group.commands(A), ["x"]);
    assert!(group.replica(A).lease_valid(now));
    assert_eq!(group.replica(A).next_wake(), u64::MAX, "a lone leader has nothing to wait for");
}

#[test]
fn a_replica_that_does_not_know_its_group_never_campaigns() {
    let mut group = Group::new(vec![(A, Restored::default())]);
    assert_eq!(group.replica(A).next_wake(), u64::MAX);
    group.replica(A).tick(1_000_000);
    assert_eq!(group.replica(A).role(), Role::Follower);
}

#[test]
fn a_replica_that_is_cut_off_does_not_raise_its_term_nor_unseat_the_leader() {
    let mut group = Group::led_by_a(&[A, B, C]);
    group.isolate(C);
    group.run(20_000);
    assert_eq!(group.replica(C).role(), Role::PreCandidate);
    assert_eq!(group.replica(C).term(), group.replica(A).term());
    group.cuts.clear();
    group.run(500);
    assert_eq!(group.replica(A).role(), Role::Leader);
    assert_eq!(group.replica(C).leader(), Some(A));
}

#[test]
fn a_leader_without_answers_loses_its_lease_first_and_then_steps_down() {
    let mut group = Group::led_by_a(&[A, B, C]);
    let start = group.now;
    group.cuts.extend([(B, A), (C, A)]);
    group.run(TIMING.lease_ms);
    assert!(!group.replica(A).lease_valid(start + TIMING.lease_ms));
    assert_eq!(group.replica(A).role(), Role::Leader);
    group.run(TIMING.election_max_ms);
    assert_ne!(group.replica(A).role(), Role::Leader);
}

#[test]
fn no_lease_is_valid_before_an_entry_of_the_term_is_committed() {
    let mut group = Group::founded(&[A, B, C]);
    group.hold = Some(MessageKind::Append);
    group.elect(A);
    group.slow_disks.extend([B, C]);
    group.release();
    group.run(300);
    let now = group.now;
    assert!(group.replica(A).recently_active(B, now), "B answers heartbeats");
    assert_eq!(group.replica(A).commit_index(), 0);
    assert!(!group.replica(A).lease_valid(now));
    group.slow_disks.clear();
    group.replica(B).written(now, u64::MAX);
    group.run(300);
    let now = group.now;
    assert_eq!(group.replica(A).commit_index(), 1);
    assert!(group.replica(A).lease_valid(now));
}

#[test]
fn a_voter_that_restarted_refuses_votes_while_the_lease_it_forgot_may_run() {
    let mut group = Group::led_by_a(&[A, B, C]);
    let term = group.replica(A).term();
    group.isolate(C);
    group.run(5000);
    let asks_at = group.replica(C).next_wake();
    group.run(asks_at - 10 - group.now);
    group.members.retain(|member| member.replica.id() != B);
    group.join(B, used(&[A, B, C], term, 1));
    group.cuts.clear();
    group.isolate(A);
    group.run(20);
    let now = group.now;
    assert!(group.replica(A).lease_valid(now));
    assert!(group.sent.contains(&(C, B, MessageKind::PreVote)));
    assert_eq!(group.replica(C).term(), term, "B refused");
    // Later it votes again.
    group.run(6000);
    assert!([B, C].into_iter().any(|id| group.replica(id).role() == Role::Leader));
}

#[test]
fn a_voter_that_heard_from_a_leader_refuses_votes_while_its_lease_may_run() {
    let mut group = Group::led_by_a(&[A, B, C]);
    let term = group.replica(A).term();
    group.isolate(C);
    group.run(5000);
    let asks_at = group.replica(C).next_wake();
    group.run(asks_at - 10 - group.now);
    group.cuts.clear();
    group.isolate(A);
    group.run(20);
    let now = group.now;
    assert!(group.replica(A).lease_valid(now));
    assert_eq!(group.replica(C).term(), term, "B refused");
}

#[test]
fn a_late_message_of_an_earlier_leader_changes_nothing() {
    let mut group = Group::led_by_a(&[A, B, C]);
    group.hold = Some(MessageKind::Heartbeat);
    group.run(TIMING.heartbeat_ms * 2);
    assert!(group.held.iter().any(|(from, to, _)| (*from, *to) == (A, B)));
    group.isolate(A);
    group.run(TIMING.election_min_ms);
    group.elect(C);
    assert_eq!(group.replica(B).leader(), Some(C));
    group.cuts.clear();
    group.release_one();
    assert_eq!(group.replica(B).leader(), Some(C));
    assert!(group.count(MessageKind::Stale) > 0);
}

#[test]
fn a_lease_counts_from_when_a_question_was_sent_not_from_when_its_answer_came() {
    let mut group = Group::led_by_a(&[A, B]);
    group.hold = Some(MessageKind::HeartbeatReply);
    group.run(TIMING.lease_ms + TIMING.heartbeat_ms);
    group.release_one();
    let now = group.now;
    assert!(group.replica(A).recently_active(B, now));
    assert!(!group.replica(A).lease_valid(now));
    group.release();
    assert!(group.replica(A).lease_valid(now), "the newest question is young enough");
}

#[test]
fn a_leader_steps_down_when_a_member_knows_a_newer_term() {
    let ids = [A, B, C];
    let mut group = Group::new(vec![(A, founded(&ids)), (B, founded(&ids)), (C, used(&ids, 9, 0))]);
    group.isolate(C);
    group.elect(A);
    group.cuts.clear();
    group.run(5000);
    let term = group.replica(C).term();
    assert!(term >= 9);
    assert!(group.members.iter().all(|member| member.replica.term() == term));
    assert!(group.members.iter().any(|member| member.replica.role() == Role::Leader));
    assert!(group.count(MessageKind::Stale) > 0);
}

#[test]
fn a_shorter_log_is_not_elected() {
    let ids = [A, B, C];
    let mut group = Group::new(vec![(A, used(&ids, 2, 3)), (B, used(&ids, 2, 5)), (C, used(&ids, 2, 5))]);
    group.cuts.extend([(B, C), (C, B)]);
    group.run(1000);
    let now = group.replica(A).next_wake().max(group.now);
    group.replica(A).tick(now);
    group.settle();
    assert_ne!(group.replica(A).role(), Role::Leader);
    assert_eq!(group.replica(A).term(), 2, "the pre-vote kept the term");
}

#[test]
fn a_vote_is_refused_to_a_shorter_log_also_if_no_pre_vote_came_before() {
    for (last_index, last_term, granted) in [(9, 1, false), (4, 2, false), (5, 2, true), (1, 3, true)] {
        let mut voter = Replica::new(B, TIMING, 1, used(&[A, B, C], 2, 5), 0);
        voter.step(TIMING.election_min_ms, A, vote_request(9, last_index, last_term));
        let vote = granted.then_some(A);
        assert_eq!(voter.take_ready().writes, [Write::HardState(HardState { term: 9, vote })]);
    }
}

#[test]
fn one_vote_is_given_in_a_term() {
    let mut voter = Replica::new(B, TIMING, 1, founded(&[A, B, C]), 0);
    voter.step(0, A, vote_request(1, 0, 0));
    voter.step(0, C, vote_request(1, 0, 0));
    let vote = Some(A);
    assert_eq!(voter.take_ready().writes, [Write::HardState(HardState { term: 1, vote })]);
}

/// A request for a vote, encoded by hand as no replica with such a log would ask.
fn vote_request(term: u64, last_index: u64, last_term: u64) -> Message {
    const VOTE: u16 = 2;
    let mut bytes = term.to_le_bytes().to_vec();
    bytes.extend(VOTE.to_le_bytes());
    bytes.extend(last_index.to_le_bytes());
    bytes.extend(last_term.to_le_bytes());
    let (no_transfer, no_life) = (0, 0);
    bytes.extend([no_transfer, no_life]);
    let message = Message::deserialize_bin(&bytes).expect("the encoding of a request");
    assert_eq!(message.kind(), MessageKind::Vote);
    message
}

#[test]
fn proposals_to_a_follower_name_the_leader() {
    let mut group = Group::led_by_a(&[A, B, C]);
    let now = group.now;
    let refused = group.replica(B).propose(now, command("x"));
    assert_eq!(refused, Err(ProposeError::NotLeader { leader: Some(A) }));
}

#[test]
fn a_hard_state_behind_the_log_is_brought_forward() {
    let mut restored = used(&[A], 7, 2);
    restored.hard_state = HardState { term: 3, vote: Some(B) };
    let mut group = Group::new(vec![(A, restored)]);
    assert_eq!(group.replica(A).term(), 7);
    group.run(2500);
    assert_eq!(group.replica(A).term(), 8);
}
