//! What a dispatcher remembers. Records only: what follows from them is decided in `src/logic.rs`.

use std::collections::{BTreeMap, BTreeSet};

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::interface::*;
use crate::logic::{FREE, NEWEST};

/// Requests that a tenant may send ahead of its share.
const SHARE_BURST: f64 = 8.0;
/// Spreads ids evenly: the odd number nearest to 2^64 over the golden ratio.
pub(crate) const SPREAD: u64 = 0x9E37_79B9_7F4A_7C15;
/// Slots of workers that have not reported any.
const SLOTS: f64 = 4.0;
/// Slots asked for that weigh as much as what is supposed of widths before any was seen.
const SUPPOSED: f64 = 256.0;
/// Each job counts so much less than the next one in what is known of widths.
const FADES: f64 = 1.0 / 1024.0;
/// A worker with less than this part of its slots in use is roomy: a job there hardly shares a core.
const ROOMY: f64 = 0.25;
/// Enough for a cause and its first consequences, too few to fill a disk.
const NOTES_A_SECOND: usize = 4;

/// The decisions of one dispatcher.
#[derive(Debug)]
pub struct Dispatcher {
    pub(crate) settings: Settings,
    pub(crate) rng: ChaCha8Rng,
    pub(crate) now: Micros,
    pub(crate) born: Option<Micros>,
    pub(crate) workers: BTreeMap<WorkerId, Worker>,
    pub(crate) requests: BTreeMap<RequestId, Request>,
    pub(crate) flights: BTreeMap<(RequestId, usize), Flight>,
    pub(crate) held: Vec<RequestId>,
    pub(crate) checks: BTreeSet<(Micros, RequestId)>,
    pub(crate) last_idle: BTreeMap<Option<KindId>, Vec<WorkerId>>,
    pub(crate) seen: Vec<Seen>,
    pub(crate) run: Option<f64>,
    /// The usual time between two requests taken.
    pub(crate) gap: Option<f64>,
    pub(crate) last_request: Option<Micros>,
    /// What runs took beside their hints on roomy workers, and how much longer on crowded ones.
    pub(crate) pace: f64,
    pub(crate) crowding: f64,
    pub(crate) worth: Option<f64>,
    pub(crate) crowd: f64,
    /// The workers that this dispatcher keeps tokens for, and those whose tokens were held at the round's start.
    pub(crate) kept: Vec<WorkerId>,
    pub(crate) idle: BTreeSet<WorkerId>,
    /// The zones that workers stand in.
    pub(crate) zones: usize,
    /// Slots of the smallest worker known, and the most shown by workers of each kind and size.
    pub(crate) fewest_slots: f64,
    pub(crate) sizes: BTreeMap<(Option<KindId>, u64), f64>,
    /// Slots asked for by wide jobs and by all that need a kind, beside what was supposed before.
    pub(crate) widths: BTreeMap<KindId, (f64, f64)>,
    pub(crate) density: f64,
    pub(crate) credits: Vec<f64>,
    pub(crate) probe_credit: f64,
    pub(crate) ask_at: Option<Micros>,
    pub(crate) ask_failures: u32,
    pub(crate) wake: Option<Micros>,
    pub(crate) gave_up: Option<Micros>,
    pub(crate) notes: Vec<Note>,
    pub(crate) noted: (Micros, usize),
    /// Another process of this dispatcher spends the budgets of cold workers.
    pub(crate) succeeded: bool,
    /// When the program ends, where another one is there to take what cannot be done here until then.
    pub(crate) ends: Option<Micros>,
    /// Tokens held elsewhere are spent before slots of partly busy workers at home.
    pub(crate) idle_first: bool,
}

impl Dispatcher {
    /// A dispatcher that knows nothing yet.
    ///
    /// Equal settings, seeds and events give equal actions.
    pub fn new(settings: Settings, seed: u64) -> Result<Self, SettingsError> {
        settings.validate()?;
        Ok(Self {
            rng: ChaCha8Rng::seed_from_u64(seed),
            now: 0,
            born: None,
            workers: BTreeMap::new(),
            requests: BTreeMap::new(),
            flights: BTreeMap::new(),
            held: Vec::new(),
            checks: BTreeSet::new(),
            last_idle: settings.classes.iter().map(|class| (class.kind, Vec::new())).collect(),
            seen: vec![Seen::default(); settings.classes.len()],
            run: None,
            gap: None,
            last_request: None,
            pace: 1.0,
            crowding: 1.0,
            worth: None,
            crowd: 0.0,
            kept: Vec::new(),
            idle: BTreeSet::new(),
            zones: 0,
            fewest_slots: 1.0,
            sizes: BTreeMap::new(),
            widths: BTreeMap::new(),
            density: 0.0,
            credits: vec![1.0; settings.tenants.len()],
            probe_credit: 0.0,
            ask_at: (settings.discovery == Discovery::OnRequest).then_some(0),
            ask_failures: 0,
            wake: None,
            gave_up: None,
            notes: Vec::new(),
            noted: (0, 0),
            succeeded: false,
            ends: None,
            idle_first: false,
            settings,
        })
    }

    pub(crate) fn settings(&self) -> &Settings {
        &self.settings
    }

    /// Takes new settings in which classes, tenants, zones and kinds keep their numbers; further ones come behind.
    /// Requests, attempts and what is believed of workers stay.
    pub(crate) fn reconfigure(&mut self, settings: Settings) -> Result<(), SettingsError> {
        settings.validate()?;
        self.seen.resize_with(settings.classes.len(), Seen::default);
        self.credits.resize(settings.tenants.len(), 1.0);
        for class in &settings.classes {
            self.last_idle.entry(class.kind).or_default();
        }
        self.settings = settings;
        Ok(())
    }

    /// Another process of this dispatcher takes over the budgets of cold workers, or has gone again: what it spent
    /// meanwhile is not known here.
    pub(crate) fn succeeded(&mut self, succeeded: bool) {
        if !std::mem::replace(&mut self.succeeded, succeeded) || succeeded {
            return;
        }
        self.born = Some(self.now);
    }

    /// The program ends then: each open request is looked at anew.
    pub(crate) fn ends(&mut self, at: Micros) {
        self.ends = Some(at);
        let open: Vec<RequestId> = self.requests.keys().copied().collect();
        open.into_iter().for_each(|id| self.check_at(id, self.now));
    }

    /// What an earlier process of this dispatcher believed of a worker; its own jobs there end as runs usually do. Nothing
    /// is believed of a worker that has restarted since, or is not listed.
    pub(crate) fn inherit(&mut self, id: WorkerId, booted: Micros, told: Believed) {
        let Some(worker) = self.workers.get_mut(&id) else { return };
        if worker.member.booted == booted {
            worker.slots = worker.slots.max(told.slots);
            (worker.token, worker.others, worker.reported) = (told.token, told.others, told.reported);
            worker.parting = (told.own, self.now);
            (worker.failures, worker.errs) = (told.failures, told.errs);
            (worker.doubted_until, worker.cold_sends) = (told.doubted_until, told.cold_sends);
        }
    }

    /// Whether an open request may be harmed by a repeat.
    pub(crate) fn must_run_once(&self, id: RequestId) -> bool {
        self.requests.get(&id).is_some_and(|request| request.class.effect != Effect::Safe)
    }

    /// The scale of spans of time: how long a job usually runs here, as far as seen.
    pub(crate) fn typical_run(&self) -> f64 {
        self.run.unwrap_or(SECOND as f64)
    }

    /// Slots there that this dispatcher's jobs take, those of its earlier process among them for as long as they may run.
    pub(crate) fn own_slots(&self, worker: &Worker) -> f64 {
        let (slots, since) = worker.parting;
        worker.taken + slots * (-((self.now - since) as f64) / self.typical_run()).exp()
    }

    /// Holds a request at the dispatcher until a worker is found or nothing can be earned any more.
    pub(crate) fn hold(&mut self, id: RequestId) {
        self.held.push(id);
        self.check_at(id, self.now);
    }

    /// The request has its final answer, or none is owed any more.
    pub(crate) fn close(&mut self, id: RequestId, served: bool) -> Option<Request> {
        let request = self.requests.remove(&id)?;
        let seen = &mut self.seen[request.new.class.0];
        let kept = served && self.now <= request.due;
        seen.kept += (f64::from(u8::from(kept)) - seen.kept) * NEWEST / 16.0;
        self.checks.remove(&(request.check, id));
        self.held.retain(|held| *held != id);
        Some(request)
    }

    /// The slots of a worker: the most that it or workers of its kind and size have shown free, as it is one of them
    /// and reports may come while it is busy; with none shown, those of the smallest worker known.
    pub(crate) fn slots(&self, worker: &Worker) -> f64 {
        let alike = self.sizes.get(&worker.size_key()).copied().unwrap_or_default();
        let slots = worker.slots.max(alike);
        if slots > 0.0 { slots } else { self.fewest_slots }
    }

    /// Takes in what workers have shown of their slots.
    pub(crate) fn learn_sizes(&mut self) {
        let known = || self.workers.values().filter(|worker| worker.slots > 0.0);
        self.fewest_slots = known().map(|worker| worker.slots).reduce(f64::min).unwrap_or(1.0);
        let mut sizes = BTreeMap::new();
        for worker in known() {
            let most: &mut f64 = sizes.entry(worker.size_key()).or_default();
            *most = most.max(worker.slots);
        }
        self.sizes = sizes;
    }

    /// By when the newest attempt of a request has to be out: what may have run before is repeated within its window.
    pub(crate) fn send_by(&self, id: RequestId) -> Option<Micros> {
        let request = self.requests.get(&id)?;
        let (_, earlier) = request.attempts.split_last()?;
        let first = earlier.iter().find(|attempt| attempt.may_have_run())?;
        match request.class.effect {
            Effect::Keyed { window, .. } => Some(first.sent.saturating_add(window)),
            Effect::Safe | Effect::Unsafe => None,
        }
    }

    /// Keeps what a send changes: the worker's own jobs and slots, its sends while cold, the flight and the attempt.
    /// Returns when the request expires.
    pub(crate) fn record_send(&mut self, id: RequestId, to: WorkerId, cold: bool) -> Option<Micros> {
        let (now, window) = (self.now, self.now.saturating_sub(self.settings.rules.fall_after));
        let (request, worker) = (self.requests.get_mut(&id)?, self.workers.get_mut(&to)?);
        let crowded = worker.taken + worker.others >= worker.slots * ROOMY;
        (worker.own, worker.unstarted, worker.touched) = (worker.own + 1, worker.unstarted + 1, now);
        worker.taken += request.need();
        worker.idle_conns.pop();
        if cold {
            worker.cold_sends.retain(|send| send.0 > window);
            worker.cold_sends.push((now, request.load()));
        }
        let (class, hint, need) = (request.new.class.0, request.new.hint, request.need());
        let harmless = request.class.effect == Effect::Safe;
        let flight = Flight { worker: to, class, sent: now, started: None, need, hint, crowded, harmless };
        self.flights.insert((id, request.attempts.len()), flight);
        request.attempts.push(Attempt { worker: to, sent: now, outcome: None });
        Some(request.expires)
    }

    /// Whether a connection to the worker should idle here, so that a job there needs no new one.
    pub(crate) fn connected(&self, worker: &Worker) -> bool {
        worker.idle_conns.last().is_some_and(|since| self.now < since + self.settings.conn_kept)
    }

    /// A job runs: the worker has at least as many slots as run there.
    pub(crate) fn job_runs(&mut self, key: (RequestId, usize)) {
        let Some(flight) = self.flights.get_mut(&key) else { return };
        let Some(worker) = self.workers.get_mut(&flight.worker) else { return };
        if flight.started.is_none() {
            flight.started = Some(self.now);
            worker.unstarted = worker.unstarted.saturating_sub(1);
            let running = (worker.own - worker.unstarted) as f64;
            worker.slots = worker.slots.max(running);
            worker.others = worker.others.min(worker.slots - running);
        }
    }

    pub(crate) fn kept(&self) -> impl Iterator<Item = &Worker> {
        self.kept.iter().filter_map(|id| self.workers.get(id))
    }

    /// How many listed workers are avoided: they are leaving, or have failed and served nothing since.
    pub(crate) fn out_of_rotation(&self) -> usize {
        let avoided = |worker: &&Worker| worker.listed && (!worker.ready() || worker.failures > 0);
        self.workers.values().filter(avoided).count()
    }

    /// Jobs of one slot that the worker could start now, as believed: an idle token stands for all its slots.
    pub(crate) fn startable(&self, worker: &Worker) -> usize {
        let room = self.room(worker);
        match worker.failures {
            _ if !worker.ready() || room < FREE => 0,
            0 if worker.token => self.slots(worker) as usize,
            // The last of them takes a slot that is believed free as far as that is asked for.
            0 => (room - FREE) as usize + 1,
            _ => usize::from(worker.trial_due(self.now)),
        }
    }

    /// Whether the worker that was last known idle, among those with no failure, would take one more.
    pub(crate) fn pointer_open(&self) -> bool {
        let sound = self.kept().filter(|worker| worker.ready() && worker.failures == 0);
        let order = self.last_idle.get(&None).map(Vec::as_slice).unwrap_or_default();
        let place = |worker: &&Worker| (order.iter().position(|id| *id == worker.member.worker), worker.lot);
        sound.max_by_key(place).is_some_and(|worker| self.room(worker) > 0.0)
    }

    /// The worker gets a trial as soon as a job comes, however long it was to be doubted.
    pub(crate) fn end_doubt(&mut self, id: WorkerId) {
        let now = self.now;
        let Some(worker) = self.workers.get_mut(&id).filter(|worker| worker.failures > 0) else { return };
        worker.doubted_until = worker.doubted_until.min(now);
        worker.touched = worker.touched.min(worker.doubted_until.saturating_sub(1));
    }

    /// Forgets the workers that are gone, as soon as no own job is left there.
    pub(crate) fn forget_gone(&mut self) {
        let stays = |worker: &Worker| worker.listed && worker.member.availability != Availability::Gone;
        self.workers.values_mut().for_each(|worker| worker.listed = stays(worker));
        self.workers.retain(|_, worker| worker.listed || worker.own > 0);
        for order in self.last_idle.values_mut() {
            order.retain(|id| self.workers.contains_key(id));
        }
    }

    /// It turned a job away or did not start it: all its slots are taken, as of now.
    pub(crate) fn full(&mut self, id: WorkerId) {
        let (now, slots) = (self.now, self.slots(&self.workers[&id]));
        let Some(worker) = self.workers.get_mut(&id) else { return };
        (worker.token, worker.reported, worker.others) = (false, now, worker.others.max(slots));
    }

    /// Whether the request's attempt is out and its job has not started.
    pub(crate) fn waits(&self, request: &Request) -> bool {
        let attempt = request.attempts.len().saturating_sub(1);
        let flight = self.flights.get(&(request.new.id, attempt));
        request.pending() && flight.is_some_and(|flight| flight.started.is_none())
    }

    /// What a served job tells of the time that runs take, and take beside their hints.
    pub(crate) fn learn_run(&mut self, flight: &Flight) {
        let ran = (self.now - flight.started.unwrap_or(flight.sent)).max(1) as f64;
        average(&mut self.seen[flight.class].run, ran, NEWEST / 8.0);
        average(&mut self.run, ran, NEWEST / 8.0);
        if let Some(hint) = flight.hint.filter(|hint| *hint > 0) {
            let expected = hint as f64 * self.pace * if flight.crowded { self.crowding } else { 1.0 };
            let pace = if flight.crowded { &mut self.crowding } else { &mut self.pace };
            *pace *= 1.0 + (ran - expected) / (ran + expected).max(1.0) * NEWEST / 16.0;
        }
    }

    /// Whether a tenant asks for more than its part of this dispatcher's traffic: each request brings every tenant its
    /// share of a credit and costs its own tenant a whole one.
    pub(crate) fn over_share(&mut self, tenant: Option<TenantId>) -> bool {
        let total: f64 = self.settings.tenants.iter().map(|tenant| tenant.quota_per_s).sum();
        for (credit, tenant) in self.credits.iter_mut().zip(&self.settings.tenants) {
            *credit = (*credit + tenant.quota_per_s / total.max(f64::MIN_POSITIVE)).min(SHARE_BURST);
        }
        let Some(credit) = tenant.and_then(|tenant| self.credits.get_mut(tenant.0)) else { return false };
        let over = *credit < 1.0;
        *credit -= if over { 0.0 } else { 1.0 };
        over
    }

    /// A job is wide if no second one like it fits beside it on a worker of the kind.
    pub(crate) fn is_wide(&self, kind: KindId, need: f64) -> bool {
        need > 1.0 && 2.0 * need > self.kind_slots(kind)
    }

    /// The slots of the largest worker of a kind, as far as known.
    fn kind_slots(&self, kind: KindId) -> f64 {
        let slots = |worker: &Worker| if worker.member.is(Some(kind)) { worker.slots } else { 0.0 };
        let known = self.workers.values().map(slots).fold(0.0, f64::max);
        known.max(SLOTS)
    }

    /// The part of a kind's slots that wide jobs ask for. Until they have been seen, as much is supposed to be asked for
    /// in each width that is twice the one before: 1, 2, 4 and so on.
    pub(crate) fn wide_part(&self, kind: KindId) -> f64 {
        let supposed = 1.0 / (1.0 + self.kind_slots(kind).max(1.0).log2());
        let (wide, all) = self.widths.get(&kind).copied().unwrap_or_default();
        (wide + supposed * SUPPOSED) / (all + SUPPOSED)
    }

    /// Counts the slots that a new job asks for.
    pub(crate) fn asked_for(&mut self, class: &ClassSettings, slots: f64) {
        let Some(kind) = class.kind else { return };
        let slots = amount(Some(slots)).unwrap_or(1.0).max(1.0);
        let wide = if self.is_wide(kind, slots) { slots } else { 0.0 };
        let widths = self.widths.entry(kind).or_default();
        *widths = (widths.0 * (1.0 - FADES) + wide, widths.1 * (1.0 - FADES) + slots);
    }

    /// Whether some class needs the worker's kind.
    pub(crate) fn needed(&self, worker: &Worker) -> bool {
        self.settings.classes.iter().any(|class| class.kind.is_some() && worker.member.is(class.kind))
    }

    /// Places the workers of each kind and zone evenly between 0 and 1, in an order of their ids alone: dispatchers that
    /// know nothing of each other place them alike.
    pub(crate) fn place_all(&mut self) {
        let spread = |id: WorkerId| id.0.wrapping_mul(SPREAD);
        let mut groups: BTreeMap<_, Vec<WorkerId>> = BTreeMap::new();
        for worker in self.workers.values().filter(|worker| worker.ready()) {
            groups.entry((worker.member.kind, worker.member.zone)).or_default().push(worker.member.worker);
        }
        self.zones = groups.keys().map(|(_, zone)| *zone).collect::<BTreeSet<_>>().len();
        for (number, mut group) in groups.into_values().enumerate() {
            group.sort_unstable_by_key(|id| spread(*id));
            // Zones round the part that is theirs up and down in turn.
            let first = (number as u64).wrapping_mul(SPREAD) as f64 / u64::MAX as f64;
            let count = group.len() as f64;
            for (rank, id) in group.into_iter().enumerate() {
                self.workers.entry(id).and_modify(|worker| worker.place = (rank as f64 + first) / count);
            }
        }
    }

    /// Notes when to look at an open request again.
    pub(crate) fn check_at(&mut self, id: RequestId, at: Micros) {
        if let Some(request) = self.requests.get_mut(&id) {
            self.checks.remove(&(request.check, id));
            request.check = at;
            self.checks.insert((at, id));
        }
    }

    /// Looks at an open request again at its next moment, if that is still to come, and by its end.
    pub(crate) fn check_next(&mut self, id: RequestId, next: Micros, end: Micros) {
        self.check_at(id, if next > self.now { next.min(end) } else { end });
    }

    /// Keeps a note for the end of the round, a few in any second at most.
    pub(crate) fn note(&mut self, note: Note) {
        let second = self.now / SECOND;
        self.noted = (second, if self.noted.0 == second { self.noted.1 + 1 } else { 1 });
        if self.noted.1 <= NOTES_A_SECOND {
            self.notes.push(note);
        }
    }

    /// Asks to be woken for what is due next, unless that was asked for before.
    pub(crate) fn ask_wake(&mut self, out: &mut Vec<Action>) {
        let next = self.checks.first().map(|check| check.0).into_iter().chain(self.ask_at).min();
        if let Some(at) = next.map(|at| at.max(self.now + 1))
            && self.wake.is_none_or(|wake| wake <= self.now || at < wake)
        {
            self.wake = Some(at);
            out.push(Action::WakeAt(at));
        }
    }
}

/// What is believed of one worker.
#[derive(Debug)]
pub struct Worker {
    pub member: Member,
    pub listed: bool,
    pub token: bool,
    /// Drawn once, so that dispatchers do not all take the same worker where nothing else tells two apart.
    pub lot: u32,
    /// Where it stands among those of its kind and zone, from 0 to 1: the same at all dispatchers.
    pub place: f64,
    pub slots: f64,
    /// The highest weight the list gave it.
    pub size: f64,
    pub others: f64,
    pub reported: Micros,
    pub own: usize,
    pub taken: f64,
    /// Slots that an earlier process of this dispatcher took there, and when it handed on.
    pub parting: (f64, Micros),
    pub unstarted: usize,
    pub touched: Micros,
    pub failures: u32,
    /// The part of its answers that were errors.
    pub errs: f64,
    pub doubted_until: Micros,
    pub probing: bool,
    pub probed: Micros,
    pub cold_sends: Vec<(Micros, f64)>,
    /// Connections to it that idle here: since when, the newest last.
    pub idle_conns: Vec<Micros>,
}

/// What one process of a dispatcher hands on of a worker.
#[derive(Debug, Clone, PartialEq)]
pub struct Believed {
    pub token: bool,
    pub slots: f64,
    pub others: f64,
    pub own: f64,
    pub reported: Micros,
    pub failures: u32,
    pub errs: f64,
    pub doubted_until: Micros,
    pub cold_sends: Vec<(Micros, f64)>,
}

/// An open request.
#[derive(Debug)]
pub struct Request {
    pub new: NewRequest,
    /// Its class and the number of attempts as they were set when it came: settings may change under it.
    pub class: ClassSettings,
    pub most_attempts: usize,
    pub work: f64,
    pub value: f64,
    pub arrived: Micros,
    pub due: Micros,
    pub latest_start: Micros,
    pub expires: Micros,
    pub check: Micros,
    pub over_share: bool,
    pub attempts: Vec<Attempt>,
}

/// One attempt of an open request.
#[derive(Debug)]
pub struct Attempt {
    pub worker: WorkerId,
    pub sent: Micros,
    pub outcome: Option<Outcome>,
}

/// An attempt that is out, also after its request was answered.
#[derive(Debug)]
pub struct Flight {
    pub worker: WorkerId,
    pub class: usize,
    pub sent: Micros,
    pub started: Option<Micros>,
    pub need: f64,
    pub hint: Option<Micros>,
    pub crowded: bool,
    /// The job may run twice.
    pub harmless: bool,
}

/// What was seen of a class.
#[derive(Debug, Default, Clone)]
pub struct Seen {
    pub run: Option<f64>,
    pub longest_grant: Micros,
    pub asked: f64,
    pub kept: f64,
}

impl Worker {
    pub fn new(member: Member, lot: u32) -> Self {
        Self {
            size: member.weight,
            member,
            listed: true,
            token: true,
            lot,
            place: 0.0,
            slots: 0.0,
            others: 0.0,
            reported: 0,
            own: 0,
            taken: 0.0,
            parting: (0.0, 0),
            unstarted: 0,
            touched: 0,
            failures: 0,
            errs: 0.0,
            doubted_until: 0,
            probing: false,
            probed: 0,
            cold_sends: Vec::new(),
            idle_conns: Vec::new(),
        }
    }

    /// Takes a line of the list. A restart loses all the worker held: nothing is believed from before.
    pub fn relist(&mut self, member: &Member) {
        if member.booted > self.member.booted {
            let Self { own, taken, unstarted, slots, lot, place, size, .. } = *self;
            *self = Self { own, taken, unstarted, slots, place, size, ..Self::new(member.clone(), lot) };
        }
        (self.member, self.listed) = (member.clone(), true);
        self.size = self.size.max(member.weight);
    }

    /// What another process of this dispatcher is to believe of it.
    pub fn believed(&self) -> Believed {
        Believed {
            token: self.token && self.own == 0,
            slots: self.slots,
            others: self.others,
            own: self.taken,
            reported: self.reported,
            failures: self.failures,
            errs: self.errs,
            doubted_until: self.doubted_until,
            cold_sends: self.cold_sends.clone(),
        }
    }

    /// Workers of one kind and the same highest weight are taken to be alike.
    fn size_key(&self) -> (Option<KindId>, u64) {
        (self.member.kind, self.size.to_bits())
    }

    /// An attempt there ended: what was answered whole leaves its connection behind.
    pub fn left_connection(&mut self, outcome: Outcome, now: Micros) {
        if matches!(outcome, Outcome::Served | Outcome::Error | Outcome::Full | Outcome::Unusable) {
            self.idle_conns.push(now);
        }
    }

    /// Whether its doubt is over and it has had no trial since.
    pub fn trial_due(&self, now: Micros) -> bool {
        self.doubted_until <= now && self.touched < self.doubted_until
    }

    pub fn ready(&self) -> bool {
        self.listed && self.member.availability == Availability::Ready
    }
}

impl Request {
    /// What the request is worth for each microsecond of its work.
    pub fn density(&self) -> f64 {
        self.value / self.work.max(1.0)
    }

    /// What the job takes of a worker, in slots; memory comes one unit for each slot.
    pub fn need(&self) -> f64 {
        let sound = |amount: f64| if amount.is_finite() { amount } else { 1.0 };
        sound(self.new.slots).max(sound(self.new.memory)).max(1.0)
    }

    /// The work that the job brings to a worker, over all it takes there.
    pub fn load(&self) -> f64 {
        self.new.hint.map_or(self.work, |hint| hint as f64) * self.need()
    }

    pub fn pending(&self) -> bool {
        self.attempts.last().is_some_and(|attempt| attempt.outcome.is_none())
    }

    /// Two workers could not use it: the fault is its own, and a third one would do no better.
    pub fn unusable(&self) -> bool {
        let unusable = |attempt: &&Attempt| attempt.outcome == Some(Outcome::Unusable);
        self.attempts.iter().filter(unusable).count() > 1
    }

    pub fn may_have_run(&self) -> bool {
        self.attempts.iter().any(Attempt::may_have_run)
    }
}

impl Attempt {
    pub fn may_have_run(&self) -> bool {
        self.outcome.is_none_or(|outcome| !outcome.never_ran())
    }
}

/// An amount that makes sense; reports may hold anything.
pub fn amount(value: Option<f64>) -> Option<f64> {
    value.filter(|value| value.is_finite() && *value >= 0.0)
}

/// Moves a running average towards a value; the first value starts it.
pub fn average(mean: &mut Option<f64>, value: f64, weight: f64) {
    *mean = Some(mean.map_or(value, |mean| mean + (value - mean) * weight));
}
