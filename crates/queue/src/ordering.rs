//! Messages that must begin one after the other.

use std::collections::{BTreeSet, HashMap};

use crate::records::Sequence;

/// The unended messages of each key, in the order of acceptance. Only the first may run. A message stands here from its
/// acceptance to its end, whatever configurations come meanwhile.
#[derive(Debug, Default)]
pub(crate) struct KeyQueues {
    keys: HashMap<Box<str>, BTreeSet<Sequence>>,
}

impl KeyQueues {
    /// Adds a message.
    pub(crate) fn insert(&mut self, key: &str, sequence: Sequence) {
        match self.keys.get_mut(key) {
            Some(queue) => {
                queue.insert(sequence);
            }
            None => {
                self.keys.insert(key.into(), BTreeSet::from([sequence]));
            }
        }
    }

    /// How many messages of the key wait, and the last of them.
    pub(crate) fn chain(&self, key: &str) -> Option<(u32, Sequence)> {
        let queue = self.keys.get(key)?;
        Some((u32::try_from(queue.len()).unwrap_or(u32::MAX), *queue.last()?))
    }

    /// Whether no earlier message of the key is unended.
    pub(crate) fn is_first(&self, key: &str, sequence: Sequence) -> bool {
        self.first(key).is_none_or(|first| sequence <= first)
    }

    /// Takes an ended message out; returns the one that is first now if this changed it.
    pub(crate) fn remove(&mut self, key: &str, sequence: Sequence) -> Option<Sequence> {
        let was_first = self.first(key) == Some(sequence);
        let queue = self.keys.get_mut(key)?;
        queue.remove(&sequence);
        let next = queue.first().copied();
        if next.is_none() {
            self.keys.remove(key);
        }
        next.filter(|_| was_first)
    }

    /// The message of the key that may run.
    pub(crate) fn first(&self, key: &str) -> Option<Sequence> {
        self.keys.get(key)?.first().copied()
    }
}
