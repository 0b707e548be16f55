//! The placement in the state of the control group.

use std::collections::BTreeSet;

use ruddervalve_protocol::{GroupId, ShardPlacement};

use crate::state::ControlState;
use crate::state_command::{ControlResult, PlacementFault};

impl ControlState {
    pub(crate) fn set_placement(&mut self, shards: &[ShardPlacement]) -> ControlResult {
        if let Err(fault) = self.check_placement(shards) {
            return ControlResult::PlacementRefused(fault);
        }
        if self.shards == shards {
            return ControlResult::Unchanged;
        }
        self.shards = shards.to_vec();
        self.directory_changed();
        ControlResult::Placed
    }

    fn check_placement(&self, shards: &[ShardPlacement]) -> Result<(), PlacementFault> {
        let mut groups = BTreeSet::new();
        for shard in shards {
            if shard.group == GroupId::CONTROL || !groups.insert(shard.group) {
                return Err(PlacementFault::BadGroup);
            }
            if shard.founders.is_empty() || shard.wanted.is_empty() {
                return Err(PlacementFault::Empty);
            }
            let distinct: BTreeSet<&String> = shard.wanted.iter().collect();
            if distinct.len() < shard.wanted.len() || !distinct.iter().all(|node| self.has_store(node)) {
                return Err(PlacementFault::BadStore);
            }
        }
        for founded in &self.shards {
            let Some(shard) = shards.iter().find(|shard| shard.group == founded.group) else {
                return Err(PlacementFault::ShardMissing);
            };
            if shard.founders != founded.founders {
                return Err(PlacementFault::FoundersChanged);
            }
        }
        Ok(())
    }
}
