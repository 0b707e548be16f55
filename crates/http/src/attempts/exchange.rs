//! One attempt: a request, its stream, one outcome.

use std::net::SocketAddr;
use std::time::Duration;

use awc::error::{ConnectError, SendRequestError};
use awc::http::StatusCode;
use awc::{ClientRequest, ClientResponse};
use bytes::{Bytes, BytesMut};
use futures_util::StreamExt as _;
use ruddervalve::{LoadReport, Outcome};
use ruddervalve_broker::Attempt;

use super::Attempts;
use super::connection::RunnerConnection;
use super::request::ForwardedRequest;
use super::stream::{StreamEvent, next_line, read_line};
use crate::load_report::{header_load, turned_away};

/// The longest line of a stream that is read, in bytes: a result fills a body at most, and escapes may double it.
const MAX_LINE_BYTES: usize = 256 << 10;
/// After its last line a stream ends at once; one that does not loses its connection.
const STREAM_END_TIMEOUT: Duration = Duration::from_secs(1);
/// How much the newest attempt counts in the share of attempts that broke.
const BREAK_RATE_WEIGHT: f64 = 1.0 / 16.0;

/// How an attempt ended.
pub(super) struct AttemptEnd {
    pub(super) outcome: Outcome,
    pub(super) result: Option<Bytes>,
    pub(super) load: Option<LoadReport>,
}

impl From<Outcome> for AttemptEnd {
    fn from(outcome: Outcome) -> Self {
        Self { outcome, result: None, load: None }
    }
}

impl Attempts {
    /// Sends an attempt, reads its stream, and reports its one outcome.
    pub(super) async fn run(
        &self,
        attempt: Attempt,
        address: SocketAddr,
        forwarded: &ForwardedRequest,
        connection: RunnerConnection,
    ) {
        let mut unread_stream = None;
        let wait = self.clock.until(attempt.deadline_ms);
        let exchange = self.exchange(&attempt, address, forwarded, &connection, &mut unread_stream);
        let end = tokio::time::timeout(wait, exchange).await;
        let AttemptEnd { outcome, result, load } = end.unwrap_or_else(|_| Outcome::TimedOut.into());
        // Whoever takes the attempt off the table tells its outcome.
        if self.in_flight.borrow_mut().remove(&attempt.id).is_none() {
            return;
        }
        self.broker.attempt_ended(attempt.id, outcome, result, load);
        // Only a stream read to its end, with nothing behind its last line, gives its connection back.
        let Some(mut stream) = unread_stream else { return };
        if let Ok(None) = tokio::time::timeout(STREAM_END_TIMEOUT, stream.next()).await {
            self.release(address, connection);
        }
    }

    /// `unread_stream` gets the response if its connection may be used again once its end has been read.
    async fn exchange(
        &self,
        attempt: &Attempt,
        address: SocketAddr,
        forwarded: &ForwardedRequest,
        connection: &RunnerConnection,
        unread_stream: &mut Option<ClientResponse>,
    ) -> AttemptEnd {
        let request = self.request(attempt, address, forwarded, connection);
        let connections_made = connection.made.get();
        connection.outgoing.begin(Some(attempt));
        let sent = request.send_body(forwarded.body.clone()).await;
        let kept = connections_made > 0 && connection.made.get() == connections_made;
        if kept {
            self.record_break(sent.is_err());
        }
        match sent {
            Ok(response) if response.status() == StatusCode::OK => {
                self.read_stream(attempt, &forwarded.id, response, unread_stream).await
            }
            Ok(response) => {
                let end = failure_of(&response);
                *unread_stream = Some(response);
                end
            }
            // Held back here: nothing is told of the runner, and nothing ran.
            Err(_) if connection.outgoing.withheld.get() => Outcome::Skipped.into(),
            Err(error) => outcome_of(&error, kept).into(),
        }
    }

    fn request(
        &self,
        attempt: &Attempt,
        address: SocketAddr,
        forwarded: &ForwardedRequest,
        connection: &RunnerConnection,
    ) -> ClientRequest {
        let url = format!("http://{address}{}", forwarded.target);
        let mut request = connection.http_client.request(forwarded.method.clone(), url).address(address);
        *request.headers_mut() = forwarded.headers.clone();
        let remaining_ms = (attempt.deadline_ms - self.clock.now()).max(0.0) as u64;
        request.insert_header(("x-remaining-ms", remaining_ms))
    }

    /// An attempt on a kept connection has broken, or has not.
    fn record_break(&self, broke: bool) {
        let broke = f64::from(u8::from(broke));
        let rate = self.break_rate.get();
        self.break_rate.set(rate + (broke - rate) * BREAK_RATE_WEIGHT);
    }

    /// Reads a runner's stream up to the line that ends the attempt.
    async fn read_stream(
        &self,
        attempt: &Attempt,
        id: &str,
        mut response: ClientResponse,
        unread_stream: &mut Option<ClientResponse>,
    ) -> AttemptEnd {
        let (mut lines, mut all_readable) = (BytesMut::new(), true);
        while let Some(Ok(bytes)) = response.next().await {
            lines.extend_from_slice(&bytes);
            while let Some(line) = next_line(&mut lines) {
                match read_line(&line, id, &attempt.runner) {
                    StreamEvent::Started => self.broker.attempt_started(attempt.id),
                    StreamEvent::Progress(done) => self.broker.attempt_progressed(attempt.id, done),
                    StreamEvent::End(end) => {
                        *unread_stream = (all_readable && lines.is_empty()).then_some(response);
                        return end;
                    }
                    StreamEvent::Empty => {}
                    // The request's own last line may still come; a connection so confused is not used again.
                    StreamEvent::Unreadable => {
                        all_readable = false;
                        self.count_unreadable_line(attempt);
                    }
                }
            }
            if lines.len() > MAX_LINE_BYTES {
                break;
            }
        }
        // Broken or ended before its last line: the request may have run.
        Outcome::Reset.into()
    }

    fn count_unreadable_line(&self, attempt: &Attempt) {
        self.counters.count("claims", "lines_not_read");
        let line = format_args!("{}: a line that is torn, garbled or of another job", attempt.runner);
        self.counters.log(self.clock.now(), line);
    }
}

/// What an answer that is no stream says.
fn failure_of(response: &ClientResponse) -> AttemptEnd {
    let outcome = match response.status().as_u16() {
        503 | 504 if turned_away(response) => Outcome::Full,
        // Guards runners against requests that no runner can use: those are no failures of theirs.
        400..=499 => Outcome::Unusable,
        _ => Outcome::Error,
    };
    AttemptEnd { outcome, result: None, load: header_load(response) }
}

/// What a failed sending says of the request. It never ran only if its last byte surely was not written: no connection
/// came up, or a write failed. A connection that ended before the answer is reported among the connect errors, too, but
/// then the request had been written. On a kept connection none of this says anything of the runner: it may have closed
/// it long before.
pub(crate) fn outcome_of(error: &SendRequestError, kept: bool) -> Outcome {
    use actix_http::error::ParseError;
    match error {
        SendRequestError::Send(_) if kept => Outcome::Skipped,
        SendRequestError::Connect(ConnectError::Disconnected)
        | SendRequestError::Response(ParseError::Io(_) | ParseError::Incomplete)
            if kept =>
        {
            Outcome::Broken
        }
        SendRequestError::Connect(ConnectError::Disconnected) => Outcome::Reset,
        SendRequestError::Connect(_) | SendRequestError::Send(_) | SendRequestError::Url(_) => {
            Outcome::ConnectFailed
        }
        _ => Outcome::Reset,
    }
}
