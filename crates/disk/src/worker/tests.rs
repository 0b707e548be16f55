//! The worker under `shuttle`: many interleavings of the owner and the two threads.

use std::collections::BTreeMap;
use std::io::ErrorKind;
use std::sync::Arc;

use ruddervalve_protocol::{Blob, GroupId, ReplicaId};

use super::{Completion, DiskWorker};
use crate::options::Options;
use crate::record::{Record, StoredEntry};
use crate::state::{ProcessState, apply};
use crate::sync::{Condvar, Mutex, lock, wait_while};
use crate::testing::FaultyFolder;
use crate::{DiskError, open};

/// Interleavings of each test: together a few seconds.
const INTERLEAVINGS: usize = 400;
const IDENTITY: ReplicaId = ReplicaId(77);
const GROUP: GroupId = GroupId(3);
/// Tickets of checkpoints; those of records are the entry's index.
const CHECKPOINT: u64 = 1000;

/// A completion without its error.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum CompletionKind {
    Written(u64),
    CheckpointDone(u64),
    Full(u64),
    Failed,
}

impl From<Completion> for CompletionKind {
    fn from(completion: Completion) -> Self {
        match completion {
            Completion::Written { ticket } => Self::Written(ticket),
            Completion::CheckpointDone { ticket, .. } => Self::CheckpointDone(ticket),
            Completion::Full { ticket } => Self::Full(ticket),
            Completion::Failed(_) => Self::Failed,
        }
    }
}

/// The completions that the worker reported, in order.
#[derive(Default)]
struct Log {
    completions: Mutex<Vec<CompletionKind>>,
    more: Condvar,
}

impl Log {
    fn add(&self, completion: CompletionKind) {
        lock(&self.completions).push(completion);
        self.more.notify_all();
    }

    fn wait_for(&self, expected: CompletionKind) {
        drop(wait_while(&self.more, lock(&self.completions), |completions| !completions.contains(&expected)));
    }

    fn all(&self) -> Vec<CompletionKind> {
        lock(&self.completions).clone()
    }
}

fn record(index: u64) -> Record {
    let payload = Blob::from(vec![index as u8; 200]);
    Record::Entries { group: GROUP, entries: vec![StoredEntry { index, term: 1, kind: 0, payload }] }
}

fn state_after(last: u64) -> ProcessState {
    let mut groups = BTreeMap::new();
    for index in 1..=last {
        apply(&mut groups, record(index)).unwrap();
    }
    ProcessState { identity: IDENTITY, groups }
}

/// The last index that a loss of power would leave now.
fn durable_index(folder: &FaultyFolder) -> u64 {
    let copy = folder.copy();
    copy.lose_power(0);
    let state = open(Arc::new(copy), Options::default()).unwrap().state.unwrap();
    let last = state.groups.get(&GROUP).and_then(|group| group.entries.last()).map_or(0, |entry| entry.index);
    assert_eq!(state, state_after(last));
    last
}

/// A worker on an empty folder; each `Written` is checked against what a loss of power would leave.
fn start(folder: &FaultyFolder, log: &Arc<Log>) -> DiskWorker {
    let journal = open(Arc::new(folder.clone()), Options::default()).unwrap().found(IDENTITY).unwrap();
    let (folder, log) = (folder.clone(), Arc::clone(log));
    DiskWorker::start(journal, move |completion| {
        let completion = CompletionKind::from(completion);
        if let CompletionKind::Written(ticket) = completion {
            assert!(durable_index(&folder) >= ticket);
        }
        log.add(completion);
    })
}

fn written(completions: &[CompletionKind]) -> Vec<u64> {
    let tickets = completions.iter().filter_map(|completion| match completion {
        CompletionKind::Written(ticket) => Some(*ticket),
        _ => None,
    });
    tickets.collect()
}

fn count(completions: &[CompletionKind], wanted: CompletionKind) -> usize {
    completions.iter().filter(|completion| **completion == wanted).count()
}

/// Submits up to 8 with two checkpoints between.
fn submit_all(worker: &DiskWorker) {
    for index in 1..=8 {
        worker.submit(vec![record(index)], index);
        if index % 3 == 0 {
            worker.checkpoint(state_after(index), CHECKPOINT + index);
        }
    }
}

#[test]
fn all_is_written_in_order_and_checkpoints_are_done() {
    shuttle::check_random(
        || {
            let (folder, log) = (FaultyFolder::new(), Arc::new(Log::default()));
            let worker = start(&folder, &log);
            submit_all(&worker);
            worker.shutdown();
            let completions = log.all();
            assert_eq!(written(&completions), (1..=8).collect::<Vec<u64>>());
            let done: Vec<CompletionKind> = completions
                .iter()
                .copied()
                .filter(|completion| matches!(completion, CompletionKind::CheckpointDone(_)))
                .collect();
            assert_eq!(
                done,
                [
                    CompletionKind::CheckpointDone(CHECKPOINT + 3),
                    CompletionKind::CheckpointDone(CHECKPOINT + 6)
                ]
            );
            assert_eq!(completions.len(), 10);
            assert_eq!(durable_index(&folder), 8);
        },
        INTERLEAVINGS,
    );
}

#[test]
fn all_is_written_in_order_where_threads_are_slow() {
    shuttle::check_pct(
        || {
            let (folder, log) = (FaultyFolder::new(), Arc::new(Log::default()));
            let worker = start(&folder, &log);
            submit_all(&worker);
            worker.shutdown();
            assert_eq!(written(&log.all()), (1..=8).collect::<Vec<u64>>());
            assert_eq!(durable_index(&folder), 8);
        },
        INTERLEAVINGS,
        3,
    );
}

#[test]
fn a_checkpoint_runs_until_its_end_is_told() {
    shuttle::check_random(
        || {
            let (folder, log) = (FaultyFolder::new(), Arc::new(Log::default()));
            let worker = start(&folder, &log);
            assert!(!worker.checkpoint_running());
            worker.submit(vec![record(1)], 1);
            worker.checkpoint(state_after(1), CHECKPOINT);
            let running = worker.checkpoint_running();
            assert!(running || crate::Folder::list(&folder).unwrap().contains(&"slot-1".to_owned()));
            log.wait_for(CompletionKind::CheckpointDone(CHECKPOINT));
            assert!(!worker.checkpoint_running());
            assert!(worker.bytes_since_checkpoint() < 200);
            worker.shutdown();
        },
        INTERLEAVINGS,
    );
}

#[test]
fn a_full_disk_is_told_once_and_tried_until_there_is_room() {
    shuttle::check_random(
        || {
            let (folder, log) = (FaultyFolder::new(), Arc::new(Log::default()));
            let worker = start(&folder, &log);
            folder.set_capacity(Some(folder.used_bytes() + 300));
            submit_all(&worker);
            log.wait_for(CompletionKind::Full(8));
            folder.set_capacity(None);
            log.wait_for(CompletionKind::Written(8));
            worker.shutdown();
            let completions = log.all();
            assert_eq!(written(&completions), (1..=8).collect::<Vec<u64>>());
            assert!((1..=8).all(|ticket| count(&completions, CompletionKind::Full(ticket)) <= 1));
            assert_eq!(count(&completions, CompletionKind::CheckpointDone(CHECKPOINT + 6)), 1);
            assert_eq!(durable_index(&folder), 8);
        },
        INTERLEAVINGS,
    );
}

#[test]
fn a_checkpoint_without_room_is_told_once_and_tried_until_there_is() {
    shuttle::check_random(
        || {
            let (folder, log) = (FaultyFolder::new(), Arc::new(Log::default()));
            let worker = start(&folder, &log);
            worker.submit(vec![record(1)], 1);
            log.wait_for(CompletionKind::Written(1));
            // The new log fits, the slot does not.
            folder.set_capacity(Some(folder.used_bytes() + 100));
            worker.checkpoint(state_after(1), CHECKPOINT);
            log.wait_for(CompletionKind::Full(CHECKPOINT));
            folder.set_capacity(None);
            worker.submit(vec![record(2)], 2);
            log.wait_for(CompletionKind::CheckpointDone(CHECKPOINT));
            worker.shutdown();
            assert_eq!(count(&log.all(), CompletionKind::Full(CHECKPOINT)), 1);
            assert_eq!(written(&log.all()), [1, 2]);
            assert_eq!(durable_index(&folder), 2);
        },
        INTERLEAVINGS,
    );
}

#[test]
fn a_shutdown_ends_while_the_disk_is_full() {
    shuttle::check_random(
        || {
            let (folder, log) = (FaultyFolder::new(), Arc::new(Log::default()));
            let worker = start(&folder, &log);
            folder.set_capacity(Some(folder.used_bytes() + 700));
            submit_all(&worker);
            worker.shutdown();
            let written = written(&log.all());
            assert!(written.iter().copied().eq(1..=written.len() as u64));
            assert!(written.len() < 8);
            assert_eq!(durable_index(&folder), written.len() as u64);
        },
        INTERLEAVINGS,
    );
}

#[test]
fn a_failure_at_any_operation_is_told_once_and_ends_the_threads() {
    shuttle::check_random(
        || {
            let (folder, log) = (FaultyFolder::new(), Arc::new(Log::default()));
            let worker = start(&folder, &log);
            let operation = shuttle::rand::Rng::gen_range(&mut shuttle::rand::thread_rng(), 1..12);
            folder.fail_at(folder.operations() + operation, ErrorKind::Other);
            submit_all(&worker);
            worker.shutdown();
            let completions = log.all();
            let failed = count(&completions, CompletionKind::Failed);
            let written = written(&completions);
            assert!(failed == 1 || (failed == 0 && written.len() == 8), "{completions:?}");
            assert!(written.iter().copied().eq(1..=written.len() as u64));
            assert!(durable_index(&folder) >= written.len() as u64);
        },
        INTERLEAVINGS,
    );
}

#[test]
fn a_state_of_another_process_fails_the_worker() {
    shuttle::check_random(
        || {
            let (folder, log) = (FaultyFolder::new(), Arc::new(Log::default()));
            let worker = start(&folder, &log);
            let foreign = ProcessState { identity: ReplicaId(1), groups: BTreeMap::new() };
            worker.checkpoint(foreign, CHECKPOINT);
            worker.submit(vec![record(1)], 1);
            worker.shutdown();
            assert_eq!(log.all(), [CompletionKind::Failed]);
        },
        INTERLEAVINGS,
    );
}

#[test]
fn an_error_of_an_ended_journal_names_the_remedy() {
    assert!(DiskError::Ended.to_string().contains("start again"));
}
