//! Moves membership and leadership of shards towards what the coordinators want.

use ruddervalve_consensus::{Membership, MembershipChange, Replica};
use ruddervalve_protocol::{CoordinatorRequest, GroupId, ReplicaId, ShardMembers, ShardPlacement};
use ruddervalve_replication::{LeaderView, next_change};
use ruddervalve_runtime::{consensus_timing, lost_after_ms};

use super::{StoreCore, StoreOutput};

/// Members are told to the coordinators again after this part of `LivenessMs`.
const CARE_PER_LIVENESS: u64 = 2;
/// While a led shard's membership or leader is not the wanted one, the next step is tried after this part of `LivenessMs`:
/// a store that lost its disk has to count again within `SyncS`, and each shard takes three steps.
const STEPS_PER_LIVENESS: u64 = 40;

/// The preferred leader of a shard that another leads.
#[derive(Debug, Clone, Copy)]
pub(super) struct Steady {
    follower: ReplicaId,
    /// Since when it has been caught up and active without a break.
    since: u64,
}

impl StoreCore {
    /// Moves membership and leadership of led shards towards what is wanted. True if something was changed.
    pub(super) fn care(&mut self, now: u64) -> bool {
        let tells_all = now >= self.care_at;
        if !tells_all && now < self.step_at {
            return false;
        }
        if tells_all {
            self.care_at = now + (self.settings.bounds.liveness_ms / CARE_PER_LIVENESS).max(1);
        }
        self.step_at = u64::MAX;
        let placements = self.directory.shards.clone();
        let mut changed = false;
        for placement in &placements {
            if self.may_lead(placement.group, now) && self.ending_since.is_none() {
                changed |= self.care_for(now, placement, tells_all);
            }
        }
        changed
    }

    /// A membership may have changed, or another one may be wanted: looks again at once.
    pub(super) fn care_soon(&mut self) {
        self.step_at = 0;
    }

    fn care_for(&mut self, now: u64, placement: &ShardPlacement, tells_all: bool) -> bool {
        let group = placement.group;
        let again = now + (self.settings.bounds.liveness_ms / STEPS_PER_LIVENESS).max(1);
        let Some(replica) = self.replicas.host.replica(group) else { return false };
        if !replica.membership_committed() {
            self.step_at = self.step_at.min(again);
            return false;
        }
        self.tell_members(group, tells_all);
        let wanted: Vec<ReplicaId> =
            placement.wanted.iter().filter_map(|node| self.replica_of(node)).collect();
        let complete = wanted.len() == placement.wanted.len();
        let Some(replica) = self.replicas.host.replica_mut(group) else { return false };
        if complete && !is_reached(replica.membership(), &wanted) {
            self.step_at = self.step_at.min(again);
            let least_voters = wanted.len().saturating_sub(1);
            let view = LeaderView { replica, now, lost_after_ms: lost_after_ms(&self.settings) };
            if let Some(change) = next_change(replica.membership(), &wanted, least_voters, &view) {
                return self.change_membership(now, group, change);
            }
        }
        let preferred = placement.wanted.first().and_then(|node| self.replica_of(node));
        let preferred = preferred.filter(|preferred| *preferred != self.replicas.identity());
        let Some(preferred) = preferred else { return false };
        self.step_at = self.step_at.min(again);
        self.is_steady(now, group, preferred) && self.hand_to_preferred(now, group, preferred)
    }

    /// Whether a follower has been caught up and active without a break for so long that it has neither just started nor
    /// is ending.
    fn is_steady(&mut self, now: u64, group: GroupId, preferred: ReplicaId) -> bool {
        let bounds = &self.settings.bounds;
        let least_ms = bounds.liveness_ms.max(bounds.grace_period_ms / 2);
        let replica = self.replicas.host.replica(group);
        let is_able =
            |replica: &Replica| replica.membership().is_voter(preferred) && replica.is_caught_up(preferred);
        if !replica.is_some_and(is_able) {
            self.steady.remove(&group);
            return false;
        }
        let known = self.steady.get(&group).filter(|steady| steady.follower == preferred).copied();
        let steady = known.unwrap_or(Steady { follower: preferred, since: now });
        self.steady.insert(group, steady);
        now.saturating_sub(steady.since) >= least_ms
    }

    /// A link to a store has ended: it may be starting anew.
    pub(super) fn peer_lost(&mut self, peer: ReplicaId) {
        self.steady.retain(|_, steady| steady.follower != peer);
    }

    fn change_membership(&mut self, now: u64, group: GroupId, change: MembershipChange) -> bool {
        let Some(replica) = self.replicas.host.replica_mut(group) else { return false };
        match replica.change_membership(now, change) {
            Ok(index) => {
                tracing::info!(group = group.0, index, ?change, "membership of a shard changes");
                true
            }
            Err(error) => {
                tracing::debug!(group = group.0, %error, ?change, "no change of membership now");
                false
            }
        }
    }

    /// Tells the coordinators who holds a shard: each membership once, and now and then again.
    fn tell_members(&mut self, group: GroupId, again: bool) {
        let Some(replica) = self.replicas.host.replica(group) else { return };
        let Membership { voters, learners } = replica.membership().clone();
        let members = ShardMembers { group, term: replica.term(), voters, learners };
        if again || self.members_told.get(&group) != Some(&members) {
            self.members_told.insert(group, members.clone());
            self.outputs.push(StoreOutput::Coordinators(CoordinatorRequest::ShardMembers(members)));
        }
    }

    fn hand_to_preferred(&mut self, now: u64, group: GroupId, preferred: ReplicaId) -> bool {
        let Some(replica) = self.replicas.host.replica_mut(group) else { return false };
        if !replica.transfer_leadership(now, Some(preferred)) {
            return false;
        }
        self.steady.remove(&group);
        let longest = consensus_timing(&self.settings).election_max_ms;
        self.handing_over.insert(group, now + longest);
        tracing::info!(group = group.0, to = preferred.0, "a shard is handed to its preferred leader");
        true
    }

    fn replica_of(&self, node: &str) -> Option<ReplicaId> {
        self.directory.stores.iter().find(|store| store.node == node).map(|store| store.replica)
    }
}

/// Whether a group has the wanted voters and nobody else.
fn is_reached(membership: &Membership, wanted: &[ReplicaId]) -> bool {
    let all_vote = wanted.iter().all(|id| membership.is_voter(*id));
    all_vote && membership.voters.len() == wanted.len() && membership.learners.is_empty()
}
