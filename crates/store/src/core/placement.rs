//! Moves membership and leadership of shards towards what the coordinators want.

use ruddervalve_protocol::{CoordinatorRequest, ReplicaId, ShardMembers, ShardPlacement};
use ruddervalve_replication::{LeaderView, next_change};

use super::{StoreCore, StoreOutput};

/// Leadership moves to the preferred store, and members are told to the coordinators again, after this part of
/// `LivenessMs`.
const CARE_PER_LIVENESS: u64 = 2;

impl StoreCore {
    /// Moves membership and leadership of led shards towards what is wanted, now and then.
    pub(super) fn care(&mut self, now: u64) {
        if now < self.care_at {
            return;
        }
        self.care_at = now + (self.settings.bounds.liveness_ms / CARE_PER_LIVENESS).max(1);
        let placements = self.directory.shards.clone();
        for placement in &placements {
            if self.may_lead(placement.group, now) && self.ending_since.is_none() {
                self.care_for(now, placement);
            }
        }
    }

    fn care_for(&mut self, now: u64, placement: &ShardPlacement) {
        let group = placement.group;
        let wanted: Vec<ReplicaId> =
            placement.wanted.iter().filter_map(|node| self.replica_of(node)).collect();
        let complete = wanted.len() == placement.wanted.len();
        let identity = self.replicas.identity();
        let Some(replica) = self.replicas.host.replica_mut(group) else { return };
        if !replica.membership_committed() {
            return;
        }
        let membership = replica.membership();
        let members = membership.voters.iter().chain(&membership.learners).copied().collect();
        let told = ShardMembers { group, term: replica.term(), members };
        self.outputs.push(StoreOutput::Coordinators(CoordinatorRequest::ShardMembers(told)));
        if complete
            && let Some(change) = next_change(replica.membership(), &wanted, &LeaderView { replica, now })
        {
            match replica.change_membership(now, change) {
                Ok(index) => tracing::info!(group = group.0, index, ?change, "membership of a shard changes"),
                Err(error) => {
                    tracing::debug!(group = group.0, %error, ?change, "no change of membership now")
                }
            }
            return;
        }
        let preferred = wanted.first().filter(|preferred| **preferred != identity);
        if let Some(preferred) = preferred
            && replica.membership().is_voter(*preferred)
            && replica.is_caught_up(*preferred)
        {
            tracing::info!(group = group.0, to = preferred.0, "a shard is handed to its preferred leader");
            replica.transfer_leadership(now, Some(*preferred));
        }
    }

    fn replica_of(&self, node: &str) -> Option<ReplicaId> {
        self.directory.stores.iter().find(|store| store.node == node).map(|store| store.replica)
    }
}
