//! Writing the whole state into the older slot while the log goes on.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use crate::error::{DiskError, FileAction};
use crate::folder::Folder;
use crate::header::{FileKind, Header};
use crate::names::SlotPosition;
use crate::slot::SlotWriter;
use crate::state::ProcessState;

/// The newest durable slot. Whoever writes a slot holds this the whole time: the newest one is never written over.
#[derive(Debug)]
pub(crate) struct SlotTurn {
    /// Where it is.
    pub(crate) position: SlotPosition,
    /// Its generation.
    pub(crate) generation: u64,
    /// Its length in bytes.
    pub(crate) bytes: u64,
}

/// The turn that a journal and its checkpoint jobs share.
pub(crate) type SharedTurn = Arc<Mutex<SlotTurn>>;

fn lock(turn: &SharedTurn) -> MutexGuard<'_, SlotTurn> {
    turn.lock().unwrap_or_else(PoisonError::into_inner)
}

/// A checkpoint that is to be written; any thread may run it.
#[must_use = "the checkpoint is written by `run`"]
pub struct CheckpointJob {
    pub(crate) folder: Arc<dyn Folder>,
    pub(crate) turn: SharedTurn,
    /// The generation of the first log that the state does not cover.
    pub(crate) generation: u64,
    pub(crate) state: Arc<ProcessState>,
    pub(crate) chunk_bytes: usize,
}

/// A checkpoint that is durable.
#[derive(Debug)]
#[must_use = "the journal removes old logs once it knows that the checkpoint is done"]
pub struct CheckpointDone {
    pub(crate) generation: u64,
    pub(crate) slot_generation: u64,
    pub(crate) bytes: u64,
}

impl CheckpointDone {
    /// The length of the newest slot in bytes.
    pub fn bytes(&self) -> u64 {
        self.bytes
    }

    /// The generation of the first log that the newest slot does not cover; no less than the job's.
    pub fn generation(&self) -> u64 {
        self.slot_generation.max(self.generation)
    }
}

impl CheckpointJob {
    /// Writes the older slot and syncs it. Where a later checkpoint is durable already, nothing is left to do.
    ///
    /// # Errors
    /// [`DiskError::Full`] if there is no room: the newest slot and all logs are as they were, and the job may be run
    /// again. After any other error the process must end.
    pub fn run(&mut self) -> Result<CheckpointDone, DiskError> {
        let mut turn = lock(&self.turn);
        if turn.generation < self.generation {
            let position = turn.position.other();
            let bytes = self.write(position)?;
            *turn = SlotTurn { position, generation: self.generation, bytes };
        }
        Ok(CheckpointDone {
            generation: self.generation,
            slot_generation: turn.generation,
            bytes: turn.bytes,
        })
    }

    fn write(&self, position: SlotPosition) -> Result<u64, DiskError> {
        let header = Header {
            kind: FileKind::Slot,
            generation: self.generation,
            identity: self.state.identity,
            previous_length: 0,
        };
        write_slot(self.folder.as_ref(), position, header, &self.state, self.chunk_bytes)
    }
}

/// Writes a slot and makes it durable; returns its length in bytes.
pub(crate) fn write_slot(
    folder: &dyn Folder,
    position: SlotPosition,
    header: Header,
    state: &ProcessState,
    chunk_bytes: usize,
) -> Result<u64, DiskError> {
    let name = position.file_name();
    let error = |action, cause| DiskError::from_io(action, name, cause);
    let mut file = folder.create(name).map_err(|cause| error(FileAction::Create, cause))?;
    let written = SlotWriter::write(name, file.as_mut(), header, state, chunk_bytes);
    if written.as_ref().is_err_and(DiskError::is_full) {
        // The part that was written would hold back the room that the logs need.
        file.set_len(0).map_err(|cause| error(FileAction::SetLength, cause))?;
    }
    let bytes = written?;
    file.sync().map_err(|cause| error(FileAction::Sync, cause))?;
    sync_folder(folder)?;
    Ok(bytes)
}

/// Makes all names of a folder durable.
pub(crate) fn sync_folder(folder: &dyn Folder) -> Result<(), DiskError> {
    folder.sync().map_err(|cause| DiskError::from_io(FileAction::Sync, ".", cause))
}
