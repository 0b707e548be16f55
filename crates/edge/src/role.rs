//! The edge at run time: it joins the decisions with clients, runners, stores and coordinators.

mod clients;
mod ending;
mod limits;

use std::collections::{BTreeMap, HashSet};
use std::net::SocketAddr;

use bytes::Bytes;
use displaydoc::Display;
use ruddervalve_protocol::{
    Channel, ConfigurationUpdate, CoordinatorMember, CoordinatorReply, Directory, EdgeToStore, GroupId,
    Registration, ReplicaId, RunnerList, StoreToEdge,
};
use ruddervalve_rpc::{LinkEvent, Peer};
use ruddervalve_runtime::{
    Boot, Clock, ControlEvent, ControlLinks, ProcessSignal, Signals, backoff, coordinator_addresses,
    draw_seed, link_settings,
};
use tokio::net::{TcpListener, TcpSocket};
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::{Instant, sleep_until};

use crate::core::{
    CallbackOrder, ClientNumber, DeliveryOrder, EdgeCore, EdgeOutput, EdgeSettings, JobNumber,
};
use crate::front::{Front, FrontLimits, FrontRequest, FrontResponse, Readiness};
use crate::runner::{CallbackResult, DeliveryResult, RunnerClient, RunnerSettings};
use crate::store_links::{LinkNumber, StoreLinks};

use clients::Clients;
use ending::{Ending, EndingStep};
use limits::front_limits;

/// Events that are taken before what they led to is carried out.
const EVENTS_PER_ROUND: usize = 256;
/// New connections that may wait to be accepted.
const BACKLOG: u32 = 1_024;
/// The part of its process's memory that may wait for stores.
const WAITING_PART_OF_MEMORY: u64 = 8;
const BYTES_PER_MB: u64 = 1_024 * 1_024;
/// How many other edges there may be that share the runners' connections, until it is told: a handful in each zone.
const OTHER_EDGES: u32 = 7;
/// A store that owes an answer and says nothing for this part of `LivenessMs` is suspected: many times the way there, its
/// disk's sync and the way back.
const SUSPECTS_PER_LIVENESS: u64 = 40;
/// A request that comes right after the start is held for this part of `LivenessMs`: a coordinator that leads answers well
/// within it.
const START_HOLDS_PER_LIVENESS: u64 = 8;
/// Connections to runners and receivers open within this part of `LivenessMs`.
const CONNECTS_PER_LIVENESS: u64 = 8;
/// An answer is waited for this part of `LivenessMs` longer than the runner may work: many times the way there and back, and
/// little beside any time-out.
const ANSWER_MARGINS_PER_LIVENESS: u64 = 80;

/// Why an edge cannot start.
#[derive(Debug, Display)]
pub enum EdgeError {
    /// ListenAddrs/{0} is not set: set it to an address of this machine
    NoAddress(&'static str),
    /// the address {0} cannot be listened on ({1}): check that no other process has it
    Listen(SocketAddr, std::io::Error),
    /// signals cannot be had ({0}): check the limits of the process
    Signals(std::io::Error),
}

impl std::error::Error for EdgeError {}

#[derive(Debug)]
enum Event {
    Request(ClientNumber, Box<FrontRequest>, oneshot::Sender<FrontResponse>),
    ClientLeft(ClientNumber),
    Delivered(JobNumber, Box<DeliveryResult>),
    CalledBack(GroupId, Box<CallbackOrder>, CallbackResult),
    Store(ReplicaId, LinkNumber, Box<LinkEvent<StoreToEdge>>),
}

struct Edge {
    boot: Boot,
    clock: Clock,
    core: EdgeCore,
    front: Front,
    runners: RunnerClient,
    links: ControlLinks,
    /// The coordinators that the newest directory names.
    coordinators: Vec<CoordinatorMember>,
    stores: StoreLinks<Peer>,
    clients: BTreeMap<ClientNumber, oneshot::Sender<FrontResponse>>,
    events: mpsc::UnboundedSender<Event>,
    limits: watch::Sender<FrontLimits>,
    ready: watch::Sender<bool>,
    ending: Ending,
}

/// Runs an edge until SIGTERM.
///
/// # Errors
/// It cannot start.
pub async fn run_edge(boot: Boot) -> Result<(), EdgeError> {
    let clock = Clock::start();
    let front = boot.settings.listen.front.ok_or(EdgeError::NoAddress("Front"))?;
    let readiness = boot.settings.listen.readiness.ok_or(EdgeError::NoAddress("Readiness"))?;
    let mut signals = Signals::listen().map_err(EdgeError::Signals)?;
    let front = listen(front).map_err(|error| EdgeError::Listen(front, error))?;
    let readiness = listen(readiness).map_err(|error| EdgeError::Listen(readiness, error))?;
    let (mut edge, mut events) = Edge::start(boot, clock);
    edge.serve(front, readiness);
    let mut heartbeat = tokio::time::interval(edge.links.heartbeat_interval());
    loop {
        let wake = edge.next_wake();
        tokio::select! {
            Some(event) = events.recv() => edge.take(event),
            event = edge.links.next() => edge.control(event),
            signal = signals.next() => edge.signal(signal),
            _ = heartbeat.tick() => edge.heartbeat(),
            () = sleep_until(wake) => {}
        }
        for _ in 0..EVENTS_PER_ROUND {
            let Ok(event) = events.try_recv() else { break };
            edge.take(event);
        }
        edge.settle();
        if edge.ended() {
            return Ok(());
        }
    }
}

fn listen(address: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

fn runner_settings(boot: &Boot) -> RunnerSettings {
    let bounds = &boot.settings.bounds;
    RunnerSettings {
        connect_timeout_ms: (bounds.liveness_ms / CONNECTS_PER_LIVENESS).max(1),
        user_timeout_ms: bounds.liveness_ms.max(1),
        answer_margin_ms: bounds.liveness_ms / ANSWER_MARGINS_PER_LIVENESS,
        ..RunnerSettings::default()
    }
}

impl Edge {
    fn start(boot: Boot, clock: Clock) -> (Self, mpsc::UnboundedReceiver<Event>) {
        let settings = EdgeSettings {
            locality: boot.settings.locality(),
            seed: draw_seed(),
            other_edges: OTHER_EDGES,
            ack_timeout_ms: boot.settings.bounds.ack_timeout_ms,
            callback_timeout_ms: boot.settings.bounds.callback_timeout_ms,
            callbacks_at_once: RunnerSettings::default().callback_connections,
            suspect_after_ms: (boot.settings.bounds.liveness_ms / SUSPECTS_PER_LIVENESS).max(1),
            start_hold_ms: boot.settings.bounds.liveness_ms / START_HOLDS_PER_LIVENESS,
            max_waiting_bytes: usize::try_from(
                boot.settings.limits.memory_mb * BYTES_PER_MB / WAITING_PART_OF_MEMORY,
            )
            .unwrap_or(usize::MAX),
            store_window_bytes: link_settings(&boot.settings).window_bytes,
        };
        tracing::info!(node = boot.settings.node, incarnation = boot.incarnation.0, "edge starts");
        let registration = Registration::Edge { incarnation: boot.incarnation };
        let mut links = ControlLinks::new(&boot, registration);
        links.set_addresses(&coordinator_addresses(&boot.settings, &[]));
        let limits = watch::Sender::new(front_limits(&boot, None));
        let (events, received) = mpsc::unbounded_channel();
        let edge = Self {
            core: EdgeCore::new(settings),
            front: Front::new(limits.subscribe()),
            runners: RunnerClient::new(runner_settings(&boot)),
            links,
            coordinators: Vec::new(),
            stores: StoreLinks::new(),
            clients: BTreeMap::new(),
            events,
            limits,
            ready: watch::Sender::new(false),
            ending: Ending::No,
            boot,
            clock,
        };
        (edge, received)
    }

    /// Serves clients and the platform's question in tasks of their own.
    fn serve(&self, front: TcpListener, readiness: TcpListener) {
        let clients = Clients::new(self.events.clone());
        let server = self.front.clone();
        tokio::task::spawn_local(async move { server.serve(front, clients).await });
        let answer = Readiness::new(self.ready.subscribe());
        let server = Front::new(self.limits.subscribe());
        tokio::task::spawn_local(async move { server.serve(readiness, answer).await });
    }

    fn now(&self) -> u64 {
        self.clock.now()
    }

    fn next_wake(&self) -> Instant {
        let core = self.core.next_wake().unwrap_or(u64::MAX);
        let ending = self.ending.next_wake().unwrap_or(u64::MAX);
        let longest = self.now() + self.boot.settings.bounds.liveness_ms;
        self.clock.instant(core.min(ending).min(longest))
    }

    fn heartbeat(&mut self) {
        self.links.heartbeat();
        for outbox in self.stores.outboxes() {
            outbox.send(&EdgeToStore::Heartbeat);
        }
    }

    // Events.

    fn take(&mut self, event: Event) {
        let now = self.now();
        match event {
            Event::Request(client, request, reply) => {
                self.clients.insert(client, reply);
                self.core.request(now, client, *request);
            }
            Event::ClientLeft(client) => {
                self.clients.remove(&client);
                self.core.client_left(client);
            }
            Event::Delivered(job, result) => self.core.delivered(now, job, &result),
            Event::CalledBack(group, order, result) => self.core.called_back(now, group, &order, result),
            Event::Store(store, link, event) => self.store(now, store, link, *event),
        }
    }

    fn store(&mut self, now: u64, store: ReplicaId, link: LinkNumber, event: LinkEvent<StoreToEdge>) {
        match event {
            LinkEvent::Up(outbox) => {
                // What was decided for the connection before must not go out on this one.
                self.carry_out_all();
                if self.stores.up(store, link, outbox) {
                    tracing::info!(store = store.0, "connected to a store");
                    self.core.store_up(now, store);
                }
            }
            LinkEvent::Message(message) => {
                if self.stores.is_up(store, link) {
                    self.core.store_says(now, store, message);
                }
            }
            // The next round asks all connections how much waits on them.
            LinkEvent::Room => {}
            LinkEvent::Down(error) => {
                if self.stores.down(store, link) {
                    tracing::info!(store = store.0, %error, "the connection to a store has ended");
                    self.core.store_down(now, store);
                } else {
                    tracing::debug!(store = store.0, %error, "no connection to a store");
                }
            }
        }
    }

    fn control(&mut self, event: ControlEvent) {
        let now = self.now();
        match event.reply {
            Some(CoordinatorReply::Configuration(update)) => self.configure(now, &update),
            Some(CoordinatorReply::Directory(directory)) => self.connect(now, &directory),
            Some(CoordinatorReply::Runners(list)) => self.runners(now, &list),
            Some(CoordinatorReply::Alive { term, edges, .. }) => {
                self.core.coordinator_leads(now, term, edges);
            }
            _ => {}
        }
    }

    fn configure(&mut self, now: u64, update: &ConfigurationUpdate) {
        if self.core.set_configuration(now, update) {
            let configuration = self.core.configuration().map(AsRef::as_ref);
            self.limits.send_replace(front_limits(&self.boot, configuration));
            tracing::info!(version = update.version, "configuration in force");
        }
    }

    fn runners(&mut self, now: u64, list: &RunnerList) {
        self.core.set_runners(now, list);
        let listed = list.runners.iter().filter_map(|runner| runner.address.parse().ok());
        let configuration = self.core.configuration();
        let fixed = configuration.iter().flat_map(|configuration| configuration.services());
        let fixed = fixed.filter_map(|service| service.static_endpoint);
        let addresses: HashSet<SocketAddr> = listed.chain(fixed).collect();
        self.runners.retain(&addresses);
    }

    /// Keeps links to all stores and all coordinators of the directory.
    fn connect(&mut self, now: u64, directory: &Directory) {
        if !self.core.set_directory(now, directory) {
            return;
        }
        let addresses: BTreeMap<ReplicaId, SocketAddr> = directory
            .stores
            .iter()
            .filter_map(|store| Some((store.replica, store.address.parse().ok()?)))
            .collect();
        for store in self.stores.close_others(&addresses) {
            self.core.store_down(now, store);
        }
        for (store, address) in addresses {
            self.open(store, address);
        }
        self.coordinators.clone_from(&directory.coordinators);
        self.connect_coordinators();
    }

    fn connect_coordinators(&mut self) {
        let addresses = coordinator_addresses(&self.boot.settings, &self.coordinators);
        self.links.set_addresses(&addresses);
    }

    /// Opens a link to a store that has none.
    fn open(&mut self, store: ReplicaId, address: SocketAddr) {
        let events = self.events.clone();
        let greeting = self.boot.greeting(Channel::Delivery);
        let settings = link_settings(&self.boot.settings);
        let backoff = backoff(&self.boot.settings, draw_seed());
        self.stores.open(store, address, |link| {
            let sink = move |event| drop(events.send(Event::Store(store, link, Box::new(event))));
            Peer::keep(address, greeting, settings, backoff, sink)
        });
    }

    // What the decisions want done.

    fn settle(&mut self) {
        let now = self.now();
        self.carry_out_all();
        self.look_at_connections(now);
        self.core.tick(now);
        self.carry_out_all();
        self.advance_end(now);
        let ready = self.core.is_ready();
        self.ready.send_if_modified(|known| std::mem::replace(known, ready) != ready);
    }

    /// Tells the decisions how much waits on the connections to stores.
    fn look_at_connections(&mut self, now: u64) {
        for store in self.core.unsent_stores() {
            if let Some(outbox) = self.stores.outbox(store) {
                self.core.store_unsent(now, store, outbox.queued_bytes());
            }
        }
    }

    fn carry_out_all(&mut self) {
        for output in self.core.outputs() {
            self.carry_out(output);
        }
    }

    fn carry_out(&mut self, output: EdgeOutput) {
        match output {
            EdgeOutput::Respond(client, response) => {
                if let Some(reply) = self.clients.remove(&client) {
                    let _ = reply.send(response);
                }
            }
            EdgeOutput::Send(store, message) => {
                if let Some(outbox) = self.stores.outbox(store) {
                    outbox.send(&message);
                }
            }
            EdgeOutput::Deliver(order) => self.deliver(*order),
            EdgeOutput::CallBack(group, order) => self.call_back(group, order),
        }
    }

    fn deliver(&self, order: DeliveryOrder) {
        let (runners, events) = (self.runners.clone(), self.events.clone());
        tokio::task::spawn_local(async move {
            let result = runners.deliver(order.delivery).await;
            let _ = events.send(Event::Delivered(order.job, Box::new(result)));
        });
    }

    fn call_back(&self, group: GroupId, order: Box<CallbackOrder>) {
        let (runners, events) = (self.runners.clone(), self.events.clone());
        tokio::task::spawn_local(async move {
            let (host, body) = (order.address.to_string(), Bytes::from(order.body.clone()));
            let result = runners.call_back(order.address, &host, &order.path, body, order.timeout_ms).await;
            let _ = events.send(Event::CalledBack(group, order, result));
        });
    }

    // The end.

    fn signal(&mut self, signal: ProcessSignal) {
        let now = self.now();
        match signal {
            ProcessSignal::Terminate if self.ending == Ending::No => {
                tracing::info!("SIGTERM: leaving");
                self.ending = Ending::begin(now, self.boot.settings.bounds.grace_period_ms);
                self.core.leave(now);
            }
            ProcessSignal::Terminate => {}
            ProcessSignal::Reload => {
                if self.boot.reload() {
                    tracing::info!("settings reloaded");
                    self.connect_coordinators();
                    let configuration = self.core.configuration().map(AsRef::as_ref);
                    self.limits.send_replace(front_limits(&self.boot, configuration));
                }
            }
        }
    }

    fn advance_end(&mut self, now: u64) {
        while let Some(step) = self.ending.advance(now) {
            match step {
                EndingStep::Drain => {
                    self.front.stop_accepting();
                    self.front.drain(0);
                }
                EndingStep::AnswerAll => {
                    self.core.answer_all(now);
                    self.carry_out_all();
                }
            }
        }
    }

    fn ended(&self) -> bool {
        let idle = self.core.is_idle() && self.front.counters().open_connections == 0;
        self.ending.is_over(self.now(), idle)
    }
}
