//! What a leader sees that may make a message run a second time, or never: for logs and metrics.

use displaydoc::Display;
use ruddervalve_protocol::{Incarnation, LeaseId, MessageId};

/// Why leases came free without an outcome.
#[derive(Debug, Display, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum FreeReason {
    /// the edge did not name them in the inventory of a new connection
    NotInInventory,
    /// the edge had no connection for too long
    Disconnected,
    /// the edge was connected and silent for too long
    Silent,
    /// a newer process runs on the machine of the edge
    Superseded,
}

/// One observation.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Observation {
    /// Leases of an edge came free without an outcome: their messages run again, though the edge may have run them.
    LeasesFreed {
        /// The edge.
        edge: Incarnation,
        /// Its `NodeName`.
        node: String,
        /// Why.
        reason: FreeReason,
        /// How many.
        count: usize,
        /// Whether messages of earlier terms still waited for its inventory: some of those may have been with it, too.
        inventory_missing: bool,
    },
    /// The visibility timeout has passed since this leader took over, and edges that are attached have not said what they
    /// hold: messages of earlier terms may run again.
    InventoriesMissing {
        /// How many edges.
        edges: usize,
        /// How many messages of earlier terms may run now.
        messages: usize,
    },
    /// Messages of a service may run, and for so long no edge has had credits to deliver them.
    NoCredits {
        /// The service.
        service: String,
        /// How many messages wait.
        messages: usize,
        /// Since when, in milliseconds before now, or before this was last observed.
        for_ms: u64,
    },
    /// A success or a refusal for good was reported under a lease that is not outstanding any more.
    EndUnderFreedLease {
        /// Who reported it.
        edge: Incarnation,
        /// The message.
        id: MessageId,
        /// The lease.
        lease: LeaseId,
    },
}
