//! A receiver of call-backs.

use std::net::{IpAddr, SocketAddr};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use tokio::net::TcpStream;
use tokio::time::Instant;

use crate::http_connection::HttpConnection;
use crate::http_message::{HttpRequest, HttpResponse};
use crate::server::Server;

/// Where call-backs are taken.
const PATH: &str = "/done";

/// How a receiver behaves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReceiverPlan {
    /// Connections that it accepts at once; any more are reset.
    pub max_connections: u32,
    /// So many calls get 503 before the first is taken.
    pub failures: u32,
}

impl Default for ReceiverPlan {
    fn default() -> Self {
        Self { max_connections: 4, failures: 0 }
    }
}

/// A call-back that was taken.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Callback {
    /// `Uid`: the request's id.
    pub uid: String,
    /// `Phase`.
    pub phase: String,
    /// `Signature`.
    pub signature: Option<String>,
    /// When it came.
    pub at: Instant,
}

#[derive(Debug)]
struct Shared {
    plan: ReceiverPlan,
    connections: AtomicU32,
    failures: AtomicU32,
    refused: AtomicU32,
    taken: Mutex<Vec<Callback>>,
}

/// A receiver. It serves until it is dropped.
#[derive(Debug)]
pub struct CallbackReceiver {
    shared: Arc<Shared>,
    server: Server,
}

impl CallbackReceiver {
    /// Starts it.
    ///
    /// # Errors
    /// The address cannot be listened on.
    pub async fn start(ip: IpAddr, plan: ReceiverPlan) -> std::io::Result<Self> {
        let shared = Arc::new(Shared {
            plan,
            connections: AtomicU32::new(0),
            failures: AtomicU32::new(plan.failures),
            refused: AtomicU32::new(0),
            taken: Mutex::default(),
        });
        let served = Arc::clone(&shared);
        let server = Server::start(ip, move |stream| serve(stream, Arc::clone(&served))).await?;
        Ok(Self { shared, server })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// What to send as `Callback-Url`.
    pub fn url(&self) -> String {
        format!("http://{}{PATH}", self.address())
    }

    /// Calls that got 503.
    pub fn refused(&self) -> u32 {
        self.shared.refused.load(Ordering::Relaxed)
    }

    /// The call-backs of a message that were taken.
    pub fn taken(&self, request_id: &str) -> Vec<Callback> {
        let taken = locked(&self.shared.taken);
        taken.iter().filter(|callback| callback.uid == request_id).cloned().collect()
    }
}

async fn serve(stream: TcpStream, shared: Arc<Shared>) {
    let open = shared.connections.fetch_add(1, Ordering::Relaxed);
    let mut connection = HttpConnection::new(stream);
    if open < shared.plan.max_connections {
        while let Ok(Some(request)) = connection.read_request().await {
            if connection.write_response(&answer(&request, &shared)).await.is_err() {
                break;
            }
        }
    } else {
        connection.reset();
    }
    shared.connections.fetch_sub(1, Ordering::Relaxed);
}

fn answer(request: &HttpRequest, shared: &Shared) -> HttpResponse {
    let lessen = |left: u32| left.checked_sub(1);
    if shared.failures.fetch_update(Ordering::Relaxed, Ordering::Relaxed, lessen).is_ok() {
        shared.refused.fetch_add(1, Ordering::Relaxed);
        return HttpResponse::new(503);
    }
    match read(request) {
        Some(callback) => {
            locked(&shared.taken).push(callback);
            HttpResponse::new(200)
        }
        None => HttpResponse::new(400),
    }
}

fn read(request: &HttpRequest) -> Option<Callback> {
    if request.method != "POST" || request.path() != PATH {
        return None;
    }
    let body: serde_json::Value = serde_json::from_slice(&request.body).ok()?;
    let text = |key: &str| body.get(key).and_then(|value| value.as_str()).map(str::to_owned);
    let phase = text("Phase").filter(|phase| matches!(phase.as_str(), "succeeded" | "dead_letter"))?;
    Some(Callback { uid: text("Uid")?, phase, signature: text("Signature"), at: Instant::now() })
}

fn locked(taken: &Mutex<Vec<Callback>>) -> MutexGuard<'_, Vec<Callback>> {
    taken.lock().unwrap_or_else(PoisonError::into_inner)
}
