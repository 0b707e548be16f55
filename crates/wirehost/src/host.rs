//! Batches in, replies out, one [`Dispatcher`] for each instance.

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::io::{self, BufRead, Write};
use std::net::SocketAddrV4;
use std::panic::{AssertUnwindSafe, catch_unwind};

use base64::Engine as _;
use ruddervalve::{
    Action, Availability, CellId, ClassId, Dispatcher, Event, KindId, ListKind, LoadReport, Member, Micros,
    Names, NewRequest, Note, Outcome, RequestId, TenantId, WorkerId, ZoneId,
};
use ruddervalve_settings::{Info, position};
use thiserror::Error;

use crate::wire::{Line, Malformed};

/// Why hosting ended early.
#[derive(Debug, Error)]
pub enum HostError {
    /// A line that is not as the wire says.
    #[error("line {0}: {1}")]
    Malformed(u64, Malformed),
    /// Standard input or output failed.
    #[error(transparent)]
    Io(#[from] io::Error),
}

/// One line of a list, before an instance's names are applied.
#[derive(Debug, Clone)]
struct Entry {
    worker: String,
    availability: Availability,
    booted: Micros,
    zone: Option<String>,
    kind: Option<String>,
    cell: Option<u64>,
    weight: f64,
}

#[derive(Debug)]
struct Instance {
    dispatcher: Result<Dispatcher, String>,
    names: Names,
    /// The wire's names of the workers heard of.
    workers: BTreeMap<WorkerId, String>,
    events: Vec<Event>,
}

#[derive(Debug, Default)]
struct Host {
    now: Option<Micros>,
    selected: Option<u64>,
    instances: BTreeMap<u64, Instance>,
    /// Instances with events in this batch, in order of first appearance.
    turn: Vec<u64>,
    sheets: BTreeMap<u64, Vec<Entry>>,
    filling: Option<(u64, usize)>,
}

/// Serves until the end of input.
pub fn serve(mut input: impl BufRead, mut output: impl Write) -> Result<(), HostError> {
    let (mut host, mut bytes, mut number) = (Host::default(), Vec::new(), 0);
    loop {
        bytes.clear();
        if input.read_until(b'\n', &mut bytes)? == 0 {
            return Ok(());
        }
        number += 1;
        let reply = std::str::from_utf8(&bytes)
            .map_err(|_| Malformed::Text)
            .and_then(|line| host.line(line.trim_end_matches(['\n', '\r'])))
            .map_err(|error| HostError::Malformed(number, error))?;
        if let Some(reply) = reply {
            output.write_all(reply.as_bytes())?;
            output.flush()?;
        }
    }
}

impl Host {
    /// Takes one line; the end of a batch gives its reply.
    fn line(&mut self, text: &str) -> Result<Option<String>, Malformed> {
        if text.is_empty() {
            return Ok(None);
        }
        let line = Line::parse(text)?;
        let out_of_place = |expected| Err(Malformed::Order(line.name.to_owned(), expected));
        match (line.name, self.now, self.filling) {
            ("ENTRY", _, Some((sheet, left))) => {
                let entry = parse_entry(&line)?;
                self.sheets.entry(sheet).or_default().push(entry);
                self.filling = (left > 1).then_some((sheet, left - 1));
            }
            (_, _, Some(_)) => return out_of_place("another ENTRY of the list"),
            ("ENTRY", _, None) => return out_of_place("a SHEET before it, with as many entries"),
            ("BATCH", None, _) => self.now = Some(line.number("ts")?),
            ("BATCH", Some(_), _) => return out_of_place("FLUSH before the next batch"),
            ("FLUSH", Some(now), _) => return Ok(Some(self.reply(now))),
            (_, None, _) => return out_of_place("BATCH first"),
            ("AT", ..) => self.selected = Some(line.number("dispatcher_id")?),
            ("SHEET", ..) => {
                let (sheet, entries) = (line.number("sheet")?, line.number("members_list")?);
                self.sheets.insert(sheet, Vec::new());
                self.filling = (entries > 0).then_some((sheet, entries));
            }
            _ => self.event(&line)?,
        }
        Ok(None)
    }

    fn event(&mut self, line: &Line) -> Result<(), Malformed> {
        let Some(id) = self.selected else {
            return Err(Malformed::Order(line.name.to_owned(), "AT first"));
        };
        match line.name {
            "ATTACH" => {
                self.instances.insert(id, Instance::attach(line)?);
            }
            "POWER_OFF" => {
                self.instances.remove(&id);
                self.turn.retain(|turn| *turn != id);
                return Ok(());
            }
            _ => {
                let Some(instance) = self.instances.get_mut(&id) else {
                    return Err(Malformed::Order(line.name.to_owned(), "ATTACH of its instance first"));
                };
                let Some(event) = instance.parse(line, &self.sheets)? else { return Ok(()) };
                instance.events.push(event);
            }
        }
        if !self.turn.contains(&id) {
            self.turn.push(id);
        }
        Ok(())
    }

    fn reply(&mut self, now: Micros) -> String {
        let mut reply = String::new();
        for id in std::mem::take(&mut self.turn) {
            if let Some(instance) = self.instances.get_mut(&id) {
                instance.round(id, now, &mut reply);
            }
        }
        (self.now, self.selected) = (None, None);
        reply.push_str("EOR\n");
        reply
    }
}

impl Instance {
    fn attach(line: &Line) -> Result<Self, Malformed> {
        let seed = line.number("rng_seed")?;
        let info =
            Info::read(line.required("info")?).map_err(|error| Malformed::Settings(error.to_string()))?;
        let (settings, names) = info.split();
        Ok(Self {
            dispatcher: Dispatcher::new(settings, seed).map_err(|error| format!("settings: {error}")),
            names,
            workers: BTreeMap::new(),
            events: Vec::new(),
        })
    }

    /// The round of this batch; a failure inside the decisions becomes the wire's fault message.
    fn round(&mut self, id: u64, now: Micros, reply: &mut String) {
        let events = std::mem::take(&mut self.events);
        let mut actions = Vec::new();
        let fault = match &mut self.dispatcher {
            Err(fault) => Some(fault.clone()),
            Ok(dispatcher) => catch_unwind(AssertUnwindSafe(|| dispatcher.round(now, &events, &mut actions)))
                .err()
                .map(|panic| {
                    let text = panic.downcast_ref::<String>().map(String::as_str);
                    let text = text.or(panic.downcast_ref::<&str>().copied()).unwrap_or("unknown");
                    format!("panic: {}", text.replace(['\n', '\r'], " "))
                }),
        };
        if fault.is_none() && actions.is_empty() {
            return;
        }
        let _ = writeln!(reply, "SOURCE dispatcher_id={id}");
        match fault {
            Some(fault) => drop(writeln!(reply, "BUG reason_text={fault}")),
            None => actions.iter().for_each(|action| self.write(action, reply)),
        }
    }

    fn write(&self, action: &Action, reply: &mut String) {
        let name = |worker: &WorkerId| self.name(*worker);
        let _ = match action {
            Action::Send { request, worker } => {
                writeln!(reply, "ASSIGN rid={} runner={}", request.0, name(worker))
            }
            Action::Cancel { request, attempt } => {
                writeln!(reply, "ABORT_ATTEMPT rid={} copy={attempt}", request.0)
            }
            Action::Refuse { request, wait } => {
                writeln!(reply, "DENY rid={} come_back={wait}", request.0)
            }
            Action::Fail { request } => writeln!(reply, "ABORT rid={}", request.0),
            Action::WakeAt(at) => writeln!(reply, "SLEEP mark=0 time={at}"),
            Action::Probe(worker) => writeln!(reply, "POLL runner={}", name(worker)),
            Action::Subscribe => writeln!(reply, "KEEP_INFORMED want=1"),
            Action::Log(note) => writeln!(reply, "WRITE_LOG reason_text={}", self.text(note)),
        };
    }

    fn name(&self, worker: WorkerId) -> &str {
        &self.workers[&worker]
    }

    fn text(&self, note: &Note) -> String {
        match *note {
            Note::Withheld { worker, span } => {
                format!("{} failed: nothing for {} ms, then a trial", self.name(worker), span / 1_000)
            }
            Note::Trusted { worker } => format!("{} served again and is trusted", self.name(worker)),
            Note::GivingUp { held } => format!("giving up requests for want of workers, {held} are held"),
            Note::DiscoveryFailed => "discovery failed: the last list stays in use".to_owned(),
        }
    }

    /// The event of a line; none for messages that are unknown or of no use to a dispatcher.
    fn parse(&mut self, line: &Line, sheets: &BTreeMap<u64, Vec<Entry>>) -> Result<Option<Event>, Malformed> {
        let request = || line.number("rid").map(RequestId);
        Ok(Some(match line.name {
            "REGISTRY" => {
                let kind = match line.required("how")? {
                    "D" => ListKind::Changes,
                    "F" => ListKind::Full,
                    "C" => ListKind::Cached,
                    "X" => return Ok(Some(Event::DiscoveryFailed { told: None })),
                    _ => return Err(line.wrong("how", "D, F, C or X")),
                };
                let entries = sheets.get(&line.number("sheet")?);
                let entries =
                    entries.ok_or_else(|| line.wrong("sheet", "the number of a SHEET sent before"))?;
                Event::Members { kind, members: entries.iter().map(|entry| self.member(entry)).collect() }
            }
            "DEMAND" => Event::Request(NewRequest {
                id: request()?,
                class: ClassId(
                    position(&self.names.classes, line.required("category")?)
                        .ok_or_else(|| line.wrong("category", "the name of a class"))?,
                ),
                tenant: (line.text("account"))
                    .and_then(|name| position(&self.names.tenants, name))
                    .map(TenantId),
                expires_in: line.number("expires_in")?,
                slots: line.optional("width")?.unwrap_or(1.0),
                memory: line.optional("mem")?.unwrap_or(0.0),
                hint: line.optional("estimate")?,
            }),
            "BEGUN" => Event::StreamStarted { request: request()? },
            "UPDATE_OF" => {
                let (request, attempt) = (request()?, line.number("copy")?);
                match line.number::<u64>("kind")? {
                    1 => Event::JobStarted { request, attempt },
                    2 => Event::JobProgress { request, attempt, done: line.optional("x")?.unwrap_or(0.0) },
                    _ => return Ok(None),
                }
            }
            "OUTCOME" => Event::AttemptEnded {
                request: request()?,
                attempt: line.number("copy")?,
                outcome: parse_outcome(line)?,
                closed: line.flag("final")?,
                report: parse_report(line)?,
            },
            "TIMED_OUT_CLIENT" => Event::ClientGone { request: request()? },
            "DEADLINE_HIT" => {
                line.number::<u64>("mark")?;
                Event::Wake
            }
            "HEALTH" => Event::Probed {
                worker: self.worker(line.required("runner")?),
                outcome: parse_outcome(line)?,
                report: parse_report(line)?,
            },
            "FROM_PEER" => {
                line.number::<u64>("author")?;
                let contents = line.required("contents")?;
                if contents != "-" {
                    (base64::engine::general_purpose::STANDARD.decode(contents))
                        .map_err(|_| line.wrong("contents", "base64 with padding, or '-'"))?;
                }
                return Ok(None);
            }
            _ => return Ok(None),
        }))
    }

    /// The id of a worker, the same in all instances: its address and port or, for other names, their hash.
    fn worker(&mut self, name: &str) -> WorkerId {
        let address =
            |address: SocketAddrV4| u64::from(address.ip().to_bits()) << 16 | u64::from(address.port());
        let id = name.parse().map(address).map_or_else(|_| WorkerId::named(name), WorkerId);
        self.workers.entry(id).or_insert_with(|| name.to_owned());
        id
    }

    fn member(&mut self, entry: &Entry) -> Member {
        Member {
            worker: self.worker(&entry.worker),
            availability: entry.availability,
            booted: entry.booted,
            zone: entry.zone.as_ref().and_then(|zone| position(&self.names.zones, zone)).map(ZoneId),
            kind: entry.kind.as_ref().and_then(|kind| position(&self.names.kinds, kind)).map(KindId),
            kinds: Vec::new(),
            cell: entry.cell.map(CellId),
            weight: entry.weight,
        }
    }
}

fn parse_entry(line: &Line) -> Result<Entry, Malformed> {
    Ok(Entry {
        worker: line.required("runner")?.to_owned(),
        availability: match line.required("availability")? {
            "ready" => Availability::Ready,
            "draining" => Availability::Draining,
            "gone" => Availability::Gone,
            _ => return Err(line.wrong("availability", "ready, draining or gone")),
        },
        booted: line.optional("boot_time")?.unwrap_or(0),
        zone: line.text("hall").map(str::to_owned),
        kind: line.text("shape").map(str::to_owned),
        cell: line.optional("pack")?,
        weight: line.optional("heft")?.unwrap_or(1.0),
    })
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
