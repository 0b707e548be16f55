//! A journal on a thread of its own, and its checkpoints on a second one.

mod checkpoint_thread;
mod log_thread;
mod shared;
#[cfg(test)]
mod tests;

use std::fmt;
use std::sync::Arc;

use crate::error::DiskError;
use crate::journal::Journal;
use crate::record::Record;
use crate::state::ProcessState;
use crate::sync::{JoinHandle, spawn};

use checkpoint_thread::CheckpointThread;
use log_thread::LogThread;
use shared::{Command, Shared, Task};

/// What became of something that was handed to a [`DiskWorker`].
#[derive(Debug)]
pub enum Completion {
    /// The records are durable.
    Written {
        /// The ticket that they were submitted with.
        ticket: u64,
    },
    /// The checkpoint is durable.
    CheckpointDone {
        /// The ticket that it was asked for with.
        ticket: u64,
        /// The length of the newest slot in bytes.
        bytes: u64,
    },
    /// The disk is full: the records or the checkpoint are not durable. The worker goes on trying in the order of
    /// submission; this is told once for each ticket, and `Written` or `CheckpointDone` may follow.
    Full {
        /// The ticket.
        ticket: u64,
    },
    /// Nothing more will become durable, and what is under way may or may not be: the process must end.
    Failed(DiskError),
}

/// Receives completions on the worker's threads.
pub(crate) type Completions = Box<dyn Fn(Completion) + Send + Sync>;

/// Writes and syncs records on one thread and checkpoints on another.
pub struct DiskWorker {
    shared: Arc<Shared>,
    threads: Vec<JoinHandle<()>>,
}

impl fmt::Debug for DiskWorker {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.debug_struct("DiskWorker").finish_non_exhaustive()
    }
}

impl DiskWorker {
    /// Starts the threads. `completions` is called on them and must neither block nor panic.
    pub fn start(journal: Journal, completions: impl Fn(Completion) + Send + Sync + 'static) -> Self {
        let retry = journal.options().full_retry;
        let shared = Arc::new(Shared::new(journal.log_bytes(), Box::new(completions)));
        let log_thread = LogThread::new(Arc::clone(&shared), journal);
        let checkpoint_thread = CheckpointThread::new(Arc::clone(&shared), retry);
        let started = [
            spawn("disk-log", move || log_thread.run()),
            spawn("disk-checkpoint", move || checkpoint_thread.run()),
        ];
        let mut threads = Vec::new();
        for thread in started {
            match thread {
                Ok(thread) => threads.push(thread),
                Err(cause) => shared.fail(DiskError::Thread { cause }),
            }
        }
        Self { shared, threads }
    }

    /// Queues records and never waits for the disk. All that is queued when the thread comes round is written and synced
    /// together; each submission is recovered whole or not at all, in the order of submission.
    pub fn submit(&self, records: Vec<Record>, ticket: u64) {
        self.shared.push(Command::new(ticket, Task::Write(records)));
    }

    /// Queues a checkpoint of `state`, which must be what all records submitted before make up. More than one may be
    /// queued.
    pub fn checkpoint(&self, state: ProcessState, ticket: u64) {
        self.shared.push(Command::new(ticket, Task::Checkpoint(Arc::new(state))));
    }

    /// The bytes of all logs that a recovery would read: those written since the state of the newest durable checkpoint.
    pub fn bytes_since_checkpoint(&self) -> u64 {
        self.shared.log_bytes()
    }

    /// Whether a checkpoint was asked for that is not done.
    pub fn checkpoint_running(&self) -> bool {
        self.shared.checkpoint_running()
    }

    /// Writes and syncs all that is queued, checkpoints too, and ends the threads. What a full disk has no room for is
    /// tried once more and then left out: it gets no `Written` and no `CheckpointDone`.
    pub fn shutdown(mut self) {
        self.shared.close();
        for thread in std::mem::take(&mut self.threads) {
            // A thread that panicked has nothing to hand over.
            let _ = thread.join();
        }
    }
}

impl Drop for DiskWorker {
    /// Lets the threads end by themselves once all that is queued is written.
    fn drop(&mut self) {
        self.shared.close();
    }
}
