//! Clients: they send messages, try again after promises, and ask what became of them.

use std::collections::{BTreeMap, BTreeSet};

use bytes::Bytes;
use rand::Rng as _;
use ruddervalve_edge::core::ClientNumber;
use ruddervalve_edge::front::{FrontHeader, FrontRequest, FrontResponse, Method, StatusCode};

use crate::checks::MessageRecord;
use crate::event::Event;
use crate::network::{Life, Machine};
use crate::places::{HOST, Kind, LIVENESS_MS, LOSS_SLACK_MS, Role, receiver_address};
use crate::process::Input;
use crate::world::World;

/// From a client to an edge, one way, in milliseconds.
const CLIENT_WAY_MS: u64 = 3;
pub const DEADLINE_MS: u64 = 1_200;
/// Askers wait so long for an answer.
pub const ASK_MS: u64 = 2_000;
/// A client whose try was promised not to run waits so long at most.
const LONGEST_RETRY_MS: u64 = 500;
const LONGEST_DELAY_MS: u64 = 1_500;
const READINESS_EVERY_MS: u64 = 1_000;
pub const PROBE_EVERY_MS: u64 = 700;
/// The machines start that long before the traffic.
pub const TRAFFIC_BEGINS_MS: u64 = 10_000;

/// One try of a message.
#[derive(Debug, Clone)]
pub struct Try {
    pub kind: Kind,
    pub path: String,
    pub key: Option<String>,
    pub body: Vec<u8>,
    pub delay_ms: Option<u64>,
    pub callback: bool,
    pub is_poison: bool,
    pub left: u32,
}

/// What a request asks.
#[derive(Debug, Clone)]
pub enum Question {
    Keep(Box<Try>, String),
    Status(String, u32),
    Body(String, u32),
    /// Whether a route that comes and goes is there; the versions that were in force for sure when it was sent.
    Probe {
        number: u32,
        sent_at: u64,
        id: String,
    },
}

/// A request that waits.
#[derive(Debug)]
pub struct Waiting {
    pub question: Question,
    pub edge: Option<Life>,
    pub was_read: bool,
}

/// All clients.
#[derive(Debug, Default)]
pub struct Clients {
    pub waiting: BTreeMap<ClientNumber, Waiting>,
    pub last: u64,
    /// The edges that get new connections, and how often in a row the others have missed.
    misses: BTreeMap<Machine, u32>,
    pub poison: BTreeSet<String>,
    /// Messages whose fate was told at the end.
    pub told: BTreeSet<String>,
}

impl World {
    pub fn begin_clients(&mut self) {
        self.at(0, Event::AskReadiness);
        for kind in Kind::ALL {
            self.at(TRAFFIC_BEGINS_MS, Event::NextMessage(kind));
        }
        self.at(TRAFFIC_BEGINS_MS + 1_000, Event::NextProbe);
    }

    pub fn traffic_ends(&self) -> u64 {
        TRAFFIC_BEGINS_MS + self.scenario.traffic_ms
    }

    pub fn next_message(&mut self, kind: Kind) {
        let traffic = self.scenario.traffic.clone();
        let rate = match kind {
            Kind::Plain => traffic.plain_per_s,
            Kind::Ordered => traffic.ordered_per_s,
            Kind::Endpoint => traffic.endpoint_per_s,
        };
        if rate <= 0.0 || self.now >= self.traffic_ends() {
            return;
        }
        let random = &mut self.traffic_random;
        let mean = 1_000.0 / rate;
        let wait = random.random_range(mean / 4.0..mean * 1.75).max(1.0) as u64;
        let key =
            (kind == Kind::Ordered).then(|| format!("k{}", random.random_range(0..traffic.keys.max(1))));
        let is_delayed = kind == Kind::Plain && random.random_bool(traffic.delayed_part);
        let delay_ms = is_delayed.then(|| random.random_range(100..LONGEST_DELAY_MS));
        let callback = kind == Kind::Plain && random.random_bool(traffic.callback_part);
        let is_poison = random.random_bool(traffic.poison_part);
        let mut body = vec![0; traffic.body_bytes];
        random.fill(body.as_mut_slice());
        let path = format!("{}x", kind.path());
        let left = traffic.retries;
        let attempt = Try { kind, path, key, body, delay_ms, callback, is_poison, left };
        self.after(0, Event::Try(Box::new(attempt)));
        self.after(wait.max(1), Event::NextMessage(kind));
    }

    /// An edge that the platform passes a new connection to.
    pub fn drawn_edge(&mut self) -> Option<Machine> {
        let edges = self.machines(Role::Edge);
        let is_in = |machine: &&Machine| self.clients.misses.get(machine).copied().unwrap_or(0) < 2;
        let inside: Vec<Machine> = edges.iter().filter(is_in).copied().collect();
        let candidates = if inside.len() * 2 < edges.len() { edges } else { inside };
        let place = self.traffic_random.random_range(0..candidates.len().max(1));
        candidates.get(place).copied()
    }

    pub fn ask_readiness(&mut self) {
        for machine in self.machines(Role::Edge) {
            let is_ready = self.hosts.get(machine).is_some_and(|host| {
                let edge = host.process.as_ref().and_then(|process| process.edge());
                !host.is_frozen && host.has_power && edge.is_some_and(|edge| edge.is_ready())
            });
            let misses = self.clients.misses.entry(machine).or_default();
            *misses = if is_ready { 0 } else { misses.saturating_add(1) };
        }
        self.after(READINESS_EVERY_MS, Event::AskReadiness);
    }

    pub fn try_message(&mut self, attempt: Try) {
        self.clients.last += 1;
        let id = format!("m{:06}", self.clients.last);
        if attempt.is_poison {
            self.clients.poison.insert(id.clone());
        }
        let record = MessageRecord {
            kind: attempt.kind,
            path: attempt.path.clone(),
            key: attempt.key.clone(),
            body: attempt.body.clone(),
            sent_at: self.now,
            due_at: self.now + attempt.delay_ms.unwrap_or(0),
            wants_callback: attempt.callback,
            callback_taken: false,
            accepted_at: None,
            name: None,
            refused: None,
            runs: BTreeMap::new(),
            ended_at: None,
        };
        self.checks.sent(id.clone(), record);
        let request = FrontRequest {
            method: Method::POST,
            host: HOST.to_owned(),
            path_and_query: attempt.path.clone(),
            request_id: Some(id.clone()),
            delay_ms: attempt.delay_ms,
            callback_url: attempt.callback.then(|| format!("http://{}/done", receiver_address())),
            ordering_key: attempt.key.clone(),
            content_type: String::new(),
            deadline_ms: Some(DEADLINE_MS),
            body: Bytes::from(attempt.body.clone()),
        };
        self.line(|| format!("client sends {id} {:?} key {:?}", attempt.kind, attempt.key));
        self.ask(Question::Keep(Box::new(attempt), id), request, DEADLINE_MS);
    }

    pub fn question(&mut self, path: String) -> FrontRequest {
        FrontRequest {
            method: Method::GET,
            host: HOST.to_owned(),
            path_and_query: path,
            request_id: None,
            delay_ms: None,
            callback_url: None,
            ordering_key: None,
            content_type: String::new(),
            deadline_ms: Some(ASK_MS),
            body: Bytes::new(),
        }
    }

    pub fn ask(&mut self, question: Question, request: FrontRequest, deadline: u64) {
        self.clients.last += 1;
        let client = ClientNumber(self.clients.last);
        let edge = self.drawn_edge();
        let edge_process = edge.and_then(|machine| self.running(machine));
        let has_power = edge.and_then(|machine| self.hosts.get(machine)).is_some_and(|host| host.has_power);
        self.clients.waiting.insert(client, Waiting { question, edge: edge_process, was_read: false });
        self.after(deadline, Event::ClientTimeout(client));
        match edge_process {
            Some(process) => {
                self.after(CLIENT_WAY_MS, Event::RequestArrives(client, process, Box::new(request)));
            }
            // A dead port resets; a machine without power says nothing.
            None if has_power => self.after(2 * CLIENT_WAY_MS, Event::ClientClosed(client)),
            None => {}
        }
    }

    pub fn request_arrives(&mut self, client: ClientNumber, process: Life, request: Box<FrontRequest>) {
        let Some(waiting) = self.clients.waiting.get_mut(&client) else { return };
        if !self
            .hosts
            .get(process.machine)
            .is_some_and(|host| host.life == process.life && host.process.is_some())
        {
            return self.after(CLIENT_WAY_MS, Event::ClientClosed(client));
        }
        waiting.was_read = true;
        self.hand(process, Input::Client(client, request));
    }

    /// An edge answers: the bytes are on their way.
    pub fn edge_responds(&mut self, process: Life, client: ClientNumber, response: FrontResponse) {
        if self.clients.waiting.get(&client).is_some_and(|waiting| waiting.edge == Some(process)) {
            if response.status == StatusCode::ACCEPTED {
                self.has_acknowledged();
            }
            self.after(CLIENT_WAY_MS, Event::Response(client, Box::new(response)));
        }
    }

    /// The edge of clients is gone: what it had not answered is cut off.
    pub fn clients_lose(&mut self, process: Life) {
        let lost: Vec<ClientNumber> = self
            .clients
            .waiting
            .iter()
            .filter(|(_, waiting)| waiting.edge == Some(process))
            .map(|(client, _)| *client)
            .collect();
        for client in lost {
            self.after(CLIENT_WAY_MS, Event::ClientClosed(client));
        }
    }

    pub fn client_timeout(&mut self, client: ClientNumber) {
        let Some(waiting) = self.clients.waiting.remove(&client) else { return };
        if let Some(process) = waiting.edge {
            self.hand(process, Input::ClientLeft(client));
        }
        self.without_answer(waiting);
    }

    pub fn client_closed(&mut self, client: ClientNumber) {
        let Some(waiting) = self.clients.waiting.remove(&client) else { return };
        if !waiting.was_read
            && let Question::Keep(attempt, _) = &waiting.question
        {
            return self.try_again(attempt.as_ref().clone(), 1);
        }
        if let Question::Keep(_, id) = &waiting.question {
            self.check_cut_off(&id.clone());
        }
        self.without_answer(waiting);
    }

    /// Around planned work alone no request that was read may be cut off.
    fn check_cut_off(&mut self, id: &str) {
        let now = self.now;
        let Some(sent_at) = self.checks.messages.get(id).map(|message| message.sent_at) else { return };
        if now > sent_at + LOSS_SLACK_MS && self.checks.is_calm(sent_at.saturating_sub(LIVENESS_MS), now) {
            let text = format!("{id}, sent at {sent_at} and read whole, is cut off without an answer");
            self.checks.fail(now, "LOST", text);
        }
    }

    pub fn without_answer(&mut self, waiting: Waiting) {
        match waiting.question {
            Question::Status(id, tries) | Question::Body(id, tries) => self.ask_again(id, tries),
            Question::Keep(_, id) => self.line(|| format!("client of {id} has no answer")),
            Question::Probe { .. } => {}
        }
    }

    pub fn try_again(&mut self, mut attempt: Try, wait: u64) {
        if attempt.left > 0 && self.now < self.traffic_ends() {
            attempt.left -= 1;
            self.after(wait, Event::Try(Box::new(attempt)));
        }
    }

    pub fn response(&mut self, client: ClientNumber, response: &FrontResponse) {
        let Some(waiting) = self.clients.waiting.remove(&client) else { return };
        match waiting.question {
            Question::Keep(attempt, id) => self.kept(*attempt, &id, response),
            Question::Status(id, tries) => self.status_told(id, tries, response),
            Question::Body(id, tries) => self.body_told(id, tries, response),
            Question::Probe { number, sent_at, id } => self.probed(number, sent_at, &id, response),
        }
    }

    pub fn kept(&mut self, attempt: Try, id: &str, response: &FrontResponse) {
        let now = self.now;
        let status = response.status;
        self.line(|| format!("client of {id} is answered {status}"));
        match status {
            StatusCode::ACCEPTED => {
                let name = response.headers.iter().find_map(|header| match header {
                    FrontHeader::MessageId(name) => Some(name.clone()),
                    _ => None,
                });
                self.checks.accepted(now, id, name);
            }
            StatusCode::SERVICE_UNAVAILABLE
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::REQUEST_TIMEOUT
            | StatusCode::MISDIRECTED_REQUEST => {
                self.checks.refused(now, id, status.as_u16());
                let wait = self.traffic_random.random_range(50..LONGEST_RETRY_MS);
                self.try_again(attempt, wait);
            }
            StatusCode::GATEWAY_TIMEOUT | StatusCode::BAD_GATEWAY => {}
            other => {
                let text = format!("{id} on a route that always exists is answered {other}");
                self.checks.fail(now, "CONFIG", text);
            }
        }
    }
}
