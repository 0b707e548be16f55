//! Raft as a state machine without I/O or clock: elections, replication, membership, snapshots, leases
