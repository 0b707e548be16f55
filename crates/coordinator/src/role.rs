//! The coordinator at run time: it joins the state machines with disk, network and clock.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use displaydoc::Display;
use ruddervalve_consensus::{Entry, Payload};
use ruddervalve_protocol::{
    Channel, CoordinatorMember, CoordinatorReply, CoordinatorRequest, Directory, GroupId, Registration,
    ReplicaId,
};
use ruddervalve_replication::{GroupChange, GroupSnapshot};
use ruddervalve_rpc::{Outbox, run};
use ruddervalve_runtime::{
    Accepted, Boot, Clock, ControlEvent, ControlLinks, InternalListener, InternalPort, NodeError,
    ProcessSignal, ReplicaNode, Signals, StartedNode, draw_seed, internal_address, link_settings,
    seed_addresses,
};
use tokio::net::TcpListener;
use tokio::sync::{mpsc, oneshot};
use tokio::time::{Instant, sleep_until};

use crate::duties::Duties;
use crate::founding::{founder_identity, founders};
use crate::list_client;
use crate::listing::{ListAnswer, ListProgress};
use crate::operator::{Answer, OperatorCall, answer_replace, answer_retire};
use crate::operator_server::{self, OperatorReply, OperatorRequest};
use crate::sessions::{InForce, Sessions};
use crate::state::ControlState;
use crate::state_command::{ControlCommand, ControlResult};

/// The part of the process's memory that the body of one operator's call may take.
const BODY_PART_OF_MEMORY: u64 = 16;
const BYTES_PER_MB: u64 = 1_024 * 1_024;
/// Events that are taken before what they led to is carried out.
const EVENTS_PER_ROUND: usize = 256;

/// Why a coordinator cannot start or go on.
#[derive(Debug, Display)]
pub enum CoordinatorError {
    /// {0}
    Node(NodeError),
    /// the internal address {0} cannot be listened on ({1}): check that no other process has it
    Internal(SocketAddr, std::io::Error),
    /// the control address {0} cannot be listened on ({1}): check that no other process has it
    Control(SocketAddr, std::io::Error),
    /// ListenAddrs/ControlPlane is not set: set it to the address that the operator calls
    NoControlAddress,
    /// signals cannot be had ({0}): check the limits of the process
    Signals(std::io::Error),
    /// the control group's state on disk cannot be read: empty the data folder, the process refills it from its peers
    Damaged,
}

impl std::error::Error for CoordinatorError {}

impl From<NodeError> for CoordinatorError {
    fn from(error: NodeError) -> Self {
        Self::Node(error)
    }
}

/// What happened on a connection, or came of a call.
#[derive(Debug)]
enum Event {
    Request(u64, CoordinatorRequest),
    Ended(u64),
    List(u64, ListAnswer),
}

/// An operator's call whose entry is not committed yet.
#[derive(Debug)]
struct Pending {
    term: u64,
    is_retire: bool,
    reply: oneshot::Sender<OperatorReply>,
}

struct Coordinator {
    boot: Boot,
    clock: Clock,
    node: ReplicaNode,
    state: ControlState,
    applied: u64,
    sessions: Sessions,
    duties: Duties,
    pending: BTreeMap<u64, Pending>,
    /// The directory as the leader told it, for one that joins and has none of its own yet.
    told: Option<Directory>,
    links: ControlLinks,
    events: mpsc::UnboundedSender<Event>,
    member: CoordinatorMember,
    ending: bool,
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
    while !coordinator.ended() {
        let wake = coordinator.next_wake();
        tokio::select! {
            event = coordinator.node.next() => coordinator.node.handle(clock.now(), event)?,
            Some(event) = events.recv() => coordinator.take(event),
            Some(request) = operator_requests.recv() => coordinator.operator(request),
            accepted = listener.next() => coordinator.accept(accepted),
            event = coordinator.links.next() => coordinator.control(event),
            signal = signals.next() => coordinator.signal(signal),
            _ = heartbeat.tick() => coordinator.links.heartbeat(),
            () = sleep_until(wake) => {}
        }
        for _ in 0..EVENTS_PER_ROUND {
            if let Some(event) = coordinator.node.ready() {
                coordinator.node.handle(clock.now(), event)?;
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
        let now = clock.now();
        let founders = founders(&boot.settings);
        let founding = founders.is_some().then(|| founder_identity(internal));
        let StartedNode { mut node, recovered, is_new } = ReplicaNode::start(&boot, founding, now)?;
        if let Some(founders) = founders
            && is_new
        {
            node.host.found(now, GroupId::CONTROL, founders);
        }
        let snapshot = recovered.groups.get(&GroupId::CONTROL).and_then(|group| group.snapshot.as_ref());
        let (state, applied) = match snapshot {
            Some(snapshot) => {
                let state = ControlState::restore(snapshot.data.as_slice());
                (state.map_err(|_| CoordinatorError::Damaged)?, snapshot.index)
            }
            None => (ControlState::default(), 0),
        };
        let member = CoordinatorMember {
            node: boot.settings.node.clone(),
            replica: node.identity(),
            address: internal.to_string(),
            control_address: control.to_string(),
        };
        tracing::info!(
            node = member.node,
            identity = member.replica.0,
            is_new,
            applied,
            "coordinator starts"
        );
        let links = ControlLinks::new(&boot, Registration::Coordinator(member.clone()));
        let (events, received) = mpsc::unbounded_channel();
        let duties = Duties::new(&boot.settings, draw_seed());
        let mut coordinator = Self {
            boot,
            clock,
            node,
            state,
            applied,
            sessions: Sessions::default(),
            duties,
            pending: BTreeMap::new(),
            told: None,
            links,
            events,
            member,
            ending: false,
        };
        coordinator.connect();
        Ok((coordinator, received))
    }

    fn now(&self) -> u64 {
        self.clock.now()
    }

    fn leads(&self) -> bool {
        let replica = self.node.host.replica(GroupId::CONTROL);
        replica.is_some_and(|replica| replica.lease_valid(self.now()))
    }

    fn term(&self) -> u64 {
        self.node.host.replica(GroupId::CONTROL).map_or(0, ruddervalve_consensus::Replica::term)
    }

    fn leader(&self) -> Option<ReplicaId> {
        self.node.host.replica(GroupId::CONTROL)?.leader()
    }

    /// Ended: nothing is left to hand over, or somebody else leads.
    fn ended(&self) -> bool {
        self.ending && self.leader() != Some(self.member.replica)
    }

    fn next_wake(&self) -> Instant {
        let replicas = self.node.host.next_wake().unwrap_or(u64::MAX);
        let duties = if self.leads() { self.duties.next_wake() } else { u64::MAX };
        let longest = self.now() + self.boot.settings.bounds.liveness_ms;
        self.clock.instant(replicas.min(duties).min(longest))
    }

    // Links.

    /// Coordinators that are known: the seeds, those of the agreed state, and those that a leader told of.
    fn coordinators(&self) -> Vec<(ReplicaId, SocketAddr)> {
        let seeds = seed_addresses(&self.boot.settings);
        let mut known: Vec<_> = seeds.into_iter().map(|seed| (founder_identity(seed), seed)).collect();
        let told = self.told.iter().flat_map(|directory| &directory.coordinators);
        for member in self.state.coordinators().iter().chain(told) {
            if let Ok(address) = member.address.parse() {
                known.retain(|(id, _)| *id != member.replica);
                known.push((member.replica, address));
            }
        }
        known
    }

    fn connect(&mut self) {
        let known = self.coordinators();
        self.node.set_peers(&self.boot, &known);
        let own = self.member.address.parse().ok();
        let mut others: Vec<_> = known.iter().map(|(_, address)| *address).collect();
        others.retain(|address| Some(*address) != own);
        others.sort_unstable();
        others.dedup();
        self.links.set_addresses(&self.boot, &others);
    }

    fn accept(&mut self, accepted: Accepted) {
        let Accepted { greeting, stream } = accepted;
        match greeting.channel {
            Channel::Replica => self.node.serve(&self.boot, stream),
            Channel::Control => {
                let settings = link_settings(&self.boot.settings);
                let outbox = Outbox::new(settings.max_queued_bytes);
                let number = self.sessions.open(outbox.clone(), self.now());
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
        if let Some(CoordinatorReply::Directory(directory)) = event.reply
            && self.told.as_ref().is_none_or(|told| told.version < directory.version)
        {
            self.told = Some(directory);
            self.connect();
        }
    }

    fn signal(&mut self, signal: ProcessSignal) {
        match signal {
            ProcessSignal::Terminate => {
                tracing::info!("SIGTERM: handing over and ending");
                self.ending = true;
                let now = self.now();
                if let Some(replica) = self.node.host.replica_mut(GroupId::CONTROL) {
                    replica.transfer_leadership(now, None);
                }
            }
            ProcessSignal::Reload => {
                self.boot.reload();
                self.connect();
            }
        }
    }

    // Sessions.

    fn take(&mut self, event: Event) {
        let now = self.now();
        match event {
            Event::Request(number, request) => {
                self.sessions.heard(number, now);
                self.request(number, request);
            }
            Event::Ended(number) => {
                if let Some(Registration::Store(store)) = self.sessions.close(number) {
                    self.duties.store_lost(&store.node, now);
                }
            }
            Event::List(number, answer) => {
                if self.duties.list_answered(number, answer, now) == ListProgress::Changed {
                    tracing::debug!("the list of runners has changed");
                }
            }
        }
    }

    fn request(&mut self, number: u64, request: CoordinatorRequest) {
        match request {
            CoordinatorRequest::Register(registration) => self.sessions.register(number, registration),
            CoordinatorRequest::Heartbeat => {
                let reply = match self.leads() {
                    true => CoordinatorReply::Alive { term: self.term() },
                    false => CoordinatorReply::NotLeader { leader: self.leader_address() },
                };
                self.sessions.send(number, &reply);
            }
            CoordinatorRequest::ShardMembers(members) => self.duties.shard_members(members),
        }
    }

    fn leader_address(&self) -> Option<String> {
        let leader = self.leader()?;
        let known = self.coordinators();
        known.iter().find(|(id, _)| *id == leader).map(|(_, address)| address.to_string())
    }

    /// The `ControlPlane` address of the leader: the seeds' are known from the settings.
    fn leader_control_address(&self) -> Option<String> {
        let leader = self.leader().filter(|leader| *leader != self.member.replica)?;
        let member = self.state.coordinators().iter().find(|member| member.replica == leader);
        let seeds = self.boot.settings.seeds.iter().zip(seed_addresses(&self.boot.settings));
        let seed = || seeds.into_iter().find(|(_, internal)| founder_identity(*internal) == leader);
        member.map(|member| member.control_address.clone()).or_else(|| Some(seed()?.0.to_string()))
    }

    // The operator.

    fn operator(&mut self, request: OperatorRequest) {
        let OperatorRequest { call, reply } = request;
        if !self.leads() {
            let answer = match self.leader_control_address() {
                Some(address) => OperatorReply::Redirect(address),
                None => {
                    OperatorReply::Answer(Answer::unavailable("no coordinator leads at present: ask again"))
                }
            };
            let _ = reply.send(answer);
            return;
        }
        match call {
            OperatorCall::GetConfiguration => {
                let answer = Answer::configuration(self.state.configuration().as_ref());
                let _ = reply.send(OperatorReply::Answer(answer));
            }
            OperatorCall::GetRetire { node } => {
                let answer = Answer::retirement(self.state.retirement(&node));
                let _ = reply.send(OperatorReply::Answer(answer));
            }
            OperatorCall::ReplaceConfiguration(order) => {
                self.propose_for(ControlCommand::ReplaceConfiguration(order.replacement), false, reply);
            }
            OperatorCall::StartRetire(order) => match self.duties.check_retire(&self.state, &order.node, self.now()) {
                Ok(()) => {
                    let command = order.command(self.duties.replicas());
                    self.propose_for(command, true, reply);
                }
                Err(fault) => drop(reply.send(OperatorReply::Answer(Answer::retire_fault(fault)))),
            },
        }
    }

    fn propose_for(
        &mut self,
        command: ControlCommand,
        is_retire: bool,
        reply: oneshot::Sender<OperatorReply>,
    ) {
        match self.propose(&command) {
            Some(index) => {
                let pending = Pending { term: self.term(), is_retire, reply };
                self.pending.insert(index, pending);
            }
            None => {
                let answer = Answer::unavailable("this coordinator is handing over: ask again");
                let _ = reply.send(OperatorReply::Answer(answer));
            }
        }
    }

    fn propose(&mut self, command: &ControlCommand) -> Option<u64> {
        let now = self.now();
        let replica = self.node.host.replica_mut(GroupId::CONTROL)?;
        replica.propose(now, command.to_blob()).ok()
    }

    // Consensus.

    /// Carries out all that events led to.
    fn settle(&mut self) -> Result<(), CoordinatorError> {
        let now = self.now();
        self.node.host.tick(now);
        loop {
            let changes = self.node.flush();
            if changes.is_empty() {
                let leads = self.leads();
                if !(leads && self.lead(now)) {
                    break;
                }
                continue;
            }
            for change in changes {
                self.change(change)?;
            }
        }
        if self.leads() {
            self.tell();
        }
        let (state, applied) = (&self.state, self.applied);
        self.node.checkpoint_if_due(|_| GroupSnapshot { applied, data: state.snapshot() });
        Ok(())
    }

    fn change(&mut self, change: GroupChange) -> Result<(), CoordinatorError> {
        match change {
            GroupChange::Restored(_, snapshot) => {
                let state = ControlState::restore(snapshot.data.as_slice());
                self.state = state.map_err(|_| CoordinatorError::Damaged)?;
                self.applied = snapshot.index;
                self.connect();
            }
            GroupChange::Committed(_, entries) => self.apply(entries),
            GroupChange::RoleChanged(_) => self.role_changed(),
            GroupChange::SnapshotWanted(group, to) => {
                let now = self.now();
                let snapshot = GroupSnapshot { applied: self.applied, data: self.state.snapshot() };
                self.node.host.send_snapshot(now, group, to, snapshot);
            }
        }
        Ok(())
    }

    fn apply(&mut self, entries: Vec<Entry>) {
        let before = self.state.directory_version();
        for entry in entries {
            self.applied = entry.index;
            let Payload::Command(command) = entry.payload else { continue };
            let result = match ControlCommand::from_bytes(command.as_slice()) {
                Ok(command) => self.state.apply(&command),
                Err(error) => {
                    tracing::error!(index = entry.index, %error, "an entry of the control group cannot be read");
                    continue;
                }
            };
            self.answer(entry.index, entry.term, &result);
        }
        if self.state.directory_version() != before {
            self.connect();
        }
    }

    fn answer(&mut self, index: u64, term: u64, result: &ControlResult) {
        let Some(pending) = self.pending.remove(&index) else { return };
        if pending.term != term {
            // The place in the log was taken by another leader's entry: what became of the call is not known.
            return;
        }
        if let ControlResult::Taken { version } = result {
            tracing::info!(version, "configuration taken");
        }
        let answer = if pending.is_retire { answer_retire(result) } else { answer_replace(result) };
        let _ = pending.reply.send(OperatorReply::Answer(answer));
    }

    fn role_changed(&mut self) {
        let own = self.leader() == Some(self.member.replica);
        if !own {
            // Calls without an entry that is committed are left without an answer: the caller asks the new leader.
            self.pending.clear();
        }
        let (now, term) = (self.now(), self.term());
        self.duties.role_changed(own.then_some(term), now);
        tracing::info!(term, leads = own, leader = ?self.leader().map(|leader| leader.0), "control group");
    }

    /// The leader's duties; true if something was proposed.
    fn lead(&mut self, now: u64) -> bool {
        if let Some(call) = self.duties.list_call(now) {
            self.call_platform(call.number, call.target, call.give_up_ms.saturating_sub(now));
        }
        let mut proposed = false;
        if let Some(replica) = self.node.host.replica(GroupId::CONTROL)
            && let Some(change) = self.duties.membership_change(&self.state, replica, &self.sessions, now)
            && let Some(replica) = self.node.host.replica_mut(GroupId::CONTROL)
        {
            match replica.change_membership(now, change) {
                Ok(index) => {
                    tracing::info!(index, ?change, "membership of the control group changes");
                    proposed = true;
                }
                Err(error) => tracing::debug!(%error, ?change, "no change of membership now"),
            }
        }
        for command in self.duties.commands(&self.state, &self.member, &self.sessions, now) {
            tracing::debug!(?command, "proposed");
            proposed |= self.propose(&command).is_some();
        }
        proposed
    }

    fn call_platform(&self, number: u64, target: String, time_limit_ms: u64) {
        let Some(provider) = self.boot.settings.cloud_provider else { return };
        let events = self.events.clone();
        let limit = Duration::from_millis(time_limit_ms);
        tokio::task::spawn_local(async move {
            let answer = list_client::call(provider.address, &target, limit).await;
            let _ = events.send(Event::List(number, answer));
        });
    }

    fn tell(&mut self) {
        let (configuration, directory) = (self.state.configuration(), self.state.directory());
        let in_force = InForce {
            term: self.term(),
            configuration: configuration.as_ref(),
            directory: &directory,
            runners: self.duties.runners(),
        };
        self.sessions.tell(&in_force);
    }
}
