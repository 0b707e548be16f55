//! The durable state, and what each record changes in it.

use std::collections::BTreeMap;

use nanoserde::DeBin;
use ruddervalve_protocol::{Blob, GroupId, ReplicaId};

use crate::error::Damage;
use crate::record::{Record, StoredEntry, StoredHardState, StoredLogPosition, StoredSnapshot};

/// The durable state of a group.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct GroupState {
    /// The first members, if this replica founded the group.
    pub founded: Option<Blob>,
    /// What must not be forgotten about elections.
    pub hard_state: StoredHardState,
    /// The end of the newest log that the replica had when it last left the group, if it ever did.
    pub floor: Option<StoredLogPosition>,
    /// The newest snapshot.
    pub snapshot: Option<StoredSnapshot>,
    /// The entries that are kept, of rising indices without gaps.
    pub entries: Vec<StoredEntry>,
}

impl GroupState {
    /// Whether the replica has left the group and holds nothing of it since.
    pub fn is_left(&self) -> bool {
        self.floor.is_some() && self.founded.is_none() && self.snapshot.is_none() && self.entries.is_empty()
    }
}

/// The durable state of a process.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ProcessState {
    /// Whose state it is.
    pub identity: ReplicaId,
    /// All groups that the process has replicas of.
    pub groups: BTreeMap<GroupId, GroupState>,
}

/// What a checkpoint stores. A clone shares all payloads.
pub type CheckpointState = ProcessState;

/// All groups of a process.
pub(crate) type Groups = BTreeMap<GroupId, GroupState>;

/// Applies the records of a frame's payload in their order.
pub(crate) fn apply_payload(groups: &mut Groups, payload: &[u8]) -> Result<(), Damage> {
    let mut offset = 0;
    while offset < payload.len() {
        let record = Record::de_bin(&mut offset, payload).map_err(|_| Damage::Meaning)?;
        apply(groups, record)?;
    }
    Ok(())
}

/// Applies a record.
pub(crate) fn apply(groups: &mut Groups, record: Record) -> Result<(), Damage> {
    match record {
        Record::HardState { group, state } => groups.entry(group).or_default().hard_state = state,
        Record::Entries { group, entries } => {
            replace_entries(group, groups.entry(group).or_default(), entries)?;
        }
        Record::Snapshot { group, snapshot } => {
            let state = groups.entry(group).or_default();
            state.entries.clear();
            state.snapshot = Some(snapshot);
        }
        Record::Founded { group, membership } => groups.entry(group).or_default().founded = Some(membership),
        Record::Left { group, state, floor } => {
            let left = GroupState { hard_state: state, floor: Some(floor), ..GroupState::default() };
            groups.insert(group, left);
        }
    }
    Ok(())
}

fn replace_entries(group: GroupId, state: &mut GroupState, entries: Vec<StoredEntry>) -> Result<(), Damage> {
    let Some(first) = entries.first().map(|entry| entry.index) else { return Ok(()) };
    let kept_from = state.entries.first().map_or(first, |entry| entry.index);
    let kept = usize::try_from(first.saturating_sub(kept_from)).unwrap_or(usize::MAX);
    state.entries.truncate(kept);
    let last_kept = state.entries.last().map(|entry| entry.index);
    let before = last_kept.or(state.snapshot.as_ref().map(|snapshot| snapshot.index));
    if let Some(expected) = before.map(|index| index.saturating_add(1))
        && first > expected
    {
        return Err(Damage::Gap { group, expected, found: first });
    }
    check_rising(group, &entries)?;
    state.entries.extend(entries);
    Ok(())
}

fn check_rising(group: GroupId, entries: &[StoredEntry]) -> Result<(), Damage> {
    let followers = entries.iter().zip(entries.iter().skip(1));
    for (entry, follower) in followers {
        let expected = entry.index.saturating_add(1);
        if follower.index != expected {
            return Err(Damage::Gap { group, expected, found: follower.index });
        }
    }
    Ok(())
}
