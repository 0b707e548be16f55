//! Hosts the replicas of many consensus groups in one process, between disk and network.
//!
//! [`ReplicaHost`] does no I/O and reads no clock. Its owner feeds it what came from peers, what is on disk and the
//! time, and carries out what [`ReplicaHost::drain`] returns. All groups share one disk identity, one stream of disk
//! records and one connection to each peer.

mod host;
mod plan;
mod records;

pub use host::{Checkpoint, Envelope, GroupChange, GroupSnapshot, HostOutput, ReplicaHost};
pub use plan::{Followers, LeaderView, next_change};
pub use records::RestoreError;
