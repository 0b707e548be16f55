//! Stores that were replaced while they were away, and return before their replacement holds the shard: they keep their
//! place, and nothing more is copied.

use std::collections::{BTreeMap, BTreeSet};

use ruddervalve_protocol::{GroupId, ReplicaId, ShardMembers, ShardPlacement};

use crate::placement::StoreView;

/// A member of a shard that was replaced while it was away.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
struct Place {
    group: GroupId,
    node: String,
}

/// The places that stores lost while they were away, as far as this leader gave them to others.
#[derive(Debug, Default)]
pub struct Replaced {
    places: BTreeSet<Place>,
}

impl Replaced {
    /// Nothing is known any more: another term begins. What is under way is then carried out.
    pub fn clear(&mut self) {
        self.places.clear();
    }

    /// Notes which stores lose their place with a new placement while they are away.
    pub fn note(&mut self, stores: &[StoreView], before: &[ShardPlacement], after: &[ShardPlacement]) {
        let is_dead = |node: &String| stores.iter().any(|store| store.node == *node && store.dead_for_ms > 0);
        for (before, after) in before.iter().zip(after) {
            let left = before.wanted.iter().filter(|node| !after.wanted.contains(node) && is_dead(node));
            let places = left.map(|node| Place { group: before.group, node: node.clone() });
            self.places.extend(places);
        }
        let is_wanted = |place: &Place| {
            let mut shards = after.iter().filter(|shard| shard.group == place.group);
            shards.any(|shard| shard.wanted.contains(&place.node))
        };
        self.places.retain(|place| !is_wanted(place));
    }

    /// A placement in which stores that are back, and still vote for a shard, have their places again; none if there is no
    /// such store. `members` is what the shards' leaders told.
    pub fn give_back(
        &mut self,
        stores: &[StoreView],
        present: &[ShardPlacement],
        members: &BTreeMap<GroupId, ShardMembers>,
    ) -> Option<Vec<ShardPlacement>> {
        let replica = |node: &str| stores.iter().find(|store| store.node == node).map(|store| store.replica);
        let votes = |group: GroupId, replica: ReplicaId| {
            members.get(&group).is_some_and(|members| members.voters.contains(&replica))
        };
        self.places.retain(|place| replica(&place.node).is_some_and(|replica| votes(place.group, replica)));
        let mut shards = present.to_vec();
        for place in &self.places {
            let is_back = stores.iter().any(|store| store.node == place.node && store.is_eligible());
            let Some(shard) = shards.iter_mut().find(|shard| shard.group == place.group) else { continue };
            let is_arriving =
                |node: &&mut String| replica(node).is_some_and(|replica| !votes(place.group, replica));
            let is_free = !shard.wanted.contains(&place.node);
            if is_back
                && is_free
                && let Some(arriving) = shard.wanted.iter_mut().find(is_arriving)
            {
                arriving.clone_from(&place.node);
            }
        }
        (shards != present).then_some(shards)
    }
}
