//! The roles.

use std::fmt::Display;
use std::process::ExitCode;
use std::sync::Arc;

use ruddervalve_disk::Folder;
use ruddervalve_runtime::{Boot, BootError, log_to_stderr, run_role};

use crate::FAULTY;

/// Runs an edge.
pub fn edge() -> ExitCode {
    start(None, |boot| run_role(ruddervalve_edge::run_edge(boot)))
}

/// Runs a coordinator.
pub fn coordinator(folder: Option<Arc<dyn Folder>>) -> ExitCode {
    start(folder, |boot| run_role(ruddervalve_coordinator::run_coordinator(boot)))
}

/// Runs a store.
pub fn store(folder: Option<Arc<dyn Folder>>) -> ExitCode {
    start(folder, |boot| run_role(ruddervalve_store::run_store(boot)))
}

fn start<E: Display>(
    folder: Option<Arc<dyn Folder>>,
    role: impl FnOnce(Boot) -> Result<Result<(), E>, BootError>,
) -> ExitCode {
    log_to_stderr();
    tracing::info!("process starts");
    let boot = match Boot::read() {
        Ok(boot) => boot.with_folder(folder),
        Err(error) => return failed(&error, FAULTY),
    };
    match role(boot) {
        Ok(Ok(())) => ExitCode::SUCCESS,
        Ok(Err(error)) => failed(&error, 1),
        Err(error) => failed(&error, 1),
    }
}

fn failed(error: &dyn Display, code: u8) -> ExitCode {
    tracing::error!(%error, "the process ends");
    ExitCode::from(code)
}
