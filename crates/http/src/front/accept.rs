//! Accepting connections, and making room for them.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use actix_http::h1::Codec;
use actix_http::{KeepAlive, ServiceConfig, ServiceConfigBuilder};
use bytes::BytesMut;
use futures_util::FutureExt as _;
use ruddervalve_broker::LifecycleState;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::task::coop::unconstrained;

use super::Front;
use super::connection::{ClientConnection, ConnectionState, Phase};
use super::read::READ_TIMEOUT_MS;

/// Connections that linger, beside those that clients hold: one for so many of these. What is left of the descriptors
/// is for discovery and the program itself.
const CONNECTIONS_PER_LINGERING: usize = 4;
/// After an error of accepting, such as a want of descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(5);

/// Forgets a connection when its task ends, however it ends.
struct Registration {
    pub(super) front: Rc<Front>,
    number: u64,
}

impl Drop for Registration {
    fn drop(&mut self) {
        self.front.connections.borrow_mut().remove(&self.number);
        self.front.ended.notify_one();
    }
}

impl Front {
    /// Serves connections until the program ends and no new ones come any more; those that are held go on. On a socket
    /// shared with other processes none is accepted that cannot be served.
    pub async fn serve(self: Rc<Self>, listener: TcpListener, shared: bool) {
        let config = ServiceConfigBuilder::new().keep_alive(KeepAlive::Os).build();
        let mut lifecycle = self.broker.lifecycle();
        if shared {
            tokio::select! {
                () = self.broker.until_ready() => {}
                () = self.broker.until_limit(&mut lifecycle, LifecycleState::accepts_until_ms) => return,
            }
        }
        let mut numbers = 0..;
        let mut taken = |stream| self.accept(numbers.next().unwrap_or_default(), stream, &config);
        loop {
            let accepted = tokio::select! {
                biased;
                () = self.broker.until_limit(&mut lifecycle, LifecycleState::accepts_until_ms) => break,
                accepted = listener.accept() => accepted,
            };
            match accepted {
                Ok((stream, _)) => taken(stream),
                Err(error) => {
                    self.counters.count("connections", "accept_failed");
                    self.counters.log(self.clock.now(), format_args!("accept: {error}"));
                    self.make_room();
                    tokio::time::sleep(ACCEPT_PAUSE).await;
                }
            }
            // Those taken read first, so that a crowd of silent ones behind them does not push them out.
            tokio::task::yield_now().await;
        }
        // What came up before is taken, too: a listener that closes resets it. A shared one stays open at others.
        tokio::task::yield_now().await;
        while !shared && let Some(Ok((stream, _))) = unconstrained(listener.accept()).now_or_never() {
            taken(stream);
        }
    }

    fn accept(self: &Rc<Self>, number: u64, stream: TcpStream, config: &ServiceConfig) {
        let _ = stream.set_nodelay(true);
        // One that was to make room may have gone on, so more than one may be over the limit.
        while self.held() >= self.max_connections.get() && self.make_room() {}
        let now = self.clock.now();
        let state = Rc::new(ConnectionState {
            phase: Cell::new(Phase::AwaitingFirstByte),
            since_ms: Cell::new(now),
            evicted: Notify::new(),
        });
        self.connections.borrow_mut().insert(number, state.clone());
        self.counters.highest("connections", "submitters_at_once", self.held() as u64);
        self.counters.count("connections", "submitters");
        let (codec, read_buffer) = (Codec::new(config.clone()), BytesMut::new());
        let connection = ClientConnection {
            stream: Rc::new(stream),
            codec,
            read_buffer,
            state,
            opened_ms: now,
            next_piece_due_ms: now + READ_TIMEOUT_MS,
            request_due_ms: 0.0,
            overrun: false,
        };
        let registered = Registration { front: self.clone(), number };
        actix_rt::spawn(async move {
            registered.front.serve_connection(connection).await;
            drop(registered);
        });
    }

    /// Guards against clients that connect and stay: of those without a request the one that shows least is evicted,
    /// the oldest first. False if there is none.
    fn make_room(&self) -> bool {
        let connections = self.connections.borrow();
        let without = connections.values().filter(|state| state.phase.get() < Phase::InFlight);
        let least = without.min_by(|left, right| {
            let phase = left.phase.get().cmp(&right.phase.get());
            phase.then(left.since_ms.get().total_cmp(&right.since_ms.get()))
        });
        let Some(state) = least else { return false };
        self.counters.count(
            "connections",
            match state.phase.get() {
                Phase::AwaitingFirstByte => "silent_given_up",
                Phase::Idle => "idle_given_up",
                _ => "others_given_up",
            },
        );
        state.evict();
        true
    }

    /// Where too many linger, the oldest does no longer.
    pub(super) fn limit_lingering(&self) {
        let connections = self.connections.borrow();
        let ending = || connections.values().filter(|state| state.phase.get() == Phase::Lingering);
        if ending().count() > self.max_connections.get() / CONNECTIONS_PER_LINGERING {
            let oldest = ending().min_by(|left, right| left.since_ms.get().total_cmp(&right.since_ms.get()));
            oldest.into_iter().for_each(|state| state.evict());
        }
    }
}
