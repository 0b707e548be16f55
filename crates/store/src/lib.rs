//! The store: shards of the durable queue.
//!
//! A store hosts replicas of shards. Where it leads one, it accepts messages of edges, leases deliveries to them and
//! records how these ended. [`Shard`] joins one shard's state machines, [`run_store`] all of them with disk and network.

mod edges;
mod role;
mod shard;

pub use edges::{EdgeConnections, EdgeNumber};
pub use role::{StoreError, run_store};
pub use shard::{Append, Shard, ShardOutput, ShardSettings};
