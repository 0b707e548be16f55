//! The command line of the system's roles and tools.
//!
//! The binary asks [`run`] first. Without one of the sub-commands here it is the dispatcher in service, whose options are
//! its own.

mod check;
mod flags;
mod inspect;
mod roles;
mod simulate;

use std::ffi::OsString;
use std::process::ExitCode;
use std::sync::Arc;

use ruddervalve_disk::Folder;

use flags::{Ruddervalve, RuddervalveCmd};

/// The exit code for a command line, settings or a configuration that are faulty.
pub(crate) const FAULTY: u8 = 2;

/// The sub-commands of the system.
pub const COMMANDS: [&str; 6] = ["edge", "coordinator", "store", "check", "inspect", "simulate"];

/// Carries out a sub-command of the system, if the arguments (without the program's name) begin with one.
pub fn run(arguments: Vec<OsString>) -> Option<ExitCode> {
    run_on(arguments, None)
}

/// The same, where a role keeps its data in this folder in place of `DataDir`.
pub fn run_on(arguments: Vec<OsString>, folder: Option<Arc<dyn Folder>>) -> Option<ExitCode> {
    let first = arguments.first()?.to_str()?;
    if !COMMANDS.contains(&first) {
        return None;
    }
    Some(match Ruddervalve::from_vec(arguments) {
        Ok(flags) => command(flags.subcommand, folder),
        Err(error) => error.exit(),
    })
}

fn command(command: RuddervalveCmd, folder: Option<Arc<dyn Folder>>) -> ExitCode {
    match command {
        RuddervalveCmd::Edge(_) => roles::edge(),
        RuddervalveCmd::Coordinator(_) => roles::coordinator(folder),
        RuddervalveCmd::Store(_) => roles::store(folder),
        RuddervalveCmd::Check(check) => check::check(&check.file, check.configuration),
        RuddervalveCmd::Inspect(inspect) => inspect::inspect(&inspect.folder),
        RuddervalveCmd::Simulate(options) => simulate::simulate(options),
    }
}
