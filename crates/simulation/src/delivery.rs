//! What runners, receivers of call-backs and the platform do.

use std::net::SocketAddr;

use rand::Rng as _;
use ruddervalve_coordinator::listing::ListAnswer;
use ruddervalve_edge::core::{CallbackOrder, DeliveryOrder, JobNumber};
use ruddervalve_edge::runner::{
    CallbackResult, Delivery, DeliveryResult, InstanceLoad, NotRunReason, RunnerAnswer, UnclearReason,
};
use ruddervalve_protocol::GroupId;

use crate::checks::RunOutcome;
use crate::event::Event;
use crate::network::Life;
use crate::places::{ADDRESS_REUSE_MS, Kind, MAX_LAG_MS, endpoint_address, receiver_address};
use crate::process::Input;
use crate::runners::{Caller, Run, SimRunner};
use crate::world::World;

/// Messages that a runner queues beyond its slots.
const QUEUED: usize = 3;
/// Slots of the single endpoint.
const ENDPOINT_SLOTS: usize = 12;
/// A crashed runner stands on the list for so long, in milliseconds.
const GHOST_MS: u64 = 3_000;
/// A runner that drains goes after `DrainTimeoutMs` and so much at most, in milliseconds.
const LONGEST_STAY_MS: u64 = 4_000;
/// Calls a second that the platform takes.
const PLATFORM_RATE: u32 = 49;
/// What a receiver does not take, in parts.
const CALLBACK_FAILED_PART: f64 = 0.2;

impl World {
    pub fn begin_runners(&mut self) {
        let count = self.scenario.traffic.runners;
        for kind in [Kind::Plain, Kind::Ordered] {
            for number in 0..count {
                let host = u8::try_from(number % 200).unwrap_or(0);
                let second = if kind == Kind::Plain { 128 } else { 129 };
                let address = SocketAddr::from(([10, second, 0, host], 8080));
                self.runner_comes(kind.service(), address, number % self.scenario.zones);
            }
        }
        self.runner_comes(Kind::Endpoint.service(), endpoint_address(), 0);
    }

    pub fn runner_comes(&mut self, service: &'static str, address: SocketAddr, zone: u32) {
        if self.runners.at(address).is_some() {
            return;
        }
        self.runners.counted += 1;
        let slots =
            if address == endpoint_address() { ENDPOINT_SLOTS } else { self.scenario.traffic.slots as usize };
        self.runners.runners.push(SimRunner {
            uid: format!("i-{}", self.runners.counted),
            service,
            address,
            zone,
            slots,
            draining_since: None,
            busy: Vec::new(),
            waiting: Default::default(),
        });
        self.runners.list(self.now);
        self.line(|| format!("runner of {service} comes at {address}"));
    }

    /// A runner on the list, drawn, that neither drains nor is the last ready one of its service.
    pub fn drawn_runner(&mut self) -> Option<String> {
        let ready = |service: &str, runners: &[SimRunner]| {
            runners
                .iter()
                .filter(|runner| runner.service == service && runner.draining_since.is_none())
                .count()
        };
        let runners = &self.runners.runners;
        let candidates: Vec<String> = runners
            .iter()
            .filter(|runner| runner.address != endpoint_address() && runner.draining_since.is_none())
            .filter(|runner| ready(runner.service, runners) > 1)
            .map(|runner| runner.uid.clone())
            .collect();
        let place = self.fault_random.random_range(0..candidates.len().max(1));
        candidates.get(place).cloned()
    }

    pub fn runner_crashes(&mut self, uid: &str) {
        let now = self.now;
        self.runners.list(now);
        let listed = self
            .runners
            .history
            .back()
            .and_then(|state| state.runners.iter().find(|runner| runner.uid == uid));
        let ghost = listed.cloned();
        self.runners.ghosts.extend(ghost);
        self.runner_ends(uid);
        self.after(GHOST_MS, Event::RunnerUnlisted { uid: uid.to_owned() });
    }

    pub fn runner_drains(&mut self, uid: &str) {
        let now = self.now;
        if let Some(runner) = self.runners.runners.iter_mut().find(|runner| runner.uid == uid) {
            runner.draining_since = Some(now);
        }
        self.runners.list(now);
        let stay =
            crate::places::DRAIN_TIMEOUT_MS + MAX_LAG_MS + self.fault_random.random_range(0..LONGEST_STAY_MS);
        self.after(stay, Event::RunnerGone { uid: uid.to_owned() });
    }

    pub fn runner_gone(&mut self, uid: &str) {
        self.runner_ends(uid);
        self.runners.list(self.now);
    }

    pub fn runner_unlisted(&mut self, uid: &str) {
        self.runners.ghosts.retain(|ghost| ghost.uid != uid);
        self.runners.list(self.now);
    }

    /// A runner is no more: what it worked on is lost, and its address is used again, maybe by another service.
    fn runner_ends(&mut self, uid: &str) {
        let Some(place) = self.runners.runners.iter().position(|runner| runner.uid == uid) else { return };
        let runner = self.runners.runners.remove(place);
        for run in runner.busy.iter().chain(&runner.waiting) {
            self.checks.run_ended(self.now, &run.id, run.number, RunOutcome::Broken);
            self.answer(run.clone(), unclear(UnclearReason::Reset), None, false);
        }
        let other = if runner.service == Kind::Plain.service() { Kind::Ordered } else { Kind::Plain };
        let same = self.runners.runners.iter().filter(|left| left.service == runner.service).count();
        let few = same < self.scenario.traffic.runners as usize;
        let service =
            if few || self.fault_random.random_bool(0.5) { runner.service } else { other.service() };
        let wait = ADDRESS_REUSE_MS + self.fault_random.random_range(0..1_000);
        self.after(wait, Event::RunnerComes { service, address: runner.address, zone: runner.zone });
    }

    // Deliveries.

    pub fn deliver(&mut self, process: Life, order: DeliveryOrder) {
        let way = self.outside_way();
        let caller = Caller { edge: process, job: order.job.0 };
        self.after(way, Event::DeliveryArrives(caller, Box::new(order.delivery)));
    }

    pub fn delivery_arrives(&mut self, caller: Caller, delivery: &Delivery) {
        let now = self.now;
        self.runners.counted += 1;
        let run = Run {
            number: self.runners.counted,
            id: delivery.request_id.clone(),
            deadline_at: now + delivery.deadline_ms,
            caller,
        };
        let Some(runner) = self.runners.at(delivery.address) else {
            return self.answer(run, not_run(NotRunReason::ConnectFailed), None, false);
        };
        let is_other = delivery.expected_instance.as_ref().is_some_and(|expected| *expected != runner.uid);
        if is_other {
            return self.answer(run, not_run(NotRunReason::WrongInstance421), None, false);
        }
        let (uid, service, draining) = (runner.uid.clone(), runner.service, runner.draining_since);
        let is_full = runner.busy.len() + runner.waiting.len() >= runner.slots + QUEUED;
        if let Some(kind) = Kind::ALL.into_iter().find(|kind| kind.service() == service) {
            self.checks.arrives(now, kind, draining, &delivery.request_id, &uid);
        }
        self.check_body(delivery);
        if is_full {
            let load = self.load(&uid);
            return self.answer(run, not_run(NotRunReason::Full503), load, false);
        }
        let Some(runner) = self.runners.at(delivery.address) else { return };
        runner.waiting.push_back(run);
        self.begin_runs(&uid);
    }

    fn check_body(&mut self, delivery: &Delivery) {
        let now = self.now;
        let Some(message) = self.checks.messages.get(&delivery.request_id) else { return };
        let same = message.body == delivery.body
            && message.path == delivery.path_and_query
            && message.key == delivery.ordering_key;
        if !same {
            let text = format!("{} reaches a runner changed", delivery.request_id);
            self.checks.fail(now, "UNASKED", text);
        }
    }

    fn begin_runs(&mut self, uid: &str) {
        let now = self.now;
        let work = self.scenario.traffic.work_ms;
        while let Some(runner) = self.runners.runners.iter_mut().find(|runner| runner.uid == uid) {
            if runner.busy.len() >= runner.slots {
                return;
            }
            let Some(run) = runner.waiting.pop_front() else { return };
            let service = runner.service;
            runner.busy.push(run.clone());
            self.checks.run_begins(now, &run.id, service, run.number);
            self.line(|| format!("run {} of {} begins at {uid} for {:?}", run.number, run.id, run.caller));
            let takes = self.traffic_random.random_range(work / 2..=work + work / 2).max(1);
            let ends = (now + takes).min(run.deadline_at);
            let is_cut_off = now + takes > run.deadline_at;
            self.at(ends, Event::WorkDone { uid: uid.to_owned(), run: run.number, is_cut_off });
        }
    }

    pub fn work_done(&mut self, uid: &str, number: u64, is_cut_off: bool) {
        let now = self.now;
        let Some(runner) = self.runners.runners.iter_mut().find(|runner| runner.uid == uid) else { return };
        let Some(place) = runner.busy.iter().position(|run| run.number == number) else { return };
        let run = runner.busy.remove(place);
        let (outcome, answer) = self.outcome(&run, is_cut_off);
        self.line(|| format!("run {number} of {} ends: {outcome:?}", run.id));
        self.checks.run_ended(now, &run.id, number, outcome);
        let is_lost = self.traffic_random.random_bool(self.scenario.traffic.answer_lost_part);
        let load = self.load(uid);
        if is_lost {
            self.answer(run, unclear(UnclearReason::Reset), None, false);
        } else {
            let is_success = matches!(answer, RunnerAnswer::Succeeded { .. });
            self.answer(run, answer, load, is_success);
        }
        self.begin_runs(uid);
    }

    fn outcome(&mut self, run: &Run, is_cut_off: bool) -> (RunOutcome, RunnerAnswer) {
        if is_cut_off {
            return (RunOutcome::Broken, unclear(UnclearReason::UnexpectedStatus(504)));
        }
        let is_poison = self.clients.poison.contains(&run.id);
        if is_poison && run.id.ends_with(['0', '2', '4', '6', '8']) {
            return (RunOutcome::Rejected, RunnerAnswer::Rejected);
        }
        if is_poison || self.traffic_random.random_bool(self.scenario.traffic.failed_part) {
            return (RunOutcome::Failed, RunnerAnswer::Failed);
        }
        let signature = format!("s{}", run.number);
        (
            RunOutcome::Succeeded { signature: signature.clone(), read_at: None },
            RunnerAnswer::Succeeded { signature },
        )
    }

    fn load(&self, uid: &str) -> Option<InstanceLoad> {
        let runner = self.runners.runners.iter().find(|runner| runner.uid == uid)?;
        let number = |count: usize| u32::try_from(count).unwrap_or(u32::MAX);
        Some(InstanceLoad {
            running: number(runner.busy.len()),
            waiting: number(runner.waiting.len()),
            slots: number(runner.slots),
        })
    }

    /// An answer goes back to the edge.
    fn answer(&mut self, run: Run, answer: RunnerAnswer, load: Option<InstanceLoad>, is_success: bool) {
        let way = self.outside_way();
        let Caller { edge, job } = run.caller;
        let (answer, at) = match self.now + way >= run.deadline_at {
            true => (unclear(UnclearReason::Timeout), run.deadline_at.max(self.now)),
            false => (answer, self.now + way),
        };
        let is_read = is_success && matches!(answer, RunnerAnswer::Succeeded { .. });
        let result = DeliveryResult { answer, load, new_connection: false, elapsed_ms: way };
        let read = is_read.then(|| Box::new(run));
        self.at(at, Event::Delivered(edge, JobNumber(job), Box::new(result), read));
    }

    pub fn delivered(
        &mut self,
        process: Life,
        job: JobNumber,
        result: Box<DeliveryResult>,
        run: Option<Box<Run>>,
    ) {
        let is_awake = self.hosts.get(process.machine).is_some_and(|host| !host.is_frozen);
        if let Some(run) = run
            && self.is_running(process)
            && is_awake
            && self.now + 50 <= run.deadline_at
        {
            self.checks.success_read(self.now, &run.id, run.number);
        }
        self.line(|| format!("{process:?} {job:?}: {:?}", result.answer));
        self.hand(process, Input::Delivered(job, result));
    }

    /// The edge that waited for runs is gone: most runners drop them.
    pub fn runners_lose(&mut self, process: Life) {
        let now = self.now;
        let mut dropped = Vec::new();
        let random = &mut self.traffic_random;
        for runner in &mut self.runners.runners {
            let mut keeps = |run: &Run| {
                let keep = run.caller.edge != process || random.random_bool(0.3);
                if !keep {
                    dropped.push(run.clone());
                }
                keep
            };
            runner.busy.retain(&mut keeps);
            runner.waiting.retain(&mut keeps);
        }
        dropped.iter().for_each(|run| self.checks.run_ended(now, &run.id, run.number, RunOutcome::Broken));
        let all: Vec<String> = self.runners.runners.iter().map(|runner| runner.uid.clone()).collect();
        all.iter().for_each(|uid| self.begin_runs(uid));
    }

    // Call-backs.

    pub fn callback_arrives(&mut self, process: Life, group: GroupId, order: Box<CallbackOrder>) {
        let now = self.now;
        let phase = if order.body.contains("\"succeeded\"") { "succeeded" } else { "dead_letter" };
        let signature = order.body.split("\"Signature\":\"").nth(1).and_then(|rest| rest.split('"').next());
        let signature = signature.unwrap_or_default().to_owned();
        let id = order.id.0.clone();
        self.line(|| format!("call-back of {id}: {phase} {signature}"));
        self.checks.reported(now, &id, phase, &signature);
        let is_known = order.authority == receiver_address().to_string();
        let result = match self.traffic_random.random_bool(CALLBACK_FAILED_PART) {
            false if is_known => CallbackResult::Taken,
            _ => CallbackResult::Failed,
        };
        let way = self.outside_way();
        self.after(way, Event::CalledBack(process, group, order, result));
    }

    // The list.

    pub fn list_call(&mut self, process: Life, number: u64) {
        let way = self.outside_way();
        let second = self.now / 1_000;
        if self.runners.calls.0 != second {
            self.runners.calls = (second, 0);
        }
        self.runners.calls.1 += 1;
        let answer = if self.now < self.runners.down_until {
            ListAnswer::Failed
        } else if self.runners.calls.1 > PLATFORM_RATE {
            ListAnswer::TooMany { retry_after_ms: Some(1_000) }
        } else {
            let lag = self.traffic_random.random_range(0..=MAX_LAG_MS);
            ListAnswer::Page(self.runners.page(self.now.saturating_sub(lag)))
        };
        self.after(way, Event::ListAnswered(process, number, answer));
    }
}

fn unclear(reason: UnclearReason) -> RunnerAnswer {
    RunnerAnswer::Unclear { reason }
}

fn not_run(reason: NotRunReason) -> RunnerAnswer {
    RunnerAnswer::NotRun { reason, retry_after_ms: None }
}
