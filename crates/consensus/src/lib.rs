//! Raft as a state machine without I/O or clock: elections, replication, membership, snapshots, leases.
//!
//! A [`Replica`] is one replica of one group; a process may host many. Its host feeds it time, messages, proposals and
//! reports of finished writes, and takes a [`Ready`] after each such call: what to write, to send and to apply. Times are
//! milliseconds of the host's monotonic clock. It must never let a message that reveals a term, a vote or an entry leave
//! before that is on disk, never change a committed entry, and never let two leaders hold a valid lease at once (as long
//! as no clock runs faster than another by more than `lease_ms` is below `election_min_ms`).

mod body;
mod change;
mod checkpoint;
mod election;
mod entry;
mod following;
mod leadership;
mod lease;
mod log;
mod membership;
mod message;
mod output;
mod progress;
mod reads;
mod ready;
mod removal;
mod replica;
mod replication;
mod restart;
mod snapshot;
mod snapshot_window;
mod status;
mod timing;
mod transfer;
mod wire;
mod writes;

pub use change::{MembershipChange, MembershipError};
pub use checkpoint::CheckpointParts;
pub use entry::{ElectionRecord, Entry, HardState, LogPosition, Payload, Restored, Snapshot};
pub use membership::Membership;
pub use message::{Message, MessageKind};
pub use reads::{ReadProgress, ReadRequest};
pub use ready::{Ready, Write};
pub use replica::{Replica, Role};
pub use replication::ProposeError;
pub use timing::{Timing, TimingError};
