//! Which messages wait for a time, and the order of those that wait for nothing.

use std::collections::BTreeSet;

use crate::records::Sequence;

/// The order of messages that may run: by priority, then by how long they have been due, then by acceptance.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct ReadyKey {
    /// 0 is the highest.
    pub(crate) priority_class: u32,
    /// When its delay was over, in shard time.
    pub(crate) due_ms: u64,
    /// The message.
    pub(crate) sequence: Sequence,
}

/// Messages by a point in time.
#[derive(Debug, Default)]
pub(crate) struct TimeQueue {
    queue: BTreeSet<(u64, Sequence)>,
}

impl TimeQueue {
    /// Adds a message.
    pub(crate) fn insert(&mut self, at_ms: u64, sequence: Sequence) {
        self.queue.insert((at_ms, sequence));
    }

    /// Takes a message out.
    pub(crate) fn remove(&mut self, at_ms: u64, sequence: Sequence) {
        self.queue.remove(&(at_ms, sequence));
    }

    /// Takes out the first message whose time has come.
    pub(crate) fn pop(&mut self, now_ms: u64) -> Option<Sequence> {
        let (at_ms, _) = self.queue.first()?;
        if *at_ms > now_ms {
            return None;
        }
        self.queue.pop_first().map(|(_, sequence)| sequence)
    }

    /// The first time.
    pub(crate) fn next_ms(&self) -> Option<u64> {
        self.queue.first().map(|(at_ms, _)| *at_ms)
    }
}

/// The messages that wait for a time.
#[derive(Debug, Default)]
pub(crate) struct Schedule {
    /// Delays and backoffs.
    pub(crate) waiting: TimeQueue,
    /// Ends of retention.
    pub(crate) expiry: TimeQueue,
    /// Messages without a route, by when that was first seen; they wait for a confirmation of the policy.
    pub(crate) unrouted: TimeQueue,
}

impl Schedule {
    /// The first time at which something is to be done.
    pub(crate) fn next_ms(&self) -> Option<u64> {
        [self.waiting.next_ms(), self.expiry.next_ms()].into_iter().flatten().min()
    }
}
