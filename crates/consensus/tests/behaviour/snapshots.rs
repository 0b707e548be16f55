use ruddervalve_consensus::{MembershipChange, MessageKind, Restored};
use ruddervalve_protocol::Blob;

use crate::group::{A, B, C, D, Group, TIMING, command, voters};

/// A leads, and its log begins after what C lacks.
fn lagging_c() -> Group {
    let mut group = Group::led_by_a(&[A, B, C]);
    group.state = Blob::from((0..95).collect::<Vec<u8>>());
    group.isolate(C);
    let now = group.now;
    for number in 0..20 {
        group.replica(A).propose(now, command(&number.to_string())).expect("A leads");
    }
    group.run(200);
    let applied = group.replica(A).applied_index();
    group.replica(A).compact(applied);
    group.cuts.clear();
    group
}

#[test]
fn a_follower_that_lags_behind_the_log_gets_the_snapshot_in_parts_and_then_the_log() {
    let mut group = lagging_c();
    group.run(500);
    let state = group.state.clone();
    let [snapshot] = group.member(C).restored.as_slice() else { panic!("one snapshot") };
    assert_eq!((snapshot.index, &snapshot.data), (21, &state));
    assert_eq!(snapshot.membership, voters(&[A, B, C]));
    assert_eq!(group.count(MessageKind::SnapshotChunk), 10);
    let now = group.now;
    group.replica(A).propose(now, command("after")).expect("A leads");
    group.run(300);
    assert_eq!(group.commands(C), ["after"]);
    assert!(group.replica(A).is_caught_up(C));
}

#[test]
fn a_snapshot_brings_its_membership() {
    let mut group = Group::led_by_a(&[A, B, C]);
    group.isolate(C);
    let now = group.now;
    group.replica(A).change_membership(now, MembershipChange::AddLearner(D)).expect("D is new");
    group.run(200);
    group.replica(A).compact(u64::MAX);
    group.cuts.clear();
    group.run(500);
    assert_eq!(group.member(C).restored.len(), 1);
    assert!(group.replica(C).membership().is_learner(D));
    assert!(group.replica(C).membership_committed());
}

#[test]
fn a_snapshot_is_acknowledged_once_it_is_on_disk() {
    let mut group = lagging_c();
    group.slow_disks.insert(C);
    group.run(500);
    assert_eq!(group.member(C).restored.len(), 1);
    assert!(group.replica(A).match_index(C) < Some(21));
    group.slow_disks.clear();
    let now = group.now;
    group.replica(C).written(now, u64::MAX);
    group.run(2000);
    assert_eq!(group.replica(A).match_index(C), Some(21));
}

#[test]
fn parts_are_bounded_in_flight() {
    let mut group = lagging_c();
    group.hold = Some(MessageKind::SnapshotChunkReply);
    group.run(500);
    assert_eq!(group.count(MessageKind::SnapshotChunk), TIMING.max_inflight);
}

#[test]
fn lost_parts_and_lost_answers_are_made_good() {
    for kind in [MessageKind::SnapshotChunk, MessageKind::SnapshotChunkReply, MessageKind::AppendReply] {
        let mut group = lagging_c();
        group.lose = Some((kind, 2));
        group.run(6000);
        assert_eq!(group.member(C).restored.len(), 1, "{kind:?}");
        assert!(group.replica(A).is_caught_up(C), "{kind:?}");
    }
}

#[test]
fn a_follower_that_restarts_within_a_snapshot_gets_it_from_the_begin() {
    let mut group = lagging_c();
    group.hold = Some(MessageKind::SnapshotChunkReply);
    group.run(300);
    let parts = group.replica(C).checkpoint(u64::MAX);
    group.members.retain(|member| member.replica.id() != C);
    let founding = Some(voters(&[A, B, C]));
    group.join(C, Restored { hard_state: parts.hard_state, founding, ..Restored::default() });
    group.release();
    group.run(5000);
    assert_eq!(group.member(C).restored.len(), 1);
    assert!(group.replica(A).is_caught_up(C));
}

#[test]
fn the_retained_tail_spares_a_snapshot() {
    let mut group = Group::led_by_a(&[A, B, C]);
    group.replica(A).set_retained_bytes(10_000);
    group.isolate(C);
    let now = group.now;
    for number in 0..20 {
        group.replica(A).propose(now, command(&number.to_string())).expect("A leads");
    }
    group.run(200);
    group.replica(A).compact(u64::MAX);
    group.cuts.clear();
    group.run(500);
    assert_eq!(group.count(MessageKind::SnapshotChunk), 0);
    assert_eq!(group.commands(C).len(), 20);
}

#[test]
fn a_compaction_during_unanswered_appends_leads_to_a_snapshot() {
    let mut group = Group::led_by_a(&[A, B, C]);
    group.lose = Some((MessageKind::Append, usize::MAX));
    let now = group.now;
    for number in 0..200 {
        group.replica(A).propose(now, command(&number.to_string())).expect("A leads");
    }
    group.settle();
    group.lose = None;
    group.isolate(C);
    group.run(300);
    group.replica(A).compact(u64::MAX);
    group.cuts.clear();
    group.run(3000);
    assert!(group.replica(A).is_caught_up(C));
    assert_eq!(group.member(C).restored.len(), 1);
}

#[test]
fn no_snapshot_is_asked_for_a_peer_that_is_silent() {
    let mut group = Group::led_by_a(&[A, B]);
    group.replica(A).compact(u64::MAX);
    let now = group.now;
    group.replica(A).change_membership(now, MembershipChange::AddLearner(D)).expect("D is new");
    group.run(10_000);
    assert_eq!(group.count(MessageKind::SnapshotChunk), 0);
    group.state = Blob::from(vec![1, 2, 3]);
    group.join(D, Restored::default());
    group.run(1000);
    assert_eq!(group.member(D).restored.len(), 1);
    assert!(group.replica(A).is_caught_up(D));
}

#[test]
fn an_empty_state_travels_too() {
    let mut group = lagging_c();
    group.state = Blob::default();
    group.run(500);
    assert_eq!(group.member(C).restored.len(), 1);
    assert!(group.replica(A).is_caught_up(C));
}
