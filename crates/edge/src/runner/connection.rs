//! One connection to a runner, driven by whoever waits for an answer on it.

use std::cell::Cell;
use std::error::Error as _;
use std::future::{Future, poll_fn};
use std::io;
use std::pin::{Pin, pin};
use std::task::Poll;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt as _, Full};
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::time::{Instant, Sleep};

use super::UnclearReason;
use super::carried::Carried;
use super::exchange::{Exchanged, framing_is_certain, keep_alive_ms};
use super::stream::Socket;

/// Looks at an exchange whose time is over that bring nothing new before it is given up: what the first hands over between
/// connection and request is seen by the second.
const LAST_LOOKS: u32 = 2;

type Driver = http1::Connection<TokioIo<Socket>, Full<Bytes>>;

/// Why there is no head of an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ExchangeError {
    /// Not one byte of the request was given to the system.
    NotWritten,
    /// It may have arrived.
    Unclear(UnclearReason),
}

/// The time limit has passed.
struct TimedOut;

/// A connection.
pub(super) struct RunnerConnection {
    socket: Socket,
    sender: SendRequest<Full<Bytes>>,
    /// Gone once hyper has ended the connection.
    driver: Option<Driver>,
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
        let io = TokioIo::new(socket.clone());
        let (sender, driver) = http1::Builder::new().title_case_headers(true).handshake(io).await?;
        Ok(Self {
            socket,
            sender,
            driver: Some(driver),
            carried: Carried::default(),
            idle_since: Instant::now(),
            idle_before: Duration::ZERO,
        })
    }

    /// Whether an idle connection can be used: it is open, and nothing has come on it.
    pub(super) fn is_usable(&self) -> bool {
        self.driver.is_some() && self.socket.is_quiet()
    }

    /// Whether a message was sent on this connection before.
    pub(super) fn has_carried(&self, request_id: &str) -> bool {
        self.carried.contains(request_id)
    }

    /// A message is to be sent on this connection.
    pub(super) fn note_carried(&mut self, request_id: &str) {
        self.carried.note(request_id);
    }

    /// Logs that an answer came which names another message than the one that was sent.
    pub(super) fn log_answer_to_another(&self, request_id: &str, answered: &str) {
        tracing::warn!(
            message = request_id,
            answered,
            messages_since = self.carried.sent_since(answered),
            idle_ms = self.idle_before.as_millis(),
            "an answer belongs to another message"
        );
    }

    /// Sends a request and reads the answer with its body, of which no more than `most` bytes. The connection must be
    /// dropped afterwards unless the answer says that it can be kept.
    pub(super) async fn exchange(
        &mut self,
        request: Request<Full<Bytes>>,
        most: usize,
        mut limit: Pin<&mut Sleep>,
    ) -> Result<Exchanged, ExchangeError> {
        self.idle_before = self.idle_since.elapsed();
        self.socket.nothing_written();
        let response = self.sender.send_request(request);
        let progress = Progress::of(&self.socket);
        let response = match drive(&mut self.driver, limit.as_mut(), &progress, response).await {
            Ok(Ok(response)) => response,
            Ok(Err(error)) => return Err(self.failure(reason_of(&error))),
            Err(TimedOut) => return Err(self.failure(UnclearReason::Timeout)),
        };
        let (parts, body) = Response::into_parts(response);
        let body = drive(&mut self.driver, limit, &progress, read_away(body, most, &progress)).await;
        let body = body.unwrap_or(Err(UnclearReason::Timeout));
        let reusable = body.is_ok() && self.is_ready().await;
        self.idle_since = Instant::now();
        Ok(Exchanged {
            status: parts.status,
            framing_certain: framing_is_certain(parts.status, &parts.headers),
            keep_alive_ms: keep_alive_ms(&parts.headers),
            headers: parts.headers,
            body,
            reusable,
        })
    }

    fn failure(&self, reason: UnclearReason) -> ExchangeError {
        if self.socket.was_written() { ExchangeError::Unclear(reason) } else { ExchangeError::NotWritten }
    }

    /// Whether the next request could be sent at once.
    async fn is_ready(&mut self) -> bool {
        poll_fn(|context| {
            if let Some(driver) = &mut self.driver
                && Pin::new(driver).poll(context).is_ready()
            {
                self.driver = None;
            }
            let ready = matches!(self.sender.poll_ready(context), Poll::Ready(Ok(())));
            Poll::Ready(ready && self.driver.is_some())
        })
        .await
    }
}

/// How far an exchange has come: bytes that were read from the socket, and frames of the body that were taken.
struct Progress<'socket> {
    socket: &'socket Socket,
    frames: Cell<u64>,
}

impl<'socket> Progress<'socket> {
    fn of(socket: &'socket Socket) -> Self {
        Self { socket, frames: Cell::new(0) }
    }

    fn took_frame(&self) {
        self.frames.set(self.frames.get().wrapping_add(1));
    }

    fn now(&self) -> (u64, u64) {
        (self.socket.bytes_read(), self.frames.get())
    }
}

/// Waits for `future` while the connection works. A connection that has ended is dropped at once: that tells `future`.
///
/// When the limit is reached, what the system has received until then still counts: a process that was held up finds the
/// answer and the end of its time in the same turn, and an answer in pieces takes several steps between connection and
/// `future`. So the exchange goes on until it comes no further.
async fn drive<T>(
    driver: &mut Option<Driver>,
    mut limit: Pin<&mut Sleep>,
    progress: &Progress<'_>,
    future: impl Future<Output = T>,
) -> Result<T, TimedOut> {
    let mut future = pin!(future);
    poll_fn(|context| {
        let mut fruitless_looks = 0;
        loop {
            let before = progress.now();
            if let Some(connection) = driver
                && Pin::new(connection).poll(context).is_ready()
            {
                *driver = None;
            }
            if let Poll::Ready(output) = future.as_mut().poll(context) {
                return Poll::Ready(Ok(output));
            }
            if limit.as_mut().poll(context).is_pending() {
                return Poll::Pending;
            }
            fruitless_looks = if progress.now() == before { fruitless_looks + 1 } else { 0 };
            if fruitless_looks == LAST_LOOKS {
                return Poll::Ready(Err(TimedOut));
            }
        }
    })
    .await
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
