//! Faults of a document, each with its place.

use std::fmt;

use displaydoc::Display;

use crate::Unreadable;
use crate::place::Place;

/// What is wrong at a place.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum FaultKind {
    /// {0}
    Unreadable(Unreadable),
    /// is missing: add it as {wanted}
    Missing {
        /// What it has to be.
        wanted: &'static str,
    },
    /// has the wrong type: give {wanted}
    WrongType {
        /// What it has to be.
        wanted: &'static str,
    },
    /// is out of range: give {wanted}
    OutOfRange {
        /// What it has to be.
        wanted: &'static str,
    },
    /// is empty: give a text with at least one character
    Empty,
    /// is not an address: give an IP number and a port such as 10.0.0.4:8080
    NotAnAddress,
    /// is not an IP number: give one such as 10.0.0.4
    NotAnIpNumber,
    /// ends before it begins: give the lower port first
    PortsReversed,
    /// names the unknown service `{service}`: add it to Services or name another
    UnknownService {
        /// The name.
        service: String,
    },
    /// is already the name of {other}: give each a name of its own
    NameTaken {
        /// Where the other one stands.
        other: String,
    },
    /// has the same host and prefix as {other}: change one of them or remove it
    SameHostAndPrefix {
        /// Where the other one stands.
        other: String,
    },
}

impl std::error::Error for FaultKind {}

/// One fault with its place.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Fault {
    /// A JSON pointer such as `/Bounds/LivenessMs`; empty for the whole document.
    pub at: String,
    /// What is wrong there.
    pub kind: FaultKind,
}

impl fmt::Display for Fault {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let at = if self.at.is_empty() { "the document" } else { &self.at };
        write!(formatter, "{at} {}", self.kind)
    }
}

impl std::error::Error for Fault {}

/// Faults as they are found; those beyond a limit are only counted, so that a large broken document costs little.
#[derive(Debug)]
pub(crate) struct FaultList {
    faults: Vec<Fault>,
    limit: usize,
    omitted: usize,
}

impl FaultList {
    /// None yet; keeps `limit` of them.
    pub(crate) fn new(limit: usize) -> Self {
        Self { faults: Vec::new(), limit, omitted: 0 }
    }

    /// Notes one.
    pub(crate) fn add(&mut self, place: Place<'_>, kind: FaultKind) {
        if self.faults.len() < self.limit {
            self.faults.push(Fault { at: place.to_string(), kind });
        } else {
            self.omitted += 1;
        }
    }

    /// Whether none was noted.
    pub(crate) fn is_empty(&self) -> bool {
        self.faults.is_empty() && self.omitted == 0
    }

    /// The faults, and how many more there were.
    pub(crate) fn into_parts(self) -> FaultListParts {
        FaultListParts { faults: self.faults, omitted: self.omitted }
    }
}

/// What a list of faults holds in the end.
#[derive(Debug)]
pub(crate) struct FaultListParts {
    /// Those that were kept, in the order in which they were found.
    pub(crate) faults: Vec<Fault>,
    /// How many were found beyond them.
    pub(crate) omitted: usize,
}

/// Writes faults one a line.
pub(crate) fn write_faults(
    formatter: &mut fmt::Formatter<'_>,
    faults: &[Fault],
    omitted: usize,
) -> fmt::Result {
    for (index, fault) in faults.iter().enumerate() {
        if index > 0 {
            writeln!(formatter)?;
        }
        write!(formatter, "{fault}")?;
    }
    if omitted > 0 {
        write!(formatter, "\nand {omitted} more")?;
    }
    Ok(())
}
