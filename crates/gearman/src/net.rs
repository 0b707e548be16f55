//! Owns the sockets of Gearman clients and workers: accepting, reading, writing, how long each may keep the program
//! waiting, and the way between the server's state, the broker and the clock. It must never look into a packet, decide
//! anything, or read on from a peer that does not read what is owed to it.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::BytesMut;
use ruddervalve::{Names, Settings, SettingsError};
use ruddervalve_broker::{Broker, Clock, Counters, FOR_EVER, Standing, span};
use ruddervalve_operators::Gearman as Told;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::task::AbortHandle;

use crate::codec::{Decoder, HEAD};
use crate::engine::{Act, Engine};
use crate::workers::ConnId;

/// What is read at once.
const READ: usize = 16 << 10;
/// Frames of one connection that are taken in a row, before others have their turn.
const IN_A_ROW: usize = 64;
/// The longest line of the administration protocol, in bytes.
const LONGEST_LINE: usize = 1_024;
/// After an error of accepting, such as a want of descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(5);
/// How long a connection that ends may take to read the last that is owed on it.
const LAST_READ: Duration = Duration::from_secs(1);
/// Where clients are sent away, it is looked this often whether a connection still has something open.
const LOOK_AGAIN: Duration = Duration::from_millis(20);
/// Where an older process of this dispatcher holds the address, it is tried again this often.
const BIND_AGAIN: Duration = Duration::from_millis(50);

/// A connection as its task and the others see it.
struct Socket {
    stream: TcpStream,
    /// Bytes wait that the peer does not take.
    blocked: Cell<bool>,
    /// Told when `blocked` or `closing` has changed.
    changed: Notify,
    /// It ends: none, after what is owed, or at once.
    closing: Cell<Option<bool>>,
    task: RefCell<Option<AbortHandle>>,
}

/// Gearman clients and workers before a broker.
pub struct Gearman {
    broker: Rc<Broker>,
    clock: Clock,
    counters: Rc<Counters>,
    engine: Engine,
    sockets: RefCell<BTreeMap<ConnId, Rc<Socket>>>,
    /// What the timer waits for; told when that comes sooner.
    armed: Cell<u64>,
    sooner: Notify,
    /// Told whenever a job or a connection has ended.
    ended: Notify,
    most: Cell<usize>,
    first_packet_ms: Cell<f64>,
    unread_ms: Cell<f64>,
    end_ms: Cell<f64>,
    decoder: Cell<Decoder>,
    shut_down: Notify,
}

/// Forgets a connection when its task ends, however it ends.
struct Registered {
    gearman: Rc<Gearman>,
    conn: ConnId,
}

impl Drop for Registered {
    fn drop(&mut self) {
        self.gearman.sockets.borrow_mut().remove(&self.conn);
        self.gearman.engine.closed(self.conn);
        self.gearman.turn();
        self.gearman.ended.notify_waiters();
    }
}

fn decoder(told: &Told) -> Decoder {
    Decoder { longest_body: told.limits.packet, longest_line: LONGEST_LINE }
}

impl Gearman {
    /// The Gearman side of a broker as the operator file tells it, with pools of its own beside the platform's.
    pub fn new(
        name: &str,
        told: &Told,
        platform: (&Settings, &Names),
        seed: u64,
        broker: Rc<Broker>,
        clock: Clock,
        counters: Rc<Counters>,
    ) -> Result<Rc<Self>, SettingsError> {
        let engine =
            Engine::new(name, told, platform, seed, broker.clone(), clock.clone(), counters.clone())?;
        let gearman = Self {
            broker,
            clock,
            counters,
            engine,
            sockets: RefCell::default(),
            armed: Cell::new(u64::MAX),
            sooner: Notify::new(),
            ended: Notify::new(),
            most: Cell::new(0),
            first_packet_ms: Cell::new(0.0),
            unread_ms: Cell::new(0.0),
            end_ms: Cell::new(0.0),
            decoder: Cell::new(decoder(told)),
            shut_down: Notify::new(),
        };
        gearman.limit_to(told);
        Ok(Rc::new(gearman))
    }

    /// Takes another operator file, or other settings of the platform.
    pub fn reconfigure(&self, told: &Told, platform: (&Settings, &Names)) -> Result<(), SettingsError> {
        self.engine.reconfigure(told, platform)?;
        self.limit_to(told);
        self.turn();
        Ok(())
    }

    fn limit_to(&self, told: &Told) {
        self.most.set(told.limits.connections);
        self.first_packet_ms.set(told.limits.first_packet_ms);
        self.unread_ms.set(told.limits.unread_ms);
        self.end_ms.set(told.limits.end_ms);
        self.decoder.set(decoder(told));
    }

    /// Binds the address. Where another process of this dispatcher may hold it, waits until that lets go.
    pub async fn bind(address: SocketAddr, wait: bool) -> io::Result<TcpListener> {
        loop {
            match TcpListener::bind(address).await {
                Err(error) if wait && error.kind() == io::ErrorKind::AddrInUse => {
                    tokio::time::sleep(BIND_AGAIN).await
                }
                bound => return bound,
            }
        }
    }

    /// Has the figures of this side shown with the others.
    pub fn show(self: &Rc<Self>) {
        let this = Rc::downgrade(self);
        self.counters.show(move || {
            let Some(this) = this.upgrade() else { return Vec::new() };
            let (workers, (kept, bytes)) =
                this.engine.look(|server| (server.workers.count(), server.jobs.kept_size()));
            vec![
                ("gearman.connections", this.sockets.borrow().len() as u64),
                ("gearman.workers", workers as u64),
                ("gearman.open_jobs", this.engine.open_jobs() as u64),
                ("gearman.kept_results", kept as u64),
                ("gearman.kept_bytes", bytes as u64),
            ]
        });
    }

    /// Waits until a client has asked for the end of the program.
    pub async fn shut_down(&self) {
        self.shut_down.notified().await;
    }

    /// Waits until all jobs have ended, then ends all connections. The program ends: jobs have the time that the operator
    /// file gives them.
    pub async fn finish(&self) {
        let at_ms = self.clock.now() + self.end_ms.get();
        self.engine.end(at_ms);
        self.turn();
        // The decisions answer all jobs by then; a little more guards against a round that comes late.
        let last = self.clock.until(at_ms) + LAST_READ;
        let _ = tokio::time::timeout(last, async {
            while self.engine.open_jobs() > 0 {
                self.ended.notified().await;
            }
        })
        .await;
        let left = self.engine.open_jobs();
        if left > 0 {
            self.counters
                .say(self.clock.now(), format_args!("gearman: {left} jobs are left without an answer"));
        }
        let conns: Vec<ConnId> = self.sockets.borrow().keys().copied().collect();
        conns.into_iter().for_each(|conn| self.close(conn, false));
        let _ = tokio::time::timeout(LAST_READ, async {
            while !self.sockets.borrow().is_empty() {
                self.ended.notified().await;
            }
        })
        .await;
    }

    /// Serves connections until the program ends and no new ones come any more.
    pub async fn serve(self: Rc<Self>, listener: TcpListener) {
        actix_rt::spawn(self.clone().keep_time());
        let mut standing = self.broker.standing();
        for conn in 1.. {
            let accepted = tokio::select! {
                biased;
                () = self.broker.passed(&mut standing, Standing::no_more_accepted) => return,
                accepted = listener.accept() => accepted,
            };
            match accepted {
                Ok((stream, peer)) => self.take(conn, stream, peer),
                Err(error) => {
                    self.counters.count("gearman", "accept_failed");
                    self.counters.say(self.clock.now(), format_args!("gearman: accept: {error}"));
                    self.make_room();
                    tokio::time::sleep(ACCEPT_PAUSE).await;
                }
            }
            // Those taken read first, so that a crowd of silent ones behind them does not push them out.
            tokio::task::yield_now().await;
        }
    }

    fn take(self: &Rc<Self>, conn: ConnId, stream: TcpStream, peer: SocketAddr) {
        let _ = stream.set_nodelay(true);
        if self.sockets.borrow().len() >= self.most.get() && !self.make_room() {
            // All others have said something: whoever comes last is turned away.
            return self.counters.count("gearman", "connections_refused");
        }
        self.counters.count("gearman", "connections");
        let (blocked, changed, closing) = (Cell::new(false), Notify::new(), Cell::new(None));
        let socket = Rc::new(Socket { stream, blocked, changed, closing, task: RefCell::default() });
        self.sockets.borrow_mut().insert(conn, socket.clone());
        self.counters.highest("gearman", "connections_at_once", self.sockets.borrow().len() as u64);
        self.engine.opened(conn, peer.ip().to_string());
        let registered = Registered { gearman: self.clone(), conn };
        let known = socket.clone();
        let task = actix_rt::spawn(async move {
            registered.gearman.converse(conn, &socket).await;
            drop(registered);
        });
        known.task.replace(Some(task.abort_handle()));
    }

    /// Guards against peers that connect and stay: of those that sent nothing the oldest goes. False if there is none.
    fn make_room(&self) -> bool {
        let mut sockets = self.sockets.borrow_mut();
        let silent = |conn: &ConnId| self.engine.look(|server| server.silent(*conn));
        let Some(oldest) = sockets.keys().copied().find(silent) else { return false };
        let Some(socket) = sockets.remove(&oldest) else { return false };
        self.counters.count("gearman", "silent_given_up");
        socket.task.borrow().iter().for_each(AbortHandle::abort);
        true
    }

    /// One connection, from its first byte to its end.
    async fn converse(&self, conn: ConnId, socket: &Socket) {
        let mut inbox = BytesMut::new();
        let opened_ms = self.clock.now();
        let mut standing = self.broker.standing();
        let (mut blocked_ms, mut sent_away) = (None, false);
        loop {
            let silent = self.engine.look(|server| server.silent(conn));
            let first =
                if silent { self.clock.until(opened_ms + self.first_packet_ms.get()) } else { FOR_EVER };
            let blocked = socket.blocked.get();
            let unread = if blocked {
                let since = *blocked_ms.get_or_insert(self.clock.now());
                self.clock.until(since + self.unread_ms.get())
            } else {
                blocked_ms = None;
                FOR_EVER
            };
            match socket.closing.get() {
                Some(true) => return,
                Some(false) => return self.last_write(conn, socket).await,
                None => {}
            }
            tokio::select! {
                biased;
                () = socket.changed.notified() => {}
                Ok(()) = socket.stream.writable(), if blocked => {
                    socket.blocked.set(false);
                    let before = self.waiting(conn);
                    self.write(conn, socket);
                    if self.waiting(conn) < before {
                        blocked_ms = None;
                    }
                }
                // A peer that does not read is not read from: what it asks for would only add to what waits.
                ready = socket.stream.readable(), if !blocked => {
                    if ready.is_err() || !self.read(conn, socket, &mut inbox).await {
                        return;
                    }
                }
                () = self.broker.passed(&mut standing, Standing::no_more_idle), if !sent_away => sent_away = true,
                () = tokio::time::sleep(LOOK_AGAIN), if sent_away => {
                    if self.leaves(conn) {
                        return;
                    }
                    sent_away = standing.borrow().no_more_idle().is_some();
                }
                () = tokio::time::sleep(first) => return self.counters.count("gearman", "silent"),
                () = tokio::time::sleep(unread) => return self.counters.count("gearman", "stopped_reading"),
            }
        }
    }

    /// Whether a connection may be closed when the dispatcher sends clients away: a worker's stays, as jobs may be open.
    fn leaves(&self, conn: ConnId) -> bool {
        self.engine.look(|server| server.idle(conn) && !server.works(conn))
    }

    fn waiting(&self, conn: ConnId) -> usize {
        self.engine.outbox(conn, |outbox| outbox.len()).unwrap_or_default()
    }

    /// Reads what is there and takes its frames. False at the end of the connection.
    async fn read(&self, conn: ConnId, socket: &Socket, inbox: &mut BytesMut) -> bool {
        inbox.reserve(READ);
        match socket.stream.try_read_buf(inbox) {
            Ok(0) => {
                if !inbox.is_empty() {
                    self.counters.count("gearman", "cut_packets");
                }
                return false;
            }
            Ok(_) => {}
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => return true,
            Err(_) => return false,
        }
        let decoder = self.decoder.get();
        for taken in 1_usize.. {
            match decoder.decode(inbox) {
                Ok(Some(frame)) => self.engine.received(conn, frame),
                Ok(None) => break,
                Err(problem) => {
                    self.engine.broken(conn, &problem.to_string());
                    break;
                }
            }
            if taken.is_multiple_of(IN_A_ROW) {
                self.turn();
                tokio::task::yield_now().await;
            }
            if socket.closing.get().is_some() {
                break;
            }
        }
        // What was read of a long packet is kept; a buffer that a burst left behind is not.
        if inbox.is_empty() && inbox.capacity() > READ + HEAD {
            *inbox = BytesMut::new();
        }
        self.turn();
        true
    }

    async fn last_write(&self, conn: ConnId, socket: &Socket) {
        let _ = tokio::time::timeout(LAST_READ, async {
            while self.waiting(conn) > 0 && socket.stream.writable().await.is_ok() {
                socket.blocked.set(false);
                self.write(conn, socket);
            }
            // A close over unread bytes would reset the last words away.
            let mut rest = vec![0; READ];
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

    fn close(&self, conn: ConnId, now: bool) {
        if let Some(socket) = self.sockets.borrow().get(&conn) {
            socket.closing.set(Some(now || socket.closing.get() == Some(true)));
            socket.changed.notify_one();
        }
    }

    /// Writes what a connection takes now.
    fn write(&self, conn: ConnId, socket: &Socket) {
        self.engine.outbox(conn, |outbox| self.put(outbox, socket));
    }

    fn put(&self, outbox: &mut BytesMut, socket: &Socket) {
        while !outbox.is_empty() && !socket.blocked.get() {
            match socket.stream.try_write(outbox) {
                Ok(written) => drop(outbox.split_to(written)),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                    socket.blocked.set(true);
                    socket.changed.notify_one();
                }
                Err(_) => {
                    outbox.clear();
                    socket.closing.set(Some(true));
                    socket.changed.notify_one();
                }
            }
        }
        if outbox.is_empty() && outbox.capacity() > READ {
            *outbox = BytesMut::new();
        }
    }

    /// Does all that follows from what has just happened, and writes what is to be written.
    fn turn(&self) {
        let before = self.engine.open_jobs();
        for act in self.engine.turn() {
            match act {
                Act::Write(conn) => {
                    let socket = self.sockets.borrow().get(&conn).cloned();
                    if let Some(socket) = socket.filter(|socket| !socket.blocked.get()) {
                        self.write(conn, &socket);
                    }
                }
                Act::Close(conn, now) => self.close(conn, now),
                Act::ShutDown => self.shut_down.notify_one(),
            }
        }
        if before > 0 && self.engine.open_jobs() == 0 {
            self.ended.notify_waiters();
        }
        let next = self.engine.next_wake().unwrap_or(u64::MAX);
        if next < self.armed.get() {
            self.armed.set(next);
            self.sooner.notify_one();
        }
    }

    /// Ticks the server and the pools when it is time.
    async fn keep_time(self: Rc<Self>) {
        loop {
            let next = self.armed.get();
            let wait = if next == u64::MAX { FOR_EVER } else { span(next as f64 / 1e3 - self.clock.now()) };
            tokio::select! {
                () = self.sooner.notified() => continue,
                () = tokio::time::sleep(wait) => {}
            }
            self.armed.set(u64::MAX);
            self.engine.tick();
            self.turn();
        }
    }
}
