//! What a replica wants done.

use ruddervalve_protocol::ReplicaId;

use crate::entry::{Entry, HardState, Snapshot};
use crate::message::Message;

/// Something to write to disk.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Write {
    /// Replaces the hard state.
    HardState(HardState),
    /// Replaces the log from the first one's index on.
    Entries(Vec<Entry>),
    /// Replaces the snapshot and the whole log, but never the hard state; if it is only partly written after a crash, the
    /// older snapshot and log must still be there.
    Snapshot(Snapshot),
}

/// All output of a replica since the last one was taken.
#[derive(Debug, Default, PartialEq)]
pub struct Ready {
    /// Of the writes below; grows by one with each `Ready` that has writes.
    pub ticket: u64,
    /// To be written in order, after those of earlier tickets. Once they are on disk, call `written`.
    pub writes: Vec<Write>,
    /// May be sent at once.
    pub messages: Vec<(ReplicaId, Message)>,
    /// May be sent only once all writes up to `ticket` are on disk. Also set without writes of its own.
    pub messages_after_write: Vec<(ReplicaId, Message)>,
    /// To be applied in order; each comes once in a life of the replica.
    pub committed: Vec<Entry>,
    /// Replaces the state machine, before `committed` is applied.
    pub restore: Option<Snapshot>,
    /// Followers that need a snapshot: answer with `send_snapshot`.
    pub snapshots_wanted: Vec<ReplicaId>,
    /// The role, or the leader as far as it is known, has changed.
    pub role_changed: bool,
}

impl Ready {
    /// Whether there is nothing to do.
    pub fn is_empty(&self) -> bool {
        self.writes.is_empty()
            && self.messages.is_empty()
            && self.messages_after_write.is_empty()
            && self.committed.is_empty()
            && self.restore.is_none()
            && self.snapshots_wanted.is_empty()
            && !self.role_changed
    }
}
