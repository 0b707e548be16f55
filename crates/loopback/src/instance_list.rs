//! The platform's list of runners: pages, a rate, and a lag.

use std::collections::VecDeque;
use std::net::{IpAddr, SocketAddr};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use serde_json::{Value, json};
use tokio::net::TcpStream;
use tokio::time::Instant;

use crate::http_connection::HttpConnection;
use crate::http_message::{HttpRequest, HttpResponse};
use crate::server::Server;

/// The span over which calls are counted.
const RATE_WINDOW: Duration = Duration::from_secs(1);

/// How the list behaves.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ListPlan {
    /// Entries on a page.
    pub page_size: usize,
    /// Calls a second; more get 429.
    pub rate_per_s: f64,
    /// How old what it shows is.
    pub lag: Duration,
}

impl Default for ListPlan {
    fn default() -> Self {
        Self { page_size: 2, rate_per_s: 40.0, lag: Duration::from_millis(100) }
    }
}

/// `Phase` of an entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RunnerPhase {
    /// It takes messages.
    Ready,
    /// It will end.
    Draining,
}

/// An entry.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ListedRunner {
    /// `Uid`.
    pub uid: String,
    /// `Backend`: the service.
    pub service: String,
    /// `Address`.
    pub address: SocketAddr,
    /// `Zone`.
    pub zone: String,
    /// `Capacity`.
    pub capacity: u32,
    /// `Phase`.
    pub phase: RunnerPhase,
}

/// The entries since a moment.
#[derive(Debug)]
struct Version {
    since: Instant,
    entries: Vec<ListedRunner>,
}

#[derive(Debug)]
struct Shared {
    plan: ListPlan,
    /// The newest last; the first of them is still shown.
    versions: VecDeque<Version>,
    calls: VecDeque<Instant>,
    refused: u64,
}

/// The list. It is served until this is dropped.
#[derive(Debug)]
pub struct InstanceList {
    shared: Arc<Mutex<Shared>>,
    server: Server,
}

impl InstanceList {
    /// Serves an empty list.
    ///
    /// # Errors
    /// The address cannot be listened on.
    pub async fn start(ip: IpAddr, plan: ListPlan) -> std::io::Result<Self> {
        let first = Version { since: Instant::now(), entries: Vec::new() };
        let versions = VecDeque::from([first]);
        let shared = Arc::new(Mutex::new(Shared { plan, versions, calls: VecDeque::new(), refused: 0 }));
        let served = Arc::clone(&shared);
        let server = Server::start(ip, move |stream| serve(stream, Arc::clone(&served))).await?;
        Ok(Self { shared, server })
    }

    /// Where it is served.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Adds a runner.
    pub fn add(&self, runner: ListedRunner) {
        self.change(|entries| entries.push(runner));
    }

    /// Shows a runner as draining.
    pub fn drain(&self, uid: &str) {
        let shown = |entry: &mut ListedRunner| entry.phase = RunnerPhase::Draining;
        self.change(|entries| entries.iter_mut().filter(|entry| entry.uid == uid).for_each(shown));
    }

    /// Takes a runner off.
    pub fn remove(&self, uid: &str) {
        self.change(|entries| entries.retain(|entry| entry.uid != uid));
    }

    /// Calls that got 429.
    pub fn refused(&self) -> u64 {
        locked(&self.shared).refused
    }

    fn change(&self, change: impl FnOnce(&mut Vec<ListedRunner>)) {
        let mut shared = locked(&self.shared);
        let mut entries = shared.versions.back().map(|version| version.entries.clone()).unwrap_or_default();
        change(&mut entries);
        shared.versions.push_back(Version { since: Instant::now(), entries });
    }
}

impl Shared {
    fn answer(&mut self, request: &HttpRequest, now: Instant) -> HttpResponse {
        if request.method != "GET" || request.path() != "/instances" {
            return HttpResponse::new(404);
        }
        if self.is_over_rate(now) {
            self.refused += 1;
            return HttpResponse::new(429);
        }
        HttpResponse::new(200).with_json(&self.page(request, now))
    }

    fn is_over_rate(&mut self, now: Instant) -> bool {
        while self.calls.front().is_some_and(|at| *at + RATE_WINDOW <= now) {
            self.calls.pop_front();
        }
        let is_over = self.calls.len() as f64 >= self.plan.rate_per_s;
        if !is_over {
            self.calls.push_back(now);
        }
        is_over
    }

    fn page(&mut self, request: &HttpRequest, now: Instant) -> Value {
        let shown = now.checked_sub(self.plan.lag).unwrap_or(now);
        while self.versions.get(1).is_some_and(|next| next.since <= shown) {
            self.versions.pop_front();
        }
        let token = request.query("PageToken").and_then(|token| token.strip_prefix("p-"));
        let from: usize = token.and_then(|token| token.parse().ok()).unwrap_or(0);
        let zone = request.query("Zone");
        let entries = self.versions.front().map(|version| version.entries.as_slice()).unwrap_or_default();
        let wanted = entries.iter().filter(|entry| zone.is_none_or(|zone| entry.zone == zone));
        let listed: Vec<Value> = wanted.skip(from).take(self.plan.page_size + 1).map(entry).collect();
        let is_last = listed.len() <= self.plan.page_size;
        let next = from + self.plan.page_size;
        let listed: Vec<Value> = listed.into_iter().take(self.plan.page_size).collect();
        json!({"Instances": listed, "NextPageToken": (!is_last).then(|| format!("p-{next}"))})
    }
}

async fn serve(stream: TcpStream, shared: Arc<Mutex<Shared>>) {
    let mut connection = HttpConnection::new(stream);
    while let Ok(Some(request)) = connection.read_request().await {
        let response = locked(&shared).answer(&request, Instant::now());
        if connection.write_response(&response).await.is_err() {
            return;
        }
    }
}

fn entry(runner: &ListedRunner) -> Value {
    let phase = match runner.phase {
        RunnerPhase::Ready => "ready",
        RunnerPhase::Draining => "draining",
    };
    json!({
        "Backend": runner.service, "Address": runner.address.to_string(), "Zone": runner.zone,
        "ResourceVersion": "v1", "Capacity": runner.capacity, "Phase": phase, "ColdRemainingMs": 0,
        "Uid": runner.uid,
    })
}

fn locked(shared: &Mutex<Shared>) -> MutexGuard<'_, Shared> {
    shared.lock().unwrap_or_else(PoisonError::into_inner)
}
