//! What the lines of the wire tell a dispatcher.

use std::collections::BTreeMap;

use base64::Engine as _;
use ruddervalve::{ClassId, Event, ListKind, LoadReport, NewRequest, Outcome, RequestId, TenantId};
use ruddervalve_settings::position;

use super::entry::Entry;
use super::instance::Instance;
use crate::wire::{Line, Malformed};

impl Instance {
    /// The event of a line; none for messages that are unknown or of no use to a dispatcher.
    pub(super) fn parse(
        &mut self,
        line: &Line,
        sheets: &BTreeMap<u64, Vec<Entry>>,
    ) -> Result<Option<Event>, Malformed> {
        match line.name {
            "REGISTRY" => self.parse_list(line, sheets).map(Some),
            "DEMAND" => self.parse_request(line).map(|request| Some(Event::Request(request))),
            "BEGUN" => Ok(Some(Event::StreamStarted { request: request_id(line)? })),
            "UPDATE_OF" => parse_update(line),
            "OUTCOME" => Ok(Some(Event::AttemptEnded {
                request: request_id(line)?,
                attempt: line.number("copy")?,
                outcome: parse_outcome(line)?,
                closed: line.flag("final")?,
                report: parse_report(line)?,
            })),
            "TIMED_OUT_CLIENT" => Ok(Some(Event::ClientGone { request: request_id(line)? })),
            "DEADLINE_HIT" => line.number::<u64>("mark").map(|_| Some(Event::Wake)),
            "HEALTH" => Ok(Some(Event::Probed {
                worker: self.worker(line.required("runner")?),
                outcome: parse_outcome(line)?,
                report: parse_report(line)?,
            })),
            "FROM_PEER" => check_peer_message(line).map(|()| None),
            _ => Ok(None),
        }
    }

    fn parse_list(&mut self, line: &Line, sheets: &BTreeMap<u64, Vec<Entry>>) -> Result<Event, Malformed> {
        let kind = match line.required("how")? {
            "D" => ListKind::Changes,
            "F" => ListKind::Full,
            "C" => ListKind::Cached,
            "X" => return Ok(Event::DiscoveryFailed { told: None }),
            _ => return Err(line.wrong("how", "D, F, C or X")),
        };
        let entries = sheets.get(&line.number("sheet")?);
        let entries = entries.ok_or_else(|| line.wrong("sheet", "the number of a SHEET sent before"))?;
        Ok(Event::Members { kind, members: entries.iter().map(|entry| self.member(entry)).collect() })
    }

    fn parse_request(&self, line: &Line) -> Result<NewRequest, Malformed> {
        Ok(NewRequest {
            id: request_id(line)?,
            class: ClassId(
                position(&self.names.classes, line.required("category")?)
                    .ok_or_else(|| line.wrong("category", "the name of a class"))?,
            ),
            tenant: (line.text("account")).and_then(|name| position(&self.names.tenants, name)).map(TenantId),
            expires_in: line.number("expires_in")?,
            slots: line.optional("width")?.unwrap_or(1.0),
            memory: line.optional("mem")?.unwrap_or(0.0),
            hint: line.optional("estimate")?,
        })
    }
}

fn request_id(line: &Line) -> Result<RequestId, Malformed> {
    line.number("rid").map(RequestId)
}

/// How a request goes on; none for kinds that are unknown.
fn parse_update(line: &Line) -> Result<Option<Event>, Malformed> {
    let (request, attempt) = (request_id(line)?, line.number("copy")?);
    Ok(match line.number::<u64>("kind")? {
        1 => Some(Event::JobStarted { request, attempt }),
        2 => Some(Event::JobProgress { request, attempt, done: line.optional("x")?.unwrap_or(0.0) }),
        _ => None,
    })
}

/// Dispatchers tell each other nothing, but what comes must have its form.
fn check_peer_message(line: &Line) -> Result<(), Malformed> {
    line.number::<u64>("author")?;
    let contents = line.required("contents")?;
    if contents != "-" {
        (base64::engine::general_purpose::STANDARD.decode(contents))
            .map_err(|_| line.wrong("contents", "base64 with padding, or '-'"))?;
    }
    Ok(())
}

fn parse_outcome(line: &Line) -> Result<Outcome, Malformed> {
    Ok(match line.required("status")? {
        "done" => Outcome::Served,
        "err" => Outcome::Error,
        "busy" => Outcome::Full,
        "etimedout" => Outcome::TimedOut,
        "econnrefused" => Outcome::ConnectFailed,
        "econnreset" => Outcome::Reset,
        "ecanceled" => Outcome::Cancelled,
        "skipped" => Outcome::Skipped,
        _ => return Err(line.wrong("status", "an outcome of the wire")),
    })
}

fn parse_report(line: &Line) -> Result<Option<LoadReport>, Malformed> {
    let Some(text) = line.text("report").filter(|text| !text.is_empty() && *text != "-") else {
        return Ok(None);
    };
    let mut report = LoadReport::default();
    for pair in text.split(',') {
        let wrong = || line.wrong("report", "name:value pairs set apart by commas");
        let (name, value) = pair.split_once(':').ok_or_else(wrong)?;
        let value = value.parse().map_err(|_| wrong())?;
        match name {
            "x0" => report.free_slots = Some(value),
            "backlog" => report.queued = Some(value),
            _ => {}
        }
    }
    Ok(Some(report))
}
