//! The members in the state of the control group: stores, coordinators, and the disks that are fenced.

use ruddervalve_protocol::{CoordinatorMember, ReplicaId, StoreMember};

use crate::state::{ControlState, REMEMBERED_DISKS, push_newest};
use crate::state_command::ControlResult;

impl ControlState {
    pub(crate) fn register_store(&mut self, store: &StoreMember) -> ControlResult {
        if self.is_fenced(store.replica) {
            return ControlResult::Fenced;
        }
        match self.stores.binary_search_by(|known| known.node.cmp(&store.node)) {
            Ok(index) => {
                let Some(known) = self.stores.get_mut(index) else { return ControlResult::Unchanged };
                if known == store {
                    return ControlResult::Unchanged;
                }
                let replaced = std::mem::replace(known, store.clone());
                self.fence_if_new(replaced.replica, store.replica);
            }
            Err(index) => self.stores.insert(index, store.clone()),
        }
        self.directory_changed();
        ControlResult::Registered
    }

    pub(crate) fn register_coordinator(&mut self, coordinator: &CoordinatorMember) -> ControlResult {
        if self.is_fenced(coordinator.replica) {
            return ControlResult::Fenced;
        }
        match self.coordinators.binary_search_by(|known| known.node.cmp(&coordinator.node)) {
            Ok(index) => {
                let Some(known) = self.coordinators.get_mut(index) else { return ControlResult::Unchanged };
                if known == coordinator {
                    return ControlResult::Unchanged;
                }
                let replaced = std::mem::replace(known, coordinator.clone());
                self.fence_if_new(replaced.replica, coordinator.replica);
            }
            Err(index) => self.coordinators.insert(index, coordinator.clone()),
        }
        self.directory_changed();
        ControlResult::Registered
    }

    /// Strikes a store off. Its disk is fenced only if the store was being emptied: another keeps what it voted and its
    /// logs, and may return.
    pub(crate) fn forget_store(&mut self, node: &str) -> ControlResult {
        if !self.has_store(node) {
            return ControlResult::UnknownNode;
        }
        if self.is_wanted(node) {
            return ControlResult::StillPlaced;
        }
        let is_retiring = self.retiring().any(|retirement| retirement.node == node);
        if is_retiring {
            self.strike_off_store(node);
        } else {
            self.remove_store(node);
        }
        self.end_retirement(node);
        ControlResult::Forgotten
    }

    /// Strikes a coordinator off. Its disk is not fenced: it keeps what it voted and its log, and may return.
    pub(crate) fn forget_coordinator(&mut self, node: &str) -> ControlResult {
        let Some(index) = self.coordinators.iter().position(|known| known.node == node) else {
            return ControlResult::UnknownNode;
        };
        self.coordinators.remove(index);
        self.directory_changed();
        ControlResult::Forgotten
    }

    /// Takes a store off the list and fences its disk.
    pub(crate) fn strike_off_store(&mut self, node: &str) {
        if let Some(gone) = self.remove_store(node) {
            self.fence(gone.replica);
        }
    }

    fn remove_store(&mut self, node: &str) -> Option<StoreMember> {
        let index = self.stores.iter().position(|known| known.node == node)?;
        self.directory_changed();
        Some(self.stores.remove(index))
    }

    pub(crate) fn has_store(&self, node: &str) -> bool {
        self.stores.binary_search_by(|known| known.node.as_str().cmp(node)).is_ok()
    }

    pub(crate) fn is_wanted(&self, node: &str) -> bool {
        self.shards.iter().any(|shard| shard.wanted.iter().any(|wanted| wanted == node))
    }

    fn fence_if_new(&mut self, replaced: ReplicaId, replacement: ReplicaId) {
        if replaced != replacement {
            self.fence(replaced);
        }
    }

    fn fence(&mut self, replica: ReplicaId) {
        push_newest(&mut self.fenced, replica, REMEMBERED_DISKS);
    }
}
