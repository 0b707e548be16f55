//! Bodies that edges ask for: they wait for room on the connection, so that any number may be asked for at a time.

use std::collections::{BTreeMap, VecDeque};

use ruddervalve_protocol::{ANSWER_WANTED_MS, GroupId, Incarnation, MessageId, StoreToEdge};

use super::StoreCore;

/// A body that an edge has asked for.
#[derive(Debug)]
pub(super) struct BodyRequest {
    pub(super) request: u64,
    pub(super) group: GroupId,
    pub(super) id: MessageId,
    pub(super) asked_at: u64,
}

/// What one edge has asked for and there was no room for.
#[derive(Debug, Default)]
struct EdgeRequests {
    waiting: VecDeque<BodyRequest>,
    /// Whether these get the room that comes free before messages to be delivered do.
    go_first: bool,
}

/// All bodies that edges wait for.
#[derive(Debug, Default)]
pub(super) struct BodyRequests {
    edges: BTreeMap<Incarnation, EdgeRequests>,
}

impl BodyRequests {
    /// Whether an edge waits for a body.
    pub(super) fn are_waiting(&self, edge: Incarnation) -> bool {
        self.edges.contains_key(&edge)
    }

    pub(super) fn push(&mut self, edge: Incarnation, request: BodyRequest) {
        self.edges.entry(edge).or_default().waiting.push_back(request);
    }

    /// The connection of an edge has ended, and its questions with it.
    pub(super) fn forget(&mut self, edge: Incarnation) {
        self.edges.remove(&edge);
    }

    /// There is room again on the connection to an edge: bodies and deliveries take turns at being the first to get it.
    pub(super) fn room_came(&mut self, edge: Incarnation) {
        if let Some(requests) = self.edges.get_mut(&edge) {
            requests.go_first = !requests.go_first;
        }
    }

    /// The next request of an edge; those that nobody waits for any more are passed over.
    fn pop(&mut self, now: u64, edge: Incarnation) -> Option<BodyRequest> {
        let requests = self.edges.get_mut(&edge)?;
        let is_wanted = |request: &BodyRequest| now < request.asked_at.saturating_add(ANSWER_WANTED_MS);
        let next = std::iter::from_fn(|| requests.waiting.pop_front()).find(is_wanted);
        if requests.waiting.is_empty() {
            self.edges.remove(&edge);
        }
        next
    }

    /// The edges that wait; `first_only`: those whose requests go before deliveries.
    fn waiting_edges(&self, first_only: bool) -> Vec<Incarnation> {
        let edges = self.edges.iter().filter(|(_, requests)| requests.go_first || !first_only);
        edges.map(|(edge, _)| *edge).collect()
    }
}

impl StoreCore {
    /// An edge asks for a body.
    pub(super) fn body_wanted(&mut self, now: u64, edge: Incarnation, request: BodyRequest) {
        if self.windows.has_room(edge) && !self.bodies.are_waiting(edge) {
            return self.send_body(now, edge, request);
        }
        self.bodies.push(edge, request);
    }

    /// Sends the bodies that edges wait for, as far as there is room; `first_only`: those that go before deliveries.
    pub(super) fn send_bodies(&mut self, now: u64, first_only: bool) {
        for edge in self.bodies.waiting_edges(first_only) {
            while self.windows.has_room(edge) {
                let Some(request) = self.bodies.pop(now, edge) else { break };
                self.send_body(now, edge, request);
            }
        }
    }

    fn send_body(&mut self, now: u64, edge: Incarnation, request: BodyRequest) {
        let BodyRequest { request, group, id, .. } = request;
        let leads = self.may_lead(group, now);
        let shard = self.shards.get(&group).filter(|_| leads);
        let phase = shard.and_then(|shard| shard.state().status(&id));
        let body = shard.and_then(|shard| shard.state().body(&id));
        self.windows.charge(edge, body.as_ref().map_or(0, |body| body.len()));
        self.send(edge, StoreToEdge::Status { request, leads, phase, body });
    }
}
