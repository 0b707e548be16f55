//! One dispatcher on the wire, with the names that the wire has for what it knows.

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::net::SocketAddrV4;
use std::panic::{AssertUnwindSafe, catch_unwind};

use ruddervalve::{Action, CellId, Dispatcher, Event, KindId, Member, Micros, Names, Note, WorkerId, ZoneId};
use ruddervalve_settings::{Info, position};

use super::entry::Entry;
use crate::wire::{Line, Malformed};

#[derive(Debug)]
pub(super) struct Instance {
    dispatcher: Result<Dispatcher, String>,
    pub(super) names: Names,
    /// The wire's names of the workers heard of.
    workers: BTreeMap<WorkerId, String>,
    pub(super) events: Vec<Event>,
}

impl Instance {
    pub(super) fn attach(line: &Line) -> Result<Self, Malformed> {
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
    pub(super) fn round(&mut self, id: u64, now: Micros, reply: &mut String) {
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

    pub(super) fn name(&self, worker: WorkerId) -> &str {
        &self.workers[&worker]
    }

    pub(super) fn text(&self, note: &Note) -> String {
        match *note {
            Note::Withheld { worker, span } => {
                format!("{} failed: nothing for {} ms, then a trial", self.name(worker), span / 1_000)
            }
            Note::Trusted { worker } => format!("{} served again and is trusted", self.name(worker)),
            Note::GivingUp { held } => format!("giving up requests for want of workers, {held} are held"),
            Note::DiscoveryFailed => "discovery failed: the last list stays in use".to_owned(),
        }
    }

    /// The id of a worker, the same in all instances: its address and port or, for other names, their hash.
    pub(super) fn worker(&mut self, name: &str) -> WorkerId {
        let address =
            |address: SocketAddrV4| u64::from(address.ip().to_bits()) << 16 | u64::from(address.port());
        let id = name.parse().map(address).map_or_else(|_| WorkerId::named(name), WorkerId);
        self.workers.entry(id).or_insert_with(|| name.to_owned());
        id
    }

    pub(super) fn member(&mut self, entry: &Entry) -> Member {
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
