//! Owns the machine list as discovery tells it: its form, the watch that stays open, the one clock of its silence,
//! and the version to go on from. It must never decide when to ask a shared service again (the decisions do, with a growing
//! pause), take back what a newer list told, nor choose which machine to use.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use awc::Client;
use bytes::{Buf as _, Bytes, BytesMut};
use futures_util::StreamExt as _;
use ruddervalve::{Availability, ListKind, Machine};
use ruddervalve_broker::{Broker, Clock, ListNews, span};
use ruddervalve_settings::Network;
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;
use tokio::sync::watch;
use tokio::task::JoinHandle;

use crate::claims::client;

/// "An empty line comes every 2 s while nothing changes": a watch that is silent for longer by half has fallen silent, and
/// as long again is left to open another one and be told.
const SILENCE_MS: f64 = 3_000.0;
/// "What it misses counts as told 6 s after it fell silent", and it did no sooner than something was last heard.
const TOLD_AFTER_SILENCE_MS: f64 = 6_000.0;
/// "After SIGHUP it counts 4 s later."
const TOLD_AFTER_MOVE_MS: f64 = 4_000.0;
/// A call that is not answered within this is made again: a second one still fits in before what a silent watch missed
/// counts as told. Discovery that is asked handles calls in turn and may let them wait for longer than that: each call in a
/// row that is given up doubles the time of the next one, so many times at most.
const CALL: Duration = Duration::from_secs(2);
const CALL_DOUBLINGS: u32 = 2;
/// The longest list that is read: some thousand machines.
const LONGEST_LIST: usize = 4 << 20;

#[derive(Deserialize, Serialize)]
struct Line {
    version: u64,
    full: bool,
    servers: Vec<Entry>,
}

#[derive(Deserialize, Serialize)]
struct Entry {
    id: String,
    addr: String,
    zone: Option<String>,
    kind: Option<String>,
    cell: Option<u64>,
    state: String,
    weight: Option<f64>,
    #[serde(default)]
    started_ms: f64,
}

/// Reads one list. A machine in an unknown state takes nothing new, nor does one whose address cannot be read.
pub fn read_news(line: &[u8]) -> Result<ListNews, String> {
    let mut json = serde_json::Deserializer::from_slice(line);
    let line: Line = serde_path_to_error::deserialize(&mut json).map_err(|error| error.to_string())?;
    let (machines, addresses, faults) = (Vec::new(), BTreeMap::new(), Vec::new());
    let mut news = ListNews { version: line.version, full: line.full, machines, addresses, faults };
    for entry in line.servers {
        let mut availability = match entry.state.as_str() {
            "active" => Availability::Ready,
            "left" => Availability::Gone,
            "leaving" => Availability::Draining,
            other => {
                news.faults.push(format!("{}: state '{other}' is unknown", entry.id));
                Availability::Draining
            }
        };
        match entry.addr.parse() {
            Ok(address) => drop(news.addresses.insert(entry.id.clone(), address)),
            // Gone machines need no address. Any other must not be claimed where it was before.
            Err(_) if availability == Availability::Gone => {}
            Err(_) => {
                news.faults.push(format!("{}: '{}' is no address with a port", entry.id, entry.addr));
                availability = Availability::Draining;
            }
        }
        news.machines.push(Machine {
            name: entry.id,
            availability,
            started_ms: entry.started_ms,
            zone: entry.zone,
            kind: entry.kind,
            abilities: Vec::new(),
            cell: entry.cell,
            weight: entry.weight.unwrap_or(1.0),
        });
    }
    Ok(news)
}

/// Words a list as discovery does.
pub fn write_news(news: &ListNews) -> String {
    let entry = |machine: &Machine| {
        let state = match machine.availability {
            Availability::Ready => "active",
            Availability::Draining => "leaving",
            Availability::Gone => "left",
        };
        Some(Entry {
            id: machine.name.clone(),
            addr: news.addresses.get(&machine.name)?.to_string(),
            zone: machine.zone.clone(),
            kind: machine.kind.clone(),
            cell: machine.cell,
            state: state.to_owned(),
            weight: Some(machine.weight),
            started_ms: machine.started_ms,
        })
    };
    let servers = news.machines.iter().filter_map(entry).collect();
    let line = Line { version: news.version, full: news.full, servers };
    serde_json::to_string(&line).unwrap_or_default()
}

/// Follows the list, one watch at a time.
pub struct MachineList {
    discovery: watch::Sender<SocketAddr>,
    following: Rc<Following>,
    task: RefCell<Option<JoinHandle<()>>>,
}

/// Where the watch stands. Only [`Following`]'s functions named for a transition change it.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Watch {
    /// There is none; in time somebody asks for one.
    Closed,
    /// It was called for, and nothing has come yet.
    Called { since_ms: f64 },
    /// This was when something was last heard of it.
    Open { heard_ms: f64 },
}

/// What the watch has to know of its list.
struct Following {
    client: RefCell<Client>,
    broker: Rc<Broker>,
    clock: Clock,
    watch: Cell<Watch>,
    /// When what was missed since something was last heard counts as told, whatever becomes of further calls; for ever
    /// where only the decisions' own time for asking counts.
    told_ms: Cell<f64>,
    /// The list in hand is this discovery's: its version is one to go on from.
    same_service: Cell<bool>,
    /// How long an agent beside the dispatcher may take to answer, and the longest pause before it is called again; none
    /// where discovery is asked, as the decisions then say when.
    pushed: Cell<Option<Pushed>>,
    /// Watches on an agent that ended since one last told something.
    ended: Cell<u32>,
    /// Calls given up in a row.
    unanswered: Cell<u32>,
}

/// How an agent is called.
#[derive(Debug, Clone, Copy, PartialEq)]
struct Pushed {
    answer: Duration,
    longest_pause: Duration,
}

/// What an agent has counts as told while no watch is open, and asking it costs nothing: the pauses grow only while it
/// stays silent, and a call with the pause behind it stays short beside the grace.
const FIRST_PAUSE: Duration = Duration::from_millis(50);
/// The parts of the grace that a pause and a call may take.
const PAUSE_OF_THE_GRACE: f64 = 0.125;
const CALL_OF_THE_GRACE: f64 = 0.25;
/// An agent on the dispatcher's own machine answers at once; so long it may take where the grace is short.
const AGENT_ANSWERS: Duration = Duration::from_millis(250);

fn pushed(network: &Network) -> Option<Pushed> {
    network.list_pushed.then(|| Pushed {
        answer: span(network.drain_grace_ms * CALL_OF_THE_GRACE).clamp(AGENT_ANSWERS, CALL),
        longest_pause: span(network.drain_grace_ms * PAUSE_OF_THE_GRACE).max(FIRST_PAUSE),
    })
}

impl MachineList {
    /// Follows the list of a discovery service for a broker. Where the list is pushed it is watched from now on.
    pub fn new(network: &Network, discovery: SocketAddr, broker: Rc<Broker>, clock: Clock) -> Self {
        let following = Following {
            client: RefCell::new(client(network)),
            broker,
            clock,
            watch: Cell::new(Watch::Closed),
            told_ms: Cell::new(f64::INFINITY),
            same_service: Cell::new(true),
            pushed: Cell::new(pushed(network)),
            ended: Cell::new(0),
            unanswered: Cell::new(0),
        };
        Self {
            discovery: watch::Sender::new(discovery),
            following: Rc::new(following),
            task: RefCell::new(None),
        }
    }

    /// Where the list is had, now and when it changes.
    pub fn discovery(&self) -> watch::Receiver<SocketAddr> {
        self.discovery.subscribe()
    }

    /// Watches the list from now on where it is pushed: nobody else asks for it then.
    pub fn start(&self) {
        if self.following.pushed.get().is_some() {
            self.ask();
        }
    }

    /// From now on the list is had elsewhere, or in another way: the watch there is opened at once, and the list in hand
    /// stays meanwhile. The old watch is given up untold, so that its end counts against nobody.
    pub fn follow(&self, discovery: SocketAddr, network: &Network) {
        let moved = self.discovery.send_replace(discovery) != discovery;
        let pushed = pushed(network);
        let came = self.following.pushed.replace(pushed).is_none() && pushed.is_some();
        self.following.client.replace(client(network));
        if moved {
            self.following.moved();
        }
        if moved || came {
            self.ask();
        }
    }

    /// Asks for the list and its changes. A watch still open is given up, and tells nothing any more once this returns:
    /// being asked again means that it told nothing.
    pub fn ask(&self) {
        if let Some(task) = self.task.take() {
            task.abort();
        }
        let (address, following) = (*self.discovery.borrow(), self.following.clone());
        self.task.replace(Some(actix_rt::spawn(async move {
            loop {
                let problem = following.watch(address).await;
                let Some(pause) = following.broke(&problem) else { return };
                tokio::time::sleep(pause).await;
            }
        })));
    }
}

impl Following {
    /// A call goes out.
    fn called(&self) {
        self.watch.set(Watch::Called { since_ms: self.clock.now() });
    }

    /// A call was answered, be it with an error.
    fn answered(&self) {
        self.unanswered.set(0);
    }

    /// Something was heard, be it an empty line.
    fn heard(&self) {
        let now = self.clock.now();
        self.watch.set(Watch::Open { heard_ms: now });
        self.told_ms.set(now + TOLD_AFTER_SILENCE_MS);
        self.ended.set(0);
    }

    /// The list is had elsewhere from now on.
    fn moved(&self) {
        self.same_service.set(false);
        self.unanswered.set(0);
        self.told_ms.set(self.clock.now() + TOLD_AFTER_MOVE_MS);
    }

    /// A call failed or the watch ended, broken off from either side. Returns how long to pause before the next call; none
    /// where the decisions say when to call.
    fn broke(&self, problem: &str) -> Option<Duration> {
        let silent = self.due().is_some_and(|due| due <= self.clock.now());
        match self.watch.replace(Watch::Closed) {
            // Its end was told: the clock of silence does not run.
            Watch::Open { .. } if !silent => self.told_ms.set(f64::INFINITY),
            Watch::Called { .. } if silent => self.unanswered.set(self.unanswered.get() + 1),
            _ => {}
        }
        let told_ms = self.told_ms.get();
        let Some(pushed) = self.pushed.get() else {
            self.broker.list_failed(problem, false, told_ms);
            return None;
        };
        let ended = self.ended.get();
        self.broker.list_failed(problem, ended > 0, told_ms);
        self.ended.set(ended.saturating_add(1));
        Some((FIRST_PAUSE * (1 << ended.min(8))).min(pushed.longest_pause))
    }

    /// When the watch is given up unless something is heard before.
    fn due(&self) -> Option<f64> {
        let asked = || CALL * (1 << self.unanswered.get().min(CALL_DOUBLINGS));
        let answer = self.pushed.get().map_or_else(asked, |pushed| pushed.answer);
        match self.watch.get() {
            Watch::Closed => None,
            Watch::Called { since_ms } => Some(since_ms + answer.as_secs_f64() * 1e3),
            Watch::Open { heard_ms } => Some(heard_ms + SILENCE_MS),
        }
    }

    /// Waits for what comes next of the watch, for as long as it may keep silent.
    async fn next<T>(&self, comes: impl Future<Output = T>) -> Result<T, String> {
        let wait = self.clock.until(self.due().unwrap_or_default());
        tokio::time::timeout(wait, comes).await.map_err(|_| match self.watch.get() {
            // A machine that was cut off says nothing, and its connection stays open.
            Watch::Open { .. } => "the watch fell silent".to_owned(),
            _ => "no answer".to_owned(),
        })
    }

    /// One watch, from its call to its end, which always is a failure.
    async fn watch(&self, address: SocketAddr) -> String {
        match self.follow(address).await {
            Err(problem) => problem,
            Ok(never) => match never {},
        }
    }

    async fn follow(&self, address: SocketAddr) -> Result<Infallible, String> {
        self.called();
        // Versions are a service's own: another one is asked for its whole list.
        let version = if self.same_service.get() { *self.broker.list_version().borrow() } else { 0 };
        let url = format!("http://{address}/v1/servers?stream=1&index={version}");
        let call = self.client.borrow().get(url).address(address).send();
        let mut response = self.next(call).await?.map_err(|error| error.to_string())?;
        self.answered();
        if !response.status().is_success() {
            return Err(format!("status {}", response.status()));
        }
        let (mut inbox, mut answered) = (BytesMut::new(), false);
        loop {
            let bytes = self.next(response.next()).await?.ok_or("the watch ended")?;
            inbox.extend_from_slice(&bytes.map_err(|error| error.to_string())?);
            self.heard();
            while let Some(list) = next_list(&mut inbox)? {
                answered = true;
                self.take(read_news(&list)?)?;
            }
            // Nothing but an empty line first: nothing changed since the version asked for, and the call is answered so.
            if inbox.is_empty() && !std::mem::replace(&mut answered, true) {
                self.broker.unchanged();
            }
        }
    }

    fn take(&self, news: ListNews) -> Result<(), String> {
        let in_hand = *self.broker.list_version().borrow();
        match (self.same_service.get(), news.full) {
            // What the list in hand says of nodes that leave is not taken back by what was true before. Should the service
            // count anew, its answer to a call for the whole list says so again.
            (true, true) if news.version < in_hand => {
                self.same_service.set(false);
                return Err(format!("a whole list of version {}, older than {in_hand}", news.version));
            }
            // The other process of an upgrade was told sooner, and this one by it.
            (true, false) if news.version <= in_hand => self.broker.unchanged(),
            (_, full) => {
                self.same_service.set(true);
                self.broker.list(if full { ListKind::Full } else { ListKind::Changes }, news);
            }
        }
        Ok(())
    }
}

/// Takes the whole list at the front of what has come, if there is one. Discovery may break a list into lines, and the network
/// into pieces, also within a number.
pub fn next_list(inbox: &mut BytesMut) -> Result<Option<Bytes>, String> {
    let blank = inbox.iter().take_while(|byte| byte.is_ascii_whitespace()).count();
    inbox.advance(blank);
    let mut values = serde_json::Deserializer::from_slice(inbox).into_iter::<&RawValue>();
    match values.next() {
        None => Ok(None),
        // What is wrong at the very end of it may be so for want of the rest.
        Some(Err(error)) if error.is_eof() || (error.line(), error.column()) == end_of(inbox) => {
            if inbox.len() > LONGEST_LIST { Err("a list without an end".to_owned()) } else { Ok(None) }
        }
        Some(Err(error)) => Err(error.to_string()),
        Some(Ok(_)) => {
            let end = values.byte_offset();
            Ok(Some(inbox.split_to(end).freeze()))
        }
    }
}

/// The line and column of the last byte.
fn end_of(text: &[u8]) -> (usize, usize) {
    let lines = text.iter().filter(|byte| **byte == b'\n').count();
    let column = text.iter().rev().take_while(|byte| **byte != b'\n').count();
    (lines + 1, column)
}
