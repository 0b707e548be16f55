//! Batches in, replies out, one [`Dispatcher`] for each instance.

mod entry;
mod events;
mod instance;

use std::collections::BTreeMap;
use std::io;
use std::io::{BufRead, Write};

use ruddervalve::Micros;
use thiserror::Error;

use self::entry::{Entry, parse_entry};
use self::instance::Instance;
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
