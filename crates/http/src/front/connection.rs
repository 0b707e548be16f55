//! A client's connection, as the others see it and as its own task does.

use std::cell::Cell;
use std::io;
use std::rc::Rc;

use actix_http::Response;
use actix_http::body::MessageBody as _;
use actix_http::h1::{Codec, Message};
use bytes::{Bytes, BytesMut};
use futures_util::FutureExt as _;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::task::coop::consume_budget;
use tokio_util::codec::Encoder as _;

use super::read::MAX_HEAD_BYTES;

/// Bytes that are read at once.
const READ_CHUNK_BYTES: usize = 4 << 10;

/// What a connection is busy with, in the order in which connections are evicted where too many are held. Its own task
/// alone moves it on, but for [`ConnectionState::evict`]; it ends in one way, `Front::linger`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Phase {
    /// Nothing has come.
    AwaitingFirstByte,
    /// A part of a head has come.
    ReadingHead,
    /// Idle between requests.
    Idle,
    /// A head has come, its body has not.
    ReadingBody,
    /// A request is with the broker: never evicted.
    InFlight,
    /// It is to make room. Its task has not looked at it since: should a request have come just then, it goes on.
    Evicted,
    /// Nothing is sent any more nor taken for a request, only the other side's end is waited for.
    Lingering,
}

/// A client's connection as the others see it.
pub(super) struct ConnectionState {
    pub(super) phase: Cell<Phase>,
    /// Since when.
    pub(super) since_ms: Cell<f64>,
    /// Tells its task that it is to make room.
    pub(super) evicted: Notify,
}

impl ConnectionState {
    pub(super) fn held(&self) -> bool {
        self.phase.get() < Phase::Evicted
    }

    /// It is to make room; one that is ending already waits no longer.
    pub(super) fn evict(&self) {
        if self.held() {
            self.phase.set(Phase::Evicted);
        }
        self.evicted.notify_one();
    }
}

/// A client's connection as its task sees it.
pub(super) struct ClientConnection {
    pub(super) stream: Rc<TcpStream>,
    pub(super) codec: Codec,
    pub(super) read_buffer: BytesMut,
    pub(super) state: Rc<ConnectionState>,
    /// When it came up.
    pub(super) opened_ms: f64,
    /// When the next piece of the request that is being read must have come.
    pub(super) next_piece_due_ms: f64,
    /// When it must be whole.
    pub(super) request_due_ms: f64,
    /// More came behind a request than is kept, and was dropped: its answer is the last one here.
    pub(super) overrun: bool,
}

impl ClientConnection {
    pub(super) fn enter(&self, phase: Phase, now_ms: f64) {
        if self.state.phase.replace(phase) == Phase::Evicted {
            // It has looked: it goes on, or ends as it was to.
            let _ = self.state.evicted.notified().now_or_never();
        }
        self.state.since_ms.set(now_ms);
    }

    /// Waits for what comes next. Given up, it has taken nothing.
    pub(super) async fn read(&mut self) -> io::Result<usize> {
        // A client that sends at full speed must not keep the thread.
        consume_budget().await;
        loop {
            self.stream.readable().await?;
            match self.read_now() {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                read => return read,
            }
        }
    }

    /// What is there to read without waiting.
    pub(super) fn read_now(&mut self) -> io::Result<usize> {
        self.read_buffer.reserve(READ_CHUNK_BYTES);
        self.stream.try_read_buf(&mut self.read_buffer)
    }

    /// Waits until the client has left; one that ends its sending has left, too. What it sends meanwhile is kept for
    /// later, up to a bound: beyond it all is dropped, and read on, so that its end is seen whatever comes before.
    pub(super) async fn client_gone(&mut self) {
        while matches!(self.read().await, Ok(1..)) {
            if self.read_buffer.len() > MAX_HEAD_BYTES {
                self.overrun = true;
            }
            if self.overrun {
                self.read_buffer.clear();
            }
        }
    }

    pub(super) async fn write(&mut self, response: Response<Bytes>) -> io::Result<()> {
        let (response, body) = response.into_parts();
        let mut write_buffer = BytesMut::new();
        self.codec.encode(Message::Item((response, body.size())), &mut write_buffer)?;
        if !body.is_empty() {
            self.codec.encode(Message::Chunk(Some(body)), &mut write_buffer)?;
            self.codec.encode(Message::Chunk(None), &mut write_buffer)?;
        }
        self.write_all(&write_buffer).await
    }

    pub(super) async fn write_all(&self, mut bytes: &[u8]) -> io::Result<()> {
        while !bytes.is_empty() {
            self.stream.writable().await?;
            match self.stream.try_write(bytes) {
                Ok(0) => return Err(io::ErrorKind::WriteZero.into()),
                Ok(written) => bytes = &bytes[written..],
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(error) => return Err(error),
            }
        }
        Ok(())
    }
}
