//! What an edge decides, without I/O and without a clock: which shard keeps a message, when its client is answered, what
//! is delivered and reported, and what is told again after a store was lost.
//!
//! An edge knows nothing that cannot be had again. Its promises rest on the stores: a 202 goes out only after a shard's
//! leader said that the message is kept; an outcome is repeated until a leader said that it is recorded.

mod appends;
mod callbacks;
mod changes;
mod credits;
mod deliveries;
mod health;
mod held;
mod ingress;
mod output;
mod permits;
mod shards;
mod statuses;

use std::collections::BTreeMap;
use std::sync::Arc;

use ruddervalve_configuration::{Configuration, Locality, RouteTable};
use ruddervalve_flow::SendWindows;
use ruddervalve_mutation::{Mutation, is_active};
use ruddervalve_protocol::{
    ConfigurationUpdate, Directory, EdgeToStore, Grant, GroupId, InventoryItem, ReplicaId, RunnerList,
    StoreToEdge,
};

use crate::dispatch::{Dispatch, DispatchSettings};
use crate::front::{FrontRequest, FrontResponse};
use crate::runner::{CallbackResult, DeliveryResult};

use appends::Appends;
use callbacks::Callbacks;
use credits::Credits;
use deliveries::Deliveries;
use health::Health;
use held::HeldRequests;
use permits::Permits;
use shards::Shards;
use statuses::Statuses;

pub use output::{CallbackOrder, ClientNumber, DeliveryOrder, EdgeOutput, JobNumber};

/// What an edge is told at its start. Times are milliseconds.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EdgeSettings {
    /// Where it stands.
    pub locality: Locality,
    /// For draws; different at each edge and start.
    pub seed: u64,
    /// How many other edges there may be, until [`EdgeCore::set_edges`].
    pub other_edges: u32,
    /// `AckTimeoutMs`: nothing is held for a client beyond it, whatever its route says.
    pub ack_timeout_ms: u64,
    /// `CallbackTimeoutS`.
    pub callback_timeout_ms: u64,
    /// Call-backs that are made at once to one receiver; others wait here.
    pub callbacks_at_once: usize,
    /// A store that owes an answer and says nothing for so long gets nothing new.
    pub suspect_after_ms: u64,
    /// How long a request is held that comes before this edge knows configuration and stores.
    pub start_hold_ms: u64,
    /// Bytes of bodies that may wait for stores; beyond it new messages are refused.
    pub max_waiting_bytes: usize,
    /// Bytes that may wait on the connection to a store; beyond it messages wait until some have left.
    pub store_window_bytes: usize,
}

/// The state of an edge.
pub struct EdgeCore {
    settings: EdgeSettings,
    now: u64,
    routes: Option<Arc<RouteTable>>,
    configuration: Option<Arc<Configuration>>,
    shards: Shards,
    health: Health,
    dispatch: Dispatch,
    held: HeldRequests,
    /// What may still be sent to each store.
    windows: SendWindows<ReplicaId>,
    appends: Appends,
    statuses: Statuses,
    deliveries: Deliveries,
    permits: Permits,
    callbacks: Callbacks,
    credits: Credits,
    has_runners: bool,
    /// How many edges there are, as it was told last.
    edges_told: u32,
    /// The newest term in which a coordinator has said that it leads.
    coordinator_term: u64,
    leaving: bool,
    outputs: Vec<EdgeOutput>,
}

impl EdgeCore {
    /// An edge that knows nothing yet.
    pub fn new(settings: EdgeSettings) -> Self {
        let dispatch = DispatchSettings {
            locality: settings.locality.clone(),
            seed: settings.seed,
            other_edges: settings.other_edges,
        };
        Self {
            now: 0,
            routes: None,
            configuration: None,
            shards: Shards::new(settings.locality.clone(), settings.seed),
            health: Health::new(settings.suspect_after_ms),
            dispatch: Dispatch::new(dispatch),
            held: HeldRequests::default(),
            windows: SendWindows::new(settings.store_window_bytes),
            appends: Appends::default(),
            statuses: Statuses::default(),
            deliveries: Deliveries::default(),
            permits: Permits::default(),
            callbacks: Callbacks::default(),
            credits: Credits::default(),
            has_runners: false,
            edges_told: settings.other_edges.saturating_add(1),
            coordinator_term: 0,
            leaving: false,
            outputs: Vec::new(),
            settings,
        }
    }

    /// Whether it can serve: it has a configuration, a list of runners and a shard that has a leader.
    pub fn is_ready(&self) -> bool {
        self.routes.is_some() && self.has_runners && self.shards.has_leader() && !self.leaving
    }

    /// The configuration in force here.
    pub fn configuration(&self) -> Option<&Arc<Configuration>> {
        self.configuration.as_ref()
    }

    /// What is to be done, in order.
    pub fn outputs(&mut self) -> Vec<EdgeOutput> {
        std::mem::take(&mut self.outputs)
    }

    /// When to call [`EdgeCore::tick`] at the latest.
    pub fn next_wake(&self) -> Option<u64> {
        let times = [
            self.held.next_wake(),
            self.appends.next_wake(),
            self.statuses.next_wake(),
            self.deliveries.next_wake(),
            self.permits.next_wake(),
        ];
        times.into_iter().flatten().min()
    }

    /// Time has passed.
    pub fn tick(&mut self, now: u64) {
        self.now = now;
        self.expire_held();
        self.expire_appends();
        self.expire_statuses();
        self.expire_permits();
        if self.deliveries.take_wake(now) {
            let steps = self.dispatch.tick(now);
            self.take_steps(steps);
        }
        self.update_credits();
    }

    // Coordinators.

    /// Takes a configuration; one that is not newer changes nothing. True if it is in force now.
    pub fn set_configuration(&mut self, now: u64, update: &ConfigurationUpdate) -> bool {
        self.now = now;
        let current = self.configuration.as_ref().map_or(0, |configuration| configuration.version());
        if update.version <= current && !is_active(Mutation::LowerVersionTaken) {
            return false;
        }
        match Configuration::parse(update.body.as_slice()) {
            Ok(configuration) => {
                if let Some(current) = &self.routes {
                    changes::log_moves(current, &configuration);
                }
                self.routes = Some(Arc::new(RouteTable::new(&configuration)));
                let steps = self.dispatch.set_configuration(now, &configuration);
                self.configuration = Some(Arc::new(configuration));
                self.take_steps(steps);
                self.take_held();
                self.update_credits();
                true
            }
            Err(error) => {
                tracing::error!(version = update.version, %error, "the configuration cannot be read");
                false
            }
        }
    }

    /// Takes the directory. True if it was newer.
    pub fn set_directory(&mut self, now: u64, directory: &Directory) -> bool {
        self.now = now;
        let is_newer = self.shards.set_directory(directory);
        if is_newer {
            self.take_held();
        }
        is_newer
    }

    /// A coordinator says that it leads in a term, and how many edges are registered there. One of an earlier term than
    /// another has told is passed over: it may have been frozen or cut off since.
    pub fn coordinator_leads(&mut self, now: u64, term: u64, edges: u32) {
        if term >= self.coordinator_term {
            self.coordinator_term = term;
            self.set_edges(now, edges);
        }
    }

    /// A coordinator that leads tells how many edges are registered there, this one among them. Fewer than before count
    /// only when they are told twice in a row: after its start a coordinator does not know all of them yet.
    pub fn set_edges(&mut self, now: u64, edges: u32) {
        self.now = now;
        let counted = edges.max(std::mem::replace(&mut self.edges_told, edges));
        if !self.dispatch.set_other_edges(counted.saturating_sub(1)) {
            return;
        }
        if let Some(configuration) = self.configuration.clone() {
            let steps = self.dispatch.set_configuration(now, &configuration);
            self.take_steps(steps);
            self.update_credits();
        }
    }

    /// Takes the list of runners.
    pub fn set_runners(&mut self, now: u64, list: &RunnerList) {
        self.now = now;
        self.has_runners = true;
        let steps = self.dispatch.set_runners(now, list);
        self.take_steps(steps);
        self.update_credits();
    }

    // Stores.

    /// A connection to a store came up.
    pub fn store_up(&mut self, now: u64, store: ReplicaId) {
        self.now = now;
        self.windows.reset(store);
        self.shards.store_up(store);
        self.health.store_up(store);
        self.credits.store_up(store);
        if self.leaving {
            self.send(store, EdgeToStore::Leaving);
        }
        self.update_credits();
    }

    /// The connection to a store ended: what was sent on it may have come or not.
    pub fn store_down(&mut self, now: u64, store: ReplicaId) {
        self.now = now;
        self.windows.reset(store);
        self.shards.store_down(store);
        self.health.store_down(store);
        self.credits.store_down(store);
        self.appends.store_down(store);
        self.statuses.store_down(store);
        self.retry_appends();
    }

    /// A store says something.
    pub fn store_says(&mut self, now: u64, store: ReplicaId, message: StoreToEdge) {
        self.now = now;
        self.health.heard(store, now);
        match message {
            StoreToEdge::Leading { groups } => self.leading(store, &groups),
            StoreToEdge::Appended { request, outcome } => self.appended(store, request, outcome),
            StoreToEdge::Deliver { group, grant } => {
                let Grant { lease, message } = *grant;
                self.credits.granted(store, &lease.service);
                self.deliver(group, lease, Arc::new(message));
            }
            StoreToEdge::CallBack { group, id, url, phase, signature } => {
                self.call_back(group, id, &url, phase, &signature);
            }
            StoreToEdge::OutcomeRecorded { group, id, lease } => self.deliveries.recorded(group, &id, lease),
            StoreToEdge::CallbackRecorded { group, id } => self.callbacks.recorded(group, &id),
            StoreToEdge::Status { request, leads, phase, body } => {
                self.status_answered(request, leads, phase, body);
            }
            StoreToEdge::Alive => {}
            StoreToEdge::PermitGranted { permit, .. } => self.permitted(permit),
        }
        self.update_credits();
    }

    /// A store says which shards it leads: each new leader is told first what this edge holds.
    fn leading(&mut self, store: ReplicaId, groups: &[(GroupId, u64)]) {
        let new = self.shards.leading(store, groups);
        self.lose_appends(&new);
        self.statuses.ask_anew(&new);
        for group in new {
            let term = self.shards.newest_term(group);
            self.send(store, EdgeToStore::Follows { group, term });
            let mut items: Vec<InventoryItem> = self.deliveries.inventory(group);
            items.extend(self.callbacks.inventory(group));
            self.send(store, EdgeToStore::Inventory { group, items });
            let unrecorded = self.deliveries.unrecorded(group).chain(self.callbacks.unrecorded(group));
            let again: Vec<EdgeToStore> = unrecorded.chain(self.permits.requests(group)).collect();
            again.into_iter().for_each(|message| self.send(store, message));
        }
        if self.leaving {
            // What it led before it did not know.
            self.send(store, EdgeToStore::Leaving);
        }
        self.credits.forget_sent(store);
        self.retry_appends();
        self.retry_statuses();
    }

    fn send(&mut self, store: ReplicaId, message: EdgeToStore) {
        self.outputs.push(EdgeOutput::Send(store, message));
    }

    /// Sends to the leader of a shard, if it is known; else a new leader is told when it comes.
    fn send_to_leader(&mut self, group: GroupId, message: EdgeToStore) {
        if let Some(store) = self.shards.leader(group) {
            self.send(store, message);
        }
    }

    // Clients and runners.

    /// A client's request was read whole.
    pub fn request(&mut self, now: u64, client: ClientNumber, request: FrontRequest) {
        self.now = now;
        if let Some(response) = self.ingress(client, request) {
            self.respond(client, response);
        }
        self.update_credits();
    }

    /// A client left before its answer.
    pub fn client_left(&mut self, client: ClientNumber) {
        self.held.client_left(client);
        self.statuses.client_left(client);
    }

    fn respond(&mut self, client: ClientNumber, response: FrontResponse) {
        self.outputs.push(EdgeOutput::Respond(client, response));
    }

    /// A delivery ended.
    pub fn delivered(&mut self, now: u64, job: JobNumber, result: &DeliveryResult) {
        self.now = now;
        self.delivery_ended(job, result);
        self.update_credits();
    }

    /// A call-back ended.
    pub fn called_back(&mut self, now: u64, group: GroupId, order: &CallbackOrder, result: CallbackResult) {
        self.now = now;
        self.callback_ended(group, order, result);
    }

    // The end.

    /// The process is to end: it asks for nothing more to deliver. Messages of clients are still accepted.
    pub fn leave(&mut self, now: u64) {
        self.now = now;
        self.leaving = true;
        for store in self.shards.connected() {
            self.send(store, EdgeToStore::Leaving);
        }
        self.give_back_callbacks();
        self.give_back_unpermitted();
    }

    /// The process is about to end: all clients that wait get their final answer.
    pub fn answer_all(&mut self, now: u64) {
        self.now = now;
        self.give_up_held();
        self.give_up_appends();
        self.give_up_statuses();
    }

    /// Whether nothing is under way that a store or a client has to be told of.
    pub fn is_idle(&self) -> bool {
        self.appends.is_empty() && self.deliveries.is_empty() && self.callbacks.is_empty()
    }

    /// How many deliveries are at runners, by group: for logs.
    pub fn in_flight(&self) -> BTreeMap<GroupId, usize> {
        self.deliveries.by_group()
    }
}
