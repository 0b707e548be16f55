//! What may fail at once, and for how long a failure counts.

use super::{Disk, Group, ReplicaSet, Scenario};

/// What has gone wrong.
///
/// A seat is the place of one machine among those that count; a newcomer takes the seat of the one it replaces. A seat is
/// in trouble from a failure of its machine until the time for synchronising has passed ([`super::Step::SyncTimePasses`]),
/// and no more seats than the tolerance may be in trouble at once. So a newcomer that fails before it has had that time
/// costs nothing more.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default)]
pub struct Tolerance {
    /// The seats in trouble.
    pub trouble: ReplicaSet,
    /// Those of them of which a disk was lost.
    pub lost: ReplicaSet,
    /// How many replicas were cut off or killed for a while.
    pub outages: u8,
    /// How many disks were lost.
    pub wipes: u8,
    /// How many replicas restarted at once.
    pub restarts: u8,
    /// How many seats were in trouble and are so no more.
    pub repairs: u8,
}

impl Scenario {
    /// Whether a failure of `replica` leaves no more seats in trouble than the tolerance.
    pub(super) fn may_fail(&self, group: &Group, replica: usize) -> bool {
        let seat = self.seats[replica];
        let Tolerance { trouble, repairs, .. } = group.tolerance;
        let is_first = trouble.is_empty() && repairs == 0;
        let may_be_first = self.limits.first_failure.is_none_or(|first| first == seat);
        trouble.with(seat).len() <= self.tolerated && (!is_first || may_be_first)
    }

    /// Whether the time for synchronising may have passed: nothing is left to do for the group, and all of its voters are
    /// up. They need not have the whole log yet.
    pub(super) fn is_repaired(&self, group: &Group) -> bool {
        let Some(leader) = group.leader().filter(|leader| group.may_change(*leader)) else { return false };
        let members = group.replicas[leader].members();
        let is_full =
            members.voters.len() == self.full_group() && members.voters.minus(group.up()).is_empty();
        is_full && self.next_members(group, leader).is_none()
    }

    /// The seats that have a voter again are in trouble no more.
    pub(super) fn sync_time_passes(&self, group: &mut Group) {
        let Some(leader) = group.leader() else { return };
        let voters = group.replicas[leader].members().voters;
        let recovered: ReplicaSet = voters.iter().map(|voter| self.seats[voter]).collect();
        let tolerance = &mut group.tolerance;
        let repaired = tolerance.trouble.and(recovered);
        tolerance.repairs += super::replica::index(repaired.len());
        tolerance.trouble = tolerance.trouble.minus(recovered);
        tolerance.lost = tolerance.lost.minus(recovered);
    }

    /// Notes a failure of `replica`.
    pub(super) fn note_failure(&self, group: &mut Group, replica: usize) {
        let seat = self.seats[replica];
        let is_lost = group.replicas[replica].disk == Disk::Lost;
        let tolerance = &mut group.tolerance;
        tolerance.trouble = tolerance.trouble.with(seat);
        if is_lost {
            tolerance.lost = tolerance.lost.with(seat);
            tolerance.wipes += 1;
        } else {
            tolerance.outages += 1;
        }
    }
}
