//! One shard of the durable message queue as pure state machines: order, due times, leases, quotas.
//!
//! [`ShardState`] is replicated: every replica applies the same [`Command`]s in the same order and holds the same
//! state. [`ShardLeader`] is volatile: the replica that leads builds one and asks it who may run what now. [`ShardClock`]
//! gives the time that both speak of. Nothing here does I/O or reads a clock.
//!
//! **Times.** All times named `_ms` in [`ShardState`] and [`ShardLeader`] (also `now_ms`) are milliseconds of *shard
//! time*, which [`ShardClock::shard_ms`] makes of the machine's monotonic time. [`ShardClock::local_ms`] turns a wake-up
//! time back.

mod backoff;
mod breaker;
mod callbacks;
mod clock;
mod command;
mod credits;
mod edges;
mod entry;
mod forgetting;
mod leader;
mod leases;
mod message;
mod observation;
mod ordering;
mod output;
mod permits;
mod policy;
mod policy_table;
mod quota;
mod ready;
mod receivers;
mod records;
mod services;
mod settings;
mod snapshot;
mod state;
mod wire;

pub use clock::{ClockSettings, Proposed, ShardClock};
pub use command::{Action, Command};
pub use edges::EdgeSession;
pub use leader::{RoomUse, ShardLeader};
pub use message::SharedMessage;
pub use observation::{FreeReason, Observation};
pub use output::LeaderOutput;
pub use policy::{Policy, RoutePolicy, ServicePolicy, SharedPolicy};
pub use records::{Applied, AttachedEdge, Effect, OwedCallback, PendingMessage, Sequence};
pub use settings::{LeaderSettings, StateLimits};
pub use snapshot::SnapshotError;
pub use state::ShardState;
pub use wire::DecodeError;
