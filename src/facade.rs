//! Owns the blocking-style face of the decisions: [`Facade::pick`], [`Facade::report`] and [`Facade::tick`] take what
//! happened, in milliseconds and by machine name, and return at once the steps to take. It translates and numbers; it
//! must never decide anything itself, wait, read a clock or know of HTTP, and its events and actions stay inside.

use std::collections::BTreeMap;
use std::hash::Hasher as _;

use fnv::FnvHasher;
use serde::{Deserialize, Serialize};

use crate::interface::*;
use crate::state::{Believed, Dispatcher};

/// The names by which classes, tenants, zones and kinds are told.
#[derive(Debug, Clone, Default)]
pub struct Names {
    /// Class names.
    pub classes: Vec<String>,
    /// Tenant names.
    pub tenants: Vec<String>,
    /// Zone names.
    pub zones: Vec<String>,
    /// Machine kinds.
    pub kinds: Vec<String>,
}

/// One line of the machine list.
#[derive(Debug, Clone, PartialEq)]
pub struct Machine {
    /// Its name, the same at every dispatcher.
    pub name: String,
    /// Whether it may be given work.
    pub availability: Availability,
    /// When its process started, on the clock of the calls; 0: long ago.
    pub started_ms: f64,
    /// The name of its zone.
    pub zone: Option<String>,
    /// The name of its kind.
    pub kind: Option<String>,
    /// The names of further kinds that it counts as: what it can do, where that is told.
    pub abilities: Vec<String>,
    /// Its cell.
    pub cell: Option<u64>,
    /// Its size beside others.
    pub weight: f64,
}

/// What decisions need to know of a job.
#[derive(Debug, Clone, PartialEq)]
pub struct JobFacts {
    /// The name of its class.
    pub class: String,
    /// The name of its tenant.
    pub tenant: Option<String>,
    /// How long the submitter still waits.
    pub remaining_ms: f64,
    /// Slots it needs.
    pub slots: f64,
    /// Memory it needs.
    pub memory: f64,
    /// The expected work.
    pub hint_ms: Option<f64>,
}

/// What is reported to the decisions.
#[derive(Debug, Clone, PartialEq)]
pub enum Report {
    /// The job of a claim has started to run.
    Started,
    /// The job of a claim is so far done.
    Progress(f64),
    /// A part of its result went on to the submitter: no other claim may be made for the job, which the decisions let go.
    Streams,
    /// The claim ended.
    Ended {
        /// How.
        outcome: Outcome,
        /// The job has its final answer, or none is owed any more.
        closed: bool,
        /// Free slots and waiting jobs, as the machine reported them.
        load: Option<LoadReport>,
    },
}

/// A step to take now, in the order given.
#[derive(Debug, Clone, PartialEq)]
pub enum Step {
    /// Claim a machine for a job.
    Claim {
        /// The job.
        job: u64,
        /// The number of the claim among the job's, from 0.
        claim: usize,
        /// The machine's name.
        machine: String,
        /// The job must not run twice.
        once: bool,
        /// By when its last byte has to be with the machine; none: by the end of the job's time.
        by_ms: Option<f64>,
    },
    /// Give a claim up.
    Withdraw {
        /// The job.
        job: u64,
        /// The claim.
        claim: usize,
    },
    /// Answer: refused, come back after a while.
    Refuse {
        /// The job.
        job: u64,
        /// How long the submitter should wait.
        wait_ms: f64,
    },
    /// Answer: failed.
    Fail {
        /// The job.
        job: u64,
    },
    /// Ask for the machine list and its changes.
    AskForList,
    /// Ask a machine for its load.
    Probe {
        /// The machine's name.
        machine: String,
    },
    /// Call [`Facade::tick`] at this time.
    WakeAt(f64),
    /// Tell those on call.
    Say(String),
}

/// What could be started now, as believed, and how far machines are trusted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Room {
    /// Jobs of one slot that any machine runs which would find a place on the machines that tokens are kept for. One
    /// whose idle token is held counts with all its slots, one whose doubt is over with one trial.
    pub startable: usize,
    /// Machines that take work.
    pub ready: usize,
    /// Those among them that have not failed since they last served.
    pub sound: usize,
}

/// What one process of a dispatcher hands on to the next, by name and in milliseconds.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Learnt {
    /// Since when cold machines' budgets have been kept.
    pub since_ms: f64,
    /// How long a job usually runs.
    pub run_ms: Option<f64>,
    /// What runs take beside their hints, on roomy machines and on crowded ones.
    pub pace: (f64, f64),
    /// By class.
    pub classes: Vec<LearntClass>,
    /// By machine.
    pub machines: Vec<LearntMachine>,
}

/// What was seen of a class.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LearntClass {
    /// Its name.
    pub name: String,
    /// How long its jobs usually run.
    pub run_ms: Option<f64>,
    /// The longest time that a submitter granted.
    pub longest_grant_ms: f64,
    /// What was asked for of late, in worth.
    pub asked: f64,
    /// The part that was kept in time.
    pub kept: f64,
}

/// What is believed of a machine.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LearntMachine {
    /// Its name.
    pub name: String,
    /// The start of its process that this is about.
    pub started_ms: f64,
    /// Its idle token is held.
    pub idle: bool,
    /// Its slots.
    pub slots: f64,
    /// Slots in use.
    pub used: f64,
    /// Those among them that are this dispatcher's own.
    #[serde(default)]
    pub own: f64,
    /// When that was reported.
    pub reported_ms: f64,
    /// Failures since it last served.
    pub failures: u32,
    /// The part of its answers that were errors.
    pub errs: f64,
    /// Until when it gets nothing.
    pub doubted_until_ms: f64,
    /// What it was sent while cold: when, and how much work in microseconds.
    pub cold_sends: Vec<(f64, f64)>,
}

/// Far above what can be believed of anything; what is learnt is checked against it.
const MOST: f64 = 1e9;
/// Doubts and starts further ahead than this are none of this clock's.
const AHEAD_MS: f64 = 60_000.0;

impl Learnt {
    /// Whether all of it can be meant, on a clock that shows `now_ms`.
    pub fn sound(&self, now_ms: f64) -> bool {
        let amount = |value: f64| (0.0..=MOST).contains(&value);
        let past = |at: f64| (0.0..=now_ms + 1.0).contains(&at);
        let run = |run: Option<f64>| run.is_none_or(|run| run > 0.0 && amount(run));
        let pace = |pace: f64| (0.01..=100.0).contains(&pace);
        let class = |class: &LearntClass| {
            run(class.run_ms) && amount(class.longest_grant_ms) && amount(class.asked) && amount(class.kept)
        };
        let machine = |machine: &LearntMachine| {
            amount(machine.slots)
                && amount(machine.used)
                && (0.0..=machine.used).contains(&machine.own)
                && past(machine.reported_ms)
                && past(machine.started_ms)
                && (0.0..=1.0).contains(&machine.errs)
                && machine.failures < 1_000
                && (0.0..=now_ms + AHEAD_MS).contains(&machine.doubted_until_ms)
                && machine.cold_sends.iter().all(|(at, work)| past(*at) && amount(*work / 1e3))
        };
        past(self.since_ms)
            && run(self.run_ms)
            && pace(self.pace.0)
            && pace(self.pace.1)
            && self.classes.iter().all(class)
            && self.machines.iter().all(machine)
    }
}

/// The decisions of one dispatcher behind plain calls.
#[derive(Debug)]
pub struct Facade {
    dispatcher: Dispatcher,
    /// The names by number, those that new settings no longer have among them.
    names: Names,
    /// The names of the settings in force.
    in_force: Names,
    machines: BTreeMap<WorkerId, String>,
    /// Claims made so far for each open job.
    claims: BTreeMap<u64, usize>,
}

impl WorkerId {
    /// The id of a worker that goes by a name: the same wherever the name is.
    pub fn named(name: &str) -> Self {
        let mut hasher = FnvHasher::default();
        hasher.write(name.as_bytes());
        Self(hasher.finish())
    }
}

impl Facade {
    /// A dispatcher that knows nothing yet.
    pub fn new(settings: Settings, names: Names, seed: u64) -> Result<Self, SettingsError> {
        Ok(Self {
            dispatcher: Dispatcher::new(settings, seed)?,
            in_force: names.clone(),
            names,
            machines: BTreeMap::new(),
            claims: BTreeMap::new(),
        })
    }

    /// Whether a class goes by this name.
    pub fn knows_class(&self, name: &str) -> bool {
        position(&self.in_force.classes, name).is_some()
    }

    /// Whether a tenant goes by this name; where no tenants are set any may come.
    pub fn knows_tenant(&self, name: Option<&str>) -> bool {
        self.in_force.tenants.is_empty()
            || name.is_some_and(|name| position(&self.in_force.tenants, name).is_some())
    }

    /// The names of the classes in force.
    pub fn classes(&self) -> &[String] {
        &self.in_force.classes
    }

    /// How many listed machines get no work at present, or a trial at most.
    pub fn out_of_rotation(&self) -> usize {
        self.dispatcher.out_of_rotation()
    }

    /// Idle tokens of machines elsewhere are spent before slots of partly busy machines at home; otherwise after them.
    /// In force from the next decision on.
    pub fn spend_tokens_first(&mut self, first: bool) {
        self.dispatcher.idle_first = first;
    }

    /// What could be started at this time. Decides nothing and gives nothing out; jobs that are held are not taken off.
    pub fn room(&mut self, now_ms: f64) -> Room {
        let known = &mut self.dispatcher;
        known.now = known.now.max(micros(now_ms));
        let startable = known.kept().map(|worker| known.startable(worker)).sum::<usize>();
        let ready = known.workers.values().filter(|worker| worker.ready());
        let sound = ready.clone().filter(|worker| worker.failures == 0).count();
        Room { startable: startable.max(usize::from(known.pointer_open())), ready: ready.count(), sound }
    }

    /// Whether a machine has failed since it last served and is not due for a trial yet.
    pub fn doubts(&self, now_ms: f64, machine: &str) -> bool {
        let worker = self.dispatcher.workers.get(&WorkerId::named(machine));
        worker.is_some_and(|worker| worker.failures > 0 && worker.doubted_until > micros(now_ms))
    }

    /// Ends the doubt of a machine ahead of its time: its next job is a trial. Nothing else is forgotten of it.
    pub fn end_doubt(&mut self, now_ms: f64, machine: &str) {
        let known = &mut self.dispatcher;
        known.now = known.now.max(micros(now_ms));
        known.end_doubt(WorkerId::named(machine));
    }

    /// Ends, ahead of its time, the doubt of that machine in doubt which was sent a job longest ago: the next job is a
    /// trial there, if no machine is trusted. False if no machine is in doubt.
    pub fn end_longest_doubt(&mut self, now_ms: f64) -> bool {
        let known = &mut self.dispatcher;
        known.now = known.now.max(micros(now_ms));
        known.keep_set();
        let doubted = known.kept().filter(|worker| worker.ready() && worker.failures > 0);
        let longest = doubted.min_by_key(|worker| (worker.touched, worker.lot));
        let longest = longest.map(|worker| worker.member.worker);
        longest.into_iter().for_each(|worker| known.end_doubt(worker));
        longest.is_some()
    }

    /// What another process of this dispatcher can go on from.
    pub fn learnt(&self) -> Learnt {
        let known = &self.dispatcher;
        let ms = |at: Micros| at as f64 / 1e3;
        let class = |(name, seen): (&String, &crate::state::Seen)| LearntClass {
            name: name.clone(),
            run_ms: seen.run.map(|run| run / 1e3),
            longest_grant_ms: ms(seen.longest_grant),
            asked: seen.asked,
            kept: seen.kept,
        };
        let machine = |worker: &crate::state::Worker| {
            let believed = worker.believed();
            LearntMachine {
                name: self.name(worker.member.worker),
                started_ms: ms(worker.member.booted),
                idle: believed.token,
                slots: believed.slots,
                used: believed.others + believed.own,
                own: believed.own,
                reported_ms: ms(believed.reported),
                failures: believed.failures,
                errs: believed.errs,
                doubted_until_ms: ms(believed.doubted_until),
                cold_sends: believed.cold_sends.iter().map(|(at, work)| (ms(*at), *work)).collect(),
            }
        };
        Learnt {
            since_ms: ms(known.born.unwrap_or(known.now)),
            run_ms: known.run.map(|run| run / 1e3),
            pace: (known.pace, known.crowding),
            classes: self.names.classes.iter().zip(&known.seen).map(class).collect(),
            machines: known.workers.values().map(machine).collect(),
        }
    }

    /// Goes on from what an earlier process of this dispatcher learnt, of the machines listed now. False if it makes no
    /// sense: then nothing of it is taken.
    pub fn inherit(&mut self, now_ms: f64, learnt: &Learnt) -> bool {
        if !learnt.sound(now_ms) {
            return false;
        }
        let known = &mut self.dispatcher;
        let since = micros(learnt.since_ms);
        known.born = Some(known.born.map_or(since, |born| born.min(since)));
        known.run = known.run.or(learnt.run_ms.map(|run| run * 1e3));
        (known.pace, known.crowding) = learnt.pace;
        for class in &learnt.classes {
            let Some(number) = position(&self.names.classes, &class.name) else { continue };
            let seen = &mut known.seen[number];
            seen.run = seen.run.or(class.run_ms.map(|run| run * 1e3));
            seen.longest_grant = seen.longest_grant.max(micros(class.longest_grant_ms));
            (seen.asked, seen.kept) = (class.asked, class.kept);
        }
        for machine in &learnt.machines {
            let told = Believed {
                token: machine.idle,
                slots: machine.slots,
                others: machine.used - machine.own,
                own: machine.own,
                reported: micros(machine.reported_ms),
                failures: machine.failures,
                errs: machine.errs,
                doubted_until: micros(machine.doubted_until_ms),
                cold_sends: machine.cold_sends.iter().map(|(at, work)| (micros(*at), *work)).collect(),
            };
            known.inherit(WorkerId::named(&machine.name), micros(machine.started_ms), told);
        }
        true
    }

    /// Jobs of a class are expected to run for so long, until runs are seen.
    pub fn expect(&mut self, class: &str, run_ms: f64) {
        if let Some(number) = position(&self.names.classes, class) {
            let run = &mut self.dispatcher.seen[number].run;
            *run = run.or(Some(run_ms * 1e3));
        }
    }

    /// Another process of this dispatcher has come, or has gone again: only one of them may send to cold machines.
    pub fn succeeded(&mut self, succeeded: bool) {
        self.dispatcher.succeeded(succeeded);
    }

    /// The program ends then, and another one takes jobs that cannot be done here until then.
    pub fn ends(&mut self, now_ms: f64, at_ms: f64) -> Vec<Step> {
        self.dispatcher.ends(micros(at_ms));
        self.happened(now_ms, Event::Wake)
    }

    /// The longest time that submitters of any class wait.
    pub fn longest_deadline_ms(&self) -> f64 {
        let deadlines = self.dispatcher.settings().classes.iter().map(|class| class.deadline);
        deadlines.max().unwrap_or_default() as f64 / 1e3
    }

    /// Takes new settings while jobs are open. Names keep their numbers, so that what was learnt stays: what the new
    /// settings no longer name serves out what is open, what they add comes behind. Open jobs keep the class and the
    /// number of claims that they came with.
    pub fn reconfigure(&mut self, mut settings: Settings, names: Names) -> Result<(), SettingsError> {
        settings.validate()?;
        let old = self.dispatcher.settings();
        let zones = merged(&self.names.zones, &names.zones);
        let kinds = merged(&self.names.kinds, &names.kinds);
        let classes = merged(&self.names.classes, &names.classes);
        let tenants = merged(&self.names.tenants, &names.tenants);
        let again = |number: usize, new: &[String], all: &[String]| {
            new.get(number).and_then(|name| position(all, name)).unwrap_or(number)
        };
        settings.zone = settings.zone.map(|zone| ZoneId(again(zone.0, &names.zones, &zones)));
        for class in &mut settings.classes {
            class.kind = class.kind.map(|kind| KindId(again(kind.0, &names.kinds, &kinds)));
        }
        let class = |(number, name): (usize, &String)| match position(&names.classes, name) {
            Some(new) => settings.classes[new].clone(),
            None => old.classes[number].clone(),
        };
        let tenant = |name: &String| match position(&names.tenants, name) {
            Some(new) => settings.tenants[new].clone(),
            None => TenantSettings { quota_per_s: 0.0 },
        };
        let (all_classes, all_tenants) =
            (classes.iter().enumerate().map(class).collect(), tenants.iter().map(tenant).collect());
        (settings.classes, settings.tenants) = (all_classes, all_tenants);
        self.dispatcher.reconfigure(settings)?;
        self.names = Names { classes, tenants, zones, kinds };
        self.in_force = names;
        Ok(())
    }

    /// Takes a job; `id` must be new. Its one final answer comes as a step, now or later, or by a claim served.
    pub fn pick(&mut self, now_ms: f64, id: u64, job: &JobFacts) -> Vec<Step> {
        // An unknown class has no index: the decisions refuse it.
        let class = position(&self.names.classes, &job.class).unwrap_or(usize::MAX);
        let tenant = job.tenant.as_ref().and_then(|name| position(&self.names.tenants, name));
        self.claims.insert(id, 0);
        self.happened(
            now_ms,
            Event::Request(NewRequest {
                id: RequestId(id),
                class: ClassId(class),
                tenant: tenant.map(TenantId),
                expires_in: micros(job.remaining_ms),
                slots: job.slots,
                memory: job.memory,
                hint: job.hint_ms.map(micros),
            }),
        )
    }

    /// Takes what is known of a claim.
    pub fn report(&mut self, now_ms: f64, job: u64, claim: usize, report: Report) -> Vec<Step> {
        let (request, attempt) = (RequestId(job), claim);
        let event = match report {
            Report::Started => Event::JobStarted { request, attempt },
            Report::Progress(done) => Event::JobProgress { request, attempt, done },
            Report::Streams => Event::StreamStarted { request },
            Report::Ended { outcome, closed, load } => {
                if closed {
                    self.claims.remove(&job);
                }
                Event::AttemptEnded { request, attempt, outcome, closed, report: load }
            }
        };
        self.happened(now_ms, event)
    }

    /// The submitter of a job has left: no answer is owed any more.
    pub fn left(&mut self, now_ms: f64, job: u64) -> Vec<Step> {
        self.claims.remove(&job);
        self.happened(now_ms, Event::ClientGone { request: RequestId(job) })
    }

    /// A machine tells its load by itself, beside any claim.
    pub fn load(&mut self, now_ms: f64, machine: &str, load: LoadReport) -> Vec<Step> {
        self.probed(now_ms, machine, Outcome::Served, Some(load))
    }

    /// A probe of a machine ended.
    pub fn probed(
        &mut self,
        now_ms: f64,
        machine: &str,
        outcome: Outcome,
        load: Option<LoadReport>,
    ) -> Vec<Step> {
        let worker = WorkerId::named(machine);
        self.happened(now_ms, Event::Probed { worker, outcome, report: load })
    }

    /// Takes the machine list, or changes of it.
    pub fn list(&mut self, now_ms: f64, kind: ListKind, machines: &[Machine]) -> Vec<Step> {
        if kind != ListKind::Changes {
            // Names of machines long gone need not be kept; what is left of them ends under a number.
            let listed =
                |worker: &WorkerId| machines.iter().any(|machine| WorkerId::named(&machine.name) == *worker);
            self.machines.retain(|worker, _| listed(worker));
        }
        let members = machines.iter().map(|machine| self.member(machine)).collect();
        self.happened(now_ms, Event::Members { kind, members })
    }

    /// A call for the machine list failed, or the watch on it ended; what was missed counts as told at `told_ms`.
    pub fn list_failed(&mut self, now_ms: f64, told_ms: f64) -> Vec<Step> {
        let told = told_ms.is_finite().then(|| micros(told_ms));
        self.happened(now_ms, Event::DiscoveryFailed { told })
    }

    /// Time has passed.
    pub fn tick(&mut self, now_ms: f64) -> Vec<Step> {
        self.happened(now_ms, Event::Wake)
    }

    /// A round for each event: jobs that come while others wait for their answers should not wait for a tick.
    fn happened(&mut self, now_ms: f64, event: Event) -> Vec<Step> {
        let mut actions = Vec::new();
        self.dispatcher.round(micros(now_ms), &[event], &mut actions);
        actions.into_iter().map(|action| self.step(action)).collect()
    }

    fn step(&mut self, action: Action) -> Step {
        match action {
            Action::Send { request, worker } => {
                let made = self.claims.entry(request.0).or_default();
                *made += 1;
                let (claim, once) = (*made - 1, self.dispatcher.must_run_once(request));
                let by_ms = self.dispatcher.send_by(request).map(|by| by as f64 / 1e3);
                Step::Claim { job: request.0, claim, machine: self.name(worker), once, by_ms }
            }
            Action::Cancel { request, attempt } => Step::Withdraw { job: request.0, claim: attempt },
            Action::Refuse { request, wait } => {
                self.claims.remove(&request.0);
                Step::Refuse { job: request.0, wait_ms: wait as f64 / 1e3 }
            }
            Action::Fail { request } => {
                self.claims.remove(&request.0);
                Step::Fail { job: request.0 }
            }
            Action::WakeAt(at) => Step::WakeAt(at as f64 / 1e3),
            Action::Probe(worker) => Step::Probe { machine: self.name(worker) },
            Action::Subscribe => Step::AskForList,
            Action::Log(note) => Step::Say(self.text(note)),
        }
    }

    fn name(&self, worker: WorkerId) -> String {
        self.machines.get(&worker).cloned().unwrap_or_else(|| format!("{:x}", worker.0))
    }

    fn text(&self, note: Note) -> String {
        match note {
            Note::Withheld { worker, span } => {
                format!("{} failed: nothing for {} ms, then a trial", self.name(worker), span / 1_000)
            }
            Note::Trusted { worker } => format!("{} served again and is trusted", self.name(worker)),
            Note::GivingUp { held } => format!("giving up jobs for want of machines, {held} are held"),
            Note::DiscoveryFailed => "the machine list cannot be had: the last one stays in use".to_owned(),
        }
    }

    fn member(&mut self, machine: &Machine) -> Member {
        let worker = WorkerId::named(&machine.name);
        self.machines.insert(worker, machine.name.clone());
        let find =
            |names: &[String], name: &Option<String>| name.as_ref().and_then(|name| position(names, name));
        Member {
            worker,
            availability: machine.availability,
            booted: micros(machine.started_ms),
            zone: find(&self.names.zones, &machine.zone).map(ZoneId),
            kind: find(&self.names.kinds, &machine.kind).map(KindId),
            kinds: (machine.abilities.iter())
                .filter_map(|name| position(&self.names.kinds, name))
                .map(KindId)
                .collect(),
            cell: machine.cell.map(CellId),
            weight: machine.weight,
        }
    }
}

/// Milliseconds as whole microseconds; what makes no sense as such is 0.
fn micros(ms: f64) -> Micros {
    (ms * 1e3).round() as Micros
}

/// The names known, with those behind them that are new.
fn merged(known: &[String], new: &[String]) -> Vec<String> {
    known.iter().chain(new.iter().filter(|name| !known.contains(name))).cloned().collect()
}

fn position(names: &[String], name: &str) -> Option<usize> {
    names.iter().position(|known| known == name)
}
