//! Faults at each phase of a snapshot's way to a follower.

use ruddervalve_consensus::{Entry, HardState, MessageKind, Payload, Restored, Snapshot, Write};
use ruddervalve_protocol::{Blob, ReplicaId};

use crate::group::{A, B, C, Group, TIMING, command, founded};

/// Parts of the state below, of 10 bytes each.
const PARTS: usize = 10;
/// For longer than that, a follower that says nothing loses the snapshot that was on its way.
const GIVEN_UP_MS: u64 = 10 * TIMING.election_max_ms;

/// What a disk holds after writes; `before` is what it held.
fn disk_after(before: &Restored, writes: &[Write]) -> Restored {
    let mut disk = before.clone();
    for write in writes.iter().cloned() {
        match write {
            Write::HardState(state) => disk.hard_state = state,
            Write::Entries(entries) => {
                let first = entries.first().map_or(u64::MAX, |entry| entry.index);
                disk.entries.retain(|entry| entry.index < first);
                disk.entries.extend(entries);
            }
            Write::Snapshot(snapshot) => {
                disk.snapshot = Some(snapshot);
                disk.entries.clear();
            }
        }
    }
    disk
}

fn last_index(disk: &Restored) -> u64 {
    let snapshot = disk.snapshot.as_ref().map_or(0, |snapshot| snapshot.index);
    disk.entries.last().map_or(snapshot, |entry| entry.index)
}

/// A member loses its process; its disk holds what it wrote.
fn restart(group: &mut Group, id: ReplicaId) -> Restored {
    let disk = disk_after(&founded(&[A, B, C]), &group.member(id).written);
    group.members.retain(|member| member.replica.id() != id);
    disk
}

fn propose(group: &mut Group, count: usize) {
    let now = group.now;
    for number in 0..count {
        group.replica(A).propose(now, command(&number.to_string())).expect("A leads");
    }
}

fn compact(group: &mut Group, id: ReplicaId) {
    let applied = group.replica(id).applied_index();
    group.replica(id).compact(applied);
}

/// C lacks `changes` entries, which the others hold no more, and parts of the snapshot are held back.
fn lagging(changes: usize) -> Group {
    lagging_behind(changes, (0..(PARTS * 10 - 5) as u8).collect())
}

fn lagging_behind(changes: usize, state: Vec<u8>) -> Group {
    let mut group = Group::led_by_a(&[A, B, C]);
    group.state = Blob::from(state);
    group.isolate(C);
    propose(&mut group, changes);
    group.run(300);
    compact(&mut group, A);
    compact(&mut group, B);
    group.cuts.clear();
    group.hold = Some(MessageKind::SnapshotChunk);
    group.run(300);
    group
}

/// [`lagging`] once C has `parts` parts.
fn after_parts(parts: usize) -> Group {
    let mut group = lagging(20);
    for _ in 0..parts {
        group.release_one();
    }
    group
}

fn check_caught_up(group: &mut Group, leader: ReplicaId, place: &str) {
    let last = group.replica(leader).last_index();
    assert_eq!(group.replica(C).commit_index(), last, "{place}");
    assert_eq!(group.replica(leader).match_index(C), Some(last), "{place}");
    assert!(group.replica(leader).is_caught_up(C), "{place}");
}

#[test]
fn a_member_that_missed_600_changes_catches_up_by_one_snapshot() {
    let mut group = lagging(600);
    group.release();
    group.run(500);
    assert_eq!(group.member(C).restored.len(), 1);
    check_caught_up(&mut group, A, "600 changes");
}

#[test]
fn a_receiver_that_dies_after_any_part_gets_the_whole() {
    for parts in 0..=PARTS {
        let mut group = after_parts(parts);
        let known = group.replica(A).match_index(C).expect("A leads");
        let disk = restart(&mut group, C);
        assert!(last_index(&disk) >= known, "part {parts}: what was acknowledged is on disk");
        group.held.clear();
        group.hold = None;
        group.run(700);
        group.join(C, disk);
        propose(&mut group, 3);
        group.run(3000);
        check_caught_up(&mut group, A, &format!("part {parts}"));
    }
}

#[test]
fn a_sender_that_dies_after_any_part_is_followed_by_another() {
    for parts in 0..=PARTS {
        let mut group = after_parts(parts);
        let acknowledged = group.replica(A).commit_index();
        let disk = restart(&mut group, A);
        group.hold = None;
        let late = std::mem::take(&mut group.held);
        group.run(3 * TIMING.election_max_ms);
        // What the dead one sent comes late.
        for (from, to, message) in late {
            let now = group.now;
            group.replica(to).step(now, from, message);
        }
        group.run(500);
        let leader = group.replica(B).leader().expect("B and C are a majority");
        // C has what was acknowledged once the last part is written.
        assert!(leader == B || parts == PARTS, "part {parts}: C has less than was acknowledged");
        let last = group.replica(leader).last_index();
        assert!(group.replica(leader).commit_index() > acknowledged, "part {parts}");
        assert_eq!((group.replica(B).commit_index(), group.replica(C).commit_index()), (last, last));
        group.join(A, disk);
        group.run(1000);
        assert_eq!(group.replica(leader).match_index(A), Some(last), "part {parts}");
    }
}

#[test]
fn compaction_does_not_overtake_a_receiver_that_answers() {
    for parts in 0..=PARTS {
        let mut group = after_parts(parts);
        // A storm: a change and a checkpoint after each other, 200 times.
        for _ in 0..200 {
            propose(&mut group, 1);
            group.settle();
            compact(&mut group, A);
        }
        group.release();
        group.run(1000);
        assert_eq!(group.member(C).restored.len(), 1, "part {parts}");
        check_caught_up(&mut group, A, &format!("part {parts}"));
    }
}

#[test]
fn compaction_does_not_overtake_the_log_that_follows_a_snapshot() {
    for changes in 1..=2_usize {
        let mut group = lagging_behind(20, vec![3; 4000]);
        group.release();
        group.run(500);
        group.hold = Some(MessageKind::Append);
        assert_eq!(group.member(C).restored.len(), 1);
        // Two of them are more than the snapshot: then another snapshot is cheaper.
        for _ in 0..changes {
            let now = group.now;
            group.replica(A).propose(now, Blob::from(vec![1; 3000])).expect("A leads");
        }
        group.settle();
        for (from, to, message) in std::mem::take(&mut group.held) {
            let now = group.now;
            if to == B {
                group.replica(B).step(now, from, message);
            }
        }
        group.settle();
        compact(&mut group, A);
        group.release();
        group.run(3000);
        assert_eq!(group.member(C).restored.len(), changes, "{changes} changes");
        check_caught_up(&mut group, A, &format!("{changes} changes"));
    }
}

#[test]
fn a_receiver_that_is_silent_for_a_while_goes_on_where_it_was() {
    for parts in 0..PARTS {
        for silent_ms in [TIMING.election_min_ms, TIMING.election_max_ms, GIVEN_UP_MS / 2] {
            let mut group = after_parts(parts);
            let before = group.count(MessageKind::SnapshotChunk);
            group.isolate(C);
            propose(&mut group, 20);
            group.run(silent_ms);
            compact(&mut group, A);
            group.cuts.clear();
            group.release();
            group.run(3000);
            let place = format!("part {parts}, silent for {silent_ms} ms");
            assert_eq!(group.member(C).restored.len(), 1, "{place}");
            let again = group.count(MessageKind::SnapshotChunk) - before;
            assert!(again <= PARTS - parts + TIMING.max_inflight, "{place}: {again} parts sent");
            check_caught_up(&mut group, A, &place);
        }
    }
}

#[test]
fn a_receiver_that_was_given_up_gets_a_newer_snapshot_once() {
    for parts in 0..PARTS {
        let mut group = after_parts(parts);
        group.isolate(C);
        group.held.clear();
        propose(&mut group, 20);
        group.run(GIVEN_UP_MS + 2 * TIMING.election_min_ms);
        compact(&mut group, A);
        group.cuts.clear();
        group.hold = None;
        group.run(5000);
        assert_eq!(group.member(C).restored.len(), 1, "part {parts}");
        assert!(group.member(C).restored[0].index > 21, "part {parts}");
        check_caught_up(&mut group, A, &format!("part {parts}"));
    }
}

#[test]
fn parts_that_come_twice_late_or_in_any_order_do_no_harm() {
    for order in 0..24_usize {
        let mut group = lagging(20);
        for turn in 0..200 {
            if group.held.is_empty() {
                break;
            }
            let count = group.held.len();
            group.held.rotate_left((order * 7 + turn * 3) % count);
            let again = (order + turn).is_multiple_of(3).then(|| group.held[0].clone());
            group.release_one();
            group.held.extend(again.filter(|_| turn < 40));
        }
        group.release();
        group.run(3000);
        assert_eq!(group.member(C).restored.len(), 1, "order {order}");
        let restored = group.member(C).restored[0].data.clone();
        assert_eq!(restored, group.state, "order {order}");
        check_caught_up(&mut group, A, &format!("order {order}"));
    }
}

#[test]
fn answers_in_any_order_do_no_harm() {
    for order in 0..24_usize {
        let mut group = lagging(20);
        group.hold = Some(MessageKind::SnapshotChunkReply);
        for (from, to, message) in std::mem::take(&mut group.held) {
            let now = group.now;
            group.replica(to).step(now, from, message);
        }
        group.settle();
        for turn in 0..200 {
            if group.held.is_empty() {
                break;
            }
            let count = group.held.len();
            group.held.rotate_left((order * 5 + turn * 7) % count);
            let again = (order + turn).is_multiple_of(4).then(|| group.held[0].clone());
            group.release_one();
            group.held.extend(again.filter(|_| turn < 40));
        }
        group.release();
        assert_eq!(group.count(MessageKind::SnapshotChunk), PARTS, "order {order}: none is sent again");
        group.run(3000);
        assert_eq!(group.member(C).restored.len(), 1, "order {order}");
        check_caught_up(&mut group, A, &format!("order {order}"));
    }
}

#[test]
fn a_change_of_leaders_after_any_part_leads_to_the_whole() {
    for parts in 0..=PARTS {
        let mut group = after_parts(parts);
        let now = group.now;
        assert!(group.replica(A).transfer_leadership(now, Some(B)), "part {parts}");
        group.settle();
        group.release();
        group.run(3000);
        assert_eq!(group.replica(C).leader(), Some(B), "part {parts}");
        check_caught_up(&mut group, B, &format!("part {parts}"));
    }
}

#[test]
fn a_slow_disk_under_a_snapshot_answers_heartbeats_and_asks_for_nothing_again() {
    let mut group = after_parts(0);
    group.slow_disks.insert(C);
    group.release();
    let term = group.replica(A).term();
    for _ in 0..100 {
        group.run(100);
        let now = group.now;
        assert!(group.replica(A).recently_active(C, now));
        assert!(!group.replica(A).is_caught_up(C), "it is not written yet");
    }
    assert_eq!(group.replica(C).term(), term);
    assert_eq!(group.member(C).restored.len(), 1);
    group.slow_disks.clear();
    let now = group.now;
    group.replica(C).written(now, u64::MAX);
    // The acknowledgement that waited for the write is lost in this test: the last part asks for it again.
    group.run(2 * TIMING.election_min_ms);
    check_caught_up(&mut group, A, "written");
    assert_eq!(group.member(C).restored.len(), 1);
}

/// C holds entries of an old leader that were never committed, and more of them than the snapshot covers.
fn with_a_longer_log_that_was_never_committed() -> (Group, Restored) {
    let empty = |term, index| Entry { term, index, payload: Payload::Empty };
    let disk = Restored {
        hard_state: HardState { term: 1, vote: Some(C) },
        entries: (1..=60).map(|index| empty(1, index)).collect(),
        ..founded(&[A, B, C])
    };
    let others = |id| {
        let hard_state = HardState { term: 2, vote: Some(id) };
        (
            id,
            Restored {
                hard_state,
                entries: (1..=40).map(|index| empty(2, index)).collect(),
                ..founded(&[A, B, C])
            },
        )
    };
    let mut group = Group::new(vec![others(A), others(B)]);
    group.run(2 * TIMING.election_min_ms);
    if group.replica(A).leader().is_none() {
        group.elect(A);
    }
    group.run(300);
    let leader = group.replica(A).leader().expect("A and B are a majority");
    compact(&mut group, leader);
    group.state = Blob::from(vec![9; 30]);
    (group, disk)
}

/// The snapshot replaces the log; until it is written the old one is there, whole, and nothing was promised on it.
#[test]
fn a_crash_at_any_write_of_a_snapshot_on_top_of_a_longer_log_keeps_term_and_vote() {
    let (mut group, disk) = with_a_longer_log_that_was_never_committed();
    let leader = group.replica(A).leader().expect("one leads");
    group.join(C, disk.clone());
    group.run(3000);
    let writes = group.member(C).written.clone();
    assert!(writes.iter().any(|write| matches!(write, Write::Snapshot(_))));
    check_caught_up(&mut group, leader, "no crash");
    for count in 0..=writes.len() {
        let after = disk_after(&disk, &writes[..count]);
        let snapshot = after.snapshot.as_ref().map(|snapshot| snapshot.index);
        assert!(after.hard_state.term >= disk.hard_state.term, "write {count}");
        assert!(snapshot.is_some() || last_index(&after) == 60, "write {count}");
        let (mut group, _) = with_a_longer_log_that_was_never_committed();
        let leader = group.replica(A).leader().expect("one leads");
        group.join(C, after.clone());
        assert_eq!(group.replica(C).last_index(), last_index(&after), "write {count}");
        assert_eq!(group.replica(C).term(), after.hard_state.term.max(last_term(&after)), "write {count}");
        group.run(3000);
        let place = format!("write {count}");
        let committed = group.replica(leader).commit_index();
        assert_eq!(group.replica(C).commit_index(), committed, "{place}");
        assert!(group.replica(leader).is_caught_up(C), "{place}");
    }
}

fn last_term(disk: &Restored) -> u64 {
    let snapshot = disk.snapshot.as_ref().map_or(0, |snapshot: &Snapshot| snapshot.term);
    disk.entries.last().map_or(snapshot, |entry| entry.term)
}

/// A new leader takes nobody for caught up by what earlier leaders knew.
#[test]
fn a_new_leader_takes_nobody_for_caught_up_before_its_first_entry_came() {
    for held in [MessageKind::Append, MessageKind::AppendReply] {
        let mut group = Group::led_by_a(&[A, B, C]);
        propose(&mut group, 50);
        group.run(300);
        group.hold = Some(held);
        let now = group.now;
        assert!(group.replica(A).transfer_leadership(now, Some(B)));
        group.settle();
        assert_eq!(group.replica(B).leader(), Some(B), "{held:?}");
        let first = group.replica(B).last_index();
        let reached = group.replica(B).match_index(C) >= Some(first);
        assert_eq!(group.replica(B).is_caught_up(C), reached, "{held:?}");
        assert!(!reached, "{held:?}");
        group.release();
        group.run(300);
        assert!(group.replica(B).is_caught_up(C), "{held:?}");
    }
}

/// A receiver keeps no part of a snapshot that the log has overtaken or that nobody sends any more: a later, smaller one
/// is taken up whole.
#[test]
fn parts_of_an_older_snapshot_never_mix_with_a_newer_one() {
    for parts in 1..PARTS {
        let mut group = lagging(20);
        let late = group.held.clone();
        for _ in 0..parts {
            group.release_one();
        }
        group.isolate(C);
        group.held.clear();
        propose(&mut group, 5);
        group.run(GIVEN_UP_MS + 2 * TIMING.election_min_ms);
        compact(&mut group, A);
        group.cuts.clear();
        group.state = Blob::from((100..195).collect::<Vec<u8>>());
        let before = group.count(MessageKind::SnapshotChunk);
        group.run(500);
        // Parts of the older one come in between.
        group.release_one();
        for (from, to, message) in late {
            let now = group.now;
            group.replica(to).step(now, from, message);
        }
        // Those that were held are counted once more.
        let counted = PARTS + group.held.len();
        group.release();
        let sent = group.count(MessageKind::SnapshotChunk) - before;
        assert_eq!(sent, counted, "part {parts}: none is sent again");
        group.run(3000);
        assert_eq!(group.member(C).restored.len(), 1, "part {parts}");
        let restored = group.member(C).restored[0].data.clone();
        assert_eq!(restored, group.state, "part {parts}");
        check_caught_up(&mut group, A, &format!("part {parts}"));
    }
}

/// Two leaders may encode the same state in other bytes: parts of one never complete those of the other.
#[test]
fn parts_of_two_leaders_never_mix() {
    for parts in 1..PARTS {
        let mut group = after_parts(parts);
        group.held.clear();
        let index = group.replica(B).applied_index();
        group.isolate(A);
        group.state = Blob::from((100..195).collect::<Vec<u8>>());
        group.hold = None;
        group.run(4 * TIMING.election_max_ms);
        assert_eq!(group.replica(C).leader(), Some(B), "part {parts}");
        let restored = group.member(C).restored[0].clone();
        assert_eq!(restored.index, index, "part {parts}: both snapshots have the same index");
        assert_eq!(restored.data, group.state, "part {parts}");
        check_caught_up(&mut group, B, &format!("part {parts}"));
    }
}

/// A snapshot that covers less than the log that agrees with it takes nothing away: what comes after may be acknowledged.
#[test]
fn a_snapshot_of_entries_that_are_there_takes_nothing_away() {
    let empty = |index| Entry { term: 1, index, payload: Payload::Empty };
    let hard_state = HardState { term: 1, vote: Some(A) };
    let whole = || Restored { hard_state, entries: (1..=30).map(empty).collect(), ..founded(&[A, C]) };
    let membership = whole().founding.unwrap_or_default();
    let snapshot = Snapshot { index: 20, term: 1, membership, data: Blob::from(vec![5; 95]) };
    let compacted = Restored { snapshot: Some(snapshot), entries: (21..=30).map(empty).collect(), ..whole() };
    let mut group = Group::new(vec![(A, compacted), (C, whole())]);
    group.state = Blob::from(vec![5; 95]);
    group.isolate(C);
    group.run(TIMING.election_min_ms);
    group.cuts.clear();
    group.hold = Some(MessageKind::Append);
    group.elect(A);
    // An empty disk under the identity of C makes the leader send a snapshot.
    group.members.retain(|member| member.replica.id() != C);
    group.join(C, founded(&[A, C]));
    group.hold = Some(MessageKind::SnapshotChunk);
    for (from, to, message) in std::mem::take(&mut group.held) {
        let now = group.now;
        group.replica(to).step(now, from, message);
    }
    group.run(2 * TIMING.heartbeat_ms);
    assert!(!group.held.is_empty(), "the leader sends a snapshot");
    group.members.retain(|member| member.replica.id() != C);
    let mut longer = whole();
    longer.entries.extend((31..=40).map(empty));
    group.join(C, longer);
    let index = group.replica(A).applied_index();
    let last = group.replica(C).last_index();
    assert!(last > index);
    while !group.held.is_empty() && group.replica(C).commit_index() < index {
        group.release_one();
    }
    assert_eq!(group.replica(C).commit_index(), index);
    assert!(group.replica(C).last_index() > index);
    assert!(group.member(C).restored.is_empty());
    assert!(!group.member(C).written.iter().any(|write| matches!(write, Write::Snapshot(_))));
}

/// A new leader knows of nobody where the logs agree. A connection that is lost right then does not make it send all.
#[test]
fn a_connection_that_is_lost_at_an_election_leads_to_no_snapshot() {
    for lost in [MessageKind::Append, MessageKind::AppendReply] {
        let mut group = Group::led_by_a(&[A, B, C]);
        propose(&mut group, 50);
        group.run(300);
        compact(&mut group, B);
        group.hold = Some(lost);
        let now = group.now;
        assert!(group.replica(A).transfer_leadership(now, Some(B)));
        group.settle();
        assert_eq!(group.replica(B).leader(), Some(B), "{lost:?}");
        for _ in 0..3 {
            let now = group.now;
            group.replica(B).peer_unreachable(now, C);
            group.run(100);
        }
        group.held.clear();
        group.hold = None;
        group.run(1000);
        assert_eq!(group.count(MessageKind::SnapshotChunk), 0, "{lost:?}");
        check_caught_up(&mut group, B, &format!("{lost:?}"));
    }
}
