//! A hand-driven dispatcher for the tests: settings, short event makers, and rounds.
#![allow(dead_code)]

use ruddervalve::*;

pub const MS: Micros = 1_000;

/// One class that may safely be repeated.
pub fn class(effect: Effect) -> ClassSettings {
    ClassSettings {
        aim: 400 * MS,
        aim_stretch: 1.0,
        deadline: 5 * SECOND,
        worth: 1.0,
        late_worth: 0.0,
        effect,
        kind: None,
    }
}

/// A site where starts are told and reports come with answers.
pub fn settings() -> Settings {
    Settings {
        index: 0,
        dispatchers: 2,
        zone: Some(ZoneId(0)),
        tick: MS,
        classes: vec![class(Effect::Safe), class(Effect::Unsafe)],
        tenants: Vec::new(),
        worth_by_work: false,
        over_share_worth: 1.0,
        worst_class_weight: 0.0,
        cross_zone_price: 0.0,
        conn_kept: 0,
        discovery: Discovery::Pushed,
        reporting: Reporting::Answers,
        live_weights: false,
        tells_start: true,
        limits: Limits { max_attempts: 3, cancel: true, probes: false, max_retry_after: 2_000_000 },
        rules: Rules {
            cold_share: 0.2,
            cold: 10 * SECOND,
            fall_multiple: 3.0,
            fall_after: SECOND,
            ask_within: 10 * SECOND,
        },
    }
}

pub fn member(worker: u64) -> Member {
    Member {
        worker: WorkerId(worker),
        availability: Availability::Ready,
        booted: 0,
        zone: Some(ZoneId(0)),
        kind: Some(KindId(0)),
        kinds: Vec::new(),
        cell: Some(CellId(0)),
        weight: 1.0,
    }
}

pub fn list(kind: ListKind, members: impl IntoIterator<Item = Member>) -> Event {
    Event::Members { kind, members: members.into_iter().collect() }
}

pub fn new_request(id: u64, class: usize) -> NewRequest {
    NewRequest {
        id: RequestId(id),
        class: ClassId(class),
        tenant: None,
        expires_in: 5 * SECOND,
        slots: 1.0,
        memory: 0.0,
        hint: Some(100 * MS),
    }
}

pub fn request(id: u64, class: usize) -> Event {
    Event::Request(new_request(id, class))
}

pub fn ended(id: u64, attempt: usize, outcome: Outcome, report: Option<(f64, f64)>) -> Event {
    Event::AttemptEnded {
        request: RequestId(id),
        attempt,
        outcome,
        closed: outcome == Outcome::Served,
        report: report.map(|(free, queued)| LoadReport { free_slots: Some(free), queued: Some(queued) }),
    }
}

pub fn started(id: u64, attempt: usize) -> Event {
    Event::JobStarted { request: RequestId(id), attempt }
}

/// A dispatcher with its clock.
pub struct Rig {
    pub dispatcher: Dispatcher,
    pub now: Micros,
}

impl Rig {
    /// A dispatcher that has been up for a while and knows the workers 0 to `workers`.
    pub fn new(settings: Settings, workers: u64) -> Self {
        Self::listing(settings, (0..workers).map(member))
    }

    pub fn listing(settings: Settings, members: impl IntoIterator<Item = Member>) -> Self {
        let mut rig = Self { dispatcher: Dispatcher::new(settings, 7).unwrap(), now: 100 * SECOND };
        rig.round(0, &[list(ListKind::Cached, members)]);
        rig.now += 100 * SECOND;
        rig
    }

    /// A dispatcher with one worker of one slot, which runs the job of request 1, of the first class.
    pub fn busy(settings: Settings) -> Self {
        let mut rig = Self::new(settings, 1);
        rig.teach_slots(1, 1.0);
        rig.round(0, &[request(1, 0)]);
        rig.round(MS, &[started(1, 0)]);
        rig
    }

    /// A round `after` the last one.
    pub fn round(&mut self, after: Micros, events: &[Event]) -> Vec<Action> {
        self.now += after;
        let mut out = Vec::new();
        self.dispatcher.round(self.now, events, &mut out);
        out
    }

    /// Rounds of nothing but time passing.
    pub fn pass(&mut self, span: Micros, step: Micros) -> Vec<Action> {
        (0..span / step).flat_map(|_| self.round(step, &[Event::Wake])).collect()
    }

    /// Teaches that each of the workers has so many slots, and leaves them idle.
    pub fn teach_slots(&mut self, workers: u64, slots: f64) {
        let mut id = 1_000_000;
        let mut taught = std::collections::BTreeSet::new();
        while (taught.len() as u64) < workers {
            let out = self.round(200 * MS, &[request(id, 0)]);
            taught.extend(sends(&out).iter().map(|send| send.1));
            self.round(MS, &[started(id, 0)]);
            self.round(100 * MS, &[ended(id, 0, Outcome::Served, Some((slots, 0.0)))]);
            id += 1;
            assert!(id < 1_001_000, "every worker gets a job in time");
        }
        self.now += 10 * SECOND;
    }
}

/// The sends among the actions: request and worker.
pub fn sends(actions: &[Action]) -> Vec<(u64, u64)> {
    let send = |action: &Action| match action {
        Action::Send { request, worker, .. } => Some((request.0, worker.0)),
        _ => None,
    };
    actions.iter().filter_map(send).collect()
}

/// The requests that are sent, in order.
pub fn sent_requests(actions: &[Action]) -> Vec<u64> {
    sends(actions).iter().map(|send| send.0).collect()
}

/// The final answers among the actions: request, and whether it was a refusal.
pub fn answers(actions: &[Action]) -> Vec<(u64, bool)> {
    let answer = |action: &Action| match action {
        Action::Refuse { request, .. } => Some((request.0, true)),
        Action::Fail { request } => Some((request.0, false)),
        _ => None,
    };
    actions.iter().filter_map(answer).collect()
}
