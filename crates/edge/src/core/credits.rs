//! How many deliveries the stores may grant to this edge beside those that it asks for with an append.
//!
//! Each store is told a share of what could start now, up to a bound, and again only when it has used up half of it or
//! has too much: in calm times nothing is said.

use std::collections::BTreeMap;

use ruddervalve_protocol::{EdgeToStore, ReplicaId};

use super::EdgeCore;

/// The most credits for a service at one store: enough for the way there and back at the rate at which slots come free.
const MOST: u32 = 8;

/// What the stores were told.
#[derive(Debug, Default)]
pub struct Credits {
    /// By store and service: what it should have left. A store without an entry has to be told all anew.
    left: BTreeMap<ReplicaId, BTreeMap<String, u32>>,
    stores: Vec<ReplicaId>,
}

impl Credits {
    pub fn store_up(&mut self, store: ReplicaId) {
        self.store_down(store);
        self.stores.push(store);
    }

    pub fn store_down(&mut self, store: ReplicaId) {
        self.left.remove(&store);
        self.stores.retain(|known| *known != store);
    }

    /// A store has a new leader in it, which was told nothing.
    pub fn forget_sent(&mut self, store: ReplicaId) {
        self.left.remove(&store);
    }

    /// A store granted a delivery.
    pub fn granted(&mut self, store: ReplicaId, service: &str) {
        let left = self.left.get_mut(&store).and_then(|services| services.get_mut(service));
        if let Some(left) = left {
            *left = left.saturating_sub(1);
        }
    }
}

impl EdgeCore {
    /// Tells the stores what they may grant, where they should know.
    pub(super) fn update_credits(&mut self) {
        if self.leaving || self.credits.stores.is_empty() {
            return;
        }
        let wanted = self.wanted_credits();
        let stores = self.credits.stores.clone();
        for store in stores {
            let left = self.credits.left.get(&store);
            let stale = |(service, wanted): &(String, u32)| match left.and_then(|left| left.get(service)) {
                Some(left) => *left > *wanted || *left * 2 < *wanted,
                None => true,
            };
            if left.is_none() || wanted.iter().any(stale) {
                self.credits.left.insert(store, wanted.iter().cloned().collect());
                self.send(store, EdgeToStore::Credits { services: wanted.clone() });
            }
        }
    }

    fn wanted_credits(&mut self) -> Vec<(String, u32)> {
        let stores = u32::try_from(self.credits.stores.len()).unwrap_or(u32::MAX).max(1);
        let services: Vec<String> = self.dispatch.services().map(str::to_owned).collect();
        let mut wanted = Vec::with_capacity(services.len());
        for service in services {
            let startable = self.dispatch.startable(self.now, &service);
            let reserved = self.appends.reserved(&service).saturating_add(self.permits.waiting(&service));
            let free = startable.saturating_sub(reserved);
            wanted.push((service, free.div_ceil(stores).min(MOST)));
        }
        wanted
    }
}
