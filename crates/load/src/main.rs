//! Starts the real program on one core with stand-ins of workers, runners and discovery around it, sends it empty jobs from
//! many clients over Gearman or HTTP, and prints jobs a second, times, the program's own CPU time for a job, and the part of
//! that which the decisions take. It must never judge what it measures, nor speak to anything but loopback addresses.

mod clients;
mod decisions;
mod peer;
mod program;
mod stand_ins;

use std::cell::{Cell, RefCell};
use std::error::Error;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::BytesMut;
use clap::{Parser, ValueEnum};
use hdrhistogram::Histogram;
use ruddervalve_gearman::codec::Kind;
use tokio::net::TcpStream;

use self::clients::{Client, Counts, HttpClient, send};
use self::decisions::decisions_us;
use self::peer::Peer;
use self::program::Program;
use self::stand_ins::{aside, fleet};

type Failure = Box<dyn Error>;

const CONFIG: &str = include_str!("../../../examples/config.json");
const OPERATORS: &str = include_str!("../../../examples/operators.xml");

#[derive(Debug, Clone, Copy, PartialEq, ValueEnum)]
enum Over {
    Gearman,
    Http,
    /// No jobs: connections that said one word and stay.
    Idle,
}

/// Loads the real program on loopback and prints one line of figures.
#[derive(Debug, Parser)]
struct Options {
    /// The program
    #[arg(long, default_value = "target/release/ruddervalve")]
    program: PathBuf,
    /// What to load it with
    #[arg(long, value_enum, default_value = "gearman")]
    over: Over,
    /// Workers, or execute nodes
    #[arg(long, default_value_t = 100)]
    workers: usize,
    /// Client ids that the workers' connections share; without it each is a worker of its own
    #[arg(long)]
    ids: Option<usize>,
    /// Clients, each with one job at a time; idle connections with `--over idle`
    #[arg(long, default_value_t = 64)]
    clients: usize,
    /// Jobs a second over all clients; without it each client sends as its last job has ended
    #[arg(long)]
    rate: Option<f64>,
    /// How long to send; at most 60
    #[arg(long, default_value_t = 5.0)]
    seconds: f64,
}

/// Threads of workers.
const THREADS: usize = 2;

/// The first requests find workers that have not asked yet, or runners not heard of: they do not count.
const WARM_UP: Duration = Duration::from_secs(1);
/// Connections that the program may hold beside those of workers and clients.
const SPARE_CONNECTIONS: usize = 16;
/// The longest time that is recorded, in microseconds.
const LONGEST_TIME_US: u64 = 60_000_000;

async fn run(options: Options) -> Result<(), Failure> {
    let discovery = fleet(if options.over == Over::Http { options.workers } else { 0 })?;
    let connections = options.workers + options.clients + SPARE_CONNECTIONS;
    let program = Program::start(&options.program, discovery, connections)?;
    if options.over == Over::Idle {
        return idle(&program, options.clients).await;
    }
    if options.over == Over::Gearman {
        start_workers(program.gearman, options.workers, options.ids);
    }
    tokio::time::sleep(WARM_UP).await;
    let counts = Rc::new(Counts::default());
    let times = Rc::new(RefCell::new(Histogram::new_with_bounds(1, LONGEST_TIME_US, 3)?));
    let (began, cpu_ms) = (Instant::now(), program.cpu_ms()?);
    send_all(&options, &program, began, &counts, &times).await?;
    let (seconds, cpu_ms) = (began.elapsed().as_secs_f64(), program.cpu_ms()? - cpu_ms);
    print_figures(&options, seconds, cpu_ms, &counts, &times.borrow())
}

/// Starts Gearman workers on threads of their own.
fn start_workers(address: SocketAddr, workers: usize, ids: Option<usize>) {
    for thread in 0..THREADS {
        aside(move || async move {
            let mut working = Vec::new();
            for number in (thread..workers).step_by(THREADS) {
                let peer = Peer::connect(address).await?;
                working.push(tokio::task::spawn_local(async move {
                    peer.work(ids.map(|ids| number % ids.max(1))).await.map_err(|error| error.to_string())
                }));
            }
            for worker in working {
                worker.await??;
            }
            Ok(())
        });
    }
}

/// Sends from all clients until the time is over.
async fn send_all(
    options: &Options,
    program: &Program,
    began: Instant,
    counts: &Rc<Counts>,
    times: &Rc<RefCell<Histogram<u64>>>,
) -> Result<(), Failure> {
    let until = began + Duration::from_secs_f64(options.seconds.clamp(0.1, 60.0));
    let pace = options.rate.map(|rate| Duration::from_secs_f64(options.clients as f64 / rate));
    let next_id = Rc::new(Cell::new(1));
    let mut senders = Vec::new();
    for number in 0..options.clients {
        let client = connect(options.over, program, &next_id).await?;
        let offset = pace.unwrap_or_default().mul_f64(number as f64 / options.clients as f64);
        let sender = send(client, pace, offset, until, counts.clone(), times.clone());
        senders
            .push(tokio::task::spawn_local(async move { sender.await.map_err(|error| error.to_string()) }));
    }
    for sender in senders {
        sender.await??;
    }
    Ok(())
}

async fn connect(over: Over, program: &Program, next_id: &Rc<Cell<u64>>) -> Result<Client, Failure> {
    if over != Over::Http {
        return Ok(Client::Gearman(Peer::connect(program.gearman).await?));
    }
    let stream = TcpStream::connect(program.http).await?;
    stream.set_nodelay(true)?;
    Ok(Client::Http(HttpClient { stream, read_buffer: BytesMut::new(), next_id: next_id.clone() }))
}

fn print_figures(
    options: &Options,
    seconds: f64,
    cpu_ms: f64,
    counts: &Counts,
    times: &Histogram<u64>,
) -> Result<(), Failure> {
    let served = counts.served.get();
    let ms = |quantile: f64| times.value_at_quantile(quantile) as f64 / 1e3;
    println!(
        "{:?} workers {} clients {} rate {}: {:.0} jobs/s, p50 {:.2} ms, p99 {:.2} ms, refused {}, CPU {:.1} us a job, \
         decisions {:.1} us a job",
        options.over,
        options.workers,
        options.clients,
        options.rate.map_or("open".to_owned(), |rate| format!("{rate:.0}")),
        served as f64 / seconds,
        ms(0.5),
        ms(0.99),
        counts.refused.get(),
        cpu_ms * 1e3 / served.max(1) as f64,
        decisions_us(options.workers)?,
    );
    Ok(())
}

/// What an idle connection costs.
async fn idle(program: &Program, connections: usize) -> Result<(), Failure> {
    let before = program.memory()?;
    let mut held = Vec::new();
    for _ in 0..connections {
        let mut peer = Peer::connect(program.gearman).await?;
        peer.queue_packet(Kind::EchoReq, &[b"here"]);
        peer.flush().await?;
        peer.packet().await?;
        held.push(peer);
    }
    let after = program.memory()?;
    let cpu = program.cpu_ms()?;
    tokio::time::sleep(Duration::from_secs(5)).await;
    println!(
        "idle connections {connections}: {:.0} bytes each, {:.2} ms of CPU a second for all",
        (after - before) / connections as f64,
        (program.cpu_ms()? - cpu) / 5.0
    );
    Ok(())
}

fn main() -> Result<(), Failure> {
    let options = Options::parse();
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    tokio::task::LocalSet::new().block_on(&runtime, run(options))
}
