//! The volatile part of a shard: who may run what now.

mod applying;
mod calling;
mod connections;
mod dispatching;
mod gate;
mod outcomes;
mod permitting;
mod placing;
mod starving;

use std::collections::{BTreeMap, HashMap};

use ruddervalve_flow::SendWindows;
use ruddervalve_protocol::{Incarnation, LeaseId, MessageId};

use crate::backoff::Jitter;
use crate::callbacks::Callbacks;
use crate::edges::Edges;
use crate::entry::{Entry, Phase, Reporter};
use crate::leases::LeaseTable;
use crate::observation::Observation;
use crate::ordering::KeyQueues;
use crate::output::LeaderOutput;
use crate::permits::Permits;
use crate::policy::SharedPolicy;
use crate::quota::OriginWindow;
use crate::ready::Schedule;
use crate::records::Sequence;
use crate::services::{ServiceIndex, ServiceSettings, Services};
use crate::settings::LeaderSettings;
use crate::{Action, ShardState};

pub use dispatching::RoomUse;
use gate::Gate;

/// The leader of a shard. Built when a replica becomes leader, after it has applied the first entry of its term (so that
/// all earlier entries are applied), and dropped as soon as it is leader no more.
///
/// All times (`now_ms`) are shard time, see [`crate::ShardClock::shard_ms`]. After each call, or after a few, [`poll`]
/// gives what is to be done. It must not be used while the replica's right to lead is in doubt: its grants don't go
/// through the log.
///
/// [`poll`]: ShardLeader::poll
pub struct ShardLeader {
    settings: LeaderSettings,
    policy: Option<SharedPolicy>,
    /// When the policy was last known to be the newest.
    confirmed_ms: u64,
    entries: BTreeMap<Sequence, Entry>,
    index: HashMap<MessageId, Sequence>,
    schedule: Schedule,
    ordering: KeyQueues,
    services: Services,
    leases: LeaseTable,
    permits: Permits,
    edges: Edges,
    callbacks: Callbacks,
    gate: Gate,
    jitter: Jitter,
    /// Services that have messages ready and no edge that can be given one, and since when.
    starving: BTreeMap<ServiceIndex, u64>,
    /// Of the last poll.
    room_use: RoomUse,
    outputs: Vec<LeaderOutput>,
    observations: Vec<Observation>,
}

impl ShardLeader {
    /// A leader that takes over now. Without a policy it grants nothing and ends nothing but by age.
    pub fn new(
        term: u64,
        now_ms: u64,
        state: &ShardState,
        policy: Option<SharedPolicy>,
        settings: LeaderSettings,
    ) -> Self {
        let window =
            OriginWindow { window_ms: settings.origin_window_ms, overshoot: settings.origin_overshoot };
        let trial_waits = settings.trial_waits();
        let mut leader = Self {
            policy: None,
            confirmed_ms: now_ms,
            entries: BTreeMap::new(),
            index: HashMap::new(),
            schedule: Schedule::default(),
            ordering: KeyQueues::default(),
            services: Services::new(ServiceSettings { window, trial_waits, started_ms: now_ms }),
            leases: LeaseTable::new(term),
            permits: Permits::default(),
            edges: Edges::new(settings.quiet_after_ms()),
            callbacks: Callbacks::new(&settings),
            gate: Gate::new(now_ms, settings.visibility_timeout_ms, state),
            jitter: Jitter::new(settings.seed),
            starving: BTreeMap::new(),
            room_use: RoomUse::default(),
            outputs: Vec::new(),
            observations: Vec::new(),
            settings,
        };
        leader.take_edges(now_ms, state);
        leader.take_messages(state);
        leader.take_callbacks(state);
        leader.propose_limits(state);
        if let Some(policy) = policy {
            leader.set_policy(now_ms, policy);
        }
        leader
    }

    /// What is to be done now, in order. Call it after other calls, and when [`ShardLeader::next_wake`] says. Messages are
    /// granted while there is room for them in the windows.
    pub fn poll(&mut self, now_ms: u64, windows: &mut SendWindows<Incarnation>) -> Vec<LeaderOutput> {
        self.check_edges(now_ms);
        self.open_gate(now_ms);
        self.end_expired(now_ms);
        self.place_due(now_ms);
        self.dispatch_all(now_ms, windows);
        self.observe_starving(now_ms);
        self.callbacks.dispatch(now_ms, &self.edges, &mut self.outputs);
        std::mem::take(&mut self.outputs)
    }

    /// What was seen since the last call: for logs, nothing else follows from it.
    pub fn observations(&mut self) -> Vec<Observation> {
        std::mem::take(&mut self.observations)
    }

    /// When to poll next, if nothing else happens; `now_ms` if at once.
    pub fn next_wake(&self, now_ms: u64) -> Option<u64> {
        if !self.outputs.is_empty() || self.services.any_dirty() || self.callbacks.any_dirty() {
            return Some(now_ms);
        }
        let times = [
            self.schedule.next_ms(),
            self.services.next_wake_ms(),
            self.edges.next_check_ms(),
            self.callbacks.next_ms(),
            self.gate.deadline_ms(),
        ];
        times.into_iter().flatten().min()
    }

    /// Messages that an edge holds now.
    pub fn outstanding_at(&self, edge: Incarnation) -> usize {
        self.leases.of(edge).len()
    }

    /// The service that the delivery of a leased message counts at.
    pub fn counted_at(&self, id: &MessageId) -> Option<&str> {
        let service = self.entries.get(self.index.get(id)?)?.held_lease()?.service?;
        Some(&self.services.get(service)?.name)
    }

    /// The lease of a message, and who holds it.
    pub fn lease_of(&self, id: &MessageId) -> Option<(Incarnation, LeaseId)> {
        let lease = self.entries.get(self.index.get(id)?)?.held_lease()?;
        Some((lease.edge, lease.id))
    }

    fn take_messages(&mut self, state: &ShardState) {
        let phase = || if self.gate.is_open() { Phase::Unrouted } else { Phase::Suspect };
        let messages = state.pending_messages();
        self.entries = messages.map(|(sequence, pending)| (sequence, Entry::new(pending, phase()))).collect();
        for (sequence, entry) in &self.entries {
            self.index.insert(entry.id().clone(), *sequence);
            self.schedule.expiry.insert(entry.expires_ms, *sequence);
            if let Some(key) = &entry.message.ordering_key {
                self.ordering.insert(key, *sequence);
            }
        }
    }

    fn take_callbacks(&mut self, state: &ShardState) {
        for (id, owed) in state.owed_callbacks() {
            self.callbacks.add_suspect(owed.sequence, id, &owed.url);
        }
        if self.gate.is_open() {
            self.callbacks.release_suspects();
        }
    }

    fn propose_limits(&mut self, state: &ShardState) {
        if state.limits() != self.settings.limits {
            self.propose(Action::SetLimits(self.settings.limits));
        }
    }

    fn propose(&mut self, action: Action) {
        self.outputs.push(LeaderOutput::Propose(action));
    }

    fn observe(&mut self, observation: Observation) {
        self.observations.push(observation);
    }

    fn tell_recorded(&mut self, reporter: Reporter, id: &MessageId) {
        let Reporter { edge, lease } = reporter;
        self.outputs.push(LeaderOutput::Recorded { edge, id: id.clone(), lease });
    }
}
