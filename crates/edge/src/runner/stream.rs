//! The socket below a connection to a runner: counts what was written, and can be looked at while the connection is idle.

use std::cell::{Cell, RefCell};
use std::io::{self, IoSlice};
use std::mem::MaybeUninit;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;

use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::{TcpSocket, TcpStream};
use tokio::time::timeout;

use super::RunnerSettings;

/// Opens a connection, within the time that the settings allow.
pub(super) async fn open(address: SocketAddr, settings: &RunnerSettings) -> io::Result<TcpStream> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() }?;
    let options = SockRef::from(&socket);
    options.set_tcp_nodelay(true)?;
    options.set_tcp_user_timeout(Some(Duration::from_millis(settings.user_timeout_ms)))?;
    let connecting = socket.connect(address);
    timeout(Duration::from_millis(settings.connect_timeout_ms), connecting).await?
}

/// What is known about the socket outside hyper.
#[derive(Debug, Clone)]
pub(super) struct Socket {
    stream: Rc<RefCell<TcpStream>>,
    written: Rc<Cell<bool>>,
    bytes_read: Rc<Cell<u64>>,
}

impl Socket {
    /// Around a connection that has just come up.
    pub(super) fn new(stream: TcpStream) -> Self {
        Self { stream: Rc::new(RefCell::new(stream)), written: Rc::default(), bytes_read: Rc::default() }
    }

    /// Bytes that were read since the connection came up, those that were read once more counted again.
    pub(super) fn bytes_read(&self) -> u64 {
        self.bytes_read.get()
    }

    /// Bytes that had been read before are read once more by another.
    pub(super) fn note_read(&self, count: usize) {
        let count = u64::try_from(count).unwrap_or(u64::MAX);
        self.bytes_read.set(self.bytes_read.get().wrapping_add(count));
    }

    /// A new exchange begins.
    pub(super) fn nothing_written(&self) {
        self.written.set(false);
    }

    /// Whether any byte of the present exchange was given to the system.
    pub(super) fn was_written(&self) -> bool {
        self.written.get()
    }

    /// Whether the connection is open and nothing has come on it. Asks the system itself: what the runtime knows may be
    /// older than a late second answer or a close. A byte that came is lost, and the connection is not to be used.
    pub(super) fn is_quiet(&self) -> bool {
        let mut byte = [MaybeUninit::uninit()];
        let received = SockRef::from(&*self.stream.borrow()).recv(&mut byte);
        received.is_err_and(|error| error.kind() == io::ErrorKind::WouldBlock)
    }
}

impl Socket {
    fn note<T>(&self, result: Poll<io::Result<T>>) -> Poll<io::Result<T>> {
        if matches!(result, Poll::Ready(Ok(_))) {
            self.written.set(true);
        }
        result
    }
}

impl AsyncRead for Socket {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let result = Pin::new(&mut *self.stream.borrow_mut()).poll_read(context, buffer);
        self.note_read(buffer.filled().len() - before);
        result
    }
}

impl AsyncWrite for Socket {
    fn poll_write(self: Pin<&mut Self>, context: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut *self.stream.borrow_mut()).poll_write(context, bytes);
        self.note(result)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut *self.stream.borrow_mut()).poll_write_vectored(context, slices);
        self.note(result)
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(self: Pin<&mut Self>, _context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut *self.stream.borrow_mut()).poll_shutdown(context)
    }
}
