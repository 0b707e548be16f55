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

use flags::{Ruddervalve, RuddervalveCmd};

/// The exit code for a command line, settings or a configuration that are faulty.
pub(crate) const FAULTY: u8 = 2;

/// The sub-commands of the system.
pub const COMMANDS: [&str; 6] = ["edge", "coordinator", "store", "check", "inspect", "simulate"];

/// Carries out a sub-command of the system, if the arguments (without the program's name) begin with one.
pub fn run(arguments: Vec<OsString>) -> Option<ExitCode> {
    let first = arguments.first()?.to_str()?;
    if !COMMANDS.contains(&first) {
        return None;
    }
    Some(match Ruddervalve::from_vec(arguments) {
        Ok(flags) => command(flags.subcommand),
        Err(error) => error.exit(),
    })
}

fn command(command: RuddervalveCmd) -> ExitCode {
    match command {
        RuddervalveCmd::Edge(_) => roles::edge(),
        RuddervalveCmd::Coordinator(_) => roles::coordinator(),
        RuddervalveCmd::Store(_) => roles::store(),
        RuddervalveCmd::Check(check) => check::check(&check.file, check.configuration),
        RuddervalveCmd::Inspect(inspect) => inspect::inspect(&inspect.folder),
        RuddervalveCmd::Simulate(options) => simulate::simulate(options),
    }
}
