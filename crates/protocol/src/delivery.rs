//! What edges and stores tell each other about messages.
//!
//! An edge holds one connection to each store. A store answers for the shards that it leads and names them with
//! [`StoreToEdge::Leading`]. Deliveries are leased: the edge that holds a lease delivers the message once and reports
//! the outcome until it is acknowledged.

use nanoserde::{DeBin, SerBin};

use crate::{Blob, GroupId, MessageId};

/// How long an edge looks for the state or the body of a message, in milliseconds: askers wait two seconds.
pub const ANSWER_WANTED_MS: u64 = 1_800;

/// One lease of one message, unique within a shard for all time (term and counter).
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, SerBin, DeBin)]
pub struct LeaseId {
    /// The term of the leader that granted it.
    pub term: u64,
    /// Counts the leases of that leader.
    pub number: u64,
}

/// A lease as it is granted.
#[derive(Debug, Clone, PartialEq, Eq, SerBin, DeBin)]
pub struct GrantedLease {
    /// The lease.
    pub id: LeaseId,
    /// The service that the leader counts the delivery at: by the leader's configuration, which may be another than the
    /// edge's, and another than the one that the message was accepted under.
    pub service: String,
}

/// A permit: leave to start one delivery to a service whose rate and connections another shard counts. Numbered by its edge
/// within its life.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, SerBin, DeBin)]
pub struct PermitNumber(pub u64);

/// A message as it is accepted. The route is found anew from host and path in the configuration in force.
#[derive(Debug, Clone, PartialEq, SerBin, DeBin)]
pub struct NewMessage {
    /// The client's request id.
    pub id: MessageId,
    /// The name of the route that matched at the edge.
    pub route: String,
    /// The service of that route.
    pub service: String,
    /// `POST` and the like.
    pub method: String,
    /// The `Host` header.
    pub host: String,
    /// Path and query.
    pub path: String,
    /// `Content-Type`, empty where there was none.
    pub content_type: String,
    /// `Ordering-Key` on ordered routes.
    pub ordering_key: Option<String>,
    /// `Callback-Url` on routes that have call-backs.
    pub callback_url: Option<String>,
    /// How much longer it must not run, from when the edge sends this.
    pub delay_ms: u64,
    /// How much longer it is kept, from when the edge sends this.
    pub retention_ms: u64,
    /// The body.
    pub body: Blob,
}

impl NewMessage {
    /// About how many bytes it takes on a connection.
    pub fn transfer_bytes(&self) -> usize {
        let texts = [&self.route, &self.service, &self.method, &self.host, &self.path, &self.content_type];
        let optional = [self.ordering_key.as_ref(), self.callback_url.as_ref()];
        let texts = texts.into_iter().chain(optional.into_iter().flatten());
        texts.map(String::len).sum::<usize>() + self.id.0.len() + self.body.len()
    }
}

/// From an edge to a store.
#[derive(Debug, Clone, PartialEq, SerBin, DeBin)]
pub enum EdgeToStore {
    /// Keep a message. `lease_here`: the edge can deliver it at once and wants the lease with the acknowledgement.
    Append {
        /// Echoed in the answer.
        request: u64,
        /// The shard.
        group: GroupId,
        /// Whether the edge wants to deliver it itself, now.
        lease_here: bool,
        /// The message.
        message: NewMessage,
    },
    /// How many further deliveries of each service this edge can start now; replaces what it said before. Services that
    /// are not named have none.
    Credits {
        /// Service name and number.
        services: Vec<(String, u32)>,
    },
    /// How a delivery ended; repeated until [`StoreToEdge::OutcomeRecorded`].
    Outcome {
        /// The shard.
        group: GroupId,
        /// The message.
        id: MessageId,
        /// The lease.
        lease: LeaseId,
        /// How it ended.
        outcome: DeliveryOutcome,
    },
    /// A call-back was taken by its receiver; repeated until [`StoreToEdge::CallbackRecorded`].
    CallbackTaken {
        /// The shard.
        group: GroupId,
        /// The message.
        id: MessageId,
    },
    /// A call-back could not be delivered now; the store grants it again later.
    CallbackFailed {
        /// The shard.
        group: GroupId,
        /// The message.
        id: MessageId,
    },
    /// All leases and call-backs of a shard that the edge holds or has not had acknowledged. Sent once to each new leader,
    /// right after [`EdgeToStore::Follows`] and before anything else about the shard.
    Inventory {
        /// The shard.
        group: GroupId,
        /// What the edge holds.
        items: Vec<InventoryItem>,
    },
    /// The edge is alive: its leases are renewed.
    Heartbeat,
    /// The edge is ending: grant it nothing more.
    Leaving,
    /// The state of a message, for a client.
    Status {
        /// Echoed in the answer.
        request: u64,
        /// The shard.
        group: GroupId,
        /// The message.
        id: MessageId,
        /// Whether the body is wanted.
        body: bool,
    },
    /// The edge has heard that the receiver leads a shard in this term: it takes no lease of an older one from here on, and
    /// the [`EdgeToStore::Inventory`] that comes next is meant for that leader.
    Follows {
        /// The shard.
        group: GroupId,
        /// The term that [`StoreToEdge::Leading`] named.
        term: u64,
    },
    /// The edge holds the lease of a message that lies in another shard, and asks leave to deliver it. Sent to the shard that
    /// counts the service, and again to each new leader.
    PermitWanted {
        /// The shard that counts the service.
        group: GroupId,
        /// The permit.
        permit: PermitNumber,
        /// The service.
        service: String,
        /// Of the message's route.
        priority_class: u32,
    },
    /// A delivery is under way that an earlier leader, or this one on an earlier connection, has permitted.
    PermitHeld {
        /// The shard that counts the service.
        group: GroupId,
        /// The permit.
        permit: PermitNumber,
        /// The service.
        service: String,
    },
    /// The delivery has ended, or the permit is not wanted any more.
    PermitEnded {
        /// The shard that counts the service.
        group: GroupId,
        /// The permit.
        permit: PermitNumber,
        /// Whether the service answered; none where that says nothing of it.
        answered: Option<bool>,
    },
}

/// A lease or call-back that an edge holds.
#[derive(Debug, Clone, PartialEq, SerBin, DeBin)]
pub struct InventoryItem {
    /// The message.
    pub id: MessageId,
    /// The lease, none for a call-back.
    pub lease: Option<LeaseId>,
}

/// From a store to an edge.
#[derive(Debug, Clone, PartialEq, SerBin, DeBin)]
pub enum StoreToEdge {
    /// The shards that this store leads, with their terms; replaces what it said before.
    Leading {
        /// Group and term.
        groups: Vec<(GroupId, u64)>,
    },
    /// Answers an append.
    Appended {
        /// The request.
        request: u64,
        /// What became of it.
        outcome: AppendOutcome,
    },
    /// A lease with the message.
    Deliver {
        /// The shard.
        group: GroupId,
        /// The lease.
        grant: Box<Grant>,
    },
    /// A call-back to make.
    CallBack {
        /// The shard.
        group: GroupId,
        /// The message.
        id: MessageId,
        /// The URL.
        url: String,
        /// How the message ended.
        phase: EndPhase,
        /// `Response-Signature` of the successful run, else empty.
        signature: String,
    },
    /// The outcome of a lease is durable, or the lease is not known any more: no need to repeat it.
    OutcomeRecorded {
        /// The shard.
        group: GroupId,
        /// The message.
        id: MessageId,
        /// The lease.
        lease: LeaseId,
    },
    /// The call-back is recorded as taken.
    CallbackRecorded {
        /// The shard.
        group: GroupId,
        /// The message.
        id: MessageId,
    },
    /// Answers a status request; none: the message is not known, or this store does not lead the shard.
    Status {
        /// The request.
        request: u64,
        /// Whether this store leads the shard and may answer for it.
        leads: bool,
        /// The state.
        phase: Option<MessagePhase>,
        /// The body, if it was wanted and is still kept.
        body: Option<Blob>,
    },
    /// Answers a heartbeat.
    Alive,
    /// The edge may start the delivery now.
    PermitGranted {
        /// The shard that counts the service.
        group: GroupId,
        /// The permit.
        permit: PermitNumber,
    },
}

/// What became of an append.
#[derive(Debug, Clone, PartialEq, SerBin, DeBin)]
pub enum AppendOutcome {
    /// It is durable on a quorum. The lease is set if it was wanted and the message may run now.
    Accepted {
        /// The lease, for the sender.
        lease: Option<GrantedLease>,
    },
    /// It was not appended and never will be: this store does not lead the shard, or has no room.
    Refused {
        /// When to come back, in milliseconds; 0: try the shard's new leader at once.
        retry_after_ms: u64,
    },
    /// The leader lost its office before the message was durable: it may be kept or not. Try again with the same id.
    Unknown,
}

/// A lease with all that a delivery needs.
#[derive(Debug, Clone, PartialEq, SerBin, DeBin)]
pub struct Grant {
    /// The lease.
    pub lease: GrantedLease,
    /// The message. Its `delay_ms` is 0; `retention_ms` is what is left.
    pub message: NewMessage,
}

/// How a delivery ended.
#[derive(Debug, Clone, PartialEq, SerBin, DeBin)]
pub enum DeliveryOutcome {
    /// A runner answered 2xx with its signature.
    Succeeded {
        /// `Response-Signature`.
        signature: String,
    },
    /// A runner answered 422.
    Rejected,
    /// A runner answered 500: counts as an attempt.
    Failed,
    /// It has not run: not sent, refused by the runner with `Not-Executed`, or no runner was free. `retry_after_ms` says
    /// when another try makes sense.
    NotRun {
        /// How long to wait before the next lease.
        retry_after_ms: u64,
    },
    /// It may have run: silence, reset, broken answer.
    Unclear,
    /// The configuration in force at the edge has no such route any more, and it has not run.
    RouteGone,
}

/// How a message ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, SerBin, DeBin)]
pub enum EndPhase {
    /// A runner answered with success.
    Succeeded,
    /// It will never run again.
    DeadLetter,
}

/// The state of a message.
#[derive(Debug, Clone, PartialEq, SerBin, DeBin)]
pub enum MessagePhase {
    /// It has not ended.
    Pending,
    /// It has ended.
    Ended {
        /// How.
        phase: EndPhase,
        /// `Response-Signature` of the successful run, else empty.
        signature: String,
    },
}
