//! Hosts ruddervalve dispatchers behind a line-based wire on standard input and output. No decisions here.

mod host;
mod wire;

use std::io::{self, BufWriter};
use std::process::ExitCode;

fn main() -> ExitCode {
    // A failure inside one instance's decisions is told on the wire; keep it off standard error.
    std::panic::set_hook(Box::new(|_| {}));
    match host::serve(io::stdin().lock(), BufWriter::new(io::stdout().lock())) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("ruddervalve-adapter: {error}");
            ExitCode::FAILURE
        }
    }
}
