//! What a replica keeps: entries, hard state and snapshots.

use nanoserde::{DeBin, SerBin};
use ruddervalve_protocol::{Blob, ReplicaId};

use crate::membership::Membership;

/// Bytes that an entry takes in messages and memory beside its payload, rounded up.
const ENTRY_OVERHEAD_BYTES: usize = 64;

/// What an entry holds.
#[derive(Debug, Clone, PartialEq, Eq, SerBin, DeBin)]
pub enum Payload {
    /// Nothing: a new leader's first entry.
    Empty,
    /// A command to the state machine.
    Command(Blob),
    /// The membership from this entry on.
    Membership(Membership),
}

/// An entry of the log.
#[derive(Debug, Clone, PartialEq, Eq, SerBin, DeBin)]
pub struct Entry {
    /// The term of the leader that made it.
    pub term: u64,
    /// Its place in the log; the first is 1.
    pub index: u64,
    /// What it holds.
    pub payload: Payload,
}

impl Entry {
    /// About how many bytes it takes.
    pub(crate) fn size(&self) -> usize {
        let payload = match &self.payload {
            Payload::Empty => 0,
            Payload::Command(command) => command.len(),
            Payload::Membership(membership) => membership.size(),
        };
        payload.saturating_add(ENTRY_OVERHEAD_BYTES)
    }
}

/// What must be on disk before it is told.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, SerBin, DeBin)]
pub struct HardState {
    /// The newest term seen; 0 before any.
    pub term: u64,
    /// Whom this replica voted for in that term.
    pub vote: Option<ReplicaId>,
}

/// A place in the log, ordered as votes compare logs: by term first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
pub struct LogPosition {
    /// The entry's term.
    pub term: u64,
    /// The entry's index.
    pub index: u64,
}

/// What a replica that leaves its group must not forget, should it join again.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct ElectionRecord {
    /// Term and vote.
    pub hard_state: HardState,
    /// The end of the newest log that it had.
    pub floor: LogPosition,
}

/// The state machine after an entry, in place of the log up to it.
#[derive(Debug, Clone, PartialEq, Eq, SerBin, DeBin)]
pub struct Snapshot {
    /// The index of the last entry that it includes.
    pub index: u64,
    /// The term of that entry.
    pub term: u64,
    /// The membership after that entry.
    pub membership: Membership,
    /// The state machine, encoded by the host.
    pub data: Blob,
}

/// What a replica found on its disk when it started.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Restored {
    /// The hard state; the default for an empty disk.
    pub hard_state: HardState,
    /// The newest snapshot. The host has loaded it into its state machine.
    pub snapshot: Option<Snapshot>,
    /// The entries after the snapshot, in order; what follows a gap is left out.
    pub entries: Vec<Entry>,
    /// The group's founders: the membership before any entry or snapshot. `None` for a replica that joins and learns the
    /// membership from the leader.
    pub founding: Option<Membership>,
    /// The end of the log that the replica had when it left the group, if it ever did; see [`ElectionRecord`].
    pub floor: LogPosition,
}
