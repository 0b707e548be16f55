//! Whatever comes in: no panic, and the parts of the rules that can be checked from here hold.

mod common;

use std::collections::{BTreeMap, BTreeSet};

use common::*;
use proptest::prelude::*;
use ruddervalve::*;

/// What the embedder knows of a request.
#[derive(Default)]
struct Ledger {
    open: bool,
    expires: Micros,
    class: usize,
    attempts: Vec<(u64, Option<Outcome>)>,
    answered: u32,
}

/// Plays arbitrary events against a dispatcher, keeping the embedder's side of the interface, with stray
/// events between, and checks each action against the rules.
struct Play {
    settings: Settings,
    rig: Rig,
    ledger: BTreeMap<u64, Ledger>,
    stopped: BTreeSet<u64>,
    log: Vec<Action>,
}

impl Play {
    fn new(settings: Settings) -> Self {
        let mut rig = Rig { dispatcher: Dispatcher::new(settings.clone(), 3).unwrap(), now: 100 * SECOND };
        rig.round(0, &[list(ListKind::Cached, (0..4).map(member))]);
        Self { settings, rig, ledger: BTreeMap::new(), stopped: BTreeSet::new(), log: Vec::new() }
    }

    fn event(&mut self, (what, pick, number): (u8, u64, u8)) -> Vec<Event> {
        let pending = |ledger: &Ledger| ledger.attempts.last().is_some_and(|last| last.1.is_none());
        match what {
            0..=5 => {
                let id = self.ledger.len() as u64;
                let class = usize::from(number) % self.settings.classes.len();
                let expires_in = (u64::from(number) + 1) * 40 * MS;
                let expires = self.rig.now + expires_in;
                self.ledger.insert(id, Ledger { open: true, expires, class, ..Ledger::default() });
                let mut new = new_request(id, class);
                (new.expires_in, new.tenant) = (expires_in, Some(TenantId(usize::from(number) % 3)));
                new.hint = (number % 2 == 0).then_some(u64::from(number) * MS);
                vec![Event::Request(new.clone()), Event::Request(new)]
            }
            6..=9 => {
                let out: Vec<u64> =
                    self.ledger.iter().filter(|(_, ledger)| pending(ledger)).map(|entry| *entry.0).collect();
                let Some(id) = out.get(pick as usize % out.len().max(1)) else { return vec![Event::Wake] };
                let ledger = self.ledger.get_mut(id).unwrap();
                let attempt = ledger.attempts.len() - 1;
                if what == 6 {
                    return vec![started(*id, attempt), started(*id, attempt + 1)];
                }
                let outcome = OUTCOMES[usize::from(number) % OUTCOMES.len()];
                ledger.attempts[attempt].1 = Some(outcome);
                let closed = outcome == Outcome::Served || !ledger.open;
                ledger.answered += u32::from(ledger.open && closed);
                ledger.open &= !closed;
                let report = LoadReport {
                    free_slots: REPORTS[usize::from(number) % REPORTS.len()],
                    queued: REPORTS[pick as usize % REPORTS.len()],
                };
                let event = Event::AttemptEnded {
                    request: RequestId(*id),
                    attempt,
                    outcome,
                    closed,
                    report: Some(report),
                };
                vec![event.clone(), event]
            }
            10 => {
                let worker = pick % 5;
                let availability = [Availability::Ready, Availability::Draining, Availability::Gone]
                    [usize::from(number) % 3];
                match availability {
                    Availability::Ready => self.stopped.remove(&worker),
                    _ => self.stopped.insert(worker),
                };
                let booted = if number > 200 { self.rig.now } else { 0 };
                vec![list(ListKind::Changes, [Member { availability, booted, ..member(worker) }])]
            }
            11 => {
                let Some(ledger) = self.ledger.get_mut(&pick) else {
                    return vec![Event::DiscoveryFailed { told: None }];
                };
                ledger.answered += u32::from(ledger.open);
                ledger.open = false;
                vec![Event::ClientGone { request: RequestId(pick) }]
            }
            _ => vec![
                ended(900_000 + pick, 3, Outcome::Error, None),
                started(pick, 77),
                Event::Probed { worker: WorkerId(99), outcome: Outcome::TimedOut, report: None },
                Event::Wake,
            ],
        }
    }

    fn step(&mut self, step: (u8, u64, u8), after: Micros) {
        self.rig.now += after;
        let events = self.event(step);
        let out = self.rig.round(0, &events);
        self.check(&out);
        self.log.extend(out);
    }

    fn check(&mut self, out: &[Action]) {
        for (id, worker) in sends(out) {
            let ledger = self.ledger.get_mut(&id).expect("only what was taken is sent");
            assert!(ledger.open, "{id} is sent after its end");
            assert!(!self.stopped.contains(&worker), "{worker} takes nothing new");
            assert!(ledger.attempts.last().is_none_or(|last| last.1.is_some()), "one attempt at a time");
            let effect = self.settings.classes[ledger.class].effect;
            let never_ran = |attempt: &(u64, Option<Outcome>)| attempt.1.is_some_and(Outcome::never_ran);
            assert!(effect != Effect::Unsafe || ledger.attempts.iter().all(never_ran));
            ledger.attempts.push((worker, None));
            assert!(ledger.attempts.len() <= self.settings.limits.max_attempts);
        }
        for (id, refused) in answers(out) {
            let ledger = self.ledger.get_mut(&id).expect("only what was taken is answered");
            assert!(ledger.open, "{id} has one final answer");
            let never_ran = |attempt: &(u64, Option<Outcome>)| attempt.1.is_some_and(Outcome::never_ran);
            let harmless = self.settings.classes[ledger.class].effect != Effect::Unsafe;
            assert!(!refused || harmless || ledger.attempts.iter().all(never_ran));
            (ledger.open, ledger.answered) = (false, ledger.answered + 1);
        }
        for (id, ledger) in &self.ledger {
            assert!(!ledger.open || ledger.expires > self.rig.now, "{id} is answered in time");
            assert!(ledger.answered <= 1);
        }
    }
}

const OUTCOMES: [Outcome; 8] = [
    Outcome::Served,
    Outcome::Error,
    Outcome::Full,
    Outcome::TimedOut,
    Outcome::ConnectFailed,
    Outcome::Reset,
    Outcome::Cancelled,
    Outcome::Skipped,
];
const REPORTS: [Option<f64>; 7] =
    [None, Some(0.0), Some(4.0), Some(2.3), Some(-1.0), Some(f64::NAN), Some(f64::INFINITY)];

/// Settings with all that can be switched drawn.
fn any_settings() -> impl Strategy<Value = Settings> {
    let effect = prop_oneof![
        Just(Effect::Safe),
        Just(Effect::Unsafe),
        Just(Effect::Keyed { group: Group::All, window: SECOND }),
        Just(Effect::Keyed { group: Group::Cell, window: SECOND }),
    ];
    let hearing = (0..3_usize, any::<[bool; 7]>(), 1..7_usize, 1..300_usize);
    let worth = (0.0..3.0, prop_oneof![Just(0.0), 0.0..3.0], 0.0..3.0, 0.0..1.0);
    let classes =
        prop::collection::vec((effect, 0..2_usize, 0.0..3.0, prop_oneof![Just(0.0), 0.0..1.0]), 1..4);
    (hearing, worth, classes).prop_map(|((how, switches, max_attempts, dispatchers), worth, classes)| {
        let [probes, cancel, tells_start, asked, live_weights, worth_by_work, zoned] = switches;
        let mut settings = settings();
        let class = |(effect, kind, aim_stretch, late_worth)| ClassSettings {
            kind: (kind == 1).then_some(KindId(0)),
            aim_stretch,
            late_worth,
            worth: 0.1 + worth.0,
            ..class(effect)
        };
        settings.classes = classes.into_iter().map(class).collect();
        settings.reporting = [Reporting::Answers, Reporting::Probes, Reporting::None][how];
        (settings.limits.probes, settings.limits.cancel) = (probes, cancel);
        (settings.limits.max_attempts, settings.tells_start) = (max_attempts, tells_start);
        settings.discovery = if asked { Discovery::OnRequest } else { Discovery::Pushed };
        (settings.live_weights, settings.worth_by_work) = (live_weights, worth_by_work);
        settings.zone = zoned.then_some(ZoneId(0));
        (settings.dispatchers, settings.index) = (dispatchers, dispatchers / 2);
        (settings.cross_zone_price, settings.worst_class_weight) = (worth.1, worth.2);
        settings.conn_kept = if worth.3 > 0.5 { 12 * SECOND } else { 0 };
        settings.tenants = vec![TenantSettings { quota_per_s: 3.0 }, TenantSettings { quota_per_s: 0.0 }];
        settings.over_share_worth = worth.3;
        settings
    })
}

/// One job after another, each at its end before the next one comes, on workers that are all idle.
fn all_idle(settings: Settings, workers: u64, slots: f64, zones: usize, jobs: &[(usize, Micros, u8)]) {
    let place = |id: u64| Member { zone: Some(ZoneId((id as usize + 1) % zones)), ..member(id) };
    let (classes, tells, how) = (settings.classes.len(), settings.tells_start, settings.reporting);
    let mut rig = Rig::listing(settings, (0..workers).map(place));
    let empty = LoadReport { free_slots: Some(slots), queued: Some(0.0) };
    let answer = |rig: &mut Rig, out: &[Action]| {
        let probed = |action: &Action| match action {
            Action::Probe(worker) => {
                Some(Event::Probed { worker: *worker, outcome: Outcome::Served, report: Some(empty) })
            }
            _ => None,
        };
        let events: Vec<Event> = out.iter().filter_map(probed).collect();
        let mut more = out.to_vec();
        if !events.is_empty() {
            more.extend(rig.round(MS, &events));
        }
        more
    };
    for (number, (class, gap, width)) in jobs.iter().enumerate() {
        let (id, width) = (number as u64, f64::from(1 + width % 2).min(slots));
        let new = NewRequest { slots: width, ..new_request(id, class % classes) };
        let out = rig.round(*gap, &[Event::Request(new)]);
        let mut out = answer(&mut rig, &out);
        while sends(&out).is_empty() && answers(&out).is_empty() {
            out = rig.round(5 * MS, &[Event::Wake]);
            out = answer(&mut rig, &out);
        }
        assert_eq!((sends(&out).len(), answers(&out)), (1, vec![]), "job {id} of {}", jobs.len());
        if tells {
            rig.round(MS, &[started(id, 0)]);
        }
        let report = (how == Reporting::Answers).then_some((slots, 0.0));
        let out = rig.round(50 * MS, &[ended(id, 0, Outcome::Served, report)]);
        answer(&mut rig, &out);
    }
}

fn variants() -> Vec<Settings> {
    let base = Settings {
        tenants: vec![TenantSettings { quota_per_s: 3.0 }, TenantSettings { quota_per_s: 0.0 }],
        ..settings()
    };
    let keyed = Effect::Keyed { group: Group::All, window: SECOND };
    let mut bare = base.clone();
    bare.limits = Limits { max_attempts: 1, cancel: false, probes: false, max_retry_after: 0 };
    (bare.dispatchers, bare.zone, bare.tenants, bare.tells_start) = (1, None, Vec::new(), false);
    (bare.reporting, bare.worst_class_weight) = (Reporting::None, 2.0);
    let mut probed = base.clone();
    (probed.reporting, probed.limits.probes, probed.tells_start) = (Reporting::Probes, true, false);
    probed.classes.push(ClassSettings { late_worth: 0.5, aim: 0, ..class(keyed) });
    (probed.cross_zone_price, probed.discovery) = (5.0, Discovery::OnRequest);
    vec![base, bare, probed]
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 60,
        rng_seed: proptest::test_runner::RngSeed::Fixed(42),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn with_all_workers_idle_no_job_is_refused_whatever_is_told(
        settings in any_settings(),
        workers in 1u64..14,
        slots in 1u8..6,
        zones in 1usize..3,
        jobs in prop::collection::vec((0usize..4, prop_oneof![Just(MS), 1..3 * SECOND], any::<u8>()), 1..60),
    ) {
        all_idle(settings, workers, f64::from(slots), zones, &jobs);
    }

    #[test]
    fn any_stream_of_events_keeps_the_rules(
        drawn in any_settings(),
        steps in prop::collection::vec(((0u8..13, 0u64..40, any::<u8>()), 1u64..30), 1..300),
    ) {
        for settings in variants().into_iter().chain([drawn]) {
            let play = || {
                let mut play = Play::new(settings.clone());
                for (step, after) in &steps {
                    // Time passes in ticks: what falls due is answered within one of them.
                    for _ in 0..*after {
                        play.rig.now += MS;
                        let out = play.rig.round(0, &[Event::Wake]);
                        play.check(&out);
                        play.log.extend(out);
                    }
                    play.step(*step, 0);
                }
                play.log
            };
            prop_assert_eq!(play(), play());
        }
    }
}

#[test]
fn settings_that_make_no_sense_name_their_field() {
    type Break = fn(&mut Settings);
    let cases: [(&str, Break); 8] = [
        ("index", |s| s.index = 2),
        ("classes", |s| s.classes.clear()),
        ("classes[1].deadline", |s| s.classes[1].deadline = 0),
        ("classes[0].worth", |s| s.classes[0].worth = f64::NAN),
        ("tenants[0].quota_per_s", |s| s.tenants = vec![TenantSettings { quota_per_s: -1.0 }]),
        ("limits.max_attempts", |s| s.limits.max_attempts = 0),
        ("rules.cold_share", |s| s.rules.cold_share = 1.5),
        ("rules.fall_multiple", |s| s.rules.fall_multiple = f64::INFINITY),
    ];
    for (field, spoil) in cases {
        let mut settings = settings();
        spoil(&mut settings);
        assert_eq!(Dispatcher::new(settings, 1).unwrap_err().field, field);
    }
}

#[test]
fn a_request_of_an_unknown_class_is_refused() {
    let mut rig = Rig::new(settings(), 2);
    assert_eq!(answers(&rig.round(0, &[request(1, 9)])), [(1, true)]);
}

#[test]
fn memory_does_not_grow_with_requests_and_workers_gone() {
    let mut rig = Rig::new(settings(), 2);
    let mut size = Vec::new();
    for id in 0..2000_u64 {
        let fresh = list(ListKind::Full, [member(0), member(10 + id)]);
        let out = rig.round(20 * MS, &[fresh, request(id, 0)]);
        for (request, _) in sends(&out) {
            rig.round(MS, &[started(request, 0), ended(request, 0, Outcome::Served, Some((2.0, 0.0)))]);
        }
        if id == 200 || id == 1999 {
            size.push(format!("{:?}", rig.dispatcher).len());
        }
    }
    assert!(size[1] < size[0] * 2, "{size:?}");
}
