//! Starts the real program with stand-ins of execute nodes and discovery. Ports are free ones, and every wait is for a
//! condition.

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::OwnedFd;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicUsize, Ordering::Relaxed};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

pub const CONFIG: &str = include_str!("../../../../examples/config.json");
pub const HEALTH: &str = "GET /healthz HTTP/1.1\r\nHost: service.internal\r\n\r\n";

/// A request or an answer as it came: first line, headers by lower-case name, body.
#[derive(Debug, Clone, Default)]
pub struct Message {
    pub first: String,
    pub headers: BTreeMap<String, String>,
    pub body: String,
}

impl Message {
    /// Reads one; none at the end of the connection.
    pub fn read(from: &mut impl BufRead) -> Option<Self> {
        let (mut message, mut line) = (Self::default(), String::new());
        from.read_line(&mut line).ok().filter(|length| *length > 0)?;
        message.first = line.trim_end().to_owned();
        loop {
            line.clear();
            from.read_line(&mut line).ok().filter(|length| *length > 0)?;
            let Some((name, value)) = line.trim_end().split_once(": ") else { break };
            message.headers.insert(name.to_lowercase(), value.to_owned());
        }
        let length = message.headers.get("content-length").map_or(0, |length| length.parse().unwrap());
        let mut body = vec![0; length];
        from.read_exact(&mut body).ok()?;
        message.body = String::from_utf8(body).unwrap();
        Some(message)
    }

    pub fn status(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or_default()
    }
}

/// What the stand-ins saw.
#[derive(Default)]
pub struct Seen {
    pub connections: usize,
    pub requests: Vec<Message>,
    pub closed: usize,
    pub watches: Vec<(String, TcpStream)>,
    /// The test lets go of what nodes keep broken jobs for.
    pub break_off: bool,
}

pub type Shared = Arc<Mutex<Seen>>;

/// Waits until something holds.
pub fn until<T>(what: &str, mut holds: impl FnMut() -> Option<T>) -> T {
    for _ in 0..2_000 {
        if let Some(value) = holds() {
            return value;
        }
        thread::sleep(Duration::from_millis(10));
    }
    panic!("never: {what}");
}

pub fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

/// An execute node that does what the query of a request says.
pub fn node(seen: &Shared) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let (address, seen) = (listener.local_addr().unwrap(), seen.clone());
    thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            seen.lock().unwrap().connections += 1;
            let seen = seen.clone();
            thread::spawn(move || serve(stream, &seen));
        }
    });
    address
}

pub fn serve(mut stream: TcpStream, seen: &Shared) {
    let mut from = BufReader::new(stream.try_clone().unwrap());
    while let Some(request) = Message::read(&mut from) {
        let how = request.first.split(['=', ' ']).nth(2).unwrap_or_default().to_owned();
        let id = request.headers["x-txn"].clone();
        seen.lock().unwrap().requests.push(request);
        let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
        let line = |state: &str, more: &str| {
            chunk(&format!("{{\"id\":\"{id}\",\"from\":\"a\",\"state\":\"{state}\"{more}}}\n"))
        };
        let (started, last) = (line("started", ""), "0\r\n\r\n");
        let running = line("running", ",\"share\":0.4");
        let load = ",\"load\":{\"x0\":4,\"util\":0.1}";
        let done = format!("{{\"id\":\"{id}\",\"from\":\"a\",\"state\":\"done\",\"result\":\"its own\"}}\n");
        let other =
            |field: &str| chunk(&done.replace(&format!("\"{field}\":\""), &format!("\"{field}\":\"z")));
        let answer = match how.as_str() {
            "done" => {
                let done = line("done", &format!(",\"result\":\"a \\\"red\\\" tint\"{load}"));
                format!("{head}{started}{running}{done}{last}")
            }
            "failed" | "returned" | "lost" => format!("{head}{started}{}{last}", line(&how, load)),
            "400" => "HTTP/1.1 400 What\r\nContent-Length: 0\r\n\r\n".to_owned(),
            "500" => "HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n".to_owned(),
            "503" => "HTTP/1.1 503 Full\r\nX-Turned-Away: 1\r\nX-Pressure: TEXT x0=0, util=0.9\r\n\
                      Content-Length: 0\r\n\r\n"
                .to_owned(),
            "ends" => format!("{head}{started}{last}"),
            "breaks" => format!("{head}{started}"),
            "gone" => String::new(),
            // Cut short, of another job or node, or without its result: none of these is a result.
            "torn" => format!("{head}{started}{}{last}", chunk(&done[..done.len() - 2])),
            "foreign" => format!("{head}{started}{}{}{last}", other("id"), other("from")),
            "nothing" => format!("{head}{started}{}{last}", line("done", load)),
            "garbled" => {
                format!("{head}{}{}{}{}{last}", other("id"), chunk("{\"id\":\n"), other("from"), chunk(&done))
            }
            // Ends the kept connection as soon as anything more comes on it.
            "bait" => {
                stream.write_all(format!("{head}{}{last}", chunk(&done)).as_bytes()).unwrap();
                let _ = stream.peek(&mut [0]);
                return;
            }
            // Runs until the other side closes.
            "runs" => {
                stream.write_all(format!("{head}{started}").as_bytes()).unwrap();
                let _ = from.read(&mut [0]);
                seen.lock().unwrap().closed += 1;
                return;
            }
            // Speaks at full speed for as long as it is heard: of another job, or without an end of the line.
            "endless" | "endless-line" => {
                let piece = if how == "endless" { other("id").repeat(64) } else { chunk(&"x".repeat(4_096)) };
                stream.write_all(format!("{head}{started}").as_bytes()).unwrap();
                while stream.write_all(piece.as_bytes()).is_ok() {}
                seen.lock().unwrap().closed += 1;
                return;
            }
            // Tells nothing, not even a start, until the test has it broken off.
            "mute" => {
                until("break off", || seen.lock().unwrap().break_off.then_some(()));
                stream
                    .write_all(format!("{head}{}{last}", line("done", ",\"result\":\"late\"")).as_bytes())
                    .unwrap();
                seen.lock().unwrap().closed += 1;
                continue;
            }
            // Runs until the test has it broken off.
            "breaks-late" => {
                stream.write_all(format!("{head}{started}").as_bytes()).unwrap();
                return until("break off", || seen.lock().unwrap().break_off.then_some(()));
            }
            // Runs until the test lets go by emptying the list of watches.
            _ => {
                stream.write_all(format!("{head}{started}").as_bytes()).unwrap();
                until("let go", || seen.lock().unwrap().watches.is_empty().then_some(()));
                format!("{}{last}", line("done", ",\"result\":\"late\""))
            }
        };
        if stream.write_all(answer.as_bytes()).is_err() || matches!(how.as_str(), "breaks" | "gone") {
            return;
        }
    }
}

/// A discovery that knows one node and keeps its watches.
pub fn discovery(seen: &Shared, node: SocketAddr) -> SocketAddr {
    discovery_at(seen, node, TcpListener::bind("127.0.0.1:0").unwrap())
}

/// The same on a socket that is there already.
pub fn discovery_at(seen: &Shared, node: SocketAddr, listener: TcpListener) -> SocketAddr {
    let (address, seen) = (listener.local_addr().unwrap(), seen.clone());
    thread::spawn(move || {
        for mut stream in listener.incoming().map_while(Result::ok) {
            let mut from = BufReader::new(stream.try_clone().unwrap());
            let Some(request) = Message::read(&mut from) else { continue };
            let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
            let list = chunk(&list(7, true, node, "active"));
            stream.write_all(format!("{head}{list}").as_bytes()).unwrap();
            seen.lock().unwrap().watches.push((request.first, stream));
        }
    });
    address
}

pub fn list(version: u64, full: bool, node: SocketAddr, state: &str) -> String {
    format!(
        "{{\"version\":{version},\"full\":{full},\"servers\":[{{\"id\":\"a\",\"addr\":\"{node}\",\"zone\":\"north\",\
         \"kind\":\"box\",\"cell\":0,\"state\":\"{state}\",\"weight\":1.0,\"started_ms\":0}}]}}\n"
    )
}

/// The program with its stand-ins; killed when dropped.
pub struct Rig {
    pub child: Child,
    pub address: SocketAddr,
    pub node: SocketAddr,
    pub seen: Shared,
    pub lines: Arc<Mutex<Vec<String>>>,
    pub config: String,
    pub control: Option<SocketAddr>,
}

impl Rig {
    pub fn new() -> Self {
        Self::configured(str::to_owned)
    }

    pub fn configured(change: fn(&str) -> String) -> Self {
        let seen = Shared::default();
        let node = node(&seen);
        Self::with(seen, node, change)
    }

    pub fn with(seen: Shared, node: SocketAddr, change: fn(&str) -> String) -> Self {
        let discovery = discovery(&seen, node);
        let config = CONFIG.replace("127.0.0.1:8000", "127.0.0.1:0");
        let config = config.replace("127.0.0.1:8500", &discovery.to_string());
        let config = change(&config);
        // The variable stays set for the program's life, as a platform leaves it.
        let child = start(&config, &[("ROUTER_DISCOVERY", &discovery.to_string())]);
        let rig = Self::started(child, seen, node, config);
        until("ready", || (rig.ask(HEALTH).status() == "200").then_some(()));
        rig
    }

    /// The program with operators' addresses and an operator file, and where it serves Gearman.
    pub fn with_operators(file: &Path) -> (Self, SocketAddr) {
        let seen = Shared::default();
        let node = node(&seen);
        let discovery = discovery(&seen, node);
        let config = CONFIG.replace("127.0.0.1:8000", "127.0.0.1:0");
        let config = with_control(&config.replace("127.0.0.1:8500", &discovery.to_string()));
        let file = file.to_str().unwrap();
        let child = start(&config, &[("RUDDERVALVE_OPERATORS", file)]);
        let rig = Self::started(child, seen, node, config);
        until("ready", || (rig.ask(HEALTH).status() == "200").then_some(()));
        let address = until("gearman listens", || {
            let lines = rig.lines.lock().unwrap();
            lines.iter().find_map(|line| line.split("gearman listens on ").nth(1)?.parse().ok())
        });
        (rig, address)
    }

    /// A process on a socket and in a folder that it shares with others.
    pub fn beside(seen: &Shared, node: SocketAddr, config: &str, shared: &Socket) -> Self {
        let child = start_on(shared, config, "3");
        Self::started(child, seen.clone(), node, config.to_owned())
    }

    pub fn started(mut child: Child, seen: Shared, node: SocketAddr, config: String) -> Self {
        let mut from = BufReader::new(child.stderr.take().unwrap());
        let mut said = |what: &str| {
            let mut line = String::new();
            while !line.contains(what) {
                line.clear();
                assert!(from.read_line(&mut line).unwrap() > 0, "it ended before {what}");
            }
            line.trim().rsplit(' ').next().unwrap().parse().expect(&line)
        };
        let control = config.contains("\"control\"").then(|| said("operators call at"));
        let address = said("listens on");
        let lines = Arc::new(Mutex::new(Vec::new()));
        let kept = lines.clone();
        thread::spawn(move || {
            from.lines().map_while(Result::ok).for_each(|line| kept.lock().unwrap().push(line))
        });
        Self { child, address, node, seen, lines, config, control }
    }

    pub fn send(&self, request: &str) -> BufReader<TcpStream> {
        let mut stream = TcpStream::connect(self.address).unwrap();
        // Far beyond any wait here: a test that fails must not hang.
        stream.set_read_timeout(Some(Duration::from_secs(60))).unwrap();
        stream.write_all(request.as_bytes()).unwrap();
        BufReader::new(stream)
    }

    pub fn ask(&self, request: &str) -> Message {
        Message::read(&mut self.send(request)).expect("an answer")
    }

    /// A call to the operators' address, as it is sent, and the whole answer.
    pub fn call(&self, line: &str) -> String {
        let mut stream = TcpStream::connect(self.control.unwrap()).unwrap();
        stream.write_all(line.as_bytes()).unwrap();
        let mut answer = String::new();
        stream.read_to_string(&mut answer).unwrap();
        answer
    }

    pub fn signal(&self, signal: &str) {
        assert!(
            Command::new("kill").args([signal, &self.child.id().to_string()]).status().unwrap().success()
        );
    }

    /// Replaces the file and sends SIGHUP; waits until the program has counted it.
    pub fn reload(&self, config: &str, counted: &str) {
        std::fs::write(config_path(), config).unwrap();
        self.signal("-HUP");
        until(counted, || self.counters("reloads").contains(&counted.to_owned()).then_some(()));
    }

    /// The counters of a group, as the program prints them on request.
    pub fn counters(&self, group: &str) -> Vec<String> {
        self.lines.lock().unwrap().clear();
        self.signal("-USR1");
        until("counters", || {
            let lines = self.lines.lock().unwrap();
            let line = lines.iter().find(|line| line.contains("counters"))?;
            Some(line.split(' ').filter(|count| count.starts_with(group)).map(str::to_owned).collect())
        })
    }

    pub fn seen<T>(&self, look: impl Fn(&Seen) -> T) -> T {
        look(&self.seen.lock().unwrap())
    }

    pub fn ended(&mut self) -> ExitStatus {
        until("the program ends", || self.child.try_wait().unwrap())
    }
}

impl Drop for Rig {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// A file of each test's own.
pub fn config_path() -> PathBuf {
    let name = format!("ruddervalve-{}-{:?}.json", std::process::id(), thread::current().id());
    std::env::temp_dir().join(name)
}

pub fn start(config: &str, variables: &[(&str, &str)]) -> Child {
    std::fs::write(config_path(), config).unwrap();
    Command::new(env!("CARGO_BIN_EXE_ruddervalve"))
        .env("ROUTER_CONFIG", config_path())
        .envs(variables.iter().copied())
        .stdout(Stdio::null())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap()
}

/// What a platform holds for the processes of one dispatcher: the listening socket and a folder.
pub struct Socket {
    pub listener: OwnedFd,
    pub folder: PathBuf,
}

impl Socket {
    pub fn new(listener: impl Into<OwnedFd>) -> Self {
        static NEXT: AtomicUsize = AtomicUsize::new(0);
        let name = format!("ruddervalve-{}-{}", std::process::id(), NEXT.fetch_add(1, Relaxed));
        let folder = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&folder).unwrap();
        Self { listener: listener.into(), folder }
    }
}

impl Drop for Socket {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// Starts the program with the socket as its descriptor 3, and with the operator file in the folder, if there is one.
pub fn start_on(shared: &Socket, config: &str, fd: &str) -> Child {
    std::fs::write(config_path(), config).unwrap();
    // An operator file in the folder is both processes'.
    let operators = shared.folder.join("operators.xml");
    Command::new("sh")
        .args(["-c", "exec \"$0\" 3<&0 </dev/null", env!("CARGO_BIN_EXE_ruddervalve")])
        .envs(operators.exists().then_some(("RUDDERVALVE_OPERATORS", &operators)))
        .env("ROUTER_CONFIG", config_path())
        .env("ROUTER_ACCEPT_FD", fd)
        .env("TMPDIR", &shared.folder)
        .stdin(Stdio::from(shared.listener.try_clone().unwrap()))
        .stdout(Stdio::null())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap()
}

/// A job of an id of its own.
pub fn job(class: &str, how: &str, remaining_ms: u32) -> String {
    static NEXT: AtomicUsize = AtomicUsize::new(0x9b1f);
    let id = NEXT.fetch_add(1, Relaxed);
    format!(
        "POST /{class}/7?do={how} HTTP/1.1\r\nHost: service.internal\r\nX-Txn: {id:x}\r\nX-Lane: {class}\r\n\
         X-Org: acme\r\nCookie: key=7f\r\nX-Remaining-Ms: {remaining_ms}\r\nContent-Length: 5\r\n\r\nocean"
    )
}

/// The same job with another id.
pub fn with_id(job: &str, id: &str) -> String {
    let old = job.split("X-Txn: ").nth(1).unwrap().split("\r\n").next().unwrap();
    job.replace(&format!("X-Txn: {old}\r\n"), id)
}

pub fn with_control(config: &str) -> String {
    config.replacen('{', "{\"control\": \"127.0.0.1:0\",", 1)
}

/// Starts the program with these arguments and waits for its end: its code and what it said.
pub fn start_with_arguments(arguments: &[&str]) -> (Option<i32>, String) {
    std::fs::write(config_path(), CONFIG).unwrap();
    let program = Command::new(env!("CARGO_BIN_EXE_ruddervalve"))
        .args(arguments)
        .env("ROUTER_CONFIG", config_path())
        .stdout(Stdio::null())
        .output()
        .unwrap();
    (program.status.code(), String::from_utf8_lossy(&program.stderr).into_owned())
}
