//! What the broker wants done on the network.

use std::any::Any;
use std::net::SocketAddr;
use std::rc::Rc;

use super::pool::Pool;

/// What the broker wants done on the network.
pub enum Order {
    /// Send a request to a runner.
    Send(Attempt),
    /// Give an attempt up.
    Withdraw {
        /// The attempt.
        attempt: AttemptId,
    },
    /// Ask for the list of runners.
    AskForList,
    /// Ask a runner for its load; what comes of it is told by [`Broker::probed`](super::Broker::probed).
    Probe(Probe),
    /// Call [`Broker::tick`](super::Broker::tick) for a pool at this time.
    WakeAt(Pool, f64),
}

/// What is sent to the runner: the concern of the protocol that took the request. The broker must never look into it.
pub type Payload = Rc<dyn Any>;

/// One attempt of a request: requests are numbered by the broker, their attempts from 0 by the decisions.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptId {
    /// The request's number.
    pub request: u64,
    /// Which of its attempts.
    pub number: usize,
}

impl AttemptId {
    /// The pool that serves the request.
    pub fn pool(self) -> Pool {
        Pool::of(self.request)
    }
}

/// One attempt to have a request served by a runner.
#[derive(Clone)]
pub struct Attempt {
    /// Which attempt of which request it is.
    pub id: AttemptId,
    /// The pool of the runner.
    pub pool: Pool,
    /// The runner's name.
    pub runner: String,
    /// Where it listens, if it is one that listens.
    pub address: Option<SocketAddr>,
    /// What to send to it.
    pub payload: Payload,
    /// When the wait for its result ends, in milliseconds of the broker's clock.
    pub deadline_ms: f64,
    /// By when its last byte has to be at the runner, in milliseconds of the broker's clock.
    pub send_by_ms: f64,
    /// The request must not run twice.
    pub run_once: bool,
    /// A kept connection has failed the request before: this attempt must open a new one.
    pub new_connection: bool,
}

/// A question to a runner for its load.
#[derive(Debug, Clone, PartialEq)]
pub struct Probe {
    /// The pool of the runner.
    pub pool: Pool,
    /// The runner's name.
    pub runner: String,
    /// Where it listens.
    pub address: SocketAddr,
}
