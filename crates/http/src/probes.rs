//! Owns the probes of runners: one question for load or health each, on a connection of the attempts' share, and
//! exactly one outcome. It must never probe a runner that the decisions did not name, wait on a connection behind an
//! attempt, repeat a probe by itself, or guess what a report leaves out.

use std::rc::Rc;

use awc::{ClientResponse, http::StatusCode};
use ruddervalve::{LoadReport, Outcome};
use ruddervalve_broker::{Broker, Counters, Probe};
use ruddervalve_settings::ProbeKind;

use crate::attempts::Attempts;
use crate::attempts::connection::RunnerConnection;
use crate::attempts::exchange::outcome_of;
use crate::load_report::{Fields, header_load, read_fields, read_header, turned_away};

/// The longest report that is read, in bytes.
const MAX_REPORT_BYTES: usize = 4 << 10;

/// Asks runners for their load.
pub struct Probes {
    broker: Rc<Broker>,
    attempts: Rc<Attempts>,
    counters: Rc<Counters>,
}

/// How a probe ended, what came with it, and by which name it is counted.
struct ProbeEnd {
    outcome: Outcome,
    load: Option<LoadReport>,
    counted: &'static str,
    /// The answer was read to its end.
    whole: bool,
}

impl ProbeEnd {
    fn of(outcome: Outcome, counted: &'static str) -> Self {
        Self { outcome, load: None, counted, whole: false }
    }
}

impl Probes {
    /// Probes for a broker, on connections of these attempts.
    pub fn new(broker: Rc<Broker>, attempts: Rc<Attempts>, counters: Rc<Counters>) -> Rc<Self> {
        Rc::new(Self { broker, attempts, counters })
    }

    /// Sends a probe.
    pub fn start(self: &Rc<Self>, probe: Probe) {
        let Some((connection, permit)) = self.attempts.acquire(probe.address, false) else {
            return self.report(&probe, &ProbeEnd::of(Outcome::Skipped, "no_room"));
        };
        self.counters.count("probes", "sent");
        let (this, (kind, timeout)) = (self.clone(), self.attempts.probe_settings());
        actix_rt::spawn(async move {
            let answer = send_probe(&probe, &connection, kind);
            let end = tokio::time::timeout(timeout, answer).await;
            let end = end.unwrap_or_else(|_| ProbeEnd::of(Outcome::TimedOut, "late"));
            if end.whole {
                this.attempts.release(probe.address, connection);
            }
            drop(permit);
            this.report(&probe, &end);
        });
    }

    fn report(&self, probe: &Probe, end: &ProbeEnd) {
        self.counters.count("probes", end.counted);
        let Some(load) = &end.load else { return self.broker.probed(probe, end.outcome, None) };
        if load.free_slots.is_none() {
            self.counters.count("probes", "without_free_slots");
        }
        self.broker.probed(probe, end.outcome, end.load);
    }
}

async fn send_probe(probe: &Probe, connection: &RunnerConnection, kind: ProbeKind) -> ProbeEnd {
    let path = match kind {
        ProbeKind::Load => "load",
        ProbeKind::Health => "healthz",
    };
    let connections_made = connection.made();
    connection.begin_probe();
    let url = format!("http://{}/{path}", probe.address);
    let sent = connection.http_client.get(url).address(probe.address).send().await;
    let kept = connections_made > 0 && connection.made() == connections_made;
    let mut answer = match sent {
        Ok(answer) => answer,
        // What ends a kept connection says nothing of the runner.
        Err(_) if kept => return ProbeEnd::of(Outcome::Skipped, "kept_broken"),
        Err(error) => return ProbeEnd::of(outcome_of(&error, false), "could_not_ask"),
    };
    let (outcome, counted) = match answer.status() {
        StatusCode::OK => (Outcome::Served, "answered"),
        _ if turned_away(&answer) => (Outcome::Full, "turned_away"),
        // A runner that knows no probes is not at fault: the settings are.
        StatusCode::NOT_FOUND => (Outcome::Skipped, "not_known_there"),
        _ => (Outcome::Error, "unwell"),
    };
    let (load, whole) = read_answer(&mut answer).await;
    let garbled = outcome == Outcome::Served && kind == ProbeKind::Load && load.is_none();
    ProbeEnd { outcome, load, counted: if garbled { "answered_without_a_report" } else { counted }, whole }
}

/// The report in the body or, where that holds none, in the header; and whether the answer was read to its end.
async fn read_answer(answer: &mut ClientResponse) -> (Option<LoadReport>, bool) {
    let header = header_load(answer);
    match answer.body().limit(MAX_REPORT_BYTES).await {
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
