//! Reads a folder without changing it: which state is durable there, and what a crash left over.

use std::collections::BTreeMap;

use crate::error::{Damage, DiskError, FileAction};
use crate::folder::Folder;
use crate::header::{FileKind, HEADER_LENGTH, Header};
use crate::names::{SlotPosition, log_generation, log_name};
use crate::replay::{NewestLog, Replay};
use crate::slot::{SlotFault, read_slot};
use crate::state::{Groups, ProcessState};

/// The generation of the first log of a folder.
pub(crate) const FIRST_GENERATION: u64 = 1;

/// Something in a file that recovery could do without.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Warning {
    /// The file's name.
    pub file: String,
    /// Where, in bytes from its start.
    pub offset: u64,
    /// What is wrong.
    pub damage: Damage,
}

/// What recovery found.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct RecoveryReport {
    /// The slot that the state began from.
    pub slot: Option<String>,
    /// The slot's generation; 0 without a slot.
    pub slot_generation: u64,
    /// How many logs were replayed.
    pub logs: u64,
    /// How many frames of them were replayed.
    pub frames: u64,
    /// How many bytes at the end of the newest log were lost with the power and are cut off.
    pub torn_bytes: u64,
    /// Files that a crash left over and that are removed.
    pub leftovers: Vec<String>,
    /// Files of other names, which stay as they are.
    pub unknown: Vec<String>,
    /// Damage that the rest of the folder makes up for, such as a slot whose writing was cut off.
    pub warnings: Vec<Warning>,
}

/// Where a recovered state is stored.
#[derive(Debug)]
pub(crate) struct Layout {
    /// The newest whole slot.
    pub(crate) slot: SlotPosition,
    /// Its generation.
    pub(crate) slot_generation: u64,
    /// Its length in bytes.
    pub(crate) slot_bytes: u64,
    /// The lengths of the logs before the newest that the slot does not cover, by generation.
    pub(crate) older_logs: BTreeMap<u64, u64>,
    /// The newest log.
    pub(crate) newest: NewestLog,
}

/// A state and where it is stored.
#[derive(Debug)]
pub(crate) struct Recovered {
    /// The state.
    pub(crate) state: ProcessState,
    /// Where it is stored.
    pub(crate) layout: Layout,
}

/// What a folder holds; without a state it never held a complete founding.
#[derive(Debug)]
pub(crate) struct Recovery {
    /// The state, if there is one.
    pub(crate) recovered: Option<Recovered>,
    /// What was found.
    pub(crate) report: RecoveryReport,
}

/// Reads the whole folder.
pub(crate) fn recover(folder: &dyn Folder) -> Result<Recovery, DiskError> {
    let mut report = RecoveryReport::default();
    let files = FolderFiles::list(folder, &mut report)?;
    let Some(slot) = newest_slot(folder, &files, &mut report)? else {
        check_never_founded(folder, &files, &report)?;
        report.leftovers = files.all_names();
        return Ok(Recovery { recovered: None, report });
    };
    report.slot = Some(slot.position.to_string());
    report.slot_generation = slot.header.generation;
    let recovered = replay(folder, &files, slot, &mut report)?;
    Ok(Recovery { recovered: Some(recovered), report })
}

/// The names of this crate's files.
struct FolderFiles {
    slots: Vec<SlotPosition>,
    logs: Vec<u64>,
}

impl FolderFiles {
    fn list(folder: &dyn Folder, report: &mut RecoveryReport) -> Result<Self, DiskError> {
        let names = folder.list().map_err(|cause| DiskError::from_io(FileAction::List, ".", cause))?;
        let mut files = Self { slots: Vec::new(), logs: Vec::new() };
        for name in names {
            let slot = SlotPosition::ALL.into_iter().find(|position| position.file_name() == name);
            match (slot, log_generation(&name)) {
                (Some(position), _) => files.slots.push(position),
                (None, Some(generation)) => files.logs.push(generation),
                (None, None) => report.unknown.push(name),
            }
        }
        files.slots.sort_unstable();
        files.logs.sort_unstable();
        report.unknown.sort_unstable();
        Ok(files)
    }

    fn all_names(&self) -> Vec<String> {
        let slots = self.slots.iter().map(SlotPosition::to_string);
        slots.chain(self.logs.iter().copied().map(log_name)).collect()
    }
}

/// Reads a file that was listed.
pub(crate) fn read_file(folder: &dyn Folder, name: &str) -> Result<Vec<u8>, DiskError> {
    let bytes = folder.read(name).map_err(|cause| DiskError::from_io(FileAction::Read, name, cause))?;
    bytes.ok_or_else(|| DiskError::Missing { file: name.to_owned() })
}

/// A slot whose header is whole.
struct SlotFile {
    position: SlotPosition,
    header: Header,
}

/// A whole slot.
struct WholeSlot {
    position: SlotPosition,
    header: Header,
    length: u64,
    groups: Groups,
}

/// The newest slot that is whole; what is wrong with the newer ones goes into the report. Never more than one is in memory:
/// each is as large as the state.
fn newest_slot(
    folder: &dyn Folder,
    files: &FolderFiles,
    report: &mut RecoveryReport,
) -> Result<Option<WholeSlot>, DiskError> {
    let mut candidates = Vec::new();
    for position in &files.slots {
        let name = position.file_name();
        let start = folder.read_start(name, HEADER_LENGTH);
        let start = start.map_err(|cause| DiskError::from_io(FileAction::Read, name, cause))?;
        match Header::read(name, FileKind::Slot, &start.unwrap_or_default())? {
            Ok(header) => candidates.push(SlotFile { position: *position, header }),
            Err(damage) => report.warnings.push(Warning { file: name.to_owned(), offset: 0, damage }),
        }
    }
    candidates.sort_unstable_by_key(|slot| slot.header.generation);
    while let Some(SlotFile { position, header }) = candidates.pop() {
        let bytes = read_file(folder, position.file_name())?;
        match read_slot(&header, &bytes) {
            Ok(groups) => {
                return Ok(Some(WholeSlot { position, header, length: bytes.len() as u64, groups }));
            }
            Err(SlotFault { offset, damage }) => {
                report.warnings.push(Warning { file: position.to_string(), offset, damage });
            }
        }
    }
    Ok(None)
}

/// Without a whole slot, all that a founding which never ended may have left is its first slot and an empty first log.
fn check_never_founded(
    folder: &dyn Folder,
    files: &FolderFiles,
    report: &RecoveryReport,
) -> Result<(), DiskError> {
    let later_slot = files.slots.iter().any(|position| *position != SlotPosition::First);
    let later_log = files.logs.iter().any(|generation| *generation != FIRST_GENERATION);
    if later_slot || later_log || first_log_used(folder, files)? {
        return Err(slot_fault(report, SlotPosition::First));
    }
    Ok(())
}

/// Nothing is written behind the header of the first log before a slot is durable.
fn first_log_used(folder: &dyn Folder, files: &FolderFiles) -> Result<bool, DiskError> {
    if !files.logs.contains(&FIRST_GENERATION) {
        return Ok(false);
    }
    Ok(read_file(folder, &log_name(FIRST_GENERATION))?.len() > HEADER_LENGTH)
}

/// The error for a slot that should be there.
fn slot_fault(report: &RecoveryReport, otherwise: SlotPosition) -> DiskError {
    match report.warnings.first() {
        Some(Warning { file, offset, damage }) => {
            DiskError::SlotDamaged { file: file.clone(), offset: *offset, damage: *damage }
        }
        None => DiskError::Missing { file: otherwise.to_string() },
    }
}

fn replay(
    folder: &dyn Folder,
    files: &FolderFiles,
    slot: WholeSlot,
    report: &mut RecoveryReport,
) -> Result<Recovered, DiskError> {
    let WholeSlot { position, header, length, groups } = slot;
    let (covered, logs): (Vec<u64>, Vec<u64>) =
        files.logs.iter().partition(|generation| **generation < header.generation);
    report.leftovers = covered.into_iter().map(log_name).collect();
    check_sequence(&header, &logs, report, position)?;
    let mut replay = Replay { folder, identity: header.identity, groups, older: BTreeMap::new(), report };
    let newest = replay.run(&logs)?;
    let Replay { groups, older, .. } = replay;
    let state = ProcessState { identity: header.identity, groups };
    let layout = Layout {
        slot: position,
        slot_generation: header.generation,
        slot_bytes: length,
        older_logs: older,
        newest,
    };
    Ok(Recovered { state, layout })
}

/// Checks that the logs follow each other from the slot's generation on.
fn check_sequence(
    header: &Header,
    logs: &[u64],
    report: &RecoveryReport,
    position: SlotPosition,
) -> Result<(), DiskError> {
    let mut expected = header.generation;
    for generation in logs {
        if *generation != expected {
            break;
        }
        expected = expected.saturating_add(1);
    }
    let followed = expected.saturating_sub(header.generation) == logs.len() as u64;
    if followed && !logs.is_empty() {
        return Ok(());
    }
    // A newer slot that does not read is why the logs before it are gone.
    if report.warnings.is_empty() {
        return Err(DiskError::Missing { file: log_name(expected) });
    }
    Err(slot_fault(report, position))
}
