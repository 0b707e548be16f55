//! What the leader knows of one pending message.

use ruddervalve_protocol::{Incarnation, LeaseId, MessageId};

use crate::SharedMessage;
use crate::ready::ReadyKey;
use crate::records::PendingMessage;
use crate::services::ServiceIndex;
use crate::settings::Waits;

/// The route of a message in the policy in force.
#[derive(Debug, Clone, Copy)]
pub(crate) struct RouteInForce {
    pub(crate) service: ServiceIndex,
    pub(crate) priority_class: u32,
    pub(crate) max_retries: u32,
    pub(crate) schedule_target_ms: u64,
}

impl RouteInForce {
    /// How many attempts may fail; at least one is made whatever the route says.
    pub(crate) fn most_attempts(&self) -> usize {
        self.max_retries.max(1) as usize
    }
}

/// A lease that is outstanding.
#[derive(Debug, Clone, Copy)]
pub(crate) struct HeldLease {
    pub(crate) edge: Incarnation,
    pub(crate) id: LeaseId,
    /// The service that it counts at, if it had a route then.
    pub(crate) service: Option<ServiceIndex>,
}

/// An edge that waits for a record.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Reporter {
    pub(crate) edge: Incarnation,
    pub(crate) lease: LeaseId,
}

/// Where a message stands.
#[derive(Debug)]
pub(crate) enum Phase {
    /// From an earlier term: some edge may hold it.
    Suspect,
    /// The policy has no route for it.
    Unrouted,
    /// Until `not_before_ms`.
    Waiting,
    /// Behind another message of its key.
    Blocked,
    /// May run; where it stands.
    Ready(ReadyKey),
    /// An edge holds it.
    Leased(HeldLease),
    /// A failed attempt is proposed.
    RecordingAttempt(Vec<Reporter>),
    /// Its end is proposed.
    RecordingEnd(Vec<Reporter>),
}

/// One pending message.
#[derive(Debug)]
pub(crate) struct Entry {
    pub(crate) message: SharedMessage,
    pub(crate) due_ms: u64,
    pub(crate) expires_ms: u64,
    /// The delay or the backoff.
    pub(crate) not_before_ms: u64,
    pub(crate) route: Option<RouteInForce>,
    /// Since when a known policy has no route for it.
    pub(crate) missing_since_ms: Option<u64>,
    pub(crate) failed_attempts: Vec<LeaseId>,
    /// Who reported a failed attempt under a lease that was not outstanding any more, while that is proposed.
    pub(crate) late_failures: Vec<Reporter>,
    /// Leases in a row that came to nothing; for the backoff.
    pub(crate) fruitless: u32,
    pub(crate) phase: Phase,
}

impl Entry {
    pub(crate) fn new(pending: &PendingMessage, phase: Phase) -> Self {
        Self {
            message: pending.message.clone(),
            due_ms: pending.due_ms,
            expires_ms: pending.expires_ms,
            not_before_ms: pending.due_ms,
            route: None,
            missing_since_ms: None,
            failed_attempts: pending.failed_attempts.clone(),
            late_failures: Vec::new(),
            fruitless: 0,
            phase,
        }
    }

    pub(crate) fn id(&self) -> &MessageId {
        &self.message.id
    }

    /// The lease that is outstanding.
    pub(crate) fn held_lease(&self) -> Option<HeldLease> {
        match self.phase {
            Phase::Leased(lease) => Some(lease),
            _ => None,
        }
    }

    /// The attempt that a further answer of 500 makes.
    pub(crate) fn next_attempt(&self) -> usize {
        self.failed_attempts.len() + 1
    }

    /// Whether runners have answered with 500 as often as its route allows: it has ended, though no entry says so yet.
    pub(crate) fn is_spent(&self) -> bool {
        self.route.is_some_and(|route| self.failed_attempts.len() >= route.most_attempts())
    }

    /// Whether the failed attempt under this lease is being recorded, and nothing else.
    pub(crate) fn is_recording_attempt(&self, lease: LeaseId) -> bool {
        let Phase::RecordingAttempt(reporters) = &self.phase else { return false };
        reporters.iter().any(|reporter| reporter.lease == lease)
    }

    /// Takes out those who reported a failed attempt under this lease when it was not outstanding any more.
    pub(crate) fn take_late_failures(&mut self, lease: LeaseId) -> Vec<Reporter> {
        self.late_failures.extract_if(.., |reporter| reporter.lease == lease).collect()
    }

    /// The waits before further runs: the first few fit into the aim of its route.
    pub(crate) fn retry_waits(&self, otherwise_ms: u64) -> Waits {
        Waits::within(self.route.map_or(otherwise_ms, |route| route.schedule_target_ms))
    }
}
