//! Single behaviours of replicas.

mod durability;
mod elections;
mod group;
mod memberships;
mod nonsense;
mod removals;
mod replication;
mod snapshots;
mod timing;
mod transfers;
