//! The coordinator at run time: it joins [`CoordinatorCore`] with disk, network and clock.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use ruddervalve_protocol::{Channel, CoordinatorReply, CoordinatorRequest, Registration};
use ruddervalve_rpc::{Outbox, run};
use ruddervalve_runtime::{
    Accepted, Boot, Clock, ControlEvent, ControlLinks, InternalListener, InternalPort, NodeEvent,
    ProcessSignal, ReplicaNode, Signals, StartedNode, draw_seed, internal_address, link_settings,
};
use tokio::net::TcpListener;
use tokio::sync::{mpsc, oneshot};
use tokio::time::{Instant, sleep_until};

use crate::core::{CallerNumber, CoordinatorCore, CoordinatorOutput, OperatorReply};
use crate::error::CoordinatorError;
use crate::founding::{founder_identity, founders};
use crate::list_client;
use crate::listing::{ListAnswer, ListCall};
use crate::operator_server::{self, OperatorRequest};

/// The part of the process's memory that the body of one operator's call may take.
const BODY_PART_OF_MEMORY: u64 = 16;
const BYTES_PER_MB: u64 = 1_024 * 1_024;
/// Events that are taken before what they led to is carried out.
const EVENTS_PER_ROUND: usize = 256;

/// What happened on a connection, or came of a call.
#[derive(Debug)]
enum Event {
    Request(u64, CoordinatorRequest),
    Ended(u64),
    List(u64, ListAnswer),
}

struct Coordinator {
    boot: Boot,
    clock: Clock,
    core: CoordinatorCore,
    node: ReplicaNode,
    outboxes: BTreeMap<u64, Outbox>,
    /// Calls of the operator that wait.
    callers: BTreeMap<CallerNumber, oneshot::Sender<OperatorReply>>,
    last_caller: u64,
    links: ControlLinks,
    events: mpsc::UnboundedSender<Event>,
}

/// Runs a coordinator until SIGTERM.
///
/// # Errors
/// It cannot start, or its disk failed.
pub async fn run_coordinator(boot: Boot) -> Result<(), CoordinatorError> {
    let clock = Clock::start();
    let settings = &boot.settings;
    let control = settings.listen.control_plane.ok_or(CoordinatorError::NoControlAddress)?;
    let internal = internal_address(settings, settings.ip, InternalPort::Coordinator);
    let mut signals = Signals::listen().map_err(CoordinatorError::Signals)?;
    let mut listener = InternalListener::bind(internal, link_settings(settings))
        .map_err(|error| CoordinatorError::Internal(internal, error))?;
    let operator =
        TcpListener::bind(control).await.map_err(|error| CoordinatorError::Control(control, error))?;
    let (mut coordinator, mut events) = Coordinator::start(boot, clock, internal, control)?;
    let (requests, mut operator_requests) = mpsc::unbounded_channel();
    let body = coordinator.boot.settings.limits.memory_mb * BYTES_PER_MB / BODY_PART_OF_MEMORY;
    let body = usize::try_from(body).unwrap_or(usize::MAX);
    let server = tokio::task::spawn_local(operator_server::serve(operator, requests, body));
    let mut heartbeat = tokio::time::interval(coordinator.links.heartbeat_interval());
    coordinator.settle()?;
    while !coordinator.core.ended(coordinator.clock.now()) {
        let wake = coordinator.next_wake();
        tokio::select! {
            event = coordinator.node.next() => coordinator.node_event(event)?,
            Some(event) = events.recv() => coordinator.take(event),
            Some(request) = operator_requests.recv() => coordinator.operator(request),
            accepted = listener.next() => coordinator.accept(accepted),
            event = coordinator.links.next() => coordinator.control(event),
            signal = signals.next() => coordinator.signal(signal),
            _ = heartbeat.tick() => coordinator.heartbeat(),
            () = sleep_until(wake) => {}
        }
        for _ in 0..EVENTS_PER_ROUND {
            if let Some(event) = coordinator.node.ready() {
                coordinator.node_event(event)?;
            } else if let Ok(event) = events.try_recv() {
                coordinator.take(event);
            } else {
                break;
            }
        }
        coordinator.settle()?;
    }
    server.abort();
    coordinator.node.shutdown();
    Ok(())
}

impl Coordinator {
    fn start(
        boot: Boot,
        clock: Clock,
        internal: SocketAddr,
        control: SocketAddr,
    ) -> Result<(Self, mpsc::UnboundedReceiver<Event>), CoordinatorError> {
        let founding = founders(&boot.settings).is_some().then(|| founder_identity(internal));
        let StartedNode { node, recovered, is_new } = ReplicaNode::start(&boot, founding)?;
        let (seed, now) = (draw_seed(), clock.now());
        let core = CoordinatorCore::start(&boot.settings, &recovered, is_new, internal, control, seed, now)?;
        tracing::info!(
            node = core.member().node,
            identity = core.member().replica.0,
            is_new,
            is_member = core.is_member(),
            applied = core.applied(),
            "coordinator starts"
        );
        let links = ControlLinks::new(&boot, Registration::Coordinator(core.member().clone()));
        let (events, received) = mpsc::unbounded_channel();
        let coordinator = Self {
            boot,
            clock,
            core,
            node,
            outboxes: BTreeMap::new(),
            callers: BTreeMap::new(),
            last_caller: 0,
            links,
            events,
        };
        Ok((coordinator, received))
    }

    fn heartbeat(&mut self) {
        if self.core.leads(self.clock.now()) {
            self.links.leads_itself();
        }
        self.links.heartbeat();
    }

    fn next_wake(&self) -> Instant {
        self.clock.instant(self.core.next_wake(self.clock.now()))
    }

    fn node_event(&mut self, event: NodeEvent) -> Result<(), CoordinatorError> {
        if let Some(input) = self.node.handle(event)? {
            self.core.replica_input(self.clock.now(), input);
        }
        Ok(())
    }

    fn accept(&mut self, accepted: Accepted) {
        let Accepted { greeting, stream } = accepted;
        match greeting.channel {
            Channel::Replica => self.node.serve(&self.boot, stream),
            Channel::Control => {
                let settings = link_settings(&self.boot.settings);
                let outbox = Outbox::new(&settings);
                let number = self.core.session_opened(self.clock.now());
                self.outboxes.insert(number, outbox.clone());
                let events = self.events.clone();
                tokio::task::spawn_local(async move {
                    let on_message = |request| drop(events.send(Event::Request(number, request)));
                    let error = run(stream, &settings, &outbox, on_message).await;
                    tracing::debug!(%error, node = greeting.node, "a session ended");
                    let _ = events.send(Event::Ended(number));
                });
            }
            Channel::Delivery => {
                tracing::debug!(node = greeting.node, "a delivery link came to a coordinator")
            }
        }
    }

    fn control(&mut self, event: ControlEvent) {
        if let Some(reply) = event.reply {
            self.core.coordinator_says(self.clock.now(), event.from, reply);
        }
    }

    fn signal(&mut self, signal: ProcessSignal) {
        match signal {
            ProcessSignal::Terminate => {
                tracing::info!("SIGTERM: handing over and ending");
                self.core.terminate(self.clock.now());
            }
            ProcessSignal::Reload => {
                self.boot.reload();
                self.core.set_settings(&self.boot.settings);
            }
        }
    }

    fn take(&mut self, event: Event) {
        let now = self.clock.now();
        match event {
            Event::Request(number, request) => self.core.session_says(now, number, request),
            Event::Ended(number) => {
                self.outboxes.remove(&number);
                self.core.session_ended(now, number);
            }
            Event::List(number, answer) => self.core.list_answered(now, number, answer),
        }
    }

    fn operator(&mut self, request: OperatorRequest) {
        self.last_caller += 1;
        let caller = CallerNumber(self.last_caller);
        self.callers.insert(caller, request.reply);
        self.core.operator(self.clock.now(), caller, request.call);
    }

    /// Carries out all that events led to.
    fn settle(&mut self) -> Result<(), CoordinatorError> {
        self.core.settle(self.clock.now())?;
        self.node.carry_out(self.core.replica_outputs());
        self.send_to_sessions();
        for output in self.core.outputs() {
            self.carry_out(output);
        }
        if self.node.checkpoint_is_due() {
            self.node.write_checkpoint(self.core.checkpoint());
        }
        Ok(())
    }

    fn send_to_sessions(&mut self) {
        let (mut whole, mut changes) = (0, 0);
        for (number, reply) in self.core.session_outputs() {
            let Some(outbox) = self.outboxes.get(&number) else { continue };
            let is_sent = outbox.send(&reply);
            match reply {
                CoordinatorReply::Configuration(_) if is_sent => whole += 1,
                CoordinatorReply::ConfigurationChange(_) if is_sent => changes += 1,
                _ => {}
            }
        }
        if whole + changes > 0 {
            let version = self.core.state().configuration_version();
            let queued_bytes: usize = self.outboxes.values().map(Outbox::queued_bytes).sum();
            tracing::debug!(version, whole, changes, queued_bytes, "configuration sent");
        }
    }

    fn carry_out(&mut self, output: CoordinatorOutput) {
        match output {
            CoordinatorOutput::Reply(caller, reply) => {
                if let Some(waiting) = self.callers.remove(&caller) {
                    let _ = waiting.send(reply);
                }
            }
            CoordinatorOutput::NoReply(caller) => {
                self.callers.remove(&caller);
            }
            CoordinatorOutput::CallPlatform(call) => self.call_platform(call),
            CoordinatorOutput::Connect => {
                self.node.set_peers(&self.boot, &self.core.coordinators());
                self.links.set_addresses(&self.core.others());
            }
        }
    }

    fn call_platform(&self, call: ListCall) {
        let Some(provider) = self.boot.settings.cloud_provider else { return };
        let events = self.events.clone();
        let limit = Duration::from_millis(call.give_up_ms.saturating_sub(self.clock.now()));
        tokio::task::spawn_local(async move {
            let answer = list_client::call(provider.address, &call.target, limit).await;
            let _ = events.send(Event::List(call.number, answer));
        });
    }
}
