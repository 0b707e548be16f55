//! Starts the real program on one core with stand-ins of workers, nodes and discovery around it, sends it empty jobs from
//! many clients over Gearman or HTTP, and prints jobs a second, times, the program's own CPU time for a job, and the part of
//! that which the decisions take. It must never judge what it measures, nor speak to anything but loopback addresses.

use std::cell::{Cell, RefCell};
use std::error::Error;
use std::io::{BufRead as _, BufReader, Write as _};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::BytesMut;
use clap::{Parser, ValueEnum};
use hdrhistogram::Histogram;
use ruddervalve::{Facade, JobFacts, LoadReport, Machine, Outcome, Report, Step};
use ruddervalve_gearman::codec::{Decoder, Frame, Kind, Magic, put};
use ruddervalve_gearman::pool_settings;
use ruddervalve_operators::Operators;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::{TcpListener, TcpStream};

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

/// The program, ended when dropped.
struct Program {
    child: Child,
    http: SocketAddr,
    gearman: SocketAddr,
    folder: PathBuf,
}

impl Drop for Program {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

impl Program {
    fn start(program: &PathBuf, discovery: SocketAddr, connections: usize) -> Result<Self, Failure> {
        let folder = std::env::temp_dir().join(format!("ruddervalve-load-{}", std::process::id()));
        std::fs::create_dir_all(&folder)?;
        let (config, operators) = (folder.join("config.json"), folder.join("operators.xml"));
        let text =
            CONFIG.replace("127.0.0.1:8000", "127.0.0.1:0").replace("127.0.0.1:8500", &discovery.to_string());
        // All tenants' work is within their share, so that no job is worth less.
        let text = text.replace("\"sockets\": 1024", "\"sockets\": 16384");
        std::fs::File::create(&config)?.write_all(text.as_bytes())?;
        let text = OPERATORS.replace("127.0.0.1:4730", "127.0.0.1:0");
        let text = text.replace("connections=\"256\"", &format!("connections=\"{connections}\""));
        std::fs::File::create(&operators)?.write_all(text.as_bytes())?;
        let mut child = Command::new("taskset")
            .args(["-c", "0"])
            .arg(program)
            .arg("--operators")
            .arg(&operators)
            .env("ROUTER_CONFIG", &config)
            .stderr(Stdio::piped())
            .spawn()?;
        let mut said = BufReader::new(child.stderr.take().ok_or("no standard error")?);
        let mut address = |what: &str| -> Result<SocketAddr, Failure> {
            let mut line = String::new();
            while !line.contains(what) {
                line.clear();
                if said.read_line(&mut line)? == 0 {
                    return Err(format!("the program ended before it said '{what}'").into());
                }
            }
            Ok(line.trim().rsplit(' ').next().unwrap_or_default().parse()?)
        };
        let (http, gearman) = (address("listens on")?, address("gearman listens on")?);
        std::thread::spawn(move || for _ in said.lines() {});
        Ok(Self { child, http, gearman, folder })
    }

    /// CPU time so far, in milliseconds.
    fn cpu_ms(&self) -> Result<f64, Failure> {
        let stat = std::fs::read_to_string(format!("/proc/{}/stat", self.child.id()))?;
        let fields: Vec<&str> = stat.rsplit(") ").next().unwrap_or_default().split(' ').collect();
        let ticks =
            |field: usize| fields.get(field).and_then(|text| text.parse::<f64>().ok()).unwrap_or_default();
        // Ticks of a hundredth of a second, as Linux tells them everywhere.
        Ok((ticks(11) + ticks(12)) * 10.0)
    }

    /// Memory held, in bytes.
    fn memory(&self) -> Result<f64, Failure> {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id()))?;
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:")).ok_or("no VmRSS")?;
        Ok(line.trim().trim_end_matches(" kB").parse::<f64>()? * 1024.0)
    }
}

/// One side of a Gearman connection.
struct Peer {
    stream: TcpStream,
    inbox: BytesMut,
    outbox: BytesMut,
}

impl Peer {
    async fn connect(address: SocketAddr) -> Result<Self, Failure> {
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        Ok(Self { stream, inbox: BytesMut::new(), outbox: BytesMut::new() })
    }

    fn put(&mut self, kind: Kind, args: &[&[u8]]) {
        put(&mut self.outbox, Magic::Req, kind, args);
    }

    async fn flush(&mut self) -> Result<(), Failure> {
        self.stream.write_all(&self.outbox).await?;
        self.outbox.clear();
        Ok(())
    }

    async fn packet(&mut self) -> Result<(Kind, bytes::Bytes), Failure> {
        let decoder = Decoder { longest_body: 1 << 20, longest_line: 1 << 10 };
        loop {
            if let Some(Frame::Packet(packet)) = decoder.decode(&mut self.inbox)? {
                return Ok((packet.kind, packet.body));
            }
            if self.stream.read_buf(&mut self.inbox).await? == 0 {
                return Err("the program closed a connection".into());
            }
        }
    }

    /// A worker that does nothing with each job.
    async fn work(mut self, id: Option<usize>) -> Result<(), Failure> {
        if let Some(id) = id {
            self.put(Kind::SetClientId, &[format!("w{id}").as_bytes()]);
        }
        self.put(Kind::CanDo, &[b"tint"]);
        loop {
            self.put(Kind::GrabJob, &[]);
            self.flush().await?;
            loop {
                match self.packet().await? {
                    (Kind::NoJob, _) => {
                        self.put(Kind::PreSleep, &[]);
                        self.flush().await?;
                    }
                    (Kind::JobAssign, body) => {
                        let handle = body.split(|byte| *byte == 0).next().unwrap_or_default();
                        self.put(Kind::WorkComplete, &[handle, b""]);
                        break;
                    }
                    (Kind::Noop, _) => break,
                    (kind, body) => return Err(format!("{kind:?} {body:?}").into()),
                }
            }
        }
    }

    /// One empty job; false if it was refused.
    async fn job(&mut self) -> Result<bool, Failure> {
        self.put(Kind::SubmitJob, &[b"tint", b"", b""]);
        self.flush().await?;
        loop {
            match self.packet().await? {
                (Kind::WorkComplete, _) => return Ok(true),
                (Kind::WorkFail | Kind::Error, _) => return Ok(false),
                _ => {}
            }
        }
    }
}

/// Reads a head and what its length announces; the head.
async fn message(stream: &mut TcpStream, inbox: &mut BytesMut) -> Result<Option<String>, Failure> {
    loop {
        if let Some(end) = inbox.windows(4).position(|four| four == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&inbox[..end]).to_lowercase();
            let length = head
                .split("content-length: ")
                .nth(1)
                .and_then(|rest| rest.split("\r\n").next()?.parse().ok());
            let whole = end + 4 + length.unwrap_or(0);
            if inbox.len() >= whole {
                let _ = inbox.split_to(whole);
                return Ok(Some(head));
            }
        }
        if stream.read_buf(inbox).await? == 0 {
            return Ok(None);
        }
    }
}

/// An execute node that does nothing with each job.
async fn node(name: String, listener: TcpListener) -> Result<(), Failure> {
    loop {
        let (mut stream, _) = listener.accept().await?;
        stream.set_nodelay(true)?;
        let name = name.clone();
        tokio::task::spawn_local(async move {
            let mut inbox = BytesMut::new();
            while let Ok(Some(head)) = message(&mut stream, &mut inbox).await {
                let id = head
                    .split("x-txn: ")
                    .nth(1)
                    .and_then(|rest| rest.split("\r\n").next())
                    .unwrap_or_default();
                let line = |state: &str, more: &str| {
                    let line =
                        format!("{{\"id\":\"{id}\",\"from\":\"{name}\",\"state\":\"{state}\"{more}}}\n");
                    format!("{:x}\r\n{line}\r\n", line.len())
                };
                let done = line("done", ",\"result\":\"\",\"load\":{\"x0\":4}");
                let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
                let answer = format!("{head}{}{done}0\r\n\r\n", line("started", ""));
                if stream.write_all(answer.as_bytes()).await.is_err() {
                    return;
                }
            }
        });
    }
}

/// Discovery, which lists these nodes.
async fn discovery(listener: TcpListener, list: Rc<str>) -> Result<(), Failure> {
    loop {
        let (mut stream, _) = listener.accept().await?;
        let list = list.clone();
        tokio::task::spawn_local(async move {
            let mut inbox = BytesMut::new();
            if let Ok(Some(_)) = message(&mut stream, &mut inbox).await {
                let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
                let mut text = format!("{head}{:x}\r\n{list}\r\n", list.len());
                while stream.write_all(text.as_bytes()).await.is_ok() {
                    text = "1\r\n\n\r\n".to_owned();
                    tokio::time::sleep(Duration::from_secs(2)).await;
                }
            }
        });
    }
}

/// A submitter's connection.
struct Submitter {
    stream: TcpStream,
    inbox: BytesMut,
    next: Rc<Cell<u64>>,
}

impl Submitter {
    async fn job(&mut self) -> Result<bool, Failure> {
        let id = self.next.get();
        self.next.set(id + 1);
        let request = format!(
            "POST /tint/7 HTTP/1.1\r\nHost: service.internal\r\nX-Txn: {id:x}\r\nX-Lane: tint\r\nX-Org: acme\r\n\
             X-Remaining-Ms: 5000\r\nContent-Length: 0\r\n\r\n"
        );
        self.stream.write_all(request.as_bytes()).await?;
        let head =
            message(&mut self.stream, &mut self.inbox).await?.ok_or("the program closed a connection")?;
        Ok(head.starts_with("http/1.1 200"))
    }
}

enum Client {
    Gearman(Peer),
    Http(Submitter),
}

impl Client {
    async fn job(&mut self) -> Result<bool, Failure> {
        match self {
            Self::Gearman(peer) => peer.job().await,
            Self::Http(submitter) => submitter.job().await,
        }
    }
}

#[derive(Default)]
struct Tally {
    served: Cell<u64>,
    refused: Cell<u64>,
}

/// Sends jobs one after the other until the end, by the clock where a pace is set; times count from when a job was due.
async fn send(
    mut client: Client,
    pace: Option<Duration>,
    offset: Duration,
    until: Instant,
    tally: Rc<Tally>,
    times: Rc<RefCell<Histogram<u64>>>,
) -> Result<(), Failure> {
    let mut due = Instant::now() + offset;
    while Instant::now() < until {
        if let Some(pace) = pace {
            tokio::time::sleep_until(due.into()).await;
            let sent = due;
            due += pace;
            if count(&mut client, &tally).await? {
                times.borrow_mut().saturating_record(sent.elapsed().as_micros() as u64);
            }
        } else {
            let sent = Instant::now();
            if count(&mut client, &tally).await? {
                times.borrow_mut().saturating_record(sent.elapsed().as_micros() as u64);
            }
        }
    }
    Ok(())
}

async fn count(client: &mut Client, tally: &Tally) -> Result<bool, Failure> {
    let served = client.job().await?;
    let counter = if served { &tally.served } else { &tally.refused };
    counter.set(counter.get() + 1);
    Ok(served)
}

/// What the decisions alone take for a job with so many workers, in microseconds: pick, start, end, with a report.
fn decisions_us(workers: usize) -> Result<f64, Failure> {
    let start = CONFIG.find("\"settings\":").ok_or("no settings")? + "\"settings\":".len();
    let text = CONFIG[start..].trim().trim_end_matches('}').trim_end().to_owned() + "}";
    let (settings, names) = ruddervalve_settings::Info::read(&text)?.checked()?;
    let told =
        Operators::read(OPERATORS).map_err(|faults| format!("{faults:?}"))?.gearman.ok_or("no gearman")?;
    let (settings, names) = pool_settings("gearman", &told, &settings, &names);
    let mut facade = Facade::new(settings, names, 1)?;
    let machine = |number: usize| Machine {
        name: format!("conn-{number}"),
        availability: ruddervalve::Availability::Ready,
        started_ms: 0.0,
        zone: None,
        kind: None,
        abilities: vec!["tint".to_owned()],
        cell: None,
        weight: 1.0,
    };
    let machines: Vec<Machine> = (0..workers).map(machine).collect();
    facade.list(0.0, ruddervalve::ListKind::Full, &machines);
    let load = LoadReport { free_slots: Some(1.0), queued: Some(0.0) };
    machines.iter().for_each(|machine| drop(facade.load(0.0, &machine.name, load)));
    let facts = JobFacts {
        class: "tint".to_owned(),
        tenant: Some("acme".to_owned()),
        remaining_ms: 10_000.0,
        slots: 1.0,
        memory: 0.0,
        hint_ms: None,
    };
    let jobs = 2_000_000 / (workers as u64 + 200);
    let began = Instant::now();
    for job in 0..jobs {
        let now = 1.0 + job as f64 * 0.1;
        let steps = facade.pick(now, job, &facts);
        if !steps.iter().any(|step| matches!(step, Step::Claim { .. })) {
            return Err("the decisions claimed no worker".into());
        }
        facade.report(now + 0.05, job, 0, Report::Started);
        facade.report(
            now + 0.09,
            job,
            0,
            Report::Ended { outcome: Outcome::Served, closed: true, load: Some(load) },
        );
    }
    Ok(began.elapsed().as_secs_f64() * 1e6 / jobs as f64)
}

/// Runs a stand-in on a thread of its own, so that it does not take turns with the clients.
fn aside<F: Future<Output = Result<(), Failure>> + 'static>(what: impl FnOnce() -> F + Send + 'static) {
    std::thread::spawn(move || {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
        let Ok(runtime) = runtime else { return };
        // Stand-ins end with the program that they serve.
        let _ = tokio::task::LocalSet::new().block_on(&runtime, what());
    });
}

fn bound() -> Result<(std::net::TcpListener, SocketAddr), Failure> {
    let listener = std::net::TcpListener::bind("127.0.0.1:0")?;
    listener.set_nonblocking(true)?;
    let address = listener.local_addr()?;
    Ok((listener, address))
}

/// Nodes and the discovery that lists them; where that is asked.
fn fleet(nodes: usize) -> Result<SocketAddr, Failure> {
    let (listener, told) = bound()?;
    let (mut entries, mut listeners) = (Vec::new(), Vec::new());
    for number in 0..nodes {
        let (name, (listener, address)) = (format!("s-{number:04}"), bound()?);
        entries.push(format!(
            "{{\"id\":\"{name}\",\"addr\":\"{address}\",\"zone\":\"north\",\"kind\":\"box\",\"cell\":0,\
             \"state\":\"active\",\"weight\":1.0,\"started_ms\":0}}"
        ));
        listeners.push((name, listener));
    }
    let list = format!("{{\"version\":1,\"full\":true,\"servers\":[{}]}}\n", entries.join(","));
    aside(move || async move {
        for (name, listener) in listeners {
            let listener = TcpListener::from_std(listener)?;
            tokio::task::spawn_local(
                async move { node(name, listener).await.map_err(|error| error.to_string()) },
            );
        }
        discovery(TcpListener::from_std(listener)?, list.into()).await
    });
    Ok(told)
}

/// Threads of workers.
const THREADS: usize = 2;

async fn run(options: Options) -> Result<(), Failure> {
    let told = fleet(if options.over == Over::Http { options.workers } else { 0 })?;
    let connections = options.workers + options.clients + 16;
    let program = Program::start(&options.program, told, connections)?;
    if options.over == Over::Idle {
        return idle(&program, options.clients).await;
    }
    if options.over == Over::Gearman {
        let (address, workers, ids) = (program.gearman, options.workers, options.ids);
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
    // The first jobs find workers that have not asked yet, or nodes not heard of: they do not count.
    tokio::time::sleep(Duration::from_millis(1_000)).await;
    let (tally, times) =
        (Rc::new(Tally::default()), Rc::new(RefCell::new(Histogram::new_with_bounds(1, 60_000_000, 3)?)));
    let next = Rc::new(Cell::new(1));
    let (began, cpu) = (Instant::now(), program.cpu_ms()?);
    let until = began + Duration::from_secs_f64(options.seconds.clamp(0.1, 60.0));
    let pace = options.rate.map(|rate| Duration::from_secs_f64(options.clients as f64 / rate));
    let mut senders = Vec::new();
    for number in 0..options.clients {
        let client = match options.over {
            Over::Http => {
                let stream = TcpStream::connect(program.http).await?;
                stream.set_nodelay(true)?;
                Client::Http(Submitter { stream, inbox: BytesMut::new(), next: next.clone() })
            }
            _ => Client::Gearman(Peer::connect(program.gearman).await?),
        };
        let offset = pace.unwrap_or_default().mul_f64(number as f64 / options.clients as f64);
        let sender = send(client, pace, offset, until, tally.clone(), times.clone());
        senders
            .push(tokio::task::spawn_local(async move { sender.await.map_err(|error| error.to_string()) }));
    }
    for sender in senders {
        sender.await??;
    }
    let (took, cpu) = (began.elapsed().as_secs_f64(), program.cpu_ms()? - cpu);
    let (served, times) = (tally.served.get(), times.borrow());
    let ms = |quantile: f64| times.value_at_quantile(quantile) as f64 / 1e3;
    println!(
        "{:?} workers {} clients {} rate {}: {:.0} jobs/s, p50 {:.2} ms, p99 {:.2} ms, refused {}, CPU {:.1} us a job, \
         decisions {:.1} us a job",
        options.over,
        options.workers,
        options.clients,
        options.rate.map_or("open".to_owned(), |rate| format!("{rate:.0}")),
        served as f64 / took,
        ms(0.5),
        ms(0.99),
        tally.refused.get(),
        cpu * 1e3 / served.max(1) as f64,
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
        peer.put(Kind::EchoReq, &[b"here"]);
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
