//! The thread that appends and syncs.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use super::Completion;
use super::shared::{Command, Finished, Job, Round, Shared, Task, Wait};
use crate::error::DiskError;
use crate::journal::Journal;
use crate::record::Record;

/// Records in the journal's buffer.
struct Buffered {
    ticket: u64,
    full_told: bool,
}

/// The thread that appends and syncs.
pub(super) struct LogThread {
    shared: Arc<Shared>,
    journal: Journal,
    /// Commands that the journal has not taken, in their order.
    backlog: VecDeque<Command>,
    /// Commands whose records are in the journal's buffer, in their order.
    buffered: Vec<Buffered>,
    /// How long to let a full disk be; `None` if it had room at the last try.
    full: Option<Duration>,
    closing_known: bool,
}

impl LogThread {
    pub(super) fn new(shared: Arc<Shared>, journal: Journal) -> Self {
        let (backlog, buffered) = (VecDeque::new(), Vec::new());
        Self { shared, journal, backlog, buffered, full: None, closing_known: false }
    }

    /// Runs until the owner closes or a call fails.
    pub(super) fn run(mut self) {
        loop {
            let wait = Wait { full: self.full, closing_known: self.closing_known };
            let Round { commands, finished, closing, failed, jobs_in_flight } = self.shared.next_round(wait);
            if failed {
                return;
            }
            self.closing_known = closing;
            self.backlog.extend(commands);
            finished.into_iter().for_each(|finished| self.finish(finished));
            let jobs_begun = match self.work() {
                Ok(jobs_begun) => jobs_begun,
                Err(error) => return self.shared.fail(error),
            };
            if closing && jobs_in_flight == 0 && jobs_begun == 0 {
                return self.shared.log_ended();
            }
        }
    }

    fn finish(&mut self, Finished { ticket, done }: Finished) {
        let Some(done) = done else { return self.shared.checkpoint_closed() };
        let bytes = done.bytes();
        self.journal.finish_checkpoint(done);
        self.shared.set_log_bytes(self.journal.log_bytes());
        self.shared.checkpoint_closed();
        self.shared.complete(Completion::CheckpointDone { ticket, bytes });
    }

    /// Does all there is, as far as the disk has room; returns how many checkpoints were begun.
    fn work(&mut self) -> Result<usize, DiskError> {
        let mut jobs_begun = 0;
        let result = self.drain(&mut jobs_begun);
        self.shared.set_log_bytes(self.journal.log_bytes());
        match result {
            Ok(()) => self.full = None,
            Err(error) if error.is_full() => self.let_full_disk_be(),
            Err(error) => return Err(error),
        }
        Ok(jobs_begun)
    }

    fn drain(&mut self, jobs_begun: &mut usize) -> Result<(), DiskError> {
        loop {
            self.buffer_writes();
            self.commit()?;
            let Some(command) = self.backlog.pop_front() else { return Ok(()) };
            let job = match &command.task {
                Task::Checkpoint(state) => self.journal.begin_shared_checkpoint(state),
                Task::Write(records) => {
                    self.buffer(&command, records);
                    continue;
                }
            };
            match job {
                Ok(job) => {
                    self.shared.push_job(Job { ticket: command.ticket, job, full_told: command.full_told });
                    *jobs_begun += 1;
                }
                Err(error) => {
                    self.backlog.push_front(command);
                    return Err(error);
                }
            }
        }
    }

    /// Hands the journal all writes up to the next checkpoint.
    fn buffer_writes(&mut self) {
        let leading =
            self.backlog.iter().take_while(|command| matches!(command.task, Task::Write(_))).count();
        let commands: Vec<Command> = self.backlog.drain(..leading).collect();
        for command in &commands {
            if let Task::Write(records) = &command.task {
                self.buffer(command, records);
            }
        }
    }

    fn buffer(&mut self, command: &Command, records: &[Record]) {
        self.journal.append(records);
        self.buffered.push(Buffered { ticket: command.ticket, full_told: command.full_told });
    }

    /// Makes all that the journal was handed durable and tells the owner.
    fn commit(&mut self) -> Result<(), DiskError> {
        self.journal.sync()?;
        // The owner may ask for the length as soon as it is told.
        self.shared.set_log_bytes(self.journal.log_bytes());
        for Buffered { ticket, .. } in self.buffered.drain(..) {
            self.shared.complete(Completion::Written { ticket });
        }
        Ok(())
    }

    /// Tells the owner what there is no room for, and waits longer than the last time before the next try.
    fn let_full_disk_be(&mut self) {
        let retry = self.journal.options().full_retry;
        self.full = Some(self.full.map_or(retry.first, |interval| retry.after(interval)));
        for buffered in self.buffered.iter_mut().filter(|buffered| !buffered.full_told) {
            buffered.full_told = true;
            self.shared.complete(Completion::Full { ticket: buffered.ticket });
        }
        for command in self.backlog.iter_mut().filter(|command| !command.full_told) {
            command.full_told = true;
            self.shared.complete(Completion::Full { ticket: command.ticket });
        }
    }
}
