//! Owns the Gearman jobs that are open and the results that are kept, free of I/O: which clients wait for which job, which
//! submissions are one job, and what is promised to those who submit again. It must never let a job whose result is kept
//! run a second time, forget a job that is owed an answer, nor hold more than it is allowed.

use std::cell::Cell;
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::rc::Rc;

use bytes::Bytes;
use ruddervalve_broker::Pool;

use crate::workers::ConnId;

/// A function as it is served.
#[derive(Debug, Clone, PartialEq)]
pub struct Function {
    /// Its name.
    pub name: Bytes,
    /// The same as text.
    pub text: String,
    /// The pool of workers that serves it.
    pub pool: Pool,
    /// The tenant its jobs count for.
    pub tenant: Option<String>,
    /// Its jobs must not run twice.
    pub once: bool,
    /// How long a job may wait and run in all while a client waits.
    pub wait_ms: f64,
    /// The same for a background job.
    pub background_wait_ms: f64,
    /// How long a result is kept; 0: not at all.
    pub keep_ms: f64,
    /// Its counts, which outlive a reload.
    pub tally: Rc<Tally>,
}

/// How many jobs of a function there are, and may be.
#[derive(Debug, Default, PartialEq)]
pub struct Tally {
    /// Jobs open.
    pub open: Cell<usize>,
    /// Those of them that a worker has.
    pub running: Cell<usize>,
    /// Jobs open at once, at most.
    pub most: Cell<usize>,
}

/// How much a client wants its job; the decisions make of it a worth.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Priority {
    /// More than usual.
    High,
    /// As usual.
    Normal,
    /// Less than usual.
    Low,
}

/// An open job.
#[derive(Debug)]
pub struct Job {
    /// Its number here.
    pub id: u64,
    /// Its handle.
    pub handle: Bytes,
    /// Its function, as it was when it came.
    pub function: Rc<Function>,
    /// Its unique id; empty: none.
    pub unique: Bytes,
    /// What the worker gets.
    pub payload: Bytes,
    /// Its priority.
    pub priority: Priority,
    /// It goes on though no client waits.
    pub background: bool,
    /// The clients that wait, once for each submission.
    pub waiting: Vec<ConnId>,
    /// The broker's number; none between two submissions to it.
    pub broker: Option<u64>,
    /// When no time is left.
    pub until_ms: f64,
    /// A worker had it: it may have had its effect.
    pub started: bool,
    /// A worker has it.
    pub running: bool,
    /// Times it was assigned.
    pub assigned: usize,
    /// So much of it is done, as the worker words it.
    pub status: (Bytes, Bytes),
    /// What the worker sent so far, for those who join.
    pub data: Vec<Bytes>,
    /// Some of it is not at hand any more.
    pub data_cut: bool,
    /// What the last worker said went wrong.
    pub exception: Option<Bytes>,
    /// A place is set aside for its result.
    pub place: bool,
}

/// How a job ended.
#[derive(Debug, Clone, PartialEq)]
pub enum End {
    /// With a result.
    Complete(Bytes),
    /// Without, and what the worker said of it.
    Fail(Option<Bytes>),
}

/// The result of a job that is kept.
#[derive(Debug, Clone)]
pub struct Kept {
    /// The job's handle.
    pub handle: Bytes,
    /// How it ended; none where its bytes had to go: then only that it has ended is known.
    pub end: Option<End>,
    /// What was sent before the end.
    pub data: Vec<Bytes>,
    bytes: usize,
    number: u64,
}

type Key = (Bytes, Bytes);

/// Open jobs and kept results.
#[derive(Debug, Default)]
pub struct Jobs {
    open: HashMap<u64, Job>,
    by_broker: HashMap<u64, u64>,
    /// By unique id and function.
    by_unique: BTreeMap<Key, u64>,
    kept: HashMap<Key, Kept>,
    /// In the order in which they go: when, which, and its number, as a key may have been kept anew since.
    expiry: BTreeMap<(u64, u64), Key>,
    /// Those that have their bytes, the oldest first.
    with_bytes: VecDeque<(Key, u64)>,
    kept_bytes: usize,
    /// Places set aside for the results of open jobs.
    places: usize,
    next: u64,
    next_kept: u64,
}

/// Bounds on what is held.
#[derive(Debug, Clone, Copy)]
pub struct Bounds {
    /// Jobs open at once.
    pub jobs: usize,
    /// Results kept, and places set aside.
    pub results: usize,
    /// Their bytes.
    pub bytes: usize,
}

/// Why a job cannot be opened.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Full {
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
    pub fn of_broker(&self, broker: u64) -> Option<u64> {
        self.by_broker.get(&broker).copied()
    }

    /// The open job that a submission of this unique id is one with.
    pub fn same(&self, function: &Bytes, unique: &Bytes) -> Option<u64> {
        self.by_unique.get(&(unique.clone(), function.clone())).copied()
    }

    /// Any open job of a unique id.
    pub fn of_unique(&self, unique: &Bytes) -> Option<&Job> {
        let first = self.by_unique.range((unique.clone(), Bytes::new())..).next()?;
        self.open.get(first.1).filter(|job| job.unique == *unique)
    }

    /// The kept result that a submission of this unique id is given.
    pub fn kept(&self, function: &Bytes, unique: &Bytes) -> Option<&Kept> {
        self.kept.get(&(unique.clone(), function.clone()))
    }

    /// All open jobs.
    pub fn all(&self) -> impl Iterator<Item = &Job> {
        self.open.values()
    }

    /// How many are open.
    pub fn len(&self) -> usize {
        self.open.len()
    }

    /// How many results are kept, and their bytes.
    pub fn kept_size(&self) -> (usize, usize) {
        (self.kept.len(), self.kept_bytes)
    }

    /// Whether a job can be opened, and whether its result is to be kept.
    pub fn room(&self, function: &Function, unique: &Bytes, bounds: &Bounds) -> Result<bool, Full> {
        let keeps = function.keep_ms > 0.0 && !unique.is_empty();
        if self.open.len() >= bounds.jobs {
            return Err(Full::Jobs);
        }
        if function.tally.open.get() >= function.tally.most.get() {
            return Err(Full::Queue);
        }
        // Guards the promise: a result that could not be kept would let the job run again.
        if keeps && self.kept.len() + self.places >= bounds.results {
            return Err(Full::Results);
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
        self.places += usize::from(job.place);
        let open = &job.function.tally.open;
        open.set(open.get() + 1);
        if !job.unique.is_empty() {
            self.by_unique.insert((job.unique.clone(), job.function.name.clone()), job.id);
        }
        self.open.insert(job.id, job);
        self.next
    }

    /// The broker knows the job by this number, or by none any more.
    pub fn at_broker(&mut self, id: u64, broker: Option<u64>) {
        let Some(job) = self.open.get_mut(&id) else { return };
        if let Some(old) = std::mem::replace(&mut job.broker, broker) {
            self.by_broker.remove(&old);
        }
        if let Some(broker) = broker {
            self.by_broker.insert(broker, id);
        }
    }

    /// A worker has the job, or has it no more.
    pub fn runs(&mut self, id: u64, running: bool) {
        let Some(job) = self.open.get_mut(&id) else { return };
        if std::mem::replace(&mut job.running, running) != running {
            let count = &job.function.tally.running;
            count.set(if running { count.get() + 1 } else { count.get().saturating_sub(1) });
        }
        job.started |= running;
        job.assigned += usize::from(running);
    }

    /// Takes a job off the table.
    pub fn close(&mut self, id: u64) -> Option<Job> {
        self.runs(id, false);
        self.at_broker(id, None);
        let job = self.open.remove(&id)?;
        self.places -= usize::from(job.place);
        let open = &job.function.tally.open;
        open.set(open.get().saturating_sub(1));
        if !job.unique.is_empty() {
            self.by_unique.remove(&(job.unique.clone(), job.function.name.clone()));
        }
        Some(job)
    }

    /// Keeps how a job ended; where bytes are too many those of the oldest go, and that they ended stays known.
    pub fn keep(&mut self, job: &Job, end: End, now_ms: f64, bounds: &Bounds) {
        let key = (job.unique.clone(), job.function.name.clone());
        let length = match &end {
            End::Complete(result) => result.len(),
            End::Fail(exception) => exception.as_ref().map_or(0, Bytes::len),
        };
        let bytes = length + job.data.iter().map(Bytes::len).sum::<usize>();
        self.next_kept += 1;
        let number = self.next_kept;
        let whole = !job.data_cut && bytes <= bounds.bytes;
        // Copied out of what was read with it, which would stay in memory as long.
        let copy = |bytes: &Bytes| Bytes::copy_from_slice(bytes);
        let end = whole.then(|| match &end {
            End::Complete(result) => End::Complete(copy(result)),
            End::Fail(exception) => End::Fail(exception.as_ref().map(copy)),
        });
        let (data, bytes) =
            if whole { (job.data.iter().map(copy).collect(), bytes) } else { (Vec::new(), 0) };
        let key = (copy(&key.0), copy(&key.1));
        self.forget(&key);
        self.kept_bytes += bytes;
        self.expiry.insert((((now_ms + job.function.keep_ms) * 1e3) as u64, number), key.clone());
        self.with_bytes.push_back((key.clone(), number));
        self.kept.insert(key, Kept { handle: copy(&job.handle), end, data, bytes, number });
        while self.kept_bytes > bounds.bytes {
            let Some((key, number)) = self.with_bytes.pop_front() else { break };
            if let Some(kept) = self.kept.get_mut(&key).filter(|kept| kept.number == number) {
                self.kept_bytes -= std::mem::take(&mut kept.bytes);
                (kept.end, kept.data) = (None, Vec::new());
            }
        }
    }

    fn forget(&mut self, key: &Key) {
        if let Some(old) = self.kept.remove(key) {
            self.kept_bytes -= old.bytes;
        }
    }

    /// When the next kept result goes.
    pub fn next_expiry_ms(&self) -> Option<f64> {
        self.expiry.first_key_value().map(|((at, _), _)| *at as f64 / 1e3)
    }

    /// Lets go of results whose time is over.
    pub fn expire(&mut self, now_ms: f64) {
        while let Some(entry) = self.expiry.first_entry().filter(|entry| entry.key().0 as f64 <= now_ms * 1e3)
        {
            let ((_, number), key) = entry.remove_entry();
            if self.kept.get(&key).is_some_and(|kept| kept.number == number) {
                self.forget(&key);
            }
        }
        while let Some((key, number)) = self.with_bytes.front()
            && self.kept.get(key).is_none_or(|kept| kept.number != *number)
        {
            self.with_bytes.pop_front();
        }
    }
}
