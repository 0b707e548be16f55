//! What runners did with the messages that reached them.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use tokio::time::Instant;

/// How a run ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// Done.
    Succeeded,
    /// The attempt failed (500).
    Failed,
    /// It can never be done (422).
    Rejected,
    /// It ended at its deadline (504).
    OutOfTime,
    /// It ended without a result, as the connection or the runner did.
    Broken,
}

/// A run: a runner began to work on a message.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Run {
    /// The message's `Request-Id`.
    pub request_id: String,
    /// Its `Ordering-Key`.
    pub ordering_key: Option<String>,
    /// `Response-Signature` of the run, should it succeed.
    pub signature: String,
    /// The runner's `Uid`.
    pub uid: String,
    /// The method, as it arrived.
    pub method: String,
    /// The path with its query, as it arrived.
    pub target: String,
    /// The body, as it arrived.
    pub body: Vec<u8>,
    /// When it began.
    pub began: Instant,
    /// When it ended; none while it runs.
    pub ended: Option<Instant>,
    /// How it ended; none while it runs.
    pub outcome: Option<Outcome>,
}

/// The place of a run in its log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct RunNumber(usize);

/// The runs of all runners that share it, in the order in which they began.
#[derive(Debug, Clone, Default)]
pub struct RunLog {
    runs: Arc<Mutex<Vec<Run>>>,
}

impl RunLog {
    /// All runs.
    pub fn all(&self) -> Vec<Run> {
        self.locked().clone()
    }

    /// The runs of a message.
    pub fn of(&self, request_id: &str) -> Vec<Run> {
        self.locked().iter().filter(|run| run.request_id == request_id).cloned().collect()
    }

    /// How many runs of a message succeeded.
    pub fn successes(&self, request_id: &str) -> usize {
        let runs = self.locked();
        let of_message = runs.iter().filter(|run| run.request_id == request_id);
        of_message.filter(|run| run.outcome == Some(Outcome::Succeeded)).count()
    }

    /// Runs that began before their turn. `accepted` holds the messages of one `Ordering-Key`, none sent before the one
    /// in front of it was accepted: when one begins, all in front of it have to have succeeded or been refused for good.
    pub fn out_of_turn(&self, accepted: &[String]) -> Vec<Run> {
        let runs = self.locked();
        let has_ended = |id: &String, at: Instant| {
            let is_end = |run: &&Run| matches!(run.outcome, Some(Outcome::Succeeded | Outcome::Rejected));
            let mut ends = runs.iter().filter(|run| run.request_id == *id).filter(is_end);
            ends.any(|run| run.ended.is_some_and(|ended| ended <= at))
        };
        let is_early = |run: &&Run| {
            // Runs of other messages have nothing in front of them.
            let place = accepted.iter().position(|id| *id == run.request_id).unwrap_or(0);
            !accepted.iter().take(place).all(|id| has_ended(id, run.began))
        };
        runs.iter().filter(is_early).cloned().collect()
    }

    pub(crate) fn begin(&self, run: Run) -> RunNumber {
        let mut runs = self.locked();
        runs.push(run);
        RunNumber(runs.len() - 1)
    }

    /// Notes the end of a run; of several the first counts.
    pub(crate) fn end(&self, number: RunNumber, outcome: Outcome) {
        let mut runs = self.locked();
        if let Some(run) = runs.get_mut(number.0).filter(|run| run.outcome.is_none()) {
            run.ended = Some(Instant::now());
            run.outcome = Some(outcome);
        }
    }

    fn locked(&self) -> MutexGuard<'_, Vec<Run>> {
        self.runs.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
