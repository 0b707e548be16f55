//! Owns the connections to runners, those kept between attempts too: one attempt is one request there, its stream of
//! lines, and exactly one outcome. It must never send an attempt again by itself, choose a runner, hold more
//! connections than it is allowed, take a connection that broke after the request may have gone out for one that never
//! came up, or take another request's lines or a torn one for a result.

pub(crate) mod connection;
pub(crate) mod exchange;
mod pool;
pub(crate) mod request;
mod socket;
mod stream;

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use ruddervalve::Outcome;
use ruddervalve_broker::{Attempt, AttemptId, Broker, Clock, Counters, duration_from_ms};
use ruddervalve_settings::{Network, ProbeKind};
use tokio::task::AbortHandle;

use self::connection::RunnerConnection;
use self::request::{ForwardedRequest, may_go};

/// Attempts at one runner at once, far above what its slots and queue take from one dispatcher.
const MAX_ATTEMPTS_PER_RUNNER: usize = 32;
/// Where the share of the attempts on kept connections that breaks is larger than what a new one costs of a request's
/// worth, what must not run twice goes by new ones: such a break ends the request. A smaller share than this tells
/// nothing, as it is learnt from too few attempts.
const MIN_BREAK_RATE: f64 = 1.0 / 64.0;

/// An attempt in flight.
struct InFlight {
    address: SocketAddr,
    task: AbortHandle,
}

/// The attempts in flight and the connections kept for further ones.
pub struct Attempts {
    broker: Rc<Broker>,
    clock: Clock,
    counters: Rc<Counters>,
    network: RefCell<Network>,
    /// Connections to runners that may be held.
    limit: Cell<usize>,
    in_flight: RefCell<BTreeMap<AttemptId, InFlight>>,
    /// Connections in use, those whose streams are read to their ends too.
    in_use: Cell<usize>,
    /// The share of the attempts on kept connections that broke, the newest counting most.
    break_rate: Cell<f64>,
    idle: RefCell<BTreeMap<SocketAddr, Vec<RunnerConnection>>>,
}

impl Attempts {
    /// Attempts for a broker, on so many connections at most.
    pub fn new(
        network: Network,
        broker: Rc<Broker>,
        clock: Clock,
        counters: Rc<Counters>,
        limit: usize,
    ) -> Rc<Self> {
        Rc::new(Self {
            broker,
            clock,
            counters,
            network: RefCell::new(network),
            limit: Cell::new(limit),
            in_flight: RefCell::default(),
            in_use: Cell::new(0),
            break_rate: Cell::new(0.0),
            idle: RefCell::default(),
        })
    }

    /// Takes new limits; attempts that are out stay as they are, and so do kept connections as far as they fit.
    pub fn set_limits(&self, limit: usize, network: &Network) {
        self.limit.set(limit);
        self.network.replace(network.clone());
        self.close_longest_idle(&mut self.idle.borrow_mut(), limit + 1);
    }

    /// What a probe asks for, and how long it waits.
    pub(crate) fn probe_settings(&self) -> (ProbeKind, Duration) {
        let network = self.network.borrow();
        (network.probe, duration_from_ms(network.probe_timeout_ms))
    }

    /// Starts an attempt. One that cannot go out now ends at once as never sent.
    pub fn start(self: &Rc<Self>, attempt: Attempt) {
        let id = attempt.id;
        if self.try_start(attempt).is_none() {
            self.broker.attempt_ended(id, Outcome::Skipped, None, None);
        }
    }

    /// None if the attempt's pool listens nowhere, its request is another protocol's, it may not go out any more, or
    /// too many connections are in use.
    fn try_start(self: &Rc<Self>, attempt: Attempt) -> Option<()> {
        let address = attempt.address?;
        let forwarded = attempt.payload.clone().downcast::<ForwardedRequest>().ok()?;
        if !may_go(&self.broker, &attempt, 0.0) || self.at_runner(address) >= MAX_ATTEMPTS_PER_RUNNER {
            return None;
        }
        let (connection, permit) = self.acquire(address, self.needs_new_connection(&attempt))?;
        let (this, id) = (self.clone(), attempt.id);
        // Registered before the task first runs: tasks of this thread start only after this call.
        let task = actix_rt::spawn(async move {
            this.run(attempt, address, &forwarded, connection).await;
            drop(permit);
        });
        let task = task.abort_handle();
        self.in_flight.borrow_mut().insert(id, InFlight { address, task });
        Some(())
    }

    /// How many attempts are in flight at a runner.
    fn at_runner(&self, address: SocketAddr) -> usize {
        self.in_flight.borrow().values().filter(|attempt| attempt.address == address).count()
    }

    fn needs_new_connection(&self, attempt: &Attempt) -> bool {
        let too_often = self.network.borrow().connection_price_share.max(MIN_BREAK_RATE);
        attempt.new_connection || (attempt.run_once && self.break_rate.get() > too_often)
    }

    /// Gives an attempt up: its connection is closed, whatever has come on it.
    pub fn withdraw(&self, attempt: AttemptId) {
        let Some(in_flight) = self.in_flight.borrow_mut().remove(&attempt) else {
            return; // its outcome is already told
        };
        in_flight.task.abort();
        self.broker.attempt_ended(attempt, Outcome::Cancelled, None, None);
    }
}
