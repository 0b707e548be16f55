//! The socket to a runner, which holds back the last byte of what must not run twice.

use std::cell::{Cell, RefCell};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::Duration;
use std::{fmt, io};

use actix_rt::net::{ActixStream, Ready};
use ruddervalve_broker::{Attempt, Broker, Counters, duration_from_ms};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::Sleep;

use super::request::may_go;

/// A request that must not run twice is sent but for its last byte, which follows so much later: longer than the way to
/// a runner and back, and nothing beside the run of such a request. At least so long, as a runner may be slow to say
/// that it ended.
const LAST_BYTE_DELAY: Duration = Duration::from_millis(15);
/// And at least so many times the time that its connection took to come up, which is the way there and back.
const LAST_BYTE_ROUND_TRIPS: f64 = 1.5;

/// What is about to go out to a runner, as the connection and its socket both see it.
pub(super) struct Outgoing {
    pub(super) broker: Rc<Broker>,
    /// The attempt, which counts as one once it is whole; none: a probe.
    pub(super) attempt: RefCell<Option<Attempt>>,
    /// The next bytes written begin a request that must not run twice.
    pub(super) hold_last_byte: Cell<bool>,
    /// The attempt was not sent, or not whole: it was too late for it when its turn came.
    pub(super) withheld: Cell<bool>,
}

impl Outgoing {
    /// What goes out next; what was known of the one before is forgotten.
    pub(super) fn begin(&self, attempt: Option<&Attempt>) {
        self.hold_last_byte.set(attempt.is_some_and(|attempt| attempt.run_once));
        self.attempt.replace(attempt.cloned());
        self.withheld.set(false);
    }

    /// Whether it may go out, now that a connection is there or the last byte's turn has come.
    pub(super) fn may_go(&self, one_way_ms: f64) -> bool {
        let attempt = self.attempt.borrow();
        let may = attempt.as_ref().is_none_or(|attempt| may_go(&self.broker, attempt, one_way_ms));
        self.withheld.set(!may);
        may
    }
}

/// A connection to a runner. Before the last byte of a request that must not run twice it waits a little, and looks
/// whether the runner still is there and has nothing to say yet: a kept connection may have ended at the other side, or
/// bring what belongs to the request before, and what breaks before the last byte is written never ran.
pub(super) struct Socket {
    pub(super) stream: TcpStream,
    pub(super) outgoing: Rc<Outgoing>,
    pub(super) last_byte_timer: Option<Pin<Box<Sleep>>>,
    /// Part of a request was written, and no answer to it waited for yet.
    pub(super) writing: Cell<bool>,
    /// The way to the runner, as far as the time that the connection took to come up tells it.
    pub(super) one_way_ms: f64,
    pub(super) counters: Rc<Counters>,
}

impl fmt::Debug for Socket {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.stream.fmt(f)
    }
}

impl Socket {
    /// The client reads only once it has written a request whole.
    fn request_written(&self) {
        if self.writing.take() && self.outgoing.attempt.borrow().is_some() {
            self.counters.attempt_written();
        }
    }

    /// How long the last byte waits.
    fn last_byte_delay(&self) -> Duration {
        duration_from_ms(self.one_way_ms * 2.0 * LAST_BYTE_ROUND_TRIPS).max(LAST_BYTE_DELAY)
    }
}

impl AsyncRead for Socket {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        self.request_written();
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl AsyncWrite for Socket {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        self.writing.set(true);
        if self.outgoing.hold_last_byte.get() && buf.len() > 1 {
            let written = ready!(Pin::new(&mut self.stream).poll_write(cx, &buf[..buf.len() - 1]))?;
            if written == buf.len() - 1 {
                self.outgoing.hold_last_byte.set(false);
                self.last_byte_timer = Some(Box::pin(tokio::time::sleep(self.last_byte_delay())));
            }
            return Poll::Ready(Ok(written));
        }
        if let Some(last_byte_timer) = &mut self.last_byte_timer {
            ready!(last_byte_timer.as_mut().poll(cx));
            self.last_byte_timer = None;
            // Its end, or what nobody has asked for yet: an answer that comes a second time would be taken for this
            // request's.
            let mut byte = [0];
            if let Poll::Ready(came) = self.stream.poll_peek(cx, &mut ReadBuf::new(&mut byte)) {
                return Poll::Ready(Err(came.err().unwrap_or(io::ErrorKind::BrokenPipe.into())));
            }
            if !self.outgoing.may_go(self.one_way_ms) {
                return Poll::Ready(Err(io::ErrorKind::TimedOut.into()));
            }
        }
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}

impl ActixStream for Socket {
    fn poll_read_ready(&self, cx: &mut Context<'_>) -> Poll<io::Result<Ready>> {
        self.request_written();
        ActixStream::poll_read_ready(&self.stream, cx)
    }

    fn poll_write_ready(&self, cx: &mut Context<'_>) -> Poll<io::Result<Ready>> {
        ActixStream::poll_write_ready(&self.stream, cx)
    }
}
