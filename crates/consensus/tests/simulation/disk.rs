//! A disk that keeps what was synced, and the writes on their way to it.

use std::collections::VecDeque;

use ruddervalve_consensus::{
    CheckpointParts, ElectionRecord, Entry, HardState, LogPosition, Membership, Message, Restored, Snapshot,
    Write,
};
use ruddervalve_protocol::{Blob, ReplicaId};

/// What is on a disk.
#[derive(Debug, Clone, Default)]
pub struct Disk {
    pub hard_state: HardState,
    pub snapshot: Option<Snapshot>,
    pub entries: Vec<Entry>,
    pub founding: Option<Membership>,
    /// The end of the log when the group was left.
    pub floor: LogPosition,
}

impl Disk {
    pub fn apply(&mut self, write: Write) {
        match write {
            Write::HardState(hard_state) => self.hard_state = hard_state,
            Write::Entries(entries) => {
                let Some(first) = entries.first().map(|entry| entry.index) else { return };
                self.entries.retain(|entry| entry.index < first);
                let before = self.entries.last().map(|entry| entry.index);
                let before = before.or(self.snapshot.as_ref().map(|snapshot| snapshot.index)).unwrap_or(0);
                assert_eq!(first, before + 1, "a write leaves a gap in the log");
                self.entries.extend(entries);
            }
            Write::Snapshot(snapshot) => {
                self.snapshot = Some(snapshot);
                self.entries.clear();
            }
        }
    }

    pub fn checkpoint(&mut self, parts: CheckpointParts, data: Blob) {
        let CheckpointParts { hard_state, index, term, membership, entries } = parts;
        self.hard_state = hard_state;
        self.snapshot = Some(Snapshot { index, term, membership, data });
        self.entries = entries;
    }

    /// Keeps of the group what elections need.
    pub fn leave(&mut self, record: ElectionRecord) {
        let ElectionRecord { hard_state, floor } = record;
        *self = Self { hard_state, floor, ..Self::default() };
    }

    pub fn restored(&self) -> Restored {
        Restored {
            hard_state: self.hard_state,
            snapshot: self.snapshot.clone(),
            entries: self.entries.clone(),
            founding: self.founding.clone(),
            floor: self.floor,
        }
    }
}

/// Writes of one ticket, and what may be sent after them.
#[derive(Debug)]
pub struct Pending {
    pub due: u64,
    pub ticket: u64,
    pub writes: Vec<Write>,
    pub messages: Vec<(ReplicaId, Message)>,
}

pub type PendingQueue = VecDeque<Pending>;
