//! The names of the files of a folder.

use std::fmt;

/// One of the two files that hold checkpoints.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum SlotPosition {
    /// The slot that a founding writes.
    First,
    /// The slot that the first checkpoint writes.
    Second,
}

impl SlotPosition {
    /// Both, in the order of their names.
    pub(crate) const ALL: [Self; 2] = [Self::First, Self::Second];

    /// The one that is written after this one.
    pub(crate) fn other(self) -> Self {
        match self {
            Self::First => Self::Second,
            Self::Second => Self::First,
        }
    }

    /// The name of the file.
    pub(crate) fn file_name(self) -> &'static str {
        match self {
            Self::First => "slot-0",
            Self::Second => "slot-1",
        }
    }
}

impl fmt::Display for SlotPosition {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.file_name())
    }
}

/// What the name of a log begins with; its generation follows in decimal.
const LOG_PREFIX: &str = "log-";

/// The name of the log of a generation.
pub(crate) fn log_name(generation: u64) -> String {
    format!("{LOG_PREFIX}{generation}")
}

/// The generation in the name of a log; `None` for any name that [`log_name`] does not give.
pub(crate) fn log_generation(name: &str) -> Option<u64> {
    let generation = name.strip_prefix(LOG_PREFIX)?.parse().ok()?;
    (log_name(generation) == name).then_some(generation)
}
