//! Listed runners answer every message with 200, `Response-Signature`, `Request-Id` and a whole body with its length. With the
//! disruption the body has one byte more than 1 MiB; without it, 1,000 bytes. Nothing fails anywhere.

use std::thread;
use std::time::Duration;

use crate::clients::{Order, state, traffic};
use crate::runner::{self, configuration};
use crate::site::{Failure, Record, Site};

const HOST: &str = "formula.example";
const LARGE: usize = (1 << 20) + 1;
const SMALL: usize = 1_000;
const WORK: Duration = Duration::from_millis(100);
const TRAFFIC: Duration = Duration::from_secs(3);
const SENT_PER_S: u64 = 2;
/// `CompletionS`.
const COMPLETION: Duration = Duration::from_secs(10);

pub fn run(record: Record, trouble: bool) -> Result<bool, Failure> {
    let mut site = Site::start(record.clone())?;
    let successes = runner::start(&mut site, 2, WORK, if trouble { LARGE } else { SMALL })?;
    site.configure(0, &configuration())?;
    site.wait_until_ready()?;
    let order = Order { host: HOST, path: "/formula/1", headers: Vec::new(), body: vec![b'f'; 5_000] };
    let accepted = traffic(&record, &site.entry(), &order, 'm', SENT_PER_S, TRAFFIC);
    thread::sleep(TRAFFIC + COMPLETION);
    let accepted = accepted.lock().map_err(|_| "a stand-in failed")?.clone();
    let successes = successes.lock().map_err(|_| "a stand-in failed")?.clone();
    let mut repeated = 0;
    let mut unended = 0;
    for (id, name) in &accepted {
        let count = successes.get(id).map_or(0, Vec::len);
        let state = state(&site.entry(), HOST, name).unwrap_or_else(|| String::from("no answer"));
        record.note(format!("{id}: {count} successful runs, state {state}"));
        repeated += usize::from(count > 1);
        unended += usize::from(!state.contains("succeeded"));
    }
    let text = format!(
        "{} accepted; {repeated} of them ran again after a success; {unended} are not told as succeeded",
        accepted.len()
    );
    record.note(&text);
    println!("{text}");
    Ok(repeated > 0)
}
