//! Owns the Gearman jobs that are open and the results that are kept, free of I/O: which clients wait for which job,
//! which submissions are one job, and what is promised to those who submit again. It must never let a job whose result
//! is kept run a second time, forget a job that is owed an answer, nor hold more than it is allowed.

mod job;
mod kept;

use std::collections::{BTreeMap, HashMap, VecDeque};

use bytes::Bytes;

pub use self::job::{Function, Job, JobCounts, JobEnd, Priority};
pub use self::kept::KeptResult;
use self::kept::Key;

/// Open jobs and kept results.
#[derive(Debug, Default)]
pub struct Jobs {
    open: HashMap<u64, Job>,
    by_request: HashMap<u64, u64>,
    /// By unique id and function.
    by_unique: BTreeMap<Key, u64>,
    kept: HashMap<Key, KeptResult>,
    /// In the order in which they go: when, which, and its number, as a key may have been kept anew since.
    expiry: BTreeMap<(u64, u64), Key>,
    /// Those that have their bytes, the oldest first.
    with_bytes: VecDeque<(Key, u64)>,
    kept_bytes: usize,
    /// Places set aside for the results of open jobs.
    reserved_results: usize,
    next: u64,
    next_kept: u64,
}

/// Bounds on what is held.
#[derive(Debug, Clone, Copy)]
pub struct StorageLimits {
    /// Jobs open at once.
    pub jobs: usize,
    /// Results kept, and places set aside.
    pub results: usize,
    /// Their bytes.
    pub bytes: usize,
}

/// Why a job cannot be opened.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AtCapacity {
    /// Too many jobs are open.
    Jobs,
    /// Too many of its function are.
    Queue,
    /// No place is left for its result.
    Results,
}

impl Jobs {
    /// The job of a number.
    pub fn get(&self, id: u64) -> Option<&Job> {
        self.open.get(&id)
    }

    /// The same to change.
    pub fn get_mut(&mut self, id: u64) -> Option<&mut Job> {
        self.open.get_mut(&id)
    }

    /// The job of a broker's number.
    pub fn by_request(&self, broker: u64) -> Option<u64> {
        self.by_request.get(&broker).copied()
    }

    /// The open job that a submission of this unique id is one with.
    pub fn open_with_unique(&self, function: &Bytes, unique: &Bytes) -> Option<u64> {
        self.by_unique.get(&(unique.clone(), function.clone())).copied()
    }

    /// Any open job of a unique id.
    pub fn any_with_unique(&self, unique: &Bytes) -> Option<&Job> {
        let first = self.by_unique.range((unique.clone(), Bytes::new())..).next()?;
        self.open.get(first.1).filter(|job| job.unique == *unique)
    }

    /// All open jobs.
    pub fn all(&self) -> impl Iterator<Item = &Job> {
        self.open.values()
    }

    /// How many are open.
    pub fn len(&self) -> usize {
        self.open.len()
    }

    /// Whether a job can be opened, and whether its result is to be kept.
    pub fn check_capacity(
        &self,
        function: &Function,
        unique: &Bytes,
        storage: &StorageLimits,
    ) -> Result<bool, AtCapacity> {
        let keeps = function.retention_ms > 0.0 && !unique.is_empty();
        if self.open.len() >= storage.jobs {
            return Err(AtCapacity::Jobs);
        }
        if function.counts.open.get() >= function.counts.limit.get() {
            return Err(AtCapacity::Queue);
        }
        // Guards the promise: a result that could not be kept would let the job run again.
        if keeps && self.kept.len() + self.reserved_results >= storage.results {
            return Err(AtCapacity::Results);
        }
        Ok(keeps)
    }

    /// The number that the next job has.
    pub fn next_id(&self) -> u64 {
        self.next + 1
    }

    /// Opens a job, numbered anew.
    pub fn open(&mut self, mut job: Job) -> u64 {
        self.next += 1;
        job.id = self.next;
        self.reserved_results += usize::from(job.keeps_result);
        let open = &job.function.counts.open;
        open.set(open.get() + 1);
        if !job.unique.is_empty() {
            self.by_unique.insert((job.unique.clone(), job.function.name.clone()), job.id);
        }
        self.open.insert(job.id, job);
        self.next
    }

    /// The broker knows the job by this number, or by none any more.
    pub fn set_request(&mut self, id: u64, broker: Option<u64>) {
        let Some(job) = self.open.get_mut(&id) else { return };
        if let Some(old) = std::mem::replace(&mut job.request, broker) {
            self.by_request.remove(&old);
        }
        if let Some(broker) = broker {
            self.by_request.insert(broker, id);
        }
    }

    /// A worker has the job, or has it no more.
    pub fn set_running(&mut self, id: u64, running: bool) {
        let Some(job) = self.open.get_mut(&id) else { return };
        if std::mem::replace(&mut job.running, running) != running {
            let count = &job.function.counts.running;
            count.set(if running { count.get() + 1 } else { count.get().saturating_sub(1) });
        }
        job.started |= running;
        job.assigned += usize::from(running);
    }

    /// Takes a job off the table.
    pub fn close(&mut self, id: u64) -> Option<Job> {
        self.set_running(id, false);
        self.set_request(id, None);
        let job = self.open.remove(&id)?;
        self.reserved_results -= usize::from(job.keeps_result);
        let open = &job.function.counts.open;
        open.set(open.get().saturating_sub(1));
        if !job.unique.is_empty() {
            self.by_unique.remove(&(job.unique.clone(), job.function.name.clone()));
        }
        Some(job)
    }
}
