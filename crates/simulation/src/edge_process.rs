//! An edge in the simulation.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use ruddervalve_configuration::Settings;
use ruddervalve_edge::core::{ClientNumber, EdgeCore, EdgeOutput, EdgeSettings};
use ruddervalve_edge::runner::RunnerSettings;
use ruddervalve_protocol::{CoordinatorReply, Directory, EdgeToStore, Incarnation, Registration, ReplicaId};
use ruddervalve_runtime::{link_settings, seed_addresses};

use crate::process::{ConnectionId, Effect, Input, Link, Payload, Process};
use crate::replica_links::RoleLinks;

/// The platform passes new connections on for so long after an edge has said that it is not ready.
const READINESS_MISSES_MS: u64 = 2_000;
/// A request that comes before the edge knows enough is held for this part of `LivenessMs`.
const START_HOLDS_PER_LIVENESS: u64 = 2;
const MAX_WAITING_BYTES: usize = 16 * 1_024 * 1_024;
/// The last part of the grace period is kept for the end itself.
const LAST_PART_OF_GRACE: u64 = 10;
/// A store that owes an answer is suspected after this part of `LivenessMs`.
const SUSPECTS_PER_LIVENESS: u64 = 40;

/// An edge.
pub struct EdgeProcess {
    core: EdgeCore,
    settings: Settings,
    links: RoleLinks,
    stores: BTreeMap<ReplicaId, (SocketAddr, Option<ConnectionId>)>,
    by_connection: BTreeMap<ConnectionId, ReplicaId>,
    clients: BTreeSet<ClientNumber>,
    /// Until when new requests still come, and until when all has to be done.
    ending: Option<(u64, u64)>,
}

impl EdgeProcess {
    /// Starts an edge.
    pub fn start(
        settings: &Settings,
        seed: u64,
        incarnation: Incarnation,
        effects: &mut Vec<Effect>,
    ) -> Self {
        let edge_settings = EdgeSettings {
            locality: settings.locality(),
            seed,
            other_edges: 2,
            ack_timeout_ms: settings.bounds.ack_timeout_ms,
            callback_timeout_ms: settings.bounds.callback_timeout_ms,
            callbacks_at_once: RunnerSettings::default().callback_connections,
            suspect_after_ms: (settings.bounds.liveness_ms / SUSPECTS_PER_LIVENESS).max(1),
            start_hold_ms: settings.bounds.liveness_ms / START_HOLDS_PER_LIVENESS,
            max_waiting_bytes: MAX_WAITING_BYTES,
            store_window_bytes: link_settings(settings).window_bytes,
        };
        let mut links = RoleLinks::new(Registration::Edge { incarnation });
        links.set(None, &[], &seed_addresses(settings), &[], effects);
        Self {
            core: EdgeCore::new(edge_settings),
            settings: settings.clone(),
            links,
            stores: BTreeMap::new(),
            by_connection: BTreeMap::new(),
            clients: BTreeSet::new(),
            ending: None,
        }
    }

    fn connect(&mut self, now: u64, directory: &Directory, effects: &mut Vec<Effect>) {
        if !self.core.set_directory(now, directory) {
            return;
        }
        let addresses: BTreeMap<ReplicaId, SocketAddr> = directory
            .stores
            .iter()
            .filter_map(|store| Some((store.replica, store.address.parse().ok()?)))
            .collect();
        let is_gone = |store: &ReplicaId, at: &SocketAddr| addresses.get(store) != Some(at);
        let gone: Vec<ReplicaId> = self
            .stores
            .iter()
            .filter(|(store, (at, _))| is_gone(store, at))
            .map(|(store, _)| *store)
            .collect();
        for store in gone {
            self.stores.remove(&store);
            self.by_connection.retain(|_, of| *of != store);
            self.core.store_down(now, store);
        }
        for (store, address) in &addresses {
            self.stores.entry(*store).or_insert((*address, None));
        }
        let mut coordinators = seed_addresses(&self.settings);
        coordinators.extend(
            directory.coordinators.iter().filter_map(|member| member.address.parse::<SocketAddr>().ok()),
        );
        let delivery: Vec<Link> = addresses.iter().map(|(id, at)| Link::Delivery(*id, *at)).collect();
        self.links.set(None, &[], &coordinators, &delivery, effects);
    }

    fn take(&mut self, now: u64, input: Input, effects: &mut Vec<Effect>) {
        match input {
            Input::Heartbeat => {
                self.links.heartbeat(false, effects);
                for connection in self.stores.values().filter_map(|(_, connection)| *connection) {
                    effects.push(Effect::Send(connection, Payload::ToStore(EdgeToStore::Heartbeat)));
                }
            }
            Input::LinkUp(Link::Delivery(store, at), connection) => {
                let Some(known) = self.stores.get_mut(&store).filter(|(known, _)| *known == at) else {
                    return;
                };
                known.1 = Some(connection);
                self.by_connection.insert(connection, store);
                self.core.store_up(now, store);
            }
            Input::LinkUp(link, connection) => self.links.up(link, connection, effects),
            Input::LinkDown(Link::Delivery(store, _)) => {
                let connection = self.stores.get_mut(&store).and_then(|(_, connection)| connection.take());
                if let Some(connection) = connection {
                    self.by_connection.remove(&connection);
                    self.core.store_down(now, store);
                }
            }
            Input::LinkDown(link) => drop(self.links.down(link)),
            Input::Message(connection, Payload::ToEdge(message)) => {
                if let Some(store) = self.by_connection.get(&connection) {
                    self.core.store_says(now, *store, message);
                }
            }
            Input::Message(connection, Payload::Reply(reply)) => {
                if let Some((_, reply)) = self.links.hear(connection, reply, effects) {
                    self.control(now, reply, effects);
                }
            }
            Input::Client(client, request) => {
                self.clients.insert(client);
                self.core.request(now, client, *request);
            }
            Input::ClientLeft(client) if self.clients.remove(&client) => self.core.client_left(client),
            Input::Delivered(job, result) => self.core.delivered(now, job, &result),
            Input::CalledBack(group, order, result) => self.core.called_back(now, group, &order, result),
            Input::Terminate if self.ending.is_none() => {
                let grace = self.settings.bounds.grace_period_ms;
                let until = now + READINESS_MISSES_MS.min(grace / 2);
                self.ending = Some((until, now + grace - grace / LAST_PART_OF_GRACE));
                self.core.leave(now);
            }
            _ => {}
        }
    }

    fn control(&mut self, now: u64, reply: CoordinatorReply, effects: &mut Vec<Effect>) {
        match reply {
            CoordinatorReply::Configuration(update) => {
                self.core.set_configuration(now, &update);
            }
            CoordinatorReply::Directory(directory) => self.connect(now, &directory, effects),
            CoordinatorReply::Runners(list) => self.core.set_runners(now, &list),
            CoordinatorReply::Alive { term, edges, .. } => self.core.coordinator_leads(now, term, edges),
            _ => {}
        }
    }

    fn settle(&mut self, now: u64, effects: &mut Vec<Effect>) {
        // The network of the simulation takes all that is sent at once.
        for store in self.core.unsent_stores() {
            self.core.store_unsent(now, store, 0);
        }
        self.core.tick(now);
        for output in sorted(self.core.outputs()) {
            match output {
                EdgeOutput::Respond(client, response) => {
                    if self.clients.remove(&client) {
                        effects.push(Effect::Respond(client, response));
                    }
                }
                EdgeOutput::Send(store, message) => {
                    let connection = self.stores.get(&store).and_then(|(_, connection)| *connection);
                    if let Some(connection) = connection {
                        effects.push(Effect::Send(connection, Payload::ToStore(message)));
                    }
                }
                EdgeOutput::Deliver(order) => effects.push(Effect::Deliver(order)),
                EdgeOutput::CallBack(group, order) => effects.push(Effect::CallBack(group, order)),
            }
        }
    }
}

/// Inventories and repeated outcomes come in the order of a hash map: the same in each run of a seed only if sorted.
fn sorted(mut outputs: Vec<EdgeOutput>) -> Vec<EdgeOutput> {
    for output in &mut outputs {
        if let EdgeOutput::Send(_, EdgeToStore::Inventory { items, .. }) = output {
            items.sort_by(|one, other| (&one.id, one.lease).cmp(&(&other.id, other.lease)));
        }
    }
    let key = |output: &EdgeOutput| match output {
        EdgeOutput::Send(store, EdgeToStore::Outcome { group, id, lease, .. }) => {
            Some((*store, *group, 0, id.clone(), Some(*lease)))
        }
        EdgeOutput::Send(store, EdgeToStore::CallbackTaken { group, id }) => {
            Some((*store, *group, 1, id.clone(), None))
        }
        _ => None,
    };
    for run in outputs.chunk_by_mut(|one, other| key(one).is_some() && key(other).is_some()) {
        run.sort_by_key(key);
    }
    outputs
}

impl Process for EdgeProcess {
    fn handle(&mut self, now: u64, input: Input, effects: &mut Vec<Effect>) {
        self.take(now, input, effects);
        self.settle(now, effects);
    }

    fn next_wake(&self, now: u64) -> u64 {
        let ending = self.ending.map_or(u64::MAX, |(until, last)| if now < until { until } else { last });
        self.core.next_wake().unwrap_or(u64::MAX).min(ending)
    }

    fn ended(&self, now: u64) -> bool {
        let idle = self.core.is_idle() && self.clients.is_empty();
        self.ending.is_some_and(|(until, last)| now >= last || (now >= until && idle))
    }

    fn edge(&self) -> Option<&EdgeCore> {
        Some(&self.core)
    }
}
