//! Owns what the process of a dispatcher that serves tells a newer one that is to take its place: the list of runners
//! with its version and what was learnt, over a local socket in `$TMPDIR`, and newer lists both ways for as long as
//! both run. It must never take what it does not understand or what is another dispatcher's, known by its name and by
//! the socket that both accept from, take one discovery's version for another's, keep a process from starting, or
//! decide what follows from the other's being there.

use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;

use bytes::BytesMut;
use ruddervalve::Learnt;
use ruddervalve_broker::{Broker, Clock, Counters, ListUpdate};
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::{UnixListener, UnixStream};
use tokio::sync::watch;

use crate::runner_list::format::{read_list, write_list};

/// The form of what is said here; a process that speaks another one is not understood.
const FORMAT: u32 = 2;
/// What the socket's name in `$TMPDIR` begins with; the address that the dispatcher listens on comes behind.
const SOCKET_NAME_PREFIX: &str = "ruddervalve.handover";
/// How long a process waits for the other's greeting: at a start nothing else goes on meanwhile.
const GREETING_TIMEOUT: Duration = Duration::from_millis(1_000);
/// A greeting sent longer ago than so many milliseconds is not taken.
const MAX_GREETING_AGE_MS: f64 = 10_000.0;
/// The longest line, in bytes: some thousand runners.
const MAX_LINE_BYTES: usize = 4 << 20;
/// After an error of accepting.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// What the newer process says first.
#[derive(Debug, Serialize, Deserialize)]
struct Greeting {
    format: u32,
    dispatcher: Identity,
}

/// Whose process it is. Where a folder is shared, others of the same name may be there.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
struct Identity {
    name: String,
    listen: SocketAddr,
}

/// A list of runners in hand.
#[derive(Debug, Serialize, Deserialize)]
struct Listed {
    /// Whose list it is: versions are a service's own.
    discovery: SocketAddr,
    /// In discovery's form.
    list: Box<RawValue>,
}

/// What the older process answers.
#[derive(Debug, Serialize, Deserialize)]
struct Hello {
    format: u32,
    dispatcher: Identity,
    at_ms: f64,
    listed: Listed,
    learnt: Learnt,
}

/// One end of a link, and what was read of the next line.
struct Link {
    stream: UnixStream,
    read_buffer: BytesMut,
}

/// The two processes of a dispatcher.
pub struct Handover {
    dispatcher: Identity,
    path: PathBuf,
    broker: Rc<Broker>,
    clock: Clock,
    counters: Rc<Counters>,
    discovery: watch::Receiver<SocketAddr>,
    linked: watch::Sender<bool>,
}

impl Link {
    fn new(stream: UnixStream) -> Self {
        Self { stream, read_buffer: BytesMut::new() }
    }

    /// The next line; an error at the end. Nothing is lost if the wait is given up.
    async fn line(&mut self) -> io::Result<BytesMut> {
        loop {
            if let Some(end) = self.read_buffer.iter().position(|byte| *byte == b'\n') {
                return Ok(self.read_buffer.split_to(end + 1));
            }
            if self.read_buffer.len() > MAX_LINE_BYTES {
                return Err(io::ErrorKind::InvalidData.into());
            }
            if self.stream.read_buf(&mut self.read_buffer).await? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
    }

    async fn send(&mut self, line: &impl Serialize) -> io::Result<()> {
        let mut line = serde_json::to_vec(line)?;
        line.push(b'\n');
        self.stream.write_all(&line).await
    }
}

impl Handover {
    /// The link of the dispatcher of this name that accepts there, in this folder.
    pub fn new(
        name: String,
        listen: SocketAddr,
        folder: &Path,
        broker: Rc<Broker>,
        clock: Clock,
        counters: Rc<Counters>,
        discovery: watch::Receiver<SocketAddr>,
    ) -> Rc<Self> {
        let (path, linked) =
            (folder.join(format!("{SOCKET_NAME_PREFIX}.{listen}")), watch::Sender::new(false));
        let dispatcher = Identity { name, listen };
        Rc::new(Self { dispatcher, path, broker, clock, counters, discovery, linked })
    }

    /// Whether another process of this dispatcher is there, now and when it changes.
    pub fn linked(&self) -> watch::Receiver<bool> {
        self.linked.subscribe()
    }

    /// Takes over from the process that serves, if there is one, then waits for a newer one. Whatever goes wrong here,
    /// the process starts as though it were alone.
    pub async fn take_over(self: &Rc<Self>) {
        match tokio::time::timeout(GREETING_TIMEOUT, self.greet()).await {
            Ok(Ok(link)) => {
                self.counters.count("handover", "taken");
                self.linked.send_replace(true);
                let this = self.clone();
                actix_rt::spawn(async move {
                    this.exchange_lists(link).await;
                    this.linked.send_replace(false);
                });
            }
            Ok(Err(error)) if matches!(error.kind(), io::ErrorKind::NotFound) => {}
            Ok(Err(error)) => self.failed(&error),
            Err(_) => self.failed(&io::ErrorKind::TimedOut.into()),
        }
        match self.listen() {
            Ok(listener) => drop(actix_rt::spawn(self.clone().serve(listener))),
            Err(error) => self.failed(&error),
        }
    }

    fn failed(&self, error: &io::Error) {
        self.counters.count("handover", "failed");
        self.counters.log(self.clock.now(), format_args!("handover: {error}"));
    }

    /// The newer process's greeting, and what it takes from the answer.
    async fn greet(&self) -> io::Result<Link> {
        let mut link = Link::new(UnixStream::connect(&self.path).await?);
        link.send(&Greeting { format: FORMAT, dispatcher: self.dispatcher.clone() }).await?;
        let line = link.line().await?;
        let hello: Hello = serde_json::from_slice(&line)?;
        let invalid = |problem: &str| io::Error::new(io::ErrorKind::InvalidData, problem);
        if hello.format != FORMAT || hello.dispatcher != self.dispatcher {
            return Err(invalid("another format or dispatcher"));
        }
        if (self.clock.now() - hello.at_ms).abs() > MAX_GREETING_AGE_MS {
            return Err(invalid("stale"));
        }
        let update = self.read(&hello.listed).map_err(|problem| invalid(&problem))?;
        if !self.broker.inherit(update, &hello.learnt) {
            return Err(invalid("what was learnt makes no sense"));
        }
        Ok(link)
    }

    /// Under a name of its own first: whoever looks finds a socket that listens, the older process's or this one.
    fn listen(&self) -> io::Result<UnixListener> {
        let own = self.path.with_extension(std::process::id().to_string());
        let _ = std::fs::remove_file(&own);
        let listener = UnixListener::bind(&own)?;
        std::fs::rename(&own, &self.path)?;
        Ok(listener)
    }

    /// Tells newer processes, one at a time.
    async fn serve(self: Rc<Self>, listener: UnixListener) {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => self.serve_successor(Link::new(stream)).await,
                Err(error) => {
                    self.failed(&error);
                    tokio::time::sleep(ACCEPT_PAUSE).await;
                }
            }
        }
    }

    async fn serve_successor(&self, mut link: Link) {
        let greeting = tokio::time::timeout(GREETING_TIMEOUT, link.line()).await;
        let greeting = greeting.ok().and_then(Result::ok);
        let greeting = greeting.and_then(|line| serde_json::from_slice::<Greeting>(&line).ok());
        if !greeting.is_some_and(|other| other.format == FORMAT && other.dispatcher == self.dispatcher) {
            return self.counters.count("handover", "not_understood");
        }
        // From here on the other one spends the budgets, so what it is told of them is all that was spent.
        self.broker.set_successor(true);
        if self.send_hello(&mut link).await.is_ok() {
            self.counters.count("handover", "handed_on");
            self.linked.send_replace(true);
            self.exchange_lists(link).await;
            self.linked.send_replace(false);
        }
        self.broker.set_successor(false);
    }

    async fn send_hello(&self, link: &mut Link) -> io::Result<()> {
        let hello = Hello {
            format: FORMAT,
            dispatcher: self.dispatcher.clone(),
            at_ms: self.clock.now(),
            listed: self.own_list()?,
            learnt: self.broker.learnt(),
        };
        link.send(&hello).await
    }

    fn own_list(&self) -> io::Result<Listed> {
        let list = RawValue::from_string(write_list(&self.broker.list_in_hand()))?;
        Ok(Listed { discovery: *self.discovery.borrow(), list })
    }

    /// The other process's list. Where it is had elsewhere than here its version tells nothing: it is from before any.
    fn read(&self, own_list: &Listed) -> Result<ListUpdate, String> {
        let mut update = read_list(own_list.list.get().as_bytes())?;
        if own_list.discovery != *self.discovery.borrow() {
            update.version = 0;
        }
        Ok(update)
    }

    /// Tells the other process of newer lists and takes those it tells of, until it has gone.
    async fn exchange_lists(&self, mut link: Link) {
        let mut version = self.broker.list_version();
        version.mark_changed();
        loop {
            tokio::select! {
                line = link.line() => {
                    let Ok(line) = line else { return };
                    let own_list = serde_json::from_slice::<Listed>(&line).map_err(|error| error.to_string());
                    match own_list.and_then(|own_list| self.read(&own_list)) {
                        Ok(update) => self.broker.list_from_other_process(update),
                        Err(_) => return self.counters.count("handover", "not_understood"),
                    }
                }
                Ok(()) = version.changed() => {
                    let Ok(own_list) = self.own_list() else { return };
                    if link.send(&own_list).await.is_err() {
                        return;
                    }
                }
            }
        }
    }
}
