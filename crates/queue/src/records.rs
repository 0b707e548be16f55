//! What the state keeps of messages and edges, and what a command did.

use std::sync::Arc;

use ruddervalve_protocol::{Blob, EndPhase, Incarnation, LeaseId};

use crate::SharedMessage;

/// The place of a message in the order of acceptance.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Sequence(pub u64);

/// A message that has not ended.
#[derive(Debug, Clone, PartialEq)]
pub struct PendingMessage {
    /// The message.
    pub message: SharedMessage,
    /// Must not run before, in shard time.
    pub due_ms: u64,
    /// Ends then, in shard time.
    pub expires_ms: u64,
    /// The edge that accepted it.
    pub accepted_by: Incarnation,
    /// The leases of the attempts that a runner answered with 500.
    pub failed_attempts: Vec<LeaseId>,
}

/// A message that has ended.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct EndedMessage {
    pub(crate) id: Arc<str>,
    pub(crate) phase: EndPhase,
    pub(crate) signature: Box<str>,
    pub(crate) ended_ms: u64,
    /// Only of dead letters.
    pub(crate) body: Option<Blob>,
    /// Set while the call-back is owed.
    pub(crate) callback_url: Option<Box<str>>,
    /// Its time is over, and it is kept for the call-back only.
    pub(crate) overdue: bool,
}

/// A call-back that is owed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OwedCallback {
    /// The place of its message.
    pub sequence: Sequence,
    /// The URL.
    pub url: String,
    /// How the message ended.
    pub phase: EndPhase,
    /// `Response-Signature` of the successful run, else empty.
    pub signature: String,
}

/// An edge that may hold leases.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AttachedEdge {
    /// Its life.
    pub edge: Incarnation,
    /// Its `NodeName`.
    pub node: String,
    /// Grows with each attachment of the shard.
    pub order: u64,
}

/// What applying a command did.
#[derive(Debug, Clone, PartialEq)]
pub struct Applied {
    /// What its action did.
    pub effect: Effect,
    /// Messages whose owed call-backs were given up, as they had become too old.
    pub abandoned_callbacks: Vec<Sequence>,
}

/// What an action did.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Effect {
    /// The message is kept.
    Accepted {
        /// Its place.
        sequence: Sequence,
    },
    /// The id was known: nothing.
    Duplicate,
    /// The attempt counts.
    AttemptRecorded {
        /// Attempts so far.
        attempts: u32,
    },
    /// The message has ended now.
    Ended {
        /// Its place.
        sequence: Sequence,
        /// Whether a call-back is owed.
        callback_owed: bool,
    },
    /// The call-back is not owed any more.
    CallbackRecorded {
        /// The place of its message.
        sequence: Sequence,
    },
    /// The edge is attached.
    EdgeAttached,
    /// The edge is not attached any more.
    EdgeDetached,
    /// Other limits hold.
    LimitsSet,
    /// Nothing: the message is unknown, has ended, or it was so already.
    Unchanged,
}
