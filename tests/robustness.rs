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
                let Some(ledger) = self.ledger.get_mut(&pick) else { return vec![Event::DiscoveryFailed] };
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
    fn any_stream_of_events_keeps_the_rules(
        steps in prop::collection::vec(((0u8..13, 0u64..40, any::<u8>()), 1u64..30), 1..300),
    ) {
        for settings in variants() {
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
