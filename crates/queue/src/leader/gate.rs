//! Holds back what edges may hold from earlier terms.

use std::collections::BTreeSet;

use ruddervalve_mutation::{Mutation, is_active};
use ruddervalve_protocol::Incarnation;

use crate::ShardState;
use crate::records::AttachedEdge;

/// Opens once no edge can hold a lease that this leader does not know of: each has sent its inventory or is dead, or the
/// visibility timeout has passed.
#[derive(Debug)]
pub(super) struct Gate {
    awaited: BTreeSet<Incarnation>,
    opens_ms: u64,
    released: bool,
}

impl Gate {
    /// Awaits all edges that are attached.
    pub(super) fn new(now_ms: u64, visibility_timeout_ms: u64, state: &ShardState) -> Self {
        let awaited: BTreeSet<Incarnation> =
            state.attached_edges().map(|AttachedEdge { edge, .. }| *edge).collect();
        let released = awaited.is_empty() || is_active(Mutation::HoldersNotAwaited);
        Self { awaited, opens_ms: now_ms.saturating_add(visibility_timeout_ms), released }
    }

    /// Whether it has opened.
    pub(super) fn is_open(&self) -> bool {
        self.released
    }

    /// The edge has said what it holds, or is dead; whether it was awaited.
    pub(super) fn settled(&mut self, edge: Incarnation) -> bool {
        self.awaited.remove(&edge) && !self.released
    }

    /// How many edges are awaited.
    pub(super) fn awaited(&self) -> usize {
        self.awaited.len()
    }

    /// Returns true once, when it opens.
    pub(super) fn opens(&mut self, now_ms: u64) -> bool {
        let opens = !self.released && (self.awaited.is_empty() || now_ms >= self.opens_ms);
        self.released |= opens;
        opens
    }

    /// When it opens at the latest; none if it is open.
    pub(super) fn deadline_ms(&self) -> Option<u64> {
        let opens_ms = if self.awaited.is_empty() { 0 } else { self.opens_ms };
        (!self.released).then_some(opens_ms)
    }
}
