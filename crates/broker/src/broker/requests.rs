//! Requests from their arrival to their one final answer.

use std::rc::Rc;

use bytes::Bytes;
use ruddervalve::JobFacts;
use tokio::sync::{mpsc, oneshot};

use super::Broker;
use super::lifecycle::{DRAINED_ACCEPT_MS, KILL_GRACE_MS, KILL_MARGIN_MS, LifecycleState};
use super::orders::Payload;
use super::pool::Pool;
use super::table::{OpenRequest, ReplyTo, Table};

/// Milliseconds kept back of a client's time, which counts from its sending, for the way of the answer.
const ANSWER_TRAVEL_MS: f64 = 10.0;

/// Why a request was not taken.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum SubmitError {
    /// A request of its id is open.
    IdOpen,
    /// The dispatcher has been drained: trying elsewhere is harmless.
    Drained,
}

/// The final answer to a request.
#[derive(Debug, Clone, PartialEq)]
pub enum Answer {
    /// The result that a runner gave.
    Served(Bytes),
    /// Refused: trying again is harmless, after this time.
    Refused {
        /// How long to wait.
        wait_ms: f64,
    },
    /// Failed: nothing is promised.
    Failed,
    /// Failed, as no runner can use it.
    Unusable,
}

impl Answer {
    /// What the counters call it.
    fn label(&self) -> &'static str {
        match self {
            Self::Served(_) => "served",
            Self::Refused { .. } => "refused",
            Self::Failed => "failed",
            Self::Unusable => "unusable",
        }
    }
}

/// Where the final answers go to of requests that come by the thousand: request and answer, in the order in which they
/// are given.
pub type AnswerSender = mpsc::UnboundedSender<(u64, Answer)>;

/// A request as it is handed in.
struct Arrival<'a> {
    id: &'a str,
    facts: JobFacts,
    payload: Payload,
    reply_to: ReplyTo,
}

/// A request handed in. Dropped before its answer came, it tells the broker that the client has left.
pub struct PendingRequest {
    pub(super) request: u64,
    pub(super) broker: Rc<Broker>,
    pub(super) answer: oneshot::Receiver<Answer>,
}

impl PendingRequest {
    /// Waits for the final answer; none if the client was seen to leave, and none is owed any more.
    pub async fn answer(mut self) -> Option<Answer> {
        (&mut self.answer).await.ok()
    }
}

impl Drop for PendingRequest {
    fn drop(&mut self) {
        self.broker.client_left(self.request);
    }
}

impl Broker {
    /// Takes a request of the platform in, which came at `came_ms`. Not if a request of this id is open: runners know
    /// requests by their ids, so a second one would be taken for the first, and might get its result.
    ///
    /// # Errors
    ///
    /// A request of this id is open, or the dispatcher is drained: nothing was taken.
    pub fn submit(
        self: &Rc<Self>,
        came_ms: f64,
        id: &str,
        facts: JobFacts,
        payload: Payload,
    ) -> Result<PendingRequest, SubmitError> {
        let (sender, answer) = oneshot::channel();
        let reply_to = ReplyTo::One(sender);
        let request = self.admit(Pool::PLATFORM, came_ms, Arrival { id, facts, payload, reply_to })?;
        Ok(PendingRequest { request, broker: self.clone(), answer })
    }

    /// Takes a request of any pool in, as [`Broker::submit`] does; its final answer comes with its number.
    ///
    /// # Errors
    ///
    /// As with [`Broker::submit`].
    pub fn submit_to(
        &self,
        pool: Pool,
        came_ms: f64,
        id: &str,
        facts: JobFacts,
        payload: Payload,
        answers: &AnswerSender,
    ) -> Result<u64, SubmitError> {
        let reply_to = ReplyTo::Many(answers.clone());
        self.admit(pool, came_ms, Arrival { id, facts, payload, reply_to })
    }

    fn admit(&self, pool: Pool, came_ms: f64, arrival: Arrival<'_>) -> Result<u64, SubmitError> {
        let now = self.clock.now();
        let Arrival { id, mut facts, payload, reply_to } = arrival;
        let deadline_ms = self.deadline_ms(now, came_ms, &facts)?;
        let id: Rc<str> = id.into();
        let mut table = self.table.borrow_mut();
        if !table.ids.insert((pool, id.clone())) {
            return Err(SubmitError::IdOpen);
        }
        facts.remaining_ms = deadline_ms - now;
        let class = facts.class.clone();
        let request = table.open(pool, OpenRequest::new(id, class, payload, deadline_ms, reply_to));
        let steps = table.facade(pool).pick(now, request, &facts);
        self.counters.count("jobs", "taken");
        self.counters.highest("jobs", "open_at_once", table.requests.len() as u64);
        self.perform(&mut table, pool, steps);
        Ok(request)
    }

    /// When a request that came at `came_ms` has to be answered, in milliseconds of the clock.
    fn deadline_ms(&self, now: f64, came_ms: f64, facts: &JobFacts) -> Result<f64, SubmitError> {
        let deadline_ms = came_ms + facts.remaining_ms - ANSWER_TRAVEL_MS;
        match *self.lifecycle.borrow() {
            LifecycleState::Drained { since_ms } if now >= since_ms + DRAINED_ACCEPT_MS => {
                self.counters.count("answers", "drained");
                self.count_refused(&facts.class);
                Err(SubmitError::Drained)
            }
            // Guards against the kill that ends the program: what is unanswered then is lost.
            LifecycleState::Ending { since_ms, .. } if now > since_ms + KILL_GRACE_MS - KILL_MARGIN_MS => {
                Ok(deadline_ms.min(self.last_answer_ms(since_ms)))
            }
            _ => Ok(deadline_ms),
        }
    }

    /// The client of a request has left: no answer is owed any more.
    pub fn client_left(&self, request: u64) {
        let mut table = self.table.borrow_mut();
        if table.close(request).is_some() {
            self.counters.count("answers", "submitter_left");
            let pool = Pool::of(request);
            let steps = table.facade(pool).left(self.clock.now(), request);
            self.perform(&mut table, pool, steps);
        }
    }

    /// The one place where a request gets its final answer: it leaves the table with it.
    pub(super) fn answer(&self, table: &mut Table, request: u64, answer: Answer) {
        let Some(open) = table.close(request) else { return };
        self.counters.count("answers", answer.label());
        self.counters.count_answer(&open.class, |answered| match answer {
            Answer::Served(_) => answered.served += 1,
            Answer::Refused { .. } => answered.refused += 1,
            Answer::Failed | Answer::Unusable => answered.failed += 1,
        });
        // The client may have left this very moment: then nobody is told.
        match open.reply_to {
            ReplyTo::One(sender) => drop(sender.send(answer)),
            ReplyTo::Many(answers) => drop(answers.send((request, answer))),
        }
    }
}
