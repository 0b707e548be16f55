//! Lines of a list.

use ruddervalve::{Availability, Micros};

use crate::wire::{Line, Malformed};

/// One line of a list, before an instance's names are applied.
#[derive(Debug, Clone)]
pub(super) struct Entry {
    pub(super) worker: String,
    pub(super) availability: Availability,
    pub(super) booted: Micros,
    pub(super) zone: Option<String>,
    pub(super) kind: Option<String>,
    pub(super) cell: Option<u64>,
    pub(super) weight: f64,
}

pub(super) fn parse_entry(line: &Line) -> Result<Entry, Malformed> {
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
