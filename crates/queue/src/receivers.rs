//! The addresses that call-backs go to, and how much each may get at a time.

use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;

use crate::backoff::Jitter;
use crate::breaker::{Admission, Breaker};
use crate::records::Sequence;
use crate::settings::Waits;

#[derive(Debug)]
struct Receiver {
    breaker: Breaker,
    outstanding: u32,
    /// Call-backs owed to it.
    owed: u32,
    ready: BTreeSet<Sequence>,
    wake_ms: Option<u64>,
}

/// All receivers that are owed a call-back, and which of them to look at.
#[derive(Debug)]
pub(crate) struct Receivers {
    most_outstanding: u32,
    waits: Waits,
    receivers: HashMap<Arc<str>, Receiver>,
    dirty: BTreeSet<Arc<str>>,
    wakes: BTreeSet<(u64, Arc<str>)>,
}

impl Receivers {
    /// No receivers.
    pub(crate) fn new(most_outstanding: u32, waits: Waits) -> Self {
        Self {
            most_outstanding,
            waits,
            receivers: HashMap::new(),
            dirty: BTreeSet::new(),
            wakes: BTreeSet::new(),
        }
    }

    /// Counts an owed call-back; returns the receiver's name.
    pub(crate) fn owe(&mut self, url: &str) -> Arc<str> {
        let name: Arc<str> = Arc::from(address(url));
        let (most_outstanding, waits) = (self.most_outstanding, self.waits);
        let receiver = self.receivers.entry(Arc::clone(&name)).or_insert_with(|| Receiver {
            breaker: Breaker::new(most_outstanding, waits),
            outstanding: 0,
            owed: 0,
            ready: BTreeSet::new(),
            wake_ms: None,
        });
        receiver.owed = receiver.owed.saturating_add(1);
        name
    }

    /// One is owed no more; a receiver that is owed none is forgotten.
    pub(crate) fn settle(&mut self, name: &Arc<str>) {
        let Some(receiver) = self.receivers.get_mut(name) else { return };
        receiver.owed = receiver.owed.saturating_sub(1);
        if receiver.owed > 0 {
            return;
        }
        if let Some(wake_ms) = receiver.wake_ms {
            self.wakes.remove(&(wake_ms, Arc::clone(name)));
        }
        self.dirty.remove(name);
        self.receivers.remove(name);
    }

    /// A call-back may be made.
    pub(crate) fn add_ready(&mut self, name: &Arc<str>, sequence: Sequence) {
        if let Some(receiver) = self.receivers.get_mut(name) {
            receiver.ready.insert(sequence);
            self.dirty.insert(Arc::clone(name));
        }
    }

    /// It may not, or is being made.
    pub(crate) fn remove_ready(&mut self, name: &Arc<str>, sequence: Sequence) {
        if let Some(receiver) = self.receivers.get_mut(name) {
            receiver.ready.remove(&sequence);
        }
    }

    /// An edge makes one.
    pub(crate) fn began(&mut self, name: &Arc<str>) {
        if let Some(receiver) = self.receivers.get_mut(name) {
            receiver.outstanding = receiver.outstanding.saturating_add(1);
        }
    }

    /// It does no more.
    pub(crate) fn ended(&mut self, name: &Arc<str>) {
        if let Some(receiver) = self.receivers.get_mut(name) {
            receiver.outstanding = receiver.outstanding.saturating_sub(1);
            self.dirty.insert(Arc::clone(name));
        }
    }

    /// The receiver took one.
    pub(crate) fn succeeded(&mut self, name: &Arc<str>) {
        if let Some(receiver) = self.receivers.get_mut(name) {
            receiver.breaker.succeeded();
            self.dirty.insert(Arc::clone(name));
        }
    }

    /// The receiver did not take one.
    pub(crate) fn failed(&mut self, now_ms: u64, name: &Arc<str>, jitter: &mut Jitter) {
        if let Some(receiver) = self.receivers.get_mut(name) {
            receiver.breaker.failed(now_ms, jitter);
        }
    }

    /// The next call-back of a receiver, if one may go to it now.
    pub(crate) fn next_of(&mut self, now_ms: u64, name: &Arc<str>) -> Option<Sequence> {
        let receiver = self.receivers.get_mut(name)?;
        let first = *receiver.ready.first()?;
        match receiver.breaker.admission(now_ms, receiver.outstanding) {
            Admission::Open => Some(first),
            Admission::Full => None,
            Admission::Until(at_ms) => {
                if let Some(earlier) = receiver.wake_ms.replace(at_ms) {
                    self.wakes.remove(&(earlier, Arc::clone(name)));
                }
                self.wakes.insert((at_ms, Arc::clone(name)));
                None
            }
        }
    }

    /// Asks for a look at all that have call-backs ready.
    pub(crate) fn look_at_all(&mut self) {
        let waiting = self.receivers.iter().filter(|(_, receiver)| !receiver.ready.is_empty());
        self.dirty.extend(waiting.map(|(name, _)| Arc::clone(name)));
    }

    /// Takes out the next receiver to look at.
    pub(crate) fn pop_dirty(&mut self, now_ms: u64) -> Option<Arc<str>> {
        while self.wakes.first().is_some_and(|(at_ms, _)| *at_ms <= now_ms) {
            let (_, name) = self.wakes.pop_first()?;
            if let Some(receiver) = self.receivers.get_mut(&name) {
                receiver.wake_ms = None;
            }
            self.dirty.insert(name);
        }
        self.dirty.pop_first()
    }

    /// Whether there is one to look at now.
    pub(crate) fn any_dirty(&self) -> bool {
        !self.dirty.is_empty()
    }

    /// When to look next.
    pub(crate) fn next_wake_ms(&self) -> Option<u64> {
        self.wakes.first().map(|(at_ms, _)| *at_ms)
    }
}

/// Host and port of a URL; all of it if it has no such parts.
fn address(url: &str) -> &str {
    let rest = url.split_once("://").map_or(url, |(_, rest)| rest);
    rest.split(['/', '?', '#']).next().unwrap_or(rest)
}
