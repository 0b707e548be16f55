//! Clients: they send messages and ask what became of them.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use displaydoc::Display;
use tokio::time::{Instant, sleep};

use crate::call::call;
use crate::entry_point::EntryPoint;
use crate::eventually::{TimedOut, eventually};
use crate::http_connection::HttpError;
use crate::http_message::{HttpRequest, HttpResponse};

/// Within what time a client wants its answer, in milliseconds: `Deadline-Ms`.
const DEADLINE_MS: u64 = 5_000;
/// Askers wait so long for the state of a message.
const ASK_LIMIT: Duration = Duration::from_secs(2);
/// The pause after a promise, should the answer name none.
const PROMISE_PAUSE: Duration = Duration::from_millis(50);

/// Requests that this process has made: each try carries an id of its own.
static REQUESTS: AtomicU64 = AtomicU64::new(1);

/// Why a message was not accepted.
#[derive(Debug, Display)]
pub enum ClientError {
    /// no edge accepted the message within {0:?}; the last answer was {1}: look into the logs of edges and stores
    NotAccepted(Duration, String),
    /// it is unknown whether the message was accepted ({0}): the edge broke off without a promise
    Unclear(String),
    /// an edge refused the message with {0}: mend the message, or its route
    Refused(u16),
    /// {0}
    TimedOut(TimedOut),
}

impl std::error::Error for ClientError {}

impl From<TimedOut> for ClientError {
    fn from(error: TimedOut) -> Self {
        Self::TimedOut(error)
    }
}

/// A message of a client.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Message {
    /// `Host`.
    pub host: String,
    /// The path with its query.
    pub target: String,
    /// `Ordering-Key`.
    pub ordering_key: Option<String>,
    /// `Callback-Url`.
    pub callback_url: Option<String>,
    /// `Delay-Ms`.
    pub delay_ms: Option<u64>,
    /// The body.
    pub body: Vec<u8>,
}

impl Message {
    /// A message without a body.
    pub fn to(host: &str, target: &str) -> Self {
        Self { host: host.to_owned(), target: target.to_owned(), ..Self::default() }
    }

    /// With this body.
    pub fn with_body(mut self, body: &str) -> Self {
        self.body = body.as_bytes().to_vec();
        self
    }

    /// With this key.
    pub fn with_key(mut self, key: &str) -> Self {
        self.ordering_key = Some(key.to_owned());
        self
    }

    /// With this URL.
    pub fn with_callback(mut self, url: &str) -> Self {
        self.callback_url = Some(url.to_owned());
        self
    }

    /// The request of one try.
    pub fn request(&self, request_id: &str) -> HttpRequest {
        let mut request = HttpRequest::new("POST", &self.target)
            .with("Host", &self.host)
            .with("Request-Id", request_id)
            .with("Deadline-Ms", &DEADLINE_MS.to_string());
        let delay = self.delay_ms.map(|delay| delay.to_string());
        let optional = [
            ("Ordering-Key", &self.ordering_key),
            ("Callback-Url", &self.callback_url),
            ("Delay-Ms", &delay),
        ];
        for (name, value) in optional {
            if let Some(value) = value {
                request.headers.add(name, value);
            }
        }
        request.with_body(self.body.clone())
    }
}

/// A message that was accepted.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Accepted {
    /// The `Request-Id` of the try that was accepted.
    pub request_id: String,
    /// Its name: `Message-Id`, or else the request's id.
    pub name: String,
    /// Its `Host`.
    pub host: String,
    /// Tries that were turned away with a promise before it: these must never run.
    pub promised: Vec<String>,
}

/// What is said about a message.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MessageState {
    /// `Phase`.
    pub phase: String,
    /// `Signature`.
    pub signature: Option<String>,
}

/// A client. Each request goes over a new connection, which the entry point hands to an edge.
#[derive(Debug)]
pub struct Client {
    entry: EntryPoint,
}

impl Client {
    /// A client that comes in here.
    pub fn of(entry: EntryPoint) -> Self {
        Self { entry }
    }

    /// An id for one try.
    pub fn new_request_id() -> String {
        let number = REQUESTS.fetch_add(1, Ordering::Relaxed);
        format!("{:08x}{number:08x}", std::process::id())
    }

    /// Sends a message until it is accepted: again on another edge after a promise, or where no connection came up.
    ///
    /// # Errors
    /// It was not accepted within the limit, was refused for good, or it is unknown whether it was accepted.
    pub async fn send(&self, message: &Message, limit: Duration) -> Result<Accepted, ClientError> {
        let deadline = Instant::now() + limit;
        let mut promised = Vec::new();
        loop {
            let request_id = Self::new_request_id();
            let answer = self.try_once(message, &request_id).await;
            let last = match answer {
                Ok(response) if response.status == 202 => {
                    return Ok(accepted(message, request_id, promised, &response));
                }
                Ok(response) if matches!(response.status, 408 | 421 | 429 | 503) => {
                    promised.push(request_id);
                    response.status.to_string()
                }
                Ok(response) if response.status >= 500 => {
                    return Err(ClientError::Unclear(response.status.to_string()));
                }
                Ok(response) => return Err(ClientError::Refused(response.status)),
                Err(HttpError::Io(error)) if error.kind() == std::io::ErrorKind::ConnectionRefused => {
                    error.to_string()
                }
                Err(error) => return Err(ClientError::Unclear(error.to_string())),
            };
            if Instant::now() >= deadline {
                return Err(ClientError::NotAccepted(limit, last));
            }
            sleep(PROMISE_PAUSE).await;
        }
    }

    /// Sends a message once, to the next edge.
    ///
    /// # Errors
    /// There was no whole answer.
    pub async fn try_once(&self, message: &Message, request_id: &str) -> Result<HttpResponse, HttpError> {
        let limit = Duration::from_millis(DEADLINE_MS);
        call(self.next_edge(), &message.request(request_id), limit).await
    }

    /// Asks any edge for the state of a message; none where the answer was no 200.
    pub async fn state(&self, message: &Accepted) -> Option<MessageState> {
        self.state_at(self.next_edge(), message).await
    }

    /// Asks this edge for the state of a message; none where the answer was no 200.
    pub async fn state_at(&self, edge: SocketAddr, message: &Accepted) -> Option<MessageState> {
        let response = ask(edge, &format!("/api/message/{}", message.name), &message.host).await?;
        let body = response.json();
        let text = |key: &str| body.get(key).and_then(|value| value.as_str()).map(str::to_owned);
        Some(MessageState { phase: text("Phase")?, signature: text("Signature") })
    }

    /// Asks this edge for the bytes of a message; none where the answer was no 200.
    pub async fn body_at(&self, edge: SocketAddr, message: &Accepted) -> Option<Vec<u8>> {
        let response = ask(edge, &format!("/api/message-body/{}", message.name), &message.host).await?;
        Some(response.body)
    }

    /// Asks until the message has ended.
    ///
    /// # Errors
    /// It had not ended within the limit.
    pub async fn ended(&self, message: &Accepted, limit: Duration) -> Result<MessageState, TimedOut> {
        let condition = format!("the end of message {}", message.name);
        let has_ended = |state: MessageState| (state.phase != "pending").then_some(state);
        eventually(&condition, limit, async || self.state(message).await.and_then(has_ended)).await
    }

    fn next_edge(&self) -> SocketAddr {
        // Without any edge nothing listens at the address.
        self.entry.next_front().unwrap_or_else(|| SocketAddr::from(([127, 0, 0, 1], 0)))
    }
}

async fn ask(edge: SocketAddr, target: &str, host: &str) -> Option<HttpResponse> {
    let request = HttpRequest::new("GET", target).with("Host", host);
    call(edge, &request, ASK_LIMIT).await.ok().filter(|response| response.status == 200)
}

fn accepted(
    message: &Message,
    request_id: String,
    promised: Vec<String>,
    response: &HttpResponse,
) -> Accepted {
    let name = response.headers.get("Message-Id").unwrap_or(&request_id).to_owned();
    Accepted { name, request_id, host: message.host.clone(), promised }
}
