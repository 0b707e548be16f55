//! LOST: messages with large bodies come free all at once. From then on no edge gets them, and no edge returns their
//! bodies.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use ruddervalve_loopback::{
    Accepted, Client, ConfigurationPlan, HttpRequest, MachineRole, Outcome, ProcessSignal, Route, RunLog,
    Runner, RunnerPlan, Service, System, call,
};
use tokio::time::{Instant, interval, sleep, sleep_until};

use crate::record::Record;
use crate::setting::{Failure, HOST, STEP, Verdict, bounds, start};

const ARCHIVE: &str = "formula-archive";
const COUNTER: &str = "shop-counter";
/// `MaxConnections` of the archive, and messages that it works on at the same time.
const CONNECTIONS: u32 = 200;
/// How long it works on a message.
const WORK: Duration = Duration::from_secs(3);
/// Bytes of a message to it: below `MaxBodyBytes`, which is 262,144.
const BODY_BYTES: usize = 256_000;
/// Messages to it, and how many a second.
const MESSAGES: usize = 150;
const SENT_PER_S: f64 = 100.0;
/// How long the killed edges are away.
const AWAY: Duration = Duration::from_secs(1);
/// From the restart to the end of the day.
const WATCHED: Duration = Duration::from_secs(35);
/// Messages to the other endpoint, each second until the end of the day.
const SMALL_PER_S: f64 = 10.0;
/// How long a message may be pending without a runner while no other succeeds either, and how long no other has to succeed.
const WITHOUT_RUNNER: Duration = Duration::from_secs(6);
const WITHOUT_SUCCESS: Duration = Duration::from_secs(4);
/// How often each edge is asked for a body at the end of the day, and the time between.
const TRIES: usize = 4;
/// Messages that are asked for then.
const ASKED_FOR: usize = 8;
const BETWEEN_TRIES: Duration = Duration::from_millis(500);
/// What a client waits for an answer.
const PATIENCE: Duration = Duration::from_secs(2);

pub async fn play(program: &str, record: &Record, has_trouble: bool) -> Result<Verdict, Failure> {
    let mut system = start(program, 2).await?;
    let log = RunLog::default();
    let archive = RunnerPlan {
        slots: CONNECTIONS,
        queue: CONNECTIONS,
        work: WORK,
        max_connections: CONNECTIONS,
        ..RunnerPlan::of(ARCHIVE)
    };
    let archive = Runner::start_unlisted(system.next_ip(), archive, &log).await?;
    let counter = Runner::start_unlisted(system.next_ip(), RunnerPlan::of(COUNTER), &log).await?;
    let services = vec![
        Service {
            max_connections: CONNECTIONS,
            static_endpoint: Some(archive.address()),
            ..Service::listed(ARCHIVE)
        },
        Service { static_endpoint: Some(counter.address()), ..Service::listed(COUNTER) },
    ];
    let routes = vec![
        Route { timeout_ms: 8_000, retention_s: 90.0, ..Route::to(ARCHIVE, HOST, "/archive/") },
        Route { retention_s: 90.0, ..Route::to(COUNTER, HOST, "/counter/") },
    ];
    system.operator().replace(0, &ConfigurationPlan::first(routes, services), STEP).await?;
    system.ready(STEP).await?;
    // The shards have their preferred leaders from here on: nothing else is under way.
    sleep(Duration::from_secs(6)).await;

    let fronts = system.fronts();
    record.line(&format!(
        "{MESSAGES} messages of {BODY_BYTES} bytes are sent to {ARCHIVE}, {SENT_PER_S} a second"
    ));
    let accepted = send_all(fronts.clone(), "archive", MESSAGES, SENT_PER_S, BODY_BYTES).await;
    let accepted: Vec<Accepted> = accepted.into_iter().flatten().collect();
    for message in &accepted {
        record.line(&format!("{} was accepted", message.request_id));
    }
    if has_trouble {
        let edges = system.names(MachineRole::Edge);
        for edge in &edges {
            system.signal(edge, ProcessSignal::Kill)?;
        }
        record.line("both edges are killed");
        sleep(AWAY).await;
        for edge in &edges {
            system.kill(edge)?;
            system.restart(edge)?;
        }
        record.line("both edges are started again");
    } else {
        sleep(AWAY).await;
    }
    let restarted = Instant::now();
    let end = restarted + WATCHED;
    sleep(Duration::from_secs_f64(bounds().recovery_s)).await;
    let small = ((end - Instant::now()).as_secs_f64() * SMALL_PER_S) as usize;
    let others = send_all(fronts.clone(), "counter", small, SMALL_PER_S, 600).await;
    let served = others.iter().flatten().count();
    record.line(&format!(
        "{served} of {small} small messages to {COUNTER}, sent from RecoveryS on, were accepted"
    ));
    sleep_until(end + WITHOUT_SUCCESS).await;

    let verdict = judge(record, &system, &fronts, &log, &accepted).await;
    if std::env::var_os("REVIEW_LOGS").is_some() {
        eprintln!("{}", system.logs());
    }
    Ok(verdict)
}

/// Sends so many messages at the rate, to one edge after the other; none for those that got no 202.
async fn send_all(
    fronts: Vec<SocketAddr>,
    place: &'static str,
    count: usize,
    per_s: f64,
    body_bytes: usize,
) -> Vec<Option<Accepted>> {
    let mut ticks = interval(Duration::from_secs_f64(1.0 / per_s));
    let mut calls = Vec::new();
    for number in 0..count {
        ticks.tick().await;
        let front = fronts[number % fronts.len()];
        calls.push(tokio::spawn(async move {
            let request_id = format!("{place}-{number:05}");
            let request = HttpRequest::new("POST", &format!("/{place}/{number}"))
                .with("Host", HOST)
                .with("Request-Id", &request_id)
                .with("Deadline-Ms", "1200")
                .with_body(vec![b'x'; body_bytes]);
            let response = call(front, &request, PATIENCE).await.ok()?;
            let name = response.headers.get("Message-Id").unwrap_or(&request_id).to_owned();
            (response.status == 202).then(|| Accepted {
                request_id,
                name,
                host: HOST.to_owned(),
                promised: Vec::new(),
            })
        }));
    }
    let mut answers = Vec::new();
    for call in calls {
        answers.push(call.await.ok().flatten());
    }
    answers
}

/// Broken if at the end of the day a message that no runner has ended is nowhere to be had, or is pending though its
/// endpoint idles.
async fn judge(
    record: &Record,
    system: &System,
    edges: &[SocketAddr],
    log: &RunLog,
    accepted: &[Accepted],
) -> Verdict {
    let runs = log.all();
    let mut ends = BTreeSet::new();
    for run in runs.iter().filter(|run| run.request_id.starts_with("archive")) {
        record.line_at(run.began, &format!("{} begins to run", run.request_id));
        if let Some(ended) = run.ended {
            record.line_at(ended, &format!("{} ends its run: {:?}", run.request_id, run.outcome));
            if run.outcome == Some(Outcome::Succeeded) {
                ends.insert(run.request_id.clone());
            }
        }
    }
    let last = runs
        .iter()
        .filter(|run| run.request_id.starts_with("archive"))
        .map(|run| run.ended.unwrap_or(run.began));
    let quiet = last.max().map(|last| last.elapsed()).unwrap_or_default();
    let open: Vec<&Accepted> =
        accepted.iter().filter(|message| !ends.contains(&message.request_id)).collect();
    record.line(&format!(
        "{} messages were accepted and {} of them have not ended; {ARCHIVE} has had none for {:.1} s",
        accepted.len(),
        open.len(),
        quiet.as_secs_f64()
    ));
    let sample = open.iter().step_by(open.len().div_ceil(ASKED_FOR).max(1));
    let asked: Vec<_> = sample
        .map(|message| {
            let (entry, edges, message) = (system.client(), edges.to_vec(), (*message).clone());
            tokio::spawn(async move { look_for(&entry, &edges, &message).await })
        })
        .collect();
    let (mut missing, mut pending) = (0, 0);
    for asked in asked {
        let Ok(found) = asked.await else { continue };
        record.line(&found.tells);
        missing += usize::from(!found.is_returned);
        pending += usize::from(found.is_pending && quiet > WITHOUT_RUNNER);
    }
    record.line(&format!(
        "{missing} of the bodies asked for are not returned; {pending} are pending without a runner"
    ));
    if missing + pending > 0 { Verdict::Broken } else { Verdict::Held }
}

struct Found {
    is_pending: bool,
    is_returned: bool,
    tells: String,
}

/// Asks all edges for a message, again and again.
async fn look_for(client: &Client, edges: &[SocketAddr], message: &Accepted) -> Found {
    let mut is_pending = false;
    let mut tells = format!("{}:", message.request_id);
    for _ in 0..TRIES {
        for edge in edges {
            let (state, body) = tokio::join!(client.state_at(*edge, message), client.body_at(*edge, message));
            is_pending |= state.as_ref().is_some_and(|state| state.phase == "pending");
            let phase = state.map_or_else(|| "not told".to_owned(), |state| state.phase);
            let is_returned = body.is_some_and(|body| body.len() == BODY_BYTES);
            tells +=
                &format!(" state {phase}, body {};", if is_returned { "returned" } else { "not returned" });
            if is_returned {
                return Found { is_pending, is_returned, tells };
            }
        }
        sleep(BETWEEN_TRIES).await;
    }
    Found { is_pending, is_returned: false, tells }
}
