//! The platform's address for clients: it hands new connections to the edges that call themselves ready.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, AtomicUsize, Ordering};
use std::time::Duration;

use tokio::task::JoinHandle;
use tokio::time::{MissedTickBehavior, interval};

use crate::call::call;
use crate::http_message::HttpRequest;

/// How often each edge is asked whether it is ready, and how long its answer may take.
const ASK_EVERY: Duration = Duration::from_secs(1);
/// An edge that misses so often gets no new connections until it is ready again.
const MISSES: u32 = 2;

/// Where an edge listens.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EdgeAddress {
    /// `Front`.
    pub front: SocketAddr,
    /// `Readiness`.
    pub readiness: SocketAddr,
}

#[derive(Debug)]
struct Edge {
    address: EdgeAddress,
    misses: AtomicU32,
}

/// The entry point. It asks the edges until it is dropped.
#[derive(Debug)]
pub struct EntryPoint {
    edges: Arc<Vec<Edge>>,
    next: AtomicUsize,
    task: JoinHandle<()>,
}

impl EntryPoint {
    /// Begins to ask these edges. All are in until they miss.
    pub fn start(addresses: Vec<EdgeAddress>) -> Self {
        let edge = |address| Edge { address, misses: AtomicU32::new(0) };
        let edges: Arc<Vec<Edge>> = Arc::new(addresses.into_iter().map(edge).collect());
        let task = tokio::spawn(ask_all(Arc::clone(&edges)));
        Self { edges, next: AtomicUsize::new(0), task }
    }

    /// Where the next new connection goes: the edges that are in, in turn. Should fewer than half be in, all are used.
    pub fn next_front(&self) -> Option<SocketAddr> {
        let is_in = |edge: &&Edge| edge.misses.load(Ordering::Relaxed) < MISSES;
        let mut chosen: Vec<&Edge> = self.edges.iter().filter(is_in).collect();
        if chosen.len() * 2 < self.edges.len() {
            chosen = self.edges.iter().collect();
        }
        let turn = self.next.fetch_add(1, Ordering::Relaxed);
        let place = turn.checked_rem(chosen.len())?;
        chosen.get(place).map(|edge| edge.address.front)
    }
}

impl Drop for EntryPoint {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn ask_all(edges: Arc<Vec<Edge>>) {
    let mut ticks = interval(ASK_EVERY);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        for edge in edges.iter() {
            if is_ready(edge.address.readiness, ASK_EVERY).await {
                edge.misses.store(0, Ordering::Relaxed);
            } else {
                edge.misses.fetch_add(1, Ordering::Relaxed);
            }
        }
    }
}

/// Whether an edge answers that it is ready.
pub(crate) async fn is_ready(readiness: SocketAddr, limit: Duration) -> bool {
    let request = HttpRequest::new("GET", "/api/ready").with("Host", "ready");
    call(readiness, &request, limit).await.is_ok_and(|response| response.status == 200)
}
