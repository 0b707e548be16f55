//! The first frame on each connection.

use nanoserde::{DeBin, SerBin};

use crate::Incarnation;

/// The version of all messages between processes; a process drops a connection that greets with another one.
pub const PROTOCOL_VERSION: u32 = 7;

/// What a connection carries after its greeting.
#[derive(Debug, Clone, Copy, PartialEq, Eq, SerBin, DeBin)]
pub enum Channel {
    /// Consensus messages between replicas.
    Replica,
    /// [`crate::EdgeToStore`] one way, [`crate::StoreToEdge`] the other.
    Delivery,
    /// [`crate::CoordinatorRequest`] one way, [`crate::CoordinatorReply`] the other.
    Control,
}

/// Who opens a connection, and for what.
#[derive(Debug, Clone, PartialEq, SerBin, DeBin)]
pub struct Greeting {
    /// [`PROTOCOL_VERSION`] of the opener.
    pub version: u32,
    /// What the connection carries.
    pub channel: Channel,
    /// The opener's `NodeName`.
    pub node: String,
    /// The opener's zone.
    pub zone: String,
    /// The opener's life.
    pub incarnation: Incarnation,
}
