//! What coordinators tell edges and stores, and what these tell them.

use nanoserde::{DeBin, SerBin};

use crate::{Blob, GroupId, Incarnation, ReplicaId};

/// To a coordinator.
#[derive(Debug, Clone, PartialEq, SerBin, DeBin)]
pub enum CoordinatorRequest {
    /// Makes the sender known and asks for updates on this connection from now on, those that it has received aside. Sent
    /// again whenever the registration changes.
    Register(Registration, ReceivedUpdates),
    /// What the sender has received, from whichever coordinator: sent to all of them after each update.
    Received(ReceivedUpdates),
    /// The sender is alive; each is answered by [`CoordinatorReply::Alive`].
    Heartbeat,
    /// The committed membership of a shard, told by its leader when it changes, and again from time to time.
    ShardMembers(ShardMembers),
}

/// The newest version of each update that a process has received.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, SerBin, DeBin)]
pub struct ReceivedUpdates {
    /// Of the configuration; 0 before the first.
    pub configuration: u64,
    /// Of the directory; 0 before the first.
    pub directory: u64,
    /// Term and sequence of the list of runners; zeros before the first.
    pub runners: (u64, u64),
}

/// Who registers.
#[derive(Debug, Clone, PartialEq, SerBin, DeBin)]
pub enum Registration {
    /// An edge.
    Edge {
        /// Its life.
        incarnation: Incarnation,
    },
    /// A store.
    Store(StoreMember),
    /// A coordinator that wants to be, or is, a member of the group.
    Coordinator(CoordinatorMember),
}

/// A store machine.
#[derive(Debug, Clone, PartialEq, Eq, SerBin, DeBin)]
pub struct StoreMember {
    /// Its `NodeName`.
    pub node: String,
    /// The identity of its disk.
    pub replica: ReplicaId,
    /// Its internal address, `ip:port`.
    pub address: String,
    /// Its zone.
    pub zone: String,
}

/// A coordinator.
#[derive(Debug, Clone, PartialEq, Eq, SerBin, DeBin)]
pub struct CoordinatorMember {
    /// Its `NodeName`.
    pub node: String,
    /// The identity of its disk.
    pub replica: ReplicaId,
    /// Its internal address, `ip:port`.
    pub address: String,
    /// Its `ControlPlane` address, `ip:port`.
    pub control_address: String,
}

/// From a coordinator. Only the leader sends updates, and only while its lease is valid.
#[derive(Debug, Clone, PartialEq, SerBin, DeBin)]
pub enum CoordinatorReply {
    /// The sender does not lead, and tells where to look for the coordinator that does.
    NotLeader {
        /// Internal addresses, `ip:port`: the leader's alone where it is known, else those of all other coordinators that the
        /// sender knows.
        candidates: Vec<String>,
    },
    /// Answers a heartbeat: the sender still leads in this term.
    Alive {
        /// The leader's term.
        term: u64,
        /// The version of the configuration in force; 0 before the first. Whoever has another one has not had the newest yet.
        configuration: u64,
        /// Edges that are registered with the sender.
        edges: u32,
    },
    /// The configuration in force.
    Configuration(ConfigurationUpdate),
    /// The same, for a process that has an earlier one.
    ConfigurationChange(ConfigurationChange),
    /// Stores, coordinators and the placement of shards.
    Directory(Directory),
    /// The runners, whole.
    Runners(RunnerList),
    /// Where the next leader may come from.
    Members(ControlMembers),
}

/// The members of the control group, whose leader says so.
#[derive(Debug, Clone, PartialEq, Eq, Default, SerBin, DeBin)]
pub struct ControlMembers {
    /// Grows with each change in a term.
    pub version: u64,
    /// Their internal addresses, `ip:port`.
    pub addresses: Vec<String>,
}

/// What is new in a configuration against an earlier one.
#[derive(Debug, Clone, PartialEq, SerBin, DeBin)]
pub struct ConfigurationChange {
    /// The `ResourceVersion` of the earlier one.
    pub base: u64,
    /// The `ResourceVersion` that the parts lead to.
    pub version: u64,
    /// The digest of the body that the parts lead to.
    pub digest: u128,
    /// The body, part by part.
    pub parts: Vec<BodyPart>,
}

/// A stretch of a configuration's body.
#[derive(Debug, Clone, PartialEq, SerBin, DeBin)]
pub enum BodyPart {
    /// So many bytes of the earlier body.
    Kept {
        /// Where they begin.
        start: u64,
        /// How many there are.
        length: u64,
    },
    /// These bytes.
    New(Blob),
}

/// A configuration as the operator sent it.
#[derive(Debug, Clone, PartialEq, SerBin, DeBin)]
pub struct ConfigurationUpdate {
    /// Its `ResourceVersion`.
    pub version: u64,
    /// The JSON body, byte for byte.
    pub body: Blob,
}

/// Who is there, and who holds which shard.
#[derive(Debug, Clone, PartialEq, Default, SerBin, DeBin)]
pub struct Directory {
    /// Grows with each change; a receiver ignores older ones.
    pub version: u64,
    /// All stores known, by node name, each with its newest disk.
    pub stores: Vec<StoreMember>,
    /// All coordinators known.
    pub coordinators: Vec<CoordinatorMember>,
    /// All shards; empty until there are enough stores.
    pub shards: Vec<ShardPlacement>,
}

/// Where a shard lives.
#[derive(Debug, Clone, PartialEq, Eq, SerBin, DeBin)]
pub struct ShardPlacement {
    /// The shard's group.
    pub group: GroupId,
    /// The disks that the shard was founded on. A store creates the group only if its own disk is among them.
    pub founders: Vec<ReplicaId>,
    /// The nodes that shall hold it, the preferred leader first. The shard's leader moves its membership towards this.
    pub wanted: Vec<String>,
}

/// Which disks hold a shard.
#[derive(Debug, Clone, PartialEq, Eq, SerBin, DeBin)]
pub struct ShardMembers {
    /// The shard's group.
    pub group: GroupId,
    /// The term of the leader that tells; older terms are passed over.
    pub term: u64,
    /// Those that vote.
    pub voters: Vec<ReplicaId>,
    /// Those that receive the log without a vote.
    pub learners: Vec<ReplicaId>,
}

impl ShardMembers {
    /// Whether a disk holds a copy, or part of one.
    pub fn contains(&self, replica: ReplicaId) -> bool {
        self.voters.contains(&replica) || self.learners.contains(&replica)
    }
}

/// The platform's list of runners.
#[derive(Debug, Clone, PartialEq, Default, SerBin, DeBin)]
pub struct RunnerList {
    /// The term of the coordinator that read it.
    pub term: u64,
    /// Counts lists within a term; receivers ignore lists that are older by (term, sequence).
    pub sequence: u64,
    /// The entries.
    pub runners: Vec<Runner>,
}

/// One runner, as the platform lists it.
#[derive(Debug, Clone, PartialEq, Eq, SerBin, DeBin)]
pub struct Runner {
    /// The `Uid` of its incarnation.
    pub uid: String,
    /// The name of its service.
    pub service: String,
    /// `ip:port`.
    pub address: String,
    /// Its zone.
    pub zone: String,
    /// Messages it works on at the same time.
    pub capacity: u32,
    /// Whether it takes new work.
    pub phase: RunnerPhase,
    /// How much longer it is slow from its start, in milliseconds.
    pub cold_remaining_ms: u32,
}

/// Whether a runner takes new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, SerBin, DeBin)]
pub enum RunnerPhase {
    /// It does.
    Ready,
    /// It finishes what it has.
    Draining,
}
