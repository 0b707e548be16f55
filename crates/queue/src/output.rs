//! What the leader wants done.

use ruddervalve_protocol::{Incarnation, LeaseId, MessageId, PermitNumber};

use crate::Action;

/// One thing to do, in the order given.
#[derive(Debug, Clone, PartialEq)]
pub enum LeaderOutput {
    /// Send the message to the edge, with this lease.
    Grant {
        /// The edge.
        edge: Incarnation,
        /// The message.
        id: MessageId,
        /// The lease.
        lease: LeaseId,
    },
    /// Let the edge start the delivery that it has asked a permit for.
    Permit {
        /// The edge.
        edge: Incarnation,
        /// Its permit.
        number: PermitNumber,
    },
    /// Let the edge make the call-back.
    CallBack {
        /// The edge.
        edge: Incarnation,
        /// The message.
        id: MessageId,
    },
    /// Replicate this. It must be applied in this term, or the leader must be dropped.
    Propose(Action),
    /// Tell the edge that the outcome of the lease needs no repeating.
    Recorded {
        /// The edge.
        edge: Incarnation,
        /// The message.
        id: MessageId,
        /// The lease.
        lease: LeaseId,
    },
    /// Tell the edge that the call-back needs no repeating.
    CallbackRecorded {
        /// The edge.
        edge: Incarnation,
        /// The message.
        id: MessageId,
    },
}
