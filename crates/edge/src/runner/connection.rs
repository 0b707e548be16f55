//! One connection to a runner, driven by whoever waits for an answer on it.

use std::error::Error as _;
use std::io;
use std::pin::Pin;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt as _, Full};
use hyper::body::Incoming;
use hyper::{Method, Request, Response};
use tokio::net::TcpStream;
use tokio::time::{Instant, Sleep};

use super::UnclearReason;
use super::answer::only_message;
use super::carried::Carried;
use super::connection_io::ConnectionIo;
use super::exchange::{Exchanged, framing_is_certain, keep_alive_ms};
use super::http::{HttpConnection, Progress, TimedOut};
use super::stream::Socket;

/// Why there is no head of an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ExchangeError {
    /// Not one byte of the request was given to the system.
    NotWritten,
    /// It may have arrived.
    Unclear(UnclearReason),
}

/// What an exchange sends, and the bounds of its answer.
pub(super) struct Exchange<'exchange> {
    /// The request.
    pub(super) request: Request<Full<Bytes>>,
    /// The id of the message, which its answer repeats; none where requests have none.
    pub(super) request_id: Option<&'exchange str>,
    /// The longest body that is read, in bytes.
    pub(super) most: usize,
}

/// A connection.
pub(super) struct RunnerConnection {
    socket: Socket,
    http: HttpConnection,
    carried: Carried,
    /// When the connection came up, or its newest exchange ended.
    idle_since: Instant,
    /// How long it had been idle before the newest exchange.
    idle_before: Duration,
}

impl RunnerConnection {
    /// On a socket that has just come up.
    pub(super) async fn new(stream: TcpStream) -> hyper::Result<Self> {
        let socket = Socket::new(stream);
        let http = HttpConnection::new(ConnectionIo::new(socket.clone())).await?;
        Ok(Self {
            socket,
            http,
            carried: Carried::default(),
            idle_since: Instant::now(),
            idle_before: Duration::ZERO,
        })
    }

    /// Whether an idle connection can be used: it is open, and nothing has come on it.
    pub(super) fn is_usable(&self) -> bool {
        self.http.is_open() && self.socket.is_quiet()
    }

    /// Whether a message was sent on this connection before.
    pub(super) fn has_carried(&self, request_id: &str) -> bool {
        self.carried.contains(request_id)
    }

    /// Sends a request and reads its answer with the body. The connection must be dropped afterwards unless the answer
    /// says that it can be kept.
    ///
    /// A runner in trouble may send a second answer to an earlier message, however much later, and before the answer to
    /// this one. Such an answer is passed over.
    pub(super) async fn exchange(
        &mut self,
        exchange: Exchange<'_>,
        mut limit: Pin<&mut Sleep>,
    ) -> Result<Exchanged, ExchangeError> {
        let Exchange { mut request, request_id, most } = exchange;
        let method = request.method().clone();
        self.idle_before = self.idle_since.elapsed();
        if let Some(request_id) = request_id {
            self.carried.note(request_id);
        }
        self.socket.nothing_written();
        let mut passed_over = false;
        loop {
            let mut answer = self.answer(request, most, limit.as_mut()).await?;
            answer.behind_another = passed_over;
            let earlier = request_id.and_then(|request_id| self.earlier_message(&answer, request_id));
            let Some(earlier) = earlier else {
                answer.reusable &= !passed_over;
                self.idle_since = Instant::now();
                return Ok(answer);
            };
            // A message has one second answer.
            self.carried.forget(&earlier);
            self.resume().await?;
            request = placeholder(&method);
            passed_over = true;
        }
    }

    /// Sends a request and reads the next answer, whichever message it is for.
    async fn answer(
        &mut self,
        request: Request<Full<Bytes>>,
        most: usize,
        mut limit: Pin<&mut Sleep>,
    ) -> Result<Exchanged, ExchangeError> {
        let response = self.http.send(request);
        let progress = Progress::of(&self.socket);
        let response = match self.http.drive(limit.as_mut(), &progress, response).await {
            Ok(Ok(response)) => response,
            Ok(Err(error)) => return Err(self.failure(reason_of(&error))),
            Err(TimedOut) => return Err(self.failure(UnclearReason::Timeout)),
        };
        let (parts, body) = Response::into_parts(response);
        let body = self.http.drive(limit, &progress, read_away(body, most, &progress)).await;
        let body = body.unwrap_or(Err(UnclearReason::Timeout));
        let reusable = body.is_ok() && self.http.is_ready().await;
        Ok(Exchanged {
            status: parts.status,
            framing_certain: framing_is_certain(parts.status, &parts.headers),
            keep_alive_ms: keep_alive_ms(&parts.headers),
            headers: parts.headers,
            body,
            behind_another: false,
            reusable,
        })
    }

    /// The message that this connection carried before, if an answer is whole and belongs to it. The request must have been
    /// sent whole, too: hyper, which would send the rest, ends here.
    fn earlier_message(&self, answer: &Exchanged, request_id: &str) -> Option<String> {
        let other = only_message(&answer.headers).filter(|named| *named != request_id)?;
        let messages_since = self.carried.sent_since(other);
        let was_sent = answer.reusable || !self.http.is_open();
        let passed_over = messages_since.is_some() && answer.is_whole() && was_sent;
        tracing::warn!(
            message = request_id,
            answered = other,
            passed_over,
            ?messages_since,
            idle_ms = self.idle_before.as_millis(),
            "an answer belongs to another message"
        );
        passed_over.then(|| other.to_owned())
    }

    /// Reads on behind the newest answer.
    async fn resume(&mut self) -> Result<(), ExchangeError> {
        let unclear = ExchangeError::Unclear(UnclearReason::Closed);
        let io = ConnectionIo::resumed(self.socket.clone(), self.http.take_unread());
        self.http = HttpConnection::new(io).await.map_err(|_| unclear)?;
        Ok(())
    }

    fn failure(&self, reason: UnclearReason) -> ExchangeError {
        if self.socket.was_written() { ExchangeError::Unclear(reason) } else { ExchangeError::NotWritten }
    }
}

/// What a resumed connection discards: of a request, only the method decides how its answer is read.
fn placeholder(method: &Method) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::default());
    method.clone_into(request.method_mut());
    request
}

/// Reads a body to its end and drops it.
async fn read_away(mut body: Incoming, most: usize, progress: &Progress<'_>) -> Result<(), UnclearReason> {
    let mut length = 0;
    while let Some(frame) = body.frame().await {
        progress.took_frame();
        let frame = frame.map_err(|error| reason_of(&error))?;
        length += frame.data_ref().map_or(0, Bytes::len);
        if length > most {
            return Err(UnclearReason::Garbled);
        }
    }
    Ok(())
}

fn reason_of(error: &hyper::Error) -> UnclearReason {
    if error.is_parse() {
        return UnclearReason::Garbled;
    }
    let mut source = error.source();
    while let Some(cause) = source {
        if let Some(failure) = cause.downcast_ref::<io::Error>() {
            return reason_of_io(failure);
        }
        source = cause.source();
    }
    UnclearReason::Closed
}

fn reason_of_io(failure: &io::Error) -> UnclearReason {
    match failure.kind() {
        io::ErrorKind::ConnectionReset | io::ErrorKind::BrokenPipe | io::ErrorKind::ConnectionAborted => {
            UnclearReason::Reset
        }
        io::ErrorKind::TimedOut => UnclearReason::Timeout,
        io::ErrorKind::InvalidInput | io::ErrorKind::InvalidData => UnclearReason::Garbled,
        _ => UnclearReason::Closed,
    }
}
