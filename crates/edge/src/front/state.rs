//! What the parts of the front know about one connection, and about all of them.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::task::Waker;

use tokio::sync::{Notify, watch};
use tokio::time::Instant;

use super::FrontLimits;
use super::framing::Phase;
use super::refusal::Refusal;
use super::registry::Registry;

/// What a connection is told to do.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Order {
    /// Close, unless a request has begun.
    CloseIdle,
    /// Answer that the request took too long, unless it has been read whole.
    RefuseSlow,
    /// Close: the client does not read its answer.
    Abort,
}

/// One connection, shared by its task, its guard and the sweep.
#[derive(Debug)]
pub(super) struct ConnectionState {
    /// Grows with each connection.
    pub(super) id: u64,
    /// Where in a request the bytes are.
    pub(super) phase: Cell<Phase>,
    /// Since when nothing has changed, as the sweep saw it. Nothing: something changed since the last sweep. So no clock
    /// is read for each request, and times run out up to one sweep late, never early.
    pub(super) unchanged_since_ms: Cell<Option<u64>>,
    /// Whether bytes of an answer wait for the client to read.
    pub(super) write_blocked: Cell<bool>,
    /// Whether anything was written since the present request began.
    pub(super) written: Cell<bool>,
    /// Whether the handler has answered the present request.
    pub(super) answer_made: Cell<bool>,
    /// Why the present request is refused.
    pub(super) refusal: Cell<Option<Refusal>>,
    /// Whether the client has closed its sending side.
    pub(super) client_ended: Cell<bool>,
    /// Whether bytes of a further request have come.
    pub(super) further_bytes: Cell<bool>,
    /// Whether it counts among the open connections.
    pub(super) counted: Cell<bool>,
    order: Cell<Option<Order>>,
    waker: RefCell<Option<Waker>>,
}

impl ConnectionState {
    /// A connection that has just come up.
    pub(super) fn new(id: u64) -> Self {
        Self {
            id,
            phase: Cell::new(Phase::Idle),
            unchanged_since_ms: Cell::new(None),
            write_blocked: Cell::new(false),
            written: Cell::new(false),
            answer_made: Cell::new(false),
            refusal: Cell::new(None),
            client_ended: Cell::new(false),
            further_bytes: Cell::new(false),
            counted: Cell::new(true),
            order: Cell::new(None),
            waker: RefCell::new(None),
        }
    }

    /// Time starts anew.
    pub(super) fn changed(&self) {
        self.unchanged_since_ms.set(None);
    }

    /// Since when nothing has changed; from now on if something did since the last look.
    pub(super) fn stamp(&self, now_ms: u64) -> u64 {
        let since = self.unchanged_since_ms.get().unwrap_or(now_ms);
        self.unchanged_since_ms.set(Some(since));
        since
    }

    /// Tells the connection's task what to do.
    pub(super) fn give(&self, order: Order) {
        self.order.set(Some(order));
        if let Some(waker) = self.waker.borrow().as_ref() {
            waker.wake_by_ref();
        }
    }

    /// Whether an order waits to be carried out.
    pub(super) fn has_order(&self) -> bool {
        self.order.get().is_some()
    }

    /// Takes the order.
    pub(super) fn take_order(&self) -> Option<Order> {
        self.order.take()
    }

    /// Remembers whom to wake.
    pub(super) fn watch(&self, waker: &Waker) {
        let mut known = self.waker.borrow_mut();
        if !known.as_ref().is_some_and(|old| old.will_wake(waker)) {
            *known = Some(waker.clone());
        }
    }
}

/// That all connections are to end.
#[derive(Debug, Clone, Copy)]
pub(super) struct Draining {
    /// Since when.
    pub(super) since_ms: u64,
    /// How long idle connections are kept.
    pub(super) grace_ms: u64,
}

/// What all connections share.
#[derive(Debug)]
pub(super) struct Shared {
    /// The bounds in force.
    pub(super) limits: watch::Receiver<FrontLimits>,
    /// The connections.
    pub(super) registry: RefCell<Registry>,
    /// Whether all are to end.
    pub(super) draining: Cell<Option<Draining>>,
    /// How often a connection became idle.
    pub(super) idle_count: Cell<u64>,
    /// Requests that were answered by the handler.
    pub(super) answered: Cell<u64>,
    /// Requests and connections that the front refused by itself.
    pub(super) refused: Cell<u64>,
    /// Clients that left in the middle of a request or before its answer.
    pub(super) clients_left: Cell<u64>,
    /// A connection came up, or time limits changed.
    pub(super) activity: Rc<Notify>,
    /// The last connection ended.
    pub(super) all_ended: Notify,
    started: Instant,
}

impl Shared {
    /// Without connections.
    pub(super) fn new(limits: watch::Receiver<FrontLimits>) -> Self {
        Self {
            limits,
            registry: RefCell::default(),
            draining: Cell::new(None),
            idle_count: Cell::new(0),
            answered: Cell::new(0),
            refused: Cell::new(0),
            clients_left: Cell::new(0),
            activity: Rc::default(),
            all_ended: Notify::new(),
            started: Instant::now(),
        }
    }

    /// The bounds in force.
    pub(super) fn limits(&self) -> FrontLimits {
        *self.limits.borrow()
    }

    /// Milliseconds since the front was made.
    pub(super) fn now_ms(&self) -> u64 {
        u64::try_from(self.started.elapsed().as_millis()).unwrap_or(u64::MAX)
    }
}

impl Drop for Shared {
    fn drop(&mut self) {
        self.activity.notify_one();
    }
}

/// One more.
pub(super) fn count(counter: &Cell<u64>) {
    counter.set(counter.get().saturating_add(1));
}
