//! Owns the job table: which jobs are open, who waits for their answers, which pool of nodes serves them, where nodes
//! listen, and whether the dispatcher serves, is drained or ends. It alone calls the decisions, of which each pool has its
//! own, and it alone gives final answers, one for each job. It must never speak a protocol or open a socket, so that any
//! front can hand it jobs; what is to be sent leaves it as orders.

use std::any::Any;
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

use crate::clock::{Clock, FOR_EVER};
use crate::counters::Counters;

/// The submitter's time is counted from its sending and the answer has to travel: so much of it is kept back.
const MARGIN_MS: f64 = 10.0;
/// So long after it was drained the dispatcher takes no job any more: four seconds after the call for it no job of the last
/// two may be out.
const DRAINED_MS: f64 = 1_900.0;
/// "SIGKILL comes no sooner than the longest deadline plus 0.7 s after SIGTERM. The longest deadline counts as 3 s where it
/// is longer." And "what SIGKILL finds unanswered is also lost, if that request came more than 0.7 s after SIGTERM".
const KILLED_AFTER_MS: f64 = 700.0;
const LONGEST_DEADLINE_MS: f64 = 3_000.0;
/// What has to be said before that is said so much sooner.
const BEFORE_KILLED_MS: f64 = 150.0;
/// "New connections keep coming for 0.2 to 0.4 s" after the program's end has begun, and half of that is left for a stall.
const KEEP_ACCEPTING_MS: f64 = 600.0;
/// So long after the dispatcher was drained its silent and idle connections go: new ones have stopped by then, and what
/// is sent on them until then is answered in time.
const DRAINED_IDLE_MS: f64 = 1_000.0;
/// Where another process accepts, connections stay open for so long after the end has begun: most are used once more, and
/// end with an answer.
const SUCCEEDED_IDLE_MS: f64 = 2_000.0;

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

impl Standing {
    /// From when on no connection is accepted any more.
    pub fn no_more_accepted(self) -> Option<f64> {
        match self {
            Self::Serving | Self::Drained { .. } => None,
            Self::Ending { since_ms, succeeded: true } => Some(since_ms),
            Self::Ending { since_ms, .. } => Some(since_ms + KEEP_ACCEPTING_MS),
        }
    }

    /// From when on a submitter's connection may not be idle any more.
    pub fn no_more_idle(self) -> Option<f64> {
        match self {
            Self::Serving => None,
            Self::Drained { since_ms } => Some(since_ms + DRAINED_IDLE_MS),
            Self::Ending { since_ms, succeeded: true } => Some(since_ms + SUCCEEDED_IDLE_MS),
            Self::Ending { since_ms, .. } => Some(since_ms + KEEP_ACCEPTING_MS),
        }
    }
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
    /// Ask a node for its load; what comes of it is told by [`Broker::probed`].
    Probe(Probe),
    /// Call [`Broker::tick`] for a pool at this time.
    WakeAt(Pool, f64),
}

/// What is brought to the node of a claim: the concern of the protocol that took the job, and of nobody here.
pub type Errand = Rc<dyn Any>;

/// What a claim is to do.
#[derive(Clone)]
pub struct Claim {
    /// The claim: job and number.
    pub claim: (u64, usize),
    /// The pool of the node.
    pub pool: Pool,
    /// The node's name.
    pub node: String,
    /// Where it listens, if it is one that listens.
    pub address: Option<SocketAddr>,
    /// What to bring to it.
    pub errand: Errand,
    /// When the wait for it ends.
    pub until_ms: f64,
    /// By when its last byte has to be at the node.
    pub by_ms: f64,
    /// The job must not run twice.
    pub once: bool,
    /// A kept connection has failed the job before.
    pub fresh: bool,
}

/// A question to a node for its load.
#[derive(Debug, Clone, PartialEq)]
pub struct Probe {
    /// The pool of the node.
    pub pool: Pool,
    /// The node's name.
    pub node: String,
    /// Where it listens.
    pub address: SocketAddr,
}

/// News of a machine list.
#[derive(Debug, Clone, PartialEq)]
pub struct ListNews {
    /// The version that the list has with it.
    pub version: u64,
    /// The whole list, not only changes.
    pub full: bool,
    /// The machines.
    pub machines: Vec<Machine>,
    /// Where each of them listens.
    pub addresses: BTreeMap<String, SocketAddr>,
    /// What could not be read of them, a line each.
    pub faults: Vec<String>,
}

/// A pool of nodes with decisions of its own: what is learnt, listed and held in one says nothing of another.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Pool(usize);

/// The pool's number stands above so many bits of a job's number, which leave room for more jobs than can ever come.
const POOL_BITS: u32 = 48;

impl Pool {
    /// The platform's own pool, which discovery lists.
    pub const PLATFORM: Self = Self(0);

    /// The pool that serves a job.
    pub fn of(job: u64) -> Self {
        Self((job >> POOL_BITS) as usize)
    }
}

/// Where the final answers go to of jobs that come by the thousand: job and answer, in the order in which they are given.
pub type Answers = mpsc::UnboundedSender<(u64, Answer)>;

/// Who waits for a job's final answer.
enum Waits {
    One(oneshot::Sender<Answer>),
    Many(Answers),
}

struct Open {
    id: Rc<str>,
    class: String,
    errand: Errand,
    until_ms: f64,
    answer: Waits,
    /// A part of the result is with the submitter: no other claim can be made for the job.
    streams: bool,
    /// What its last claim came to.
    unusable: bool,
    /// A kept connection has failed it: its next claim goes by a new one.
    fresh: bool,
}

/// One pool: its decisions and the list of its nodes in hand.
struct Nodes {
    facade: Facade,
    /// Whoever brings its claims to its nodes.
    orders: mpsc::UnboundedSender<Order>,
    nodes: BTreeMap<String, (Machine, Option<SocketAddr>)>,
}

struct Table {
    /// By number; the platform's is the first.
    pools: Vec<Nodes>,
    jobs: BTreeMap<u64, Open>,
    /// How many of them are the platform's.
    platform_jobs: usize,
    /// The submitters' ids of the jobs that are open, by pool.
    ids: BTreeSet<(Pool, Rc<str>)>,
    next: u64,
}

/// The job table.
pub struct Broker {
    table: RefCell<Table>,
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
        let pool = Pool::of(job);
        self.ids.remove(&(pool, open.id.clone()));
        self.platform_jobs -= usize::from(pool == Pool::PLATFORM);
        Some(open)
    }

    fn facade(&mut self, pool: Pool) -> &mut Facade {
        &mut self.pools[pool.0].facade
    }

    fn order(&self, pool: Pool, order: Order) {
        // The receiver lives as long as the program.
        let _ = self.pools[pool.0].orders.send(order);
    }

    fn platform(&self) -> &Nodes {
        &self.pools[Pool::PLATFORM.0]
    }
}

impl Pending {
    /// Waits for the final answer; none if the submitter was seen to leave, and none is owed any more.
    pub async fn answer(mut self) -> Option<Answer> {
        (&mut self.answer).await.ok()
    }
}

impl Drop for Pending {
    fn drop(&mut self) {
        self.broker.left(self.job);
    }
}

impl Broker {
    /// A broker on these decisions for the platform's pool, whose orders go to the receiver.
    pub fn new(
        facade: Facade,
        clock: Clock,
        counters: Rc<Counters>,
    ) -> (Rc<Self>, mpsc::UnboundedReceiver<Order>) {
        let (orders, receiver) = mpsc::unbounded_channel();
        facade.classes().iter().for_each(|class| counters.show_class(class));
        let table = Table {
            pools: vec![Nodes { facade, orders, nodes: BTreeMap::new() }],
            jobs: BTreeMap::new(),
            platform_jobs: 0,
            ids: BTreeSet::new(),
            next: 0,
        };
        let broker = Self {
            table: RefCell::new(table),
            clock,
            counters,
            version: watch::Sender::new(0),
            ready: watch::Sender::new(false),
            standing: watch::Sender::new(Standing::Serving),
        };
        (Rc::new(broker), receiver)
    }

    /// A further pool, with decisions of its own, whose orders go to `orders`.
    pub fn add_pool(&self, facade: Facade, orders: mpsc::UnboundedSender<Order>) -> Pool {
        let mut table = self.table.borrow_mut();
        table.pools.push(Nodes { facade, orders, nodes: BTreeMap::new() });
        let pool = Pool(table.pools.len() - 1);
        let steps = table.facade(pool).tick(self.clock.now());
        self.take(&mut table, pool, steps);
        pool
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

    /// Waits until the time has passed that follows from the standing, whatever becomes of that meanwhile.
    pub async fn passed(
        &self,
        standing: &mut watch::Receiver<Standing>,
        when: impl Fn(Standing) -> Option<f64>,
    ) {
        loop {
            let at = when(*standing.borrow_and_update());
            let wait = at.map_or(FOR_EVER, |at| self.clock.until(at));
            tokio::select! {
                Ok(()) = standing.changed() => {}
                () = tokio::time::sleep(wait) => return,
            }
        }
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
            self.end_by(Pool::PLATFORM, last_words_ms);
        }
    }

    /// The program ends then: jobs of a pool that cannot be done until then are refused at once where that is harmless,
    /// and what is still out at that time fails.
    pub fn end_by(&self, pool: Pool, at_ms: f64) {
        let mut table = self.table.borrow_mut();
        let steps = table.facade(pool).ends(self.clock.now(), at_ms);
        self.take(&mut table, pool, steps);
    }

    /// When the last answer has to be out, if the end began then.
    fn last_words_ms(&self, since_ms: f64) -> f64 {
        let longest = self.table.borrow().platform().facade.longest_deadline_ms();
        since_ms + longest.min(LONGEST_DEADLINE_MS) + KILLED_AFTER_MS - BEFORE_KILLED_MS
    }

    /// Whether a class goes by this name.
    pub fn knows_class(&self, name: &str) -> bool {
        self.table.borrow().platform().facade.knows_class(name)
    }

    /// Whether a tenant goes by this name.
    pub fn knows_tenant(&self, name: Option<&str>) -> bool {
        self.table.borrow().platform().facade.knows_tenant(name)
    }

    /// A job of a class was refused before it was taken in.
    pub fn refused(&self, class: &str) {
        self.counters.answered(class, |answered| answered.refused += 1);
    }

    /// How many of the platform's jobs are open.
    pub fn open(&self) -> usize {
        self.table.borrow().platform_jobs
    }

    /// How many nodes are on the machine list.
    pub fn listed(&self) -> usize {
        self.table.borrow().platform().nodes.len()
    }

    /// How many of them the decisions avoid at present.
    pub fn out_of_rotation(&self) -> usize {
        self.table.borrow().platform().facade.out_of_rotation()
    }

    /// Takes new settings for the decisions. Jobs, claims and what was learnt of nodes stay; what the list in hand says of
    /// nodes is read by the new names.
    pub fn reconfigure(&self, pool: Pool, settings: Settings, names: Names) -> Result<(), SettingsError> {
        self.table.borrow_mut().facade(pool).reconfigure(settings, names)?;
        self.list_again(pool);
        if pool == Pool::PLATFORM {
            let table = self.table.borrow();
            table.platform().facade.classes().iter().for_each(|class| self.counters.show_class(class));
        }
        self.tick(pool);
        Ok(())
    }

    /// Jobs of a class of a pool are expected to run for so long, until runs are seen.
    pub fn expect(&self, pool: Pool, class: &str, run_ms: f64) {
        self.table.borrow_mut().facade(pool).expect(class, run_ms);
    }

    /// Takes a job of the platform in, which came at `came_ms`. Not if a job of this id is open: nodes know jobs by their
    /// ids, so a second one would be claimed for as the first, and might get its result.
    pub fn submit(
        self: &Rc<Self>,
        came_ms: f64,
        id: &str,
        facts: JobFacts,
        errand: Errand,
    ) -> Result<Pending, NotTaken> {
        let (sender, answer) = oneshot::channel();
        let job = self.take_in(Pool::PLATFORM, came_ms, id, facts, errand, Waits::One(sender))?;
        Ok(Pending { job, broker: self.clone(), answer })
    }

    /// Takes a job of any pool in, as [`Broker::submit`] does; its final answer comes with its number.
    pub fn submit_to(
        &self,
        pool: Pool,
        came_ms: f64,
        id: &str,
        facts: JobFacts,
        errand: Errand,
        answers: &Answers,
    ) -> Result<u64, NotTaken> {
        self.take_in(pool, came_ms, id, facts, errand, Waits::Many(answers.clone()))
    }

    fn take_in(
        &self,
        pool: Pool,
        came_ms: f64,
        id: &str,
        mut facts: JobFacts,
        errand: Errand,
        answer: Waits,
    ) -> Result<u64, NotTaken> {
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
        let id: Rc<str> = id.into();
        let mut table = self.table.borrow_mut();
        if !table.ids.insert((pool, id.clone())) {
            return Err(NotTaken::IdOpen);
        }
        facts.remaining_ms = until_ms - now;
        let job = table.next | (pool.0 as u64) << POOL_BITS;
        table.next += 1;
        table.platform_jobs += usize::from(pool == Pool::PLATFORM);
        table.jobs.insert(
            job,
            Open {
                id,
                class: facts.class.clone(),
                errand,
                until_ms,
                answer,
                streams: false,
                unusable: false,
                fresh: false,
            },
        );
        let steps = table.facade(pool).pick(now, job, &facts);
        self.counters.count("jobs", "taken");
        self.counters.highest("jobs", "open_at_once", table.jobs.len() as u64);
        self.take(&mut table, pool, steps);
        Ok(job)
    }

    /// The submitter of a job has left: no answer is owed any more.
    pub fn left(&self, job: u64) {
        let mut table = self.table.borrow_mut();
        if table.close(job).is_some() {
            self.counters.count("answers", "submitter_left");
            let pool = Pool::of(job);
            let steps = table.facade(pool).left(self.clock.now(), job);
            self.take(&mut table, pool, steps);
        }
    }

    /// A part of a claim's result went on to the submitter: the job is this claim's from now on, however it ends.
    pub fn streams(&self, claim: (u64, usize)) {
        let mut table = self.table.borrow_mut();
        let Some(open) = table.jobs.get_mut(&claim.0) else { return };
        if !std::mem::replace(&mut open.streams, true) {
            let pool = Pool::of(claim.0);
            let steps = table.facade(pool).report(self.clock.now(), claim.0, claim.1, Report::Streams);
            self.take(&mut table, pool, steps);
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
        let streams = self.table.borrow_mut().jobs.get_mut(&claim.0).map(|open| {
            open.unusable = outcome == Outcome::Unusable;
            open.fresh |= matches!(outcome, Outcome::Broken | Outcome::Skipped);
            open.streams
        });
        // The decisions have let go of what streams: what is owed is given here.
        if streams == Some(true) {
            self.answer(&mut self.table.borrow_mut(), claim.0, Answer::Failed);
        }
        let closed = streams != Some(false);
        self.report(claim, Report::Ended { outcome, closed, load });
    }

    fn report(&self, claim: (u64, usize), report: Report) {
        let (mut table, pool) = (self.table.borrow_mut(), Pool::of(claim.0));
        let steps = table.facade(pool).report(self.clock.now(), claim.0, claim.1, report);
        self.take(&mut table, pool, steps);
    }

    /// Time has passed for a pool.
    pub fn tick(&self, pool: Pool) {
        let mut table = self.table.borrow_mut();
        let steps = table.facade(pool).tick(self.clock.now());
        self.take(&mut table, pool, steps);
    }

    /// A node of a pool tells its load unasked.
    pub fn load(&self, pool: Pool, node: &str, load: LoadReport) {
        let mut table = self.table.borrow_mut();
        let steps = table.facade(pool).load(self.clock.now(), node, load);
        self.take(&mut table, pool, steps);
    }

    /// A probe ended.
    pub fn probed(&self, probe: &Probe, outcome: Outcome, load: Option<LoadReport>) {
        let mut table = self.table.borrow_mut();
        let steps = table.facade(probe.pool).probed(self.clock.now(), &probe.node, outcome, load);
        self.take(&mut table, probe.pool, steps);
    }

    /// The version of the machine list in hand, now and when it changes.
    pub fn list_version(&self) -> watch::Receiver<u64> {
        self.version.subscribe()
    }

    /// The machine list in hand, whole.
    pub fn list_in_hand(&self) -> ListNews {
        let table = self.table.borrow();
        let nodes = &table.platform().nodes;
        let addresses = nodes.iter().filter_map(|(name, (_, address))| Some((name.clone(), (*address)?)));
        ListNews {
            version: *self.version.borrow(),
            full: true,
            machines: nodes.values().map(|(machine, _)| machine.clone()).collect(),
            addresses: addresses.collect(),
            faults: Vec::new(),
        }
    }

    /// What was learnt so far.
    pub fn learnt(&self) -> Learnt {
        self.table.borrow().platform().facade.learnt()
    }

    /// Goes on from the list and what was learnt by an earlier process of this dispatcher. False if that makes no sense:
    /// then nothing of it is taken.
    pub fn inherit(&self, news: ListNews, learnt: &Learnt) -> bool {
        // What is learnt is learnt of listed machines: checked on a list that could be put back would be no simpler.
        if !news.full || news.machines.is_empty() || !learnt.sound(self.clock.now()) {
            return false;
        }
        self.list(ListKind::Cached, news);
        self.table.borrow_mut().facade(Pool::PLATFORM).inherit(self.clock.now(), learnt)
    }

    /// Another process of this dispatcher has come to take its place, or has gone again.
    pub fn succeeded(&self, succeeded: bool) {
        self.table.borrow_mut().facade(Pool::PLATFORM).succeeded(succeeded);
    }

    /// A list that another process of this dispatcher has in hand, taken if it is newer, or if the one in hand is, like it,
    /// from before any version.
    pub fn list_from_other_process(&self, news: ListNews) {
        let in_hand = *self.version.borrow();
        // Told back and forth, the same list is no news.
        let before_any = in_hand == 0 && news != self.list_in_hand();
        if news.full && (news.version > in_hand || before_any) {
            self.list(ListKind::Cached, news);
        }
    }

    /// Takes news of the machine list.
    pub fn list(&self, kind: ListKind, news: ListNews) {
        self.counters.count("list", if kind == ListKind::Changes { "changes" } else { "whole" });
        for fault in &news.faults {
            self.counters.count("list", "machines_not_read");
            self.counters.say(self.clock.now(), format_args!("machine list: {fault}"));
        }
        let listed = |machine: &Machine| news.addresses.get(&machine.name).copied().map(Some);
        self.take_list(Pool::PLATFORM, kind, &news.machines, listed);
        if !news.machines.is_empty() {
            self.ready.send_replace(true);
        }
        self.version.send_replace(news.version);
    }

    /// Nodes of a pool have come, changed or gone: nodes that come to the dispatcher by themselves and listen nowhere.
    pub fn nodes_changed(&self, pool: Pool, machines: &[Machine]) {
        self.take_list(pool, ListKind::Changes, machines, |_| Some(None));
    }

    fn list_again(&self, pool: Pool) {
        let mut table = self.table.borrow_mut();
        let machines: Vec<Machine> =
            table.pools[pool.0].nodes.values().map(|(machine, _)| machine.clone()).collect();
        if !machines.is_empty() {
            let steps = table.facade(pool).list(self.clock.now(), ListKind::Cached, &machines);
            self.take(&mut table, pool, steps);
        }
    }

    /// `listed` tells where a node listens, or that it cannot be claimed.
    fn take_list(
        &self,
        pool: Pool,
        kind: ListKind,
        machines: &[Machine],
        listed: impl Fn(&Machine) -> Option<Option<SocketAddr>>,
    ) {
        let mut table = self.table.borrow_mut();
        let nodes = &mut table.pools[pool.0].nodes;
        if kind != ListKind::Changes {
            nodes.clear();
        }
        for machine in machines {
            // Machines come and go for as long as the program runs: what is gone is forgotten.
            match listed(machine) {
                Some(address) if machine.availability != Availability::Gone => {
                    nodes.insert(machine.name.clone(), (machine.clone(), address));
                }
                _ => drop(nodes.remove(&machine.name)),
            }
        }
        let steps = table.facade(pool).list(self.clock.now(), kind, machines);
        self.take(&mut table, pool, steps);
    }

    /// A call for the list was answered, and there is no news.
    pub fn unchanged(&self) {
        self.take_list(Pool::PLATFORM, ListKind::Changes, &[], |_| None);
    }

    /// A call for the list failed or the watch on it ended; `again`: as the one before did, which was told. What was missed
    /// counts as told at `told_ms`, heard or not.
    pub fn list_failed(&self, problem: &str, again: bool, told_ms: f64) {
        self.counters.count("list", "failed");
        if again {
            return;
        }
        self.counters.say(self.clock.now(), format_args!("machine list: {problem}"));
        let mut table = self.table.borrow_mut();
        let steps = table.facade(Pool::PLATFORM).list_failed(self.clock.now(), told_ms);
        self.take(&mut table, Pool::PLATFORM, steps);
    }

    /// Does what the decisions of a pool want. Orders go out in the order of the steps.
    fn take(&self, table: &mut Table, pool: Pool, steps: Vec<Step>) {
        for step in steps {
            match step {
                Step::Claim { job, claim, machine, once, by_ms } => {
                    self.claim(table, (job, claim), machine, once, by_ms);
                }
                Step::Withdraw { job, claim } => table.order(pool, Order::Withdraw { claim: (job, claim) }),
                Step::Refuse { job, wait_ms } => self.answer(table, job, Answer::Refused { wait_ms }),
                Step::Fail { job } => {
                    let unusable = table.jobs.get(&job).is_some_and(|open| open.unusable);
                    self.answer(table, job, if unusable { Answer::Unusable } else { Answer::Failed });
                }
                Step::AskForList => table.order(pool, Order::AskForList),
                Step::Probe { machine } => self.probe(table, pool, machine),
                Step::WakeAt(at) => table.order(pool, Order::WakeAt(pool, at)),
                Step::Say(line) => self.counters.say(self.clock.now(), line),
            }
        }
    }

    /// Whether a claim may still be sent when a connection to its node is there, on which its last byte arrives `way_ms`
    /// later: its job is open and in time, and the node takes new jobs as far as is known by now.
    pub fn may_send(&self, claim: &Claim, way_ms: f64) -> bool {
        let (table, now) = (self.table.borrow(), self.clock.now());
        let listed = table.pools[claim.pool.0].nodes.get(&claim.node);
        let ready = listed.is_some_and(|(machine, _)| machine.availability == Availability::Ready);
        ready
            && table.jobs.contains_key(&claim.claim.0)
            && now < claim.until_ms
            && now + way_ms <= claim.by_ms
    }

    fn claim(&self, table: &mut Table, claim: (u64, usize), node: String, once: bool, by_ms: Option<f64>) {
        let pool = Pool::of(claim.0);
        let address = table.pools[pool.0].nodes.get(&node).map(|(_, address)| *address);
        let Some((open, address)) = table.jobs.get(&claim.0).zip(address) else {
            // Guards against a machine that has gone and a job that has just ended: the claim was never sent.
            let closed = !table.jobs.contains_key(&claim.0);
            let report = Report::Ended { outcome: Outcome::Skipped, closed, load: None };
            let steps = table.facade(pool).report(self.clock.now(), claim.0, claim.1, report);
            return self.take(table, pool, steps);
        };
        self.counters.count("claims", "made");
        let (errand, until_ms, fresh) = (open.errand.clone(), open.until_ms, open.fresh);
        let by_ms = by_ms.unwrap_or(f64::INFINITY);
        let order = Order::Claim(Claim { claim, pool, node, address, errand, until_ms, by_ms, once, fresh });
        table.order(pool, order);
    }

    /// Only a node that listens and is neither leaving nor gone is probed.
    fn probe(&self, table: &mut Table, pool: Pool, node: String) {
        let listed = table.pools[pool.0].nodes.get(&node);
        let listed = listed.filter(|(machine, _)| machine.availability == Availability::Ready);
        match listed.and_then(|(_, address)| *address) {
            Some(address) => table.order(pool, Order::Probe(Probe { pool, node, address })),
            None => {
                let steps = table.facade(pool).probed(self.clock.now(), &node, Outcome::Skipped, None);
                self.take(table, pool, steps);
            }
        }
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
        match open.answer {
            Waits::One(waits) => drop(waits.send(answer)),
            Waits::Many(answers) => drop(answers.send((job, answer))),
        }
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
mod tests;
