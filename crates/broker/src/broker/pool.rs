//! Pools of runners with decisions of their own.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use ruddervalve::{Availability, Facade, Machine};
use tokio::sync::mpsc;

use super::orders::Order;

/// A pool of runners with decisions of its own: what is learnt, listed and held in one says nothing of another.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Pool(pub(super) usize);

/// The pool's number stands above so many bits of a request's number, which leave room for more requests than can ever
/// come.
const POOL_BITS: u32 = 48;

impl Pool {
    /// The platform's own pool, which discovery lists.
    pub const PLATFORM: Self = Self(0);

    /// The number of a request of this pool, from a count over all pools.
    pub(super) fn request_number(self, count: u64) -> u64 {
        count | (self.0 as u64) << POOL_BITS
    }

    /// The pool that serves a request.
    pub fn of(request: u64) -> Self {
        Self((request >> POOL_BITS) as usize)
    }
}

/// One pool: its decisions and the list of its runners in hand.
pub(super) struct RunnerPool {
    pub(super) facade: Facade,
    /// To whoever sends its attempts to its runners.
    pub(super) orders: mpsc::UnboundedSender<Order>,
    /// By name.
    pub(super) runners: BTreeMap<String, ListedRunner>,
}

/// A runner as the list has it.
pub(super) struct ListedRunner {
    pub(super) machine: Machine,
    /// Where it listens; none for one that connects to the dispatcher by itself.
    pub(super) address: Option<SocketAddr>,
}

impl ListedRunner {
    /// Whether it takes new requests, as far as is known by now.
    pub(super) fn is_ready(&self) -> bool {
        self.machine.availability == Availability::Ready
    }
}
