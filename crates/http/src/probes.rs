//! Owns the probes of execute nodes: one question for load or health each, on a connection of the claims' share, and
//! exactly one outcome. It must never probe a node that the decisions did not name, wait on a connection behind a claim,
//! repeat a probe by itself, or guess what a report leaves out.

use std::rc::Rc;

use awc::{ClientResponse, http::StatusCode};
use ruddervalve::{LoadReport, Outcome};
use ruddervalve_broker::{Broker, Counters, Probe};
use ruddervalve_settings::Asked;

use crate::claims::{Claims, Fields, Lane, header_load, outcome_of, read_fields, read_header, turned_away};

/// The longest report that is read.
const LONGEST_REPORT: usize = 4 << 10;

/// Asks nodes for their load.
pub struct Probes {
    broker: Rc<Broker>,
    claims: Rc<Claims>,
    counters: Rc<Counters>,
}

/// How a probe ended, what came with it, and by which name it is counted.
struct End {
    outcome: Outcome,
    load: Option<LoadReport>,
    counted: &'static str,
    /// The answer was read to its end.
    whole: bool,
}

impl End {
    fn of(outcome: Outcome, counted: &'static str) -> Self {
        Self { outcome, load: None, counted, whole: false }
    }
}

impl Probes {
    /// Probes for a broker, on connections of these claims.
    pub fn new(broker: Rc<Broker>, claims: Rc<Claims>, counters: Rc<Counters>) -> Rc<Self> {
        Rc::new(Self { broker, claims, counters })
    }

    /// Sends a probe.
    pub fn start(self: &Rc<Self>, probe: Probe) {
        let Some((lane, busy)) = self.claims.take_lane(probe.address, false) else {
            return self.end(&probe, &End::of(Outcome::Skipped, "no_room"));
        };
        self.counters.count("probes", "sent");
        let (this, (asked, patience)) = (self.clone(), self.claims.of_probes());
        actix_rt::spawn(async move {
            let answer = ask(&probe, &lane, asked);
            let end = tokio::time::timeout(patience, answer).await;
            let end = end.unwrap_or_else(|_| End::of(Outcome::TimedOut, "late"));
            if end.whole {
                this.claims.keep_lane(probe.address, lane);
            }
            drop(busy);
            this.end(&probe, &end);
        });
    }

    fn end(&self, probe: &Probe, end: &End) {
        self.counters.count("probes", end.counted);
        let Some(load) = &end.load else { return self.broker.probed(probe, end.outcome, None) };
        if load.free_slots.is_none() {
            self.counters.count("probes", "without_free_slots");
        }
        self.broker.probed(probe, end.outcome, end.load);
    }
}

async fn ask(probe: &Probe, lane: &Lane, asked: Asked) -> End {
    let path = match asked {
        Asked::Load => "load",
        Asked::Health => "healthz",
    };
    let made = lane.made();
    lane.for_a_probe();
    let url = format!("http://{}/{path}", probe.address);
    let sent = lane.client.get(url).address(probe.address).send().await;
    let kept = made > 0 && lane.made() == made;
    let mut answer = match sent {
        Ok(answer) => answer,
        // What ends a kept connection says nothing of the node.
        Err(_) if kept => return End::of(Outcome::Skipped, "kept_broken"),
        Err(error) => return End::of(outcome_of(&error, false), "could_not_ask"),
    };
    let (outcome, counted) = match answer.status() {
        StatusCode::OK => (Outcome::Served, "answered"),
        _ if turned_away(&answer) => (Outcome::Full, "turned_away"),
        // A node that knows no probes is not at fault: the settings are.
        StatusCode::NOT_FOUND => (Outcome::Skipped, "not_known_there"),
        _ => (Outcome::Error, "unwell"),
    };
    let (load, whole) = read_answer(&mut answer).await;
    let garbled = outcome == Outcome::Served && asked == Asked::Load && load.is_none();
    End { outcome, load, counted: if garbled { "answered_without_a_report" } else { counted }, whole }
}

/// The report in the body or, where that holds none, in the header; and whether the answer was read to its end.
async fn read_answer(answer: &mut ClientResponse) -> (Option<LoadReport>, bool) {
    let header = header_load(answer);
    match answer.body().limit(LONGEST_REPORT).await {
        Ok(body) => (read_body(&body).or(header), true),
        Err(_) => (header, false),
    }
}

/// A report as an object, by itself or under `load`, or worded as in the header.
fn read_body(body: &[u8]) -> Option<LoadReport> {
    let text = std::str::from_utf8(body).ok()?.trim();
    if text.starts_with("TEXT") {
        return Some(read_header(text));
    }
    let fields: Fields = serde_json::from_str(text).ok()?;
    let inner = fields.get("load").and_then(|load| serde_json::from_value::<Fields>(load.clone()).ok());
    let fields = inner.unwrap_or(fields);
    (!fields.is_empty()).then(|| read_fields(&fields))
}
