//! Single behaviours of replicas.

mod durability;
mod elections;
mod group;
mod link;
mod memberships;
mod nonsense;
mod reads;
mod removals;
mod replication;
mod restarts;
mod slow_links;
mod snapshot_phases;
mod snapshots;
mod timing;
mod transfers;
