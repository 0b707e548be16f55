//! Permits: leave to deliver a message to a service that another shard than the message's own counts.
//!
//! The rate of a service and the connections of a single endpoint are counted by the shard that the service's name falls to,
//! and messages without a key are kept there. Other messages may lie elsewhere: those with a key lie where the key's order
//! is kept, and a configuration may give a service a rate, or a route another service, when messages lie in any shard. The
//! edge that holds the lease of such a message asks the counting shard's leader before it delivers.

use std::collections::{BTreeMap, BTreeSet};

use ruddervalve_configuration::Route;
use ruddervalve_protocol::{DeliveryOutcome, EdgeToStore, GroupId, PermitNumber};

use super::EdgeCore;

/// The shard that counts a delivery, and the service that it counts it at.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Counted {
    pub group: GroupId,
    pub service: String,
}

/// Where a permit stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    /// It is given up at this time, and the message with it.
    Waiting { until: u64, priority_class: u32 },
    /// The delivery is under way.
    Held,
}

#[derive(Debug)]
struct Permit {
    number: PermitNumber,
    counted: Counted,
    state: State,
}

impl Permit {
    /// What the leader of the counting shard is to know of it.
    fn request(&self) -> EdgeToStore {
        let Counted { group, service } = self.counted.clone();
        let permit = self.number;
        match self.state {
            State::Waiting { priority_class, .. } => {
                EdgeToStore::PermitWanted { group, permit, service, priority_class }
            }
            State::Held => EdgeToStore::PermitHeld { group, permit, service },
        }
    }
}

/// All permits, by the number of their job: a job has one at a time.
#[derive(Debug, Default)]
pub struct Permits {
    permits: BTreeMap<u64, Permit>,
    /// Jobs that wait, by the number of the permit.
    waiting: BTreeMap<PermitNumber, u64>,
    expiries: BTreeSet<(u64, u64)>,
    last: u64,
}

impl Permits {
    pub fn next_wake(&self) -> Option<u64> {
        self.expiries.first().map(|(at, _)| *at)
    }

    /// Jobs of a service that wait: each has a slot of a runner kept free.
    pub fn waiting(&self, service: &str) -> u32 {
        let waiting = self.waiting.values().filter_map(|job| self.permits.get(job));
        let count = waiting.filter(|permit| permit.counted.service == service).count();
        u32::try_from(count).unwrap_or(u32::MAX)
    }

    /// What a new leader of a shard is to know.
    pub fn requests(&self, group: GroupId) -> impl Iterator<Item = EdgeToStore> + '_ {
        let counted_there = self.permits.values().filter(move |permit| permit.counted.group == group);
        counted_there.map(Permit::request)
    }

    fn next_number(&mut self) -> PermitNumber {
        self.last += 1;
        PermitNumber(self.last)
    }

    fn insert(&mut self, job: u64, permit: Permit) {
        if let State::Waiting { until, .. } = permit.state {
            self.expiries.insert((until, job));
            self.waiting.insert(permit.number, job);
        }
        self.permits.insert(job, permit);
    }

    fn remove(&mut self, job: u64) -> Option<Permit> {
        let permit = self.permits.remove(&job)?;
        if let State::Waiting { until, .. } = permit.state {
            self.expiries.remove(&(until, job));
            self.waiting.remove(&permit.number);
        }
        Some(permit)
    }

    /// Jobs that wait until then at most.
    fn waiting_until(&self, at: u64) -> Vec<u64> {
        self.expiries.range(..=(at, u64::MAX)).map(|(_, job)| *job).collect()
    }
}

impl EdgeCore {
    /// Who has to count a delivery on this route, if it is to be counted and has not been.
    pub(super) fn uncounted(&self, route: &Route, counted: &Counted) -> Option<Counted> {
        let service = self.routes.as_ref()?.service(&route.backend)?;
        if !service.is_limited() {
            return None;
        }
        let wanted =
            Counted { group: self.shards.for_service(&route.backend)?, service: route.backend.clone() };
        (wanted != *counted).then_some(wanted)
    }

    /// Asks for a permit. A message that gets none within the time in which its run is to start is given back.
    pub(super) fn ask_permit(&mut self, job: u64, route: &Route, counted: Counted) {
        let until = self.now.saturating_add(route.schedule_target_ms.max(1));
        let state = State::Waiting { until, priority_class: route.priority_class };
        let permit = Permit { number: self.permits.next_number(), counted, state };
        let (group, request) = (permit.counted.group, permit.request());
        self.permits.insert(job, permit);
        self.send_to_leader(group, request);
    }

    /// A delivery may start.
    pub(super) fn permitted(&mut self, number: PermitNumber) {
        let Some(job) = self.permits.waiting.get(&number).copied() else { return };
        let Some(permit) = self.permits.remove(job) else { return };
        let counted = permit.counted.clone();
        self.permits.insert(job, Permit { state: State::Held, ..permit });
        self.begin_delivery(job, &counted);
    }

    /// A job has ended, or goes on under another permit.
    pub(super) fn end_permit(&mut self, job: u64, outcome: Option<&DeliveryOutcome>) {
        let Some(permit) = self.permits.remove(job) else { return };
        let group = permit.counted.group;
        let answered = outcome.filter(|_| permit.state == State::Held).and_then(answered);
        self.send_to_leader(group, EdgeToStore::PermitEnded { group, permit: permit.number, answered });
    }

    /// Gives messages back that have waited too long for a permit.
    pub(super) fn expire_permits(&mut self) {
        self.give_back_waiting(self.now);
    }

    /// Gives all messages back that wait for a permit.
    pub(super) fn give_back_unpermitted(&mut self) {
        self.give_back_waiting(u64::MAX);
    }

    fn give_back_waiting(&mut self, until: u64) {
        for job in self.permits.waiting_until(until) {
            let service = self.permits.permits.get(&job).map(|permit| permit.counted.service.clone());
            let retry_after_ms = service.map_or(0, |service| self.dispatch.retry_after(self.now, &service));
            self.report(job, DeliveryOutcome::NotRun { retry_after_ms });
        }
    }
}

/// What the end of a delivery says of a single endpoint.
fn answered(outcome: &DeliveryOutcome) -> Option<bool> {
    match outcome {
        DeliveryOutcome::Succeeded { .. } | DeliveryOutcome::Rejected | DeliveryOutcome::Failed => Some(true),
        DeliveryOutcome::NotRun { .. } | DeliveryOutcome::Unclear => Some(false),
        DeliveryOutcome::RouteGone => None,
    }
}
