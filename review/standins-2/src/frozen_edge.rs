//! CEILING: an edge that was frozen sends what it was granted before, after the queue has granted the same to others.

use std::fs;
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use ruddervalve_loopback::{
    ConfigurationPlan, HttpRequest, MachineRole, ProcessSignal, Route, Run, RunLog, Runner, RunnerPlan,
    Service, System, call,
};
use tokio::time::{Instant, interval, sleep};

use crate::record::Record;
use crate::setting::{Failure, HOST, STEP, Verdict, bounds, start};

const DESK: &str = "supplier-desk";
/// With three coordinators and three stores, one frozen edge is a tenth of the machines.
const EDGES: usize = 4;
/// `RatePerS` of the endpoint.
const RATE_PER_S: f64 = 30.0;
/// `MaxConnections` of the endpoint.
const CONNECTIONS: u32 = 110;
/// Messages a second that clients send: more than the endpoint takes, so that the queue always has some.
const SENT_PER_S: f64 = 45.0;
/// Sending before the freeze: the edge that delivers is found meanwhile.
const BEFORE: Duration = Duration::from_secs(6);
/// How long the edge stands still.
const FROZEN: Duration = Duration::from_millis(1_100);
/// Sending after it: a whole window, and some to spare.
const AFTER: Duration = Duration::from_secs(8);
/// Arrivals beyond the rate that a window may hold.
const WINDOW_EXTRA: f64 = 5.0;

pub async fn play(program: &str, record: &Record, has_trouble: bool) -> Result<Verdict, Failure> {
    let system = start(program, EDGES).await?;
    let log = RunLog::default();
    let plan = RunnerPlan {
        slots: 60,
        queue: 120,
        work: Duration::from_millis(120),
        max_connections: CONNECTIONS,
        ..RunnerPlan::of(DESK)
    };
    let endpoint = Runner::start_unlisted(system.next_ip(), plan, &log).await?;
    let service = Service {
        rate_per_s: RATE_PER_S,
        max_connections: CONNECTIONS,
        static_endpoint: Some(endpoint.address()),
        ..Service::listed(DESK)
    };
    let route = Route {
        timeout_ms: 2_000,
        retention_s: 90.0,
        schedule_target_ms: 1_500,
        ..Route::to(DESK, HOST, "/price/")
    };
    system.operator().replace(0, &ConfigurationPlan::first(vec![route], vec![service]), STEP).await?;
    system.ready(STEP).await?;
    record.line(&format!(
        "the endpoint {} takes {RATE_PER_S} a second; {SENT_PER_S} a second are sent",
        endpoint.address()
    ));

    let fronts = system.fronts();
    let first = tokio::spawn(send_all(fronts.clone(), BEFORE, 0));
    sleep(BEFORE - Duration::from_millis(500)).await;
    let sender = busiest_edge(&system, endpoint.address())?;
    let mut accepted = first.await.map_err(|_| Failure::from("a client failed"))?;
    record.line(&format!("{} delivers to the endpoint; {accepted} messages accepted so far", sender.name));

    let others: Vec<SocketAddr> = fronts.into_iter().filter(|front| front.ip() != sender.ip).collect();
    let rest = tokio::spawn(send_all(others, FROZEN + AFTER, 1));
    if has_trouble {
        system.signal(&sender.name, ProcessSignal::Freeze)?;
        record.line(&format!("{} stands still", sender.name));
    }
    sleep(FROZEN).await;
    if has_trouble {
        system.signal(&sender.name, ProcessSignal::Thaw)?;
        record.line(&format!("{} goes on", sender.name));
    }
    accepted += rest.await.map_err(|_| Failure::from("a client failed"))?;
    record.line(&format!("{accepted} messages accepted in all"));
    if std::env::var_os("REVIEW_LOGS").is_some() {
        eprintln!("{}", system.logs());
    }
    Ok(judge(record, &log.all()))
}

struct Sender {
    name: String,
    ip: IpAddr,
}

/// The edge that has most connections to the endpoint.
fn busiest_edge(system: &System, endpoint: SocketAddr) -> Result<Sender, Failure> {
    let mut best: Option<(usize, Sender)> = None;
    for name in system.names(MachineRole::Edge) {
        let process = system.process(&name)?;
        let Some(pid) = process.pid() else { continue };
        let count = connections_to(pid, endpoint);
        if best.as_ref().is_none_or(|(most, _)| count > *most) {
            best = Some((count, Sender { name, ip: process.machine().ip }));
        }
    }
    let best = best.filter(|(count, _)| *count > 0);
    best.map(|(_, sender)| sender).ok_or_else(|| Failure::from("no edge delivers to the endpoint"))
}

/// Connections of a process that this program started to an address, as the kernel tells.
fn connections_to(pid: u32, address: SocketAddr) -> usize {
    let IpAddr::V4(ip) = address.ip() else { return 0 };
    let wanted = format!("{:08X}:{:04X}", u32::from_ne_bytes(ip.octets()), address.port());
    let table = fs::read_to_string(format!("/proc/{pid}/net/tcp")).unwrap_or_default();
    let inodes: Vec<String> = table
        .lines()
        .map(|line| line.split_whitespace().collect::<Vec<_>>())
        .filter(|fields| fields.get(2).is_some_and(|remote| *remote == wanted))
        .filter_map(|fields| fields.get(9).map(|inode| format!("socket:[{inode}]")))
        .collect();
    let files = fs::read_dir(format!("/proc/{pid}/fd")).into_iter().flatten().flatten();
    let links = files.filter_map(|file| fs::read_link(file.path()).ok());
    links.filter(|link| inodes.iter().any(|inode| link.to_string_lossy() == inode.as_str())).count()
}

/// Sends messages at the rate for so long, to one edge after the other; how many were accepted.
async fn send_all(fronts: Vec<SocketAddr>, span: Duration, part: u32) -> usize {
    let mut ticks = interval(Duration::from_secs_f64(1.0 / SENT_PER_S));
    let until = Instant::now() + span;
    let mut calls = Vec::new();
    while Instant::now() < until {
        ticks.tick().await;
        let number = calls.len();
        let Some(front) = fronts.get(number % fronts.len().max(1)).copied() else { return 0 };
        let request = HttpRequest::new("POST", &format!("/price/{number}"))
            .with("Host", HOST)
            .with("Request-Id", &format!("p{part}-{number:05}"))
            .with("Deadline-Ms", "1200")
            .with_body(vec![b'x'; 2_400]);
        calls.push(tokio::spawn(async move { call(front, &request, Duration::from_secs(2)).await }));
    }
    let mut accepted = 0;
    for call in calls {
        if let Ok(Ok(response)) = call.await {
            accepted += usize::from(response.status == 202);
        }
    }
    accepted
}

/// No window may hold more arrivals than the rule allows.
fn judge(record: &Record, runs: &[Run]) -> Verdict {
    let figures = bounds();
    let window = Duration::from_secs_f64(figures.origin_window_s);
    let most = RATE_PER_S * figures.origin_window_s * figures.origin_overshoot + WINDOW_EXTRA;
    for run in runs {
        record.line_at(run.began, &format!("{} arrives at the endpoint", run.request_id));
    }
    let within =
        |from: Instant| runs.iter().filter(|run| run.began >= from && run.began < from + window).count();
    let fullest = runs.iter().map(|run| (within(run.began), run.began)).max_by_key(|(count, _)| *count);
    let Some((count, from)) = fullest else { return Verdict::Held };
    let again = runs
        .iter()
        .filter(|run| runs.iter().any(|other| other.request_id == run.request_id && other.began < run.began));
    record.line(&format!("{} arrivals, {} of messages that had arrived before", runs.len(), again.count()));
    record.line_at(from, &format!("from here on {count} arrivals within {window:?}; {most} are allowed"));
    if count as f64 > most { Verdict::Broken } else { Verdict::Held }
}
