//! What goes into a simulated process, and what comes out.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use ruddervalve_coordinator::listing::{ListAnswer, ListCall};
use ruddervalve_coordinator::operator::OperatorCall;
use ruddervalve_coordinator::{CallerNumber, OperatorReply};
use ruddervalve_disk::Record;
use ruddervalve_edge::core::{CallbackOrder, ClientNumber, DeliveryOrder, JobNumber};
use ruddervalve_edge::front::{FrontRequest, FrontResponse};
use ruddervalve_edge::runner::{CallbackResult, DeliveryResult};
use ruddervalve_protocol::{
    Channel, CoordinatorReply, CoordinatorRequest, EdgeToStore, Greeting, GroupId, ReplicaId, StoreToEdge,
};
use ruddervalve_replication::{Checkpoint, Envelope, ReplicaHost};

/// A connection, counted by the network.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct ConnectionId(pub u64);

/// A link that a process keeps open: what it is for, and where to.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Link {
    Replica(ReplicaId, SocketAddr),
    Control(SocketAddr),
    Delivery(ReplicaId, SocketAddr),
}

impl Link {
    pub fn address(self) -> SocketAddr {
        match self {
            Self::Replica(_, address) | Self::Control(address) | Self::Delivery(_, address) => address,
        }
    }

    pub fn channel(self) -> Channel {
        match self {
            Self::Replica(..) => Channel::Replica,
            Self::Control(_) => Channel::Control,
            Self::Delivery(..) => Channel::Delivery,
        }
    }
}

/// One message on a connection.
#[derive(Debug, Clone)]
pub enum Payload {
    Envelopes(Vec<Envelope>),
    Request(CoordinatorRequest),
    Reply(CoordinatorReply),
    ToStore(EdgeToStore),
    ToEdge(StoreToEdge),
}

/// Something that a process takes.
#[derive(Debug)]
pub enum Input {
    Wake,
    Heartbeat,
    LinkUp(Link, ConnectionId),
    /// The link's connection ended, or could not be opened.
    LinkDown(Link),
    Accepted(ConnectionId, Greeting),
    Ended(ConnectionId),
    Message(ConnectionId, Payload),
    Written(u64),
    CheckpointDone(Vec<(GroupId, u64)>),
    Client(ClientNumber, Box<FrontRequest>),
    ClientLeft(ClientNumber),
    Delivered(JobNumber, Box<DeliveryResult>),
    CalledBack(GroupId, Box<CallbackOrder>, CallbackResult),
    List(u64, ListAnswer),
    Operator(CallerNumber, Box<OperatorCall>),
    Terminate,
}

/// Something that a process wants done.
#[derive(Debug)]
pub enum Effect {
    Send(ConnectionId, Payload),
    Close(ConnectionId),
    /// Exactly these links are to be kept.
    Links(Vec<Link>),
    Write(Vec<Record>, u64),
    Respond(ClientNumber, FrontResponse),
    Deliver(Box<DeliveryOrder>),
    CallBack(GroupId, Box<CallbackOrder>),
    CallPlatform(ListCall),
    Reply(CallerNumber, Option<OperatorReply>),
    /// The process ends by itself, and why.
    Failed(String),
}

/// A simulated process: a role's core with what its run-time part does around it. `now` is its own monotonic time.
pub trait Process {
    fn handle(&mut self, now: u64, input: Input, effects: &mut Vec<Effect>);

    /// When it wants [`Input::Wake`] at the latest.
    fn next_wake(&self, now: u64) -> u64;

    /// The time of day jumps.
    fn step_clock(&mut self, _by_ms: i64) {}

    /// Whether it has ended as asked.
    fn ended(&self, now: u64) -> bool;

    /// Its replicas, where it has any.
    fn host(&self) -> Option<&ReplicaHost> {
        None
    }

    /// Its state for a checkpoint, where it has any.
    fn checkpoint(&self) -> Option<Checkpoint> {
        None
    }

    /// As an edge.
    fn edge(&self) -> Option<&ruddervalve_edge::core::EdgeCore> {
        None
    }

    /// As a store.
    fn store(&self) -> Option<&ruddervalve_store::StoreCore> {
        None
    }

    /// As a coordinator.
    fn coordinator(&self) -> Option<&ruddervalve_coordinator::CoordinatorCore> {
        None
    }
}

/// Envelopes by receiver, in order.
pub fn batches(envelopes: Vec<Envelope>) -> BTreeMap<ReplicaId, Vec<Envelope>> {
    let mut batches: BTreeMap<ReplicaId, Vec<Envelope>> = BTreeMap::new();
    for envelope in envelopes {
        batches.entry(envelope.to).or_default().push(envelope);
    }
    batches
}
