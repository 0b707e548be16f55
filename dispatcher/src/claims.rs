//! Owns the connections to execute nodes: one claim is one request there, its stream of news, and exactly one outcome.
//! It must never send a claim again by itself, choose a node, or take a connection that broke after the request may have
//! gone out for one that never came up.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use actix_http::{Method, header::HeaderMap};
use awc::error::{ConnectError, SendRequestError};
use awc::{Client, Connector};
use bytes::{Bytes, BytesMut};
use futures_util::StreamExt as _;
use ruddervalve::{LoadReport, Outcome};
use ruddervalve_settings::Network;
use serde::Deserialize;
use serde_json::value::RawValue;
use tokio::task::AbortHandle;

use crate::broker::Broker;
use crate::clock::{Clock, span};

/// The longest line of news that is read: a result fills a body at most, and escapes may double it.
const LONGEST_LINE: usize = 256 << 10;
/// Claims at one node at once, far above what its slots and queue take from one dispatcher: keeps the idle connections
/// that remain behind a jam within the descriptors.
const AT_ONE_NODE: usize = 32;
/// After its last line a stream ends at once; one that does not loses its connection.
const TAIL: Duration = Duration::from_secs(1);

/// A job as it goes to an execute node: the bytes that came.
#[derive(Debug)]
pub struct Errand {
    /// The method.
    pub method: Method,
    /// Path and query.
    pub target: String,
    /// The headers that go along.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
}

/// The client for execute nodes and discovery: no retries, no redirects, no time-out but that of connecting.
pub fn client(network: &Network) -> Client {
    let connector = Connector::new()
        .timeout(span(network.connect_timeout_ms))
        // A node closes idle connections after `conn_idle`; a claim written to one then would be lost.
        .conn_keep_alive(span(network.conn_idle_ms * 0.8))
        .conn_lifetime(Duration::from_secs(86_400))
        // The pool would make a claim beyond its limit wait, and reach a node that drains by then: [`Claims`] counts.
        .limit(0);
    Client::builder().connector(connector).disable_timeout().disable_redirects().no_default_headers().finish()
}

/// The claims that are out.
pub struct Claims {
    client: RefCell<Client>,
    broker: Rc<Broker>,
    clock: Clock,
    limit: Cell<usize>,
    out: RefCell<BTreeMap<(u64, usize), (SocketAddr, AbortHandle)>>,
}

/// How a claim ended.
struct End {
    outcome: Outcome,
    result: Option<Bytes>,
    load: Option<LoadReport>,
}

impl From<Outcome> for End {
    fn from(outcome: Outcome) -> Self {
        Self { outcome, result: None, load: None }
    }
}

impl Claims {
    /// Claims for a broker, so many at once at most.
    pub fn new(client: Client, broker: Rc<Broker>, clock: Clock, limit: usize) -> Rc<Self> {
        let (client, limit) = (RefCell::new(client), Cell::new(limit));
        Rc::new(Self { client, broker, clock, limit, out: RefCell::new(BTreeMap::new()) })
    }

    /// From now on so many claims at once at most.
    pub fn limit_to(&self, limit: usize) {
        self.limit.set(limit);
    }

    /// Further claims go by this client; those that are out end as they began.
    pub fn go_by(&self, client: Client) {
        self.client.replace(client);
    }

    /// Starts a claim.
    pub fn start(
        self: &Rc<Self>,
        claim: (u64, usize),
        address: SocketAddr,
        errand: Rc<Errand>,
        until_ms: f64,
    ) {
        let there = self.out.borrow().values().filter(|out| out.0 == address).count();
        if self.out.borrow().len() >= self.limit.get() || there >= AT_ONE_NODE {
            return self.broker.ended(claim, Outcome::Skipped, None, None);
        }
        let this = self.clone();
        // Registered before the task first runs: tasks of this thread start only after this call.
        let task = actix_rt::spawn(async move { this.run(claim, address, errand, until_ms).await });
        self.out.borrow_mut().insert(claim, (address, task.abort_handle()));
    }

    /// Gives a claim up: its connection is closed, whatever has come on it.
    pub fn withdraw(&self, claim: (u64, usize)) {
        let Some((_, task)) = self.out.borrow_mut().remove(&claim) else {
            return; // its outcome is already told
        };
        task.abort();
        self.broker.ended(claim, Outcome::Cancelled, None, None);
    }

    async fn run(&self, claim: (u64, usize), address: SocketAddr, errand: Rc<Errand>, until_ms: f64) {
        let mut tail = None;
        let wait = self.clock.until(until_ms);
        let end =
            tokio::time::timeout(wait, self.perform(claim, address, &errand, until_ms, &mut tail)).await;
        let End { outcome, result, load } = end.unwrap_or_else(|_| Outcome::TimedOut.into());
        // Whoever takes the claim off the table tells its outcome.
        if self.out.borrow_mut().remove(&claim).is_none() {
            return;
        }
        self.broker.ended(claim, outcome, result, load);
        // Only a stream read to its end gives its connection back.
        if let Some(mut stream) = tail {
            let _ =
                tokio::time::timeout(TAIL, async { while let Some(Ok(_)) = stream.next().await {} }).await;
        }
    }

    async fn perform(
        &self,
        claim: (u64, usize),
        address: SocketAddr,
        errand: &Errand,
        until_ms: f64,
        tail: &mut Option<awc::ClientResponse>,
    ) -> End {
        let client = self.client.borrow().clone();
        let mut request = client
            .request(errand.method.clone(), format!("http://{address}{}", errand.target))
            .address(address);
        *request.headers_mut() = errand.headers.clone();
        let left = (until_ms - self.clock.now()).max(0.0) as u64;
        request = request.insert_header(("x-remaining-ms", left));
        let mut response = match request.send_body(errand.body.clone()).await {
            Ok(response) => response,
            Err(error) => return outcome_of(&error).into(),
        };
        let status = response.status().as_u16();
        if status != 200 {
            let turned_away = response.headers().get("x-turned-away").is_some_and(|value| value == "1");
            let load =
                response.headers().get("x-pressure").and_then(|value| value.to_str().ok()).map(read_header);
            *tail = Some(response);
            let outcome = match status {
                503 | 504 if turned_away => Outcome::Full,
                // Guards nodes against jobs that no node can use: those are no failures of theirs.
                400..=499 => Outcome::Unusable,
                _ => Outcome::Error,
            };
            return End { outcome, result: None, load };
        }
        let mut lines = BytesMut::new();
        while let Some(Ok(bytes)) = response.next().await {
            lines.extend_from_slice(&bytes);
            while let Some(end) = lines.iter().position(|byte| *byte == b'\n') {
                let line = lines.split_to(end + 1);
                match read_line(&line) {
                    Some(News::Started) => self.broker.started(claim),
                    Some(News::Progress(done)) => self.broker.progress(claim, done),
                    Some(News::End(end)) => {
                        *tail = Some(response);
                        return end;
                    }
                    None => {}
                }
            }
            if lines.len() > LONGEST_LINE {
                break;
            }
        }
        // Broken or ended before its last line: the job may have run.
        Outcome::Reset.into()
    }
}

/// What a failed request says of the job. It never ran only if its last byte surely was not written: no connection came
/// up, or a write failed. A connection that ended before the answer is reported among the connect errors, too, but then
/// the request had been written.
fn outcome_of(error: &SendRequestError) -> Outcome {
    match error {
        SendRequestError::Connect(ConnectError::Disconnected) => Outcome::Reset,
        SendRequestError::Connect(_) | SendRequestError::Send(_) | SendRequestError::Url(_) => {
            Outcome::ConnectFailed
        }
        _ => Outcome::Reset,
    }
}

enum News {
    Started,
    Progress(f64),
    End(End),
}

#[derive(Deserialize)]
struct Line<'a> {
    #[serde(borrow)]
    state: std::borrow::Cow<'a, str>,
    share: Option<f64>,
    #[serde(borrow)]
    result: Option<&'a RawValue>,
    load: Option<BTreeMap<String, serde_json::Value>>,
}

/// One line of a node's stream; none if it says nothing that is known.
fn read_line(line: &[u8]) -> Option<News> {
    let line: Line = serde_json::from_slice(line).ok()?;
    let load = line.load.as_ref().map(|load| {
        let value = |name: &str| load.get(name).and_then(serde_json::Value::as_f64);
        LoadReport { free_slots: value("x0"), queued: value("queue").or(value("backlog")) }
    });
    let end = |outcome| Some(News::End(End { outcome, result: None, load }));
    match line.state.as_ref() {
        "started" => Some(News::Started),
        "running" => Some(News::Progress(line.share.unwrap_or(0.0))),
        "done" => {
            // The result of a text is the text, of anything else its JSON as it came.
            let raw = line.result.map_or("\"\"", RawValue::get);
            let text = serde_json::from_str::<String>(raw).unwrap_or_else(|_| raw.to_owned());
            Some(News::End(End { outcome: Outcome::Served, result: Some(Bytes::from(text)), load }))
        }
        "failed" => end(Outcome::Error),
        "returned" => end(Outcome::Full),
        "lost" => end(Outcome::Reset),
        _ => None,
    }
}

/// A load report in a header: `TEXT name=value, name=value`.
fn read_header(text: &str) -> LoadReport {
    let pairs = text.trim_start_matches("TEXT").split(',').filter_map(|pair| pair.trim().split_once('='));
    let mut load = LoadReport::default();
    for (name, value) in pairs {
        match name.trim() {
            "x0" => load.free_slots = value.trim().parse().ok(),
            "queue" | "backlog" => load.queued = value.trim().parse().ok(),
            _ => {}
        }
    }
    load
}
