//! Snapshots over links of limited bandwidth.

use crate::link::{DEPLOYED, Link};

const MEGABYTE: usize = 1_000_000;

/// What the bytes alone take on a link.
fn least_ms(megabits: u64, bytes: usize) -> u64 {
    bytes as u64 * 8 / (megabits * 1_000)
}

#[test]
fn a_snapshot_uses_the_link_and_leaves_room_for_heartbeats() {
    for (megabits, delay_ms) in [(86, 1), (86, 3), (86, 40), (600, 1), (600, 3), (600, 40)] {
        for megabytes in [1, 10, 30] {
            let bytes = megabytes * MEGABYTE;
            let least = least_ms(megabits, bytes);
            let transfer = Link::new(megabits, delay_ms, bytes).play(least * 3 + 3000);
            let place = format!("{megabits} Mbit/s, {delay_ms} ms, {megabytes} MB: {transfer:?}");
            let transfer = transfer.unwrap_or_else(|| panic!("{place}"));
            assert!(transfer.took_ms <= least * 5 / 4 + 30 * delay_ms + 100, "{place}");
            // The window may grow to twice what the link holds before an answer tells so.
            let most = delay_ms + 3 * DEPLOYED.heartbeat_ms;
            assert!(transfer.slowest_heartbeat_ms <= most, "{place}");
            assert!(transfer.slowest_heartbeat_ms < DEPLOYED.election_min_ms, "{place}");
            assert_eq!(transfer.asked, 1, "{place}");
            assert!(transfer.sent_bytes < bytes as u64 * 11 / 10 + 500_000, "{place}");
        }
    }
}

/// Wherever in a transfer the receiver freezes, for less than it takes to give the transfer up, it goes on from there.
#[test]
fn a_receiver_that_freezes_goes_on_where_it_was() {
    let bytes = 5 * MEGABYTE;
    let least = least_ms(86, bytes);
    for begin in (0..least).step_by(25) {
        for frozen_ms in [150, 300, 700, 2000, 3500] {
            let mut link = Link::new(86, 1, bytes);
            link.frozen = 1000 + begin..1000 + begin + frozen_ms;
            let transfer = link.play(10_000);
            let place = format!("frozen at {begin} ms for {frozen_ms} ms: {transfer:?}");
            let transfer = transfer.unwrap_or_else(|| panic!("{place}"));
            assert!(transfer.took_ms <= least * 5 / 4 + frozen_ms + 600, "{place}");
            assert_eq!(transfer.asked, 1, "{place}");
            assert!(transfer.sent_bytes < bytes as u64 * 13 / 10 + 1_500_000, "{place}");
        }
    }
}

/// The figures of docs/control-under-faults/snapshots-and-restarts.md: `cargo test --release -p ruddervalve-consensus --test
/// behaviour transfers_by_size -- --nocapture`.
#[test]
fn transfers_by_size_take_what_the_link_takes() {
    println!("Mbit/s | way ms | MB | least ms | took ms | slowest heartbeat ms | bytes sent");
    for (megabits, delay_ms) in [(600, 3), (86, 3)] {
        for megabytes in [10, 100, 300] {
            let bytes = megabytes * MEGABYTE;
            let least = least_ms(megabits, bytes);
            let transfer = Link::new(megabits, delay_ms, bytes).play(least * 2 + 1000).expect("it ends");
            let (took_ms, heartbeat_ms) = (transfer.took_ms, transfer.slowest_heartbeat_ms);
            let sent_bytes = transfer.sent_bytes;
            println!(
                "{megabits} | {delay_ms} | {megabytes} | {least} | {took_ms} | {heartbeat_ms} | {sent_bytes}"
            );
            assert!(took_ms <= least * 11 / 10 + 100, "{megabits} Mbit/s, {megabytes} MB: {transfer:?}");
            assert!(
                heartbeat_ms < DEPLOYED.election_min_ms,
                "{megabits} Mbit/s, {megabytes} MB: {transfer:?}"
            );
        }
    }
}
