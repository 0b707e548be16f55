//! The front as the process uses it.

use std::cell::Cell;
use std::io;
use std::rc::Rc;
use std::time::Duration;

use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::spawn_local;

use super::connection::{refuse_crowded, run};
use super::registry::{Admission, admit};
use super::state::{Draining, Shared};
use super::{FrontLimits, Handler, sweep};

/// After an error of accepting, such as a want of descriptors, in milliseconds: connections end within such a time, and
/// a client's opening packet is not yet sent again.
const ACCEPT_PAUSE_MS: u64 = 5;

/// What the front has done.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct FrontCounters {
    /// Connections that are open now, without those that were told to close.
    pub open_connections: usize,
    /// Requests that were answered, by the handler or with 400 after they had been read whole.
    pub answered: u64,
    /// Requests and connections that were refused ahead of that: too large, too slow, ambiguous, too many.
    pub refused: u64,
    /// Clients that left in the middle of a request or before its answer.
    pub clients_left: u64,
}

/// Serves clients on any number of listeners, with common bounds. Clones are handles of the same front. It must be used
/// within a `LocalSet` of a current-thread runtime.
#[derive(Debug, Clone)]
pub struct Front {
    shared: Rc<Shared>,
    stop: Rc<watch::Sender<bool>>,
    sweeping: Rc<Cell<bool>>,
}

impl Front {
    /// With these bounds, which may change while it runs.
    pub fn new(limits: watch::Receiver<FrontLimits>) -> Self {
        Self {
            shared: Rc::new(Shared::new(limits)),
            stop: Rc::new(watch::Sender::new(false)),
            sweeping: Rc::default(),
        }
    }

    /// Accepts connections and serves each in a task of its own, until [`Front::stop_accepting`]. Then the listener is
    /// closed and this returns; open connections go on.
    pub async fn serve<H: Handler>(&self, listener: TcpListener, handler: H) {
        self.start_sweeping();
        let handler = Rc::new(handler);
        let mut stop = self.stop.subscribe();
        loop {
            let accepted = tokio::select! {
                biased;
                _ = stop.wait_for(|stop| *stop) => break,
                accepted = listener.accept() => accepted,
            };
            match accepted {
                Ok((stream, _)) => self.accept(stream, &handler),
                Err(error) => {
                    tracing::warn!(%error, "cannot accept a connection: raise the limit of descriptors or lower max_connections");
                    tokio::time::sleep(Duration::from_millis(ACCEPT_PAUSE_MS)).await;
                }
            }
        }
        if let Err(error) = self.accept_rest(listener, &handler) {
            tracing::debug!(%error, "cannot serve connections that came with the stop: their clients come again");
        }
    }

    /// Closes the listeners. What the system has connected by then is still served, as closing would reset it.
    /// Connections that are open go on.
    pub fn stop_accepting(&self) {
        self.stop.send_replace(true);
    }

    /// Makes each connection end after its present answer, which says `Connection: close`. Connections without a request
    /// are closed once they have been idle for the grace, counted from now at the earliest; 0 closes them at once. New
    /// connections are still accepted, and end after one answer.
    pub fn drain(&self, grace_ms: u64) {
        let since_ms = self.shared.now_ms();
        self.shared.draining.set(Some(Draining { since_ms, grace_ms }));
        sweep::sweep(&self.shared);
    }

    /// Waits until no connection is open.
    pub async fn ended(&self) {
        loop {
            let ended = self.shared.all_ended.notified();
            if self.shared.registry.borrow().is_empty() {
                return;
            }
            ended.await;
        }
    }

    /// What it has done.
    pub fn counters(&self) -> FrontCounters {
        FrontCounters {
            open_connections: self.shared.registry.borrow().open(),
            answered: self.shared.answered.get(),
            refused: self.shared.refused.get(),
            clients_left: self.shared.clients_left.get(),
        }
    }

    fn start_sweeping(&self) {
        if !self.sweeping.replace(true) {
            spawn_local(sweep::run(Rc::downgrade(&self.shared), Rc::clone(&self.shared.activity)));
        }
    }

    /// Accepts what the system has already connected, whether the runtime knows of it or not, and closes the listener.
    fn accept_rest<H: Handler>(&self, listener: TcpListener, handler: &Rc<H>) -> io::Result<()> {
        let listener = listener.into_std()?;
        for _ in 0..=self.shared.limits().max_connections {
            let stream = match listener.accept() {
                Ok((stream, _)) => stream,
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => break,
                Err(error) => return Err(error),
            };
            stream.set_nonblocking(true)?;
            self.accept(TcpStream::from_std(stream)?, handler);
        }
        Ok(())
    }

    fn accept<H: Handler>(&self, stream: TcpStream, handler: &Rc<H>) {
        if let Err(error) = stream.set_nodelay(true) {
            tracing::debug!(%error, "cannot set TCP_NODELAY: answers may come late");
        }
        let shared = Rc::clone(&self.shared);
        match admit(&self.shared) {
            Admission::Served(place) => {
                spawn_local(run(shared, place, stream, Rc::clone(handler)));
            }
            Admission::Crowded(place) => {
                spawn_local(refuse_crowded(shared, place, stream));
            }
            Admission::Dropped => {}
        }
        self.shared.activity.notify_one();
    }
}
