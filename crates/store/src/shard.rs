//! One shard of this store: the replicated state, its clock, and the leader's part while this replica leads.
//!
//! No I/O and no clock: time is passed in, proposals and messages to edges come out.

mod observing;
mod telling;

use std::collections::{BTreeMap, BTreeSet};

use ruddervalve_consensus::Entry;
use ruddervalve_consensus::Payload;
use ruddervalve_flow::SendWindows;
use ruddervalve_protocol::{
    AppendOutcome, EdgeToStore, GroupId, Incarnation, MessageId, NewMessage, StoreToEdge,
};
use ruddervalve_queue::{
    Action, ClockSettings, Command, EdgeSession, LeaderOutput, LeaderSettings, Proposed, RoomUse, ShardClock,
    ShardLeader, ShardState, SharedMessage, SharedPolicy, SnapshotError,
};
use ruddervalve_replication::GroupSnapshot;

use telling::{appended, granted, message};

/// What a shard goes by.
#[derive(Debug, Clone)]
pub struct ShardSettings {
    /// Of the leader.
    pub leader: LeaderSettings,
    /// Of the shard's clock.
    pub clock: ClockSettings,
}

/// What a shard wants done.
#[derive(Debug, Clone, PartialEq)]
pub enum ShardOutput {
    /// Send to an edge.
    Send(Incarnation, StoreToEdge),
}

/// An edge's wish to keep a message.
#[derive(Debug)]
pub struct Append {
    /// The edge.
    pub edge: Incarnation,
    /// Its number for the request.
    pub request: u64,
    /// Whether it wants to deliver the message itself.
    pub lease_here: bool,
    /// The message.
    pub message: NewMessage,
}

/// An append whose entry is not committed yet.
#[derive(Debug)]
struct PendingAppend {
    edge: Incarnation,
    request: u64,
    lease_here: bool,
    id: MessageId,
}

/// The leader's part.
struct Office {
    term: u64,
    leader: ShardLeader,
    /// Edges that have said on their present connection that they follow this leader. What others name as their stock was
    /// meant for an earlier one, and may lack what they were granted since.
    followers: BTreeSet<Incarnation>,
    /// Entries of this term that edges wait for, by index.
    appends: BTreeMap<u64, PendingAppend>,
    /// Actions that could not be proposed while the office was being handed over.
    unproposed: Vec<Action>,
}

/// Hands a command to consensus; the index of its entry, or none if it cannot be proposed now.
pub type Propose<'a> = dyn FnMut(ruddervalve_protocol::Blob) -> Option<u64> + 'a;

/// One shard.
pub struct Shard {
    group: GroupId,
    settings: ShardSettings,
    state: ShardState,
    clock: ShardClock,
    applied: u64,
    /// Entries up to this one were on the disk when the process started.
    last_on_disk: u64,
    office: Option<Office>,
    outputs: Vec<ShardOutput>,
}

impl Shard {
    /// A shard that begins empty; `now` and `wall` are this process's monotonic time and time of day. `last_on_disk`: the
    /// index of the last entry of its log that the disk held when the process started, 0 for none.
    pub fn new(group: GroupId, settings: ShardSettings, now: u64, wall: u64, last_on_disk: u64) -> Self {
        let clock = ShardClock::new(now, wall, settings.clock);
        Self {
            group,
            settings,
            state: ShardState::new(),
            clock,
            applied: 0,
            last_on_disk,
            office: None,
            outputs: Vec::new(),
        }
    }

    /// Replaces the state by a snapshot's.
    ///
    /// # Errors
    /// It cannot be read.
    pub fn restore(
        &mut self,
        now: u64,
        index: u64,
        data: &ruddervalve_protocol::Blob,
    ) -> Result<(), SnapshotError> {
        self.state = ShardState::restore(data)?;
        self.applied = index;
        self.office = None;
        let (shard_ms, wall_ms) = (self.state.shard_ms(), self.state.wall_ms());
        self.clock.restored(now, shard_ms, wall_ms, self.proposed(index));
        Ok(())
    }

    /// When the entry of an index was proposed. Entries that a leader replaced count as those that were there before.
    fn proposed(&self, index: u64) -> Proposed {
        if index <= self.last_on_disk { Proposed::BeforeStart } else { Proposed::WhileRunning }
    }

    /// The state machine as far as it was applied.
    pub fn snapshot(&self) -> GroupSnapshot {
        GroupSnapshot { applied: self.applied, data: self.state.snapshot() }
    }

    /// The replicated state.
    pub fn state(&self) -> &ShardState {
        &self.state
    }

    /// Whether this replica serves as leader, and in which term.
    pub fn office(&self) -> Option<u64> {
        self.office.as_ref().map(|office| office.term)
    }

    /// This replica leads from now on, all entries of earlier terms being applied.
    pub fn take_office<'a>(
        &mut self,
        now: u64,
        term: u64,
        policy: Option<SharedPolicy>,
        seed: u64,
        edges: impl Iterator<Item = &'a EdgeSession>,
    ) {
        self.clock.lead(term);
        let shard_now = self.clock.shard_ms(now);
        let settings = LeaderSettings { seed, ..self.settings.leader.clone() };
        let mut leader = ShardLeader::new(term, shard_now, &self.state, policy, settings);
        edges.for_each(|edge| leader.edge_connected(shard_now, edge));
        self.office = Some(Office {
            term,
            leader,
            followers: BTreeSet::new(),
            appends: BTreeMap::new(),
            unproposed: Vec::new(),
        });
    }

    /// This replica does not lead any more: what waits for its entries is not known to be kept.
    pub fn leave_office(&mut self) {
        let Some(office) = self.office.take() else { return };
        for append in office.appends.into_values() {
            self.outputs.push(appended(append.edge, append.request, AppendOutcome::Unknown));
        }
    }

    // Edges.

    /// An edge has connected.
    pub fn edge_connected(&mut self, now: u64, edge: &EdgeSession) {
        let now = self.clock.shard_ms(now);
        if let Some(office) = &mut self.office {
            office.followers.remove(&edge.incarnation);
            office.leader.edge_connected(now, edge);
        }
    }

    /// An edge has no connection any more.
    pub fn edge_disconnected(&mut self, now: u64, edge: Incarnation) {
        let now = self.clock.shard_ms(now);
        if let Some(office) = &mut self.office {
            office.followers.remove(&edge);
            office.leader.edge_disconnected(now, edge);
        }
    }

    /// Another configuration is in force, or the one in force was confirmed.
    pub fn set_policy(&mut self, now: u64, policy: Option<SharedPolicy>) {
        let now = self.clock.shard_ms(now);
        let Some(office) = &mut self.office else { return };
        match policy {
            Some(policy) => office.leader.set_policy(now, policy),
            None => office.leader.policy_confirmed(now),
        }
    }

    /// Keeps a message, once it is committed. Call it only while this replica may lead.
    pub fn append(&mut self, now: u64, append: Append, propose: &mut Propose<'_>) {
        let Append { edge, request, lease_here, message } = append;
        let id = message.id.clone();
        if self.state.status(&id).is_some() {
            self.outputs.push(appended(edge, request, AppendOutcome::Accepted { lease: None }));
            return;
        }
        let Some(office) = &mut self.office else {
            self.outputs.push(appended(edge, request, AppendOutcome::Refused { retry_after_ms: 0 }));
            return;
        };
        let shard_now = self.clock.shard_ms(now);
        let action = Action::Accept {
            due_ms: shard_now.saturating_add(message.delay_ms),
            expires_ms: shard_now.saturating_add(message.retention_ms),
            message: SharedMessage::from(message),
            accepted_by: edge,
        };
        match propose(self.clock.stamp(now, action).encode()) {
            Some(index) => {
                office.appends.insert(index, PendingAppend { edge, request, lease_here, id });
            }
            None => self.outputs.push(appended(edge, request, AppendOutcome::Refused { retry_after_ms: 0 })),
        }
    }

    /// Takes what an edge says about this shard, or about all. Call it only while this replica may lead.
    pub fn take(&mut self, now: u64, edge: Incarnation, message: EdgeToStore) {
        let now = self.clock.shard_ms(now);
        let Some(office) = &mut self.office else { return };
        let leader = &mut office.leader;
        match message {
            EdgeToStore::Credits { services } => leader.credits(now, edge, &services),
            EdgeToStore::Outcome { id, lease, outcome, .. } => leader.outcome(now, edge, &id, lease, outcome),
            EdgeToStore::CallbackTaken { id, .. } => leader.callback_taken(now, edge, &id),
            EdgeToStore::CallbackFailed { id, .. } => leader.callback_failed(now, edge, &id),
            EdgeToStore::Follows { term, .. } if term == office.term => drop(office.followers.insert(edge)),
            EdgeToStore::Inventory { items, .. } if office.followers.contains(&edge) => {
                leader.inventory(now, edge, &items);
            }
            EdgeToStore::Follows { .. } | EdgeToStore::Inventory { .. } => {}
            EdgeToStore::Heartbeat => leader.heartbeat(now, edge),
            EdgeToStore::Leaving => leader.leaving(edge),
            EdgeToStore::PermitWanted { permit, service, priority_class, .. } => {
                leader.permit_wanted(now, edge, permit, &service, priority_class);
            }
            EdgeToStore::PermitHeld { permit, service, .. } => {
                leader.permit_held(now, edge, permit, &service);
            }
            EdgeToStore::PermitEnded { permit, answered, .. } => {
                leader.permit_ended(now, edge, permit, answered);
            }
            EdgeToStore::Append { .. } | EdgeToStore::Status { .. } => {}
        }
    }

    // The log.

    /// Applies committed entries in order. `may_lease`: this replica's lease is valid and it has not begun to hand its
    /// office over, so a message may be leased with its acknowledgement.
    pub fn apply(
        &mut self,
        now: u64,
        entries: Vec<Entry>,
        may_lease: bool,
        windows: &mut SendWindows<Incarnation>,
    ) {
        for entry in entries {
            self.applied = entry.index;
            let Payload::Command(bytes) = entry.payload else { continue };
            match Command::decode(bytes.as_slice()) {
                Ok(command) => {
                    let append = self.apply_command(now, entry.index, entry.term, &command);
                    if let Some(append) = append {
                        self.acknowledge(now, entry.term, &append, may_lease, windows);
                    }
                }
                Err(error) => {
                    tracing::error!(group = self.group.0, index = entry.index, %error, "an entry cannot be read");
                }
            }
        }
    }

    /// Applies a command; the append that waits for it.
    fn apply_command(&mut self, now: u64, index: u64, term: u64, command: &Command) -> Option<PendingAppend> {
        let applied = self.state.apply(command);
        self.clock.applied(now, term, command, self.proposed(index));
        let shard_now = self.clock.shard_ms(now);
        let office = self.office.as_mut()?;
        office.leader.applied(shard_now, &command.action, &applied, &self.state);
        office.appends.remove(&index)
    }

    fn acknowledge(
        &mut self,
        now: u64,
        term: u64,
        append: &PendingAppend,
        may_lease: bool,
        windows: &mut SendWindows<Incarnation>,
    ) {
        let shard_now = self.clock.shard_ms(now);
        let Some(office) = &mut self.office else { return };
        if office.term != term {
            return self.outputs.push(appended(append.edge, append.request, AppendOutcome::Unknown));
        }
        let wants_lease = append.lease_here && may_lease;
        let lease = office.leader.accepted(shard_now, &append.id, append.edge, wants_lease, windows);
        let lease = lease.map(|id| granted(&office.leader, &append.id, id));
        self.outputs.push(appended(append.edge, append.request, AppendOutcome::Accepted { lease }));
    }

    /// There is room again on the connection to an edge.
    pub fn room_came(&mut self) {
        if let Some(office) = &mut self.office {
            office.leader.room_came();
        }
    }

    /// How the last [`Shard::poll`] used the room on the connections to edges.
    pub fn room_use(&self) -> RoomUse {
        self.office.as_ref().map(|office| office.leader.room_use()).unwrap_or_default()
    }

    /// What the leader wants done now. Call it only while this replica may lead. Messages are granted while there is room
    /// for them in the windows.
    pub fn poll(&mut self, now: u64, windows: &mut SendWindows<Incarnation>, propose: &mut Propose<'_>) {
        let shard_now = self.clock.shard_ms(now);
        let Some(office) = &mut self.office else { return };
        let mut actions = std::mem::take(&mut office.unproposed);
        let outputs = office.leader.poll(shard_now, windows);
        for observation in office.leader.observations() {
            observing::log(self.group, &observation);
        }
        for output in outputs {
            let message = match output {
                LeaderOutput::Propose(action) => {
                    actions.push(action);
                    continue;
                }
                other => message(self.group, &self.state, &office.leader, shard_now, other),
            };
            self.outputs.extend(message.map(|(edge, message)| ShardOutput::Send(edge, message)));
        }
        for action in actions {
            if propose(self.clock.stamp(now, action.clone()).encode()).is_none() {
                office.unproposed.push(action);
            }
        }
    }

    /// What is to be done.
    pub fn outputs(&mut self) -> Vec<ShardOutput> {
        std::mem::take(&mut self.outputs)
    }

    /// When to poll next, on this process's clock.
    pub fn next_wake(&self, now: u64) -> Option<u64> {
        let office = self.office.as_ref()?;
        let at = office.leader.next_wake(self.clock.shard_ms(now))?;
        Some(self.clock.local_ms(at))
    }
}
