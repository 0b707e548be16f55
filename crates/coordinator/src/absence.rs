//! Coordinators that are away, and for how long.

use std::collections::{BTreeMap, BTreeSet};

use ruddervalve_protocol::ReplicaId;

/// Since when the leader has heard nothing of some coordinators.
#[derive(Debug, Default)]
pub(crate) struct Absences {
    since: BTreeMap<ReplicaId, u64>,
}

impl Absences {
    /// Nothing is known any more: another office begins.
    pub(crate) fn clear(&mut self) {
        self.since.clear();
    }

    /// These coordinators are known; all that are not `there` are away from now on, unless they were before.
    pub(crate) fn watch(
        &mut self,
        known: &BTreeSet<ReplicaId>,
        is_there: impl Fn(ReplicaId) -> bool,
        now: u64,
    ) {
        self.since.retain(|id, _| known.contains(id) && !is_there(*id));
        for id in known.iter().filter(|id| !is_there(**id)) {
            self.since.entry(*id).or_insert(now);
        }
    }

    /// Whether a coordinator has been away for at least so many milliseconds.
    pub(crate) fn is_away(&self, id: ReplicaId, after_ms: u64, now: u64) -> bool {
        self.since.get(&id).is_some_and(|since| now.saturating_sub(*since) >= after_ms)
    }
}
