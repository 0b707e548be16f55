//! Accepting connections, and making room for them.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use ruddervalve_broker::LifecycleState;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::task::AbortHandle;

use super::Gearman;
use super::socket::Socket;
use crate::workers::ConnectionId;

/// After an error of accepting, such as a want of descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(5);

/// Forgets a connection when its task ends, however it ends.
struct Registration {
    pub(super) gearman: Rc<Gearman>,
    pub(super) connection: ConnectionId,
}

impl Drop for Registration {
    fn drop(&mut self) {
        self.gearman.sockets.borrow_mut().remove(&self.connection);
        self.gearman.engine.closed(self.connection);
        self.gearman.turn();
        self.gearman.ended.notify_waiters();
    }
}

impl Gearman {
    /// Serves connections until the program ends and no new ones come any more.
    pub async fn serve(self: Rc<Self>, listener: TcpListener) {
        actix_rt::spawn(self.clone().run_timer());
        let mut lifecycle = self.broker.lifecycle();
        for connection in 1.. {
            let accepted = tokio::select! {
                biased;
                () = self.broker.until_limit(&mut lifecycle, LifecycleState::accepts_until_ms) => return,
                accepted = listener.accept() => accepted,
            };
            match accepted {
                Ok((stream, peer)) => self.accept(connection, stream, peer),
                Err(error) => {
                    self.counters.count("gearman", "accept_failed");
                    self.counters.log(self.clock.now(), format_args!("gearman: accept: {error}"));
                    self.make_room();
                    tokio::time::sleep(ACCEPT_PAUSE).await;
                }
            }
            // Those taken read first, so that a crowd of silent ones behind them does not push them out.
            tokio::task::yield_now().await;
        }
    }

    fn accept(self: &Rc<Self>, connection: ConnectionId, stream: TcpStream, peer: SocketAddr) {
        let _ = stream.set_nodelay(true);
        if self.sockets.borrow().len() >= self.limit.get() && !self.make_room() {
            // All others have said something: whoever comes last is turned away.
            return self.counters.count("gearman", "connections_refused");
        }
        self.counters.count("gearman", "connections");
        let (blocked, changed, closing) = (Cell::new(false), Notify::new(), Cell::new(None));
        let socket = Rc::new(Socket { stream, blocked, changed, closing, task: RefCell::default() });
        self.sockets.borrow_mut().insert(connection, socket.clone());
        self.counters.highest("gearman", "connections_at_once", self.sockets.borrow().len() as u64);
        self.engine.opened(connection, peer.ip().to_string());
        let registered = Registration { gearman: self.clone(), connection };
        let known = socket.clone();
        let task = actix_rt::spawn(async move {
            registered.gearman.serve_connection(connection, &socket).await;
            drop(registered);
        });
        known.task.replace(Some(task.abort_handle()));
    }

    /// Guards against peers that connect and stay: of those that sent nothing the oldest goes. False if there is none.
    fn make_room(&self) -> bool {
        let mut sockets = self.sockets.borrow_mut();
        let has_sent_nothing =
            |connection: &ConnectionId| self.engine.look(|server| server.has_sent_nothing(*connection));
        let Some(oldest) = sockets.keys().copied().find(has_sent_nothing) else { return false };
        let Some(socket) = sockets.remove(&oldest) else { return false };
        self.counters.count("gearman", "silent_given_up");
        socket.task.borrow().iter().for_each(AbortHandle::abort);
        true
    }
}
