//! A message that fails at each run reaches a runner no more often than its route allows, whoever leads and whichever
//! lease the answers came under.

mod support;

use ruddervalve_protocol::{DeliveryOutcome, LeaseId};
use ruddervalve_queue::Action;
use support::{Shard, VISIBILITY_MS, edge, id, message, plain_policy, recorded_in, success};

/// `MaxRetries` of the routes of [`plain_policy`].
const MOST_ATTEMPTS: usize = 4;
/// Longer than any wait between attempts.
const WAIT_MS: u64 = 2_000;

/// Edge 1 has a message, falls silent, and edge 2 has it now.
fn freed_and_granted_again() -> (Shard, LeaseId, LeaseId) {
    let mut shard = Shard::new(plain_policy());
    shard.join_with_credits(1, "near", "s", 99);
    shard.join_with_credits(2, "far", "s", 99);
    shard.accept(message("a", "/s/"));
    let (first, lease) = shard.granted("a");
    assert_eq!(first, 1);
    shard.advance(VISIBILITY_MS * 2 / 3);
    shard.leader.heartbeat(shard.now_ms, edge(2));
    shard.advance(VISIBILITY_MS / 3);
    let (second, second_lease) = shard.granted("a");
    assert_eq!(second, 2);
    (shard, lease, second_lease)
}

fn failed_attempts(shard: &Shard) -> Vec<LeaseId> {
    let sequence = shard.state.sequence(&id("a")).expect("known");
    shard.state.pending(sequence).map(|pending| pending.failed_attempts.clone()).unwrap_or_default()
}

#[test]
fn a_failed_attempt_counts_though_its_lease_was_freed() {
    let (mut shard, lease, second_lease) = freed_and_granted_again();
    shard.outcome(1, "a", lease, DeliveryOutcome::Failed);
    assert_eq!(recorded_in(&shard.poll()), [("a".to_owned(), 1, lease)]);
    assert_eq!(failed_attempts(&shard), [lease]);
    assert_eq!(shard.leader.lease_of(&id("a")), Some((edge(2), second_lease)), "its other run goes on");
    shard.outcome(2, "a", second_lease, success());
    shard.poll();
    assert!(shard.has_succeeded("a"));
}

#[test]
fn a_late_failure_is_recorded_only_once_it_is_applied_and_counts_once() {
    let (mut shard, lease, second_lease) = freed_and_granted_again();
    shard.holds = true;
    for _ in 0..3 {
        shard.outcome(1, "a", lease, DeliveryOutcome::Failed);
        assert!(shard.poll().is_empty());
    }
    assert_eq!(shard.held, [Action::AttemptFailed { id: id("a"), lease }]);
    // Another attempt is recorded meanwhile: each reporter hears of its own.
    shard.outcome(2, "a", second_lease, DeliveryOutcome::Failed);
    assert!(shard.poll().is_empty());
    let held = std::mem::take(&mut shard.held);
    shard.apply(held[0].clone());
    assert_eq!(recorded_in(&shard.poll()), [("a".to_owned(), 1, lease)]);
    shard.apply(held[1].clone());
    shard.holds = false;
    assert_eq!(recorded_in(&shard.poll()), [("a".to_owned(), 2, second_lease)]);
    assert_eq!(failed_attempts(&shard), [lease, second_lease]);
}

#[test]
fn an_end_records_a_late_failure_that_was_not_applied_yet() {
    let (mut shard, lease, second_lease) = freed_and_granted_again();
    shard.holds = true;
    shard.outcome(1, "a", lease, DeliveryOutcome::Failed);
    shard.outcome(2, "a", second_lease, success());
    assert!(shard.poll().is_empty());
    // The end is applied alone: the other proposal may be lost.
    let end = shard.held.pop().expect("an end");
    shard.apply(end);
    let mut recorded: Vec<u64> = recorded_in(&shard.poll()).into_iter().map(|(_, edge, _)| edge).collect();
    recorded.sort_unstable();
    assert_eq!(recorded, [1, 2]);
    assert!(shard.has_succeeded("a"));
}

#[test]
fn late_failures_end_the_message_once_no_edge_holds_it() {
    for is_held in [true, false] {
        let (mut shard, lease, mut holder_lease) = freed_and_granted_again();
        // All attempts but one, under leases of earlier terms that nobody remembers.
        for number in 0..MOST_ATTEMPTS - 1 {
            let lease = LeaseId { term: 0, number: number as u64 };
            shard.outcome(2, "a", lease, DeliveryOutcome::Failed);
            shard.poll();
        }
        if !is_held {
            shard.outcome(2, "a", holder_lease, DeliveryOutcome::Unclear);
            shard.poll();
        }
        shard.outcome(1, "a", lease, DeliveryOutcome::Failed);
        shard.poll();
        assert_eq!(shard.is_dead("a"), !is_held);
        if is_held {
            // Whatever became of its last run, it does not run again.
            let again = shard.leader.lease_of(&id("a")).expect("held");
            holder_lease = again.1;
            shard.outcome(2, "a", holder_lease, DeliveryOutcome::Unclear);
            shard.poll();
            assert!(shard.is_dead("a"));
        }
        assert!(shard.grants_within(WAIT_MS).is_empty());
    }
}

/// When the leader is lost, as seen from the report of an attempt.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Loss {
    /// Before the edge reports.
    Unreported,
    /// The record is proposed and not applied; it goes with the leader.
    Proposed,
    /// The record is applied; the edge has not heard of it.
    Applied,
}

/// A shard whose leader is lost at each attempt, and one edge that tells all that it knows to each leader.
struct Poisoned {
    shard: Shard,
    runs: usize,
}

impl Poisoned {
    fn new() -> Self {
        let mut shard = Shard::new(plain_policy());
        shard.join_with_credits(1, "near", "s", 99);
        shard.accept(message("a", "/s/"));
        Self { shard, runs: 0 }
    }

    fn run(&mut self) -> Option<LeaseId> {
        let limit_ms = self.shard.now_ms + WAIT_MS;
        while self.shard.now_ms < limit_ms {
            self.shard.leader.heartbeat(self.shard.now_ms, edge(1));
            if let Some((_, _, lease)) = self.shard.grants().pop() {
                self.runs += 1;
                return Some(lease);
            }
            self.shard.advance(50);
        }
        None
    }

    fn report(&mut self, lease: LeaseId, outcome: &DeliveryOutcome, loss: Loss) {
        if loss == Loss::Proposed {
            self.shard.holds = true;
        }
        if loss != Loss::Unreported {
            self.shard.outcome(1, "a", lease, outcome.clone());
            self.shard.poll();
        }
        self.shard.holds = false;
        self.shard.change_leader();
        self.shard.connect(1, "node-1", "near");
        self.shard.inventory(1, &[("a", lease)]);
        self.shard.credits(1, "s", 99);
        self.shard.outcome(1, "a", lease, outcome.clone());
    }
}

#[test]
fn a_message_that_fails_at_each_run_has_no_run_more_however_its_leaders_are_lost() {
    const LOSSES: [Loss; 3] = [Loss::Unreported, Loss::Proposed, Loss::Applied];
    for number in 0..LOSSES.len().pow(MOST_ATTEMPTS as u32) {
        let mut poisoned = Poisoned::new();
        let mut rest = number;
        while let Some(lease) = poisoned.run() {
            poisoned.report(lease, &DeliveryOutcome::Failed, LOSSES[rest % LOSSES.len()]);
            rest /= LOSSES.len();
        }
        poisoned.shard.poll();
        assert!(poisoned.shard.is_dead("a"), "{number}");
        assert_eq!(poisoned.runs, MOST_ATTEMPTS, "{number}");
    }
}

#[test]
fn a_message_that_can_never_be_done_runs_once_however_its_leader_is_lost() {
    for loss in [Loss::Unreported, Loss::Proposed, Loss::Applied] {
        let mut poisoned = Poisoned::new();
        let lease = poisoned.run().expect("a run");
        poisoned.report(lease, &DeliveryOutcome::Rejected, loss);
        assert_eq!(poisoned.run(), None, "{loss:?}");
        assert!(poisoned.shard.is_dead("a"));
    }
}

#[test]
fn an_edge_that_dies_with_its_reports_costs_one_run_each() {
    const DEATHS: u64 = 3;
    for (outcome, most) in [(DeliveryOutcome::Failed, MOST_ATTEMPTS), (DeliveryOutcome::Rejected, 1)] {
        let mut shard = Shard::new(plain_policy());
        shard.join_with_credits(1, "near", "s", 99);
        shard.accept(message("a", "/s/"));
        let mut runs = 0;
        for death in 1..=DEATHS {
            shard.granted("a");
            runs += 1;
            // Its successor on the same machine holds nothing.
            let successor = death + 1;
            shard.connect(successor, "node-1", "near");
            shard.inventory(successor, &[]);
            shard.credits(successor, "s", 99);
        }
        let survivor = DEATHS + 1;
        while let Some((_, _, lease)) = shard.grants_within(WAIT_MS).pop() {
            runs += 1;
            shard.outcome(survivor, "a", lease, outcome.clone());
            shard.poll();
            shard.leader.heartbeat(shard.now_ms, edge(survivor));
        }
        assert!(shard.is_dead("a"));
        assert_eq!(runs, most + DEATHS as usize, "{outcome:?}");
    }
}
