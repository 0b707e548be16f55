//! The links to stores, and which of their events still count.
//!
//! Each link has a number of its own. A link that was replaced, as its store has another address or is gone, may have left
//! events in the queue of the role: they carry the old number and are passed over, so that what an earlier connection
//! brought is never taken for something that the present one said.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use ruddervalve_protocol::ReplicaId;
use ruddervalve_rpc::Outbox;

#[cfg(test)]
mod tests;

/// One link among all that were opened in this life of the process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LinkNumber(u64);

#[derive(Debug)]
struct StoreLink<Handle> {
    number: LinkNumber,
    address: SocketAddr,
    /// Keeps the link open until it is dropped.
    _handle: Handle,
    /// While the link is up.
    outbox: Option<Outbox>,
}

/// The links to all stores of the directory.
#[derive(Debug)]
pub struct StoreLinks<Handle> {
    links: BTreeMap<ReplicaId, StoreLink<Handle>>,
    opened: u64,
}

impl<Handle> StoreLinks<Handle> {
    /// No links yet.
    pub fn new() -> Self {
        Self { links: BTreeMap::new(), opened: 0 }
    }

    /// Closes the links to stores that are not among these, or stand there with another address; returns them.
    pub fn close_others(&mut self, addresses: &BTreeMap<ReplicaId, SocketAddr>) -> Vec<ReplicaId> {
        let is_gone =
            |(store, link): &(&ReplicaId, &StoreLink<Handle>)| addresses.get(store) != Some(&link.address);
        let gone: Vec<ReplicaId> = self.links.iter().filter(is_gone).map(|(store, _)| *store).collect();
        self.links.retain(|store, _| !gone.contains(store));
        gone
    }

    /// Opens a link to a store that has none.
    pub fn open(
        &mut self,
        store: ReplicaId,
        address: SocketAddr,
        connect: impl FnOnce(LinkNumber) -> Handle,
    ) {
        if self.links.contains_key(&store) {
            return;
        }
        self.opened += 1;
        let number = LinkNumber(self.opened);
        let link = StoreLink { number, address, _handle: connect(number), outbox: None };
        self.links.insert(store, link);
    }

    /// A link came up; false if it is not the present one.
    pub fn up(&mut self, store: ReplicaId, number: LinkNumber, outbox: Outbox) -> bool {
        let Some(link) = self.present(store, number) else { return false };
        link.outbox = Some(outbox);
        true
    }

    /// A link ended, or could not be opened; whether the present one was up until now.
    pub fn down(&mut self, store: ReplicaId, number: LinkNumber) -> bool {
        self.present(store, number).is_some_and(|link| link.outbox.take().is_some())
    }

    /// Whether what comes on a link counts: it is the present one, and up.
    pub fn is_up(&self, store: ReplicaId, number: LinkNumber) -> bool {
        self.links.get(&store).is_some_and(|link| link.number == number && link.outbox.is_some())
    }

    /// Where messages to a store go; none while its link is down.
    pub fn outbox(&self, store: ReplicaId) -> Option<&Outbox> {
        self.links.get(&store)?.outbox.as_ref()
    }

    /// Of all stores whose links are up.
    pub fn outboxes(&self) -> impl Iterator<Item = &Outbox> {
        self.links.values().filter_map(|link| link.outbox.as_ref())
    }

    fn present(&mut self, store: ReplicaId, number: LinkNumber) -> Option<&mut StoreLink<Handle>> {
        self.links.get_mut(&store).filter(|link| link.number == number)
    }
}
