//! A store in the simulation.

use std::collections::BTreeMap;

use ruddervalve_configuration::Settings;
use ruddervalve_disk::ProcessState;
use ruddervalve_protocol::{Channel, Registration, StoreMember};
use ruddervalve_replication::{Checkpoint, ReplicaHost};
use ruddervalve_runtime::{InternalPort, internal_address, seed_addresses};
use ruddervalve_store::{EdgeNumber, StoreCore, StoreError, StoreOutput};

use crate::process::{ConnectionId, Effect, Input, Payload, Process};
use crate::replica_links::{RoleLinks, replica_input};

/// A store.
pub struct StoreProcess {
    core: StoreCore,
    links: RoleLinks,
    edges: BTreeMap<ConnectionId, EdgeNumber>,
    connections: BTreeMap<EdgeNumber, ConnectionId>,
    /// The time of day at the process's start.
    wall: u64,
}

impl StoreProcess {
    /// Starts a store on what its disk holds.
    ///
    /// # Errors
    /// The state cannot be read.
    pub fn start(
        settings: &Settings,
        recovered: &ProcessState,
        seed: u64,
        now: u64,
        wall: u64,
        effects: &mut Vec<Effect>,
    ) -> Result<Self, StoreError> {
        let core = StoreCore::start(settings, recovered, seed, now, wall)?;
        let member = StoreMember {
            node: settings.node.clone(),
            replica: core.identity(),
            address: internal_address(settings, settings.ip, InternalPort::Store).to_string(),
            zone: settings.zone.clone(),
        };
        let mut links = RoleLinks::new(Registration::Store(member));
        links.set(None, &[], &seed_addresses(settings), &[], effects);
        let (edges, connections) = (BTreeMap::new(), BTreeMap::new());
        let mut store = Self { core, links, edges, connections, wall: wall.saturating_sub(now) };
        store.settle(now, effects);
        Ok(store)
    }

    fn settle(&mut self, now: u64, effects: &mut Vec<Effect>) {
        // The network of the simulation takes all that is sent at once.
        for number in self.core.unsent_edges() {
            self.core.edge_unsent(number, 0);
        }
        if let Err(error) = self.core.settle(now, self.wall + now) {
            effects.push(Effect::Failed(error.to_string()));
        }
        self.links.carry_out(self.core.replica_outputs(), effects);
        for output in self.core.outputs() {
            match output {
                StoreOutput::Edge(number, message) => {
                    if let Some(connection) = self.connections.get(&number) {
                        effects.push(Effect::Send(*connection, Payload::ToEdge(message)));
                    }
                }
                StoreOutput::CloseEdge(number) => {
                    if let Some(connection) = self.connections.get(&number) {
                        effects.push(Effect::Close(*connection));
                    }
                }
                StoreOutput::Coordinators(request) => self.links.tell(&request, effects),
                StoreOutput::Connect => {
                    let own = Some(self.core.identity());
                    self.links.set(own, &self.core.peers(), &self.core.coordinators(), &[], effects);
                }
            }
        }
    }

    fn take(&mut self, now: u64, input: Input, effects: &mut Vec<Effect>) {
        match input {
            Input::Heartbeat => self.links.heartbeat(false, effects),
            Input::LinkUp(link, connection) => self.links.up(link, connection, effects),
            Input::LinkDown(link) => {
                if let Some(input) = self.links.down(link) {
                    self.core.replica_input(now, input);
                }
            }
            Input::Accepted(connection, greeting) if greeting.channel == Channel::Delivery => {
                let number = self.core.edge_opened(now, &greeting);
                self.edges.insert(connection, number);
                self.connections.insert(number, connection);
            }
            Input::Ended(connection) => {
                if let Some(number) = self.edges.remove(&connection) {
                    self.connections.remove(&number);
                    self.core.edge_ended(now, number);
                }
            }
            Input::Message(connection, Payload::ToStore(message)) => {
                if let Some(number) = self.edges.get(&connection) {
                    #[cfg(feature = "mutants")]
                    crate::mutants::store_hears(connection, &message, effects);
                    self.core.edge_says(now, *number, message);
                }
            }
            Input::Message(connection, Payload::Reply(reply)) => {
                if let Some((_, reply)) = self.links.hear(connection, reply, effects) {
                    self.core.coordinator_says(now, reply);
                }
            }
            Input::Terminate => self.core.terminate(now),
            _ => {}
        }
    }
}

impl Process for StoreProcess {
    fn handle(&mut self, now: u64, input: Input, effects: &mut Vec<Effect>) {
        match replica_input(input) {
            Ok(input) => self.core.replica_input(now, input),
            Err(input) => self.take(now, input, effects),
        }
        self.settle(now, effects);
    }

    fn next_wake(&self, now: u64) -> u64 {
        self.core.next_wake(now)
    }

    fn step_clock(&mut self, by_ms: i64) {
        self.wall = self.wall.saturating_add_signed(by_ms);
    }

    fn ended(&self, now: u64) -> bool {
        self.core.ended(now)
    }

    fn host(&self) -> Option<&ReplicaHost> {
        Some(self.core.host())
    }

    fn store(&self) -> Option<&StoreCore> {
        Some(&self.core)
    }

    fn checkpoint(&self) -> Option<Checkpoint> {
        Some(self.core.checkpoint())
    }
}
