//! Deliberate faults at the seams between cores, disk and network. The checks have to find each of them.

use std::cell::Cell;

use ruddervalve_configuration::Settings;
use ruddervalve_disk::Record;
use ruddervalve_edge::front::StatusCode;
use ruddervalve_protocol::{
    AppendOutcome, CoordinatorReply, EdgeToStore, ReplicaId, RunnerList, RunnerPhase, StoreToEdge,
};

use crate::operator::CallAnswer;
use crate::process::{ConnectionId, Effect, Payload};

/// A deliberate fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mutant {
    /// What waits for a write is told that it is durable at once.
    SyncSkipped,
    /// Terms and votes are not written.
    VoteNotWritten,
    /// Entries are not written.
    EntriesNotWritten,
    /// A store says that it keeps a message before it is agreed upon.
    AcceptedEarly,
    /// A store says that an outcome is recorded before it is.
    OutcomeRecordedEarly,
    /// An edge does not tell new leaders what it holds.
    InventoryDropped,
    /// A client is promised that a message does not run although nobody knows.
    UnknownRefused,
    /// A store whose disk was lost comes back under its old identity.
    IdentityReused,
    /// Edges are told that runners that drain are ready.
    DrainingHidden,
    /// Edges keep the first configuration.
    ConfigurationKept,
    /// An order that was refused is acknowledged.
    RefusedOrderAcknowledged,
    /// A message whose run is unclear is ended.
    UnclearEnded,
}

impl Mutant {
    /// All of them.
    pub const ALL: [Self; 12] = [
        Self::SyncSkipped,
        Self::VoteNotWritten,
        Self::EntriesNotWritten,
        Self::AcceptedEarly,
        Self::OutcomeRecordedEarly,
        Self::InventoryDropped,
        Self::UnknownRefused,
        Self::IdentityReused,
        Self::DrainingHidden,
        Self::ConfigurationKept,
        Self::RefusedOrderAcknowledged,
        Self::UnclearEnded,
    ];
}

thread_local! {
    static ACTIVE: Cell<Option<Mutant>> = const { Cell::new(None) };
}

/// Sets the fault of all histories that this thread plays from now on.
pub fn activate(mutant: Option<Mutant>) {
    ACTIVE.set(mutant);
}

fn is_active(mutant: Mutant) -> bool {
    ACTIVE.get() == Some(mutant)
}

/// Whether writes are told to be durable at once.
pub(crate) fn tells_before_sync() -> bool {
    is_active(Mutant::SyncSkipped)
}

/// The identity of an empty disk.
pub(crate) fn identity(settings: &Settings, drawn: ReplicaId) -> ReplicaId {
    let name =
        settings.node.bytes().fold(1_u64, |sum, byte| sum.wrapping_mul(257).wrapping_add(u64::from(byte)));
    if is_active(Mutant::IdentityReused) { ReplicaId(name) } else { drawn }
}

/// What a store answers by itself.
pub(crate) fn store_hears(connection: ConnectionId, message: &EdgeToStore, effects: &mut Vec<Effect>) {
    let answer = match message {
        EdgeToStore::Append { request, .. } if is_active(Mutant::AcceptedEarly) => {
            StoreToEdge::Appended { request: *request, outcome: AppendOutcome::Accepted { lease: None } }
        }
        EdgeToStore::Outcome { group, id, lease, .. } if is_active(Mutant::OutcomeRecordedEarly) => {
            StoreToEdge::OutcomeRecorded { group: *group, id: id.clone(), lease: *lease }
        }
        _ => return,
    };
    effects.push(Effect::Send(connection, Payload::ToEdge(answer)));
}

/// What the operator hears.
pub(crate) fn operator_hears(answer: CallAnswer) -> CallAnswer {
    match answer {
        CallAnswer::Status(412, body) if is_active(Mutant::RefusedOrderAcknowledged) => {
            CallAnswer::Status(200, body)
        }
        other => other,
    }
}

/// An effect as the fault changes it; none: it is dropped.
pub(crate) fn changed(effect: Effect) -> Option<Effect> {
    Some(match effect {
        Effect::Write(records, ticket) => {
            Effect::Write(records.into_iter().filter(is_written).collect(), ticket)
        }
        Effect::Send(connection, payload) => Effect::Send(connection, changed_payload(payload)?),
        Effect::Respond(client, mut response) => {
            if is_active(Mutant::UnknownRefused) && response.status == StatusCode::GATEWAY_TIMEOUT {
                response.status = StatusCode::SERVICE_UNAVAILABLE;
            }
            Effect::Respond(client, response)
        }
        other => other,
    })
}

fn is_written(record: &Record) -> bool {
    match record {
        Record::HardState { .. } => !is_active(Mutant::VoteNotWritten),
        Record::Entries { .. } => !is_active(Mutant::EntriesNotWritten),
        _ => true,
    }
}

fn changed_payload(payload: Payload) -> Option<Payload> {
    Some(match payload {
        Payload::ToStore(EdgeToStore::Inventory { group, .. }) if is_active(Mutant::InventoryDropped) => {
            Payload::ToStore(EdgeToStore::Inventory { group, items: Vec::new() })
        }
        Payload::ToStore(EdgeToStore::Outcome { group, id, lease, outcome }) => {
            let forgets = is_active(Mutant::UnclearEnded)
                && matches!(outcome, ruddervalve_protocol::DeliveryOutcome::Unclear);
            let outcome = match forgets {
                true => ruddervalve_protocol::DeliveryOutcome::Rejected,
                false => outcome,
            };
            Payload::ToStore(EdgeToStore::Outcome { group, id, lease, outcome })
        }
        Payload::Reply(CoordinatorReply::Runners(list)) if is_active(Mutant::DrainingHidden) => {
            Payload::Reply(CoordinatorReply::Runners(without_drains(list)))
        }
        Payload::Reply(CoordinatorReply::Configuration(update))
            if is_active(Mutant::ConfigurationKept) && update.version > 1 =>
        {
            return None;
        }
        Payload::Reply(CoordinatorReply::ConfigurationChange(_)) if is_active(Mutant::ConfigurationKept) => {
            return None;
        }
        other => other,
    })
}

fn without_drains(mut list: RunnerList) -> RunnerList {
    list.runners.iter_mut().for_each(|runner| runner.phase = RunnerPhase::Ready);
    list
}
