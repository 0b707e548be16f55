//! Owns the platform's protocol towards clients: their connections and how long each may keep the program waiting, what
//! a request must look like, and how answers are worded. It must never decide about a request, nor answer one by itself
//! once the broker has it, nor end a connection by its own choice while a request's answer is owed on it, nor read a
//! request on one that it has shut down.

mod accept;
mod answer;
mod connection;
mod conversation;
mod facts;
mod headers;
mod read;
mod request;

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;

use ruddervalve_broker::{Broker, Clock, Counters};
use ruddervalve_settings::Network;
use tokio::sync::Notify;

use self::connection::ConnectionState;
use self::conversation::DISCARD_CHUNK_BYTES;

/// Milliseconds: connections end about as fast as requests do: long enough for some to, and short beside the time that
/// a client waits.
const CROWDED_RETRY_AFTER_MS: f64 = 250.0;

/// The platform's front.
pub struct Front {
    broker: Rc<Broker>,
    clock: Clock,
    counters: Rc<Counters>,
    /// By number, so that the first is the oldest.
    connections: RefCell<BTreeMap<u64, Rc<ConnectionState>>>,
    /// Connections that clients may hold; on further ones nothing is taken.
    max_connections: Cell<usize>,
    /// When clients come back that found too many others connected.
    crowded_retry_after_ms: Cell<f64>,
    /// Where bytes are read to that nobody wants.
    discard_buffer: RefCell<Vec<u8>>,
    /// Told whenever a connection has ended.
    ended: Notify,
}

impl Front {
    /// A front to a broker.
    pub fn new(
        broker: Rc<Broker>,
        clock: Clock,
        counters: Rc<Counters>,
        max_connections: usize,
        network: &Network,
    ) -> Rc<Self> {
        let front = Self {
            broker,
            clock,
            counters,
            connections: RefCell::default(),
            max_connections: Cell::new(max_connections),
            crowded_retry_after_ms: Cell::new(0.0),
            discard_buffer: RefCell::new(vec![0; DISCARD_CHUNK_BYTES]),
            ended: Notify::new(),
        };
        front.set_limits(max_connections, network);
        Rc::new(front)
    }

    /// Takes new limits.
    pub fn set_limits(&self, max_connections: usize, network: &Network) {
        self.max_connections.set(max_connections);
        self.crowded_retry_after_ms.set(network.max_retry_after_ms.min(CROWDED_RETRY_AFTER_MS));
    }

    /// How many connections clients hold.
    fn held(&self) -> usize {
        self.connections.borrow().values().filter(|state| state.held()).count()
    }

    /// Waits until clients have no connection.
    pub async fn empty(&self) {
        while !self.connections.borrow().is_empty() {
            self.ended.notified().await;
        }
    }
}
