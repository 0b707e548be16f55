//! The store: shards of the durable queue
