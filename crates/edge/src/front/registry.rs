//! The open connections, and which of them gives way when there are too many.

use std::collections::{HashMap, VecDeque};
use std::rc::Rc;

use super::framing::Phase;
use super::state::{ConnectionState, Order, Shared, count};

/// One connection of so many in bound may be one that only hears that there are too many. They hold descriptors too.
const BOUND_FOR_EACH_CROWDED: usize = 16;

/// A connection that could give way.
#[derive(Debug)]
struct Candidate {
    connection: Rc<ConnectionState>,
    idle_since_ms: u64,
}

impl Candidate {
    fn is_still_idle(&self) -> bool {
        self.connection.phase.get() == Phase::Idle
            && self.connection.counted.get()
            && self.connection.unchanged_since_ms.get() == Some(self.idle_since_ms)
    }
}

/// The connections.
#[derive(Debug, Default)]
pub(super) struct Registry {
    connections: HashMap<u64, Rc<ConnectionState>>,
    next_id: u64,
    /// Those that count, without those that were told to give way.
    open: usize,
    crowded: usize,
    /// Idle connections at the last look, the oldest first. Nothing is kept in order while connections come and go, so
    /// that requests cost nothing here.
    candidates: VecDeque<Candidate>,
    looked_at_idle_count: Option<u64>,
}

impl Registry {
    /// How many count.
    pub(super) fn open(&self) -> usize {
        self.open
    }

    /// Whether there is no connection at all.
    pub(super) fn is_empty(&self) -> bool {
        self.connections.is_empty() && self.crowded == 0
    }

    /// All connections.
    pub(super) fn iter(&self) -> impl Iterator<Item = &Rc<ConnectionState>> {
        self.connections.values()
    }

    fn add(&mut self) -> Rc<ConnectionState> {
        let state = Rc::new(ConnectionState::new(self.next_id));
        self.next_id += 1;
        self.open += 1;
        self.connections.insert(state.id, Rc::clone(&state));
        state
    }

    fn remove(&mut self, state: &ConnectionState) {
        self.connections.remove(&state.id);
        if state.counted.replace(false) {
            self.open = self.open.saturating_sub(1);
        }
    }

    /// Tells the connection that has been idle longest to close. Returns whether there was one.
    fn evict(&mut self, idle_count: u64, now_ms: u64) -> bool {
        if self.evict_candidate() {
            return true;
        }
        if self.looked_at_idle_count.replace(idle_count) == Some(idle_count) {
            return false;
        }
        let mut idle: Vec<Candidate> = self
            .iter()
            .filter(|connection| connection.phase.get() == Phase::Idle && connection.counted.get())
            .map(|connection| Candidate {
                connection: Rc::clone(connection),
                idle_since_ms: connection.stamp(now_ms),
            })
            .collect();
        idle.sort_unstable_by_key(|candidate| (candidate.idle_since_ms, candidate.connection.id));
        self.candidates = idle.into();
        self.evict_candidate()
    }

    fn evict_candidate(&mut self) -> bool {
        while let Some(candidate) = self.candidates.pop_front() {
            if candidate.is_still_idle() {
                candidate.connection.counted.set(false);
                self.open = self.open.saturating_sub(1);
                candidate.connection.give(Order::CloseIdle);
                return true;
            }
        }
        false
    }

    /// An order to give way that came too late: the connection counts again.
    pub(super) fn keep(&mut self, state: &ConnectionState) {
        if !state.counted.replace(true) {
            self.open += 1;
        }
    }
}

/// What becomes of a new connection.
pub(super) enum Admission {
    /// It is served.
    Served(Place),
    /// It hears that there are too many.
    Crowded(CrowdedPlace),
    /// It is dropped: there are too many of those that hear so, too.
    Dropped,
}

/// A place among the connections, given back when dropped.
pub(super) struct Place {
    shared: Rc<Shared>,
    /// The connection.
    pub(super) state: Rc<ConnectionState>,
}

impl Drop for Place {
    fn drop(&mut self) {
        let mut registry = self.shared.registry.borrow_mut();
        registry.remove(&self.state);
        if registry.is_empty() {
            self.shared.all_ended.notify_waiters();
        }
    }
}

/// A place among those that hear that there are too many, given back when dropped.
pub(super) struct CrowdedPlace {
    shared: Rc<Shared>,
}

impl Drop for CrowdedPlace {
    fn drop(&mut self) {
        let mut registry = self.shared.registry.borrow_mut();
        registry.crowded = registry.crowded.saturating_sub(1);
        if registry.is_empty() {
            self.shared.all_ended.notify_waiters();
        }
    }
}

/// Finds a place for a new connection.
pub(super) fn admit(shared: &Rc<Shared>) -> Admission {
    let bound = shared.limits().max_connections;
    let mut registry = shared.registry.borrow_mut();
    let room =
        registry.open < bound || (bound > 0 && registry.evict(shared.idle_count.get(), shared.now_ms()));
    if room {
        // A new connection is idle, and may have to give way to the next.
        count(&shared.idle_count);
        let state = registry.add();
        return Admission::Served(Place { shared: Rc::clone(shared), state });
    }
    count(&shared.refused);
    if registry.crowded > bound / BOUND_FOR_EACH_CROWDED {
        return Admission::Dropped;
    }
    registry.crowded += 1;
    Admission::Crowded(CrowdedPlace { shared: Rc::clone(shared) })
}
