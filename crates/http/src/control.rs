//! Owns the operators' address: connections that carry one line each and get one answer. It reads what the broker, the
//! counters and the decisions say and passes on what operators want; it must never decide anything, keep a state of its
//! own, nor let a caller hold it up: callers, their lines and their time are bounded, and their descriptors set aside.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io;
use std::rc::Rc;
use std::time::Duration;

use ruddervalve_broker::{Broker, Clock, Counters};
use tokio::io::{AsyncBufReadExt as _, AsyncReadExt as _, AsyncWriteExt as _, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::AbortHandle;

/// Callers at once; for a further one the oldest silent one goes.
const MAX_CALLERS: usize = 15;
/// Descriptors that nothing else may use: the callers', and the one that listens.
pub const RESERVED_DESCRIPTORS: usize = MAX_CALLERS + 1;
/// The longest line, in bytes.
const MAX_LINE_BYTES: u64 = 256;
/// How long a caller may take to send its line, and to read its answer.
const CALLER_TIMEOUT: Duration = Duration::from_secs(2);
/// What still comes after the line is read for so long and dropped: a close over unread bytes would reset the answer
/// away.
const LINGER_TIMEOUT: Duration = Duration::from_millis(250);
/// What the names of the figures begin with.
const METRIC_PREFIX: &str = "edge_router";
/// After an error of accepting.
const ACCEPT_PAUSE: Duration = Duration::from_millis(5);

struct Caller {
    /// Its line has not come.
    silent: Cell<bool>,
    task: RefCell<Option<AbortHandle>>,
}

/// The operators' address.
pub struct Control {
    broker: Rc<Broker>,
    clock: Clock,
    counters: Rc<Counters>,
    /// By number, so that the first is the oldest.
    callers: RefCell<BTreeMap<u64, Rc<Caller>>>,
}

impl Control {
    /// The operators' side of a broker.
    pub fn new(broker: Rc<Broker>, clock: Clock, counters: Rc<Counters>) -> Rc<Self> {
        Rc::new(Self { broker, clock, counters, callers: RefCell::default() })
    }

    /// Answers calls for as long as the program runs.
    pub async fn serve(self: Rc<Self>, listener: TcpListener) {
        for number in 0.. {
            let stream = match listener.accept().await {
                Ok((stream, _)) => stream,
                Err(error) => {
                    self.counters.count("control", "accept_failed");
                    self.counters.log(self.clock.now(), format_args!("operators' address: {error}"));
                    self.make_room();
                    tokio::time::sleep(ACCEPT_PAUSE).await;
                    continue;
                }
            };
            if self.callers.borrow().len() >= MAX_CALLERS {
                self.make_room();
            }
            let caller = Rc::new(Caller { silent: Cell::new(true), task: RefCell::default() });
            self.callers.borrow_mut().insert(number, caller.clone());
            let (control, known) = (self.clone(), caller.clone());
            let task = actix_rt::spawn(async move {
                control.call(stream, &known).await;
                control.callers.borrow_mut().remove(&number);
            });
            caller.task.replace(Some(task.abort_handle()));
            // Those taken read first, so that a crowd of silent ones behind them does not push them out.
            tokio::task::yield_now().await;
        }
    }

    /// Guards against callers that connect and stay: the oldest silent one goes.
    fn make_room(&self) {
        let mut callers = self.callers.borrow_mut();
        let oldest = callers.iter().min_by_key(|(number, caller)| (!caller.silent.get(), **number));
        let Some((&number, _)) = oldest else { return };
        let Some(caller) = callers.remove(&number) else { return };
        self.counters.count("control", "given_up");
        caller.task.borrow().iter().for_each(AbortHandle::abort);
    }

    async fn call(&self, stream: TcpStream, caller: &Caller) {
        let _ = stream.set_nodelay(true);
        let mut stream = BufReader::with_capacity(MAX_LINE_BYTES as usize, stream);
        let line = match tokio::time::timeout(CALLER_TIMEOUT, read_line(&mut stream)).await {
            Ok(Ok(line)) => line,
            Ok(Err(_)) => return self.counters.count("control", "broke"),
            Err(_) => return self.counters.count("control", "silent"),
        };
        caller.silent.set(false);
        let answer = line.map_or_else(|| self.error("no line of this length"), |line| self.answer(&line));
        let said = async {
            stream.get_mut().write_all(answer.as_bytes()).await?;
            stream.get_mut().shutdown().await
        };
        if matches!(tokio::time::timeout(CALLER_TIMEOUT, said).await, Ok(Ok(()))) {
            let mut rest = [0; MAX_LINE_BYTES as usize];
            let discard_input = async { while matches!(stream.get_mut().read(&mut rest).await, Ok(1..)) {} };
            let _ = tokio::time::timeout(LINGER_TIMEOUT, discard_input).await;
        }
    }

    fn answer(&self, line: &str) -> String {
        self.counters.count("control", "calls");
        match line {
            "vars" => self.figures(),
            "check" if self.broker.ready() => "OK\n".to_owned(),
            "check" => self.error("no machine list yet"),
            "drain-on" => {
                self.broker.drain();
                "OK\n".to_owned()
            }
            "drain-off" if self.broker.cancel_drain() => "OK\n".to_owned(),
            "drain-off" => self.error("the program is ending"),
            _ => self.error("unknown call"),
        }
    }

    /// The figures, a line each, and the line that ends them.
    fn figures(&self) -> String {
        let mut text = String::new();
        let mut say = |name: &str, value: u64| text += &format!("{METRIC_PREFIX}.{name}={value}\n");
        for (class, answered) in self.counters.classes() {
            say(&format!("fulfilled.{class}"), answered.served);
            say(&format!("throttled.{class}"), answered.refused);
            say(&format!("faulted.{class}"), answered.failed);
        }
        self.counters.extra_figures().into_iter().for_each(|(name, value)| say(name, value));
        say("relayed", self.counters.attempts_written());
        say("open_requests", self.broker.open_requests() as u64);
        say("registry_entries", self.broker.runner_count() as u64);
        say("out_of_rotation", self.broker.out_of_rotation() as u64);
        say("cfg_accepted", self.counters.value_of("reloads", "taken"));
        say("cfg_invalid", self.counters.value_of("reloads", "faulty"));
        text + "END\n"
    }

    fn error(&self, problem: &str) -> String {
        self.counters.count("control", "errors");
        format!("ERR {problem}\n")
    }
}

/// One line, ended by LF or CRLF; none if it is too long, has no end or is no text.
async fn read_line(stream: &mut BufReader<TcpStream>) -> io::Result<Option<String>> {
    let mut line = Vec::new();
    stream.take(MAX_LINE_BYTES).read_until(b'\n', &mut line).await?;
    let Some(line) = line.strip_suffix(b"\n") else { return Ok(None) };
    let line = line.strip_suffix(b"\r").unwrap_or(line);
    Ok(str::from_utf8(line).ok().map(str::to_owned))
}
