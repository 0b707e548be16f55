//! hyper's side of a connection: sends a request, and is driven by whoever waits for the answer.

use std::cell::Cell;
use std::future::{Future, poll_fn};
use std::pin::{Pin, pin};
use std::task::{Context, Poll};

use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::{Request, Response, body::Incoming};
use hyper_util::rt::TokioIo;
use tokio::time::Sleep;

use super::connection_io::ConnectionIo;
use super::stream::Socket;

/// Looks at an exchange whose time is over that bring nothing new before it is given up: what the first hands over between
/// connection and request is seen by the second.
const LAST_LOOKS: u32 = 2;

type Connection = http1::Connection<TokioIo<ConnectionIo>, Full<Bytes>>;

/// The time limit has passed.
pub(super) struct TimedOut;

/// A hyper connection.
pub(super) struct HttpConnection {
    sender: SendRequest<Full<Bytes>>,
    /// Gone once it has ended.
    connection: Option<Connection>,
    /// Bytes behind the newest answer that had been read when the connection ended.
    unread: Bytes,
}

impl HttpConnection {
    /// On a socket, from its beginning or resumed.
    pub(super) async fn new(io: ConnectionIo) -> hyper::Result<Self> {
        let mut builder = http1::Builder::new();
        let (sender, connection) = builder.title_case_headers(true).handshake(TokioIo::new(io)).await?;
        Ok(Self { sender, connection: Some(connection), unread: Bytes::new() })
    }

    /// Whether it has not ended, as far as it was driven.
    pub(super) fn is_open(&self) -> bool {
        self.connection.is_some()
    }

    /// Sends a request. The answer comes while the connection is driven.
    pub(super) fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> impl Future<Output = hyper::Result<Response<Incoming>>> + use<> {
        self.sender.send_request(request)
    }

    /// Waits for `future` while the connection works.
    ///
    /// When the limit is reached, what the system has received until then still counts: a process that was held up finds
    /// the answer and the end of its time in the same turn, and an answer in pieces takes several steps between connection
    /// and `future`. So the exchange goes on until it comes no further.
    pub(super) async fn drive<T>(
        &mut self,
        mut limit: Pin<&mut Sleep>,
        progress: &Progress<'_>,
        future: impl Future<Output = T>,
    ) -> Result<T, TimedOut> {
        let mut future = pin!(future);
        poll_fn(|context| {
            let mut fruitless_looks = 0;
            loop {
                let before = progress.now();
                self.work(context);
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

    /// Whether the next request could be sent at once.
    pub(super) async fn is_ready(&mut self) -> bool {
        poll_fn(|context| {
            self.work(context);
            let ready = matches!(self.sender.poll_ready(context), Poll::Ready(Ok(())));
            Poll::Ready(ready && self.is_open())
        })
        .await
    }

    /// Ends the connection, but not its socket: what had been read behind the newest answer.
    pub(super) fn take_unread(&mut self) -> Bytes {
        self.take_apart();
        std::mem::take(&mut self.unread)
    }

    /// Drives the connection. One that has ended is taken apart at once: that tells whoever waits for an answer.
    fn work(&mut self, context: &mut Context<'_>) {
        if let Some(connection) = &mut self.connection
            && Pin::new(connection).poll(context).is_ready()
        {
            self.take_apart();
        }
    }

    fn take_apart(&mut self) {
        if let Some(connection) = self.connection.take() {
            self.unread = connection.into_parts().read_buf;
        }
    }
}

/// How far an exchange has come: bytes that were read from the socket, and frames of the body that were taken.
pub(super) struct Progress<'socket> {
    socket: &'socket Socket,
    frames: Cell<u64>,
}

impl<'socket> Progress<'socket> {
    /// Of an exchange that begins.
    pub(super) fn of(socket: &'socket Socket) -> Self {
        Self { socket, frames: Cell::new(0) }
    }

    /// A frame was taken.
    pub(super) fn took_frame(&self) {
        self.frames.set(self.frames.get().wrapping_add(1));
    }

    fn now(&self) -> (u64, u64) {
        (self.socket.bytes_read(), self.frames.get())
    }
}
