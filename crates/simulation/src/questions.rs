//! Clients that try routes which come and go, and ask what became of messages.

use std::collections::BTreeMap;

use rand::Rng as _;
use ruddervalve_edge::front::{FrontResponse, Method, StatusCode};

use crate::checks::MessageRecord;
use crate::clients::{ASK_MS, DEADLINE_MS, PROBE_EVERY_MS, Question};
use crate::event::Event;
use crate::places::{EXTRA_ROUTES, Kind, extra_path};
use crate::world::World;

/// A question at the end is asked so often at most.
const MOST_QUESTIONS: u32 = 20;

impl World {
    // Routes that come and go.

    pub fn next_probe(&mut self) {
        if self.now >= self.traffic_ends() {
            return;
        }
        let number = self.traffic_random.random_range(0..EXTRA_ROUTES);
        self.clients.last += 1;
        let id = format!("m{:06}", self.clients.last);
        let path = format!("{}x", extra_path(number));
        let record = MessageRecord {
            kind: Kind::Plain,
            path: path.clone(),
            key: None,
            body: Vec::new(),
            sent_at: self.now,
            due_at: self.now,
            wants_callback: false,
            callback_taken: false,
            accepted_at: None,
            name: None,
            refused: None,
            runs: BTreeMap::new(),
            ended_at: None,
        };
        self.checks.sent(id.clone(), record);
        let mut request = self.question(path);
        request.method = Method::POST;
        request.request_id = Some(id.clone());
        let question = Question::Probe { number, sent_at: self.now, id };
        self.ask(question, request, DEADLINE_MS);
        self.after(PROBE_EVERY_MS, Event::NextProbe);
    }

    pub fn probed(&mut self, number: u32, sent_at: u64, id: &str, response: &FrontResponse) {
        let now = self.now;
        if !self.checks.in_touch(now) {
            return;
        }
        // What is accepted may lose its route before it runs; that ends it, so it is not looked at again.
        let is_accepted = response.status == StatusCode::ACCEPTED;
        let is_unknown = response.status == StatusCode::NOT_FOUND;
        if is_accepted && self.operator.is_surely_without(number, sent_at) {
            let text = format!("{id} is accepted at {now} on the route extra{number}, which was dropped");
            self.checks.fail(now, "CONFIG", text);
        }
        if is_unknown && self.operator.is_surely_with(number, sent_at) {
            let text = format!("{id} is answered 404 at {now} on the route extra{number}, which is there");
            self.checks.fail(now, "CONFIG", text);
        }
    }

    // Questions at the end.

    pub fn ask_message(&mut self, id: &str, tries: u32) {
        let Some(name) = self.checks.messages.get(id).and_then(|message| message.name.clone()) else {
            return;
        };
        let request = self.question(format!("/api/message/{name}"));
        self.ask(Question::Status(id.to_owned(), tries), request, ASK_MS);
    }

    pub fn ask_again(&mut self, id: String, tries: u32) {
        if tries < MOST_QUESTIONS {
            self.after(300, Event::AskMessage(id, tries + 1));
        }
    }

    pub fn status_told(&mut self, id: String, tries: u32, response: &FrontResponse) {
        let now = self.now;
        if response.status != StatusCode::OK {
            self.line(|| format!("the state of {id} is answered {}", response.status));
            return self.ask_again(id, tries);
        }
        let text = String::from_utf8_lossy(&response.body).into_owned();
        let signature = text.split("\"Signature\":\"").nth(1).and_then(|rest| rest.split('"').next());
        let phase = ["pending", "succeeded", "dead_letter"].into_iter().find(|phase| text.contains(phase));
        let Some(phase) = phase else { return self.ask_again(id, tries) };
        self.checks.reported(now, &id, phase, signature.unwrap_or_default());
        if phase != "pending" {
            self.clients.told.insert(id);
            return;
        }
        let Some(name) = self.checks.messages.get(&id).and_then(|message| message.name.clone()) else {
            return;
        };
        let request = self.question(format!("/api/message-body/{name}"));
        self.ask(Question::Body(id, tries), request, ASK_MS);
    }

    pub fn body_told(&mut self, id: String, tries: u32, response: &FrontResponse) {
        if response.status != StatusCode::OK {
            // It may have ended meanwhile: the state is asked again.
            return self.ask_again(id, tries);
        }
        let same = self.checks.messages.get(&id).is_some_and(|message| message.body == response.body);
        if !same {
            let now = self.now;
            self.checks.fail(now, "MIXED", format!("the body of {id} is another"));
        }
        self.clients.told.insert(id);
    }
}
