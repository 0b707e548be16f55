//! Where the files of a test system are kept.

use std::io;
use std::path::Path;

use rustix::fs::statvfs;
use tempfile::TempDir;

/// A folder in memory, where the machine has it.
const MEMORY_FOLDER: &str = "/dev/shm";
/// Bytes that have to be free there: several times what a system of a test writes.
const LEAST_FREE_BYTES: u64 = 1 << 30;
const PREFIX: &str = "ruddervalve-";

/// A new folder for the disks of a system: in memory if there is room, as how long a write to a shared disk takes depends on
/// all else that writes there; among the temporary files otherwise.
///
/// # Errors
/// No folder can be made.
pub fn disk_folder() -> io::Result<TempDir> {
    match free_bytes(Path::new(MEMORY_FOLDER)) {
        Some(free) if free >= LEAST_FREE_BYTES => {
            TempDir::with_prefix_in(PREFIX, MEMORY_FOLDER).or_else(|_| TempDir::with_prefix(PREFIX))
        }
        _ => TempDir::with_prefix(PREFIX),
    }
}

fn free_bytes(folder: &Path) -> Option<u64> {
    let file_system = statvfs(folder).ok()?;
    file_system.f_bavail.checked_mul(file_system.f_frsize)
}
