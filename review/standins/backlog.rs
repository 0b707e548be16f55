//! Messages of 200,000 bytes come at 46 a second. With the disruption each carries `Delay-Ms` 10,000, so that some 90 MB wait
//! in the queue; without it they run at once. The platform kills a process that goes over its `MemoryMb` and starts it again a
//! second later, as the pages say.

use std::thread;
use std::time::{Duration, Instant};

use crate::clients::{Order, traffic};
use crate::http;
use crate::runner::{self, configuration};
use crate::site::{Entry, Failure, Record, STORE_MEMORY_MB, Site};

const HOST: &str = "formula.example";
/// Below `MaxBodyBytes`, which is 262,144.
const BODY_BYTES: usize = 200_000;
const SENT_PER_S: u64 = 46;
const DELAY: Duration = Duration::from_secs(10);
const RUNNERS: usize = 12;
const WORK: Duration = Duration::from_millis(100);
const TRAFFIC: Duration = Duration::from_secs(52);
/// `CompletionS`.
const COMPLETION: Duration = Duration::from_secs(10);
/// How long a killed process is away.
const RESTART: Duration = Duration::from_secs(1);
/// The rule: processes end by themselves three times on a tenth of the machines, two at least.
const ENDS: usize = 3;
const MACHINES: usize = 2;
/// Messages that are asked for at the end, and for how long each is asked again after a failure.
const ASKED: usize = 40;
const ASKING: Duration = Duration::from_secs(12);

pub fn run(record: Record, trouble: bool) -> Result<bool, Failure> {
    let mut site = Site::start(record.clone())?;
    let successes = runner::start(&mut site, RUNNERS, WORK, 100)?;
    site.configure(0, &configuration())?;
    site.wait_until_ready()?;
    let delay = (String::from("Delay-Ms"), DELAY.as_millis().to_string());
    let headers = if trouble { vec![delay] } else { Vec::new() };
    let order = Order { host: HOST, path: "/formula/1", headers, body: vec![b'f'; BODY_BYTES] };
    let accepted = traffic(&record, &site.entry(), &order, 'm', SENT_PER_S, TRAFFIC);
    site.watch_memory(TRAFFIC + DELAY + COMPLETION, RESTART)?;
    let accepted = accepted.lock().map_err(|_| "a stand-in failed")?.clone();
    let successes = successes.lock().map_err(|_| "a stand-in failed")?.clone();
    let unrun: Vec<(String, String)> =
        accepted.iter().filter(|(id, _)| !successes.contains_key(id)).cloned().collect();
    let asked = &unrun[..unrun.len().min(ASKED)];
    let end = Instant::now() + ASKING;
    let entry = site.entry();
    let lost = thread::scope(|scope| {
        let (record, entry) = (&record, &entry);
        let mut asking = Vec::new();
        for (_, name) in asked {
            asking.push(scope.spawn(move || !is_returned(record, entry, name, end)));
        }
        if !asked.is_empty() {
            let _ = site.watch_memory(ASKING, RESTART);
        }
        asking.into_iter().filter_map(|thread| thread.join().ok()).filter(|lost| *lost).count()
    });
    let own_ends = site.own_ends();
    let text = format!(
        "{} accepted; stores over {STORE_MEMORY_MB} MB: {own_ends:?}, most {} MB; {} never ran, bodies of {lost} of the first {} of them are not returned",
        accepted.len(),
        site.most_memory_mb,
        unrun.len(),
        asked.len(),
    );
    record.note(&text);
    println!("{text}");
    let ended = own_ends.iter().filter(|(_, count)| *count >= ENDS).count();
    Ok(ended >= MACHINES)
}

/// Whether the bytes of a message come back, whole, from any edge by then, or it is told to have ended.
fn is_returned(record: &Record, entry: &Entry, name: &str, end: Instant) -> bool {
    let mut last = String::from("none");
    while Instant::now() < end {
        for front in entry.fronts() {
            let line = format!("GET /api/message-body/{name}");
            match http::call(front, &line, &[("Host", HOST)], b"", Duration::from_secs(2)) {
                Ok(answer) if answer.status() == 200 && answer.body.len() == BODY_BYTES => {
                    record.note(format!("body of {name} returned"));
                    return true;
                }
                Ok(answer) => last = format!("{} {}", answer.status(), answer.text().trim()),
                Err(error) => last = error.to_string(),
            }
        }
        thread::sleep(Duration::from_millis(200));
    }
    record.note(format!("body of {name} not returned, last answer: {last}"));
    false
}
