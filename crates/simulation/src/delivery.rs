//! What runners, receivers of call-backs and the platform do.

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
use crate::places::{Kind, MAX_LAG_MS, receiver_address};
use crate::process::Input;
use crate::runners::{Caller, Run};
use crate::world::World;

/// Messages that a runner queues beyond its slots.
const QUEUED: usize = 3;
/// Calls a second that the platform takes.
const PLATFORM_RATE: u32 = 49;
/// What a receiver does not take, in parts.
const CALLBACK_FAILED_PART: f64 = 0.2;

impl World {
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

    pub fn check_body(&mut self, delivery: &Delivery) {
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

    pub fn begin_runs(&mut self, uid: &str) {
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
        let spoilt_part = self.scenario.traffic.spoilt_part;
        let is_spoilt = spoilt_part > 0.0 && self.traffic_random.random_bool(spoilt_part);
        if is_lost {
            self.answer(run, unclear(UnclearReason::Reset), None, false);
        } else if is_spoilt {
            let reason = match self.traffic_random.random_range(0..3) {
                0 => UnclearReason::Closed,
                1 => UnclearReason::Garbled,
                _ => UnclearReason::UnexpectedStatus(502),
            };
            self.answer(run, unclear(reason), None, false);
        } else {
            let is_success = matches!(answer, RunnerAnswer::Succeeded { .. });
            self.answer(run, answer, load, is_success);
        }
        self.begin_runs(uid);
    }

    pub fn outcome(&mut self, run: &Run, is_cut_off: bool) -> (RunOutcome, RunnerAnswer) {
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

    pub fn load(&self, uid: &str) -> Option<InstanceLoad> {
        let runner = self.runners.runners.iter().find(|runner| runner.uid == uid)?;
        let number = |count: usize| u32::try_from(count).unwrap_or(u32::MAX);
        Some(InstanceLoad {
            running: number(runner.busy.len()),
            waiting: number(runner.waiting.len()),
            slots: number(runner.slots),
        })
    }

    /// An answer goes back to the edge.
    pub fn answer(&mut self, run: Run, answer: RunnerAnswer, load: Option<InstanceLoad>, is_success: bool) {
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
        let is_known = order.address == receiver_address();
        let result = match self.traffic_random.random_bool(CALLBACK_FAILED_PART) {
            false if is_known => CallbackResult::Taken,
            _ => CallbackResult::Failed,
        };
        if result == CallbackResult::Taken {
            self.checks.callback_taken(&id);
        }
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

pub fn unclear(reason: UnclearReason) -> RunnerAnswer {
    RunnerAnswer::Unclear { reason }
}

fn not_run(reason: NotRunReason) -> RunnerAnswer {
    RunnerAnswer::NotRun { reason, retry_after_ms: None }
}
