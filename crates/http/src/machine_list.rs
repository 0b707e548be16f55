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
use ruddervalve_broker::{Broker, ListNews};
use serde::{Deserialize, Serialize};
use tokio::sync::watch;
use tokio::task::JoinHandle;

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
    /// The list in hand is this discovery's: its version is one to go on from.
    same_service: Rc<Cell<bool>>,
    broker: Rc<Broker>,
    watch: RefCell<Option<JoinHandle<()>>>,
}

impl MachineList {
    /// Follows the list of a discovery service for a broker.
    pub fn new(client: Client, discovery: SocketAddr, broker: Rc<Broker>) -> Self {
        let (discovery, watch) = (watch::Sender::new(discovery), RefCell::new(None));
        Self { client, discovery, same_service: Rc::new(Cell::new(true)), broker, watch }
    }

    /// Where the list is had, now and when it changes.
    pub fn discovery(&self) -> watch::Receiver<SocketAddr> {
        self.discovery.subscribe()
    }

    /// From now on the list is had elsewhere: the watch there is opened at once, and the list in hand stays meanwhile.
    /// The old watch is given up untold, so that its end counts against nobody.
    pub fn follow(&self, discovery: SocketAddr) {
        if self.discovery.send_replace(discovery) != discovery {
            self.same_service.set(false);
            self.ask();
        }
    }

    /// Asks for the list and its changes. A watch still open is given up: being asked again means that it told nothing.
    pub fn ask(&self) {
        if let Some(watch) = self.watch.take() {
            watch.abort();
        }
        // Versions are a service's own: another one is asked for its whole list.
        let version = if self.same_service.get() { *self.broker.list_version().borrow() } else { 0 };
        let address = *self.discovery.borrow();
        let url = format!("http://{address}/v1/servers?stream=1&index={version}");
        let (client, broker) = (self.client.clone(), self.broker.clone());
        let same_service = self.same_service.clone();
        let watch = actix_rt::spawn(async move {
            let problem = follow(client, address, url, &broker, &same_service).await;
            broker.list_failed(&problem);
        });
        self.watch.replace(Some(watch));
    }
}

/// One watch, from its call to its end, which always is a failure.
async fn follow(
    client: Client,
    address: SocketAddr,
    url: String,
    broker: &Broker,
    same_service: &Cell<bool>,
) -> String {
    let call = client.get(url).address(address).send();
    let mut response = match tokio::time::timeout(SILENCE, call).await {
        Err(_) => return "no answer".to_owned(),
        Ok(Err(error)) => return error.to_string(),
        Ok(Ok(response)) => response,
    };
    if !response.status().is_success() {
        return format!("status {}", response.status());
    }
    let (mut lines, mut told) = (BytesMut::new(), false);
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
                if !std::mem::replace(&mut told, true) {
                    broker.unchanged();
                }
                continue;
            }
            told = true;
            match read_news(&line) {
                // The other process of an upgrade was told sooner, and this one by it.
                Ok(news)
                    if !news.full
                        && same_service.get()
                        && news.version <= *broker.list_version().borrow() =>
                {
                    broker.unchanged();
                }
                Ok(news) => {
                    let kind = if news.full { ListKind::Full } else { ListKind::Changes };
                    same_service.set(true);
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
