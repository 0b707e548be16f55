//! Stands between the socket and hyper: lets through one request at a time and nothing that is ambiguous.

use std::cell::RefCell;
use std::io::{self, IoSlice};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, Waker, ready};

use bytes::{Buf, BytesMut};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

use super::framing::{Framing, Phase};
use super::state::{ConnectionState, Shared, count};

/// How much is read ahead while an answer is owed, in bytes: enough to see that the client is still there or has sent
/// its next request, and no more, as it is the client who should wait.
const READ_AHEAD: usize = 1 << 10;

/// The connection's bytes, as hyper may see them.
pub(super) struct Guard {
    shared: Rc<Shared>,
    state: Rc<ConnectionState>,
    stream: Rc<RefCell<TcpStream>>,
    framing: Framing,
    /// Bytes of further requests.
    ahead: BytesMut,
    /// Whom to wake once the answer is written: hyper waits for bytes that are withheld from it.
    withheld: Option<Waker>,
}

impl Guard {
    /// Around a new connection.
    pub(super) fn new(
        shared: Rc<Shared>,
        state: Rc<ConnectionState>,
        stream: Rc<RefCell<TcpStream>>,
    ) -> Self {
        let framing = Framing::new(shared.limits());
        Self { shared, state, stream, framing, ahead: BytesMut::new(), withheld: None }
    }

    fn poll_stream(&self, context: &mut Context<'_>, buffer: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut *self.stream.borrow_mut()).poll_read(context, buffer)
    }

    /// While an answer is owed: only looks whether the client is still there.
    fn poll_present(&mut self, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.ahead.is_empty() && !self.state.client_ended.get() {
            let mut space = [0; READ_AHEAD];
            let mut buffer = ReadBuf::new(&mut space);
            ready!(self.poll_stream(context, &mut buffer))?;
            let bytes = buffer.filled();
            if bytes.is_empty() {
                self.state.client_ended.set(true);
            } else {
                self.ahead.extend_from_slice(bytes);
                self.state.further_bytes.set(true);
            }
        }
        self.withheld = Some(context.waker().clone());
        Poll::Pending
    }

    /// Bytes that were read ahead.
    fn read_ahead(&mut self, buffer: &mut ReadBuf<'_>) -> io::Result<()> {
        let offered = self.ahead.len().min(buffer.remaining());
        let taken = self.follow_ahead(offered)?;
        buffer.put_slice(self.ahead.get(..taken).unwrap_or_default());
        self.ahead.advance(taken);
        self.state.further_bytes.set(!self.ahead.is_empty());
        Ok(())
    }

    fn follow_ahead(&mut self, offered: usize) -> io::Result<usize> {
        let bytes = std::mem::take(&mut self.ahead);
        let taken = self.follow(bytes.get(..offered).unwrap_or_default());
        self.ahead = bytes;
        taken
    }

    fn poll_fresh(&mut self, context: &mut Context<'_>, buffer: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        ready!(self.poll_stream(context, buffer))?;
        let bytes = buffer.filled().get(before..).unwrap_or_default();
        if bytes.is_empty() {
            self.state.client_ended.set(true);
            return Poll::Ready(Ok(()));
        }
        let taken = self.follow(bytes)?;
        let further = bytes.get(taken..).unwrap_or_default();
        if !further.is_empty() {
            self.ahead.extend_from_slice(further);
            self.state.further_bytes.set(true);
            buffer.set_filled(before + taken);
        }
        Poll::Ready(Ok(()))
    }

    /// Follows the framing. A refusal becomes an error that ends hyper's work; the connection's task answers it.
    fn follow(&mut self, bytes: &[u8]) -> io::Result<usize> {
        if self.framing.phase() == Phase::Idle {
            self.framing.bound(self.shared.limits());
        }
        let taken = self.framing.take(bytes);
        let phase = self.framing.phase();
        // A head has one time limit as a whole, a body one for each pause.
        if self.state.phase.replace(phase) != phase || phase == Phase::Body {
            self.state.changed();
        }
        taken.map_err(|refusal| {
            self.state.refusal.set(Some(refusal));
            io::ErrorKind::InvalidData.into()
        })
    }

    /// hyper has written all that it had: an answer that was made has gone.
    fn flushed(&mut self) {
        if self.framing.phase() != Phase::Serving || !self.state.answer_made.replace(false) {
            return;
        }
        self.framing.answered();
        self.state.phase.set(Phase::Idle);
        self.state.written.set(false);
        self.state.changed();
        count(&self.shared.idle_count);
        if let Some(waker) = self.withheld.take() {
            waker.wake();
        }
    }

    fn wrote<T>(&self, result: Poll<io::Result<T>>) -> Poll<io::Result<T>> {
        if result.is_ready() {
            self.state.written.set(true);
        }
        // A client that does not read has time from its last sign of reading; what it sends is no such sign.
        let blocked = result.is_pending();
        if self.state.write_blocked.replace(blocked) != blocked {
            self.state.changed();
        }
        result
    }
}

impl AsyncRead for Guard {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let guard = self.get_mut();
        if guard.framing.phase() == Phase::Serving {
            return guard.poll_present(context);
        }
        if !guard.ahead.is_empty() {
            return Poll::Ready(guard.read_ahead(buffer));
        }
        if guard.state.client_ended.get() {
            return Poll::Ready(Ok(()));
        }
        guard.poll_fresh(context, buffer)
    }
}

impl AsyncWrite for Guard {
    fn poll_write(self: Pin<&mut Self>, context: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut *self.stream.borrow_mut()).poll_write(context, bytes);
        self.wrote(result)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut *self.stream.borrow_mut()).poll_write_vectored(context, slices);
        self.wrote(result)
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(self: Pin<&mut Self>, _context: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.get_mut().flushed();
        Poll::Ready(Ok(()))
    }

    /// Closing is the task's: it may have to answer a refusal, or to wait for bytes under way.
    fn poll_shutdown(self: Pin<&mut Self>, _context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }
}
