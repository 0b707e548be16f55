//! Permits that edges have asked for or hold, by edge and by their place in the queue of a service.

use std::collections::BTreeMap;

use ruddervalve_protocol::{Incarnation, PermitNumber};

use crate::ready::ReadyKey;
use crate::records::Sequence;
use crate::services::ServiceIndex;

/// Permits wait among the messages of their service, in places that no message has.
const FIRST_PLACE: u64 = 1 << 63;

/// Who asked for a permit.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct PermitHolder {
    pub(crate) edge: Incarnation,
    pub(crate) number: PermitNumber,
}

/// Where a permit stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum PermitPhase {
    /// It waits at this place of its service's queue.
    Waiting(ReadyKey),
    /// The delivery is under way.
    Held,
}

/// One permit.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Permit {
    pub(crate) service: ServiceIndex,
    pub(crate) phase: PermitPhase,
}

/// All permits. They are volatile: edges ask each new leader anew.
#[derive(Debug, Default)]
pub(crate) struct Permits {
    permits: BTreeMap<PermitHolder, Permit>,
    waiting: BTreeMap<Sequence, PermitHolder>,
    last: u64,
}

impl Permits {
    /// Whether the permit is known.
    pub(crate) fn contains(&self, holder: PermitHolder) -> bool {
        self.permits.contains_key(&holder)
    }

    /// A place in the queue of a service that no message and no other permit has.
    pub(crate) fn next_place(&mut self) -> Sequence {
        self.last += 1;
        Sequence(FIRST_PLACE + self.last)
    }

    /// Adds a permit.
    pub(crate) fn insert(&mut self, holder: PermitHolder, permit: Permit) {
        if let PermitPhase::Waiting(key) = permit.phase {
            self.waiting.insert(key.sequence, holder);
        }
        self.permits.insert(holder, permit);
    }

    /// Who waits at a place; none if a message does.
    pub(crate) fn waiting_at(&self, place: Sequence) -> Option<PermitHolder> {
        self.waiting.get(&place).copied()
    }

    /// Takes a permit off.
    pub(crate) fn remove(&mut self, holder: PermitHolder) -> Option<Permit> {
        let permit = self.permits.remove(&holder)?;
        if let PermitPhase::Waiting(key) = permit.phase {
            self.waiting.remove(&key.sequence);
        }
        Some(permit)
    }

    /// The permits of an edge.
    pub(crate) fn of(&self, edge: Incarnation) -> Vec<PermitHolder> {
        let first = PermitHolder { edge, number: PermitNumber(0) };
        let last = PermitHolder { edge, number: PermitNumber(u64::MAX) };
        self.permits.range(first..=last).map(|(holder, _)| *holder).collect()
    }
}
