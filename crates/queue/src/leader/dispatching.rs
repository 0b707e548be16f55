//! Grants: which message goes to which edge now.

use ruddervalve_configuration::Distance;
use ruddervalve_protocol::{Incarnation, LeaseId, MessageId};

use super::ShardLeader;
use crate::edges::rendezvous;
use crate::entry::{Entry, HeldLease, Phase};
use crate::output::LeaderOutput;
use crate::records::Sequence;
use crate::services::ServiceIndex;

/// An edge holds at most this part of what a single endpoint takes while another edge could.
const ENDPOINT_EDGE_PART: u32 = 2;

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
        self.dispatch(now_ms, service, Some(sequence));
        let is_next =
            self.services.first_ready(now_ms, service).is_some_and(|first| first.sequence == sequence);
        if !is_next || !self.services.admits(now_ms, service) {
            return None;
        }
        self.grant(sequence, by)
    }

    /// Grants what may run, for each service where something has changed.
    pub(super) fn dispatch_all(&mut self, now_ms: u64) {
        while let Some(service) = self.services.pop_dirty(now_ms) {
            self.dispatch(now_ms, service, None);
        }
    }

    /// Grants the ready messages of a service up to the one given, while quotas and edges allow.
    fn dispatch(&mut self, now_ms: u64, service: ServiceIndex, up_to: Option<Sequence>) {
        while let Some(first) = self.services.first_ready(now_ms, service) {
            if up_to == Some(first.sequence) || !self.services.admits(now_ms, service) {
                return;
            }
            if self.grant_permit(first) {
                continue;
            }
            let Some(edge) = self.choose_edge(now_ms, service) else {
                return self.no_credits(now_ms, service);
            };
            let Some(lease) = self.grant(first.sequence, edge) else { return };
            self.starving.remove(&service);
            if let Some(service) = self.services.get_mut(service) {
                service.credits.spend(edge);
            }
            let Some(id) = self.entries.get(&first.sequence).map(|entry| entry.id().clone()) else { return };
            self.outputs.push(LeaderOutput::Grant { edge, id, lease });
        }
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

    fn choose_edge(&self, now_ms: u64, service: ServiceIndex) -> Option<Incarnation> {
        let service = self.services.get(service)?;
        let Some(endpoint) = &service.endpoint else {
            return service.credits.best_first().find(|edge| self.edges.grantable(now_ms, *edge));
        };
        let many = (endpoint.ceiling() / ENDPOINT_EDGE_PART).max(1);
        let edges = self.edges.all_grantable(now_ms);
        let preferred = edges.min_by_key(|(incarnation, edge)| {
            let outstanding = service.outstanding_at(*incarnation);
            let crowding = outstanding.saturating_sub(many - 1);
            (
                edge.distance == Distance::Beyond,
                crowding,
                std::cmp::Reverse(rendezvous(service.name_hash, edge.node_hash)),
            )
        });
        preferred.map(|(incarnation, _)| incarnation)
    }
}
