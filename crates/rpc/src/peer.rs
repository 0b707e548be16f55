//! A connection that is opened again whenever it ends.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::time::Duration;

use nanoserde::DeBin;
use ruddervalve_protocol::Greeting;
use tokio::task::JoinHandle;
use tokio::time::sleep;

use crate::{LinkSettings, Outbox, RpcError, connect, run_paced};

/// What happens on a connection that is kept open.
#[derive(Debug)]
pub enum LinkEvent<M> {
    /// It is open: messages go into the outbox until [`LinkEvent::Down`].
    Up(Outbox),
    /// A message came.
    Message(M),
    /// There is room again in the outbox after there was none.
    Room,
    /// It ended, or could not be opened.
    Down(RpcError),
}

/// Pauses between attempts to open a connection: doubled from the first to the longest, each drawn between half and all
/// of its span so that processes that were cut off together don't come back together.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Backoff {
    /// The first pause, in milliseconds.
    pub first_ms: u64,
    /// The longest pause, in milliseconds.
    pub longest_ms: u64,
    /// Seed of the draws.
    pub seed: u64,
}

/// Spreads seeds: the odd number nearest to 2^64 over the golden ratio.
const SPREAD: u64 = 0x9E37_79B9_7F4A_7C15;

impl Backoff {
    /// The pause after so many failures in a row.
    pub fn pause(&self, failures: u32) -> Duration {
        let span = self.first_ms.saturating_mul(1 << failures.min(16)).clamp(1, self.longest_ms.max(1));
        let mixed = (self.seed ^ u64::from(failures)).wrapping_mul(SPREAD);
        let part = (mixed >> 32) % (span / 2 + 1);
        Duration::from_millis(span / 2 + part)
    }
}

/// Keeps a connection to an address open until it is dropped.
#[derive(Debug)]
pub struct Peer {
    address: SocketAddr,
    task: JoinHandle<()>,
}

impl Peer {
    /// Opens the connection and tells what happens on it. Has to be called on a local task set.
    pub fn keep<M: DeBin + 'static>(
        address: SocketAddr,
        greeting: Greeting,
        settings: LinkSettings,
        backoff: Backoff,
        sink: impl FnMut(LinkEvent<M>) + 'static,
    ) -> Self {
        let task = tokio::task::spawn_local(keep(address, greeting, settings, backoff, sink));
        Self { address, task }
    }

    /// Where it leads.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

impl Drop for Peer {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn keep<M: DeBin>(
    address: SocketAddr,
    greeting: Greeting,
    settings: LinkSettings,
    backoff: Backoff,
    sink: impl FnMut(LinkEvent<M>),
) {
    let sink = RefCell::new(sink);
    let tell = |event| (*sink.borrow_mut())(event);
    let mut failures = 0;
    loop {
        match connect(address, &greeting, &settings).await {
            Ok(stream) => {
                let outbox = Outbox::new(&settings);
                let mut heard = false;
                tell(LinkEvent::Up(outbox.clone()));
                let on_message = |message| {
                    heard = true;
                    tell(LinkEvent::Message(message));
                };
                let on_room = || tell(LinkEvent::Room);
                let error = run_paced(stream, &settings, &outbox, on_message, on_room).await;
                tell(LinkEvent::Down(error));
                failures = if heard { 0 } else { failures + 1 };
            }
            Err(error) => {
                tell(LinkEvent::Down(error));
                failures += 1;
            }
        }
        sleep(backoff.pause(failures)).await;
    }
}
