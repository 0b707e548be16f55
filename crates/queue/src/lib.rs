//! One shard of the durable message queue as a pure state machine: order, due times, leases, quotas
