//! A request from its head to its answer.

use std::rc::Rc;

use actix_http::{HttpMessage as _, Request, Response, StatusCode};
use bytes::Bytes;
use ruddervalve_broker::{Answer, LifecycleState, PendingRequest, SubmitError};

use super::Front;
use super::answer::response_for;
use super::connection::{ClientConnection, Phase};
use super::conversation::{Handled, Rejection};
use super::headers::forwarded_headers;
use crate::attempts::request::{ClientPresence, ForwardedRequest};

impl Front {
    /// Handles the request whose head has come.
    pub(super) async fn handle(
        &self,
        connection: &mut ClientConnection,
        request: Request,
    ) -> Result<Handled, Rejection> {
        let came_ms = self.clock.now();
        if request.path() == "/healthz" {
            self.read_body(connection, &request).await?;
            return Ok(Handled::Answer(self.health()));
        }
        let head = self.parse_head(&request)?;
        let body = self.read_body(connection, &request).await?;
        if self.requests_in_flight() >= self.max_connections.get() {
            // Guards against running out of descriptors: a dispatcher that can neither send nor accept would lose what
            // it took.
            self.counters.count("answers", "crowded");
            self.broker.count_refused(&head.facts.class);
            return Ok(Handled::Answer(self.refused_for_want_of_room()));
        }
        let forwarded = forwarded_request(&head.id, connection, &request, body);
        match self.broker.submit(came_ms, &head.id, head.facts, Rc::new(forwarded)) {
            Ok(pending) => Ok(self.wait_for_answer(connection, pending).await),
            Err(SubmitError::IdOpen) => Err(Rejection::Answered(StatusCode::CONFLICT, "x_txn_open")),
            Err(SubmitError::Drained) => {
                let wait_ms = self.crowded_retry_after_ms.get();
                Ok(Handled::Answer(response_for(Answer::Refused { wait_ms })))
            }
        }
    }

    async fn wait_for_answer(&self, connection: &mut ClientConnection, pending: PendingRequest) -> Handled {
        connection.enter(Phase::InFlight, self.clock.now());
        tokio::select! {
            biased;
            answer = pending.answer() => match answer {
                Some(answer) => Handled::Answer(response_for(answer)),
                None => Handled::ClientLeft,
            },
            () = connection.client_gone() => Handled::ClientLeft,
        }
    }

    fn health(&self) -> Response<Bytes> {
        let ready = self.broker.ready() && *self.broker.lifecycle().borrow() == LifecycleState::Serving;
        let status = if ready { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
        Response::with_body(status, Bytes::new())
    }

    fn requests_in_flight(&self) -> usize {
        self.connections.borrow().values().filter(|state| state.phase.get() == Phase::InFlight).count()
    }
}

/// The request as it goes on to a runner.
fn forwarded_request(
    id: &str,
    connection: &ClientConnection,
    request: &Request,
    body: Bytes,
) -> ForwardedRequest {
    ForwardedRequest {
        id: id.to_owned(),
        method: request.method().clone(),
        target: (request.uri().path_and_query()).map_or("/", |target| target.as_str()).to_owned(),
        headers: forwarded_headers(request.headers()),
        body,
        client: ClientPresence::on(&connection.stream),
    }
}
