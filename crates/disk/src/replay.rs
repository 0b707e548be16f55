//! Replaying the logs that follow a slot.

use std::collections::BTreeMap;

use ruddervalve_protocol::ReplicaId;

use crate::error::{Damage, DiskError};
use crate::folder::Folder;
use crate::frame::FrameSeed;
use crate::header::{FileKind, HEADER_LENGTH, Header};
use crate::names::log_name;
use crate::recovery::{FIRST_GENERATION, RecoveryReport, read_file};
use crate::state::{Groups, apply_payload};

/// Where the newest log ends.
#[derive(Debug, Clone, Copy)]
pub(crate) struct NewestLog {
    /// Its generation.
    pub(crate) generation: u64,
    /// How many of its bytes are whole.
    pub(crate) whole_length: u64,
    /// Whether bytes follow that are not.
    pub(crate) torn: bool,
}

/// Logs being replayed onto a slot's state.
pub(crate) struct Replay<'a> {
    pub(crate) folder: &'a dyn Folder,
    pub(crate) identity: ReplicaId,
    pub(crate) groups: Groups,
    /// The lengths of the logs before the newest that were replayed.
    pub(crate) older: BTreeMap<u64, u64>,
    pub(crate) report: &'a mut RecoveryReport,
}

/// What a log's file is.
enum LogFile {
    /// The file was being made when the crash came; it never held a record.
    NeverUsed,
    /// The file's header is whole.
    Begun(Header),
}

impl Replay<'_> {
    /// Replays logs that follow each other, of which the first must have been begun.
    pub(crate) fn run(&mut self, logs: &[u64]) -> Result<NewestLog, DiskError> {
        let mut newest: Option<NewestLog> = None;
        let last_generation = logs.last().copied();
        for generation in logs.iter().copied() {
            let name = log_name(generation);
            let bytes = read_file(self.folder, &name)?;
            let last = Some(generation) == last_generation;
            match self.log_file(generation, &bytes, last, newest)? {
                LogFile::NeverUsed => self.report.leftovers.push(name),
                LogFile::Begun(header) => {
                    let log = self.log(&header, &bytes, last)?;
                    if let Some(before) = newest.replace(log) {
                        self.older.insert(before.generation, before.whole_length);
                    }
                }
            }
        }
        newest.ok_or_else(|| DiskError::Missing { file: log_name(FIRST_GENERATION) })
    }

    /// `last` tells whether no log follows, `before` the one before this one.
    fn log_file(
        &self,
        generation: u64,
        bytes: &[u8],
        last: bool,
        before: Option<NewestLog>,
    ) -> Result<LogFile, DiskError> {
        let name = log_name(generation);
        // Whether the crash may have come while the file was being made: its first record comes only after that.
        let may_be_unused = last && before.is_some() && bytes.len() <= HEADER_LENGTH;
        let damage = match Header::read(&name, FileKind::Log, bytes)? {
            Ok(header) => match self.header_damage(&header, generation, before) {
                None => return Ok(LogFile::Begun(header)),
                Some(damage) => damage,
            },
            Err(_) if may_be_unused => return Ok(LogFile::NeverUsed),
            Err(damage) => damage,
        };
        Err(DiskError::LogDamaged { file: name, offset: 0, damage })
    }

    fn header_damage(&self, header: &Header, generation: u64, before: Option<NewestLog>) -> Option<Damage> {
        if header.generation != generation {
            return Some(Damage::Generation);
        }
        if header.identity != self.identity {
            return Some(Damage::Identity);
        }
        let other_length = before.is_some_and(|before| before.whole_length != header.previous_length);
        other_length.then_some(Damage::PreviousLength)
    }

    fn log(&mut self, header: &Header, bytes: &[u8], last: bool) -> Result<NewestLog, DiskError> {
        let seed = FrameSeed::from(header);
        let mut offset = HEADER_LENGTH;
        let fault = |offset: usize, damage| DiskError::LogDamaged {
            file: log_name(header.generation),
            offset: offset as u64,
            damage,
        };
        while offset < bytes.len() {
            match seed.read(bytes, offset) {
                Ok(frame) => {
                    apply_payload(&mut self.groups, frame.payload).map_err(|damage| fault(offset, damage))?;
                    self.report.frames = self.report.frames.saturating_add(1);
                    offset = frame.range.end;
                }
                Err(damage) if !last || seed.proves_synced(bytes, offset) => {
                    return Err(fault(offset, damage));
                }
                Err(_) => break,
            }
        }
        self.report.logs = self.report.logs.saturating_add(1);
        self.report.torn_bytes = bytes.len().saturating_sub(offset) as u64;
        Ok(NewestLog {
            generation: header.generation,
            whole_length: offset as u64,
            torn: offset < bytes.len(),
        })
    }
}
