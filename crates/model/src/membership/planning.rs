//! Which members are wanted, and the product's decision about the next step towards them.

use ruddervalve_consensus::Membership;
use ruddervalve_protocol::ReplicaId;
use ruddervalve_replication::{Followers, next_change};

use super::members::{replica_id, replica_index};
use super::{Beliefs, Disk, Group, Members, ReplicaSet, Scenario};

/// Chooses the next membership from the one in force, the voters that are wanted, the least number of voters and what the
/// leader knows of its followers.
pub type Planner = fn(&Membership, &[ReplicaId], usize, &View) -> Option<Membership>;

/// What a leader knows of its followers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct View {
    /// Those that answered lately.
    pub active: ReplicaSet,
    /// Those that have what is committed, or very soon have.
    pub caught_up: ReplicaSet,
}

impl Followers for View {
    fn is_caught_up(&self, id: ReplicaId) -> bool {
        replica_index(id).is_some_and(|replica| self.caught_up.contains(replica))
    }

    fn is_active(&self, id: ReplicaId) -> bool {
        replica_index(id).is_some_and(|replica| self.active.contains(replica))
    }

    /// The model has no time: whoever does not answer is taken for lost.
    fn is_lost(&self, id: ReplicaId) -> bool {
        !self.is_active(id)
    }
}

/// The product's planner.
pub fn by_contract(
    membership: &Membership,
    wanted: &[ReplicaId],
    least_voters: usize,
    view: &View,
) -> Option<Membership> {
    let change = next_change(membership, wanted, least_voters, view)?;
    Members::from(membership).changed(change).map(Members::to_membership)
}

impl Scenario {
    /// The membership that a leader that sees things as they are would change to, if any.
    pub(super) fn next_members(&self, group: &Group, leader: usize) -> Option<Members> {
        let active = seen_by(group, leader);
        self.planned(group, leader, active, active)
    }

    /// All memberships that a leader may change to, given what it and the coordinators may believe.
    pub(super) fn possible_members(&self, group: &Group, leader: usize) -> Vec<Members> {
        let seen = seen_by(group, leader);
        let beliefs = match self.beliefs {
            Beliefs::Exact => vec![seen],
            Beliefs::Mistaken => mistaken_about_one(group, leader, seen),
        };
        let mut possible = Vec::new();
        for present in &beliefs {
            for active in &beliefs {
                let next = self.planned(group, leader, *present, *active);
                possible.extend(next.filter(|members| !possible.contains(members)));
            }
        }
        possible
    }

    /// `present`: who is there as far as the coordinators know; `active`: as far as the leader does.
    fn planned(
        &self,
        group: &Group,
        leader: usize,
        present: ReplicaSet,
        active: ReplicaSet,
    ) -> Option<Members> {
        let members = group.replicas[leader].members();
        let wanted: Vec<ReplicaId> = self.wanted(group, members, present).iter().map(replica_id).collect();
        let view = View { active, caught_up: self.caught_up(group, leader).and(active) };
        let planned = (self.planner)(&members.to_membership(), &wanted, self.least_voters, &view)?;
        Some(Members::from(&planned)).filter(|planned| *planned != members)
    }

    /// Voters that are there keep their place; newcomers fill it up, learners first; then voters that are away stay as long
    /// as nobody else is there.
    fn wanted(&self, group: &Group, members: Members, present: ReplicaSet) -> ReplicaSet {
        let candidates = present.minus(members.voters).minus(self.retiring);
        let in_use = (0..group.replicas.len()).filter(|replica| group.replicas[*replica].disk == Disk::Kept);
        let candidates = candidates.and(in_use.collect());
        let voters = members.voters.minus(self.retiring);
        let by_preference = (voters.and(present).iter())
            .chain(candidates.and(members.learners).iter())
            .chain(candidates.minus(members.learners).iter())
            .chain(voters.minus(present).iter());
        by_preference.take(self.full_group()).collect()
    }

    /// Those that have all entries from before the leader's term: `Replica::is_caught_up` asks for this at least.
    fn caught_up(&self, group: &Group, leader: usize) -> ReplicaSet {
        if self.learners_vote_early {
            return ReplicaSet::first(group.replicas.len());
        }
        let Some(leadership) = group.replicas[leader].leadership() else { return ReplicaSet::default() };
        let has = |replica: &usize| leadership.matched[*replica] >= leadership.first_index;
        (0..group.replicas.len()).filter(has).collect()
    }
}

/// Whom a leader reaches, itself included.
fn seen_by(group: &Group, leader: usize) -> ReplicaSet {
    let up = group.up();
    if up.contains(leader) { up } else { ReplicaSet::default().with(leader) }
}

fn mistaken_about_one(group: &Group, leader: usize, seen: ReplicaSet) -> Vec<ReplicaSet> {
    let others = (0..group.replicas.len()).filter(|replica| *replica != leader);
    let swapped =
        |replica: usize| if seen.contains(replica) { seen.without(replica) } else { seen.with(replica) };
    std::iter::once(seen).chain(others.map(swapped)).collect()
}
