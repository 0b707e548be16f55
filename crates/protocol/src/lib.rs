//! Messages that the processes of the system exchange, in nanoserde binary.
//!
//! Types only: no I/O, no clock, no decisions. Times named `_ms` are milliseconds; where they are points in time, the
//! comment names the clock. Consensus messages are in `ruddervalve-consensus`, as only replicas exchange them.

mod blob;
mod control;
mod delivery;
mod greeting;
mod identity;

pub use blob::Blob;
pub use control::{
    BodyPart, ConfigurationChange, ConfigurationUpdate, ControlMembers, CoordinatorMember, CoordinatorReply,
    CoordinatorRequest, Directory, ReceivedUpdates, Registration, Runner, RunnerList, RunnerPhase,
    ShardMembers, ShardPlacement, StoreMember,
};
pub use delivery::{
    ANSWER_WANTED_MS, AppendOutcome, DeliveryOutcome, EdgeToStore, EndPhase, Grant, GrantedLease,
    InventoryItem, LeaseId, MessagePhase, NewMessage, PermitNumber, StoreToEdge,
};
pub use greeting::{Channel, Greeting, PROTOCOL_VERSION};
pub use identity::{GroupId, Incarnation, MessageId, ReplicaId};
