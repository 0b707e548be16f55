//! The request table with its decisions, on a clock set by hand: one final answer for each request, whatever crosses.

use std::cell::Cell;
use std::collections::BTreeMap;
use std::rc::Rc;

use bytes::Bytes;
use ruddervalve::{Availability, Facade, JobFacts, ListKind, Machine, Names, Outcome, Settings};
use tokio::sync::mpsc;

use super::Broker;
use super::list::ListUpdate;
use super::orders::{AttemptId, Order};
use super::pool::Pool;
use super::requests::{Answer, PendingRequest, SubmitError};
use crate::clock::Clock;
use crate::counters::{AnswerCounts, Counters};

const CONFIG: &str = include_str!("../../../../examples/config.json");

fn read(config: &str) -> (Settings, Names) {
    let start = config.find("\"settings\":").unwrap() + "\"settings\":".len();
    let text = config[start..].trim().trim_end_matches('}').trim_end().to_owned() + "}";
    ruddervalve_settings::Info::read(&text).unwrap().checked().unwrap()
}

/// A list of the one runner.
fn list(availability: Availability) -> ListUpdate {
    let machine = Machine {
        name: "a".to_owned(),
        availability,
        started_ms: 0.0,
        zone: Some("north".to_owned()),
        kind: Some("box".to_owned()),
        abilities: Vec::new(),
        cell: None,
        weight: 1.0,
    };
    let addresses = BTreeMap::from([("a".to_owned(), "127.0.0.1:1".parse().unwrap())]);
    ListUpdate { version: 4, full: true, machines: vec![machine], addresses, faults: Vec::new() }
}

fn id(request: u64, number: usize) -> AttemptId {
    AttemptId { request, number }
}

struct Rig {
    broker: Rc<Broker>,
    orders: mpsc::UnboundedReceiver<Order>,
    time: Rc<Cell<f64>>,
    counters: Rc<Counters>,
}

impl Rig {
    fn new() -> Self {
        let (settings, names) = read(CONFIG);
        let (time, counters) = (Rc::new(Cell::new(1e12)), Rc::new(Counters::default()));
        let facade = Facade::new(settings, names, 7).unwrap();
        let (broker, orders) = Broker::new(facade, Clock::Manual(time.clone()), counters.clone());
        broker.list_received(ListKind::Cached, list(Availability::Ready));
        Self { broker, orders, time, counters }
    }

    fn submit(&self, class: &str) -> PendingRequest {
        self.submit_for(class, 5_000.0)
    }

    fn submit_for(&self, class: &str, remaining_ms: f64) -> PendingRequest {
        self.hand_in(class, remaining_ms).unwrap_or_else(|not| panic!("{not:?}"))
    }

    fn try_submit(&self, class: &str) -> Result<PendingRequest, SubmitError> {
        self.hand_in(class, 5_000.0)
    }

    fn hand_in(&self, class: &str, remaining_ms: f64) -> Result<PendingRequest, SubmitError> {
        let facts = JobFacts {
            class: class.to_owned(),
            tenant: Some("acme".to_owned()),
            remaining_ms,
            slots: 1.0,
            memory: 0.0,
            hint_ms: None,
        };
        let id = self.broker.table.borrow().next_request.to_string();
        self.broker.submit(self.broker.clock.now(), &id, facts, Rc::new(()))
    }

    /// The attempts and withdrawals ordered since the last call.
    fn ordered(&mut self) -> Vec<(&'static str, AttemptId)> {
        let order = |order| match order {
            Order::Send(attempt) => Some(("claim", attempt.id)),
            Order::Withdraw { attempt } => Some(("withdraw", attempt)),
            _ => None,
        };
        std::iter::from_fn(|| self.orders.try_recv().ok()).filter_map(order).collect()
    }

    fn answer(pending: &mut PendingRequest) -> Option<Answer> {
        pending.answer.try_recv().ok()
    }
}

#[test]
fn the_first_done_is_the_one_answer() {
    let mut rig = Rig::new();
    let mut request = rig.submit("tint");
    assert_eq!(rig.ordered(), [("claim", id(0, 0))]);
    rig.broker.attempt_ended(id(0, 0), Outcome::Served, Some(Bytes::from_static(b"red")), None);
    rig.broker.attempt_ended(id(0, 0), Outcome::Served, Some(Bytes::from_static(b"blue")), None);
    assert_eq!(Rig::answer(&mut request), Some(Answer::Served(Bytes::from_static(b"red"))));
    drop(request);
    assert!(rig.ordered().is_empty() && rig.broker.open_requests() == 0);
    let one = AnswerCounts { served: 1, ..AnswerCounts::default() };
    assert_eq!(rig.counters.classes()["tint"], one, "counted once, too");
    assert_eq!(
        rig.counters.to_string(),
        "counters answers.served=1 claims.made=1 claims.served=2 jobs.open_at_once=1 jobs.taken=1 list.whole=1"
    );
}

#[test]
fn what_must_not_run_twice_fails_once_it_may_have_run_and_comes_back_while_it_cannot_have() {
    for (outcome, answer) in [
        (Outcome::Reset, Some(Answer::Failed)),
        (Outcome::Error, Some(Answer::Failed)),
        (Outcome::Full, None),
        (Outcome::ConnectFailed, None),
    ] {
        let mut rig = Rig::new();
        let mut request = rig.submit("pour");
        assert_eq!(rig.ordered(), [("claim", id(0, 0))]);
        rig.broker.attempt_ended(id(0, 0), outcome, None, None);
        assert_eq!(Rig::answer(&mut request), answer, "{outcome:?}");
    }
}

#[test]
fn a_refusal_says_when_to_come_back_within_what_submitters_heed() {
    let rig = Rig::new();
    let _held: Vec<PendingRequest> = (0..200).map(|_| rig.submit("tint")).collect();
    let mut request = rig.submit("tint");
    rig.time.set(rig.time.get() + 4_990.0);
    rig.broker.tick(Pool::PLATFORM);
    let Some(Answer::Refused { wait_ms }) = Rig::answer(&mut request) else { panic!("not refused") };
    assert!(wait_ms > 0.0 && wait_ms <= 2_000.0, "{wait_ms}");
}

#[test]
fn an_open_job_keeps_the_class_and_the_claims_it_came_with() {
    // Guards against a repeat that was harmful when the request came, and against a loss of attempts it was promised.
    let retuned = CONFIG
        .replace("\"semantics\": \"fragile\"", "\"semantics\": \"retryable\"")
        .replace("\"max_attempts\": 5", "\"max_attempts\": 1");
    let (settings, names) = read(&retuned);
    let mut rig = Rig::new();
    let mut old = rig.submit("pour");
    let mut safe = rig.submit("tint");
    rig.broker.reconfigure(Pool::PLATFORM, settings, names).unwrap();
    rig.ordered();
    rig.broker.attempt_ended(id(0, 0), Outcome::Reset, None, None);
    assert_eq!(Rig::answer(&mut old), Some(Answer::Failed));
    rig.ordered();
    rig.broker.attempt_ended(id(1, 0), Outcome::Full, None, None);
    assert_eq!(Rig::answer(&mut safe), None, "it may be claimed for again");
    // One that comes now is under the new settings: it may run twice, and has one attempt.
    let mut new = rig.submit("pour");
    rig.time.set(rig.time.get() + 10_000.0);
    rig.broker.tick(Pool::PLATFORM);
    rig.broker.attempt_ended(id(2, 0), Outcome::Reset, None, None);
    assert!(matches!(Rig::answer(&mut new), Some(Answer::Refused { .. })));
}

#[test]
fn a_drained_dispatcher_takes_no_job_that_would_be_out_when_it_has_to_be_empty() {
    // Guards the rule on drains: four seconds after the call no request of the last two may be out.
    let rig = Rig::new();
    rig.broker.drain();
    let first = rig.submit("pour");
    rig.time.set(rig.time.get() + 1_900.0);
    rig.broker.drain(); // said again, it counts from the first time
    assert_eq!(rig.try_submit("pour").err(), Some(SubmitError::Drained));
    assert!(rig.broker.cancel_drain() && rig.try_submit("pour").is_ok());
    rig.broker.shut_down(false);
    assert!(!rig.broker.cancel_drain(), "there is no way back from the end");
    drop(first);
}

#[test]
fn a_job_that_comes_after_the_end_began_is_answered_before_the_program_is_killed() {
    let rig = Rig::new();
    rig.broker.shut_down(false);
    rig.time.set(rig.time.get() + 1_000.0);
    let mut late = rig.submit_for("pour", 25_000.0);
    rig.time.set(rig.time.get() + 2_550.0);
    rig.broker.tick(Pool::PLATFORM);
    assert_eq!(Rig::answer(&mut late), Some(Answer::Failed));
}

#[test]
fn where_deadlines_are_short_the_last_answers_are_out_sooner() {
    // "SIGKILL comes no sooner than the longest deadline plus 0.7 s after SIGTERM": here 0.4 s and 0.7 s.
    let short = CONFIG.replace("25000000", "400000").replace("5000000", "300000");
    let mut rig = Rig::new();
    let (settings, names) = read(&short);
    rig.broker.reconfigure(Pool::PLATFORM, settings, names).unwrap();
    rig.broker.shut_down(false);
    rig.time.set(rig.time.get() + 800.0);
    let mut late = rig.submit_for("pour", 400.0);
    rig.ordered();
    rig.time.set(rig.time.get() + 150.0);
    rig.broker.tick(Pool::PLATFORM);
    assert_eq!(Rig::answer(&mut late), Some(Answer::Failed));
    assert!(matches!(Rig::answer(&mut rig.submit_for("tint", 300.0)), Some(Answer::Refused { .. })));
}

#[test]
fn with_a_successor_what_cannot_end_in_time_is_sent_there_and_nothing_is_cut_off() {
    // Runs take 2.5 s; one runs and one is held behind it, as no second may wait on the one runner.
    let mut rig = Rig::new();
    let mut out = rig.submit_for("pour", 25_000.0);
    assert_eq!(rig.ordered(), [("claim", id(0, 0))]);
    rig.time.set(rig.time.get() + 2_500.0);
    rig.broker.attempt_ended(id(0, 0), Outcome::Served, Some(Bytes::new()), None);
    assert_eq!(Rig::answer(&mut out), Some(Answer::Served(Bytes::new())));
    let mut runs = rig.submit_for("pour", 25_000.0);
    assert_eq!(rig.ordered(), [("claim", id(1, 0))]);
    let mut last = rig.submit_for("pour", 25_000.0);
    rig.broker.shut_down(true);
    assert!(matches!(Rig::answer(&mut last), Some(Answer::Refused { .. })), "at once, not in the end");
    assert!(matches!(Rig::answer(&mut rig.submit_for("pour", 25_000.0)), Some(Answer::Refused { .. })));
    assert_eq!(Rig::answer(&mut runs), None, "what runs is waited for");
    rig.time.set(rig.time.get() + 3_550.0);
    rig.broker.tick(Pool::PLATFORM);
    assert_eq!(Rig::answer(&mut runs), Some(Answer::Failed), "before the program is killed");
}

#[test]
fn a_submitter_that_leaves_has_its_claim_withdrawn() {
    let mut rig = Rig::new();
    let request = rig.submit("pour");
    rig.ordered();
    drop(request);
    assert_eq!(rig.ordered(), [("withdraw", id(0, 0))]);
    rig.broker.attempt_ended(id(0, 0), Outcome::Cancelled, None, None);
    assert!(rig.ordered().is_empty());
}

#[test]
fn a_call_answered_without_news_is_not_made_again() {
    for (answered, calls) in [(true, 0), (false, 1)] {
        let mut rig = Rig::new();
        while rig.orders.try_recv().is_ok() {}
        if answered {
            rig.broker.list_unchanged();
        }
        rig.time.set(rig.time.get() + 6_000.0);
        rig.broker.tick(Pool::PLATFORM);
        let asked = std::iter::from_fn(|| rig.orders.try_recv().ok());
        assert_eq!(asked.filter(|order| matches!(order, Order::AskForList)).count(), calls);
    }
}

#[test]
fn a_job_out_of_time_is_answered_without_a_claim() {
    let mut rig = Rig::new();
    let mut request = rig.submit_for("pour", 5.0);
    assert!(matches!(Rig::answer(&mut request), Some(Answer::Refused { .. })));
    assert!(rig.ordered().is_empty());
}

#[test]
fn a_node_that_leaves_gets_nothing_new() {
    let mut rig = Rig::new();
    rig.broker.list_received(ListKind::Changes, list(Availability::Draining));
    let _job = rig.submit("tint");
    assert!(rig.ordered().is_empty());
}
