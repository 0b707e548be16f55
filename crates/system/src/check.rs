//! `check`: all faults of a file at once, each with its place and remedy.

use std::path::Path;
use std::process::ExitCode;

use ruddervalve_configuration::{Configuration, Settings};

use crate::FAULTY;

/// Checks a settings file, or a configuration.
pub fn check(file: &Path, is_configuration: bool) -> ExitCode {
    let result = if is_configuration { configuration(file) } else { settings(file) };
    match result {
        Ok(summary) => {
            println!("{}: {summary}", file.display());
            ExitCode::SUCCESS
        }
        Err(faults) => {
            eprintln!("{}: {faults}", file.display());
            ExitCode::from(FAULTY)
        }
    }
}

fn settings(file: &Path) -> Result<String, String> {
    let settings = Settings::read(file).map_err(|error| error.to_string())?;
    Ok(format!("settings of {} are in order", settings.node))
}

fn configuration(file: &Path) -> Result<String, String> {
    let body = std::fs::read(file).map_err(|error| error.to_string())?;
    let configuration = Configuration::parse(&body).map_err(|error| error.to_string())?;
    let (routes, services) = (configuration.routes().len(), configuration.services().len());
    Ok(format!(
        "version {} with {routes} routes and {services} services is in order",
        configuration.version()
    ))
}
