//! All decisions of a dispatcher. The types, events and actions are in `src/interface.rs`.
//!
//! The mechanism is Persistent-Idle with splitting (PI-Split): jobs go to workers whose idle token is held;
//! with none held they stay on the worker that was last known idle. What differs is told in `docs/design.md`.

use std::collections::BTreeMap;

use rand::{Rng, seq::IndexedRandom, seq::IteratorRandom};

use crate::interface::*;
use crate::state::{Dispatcher, Flight, Request, SPREAD, Worker, amount, average};

/// Weight of the newest observation in running averages: half, so that two or three settle a change.
pub(crate) const NEWEST: f64 = 0.5;
/// A belief about the other dispatchers' jobs loses half its weight in so many typical runs, and a report
/// gains that much by so long a silence before it: one late snapshot read ten times is not ten reports.
const BELIEF_RUNS: f64 = 4.0;
/// A slot is taken for free when two thirds of it are believed to be, and surely free when all of it is.
pub(crate) const FREE: f64 = 2.0 / 3.0;
/// Workers whose tokens are kept, at least: enough for a choice when some fail.
const KEPT: usize = 10;
/// And for each zone, so that there is a choice at home, too, where sets are drawn from all zones.
const KEPT_EACH: usize = 3;
/// Held requests that find no worker before a round ends.
const MISSES: usize = 16;
/// The first span of distrust is a typical run; each further failure doubles it, so many times at most.
const DOUBT_DOUBLINGS: u32 = 2;
/// A worker errs often where more than this part of its answers are errors, the newest counting most.
const ERRS_OFTEN: f64 = 0.1;
/// Parts of a cold worker's budget: for the dispatchers in turn, and for all others together. A window may
/// hold two turns.
const IN_TURN: f64 = 0.4;
const OUT_OF_TURN: f64 = 0.2;
/// Probes for each request taken: keeps their price and work in proportion to the traffic.
const PROBES_PER_REQUEST: f64 = 1.0;
/// A start that leaves less than so many expected runs is taken for too late: runs vary.
const MARGIN: f64 = 1.25;
/// Runs on crowded workers may take so much longer than on roomy ones before fewer slots are used.
const CROWDING: f64 = 1.5;
/// Back-off between calls to discovery that fail: the first, and for each dispatcher, and the longest.
const ASK_AGAIN: Micros = SECOND / 4;
const ASK_EACH: Micros = SECOND / 16;
const ASK_LONGEST: Micros = 4 * SECOND;

impl Dispatcher {
    /// One round: takes the events of this moment and appends what is to be done to `out`.
    pub fn round(&mut self, now: Micros, events: &[Event], out: &mut Vec<Action>) {
        self.now = self.now.max(now);
        self.born.get_or_insert(self.now);
        for event in events {
            self.take(event, out);
        }
        self.dispatch(out);
        self.give_up_hopeless(out);
        self.settle_due(out);
        self.probe(out);
        self.ask_discovery(out);
        self.ask_wake(out);
        out.extend(self.notes.drain(..).map(Action::Log));
    }

    fn take(&mut self, event: &Event, out: &mut Vec<Action>) {
        match event {
            Event::Members { kind, members } => self.take_members(*kind, members),
            Event::DiscoveryFailed { told } => self.discovery_failed(*told),
            Event::Request(new) => self.admit(new, out),
            Event::StreamStarted { request } => drop(self.close(*request, false)),
            Event::JobStarted { request, attempt } | Event::JobProgress { request, attempt, .. } => {
                self.job_runs((*request, *attempt));
            }
            Event::AttemptEnded { request, attempt, outcome, closed, report } => {
                self.attempt_ended((*request, *attempt), *outcome, report.as_ref());
                if *closed {
                    self.close(*request, *outcome == Outcome::Served);
                } else {
                    self.reconsider(*request, *attempt, *outcome, out);
                }
            }
            Event::ClientGone { request } => self.client_gone(*request, out),
            Event::Wake => {}
            Event::Probed { worker, outcome, report } => self.probed(*worker, *outcome, report.as_ref()),
        }
    }

    // The list of workers.

    fn take_members(&mut self, kind: ListKind, members: &[Member]) {
        if kind != ListKind::Cached {
            self.ask_failures = 0;
            self.ask_at = None;
        } else if self.ask_at == Some(0) && !members.is_empty() {
            // A list is in hand, and the whole fleet may just have started.
            self.ask_at = Some(self.now + self.rng.random_range(0..=self.ask_pause()));
        }
        if kind != ListKind::Changes {
            self.workers.values_mut().for_each(|worker| worker.listed = false);
        }
        for member in members {
            let new = Worker::new(member.clone(), self.rng.random());
            self.workers.entry(member.worker).or_insert(new).relist(member);
            self.weighed(member.worker);
        }
        self.forget_gone();
        self.place_all();
        self.keep_set();
    }

    /// A failed call or a broken subscription is tried again, later each time, so that a discovery service
    /// in trouble is not held down by those who ask; but twice before what was missed counts as told.
    fn discovery_failed(&mut self, told: Option<Micros>) {
        if self.settings.discovery == Discovery::OnRequest {
            self.note(Note::DiscoveryFailed);
            let left = told.and_then(|told| told.checked_sub(self.now)).filter(|left| *left > ASK_AGAIN);
            let wait = self.ask_pause().min(left.map_or(Micros::MAX, |left| left / 3));
            self.ask_failures += 1;
            self.ask_at = Some(self.now + self.rng.random_range(wait / 2..=wait + wait / 2));
        }
    }

    /// Those turned away together must not come again together: pauses are drawn around this.
    fn ask_pause(&self) -> Micros {
        let longest = self.settings.rules.asked_within(ASK_LONGEST);
        let first = ASK_AGAIN.max(ASK_EACH * self.settings.dispatchers as u64).min(longest);
        (first << self.ask_failures.min(8)).min(longest)
    }

    fn ask_discovery(&mut self, out: &mut Vec<Action>) {
        if self.ask_at.is_some_and(|at| at <= self.now) {
            out.push(Action::Subscribe);
            // Should no answer come at all, the call is repeated well within the time it has to be made in.
            let again = self.settings.rules.ask_within / 2;
            self.ask_at =
                (again > 0).then_some(self.now + again.max(self.settings.rules.asked_within(ASK_LONGEST)));
        }
    }

    // Requests.

    fn admit(&mut self, new: &NewRequest, out: &mut Vec<Action>) {
        if self.requests.contains_key(&new.id) {
            return;
        }
        let Some(class) = self.settings.classes.get(new.class.0).cloned() else {
            return out.push(Action::Refuse { request: new.id, wait: self.come_back() });
        };
        let last = self.last_request.replace(self.now);
        last.into_iter().for_each(|last| average(&mut self.gap, (self.now - last) as f64, NEWEST / 16.0));
        let seen = &mut self.seen[new.class.0];
        seen.longest_grant = seen.longest_grant.max(new.expires_in);
        // Hints know neither slow workers nor shared cores: what jobs took beside their hints does.
        let hint = new.hint.map(|hint| hint as f64);
        let hinted = hint.map(|hint| hint * self.pace * self.crowding.max(1.0));
        let work = hinted.or(seen.run).unwrap_or(class.aim as f64);
        // A later try of a client is granted less time: its aim has been running for the difference.
        let arrived = self.now.saturating_sub(seen.longest_grant - new.expires_in);
        let stretch = (class.aim_stretch * hint.unwrap_or(work)) as Micros;
        let due = arrived.saturating_add(class.aim.saturating_add(stretch).min(class.deadline));
        let worth = if self.settings.worth_by_work { class.worth * work } else { class.worth };
        average(&mut self.worth, worth, NEWEST / 16.0);
        self.density += (worth / work.max(1.0) - self.density) * NEWEST / 16.0;
        self.seen.iter_mut().for_each(|seen| seen.asked *= 1.0 - NEWEST / 64.0);
        self.seen[new.class.0].asked += worth;
        self.probe_credit = (self.probe_credit + PROBES_PER_REQUEST).min(self.workers.len() as f64);
        let over_share = self.over_share(new.tenant);
        self.asked_for(&class, new.slots);
        let request = Request {
            new: new.clone(),
            work,
            value: worth,
            arrived,
            due,
            // Never so early that what has just come gets no try at all.
            latest_start: due
                .saturating_sub((work * MARGIN) as Micros)
                .max(arrived.saturating_add(class.aim / 2)),
            expires: self.now.saturating_add(new.expires_in),
            check: 0,
            over_share,
            class,
            most_attempts: self.settings.limits.max_attempts,
            attempts: Vec::new(),
        };
        self.requests.insert(new.id, request);
        self.keep_set();
        self.hold(new.id);
    }

    /// After an attempt that did not serve: hold the request for another one, or end it.
    fn reconsider(&mut self, id: RequestId, attempt: usize, outcome: Outcome, out: &mut Vec<Action>) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        match request.attempts.get_mut(attempt) {
            Some(known) if known.outcome.is_none() => known.outcome = Some(outcome),
            _ => return,
        }
        let effect = request.class.effect;
        let spent = request.attempts.len() >= request.most_attempts || request.unusable();
        if spent || request.expires <= self.now || (effect == Effect::Unsafe && request.may_have_run()) {
            self.finish(id, out);
        } else {
            self.hold(id);
        }
    }

    /// Guards against hung and misjudged workers: a harmless job that did not start half-way to its latest
    /// start is called back while another worker's idle token is held.
    pub(crate) fn to_recall(&self, request: &Request) -> bool {
        let harmless = request.class.effect == Effect::Safe;
        let told = self.settings.tells_start && self.settings.limits.cancel;
        let more = request.attempts.len() < request.most_attempts;
        let held = |worker: &Worker| worker.token && worker.failures == 0 && self.allowed(request, worker);
        harmless && told && more && self.waits(request) && self.kept().any(held)
    }

    pub(crate) fn half_way(&self, request: &Request) -> Micros {
        let left = request.latest_start.saturating_sub(self.now);
        self.now + left / 2 / self.settings.tick.max(1) * self.settings.tick
    }

    /// From when on a request may leave the own zone: the dearer crossing is beside the request's worth, the
    /// larger the part of its slack that it waits for a token at home.
    pub(crate) fn cross_at(&self, request: &Request) -> Micros {
        let relative = request.value / self.worth.unwrap_or(request.value).max(f64::MIN_POSITIVE);
        let part = (self.settings.cross_zone_price / relative.max(f64::MIN_POSITIVE)).min(1.0);
        let last = request.latest_start.min(self.give_up_at(request));
        request.arrived.saturating_add((part * last.saturating_sub(request.arrived) as f64) as Micros)
    }

    // What attempts, notes and probes tell of workers.

    fn attempt_ended(&mut self, key: (RequestId, usize), outcome: Outcome, report: Option<&LoadReport>) {
        let Some(flight) = self.flights.remove(&key) else { return };
        let Some(worker) = self.workers.get_mut(&flight.worker) else { return };
        worker.own = worker.own.saturating_sub(1);
        worker.taken = if worker.own == 0 { 0.0 } else { worker.taken - flight.need };
        worker.unstarted = worker.unstarted.saturating_sub(usize::from(flight.started.is_none()));
        worker.left_connection(outcome, self.now);
        // An error says more than the answers between: most of the doubt is gone after six of them.
        match outcome {
            Outcome::Error => worker.errs += (1.0 - worker.errs) * NEWEST,
            Outcome::Served => worker.errs -= worker.errs * NEWEST / 2.0,
            _ => {}
        }
        // What was sent before the worker's start was reported on before it, too.
        let news = report.filter(|_| flight.sent >= worker.member.booted);
        news.into_iter().for_each(|report| self.report(flight.worker, report, flight.need));
        match outcome {
            Outcome::Served => self.served(&flight),
            Outcome::Full | Outcome::Cancelled => self.full(flight.worker),
            // A running harmless job gives way to work that is not: its slots are taken, nothing is wrong.
            Outcome::Reset if flight.started.is_some() && flight.harmless => self.full(flight.worker),
            Outcome::Skipped | Outcome::Unusable | Outcome::Broken => {}
            _ => self.failed(flight.worker),
        }
    }

    fn served(&mut self, flight: &Flight) {
        self.learn_run(flight);
        let Some(worker) = self.workers.get_mut(&flight.worker) else { return };
        if std::mem::take(&mut worker.failures) > 0 {
            self.note(Note::Trusted { worker: flight.worker });
        }
    }

    /// Guards against workers that fail fast, hang or are down: no token for a while, longer each time.
    fn failed(&mut self, id: WorkerId) {
        let typical = self.typical_run() as Micros;
        let Some(worker) = self.workers.get_mut(&id) else { return };
        let span = typical << worker.failures.min(DOUBT_DOUBLINGS);
        (worker.token, worker.doubted_until) = (false, self.now + span);
        worker.failures += 1;
        if worker.failures == 1 {
            self.note(Note::Withheld { worker: id, span });
        }
    }

    fn probed(&mut self, id: WorkerId, outcome: Outcome, report: Option<&LoadReport>) {
        let Some(worker) = self.workers.get_mut(&id) else { return };
        worker.probing = false;
        match outcome {
            Outcome::Served => {}
            Outcome::Cancelled | Outcome::Skipped | Outcome::Full => return,
            _ => return self.failed(id),
        }
        report.into_iter().for_each(|report| self.report(id, report, 0.0));
    }

    /// Takes a load report: how many slots the other dispatchers seem to hold, and whether the idle token
    /// returns. Of workers not heard of less is known than the latest report tells, however soon it comes.
    fn report(&mut self, id: WorkerId, report: &LoadReport, ended: f64) {
        let Some(free) = amount(report.free_slots) else { return };
        let queued = amount(report.queued).unwrap_or(0.0);
        let life = BELIEF_RUNS * self.typical_run();
        let own = self.workers.get(&id).map_or(0.0, |worker| self.own_slots(worker));
        let Some(worker) = self.workers.get_mut(&id) else { return };
        worker.slots = worker.slots.max(free.round());
        let busy = (worker.slots - free).max(0.0) + queued;
        let age = (self.now - worker.reported) as f64;
        worker.others += ((busy - own - ended).max(0.0) - worker.others) * age / (age + life);
        worker.reported = self.now;
        if worker.own == 0 {
            worker.token = free.round() >= worker.slots && queued.round() < 1.0;
        }
    }

    /// Live weights tell the load of workers not heard of for long. As they tell all dispatchers the same,
    /// late, they may take an idle token away and return none: all would run to the few that seem idle.
    fn weighed(&mut self, id: WorkerId) {
        let worker = &self.workers[&id];
        let heard = ((self.now - worker.reported) as f64) < BELIEF_RUNS * self.typical_run();
        if heard || !self.settings.live_weights {
            return;
        }
        let (token, slots) = (worker.token, self.slots(worker));
        let held = (worker.size / worker.member.weight.max(f64::MIN_POSITIVE) - 1.0) * slots;
        let (free_slots, queued) = (Some((slots - held).max(0.0)), Some((held - slots).max(0.0)));
        self.report(id, &LoadReport { free_slots, queued }, 0.0);
        self.workers.entry(id).and_modify(|worker| worker.token &= token);
    }

    /// Where there are no reports a probe tells of health alone, which is asked of workers that failed.
    fn probe(&mut self, out: &mut Vec<Action>) {
        let reports = self.settings.reporting != Reporting::None;
        while self.settings.limits.probes && self.probe_credit >= 1.0 {
            let asked = |worker: &&Worker| reports || worker.failures > 0;
            let wanting = |worker: &&Worker| worker.ready() && !worker.probing && asked(worker);
            let oldest = self.kept().filter(wanting).min_by_key(|worker| (worker.probed, worker.lot));
            let Some(id) = oldest.map(|worker| worker.member.worker) else { return };
            let Some(worker) = self.workers.get_mut(&id) else { return };
            (worker.probing, worker.probed) = (true, self.now);
            self.probe_credit -= 1.0;
            out.push(Action::Probe(worker.member.worker));
        }
    }

    // The mechanism.

    /// Where own traffic is too thin to know all workers, tokens are kept for as many as are heard of while a
    /// belief lives, those without failures first; and for cold workers in their turn.
    pub(crate) fn keep_set(&mut self) {
        let heard = BELIEF_RUNS * self.typical_run() / self.gap.unwrap_or(f64::MAX).max(1.0);
        let heard = (heard as usize).max(KEPT).max(KEPT_EACH * self.zones);
        self.learn_sizes();
        let mut order: Vec<_> = self.workers.values().filter(|worker| worker.ready()).collect();
        order.sort_unstable_by_key(|worker| (worker.failures, worker.lot));
        let mut counts = BTreeMap::new();
        let mut keep = |worker: &Worker| {
            let kind = worker.member.kind.filter(|kind| self.last_idle.contains_key(&Some(*kind)));
            let count = counts.entry((kind, worker.member.kinds.clone())).or_insert(0);
            let cold = self.warmth(worker).is_some();
            *count += usize::from(!cold);
            *count <= heard || (cold && self.cold_part(worker).0)
        };
        let kept = order.into_iter().filter(|worker| keep(worker)).map(|worker| worker.member.worker);
        self.kept = kept.collect();
    }

    fn dispatch(&mut self, out: &mut Vec<Action>) {
        if self.held.is_empty() {
            return;
        }
        let mut batch: Vec<_> = self.held.iter().map(|id| (self.rank(&self.requests[id]), *id)).collect();
        batch.sort_by(|left, right| right.0.total_cmp(&left.0));
        let (others, count) =
            self.kept().fold((0.0, 0.0), |sum, worker| (sum.0 + worker.others, sum.1 + 1.0));
        self.crowd = NEWEST * others / f64::max(count, 1.0);
        // Tokens held at the start of the round; a receiver spends its token, but is idle for the round.
        self.idle = self.kept().filter(|worker| worker.token).map(|worker| worker.member.worker).collect();
        self.draw_last_idle();
        let mut misses = 0..MISSES;
        for (_, id) in batch {
            match self.choose(id) {
                Some(worker) => self.send(id, worker, out),
                None if misses.next().is_none() => break,
                None => {}
            }
        }
    }

    /// The higher, the sooner served: what may be expected to earn most for each unit of work. What the
    /// worst-served class asks for earns twice: in the whole and, for its small part of it, as the worst.
    pub(crate) fn rank(&self, request: &Request) -> f64 {
        let (class, asked) = (&self.seen[request.new.class.0], self.seen.iter().map(|seen| seen.asked));
        let worst = self.seen.iter().all(|other| class.kept <= other.kept);
        let share = asked.sum::<f64>() / class.asked.max(f64::MIN_POSITIVE);
        let boost = if request.over_share { self.settings.over_share_worth } else { 1.0 };
        let boost = boost * if worst { 1.0 + self.settings.worst_class_weight * share } else { 1.0 };
        // Runs vary: of a few that fit for what is left, the one with more to spare is likelier in time.
        let left = request.due.saturating_sub(self.now) as f64 / request.work.max(1.0);
        boost * request.density() * (1.0 - (-left).exp())
    }

    /// The Last-Idle worker of each kind is drawn uniformly among those whose tokens were held; the order of
    /// earlier draws is kept behind it.
    fn draw_last_idle(&mut self) {
        for (kind, order) in &mut self.last_idle {
            let fits = |id: &&WorkerId| self.workers[*id].member.is(*kind);
            if let Some(&drawn) = self.idle.iter().filter(fits).choose(&mut self.rng) {
                order.retain(|id| *id != drawn);
                order.push(drawn);
            }
        }
    }

    fn choose(&mut self, id: RequestId) -> Option<WorkerId> {
        let request = &self.requests[&id];
        let kind = request.class.kind;
        let cross = self.cross_at(request);
        let crossing = self.now + self.settings.tick >= cross;
        let open: Vec<_> = self.kept().filter(|worker| self.allowed(request, worker)).collect();
        let sound: Vec<_> = open.iter().filter(|worker| self.trusted(request, worker)).copied().collect();
        // Far is what is known to stand elsewhere: where no zone is told there is nothing to cross.
        let zone = self.settings.zone;
        let home = |worker: &&&Worker| {
            let known = zone.zip(worker.member.zone);
            known.is_none_or(|(here, there)| here == there)
        };
        // A late request leaves a slot free for one still in time. Where starts are not told, beliefs
        // are all there is: what is worth little for its work leaves the doubt about them to dearer work.
        let late = request.latest_start < self.now;
        let modest = !self.settings.tells_start && request.density() < self.density * NEWEST;
        // One that with the slot left free would ask for more than any worker has leaves another worker free.
        let roomy = |worker: &&&Worker| self.room(worker) >= request.need() - 1.0 + FREE;
        let widest = sound.iter().map(|worker| worker.slots).fold(1.0, f64::max);
        let alone = request.need() + 1.0 <= widest || sound.iter().filter(roomy).count() < 2;
        let spare = f64::from(u8::from(late && alone)) + if modest { FREE } else { 0.0 };
        let fits = request.need() - 1.0 + FREE + spare;
        // Idle workers first, then free slots of partly busy ones, at home before elsewhere; doubtful slots
        // last, as a job that has to wait for a slot at home gains nothing by it.
        let sure = fits + 1.0 - FREE;
        let own: Vec<_> = sound.iter().copied().filter(self.meant_for(request)).collect();
        let idle = |worker: &&&Worker| self.idle.contains(&worker.member.worker);
        // Idle workers that are cold and in this dispatcher's turn first: a turn left unspent is lost.
        let cold = sound.iter().filter(idle).filter(|worker| self.warmth(worker).is_some());
        let cold = cold.filter(|worker| kind.is_some() || !self.needed(worker));
        // Then those to which a connection is kept: a new one costs.
        let connected = own.iter().filter(idle).filter(|worker| self.connected(worker));
        // Where it is wished, tokens elsewhere go before slots of partly busy workers at home.
        let held: Vec<_> = sound.iter().copied().filter(|worker| self.idle_first && idle(&worker)).collect();
        let tokens = [&cold.copied().collect(), &connected.copied().collect(), &held, &own, &sound]
            .into_iter()
            .find_map(|pool| {
                let near: Vec<&Worker> = pool.iter().filter(home).copied().collect();
                let far: &[&Worker] = if crossing { pool } else { &near };
                let levels = [(near.as_slice(), sure), (far, sure), (&near, fits), (far, fits)];
                let mut tokens = levels.into_iter().map(|(pool, room)| self.tokens(pool, fits, room));
                tokens.find(|tokens| !tokens.is_empty())
            });
        if let Some(tokens) = tokens {
            return tokens.choose(&mut self.rng).copied();
        }
        let pools = [&own, &sound, &open]; // all in doubt: doubt tells nothing
        let pool = pools.into_iter().find(|pool| !pool.is_empty())?;
        let order = self.last_idle.get(&kind).map(Vec::as_slice).unwrap_or_default();
        let place = |worker: &&&Worker| (order.iter().position(|id| *id == worker.member.worker), worker.lot);
        let last_idle = pool.iter().filter(|worker| crossing || home(worker)).max_by_key(place)?;
        let bounded = self.crowding <= CROWDING || self.room(last_idle) > -1.0;
        // Where starts are not told, nobody sees the piles of the others: what is believed full gets none.
        let clear = match self.settings.tells_start {
            true => last_idle.unstarted == 0 && bounded,
            false => self.room(last_idle) > spare,
        };
        (clear && !late).then_some(last_idle.member.worker)
    }

    /// Guards against wide jobs that wait for a whole worker behind narrow ones, and against small work in
    /// the way of jobs that one kind alone can run. A kind is divided between wide and narrow jobs as they
    /// ask for it, alike at all dispatchers; what runs anywhere goes elsewhere while there is room.
    fn meant_for(&self, request: &Request) -> impl Fn(&&Worker) -> bool {
        let need = request.need();
        let divided = request.class.kind.map(|kind| (self.wide_part(kind), self.is_wide(kind, need)));
        move |worker| match divided {
            Some((part, wide)) => (worker.place < part) == wide,
            None => !self.needed(worker) && self.room(worker) >= need,
        }
    }

    /// Idle tokens held; with none, the slot tokens of the emptiest among the partly busy workers.
    fn tokens(&self, pool: &[&Worker], fits: f64, open: f64) -> Vec<WorkerId> {
        let held = |worker: &&Worker| self.idle.contains(&worker.member.worker) && self.room(worker) >= fits;
        let any_held = pool.iter().any(held);
        let most = pool.iter().map(|worker| self.room(worker)).fold(open, f64::max);
        let right = |worker: &&&Worker| if any_held { held(worker) } else { self.room(worker) >= most };
        pool.iter().filter(right).map(|worker| worker.member.worker).collect()
    }

    /// Slots believed free. Where starts are told, a job not yet started shows that there are none.
    pub(crate) fn room(&self, worker: &Worker) -> f64 {
        if self.settings.tells_start && worker.unstarted > 0 {
            return 0.0;
        }
        let life = BELIEF_RUNS * self.typical_run();
        let age = (self.now - worker.reported) as f64;
        // Guards against slots that share cores: where runs on crowded workers take longer than on roomy
        // ones, beyond what chance does, fewer are used.
        let usable = (CROWDING / self.crowding).min(1.0).powi(2);
        let others = self.crowd + (worker.others - self.crowd) * life / (life + age);
        (worker.slots * usable).max(1.0) - self.own_slots(worker) - others
    }

    /// What the rules and the job itself permit: these hold whatever else is decided.
    fn allowed(&self, request: &Request, worker: &Worker) -> bool {
        let class = &request.class;
        let fits = worker.member.is(class.kind);
        let just_tried = request.attempts.last().is_some_and(|attempt| {
            let told = !matches!(attempt.outcome, Some(Outcome::Skipped | Outcome::Broken));
            attempt.worker == worker.member.worker && told
        });
        worker.ready()
            && fits
            && request.expires > self.now
            && (self.ends.is_none() || self.give_up_at(request) > self.now)
            && !(just_tried && self.workers.len() > 1)
            && self.repeat_allowed(request, worker, class.effect)
            && self.cold_budget(request, worker)
    }

    /// No effect twice: what may have run is repeated only as its class allows.
    fn repeat_allowed(&self, request: &Request, worker: &Worker, effect: Effect) -> bool {
        let Some(first) = request.attempts.iter().find(|attempt| attempt.may_have_run()) else { return true };
        match effect {
            Effect::Safe => true,
            Effect::Unsafe => false,
            Effect::Keyed { group, window } => {
                let before = self.workers.get(&first.worker).map(|worker| &worker.member);
                (group == Group::All || before.is_some_and(|before| group.holds(before, &worker.member)))
                    && self.now < first.sent.saturating_add(window)
            }
        }
    }

    /// No cold worker pushed over: this dispatcher keeps to its own share of the work that the worker stands
    /// in any window, whatever the others do. What it sent before its own restart it cannot know.
    fn cold_budget(&self, request: &Request, worker: &Worker) -> bool {
        let rules = &self.settings.rules;
        let Some(part) = self.warmth(worker) else { return true };
        let since = self.now.saturating_sub(rules.fall_after);
        let remembered = self.born.is_some_and(|born| born <= since);
        let sent: f64 = worker.cold_sends.iter().filter(|send| send.0 > since).map(|send| send.1).sum();
        let budget = rules.fall_multiple * part * self.slots(worker) * rules.fall_after as f64;
        !self.succeeded && remembered && sent + request.load() <= budget * self.cold_part(worker).1
    }

    /// This dispatcher's part of a cold worker's budget: as equal shares hold no larger job, in turns of
    /// a window, for as many dispatchers at once as the worker has grown by; each worker's start elsewhere.
    fn cold_part(&self, worker: &Worker) -> (bool, f64) {
        let (rules, dispatchers) = (&self.settings.rules, self.settings.dispatchers as u64);
        let window = rules.fall_after.max(1);
        let turn = self.now.saturating_sub(worker.member.booted) / window;
        let grown = |up: f64| {
            let grown = 1.0 + (1.0 / rules.cold_share.max(0.01) - 1.0) * up.clamp(0.0, 1.0);
            ((IN_TURN * grown) as u64).max(1)
        };
        let most = (dispatchers * window / rules.cold.max(1)).clamp(1, grown(1.0));
        let group = grown((turn as f64 - 1.0) * window as f64 / rules.cold.max(1) as f64).min(most);
        let place = self.settings.index as u64 + (worker.member.worker.0.wrapping_mul(SPREAD) >> 32);
        match (turn * most + place) % dispatchers < group {
            true => (true, IN_TURN / group as f64),
            false => (false, OUT_OF_TURN / dispatchers as f64),
        }
    }

    /// The part of its capacity that a cold worker surely had all through the last window; none once warm.
    fn warmth(&self, worker: &Worker) -> Option<f64> {
        let rules = &self.settings.rules;
        let since = worker.member.booted.saturating_add(rules.fall_after);
        let up = self.now.saturating_sub(since) as f64 / rules.cold.max(1) as f64;
        (worker.member.booted > 0 && up < 1.0).then_some(rules.cold_share + (1.0 - rules.cold_share) * up)
    }

    /// A worker in doubt gets nothing until the doubt is over, then one harmless job as a trial. What an
    /// error ends for good stays away for longer: who errs now and then serves a trial now and then.
    fn trusted(&self, request: &Request, worker: &Worker) -> bool {
        let safe = request.class.effect == Effect::Safe;
        let over = worker.doubted_until <= self.now && worker.touched < worker.doubted_until;
        match safe {
            true => worker.failures == 0 || over,
            false => worker.failures == 0 && worker.errs <= ERRS_OFTEN,
        }
    }

    fn send(&mut self, id: RequestId, to: WorkerId, out: &mut Vec<Action>) {
        self.held.retain(|held| *held != id);
        let cold = self.workers.get(&to).is_some_and(|worker| self.warmth(worker).is_some());
        let Some(expires) = self.record_send(id, to, cold) else { return };
        // The receiver spends its token.
        self.workers.entry(to).and_modify(|worker| worker.token = false);
        out.push(Action::Send { request: id, worker: to });
        let next = self.half_way(&self.requests[&id]);
        self.check_next(id, next, expires);
    }
}
