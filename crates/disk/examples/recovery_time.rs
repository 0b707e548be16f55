//! Measures how long a disk takes to write, and a process to recover, states of some sizes, and logs of many changes.
//!
//! `cargo run --release -p ruddervalve-disk --example recovery_time FOLDER`: `FOLDER` must not exist; it is made, and
//! removed at the end.

use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::{Duration, Instant};

use ruddervalve_disk::{
    DiskError, GroupState, Options, ProcessState, RealFolder, Record, StoredEntry, StoredHardState,
    StoredSnapshot, open,
};
use ruddervalve_protocol::{Blob, GroupId, ReplicaId};

const IDENTITY: ReplicaId = ReplicaId(7);
const GROUP: GroupId = GroupId(1);
const MEGABYTE: usize = 1_000_000;
/// The sizes of states.
const STATES_MB: [usize; 3] = [10, 100, 300];
/// A configuration of about 60 routes.
const CONFIGURATION_BYTES: usize = 20_000;
/// Changes in a log.
const CHANGES: [u64; 3] = [200, 600, 5_000];
/// Bytes of a message in a state that is kept as entries.
const MESSAGE_BYTES: usize = 5_000;

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let path = PathBuf::from(std::env::args().nth(1).ok_or("name a folder that does not exist")?);
    println!("what | bytes written | write and sync ms | recover ms | peak memory MB");
    for megabytes in STATES_MB {
        measure(&path, &format!("snapshot of {megabytes} MB in a slot"), |folder| {
            write_slot(folder, megabytes)
        })?;
        measure(&path, &format!("snapshot of {megabytes} MB in both slots"), |folder| {
            write_slots(folder, megabytes)
        })?;
        measure(&path, &format!("snapshot of {megabytes} MB in the log"), |folder| {
            write_snapshot(folder, megabytes)
        })?;
        measure(&path, &format!("{megabytes} MB of messages in the log"), |folder| {
            let count = megabytes * MEGABYTE / MESSAGE_BYTES;
            write_entries(folder, count as u64, MESSAGE_BYTES, 100)
        })?;
    }
    for changes in CHANGES {
        measure(&path, &format!("{changes} configurations in the log, a sync each"), |folder| {
            write_entries(folder, changes, CONFIGURATION_BYTES, 1)
        })?;
    }
    Ok(())
}

/// Writes in a new folder, and reads it again.
fn measure(
    path: &Path,
    name: &str,
    write: impl FnOnce(Arc<RealFolder>) -> Result<(), DiskError>,
) -> Result<(), Box<dyn std::error::Error>> {
    std::fs::create_dir(path)?;
    let folder = Arc::new(RealFolder::new(path));
    let begun = Instant::now();
    write(Arc::clone(&folder))?;
    let written = begun.elapsed();
    let bytes: u64 =
        std::fs::read_dir(path)?.map(|file| Ok(file?.metadata()?.len())).sum::<std::io::Result<u64>>()?;
    forget_peak_memory();
    let begun = Instant::now();
    let opened = open(folder, Options::default())?;
    let recovered = begun.elapsed();
    let peak = peak_memory_megabytes();
    drop(opened);
    println!("{name} | {bytes} | {} | {} | {peak}", whole_ms(written), whole_ms(recovered));
    std::fs::remove_dir_all(path)?;
    Ok(())
}

fn whole_ms(duration: Duration) -> u128 {
    duration.as_millis()
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

fn snapshot(megabytes: usize) -> StoredSnapshot {
    let data = Blob::from(vec![7; megabytes * MEGABYTE]);
    StoredSnapshot { index: 1_000, term: 3, membership: Blob::from(vec![1; 40]), data }
}

fn write_slot(folder: Arc<RealFolder>, megabytes: usize) -> Result<(), DiskError> {
    write_checkpoints(folder, megabytes, 1)
}

/// As a process leaves it that has run for long.
fn write_slots(folder: Arc<RealFolder>, megabytes: usize) -> Result<(), DiskError> {
    write_checkpoints(folder, megabytes, 2)
}

fn write_checkpoints(folder: Arc<RealFolder>, megabytes: usize, count: usize) -> Result<(), DiskError> {
    let mut journal = open(folder, Options::default())?.found(IDENTITY)?;
    let group = GroupState {
        hard_state: StoredHardState { term: 3, vote: None },
        snapshot: Some(snapshot(megabytes)),
        ..GroupState::default()
    };
    let state = ProcessState { identity: IDENTITY, groups: BTreeMap::from([(GROUP, group)]) };
    for _ in 0..count {
        let done = journal.begin_checkpoint(&state)?.run()?;
        journal.finish_checkpoint(done);
    }
    Ok(())
}

fn write_snapshot(folder: Arc<RealFolder>, megabytes: usize) -> Result<(), DiskError> {
    let mut journal = open(folder, Options::default())?.found(IDENTITY)?;
    journal.append(&[Record::Snapshot { group: GROUP, snapshot: snapshot(megabytes) }]);
    journal.sync()
}

/// Writes entries, and syncs after each `per_sync` of them.
fn write_entries(folder: Arc<RealFolder>, count: u64, bytes: usize, per_sync: u64) -> Result<(), DiskError> {
    let mut journal = open(folder, Options::default())?.found(IDENTITY)?;
    for index in 1..=count {
        let payload = Blob::from(vec![index as u8; bytes]);
        let entries = vec![StoredEntry { index, term: 3, kind: 1, payload }];
        journal.append(&[Record::Entries { group: GROUP, entries }]);
        if index % per_sync == 0 {
            journal.sync()?;
        }
    }
    journal.sync()
}
