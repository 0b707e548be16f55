//! How long things wait at an edge, as parts of the time within which a run is to start.
//!
//! A message that waits here is not seen by the other edges, so it waits for a small part of that time only. A service
//! that is down must be found to be back within a good part of it, and must not be run at meanwhile.

/// Part of the schedule target that a job may wait here for a slot: an eighth, so that a few edges can try.
const HOLD_PART: u64 = 8;
/// Part of it after which a message that found no slot comes again: half the wait, as slots are freed all the time.
const RETRY_PART: u64 = 16;
/// Part of it before the first trial of a service whose runners have all failed, doubled from trial to trial.
const FIRST_TRIAL_PART: u64 = 8;
/// The longest pause between trials in first pauses: with three, a service that is back is found so within half the
/// target, a trial under way included.
const LONGEST_PAUSES: u64 = 3;
/// The schedule target of a service that no route leads to, in milliseconds; nothing is delivered there.
const NO_TARGET_MS: u64 = 1_000;
/// Shorter waits than this are not worth a wake-up, in milliseconds.
const SHORTEST_MS: u64 = 10;

/// The waits of one service, in milliseconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Pacing {
    /// How long a job waits here for a slot before it is given back.
    pub hold_ms: u64,
    /// When a job that found no slot may come again.
    pub retry_ms: u64,
    /// The pause before the first trial of a service whose runners have all failed.
    pub first_trial_ms: u64,
    /// The longest pause between two such trials of this edge.
    pub longest_trial_ms: u64,
}

impl Pacing {
    /// The waits that follow from the shortest schedule target of the service's routes.
    pub fn of(schedule_target_ms: Option<u64>) -> Self {
        let target = schedule_target_ms.unwrap_or(NO_TARGET_MS);
        let part = |part: u64| (target / part).max(SHORTEST_MS);
        let first_trial_ms = part(FIRST_TRIAL_PART);
        Self {
            hold_ms: part(HOLD_PART),
            retry_ms: part(RETRY_PART),
            first_trial_ms,
            longest_trial_ms: first_trial_ms.saturating_mul(LONGEST_PAUSES),
        }
    }
}

/// Trials of a service whose runners have all failed: one at a time, each pause twice the one before.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Trials {
    next_ms: u64,
    pause_ms: u64,
}

impl Trials {
    /// The last runner has failed now.
    pub(crate) fn begin(now: u64, pacing: &Pacing) -> Self {
        let pause_ms = pacing.first_trial_ms;
        Self { next_ms: now.saturating_add(pause_ms), pause_ms }
    }

    /// Whether a job may be sent as a trial.
    pub(crate) fn due(&self, now: u64) -> bool {
        self.next_ms <= now
    }

    /// When the next trial may be sent.
    pub(crate) fn next_ms(&self) -> u64 {
        self.next_ms
    }

    /// A trial is sent now.
    pub(crate) fn sent(&mut self, now: u64, pacing: &Pacing) {
        self.pause_ms = self.pause_ms.saturating_mul(2).min(pacing.longest_trial_ms);
        self.next_ms = now.saturating_add(self.pause_ms);
    }
}
