//! Between the words of the disk and those of consensus.

use displaydoc::Display;
use nanoserde::{DeBin as _, SerBin as _};
use ruddervalve_consensus::{
    ElectionRecord, Entry, HardState, LogPosition, Membership, Payload, Restored, Snapshot, Write,
};
use ruddervalve_disk::{GroupState, Record, StoredEntry, StoredHardState, StoredLogPosition, StoredSnapshot};
use ruddervalve_protocol::{Blob, GroupId};

const EMPTY: u8 = 0;
const COMMAND: u8 = 1;
const MEMBERSHIP: u8 = 2;

/// What is on disk cannot be read as the state of a group.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum RestoreError {
    /// the membership of group {0} on disk cannot be read: empty the data folder, the process refills it from its peers
    Membership(u32),
    /// entry {1} of group {0} on disk cannot be read: empty the data folder, the process refills it from its peers
    Entry(u32, u64),
}

impl std::error::Error for RestoreError {}

pub fn write_records(group: GroupId, write: Write) -> Record {
    match write {
        Write::HardState(state) => Record::HardState { group, state: stored_hard_state(state) },
        Write::Entries(entries) => {
            Record::Entries { group, entries: entries.into_iter().map(stored_entry).collect() }
        }
        Write::Snapshot(snapshot) => Record::Snapshot { group, snapshot: stored_snapshot(snapshot) },
    }
}

pub fn stored_hard_state(state: HardState) -> StoredHardState {
    StoredHardState { term: state.term, vote: state.vote }
}

pub fn left_record(group: GroupId, left: ElectionRecord) -> Record {
    let ElectionRecord { hard_state, floor } = left;
    Record::Left { group, state: stored_hard_state(hard_state), floor: stored_position(floor) }
}

/// The state of a group that was left.
pub fn left_state(left: ElectionRecord) -> GroupState {
    let ElectionRecord { hard_state, floor } = left;
    GroupState {
        hard_state: stored_hard_state(hard_state),
        floor: Some(stored_position(floor)),
        ..GroupState::default()
    }
}

/// What a replica must not forget about elections.
pub fn election_record(state: &GroupState) -> ElectionRecord {
    let StoredLogPosition { term, index } = state.floor.unwrap_or_default();
    ElectionRecord {
        hard_state: HardState { term: state.hard_state.term, vote: state.hard_state.vote },
        floor: LogPosition { term, index },
    }
}

pub fn stored_position(position: LogPosition) -> StoredLogPosition {
    StoredLogPosition { term: position.term, index: position.index }
}

pub fn stored_entry(entry: Entry) -> StoredEntry {
    let Entry { term, index, payload } = entry;
    let (kind, payload) = match payload {
        Payload::Empty => (EMPTY, Blob::default()),
        Payload::Command(command) => (COMMAND, command),
        Payload::Membership(membership) => (MEMBERSHIP, encode_membership(&membership)),
    };
    StoredEntry { index, term, kind, payload }
}

pub fn stored_snapshot(snapshot: Snapshot) -> StoredSnapshot {
    let Snapshot { index, term, membership, data } = snapshot;
    StoredSnapshot { index, term, membership: encode_membership(&membership), data }
}

pub fn encode_membership(membership: &Membership) -> Blob {
    Blob::from(membership.serialize_bin())
}

pub fn decode_membership(group: GroupId, bytes: &Blob) -> Result<Membership, RestoreError> {
    Membership::deserialize_bin(bytes.as_slice()).map_err(|_| RestoreError::Membership(group.0))
}

/// What a replica goes on from.
pub fn restored(group: GroupId, state: &GroupState) -> Result<Restored, RestoreError> {
    let entry = |stored: &StoredEntry| restored_entry(group, stored);
    let snapshot = state.snapshot.as_ref().map(|snapshot| restored_snapshot(group, snapshot));
    let founding = state.founded.as_ref().map(|bytes| decode_membership(group, bytes));
    let ElectionRecord { hard_state, floor } = election_record(state);
    Ok(Restored {
        hard_state,
        snapshot: snapshot.transpose()?,
        entries: state.entries.iter().map(entry).collect::<Result<_, _>>()?,
        founding: founding.transpose()?,
        floor,
    })
}

fn restored_entry(group: GroupId, stored: &StoredEntry) -> Result<Entry, RestoreError> {
    let payload = match stored.kind {
        EMPTY => Payload::Empty,
        COMMAND => Payload::Command(stored.payload.clone()),
        MEMBERSHIP => Payload::Membership(decode_membership(group, &stored.payload)?),
        _ => return Err(RestoreError::Entry(group.0, stored.index)),
    };
    Ok(Entry { term: stored.term, index: stored.index, payload })
}

fn restored_snapshot(group: GroupId, stored: &StoredSnapshot) -> Result<Snapshot, RestoreError> {
    let StoredSnapshot { index, term, membership, data } = stored;
    let membership = decode_membership(group, membership)?;
    Ok(Snapshot { index: *index, term: *term, membership, data: data.clone() })
}
