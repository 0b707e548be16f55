//! Owns the job table: which jobs are open, who waits for their answers, where machines listen, and whether the dispatcher
//! serves, is drained or ends. It alone calls the decisions and it alone gives final answers, one for each job. It must
//! never speak HTTP or open a socket, so that any front can hand it jobs; what is to be sent leaves it as orders.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;

use bytes::Bytes;
use ruddervalve::{
    Availability, Facade, JobFacts, Learnt, ListKind, LoadReport, Machine, Names, Outcome, Report, Settings,
    SettingsError, Step,
};
use tokio::sync::{mpsc, oneshot, watch};

use crate::claims::{Claim, Errand};
use crate::clock::Clock;
use crate::counters::Counters;
use crate::machine_list::{ListNews, write_news};

/// The submitter's time is counted from its sending and the answer has to travel: so much of it is kept back.
const MARGIN_MS: f64 = 10.0;
/// So long after it was drained the dispatcher takes no job any more: by then nobody should send one.
const DRAINED_MS: f64 = 1_900.0;
/// The platform kills a program that is told to end so long after the longest deadline, which counts for no more than
/// this. What came before that span is over may be cut off, what came later is lost if it is.
const KILLED_AFTER_MS: f64 = 700.0;
const LONGEST_DEADLINE_MS: f64 = 3_000.0;
/// What has to be said before that is said so much sooner.
const BEFORE_KILLED_MS: f64 = 150.0;

/// What the dispatcher is doing. Fronts and the operators' address read it, nobody else keeps a copy.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Standing {
    /// It takes jobs.
    Serving,
    /// Operators had it send submitters away, and may take that back.
    Drained {
        /// When.
        since_ms: f64,
    },
    /// The program ends.
    Ending {
        /// Since when.
        since_ms: f64,
        /// Others accept on its socket, or will: new connections are theirs.
        succeeded: bool,
    },
}

/// Why a job was not taken.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum NotTaken {
    /// One of its id is open.
    IdOpen,
    /// The dispatcher has been drained: trying elsewhere is harmless.
    Drained,
}

/// The final answer to a job.
#[derive(Debug, Clone, PartialEq)]
pub enum Answer {
    /// The result that an execute node gave.
    Served(Bytes),
    /// Refused: trying again is harmless, after this time.
    Refused {
        /// How long to wait.
        wait_ms: f64,
    },
    /// Failed: nothing is promised.
    Failed,
    /// Failed, as no node can use it.
    Unusable,
}

/// What the broker wants done on the network.
pub enum Order {
    /// Claim an execute node for a job.
    Claim(Claim),
    /// Give a claim up.
    Withdraw {
        /// The claim.
        claim: (u64, usize),
    },
    /// Ask for the machine list.
    AskForList,
    /// Call [`Broker::tick`] at this time.
    WakeAt(f64),
}

struct Open {
    id: Rc<str>,
    class: String,
    errand: Rc<Errand>,
    until_ms: f64,
    answer: oneshot::Sender<Answer>,
    /// What its last claim came to.
    unusable: bool,
    /// A kept connection has failed it: its next claim goes by a new one.
    fresh: bool,
}

struct Table {
    facade: Facade,
    jobs: BTreeMap<u64, Open>,
    /// The submitters' ids of the jobs that are open.
    ids: BTreeSet<Rc<str>>,
    next: u64,
    /// The machine list in hand.
    nodes: BTreeMap<String, (Machine, SocketAddr)>,
}

/// The job table.
pub struct Broker {
    table: RefCell<Table>,
    orders: mpsc::UnboundedSender<Order>,
    clock: Clock,
    counters: Rc<Counters>,
    version: watch::Sender<u64>,
    ready: watch::Sender<bool>,
    standing: watch::Sender<Standing>,
}

/// A job handed in. Dropped before its answer came, it tells the broker that the submitter has left.
pub struct Pending {
    job: u64,
    broker: Rc<Broker>,
    answer: oneshot::Receiver<Answer>,
}

impl Table {
    /// Takes a job off the table.
    fn close(&mut self, job: u64) -> Option<Open> {
        let open = self.jobs.remove(&job)?;
        self.ids.remove(&open.id);
        Some(open)
    }
}

impl Pending {
    /// Waits for the final answer.
    pub async fn answer(mut self) -> Answer {
        (&mut self.answer).await.unwrap_or(Answer::Failed)
    }
}

impl Drop for Pending {
    fn drop(&mut self) {
        self.broker.left(self.job);
    }
}

impl Broker {
    /// A broker on these decisions, whose orders go to the receiver.
    pub fn new(
        facade: Facade,
        clock: Clock,
        counters: Rc<Counters>,
    ) -> (Rc<Self>, mpsc::UnboundedReceiver<Order>) {
        let (orders, receiver) = mpsc::unbounded_channel();
        facade.classes().iter().for_each(|class| counters.show_class(class));
        let table =
            Table { facade, jobs: BTreeMap::new(), ids: BTreeSet::new(), next: 0, nodes: BTreeMap::new() };
        let broker = Self {
            table: RefCell::new(table),
            orders,
            clock,
            counters,
            version: watch::Sender::new(0),
            ready: watch::Sender::new(false),
            standing: watch::Sender::new(Standing::Serving),
        };
        (Rc::new(broker), receiver)
    }

    /// Whether jobs can be served: a machine list was had.
    pub fn ready(&self) -> bool {
        *self.ready.borrow()
    }

    /// Waits until jobs can be served.
    pub async fn until_ready(&self) {
        // The sender lives in here.
        let _ = self.ready.subscribe().wait_for(|ready| *ready).await;
    }

    /// What the dispatcher is doing, now and when it changes.
    pub fn standing(&self) -> watch::Receiver<Standing> {
        self.standing.subscribe()
    }

    /// Has submitters sent away. Once the program ends they are sent away anyhow.
    pub fn drain(&self) {
        if *self.standing.borrow() == Standing::Serving {
            self.standing.send_replace(Standing::Drained { since_ms: self.clock.now() });
        }
    }

    /// Takes submitters again. False where it is too late for that.
    pub fn drain_off(&self) -> bool {
        let ending = matches!(*self.standing.borrow(), Standing::Ending { .. });
        if !ending {
            self.standing.send_replace(Standing::Serving);
        }
        !ending
    }

    /// The program ends; there is no way back. `succeeded`: others accept on its socket.
    pub fn end(&self, succeeded: bool) {
        let since_ms = self.clock.now();
        self.standing.send_replace(Standing::Ending { since_ms, succeeded });
        if succeeded {
            let last_words_ms = self.last_words_ms(since_ms);
            let mut table = self.table.borrow_mut();
            let steps = table.facade.ends(since_ms, last_words_ms);
            self.take(&mut table, steps);
        }
    }

    /// When the last answer has to be out, if the end began then.
    fn last_words_ms(&self, since_ms: f64) -> f64 {
        let longest = self.table.borrow().facade.longest_deadline_ms();
        since_ms + longest.min(LONGEST_DEADLINE_MS) + KILLED_AFTER_MS - BEFORE_KILLED_MS
    }

    /// Whether a class goes by this name.
    pub fn knows_class(&self, name: &str) -> bool {
        self.table.borrow().facade.knows_class(name)
    }

    /// Whether a tenant goes by this name.
    pub fn knows_tenant(&self, name: Option<&str>) -> bool {
        self.table.borrow().facade.knows_tenant(name)
    }

    /// A job of a class was refused before it was taken in.
    pub fn refused(&self, class: &str) {
        self.counters.answered(class, |answered| answered.refused += 1);
    }

    /// How many jobs are open.
    pub fn open(&self) -> usize {
        self.table.borrow().jobs.len()
    }

    /// How many nodes are on the machine list.
    pub fn listed(&self) -> usize {
        self.table.borrow().nodes.len()
    }

    /// How many of them the decisions avoid at present.
    pub fn out_of_rotation(&self) -> usize {
        self.table.borrow().facade.out_of_rotation()
    }

    /// Takes new settings for the decisions. Jobs, claims and what was learnt of nodes stay.
    pub fn reconfigure(&self, settings: Settings, names: Names) -> Result<(), SettingsError> {
        self.table.borrow_mut().facade.reconfigure(settings, names)?;
        self.table.borrow().facade.classes().iter().for_each(|class| self.counters.show_class(class));
        self.tick();
        Ok(())
    }

    /// Takes a job in, which came at `came_ms`. Not if a job of this id is open: nodes know jobs by their ids, so a
    /// second one would be claimed for as the first, and might get its result.
    pub fn submit(
        self: &Rc<Self>,
        came_ms: f64,
        mut facts: JobFacts,
        errand: Errand,
    ) -> Result<Pending, NotTaken> {
        let now = self.clock.now();
        let mut until_ms = came_ms + facts.remaining_ms - MARGIN_MS;
        match *self.standing.borrow() {
            Standing::Serving => {}
            Standing::Drained { since_ms } if now < since_ms + DRAINED_MS => {}
            Standing::Drained { .. } => {
                self.counters.count("answers", "drained");
                self.refused(&facts.class);
                return Err(NotTaken::Drained);
            }
            // Guards against the platform's patience: what is still out when it kills the program is lost.
            Standing::Ending { since_ms, .. } if now > since_ms + KILLED_AFTER_MS - BEFORE_KILLED_MS => {
                until_ms = until_ms.min(self.last_words_ms(since_ms));
            }
            Standing::Ending { .. } => {}
        }
        let id: Rc<str> = errand.id.as_str().into();
        if !self.table.borrow_mut().ids.insert(id.clone()) {
            return Err(NotTaken::IdOpen);
        }
        facts.remaining_ms = until_ms - now;
        let (sender, answer) = oneshot::channel();
        let mut table = self.table.borrow_mut();
        let job = table.next;
        table.next += 1;
        table.jobs.insert(
            job,
            Open {
                id,
                class: facts.class.clone(),
                errand: Rc::new(errand),
                until_ms,
                answer: sender,
                unusable: false,
                fresh: false,
            },
        );
        let steps = table.facade.pick(now, job, &facts);
        self.counters.count("jobs", "taken");
        self.counters.highest("jobs", "open_at_once", table.jobs.len() as u64);
        self.take(&mut table, steps);
        Ok(Pending { job, broker: self.clone(), answer })
    }

    fn left(&self, job: u64) {
        let mut table = self.table.borrow_mut();
        if table.close(job).is_some() {
            self.counters.count("answers", "submitter_left");
            let steps = table.facade.left(self.clock.now(), job);
            self.take(&mut table, steps);
        }
    }

    /// The job of a claim has started to run.
    pub fn started(&self, claim: (u64, usize)) {
        self.report(claim, Report::Started);
    }

    /// The job of a claim is so far done.
    pub fn progress(&self, claim: (u64, usize), done: f64) {
        self.report(claim, Report::Progress(done));
    }

    /// A claim ended; the first one served ends its job.
    pub fn ended(
        &self,
        claim: (u64, usize),
        outcome: Outcome,
        result: Option<Bytes>,
        load: Option<LoadReport>,
    ) {
        self.counters.count("claims", outcome_name(outcome));
        if let Some(result) = result {
            self.answer(&mut self.table.borrow_mut(), claim.0, Answer::Served(result));
        }
        let open = self.table.borrow_mut().jobs.get_mut(&claim.0).map(|open| {
            open.unusable = outcome == Outcome::Unusable;
            open.fresh |= matches!(outcome, Outcome::Broken | Outcome::Skipped);
        });
        let closed = open.is_none();
        self.report(claim, Report::Ended { outcome, closed, load });
    }

    fn report(&self, claim: (u64, usize), report: Report) {
        let mut table = self.table.borrow_mut();
        let steps = table.facade.report(self.clock.now(), claim.0, claim.1, report);
        self.take(&mut table, steps);
    }

    /// Time has passed.
    pub fn tick(&self) {
        let mut table = self.table.borrow_mut();
        let steps = table.facade.tick(self.clock.now());
        self.take(&mut table, steps);
    }

    /// The version of the machine list in hand, now and when it changes.
    pub fn list_version(&self) -> watch::Receiver<u64> {
        self.version.subscribe()
    }

    /// The machine list in hand, as discovery words a whole one.
    pub fn list_in_hand(&self) -> String {
        let table = self.table.borrow();
        write_news(&ListNews {
            version: *self.version.borrow(),
            full: true,
            machines: table.nodes.values().map(|(machine, _)| machine.clone()).collect(),
            addresses: table.nodes.iter().map(|(name, (_, address))| (name.clone(), *address)).collect(),
        })
    }

    /// What was learnt so far.
    pub fn learnt(&self) -> Learnt {
        self.table.borrow().facade.learnt()
    }

    /// Goes on from the list and what was learnt by an earlier process of this dispatcher. False if that makes no sense:
    /// then nothing of it is taken.
    pub fn inherit(&self, news: ListNews, learnt: &Learnt) -> bool {
        // What is learnt is learnt of listed machines: checked on a list that could be put back would be no simpler.
        if !news.full || news.machines.is_empty() || !learnt.sound(self.clock.now()) {
            return false;
        }
        self.list(ListKind::Cached, news);
        self.table.borrow_mut().facade.inherit(self.clock.now(), learnt)
    }

    /// Another process of this dispatcher has come to take its place, or has gone again.
    pub fn succeeded(&self, succeeded: bool) {
        self.table.borrow_mut().facade.succeeded(succeeded);
    }

    /// A list that another process of this dispatcher has in hand, taken if it is newer.
    pub fn list_from_kin(&self, news: ListNews) {
        if news.full && news.version > *self.version.borrow() {
            self.list(ListKind::Cached, news);
        }
    }

    /// Takes news of the machine list.
    pub fn list(&self, kind: ListKind, news: ListNews) {
        self.counters.count("list", if kind == ListKind::Changes { "changes" } else { "whole" });
        let mut table = self.table.borrow_mut();
        if kind != ListKind::Changes {
            table.nodes.clear();
        }
        for machine in &news.machines {
            // Machines come and go for as long as the program runs: what is gone is forgotten.
            match news.addresses.get(&machine.name) {
                Some(address) if machine.availability != Availability::Gone => {
                    table.nodes.insert(machine.name.clone(), (machine.clone(), *address));
                }
                _ => drop(table.nodes.remove(&machine.name)),
            }
        }
        let steps = table.facade.list(self.clock.now(), kind, &news.machines);
        self.take(&mut table, steps);
        drop(table);
        if !news.machines.is_empty() {
            self.ready.send_replace(true);
        }
        self.version.send_replace(news.version);
    }

    /// A call for the list was answered, and there is no news.
    pub fn unchanged(&self) {
        let mut table = self.table.borrow_mut();
        let steps = table.facade.list(self.clock.now(), ListKind::Changes, &[]);
        self.take(&mut table, steps);
    }

    /// A call for the list failed or the watch on it ended.
    pub fn list_failed(&self, problem: &str) {
        self.counters.count("list", "failed");
        self.counters.say(self.clock.now(), format_args!("machine list: {problem}"));
        let mut table = self.table.borrow_mut();
        let steps = table.facade.list_failed(self.clock.now());
        self.take(&mut table, steps);
    }

    /// Does what the decisions want. Orders go out in the order of the steps.
    fn take(&self, table: &mut Table, steps: Vec<Step>) {
        for step in steps {
            match step {
                Step::Claim { job, claim, machine, once } => self.claim(table, (job, claim), machine, once),
                Step::Withdraw { job, claim } => self.order(Order::Withdraw { claim: (job, claim) }),
                Step::Refuse { job, wait_ms } => self.answer(table, job, Answer::Refused { wait_ms }),
                Step::Fail { job } => {
                    let unusable = table.jobs.get(&job).is_some_and(|open| open.unusable);
                    self.answer(table, job, if unusable { Answer::Unusable } else { Answer::Failed });
                }
                Step::AskForList => self.order(Order::AskForList),
                Step::WakeAt(at) => self.order(Order::WakeAt(at)),
                Step::Say(line) => self.counters.say(self.clock.now(), line),
            }
        }
    }

    fn claim(&self, table: &mut Table, claim: (u64, usize), node: String, once: bool) {
        let address = table.nodes.get(&node).map(|(_, address)| *address);
        let Some((open, address)) = table.jobs.get(&claim.0).zip(address) else {
            // Guards against a machine without an address and a job that has just ended: the claim was never sent.
            let closed = !table.jobs.contains_key(&claim.0);
            let report = Report::Ended { outcome: Outcome::Skipped, closed, load: None };
            let steps = table.facade.report(self.clock.now(), claim.0, claim.1, report);
            return self.take(table, steps);
        };
        self.counters.count("claims", "made");
        let (errand, until_ms, fresh) = (open.errand.clone(), open.until_ms, open.fresh);
        self.order(Order::Claim(Claim { claim, node, address, errand, until_ms, once, fresh }));
    }

    /// The one place where a job gets its final answer: it leaves the table with it.
    fn answer(&self, table: &mut Table, job: u64, answer: Answer) {
        let Some(open) = table.close(job) else { return };
        self.counters.count(
            "answers",
            match answer {
                Answer::Served(_) => "served",
                Answer::Refused { .. } => "refused",
                Answer::Failed => "failed",
                Answer::Unusable => "unusable",
            },
        );
        self.counters.answered(&open.class, |answered| match answer {
            Answer::Served(_) => answered.served += 1,
            Answer::Refused { .. } => answered.refused += 1,
            Answer::Failed | Answer::Unusable => answered.failed += 1,
        });
        // The submitter may have left this very moment: then nobody is told.
        let _ = open.answer.send(answer);
    }

    fn order(&self, order: Order) {
        // The receiver lives as long as the program.
        let _ = self.orders.send(order);
    }
}

fn outcome_name(outcome: Outcome) -> &'static str {
    match outcome {
        Outcome::Served => "served",
        Outcome::Error => "error",
        Outcome::Full => "turned_away",
        Outcome::TimedOut => "timed_out",
        Outcome::ConnectFailed => "could_not_connect",
        Outcome::Reset => "reset",
        Outcome::Cancelled => "withdrawn",
        Outcome::Skipped => "never_sent",
        Outcome::Unusable => "not_usable",
        Outcome::Broken => "kept_broken",
    }
}

#[cfg(test)]
mod tests {
    use std::cell::Cell;

    use super::*;
    use crate::counters::Answered;
    use crate::machine_list::read_news;

    struct Rig {
        broker: Rc<Broker>,
        orders: mpsc::UnboundedReceiver<Order>,
        time: Rc<Cell<f64>>,
        counters: Rc<Counters>,
    }

    impl Rig {
        fn new() -> Self {
            let text = |_: &str| Ok(include_str!("../../examples/config.json").to_owned());
            let config =
                crate::config::Config::read(|name| (name == "ROUTER_CONFIG").then(String::new), text)
                    .unwrap();
            let (time, counters) = (Rc::new(Cell::new(1e12)), Rc::new(Counters::default()));
            let facade = Facade::new(config.settings, config.names, 7).unwrap();
            let (broker, orders) = Broker::new(facade, Clock::ByHand(time.clone()), counters.clone());
            let list = br#"{"version":4,"full":true,"servers":[
                {"id":"a","addr":"127.0.0.1:1","zone":"north","kind":"box","state":"active","weight":1.0}]}"#;
            broker.list(ListKind::Cached, read_news(list).unwrap());
            Self { broker, orders, time, counters }
        }

        fn submit(&self, class: &str) -> Pending {
            self.submit_for(class, 5_000.0)
        }

        fn submit_for(&self, class: &str, remaining_ms: f64) -> Pending {
            self.hand_in(class, remaining_ms).unwrap_or_else(|not| panic!("{not:?}"))
        }

        fn try_submit(&self, class: &str) -> Result<Pending, NotTaken> {
            self.hand_in(class, 5_000.0)
        }

        fn hand_in(&self, class: &str, remaining_ms: f64) -> Result<Pending, NotTaken> {
            let facts = JobFacts {
                class: class.to_owned(),
                tenant: Some("acme".to_owned()),
                remaining_ms,
                slots: 1.0,
                memory: 0.0,
                hint_ms: None,
            };
            let errand = Errand {
                id: self.broker.table.borrow().next.to_string(),
                method: actix_http::Method::POST,
                target: "/".to_owned(),
                headers: actix_http::header::HeaderMap::new(),
                body: Bytes::new(),
            };
            self.broker.submit(self.broker.clock.now(), facts, errand)
        }

        /// The claims and withdrawals ordered since the last call.
        fn ordered(&mut self) -> Vec<(&'static str, (u64, usize))> {
            let order = |order| match order {
                Order::Claim(claim) => Some(("claim", claim.claim)),
                Order::Withdraw { claim } => Some(("withdraw", claim)),
                _ => None,
            };
            std::iter::from_fn(|| self.orders.try_recv().ok()).filter_map(order).collect()
        }

        fn answer(pending: &mut Pending) -> Option<Answer> {
            pending.answer.try_recv().ok()
        }
    }

    #[test]
    fn the_first_done_is_the_one_answer() {
        let mut rig = Rig::new();
        let mut job = rig.submit("tint");
        assert_eq!(rig.ordered(), [("claim", (0, 0))]);
        rig.broker.ended((0, 0), Outcome::Served, Some(Bytes::from_static(b"red")), None);
        rig.broker.ended((0, 0), Outcome::Served, Some(Bytes::from_static(b"blue")), None);
        assert_eq!(Rig::answer(&mut job), Some(Answer::Served(Bytes::from_static(b"red"))));
        drop(job);
        assert!(rig.ordered().is_empty() && rig.broker.open() == 0);
        let one = Answered { served: 1, ..Answered::default() };
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
            let mut job = rig.submit("pour");
            assert_eq!(rig.ordered(), [("claim", (0, 0))]);
            rig.broker.ended((0, 0), outcome, None, None);
            assert_eq!(Rig::answer(&mut job), answer, "{outcome:?}");
        }
    }

    #[test]
    fn a_refusal_says_when_to_come_back_within_what_submitters_heed() {
        let rig = Rig::new();
        let _held: Vec<Pending> = (0..200).map(|_| rig.submit("tint")).collect();
        let mut job = rig.submit("tint");
        rig.time.set(rig.time.get() + 4_990.0);
        rig.broker.tick();
        let Some(Answer::Refused { wait_ms }) = Rig::answer(&mut job) else { panic!("not refused") };
        assert!(wait_ms > 0.0 && wait_ms <= 2_000.0, "{wait_ms}");
    }

    #[test]
    fn an_open_job_keeps_the_class_and_the_claims_it_came_with() {
        // Guards against a repeat that was harmful when the job came, and against a loss of claims it was promised.
        let retuned = include_str!("../../examples/config.json")
            .replace("\"semantics\": \"fragile\"", "\"semantics\": \"retryable\"")
            .replace("\"max_attempts\": 5", "\"max_attempts\": 1");
        let text = |_: &str| Ok(retuned.clone());
        let new =
            crate::config::Config::read(|name| (name == "ROUTER_CONFIG").then(String::new), text).unwrap();
        let mut rig = Rig::new();
        let mut old = rig.submit("pour");
        let mut safe = rig.submit("tint");
        rig.broker.reconfigure(new.settings, new.names).unwrap();
        rig.ordered();
        rig.broker.ended((0, 0), Outcome::Reset, None, None);
        assert_eq!(Rig::answer(&mut old), Some(Answer::Failed));
        rig.ordered();
        rig.broker.ended((1, 0), Outcome::Full, None, None);
        assert_eq!(Rig::answer(&mut safe), None, "it may be claimed for again");
        // One that comes now is under the new settings: it may run twice, and has one claim.
        let mut new = rig.submit("pour");
        rig.time.set(rig.time.get() + 10_000.0);
        rig.broker.tick();
        rig.broker.ended((2, 0), Outcome::Reset, None, None);
        assert!(matches!(Rig::answer(&mut new), Some(Answer::Refused { .. })));
    }

    #[test]
    fn a_drained_dispatcher_takes_no_job_that_would_be_out_when_it_has_to_be_empty() {
        // Guards the rule on drains: four seconds after the call no job of the last two may be out.
        let rig = Rig::new();
        rig.broker.drain();
        let first = rig.submit("pour");
        rig.time.set(rig.time.get() + 1_900.0);
        rig.broker.drain(); // said again, it counts from the first time
        assert_eq!(rig.try_submit("pour").err(), Some(NotTaken::Drained));
        assert!(rig.broker.drain_off() && rig.try_submit("pour").is_ok());
        rig.broker.end(false);
        assert!(!rig.broker.drain_off(), "there is no way back from the end");
        drop(first);
    }

    #[test]
    fn a_job_that_comes_after_the_end_began_is_answered_before_the_program_is_killed() {
        let rig = Rig::new();
        rig.broker.end(false);
        rig.time.set(rig.time.get() + 1_000.0);
        let mut late = rig.submit_for("pour", 25_000.0);
        rig.time.set(rig.time.get() + 2_550.0);
        rig.broker.tick();
        assert_eq!(Rig::answer(&mut late), Some(Answer::Failed));
    }

    #[test]
    fn with_a_successor_what_cannot_end_in_time_is_sent_there_and_nothing_is_cut_off() {
        // Runs take 2.5 s; one runs and one is held behind it, as no second may wait on the one node.
        let mut rig = Rig::new();
        let mut out = rig.submit_for("pour", 25_000.0);
        assert_eq!(rig.ordered(), [("claim", (0, 0))]);
        rig.time.set(rig.time.get() + 2_500.0);
        rig.broker.ended((0, 0), Outcome::Served, Some(Bytes::new()), None);
        assert_eq!(Rig::answer(&mut out), Some(Answer::Served(Bytes::new())));
        let mut runs = rig.submit_for("pour", 25_000.0);
        assert_eq!(rig.ordered(), [("claim", (1, 0))]);
        let mut last = rig.submit_for("pour", 25_000.0);
        rig.broker.end(true);
        assert!(matches!(Rig::answer(&mut last), Some(Answer::Refused { .. })), "at once, not in the end");
        assert!(matches!(Rig::answer(&mut rig.submit_for("pour", 25_000.0)), Some(Answer::Refused { .. })));
        assert_eq!(Rig::answer(&mut runs), None, "what runs is waited for");
        rig.time.set(rig.time.get() + 3_550.0);
        rig.broker.tick();
        assert_eq!(Rig::answer(&mut runs), Some(Answer::Failed), "before the program is killed");
    }

    #[test]
    fn a_submitter_that_leaves_has_its_claim_withdrawn() {
        let mut rig = Rig::new();
        let job = rig.submit("pour");
        rig.ordered();
        drop(job);
        assert_eq!(rig.ordered(), [("withdraw", (0, 0))]);
        rig.broker.ended((0, 0), Outcome::Cancelled, None, None);
        assert!(rig.ordered().is_empty());
    }

    #[test]
    fn a_call_answered_without_news_is_not_made_again() {
        for (answered, calls) in [(true, 0), (false, 1)] {
            let mut rig = Rig::new();
            while rig.orders.try_recv().is_ok() {}
            if answered {
                rig.broker.unchanged();
            }
            rig.time.set(rig.time.get() + 6_000.0);
            rig.broker.tick();
            let asked = std::iter::from_fn(|| rig.orders.try_recv().ok());
            assert_eq!(asked.filter(|order| matches!(order, Order::AskForList)).count(), calls);
        }
    }

    #[test]
    fn a_job_out_of_time_is_answered_without_a_claim() {
        let mut rig = Rig::new();
        let mut job = rig.submit_for("pour", 5.0);
        assert!(matches!(Rig::answer(&mut job), Some(Answer::Refused { .. })));
        assert!(rig.ordered().is_empty());
    }

    #[test]
    fn a_node_that_leaves_gets_nothing_new() {
        let mut rig = Rig::new();
        let leaving = br#"{"version":5,"full":false,"servers":[
            {"id":"a","addr":"127.0.0.1:1","zone":"north","kind":"box","state":"leaving","weight":1.0}]}"#;
        rig.broker.list(ListKind::Changes, read_news(leaving).unwrap());
        let _job = rig.submit("tint");
        assert!(rig.ordered().is_empty());
    }
}
