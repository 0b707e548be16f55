//! A connection in its part as a worker's.

use std::collections::BTreeMap;

use bytes::Bytes;
use ruddervalve_broker::{AttemptId, Pool};

use crate::codec::Kind;

/// A connection's number; later ones have higher numbers.
pub type ConnectionId = u64;

/// An attempt that waits for its connection to grab it.
#[derive(Debug, Clone)]
pub struct PendingAttempt {
    /// Which attempt it is.
    pub id: AttemptId,
    /// The job, by its number here.
    pub job: u64,
    /// Its function.
    pub function: Bytes,
    /// When the attempt's time is over, in milliseconds of the clock.
    pub deadline_ms: f64,
    /// When it must have been grabbed.
    pub grab_deadline_ms: f64,
}

/// A job assigned to a connection.
#[derive(Debug, Clone)]
pub struct RunningJob {
    /// The attempt; none once it has ended though the worker has not said so.
    pub attempt: Option<AttemptId>,
    /// The job.
    pub job: u64,
    /// Its handle, by which the worker speaks of it.
    pub handle: Bytes,
    /// When the attempt is given up.
    pub deadline_ms: f64,
    /// What the worker said went wrong.
    pub exception: Option<Bytes>,
}

/// A slot of a worker: a connection that takes one job at a time.
#[derive(Debug, Default)]
pub struct Slot {
    /// What it can do, and how long a job of it may take there.
    pub abilities: BTreeMap<Bytes, Option<f64>>,
    /// The pool of its functions.
    pub pool: Option<Pool>,
    /// It has said that it wants work, and got none since.
    pub idle: bool,
    /// It sleeps until it is sent a NOOP.
    pub asleep: bool,
    /// A grab that has not been answered.
    pub grab: Option<Kind>,
    /// An attempt made for it.
    pub attempt: Option<PendingAttempt>,
    /// The job it has.
    pub running: Option<RunningJob>,
    /// The decisions were told that it is free.
    pub(super) reported_free: bool,
    /// When its job, or an attempt that it did not grab, was given up, if it has not spoken since.
    pub(super) suspect_since_ms: Option<f64>,
}

impl Slot {
    /// Whether an attempt can be made for it.
    pub fn is_free(&self) -> bool {
        self.idle && self.attempt.is_none() && self.running.is_none()
    }

    /// Whether it will ask for work, as far as is known: one that was given up is away until it speaks.
    pub(super) fn is_alive(&self) -> bool {
        self.idle || self.suspect_since_ms.is_none()
    }

    /// Whether it will do a job of a function, as far as is known.
    pub(super) fn will_do(&self, function: &[u8]) -> bool {
        self.is_alive() && self.abilities.contains_key(function)
    }

    /// How soon an attempt would be grabbed; the lower, the sooner.
    pub(super) fn grab_rank(&self) -> u8 {
        if self.grab.is_some() { 0 } else { u8::from(!self.asleep) + 1 }
    }
}
