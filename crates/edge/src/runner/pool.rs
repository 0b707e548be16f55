//! Which connections are idle and how many are open, for each address. It does no I/O and reads no clock.

use std::cell::Cell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;

/// Whose a connection is: an address may belong to another service later, or to another runner.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct Owner {
    service: String,
    instance: Option<String>,
}

/// An owner that is looked up.
#[derive(Debug, Clone, Copy)]
pub(super) struct OwnerRef<'name> {
    /// The service.
    pub(super) service: &'name str,
    /// The `Uid` of the runner, where it is known.
    pub(super) instance: Option<&'name str>,
}

impl Owner {
    fn is(&self, other: OwnerRef<'_>) -> bool {
        self.service == other.service && self.instance.as_deref() == other.instance
    }
}

impl From<OwnerRef<'_>> for Owner {
    fn from(owner: OwnerRef<'_>) -> Self {
        Self { service: owner.service.to_owned(), instance: owner.instance.map(str::to_owned) }
    }
}

/// One of the connections allowed to an address, given back when dropped.
#[derive(Debug)]
pub(super) struct Permit {
    open: Rc<Cell<usize>>,
}

impl Permit {
    fn new(open: &Rc<Cell<usize>>) -> Self {
        open.set(open.get() + 1);
        Self { open: Rc::clone(open) }
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.open.set(self.open.get().saturating_sub(1));
    }
}

/// A connection with its owner and permit.
#[derive(Debug)]
pub(super) struct Pooled<C> {
    /// The connection. Dropped before the permit.
    pub(super) connection: C,
    /// Whose it is.
    pub(super) owner: Owner,
    /// Its permit.
    pub(super) permit: Permit,
}

#[derive(Debug)]
struct Idle<C> {
    pooled: Pooled<C>,
    expires_ms: u64,
}

#[derive(Debug)]
struct Address<C> {
    open: Rc<Cell<usize>>,
    /// The last one in is the first one out, so that those not needed run out of time.
    idle: Vec<Idle<C>>,
}

impl<C> Default for Address<C> {
    fn default() -> Self {
        Self { open: Rc::default(), idle: Vec::new() }
    }
}

impl<C> Address<C> {
    fn drop_expired(&mut self, now_ms: u64) {
        self.idle.retain(|idle| idle.expires_ms > now_ms);
    }

    fn take(&mut self, owner: OwnerRef<'_>, fits: impl Fn(&C) -> bool) -> Option<Pooled<C>> {
        let is_fit = |idle: &Idle<C>| idle.pooled.owner.is(owner) && fits(&idle.pooled.connection);
        let place = self.idle.iter().rposition(is_fit)?;
        Some(self.idle.remove(place).pooled)
    }

    fn drop_oldest(&mut self) {
        if !self.idle.is_empty() {
            self.idle.remove(0);
        }
    }
}

/// Connections to many addresses.
#[derive(Debug)]
pub(super) struct Pool<C> {
    addresses: HashMap<SocketAddr, Address<C>>,
    max_idle: usize,
}

impl<C> Pool<C> {
    /// Without connections; keeps so many idle for each address.
    pub(super) fn new(max_idle: usize) -> Self {
        Self { addresses: HashMap::new(), max_idle }
    }

    /// An idle connection of this owner that fits, the one used last.
    pub(super) fn take_idle(
        &mut self,
        address: SocketAddr,
        owner: OwnerRef<'_>,
        now_ms: u64,
        fits: impl Fn(&C) -> bool,
    ) -> Option<Pooled<C>> {
        let entry = self.addresses.get_mut(&address)?;
        entry.drop_expired(now_ms);
        entry.take(owner, fits)
    }

    /// Leave to open a connection if there are fewer than `most`, idle ones included. The oldest idle one gives way.
    pub(super) fn permit(&mut self, address: SocketAddr, most: usize, now_ms: u64) -> Option<Permit> {
        let entry = self.addresses.entry(address).or_default();
        entry.drop_expired(now_ms);
        if entry.open.get() >= most {
            entry.drop_oldest();
        }
        (entry.open.get() < most).then(|| Permit::new(&entry.open))
    }

    /// Keeps a connection until `expires_ms`. One to an address that is not wanted any more is dropped.
    pub(super) fn checkin(&mut self, address: SocketAddr, pooled: Pooled<C>, expires_ms: u64) {
        let Some(entry) = self.addresses.get_mut(&address) else { return };
        if !Rc::ptr_eq(&entry.open, &pooled.permit.open) || self.max_idle == 0 {
            return;
        }
        if entry.idle.len() >= self.max_idle {
            entry.drop_oldest();
        }
        entry.idle.push(Idle { pooled, expires_ms });
    }

    /// Forgets addresses that are not wanted. Their idle connections are dropped now, the busy ones when they come back.
    pub(super) fn retain(&mut self, wanted: impl Fn(&SocketAddr) -> bool) {
        self.addresses.retain(|address, _| wanted(address));
    }

    /// Drops connections whose time is over, and addresses without any.
    pub(super) fn prune(&mut self, now_ms: u64) {
        self.addresses.retain(|_, entry| {
            entry.drop_expired(now_ms);
            entry.open.get() > 0
        });
    }

    /// How many connections are open to an address, idle ones included.
    pub(super) fn open_connections(&self, address: &SocketAddr) -> usize {
        self.addresses.get(address).map_or(0, |entry| entry.open.get())
    }
}
