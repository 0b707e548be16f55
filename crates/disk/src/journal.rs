//! The log of a process and the turn of its checkpoints, without threads.

use std::collections::BTreeMap;
use std::io::ErrorKind;
use std::sync::{Arc, Mutex};

use nanoserde::SerBin;
use ruddervalve_protocol::ReplicaId;

use crate::checkpoint::{CheckpointDone, CheckpointJob, SharedTurn, SlotTurn, sync_folder};
use crate::error::{DiskError, FileAction};
use crate::folder::{DataFile, Folder};
use crate::frame::{FramePlace, FrameSeed};
use crate::header::{FileKind, HEADER_LENGTH, Header};
use crate::names::log_name;
use crate::options::Options;
use crate::record::Record;
use crate::state::{CheckpointState, ProcessState};

/// Appends records and makes them durable together. Its owner calls it from one thread at a time.
pub struct Journal {
    folder: Arc<dyn Folder>,
    options: Options,
    identity: ReplicaId,
    turn: SharedTurn,
    checkpoint_bytes: u64,
    /// The lengths of the logs before the newest that no durable slot covers or that are not removed yet.
    older_logs: BTreeMap<u64, u64>,
    end: LogEnd,
    seed: FrameSeed,
    /// Frames that are not written yet.
    buffer: Vec<u8>,
    health: Health,
}

/// Whether a journal may still be used.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Health {
    Whole,
    /// Records did not fit a frame, so that the buffer lacks them; the next sync tells.
    Lacking {
        bytes: usize,
    },
    Ended,
}

/// The newest log and how much of it is durable.
pub(crate) struct LogEnd {
    /// The open file.
    pub(crate) file: Box<dyn DataFile>,
    /// Its generation.
    pub(crate) generation: u64,
    /// Its durable length in bytes; nothing follows but what a failed write may have left.
    pub(crate) length: u64,
}

/// What a journal is made of.
pub(crate) struct Parts {
    pub(crate) folder: Arc<dyn Folder>,
    pub(crate) options: Options,
    pub(crate) identity: ReplicaId,
    pub(crate) turn: SlotTurn,
    pub(crate) older_logs: BTreeMap<u64, u64>,
    pub(crate) end: LogEnd,
}

impl Journal {
    pub(crate) fn new(parts: Parts) -> Self {
        let Parts { folder, options, identity, turn, older_logs, end } = parts;
        let header = log_header(identity, end.generation, 0);
        Self {
            folder,
            options,
            identity,
            checkpoint_bytes: turn.bytes,
            turn: Arc::new(Mutex::new(turn)),
            older_logs,
            seed: FrameSeed::from(&header),
            end,
            buffer: Vec::new(),
            health: Health::Whole,
        }
    }

    /// Whose journal it is.
    pub fn identity(&self) -> ReplicaId {
        self.identity
    }

    /// The limits it was opened with.
    pub fn options(&self) -> Options {
        self.options
    }

    /// Buffers records, which recovery finds all or not at all. They count for nothing before [`Journal::sync`].
    pub fn append(&mut self, records: &[Record]) {
        let offset = self.end.length.saturating_add(self.buffer.len() as u64);
        let place = FramePlace { offset, batch_start: self.end.length };
        let written = self.seed.write(&mut self.buffer, place, |output| {
            for record in records {
                record.ser_bin(output);
            }
        });
        if let (Err(DiskError::TooLarge { bytes }), Health::Whole) = (written, self.health) {
            self.health = Health::Lacking { bytes };
        }
    }

    /// Makes all buffered records durable by one write and one sync; does nothing without any.
    ///
    /// # Errors
    /// [`DiskError::Full`] if there is no room: the log is cut back, the records stay in the buffer, and a later call tries
    /// again. After any other error the records may or may not be there, and the process must end: all later calls give
    /// [`DiskError::Ended`].
    pub fn sync(&mut self) -> Result<(), DiskError> {
        self.check_health()?;
        if self.buffer.is_empty() {
            return Ok(());
        }
        let written = self.write_buffer();
        self.end_unless_full(written)
    }

    /// The bytes of all logs that a recovery would read, with those that are buffered.
    pub fn log_bytes(&self) -> u64 {
        let older = self.older_logs.values().fold(0, |sum: u64, length| sum.saturating_add(*length));
        older.saturating_add(self.end.length).saturating_add(self.buffer.len() as u64)
    }

    /// The length of the newest slot in bytes, as of the last [`Journal::finish_checkpoint`].
    pub fn checkpoint_bytes(&self) -> u64 {
        self.checkpoint_bytes
    }

    /// Makes all that is buffered durable and begins the log of the next generation. `state` must be what all records
    /// appended before make up. The job writes it on any thread, while this journal goes on.
    ///
    /// # Errors
    /// [`DiskError::Full`] if there is no room: the old log goes on, and a later call may work.
    /// [`DiskError::ForeignState`] if the state is another process's. After any other error the process must end.
    pub fn begin_checkpoint(&mut self, state: &CheckpointState) -> Result<CheckpointJob, DiskError> {
        self.begin_shared_checkpoint(&Arc::new(state.clone()))
    }

    /// [`Journal::begin_checkpoint`] for a state that is shared with the job.
    pub(crate) fn begin_shared_checkpoint(
        &mut self,
        state: &Arc<ProcessState>,
    ) -> Result<CheckpointJob, DiskError> {
        if state.identity != self.identity {
            return Err(DiskError::ForeignState { expected: self.identity, found: state.identity });
        }
        self.sync()?;
        let rotated = self.rotate();
        self.end_unless_full(rotated)?;
        Ok(CheckpointJob {
            folder: Arc::clone(&self.folder),
            turn: Arc::clone(&self.turn),
            generation: self.end.generation,
            state: Arc::clone(state),
            chunk_bytes: self.options.chunk_bytes,
        })
    }

    /// Removes the logs that the durable checkpoint covers. One that cannot be removed stays until the next start: recovery
    /// does not read it.
    pub fn finish_checkpoint(&mut self, done: CheckpointDone) {
        self.checkpoint_bytes = done.bytes();
        let kept = self.older_logs.split_off(&done.generation());
        let covered = std::mem::replace(&mut self.older_logs, kept);
        for generation in covered.into_keys() {
            let name = log_name(generation);
            match self.folder.remove(&name) {
                Err(cause) if cause.kind() != ErrorKind::NotFound => {
                    tracing::warn!(%name, %cause, "an old log cannot be removed");
                }
                _ => {}
            }
        }
    }

    fn write_buffer(&mut self) -> Result<(), DiskError> {
        let name = log_name(self.end.generation);
        if let Err(cause) = self.end.file.append(&self.buffer) {
            let error = DiskError::from_io(FileAction::Write, &name, cause);
            if error.is_full() {
                self.cut(&name)?;
            }
            return Err(error);
        }
        let synced = self.end.file.sync();
        synced.map_err(|cause| DiskError::from_io(FileAction::Sync, &name, cause))?;
        self.end.length = self.end.length.saturating_add(self.buffer.len() as u64);
        self.buffer.clear();
        self.buffer.shrink_to(self.options.chunk_bytes);
        Ok(())
    }

    /// Takes back what a write without enough room may have left.
    fn cut(&mut self, name: &str) -> Result<(), DiskError> {
        let cut = self.end.file.set_len(self.end.length);
        cut.map_err(|cause| fatal(FileAction::SetLength, name, cause))
    }

    fn rotate(&mut self) -> Result<(), DiskError> {
        let generation = self.end.generation.saturating_add(1);
        let header = log_header(self.identity, generation, self.end.length);
        let file = match create_log(self.folder.as_ref(), header) {
            Ok(file) => file,
            Err(error) => {
                if error.is_full() {
                    self.remove_unused_log(generation)?;
                }
                return Err(error);
            }
        };
        self.older_logs.insert(self.end.generation, self.end.length);
        self.end = LogEnd { file, generation, length: HEADER_LENGTH as u64 };
        self.seed = FrameSeed::from(&header);
        Ok(())
    }

    /// A log of the next generation must not come back while the one before it goes on: it would tell that one's end as
    /// damage.
    fn remove_unused_log(&self, generation: u64) -> Result<(), DiskError> {
        let name = log_name(generation);
        match self.folder.remove(&name) {
            Err(cause) if cause.kind() != ErrorKind::NotFound => {
                return Err(fatal(FileAction::Remove, &name, cause));
            }
            _ => {}
        }
        sync_folder(self.folder.as_ref())
    }

    fn check_health(&mut self) -> Result<(), DiskError> {
        match std::mem::replace(&mut self.health, Health::Ended) {
            Health::Whole => {
                self.health = Health::Whole;
                Ok(())
            }
            Health::Lacking { bytes } => Err(DiskError::TooLarge { bytes }),
            Health::Ended => Err(DiskError::Ended),
        }
    }

    fn end_unless_full(&mut self, result: Result<(), DiskError>) -> Result<(), DiskError> {
        if result.as_ref().is_err_and(|error| !error.is_full()) {
            self.health = Health::Ended;
        }
        result
    }
}

fn log_header(identity: ReplicaId, generation: u64, previous_length: u64) -> Header {
    Header { kind: FileKind::Log, generation, identity, previous_length }
}

/// An error that no later try mends, whatever its kind.
fn fatal(action: FileAction, file: &str, cause: std::io::Error) -> DiskError {
    DiskError::Io { action, file: file.to_owned(), cause }
}

/// Makes an empty log that is durable, with its name, when this returns.
pub(crate) fn create_log(folder: &dyn Folder, header: Header) -> Result<Box<dyn DataFile>, DiskError> {
    let name = log_name(header.generation);
    let error = |action, cause| DiskError::from_io(action, &name, cause);
    let mut file = folder.create(&name).map_err(|cause| error(FileAction::Create, cause))?;
    file.append(&header.to_bytes()).map_err(|cause| error(FileAction::Write, cause))?;
    file.sync().map_err(|cause| error(FileAction::Sync, cause))?;
    sync_folder(folder)?;
    Ok(file)
}
