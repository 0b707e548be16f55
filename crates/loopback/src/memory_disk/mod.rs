//! Disks that the rig keeps in its own memory, one for each machine.
//!
//! How long a sync of a real disk takes depends on all else that writes there, and appends are answered late with it. The
//! processes of a test reach their disks over a connection to the rig instead. A disk outlives its process, as files outlive a
//! process that is killed: all writes that were answered are there, and one that was under way is there or not. What a loss of
//! power leaves of a disk is not shown; the tests of the disk and the simulation do that.

mod folder;
mod message;
mod server;

pub use folder::MemoryFolder;
pub(crate) use folder::VARIABLE;
pub use server::MemoryDisks;
