//! The store: shards of the durable queue.
//!
//! A store hosts replicas of shards. Where it leads one, it accepts messages of edges, leases deliveries to them and
//! records how these ended. [`Shard`] joins one shard's state machines, [`StoreCore`] all of them, and
//! [`run_store`] that with disk and network.

mod core;
mod edges;
mod error;
mod role;
mod seeds;
mod shard;

pub use core::{StoreCore, StoreOutput};
pub use edges::{EdgeConnections, EdgeNumber};
pub use error::StoreError;
pub use role::run_store;
pub use shard::{Append, Shard, ShardOutput, ShardSettings};
