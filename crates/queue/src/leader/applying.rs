//! What follows from commands that were applied.

use ruddervalve_protocol::{EndPhase, LeaseId, MessageId};

use super::ShardLeader;
use crate::entry::{Entry, Phase};
use crate::records::{Applied, Effect, Sequence};
use crate::{Action, ShardState};

impl ShardLeader {
    /// Must be told of each command right after the state has applied it, with what that did.
    pub fn applied(&mut self, now_ms: u64, action: &Action, applied: &Applied, state: &ShardState) {
        match action {
            Action::Accept { .. } => {
                if let Effect::Accepted { sequence } = applied.effect {
                    self.message_accepted(now_ms, sequence, state);
                }
            }
            Action::AttemptFailed { id, lease } => self.attempt_recorded(now_ms, id, *lease),
            Action::End { id, phase, .. } => self.end_recorded(now_ms, id, *phase, state),
            Action::CallbackTaken { .. } => {
                if let Effect::CallbackRecorded { sequence } = applied.effect {
                    self.callbacks.remove(sequence, &mut self.outputs);
                }
            }
            Action::AttachEdge { edge, .. } => self.attached(now_ms, *edge, state),
            Action::DetachEdge { edge } => self.detached(now_ms, *edge),
            Action::SetLimits(_) => {}
        }
        for sequence in &applied.abandoned_callbacks {
            self.callbacks.remove(*sequence, &mut self.outputs);
        }
    }

    fn message_accepted(&mut self, now_ms: u64, sequence: Sequence, state: &ShardState) {
        let Some(pending) = state.pending(sequence) else { return };
        let entry = Entry::new(pending, Phase::Unrouted);
        self.index.insert(entry.id().clone(), sequence);
        self.schedule.expiry.insert(entry.expires_ms, sequence);
        if let Some(key) = &entry.message.ordering_key {
            self.ordering.insert(key, sequence);
        }
        self.entries.insert(sequence, entry);
        self.resolve(now_ms, sequence);
        self.place(now_ms, sequence);
        self.replace_first_of_key(now_ms, sequence);
    }

    fn attempt_recorded(&mut self, now_ms: u64, id: &MessageId, lease: LeaseId) {
        let Some(sequence) = self.index.get(id).copied() else { return };
        let Some(entry) = self.entries.get_mut(&sequence) else { return };
        if !entry.failed_attempts.contains(&lease) {
            entry.failed_attempts.push(lease);
        }
        let late = entry.take_late_failures(lease);
        let is_recording = entry.is_recording_attempt(lease);
        let is_spent = entry.is_spent();
        for reporter in late {
            self.tell_recorded(reporter, id);
        }
        if is_recording {
            self.tell_recorders(sequence);
            self.place(now_ms, sequence);
        } else if is_spent && self.is_free(sequence) {
            self.unqueue(sequence);
            self.place(now_ms, sequence);
        }
    }

    /// Those who reported the attempt that was being recorded hear that it is.
    fn tell_recorders(&mut self, sequence: Sequence) {
        let Some(entry) = self.entries.get_mut(&sequence) else { return };
        let id = entry.id().clone();
        let Phase::RecordingAttempt(reporters) = &mut entry.phase else { return };
        for reporter in std::mem::take(reporters) {
            self.tell_recorded(reporter, &id);
        }
    }

    fn end_recorded(&mut self, now_ms: u64, id: &MessageId, phase: EndPhase, state: &ShardState) {
        let Some(sequence) = self.index.get(id).copied() else { return };
        self.unqueue(sequence);
        let held = self.entries.get(&sequence).and_then(|entry| entry.held_lease());
        if let Some(held) = held {
            self.release(sequence, held);
        }
        let Some(entry) = self.entries.remove(&sequence) else { return };
        self.index.remove(id);
        self.schedule.expiry.remove(entry.expires_ms, sequence);
        self.unblock_next(now_ms, sequence, &entry);
        let reporters = match entry.phase {
            Phase::RecordingEnd(reporters) => reporters,
            _ => Vec::new(),
        };
        let reporter = reporters.first().map(|reporter| reporter.edge);
        if let Some(owed) = state.callback(id) {
            let reporter = reporter.filter(|_| phase == EndPhase::Succeeded);
            self.callbacks.add_owed(sequence, id.clone(), &owed.url, reporter);
        }
        for reporter in reporters.into_iter().chain(entry.late_failures) {
            self.tell_recorded(reporter, id);
        }
    }

    /// The next message of the key may run.
    fn unblock_next(&mut self, now_ms: u64, sequence: Sequence, ended: &Entry) {
        let Some(key) = &ended.message.ordering_key else { return };
        let Some(next) = self.ordering.remove(key, sequence) else { return };
        let is_blocked = self.entries.get(&next).is_some_and(|entry| matches!(entry.phase, Phase::Blocked));
        if is_blocked {
            self.place(now_ms, next);
        }
    }
}
