//! Owns the machine list as discovery tells it: the form of its lines, the watch that stays open, and the version to go
//! on from. It must never decide when to ask again (the decisions do, with a growing pause), nor which machine to use.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use awc::Client;
use bytes::BytesMut;
use futures_util::StreamExt as _;
use ruddervalve::{Availability, ListKind, Machine};
use ruddervalve_broker::{Broker, ListNews, span};
use ruddervalve_settings::Network;
use serde::{Deserialize, Serialize};
use tokio::sync::watch;
use tokio::task::JoinHandle;

use crate::claims::client;

/// An empty line comes every two seconds: a watch that is silent for so long is dead.
const SILENCE: Duration = Duration::from_secs(5);
/// The longest line that is read: some thousand machines.
const LONGEST_LINE: usize = 4 << 20;

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

/// Reads one line. A machine whose address cannot be read is left out, one in an unknown state takes nothing new.
pub fn read_news(line: &[u8]) -> Result<ListNews, String> {
    let mut json = serde_json::Deserializer::from_slice(line);
    let line: Line = serde_path_to_error::deserialize(&mut json).map_err(|error| error.to_string())?;
    let mut news =
        ListNews { version: line.version, full: line.full, machines: Vec::new(), addresses: BTreeMap::new() };
    for entry in line.servers {
        let availability = match entry.state.as_str() {
            "active" => Availability::Ready,
            "left" => Availability::Gone,
            _ => Availability::Draining,
        };
        match entry.addr.parse() {
            Ok(address) => drop(news.addresses.insert(entry.id.clone(), address)),
            // Gone machines need no address; any other without one cannot be claimed.
            Err(_) if availability == Availability::Gone => {}
            Err(_) => continue,
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
    client: Client,
    discovery: watch::Sender<SocketAddr>,
    told: Rc<Told>,
    broker: Rc<Broker>,
    watch: RefCell<Option<JoinHandle<()>>>,
}

/// What a watch has to know of its list while it is open.
struct Told {
    /// The list in hand is this discovery's: its version is one to go on from.
    same_service: Cell<bool>,
    /// The pause before a watch on an agent beside the dispatcher is opened anew; none where discovery is asked, as the
    /// decisions then say when.
    pushed: Cell<Option<Duration>>,
    /// Watches on an agent that ended since one last told something.
    ended: Cell<u32>,
}

/// What an agent has counts as told while no watch is open, and asking it costs nothing: the pauses grow only while it
/// stays silent, and stay short beside the grace.
const FIRST_PAUSE: Duration = Duration::from_millis(50);
/// The part of the grace that a pause may take.
const OF_THE_GRACE: f64 = 0.125;

fn longest_pause(network: &Network) -> Option<Duration> {
    network.list_pushed.then(|| span(network.drain_grace_ms * OF_THE_GRACE).max(FIRST_PAUSE))
}

impl MachineList {
    /// Follows the list of a discovery service for a broker. Where the list is pushed it is watched from now on.
    pub fn new(network: &Network, discovery: SocketAddr, broker: Rc<Broker>) -> Self {
        let (discovery, watch) = (watch::Sender::new(discovery), RefCell::new(None));
        let (same_service, pushed) = (Cell::new(true), Cell::new(longest_pause(network)));
        let told = Rc::new(Told { same_service, pushed, ended: Cell::new(0) });
        Self { client: client(network), discovery, told, broker, watch }
    }

    /// Where the list is had, now and when it changes.
    pub fn discovery(&self) -> watch::Receiver<SocketAddr> {
        self.discovery.subscribe()
    }

    /// Watches the list from now on where it is pushed: nobody else asks for it then.
    pub fn start(&self) {
        if self.told.pushed.get().is_some() {
            self.ask();
        }
    }

    /// From now on the list is had elsewhere, or in another way: the watch there is opened at once, and the list in hand
    /// stays meanwhile. The old watch is given up untold, so that its end counts against nobody.
    pub fn follow(&self, discovery: SocketAddr, network: &Network) {
        let moved = self.discovery.send_replace(discovery) != discovery;
        let pushed = longest_pause(network);
        let came = self.told.pushed.replace(pushed).is_none() && pushed.is_some();
        if moved {
            self.told.same_service.set(false);
        }
        if moved || came {
            self.ask();
        }
    }

    /// Asks for the list and its changes. A watch still open is given up: being asked again means that it told nothing.
    pub fn ask(&self) {
        if let Some(watch) = self.watch.take() {
            watch.abort();
        }
        let address = *self.discovery.borrow();
        let (client, broker, told) = (self.client.clone(), self.broker.clone(), self.told.clone());
        let watch = actix_rt::spawn(async move {
            loop {
                let problem = follow(&client, address, &broker, &told).await;
                let Some(longest) = told.pushed.get() else { return broker.list_failed(&problem, false) };
                let ended = told.ended.get();
                broker.list_failed(&problem, ended > 0);
                told.ended.set(ended.saturating_add(1));
                tokio::time::sleep((FIRST_PAUSE * (1 << ended.min(8))).min(longest)).await;
            }
        });
        self.watch.replace(Some(watch));
    }
}

/// One watch, from its call to its end, which always is a failure.
async fn follow(client: &Client, address: SocketAddr, broker: &Broker, told: &Told) -> String {
    // Versions are a service's own: another one is asked for its whole list.
    let version = if told.same_service.get() { *broker.list_version().borrow() } else { 0 };
    let url = format!("http://{address}/v1/servers?stream=1&index={version}");
    let call = client.get(url).address(address).send();
    let mut response = match tokio::time::timeout(SILENCE, call).await {
        Err(_) => return "no answer".to_owned(),
        Ok(Err(error)) => return error.to_string(),
        Ok(Ok(response)) => response,
    };
    if !response.status().is_success() {
        return format!("status {}", response.status());
    }
    let (mut lines, mut answered) = (BytesMut::new(), false);
    loop {
        match tokio::time::timeout(SILENCE, response.next()).await {
            // A machine that was cut off says nothing, and its connection stays open.
            Err(_) => return "the watch fell silent".to_owned(),
            Ok(None) => return "the watch ended".to_owned(),
            Ok(Some(Err(error))) => return error.to_string(),
            Ok(Some(Ok(bytes))) => lines.extend_from_slice(&bytes),
        }
        while let Some(end) = lines.iter().position(|byte| *byte == b'\n') {
            let line = lines.split_to(end + 1);
            if line.iter().all(u8::is_ascii_whitespace) {
                // An empty line first: nothing changed since the version asked for, and the call is answered with that.
                told.ended.set(0);
                if !std::mem::replace(&mut answered, true) {
                    broker.unchanged();
                }
                continue;
            }
            answered = true;
            told.ended.set(0);
            match read_news(&line) {
                // The other process of an upgrade was told sooner, and this one by it.
                Ok(news)
                    if !news.full
                        && told.same_service.get()
                        && news.version <= *broker.list_version().borrow() =>
                {
                    broker.unchanged();
                }
                Ok(news) => {
                    let kind = if news.full { ListKind::Full } else { ListKind::Changes };
                    told.same_service.set(true);
                    broker.list(kind, news);
                }
                Err(problem) => return problem,
            }
        }
        if lines.len() > LONGEST_LINE {
            return "a line without an end".to_owned();
        }
    }
}
