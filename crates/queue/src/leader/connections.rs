//! Edges that come, speak, fall silent and go.

use std::collections::BTreeSet;

use ruddervalve_protocol::{Incarnation, InventoryItem, LeaseId, MessageId};

use super::ShardLeader;
use crate::edges::EdgeSession;
use crate::entry::{HeldLease, Phase, Reporter};
use crate::observation::{FreeReason, Observation};
use crate::records::Sequence;
use crate::{Action, ShardState};

impl ShardLeader {
    /// An edge has opened a connection; it gets nothing until it is attached and its inventory has come on this
    /// connection. Other processes of its machine are dead then: what they held is free.
    pub fn edge_connected(&mut self, now_ms: u64, session: &EdgeSession) {
        let edge = session.incarnation;
        if self.edges.get(edge).is_some_and(|known| known.superseded) {
            return;
        }
        let others = self.edges.others_of(&session.node, edge);
        if self.is_older(edge, &others) {
            self.edges.entry(now_ms, edge, &session.node).superseded = true;
            return self.free_superseded(now_ms, edge);
        }
        for other in others {
            self.supersede(now_ms, other);
        }
        self.drop_permits(edge);
        let distance = self.settings.locality.distance_to(&session.zone);
        let known = self.edges.entry(now_ms, edge, &session.node);
        known.connected = true;
        known.inventoried = false;
        known.leaving = false;
        known.distance = distance;
        known.last_heard_ms = now_ms;
        self.attach(edge);
        self.edges.check_at(now_ms.saturating_add(self.settings.visibility_timeout_ms), edge);
    }

    /// The connection of an edge is gone, and there is no newer one. Its leases stay for as long as a process that lives
    /// may take to connect again.
    pub fn edge_disconnected(&mut self, now_ms: u64, edge: Incarnation) {
        self.services.withdraw(edge);
        self.drop_permits(edge);
        let Some(known) = self.edges.get_mut(edge) else { return };
        known.connected = false;
        known.inventoried = false;
        known.disconnected_ms = now_ms;
        self.edges.check_at(now_ms.saturating_add(self.settings.disconnected_for_ms()), edge);
    }

    /// The edge is alive.
    pub fn heartbeat(&mut self, now_ms: u64, edge: Incarnation) {
        self.heard(now_ms, edge);
    }

    /// The edge is ending: it gets nothing more. What it holds goes on.
    pub fn leaving(&mut self, edge: Incarnation) {
        self.services.withdraw(edge);
        if let Some(known) = self.edges.get_mut(edge) {
            known.leaving = true;
        }
    }

    /// How many further deliveries of each service the edge can start now; replaces what it said before.
    pub fn credits(&mut self, now_ms: u64, edge: Incarnation, credits: &[(String, u32)]) {
        self.heard(now_ms, edge);
        let Some(known) = self.edges.get(edge).filter(|known| known.connected && !known.leaving) else {
            return;
        };
        let distance = known.distance;
        let policy = self.policy.as_ref();
        let offered = credits.iter().filter(|(_, count)| *count > 0);
        let by_index: Vec<_> = offered
            .map(|(name, count)| {
                let service = policy.and_then(|policy| policy.service(name));
                (self.services.index(name, || service), *count)
            })
            .collect();
        self.services.set_credits(edge, distance, &by_index);
    }

    /// All that the edge holds or has not had acknowledged, once on each connection and before its other messages about
    /// the shard. What this leader has granted to it and is not named never reached it, and is free.
    pub fn inventory(&mut self, now_ms: u64, edge: Incarnation, items: &[InventoryItem]) {
        self.heard(now_ms, edge);
        let Some(known) = self.edges.get_mut(edge) else { return };
        if !known.connected || known.superseded {
            return;
        }
        let is_first = !std::mem::replace(&mut known.inventoried, true);
        let mut held = BTreeSet::new();
        for item in items {
            match item.lease {
                Some(lease) => held.extend(self.take_lease_over(edge, &item.id, lease)),
                None => held.extend(self.take_callback_over(edge, &item.id)),
            }
        }
        if is_first {
            let count = self.free_all_but(now_ms, edge, &held);
            self.observe_freed(edge, FreeReason::NotInInventory, count, false);
        }
        self.gate.settled(edge);
        self.look_at_all();
    }

    /// Notes that an edge spoke.
    pub(super) fn heard(&mut self, now_ms: u64, edge: Incarnation) {
        if self.edges.heard(now_ms, edge) {
            self.look_at_all();
        }
    }

    /// Adds the edges that earlier leaders attached.
    pub(super) fn take_edges(&mut self, now_ms: u64, state: &ShardState) {
        let silent_ms = now_ms.saturating_add(self.settings.disconnected_for_ms());
        for attached in state.attached_edges() {
            self.edges.add_attached(now_ms, attached);
            self.edges.check_at(silent_ms, attached.edge);
        }
    }

    /// Looks after the edges whose time has come.
    pub(super) fn check_edges(&mut self, now_ms: u64) {
        while let Some(edge) = self.edges.pop_check(now_ms) {
            self.check_edge(now_ms, edge);
        }
    }

    /// An attachment was applied.
    pub(super) fn attached(&mut self, now_ms: u64, edge: Incarnation, state: &ShardState) {
        let Some(attached) = state.attached_edges().find(|attached| attached.edge == edge) else { return };
        self.edges.add_attached(now_ms, attached);
        let Some(known) = self.edges.get_mut(edge) else { return };
        known.proposing = false;
        let is_silent = known.superseded || !known.connected;
        if is_silent {
            self.edges.check_at(now_ms, edge);
        }
        self.look_at_all();
    }

    /// A detachment was applied.
    pub(super) fn detached(&mut self, now_ms: u64, edge: Incarnation) {
        let Some(known) = self.edges.get_mut(edge) else { return };
        known.attached = None;
        known.proposing = false;
        if known.connected && !known.superseded {
            return self.attach(edge);
        }
        self.edges.check_at(now_ms, edge);
    }

    fn look_at_all(&mut self) {
        self.services.look_at_all();
        self.callbacks.look_at_all();
    }

    /// Proposes to attach an edge, unless it is.
    fn attach(&mut self, edge: Incarnation) {
        let Some(known) = self.edges.get_mut(edge) else { return };
        if known.attached.is_some() || known.proposing {
            return;
        }
        known.proposing = true;
        let node = known.node.clone();
        self.propose(Action::AttachEdge { edge, node });
    }

    /// Proposes to detach an edge, if it is attached.
    fn detach(&mut self, edge: Incarnation) {
        let Some(known) = self.edges.get_mut(edge) else { return };
        if known.attached.is_none() || known.proposing {
            return;
        }
        known.proposing = true;
        self.propose(Action::DetachEdge { edge });
    }

    /// Whether one of the others was attached after this one: a late connection of a process that is dead.
    fn is_older(&self, edge: Incarnation, others: &[Incarnation]) -> bool {
        let order = |edge: Incarnation| self.edges.get(edge).and_then(|known| known.attached);
        let Some(own) = order(edge) else { return false };
        others.iter().any(|other| order(*other).is_some_and(|order| order > own))
    }

    /// A newer process runs on the machine of this one.
    fn supersede(&mut self, now_ms: u64, edge: Incarnation) {
        if let Some(known) = self.edges.get_mut(edge) {
            known.superseded = true;
        }
        self.free_superseded(now_ms, edge);
    }

    /// Frees what a process held that is dead, as a newer one runs on its machine.
    fn free_superseded(&mut self, now_ms: u64, edge: Incarnation) {
        if let Some(known) = self.edges.get_mut(edge) {
            known.connected = false;
            known.inventoried = false;
            known.last_heard_ms = now_ms;
        }
        self.services.withdraw(edge);
        self.free_all(now_ms, edge, FreeReason::Superseded);
        self.detach(edge);
        self.edges.check_at(now_ms.saturating_add(self.settings.detach_after_ms()), edge);
    }

    /// Frees all that an edge may hold, of this term and of earlier ones.
    fn free_all(&mut self, now_ms: u64, edge: Incarnation, reason: FreeReason) {
        let count = self.free_all_but(now_ms, edge, &BTreeSet::new());
        self.drop_permits(edge);
        let inventory_missing = self.gate.settled(edge);
        self.observe_freed(edge, reason, count, inventory_missing);
    }

    /// Frees the leases of an edge but those that are kept; how many.
    fn free_all_but(&mut self, now_ms: u64, edge: Incarnation, kept: &BTreeSet<Sequence>) -> usize {
        let mut count = 0;
        for sequence in self.leases.of(edge).into_iter().filter(|sequence| !kept.contains(sequence)) {
            if let Some(held) = self.entries.get(&sequence).and_then(|entry| entry.held_lease()) {
                self.release(sequence, held);
                self.place(now_ms, sequence);
                count += 1;
            }
        }
        self.callbacks.release_all_but(edge, kept);
        count
    }

    fn observe_freed(
        &mut self,
        edge: Incarnation,
        reason: FreeReason,
        count: usize,
        inventory_missing: bool,
    ) {
        if count == 0 && !inventory_missing {
            return;
        }
        let node = self.edges.get(edge).map_or_else(String::new, |known| known.node.clone());
        self.observe(Observation::LeasesFreed { edge, node, reason, count, inventory_missing });
    }

    /// Frees what a silent edge holds, and lets go of one that is gone.
    fn check_edge(&mut self, now_ms: u64, edge: Incarnation) {
        let Some(known) = self.edges.get(edge) else { return };
        let (connected, attached, proposing) = (known.connected, known.attached.is_some(), known.proposing);
        let heard_ms = known.last_heard_ms;
        let silent_from_ms = match connected {
            true => heard_ms.saturating_add(self.settings.visibility_timeout_ms),
            false => known.disconnected_ms.saturating_add(self.settings.disconnected_for_ms()),
        };
        let gone_from_ms = heard_ms.saturating_add(self.settings.detach_after_ms());
        if now_ms < silent_from_ms {
            return self.edges.check_at(silent_from_ms, edge);
        }
        let reason = if connected { FreeReason::Silent } else { FreeReason::Disconnected };
        self.free_all(now_ms, edge, reason);
        if connected {
            let again_ms = now_ms.saturating_add(self.settings.visibility_timeout_ms.max(1));
            return self.edges.check_at(again_ms, edge);
        }
        if now_ms < gone_from_ms {
            return self.edges.check_at(gone_from_ms, edge);
        }
        if attached {
            return self.detach(edge);
        }
        if !proposing {
            self.edges.remove(edge);
        }
    }

    /// An edge names a lease: it is outstanding, unless it came to its end or another edge holds the message.
    fn take_lease_over(&mut self, edge: Incarnation, id: &MessageId, lease: LeaseId) -> Option<Sequence> {
        let reporter = Reporter { edge, lease };
        let Some(sequence) = self.index.get(id).copied() else {
            self.tell_recorded(reporter, id);
            return None;
        };
        let entry = self.entries.get(&sequence)?;
        if entry.failed_attempts.contains(&lease) {
            self.tell_recorded(reporter, id);
            return None;
        }
        match &entry.phase {
            Phase::Leased(held) => return (held.id == lease).then_some(sequence),
            Phase::RecordingAttempt(_) | Phase::RecordingEnd(_) => return None,
            _ => self.unqueue(sequence),
        }
        let entry = self.entries.get_mut(&sequence)?;
        let service = entry.route.map(|route| route.service);
        entry.phase = Phase::Leased(HeldLease { edge, id: lease, service });
        self.leases.take_over(edge, sequence);
        if let Some(service) = service.and_then(|service| self.services.get_mut(service)) {
            service.leased(edge);
        }
        Some(sequence)
    }
}
