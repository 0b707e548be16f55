//! Owns the platform's protocol towards submitters: connections, what a job must look like, and how answers are worded.
//! It must never decide about a job, nor answer one by itself once the broker has it.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use actix_http::error::DispatchError;
use actix_http::header::{self, HeaderMap, HeaderName};
use actix_http::{
    ConnectionType, HttpMessage as _, HttpService, KeepAlive, Method, Request, Response, StatusCode,
};
use actix_service::{Service as _, ServiceFactory as _, fn_service};
use bytes::{Bytes, BytesMut};
use futures_util::StreamExt as _;
use ruddervalve::JobFacts;
use ruddervalve_settings::Network;
use tokio::net::TcpListener;
use tokio::sync::watch;

use crate::broker::{Answer, Broker};
use crate::claims::Errand;
use crate::clock::Clock;
use crate::counters::Counters;

/// The longest body.
const LONGEST_BODY: usize = 64 << 10;
/// How long a connection is kept for a submitter to read an answer that came before its body was read.
const LINGER: Duration = Duration::from_secs(2);
/// Connections end about as fast as jobs do: long enough for some to, and short beside a submitter's patience.
const CROWDED_WAIT_MS: f64 = 250.0;
/// After an error of accepting, such as a want of descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(5);

/// The platform's front.
pub struct Front {
    broker: Rc<Broker>,
    clock: Clock,
    counters: Rc<Counters>,
    /// Answers say that the connection ends.
    closing: Cell<bool>,
    connections: Cell<usize>,
    /// Connections that submitters may hold; on further ones nothing is taken.
    most: Cell<usize>,
    /// When submitters come back that found too many others connected.
    crowded_wait_ms: Cell<f64>,
}

/// Why a request is no job.
struct Bad(StatusCode, &'static str);

impl Front {
    /// A front to a broker.
    pub fn new(
        broker: Rc<Broker>,
        clock: Clock,
        counters: Rc<Counters>,
        most: usize,
        network: &Network,
    ) -> Rc<Self> {
        let crowded_wait_ms = Cell::new(network.max_retry_after_ms.min(CROWDED_WAIT_MS));
        let (closing, connections, most) = (Cell::new(false), Cell::new(0), Cell::new(most));
        Rc::new(Self { broker, clock, counters, closing, connections, most, crowded_wait_ms })
    }

    /// Takes new limits.
    pub fn limit_to(&self, most: usize, network: &Network) {
        self.most.set(most);
        self.crowded_wait_ms.set(network.max_retry_after_ms.min(CROWDED_WAIT_MS));
    }

    /// From now on each answer ends its connection.
    pub fn close_after_answers(&self) {
        self.closing.set(true);
    }

    /// How many connections submitters hold.
    pub fn connections(&self) -> usize {
        self.connections.get()
    }

    /// Serves connections until `stop` says so; those that are busy are then finished, idle ones closed.
    pub async fn serve(self: Rc<Self>, listener: TcpListener, mut stop: watch::Receiver<bool>) {
        let (this, ended) = (self.clone(), stop.clone());
        let factory = HttpService::build()
            .keep_alive(KeepAlive::Os)
            .client_request_timeout(Duration::ZERO)
            .client_disconnect_timeout(LINGER)
            // A submitter that ends its sending has left.
            .h1_allow_half_closed(false)
            .graceful_shutdown_signal(move || {
                let mut ended = ended.clone();
                async move {
                    let _ = ended.wait_for(|stop| *stop).await;
                }
            })
            .h1(fn_service(move |request: Request| {
                let this = this.clone();
                async move { Ok::<_, actix_http::Error>(this.handle(request).await) }
            }));
        let Ok(service) = factory.new_service(()).await else { return };
        let service = Rc::new(service);
        loop {
            let accepted = tokio::select! {
                accepted = listener.accept() => accepted,
                _ = stop.wait_for(|stop| *stop) => return,
            };
            match accepted {
                Ok((stream, peer)) => {
                    let _ = stream.set_nodelay(true);
                    self.connections.set(self.connections.get() + 1);
                    self.counters.highest("connections", "submitters_at_once", self.connections.get() as u64);
                    self.counters.count("connections", "submitters");
                    let (this, service) = (self.clone(), service.clone());
                    actix_rt::spawn(async move {
                        // The library words the answer to what is no HTTP by itself: here it is counted.
                        if let Err(DispatchError::Parse(_)) =
                            service.call((stream, Some::<SocketAddr>(peer))).await
                        {
                            this.counters.count("bad_input", "not_http");
                        }
                        this.connections.set(this.connections.get() - 1);
                    });
                }
                Err(error) => {
                    self.counters.count("connections", "accept_failed");
                    self.counters.say(self.clock.now(), format_args!("accept: {error}"));
                    tokio::time::sleep(ACCEPT_PAUSE).await;
                }
            }
        }
    }

    async fn handle(&self, request: Request) -> Response<Bytes> {
        let came_ms = self.clock.now();
        // Guards against running out of descriptors: a dispatcher that cannot claim or accept would lose what it took.
        let health = request.path() == "/healthz";
        let crowded = !health && self.connections.get() > self.most.get();
        let mut response = if health {
            let ready = self.broker.ready() && !self.closing.get();
            let status = if ready { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
            Response::with_body(status, Bytes::new())
        } else if crowded {
            self.counters.count("answers", "crowded");
            worded(Answer::Refused { wait_ms: self.crowded_wait_ms.get() })
        } else {
            match self.job(came_ms, request).await {
                Ok(answer) => worded(answer),
                Err(Bad(status, problem)) => {
                    self.counters.count("bad_input", problem);
                    self.counters.say(self.clock.now(), format_args!("bad input: {problem}"));
                    Response::with_body(status, Bytes::from_static(problem.as_bytes()))
                }
            }
        };
        if self.closing.get() || crowded {
            response.head_mut().set_connection_type(ConnectionType::Close);
        }
        response
    }

    async fn job(&self, came_ms: f64, mut request: Request) -> Result<Answer, Bad> {
        let facts = self.facts(&request)?;
        let length = text(request.headers(), "content-length").and_then(|length| length.parse().ok());
        let too_long = Bad(StatusCode::PAYLOAD_TOO_LARGE, "body_too_long");
        if length.is_some_and(|length: usize| length > LONGEST_BODY) {
            return Err(too_long);
        }
        let (mut payload, mut body) = (request.take_payload(), BytesMut::new());
        while let Some(chunk) = payload.next().await {
            let chunk = chunk.map_err(|_| Bad(StatusCode::BAD_REQUEST, "body_broken"))?;
            if body.len() + chunk.len() > LONGEST_BODY {
                return Err(too_long);
            }
            body.extend_from_slice(&chunk);
        }
        let errand = Errand {
            method: request.method().clone(),
            target: (request.uri().path_and_query()).map_or("/", |target| target.as_str()).to_owned(),
            headers: passed_on(request.headers()),
            body: body.freeze(),
        };
        Ok(self.broker.submit(came_ms, facts, errand).answer().await)
    }

    /// The fields that decisions need.
    fn facts(&self, request: &Request) -> Result<JobFacts, Bad> {
        let bad = |problem| Bad(StatusCode::BAD_REQUEST, problem);
        let headers = request.headers();
        if request.method() != Method::POST {
            return Err(Bad(StatusCode::METHOD_NOT_ALLOWED, "method"));
        }
        if text(headers, "x-txn").is_none_or(str::is_empty) {
            return Err(bad("x_txn"));
        }
        let class = text(headers, "x-lane").ok_or(bad("x_lane"))?;
        if request.path().split('/').nth(1) != Some(class) {
            return Err(bad("class_in_path"));
        }
        if !self.broker.knows_class(class) {
            return Err(Bad(StatusCode::NOT_FOUND, "class_unknown"));
        }
        let tenant = text(headers, "x-org");
        if !self.broker.knows_tenant(tenant) {
            return Err(bad("x_org"));
        }
        let remaining = text(headers, "x-remaining-ms").and_then(|ms| ms.parse::<u32>().ok());
        let labels = text(headers, "x-labels").unwrap_or_default();
        let label = |names: [&str; 3]| {
            let pairs = labels.split(',').filter_map(|pair| pair.trim().split_once('='));
            let value =
                |(name, value): (&str, &str)| names.contains(&name).then(|| value.parse::<f64>().ok());
            pairs.filter_map(value).flatten().find(|value| value.is_finite() && *value >= 0.0)
        };
        Ok(JobFacts {
            class: class.to_owned(),
            tenant: tenant.map(str::to_owned),
            remaining_ms: f64::from(remaining.ok_or(bad("x_remaining_ms"))?),
            slots: label(["slots", "width", "x1"]).unwrap_or(1.0),
            memory: label(["memory", "mem", "x2"]).unwrap_or(0.0),
            hint_ms: text(headers, "x-estimate")
                .and_then(|ms| ms.parse().ok())
                .filter(|ms: &f64| ms.is_finite() && *ms >= 0.0),
        })
    }
}

/// How an answer is worded in the platform's protocol.
fn worded(answer: Answer) -> Response<Bytes> {
    match answer {
        Answer::Served(result) => Response::with_body(StatusCode::OK, result),
        Answer::Refused { wait_ms } => {
            let mut response = Response::with_body(StatusCode::SERVICE_UNAVAILABLE, Bytes::new());
            let seconds = format!("{:.3}", wait_ms / 1e3);
            if let Ok(value) = header::HeaderValue::from_str(&seconds) {
                response.headers_mut().insert(header::RETRY_AFTER, value);
            }
            response
        }
        Answer::Failed => Response::with_body(StatusCode::BAD_GATEWAY, Bytes::new()),
    }
}

fn text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

/// The headers that go on to an execute node: all but those of the one connection and of the time left.
fn passed_on(headers: &HeaderMap) -> HeaderMap {
    const OWN: [HeaderName; 6] = [
        header::CONNECTION,
        header::CONTENT_LENGTH,
        header::EXPECT,
        header::TRANSFER_ENCODING,
        header::UPGRADE,
        HeaderName::from_static("x-remaining-ms"),
    ];
    headers
        .iter()
        .filter(|(name, _)| !OWN.contains(name))
        .map(|(name, value)| (name.clone(), value.clone()))
        .collect()
}
