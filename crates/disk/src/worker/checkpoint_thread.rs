//! The thread that writes checkpoints.

use std::sync::Arc;

use super::Completion;
use super::shared::{Finished, Job, Shared};
use crate::checkpoint::CheckpointDone;
use crate::error::DiskError;
use crate::options::RetryIntervals;

/// The thread that writes checkpoints.
pub(super) struct CheckpointThread {
    shared: Arc<Shared>,
    retry: RetryIntervals,
}

impl CheckpointThread {
    pub(super) fn new(shared: Arc<Shared>, retry: RetryIntervals) -> Self {
        Self { shared, retry }
    }

    /// Runs until the log thread has ended or a call fails.
    pub(super) fn run(self) {
        while let Some(mut job) = self.shared.next_job() {
            match self.run_job(&mut job) {
                Ok(done) => self.shared.push_finished(Finished { ticket: job.ticket, done }),
                Err(error) => return self.shared.fail(error),
            }
        }
    }

    /// Runs a job until there is room for it; `None` if the threads are to end before.
    fn run_job(&self, job: &mut Job) -> Result<Option<CheckpointDone>, DiskError> {
        let mut interval = self.retry.first;
        loop {
            match job.job.run() {
                Ok(done) => return Ok(Some(done)),
                Err(error) if error.is_full() => self.tell_full(job),
                Err(error) => return Err(error),
            }
            if !self.shared.wait_for_room(interval) {
                return Ok(None);
            }
            interval = self.retry.after(interval);
        }
    }

    fn tell_full(&self, job: &mut Job) {
        if !std::mem::replace(&mut job.full_told, true) {
            self.shared.complete(Completion::Full { ticket: job.ticket });
        }
    }
}
