//! Durable state of one process: two checkpoint slots written in turn, a short log between.
//!
//! One folder holds the state of all consensus groups of a process, under one identity. Changes are [`Record`]s. They are
//! appended to the newest log, `log-N`, and made durable together by one write and one sync (group commit, [`Journal`]).
//! A checkpoint starts the log of the next generation and writes the whole state into the older one of the files `slot-0`
//! and `slot-1`; once it is durable, the logs before its generation go. Recovery ([`open`]) reads the newest whole slot and
//! the logs from its generation on. The end of the newest log may have been lost with the power and is cut off; any other
//! damage is an error and is never served over. [`DiskWorker`] runs all this on threads of its own.

mod checkpoint;
mod error;
mod folder;
mod frame;
mod header;
mod inspection;
mod journal;
mod names;
mod opened;
mod options;
mod real;
mod record;
mod recovery;
mod replay;
mod slot;
mod state;
mod sync;
pub mod testing;
mod worker;

pub use checkpoint::{CheckpointDone, CheckpointJob};
pub use error::{Damage, DiskError, FileAction};
pub use folder::{DataFile, Folder};
pub use inspection::{GroupInspection, Inspection, LogInspection, SlotInspection, inspect};
pub use journal::Journal;
pub use opened::{Opened, open};
pub use options::{Options, RetryIntervals};
pub use real::RealFolder;
pub use record::{Record, StoredEntry, StoredHardState, StoredLogPosition, StoredSnapshot};
pub use recovery::{RecoveryReport, Warning};
pub use state::{CheckpointState, GroupState, ProcessState};
pub use worker::{Completion, DiskWorker};
