//! What is stored, and how it is encoded.

use nanoserde::{DeBin, DeBinErr, SerBin};
use ruddervalve_protocol::{Blob, GroupId, ReplicaId};

/// An entry of a group's log. What it means is the owner's matter.
#[derive(Debug, Clone, PartialEq, Eq, SerBin, DeBin)]
pub struct StoredEntry {
    /// Its place in the group's log; the next entry has the next index.
    pub index: u64,
    /// The term in which it was made.
    pub term: u64,
    /// The owner's tag for the payload.
    pub kind: u8,
    /// The owner's bytes.
    pub payload: Blob,
}

/// The state of a group as of an entry.
#[derive(Debug, Clone, PartialEq, Eq, SerBin, DeBin)]
pub struct StoredSnapshot {
    /// The last entry that it covers.
    pub index: u64,
    /// That entry's term.
    pub term: u64,
    /// The group's members as of that entry, in the owner's encoding.
    pub membership: Blob,
    /// The state, in the owner's encoding.
    pub data: Blob,
}

/// What a replica must not forget about elections.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, SerBin, DeBin)]
pub struct StoredHardState {
    /// The newest term that the replica knows.
    pub term: u64,
    /// Whom it voted for in that term.
    pub vote: Option<ReplicaId>,
}

/// A place in a group's log, as votes compare logs: by term first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, SerBin, DeBin)]
pub struct StoredLogPosition {
    /// The entry's term.
    pub term: u64,
    /// The entry's index.
    pub index: u64,
}

/// A change of the durable state of a group.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Record {
    /// Replaces the group's hard state.
    HardState {
        /// The group.
        group: GroupId,
        /// Its new hard state.
        state: StoredHardState,
    },
    /// Replaces the group's entries from the first of these on.
    Entries {
        /// The group.
        group: GroupId,
        /// Entries of rising indices without gaps. The first must follow an entry that is stored or the snapshot.
        entries: Vec<StoredEntry>,
    },
    /// Replaces the group's snapshot and all its entries; the hard state stays.
    Snapshot {
        /// The group.
        group: GroupId,
        /// Its new snapshot.
        snapshot: StoredSnapshot,
    },
    /// Founds the group.
    Founded {
        /// The group.
        group: GroupId,
        /// Its first members, in the owner's encoding.
        membership: Blob,
    },
    /// Leaves the group: forgets its founding, its snapshot and its entries, but not what it must remember about
    /// elections, should the replica join the group again.
    Left {
        /// The group.
        group: GroupId,
        /// The hard state.
        state: StoredHardState,
        /// The end of the newest log that the replica had.
        floor: StoredLogPosition,
    },
}

const HARD_STATE_TAG: u8 = 1;
const ENTRIES_TAG: u8 = 2;
const SNAPSHOT_TAG: u8 = 3;
const FOUNDED_TAG: u8 = 4;
const LEFT_TAG: u8 = 6;

impl SerBin for Record {
    fn ser_bin(&self, output: &mut Vec<u8>) {
        match self {
            Self::HardState { group, state } => encode_hard_state(*group, state, output),
            Self::Entries { group, entries } => encode_entries(*group, entries, output),
            Self::Snapshot { group, snapshot } => encode_snapshot(*group, snapshot, output),
            Self::Founded { group, membership } => encode_founded(*group, membership, output),
            Self::Left { group, state, floor } => encode_left(*group, state, *floor, output),
        }
    }
}

/// Encodes a [`Record::HardState`].
pub(crate) fn encode_hard_state(group: GroupId, state: &StoredHardState, output: &mut Vec<u8>) {
    HARD_STATE_TAG.ser_bin(output);
    group.ser_bin(output);
    state.ser_bin(output);
}

/// Encodes a [`Record::Entries`]; entries beyond `u32::MAX` do not fit a frame.
pub(crate) fn encode_entries(group: GroupId, entries: &[StoredEntry], output: &mut Vec<u8>) {
    ENTRIES_TAG.ser_bin(output);
    group.ser_bin(output);
    (entries.len() as u32).ser_bin(output);
    for entry in entries {
        entry.ser_bin(output);
    }
}

/// Encodes a [`Record::Snapshot`].
pub(crate) fn encode_snapshot(group: GroupId, snapshot: &StoredSnapshot, output: &mut Vec<u8>) {
    SNAPSHOT_TAG.ser_bin(output);
    group.ser_bin(output);
    snapshot.ser_bin(output);
}

/// Encodes a [`Record::Founded`].
pub(crate) fn encode_founded(group: GroupId, membership: &Blob, output: &mut Vec<u8>) {
    FOUNDED_TAG.ser_bin(output);
    group.ser_bin(output);
    membership.ser_bin(output);
}

/// Encodes a [`Record::Left`].
pub(crate) fn encode_left(
    group: GroupId,
    state: &StoredHardState,
    floor: StoredLogPosition,
    output: &mut Vec<u8>,
) {
    LEFT_TAG.ser_bin(output);
    group.ser_bin(output);
    state.ser_bin(output);
    floor.ser_bin(output);
}

impl DeBin for Record {
    fn de_bin(offset: &mut usize, bytes: &[u8]) -> Result<Self, DeBinErr> {
        let tag_offset = *offset;
        let tag = u8::de_bin(offset, bytes)?;
        let group = GroupId::de_bin(offset, bytes)?;
        match tag {
            HARD_STATE_TAG => Ok(Self::HardState { group, state: DeBin::de_bin(offset, bytes)? }),
            ENTRIES_TAG => Ok(Self::Entries { group, entries: decode_entries(offset, bytes)? }),
            SNAPSHOT_TAG => Ok(Self::Snapshot { group, snapshot: DeBin::de_bin(offset, bytes)? }),
            FOUNDED_TAG => Ok(Self::Founded { group, membership: DeBin::de_bin(offset, bytes)? }),
            LEFT_TAG => {
                let state = DeBin::de_bin(offset, bytes)?;
                let floor = DeBin::de_bin(offset, bytes)?;
                Ok(Self::Left { group, state, floor })
            }
            _ => Err(DeBinErr::new(tag_offset, 1, bytes.len())),
        }
    }
}

/// Reads entries one by one: the count in the bytes reserves no memory.
fn decode_entries(offset: &mut usize, bytes: &[u8]) -> Result<Vec<StoredEntry>, DeBinErr> {
    let count = u32::de_bin(offset, bytes)?;
    let mut entries = Vec::new();
    for _ in 0..count {
        entries.push(StoredEntry::de_bin(offset, bytes)?);
    }
    Ok(entries)
}
