//! Load reports, in headers and in lines.

use std::collections::BTreeMap;

use ruddervalve::LoadReport;

/// The most free slots or waiting requests that a report can tell of and mean.
const MAX_LOAD_AMOUNT: f64 = 4_096.0;

/// A report of amounts that make sense.
fn report(free_slots: Option<f64>, queued: Option<f64>) -> LoadReport {
    let sound = |amount: &f64| (0.0..=MAX_LOAD_AMOUNT).contains(amount);
    LoadReport { free_slots: free_slots.filter(sound), queued: queued.filter(sound) }
}

/// Whether an answer says that its request was never looked at.
pub(crate) fn turned_away(answer: &awc::ClientResponse) -> bool {
    answer.headers().get("x-turned-away").is_some_and(|value| value == "1")
}

/// The load report in an answer's header.
pub(crate) fn header_load(answer: &awc::ClientResponse) -> Option<LoadReport> {
    answer.headers().get("x-pressure").and_then(|value| value.to_str().ok()).map(read_header)
}

/// A load report by its fields.
pub(crate) type Fields = BTreeMap<String, serde_json::Value>;

pub(crate) fn read_fields(load: &Fields) -> LoadReport {
    let value = |name: &str| load.get(name).and_then(serde_json::Value::as_f64);
    report(value("x0"), value("queue").or(value("backlog")))
}

/// A load report in a header: `TEXT name=value, name=value`.
pub(crate) fn read_header(text: &str) -> LoadReport {
    let pairs = text.trim_start_matches("TEXT").split(',').filter_map(|pair| pair.trim().split_once('='));
    let (mut free_slots, mut queued) = (None, None);
    for (name, value) in pairs {
        match name.trim() {
            "x0" => free_slots = value.trim().parse().ok(),
            "queue" | "backlog" => queued = value.trim().parse().ok(),
            _ => {}
        }
    }
    report(free_slots, queued)
}
