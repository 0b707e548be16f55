//! Reads that a round to a quorum confirms.

use ruddervalve_consensus::{MembershipChange, MessageKind, ReadProgress, ReadRequest, Role};
use ruddervalve_protocol::ReplicaId;

use crate::group::{A, B, C, D, Group, TIMING, command, founded, used};

fn request(group: &mut Group, id: ReplicaId) -> ReadRequest {
    let now = group.now;
    group.replica(id).request_read(now).expect("it leads")
}

fn progress(group: &mut Group, id: ReplicaId, read: &ReadRequest) -> ReadProgress {
    group.replica(id).read_progress(read)
}

#[test]
fn a_read_is_confirmed_by_answers_of_a_quorum_without_time_passing() {
    let mut group = Group::led_by_a(&[A, B, C]);
    let read = request(&mut group, A);
    assert_eq!(progress(&mut group, A, &read), ReadProgress::Waiting, "nothing was sent yet");
    group.settle();
    assert_eq!(progress(&mut group, A, &read), ReadProgress::Confirmed);
}

#[test]
fn a_single_voter_confirms_at_once() {
    let mut group = Group::led_by_a(&[A]);
    let read = request(&mut group, A);
    assert_eq!(progress(&mut group, A, &read), ReadProgress::Confirmed);
}

#[test]
fn who_does_not_lead_takes_no_read() {
    let mut group = Group::led_by_a(&[A, B, C]);
    let now = group.now;
    assert_eq!(group.replica(B).request_read(now), None);
}

#[test]
fn answers_to_what_was_sent_before_in_the_same_millisecond_confirm_nothing() {
    let mut group = Group::led_by_a(&[A, B, C]);
    group.hold = Some(MessageKind::HeartbeatReply);
    let early = request(&mut group, A);
    group.settle();
    assert_eq!(group.held.len(), 2, "both answers to the round are under way");
    let late = request(&mut group, A);
    group.cuts.extend([(A, B), (A, C)]);
    group.release();
    assert_eq!(progress(&mut group, A, &early), ReadProgress::Confirmed);
    assert_eq!(progress(&mut group, A, &late), ReadProgress::Waiting);
    // The heartbeats that follow carry the round again.
    group.cuts.clear();
    group.run(TIMING.heartbeat_ms);
    assert_eq!(progress(&mut group, A, &late), ReadProgress::Confirmed);
}

#[test]
fn reads_of_one_turn_share_a_round() {
    let mut group = Group::led_by_a(&[A, B, C]);
    let sent = group.count(MessageKind::Heartbeat);
    let reads: Vec<ReadRequest> = (0..10).map(|_| request(&mut group, A)).collect();
    group.settle();
    assert!(reads.iter().all(|read| group.replica(A).read_progress(read) == ReadProgress::Confirmed));
    assert_eq!(group.count(MessageKind::Heartbeat) - sent, 2, "one to each follower");
}

#[test]
fn a_lease_that_still_runs_confirms_no_read() {
    let mut group = Group::led_by_a(&[A, B, C]);
    group.isolate(A);
    let read = request(&mut group, A);
    group.settle();
    let now = group.now;
    assert!(group.replica(A).lease_valid(now));
    assert_eq!(progress(&mut group, A, &read), ReadProgress::Waiting);
    group.run(TIMING.election_max_ms + 1);
    assert_eq!(progress(&mut group, A, &read), ReadProgress::Lost);
}

#[test]
fn a_leader_that_was_frozen_learns_at_the_call_that_it_leads_no_more() {
    let mut group = Group::led_by_a(&[A, B, C]);
    let now = group.now + 20 * TIMING.election_max_ms;
    assert_eq!(group.replica(A).request_read(now), None);
    assert_eq!(group.replica(A).role(), Role::Follower);
}

#[test]
fn a_leader_that_was_replaced_while_it_was_frozen_confirms_no_read() {
    let mut group = Group::led_by_a(&[A, B, C]);
    let read = request(&mut group, A);
    let frozen_at = group.now;
    // Frozen before anything was sent: the others elect another leader and commit.
    group.isolate(A);
    group.members.swap(0, 2);
    let frozen = group.members.pop().expect("three members");
    group.run(3 * TIMING.election_max_ms);
    let leader = [B, C].into_iter().find(|id| group.replica(*id).role() == Role::Leader).expect("one leads");
    let now = group.now;
    group.replica(leader).propose(now, command("newer")).expect("it leads");
    group.settle();
    // It goes on where it was, with its clock of then: its lease looks valid to it.
    group.members.push(frozen);
    group.cuts.clear();
    assert!(group.replica(A).lease_valid(frozen_at));
    group.settle();
    assert_eq!(progress(&mut group, A, &read), ReadProgress::Lost);
}

#[test]
fn a_new_leader_confirms_a_read_only_after_an_entry_of_its_term_and_all_before() {
    let mut group = Group::new(vec![
        (A, used(&[A, B, C], 2, 5)),
        (B, used(&[A, B, C], 2, 5)),
        (C, used(&[A, B, C], 2, 4)),
    ]);
    group.hold = Some(MessageKind::Append);
    group.run(3 * TIMING.election_max_ms);
    let leader = [A, B].into_iter().find(|id| group.replica(*id).role() == Role::Leader).expect("one leads");
    assert_eq!(group.replica(leader).commit_index(), 0, "it does not know what is committed");
    let read = request(&mut group, leader);
    assert_eq!(read.index(), 6, "the first entry of its term, though its commit index is lower");
    group.settle();
    assert_eq!(progress(&mut group, leader, &read), ReadProgress::Waiting);
    group.release();
    assert_eq!(progress(&mut group, leader, &read), ReadProgress::Confirmed);
    assert_eq!(group.replica(leader).applied_index(), 6);
}

#[test]
fn learners_do_not_confirm_a_read() {
    let mut group = Group::led_by_a(&[A, B, C]);
    group.join(D, ruddervalve_consensus::Restored::default());
    let now = group.now;
    group.replica(A).change_membership(now, MembershipChange::AddLearner(D)).expect("it leads");
    group.run(500);
    group.cuts.extend([(B, A), (C, A)]);
    let read = request(&mut group, A);
    group.run(TIMING.heartbeat_ms);
    assert_eq!(progress(&mut group, A, &read), ReadProgress::Waiting, "D alone has answered");
    group.cuts.clear();
    group.run(TIMING.heartbeat_ms);
    assert_eq!(progress(&mut group, A, &read), ReadProgress::Confirmed);
}

#[test]
fn a_read_needs_no_lease_while_leadership_is_handed_over() {
    let mut group = Group::led_by_a(&[A, B, C]);
    group.hold = Some(MessageKind::TimeoutNow);
    let now = group.now;
    assert!(group.replica(A).transfer_leadership(now, Some(B)));
    group.settle();
    assert!(!group.replica(A).lease_valid(now));
    let read = request(&mut group, A);
    group.settle();
    assert_eq!(progress(&mut group, A, &read), ReadProgress::Confirmed);
    let read = request(&mut group, A);
    group.release();
    assert_eq!(progress(&mut group, A, &read), ReadProgress::Lost, "B took over");
}

#[test]
fn a_leader_that_is_not_heard_is_not_named() {
    let mut group = Group::new(vec![(A, founded(&[A])), (B, founded(&[A]))]);
    group.elect(A);
    let now = group.now;
    group.replica(A).change_membership(now, MembershipChange::AddLearner(B)).expect("it leads");
    group.run(500);
    let now = group.now;
    assert_eq!(group.replica(A).recent_leader(now), Some(A));
    assert_eq!(group.replica(B).recent_leader(now), Some(A));
    group.isolate(A);
    group.run(TIMING.election_min_ms / 2);
    let now = group.now;
    assert_eq!(group.replica(B).recent_leader(now), Some(A), "it may still lead");
    group.run(TIMING.election_max_ms);
    let now = group.now;
    assert_eq!(group.replica(B).leader(), None, "the learner asks for votes itself");
    assert_eq!(group.replica(B).recent_leader(now), None);
}

#[test]
fn a_read_of_an_earlier_term_stays_lost_when_the_replica_leads_again() {
    let mut group = Group::led_by_a(&[A, B, C]);
    group.isolate(A);
    let read = request(&mut group, A);
    group.run(3 * TIMING.election_max_ms);
    let leader = [B, C].into_iter().find(|id| group.replica(*id).role() == Role::Leader).expect("one leads");
    let now = group.now;
    group.replica(leader).propose(now, command("committed before A leads again")).expect("it leads");
    group.settle();
    group.cuts.clear();
    group.run(2 * TIMING.heartbeat_ms);
    let now = group.now;
    assert!(group.replica(leader).transfer_leadership(now, Some(A)));
    group.settle();
    assert_eq!(group.replica(A).role(), Role::Leader);
    let later = request(&mut group, A);
    group.settle();
    assert_eq!(progress(&mut group, A, &later), ReadProgress::Confirmed);
    assert_eq!(progress(&mut group, A, &read), ReadProgress::Lost);
}
