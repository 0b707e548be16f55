//! Clients that send messages through the platform's address.

use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http;
use crate::site::{Entry, Record};

/// How long a client waits for its 202, as the site has it.
const DEADLINE: Duration = Duration::from_millis(1_200);

/// Messages that were accepted: request id and name.
pub type Accepted = Arc<Mutex<Vec<(String, String)>>>;

/// What a client sends.
#[derive(Clone)]
pub struct Order {
    pub host: &'static str,
    pub path: &'static str,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

/// Sends messages at an even rate for some time, each on a connection of its own; returns what was accepted.
pub fn traffic(
    record: &Record,
    entry: &Entry,
    order: &Order,
    mark: char,
    per_s: u64,
    length: Duration,
) -> Accepted {
    let accepted = Accepted::default();
    let gap = Duration::from_nanos(1_000_000_000 / per_s);
    let (record, entry, order, all) = (record.clone(), entry.clone(), order.clone(), Arc::clone(&accepted));
    thread::spawn(move || {
        let began = Instant::now();
        let mut number = 0u32;
        while began.elapsed() < length {
            let (record, entry, order, all) =
                (record.clone(), entry.clone(), order.clone(), Arc::clone(&all));
            thread::spawn(move || {
                send(&record, &entry, &order, &format!("{mark}{number:08x}"), number, &all)
            });
            number += 1;
            thread::sleep((gap * number).saturating_sub(began.elapsed()));
        }
    });
    accepted
}

/// One message, without a retry.
fn send(
    record: &Record,
    entry: &Entry,
    order: &Order,
    mark: &str,
    number: u32,
    all: &Mutex<Vec<(String, String)>>,
) {
    let fronts = entry.fronts();
    // The platform hashes the client: an even draw is as good.
    let spread = u64::from(number).wrapping_add(1).wrapping_mul(0x9E37_79B9_7F4A_7C15) >> 33;
    let front = fronts[spread as usize % fronts.len()];
    let id = format!("{:08x}{mark}", std::process::id());
    let mut headers = vec![("Host", order.host), ("Request-Id", id.as_str()), ("Deadline-Ms", "1200")];
    headers.extend(order.headers.iter().map(|(name, value)| (name.as_str(), value.as_str())));
    record.note(format!("sent {id} to {front}"));
    match http::call(front, &format!("POST {}", order.path), &headers, &order.body, DEADLINE) {
        Ok(answer) => {
            record.note(format!("answered {id} {}", answer.status()));
            if answer.status() == 202 {
                let name = answer.header("message-id").unwrap_or(&id).to_owned();
                if let Ok(mut all) = all.lock() {
                    all.push((id.clone(), name));
                }
            }
        }
        Err(error) => record.note(format!("no answer {id}: {error}")),
    }
}

/// The state of a message, asked at any edge until one answers; none if none does.
pub fn state(entry: &Entry, host: &str, name: &str) -> Option<String> {
    for front in entry.fronts() {
        let line = format!("GET /api/message/{name}");
        let answer = http::call(front, &line, &[("Host", host)], b"", Duration::from_secs(2));
        if let Ok(answer) = answer
            && matches!(answer.status(), 200 | 404)
        {
            return Some(if answer.status() == 200 { answer.text() } else { String::from("404") });
        }
    }
    None
}
