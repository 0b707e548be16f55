//! What a checkpoint of a group holds beside its state machine.

use crate::entry::{Entry, HardState};
use crate::membership::Membership;
use crate::replica::Replica;

/// What a checkpoint holds beside the state machine as it is after the entry at `index`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CheckpointParts {
    /// Term and vote as they are now.
    pub hard_state: HardState,
    /// The last entry that the state machine includes.
    pub index: u64,
    /// The term of that entry.
    pub term: u64,
    /// The membership after that entry.
    pub membership: Membership,
    /// All entries after that one, whether committed or not.
    pub entries: Vec<Entry>,
}

impl Replica {
    /// What a checkpoint holds beside the state machine after the entry at `applied`, which must have been handed out to
    /// be applied and must not have been compacted: otherwise the nearest index is taken, see [`CheckpointParts::index`].
    pub fn checkpoint(&self, applied: u64) -> CheckpointParts {
        let index = applied.min(self.applied).max(self.log.base_index());
        CheckpointParts {
            hard_state: self.hard_state,
            index,
            term: self.log.term(index).unwrap_or(0),
            membership: self.memberships.at(index).clone(),
            entries: self.log.between(index.saturating_add(1), self.log.last_index()),
        }
    }
}
