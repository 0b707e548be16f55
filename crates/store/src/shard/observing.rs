//! What a shard's leader sees, as log lines.

use ruddervalve_protocol::GroupId;
use ruddervalve_queue::Observation;

/// Logs an observation of the leader of a shard.
pub(super) fn log(group: GroupId, observation: &Observation) {
    let group = group.0;
    match observation {
        Observation::LeasesFreed { edge, node, reason, count, inventory_missing } => {
            tracing::warn!(group, node, edge = edge.0, count, inventory_missing, %reason, "leases freed without an outcome");
        }
        Observation::InventoriesMissing { edges, messages } => {
            tracing::warn!(
                group,
                edges,
                messages,
                "messages of earlier terms may run though edges have not said what they hold"
            );
        }
        Observation::NoCredits { service, messages, for_ms } => {
            tracing::warn!(
                group,
                service,
                messages,
                for_ms,
                "messages may run and no edge offers to deliver them"
            );
        }
        Observation::EndUnderFreedLease { edge, id, lease } => {
            tracing::warn!(
                group,
                edge = edge.0,
                id = id.0,
                ?lease,
                "a message ended under a lease that had been freed"
            );
        }
    }
}
