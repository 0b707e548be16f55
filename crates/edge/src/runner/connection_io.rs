//! What hyper reads answers from and writes requests to.
//!
//! That is the socket. Once an answer to an earlier message has been read in place of the answer, a second hyper connection
//! reads on where the first one stopped: it is given the bytes that the first one had read ahead, and the request that it
//! has to send before it reads is discarded, as the runner has it.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, Waker};

use bytes::{Buf as _, Bytes};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

use super::stream::Socket;

/// A socket from its beginning, or resumed behind an answer.
#[derive(Debug)]
pub(super) struct ConnectionIo {
    socket: Socket,
    resumed: Option<Resumed>,
}

/// The state of a socket that is read on.
#[derive(Debug)]
struct Resumed {
    /// Bytes that were read from the socket and belong to no answer yet.
    unread: Bytes,
    /// Whether hyper has sent its request. Before that it takes any byte for an error.
    request_discarded: bool,
    reader: Option<Waker>,
}

impl ConnectionIo {
    /// On a socket on which nothing was sent yet.
    pub(super) fn new(socket: Socket) -> Self {
        Self { socket, resumed: None }
    }

    /// On a socket whose request was sent and of which an answer was read; `unread` is what came behind that answer.
    pub(super) fn resumed(socket: Socket, unread: Bytes) -> Self {
        let resumed = Resumed { unread, request_discarded: false, reader: None };
        Self { socket, resumed: Some(resumed) }
    }
}

impl Resumed {
    fn discard_request(&mut self) {
        self.request_discarded = true;
        if let Some(reader) = self.reader.take() {
            reader.wake();
        }
    }

    fn read(&mut self, buffer: &mut ReadBuf<'_>) -> usize {
        let count = self.unread.len().min(buffer.remaining());
        buffer.put_slice(&self.unread[..count]);
        self.unread.advance(count);
        count
    }
}

impl AsyncRead for ConnectionIo {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let Self { socket, resumed } = &mut *self;
        if let Some(resumed) = resumed {
            if !resumed.request_discarded {
                resumed.reader = Some(context.waker().clone());
                return Poll::Pending;
            }
            if !resumed.unread.is_empty() {
                socket.note_read(resumed.read(buffer));
                return Poll::Ready(Ok(()));
            }
        }
        Pin::new(socket).poll_read(context, buffer)
    }
}

impl AsyncWrite for ConnectionIo {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        if let Some(resumed) = &mut self.resumed {
            resumed.discard_request();
            return Poll::Ready(Ok(bytes.len()));
        }
        Pin::new(&mut self.socket).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        if let Some(resumed) = &mut self.resumed {
            resumed.discard_request();
            return Poll::Ready(Ok(slices.iter().map(|slice| slice.len()).sum()));
        }
        Pin::new(&mut self.socket).poll_write_vectored(context, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.socket.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.socket).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.socket).poll_shutdown(context)
    }
}
