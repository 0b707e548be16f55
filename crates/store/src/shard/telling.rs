//! What a shard's leader wants done, as messages to edges.

use ruddervalve_protocol::{
    AppendOutcome, GrantedLease, GroupId, Incarnation, LeaseId, MessageId, StoreToEdge,
};
use ruddervalve_queue::{LeaderOutput, ShardLeader, ShardState};

use super::ShardOutput;

/// Answers an append.
pub(super) fn appended(edge: Incarnation, request: u64, outcome: AppendOutcome) -> ShardOutput {
    ShardOutput::Send(edge, StoreToEdge::Appended { request, outcome })
}

/// What an edge is told; none if there is nothing to tell any more.
pub(super) fn message(
    group: GroupId,
    state: &ShardState,
    leader: &ShardLeader,
    shard_now: u64,
    output: LeaderOutput,
) -> Option<(Incarnation, StoreToEdge)> {
    match output {
        LeaderOutput::Grant { edge, id, lease } => {
            let grant = state.grant(&id, granted(leader, &id, lease), shard_now)?;
            Some((edge, StoreToEdge::Deliver { group, grant: Box::new(grant) }))
        }
        LeaderOutput::CallBack { edge, id } => {
            let owed = state.callback(&id)?;
            let call = StoreToEdge::CallBack {
                group,
                id,
                url: owed.url,
                phase: owed.phase,
                signature: owed.signature,
            };
            Some((edge, call))
        }
        LeaderOutput::Recorded { edge, id, lease } => {
            Some((edge, StoreToEdge::OutcomeRecorded { group, id, lease }))
        }
        LeaderOutput::CallbackRecorded { edge, id } => {
            Some((edge, StoreToEdge::CallbackRecorded { group, id }))
        }
        LeaderOutput::Permit { edge, number } => {
            Some((edge, StoreToEdge::PermitGranted { group, permit: number }))
        }
        LeaderOutput::Propose(_) => None,
    }
}

/// A lease as its edge is to know it.
pub(super) fn granted(leader: &ShardLeader, message: &MessageId, id: LeaseId) -> GrantedLease {
    let service = leader.counted_at(message).unwrap_or_default().to_owned();
    GrantedLease { id, service }
}
