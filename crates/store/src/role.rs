//! The store at run time: it joins [`StoreCore`] with disk, network and clock.

use std::collections::BTreeMap;

use ruddervalve_protocol::{Channel, EdgeToStore, Registration, StoreMember};
use ruddervalve_rpc::{Outbox, run_paced};
use ruddervalve_runtime::{
    Accepted, Boot, Clock, ControlEvent, ControlLinks, InternalListener, InternalPort, ProcessSignal,
    ReplicaNode, Signals, StartedNode, draw_seed, internal_address, link_settings, seed_addresses,
};
use tokio::sync::mpsc;
use tokio::time::{Instant, sleep_until};

use crate::core::{StoreCore, StoreOutput};
use crate::edges::EdgeNumber;
use crate::error::StoreError;

/// Events that are taken before what they led to is carried out.
const EVENTS_PER_ROUND: usize = 256;

#[derive(Debug)]
enum Event {
    Edge(EdgeNumber, Box<EdgeToStore>),
    /// There is room again on an edge's connection.
    EdgeRoom,
    EdgeEnded(EdgeNumber),
}

struct Store {
    boot: Boot,
    clock: Clock,
    core: StoreCore,
    node: ReplicaNode,
    outboxes: BTreeMap<EdgeNumber, Outbox>,
    links: ControlLinks,
    events: mpsc::UnboundedSender<Event>,
}

/// Runs a store until SIGTERM.
///
/// # Errors
/// It cannot start, or its disk failed.
pub async fn run_store(boot: Boot) -> Result<(), StoreError> {
    let clock = Clock::start();
    let internal = internal_address(&boot.settings, boot.settings.ip, InternalPort::Store);
    let mut signals = Signals::listen().map_err(StoreError::Signals)?;
    let mut listener = InternalListener::bind(internal, link_settings(&boot.settings))
        .map_err(|error| StoreError::Internal(internal, error))?;
    let (mut store, mut events) = Store::start(boot, clock, internal.to_string())?;
    let mut heartbeat = tokio::time::interval(store.links.heartbeat_interval());
    store.settle()?;
    while !store.core.ended(clock.now()) {
        let wake = store.next_wake();
        tokio::select! {
            event = store.node.next() => store.node_event(event)?,
            Some(event) = events.recv() => store.take(event),
            accepted = listener.next() => store.accept(accepted),
            event = store.links.next() => store.control(event),
            signal = signals.next() => store.signal(signal),
            _ = heartbeat.tick() => store.links.heartbeat(),
            () = sleep_until(wake) => {}
        }
        for _ in 0..EVENTS_PER_ROUND {
            if let Some(event) = store.node.ready() {
                store.node_event(event)?;
            } else if let Ok(event) = events.try_recv() {
                store.take(event);
            } else {
                break;
            }
        }
        store.settle()?;
    }
    store.node.shutdown();
    Ok(())
}

impl Store {
    fn start(
        boot: Boot,
        clock: Clock,
        address: String,
    ) -> Result<(Self, mpsc::UnboundedReceiver<Event>), StoreError> {
        let StartedNode { node, recovered, is_new } = ReplicaNode::start(&boot, None)?;
        let core = StoreCore::start(&boot.settings, &recovered, draw_seed(), clock.now(), clock.wall())?;
        let member = StoreMember {
            node: boot.settings.node.clone(),
            replica: core.identity(),
            address,
            zone: boot.settings.zone.clone(),
        };
        tracing::info!(
            node = member.node,
            identity = member.replica.0,
            is_new,
            shards = core.shards().len(),
            "store starts"
        );
        let mut links = ControlLinks::new(&boot, Registration::Store(member));
        links.set_addresses(&seed_addresses(&boot.settings));
        let (events, received) = mpsc::unbounded_channel();
        let store = Self { boot, clock, core, node, outboxes: BTreeMap::new(), links, events };
        Ok((store, received))
    }

    fn next_wake(&self) -> Instant {
        self.clock.instant(self.core.next_wake(self.clock.now()))
    }

    fn node_event(&mut self, event: ruddervalve_runtime::NodeEvent) -> Result<(), StoreError> {
        if let Some(input) = self.node.handle(event)? {
            self.core.replica_input(self.clock.now(), input);
        }
        Ok(())
    }

    fn signal(&mut self, signal: ProcessSignal) {
        match signal {
            ProcessSignal::Terminate => {
                tracing::info!("SIGTERM: handing shards over and ending");
                self.core.terminate(self.clock.now());
            }
            ProcessSignal::Reload => {
                self.boot.reload();
                self.core.set_settings(&self.boot.settings);
            }
        }
    }

    fn control(&mut self, event: ControlEvent) {
        if let Some(reply) = event.reply {
            self.core.coordinator_says(self.clock.now(), reply);
        }
    }

    fn accept(&mut self, accepted: Accepted) {
        let Accepted { greeting, stream } = accepted;
        match greeting.channel {
            Channel::Replica => self.node.serve(&self.boot, stream),
            Channel::Delivery => {
                let settings = link_settings(&self.boot.settings);
                let outbox = Outbox::new(&settings);
                let number = self.core.edge_opened(self.clock.now(), &greeting);
                self.outboxes.insert(number, outbox.clone());
                let events = self.events.clone();
                tokio::task::spawn_local(async move {
                    let on_message = |message| drop(events.send(Event::Edge(number, Box::new(message))));
                    let on_room = || drop(events.send(Event::EdgeRoom));
                    let error = run_paced(stream, &settings, &outbox, on_message, on_room).await;
                    tracing::info!(%error, node = greeting.node, "an edge's connection ended");
                    let _ = events.send(Event::EdgeEnded(number));
                });
            }
            Channel::Control => tracing::debug!(node = greeting.node, "a control link came to a store"),
        }
    }

    fn take(&mut self, event: Event) {
        let now = self.clock.now();
        match event {
            Event::Edge(number, message) => self.core.edge_says(now, number, *message),
            // The next round asks all connections how much waits on them.
            Event::EdgeRoom => {}
            Event::EdgeEnded(number) => {
                self.outboxes.remove(&number);
                self.core.edge_ended(now, number);
            }
        }
    }

    /// Carries out all that events led to.
    fn settle(&mut self) -> Result<(), StoreError> {
        self.carry_out_all();
        self.look_at_connections();
        self.core.settle(self.clock.now(), self.clock.wall())?;
        self.node.carry_out(self.core.replica_outputs());
        self.carry_out_all();
        if self.node.checkpoint_is_due() {
            self.node.write_checkpoint(self.core.checkpoint());
        }
        Ok(())
    }

    fn carry_out_all(&mut self) {
        for output in self.core.outputs() {
            self.carry_out(output);
        }
    }

    /// Tells the decisions how much waits on the connections of edges.
    fn look_at_connections(&mut self) {
        for number in self.core.unsent_edges() {
            if let Some(outbox) = self.outboxes.get(&number) {
                self.core.edge_unsent(number, outbox.queued_bytes());
            }
        }
    }

    fn carry_out(&mut self, output: StoreOutput) {
        match output {
            StoreOutput::Edge(number, message) => {
                if let Some(outbox) = self.outboxes.get(&number) {
                    outbox.send(&message);
                }
            }
            StoreOutput::CloseEdge(number) => {
                if let Some(outbox) = self.outboxes.get(&number) {
                    outbox.close();
                }
            }
            StoreOutput::Coordinators(request) => self.links.send(&request),
            StoreOutput::Connect => {
                self.node.set_peers(&self.boot, &self.core.peers());
                self.links.set_addresses(&self.core.coordinators());
            }
        }
    }
}
