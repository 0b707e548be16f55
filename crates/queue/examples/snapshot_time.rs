//! Measures how long a shard's state takes to encode and to restore, by its size.
//!
//! `cargo run --release -p ruddervalve-queue --example snapshot_time`

use std::time::Instant;

use ruddervalve_protocol::{Blob, Incarnation, MessageId, NewMessage};
use ruddervalve_queue::{Action, Command, ShardState, SnapshotError};

const MEGABYTE: usize = 1_000_000;
const STATES_MB: [usize; 4] = [10, 50, 100, 300];
const MESSAGE_BYTES: usize = 5_000;

fn main() -> Result<(), SnapshotError> {
    println!("MB | encoded bytes | encode ms | peak MB | restore ms | peak MB");
    for megabytes in STATES_MB {
        let state = state_of(megabytes * MEGABYTE / MESSAGE_BYTES);
        forget_peak_memory();
        let begun = Instant::now();
        let snapshot = state.snapshot();
        let encode_ms = begun.elapsed().as_millis();
        let encode_peak = peak_memory_megabytes();
        drop(state);
        forget_peak_memory();
        let begun = Instant::now();
        let restored = ShardState::restore(&snapshot)?;
        let restore_ms = begun.elapsed().as_millis();
        let restore_peak = peak_memory_megabytes();
        let bytes = snapshot.len();
        println!("{megabytes} | {bytes} | {encode_ms} | {encode_peak} | {restore_ms} | {restore_peak}");
        drop(restored);
    }
    Ok(())
}

fn state_of(messages: usize) -> ShardState {
    let mut state = ShardState::new();
    for number in 0..messages {
        let action = Action::Accept {
            message: message(number).into(),
            due_ms: 1_000,
            expires_ms: 100_000,
            accepted_by: Incarnation(1),
        };
        state.apply(&Command { shard_ms: 1, wall_ms: 1, action });
    }
    state
}

fn message(number: usize) -> NewMessage {
    NewMessage {
        id: MessageId(format!("m{number:08}")),
        route: "/plans/".to_owned(),
        service: "plans".to_owned(),
        method: "POST".to_owned(),
        host: "plans.test".to_owned(),
        path: "/plans/new".to_owned(),
        content_type: "application/json".to_owned(),
        ordering_key: None,
        callback_url: None,
        delay_ms: 0,
        retention_ms: 100_000,
        body: Blob::from(vec![7; MESSAGE_BYTES]),
    }
}

/// Lets the system measure the peak anew, where it can.
fn forget_peak_memory() {
    let _ = std::fs::write("/proc/self/clear_refs", "5");
}

/// The peak since then; 0 where the system doesn't tell.
fn peak_memory_megabytes() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmHWM"));
    let kilobytes =
        line.and_then(|line| line.split_whitespace().nth(1)).and_then(|text| text.parse::<u64>().ok());
    kilobytes.unwrap_or(0) / 1_000
}
