//! The end of the process after SIGTERM, step by step.

/// How often the platform asks whether the process is ready, and how many misses take it out, in milliseconds: after
/// that no new connections come.
const READINESS_MISSES_MS: u64 = 2 * 1_000;
/// What is left of `GracePeriodS` when the process ends whatever is under way, in parts of it.
const LAST_PART_OF_GRACE: u64 = 10;

/// How far the end of the process is. Times are milliseconds of the process's clock.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Ending {
    /// It is not ending.
    No,
    /// The platform may still send new connections until then.
    Accepting { until: u64, moments: Moments },
    /// Connections and deliveries end.
    Draining(Moments),
    /// All clients have their answers, which have to leave yet.
    Answered(Moments),
}

/// The last moments of a process that ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Moments {
    /// Clients that still wait get their final answers, so that those have left when the process ends.
    pub(super) answers_at: u64,
    /// The process ends, whatever is under way.
    pub(super) last: u64,
}

/// What is to be done as the end goes on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum EndingStep {
    /// No new connections are accepted, and present ones end after their answer.
    Drain,
    /// All clients that wait are answered.
    AnswerAll,
}

impl Ending {
    /// SIGTERM came now; the platform kills the process `grace_ms` later.
    pub(super) fn begin(now: u64, grace_ms: u64) -> Self {
        let part = grace_ms / LAST_PART_OF_GRACE;
        let last = now + grace_ms - part;
        let moments = Moments { answers_at: last.saturating_sub(part), last };
        Self::Accepting { until: now + READINESS_MISSES_MS.min(grace_ms / 2), moments }
    }

    /// The next step, if its time has come. Call it until there is none.
    pub(super) fn advance(&mut self, now: u64) -> Option<EndingStep> {
        match *self {
            Self::Accepting { until, moments } if now >= until => {
                *self = Self::Draining(moments);
                Some(EndingStep::Drain)
            }
            Self::Draining(moments) if now >= moments.answers_at => {
                *self = Self::Answered(moments);
                Some(EndingStep::AnswerAll)
            }
            _ => None,
        }
    }

    /// When there is something to do next.
    pub(super) fn next_wake(self) -> Option<u64> {
        match self {
            Self::No => None,
            Self::Accepting { until, .. } => Some(until),
            Self::Draining(moments) => Some(moments.answers_at),
            Self::Answered(moments) => Some(moments.last),
        }
    }

    /// Whether the process ends now. `idle`: nothing is under way.
    pub(super) fn is_over(self, now: u64, idle: bool) -> bool {
        match self {
            Self::No | Self::Accepting { .. } => false,
            Self::Draining(moments) | Self::Answered(moments) => idle || now >= moments.last,
        }
    }
}

#[cfg(test)]
mod tests;
