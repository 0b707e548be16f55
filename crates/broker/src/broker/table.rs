//! The table of open requests.

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

use ruddervalve::Facade;
use tokio::sync::oneshot;

use super::orders::{Order, Payload};
use super::pool::{Pool, RunnerPool};
use super::requests::{Answer, AnswerSender};

/// Who waits for a request's final answer.
pub(super) enum ReplyTo {
    One(oneshot::Sender<Answer>),
    Many(AnswerSender),
}

/// A request that has no final answer yet.
pub(super) struct OpenRequest {
    pub(super) id: Rc<str>,
    pub(super) class: String,
    pub(super) payload: Payload,
    pub(super) deadline_ms: f64,
    pub(super) reply_to: ReplyTo,
    /// A part of the result is with the client: no other attempt can be made for the request.
    pub(super) streaming: bool,
    /// Its last attempt showed that the runner cannot use it.
    pub(super) unusable: bool,
    /// A kept connection has failed it: its next attempt goes by a new one.
    pub(super) new_connection: bool,
}

impl OpenRequest {
    pub(super) fn new(
        id: Rc<str>,
        class: String,
        payload: Payload,
        deadline_ms: f64,
        reply_to: ReplyTo,
    ) -> Self {
        let (streaming, unusable, new_connection) = (false, false, false);
        Self { id, class, payload, deadline_ms, reply_to, streaming, unusable, new_connection }
    }
}

/// The open requests and the pools that serve them.
pub(super) struct Table {
    /// By number; the platform's is the first.
    pub(super) pools: Vec<RunnerPool>,
    pub(super) requests: BTreeMap<u64, OpenRequest>,
    /// How many of them are the platform's.
    pub(super) platform_requests: usize,
    /// The clients' ids of the requests that are open, by pool.
    pub(super) ids: BTreeSet<(Pool, Rc<str>)>,
    pub(super) next_request: u64,
}

impl Table {
    /// Puts a request on the table; its number.
    pub(super) fn open(&mut self, pool: Pool, open: OpenRequest) -> u64 {
        let request = pool.request_number(self.next_request);
        self.next_request += 1;
        self.platform_requests += usize::from(pool == Pool::PLATFORM);
        self.requests.insert(request, open);
        request
    }

    /// Takes a request off the table.
    pub(super) fn close(&mut self, request: u64) -> Option<OpenRequest> {
        let open = self.requests.remove(&request)?;
        let pool = Pool::of(request);
        self.ids.remove(&(pool, open.id.clone()));
        self.platform_requests -= usize::from(pool == Pool::PLATFORM);
        Some(open)
    }

    pub(super) fn facade(&mut self, pool: Pool) -> &mut Facade {
        &mut self.pools[pool.0].facade
    }

    pub(super) fn order(&self, pool: Pool, order: Order) {
        // The receiver lives as long as the program.
        let _ = self.pools[pool.0].orders.send(order);
    }

    pub(super) fn platform(&self) -> &RunnerPool {
        &self.pools[Pool::PLATFORM.0]
    }
}
