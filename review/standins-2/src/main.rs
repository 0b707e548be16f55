//! The cases of the second review. `review-standins-2 CASE PROGRAM RECORD` plays a case with the project's program and
//! writes what was seen. Exit code 1: the rule was broken, 0: it held, 2: the case could not run. With `TROUBLE=0` in the
//! environment the disruption is left out.

mod frozen_edge;
mod large_bodies;
mod record;
mod setting;

use std::process::ExitCode;

use record::Record;
use setting::{Failure, Verdict};

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let [case, program, record] = arguments.as_slice() else {
        eprintln!("give the case, the program and the file to write");
        return ExitCode::from(2);
    };
    let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build();
    let Ok(runtime) = runtime else { return ExitCode::from(2) };
    let record = Record::begin(record);
    let played = runtime.block_on(play(case, program, &record));
    match played {
        Ok(Verdict::Held) => {
            record.line("verdict: the rule held");
            ExitCode::SUCCESS
        }
        Ok(Verdict::Broken) => {
            record.line("verdict: the rule was broken");
            ExitCode::from(1)
        }
        Err(failure) => {
            record.line(&format!("the case could not run: {failure}"));
            ExitCode::from(2)
        }
    }
}

async fn play(case: &str, program: &str, record: &Record) -> Result<Verdict, Failure> {
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    match case {
        "large-bodies" => large_bodies::play(program, record, has_trouble).await,
        "frozen-edge" => frozen_edge::play(program, record, has_trouble).await,
        _ => Err(Failure::from("there is no such case")),
    }
}
