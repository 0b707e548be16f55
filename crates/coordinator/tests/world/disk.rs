//! A disk of the control group: what its records left.

use std::collections::BTreeMap;

use ruddervalve_disk::{GroupState, ProcessState, Record, StoredEntry};
use ruddervalve_protocol::ReplicaId;

pub struct Disk {
    state: ProcessState,
}

impl Disk {
    pub fn empty(identity: ReplicaId) -> Self {
        Self { state: ProcessState { identity, groups: BTreeMap::new() } }
    }

    pub fn is_empty(&self) -> bool {
        self.state.groups.is_empty()
    }

    pub fn state(&self) -> &ProcessState {
        &self.state
    }

    /// A checkpoint takes the place of all.
    pub fn replace(&mut self, state: ProcessState) {
        self.state = state;
    }

    pub fn write(&mut self, records: Vec<Record>) {
        for record in records {
            match record {
                Record::HardState { group, state } => self.group(group).hard_state = state,
                Record::Entries { group, entries } => replace_from(&mut self.group(group).entries, entries),
                Record::Snapshot { group, snapshot } => {
                    let state = self.group(group);
                    state.entries.clear();
                    state.snapshot = Some(snapshot);
                }
                Record::Founded { group, membership } => self.group(group).founded = Some(membership),
                Record::Left { group, state, floor } => {
                    let left = GroupState { hard_state: state, floor: Some(floor), ..GroupState::default() };
                    self.state.groups.insert(group, left);
                }
            }
        }
    }

    fn group(&mut self, group: ruddervalve_protocol::GroupId) -> &mut GroupState {
        self.state.groups.entry(group).or_default()
    }
}

fn replace_from(stored: &mut Vec<StoredEntry>, entries: Vec<StoredEntry>) {
    let Some(first) = entries.first().map(|entry| entry.index) else { return };
    stored.retain(|entry| entry.index < first);
    stored.extend(entries);
}
