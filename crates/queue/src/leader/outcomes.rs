//! How deliveries ended, and what follows.

use ruddervalve_protocol::{DeliveryOutcome, EndPhase, Incarnation, LeaseId, MessageId};

use super::ShardLeader;
use crate::Action;
use crate::entry::{HeldLease, Phase, Reporter};
use crate::observation::Observation;
use crate::records::Sequence;

impl ShardLeader {
    /// An edge reports how a delivery ended. `Recorded` follows once that is durable, at once where nothing needs to be:
    /// for an ended message, or a lease that is not outstanding (unless it reports an end or a failed attempt, which are
    /// facts whoever holds the message now).
    pub fn outcome(
        &mut self,
        now_ms: u64,
        from: Incarnation,
        id: &MessageId,
        lease: LeaseId,
        outcome: DeliveryOutcome,
    ) {
        self.heard(now_ms, from);
        let reporter = Reporter { edge: from, lease };
        let Some(sequence) = self.index.get(id).copied() else { return self.tell_recorded(reporter, id) };
        if self.joins_record(sequence, reporter) {
            return;
        }
        let held = self.entries.get(&sequence).and_then(|entry| entry.held_lease());
        let held = held.filter(|held| held.id == lease);
        if let Some(held) = held {
            self.release(sequence, held);
            self.note_answer(now_ms, held, &outcome);
        }
        let is_end = matches!(outcome, DeliveryOutcome::Succeeded { .. } | DeliveryOutcome::Rejected);
        if is_end && held.is_none() {
            self.observe(Observation::EndUnderFreedLease { edge: from, id: id.clone(), lease });
        }
        match outcome {
            DeliveryOutcome::Succeeded { signature } => {
                self.end_reported(sequence, EndPhase::Succeeded, signature, reporter);
            }
            DeliveryOutcome::Rejected => {
                self.end_reported(sequence, EndPhase::DeadLetter, String::new(), reporter);
            }
            DeliveryOutcome::Failed if held.is_none() => self.late_failure(sequence, reporter),
            _ if held.is_none() => self.tell_recorded(reporter, id),
            DeliveryOutcome::Failed => self.attempt_failed(now_ms, sequence, reporter),
            DeliveryOutcome::NotRun { retry_after_ms } => {
                self.try_again(now_ms, sequence, retry_after_ms, false);
                self.tell_recorded(reporter, id);
            }
            DeliveryOutcome::Unclear | DeliveryOutcome::RouteGone => {
                self.try_again(now_ms, sequence, 0, true);
                self.tell_recorded(reporter, id);
            }
        }
    }

    /// Takes a lease out of all counts; the message stands in no queue then.
    pub(super) fn release(&mut self, sequence: Sequence, held: HeldLease) {
        self.leases.release(held.edge, sequence);
        if let Some(service) = held.service {
            self.services.released(service, held.edge);
        }
    }

    /// If the end or this very attempt is being recorded, the reporter hears of it with the others.
    fn joins_record(&mut self, sequence: Sequence, reporter: Reporter) -> bool {
        match self.entries.get_mut(&sequence).map(|entry| &mut entry.phase) {
            Some(Phase::RecordingEnd(reporters)) => {
                if !reporters.contains(&reporter) {
                    reporters.push(reporter);
                }
                true
            }
            Some(Phase::RecordingAttempt(reporters)) => reporters.contains(&reporter),
            _ => false,
        }
    }

    /// The message has ended, whichever lease says so.
    fn end_reported(&mut self, sequence: Sequence, phase: EndPhase, signature: String, reporter: Reporter) {
        let Some(entry) = self.entries.get(&sequence) else { return };
        if let Some(other) = entry.held_lease().filter(|held| held.id != reporter.lease) {
            self.release(sequence, other);
        }
        self.unqueue(sequence);
        let mut reporters = vec![reporter];
        if let Some(Phase::RecordingAttempt(earlier)) = self.entries.get(&sequence).map(|entry| &entry.phase)
        {
            reporters.extend(earlier);
        }
        self.propose_end(sequence, phase, signature, reporters);
    }

    /// A runner answered 500.
    fn attempt_failed(&mut self, now_ms: u64, sequence: Sequence, reporter: Reporter) {
        let Some(entry) = self.entries.get_mut(&sequence) else { return };
        let id = entry.id().clone();
        if entry.failed_attempts.contains(&reporter.lease) {
            self.place(now_ms, sequence);
            return self.tell_recorded(reporter, &id);
        }
        let attempt = entry.next_attempt();
        let most = entry.route.map_or(usize::MAX, |route| route.most_attempts());
        if attempt >= most {
            return self.propose_end(sequence, EndPhase::DeadLetter, String::new(), vec![reporter]);
        }
        let waits = entry.retry_waits(self.settings.visibility_timeout_ms);
        let earlier = u32::try_from(attempt - 1).unwrap_or(u32::MAX);
        entry.not_before_ms = now_ms.saturating_add(self.jitter.wait_ms(waits, earlier));
        entry.fruitless = 0;
        entry.phase = Phase::RecordingAttempt(vec![reporter]);
        self.propose(Action::AttemptFailed { id, lease: reporter.lease });
    }

    /// A runner answered 500 under a lease that was freed since: the attempt counts, and the message stays where it is.
    fn late_failure(&mut self, sequence: Sequence, reporter: Reporter) {
        let Some(entry) = self.entries.get_mut(&sequence) else { return };
        let id = entry.id().clone();
        if entry.failed_attempts.contains(&reporter.lease) {
            return self.tell_recorded(reporter, &id);
        }
        if entry.late_failures.contains(&reporter) {
            return;
        }
        entry.late_failures.push(reporter);
        self.propose(Action::AttemptFailed { id, lease: reporter.lease });
    }

    /// The delivery came to nothing: again after what the edge asks for, and after a backoff (`backs_off`: from the
    /// first time on).
    fn try_again(&mut self, now_ms: u64, sequence: Sequence, retry_after_ms: u64, backs_off: bool) {
        let Some(entry) = self.entries.get_mut(&sequence) else { return };
        let waits = entry.retry_waits(self.settings.visibility_timeout_ms);
        let backoff_ms = match (backs_off, entry.fruitless) {
            (true, earlier) => self.jitter.wait_ms(waits, earlier),
            (false, 0) => 0,
            (false, earlier) => self.jitter.wait_ms(waits, earlier - 1),
        };
        let asked_ms = retry_after_ms.min(self.settings.visibility_timeout_ms);
        entry.not_before_ms = now_ms.saturating_add(asked_ms.max(backoff_ms));
        entry.fruitless = entry.fruitless.saturating_add(1);
        self.place(now_ms, sequence);
    }

    fn note_answer(&mut self, now_ms: u64, held: HeldLease, outcome: &DeliveryOutcome) {
        let Some(service) = held.service else { return };
        let answered = match outcome {
            DeliveryOutcome::Succeeded { .. } | DeliveryOutcome::Rejected | DeliveryOutcome::Failed => true,
            DeliveryOutcome::NotRun { .. } | DeliveryOutcome::Unclear => false,
            DeliveryOutcome::RouteGone => return,
        };
        self.services.answered(now_ms, service, answered, &mut self.jitter);
    }
}
