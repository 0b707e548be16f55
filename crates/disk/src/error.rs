//! What can go wrong on a disk, and what to do about it.

use std::error::Error;
use std::io;

use displaydoc::Display;
use ruddervalve_protocol::{GroupId, ReplicaId};

/// What was done to a file or a folder when it failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum FileAction {
    /// listing
    List,
    /// reading
    Read,
    /// creating
    Create,
    /// opening
    Open,
    /// writing to
    Write,
    /// syncing
    Sync,
    /// cutting
    SetLength,
    /// removing
    Remove,
}

/// How the bytes of a file differ from what was written.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum Damage {
    /// the header is cut short or its checksum does not hold
    Header,
    /// the header names another generation than the file's name
    Generation,
    /// the header names another identity than the rest of the folder
    Identity,
    /// the log before this one has another length than when this one began
    PreviousLength,
    /// the file ends within a record
    Truncated,
    /// the checksum of a record does not hold
    Checksum,
    /// a record of whole bytes has no meaning
    Meaning,
    /// the checkpoint does not end with its closing mark
    NotClosed,
    /// group {group:?} jumps to index {found} where {expected} or less must follow
    Gap {
        /// The group.
        group: GroupId,
        /// The highest index that may follow.
        expected: u64,
        /// The index that is stored.
        found: u64,
    },
}

/// Why the durable state cannot be read or changed. Except for [`DiskError::Full`], the process must end.
#[derive(Debug, Display)]
pub enum DiskError {
    /// {action} {file} failed: {cause}; end the process, check the disk and start again
    Io {
        /// What was done.
        action: FileAction,
        /// The file's name in the folder; `.` is the folder.
        file: String,
        /// What the system said.
        cause: io::Error,
    },
    /// no room to write {file}; free space on the disk or give it more
    Full {
        /// The file's name.
        file: String,
    },
    /** checkpoint {file} is damaged at byte {offset} ({damage}) and cannot be made up for; remove all files of the folder, so
    that this replica joins anew and copies its state from the others */
    SlotDamaged {
        /// The file's name.
        file: String,
        /// Where, in bytes from its start.
        offset: u64,
        /// What is wrong.
        damage: Damage,
    },
    /** log {file} is damaged at byte {offset} ({damage}), within what had been synced; remove all files of the folder, so that
    this replica joins anew and copies its state from the others */
    LogDamaged {
        /// The file's name.
        file: String,
        /// Where, in bytes from its start.
        offset: u64,
        /// What is wrong.
        damage: Damage,
    },
    /** {file} is missing, which had been made durable; remove all files of the folder, so that this replica joins anew and
    copies its state from the others */
    Missing {
        /// The file's name.
        file: String,
    },
    /// {file} has format {found}, this program knows format {known}; start the program that wrote it
    Version {
        /// The file's name.
        file: String,
        /// The format of the file.
        found: u32,
        /// The format of this program.
        known: u32,
    },
    /// the folder holds the state of {identity:?} already; resume it
    AlreadyFounded {
        /// Whose state it holds.
        identity: ReplicaId,
    },
    /// the folder holds no state; found it first
    NotFounded,
    /// the checkpoint is of {found:?}, the folder of {expected:?}; pass the state of this process
    ForeignState {
        /// Whose folder it is.
        expected: ReplicaId,
        /// Whose state was passed.
        found: ReplicaId,
    },
    /// records of {bytes} bytes were appended at once, more than a frame holds; append them in parts
    TooLarge {
        /// How many bytes there were.
        bytes: usize,
    },
    /// an earlier call failed for good; end the process and start again
    Ended,
    /// a thread could not be started: {cause}; raise the limit on threads or memory
    Thread {
        /// What the system said.
        cause: io::Error,
    },
}

impl Error for DiskError {
    fn source(&self) -> Option<&(dyn Error + 'static)> {
        match self {
            Self::Io { cause, .. } | Self::Thread { cause } => Some(cause),
            _ => None,
        }
    }
}

impl DiskError {
    /// Whether it is [`DiskError::Full`]: nothing is lost, and a later try may work.
    pub fn is_full(&self) -> bool {
        matches!(self, Self::Full { .. })
    }

    /// Names the file and tells a lack of room from all else.
    pub(crate) fn from_io(action: FileAction, file: &str, cause: io::Error) -> Self {
        let full = matches!(cause.kind(), io::ErrorKind::StorageFull | io::ErrorKind::QuotaExceeded);
        // A sync that fails has lost bytes, whatever it reports: only a failed write can be taken back.
        if full && action != FileAction::Sync {
            return Self::Full { file: file.to_owned() };
        }
        Self::Io { action, file: file.to_owned(), cause }
    }
}
