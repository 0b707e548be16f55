//! One connection: what is read and written on it, and when it ends.

use std::cell::{Cell, RefCell};
use std::io;
use std::time::Duration;

use bytes::BytesMut;
use ruddervalve_broker::{LONGEST_WAIT, LifecycleState};
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::task::AbortHandle;

use super::Gearman;
use crate::codec::HEADER_BYTES;
use crate::server::Closing;
use crate::workers::ConnectionId;

/// Bytes that are read at once.
const READ_CHUNK_BYTES: usize = 16 << 10;
/// Frames of one connection that are taken in a row, before others have their turn.
const FRAMES_PER_TURN: usize = 64;
/// How long a connection that ends may take to read the last that is owed on it.
pub(super) const CLOSE_TIMEOUT: Duration = Duration::from_secs(1);
/// Where clients are sent away, it is looked this often whether a connection still has something open.
const IDLE_POLL: Duration = Duration::from_millis(20);

/// A connection as its task and the others see it.
pub(super) struct Socket {
    pub(super) stream: TcpStream,
    /// Bytes wait that the peer does not take.
    pub(super) blocked: Cell<bool>,
    /// Told when `blocked` or `closing` has changed.
    pub(super) changed: Notify,
    /// How it ends, once it is to.
    pub(super) closing: Cell<Option<Closing>>,
    pub(super) task: RefCell<Option<AbortHandle>>,
}

impl Gearman {
    /// One connection, from its first byte to its end.
    pub(super) async fn serve_connection(&self, connection: ConnectionId, socket: &Socket) {
        let mut read_buffer = BytesMut::new();
        let opened_ms = self.clock.now();
        let mut lifecycle = self.broker.lifecycle();
        let (mut blocked_since_ms, mut drain_idle) = (None, false);
        loop {
            let first_packet_wait = self.first_packet_wait(connection, opened_ms);
            let blocked = socket.blocked.get();
            let unread_wait = self.unread_wait(blocked, &mut blocked_since_ms);
            match socket.closing.get() {
                Some(Closing::AtOnce) => return,
                Some(Closing::AfterOutput) => return self.drain_output(connection, socket).await,
                None => {}
            }
            tokio::select! {
                biased;
                () = socket.changed.notified() => {}
                Ok(()) = socket.stream.writable(), if blocked => {
                    if self.write_on(connection, socket) {
                        blocked_since_ms = None;
                    }
                }
                // A peer that does not read is not read from: what it asks for would only add to what waits.
                ready = socket.stream.readable(), if !blocked => {
                    if ready.is_err() || !self.read(connection, socket, &mut read_buffer).await {
                        return;
                    }
                }
                () = self.broker.until_limit(&mut lifecycle, LifecycleState::idles_until_ms), if !drain_idle => {
                    drain_idle = true;
                }
                () = tokio::time::sleep(IDLE_POLL), if drain_idle => {
                    if self.may_close(connection) {
                        return;
                    }
                    drain_idle = lifecycle.borrow().idles_until_ms().is_some();
                }
                () = tokio::time::sleep(first_packet_wait) => return self.counters.count("gearman", "silent"),
                () = tokio::time::sleep(unread_wait) => return self.counters.count("gearman", "stopped_reading"),
            }
        }
    }

    /// How long the first packet of a connection is waited for.
    fn first_packet_wait(&self, connection: ConnectionId, opened_ms: f64) -> Duration {
        let waits = self.engine.look(|server| server.has_sent_nothing(connection));
        if waits { self.clock.until(opened_ms + self.first_packet_ms.get()) } else { LONGEST_WAIT }
    }

    /// How long a peer may go on not reading what is sent to it.
    fn unread_wait(&self, blocked: bool, blocked_since_ms: &mut Option<f64>) -> Duration {
        if !blocked {
            *blocked_since_ms = None;
            return LONGEST_WAIT;
        }
        let since_ms = *blocked_since_ms.get_or_insert_with(|| self.clock.now());
        self.clock.until(since_ms + self.unread_ms.get())
    }

    /// Writes on a connection that was blocked. False where its peer took nothing.
    fn write_on(&self, connection: ConnectionId, socket: &Socket) -> bool {
        socket.blocked.set(false);
        let before = self.unsent_bytes(connection);
        self.write(connection, socket);
        self.unsent_bytes(connection) < before
    }

    /// Whether a connection may be closed when the dispatcher sends clients away: a worker's stays, as jobs may be
    /// open.
    fn may_close(&self, connection: ConnectionId) -> bool {
        self.engine.look(|server| server.is_idle(connection) && !server.is_worker(connection))
    }

    fn unsent_bytes(&self, connection: ConnectionId) -> usize {
        self.engine.write_buffer(connection, |write_buffer| write_buffer.len()).unwrap_or_default()
    }

    /// Reads what is there and takes its frames. False at the end of the connection.
    async fn read(&self, connection: ConnectionId, socket: &Socket, read_buffer: &mut BytesMut) -> bool {
        read_buffer.reserve(READ_CHUNK_BYTES);
        match socket.stream.try_read_buf(read_buffer) {
            Ok(0) => {
                if !read_buffer.is_empty() {
                    self.counters.count("gearman", "cut_packets");
                }
                return false;
            }
            Ok(_) => {}
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => return true,
            Err(_) => return false,
        }
        self.take_frames(connection, socket, read_buffer).await;
        // What was read of a long packet is kept; a buffer that a burst left behind is not.
        if read_buffer.is_empty() && read_buffer.capacity() > READ_CHUNK_BYTES + HEADER_BYTES {
            *read_buffer = BytesMut::new();
        }
        self.turn();
        true
    }

    /// Takes the frames that were read, until the connection is to be closed.
    async fn take_frames(&self, connection: ConnectionId, socket: &Socket, read_buffer: &mut BytesMut) {
        let decoder = self.decoder.get();
        for taken in 1_usize.. {
            match decoder.decode(read_buffer) {
                Ok(Some(frame)) => self.engine.received(connection, frame),
                Ok(None) => return,
                Err(problem) => return self.engine.broken(connection, &problem.to_string()),
            }
            if taken.is_multiple_of(FRAMES_PER_TURN) {
                self.turn();
                tokio::task::yield_now().await;
            }
            if socket.closing.get().is_some() {
                return;
            }
        }
    }

    /// Writes what is owed on a connection that ends, and waits for its peer's end.
    async fn drain_output(&self, connection: ConnectionId, socket: &Socket) {
        let _ = tokio::time::timeout(CLOSE_TIMEOUT, async {
            while self.unsent_bytes(connection) > 0 && socket.stream.writable().await.is_ok() {
                socket.blocked.set(false);
                self.write(connection, socket);
            }
            // A close over unread bytes would reset the last packets away.
            let mut rest = vec![0; READ_CHUNK_BYTES];
            while socket.stream.readable().await.is_ok() {
                match socket.stream.try_read(&mut rest) {
                    Ok(0) => break,
                    Err(error) if error.kind() != io::ErrorKind::WouldBlock => break,
                    _ => {}
                }
                tokio::task::yield_now().await;
            }
        })
        .await;
    }

    pub(super) fn close(&self, connection: ConnectionId, closing: Closing) {
        if let Some(socket) = self.sockets.borrow().get(&connection) {
            let at_once = socket.closing.get() == Some(Closing::AtOnce);
            socket.closing.set(Some(if at_once { Closing::AtOnce } else { closing }));
            socket.changed.notify_one();
        }
    }

    /// Writes what a connection takes now.
    pub(super) fn write(&self, connection: ConnectionId, socket: &Socket) {
        self.engine.write_buffer(connection, |write_buffer| self.write_now(write_buffer, socket));
    }

    fn write_now(&self, write_buffer: &mut BytesMut, socket: &Socket) {
        while !write_buffer.is_empty() && !socket.blocked.get() {
            match socket.stream.try_write(write_buffer) {
                Ok(written) => drop(write_buffer.split_to(written)),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                    socket.blocked.set(true);
                    socket.changed.notify_one();
                }
                Err(_) => {
                    write_buffer.clear();
                    socket.closing.set(Some(Closing::AtOnce));
                    socket.changed.notify_one();
                }
            }
        }
        if write_buffer.is_empty() && write_buffer.capacity() > READ_CHUNK_BYTES {
            *write_buffer = BytesMut::new();
        }
    }
}
