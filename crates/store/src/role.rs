//! The store at run time: it joins shards with disk, network and clock.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use displaydoc::Display;
use ruddervalve_configuration::{Configuration, RouteTable};
use ruddervalve_consensus::{Membership, Role};
use ruddervalve_protocol::{
    AppendOutcome, Channel, ConfigurationUpdate, CoordinatorReply, CoordinatorRequest, Directory,
    EdgeToStore, GroupId, Registration, ReplicaId, ShardMembers, ShardPlacement, StoreMember, StoreToEdge,
};
use ruddervalve_queue::{ClockSettings, LeaderSettings, SharedPolicy, StateLimits};
use ruddervalve_replication::{GroupChange, GroupSnapshot, LeaderView, next_change};
use ruddervalve_rpc::{Outbox, run};
use ruddervalve_runtime::{
    Accepted, Boot, Clock, ControlEvent, ControlLinks, InternalListener, InternalPort, NodeError,
    ProcessSignal, ReplicaNode, Signals, StartedNode, draw_seed, internal_address, link_settings,
    seed_addresses,
};
use tokio::sync::mpsc;
use tokio::time::{Instant, sleep_until};

use crate::edges::{EdgeConnections, EdgeNumber};
use crate::shard::{Append, Shard, ShardOutput, ShardSettings};

/// Events that are taken before what they led to is carried out.
const EVENTS_PER_ROUND: usize = 256;
/// The part of the process's memory that bodies may take, in percent: the log keeps them, too, until the next checkpoint.
const BODIES_PERCENT_OF_MEMORY: u64 = 35;
const BYTES_PER_MB: u64 = 1_024 * 1_024;
/// Call-backs that may be outstanding at one receiver for each shard: receivers accept few connections.
const CALLBACKS_PER_RECEIVER: u32 = 12;
/// An owed call-back is kept for so many times as long as an ended message can be asked about.
const CALLBACK_KEEP_TTLS: u64 = 4;
/// Leadership moves to the preferred store, and members are told to the coordinators again, after this part of
/// `LivenessMs`.
const CARE_PER_LIVENESS: u64 = 2;

/// Why a store cannot start or go on.
#[derive(Debug, Display)]
pub enum StoreError {
    /// {0}
    Node(NodeError),
    /// the internal address {0} cannot be listened on ({1}): check that no other process has it
    Internal(SocketAddr, std::io::Error),
    /// signals cannot be had ({0}): check the limits of the process
    Signals(std::io::Error),
    /// shard {0} on disk cannot be read: empty the data folder, the process refills it from its peers
    Damaged(u32),
}

impl std::error::Error for StoreError {}

impl From<NodeError> for StoreError {
    fn from(error: NodeError) -> Self {
        Self::Node(error)
    }
}

#[derive(Debug)]
enum Event {
    Edge(EdgeNumber, Box<EdgeToStore>),
    EdgeEnded(EdgeNumber),
}

struct Store {
    boot: Boot,
    clock: Clock,
    node: ReplicaNode,
    shards: BTreeMap<GroupId, Shard>,
    edges: EdgeConnections,
    links: ControlLinks,
    events: mpsc::UnboundedSender<Event>,
    directory: Directory,
    policy: Option<SharedPolicy>,
    policy_version: u64,
    /// What edges were told last.
    leading: Vec<(GroupId, u64)>,
    care_at: u64,
    /// Since when the process is ending.
    ending_since: Option<u64>,
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
    let (mut store, mut events) = Store::start(boot, clock, internal)?;
    let mut heartbeat = tokio::time::interval(store.links.heartbeat_interval());
    store.settle()?;
    while !store.ended() {
        let wake = store.next_wake();
        tokio::select! {
            event = store.node.next() => store.node.handle(clock.now(), event)?,
            Some(event) = events.recv() => store.take(event),
            accepted = listener.next() => store.accept(accepted),
            event = store.links.next() => store.control(event),
            signal = signals.next() => store.signal(signal),
            _ = heartbeat.tick() => store.links.heartbeat(),
            () = sleep_until(wake) => {}
        }
        for _ in 0..EVENTS_PER_ROUND {
            if let Some(event) = store.node.ready() {
                store.node.handle(clock.now(), event)?;
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

fn shard_settings(boot: &Boot) -> ShardSettings {
    let bounds = &boot.settings.bounds;
    let limits = StateLimits {
        status_ttl_ms: bounds.status_ttl_ms,
        callback_keep_ms: bounds.status_ttl_ms.saturating_mul(CALLBACK_KEEP_TTLS),
    };
    let leader = LeaderSettings {
        zone: boot.settings.zone.clone(),
        seed: 0,
        visibility_timeout_ms: bounds.visibility_timeout_ms,
        liveness_ms: bounds.liveness_ms,
        route_grace_ms: bounds.config_propagation_ms,
        origin_window_ms: bounds.origin_window_ms,
        origin_overshoot: bounds.origin_overshoot,
        callback_timeout_ms: bounds.callback_timeout_ms,
        callbacks_per_receiver: CALLBACKS_PER_RECEIVER,
        limits,
    };
    let clock = ClockSettings { longest_gap_ms: bounds.recovery_ms, wall_skew_ms: bounds.early_slack_ms };
    ShardSettings { leader, clock }
}

impl Store {
    fn start(
        boot: Boot,
        clock: Clock,
        internal: SocketAddr,
    ) -> Result<(Self, mpsc::UnboundedReceiver<Event>), StoreError> {
        let now = clock.now();
        let StartedNode { node, recovered, is_new } = ReplicaNode::start(&boot, None, now)?;
        let settings = shard_settings(&boot);
        let mut shards = BTreeMap::new();
        for (group, state) in &recovered.groups {
            let mut shard = Shard::new(*group, settings.clone(), now, clock.wall());
            if let Some(snapshot) = &state.snapshot {
                let restored = shard.restore(now, snapshot.index, &snapshot.data);
                restored.map_err(|_| StoreError::Damaged(group.0))?;
            }
            shards.insert(*group, shard);
        }
        let member = StoreMember {
            node: boot.settings.node.clone(),
            replica: node.identity(),
            address: internal.to_string(),
            zone: boot.settings.zone.clone(),
        };
        tracing::info!(
            node = member.node,
            identity = member.replica.0,
            is_new,
            shards = shards.len(),
            "store starts"
        );
        let mut links = ControlLinks::new(&boot, Registration::Store(member));
        links.set_addresses(&boot, &seed_addresses(&boot.settings));
        let (events, received) = mpsc::unbounded_channel();
        let store = Self {
            boot,
            clock,
            node,
            shards,
            edges: EdgeConnections::default(),
            links,
            events,
            directory: Directory::default(),
            policy: None,
            policy_version: 0,
            leading: Vec::new(),
            care_at: 0,
            ending_since: None,
        };
        Ok((store, received))
    }

    fn now(&self) -> u64 {
        self.clock.now()
    }

    fn next_wake(&self) -> Instant {
        let now = self.now();
        let replicas = self.node.host.next_wake().unwrap_or(u64::MAX);
        let shards = self.shards.values().filter_map(|shard| shard.next_wake(now)).min().unwrap_or(u64::MAX);
        self.clock.instant(replicas.min(shards).min(self.care_at))
    }

    /// Ended: all shards are handed over, or there was no time left for it.
    fn ended(&self) -> bool {
        let Some(since) = self.ending_since else { return false };
        let is_led = |group: GroupId| {
            self.node.host.replica(group).is_some_and(|replica| replica.role() == Role::Leader)
        };
        let out_of_time = self.now() >= since + self.boot.settings.bounds.grace_period_ms / 2;
        out_of_time || !self.node.host.groups().any(is_led)
    }

    fn signal(&mut self, signal: ProcessSignal) {
        match signal {
            ProcessSignal::Terminate => {
                tracing::info!("SIGTERM: handing shards over and ending");
                let now = self.now();
                self.ending_since = Some(now);
                let groups: Vec<GroupId> = self.node.host.groups().collect();
                for replica in groups {
                    if let Some(replica) = self.node.host.replica_mut(replica) {
                        replica.transfer_leadership(now, None);
                    }
                }
            }
            ProcessSignal::Reload => {
                self.boot.reload();
                self.connect();
            }
        }
    }

    // Coordinators.

    fn control(&mut self, event: ControlEvent) {
        match event.reply {
            Some(CoordinatorReply::Configuration(update)) => self.configure(&update),
            Some(CoordinatorReply::Directory(directory)) if directory.version > self.directory.version => {
                self.directory = directory;
                self.found();
                self.connect();
            }
            Some(CoordinatorReply::Alive { .. }) => self.confirm_policy(),
            _ => {}
        }
    }

    fn configure(&mut self, update: &ConfigurationUpdate) {
        if update.version <= self.policy_version {
            return self.confirm_policy();
        }
        match Configuration::parse(update.body.as_slice()) {
            Ok(configuration) => {
                let policy: SharedPolicy = Arc::new(RouteTable::new(&configuration));
                self.policy_version = update.version;
                self.policy = Some(Arc::clone(&policy));
                let now = self.now();
                let shards = self.shards.values_mut();
                shards.for_each(|shard| shard.set_policy(now, Some(Arc::clone(&policy))));
            }
            Err(error) => {
                tracing::error!(version = update.version, %error, "the configuration cannot be read")
            }
        }
    }

    fn confirm_policy(&mut self) {
        let now = self.now();
        self.shards.values_mut().for_each(|shard| shard.set_policy(now, None));
    }

    /// Begins the shards that are founded on this disk.
    fn found(&mut self) {
        let (now, identity) = (self.now(), self.node.identity());
        for placement in &self.directory.shards {
            let known = self.node.host.replica(placement.group).is_some();
            if !known && placement.founders.contains(&identity) {
                let founders = Membership { voters: placement.founders.clone(), learners: Vec::new() };
                self.node.host.found(now, placement.group, founders);
            }
        }
    }

    /// Keeps links to all coordinators and to all other stores.
    fn connect(&mut self) {
        let peers: Vec<(ReplicaId, SocketAddr)> = self
            .directory
            .stores
            .iter()
            .filter_map(|store| Some((store.replica, store.address.parse().ok()?)))
            .collect();
        self.node.set_peers(&self.boot, &peers);
        let mut coordinators = seed_addresses(&self.boot.settings);
        let known = self.directory.coordinators.iter();
        coordinators.extend(known.filter_map(|member| member.address.parse::<SocketAddr>().ok()));
        coordinators.sort_unstable();
        coordinators.dedup();
        self.links.set_addresses(&self.boot, &coordinators);
    }

    // Connections of edges and replicas.

    fn accept(&mut self, accepted: Accepted) {
        let Accepted { greeting, stream } = accepted;
        match greeting.channel {
            Channel::Replica => self.node.serve(&self.boot, stream),
            Channel::Delivery => {
                let settings = link_settings(&self.boot.settings);
                let outbox = Outbox::new(settings.max_queued_bytes);
                let number = self.edges.open(&greeting, outbox.clone());
                self.edge_connected(number, &outbox);
                let events = self.events.clone();
                tokio::task::spawn_local(async move {
                    let on_message = |message| drop(events.send(Event::Edge(number, Box::new(message))));
                    let error = run(stream, &settings, &outbox, on_message).await;
                    tracing::debug!(%error, node = greeting.node, "an edge's connection ended");
                    let _ = events.send(Event::EdgeEnded(number));
                });
            }
            Channel::Control => tracing::debug!(node = greeting.node, "a control link came to a store"),
        }
    }

    fn edge_connected(&mut self, number: EdgeNumber, outbox: &Outbox) {
        let now = self.now();
        let Some(session) = self.edges.session(number) else { return };
        self.shards.values_mut().for_each(|shard| shard.edge_connected(now, session));
        outbox.send(&StoreToEdge::Leading { groups: self.leading.clone() });
    }

    fn take(&mut self, event: Event) {
        let now = self.now();
        match event {
            Event::Edge(number, message) => {
                let Some(session) = self.edges.session(number) else { return };
                let edge = session.incarnation;
                self.edge_says(now, edge, *message);
            }
            Event::EdgeEnded(number) => {
                if let Some(edge) = self.edges.close(number) {
                    self.shards.values_mut().for_each(|shard| shard.edge_disconnected(now, edge));
                }
            }
        }
    }

    fn edge_says(&mut self, now: u64, edge: ruddervalve_protocol::Incarnation, message: EdgeToStore) {
        match message {
            EdgeToStore::Append { request, group, lease_here, message } => {
                self.append(now, group, Append { edge, request, lease_here, message });
            }
            EdgeToStore::Status { request, group, id, body } => {
                let leads = self.may_lead(group, now);
                let shard = self.shards.get(&group).filter(|_| leads);
                let phase = shard.and_then(|shard| shard.state().status(&id));
                let body = shard.filter(|_| body).and_then(|shard| shard.state().body(&id));
                self.edges.send(edge, &StoreToEdge::Status { request, leads, phase, body });
            }
            EdgeToStore::Heartbeat => {
                self.shards.values_mut().for_each(|shard| shard.take(now, edge, EdgeToStore::Heartbeat));
                self.edges.send(edge, &StoreToEdge::Alive);
            }
            EdgeToStore::Credits { .. } | EdgeToStore::Leaving => {
                self.shards.values_mut().for_each(|shard| shard.take(now, edge, message.clone()));
            }
            EdgeToStore::Outcome { group, .. }
            | EdgeToStore::CallbackTaken { group, .. }
            | EdgeToStore::CallbackFailed { group, .. }
            | EdgeToStore::Inventory { group, .. } => {
                if let Some(shard) = self.shards.get_mut(&group) {
                    shard.take(now, edge, message);
                }
            }
        }
    }

    fn append(&mut self, now: u64, group: GroupId, append: Append) {
        let leads = self.may_lead(group, now);
        let room = self.has_room();
        let refused = |append: &Append, retry_after_ms| StoreToEdge::Appended {
            request: append.request,
            outcome: AppendOutcome::Refused { retry_after_ms },
        };
        let Some(shard) = self.shards.get_mut(&group).filter(|_| leads) else {
            return self.edges.send(append.edge, &refused(&append, 0));
        };
        if !room {
            let later = self.boot.settings.bounds.visibility_timeout_ms;
            return self.edges.send(append.edge, &refused(&append, later));
        }
        let host = &mut self.node.host;
        shard.append(now, append, &mut |command| host.replica_mut(group)?.propose(now, command).ok());
    }

    fn has_room(&self) -> bool {
        let held: usize = self.shards.values().map(|shard| shard.state().held_bytes()).sum();
        let limit = self.boot.settings.limits.memory_mb * BYTES_PER_MB * BODIES_PERCENT_OF_MEMORY / 100;
        !self.node.disk_full() && (held as u64) < limit
    }

    fn may_lead(&self, group: GroupId, now: u64) -> bool {
        let in_office = self.shards.get(&group).is_some_and(|shard| shard.office().is_some());
        in_office && self.node.host.replica(group).is_some_and(|replica| replica.lease_valid(now))
    }

    // Consensus.

    /// Carries out all that events led to.
    fn settle(&mut self) -> Result<(), StoreError> {
        let now = self.now();
        self.node.host.tick(now);
        loop {
            let changes = self.node.flush();
            let idle = changes.is_empty();
            for change in changes {
                self.change(now, change)?;
            }
            self.offices(now);
            let polled = self.poll(now);
            if idle && !polled {
                break;
            }
        }
        self.care(now);
        let shards = &self.shards;
        let empty = || GroupSnapshot { applied: 0, data: ruddervalve_protocol::Blob::default() };
        self.node.checkpoint_if_due(|group| shards.get(&group).map_or_else(empty, Shard::snapshot));
        Ok(())
    }

    fn change(&mut self, now: u64, change: GroupChange) -> Result<(), StoreError> {
        match change {
            GroupChange::Restored(group, snapshot) => {
                let restored = self.shard(group).restore(now, snapshot.index, &snapshot.data);
                restored.map_err(|_| StoreError::Damaged(group.0))?;
            }
            GroupChange::Committed(group, entries) => self.shard(group).apply(now, entries),
            GroupChange::RoleChanged(group) => {
                self.shard(group);
            }
            GroupChange::SnapshotWanted(group, to) => {
                let snapshot = self.shard(group).snapshot();
                self.node.host.send_snapshot(now, group, to, snapshot);
            }
        }
        Ok(())
    }

    /// The shard of a group; one that this process has joined begins empty.
    fn shard(&mut self, group: GroupId) -> &mut Shard {
        let (boot, clock) = (&self.boot, &self.clock);
        let new = || Shard::new(group, shard_settings(boot), clock.now(), clock.wall());
        self.shards.entry(group).or_insert_with(new)
    }

    /// Takes and leaves offices as consensus says.
    fn offices(&mut self, now: u64) {
        let mut changed = false;
        for (group, shard) in &mut self.shards {
            let Some(replica) = self.node.host.replica(*group) else { continue };
            let leads = replica.role() == Role::Leader;
            let term = replica.term();
            if shard.office().is_some_and(|office| !leads || office != term) {
                shard.leave_office();
                changed = true;
            }
            if shard.office().is_none() && leads && replica.lease_valid(now) {
                let policy = self.policy.clone();
                shard.take_office(now, term, policy, draw_seed(), self.edges.sessions());
                tracing::info!(
                    group = group.0,
                    term,
                    pending = shard.state().pending_count(),
                    "leads a shard"
                );
                changed = true;
            }
        }
        if changed {
            let offices = self.shards.iter().filter_map(|(group, shard)| Some((*group, shard.office()?)));
            self.leading = offices.collect();
            self.edges.send_all(&StoreToEdge::Leading { groups: self.leading.clone() });
        }
    }

    /// Polls all shards that are led; true if something was proposed.
    fn poll(&mut self, now: u64) -> bool {
        let mut proposed = false;
        for (group, shard) in &mut self.shards {
            let replica = self.node.host.replica(*group);
            if replica.is_some_and(|replica| replica.lease_valid(now)) {
                let host = &mut self.node.host;
                shard.poll(now, &mut |command| {
                    let index = host.replica_mut(*group)?.propose(now, command).ok()?;
                    proposed = true;
                    Some(index)
                });
            }
            for ShardOutput::Send(edge, message) in shard.outputs() {
                self.edges.send(edge, &message);
            }
        }
        proposed
    }

    // Placement.

    /// Moves membership and leadership of led shards towards what is wanted, now and then.
    fn care(&mut self, now: u64) {
        if now < self.care_at {
            return;
        }
        self.care_at = now + (self.boot.settings.bounds.liveness_ms / CARE_PER_LIVENESS).max(1);
        let placements = self.directory.shards.clone();
        for placement in &placements {
            if self.may_lead(placement.group, now) && self.ending_since.is_none() {
                self.care_for(now, placement);
            }
        }
    }

    fn care_for(&mut self, now: u64, placement: &ShardPlacement) {
        let group = placement.group;
        let wanted: Vec<ReplicaId> =
            placement.wanted.iter().filter_map(|node| self.replica_of(node)).collect();
        let complete = wanted.len() == placement.wanted.len();
        let identity = self.node.identity();
        let Some(replica) = self.node.host.replica_mut(group) else { return };
        if !replica.membership_committed() {
            return;
        }
        let membership = replica.membership();
        let members = membership.voters.iter().chain(&membership.learners).copied().collect();
        let told = ShardMembers { group, term: replica.term(), members };
        self.links.send(&CoordinatorRequest::ShardMembers(told));
        if complete
            && let Some(change) = next_change(replica.membership(), &wanted, &LeaderView { replica, now })
        {
            match replica.change_membership(now, change) {
                Ok(index) => tracing::info!(group = group.0, index, ?change, "membership of a shard changes"),
                Err(error) => {
                    tracing::debug!(group = group.0, %error, ?change, "no change of membership now")
                }
            }
            return;
        }
        let preferred = wanted.first().filter(|preferred| **preferred != identity);
        if let Some(preferred) = preferred
            && replica.membership().is_voter(*preferred)
            && replica.is_caught_up(*preferred)
        {
            tracing::info!(group = group.0, to = preferred.0, "a shard is handed to its preferred leader");
            replica.transfer_leadership(now, Some(*preferred));
        }
    }

    fn replica_of(&self, node: &str) -> Option<ReplicaId> {
        self.directory.stores.iter().find(|store| store.node == node).map(|store| store.replica)
    }
}
