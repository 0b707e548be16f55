//! What the owner and the threads of a worker share.

use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use super::{Completion, Completions};
use crate::checkpoint::{CheckpointDone, CheckpointJob};
use crate::error::DiskError;
use crate::record::Record;
use crate::state::ProcessState;
use crate::sync::{Condvar, Mutex, lock, wait_while, wait_while_for};

/// Something that the owner asked for.
pub(super) struct Command {
    pub(super) ticket: u64,
    pub(super) task: Task,
    /// Whether the owner knows that there is no room for it.
    pub(super) full_told: bool,
}

impl Command {
    pub(super) fn new(ticket: u64, task: Task) -> Self {
        Self { ticket, task, full_told: false }
    }
}

/// What the owner asked for.
pub(super) enum Task {
    /// Records to be written.
    Write(Vec<Record>),
    /// A state to be stored.
    Checkpoint(Arc<ProcessState>),
}

/// A checkpoint for the second thread.
pub(super) struct Job {
    pub(super) ticket: u64,
    pub(super) job: CheckpointJob,
    pub(super) full_told: bool,
}

/// A checkpoint that the second thread is done with.
pub(super) struct Finished {
    pub(super) ticket: u64,
    /// `None` if the worker was shut down while the disk was full.
    pub(super) done: Option<CheckpointDone>,
}

/// What the log thread works on next.
pub(super) struct Round {
    pub(super) commands: VecDeque<Command>,
    pub(super) finished: Vec<Finished>,
    /// Whether the owner asks the threads to end.
    pub(super) closing: bool,
    /// Whether a thread failed.
    pub(super) failed: bool,
    /// Jobs that the second thread is not done with.
    pub(super) jobs_in_flight: usize,
}

/// How long the log thread waits for its next round.
#[derive(Debug, Clone, Copy)]
pub(super) struct Wait {
    /// How long it lets a full disk be; `None` if it has room.
    pub(super) full: Option<Duration>,
    /// Whether the log thread has worked since it learnt that it is to end.
    pub(super) closing_known: bool,
}

#[derive(Default)]
struct Queue {
    commands: VecDeque<Command>,
    jobs: VecDeque<Job>,
    finished: Vec<Finished>,
    /// Jobs handed to the second thread whose end the log thread has not taken.
    jobs_in_flight: usize,
    /// Checkpoints asked for whose end the owner has not been told.
    checkpoints_open: usize,
    closing: bool,
    failed: bool,
    /// Whether no more jobs will come.
    log_ended: bool,
}

impl Queue {
    fn log_idle(&self, wait: Wait) -> bool {
        let work = !self.commands.is_empty() && wait.full.is_none();
        let end = self.closing && (!wait.closing_known || self.jobs_in_flight == 0);
        !work && !end && !self.failed && self.finished.is_empty()
    }
}

/// The queues between the owner and the two threads.
pub(super) struct Shared {
    queue: Mutex<Queue>,
    log_wake: Condvar,
    checkpoint_wake: Condvar,
    log_bytes: AtomicU64,
    completions: Completions,
}

impl Shared {
    pub(super) fn new(log_bytes: u64, completions: Completions) -> Self {
        Self {
            queue: Mutex::new(Queue::default()),
            log_wake: Condvar::new(),
            checkpoint_wake: Condvar::new(),
            log_bytes: AtomicU64::new(log_bytes),
            completions,
        }
    }

    /// Tells the owner.
    pub(super) fn complete(&self, completion: Completion) {
        (self.completions)(completion);
    }

    /// Queues a command; one that comes after a failure is dropped.
    pub(super) fn push(&self, command: Command) {
        let mut queue = lock(&self.queue);
        if queue.failed {
            return;
        }
        if matches!(command.task, Task::Checkpoint(_)) {
            queue.checkpoints_open = queue.checkpoints_open.saturating_add(1);
        }
        queue.commands.push_back(command);
        drop(queue);
        self.log_wake.notify_one();
    }

    /// Waits for work and takes all there is.
    pub(super) fn next_round(&self, wait: Wait) -> Round {
        let queue = lock(&self.queue);
        let idle = |queue: &mut Queue| queue.log_idle(wait);
        let mut queue = match wait.full {
            Some(interval) if !wait.closing_known => {
                wait_while_for(&self.queue, &self.log_wake, queue, interval, idle)
            }
            _ => wait_while(&self.log_wake, queue, idle),
        };
        let finished = std::mem::take(&mut queue.finished);
        queue.jobs_in_flight = queue.jobs_in_flight.saturating_sub(finished.len());
        Round {
            commands: std::mem::take(&mut queue.commands),
            finished,
            closing: queue.closing,
            failed: queue.failed,
            jobs_in_flight: queue.jobs_in_flight,
        }
    }

    /// Hands a checkpoint to the second thread.
    pub(super) fn push_job(&self, job: Job) {
        let mut queue = lock(&self.queue);
        queue.jobs.push_back(job);
        queue.jobs_in_flight = queue.jobs_in_flight.saturating_add(1);
        drop(queue);
        self.checkpoint_wake.notify_one();
    }

    /// Waits for a checkpoint; `None` once no more will come.
    pub(super) fn next_job(&self) -> Option<Job> {
        let idle = |queue: &mut Queue| queue.jobs.is_empty() && !queue.log_ended && !queue.failed;
        let mut queue = wait_while(&self.checkpoint_wake, lock(&self.queue), idle);
        if queue.failed { None } else { queue.jobs.pop_front() }
    }

    /// Waits until a full disk is to be tried again; `false` if the threads are to end.
    pub(super) fn wait_for_room(&self, interval: Duration) -> bool {
        let open = |queue: &mut Queue| !queue.closing && !queue.failed;
        let queue = lock(&self.queue);
        let mut queue = wait_while_for(&self.queue, &self.checkpoint_wake, queue, interval, open);
        open(&mut queue)
    }

    /// Hands a checkpoint's end to the log thread.
    pub(super) fn push_finished(&self, finished: Finished) {
        lock(&self.queue).finished.push(finished);
        self.log_wake.notify_one();
    }

    /// The owner is about to be told of the end of a checkpoint.
    pub(super) fn checkpoint_closed(&self) {
        let mut queue = lock(&self.queue);
        queue.checkpoints_open = queue.checkpoints_open.saturating_sub(1);
    }

    /// Whether a checkpoint was asked for whose end the owner has not been told.
    pub(super) fn checkpoint_running(&self) -> bool {
        lock(&self.queue).checkpoints_open > 0
    }

    pub(super) fn set_log_bytes(&self, bytes: u64) {
        self.log_bytes.store(bytes, Ordering::Relaxed);
    }

    pub(super) fn log_bytes(&self) -> u64 {
        self.log_bytes.load(Ordering::Relaxed)
    }

    /// Asks the threads to end once they have written all.
    pub(super) fn close(&self) {
        lock(&self.queue).closing = true;
        self.wake_all();
    }

    /// No more jobs will come.
    pub(super) fn log_ended(&self) {
        lock(&self.queue).log_ended = true;
        self.wake_all();
    }

    /// Ends all work and tells the owner, once.
    pub(super) fn fail(&self, error: DiskError) {
        let first = !std::mem::replace(&mut lock(&self.queue).failed, true);
        self.wake_all();
        if first {
            self.complete(Completion::Failed(error));
        }
    }

    fn wake_all(&self) {
        self.log_wake.notify_one();
        self.checkpoint_wake.notify_one();
    }
}
