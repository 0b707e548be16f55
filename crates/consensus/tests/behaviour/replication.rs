use ruddervalve_consensus::{MessageKind, Payload, Restored, Role};
use ruddervalve_protocol::ReplicaId;

use crate::group::{A, B, C, D, Group, TIMING, command, founded, used, voters};

fn propose(group: &mut Group, count: usize) {
    let now = group.now;
    for number in 0..count {
        group.replica(A).propose(now, command(&number.to_string())).expect("A leads");
    }
}

#[test]
fn proposals_between_two_outputs_travel_in_one_message_and_share_their_bytes() {
    let mut group = Group::led_by_a(&[A, B, C]);
    group.sent.clear();
    let blob = command("shared");
    let now = group.now;
    group.replica(A).propose(now, blob.clone()).expect("A leads");
    propose(&mut group, 3);
    group.settle();
    assert_eq!(group.count(MessageKind::Append), 2, "one to each follower");
    group.run(200);
    let shares = |payload: &Payload| match payload {
        Payload::Command(command) => command.as_slice().as_ptr() == blob.as_slice().as_ptr(),
        _ => false,
    };
    for id in [A, B] {
        let member = group.member(id);
        let shared = member.applied.iter().any(|entry| shares(&entry.payload));
        assert!(shared, "{id:?}");
    }
}

#[test]
fn large_batches_are_split_and_pipelined() {
    let mut group = Group::led_by_a(&[A, B]);
    group.hold = Some(MessageKind::AppendReply);
    group.sent.clear();
    propose(&mut group, 200);
    group.settle();
    assert_eq!(group.count(MessageKind::Append), TIMING.max_inflight);
    group.release();
    group.run(200);
    assert_eq!(group.commands(B).len(), 200);
    assert!(group.count(MessageKind::Append) > TIMING.max_inflight);
}

#[test]
fn heartbeats_go_only_to_peers_to_which_nothing_else_was_sent() {
    let mut group = Group::led_by_a(&[A, B, C]);
    group.sent.clear();
    for _ in 0..40 {
        propose(&mut group, 1);
        group.run(TIMING.heartbeat_ms / 4);
    }
    assert_eq!(group.count(MessageKind::Heartbeat), 0);
    group.run(TIMING.heartbeat_ms * 10);
    assert_eq!(group.count(MessageKind::Heartbeat), 20);
}

#[test]
fn a_follower_whose_disk_is_slow_keeps_the_lease_alive() {
    let mut group = Group::led_by_a(&[A, B]);
    group.hold = Some(MessageKind::AppendReply);
    for _ in 0..40 {
        propose(&mut group, 1);
        group.run(TIMING.heartbeat_ms / 2);
        let now = group.now;
        assert!(group.replica(A).lease_valid(now));
    }
}

#[test]
fn lost_appends_and_lost_acknowledgements_are_made_good_by_heartbeats() {
    for kind in [MessageKind::Append, MessageKind::AppendReply] {
        let mut group = Group::led_by_a(&[A, B]);
        group.lose = Some((kind, 3));
        propose(&mut group, 30);
        group.run(TIMING.heartbeat_ms * 8);
        assert_eq!(group.commands(B).len(), 30, "{kind:?}");
        assert_eq!(group.commands(A).len(), 30, "{kind:?}");
    }
}

#[test]
fn a_lost_connection_begins_the_pipeline_anew() {
    let mut group = Group::led_by_a(&[A, B]);
    group.lose = Some((MessageKind::Append, 1));
    propose(&mut group, 1);
    group.settle();
    let now = group.now;
    group.replica(A).peer_unreachable(now, B);
    propose(&mut group, 1);
    group.run(TIMING.heartbeat_ms * 2);
    assert_eq!(group.commands(B).len(), 2);
}

#[test]
fn a_follower_with_another_history_is_led_back_in_few_steps() {
    let ids = [A, B, C];
    let mut b = used(&ids, 2, 300);
    for entry in b.entries.iter_mut().skip(20) {
        entry.term = 3;
    }
    b.hard_state.term = 3;
    let mut a = used(&ids, 2, 100);
    for entry in a.entries.iter_mut().skip(50) {
        entry.term = 4;
    }
    a.hard_state.term = 4;
    let mut group = Group::new(vec![(A, a.clone()), (B, b), (C, a)]);
    group.run(1000);
    group.elect(A);
    assert!(group.count(MessageKind::AppendReply) < 30);
    group.run(500);
    let last = group.replica(A).last_index();
    assert_eq!(group.replica(B).last_index(), last);
    assert_eq!(group.member(B).applied.len() as u64, last);
    assert!(group.replica(A).is_caught_up(B));
    assert_eq!(group.replica(A).match_index(B), Some(last));
}

#[test]
fn a_follower_commits_only_what_is_known_to_agree() {
    let ids = [A, B, C];
    let mut a = used(&ids, 2, 100);
    a.entries.iter_mut().skip(50).for_each(|entry| entry.term = 4);
    a.hard_state.term = 4;
    let mut b = used(&ids, 2, 300);
    b.entries.iter_mut().skip(20).for_each(|entry| entry.term = 3);
    b.hard_state.term = 3;
    let mut group = Group::new(vec![(A, a.clone()), (B, b), (C, a)]);
    group.isolate(B);
    group.run(1000);
    group.elect(A);
    group.run(200);
    assert_eq!(group.replica(A).commit_index(), 101);
    // The leader begins anew, from before where the logs part.
    let now = group.now;
    group.replica(A).peer_unreachable(now, B);
    group.cuts.clear();
    group.run(500);
    let applied = group.member(A).applied.clone();
    assert_eq!(group.member(B).applied, applied);
}

#[test]
fn entries_of_earlier_terms_are_committed_only_with_one_of_the_own_term() {
    let ids = [A, B, C];
    let mut group = Group::new(vec![(A, used(&ids, 2, 40)), (B, used(&ids, 2, 4)), (C, founded(&ids))]);
    group.isolate(C);
    group.run(1000);
    group.hold = Some(MessageKind::AppendReply);
    group.elect(A);
    group.release_one();
    group.release_one();
    let matched = group.replica(A).match_index(B).unwrap_or(0);
    assert!(matched > 4 && matched < 41, "a quorum has entries of the earlier term up to {matched}");
    assert_eq!(group.replica(A).commit_index(), 0);
    group.release();
    group.run(200);
    assert_eq!(group.replica(A).commit_index(), 41);
}

#[test]
fn a_silent_peer_is_neither_active_nor_caught_up() {
    let mut group = Group::led_by_a(&[A, B, C]);
    group.run(500);
    let now = group.now;
    assert!(group.replica(A).recently_active(B, now));
    assert!(group.replica(A).is_caught_up(B));
    group.isolate(B);
    group.run(TIMING.election_min_ms + 100);
    let now = group.now;
    assert!(!group.replica(A).recently_active(B, now));
    assert!(!group.replica(A).is_caught_up(B));
    assert!(group.replica(A).lease_valid(now), "C answers");
}

#[test]
fn a_write_that_was_replaced_does_not_count_for_what_replaced_it() {
    let ids = [A, B, C, D, ReplicaId(5)];
    let mut group = Group::led_by_a(&ids);
    group.slow_disks.insert(B);
    let others = [C, D, ReplicaId(5)];
    group.cuts.extend(others.map(|other| (A, other)));
    propose(&mut group, 5);
    group.settle();
    assert_eq!(group.replica(B).last_index(), 6);
    group.isolate(A);
    group.cuts.extend(others.map(|other| (B, other)));
    group.run(5000);
    let leader = others.into_iter().find(|id| group.replica(*id).role() == Role::Leader).expect("a leader");
    group.cuts.retain(|(from, to)| *from == A || *to == A);
    group.run(200);
    let now = group.now;
    assert_eq!(group.replica(B).last_index(), 2, "the entries of A were replaced");
    group.slow_disks.clear();
    group.replica(B).written(now, u64::MAX);
    group.run(200);
    group.slow_disks.insert(B);
    let now = group.now;
    for _ in 0..3 {
        group.replica(leader).propose(now, command("x")).expect("it leads");
    }
    group.run(500);
    assert_eq!(group.replica(B).last_index(), 5);
    assert_eq!(group.replica(leader).match_index(B), Some(2), "the rest is not on its disk");
}

#[test]
fn a_checkpoint_restores_the_same_replica() {
    let mut group = Group::led_by_a(&[A, B, C]);
    propose(&mut group, 5);
    group.run(200);
    let parts = group.replica(B).checkpoint(3);
    assert_eq!((parts.index, parts.term), (3, group.replica(A).term()));
    assert_eq!(parts.membership, voters(&[A, B, C]));
    assert_eq!(parts.entries.first().map(|entry| entry.index), Some(4));
    assert_eq!(parts.entries.last().map(|entry| entry.index), Some(6));
    let restored = Restored { hard_state: parts.hard_state, entries: parts.entries, ..founded(&[A, B, C]) };
    let mut gap = Group::new(vec![(B, restored)]);
    assert_eq!(gap.replica(B).last_index(), 0, "entries after a gap are left out");
}
