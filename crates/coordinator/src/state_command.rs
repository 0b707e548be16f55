//! What the coordinators agree upon, one after the other, and what comes of it.

use nanoserde::{DeBin, SerBin};
use ruddervalve_protocol::{Blob, CoordinatorMember, ShardPlacement, StoreMember};

use crate::state_envelope::{Damaged, Kind, open, seal};

/// One entry of the control group's log. Every replica applies the same entries in the same order.
#[derive(Debug, Clone, PartialEq, SerBin, DeBin)]
pub enum ControlCommand {
    /// Puts a configuration into force if it builds on the current one.
    ReplaceConfiguration(ReplaceConfiguration),
    /// Makes a store known, or its new disk or address.
    RegisterStore(StoreMember),
    /// Makes a coordinator known, or its new disk or address.
    RegisterCoordinator(CoordinatorMember),
    /// Says which stores shall hold which shards.
    SetPlacement {
        /// All shards, those without a change too.
        shards: Vec<ShardPlacement>,
    },
    /// Asks for a store to be emptied.
    StartRetire {
        /// The store's `NodeName`.
        node: String,
        /// Within what time the operator wants it, in milliseconds from the command.
        deadline_ms: u64,
        /// How many stores have to remain that are not retiring.
        minimum_stores: u32,
    },
    /// The store holds nothing any more and leaves.
    FinishRetire {
        /// Its `NodeName`.
        node: String,
    },
    /// A store that is gone for good, and that no shard wants, is struck off.
    ForgetStore {
        /// Its `NodeName`.
        node: String,
    },
    /// A coordinator that is gone for good is struck off.
    ForgetCoordinator {
        /// Its `NodeName`.
        node: String,
    },
}

/// A configuration that shall take the place of the current one. Its body has passed all checks before.
#[derive(Debug, Clone, PartialEq, SerBin, DeBin)]
pub struct ReplaceConfiguration {
    /// The version that it builds on; 0 for the first.
    pub base_version: u64,
    /// Its own `ResourceVersion`.
    pub version: u64,
    /// The digest of the body, as `ruddervalve_configuration::digest` gives it.
    pub digest: u128,
    /// The JSON body, byte for byte.
    pub body: Blob,
}

/// What came of a command.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ControlResult {
    /// The configuration is in force now.
    Taken {
        /// Its version.
        version: u64,
    },
    /// That very configuration was taken before; it may have been replaced since.
    AlreadyTaken {
        /// Its version.
        version: u64,
    },
    /// The configuration is older than all that are remembered: whether it was taken is not known. Nothing has changed.
    TooOldToTell {
        /// Its version.
        version: u64,
    },
    /// The configuration builds on another version than the current one, or is not higher. Nothing has changed.
    Conflict {
        /// The current version; 0: none yet.
        current: u64,
    },
    /// The member is known now, as it was named.
    Registered,
    /// All was so before.
    Unchanged,
    /// The member's disk was replaced by a newer one, or retired, and may take no part any more.
    Fenced,
    /// The placement is in force.
    Placed,
    /// The placement is not taken. Nothing has changed.
    PlacementRefused(PlacementFault),
    /// The store is to be emptied from now on.
    RetireStarted,
    /// The store is being emptied already.
    RetireUnderWay,
    /// The store has been emptied already.
    AlreadyRetired,
    /// Too few stores would remain. Nothing has changed.
    TooFewLeft {
        /// How many would remain.
        left: u32,
        /// How many have to.
        needed: u32,
    },
    /// No member has this name. Nothing has changed.
    UnknownNode,
    /// Shards still want the store. Nothing has changed.
    StillPlaced,
    /// The store has left.
    RetireFinished,
    /// The member is struck off.
    Forgotten,
}

/// Why a placement is not taken.
#[derive(Debug, Clone, Copy, PartialEq, Eq, displaydoc::Display)]
pub enum PlacementFault {
    /// a shard uses the coordinators' group or stands there twice: give each shard a group of its own
    BadGroup,
    /// a shard that was founded is missing: keep all shards
    ShardMissing,
    /// the founders of a shard differ from those it was founded on: keep them
    FoundersChanged,
    /// a shard has no founders or wants no stores: name them
    Empty,
    /// a shard wants a store twice or one that is not known: compute the placement from the present stores
    BadStore,
}

impl std::error::Error for PlacementFault {}

impl ControlCommand {
    /// The command as an entry of the log.
    pub fn to_blob(&self) -> Blob {
        seal(Kind::Command, &self.serialize_bin())
    }

    /// The command of an entry.
    ///
    /// # Errors
    /// [`Damaged`] where the bytes are not what [`Self::to_blob`] made.
    pub fn from_bytes(bytes: &[u8]) -> Result<Self, Damaged> {
        let payload = open(Kind::Command, bytes)?;
        Self::deserialize_bin(payload).map_err(|_| Damaged::Content)
    }
}
