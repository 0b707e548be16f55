//! Stand-ins for the scripts of the review: `standins CASE RECORD`. Exits with 1 if the rule was broken, 0 if it held, 2 if the
//! case could not run. With `TROUBLE=0` the disruption is left out.

mod answers;
mod backlog;
mod clients;
mod http;
mod runner;
mod site;

use std::path::Path;
use std::process::ExitCode;
use std::time::Duration;

use site::{Failure, Record};

/// A case that runs for longer could not run.
const LONGEST: Duration = Duration::from_secs(115);

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let [case, record] = arguments.as_slice() else {
        eprintln!("usage: standins CASE RECORD");
        return ExitCode::from(2);
    };
    let calm = std::env::var("TROUBLE").is_ok_and(|value| value == "0");
    std::thread::spawn(|| {
        std::thread::sleep(LONGEST);
        eprintln!("the case did not end in time");
        let _ = std::fs::remove_dir_all(site::folder());
        // The processes of the system end with this one.
        std::process::exit(2);
    });
    match play(case, Path::new(record), !calm) {
        Ok(false) => ExitCode::SUCCESS,
        Ok(true) => ExitCode::from(1),
        Err(failure) => {
            eprintln!("the case could not run: {failure}");
            ExitCode::from(2)
        }
    }
}

fn play(case: &str, record: &Path, trouble: bool) -> Result<bool, Failure> {
    let record = Record::create(record)?;
    match case {
        "answers" => answers::run(record, trouble),
        "backlog" => backlog::run(record, trouble),
        other => Err(format!("there is no case {other}").into()),
    }
}
