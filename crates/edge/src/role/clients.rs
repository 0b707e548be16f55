//! From the front's requests to the role's events, and back.

use std::cell::Cell;

use tokio::sync::{mpsc, oneshot};

use super::Event;
use crate::core::ClientNumber;
use crate::front::{FrontRequest, FrontResponse, Handler, StatusCode};

/// Hands clients' requests to the role.
pub(super) struct Clients {
    events: mpsc::UnboundedSender<Event>,
    last: Cell<u64>,
}

impl Clients {
    /// Numbers requests from 1 on and hands them to `events`.
    pub(super) fn new(events: mpsc::UnboundedSender<Event>) -> Self {
        Self { events, last: Cell::new(0) }
    }
}

/// Tells the role that a client left, unless it was answered.
struct Waiting<'a> {
    clients: &'a Clients,
    client: ClientNumber,
    answered: bool,
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        if !self.answered {
            let _ = self.clients.events.send(Event::ClientLeft(self.client));
        }
    }
}

impl Handler for Clients {
    async fn handle(&self, request: FrontRequest) -> FrontResponse {
        self.last.set(self.last.get() + 1);
        let client = ClientNumber(self.last.get());
        let (reply, answer) = oneshot::channel();
        let _ = self.events.send(Event::Request(client, Box::new(request), reply));
        let mut waiting = Waiting { clients: self, client, answered: false };
        let answer = answer.await;
        waiting.answered = true;
        // Without an answer nobody knows what became of the request.
        answer.unwrap_or_else(|_| FrontResponse::new(StatusCode::GATEWAY_TIMEOUT).closing())
    }
}
