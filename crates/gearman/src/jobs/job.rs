//! Functions as they are served, and jobs of them.

use std::cell::Cell;
use std::rc::Rc;

use bytes::Bytes;
use ruddervalve_broker::Pool;

use crate::workers::ConnectionId;

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
    pub run_once: bool,
    /// How long a job may wait and run in all while a client waits, in milliseconds.
    pub wait_ms: f64,
    /// The same for a background job.
    pub background_wait_ms: f64,
    /// How long a result is kept, in milliseconds; 0: not at all.
    pub retention_ms: f64,
    /// Its counts, which outlive a reload.
    pub counts: Rc<JobCounts>,
}

/// How many jobs of a function there are, and may be.
#[derive(Debug, Default, PartialEq)]
pub struct JobCounts {
    /// Jobs open.
    pub open: Cell<usize>,
    /// Those of them that a worker has.
    pub running: Cell<usize>,
    /// Jobs open at once, at most.
    pub limit: Cell<usize>,
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
    pub waiting: Vec<ConnectionId>,
    /// The broker's number of its request; none between two submissions to the broker.
    pub request: Option<u64>,
    /// When no time is left, in milliseconds of the clock.
    pub deadline_ms: f64,
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
    /// Its result is to be kept: it counts against the bound on results.
    pub keeps_result: bool,
}

impl Job {
    /// The unique id in the words of its client: '-' stands for the job's bytes.
    pub fn unique_as_sent(&self) -> Bytes {
        match self.unique.strip_prefix(b"-") {
            Some(rest) if rest == self.payload => Bytes::from_static(b"-"),
            _ => self.unique.clone(),
        }
    }
}

/// How a job ended.
#[derive(Debug, Clone, PartialEq)]
pub enum JobEnd {
    /// With a result.
    Complete(Bytes),
    /// Without, and what the worker said of it.
    Fail(Option<Bytes>),
}
