//! Messages that must begin one after the other.

use std::collections::{BTreeSet, HashMap};

use crate::records::Sequence;
use crate::services::ServiceIndex;

/// The unended messages of each key of each service, in the order of acceptance. Only the first may run.
#[derive(Debug, Default)]
pub(crate) struct KeyQueues {
    services: HashMap<ServiceIndex, HashMap<Box<str>, BTreeSet<Sequence>>>,
}

impl KeyQueues {
    /// Adds a message.
    pub(crate) fn insert(&mut self, service: ServiceIndex, key: &str, sequence: Sequence) {
        let keys = self.services.entry(service).or_default();
        match keys.get_mut(key) {
            Some(queue) => {
                queue.insert(sequence);
            }
            None => {
                keys.insert(key.into(), BTreeSet::from([sequence]));
            }
        }
    }

    /// How many messages of the key wait, and the last of them.
    pub(crate) fn chain(&self, service: ServiceIndex, key: &str) -> Option<(u32, Sequence)> {
        let queue = self.services.get(&service)?.get(key)?;
        Some((u32::try_from(queue.len()).unwrap_or(u32::MAX), *queue.last()?))
    }

    /// Whether no earlier message of the key is unended.
    pub(crate) fn is_first(&self, service: ServiceIndex, key: &str, sequence: Sequence) -> bool {
        self.first(service, key).is_none_or(|first| sequence <= first)
    }

    /// Takes an ended message out; returns the one that is first now if this changed it.
    pub(crate) fn remove(
        &mut self,
        service: ServiceIndex,
        key: &str,
        sequence: Sequence,
    ) -> Option<Sequence> {
        let was_first = self.first(service, key) == Some(sequence);
        let keys = self.services.get_mut(&service)?;
        let queue = keys.get_mut(key)?;
        queue.remove(&sequence);
        let next = queue.first().copied();
        if next.is_none() {
            keys.remove(key);
        }
        next.filter(|_| was_first)
    }

    /// Takes all out.
    pub(crate) fn clear(&mut self) {
        self.services.clear();
    }

    /// The message of the key that may run.
    pub(crate) fn first(&self, service: ServiceIndex, key: &str) -> Option<Sequence> {
        self.services.get(&service)?.get(key)?.first().copied()
    }
}
