//! From a folder to a journal.

use std::io::ErrorKind;
use std::sync::Arc;

use ruddervalve_protocol::ReplicaId;

use crate::checkpoint::{SlotTurn, sync_folder, write_slot};
use crate::error::{DiskError, FileAction};
use crate::folder::{DataFile, Folder};
use crate::header::{FileKind, HEADER_LENGTH, Header};
use crate::journal::{Journal, LogEnd, Parts, create_log};
use crate::names::{SlotPosition, log_name};
use crate::options::Options;
use crate::recovery::{FIRST_GENERATION, Layout, Recovered, RecoveryReport, recover};
use crate::replay::NewestLog;
use crate::state::ProcessState;

/// A folder that was read and not changed yet.
pub struct Opened {
    /// The durable state; `None` if the folder is empty or never held a complete founding. Nothing of it may be acted upon
    /// before [`Opened::resume`] has returned: what the process wrote last before a kill may not be durable yet.
    pub state: Option<ProcessState>,
    /// What was found.
    pub report: RecoveryReport,
    folder: Arc<dyn Folder>,
    options: Options,
    stored: Option<Stored>,
}

/// Whose state a folder holds, and where.
struct Stored {
    identity: ReplicaId,
    layout: Layout,
}

/// Reads a folder and changes nothing.
///
/// # Errors
/// [`DiskError`] with the file and the place in it if anything durable is missing or damaged, or if reading fails.
pub fn open(folder: Arc<dyn Folder>, options: Options) -> Result<Opened, DiskError> {
    let recovery = recover(folder.as_ref())?;
    let report = recovery.report;
    let Some(Recovered { state, layout }) = recovery.recovered else {
        return Ok(Opened { state: None, report, folder, options, stored: None });
    };
    let stored = Some(Stored { identity: state.identity, layout });
    Ok(Opened { state: Some(state), report, folder, options, stored })
}

impl Opened {
    /// Founds the state of a new replica. Its identity is durable when this returns.
    ///
    /// # Errors
    /// [`DiskError::AlreadyFounded`] if the folder holds a state; [`DiskError::Full`], after which the folder may be opened
    /// again; others if a call of the system fails.
    pub fn found(self, identity: ReplicaId) -> Result<Journal, DiskError> {
        if let Some(Stored { identity, .. }) = self.stored {
            return Err(DiskError::AlreadyFounded { identity });
        }
        let folder = self.folder;
        remove_leftovers(folder.as_ref(), &self.report)?;
        let generation = FIRST_GENERATION;
        let header = Header { kind: FileKind::Log, generation, identity, previous_length: 0 };
        // A slot counts as a founding: the log that it needs is durable before it is begun.
        let file = create_log(folder.as_ref(), header)?;
        let slot_header = Header { kind: FileKind::Slot, ..header };
        let slot = SlotPosition::First;
        let state = ProcessState { identity, groups: Default::default() };
        let bytes = write_slot(folder.as_ref(), slot, slot_header, &state, self.options.chunk_bytes)?;
        let turn = SlotTurn { position: slot, generation, bytes };
        let end = LogEnd { file, generation, length: HEADER_LENGTH as u64 };
        let mut journal = Journal::new(Parts {
            folder,
            options: self.options,
            identity,
            turn,
            older_logs: Default::default(),
            end,
        });
        // Bytes behind the first log's header tell a damaged slot from a founding that never ended.
        journal.append(&[]);
        journal.sync()?;
        Ok(journal)
    }

    /// Goes on with the recovered state: makes all of it durable, cuts off the torn end and removes what a crash left over.
    ///
    /// # Errors
    /// [`DiskError::NotFounded`] if there is no state; others if a call of the system fails.
    pub fn resume(self) -> Result<Journal, DiskError> {
        let Some(Stored { identity, layout }) = self.stored else { return Err(DiskError::NotFounded) };
        let Layout { slot, slot_generation, slot_bytes, older_logs, newest } = layout;
        let folder = self.folder;
        sync_slot(folder.as_ref(), slot)?;
        let file = open_log(folder.as_ref(), newest)?;
        // Only now that the slot and its name are durable may the logs go that it covers.
        sync_folder(folder.as_ref())?;
        remove_leftovers(folder.as_ref(), &self.report)?;
        let NewestLog { generation, whole_length: length, .. } = newest;
        Ok(Journal::new(Parts {
            folder,
            options: self.options,
            identity,
            turn: SlotTurn { position: slot, generation: slot_generation, bytes: slot_bytes },
            older_logs,
            end: LogEnd { file, generation, length },
        }))
    }
}

fn sync_slot(folder: &dyn Folder, slot: SlotPosition) -> Result<(), DiskError> {
    let name = slot.file_name();
    let error = |action, cause| DiskError::from_io(action, name, cause);
    let mut file = folder.open_append(name).map_err(|cause| error(FileAction::Open, cause))?;
    file.sync().map_err(|cause| error(FileAction::Sync, cause))
}

/// Opens the newest log at the end of its whole records; all of them are durable when this returns.
fn open_log(folder: &dyn Folder, newest: NewestLog) -> Result<Box<dyn DataFile>, DiskError> {
    let name = log_name(newest.generation);
    let error = |action, cause| DiskError::from_io(action, &name, cause);
    let mut file = folder.open_append(&name).map_err(|cause| error(FileAction::Open, cause))?;
    if newest.torn {
        file.set_len(newest.whole_length).map_err(|cause| error(FileAction::SetLength, cause))?;
    }
    file.sync().map_err(|cause| error(FileAction::Sync, cause))?;
    Ok(file)
}

/// Removes what a crash left over. That is durable before anything is written: a log that was never used must not come
/// back behind one that goes on.
fn remove_leftovers(folder: &dyn Folder, report: &RecoveryReport) -> Result<(), DiskError> {
    for name in &report.leftovers {
        match folder.remove(name) {
            Err(cause) if cause.kind() != ErrorKind::NotFound => {
                return Err(DiskError::from_io(FileAction::Remove, name, cause));
            }
            _ => {}
        }
    }
    if report.leftovers.is_empty() { Ok(()) } else { sync_folder(folder) }
}
