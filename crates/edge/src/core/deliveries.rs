//! Leased messages: from the lease to a runner, and the outcome until a store has recorded it.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use bytes::Bytes;
use ruddervalve_protocol::{
    DeliveryOutcome, EdgeToStore, GrantedLease, GroupId, InventoryItem, LeaseId, MessageId, NewMessage,
};

use super::EdgeCore;
use super::output::{DeliveryOrder, EdgeOutput, JobNumber};
use super::permits::Counted;
use crate::dispatch::{DispatchOutcome, DispatchStep, RunnerLoad};
use crate::runner::{Delivery, DeliveryResult, InstanceLoad, NotRunReason, RunnerAnswer, UnclearReason};

/// A leased message that is not reported yet.
#[derive(Debug)]
struct Job {
    group: GroupId,
    lease: LeaseId,
    message: Arc<NewMessage>,
    /// The service that its delivery was started for: a route may lead elsewhere since the message was accepted.
    service: Option<String>,
}

/// All leased messages.
#[derive(Debug, Default)]
pub struct Deliveries {
    jobs: HashMap<u64, Job>,
    /// Outcomes that no store has recorded yet, each by its lease: one message may have had several, and a lease that is
    /// given back says nothing of the run under another.
    unrecorded: HashMap<(GroupId, MessageId, LeaseId), DeliveryOutcome>,
    last: u64,
    wake_at: Option<u64>,
}

impl Deliveries {
    pub fn is_empty(&self) -> bool {
        self.jobs.is_empty() && self.unrecorded.is_empty()
    }

    pub fn next_wake(&self) -> Option<u64> {
        self.wake_at
    }

    /// Whether the time has come that was asked for.
    pub fn take_wake(&mut self, now: u64) -> bool {
        self.wake_at.take_if(|at| *at <= now).is_some()
    }

    /// A store has recorded an outcome.
    pub fn recorded(&mut self, group: GroupId, id: &MessageId, lease: LeaseId) {
        self.unrecorded.remove(&(group, id.clone(), lease));
    }

    /// All leases of a shard that are held or not recorded.
    pub fn inventory(&self, group: GroupId) -> Vec<InventoryItem> {
        let jobs = self.jobs.values().filter(|job| job.group == group);
        let held = jobs.map(|job| InventoryItem { id: job.message.id.clone(), lease: Some(job.lease) });
        let unrecorded = self.unrecorded.keys().filter(|(of, _, _)| *of == group);
        let unrecorded =
            unrecorded.map(|(_, id, lease)| InventoryItem { id: id.clone(), lease: Some(*lease) });
        held.chain(unrecorded).collect()
    }

    /// Outcomes of a shard to be told again.
    pub fn unrecorded(&self, group: GroupId) -> impl Iterator<Item = EdgeToStore> + '_ {
        let unrecorded = self.unrecorded.iter().filter(move |((of, _, _), _)| *of == group);
        unrecorded.map(|((group, id, lease), outcome)| EdgeToStore::Outcome {
            group: *group,
            id: id.clone(),
            lease: *lease,
            outcome: outcome.clone(),
        })
    }

    /// Messages at runners, by shard.
    pub fn by_group(&self) -> BTreeMap<GroupId, usize> {
        let mut counts = BTreeMap::new();
        for job in self.jobs.values() {
            *counts.entry(job.group).or_default() += 1;
        }
        counts
    }
}

impl EdgeCore {
    /// A lease has come: the message goes to a runner, or back. One of an older term than the newest that is known here was
    /// under way while the new leader took stock, and that leader may have granted the message to another edge: it is
    /// dropped, as nobody who leads knows of it.
    pub(super) fn deliver(&mut self, group: GroupId, lease: GrantedLease, message: Arc<NewMessage>) {
        let GrantedLease { id: lease, service } = lease;
        if !self.shards.is_newest_term(group, lease.term) {
            return;
        }
        self.deliveries.last += 1;
        let number = self.deliveries.last;
        self.deliveries.jobs.insert(number, Job { group, lease, message, service: None });
        if self.leaving {
            return self.report(number, DeliveryOutcome::NotRun { retry_after_ms: 0 });
        }
        self.begin_delivery(number, &Counted { group, service });
    }

    /// Hands a job to the decisions, or asks for a permit first where it was counted elsewhere than it has to be.
    pub(super) fn begin_delivery(&mut self, number: u64, counted: &Counted) {
        let Some(Job { message, service, .. }) = self.deliveries.jobs.get_mut(&number) else { return };
        let route = self.routes.as_ref().and_then(|routes| routes.find(&message.host, &message.path));
        let Some(route) = route.cloned() else {
            return self.report(number, DeliveryOutcome::RouteGone);
        };
        *service = Some(route.backend.clone());
        if let Some(wanted) = self.uncounted(&route, counted) {
            self.end_permit(number, None);
            return self.ask_permit(number, &route, wanted);
        }
        let steps = self.dispatch.start(self.now, number, &route.name, &route.backend);
        self.take_steps(steps);
    }

    pub(super) fn take_steps(&mut self, steps: Vec<DispatchStep>) {
        for step in steps {
            match step {
                DispatchStep::Deliver { job, uid, address, max_connections } => {
                    self.send_to_runner(job, uid, &address, max_connections);
                }
                DispatchStep::GiveBack { job, retry_after_ms } => {
                    self.report(job, DeliveryOutcome::NotRun { retry_after_ms });
                }
                // Load comes with answers; where it does not, nothing is probed yet.
                DispatchStep::Probe { .. } => {}
                DispatchStep::WakeAt(at) => self.deliveries.wake_at = Some(at),
            }
        }
    }

    fn send_to_runner(&mut self, job: u64, uid: Option<String>, address: &str, max_connections: u32) {
        let Some(delivery) = self.delivery(job, uid, address, max_connections) else {
            let steps = self.dispatch.finished(self.now, job, DispatchOutcome::NotSent, None);
            self.report(job, DeliveryOutcome::RouteGone);
            return self.take_steps(steps);
        };
        let order = DeliveryOrder { job: JobNumber(job), delivery };
        self.outputs.push(EdgeOutput::Deliver(Box::new(order)));
    }

    /// What goes to the runner; none if the route is gone or the address cannot be read.
    fn delivery(
        &self,
        job: u64,
        uid: Option<String>,
        address: &str,
        max_connections: u32,
    ) -> Option<Delivery> {
        let message = &self.deliveries.jobs.get(&job)?.message;
        let route = self.routes.as_ref()?.find(&message.host, &message.path)?;
        Some(Delivery {
            address: address.parse().ok()?,
            service: route.backend.clone(),
            expected_instance: uid,
            method: message.method.clone(),
            host: message.host.clone(),
            path_and_query: message.path.clone(),
            content_type: message.content_type.clone(),
            request_id: message.id.0.clone(),
            ordering_key: message.ordering_key.clone(),
            deadline_ms: route.timeout_ms,
            body: Bytes::from_owner(message.body.clone()),
            max_connections_here: usize::try_from(max_connections).unwrap_or(usize::MAX),
        })
    }

    pub(super) fn delivery_ended(&mut self, job: JobNumber, result: &DeliveryResult) {
        let steps =
            self.dispatch.finished(self.now, job.0, dispatch_outcome(&result.answer), result.load.map(load));
        match self.deliveries.jobs.get(&job.0) {
            Some(Job { service, .. }) => {
                let retry_ms =
                    service.as_deref().map_or(0, |service| self.dispatch.retry_after(self.now, service));
                self.log_unclear(job, result);
                self.report(job.0, outcome(&result.answer, retry_ms));
            }
            // Nothing is known that brings this about: a success would be lost here, and its message run again.
            None => tracing::warn!(answer = ?result.answer, "a delivery ended whose lease was given back"),
        }
        self.take_steps(steps);
    }

    /// Logs an attempt of which it is not known whether it ran: the message runs again.
    fn log_unclear(&self, job: JobNumber, result: &DeliveryResult) {
        let RunnerAnswer::Unclear { reason } = result.answer else { return };
        let Some(Job { group, lease, message, .. }) = self.deliveries.jobs.get(&job.0) else { return };
        let elapsed_ms = result.elapsed_ms;
        let (group, message) = (group.0, message.id.0.as_str());
        tracing::info!(group, message, ?lease, %reason, elapsed_ms, "an attempt is unclear");
    }

    /// Gives a lease back of which nothing was made.
    pub(super) fn return_unused(&mut self, group: GroupId, id: MessageId, lease: LeaseId) {
        self.tell_outcome(group, id, lease, DeliveryOutcome::NotRun { retry_after_ms: 0 });
    }

    /// Tells the shard's leader the outcome of a job.
    pub(super) fn report(&mut self, number: u64, outcome: DeliveryOutcome) {
        self.end_permit(number, Some(&outcome));
        let Some(Job { group, lease, message, .. }) = self.deliveries.jobs.remove(&number) else { return };
        self.tell_outcome(group, message.id.clone(), lease, outcome);
    }

    /// Tells the shard's leader an outcome, and keeps it until it is recorded.
    fn tell_outcome(&mut self, group: GroupId, id: MessageId, lease: LeaseId, outcome: DeliveryOutcome) {
        self.deliveries.unrecorded.insert((group, id.clone(), lease), outcome.clone());
        self.send_to_leader(group, EdgeToStore::Outcome { group, id, lease, outcome });
    }
}

fn load(load: InstanceLoad) -> RunnerLoad {
    RunnerLoad { running: load.running, waiting: load.waiting, slots: load.slots }
}

/// What the answer says of the runner.
fn dispatch_outcome(answer: &RunnerAnswer) -> DispatchOutcome {
    match answer {
        RunnerAnswer::Succeeded { .. } => DispatchOutcome::Served,
        RunnerAnswer::Failed => DispatchOutcome::Error500,
        RunnerAnswer::Rejected => DispatchOutcome::Rejected422,
        RunnerAnswer::NotRun { reason, .. } => match reason {
            NotRunReason::WrongInstance421 => DispatchOutcome::WrongInstance,
            NotRunReason::ConnectFailed => DispatchOutcome::ConnectFailed,
            NotRunReason::NoConnection | NotRunReason::Unsendable => DispatchOutcome::NotSent,
            // The message runs elsewhere, or has no id: that says nothing of this runner's load.
            NotRunReason::Conflict409 | NotRunReason::BadRequest400 => DispatchOutcome::Rejected422,
            NotRunReason::Full503 | NotRunReason::TooMany429 | NotRunReason::NotExecuted { .. } => {
                DispatchOutcome::Full
            }
        },
        RunnerAnswer::Unclear { reason: UnclearReason::Timeout } => DispatchOutcome::TimedOut,
        RunnerAnswer::Unclear { .. } => DispatchOutcome::Reset,
    }
}

/// What the answer says of the message.
fn outcome(answer: &RunnerAnswer, retry_ms: u64) -> DeliveryOutcome {
    match answer {
        RunnerAnswer::Succeeded { signature } => DeliveryOutcome::Succeeded { signature: signature.clone() },
        RunnerAnswer::Failed => DeliveryOutcome::Failed,
        RunnerAnswer::Rejected => DeliveryOutcome::Rejected,
        RunnerAnswer::NotRun { retry_after_ms, .. } => {
            DeliveryOutcome::NotRun { retry_after_ms: retry_after_ms.unwrap_or(retry_ms) }
        }
        RunnerAnswer::Unclear { .. } => DeliveryOutcome::Unclear,
    }
}
