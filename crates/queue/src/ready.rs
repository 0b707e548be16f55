//! Which messages wait for a time, and the order of those that wait for nothing.

use std::collections::{BTreeMap, BTreeSet};

use crate::records::Sequence;

/// Of so many grants of a service one goes to the message that has waited longest, if those that can still begin in time
/// leave nothing over: what is late is worth less, but it must not wait for ever.
const LATE_EVERY: u32 = 4;

/// Where a message that may run stands among the others of its service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct ReadyKey {
    /// 0 is the highest.
    pub(crate) priority_class: u32,
    /// How many messages of its key wait, itself included; 1 without a key.
    pub(crate) chain: u32,
    /// Until when it, or one that waits behind it, can begin within its route's aim, in shard time.
    pub(crate) hope_ms: u64,
    /// When its delay was over, in shard time.
    pub(crate) due_ms: u64,
    /// The message.
    pub(crate) sequence: Sequence,
}

/// By priority, then by how many have to run before one is in time, then by due time.
type TimelyOrder = (u32, u32, u64, Sequence);
/// By priority, then by due time.
type LateOrder = (u32, u64, Sequence);

impl ReadyKey {
    fn timely_order(&self) -> TimelyOrder {
        (self.priority_class, self.chain, self.due_ms, self.sequence)
    }

    fn late_order(&self) -> LateOrder {
        (self.priority_class, self.due_ms, self.sequence)
    }
}

/// The messages of a service that may run: first those that can begin in time, and a share for those that cannot.
#[derive(Debug, Default)]
pub(crate) struct ReadyQueue {
    timely: BTreeMap<TimelyOrder, ReadyKey>,
    late: BTreeMap<LateOrder, ReadyKey>,
    /// Ends of hope, for those that are timely.
    hopes: BTreeSet<(u64, TimelyOrder)>,
    /// Grants since one went to a late message.
    since_late: u32,
}

impl ReadyQueue {
    /// Whether there is none.
    pub(crate) fn is_empty(&self) -> bool {
        self.timely.is_empty() && self.late.is_empty()
    }

    /// How many there are.
    pub(crate) fn len(&self) -> usize {
        self.timely.len() + self.late.len()
    }

    /// Adds a message.
    pub(crate) fn insert(&mut self, key: ReadyKey) {
        self.hopes.insert((key.hope_ms, key.timely_order()));
        self.timely.insert(key.timely_order(), key);
    }

    /// Takes a message out.
    pub(crate) fn remove(&mut self, key: &ReadyKey) {
        if self.timely.remove(&key.timely_order()).is_some() {
            self.hopes.remove(&(key.hope_ms, key.timely_order()));
        }
        self.late.remove(&key.late_order());
    }

    /// The message that runs next.
    pub(crate) fn first(&mut self, now_ms: u64) -> Option<ReadyKey> {
        self.give_up_hope(now_ms);
        let timely = self.timely.values().next();
        let late = self.late.values().next();
        match (timely, late) {
            (Some(timely), Some(late)) => {
                let urgent = late.priority_class < timely.priority_class;
                let due = self.since_late + 1 >= LATE_EVERY && late.priority_class == timely.priority_class;
                Some(if urgent || due { *late } else { *timely })
            }
            (timely, late) => timely.or(late).copied(),
        }
    }

    /// A message was granted: counts whose turn it is.
    pub(crate) fn granted(&mut self, key: &ReadyKey) {
        let is_late = self.late.contains_key(&key.late_order());
        self.since_late = if is_late { 0 } else { self.since_late.saturating_add(1) };
    }

    fn give_up_hope(&mut self, now_ms: u64) {
        while let Some((hope_ms, order)) = self.hopes.first().copied() {
            if hope_ms >= now_ms {
                return;
            }
            self.hopes.pop_first();
            if let Some(key) = self.timely.remove(&order) {
                self.late.insert(key.late_order(), key);
            }
        }
    }
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
