//! Where a message stands: waiting, blocked, ready, without a route or at its end.

use ruddervalve_protocol::EndPhase;

use super::ShardLeader;
use crate::Action;
use crate::entry::{Phase, Reporter, RouteInForce};
use crate::observation::Observation;
use crate::policy::SharedPolicy;
use crate::ready::ReadyKey;
use crate::records::Sequence;

impl ShardLeader {
    /// Another configuration is in force: messages go to the services that it names, and those that have lost their
    /// route end, if no edge holds them, once the policy was confirmed for `route_grace_ms` (an edge may have accepted
    /// them under a newer configuration). Counts as a confirmation.
    pub fn set_policy(&mut self, now_ms: u64, policy: SharedPolicy) {
        self.services.change(now_ms, |name| policy.service(name));
        self.policy = Some(policy);
        let sequences: Vec<Sequence> = self.entries.keys().copied().collect();
        for sequence in &sequences {
            self.unqueue(*sequence);
            self.resolve(now_ms, *sequence);
        }
        for sequence in sequences {
            if self.is_free(sequence) {
                self.place(now_ms, sequence);
            }
        }
        self.policy_confirmed(now_ms);
    }

    /// The policy was the newest at `now_ms`: say so whenever the coordinator's leader does. Messages without a route
    /// end only on its word.
    pub fn policy_confirmed(&mut self, now_ms: u64) {
        if self.policy.is_none() {
            return;
        }
        self.confirmed_ms = self.confirmed_ms.max(now_ms);
        let Some(seen_by_ms) = self.confirmed_ms.checked_sub(self.settings.route_grace_ms) else { return };
        while let Some(sequence) = self.schedule.unrouted.pop(seen_by_ms) {
            self.propose_end(sequence, EndPhase::DeadLetter, String::new(), Vec::new());
        }
    }

    /// Finds the route of a message in the policy in force. It must stand in no queue.
    pub(super) fn resolve(&mut self, now_ms: u64, sequence: Sequence) {
        let Some(entry) = self.entries.get_mut(&sequence) else { return };
        let Some(policy) = &self.policy else { return };
        let message = &entry.message;
        entry.route = policy.route(&message.host, &message.path).map(|route| RouteInForce {
            service: self.services.index(route.service, || policy.service(route.service)),
            priority_class: route.priority_class,
            max_retries: route.max_retries,
            schedule_target_ms: route.schedule_target_ms,
        });
        match entry.route {
            Some(_) => entry.missing_since_ms = None,
            None => drop(entry.missing_since_ms.get_or_insert(now_ms)),
        }
    }

    /// Puts a message that no edge holds where it belongs. It must stand in no queue.
    pub(super) fn place(&mut self, now_ms: u64, sequence: Sequence) {
        let Some(entry) = self.entries.get_mut(&sequence) else { return };
        if entry.expires_ms <= now_ms {
            return self.propose_end(sequence, EndPhase::DeadLetter, String::new(), Vec::new());
        }
        let Some(route) = entry.route else { return self.place_unrouted(sequence) };
        if entry.is_spent() {
            return self.propose_end(sequence, EndPhase::DeadLetter, String::new(), Vec::new());
        }
        if entry.not_before_ms > now_ms {
            entry.phase = Phase::Waiting;
            self.schedule.waiting.insert(entry.not_before_ms, sequence);
            return;
        }
        let key = entry.message.ordering_key.as_deref();
        if key.is_some_and(|key| !self.ordering.is_first(key, sequence)) {
            entry.phase = Phase::Blocked;
            return;
        }
        let ready = self.ready_key(sequence, route);
        let Some(entry) = self.entries.get_mut(&sequence) else { return };
        entry.phase = Phase::Ready(ready);
        self.services.add_ready(route.service, ready);
    }

    /// Where a message that may run stands among the others of its service.
    fn ready_key(&self, sequence: Sequence, route: RouteInForce) -> ReadyKey {
        let entry = self.entries.get(&sequence);
        let key = entry.and_then(|entry| entry.message.ordering_key.as_deref());
        let (chain, last) = key.and_then(|key| self.ordering.chain(key)).unwrap_or((1, sequence));
        let due_ms = entry.map_or(0, |entry| entry.due_ms);
        let last_due_ms = self.entries.get(&last).map_or(due_ms, |entry| entry.due_ms);
        let hope_ms = last_due_ms.saturating_add(route.schedule_target_ms);
        ReadyKey { priority_class: route.priority_class, chain, hope_ms, due_ms, sequence }
    }

    /// Another message has come behind the first of a key: that may be worth running sooner now.
    pub(super) fn replace_first_of_key(&mut self, now_ms: u64, sequence: Sequence) {
        let Some(entry) = self.entries.get(&sequence) else { return };
        let Some(key) = entry.message.ordering_key.as_deref() else { return };
        let Some(first) = self.ordering.first(key).filter(|first| *first != sequence) else { return };
        let is_ready = self.entries.get(&first).is_some_and(|entry| matches!(entry.phase, Phase::Ready(_)));
        if is_ready {
            self.unqueue(first);
            self.place(now_ms, first);
        }
    }

    /// Takes a message out of the queue that it stands in.
    pub(super) fn unqueue(&mut self, sequence: Sequence) {
        let Some(entry) = self.entries.get(&sequence) else { return };
        match (&entry.phase, entry.route) {
            (Phase::Waiting, _) => self.schedule.waiting.remove(entry.not_before_ms, sequence),
            (Phase::Ready(key), Some(route)) => self.services.remove_ready(route.service, key),
            (Phase::Unrouted, _) => {
                if let Some(since_ms) = entry.missing_since_ms {
                    self.schedule.unrouted.remove(since_ms, sequence);
                }
            }
            _ => {}
        }
    }

    /// Proposes the end of a message that stands in no queue; the reporters hear of it when it is applied.
    pub(super) fn propose_end(
        &mut self,
        sequence: Sequence,
        phase: EndPhase,
        signature: String,
        reporters: Vec<Reporter>,
    ) {
        let Some(entry) = self.entries.get_mut(&sequence) else { return };
        entry.phase = Phase::RecordingEnd(reporters);
        let id = entry.id().clone();
        self.propose(Action::End { id, phase, signature });
    }

    /// Whether no edge holds the message and nothing about it is being recorded.
    pub(super) fn is_free(&self, sequence: Sequence) -> bool {
        let phase = self.entries.get(&sequence).map(|entry| &entry.phase);
        matches!(phase, Some(Phase::Unrouted | Phase::Waiting | Phase::Blocked | Phase::Ready(_)))
    }

    /// Ends messages whose retention is over. Those that an edge holds end when they come free.
    pub(super) fn end_expired(&mut self, now_ms: u64) {
        while let Some(sequence) = self.schedule.expiry.pop(now_ms) {
            if self.is_free(sequence) {
                self.unqueue(sequence);
                self.propose_end(sequence, EndPhase::DeadLetter, String::new(), Vec::new());
            }
        }
    }

    /// Places messages whose delay or backoff is over.
    pub(super) fn place_due(&mut self, now_ms: u64) {
        while let Some(sequence) = self.schedule.waiting.pop(now_ms) {
            self.place(now_ms, sequence);
        }
    }

    /// Lets messages of earlier terms run, once no edge can hold them.
    pub(super) fn open_gate(&mut self, now_ms: u64) {
        if !self.gate.opens(now_ms) {
            return;
        }
        let suspects = self.entries.iter().filter(|(_, entry)| matches!(entry.phase, Phase::Suspect));
        let suspects: Vec<Sequence> = suspects.map(|(sequence, _)| *sequence).collect();
        if self.gate.awaited() > 0 {
            let (edges, messages) = (self.gate.awaited(), suspects.len());
            self.observe(Observation::InventoriesMissing { edges, messages });
        }
        for sequence in suspects {
            self.place(now_ms, sequence);
        }
        self.callbacks.release_suspects();
    }

    fn place_unrouted(&mut self, sequence: Sequence) {
        let Some(entry) = self.entries.get_mut(&sequence) else { return };
        let Some(since_ms) = entry.missing_since_ms else {
            entry.phase = Phase::Unrouted;
            return;
        };
        if since_ms.saturating_add(self.settings.route_grace_ms) <= self.confirmed_ms {
            return self.propose_end(sequence, EndPhase::DeadLetter, String::new(), Vec::new());
        }
        entry.phase = Phase::Unrouted;
        self.schedule.unrouted.insert(since_ms, sequence);
    }
}
