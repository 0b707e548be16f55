//! Grants: which message goes to which edge now.

use std::cmp::Reverse;

use ruddervalve_configuration::Distance;
use ruddervalve_flow::SendWindows;
use ruddervalve_protocol::{Incarnation, LeaseId, MessageId};

use super::ShardLeader;
use crate::edges::{Edge, rendezvous};
use crate::entry::{Entry, HeldLease, Phase};
use crate::output::LeaderOutput;
use crate::records::Sequence;
use crate::services::{Service, ServiceIndex};

/// An edge holds at most this part of what a single endpoint takes while another edge could.
const ENDPOINT_EDGE_PART: u32 = 2;

/// How the room on the connections to edges was used.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct RoomUse {
    /// Messages were granted.
    pub granted: bool,
    /// Messages wait, as there is no room for more.
    pub ran_out: bool,
}

/// Why no edge gets a message now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum NoEdge {
    /// None can start another delivery.
    NoCredits,
    /// Some could, and too much waits on the connections to these.
    NoRoom,
}

impl ShardLeader {
    /// A message was accepted: call it after [`ShardLeader::applied`] for its `Accept`, before the next poll. Gives the
    /// lease at once if the edge wants it and the message may run now. The edge keeps a place for it besides its
    /// credits.
    pub fn accepted(
        &mut self,
        now_ms: u64,
        id: &MessageId,
        by: Incarnation,
        wants_lease: bool,
        windows: &mut SendWindows<Incarnation>,
    ) -> Option<LeaseId> {
        self.heard(now_ms, by);
        if !wants_lease || !self.edges.grantable(now_ms, by) {
            return None;
        }
        let sequence = *self.index.get(id)?;
        let entry = self.entries.get(&sequence)?;
        if !matches!(entry.phase, Phase::Ready(_)) {
            return None;
        }
        let service = entry.route?.service;
        // If there is no room for those before it, it does not run now, either.
        self.dispatch(now_ms, service, Some(sequence), windows);
        let is_next =
            self.services.first_ready(now_ms, service).is_some_and(|first| first.sequence == sequence);
        if !is_next || !self.services.admits(now_ms, service) {
            return None;
        }
        self.grant(sequence, by)
    }

    /// Grants what may run, for each service where something has changed. Where there is no room for more, the services
    /// take turns at being the first that gets what comes free.
    pub(super) fn dispatch_all(&mut self, now_ms: u64, windows: &mut SendWindows<Incarnation>) {
        let mut last_granted = None;
        let mut ran_out = false;
        while let Some(service) = self.services.pop_dirty(now_ms) {
            let used = self.dispatch(now_ms, service, None, windows);
            ran_out |= used.ran_out;
            if used.granted {
                last_granted = Some(service);
            }
        }
        if let Some(service) = last_granted.filter(|_| ran_out) {
            self.services.begin_after(service);
        }
        self.room_use = RoomUse { granted: last_granted.is_some(), ran_out };
    }

    /// How the last [`ShardLeader::poll`] used the room on the connections to edges.
    pub fn room_use(&self) -> RoomUse {
        self.room_use
    }

    /// There is room again on the connection to an edge.
    pub fn room_came(&mut self) {
        self.services.look_at_all();
    }

    /// Grants the ready messages of a service up to the one given, while quotas and edges allow.
    fn dispatch(
        &mut self,
        now_ms: u64,
        service: ServiceIndex,
        up_to: Option<Sequence>,
        windows: &mut SendWindows<Incarnation>,
    ) -> RoomUse {
        let mut used = RoomUse::default();
        while let Some(first) = self.services.first_ready(now_ms, service) {
            if up_to == Some(first.sequence) || !self.services.admits(now_ms, service) {
                break;
            }
            if self.grant_permit(first) {
                continue;
            }
            match self.choose_edge(now_ms, service, windows) {
                Ok(edge) => {
                    self.send_grant(first.sequence, service, edge, windows);
                    used.granted = true;
                }
                Err(reason) => {
                    self.no_edge(now_ms, service);
                    used.ran_out = reason == NoEdge::NoRoom;
                    break;
                }
            }
        }
        used
    }

    /// Gives a ready message to an edge that does not have it yet.
    fn send_grant(
        &mut self,
        sequence: Sequence,
        service: ServiceIndex,
        edge: Incarnation,
        windows: &mut SendWindows<Incarnation>,
    ) {
        let Some(lease) = self.grant(sequence, edge) else { return };
        self.starving.remove(&service);
        if let Some(service) = self.services.get_mut(service) {
            service.credits.spend(edge);
        }
        let Some(entry) = self.entries.get(&sequence) else { return };
        windows.charge(edge, entry.message.transfer_bytes());
        self.outputs.push(LeaderOutput::Grant { edge, id: entry.id().clone(), lease });
    }

    /// Gives a ready message to an edge.
    fn grant(&mut self, sequence: Sequence, edge: Incarnation) -> Option<LeaseId> {
        if let Some(Entry { phase: Phase::Ready(key), route: Some(route), .. }) = self.entries.get(&sequence)
            && let Some(service) = self.services.get_mut(route.service)
        {
            service.ready.granted(key);
        }
        self.unqueue(sequence);
        let entry = self.entries.get_mut(&sequence)?;
        let id = self.leases.grant(edge, sequence);
        let service = entry.route.map(|route| route.service);
        entry.phase = Phase::Leased(HeldLease { edge, id, service });
        if let Some(service) = service.and_then(|service| self.services.get_mut(service)) {
            service.leased(edge);
            service.spend_token();
        }
        Some(id)
    }

    fn choose_edge(
        &self,
        now_ms: u64,
        service: ServiceIndex,
        windows: &SendWindows<Incarnation>,
    ) -> Result<Incarnation, NoEdge> {
        let service = self.services.get(service).ok_or(NoEdge::NoCredits)?;
        match &service.endpoint {
            Some(endpoint) => self.choose_for_endpoint(now_ms, service, endpoint.ceiling(), windows),
            None => {
                let offers = service.credits.best_first();
                first_with_room(offers.filter(|edge| self.edges.grantable(now_ms, *edge)), windows)
            }
        }
    }

    fn choose_for_endpoint(
        &self,
        now_ms: u64,
        service: &Service,
        ceiling: u32,
        windows: &SendWindows<Incarnation>,
    ) -> Result<Incarnation, NoEdge> {
        let many = (ceiling / ENDPOINT_EDGE_PART).max(1);
        let rank = |incarnation: Incarnation, edge: &Edge| {
            let crowding = service.outstanding_at(incarnation).saturating_sub(many - 1);
            let preference = rendezvous(service.name_hash, edge.node_hash);
            (edge.distance == Distance::Beyond, crowding, Reverse(preference))
        };
        let grantable = || self.edges.all_grantable(now_ms);
        let with_room = grantable().filter(|(incarnation, _)| windows.has_room(*incarnation));
        match with_room.min_by_key(|(incarnation, edge)| rank(*incarnation, edge)) {
            Some((incarnation, _)) => Ok(incarnation),
            None if grantable().next().is_some() => Err(NoEdge::NoRoom),
            None => Err(NoEdge::NoCredits),
        }
    }
}

/// The first of the edges that has room.
fn first_with_room(
    edges: impl Iterator<Item = Incarnation>,
    windows: &SendWindows<Incarnation>,
) -> Result<Incarnation, NoEdge> {
    let mut no_edge = NoEdge::NoCredits;
    for edge in edges {
        if windows.has_room(edge) {
            return Ok(edge);
        }
        no_edge = NoEdge::NoRoom;
    }
    Err(no_edge)
}
