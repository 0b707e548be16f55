//! Random histories of a replicated shard: edges die, connections break, leaders change, proposals are lost. Whatever
//! happens, no message is lost, keys keep their order, a recorded success is final, quotas hold, and all replicas agree.

mod support;

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

use proptest::prelude::*;
use ruddervalve_flow::SendWindows;
use ruddervalve_protocol::{
    DeliveryOutcome, EndPhase, Incarnation, InventoryItem, LeaseId, MessageId, MessagePhase,
};
use ruddervalve_queue::{
    Action, Command, EdgeSession, Effect, LeaderOutput, ShardLeader, ShardState, SharedPolicy,
};
use support::{TestPolicy, VISIBILITY_MS, id, settings, success};

const REPLICAS: usize = 3;
const NODES: usize = 3;
/// So low that the histories meet it.
const RATE_PER_S: f64 = 1.0;
/// Between the steps that edges take by themselves; well below what makes them quiet.
const LONGEST_STEP_MS: u64 = 400;

#[derive(Debug, Clone)]
enum Step {
    Accept {
        node: usize,
        service: usize,
        key: Option<u8>,
        delay_ms: u64,
        wants_lease: bool,
        calls: bool,
    },
    /// An edge ends one of the deliveries that it holds.
    Finish {
        node: usize,
        which: usize,
        outcome: usize,
    },
    /// An edge ends one of the call-backs that it makes.
    Call {
        node: usize,
        which: usize,
        taken: bool,
    },
    /// An edge repeats all that has not been recorded.
    Repeat {
        node: usize,
    },
    /// The oldest proposals are applied.
    Commit {
        count: usize,
    },
    Advance {
        by_ms: u64,
    },
    /// The process dies with all that it holds; another one starts.
    Die {
        node: usize,
    },
    /// Nothing comes through any more, either way, and nobody knows.
    Deafen {
        node: usize,
    },
    /// The connection breaks.
    Break {
        node: usize,
    },
    Reconnect {
        node: usize,
    },
    /// Another replica leads; the first proposals survive, the others are lost.
    ChangeLeader {
        replica: usize,
        survive: usize,
    },
    /// A replica starts anew from a snapshot.
    Restore {
        replica: usize,
    },
}

fn step() -> impl Strategy<Value = Step> {
    let node = 0..NODES;
    prop_oneof![
        8 => (node.clone(), prop_oneof![Just(0usize), Just(1), Just(1), Just(2)], prop::option::of(0..2u8), prop_oneof![Just(0u64), 1..900u64], any::<bool>(), any::<bool>())
            .prop_map(|(node, service, key, delay_ms, wants_lease, calls)| {
                Step::Accept { node, service, key, delay_ms, wants_lease, calls }
            }),
        8 => (node.clone(), any::<usize>(), 0..6usize)
            .prop_map(|(node, which, outcome)| Step::Finish { node, which, outcome }),
        2 => (node.clone(), any::<usize>(), any::<bool>())
            .prop_map(|(node, which, taken)| Step::Call { node, which, taken }),
        2 => node.clone().prop_map(|node| Step::Repeat { node }),
        10 => (1..6usize).prop_map(|count| Step::Commit { count }),
        6 => (1..LONGEST_STEP_MS).prop_map(|by_ms| Step::Advance { by_ms }),
        1 => node.clone().prop_map(|node| Step::Die { node }),
        1 => node.clone().prop_map(|node| Step::Deafen { node }),
        1 => node.clone().prop_map(|node| Step::Break { node }),
        3 => node.prop_map(|node| Step::Reconnect { node }),
        1 => (0..REPLICAS, 0..4usize).prop_map(|(replica, survive)| Step::ChangeLeader { replica, survive }),
        1 => (0..REPLICAS).prop_map(|replica| Step::Restore { replica }),
    ]
}

fn policy() -> SharedPolicy {
    TestPolicy::default()
        .route("/0/", "s0")
        .service("s0")
        .route("/1/", "s1")
        .limited("s1", RATE_PER_S)
        .route("/2/", "s2")
        .endpoint("s2", 4)
        .shared()
}

/// A delivery at an edge: at its runner until it has an outcome, which is repeated until it is recorded.
#[derive(Debug, Clone)]
struct Held {
    id: MessageId,
    outcome: Option<DeliveryOutcome>,
}

#[derive(Debug, Default)]
struct EdgeProcess {
    incarnation: Incarnation,
    connected: bool,
    /// What it sends and what is sent to it is lost.
    deaf: bool,
    /// When it last spoke to a leader.
    spoke_ms: u64,
    leases: BTreeMap<LeaseId, Held>,
    /// Call-backs; whether the receiver has taken them.
    calls: BTreeMap<MessageId, bool>,
}

#[derive(Debug, Clone)]
struct Accepted {
    place: usize,
    key: Option<(usize, u8)>,
    service: usize,
    due_ms: u64,
}

struct World {
    now_ms: u64,
    term: u64,
    log: Vec<Command>,
    replicas: Vec<ShardState>,
    applied: Vec<usize>,
    leading: usize,
    leader: ShardLeader,
    /// So small that each message fills the connection of its edge.
    windows: SendWindows<Incarnation>,
    proposals: VecDeque<Action>,
    wanted: BTreeMap<MessageId, (usize, bool)>,
    edges: Vec<EdgeProcess>,
    next_incarnation: u64,
    next_message: usize,
    accepted: BTreeMap<MessageId, Accepted>,
    /// How often a runner answered 500.
    failures: BTreeMap<MessageId, u32>,
    refused: BTreeSet<MessageId>,
    ran: BTreeSet<MessageId>,
    succeeded: BTreeSet<MessageId>,
    limited_grants_ms: Vec<u64>,
}

impl World {
    fn new() -> Self {
        let replicas: Vec<ShardState> = (0..REPLICAS).map(|_| ShardState::new()).collect();
        let leader = ShardLeader::new(1, 0, &replicas[0], Some(policy()), settings());
        let mut world = Self {
            windows: SendWindows::new(1),
            now_ms: 0,
            term: 1,
            log: Vec::new(),
            replicas,
            applied: vec![0; REPLICAS],
            leading: 0,
            leader,
            proposals: VecDeque::new(),
            wanted: BTreeMap::new(),
            edges: (0..NODES).map(|_| EdgeProcess::default()).collect(),
            next_incarnation: 1,
            next_message: 0,
            accepted: BTreeMap::new(),
            failures: BTreeMap::new(),
            refused: BTreeSet::new(),
            ran: BTreeSet::new(),
            succeeded: BTreeSet::new(),
            limited_grants_ms: Vec::new(),
        };
        for node in 0..NODES {
            world.start(node);
            world.connect(node);
        }
        world
    }

    fn start(&mut self, node: usize) {
        let incarnation = Incarnation(self.next_incarnation);
        self.next_incarnation += 1;
        self.edges[node] = EdgeProcess { incarnation, ..EdgeProcess::default() };
    }

    fn connect(&mut self, node: usize) {
        let edge = &mut self.edges[node];
        edge.connected = true;
        edge.deaf = false;
        edge.spoke_ms = self.now_ms;
        let incarnation = edge.incarnation;
        let leases = edge
            .leases
            .iter()
            .map(|(lease, held)| InventoryItem { id: held.id.clone(), lease: Some(*lease) });
        let calls = edge.calls.keys().map(|id| InventoryItem { id: id.clone(), lease: None });
        let items: Vec<InventoryItem> = leases.chain(calls).collect();
        let session = EdgeSession { incarnation, node: format!("node-{node}"), zone: "near".to_owned() };
        self.leader.edge_connected(self.now_ms, &session);
        self.leader.inventory(self.now_ms, incarnation, &items);
        let credits: Vec<(String, u32)> = (0..3).map(|service| (format!("s{service}"), 50)).collect();
        self.leader.credits(self.now_ms, incarnation, &credits);
        self.repeat(node);
    }

    fn break_connection(&mut self, node: usize) {
        if std::mem::take(&mut self.edges[node].connected) {
            self.leader.edge_disconnected(self.now_ms, self.edges[node].incarnation);
        }
    }

    fn repeat(&mut self, node: usize) {
        if !self.speaks(node) {
            return;
        }
        let edge = &self.edges[node];
        for (lease, held) in &edge.leases {
            if let Some(outcome) = &held.outcome {
                self.leader.outcome(self.now_ms, edge.incarnation, &held.id, *lease, outcome.clone());
            }
        }
        for (id, taken) in &edge.calls {
            if *taken {
                self.leader.callback_taken(self.now_ms, edge.incarnation, id);
            }
        }
    }

    /// Whether what an edge says now reaches the leader.
    fn speaks(&mut self, node: usize) -> bool {
        let edge = &mut self.edges[node];
        let speaks = edge.connected && !edge.deaf;
        if speaks {
            edge.spoke_ms = self.now_ms;
        }
        speaks
    }

    fn propose(&mut self, action: Action) {
        self.proposals.push_back(action);
    }

    fn commit(&mut self) {
        let Some(action) = self.proposals.pop_front() else { return };
        self.log.push(Command { shard_ms: self.now_ms, wall_ms: self.now_ms, action });
        self.catch_up_leader();
    }

    /// Applies the rest of the log at the replica that leads, and tells the leader.
    fn catch_up_leader(&mut self) {
        while self.applied[self.leading] < self.log.len() {
            let command = &self.log[self.applied[self.leading]];
            let state = &mut self.replicas[self.leading];
            let applied = state.apply(command);
            self.applied[self.leading] += 1;
            self.leader.applied(self.now_ms, &command.action, &applied, state);
            if let Action::Accept { message, due_ms, .. } = &command.action {
                let (id, due_ms) = (message.id.clone(), *due_ms);
                let key = message.ordering_key.as_ref().and_then(|key| key.parse().ok());
                let service = message.path[1..2].parse().unwrap_or(0);
                if matches!(applied.effect, Effect::Accepted { .. }) {
                    let place = self.accepted.len();
                    let key = key.map(|key| (service, key));
                    self.accepted.insert(id.clone(), Accepted { place, key, service, due_ms });
                }
                self.answer_append(&id);
            }
        }
    }

    fn answer_append(&mut self, id: &MessageId) {
        let Some((node, wants_lease)) = self.wanted.remove(id) else { return };
        let incarnation = self.edges[node].incarnation;
        let wants_lease = wants_lease && self.edges[node].connected && !self.edges[node].deaf;
        if let Some(lease) =
            self.leader.accepted(self.now_ms, id, incarnation, wants_lease, &mut self.windows)
        {
            self.begin(incarnation, id, lease);
        }
    }

    fn lead(&mut self, replica: usize, survive: usize) {
        for _ in 0..survive {
            self.commit();
        }
        self.proposals.clear();
        self.wanted.clear();
        while self.applied[replica] < self.log.len() {
            let command = &self.log[self.applied[replica]];
            self.replicas[replica].apply(command);
            self.applied[replica] += 1;
        }
        self.leading = replica;
        self.term += 1;
        let state = &self.replicas[replica];
        self.leader = ShardLeader::new(self.term, self.now_ms, state, Some(policy()), settings());
        for edge in &mut self.edges {
            edge.connected = false;
            edge.deaf = false;
        }
    }

    fn poll(&mut self) {
        loop {
            let outputs = self.leader.poll(self.now_ms, &mut self.windows);
            if outputs.is_empty() {
                return;
            }
            for output in outputs {
                self.act(output);
            }
            self.send_all();
        }
    }

    /// What was handed to the connections of edges leaves.
    fn send_all(&mut self) {
        let unsent: Vec<Incarnation> = self.windows.peers().collect();
        for edge in unsent {
            if self.windows.refresh(edge, 0) {
                self.leader.room_came();
            }
        }
    }

    fn act(&mut self, output: LeaderOutput) {
        match output {
            LeaderOutput::Propose(action) => self.propose(action),
            LeaderOutput::Grant { edge, id, lease } => self.begin(edge, &id, lease),
            LeaderOutput::CallBack { edge, id } => {
                let phase = self.replicas[self.leading].status(&id);
                assert!(
                    matches!(phase, Some(MessagePhase::Ended { .. })),
                    "call-back of {id:?} in {phase:?}"
                );
                if let Some(edge) = self.process(edge) {
                    edge.calls.insert(id, false);
                }
            }
            LeaderOutput::Recorded { edge, id, lease } => {
                let held = self.process(edge).and_then(|edge| edge.leases.remove(&lease));
                if held.is_some_and(|held| held.outcome == Some(DeliveryOutcome::Failed)) {
                    self.check_counted(&id, lease);
                }
            }
            LeaderOutput::Permit { .. } => panic!("no edge has asked for a permit"),
            LeaderOutput::CallbackRecorded { edge, id } => {
                if let Some(edge) = self.process(edge) {
                    edge.calls.remove(&id);
                }
            }
        }
    }

    /// A failed attempt that was confirmed counts, unless the message has ended.
    fn check_counted(&self, id: &MessageId, lease: LeaseId) {
        let state = &self.replicas[self.leading];
        let pending = state.sequence(id).and_then(|sequence| state.pending(sequence));
        let counts = pending.is_none_or(|pending| pending.failed_attempts.contains(&lease));
        assert!(counts, "an attempt of {id:?} was confirmed and is not counted");
    }

    /// The process of that life, if it runs and can be reached.
    fn process(&mut self, incarnation: Incarnation) -> Option<&mut EdgeProcess> {
        self.edges.iter_mut().find(|edge| edge.incarnation == incarnation && edge.connected && !edge.deaf)
    }

    /// A delivery begins: all the rules are checked here.
    fn begin(&mut self, incarnation: Incarnation, id: &MessageId, lease: LeaseId) {
        let message = self.accepted.get(id).expect("accepted").clone();
        let state = &self.replicas[self.leading];
        assert_eq!(state.status(id), Some(MessagePhase::Pending), "{id:?} has ended");
        assert!(!self.succeeded.contains(id), "{id:?} runs again after a recorded success");
        assert!(message.due_ms <= self.now_ms, "{id:?} runs early");
        if message.service == 1 {
            self.limited_grants_ms.push(self.now_ms);
        }
        self.check_not_running(id, &message);
        for (other, accepted) in &self.accepted {
            if message.key.is_some() && accepted.key == message.key && accepted.place < message.place {
                assert_ne!(state.status(other), Some(MessagePhase::Pending), "{id:?} overtakes {other:?}");
            }
        }
        if let Some(edge) = self.process(incarnation) {
            edge.leases.insert(lease, Held { id: id.clone(), outcome: None });
        }
    }

    /// No runner works on the message, or on another one of its key. Processes that were silent for the visibility timeout
    /// don't count: they must have given up.
    fn check_not_running(&self, id: &MessageId, message: &Accepted) {
        for edge in self.edges.iter().filter(|edge| self.now_ms < edge.spoke_ms + VISIBILITY_MS) {
            for held in edge.leases.values().filter(|held| held.outcome.is_none()) {
                assert_ne!(&held.id, id, "two runners work on {id:?}");
                let pending = self.replicas[self.leading].status(&held.id) == Some(MessagePhase::Pending);
                let same_key = message.key.is_some() && self.accepted[&held.id].key == message.key;
                assert!(!(same_key && pending), "{id:?} and {:?} run at once", held.id);
            }
        }
    }

    fn accept(
        &mut self,
        node: usize,
        service: usize,
        key: Option<u8>,
        delay_ms: u64,
        wants_lease: bool,
        calls: bool,
    ) {
        if !self.speaks(node) {
            return;
        }
        let name = format!("m{}", self.next_message);
        self.next_message += 1;
        let mut message = support::message(&name, &format!("/{service}/"));
        message.ordering_key = key.map(|key| key.to_string());
        message.callback_url = calls.then(|| "http://receiver:1/x".to_owned());
        let accepted_by = self.edges[node].incarnation;
        self.wanted.insert(message.id.clone(), (node, wants_lease));
        let due_ms = self.now_ms + delay_ms;
        self.propose(Action::Accept { message: message.into(), due_ms, expires_ms: u64::MAX, accepted_by });
    }

    fn finish(&mut self, node: usize, which: usize, outcome: usize) {
        let running = self.edges[node].leases.iter_mut().filter(|(_, held)| held.outcome.is_none());
        let mut running: Vec<_> = running.map(|(lease, held)| (*lease, held)).collect();
        if running.is_empty() {
            return;
        }
        let index = which % running.len();
        let (lease, held) = &mut running[index];
        let outcome = match outcome {
            0 => DeliveryOutcome::Failed,
            1 => DeliveryOutcome::Rejected,
            2 => DeliveryOutcome::NotRun { retry_after_ms: 30 },
            3 => DeliveryOutcome::Unclear,
            _ => success(),
        };
        let (lease, id) = (*lease, held.id.clone());
        held.outcome = Some(outcome.clone());
        match outcome {
            DeliveryOutcome::Failed => *self.failures.entry(id.clone()).or_default() += 1,
            DeliveryOutcome::Rejected => drop(self.refused.insert(id.clone())),
            DeliveryOutcome::Succeeded { .. } => drop(self.ran.insert(id.clone())),
            _ => {}
        }
        if self.speaks(node) {
            self.leader.outcome(self.now_ms, self.edges[node].incarnation, &id, lease, outcome);
        }
    }

    fn call(&mut self, node: usize, which: usize, taken: bool) {
        let edge = &self.edges[node];
        let making: Vec<MessageId> =
            edge.calls.iter().filter(|(_, taken)| !**taken).map(|(id, _)| id.clone()).collect();
        if making.is_empty() || !self.speaks(node) {
            return;
        }
        let edge = &mut self.edges[node];
        let id = &making[which % making.len()];
        if taken {
            edge.calls.insert(id.clone(), true);
            self.leader.callback_taken(self.now_ms, edge.incarnation, id);
        } else {
            edge.calls.remove(id);
            self.leader.callback_failed(self.now_ms, edge.incarnation, id);
        }
    }

    fn advance(&mut self, by_ms: u64) {
        self.now_ms += by_ms;
        for node in 0..NODES {
            if self.speaks(node) {
                self.leader.heartbeat(self.now_ms, self.edges[node].incarnation);
            }
        }
    }

    fn step(&mut self, step: &Step) {
        match *step {
            Step::Accept { node, service, key, delay_ms, wants_lease, calls } => {
                self.accept(node, service, key, delay_ms, wants_lease, calls);
            }
            Step::Finish { node, which, outcome } => self.finish(node, which, outcome),
            Step::Call { node, which, taken } => self.call(node, which, taken),
            Step::Repeat { node } => self.repeat(node),
            Step::Commit { count } => (0..count).for_each(|_| self.commit()),
            Step::Advance { by_ms } => self.advance(by_ms),
            Step::Die { node } => {
                self.break_connection(node);
                self.start(node);
            }
            Step::Deafen { node } => self.edges[node].deaf = true,
            Step::Break { node } => self.break_connection(node),
            Step::Reconnect { node } if !self.edges[node].connected => self.connect(node),
            Step::Reconnect { .. } => {}
            Step::ChangeLeader { replica, survive } => self.lead(replica, survive),
            Step::Restore { replica } => self.restore(replica),
        }
        self.poll();
        self.note_successes();
    }

    fn restore(&mut self, replica: usize) {
        let snapshot = self.replicas[replica].snapshot();
        self.replicas[replica] = ShardState::restore(&snapshot).expect("own snapshot");
        assert_eq!(self.replicas[replica].snapshot(), snapshot);
    }

    fn note_successes(&mut self) {
        let state = &self.replicas[self.leading];
        for id in self.accepted.keys() {
            match state.status(id) {
                Some(MessagePhase::Pending) => assert!(state.body(id).is_some(), "the bytes of {id:?}"),
                Some(MessagePhase::Ended { phase: EndPhase::Succeeded, signature }) => {
                    assert!(self.ran.contains(id) && signature == "sig", "{id:?} never succeeded");
                    self.succeeded.insert(id.clone());
                }
                Some(MessagePhase::Ended { phase: EndPhase::DeadLetter, .. }) => {
                    let failures = self.failures.get(id).copied().unwrap_or(0);
                    assert!(failures >= 4 || self.refused.contains(id), "{id:?} died after {failures}");
                }
                None => panic!("{id:?} is lost"),
            }
        }
    }

    /// All is well again: everything ends.
    fn settle(&mut self) {
        for _ in 0..10_000 {
            for node in 0..NODES {
                if !self.speaks(node) {
                    self.connect(node);
                }
                for which in 0..self.edges[node].leases.len() {
                    self.finish(node, which, 5);
                }
                for which in 0..self.edges[node].calls.len() {
                    self.call(node, which, true);
                }
            }
            while !self.proposals.is_empty() {
                self.commit();
            }
            self.poll();
            self.note_successes();
            let state = &self.replicas[self.leading];
            let idle = self.proposals.is_empty()
                && state.pending_count() == 0
                && state.owed_callbacks().next().is_none();
            if idle && self.edges.iter().all(|edge| edge.leases.is_empty()) {
                return;
            }
            self.advance(20);
        }
        panic!("{} messages never end", self.replicas[self.leading].pending_count());
    }

    fn check_quota(&self) {
        let settings = settings();
        let window_ms = settings.origin_window_ms;
        let allowed = RATE_PER_S * window_ms as f64 / 1000.0 * settings.origin_overshoot + 5.0;
        for start in &self.limited_grants_ms {
            let within = self.limited_grants_ms.iter().filter(|at| (*start..start + window_ms).contains(at));
            assert!(within.count() as f64 <= allowed);
        }
    }

    /// Replicas that have applied the same commands are equal, also those that were restored on the way.
    fn check_replicas(&mut self) {
        for replica in 0..REPLICAS {
            while self.applied[replica] < self.log.len() {
                self.replicas[replica].apply(&self.log[self.applied[replica]]);
                self.applied[replica] += 1;
            }
            assert_eq!(self.replicas[replica].snapshot(), self.replicas[0].snapshot());
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn no_history_breaks_a_rule(steps in prop::collection::vec(step(), 1..160)) {
        let mut world = World::new();
        for step in &steps {
            world.step(step);
        }
        world.settle();
        world.check_quota();
        world.check_replicas();
    }

    #[test]
    fn snapshots_restore_equal_states_at_any_point(steps in prop::collection::vec(step(), 1..80)) {
        let mut world = World::new();
        for step in &steps {
            world.step(step);
            world.restore(world.leading);
        }
        world.check_replicas();
    }
}

#[test]
fn the_model_itself_ends_what_it_accepts() {
    let mut world = World::new();
    world.step(&Step::Commit { count: 99 });
    for number in 0..40 {
        let key = (number % 2 == 0).then_some(1);
        world.accept(number % NODES, number % 3, key, 0, true, true);
    }
    world.settle();
    assert_eq!(world.succeeded.len(), 40);
    assert!(world.succeeded.contains(&id("m39")));
    assert_eq!(Arc::strong_count(&policy()), 1);
}
