//! Which stores answer. A machine without power says nothing, and connections to it only hang: what is sent there is not
//! known to be kept, so nothing new goes there.

use std::collections::BTreeMap;

use ruddervalve_protocol::ReplicaId;

#[derive(Debug, Default)]
struct Store {
    /// Appends that it has not answered.
    unanswered: usize,
    /// Since when it has said nothing although it owes an answer.
    silent_since: Option<u64>,
}

/// The stores that are connected.
#[derive(Debug)]
pub struct Health {
    stores: BTreeMap<ReplicaId, Store>,
    suspect_after_ms: u64,
}

impl Health {
    /// A store is suspected when it owes an answer and has said nothing for so long.
    pub fn new(suspect_after_ms: u64) -> Self {
        Self { stores: BTreeMap::new(), suspect_after_ms }
    }

    pub fn store_up(&mut self, store: ReplicaId) {
        self.stores.insert(store, Store::default());
    }

    pub fn store_down(&mut self, store: ReplicaId) {
        self.stores.remove(&store);
    }

    /// An append was sent.
    pub fn sent(&mut self, store: ReplicaId, now: u64) {
        if let Some(store) = self.stores.get_mut(&store) {
            store.unanswered += 1;
            store.silent_since.get_or_insert(now);
        }
    }

    /// An append was answered, or is not waited for any more.
    pub fn answered(&mut self, store: ReplicaId) {
        if let Some(store) = self.stores.get_mut(&store) {
            store.unanswered = store.unanswered.saturating_sub(1);
            if store.unanswered == 0 {
                store.silent_since = None;
            }
        }
    }

    /// The store said something.
    pub fn heard(&mut self, store: ReplicaId, now: u64) {
        if let Some(store) = self.stores.get_mut(&store) {
            store.silent_since = (store.unanswered > 0).then_some(now);
        }
    }

    /// Whether it is connected and not suspected.
    pub fn is_well(&self, store: ReplicaId, now: u64) -> bool {
        let silent = |since: u64| now >= since.saturating_add(self.suspect_after_ms);
        self.stores.get(&store).is_some_and(|store| !store.silent_since.is_some_and(silent))
    }

    /// How many are.
    pub fn count_well(&self, now: u64) -> usize {
        self.stores.keys().filter(|store| self.is_well(**store, now)).count()
    }
}
