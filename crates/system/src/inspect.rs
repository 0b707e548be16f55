//! `inspect`: what a data folder holds.

use std::path::Path;
use std::process::ExitCode;

use ruddervalve_disk::RealFolder;

/// Prints what the folder holds. Fails if it is no folder, or damaged.
pub fn inspect(path: &Path) -> ExitCode {
    if !path.is_dir() {
        eprintln!("ruddervalve: {}: no folder: name the DataDir of a role", path.display());
        return ExitCode::FAILURE;
    }
    let inspection = ruddervalve_disk::inspect(&RealFolder::new(path.to_owned()));
    println!("{inspection:#?}");
    if inspection.errors.is_empty() {
        return ExitCode::SUCCESS;
    }
    eprintln!("ruddervalve: {}: damaged, see the errors above: restore it or empty it", path.display());
    ExitCode::FAILURE
}
