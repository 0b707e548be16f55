//! The replicated state of the control group. Deterministic: no clock, no chance, no I/O.

use nanoserde::{DeBin, SerBin};
use ruddervalve_mutation::{Mutation, is_active};
use ruddervalve_protocol::{
    Blob, ConfigurationUpdate, CoordinatorMember, Directory, ReplicaId, ShardPlacement, StoreMember,
};

use crate::state_command::{ControlCommand, ControlResult, ReplaceConfiguration};
use crate::state_envelope::{Damaged, Kind, open, seal};

/// How many configurations that were taken are known again: three days of 5,400 changes, 32 bytes each. A repeat that may
/// be of an older one gets no clear answer, as 'one that was taken is acknowledged again or left without a clear answer,
/// never refused'; so the bound costs an answer, and never a refusal.
pub const REMEMBERED_CONFIGURATIONS: usize = 16_384;
/// How many disks that were replaced or retired are known again. Far more than machines that may still run with one.
pub const REMEMBERED_DISKS: usize = 1_024;
/// How many finished retirements are still told to the operator.
pub const REMEMBERED_RETIREMENTS: usize = 1_024;

/// The state that all coordinators agree upon.
#[derive(Debug, Clone, PartialEq, Default, SerBin, DeBin)]
pub struct ControlState {
    configuration: Option<ConfigurationUpdate>,
    /// The newest that were taken, by rising version: each builds on the one before.
    taken: Vec<TakenConfiguration>,
    pub(crate) directory_version: u64,
    pub(crate) stores: Vec<StoreMember>,
    pub(crate) coordinators: Vec<CoordinatorMember>,
    pub(crate) shards: Vec<ShardPlacement>,
    pub(crate) retirements: Vec<Retirement>,
    pub(crate) fenced: Vec<ReplicaId>,
}

/// By what a configuration that was taken is known again.
#[derive(Debug, Clone, Copy, PartialEq, Eq, SerBin, DeBin)]
struct TakenConfiguration {
    base_version: u64,
    version: u64,
    digest: u128,
}

/// A store that is being, or has been, emptied.
#[derive(Debug, Clone, PartialEq, Eq, SerBin, DeBin)]
pub struct Retirement {
    /// The store's `NodeName`.
    pub node: String,
    /// Within what time the operator wanted it, in milliseconds from the command.
    pub deadline_ms: u64,
    /// How far it is.
    pub phase: RetirementPhase,
}

/// How far a retirement is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, SerBin, DeBin)]
pub enum RetirementPhase {
    /// The store still holds, or may hold, replicas.
    Running,
    /// The store holds nothing; the machine may be removed.
    Succeeded,
}

impl ControlState {
    /// Applies one command. The same commands in the same order give the same state and the same results everywhere.
    pub fn apply(&mut self, command: &ControlCommand) -> ControlResult {
        match command {
            ControlCommand::ReplaceConfiguration(replacement) => self.replace_configuration(replacement),
            ControlCommand::RegisterStore(store) => self.register_store(store),
            ControlCommand::RegisterCoordinator(coordinator) => self.register_coordinator(coordinator),
            ControlCommand::SetPlacement { shards } => self.set_placement(shards),
            ControlCommand::StartRetire { node, deadline_ms, minimum_stores } => {
                self.start_retire(node, *deadline_ms, *minimum_stores)
            }
            ControlCommand::FinishRetire { node } => self.finish_retire(node),
            ControlCommand::ForgetStore { node } => self.forget_store(node),
            ControlCommand::ForgetCoordinator { node } => self.forget_coordinator(node),
        }
    }

    /// The configuration in force; none before the first.
    pub fn configuration(&self) -> Option<ConfigurationUpdate> {
        self.configuration.clone()
    }

    /// The version of the configuration in force; 0 before the first.
    pub fn configuration_version(&self) -> u64 {
        self.configuration.as_ref().map_or(0, |configuration| configuration.version)
    }

    /// What edges and stores are told of the members and shards.
    pub fn directory(&self) -> Directory {
        Directory {
            version: self.directory_version,
            stores: self.stores.clone(),
            coordinators: self.coordinators.clone(),
            shards: self.shards.clone(),
        }
    }

    /// The version of [`Self::directory`], without building it.
    pub fn directory_version(&self) -> u64 {
        self.directory_version
    }

    /// All stores known, by node name.
    pub fn stores(&self) -> &[StoreMember] {
        &self.stores
    }

    /// All coordinators known, by node name.
    pub fn coordinators(&self) -> &[CoordinatorMember] {
        &self.coordinators
    }

    /// All shards.
    pub fn shards(&self) -> &[ShardPlacement] {
        &self.shards
    }

    /// The retirement of a store, if one was ever started that is still remembered.
    pub fn retirement(&self, node: &str) -> Option<&Retirement> {
        self.retirements.iter().find(|retirement| retirement.node == node)
    }

    /// The stores that are being emptied.
    pub fn retiring(&self) -> impl Iterator<Item = &Retirement> {
        self.retirements.iter().filter(|retirement| retirement.phase == RetirementPhase::Running)
    }

    /// Whether a disk was replaced or retired and may take no part any more.
    pub fn is_fenced(&self, replica: ReplicaId) -> bool {
        self.fenced.contains(&replica)
    }

    /// The whole state, for [`Self::restore`].
    pub fn snapshot(&self) -> Blob {
        seal(Kind::Snapshot, &self.serialize_bin())
    }

    /// The state of a snapshot.
    ///
    /// # Errors
    /// [`Damaged`] where the bytes are not what [`Self::snapshot`] made.
    pub fn restore(bytes: &[u8]) -> Result<Self, Damaged> {
        let payload = open(Kind::Snapshot, bytes)?;
        Self::deserialize_bin(payload).map_err(|_| Damaged::Content)
    }

    fn replace_configuration(&mut self, replacement: &ReplaceConfiguration) -> ControlResult {
        let taken = TakenConfiguration {
            base_version: replacement.base_version,
            version: replacement.version,
            digest: replacement.digest,
        };
        if self.was_taken(&taken) && !is_active(Mutation::TakenForgotten) {
            return ControlResult::AlreadyTaken { version: replacement.version };
        }
        if self.may_be_forgotten(&taken) {
            return ControlResult::TooOldToTell { version: replacement.version };
        }
        let current = self.configuration_version();
        let other_base = replacement.base_version != current && !is_active(Mutation::BaseVersionIgnored);
        if other_base || replacement.version <= current {
            return ControlResult::Conflict { current };
        }
        self.configuration =
            Some(ConfigurationUpdate { version: replacement.version, body: replacement.body.clone() });
        push_newest(&mut self.taken, taken, REMEMBERED_CONFIGURATIONS);
        ControlResult::Taken { version: replacement.version }
    }

    fn was_taken(&self, taken: &TakenConfiguration) -> bool {
        let place = self.taken.binary_search_by_key(&taken.version, |known| known.version);
        place.is_ok_and(|place| self.taken.get(place) == Some(taken))
    }

    /// Whether a configuration may have been taken so long ago that it is not remembered: the oldest that is remembered
    /// builds on a version at least as high.
    fn may_be_forgotten(&self, taken: &TakenConfiguration) -> bool {
        let forgotten_up_to = self.taken.first().map_or(0, |oldest| oldest.base_version);
        taken.base_version < taken.version && taken.version <= forgotten_up_to
    }

    pub(crate) fn directory_changed(&mut self) {
        self.directory_version = self.directory_version.saturating_add(1);
    }
}

/// Appends an item and lets go of the oldest beyond `limit`.
pub(crate) fn push_newest<T>(items: &mut Vec<T>, item: T, limit: usize) {
    items.push(item);
    if items.len() > limit {
        items.remove(0);
    }
}
