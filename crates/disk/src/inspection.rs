//! What a folder holds, for people: read only, and of damaged folders too.

use ruddervalve_protocol::{GroupId, ReplicaId};

use crate::error::{Damage, DiskError, FileAction};
use crate::folder::Folder;
use crate::frame::FrameSeed;
use crate::header::{FileKind, HEADER_LENGTH, Header};
use crate::names::{SlotPosition, log_generation, log_name};
use crate::recovery::{Recovery, RecoveryReport, read_file, recover};
use crate::slot::{SlotFault, read_slot};
use crate::state::GroupState;

/// A slot's file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SlotInspection {
    /// The file's name.
    pub file: String,
    /// Its length in bytes.
    pub bytes: u64,
    /// The generation of the first log that it does not cover, if its header is whole.
    pub generation: Option<u64>,
    /// Whose it is, if its header is whole.
    pub identity: Option<ReplicaId>,
    /// How many groups it holds.
    pub groups: usize,
    /// Where reading ended, in bytes from the file's start, and why; `None` if the slot is whole.
    pub damage: Option<(u64, Damage)>,
}

/// A log's file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LogInspection {
    /// The file's name.
    pub file: String,
    /// Its length in bytes.
    pub bytes: u64,
    /// The generation in its name.
    pub generation: u64,
    /// Whose it is, if its header is whole.
    pub identity: Option<ReplicaId>,
    /// How many whole frames it begins with.
    pub frames: u64,
    /// How many bytes it begins with that are whole, with the header.
    pub whole_bytes: u64,
    /// Why reading ended there; `None` if the log is whole.
    pub damage: Option<Damage>,
}

/// A group's durable state.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct GroupInspection {
    /// The group.
    pub group: GroupId,
    /// Whether this replica founded it.
    pub founded: bool,
    /// Whether the replica has left the group and holds nothing of it since.
    pub left: bool,
    /// The newest term that the replica knows.
    pub term: u64,
    /// Whom it voted for in that term.
    pub vote: Option<ReplicaId>,
    /// The last index that the snapshot covers.
    pub snapshot_index: Option<u64>,
    /// The length of the snapshot's data in bytes.
    pub snapshot_bytes: u64,
    /// The index of the first entry that is kept.
    pub first_index: Option<u64>,
    /// The index of the last entry.
    pub last_index: Option<u64>,
    /// How many entries are kept.
    pub entries: u64,
    /// The length of their payloads in bytes.
    pub entry_bytes: u64,
}

/// What a folder holds.
#[derive(Debug)]
pub struct Inspection {
    /// Whose state it is, if it can be recovered.
    pub identity: Option<ReplicaId>,
    /// The slots there are, by name.
    pub slots: Vec<SlotInspection>,
    /// The logs there are, by generation.
    pub logs: Vec<LogInspection>,
    /// The groups of the recovered state.
    pub groups: Vec<GroupInspection>,
    /// What recovery found, if it can be recovered.
    pub report: Option<RecoveryReport>,
    /// Why the state cannot be recovered, and which files cannot be read.
    pub errors: Vec<DiskError>,
}

/// Looks at a folder and changes nothing.
pub fn inspect(folder: &dyn Folder) -> Inspection {
    let mut inspection = Inspection {
        identity: None,
        slots: Vec::new(),
        logs: Vec::new(),
        groups: Vec::new(),
        report: None,
        errors: Vec::new(),
    };
    inspection.add_recovery(folder);
    if let Err(error) = inspection.add_files(folder) {
        inspection.errors.push(error);
    }
    inspection
}

impl Inspection {
    fn add_recovery(&mut self, folder: &dyn Folder) {
        let Recovery { recovered, report } = match recover(folder) {
            Ok(recovery) => recovery,
            Err(error) => return self.errors.push(error),
        };
        self.report = Some(report);
        let Some(recovered) = recovered else { return };
        self.identity = Some(recovered.state.identity);
        let groups = recovered.state.groups.iter();
        self.groups = groups.map(|(group, state)| inspect_group(*group, state)).collect();
    }

    fn add_files(&mut self, folder: &dyn Folder) -> Result<(), DiskError> {
        let names = folder.list().map_err(|cause| DiskError::from_io(FileAction::List, ".", cause))?;
        let mut generations: Vec<u64> = names.iter().filter_map(|name| log_generation(name)).collect();
        generations.sort_unstable();
        for generation in generations {
            match inspect_log(folder, generation) {
                Ok(log) => self.logs.push(log),
                Err(error) => self.errors.push(error),
            }
        }
        for position in SlotPosition::ALL {
            if !names.iter().any(|name| name == position.file_name()) {
                continue;
            }
            match inspect_slot(folder, position) {
                Ok(slot) => self.slots.push(slot),
                Err(error) => self.errors.push(error),
            }
        }
        Ok(())
    }
}

fn inspect_slot(folder: &dyn Folder, position: SlotPosition) -> Result<SlotInspection, DiskError> {
    let file = position.file_name().to_owned();
    let content = read_file(folder, &file)?;
    let bytes = content.len() as u64;
    let header = match Header::read(&file, FileKind::Slot, &content)? {
        Ok(header) => header,
        Err(damage) => {
            let damage = Some((0, damage));
            return Ok(SlotInspection { file, bytes, generation: None, identity: None, groups: 0, damage });
        }
    };
    let (groups, damage) = match read_slot(&header, &content) {
        Ok(groups) => (groups.len(), None),
        Err(SlotFault { offset, damage }) => (0, Some((offset, damage))),
    };
    let (generation, identity) = (Some(header.generation), Some(header.identity));
    Ok(SlotInspection { file, bytes, generation, identity, groups, damage })
}

fn inspect_log(folder: &dyn Folder, generation: u64) -> Result<LogInspection, DiskError> {
    let file = log_name(generation);
    let content = read_file(folder, &file)?;
    let bytes = content.len() as u64;
    let header = match Header::read(&file, FileKind::Log, &content)? {
        Ok(header) => header,
        Err(damage) => {
            let (identity, frames, whole_bytes, damage) = (None, 0, 0, Some(damage));
            return Ok(LogInspection { file, bytes, generation, identity, frames, whole_bytes, damage });
        }
    };
    let seed = FrameSeed::from(&header);
    let mut offset = HEADER_LENGTH;
    let mut frames = 0;
    let mut damage = None;
    while offset < content.len() && damage.is_none() {
        match seed.read(&content, offset) {
            Ok(frame) => {
                frames += 1;
                offset = frame.range.end;
            }
            Err(found) => damage = Some(found),
        }
    }
    let (identity, whole_bytes) = (Some(header.identity), offset as u64);
    Ok(LogInspection { file, bytes, generation, identity, frames, whole_bytes, damage })
}

fn inspect_group(group: GroupId, state: &GroupState) -> GroupInspection {
    let snapshot = state.snapshot.as_ref();
    let payloads = state.entries.iter().map(|entry| entry.payload.len() as u64);
    GroupInspection {
        group,
        founded: state.founded.is_some(),
        left: state.is_left(),
        term: state.hard_state.term,
        vote: state.hard_state.vote,
        snapshot_index: snapshot.map(|snapshot| snapshot.index),
        snapshot_bytes: snapshot.map_or(0, |snapshot| snapshot.data.len() as u64),
        first_index: state.entries.first().map(|entry| entry.index),
        last_index: state.entries.last().map(|entry| entry.index),
        entries: state.entries.len() as u64,
        entry_bytes: payloads.fold(0, u64::saturating_add),
    }
}
