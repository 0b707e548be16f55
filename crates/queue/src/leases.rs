//! Who holds which lease.

use std::collections::{BTreeSet, HashMap};

use ruddervalve_mutation::{Mutation, is_active};
use ruddervalve_protocol::{Incarnation, LeaseId};

use crate::records::Sequence;

/// The leases that are outstanding, by edge; the message itself knows its lease.
#[derive(Debug)]
pub(crate) struct LeaseTable {
    term: u64,
    granted: u64,
    held: HashMap<Incarnation, BTreeSet<Sequence>>,
}

impl LeaseTable {
    /// No leases; new ones carry the term.
    pub(crate) fn new(term: u64) -> Self {
        let term = if is_active(Mutation::LeaseNumberedAnew) { 0 } else { term };
        Self { term, granted: 0, held: HashMap::new() }
    }

    /// A new lease for a message.
    pub(crate) fn grant(&mut self, edge: Incarnation, sequence: Sequence) -> LeaseId {
        self.granted += 1;
        self.take_over(edge, sequence);
        LeaseId { term: self.term, number: self.granted }
    }

    /// An earlier leader's lease goes on.
    pub(crate) fn take_over(&mut self, edge: Incarnation, sequence: Sequence) {
        self.held.entry(edge).or_default().insert(sequence);
    }

    /// The lease is not outstanding any more.
    pub(crate) fn release(&mut self, edge: Incarnation, sequence: Sequence) {
        let Some(held) = self.held.get_mut(&edge) else { return };
        held.remove(&sequence);
        if held.is_empty() {
            self.held.remove(&edge);
        }
    }

    /// The messages that an edge holds.
    pub(crate) fn of(&self, edge: Incarnation) -> Vec<Sequence> {
        self.held.get(&edge).into_iter().flatten().copied().collect()
    }
}
