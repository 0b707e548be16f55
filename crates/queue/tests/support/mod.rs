//! A shard with one replica, for tests: proposals are applied as soon as they are made, unless they are held.

#![allow(dead_code, reason = "each test file uses a part of it")]

use std::collections::BTreeMap;
use std::sync::Arc;

use ruddervalve_configuration::Locality;
use ruddervalve_flow::SendWindows;
use ruddervalve_protocol::{
    Blob, DeliveryOutcome, EndPhase, Incarnation, InventoryItem, LeaseId, MessageId, MessagePhase, NewMessage,
};
use ruddervalve_queue::{
    Action, Applied, Command, EdgeSession, LeaderOutput, LeaderSettings, Policy, RoutePolicy, ServicePolicy,
    ShardLeader, ShardState, SharedPolicy, StateLimits,
};

pub const VISIBILITY_MS: u64 = 3000;
pub const STATUS_TTL_MS: u64 = 120_000;
pub const CALLBACK_KEEP_MS: u64 = 300_000;
pub const FAR_MS: u64 = 1_000_000;

#[derive(Debug, Clone)]
pub struct TestRoute {
    pub service: String,
    pub priority_class: u32,
    pub max_retries: u32,
    pub schedule_target_ms: u64,
}

/// Routes by the start of the path, services by name.
#[derive(Debug, Clone, Default)]
pub struct TestPolicy {
    pub routes: BTreeMap<String, TestRoute>,
    pub services: BTreeMap<String, ServicePolicy>,
}

impl TestPolicy {
    pub fn route(mut self, prefix: &str, service: &str) -> Self {
        let route = TestRoute {
            service: service.to_owned(),
            priority_class: 1,
            max_retries: 4,
            schedule_target_ms: 1000,
        };
        self.routes.insert(prefix.to_owned(), route);
        self
    }

    pub fn urgent_route(mut self, prefix: &str, service: &str) -> Self {
        self = self.route(prefix, service);
        if let Some(route) = self.routes.get_mut(prefix) {
            route.priority_class = 0;
        }
        self
    }

    pub fn service(mut self, name: &str) -> Self {
        let service = ServicePolicy { max_connections: 100, rate_per_s: 0.0, single_endpoint: false };
        self.services.insert(name.to_owned(), service);
        self
    }

    pub fn limited(mut self, name: &str, rate_per_s: f64) -> Self {
        let service = ServicePolicy { max_connections: 100, rate_per_s, single_endpoint: false };
        self.services.insert(name.to_owned(), service);
        self
    }

    pub fn endpoint(mut self, name: &str, max_connections: u32) -> Self {
        let service = ServicePolicy { max_connections, rate_per_s: 0.0, single_endpoint: true };
        self.services.insert(name.to_owned(), service);
        self
    }

    pub fn shared(self) -> SharedPolicy {
        Arc::new(self)
    }
}

impl Policy for TestPolicy {
    fn route(&self, _host: &str, path: &str) -> Option<RoutePolicy<'_>> {
        let (_, route) = self.routes.iter().find(|(prefix, _)| path.starts_with(prefix.as_str()))?;
        Some(RoutePolicy {
            service: &route.service,
            priority_class: route.priority_class,
            max_retries: route.max_retries,
            schedule_target_ms: route.schedule_target_ms,
        })
    }

    fn service(&self, name: &str) -> Option<ServicePolicy> {
        self.services.get(name).copied()
    }
}

pub fn settings() -> LeaderSettings {
    LeaderSettings {
        locality: Locality::new("near", Vec::new()),
        seed: 7,
        visibility_timeout_ms: VISIBILITY_MS,
        reconnect_ms: VISIBILITY_MS,
        liveness_ms: 4000,
        route_grace_ms: 0,
        origin_window_ms: 5000,
        origin_overshoot: 1.1,
        callback_timeout_ms: 5000,
        callbacks_per_receiver: 4,
        limits: StateLimits { status_ttl_ms: STATUS_TTL_MS, callback_keep_ms: CALLBACK_KEEP_MS },
    }
}

/// One service `s` under `/s/`.
pub fn plain_policy() -> TestPolicy {
    TestPolicy::default().route("/s/", "s").service("s")
}

pub fn id(name: &str) -> MessageId {
    MessageId(name.to_owned())
}

pub fn message(name: &str, path: &str) -> NewMessage {
    NewMessage {
        id: id(name),
        route: "r".to_owned(),
        service: "s".to_owned(),
        method: "POST".to_owned(),
        host: "h.example".to_owned(),
        path: path.to_owned(),
        content_type: String::new(),
        ordering_key: None,
        callback_url: None,
        delay_ms: 0,
        retention_ms: FAR_MS,
        body: Blob::from(format!("body of {name}").into_bytes()),
    }
}

pub fn keyed(name: &str, path: &str, key: &str) -> NewMessage {
    NewMessage { ordering_key: Some(key.to_owned()), ..message(name, path) }
}

pub fn calling(name: &str, path: &str, url: &str) -> NewMessage {
    NewMessage { callback_url: Some(url.to_owned()), ..message(name, path) }
}

pub fn success() -> DeliveryOutcome {
    DeliveryOutcome::Succeeded { signature: "sig".to_owned() }
}

pub fn edge(number: u64) -> Incarnation {
    Incarnation(number)
}

pub struct Shard {
    pub state: ShardState,
    pub leader: ShardLeader,
    pub now_ms: u64,
    pub term: u64,
    pub policy: SharedPolicy,
    pub settings: LeaderSettings,
    /// Proposals are kept here instead of being applied.
    pub holds: bool,
    pub held: Vec<Action>,
    pub windows: SendWindows<Incarnation>,
}

impl Shard {
    pub fn new(policy: TestPolicy) -> Self {
        Self::with_settings(policy, settings())
    }

    pub fn with_settings(policy: TestPolicy, settings: LeaderSettings) -> Self {
        let state = ShardState::new();
        let policy = policy.shared();
        let now_ms = 1000;
        let leader = ShardLeader::new(1, now_ms, &state, Some(Arc::clone(&policy)), settings.clone());
        let windows = SendWindows::new(usize::MAX);
        Self { state, leader, now_ms, term: 1, policy, settings, holds: false, held: Vec::new(), windows }
    }

    pub fn apply(&mut self, action: Action) -> Applied {
        let command = Command { shard_ms: self.now_ms, wall_ms: self.now_ms, action };
        let decoded = Command::decode(command.encode().as_slice()).expect("own encoding");
        assert_eq!(decoded, command);
        let applied = self.state.apply(&command);
        self.leader.applied(self.now_ms, &command.action, &applied, &self.state);
        applied
    }

    /// Polls until nothing more follows; proposals are applied or held, the rest is returned.
    pub fn poll(&mut self) -> Vec<LeaderOutput> {
        let mut all = Vec::new();
        loop {
            let outputs = self.leader.poll(self.now_ms, &mut self.windows);
            if outputs.is_empty() {
                return all;
            }
            for output in outputs {
                match output {
                    LeaderOutput::Propose(action) if self.holds => self.held.push(action),
                    LeaderOutput::Propose(action) => {
                        self.apply(action);
                    }
                    other => all.push(other),
                }
            }
        }
    }

    /// Applies what was held, and goes on as usual.
    pub fn unhold(&mut self) {
        self.holds = false;
        for action in std::mem::take(&mut self.held) {
            self.apply(action);
        }
    }

    pub fn advance(&mut self, by_ms: u64) {
        self.now_ms += by_ms;
    }

    /// A new leader of the next term on the same state.
    pub fn change_leader(&mut self) {
        self.term += 1;
        self.held.clear();
        let policy = Some(Arc::clone(&self.policy));
        self.leader = ShardLeader::new(self.term, self.now_ms, &self.state, policy, self.settings.clone());
    }

    pub fn connect(&mut self, number: u64, node: &str, zone: &str) -> Vec<LeaderOutput> {
        let session = EdgeSession { incarnation: edge(number), node: node.to_owned(), zone: zone.to_owned() };
        self.leader.edge_connected(self.now_ms, &session);
        self.poll()
    }

    /// Connects an edge that holds nothing and can do much.
    pub fn join(&mut self, number: u64, zone: &str) {
        let outputs = self.connect(number, &format!("node-{number}"), zone);
        assert!(outputs.is_empty(), "lost to the test: {outputs:?}");
        self.leader.inventory(self.now_ms, edge(number), &[]);
    }

    pub fn join_with_credits(&mut self, number: u64, zone: &str, service: &str, credits: u32) {
        self.join(number, zone);
        self.credits(number, service, credits);
    }

    pub fn credits(&mut self, number: u64, service: &str, credits: u32) {
        self.leader.credits(self.now_ms, edge(number), &[(service.to_owned(), credits)]);
    }

    pub fn inventory(&mut self, number: u64, leases: &[(&str, LeaseId)]) {
        let items: Vec<_> =
            leases.iter().map(|(name, lease)| InventoryItem { id: id(name), lease: Some(*lease) }).collect();
        self.leader.inventory(self.now_ms, edge(number), &items);
    }

    /// Accepts a message at edge 1, due after its delay.
    pub fn accept(&mut self, message: NewMessage) {
        self.accept_at(message, 1, false);
    }

    pub fn accept_at(&mut self, message: NewMessage, by: u64, wants_lease: bool) -> Option<LeaseId> {
        let due_ms = self.now_ms + message.delay_ms;
        let expires_ms = self.now_ms + message.retention_ms;
        let id = message.id.clone();
        self.apply(Action::Accept { message: message.into(), due_ms, expires_ms, accepted_by: edge(by) });
        self.leader.accepted(self.now_ms, &id, edge(by), wants_lease, &mut self.windows)
    }

    /// Names of the messages granted now, with edge and lease.
    pub fn grants(&mut self) -> Vec<(String, u64, LeaseId)> {
        grants_in(&self.poll())
    }

    pub fn granted_names(&mut self) -> Vec<String> {
        self.grants().into_iter().map(|(name, _, _)| name).collect()
    }

    /// The one grant that must come now.
    pub fn granted(&mut self, name: &str) -> (u64, LeaseId) {
        let grants = self.grants();
        match grants.as_slice() {
            [(granted, edge, lease)] if granted == name => (*edge, *lease),
            other => panic!("expected a grant of {name} alone, got {other:?}"),
        }
    }

    pub fn outcome(&mut self, from: u64, name: &str, lease: LeaseId, outcome: DeliveryOutcome) {
        self.leader.outcome(self.now_ms, edge(from), &id(name), lease, outcome);
    }

    pub fn phase(&self, name: &str) -> Option<MessagePhase> {
        self.state.status(&id(name))
    }

    pub fn is_dead(&self, name: &str) -> bool {
        matches!(self.phase(name), Some(MessagePhase::Ended { phase: EndPhase::DeadLetter, .. }))
    }

    pub fn has_succeeded(&self, name: &str) -> bool {
        matches!(self.phase(name), Some(MessagePhase::Ended { phase: EndPhase::Succeeded, .. }))
    }

    /// Lets time pass to the next wake-up until something is granted, at most until `limit_ms` from now.
    pub fn grants_within(&mut self, limit_ms: u64) -> Vec<(String, u64, LeaseId)> {
        let end_ms = self.now_ms + limit_ms;
        loop {
            let grants = self.grants();
            let next_ms = self.leader.next_wake(self.now_ms).unwrap_or(u64::MAX);
            if !grants.is_empty() || next_ms > end_ms {
                return grants;
            }
            self.now_ms = next_ms.max(self.now_ms);
        }
    }
}

pub fn grants_in(outputs: &[LeaderOutput]) -> Vec<(String, u64, LeaseId)> {
    let grants = outputs.iter().filter_map(|output| match output {
        LeaderOutput::Grant { edge, id, lease } => Some((id.0.clone(), edge.0, *lease)),
        _ => None,
    });
    grants.collect()
}

pub fn recorded_in(outputs: &[LeaderOutput]) -> Vec<(String, u64, LeaseId)> {
    let records = outputs.iter().filter_map(|output| match output {
        LeaderOutput::Recorded { edge, id, lease } => Some((id.0.clone(), edge.0, *lease)),
        _ => None,
    });
    records.collect()
}

pub fn callbacks_in(outputs: &[LeaderOutput]) -> Vec<(String, u64)> {
    let calls = outputs.iter().filter_map(|output| match output {
        LeaderOutput::CallBack { edge, id } => Some((id.0.clone(), edge.0)),
        _ => None,
    });
    calls.collect()
}

pub fn callback_records_in(outputs: &[LeaderOutput]) -> Vec<(String, u64)> {
    let records = outputs.iter().filter_map(|output| match output {
        LeaderOutput::CallbackRecorded { edge, id } => Some((id.0.clone(), edge.0)),
        _ => None,
    });
    records.collect()
}
