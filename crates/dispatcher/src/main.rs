//! Owns the start of the program: it reads the configuration and the operator file, and hands them to the
//! [`Dispatcher`]. It must never know what is in a request or an answer, nor put a part of a faulty file in force.

mod config;
mod dispatcher;
mod listener;
mod operator_file;
mod orders;
mod reload;

use std::process::ExitCode;

use clap::Parser;
use config::Config;
use dispatcher::Dispatcher;
use operator_file::Options;
use ruddervalve_operators::Operators;

/// The exit status of a program that was started wrongly.
const USAGE_ERROR: u8 = 2;

/// An environment variable; none where it is missing or no text.
fn variable(name: &str) -> Option<String> {
    std::env::var(name).ok()
}

fn file(path: &str) -> Result<String, String> {
    std::fs::read_to_string(path).map_err(|error| format!("{path}: {error}"))
}

fn main() -> ExitCode {
    if let Some(code) = ruddervalve_system::run(std::env::args_os().skip(1).collect()) {
        return code;
    }
    let options = Options::parse();
    let (config, operators) = match read(&options) {
        Ok(read) => read,
        Err(faults) => {
            faults.iter().for_each(|fault| eprintln!("ruddervalve: {fault}"));
            return ExitCode::from(USAGE_ERROR);
        }
    };
    match actix_rt::System::new().block_on(Dispatcher::run(config, options, operators)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("ruddervalve: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Reads both files. A line for each fault.
fn read(options: &Options) -> Result<(Config, Operators), Vec<String>> {
    let config = Config::read(variable, file).map_err(|error| vec![error.to_string()])?;
    // Before anything here is opened that could have its number.
    if let Some(fd) = config.accept_fd {
        listener::check_socket(fd).map_err(|problem| vec![format!("ROUTER_ACCEPT_FD: {problem}")])?;
    }
    let operators = options.read(&config)?;
    Ok((config, operators))
}
