//! Owns the sockets of Gearman clients and workers: accepting, reading, writing, how long each may keep the program
//! waiting, and the way between the server's state, the broker and the clock. It must never look into a packet, decide
//! anything, or read on from a peer that does not read what is owed to it.

mod accept;
mod socket;
mod turns;

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use ruddervalve::{Names, Settings, SettingsError};
use ruddervalve_broker::{Broker, Clock, Counters};
use ruddervalve_operators::GearmanSettings;
use tokio::net::TcpListener;
use tokio::sync::Notify;

use self::socket::{CLOSE_TIMEOUT, Socket};
use crate::codec::Decoder;
use crate::engine::Engine;
use crate::server::Closing;
use crate::workers::ConnectionId;

/// The longest line of the administration protocol, in bytes.
const MAX_LINE_BYTES: usize = 1_024;
/// Where an older process of this dispatcher holds the address, it is tried again this often.
const BIND_RETRY: Duration = Duration::from_millis(50);

/// Gearman clients and workers before a broker.
pub struct Gearman {
    broker: Rc<Broker>,
    clock: Clock,
    counters: Rc<Counters>,
    engine: Engine,
    sockets: RefCell<BTreeMap<ConnectionId, Rc<Socket>>>,
    /// What the timer waits for; told when that comes sooner.
    timer_at: Cell<u64>,
    timer_moved: Notify,
    /// Told whenever a job or a connection has ended.
    ended: Notify,
    limit: Cell<usize>,
    first_packet_ms: Cell<f64>,
    unread_ms: Cell<f64>,
    end_ms: Cell<f64>,
    decoder: Cell<Decoder>,
    shut_down: Notify,
}

fn decoder(gearman_settings: &GearmanSettings) -> Decoder {
    Decoder { longest_body: gearman_settings.limits.packet_bytes, longest_line: MAX_LINE_BYTES }
}

impl Gearman {
    /// The sockets of an engine, under the limits of its settings.
    pub fn new(
        engine: Engine,
        gearman_settings: &GearmanSettings,
        broker: Rc<Broker>,
        clock: Clock,
        counters: Rc<Counters>,
    ) -> Rc<Self> {
        let gearman = Self {
            broker,
            clock,
            counters,
            engine,
            sockets: RefCell::default(),
            timer_at: Cell::new(u64::MAX),
            timer_moved: Notify::new(),
            ended: Notify::new(),
            limit: Cell::new(0),
            first_packet_ms: Cell::new(0.0),
            unread_ms: Cell::new(0.0),
            end_ms: Cell::new(0.0),
            decoder: Cell::new(decoder(gearman_settings)),
            shut_down: Notify::new(),
        };
        gearman.set_limits(gearman_settings);
        Rc::new(gearman)
    }

    /// Takes another operator file, or other settings of the platform.
    ///
    /// # Errors
    ///
    /// Settings that cannot be used; nothing of them is in force then.
    pub fn reconfigure(
        &self,
        gearman_settings: &GearmanSettings,
        platform: (&Settings, &Names),
    ) -> Result<(), SettingsError> {
        self.engine.reconfigure(gearman_settings, platform)?;
        self.set_limits(gearman_settings);
        self.turn();
        Ok(())
    }

    fn set_limits(&self, gearman_settings: &GearmanSettings) {
        self.limit.set(gearman_settings.limits.connections);
        self.first_packet_ms.set(gearman_settings.limits.first_packet_ms);
        self.unread_ms.set(gearman_settings.limits.unread_ms);
        self.end_ms.set(gearman_settings.limits.end_ms);
        self.decoder.set(decoder(gearman_settings));
    }

    /// Binds the address. Where another process of this dispatcher may hold it, waits until that lets go.
    ///
    /// # Errors
    ///
    /// The address cannot be bound.
    pub async fn bind(address: SocketAddr, wait: bool) -> io::Result<TcpListener> {
        loop {
            match TcpListener::bind(address).await {
                Err(error) if wait && error.kind() == io::ErrorKind::AddrInUse => {
                    tokio::time::sleep(BIND_RETRY).await;
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

    /// Waits until all jobs have ended, then ends all connections. The program ends: jobs have the time that the
    /// operator file gives them.
    pub async fn finish(&self) {
        let at_ms = self.clock.now() + self.end_ms.get();
        self.engine.shut_down_by(at_ms);
        self.turn();
        // The decisions answer all jobs by then; a little more guards against a round that comes late.
        let last = self.clock.until(at_ms) + CLOSE_TIMEOUT;
        let _ = tokio::time::timeout(last, async {
            while self.engine.open_jobs() > 0 {
                self.ended.notified().await;
            }
        })
        .await;
        let remaining = self.engine.open_jobs();
        if remaining > 0 {
            self.counters
                .log(self.clock.now(), format_args!("gearman: {remaining} jobs are left without an answer"));
        }
        let connections: Vec<ConnectionId> = self.sockets.borrow().keys().copied().collect();
        connections.into_iter().for_each(|connection| self.close(connection, Closing::AfterOutput));
        let _ = tokio::time::timeout(CLOSE_TIMEOUT, async {
            while !self.sockets.borrow().is_empty() {
                self.ended.notified().await;
            }
        })
        .await;
    }
}
