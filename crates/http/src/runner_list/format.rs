//! The form of the list, as discovery words it, and where one list ends in what came.

use std::collections::BTreeMap;

use bytes::{Buf as _, Bytes, BytesMut};
use ruddervalve::{Availability, Machine};
use ruddervalve_broker::ListUpdate;
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;

/// The longest list that is read, in bytes: some thousand runners.
const MAX_LIST_BYTES: usize = 4 << 20;

#[derive(Deserialize, Serialize)]
struct Line {
    pub(super) version: u64,
    pub(super) full: bool,
    servers: Vec<Entry>,
}

#[derive(Deserialize, Serialize)]
struct Entry {
    id: String,
    addr: String,
    zone: Option<String>,
    kind: Option<String>,
    cell: Option<u64>,
    state: String,
    weight: Option<f64>,
    #[serde(default)]
    started_ms: f64,
}

/// Reads one list. A runner in an unknown state takes nothing new, nor does one whose address cannot be read.
///
/// # Errors
///
/// The text is no list; the problem names the key.
pub fn read_list(line: &[u8]) -> Result<ListUpdate, String> {
    let mut json = serde_json::Deserializer::from_slice(line);
    let line: Line = serde_path_to_error::deserialize(&mut json).map_err(|error| error.to_string())?;
    let (machines, addresses, faults) = (Vec::new(), BTreeMap::new(), Vec::new());
    let mut update = ListUpdate { version: line.version, full: line.full, machines, addresses, faults };
    for entry in line.servers {
        let mut availability = match entry.state.as_str() {
            "active" => Availability::Ready,
            "left" => Availability::Gone,
            "leaving" => Availability::Draining,
            other => {
                update.faults.push(format!("{}: state '{other}' is unknown", entry.id));
                Availability::Draining
            }
        };
        match entry.addr.parse() {
            Ok(address) => drop(update.addresses.insert(entry.id.clone(), address)),
            // Gone runners need no address. To any other nothing must be sent where it was before.
            Err(_) if availability == Availability::Gone => {}
            Err(_) => {
                update.faults.push(format!("{}: '{}' is no address with a port", entry.id, entry.addr));
                availability = Availability::Draining;
            }
        }
        update.machines.push(Machine {
            name: entry.id,
            availability,
            started_ms: entry.started_ms,
            zone: entry.zone,
            kind: entry.kind,
            abilities: Vec::new(),
            cell: entry.cell,
            weight: entry.weight.unwrap_or(1.0),
        });
    }
    Ok(update)
}

/// Words a list as discovery does.
pub fn write_list(update: &ListUpdate) -> String {
    let entry = |machine: &Machine| {
        let state = match machine.availability {
            Availability::Ready => "active",
            Availability::Draining => "leaving",
            Availability::Gone => "left",
        };
        Some(Entry {
            id: machine.name.clone(),
            addr: update.addresses.get(&machine.name)?.to_string(),
            zone: machine.zone.clone(),
            kind: machine.kind.clone(),
            cell: machine.cell,
            state: state.to_owned(),
            weight: Some(machine.weight),
            started_ms: machine.started_ms,
        })
    };
    let servers = update.machines.iter().filter_map(entry).collect();
    let line = Line { version: update.version, full: update.full, servers };
    serde_json::to_string(&line).unwrap_or_default()
}

/// Takes the whole list at the front of what has come, if there is one. Discovery may break a list into lines, and the
/// network into pieces, also within a number.
///
/// # Errors
///
/// What came is no list, or one that is too long.
pub fn next_list(read_buffer: &mut BytesMut) -> Result<Option<Bytes>, String> {
    let blank = read_buffer.iter().take_while(|byte| byte.is_ascii_whitespace()).count();
    read_buffer.advance(blank);
    let mut values = serde_json::Deserializer::from_slice(read_buffer).into_iter::<&RawValue>();
    match values.next() {
        None => Ok(None),
        // What is wrong at the very end of it may be so for want of the rest.
        Some(Err(error)) if error.is_eof() || (error.line(), error.column()) == end_of(read_buffer) => {
            if read_buffer.len() > MAX_LIST_BYTES {
                Err("a list without an end".to_owned())
            } else {
                Ok(None)
            }
        }
        Some(Err(error)) => Err(error.to_string()),
        Some(Ok(_)) => {
            let end = values.byte_offset();
            Ok(Some(read_buffer.split_to(end).freeze()))
        }
    }
}

/// The line and column of the last byte.
fn end_of(text: &[u8]) -> (usize, usize) {
    let lines = text.iter().filter(|byte| **byte == b'\n').count();
    let column = text.iter().rev().take_while(|byte| **byte != b'\n').count();
    (lines + 1, column)
}
