//! Names of replicas, groups, processes and messages.

use nanoserde::{DeBin, SerBin};

/// A replica, and the disk that it lives on: drawn anew for each empty disk, so that a machine whose disk was lost comes
/// back under another identity and cannot vote for its old one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, SerBin, DeBin)]
pub struct ReplicaId(pub u64);

/// A consensus group: [`GroupId::CONTROL`] is the coordinators', each other one is a shard of the queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, SerBin, DeBin)]
pub struct GroupId(pub u32);

impl GroupId {
    /// The group of the coordinators.
    pub const CONTROL: Self = Self(0);
}

/// One life of a process, drawn at its start.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, SerBin, DeBin)]
pub struct Incarnation(pub u64);

/// A message: the client's request id. Every try of a client carries one of its own.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Default, SerBin, DeBin)]
pub struct MessageId(pub String);
