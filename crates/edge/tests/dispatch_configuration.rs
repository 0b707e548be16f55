//! Configurations that change while jobs are out, single endpoints, and that no job is ever lost or sent twice.

mod dispatch_common;

use std::collections::{BTreeMap, BTreeSet};

use dispatch_common::*;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use ruddervalve_edge::dispatch::{Dispatch, DispatchOutcome, DispatchStep};
use ruddervalve_protocol::{Runner, RunnerPhase};

const ENDPOINT: &str = "127.0.0.9:8066";

fn endpoint(name: &str) -> ServiceLine<'_> {
    ServiceLine { endpoint: Some(ENDPOINT), max_connections: 46, ..ServiceLine::listed(name) }
}

#[test]
fn an_edge_that_knows_nothing_gives_all_back() {
    let mut edge = edge(1, 0);
    assert!(given_back(&edge.start(0, 1, "a", "a"), 1).is_some());
    edge.set_configuration(0, &configuration(1, &[ServiceLine::listed("a")]));
    assert!(given_back(&edge.start(0, 2, "a", "a"), 2).is_some());
}

#[test]
fn a_list_that_comes_before_the_configuration_counts() {
    let mut edge = edge(1, 0);
    edge.set_runners(0, &list(1, &runners("a", 2, 4)));
    edge.set_configuration(0, &configuration(1, &[ServiceLine::listed("a")]));
    assert_eq!(edge.startable(0, "a"), 8);
    assert_eq!(edge.services().collect::<Vec<_>>(), ["a"]);
}

#[test]
fn a_route_that_leads_elsewhere_or_nowhere_is_given_back() {
    let mut edge = edge(1, 0);
    edge.set_configuration(0, &configuration(1, &[ServiceLine::listed("a"), ServiceLine::listed("b")]));
    edge.set_runners(0, &list(1, &runners("a", 2, 4)));
    assert!(given_back(&edge.start(0, 1, "b", "a"), 1).is_some());
    assert!(given_back(&edge.start(0, 2, "c", "a"), 2).is_some());
    assert!(start(&mut edge, 0, 3, "a").is_some());
}

#[test]
fn what_waits_for_a_dropped_service_is_given_back_and_what_is_out_ends() {
    let mut edge = edge_with(1, "a", &runners("a", 1, 1));
    assert!(start(&mut edge, 0, 1, "a").is_some());
    assert_eq!(start(&mut edge, 0, 2, "a"), None);
    let steps = edge.set_configuration(10, &configuration(2, &[ServiceLine::listed("b")]));
    assert!(given_back(&steps, 2).is_some());
    assert_eq!(edge.startable(10, "a"), 0);
    assert!(given_back(&edge.start(10, 3, "a", "a"), 3).is_some());
    assert_eq!(delivered(&served_empty(&mut edge, 20, 1, 1), 2), None);
    // Named again, it starts with nothing out.
    edge.set_configuration(30, &configuration(3, &[ServiceLine::listed("a")]));
    assert_eq!(edge.startable(30, "a"), 1);
}

#[test]
fn a_service_that_comes_back_while_jobs_are_out_still_counts_them() {
    let mut edge = edge_with(1, "a", &runners("a", 2, 2));
    for job in 0..3 {
        assert!(start(&mut edge, 0, job, "a").is_some());
    }
    edge.set_configuration(10, &configuration(2, &[ServiceLine::listed("b")]));
    edge.set_configuration(20, &configuration(3, &[ServiceLine::listed("a")]));
    assert_eq!(edge.startable(20, "a"), 1);
    for job in 0..3 {
        served_empty(&mut edge, 30, job, 2);
    }
    assert_eq!(edge.startable(30, "a"), 4);
}

#[test]
fn an_endpoint_gets_its_messages_at_once() {
    let mut edge = edge(1, 5);
    edge.set_configuration(0, &configuration(1, &[endpoint("a")]));
    for job in 0..100 {
        let expected =
            DispatchStep::Deliver { job, uid: None, address: ENDPOINT.to_owned(), max_connections: 23 };
        assert_eq!(edge.start(0, job, "a", "a"), [expected]);
    }
    assert_eq!(edge.startable(0, "a"), 0);
    assert_eq!(edge.services().count(), 0);
    assert_eq!(edge.finished(1, 7, DispatchOutcome::ConnectFailed, None), []);
    assert_eq!(edge.finished(1, 7, DispatchOutcome::Served, None), []);
}

#[test]
fn a_listed_service_may_become_an_endpoint_and_a_list_again_while_jobs_are_out() {
    let mut edge = edge_with(1, "a", &runners("a", 1, 2));
    assert!(start(&mut edge, 0, 1, "a").is_some());
    edge.set_configuration(10, &configuration(2, &[endpoint("a")]));
    let steps = edge.start(10, 2, "a", "a");
    assert!(matches!(&steps[..], [DispatchStep::Deliver { uid: None, .. }]), "{steps:?}");
    edge.set_configuration(20, &configuration(3, &[ServiceLine::listed("a")]));
    assert_eq!(edge.startable(20, "a"), 1);
    assert_eq!(edge.finished(21, 2, DispatchOutcome::Served, None), []);
    served_empty(&mut edge, 22, 1, 2);
    assert_eq!(edge.startable(22, "a"), 2);
}

#[test]
fn connections_to_a_runner_are_shared_among_the_edges() {
    for (other_edges, limit, share) in [(5, 96, 16), (7, 110, 13), (9, 4, 1), (3, 0, u32::MAX)] {
        let mut edge = edge(1, other_edges);
        let line = ServiceLine { max_connections: limit, ..ServiceLine::listed("a") };
        edge.set_configuration(0, &configuration(1, &[line]));
        edge.set_runners(0, &list(1, &runners("a", 1, 4)));
        let steps = edge.start(0, 1, "a", "a");
        let DispatchStep::Deliver { max_connections, .. } = &steps[0] else { panic!("{steps:?}") };
        assert_eq!(*max_connections, share);
    }
}

#[test]
fn the_share_of_connections_follows_the_number_of_edges_that_is_told() {
    let mut edge = edge(1, 7);
    let line = || configuration(1, &[ServiceLine { max_connections: 96, ..ServiceLine::listed("a") }]);
    edge.set_configuration(0, &line());
    edge.set_runners(0, &list(1, &runners("a", 1, 4)));
    assert!(!edge.set_other_edges(7), "no news");
    assert!(edge.set_other_edges(2));
    edge.set_configuration(1, &line());
    let steps = edge.start(1, 1, "a", "a");
    let DispatchStep::Deliver { max_connections, .. } = &steps[0] else { panic!("{steps:?}") };
    assert_eq!(*max_connections, 32);
}

#[test]
fn a_number_that_is_taken_changes_nothing() {
    let mut edge = edge_with(1, "a", &runners("a", 1, 1));
    assert!(start(&mut edge, 0, 1, "a").is_some());
    assert_eq!(start(&mut edge, 0, 2, "a"), None);
    assert_eq!(edge.start(1, 1, "a", "a"), []);
    assert_eq!(edge.start(1, 2, "a", "a"), []);
    // The end of a job that is not out is no end.
    assert_eq!(edge.finished(2, 2, DispatchOutcome::Served, None), []);
    assert_eq!(edge.finished(2, 9, DispatchOutcome::Served, None), []);
    assert!(delivered(&served_empty(&mut edge, 3, 1, 1), 2).is_some());
}

/// Plays random events and keeps account of every job.
struct Account {
    rng: ChaCha8Rng,
    edge: Dispatch,
    now: u64,
    next_job: u64,
    sequence: u64,
    /// Jobs taken and neither out nor given back.
    waiting: BTreeSet<u64>,
    /// Jobs out, each with its runner.
    out: BTreeMap<u64, Option<String>>,
    /// Runners that may get work, by the newest list and what was heard since.
    open: BTreeSet<String>,
}

const SERVICES: [&str; 3] = ["a", "b", "c"];

impl Account {
    fn new(seed: u64) -> Self {
        Self {
            rng: ChaCha8Rng::seed_from_u64(seed),
            edge: edge(seed, 2),
            now: 0,
            next_job: 0,
            sequence: 0,
            waiting: BTreeSet::new(),
            out: BTreeMap::new(),
            open: BTreeSet::new(),
        }
    }

    fn take(&mut self, steps: Vec<DispatchStep>) {
        for step in steps {
            match step {
                DispatchStep::Deliver { job, uid, .. } => {
                    assert!(self.waiting.remove(&job), "job {job} was not waiting");
                    assert!(uid.as_ref().is_none_or(|uid| self.open.contains(uid)), "{uid:?} is not open");
                    self.out.insert(job, uid);
                }
                DispatchStep::GiveBack { job, .. } => {
                    assert!(self.waiting.remove(&job), "job {job} was not waiting");
                }
                DispatchStep::WakeAt(at) => assert!(at > self.now),
                DispatchStep::Probe { .. } => {}
            }
        }
    }

    fn step(&mut self) {
        self.now += self.rng.random_range(0..30);
        let steps = match self.rng.random_range(0..20) {
            0 => self.configure(),
            1 => self.list(),
            2..5 => self.edge.tick(self.now),
            5..12 => self.start(),
            _ => self.finish(),
        };
        self.take(steps);
    }

    fn configure(&mut self) -> Vec<DispatchStep> {
        let mut lines = Vec::new();
        for name in SERVICES {
            match self.rng.random_range(0..6) {
                0 => {}
                1 => lines.push(endpoint(name)),
                _ => lines.push(ServiceLine::listed(name)),
            }
        }
        self.edge.set_configuration(self.now, &configuration(1, &lines))
    }

    fn list(&mut self) -> Vec<DispatchStep> {
        let mut listed: Vec<Runner> = Vec::new();
        for number in 0..12 {
            let service = SERVICES[number % SERVICES.len()];
            let mut runner = runner(service, &format!("r{number}"), HOME, self.rng.random_range(0..4));
            match self.rng.random_range(0..6) {
                0 => {}
                1 => {
                    runner.phase = RunnerPhase::Draining;
                    listed.push(runner);
                }
                _ => listed.push(runner),
            }
        }
        let ready = listed.iter().filter(|runner| runner.phase == RunnerPhase::Ready);
        self.open = ready.map(|runner| runner.uid.clone()).collect();
        self.sequence += 1;
        self.edge.set_runners(self.now, &list(self.sequence, &listed))
    }

    fn start(&mut self) -> Vec<DispatchStep> {
        let service = SERVICES[self.rng.random_range(0..SERVICES.len())];
        self.next_job += 1;
        self.waiting.insert(self.next_job);
        self.edge.start(self.now, self.next_job, service, service)
    }

    fn finish(&mut self) -> Vec<DispatchStep> {
        if self.out.is_empty() {
            return Vec::new();
        }
        let number = self.rng.random_range(0..self.out.len());
        let (job, uid) = self.out.iter().nth(number).map(|(job, uid)| (*job, uid.clone())).unwrap();
        self.out.remove(&job);
        let outcome = match self.rng.random_range(0..14) {
            0 => DispatchOutcome::Error500,
            1 => DispatchOutcome::Rejected422,
            2 => DispatchOutcome::Full,
            3 => DispatchOutcome::TimedOut,
            4 => DispatchOutcome::ConnectFailed,
            5 => DispatchOutcome::Reset,
            6 => DispatchOutcome::WrongInstance,
            7 => DispatchOutcome::NotSent,
            _ => DispatchOutcome::Served,
        };
        if let Some(uid) = uid.filter(|_| outcome == DispatchOutcome::WrongInstance) {
            self.open.remove(&uid);
        }
        let mut number = || self.rng.random_range(0..=u32::MAX);
        let odd = load(number(), number(), number());
        let told = [None, load(1, 0, 3), load(0, 0, 3), odd][number() as usize % 4];
        self.edge.finished(self.now, job, outcome, told)
    }
}

#[test]
fn every_job_is_delivered_once_or_given_back_once_whatever_happens() {
    for seed in 0..40 {
        let mut account = Account::new(seed);
        for _ in 0..2_000 {
            account.step();
        }
        // In the end nothing that waits stays.
        for _ in 0..100 {
            account.now += 50;
            let steps = account.edge.tick(account.now);
            account.take(steps);
        }
        assert!(account.waiting.is_empty(), "{:?} wait for ever", account.waiting);
    }
}
