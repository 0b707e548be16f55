//! What is sent, and what became of it.

use std::net::SocketAddr;

use bytes::Bytes;

use super::InstanceLoad;

/// One attempt to deliver a message.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Delivery {
    /// Where the runner listens.
    pub address: SocketAddr,
    /// The service that the runner belongs to. Addresses are used again by other services, connections are not.
    pub service: String,
    /// `Expected-Instance`: the `Uid` of the runner, where it is on a list.
    pub expected_instance: Option<String>,
    /// The method, as the client sent it.
    pub method: String,
    /// `Host`, as the client sent it.
    pub host: String,
    /// The path with its query, as the client sent it.
    pub path_and_query: String,
    /// `Content-Type`, empty where the client sent none.
    pub content_type: String,
    /// `Request-Id`.
    pub request_id: String,
    /// `Ordering-Key`.
    pub ordering_key: Option<String>,
    /// `Deadline-Ms`, in milliseconds. The attempt is given up that long, and a margin for the way there and back, after the
    /// request began to be sent; the time to open a connection is limited by itself and comes before.
    pub deadline_ms: u64,
    /// The body.
    pub body: Bytes,
    /// The most connections to this address, idle ones included.
    pub max_connections_here: usize,
}

/// What became of an attempt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DeliveryResult {
    /// The answer.
    pub answer: RunnerAnswer,
    /// `Instance-Load` of the answer.
    pub load: Option<InstanceLoad>,
    /// Whether a connection was opened for it, or was tried to.
    pub new_connection: bool,
    /// How long it took with opening a connection, in milliseconds.
    pub elapsed_ms: u64,
}

/// How a runner answered.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RunnerAnswer {
    /// A whole 2xx for this message, with the runner's signature.
    Succeeded {
        /// `Response-Signature`.
        signature: String,
    },
    /// 500: the attempt failed.
    Failed,
    /// 422: it can never be done.
    Rejected,
    /// It has certainly not run.
    NotRun {
        /// Why.
        reason: NotRunReason,
        /// `Retry-After` of the answer, in milliseconds.
        retry_after_ms: Option<u64>,
    },
    /// It may have run, or may still be running.
    Unclear {
        /// Why.
        reason: UnclearReason,
    },
}

/// Why a message has not run.
#[derive(Debug, displaydoc::Display, Clone, Copy, PartialEq, Eq)]
pub enum NotRunReason {
    /// runner is full (503): take another, or come back later
    Full503,
    /// service gets too many messages (429): send fewer a second
    TooMany429,
    /// another runner has this address (421): take the one that was meant off the list
    WrongInstance421,
    /// message is running elsewhere (409): come back later
    Conflict409,
    /// runner found no request id (400): send one
    BadRequest400,
    /// runner did not execute it and answered {status}: come back later
    NotExecuted {
        /// The status.
        status: u16,
    },
    /// no connection came up, or it broke before anything was sent: take another runner
    ConnectFailed,
    /// all connections allowed to this address are busy: come back when one is free
    NoConnection,
    /// message cannot be sent over HTTP: drop it, as no attempt can succeed
    Unsendable,
}

impl std::error::Error for NotRunReason {}

/// Why it is not known whether a message ran.
#[derive(Debug, displaydoc::Display, Clone, Copy, PartialEq, Eq)]
pub enum UnclearReason {
    /// no whole answer came in time
    Timeout,
    /// connection was reset
    Reset,
    /// connection was closed without a whole answer
    Closed,
    /// answer is broken, cut short, or belongs to another message
    Garbled,
    /// answer has the status {0}, which says nothing about the run
    UnexpectedStatus(u16),
}

impl std::error::Error for UnclearReason {}

/// What became of a call-back.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallbackResult {
    /// The receiver took it (200).
    Taken,
    /// The receiver answered otherwise.
    Refused(u16),
    /// No whole answer came, or no connection was free.
    Failed,
}

/// What a runner said about its health.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct HealthResult {
    /// The status of a whole answer; none where there was no such answer in time.
    pub status: Option<u16>,
    /// `Instance-Id`.
    pub instance_id: Option<String>,
    /// `Instance-Load`.
    pub load: Option<InstanceLoad>,
}
