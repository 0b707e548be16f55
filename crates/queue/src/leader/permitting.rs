//! Leave to deliver messages that lie in other shards to services that this one counts.
//!
//! A service's rate and the connections of a single endpoint are counted by one leader, while the order of a key is kept by
//! another: where a message's shard does not count its service, the edge that holds the lease asks here before it delivers.

use ruddervalve_protocol::{Incarnation, PermitNumber};

use super::ShardLeader;
use crate::output::LeaderOutput;
use crate::permits::{Permit, PermitHolder, PermitPhase};
use crate::ready::ReadyKey;
use crate::services::ServiceIndex;

impl ShardLeader {
    /// An edge asks for a permit. It comes as [`LeaderOutput::Permit`], when the service's rate and connections allow it and
    /// its turn has come among this shard's own messages. Without a policy nothing is known of the service: the edge gives
    /// its message back in time.
    pub fn permit_wanted(
        &mut self,
        now_ms: u64,
        edge: Incarnation,
        number: PermitNumber,
        service: &str,
        priority_class: u32,
    ) {
        self.heard(now_ms, edge);
        let holder = PermitHolder { edge, number };
        if self.policy.is_none() || !self.may_hold(holder) {
            return;
        }
        let service = self.service_index(service);
        let sequence = self.permits.next_place();
        // The edge gives a permit up that would come too late: one that waits is in time.
        let key = ReadyKey { priority_class, chain: 1, hope_ms: u64::MAX, due_ms: now_ms, sequence };
        self.permits.insert(holder, Permit { service, phase: PermitPhase::Waiting(key) });
        self.services.add_ready(service, key);
    }

    /// A delivery is under way under a permit that this leader does not know: it counts at the service.
    pub fn permit_held(&mut self, now_ms: u64, edge: Incarnation, number: PermitNumber, service: &str) {
        self.heard(now_ms, edge);
        let holder = PermitHolder { edge, number };
        if !self.may_hold(holder) {
            return;
        }
        let service = self.service_index(service);
        self.permits.insert(holder, Permit { service, phase: PermitPhase::Held });
        if let Some(service) = self.services.get_mut(service) {
            service.leased(edge);
        }
    }

    /// A permit is not wanted any more, or its delivery has ended; `answered` tells of a single endpoint whether it did.
    pub fn permit_ended(
        &mut self,
        now_ms: u64,
        edge: Incarnation,
        number: PermitNumber,
        answered: Option<bool>,
    ) {
        self.heard(now_ms, edge);
        let Some(service) = self.end_permit(PermitHolder { edge, number }) else { return };
        if let Some(answered) = answered {
            self.services.answered(now_ms, service, answered, &mut self.jitter);
        }
    }

    /// Forgets the permits of an edge whose connection is new or gone: it tells them again on its next one.
    pub(super) fn drop_permits(&mut self, edge: Incarnation) {
        for holder in self.permits.of(edge) {
            self.end_permit(holder);
        }
    }

    /// Grants a permit whose turn has come; false if this is the place of a message.
    pub(super) fn grant_permit(&mut self, key: ReadyKey) -> bool {
        let Some(holder) = self.permits.waiting_at(key.sequence) else { return false };
        let Some(permit) = self.permits.remove(holder) else { return false };
        if let Some(service) = self.services.get_mut(permit.service) {
            service.ready.granted(&key);
            service.ready.remove(&key);
            service.leased(holder.edge);
            service.spend_token();
        }
        self.permits.insert(holder, Permit { phase: PermitPhase::Held, ..permit });
        self.outputs.push(LeaderOutput::Permit { edge: holder.edge, number: holder.number });
        true
    }

    fn may_hold(&self, holder: PermitHolder) -> bool {
        let is_connected = self.edges.get(holder.edge).is_some_and(|edge| edge.connected && !edge.superseded);
        is_connected && !self.permits.contains(holder)
    }

    fn service_index(&mut self, name: &str) -> ServiceIndex {
        let policy = self.policy.as_ref();
        self.services.index(name, || policy.and_then(|policy| policy.service(name)))
    }

    /// Takes a permit off; the service at which a delivery under it was counted.
    fn end_permit(&mut self, holder: PermitHolder) -> Option<ServiceIndex> {
        let permit = self.permits.remove(holder)?;
        match permit.phase {
            PermitPhase::Waiting(key) => {
                self.services.remove_ready(permit.service, &key);
                None
            }
            PermitPhase::Held => {
                self.services.released(permit.service, holder.edge);
                Some(permit.service)
            }
        }
    }
}
