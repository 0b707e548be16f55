//! The decisions for the runners of one service.

use std::collections::VecDeque;

use ruddervalve::{Facade, JobFacts, ListKind, LoadReport, Outcome, Report, SettingsError, Step, WorkerId};
use ruddervalve_protocol::Runner;

use super::errors::ErrorShare;
use super::jobs::JobTable;
use super::loads::{LoadReader, RunnerLimits};
use super::pacing::{Pacing, Trials};
use super::plan::ServicePlan;
use super::runners::RunnerTable;
use super::settings::{CLASS, DispatchSettings, LONGEST_MS, names};
use super::share::RunnerShare;
use super::step::{DispatchOutcome, DispatchStep, RunnerLoad};

/// Jobs of a service that may wait here at once: enough for beliefs that were a little too high. All that wait are looked
/// at on each event, and the queue can give what waits there to any edge.
const MOST_HELD: usize = 8;

/// One service.
#[derive(Debug)]
pub(crate) struct Pool {
    facade: Facade,
    /// What the decisions are told of every job.
    facts: JobFacts,
    pacing: Pacing,
    max_connections: u32,
    /// Which of the runners this edge delivers to.
    share: RunnerShare,
    seed: u64,
    /// The configuration names the service no more: what is out ends, nothing new starts.
    retired: bool,
    runners: RunnerTable,
    jobs: JobTable,
    /// Set while all runners that take work have failed.
    trials: Option<Trials>,
    loads: LoadReader,
    errors: ErrorShare,
    /// When the decisions asked to be called.
    wake_ms: Option<u64>,
}

impl Pool {
    /// A service whose runners are not known yet.
    ///
    /// # Errors
    /// The decisions do not take their settings.
    pub(crate) fn new(settings: &DispatchSettings, service: &str) -> Result<Self, SettingsError> {
        // Services draw apart from each other, as edges do.
        let seed = settings.seed ^ WorkerId::named(service).0;
        let mut facade = Facade::new(settings.decisions(), names(), seed)?;
        facade.spend_tokens_first(true);
        Ok(Self {
            facade,
            facts: facts(),
            pacing: Pacing::of(None),
            max_connections: 1,
            share: RunnerShare::ALL,
            seed,
            retired: false,
            runners: RunnerTable::new(settings.locality.clone()),
            jobs: JobTable::default(),
            trials: None,
            loads: LoadReader::default(),
            errors: ErrorShare::default(),
            wake_ms: None,
        })
    }

    /// The service stands in the configuration with these values.
    pub(crate) fn configure(&mut self, pacing: Pacing, plan: &ServicePlan) {
        self.pacing = pacing;
        self.max_connections = plan.max_connections;
        self.share = plan.share;
        self.retired = false;
    }

    /// The configuration names the service no more: what waits here is given back.
    pub(crate) fn retire(&mut self, now: u64, out: &mut Vec<DispatchStep>) {
        self.retired = true;
        for job in self.jobs.held_for(now, 0) {
            self.give_back_held(now, job, out);
        }
    }

    /// Whether nothing is left of a service that the configuration names no more.
    pub(crate) fn is_done(&self) -> bool {
        self.retired && self.jobs.is_empty()
    }

    /// Whether the job is here or at a runner of the service.
    pub(crate) fn has(&self, job: u64) -> bool {
        self.jobs.has(job)
    }

    /// The `Uid` of the runner that a job is at; none if the job is not out.
    pub(crate) fn runner_of(&self, job: u64) -> Option<&str> {
        self.jobs.runner_of(job)
    }

    /// Takes the runners of the service as they are listed now.
    pub(crate) fn list<'a>(
        &mut self,
        now: u64,
        listed: impl Iterator<Item = &'a Runner>,
        out: &mut Vec<DispatchStep>,
    ) {
        let chosen = self.share.select(self.runners.locality(), self.seed, listed);
        let news = self.runners.list(chosen.into_iter());
        if let Some(machines) = news.machines {
            let steps = self.facade.list(now as f64, ListKind::Full, &machines);
            self.take(now, steps, out);
        }
        for uid in news.new {
            self.suppose_capacity(now, &uid, out);
        }
        self.review(now);
    }

    fn limits(&self, uid: &str) -> Option<RunnerLimits> {
        let runner = self.runners.get(uid)?;
        Some(RunnerLimits { capacity: runner.capacity, connections: self.max_connections, out: runner.out })
    }

    /// Of a runner that has told nothing yet, all slots that the list gives it are believed free.
    fn suppose_capacity(&mut self, now: u64, uid: &str, out: &mut Vec<DispatchStep>) {
        let Some(limits) = self.limits(uid) else { return };
        let load = LoadReader::own_traffic(limits);
        self.load(now, uid, load, out);
    }

    fn load(&mut self, now: u64, uid: &str, load: LoadReport, out: &mut Vec<DispatchStep>) {
        let steps = self.facade.load(now as f64, uid, load);
        self.take(now, steps, out);
    }

    /// How many further jobs could start now.
    pub(crate) fn startable(&mut self, now: u64) -> u32 {
        if self.retired {
            return 0;
        }
        match self.trials {
            Some(trials) => u32::from(trials.due(now)),
            None => {
                let room = self.facade.room(now as f64).startable;
                u32::try_from(room.saturating_sub(self.jobs.held())).unwrap_or(u32::MAX)
            }
        }
    }

    /// When a message that could not be delivered now had better come again, in milliseconds from now.
    pub(crate) fn retry_after(&self, now: u64) -> u64 {
        let Pacing { retry_ms, longest_trial_ms, .. } = self.pacing;
        match self.trials {
            _ if !self.runners.any_ready() => longest_trial_ms,
            Some(trials) => trials.next_ms().saturating_sub(now).clamp(retry_ms, longest_trial_ms),
            None => retry_ms,
        }
    }

    /// Takes a job.
    pub(crate) fn start(&mut self, now: u64, job: u64, out: &mut Vec<DispatchStep>) {
        if self.retired || self.jobs.held() >= MOST_HELD || !self.open(now) {
            let retry_after_ms = self.retry_after(now);
            out.push(DispatchStep::GiveBack { job, retry_after_ms });
            return;
        }
        self.jobs.hold(job, now);
        let steps = self.facade.pick(now as f64, job, &self.facts);
        self.take(now, steps, out);
        self.review(now);
    }

    /// Whether a job may be handed to the decisions: there are runners, and those that are in doubt all together get no
    /// more than their trials.
    fn open(&mut self, now: u64) -> bool {
        let Some(trials) = &mut self.trials else { return self.runners.any_ready() };
        if !trials.due(now) {
            return false;
        }
        trials.sent(now, &self.pacing);
        self.facade.end_longest_doubt(now as f64)
    }

    /// A delivery ended; nothing happens if the job was not out. `load` is what the answer told, if it did.
    pub(crate) fn finished(
        &mut self,
        now: u64,
        job: u64,
        outcome: DispatchOutcome,
        load: Option<RunnerLoad>,
        out: &mut Vec<DispatchStep>,
    ) {
        let Some(uid) = self.jobs.take_out(job) else { return };
        let told = self.judge(&uid, outcome);
        let ended = Report::Ended { outcome: told, closed: true, load: None };
        let steps = self.facade.report(now as f64, job, 0, ended);
        self.take(now, steps, out);
        if matches!(told, Outcome::Served | Outcome::Unusable) {
            // By itself and not with the end, as the decisions would take the job that ended off what is busy.
            self.learn(now, &uid, load, out);
        }
        let was_down = self.trials.is_some();
        self.review(now);
        if was_down && outcome == DispatchOutcome::Served {
            self.forgive_unreachable(now);
        }
    }

    /// Notes what the end tells of the runner, and says how the decisions are to take it.
    fn judge(&mut self, uid: &str, outcome: DispatchOutcome) -> Outcome {
        let mut errors_in_a_row = 0;
        if let Some(runner) = self.runners.get_mut(uid) {
            runner.out = runner.out.saturating_sub(1);
            runner.unreachable = outcome == DispatchOutcome::ConnectFailed;
            errors_in_a_row = runner.count_errors(outcome);
        }
        match outcome {
            DispatchOutcome::Served => {
                self.errors.served();
                Outcome::Served
            }
            DispatchOutcome::Error500 if self.errors.failed(errors_in_a_row) => Outcome::Error,
            DispatchOutcome::Error500 | DispatchOutcome::Rejected422 => Outcome::Unusable,
            DispatchOutcome::Full => Outcome::Full,
            DispatchOutcome::TimedOut => Outcome::TimedOut,
            DispatchOutcome::ConnectFailed => Outcome::ConnectFailed,
            DispatchOutcome::Reset => Outcome::Reset,
            DispatchOutcome::WrongInstance | DispatchOutcome::NotSent => Outcome::Skipped,
        }
    }

    /// A message that a runner ended its work on tells of the slots there.
    fn learn(&mut self, now: u64, uid: &str, load: Option<RunnerLoad>, out: &mut Vec<DispatchStep>) {
        let Some(limits) = self.limits(uid) else { return };
        let report = match load {
            Some(load) => self.loads.read(load, limits),
            None => LoadReader::own_traffic(limits),
        };
        self.load(now, uid, report, out);
    }

    /// A probe ended.
    pub(crate) fn probed(
        &mut self,
        now: u64,
        uid: &str,
        healthy: bool,
        load: Option<RunnerLoad>,
        out: &mut Vec<DispatchStep>,
    ) {
        let outcome = if healthy { Outcome::Served } else { Outcome::Error };
        let limits = self.limits(uid);
        let report = load.zip(limits).map(|(load, limits)| LoadReader::read_probe(load, limits));
        let steps = self.facade.probed(now as f64, uid, outcome, report);
        self.take(now, steps, out);
        self.review(now);
    }

    /// One runner has served again after all had failed: those that could not be reached get a trial each.
    fn forgive_unreachable(&mut self, now: u64) {
        for uid in self.runners.unreachable() {
            self.facade.end_doubt(now as f64, uid);
        }
    }

    /// Time has passed.
    pub(crate) fn tick(&mut self, now: u64, out: &mut Vec<DispatchStep>) {
        if self.jobs.held() > 0 || self.wake_ms.is_some_and(|wake| wake <= now) {
            self.wake_ms = None;
            let steps = self.facade.tick(now as f64);
            self.take(now, steps, out);
        }
        for job in self.jobs.held_for(now, self.pacing.hold_ms) {
            self.give_back_held(now, job, out);
        }
        self.review(now);
    }

    fn give_back_held(&mut self, now: u64, job: u64, out: &mut Vec<DispatchStep>) {
        self.give_back_unsent(now, job, out);
        let steps = self.facade.left(now as f64, job);
        self.take(now, steps, out);
    }

    fn give_back_unsent(&mut self, now: u64, job: u64, out: &mut Vec<DispatchStep>) {
        if self.jobs.forget_held(job) {
            out.push(DispatchStep::GiveBack { job, retry_after_ms: self.retry_after(now) });
        }
    }

    /// Carries the decisions' steps out. None of them may send to a runner that is in doubt: with all in doubt the
    /// decisions would go on sending to the Last-Idle one.
    fn take(&mut self, now: u64, steps: Vec<Step>, out: &mut Vec<DispatchStep>) {
        let mut steps = VecDeque::from(steps);
        while let Some(step) = steps.pop_front() {
            match step {
                Step::Claim { job, claim, machine, .. } if self.refuses(now, &machine) => {
                    let unsent = Report::Ended { outcome: Outcome::Skipped, closed: true, load: None };
                    steps.extend(self.facade.report(now as f64, job, claim, unsent));
                    self.give_back_unsent(now, job, out);
                }
                Step::Claim { job, machine, .. } => self.deliver(job, machine, out),
                Step::Refuse { job, .. } | Step::Fail { job } => self.give_back_unsent(now, job, out),
                Step::WakeAt(at) => self.wake_ms = Some(at.ceil() as u64),
                Step::Probe { machine } => self.ask(machine, out),
                Step::Say(text) => tracing::info!("{text}"),
                // One attempt for each job, never called back; the list comes unasked.
                Step::Withdraw { .. } | Step::AskForList => {}
            }
        }
    }

    fn refuses(&self, now: u64, uid: &str) -> bool {
        self.facade.doubts(now as f64, uid) || self.runners.get(uid).is_none()
    }

    fn deliver(&mut self, job: u64, uid: String, out: &mut Vec<DispatchStep>) {
        let Some(runner) = self.runners.get_mut(&uid) else { return };
        runner.out = runner.out.saturating_add(1);
        let address = runner.address.clone();
        self.jobs.send_out(job, uid.clone());
        let max_connections = self.max_connections;
        out.push(DispatchStep::Deliver { job, uid: Some(uid), address, max_connections });
    }

    fn ask(&mut self, uid: String, out: &mut Vec<DispatchStep>) {
        if let Some(runner) = self.runners.get(&uid) {
            out.push(DispatchStep::Probe { address: runner.address.clone(), uid });
        }
    }

    /// Sees whether any runner is left that has not failed.
    fn review(&mut self, now: u64) {
        let room = self.facade.room(now as f64);
        if room.ready == 0 || room.sound > 0 {
            self.trials = None;
        } else if self.trials.is_none() {
            self.trials = Some(Trials::begin(now, &self.pacing));
        }
    }

    /// When the pool is to be called next, if nothing happens before.
    pub(crate) fn next_wake(&mut self, now: u64) -> Option<u64> {
        if self.retired {
            return None;
        }
        let soon = now.saturating_add(self.pacing.retry_ms);
        let held = (self.jobs.held() > 0).then_some(soon);
        let trial = self.trials.map(|trials| trials.next_ms()).filter(|next| *next > now);
        // With nothing out, no answer will tell that slots are free again: beliefs age.
        let silent = self.jobs.is_empty() && self.trials.is_none() && self.runners.any_ready();
        let full = (silent && self.startable(now) == 0).then_some(soon);
        [held, trial, full, self.wake_ms].into_iter().flatten().min()
    }
}

/// What the decisions are told of every job: the queue has ranked the messages, and each takes one slot.
fn facts() -> JobFacts {
    JobFacts {
        class: CLASS.to_owned(),
        tenant: None,
        remaining_ms: LONGEST_MS,
        slots: 1.0,
        memory: 1.0,
        hint_ms: None,
    }
}
