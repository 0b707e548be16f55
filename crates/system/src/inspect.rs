//! `inspect`: what a data folder holds.

use std::path::Path;
use std::process::ExitCode;

use ruddervalve_disk::RealFolder;

/// Prints what the folder holds. Fails if it is no folder.
pub fn inspect(path: &Path) -> ExitCode {
    if !path.is_dir() {
        eprintln!("ruddervalve: {}: no folder: name the DataDir of a role", path.display());
        return ExitCode::FAILURE;
    }
    let inspection = ruddervalve_disk::inspect(&RealFolder::new(path.to_owned()));
    println!("{inspection:#?}");
    ExitCode::SUCCESS
}
