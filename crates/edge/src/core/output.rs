//! What an edge wants done.

use std::net::SocketAddr;

use ruddervalve_protocol::{EdgeToStore, GroupId, MessageId, ReplicaId};

use crate::front::FrontResponse;
use crate::runner::Delivery;

/// A request that waits for its answer, counted by the process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClientNumber(pub u64);

/// A delivery, counted by the edge.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct JobNumber(pub u64);

/// One thing to do.
#[derive(Debug)]
pub enum EdgeOutput {
    /// Answer a client.
    Respond(ClientNumber, FrontResponse),
    /// Send to a store.
    Send(ReplicaId, EdgeToStore),
    /// Deliver to a runner and tell the result with [`super::EdgeCore::delivered`].
    Deliver(Box<DeliveryOrder>),
    /// Make a call-back and tell the result with [`super::EdgeCore::called_back`].
    CallBack(GroupId, Box<CallbackOrder>),
}

/// A delivery to make.
#[derive(Debug)]
pub struct DeliveryOrder {
    /// Names it in the result.
    pub job: JobNumber,
    /// What to send where.
    pub delivery: Delivery,
}

/// A call-back to make.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallbackOrder {
    /// The message.
    pub id: MessageId,
    /// The receiver.
    pub address: SocketAddr,
    /// The path.
    pub path: String,
    /// The JSON body.
    pub body: String,
    /// How long it may take, in milliseconds.
    pub timeout_ms: u64,
}
