//! Owns the way between the server's state, the broker and the time, without sockets: what the server wants is done with
//! the broker, and what the decisions order comes back to the server, until nothing more follows. It must never read or
//! write a connection, so that tests drive it through any order of events on a clock set by hand.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

use bytes::BytesMut;
use ruddervalve::{Facade, JobFacts, Names, Settings, SettingsError};
use ruddervalve_broker::{Answer, Answers, Broker, Clock, Counters, Order, Pool};
use ruddervalve_operators::Gearman as Told;
use tokio::sync::mpsc;

use crate::codec::Frame;
use crate::pools::{class_name, expected_runs, functions, limits, pool_names, pool_settings};
use crate::server::{Effect, Order as Claimed, Server};
use crate::workers::ConnId;

/// What is left to be done on sockets.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Act {
    /// Write what waits for a connection.
    Write(ConnId),
    /// Close a connection: at once, or once what is owed on it is written.
    Close(ConnId, bool),
    /// The program is to end.
    ShutDown,
}

/// The Gearman side without its sockets.
pub struct Engine {
    broker: Rc<Broker>,
    clock: Clock,
    server: RefCell<Server>,
    pools: RefCell<BTreeMap<String, Pool>>,
    seed: u64,
    orders: (mpsc::UnboundedSender<Order>, RefCell<mpsc::UnboundedReceiver<Order>>),
    answers: (Answers, RefCell<mpsc::UnboundedReceiver<(u64, Answer)>>),
    /// When pools want to be ticked, in whole microseconds.
    wakes: RefCell<BTreeSet<(u64, Pool)>>,
    /// When pools with open jobs were last looked at.
    looked: Cell<u64>,
}

/// While jobs are open pools are looked at this often, in microseconds: the decisions give up what has become hopeless
/// when something happens, and here nothing else may.
const LOOK: u64 = 100_000;

impl Engine {
    /// The Gearman side of a broker as the operator file tells it, with pools of its own beside the platform's.
    pub fn new(
        name: &str,
        told: &Told,
        platform: (&Settings, &Names),
        seed: u64,
        broker: Rc<Broker>,
        clock: Clock,
        counters: Rc<Counters>,
    ) -> Result<Self, SettingsError> {
        let (orders, answers) = (mpsc::unbounded_channel(), mpsc::unbounded_channel());
        let server = Server::new(name, limits(told, platform.0), Vec::new(), counters);
        let engine = Self {
            broker,
            clock,
            server: RefCell::new(server),
            pools: RefCell::default(),
            seed,
            orders: (orders.0, RefCell::new(orders.1)),
            answers: (answers.0, RefCell::new(answers.1)),
            wakes: RefCell::default(),
            looked: Cell::new(0),
        };
        engine.reconfigure(told, platform)?;
        Ok(engine)
    }

    /// Takes another operator file, or other settings of the platform. Open jobs stay under what they came with.
    pub fn reconfigure(
        &self,
        told: &Told,
        (settings, names): (&Settings, &Names),
    ) -> Result<(), SettingsError> {
        // All are checked before one is put in force.
        let pools: Vec<_> = pool_names(told)
            .into_iter()
            .map(|pool| (pool_settings(&pool, told, settings, names), pool))
            .collect();
        pools.iter().try_for_each(|((settings, _), _)| settings.validate())?;
        for ((pool_settings, pool_names), pool) in pools {
            let known = self.pools.borrow().get(&pool).copied();
            let number = match known {
                Some(known) => {
                    self.broker.reconfigure(known, pool_settings, pool_names)?;
                    known
                }
                None => {
                    let seed = self.seed.wrapping_add(self.pools.borrow().len() as u64 + 1);
                    let facade = Facade::new(pool_settings, pool_names, seed)?;
                    self.broker.add_pool(facade, self.orders.0.clone())
                }
            };
            for (class, run_ms) in expected_runs(&pool, told, settings, names) {
                self.broker.expect(number, &class, run_ms);
            }
            self.pools.borrow_mut().insert(pool, number);
        }
        let mut server = self.server.borrow_mut();
        let functions = functions(told, settings, names, &self.pools.borrow(), |name| server.tally(name));
        server.reconfigure(limits(told, settings), functions);
        Ok(())
    }

    /// The program ends, and jobs have until then.
    pub fn end(&self, at_ms: f64) {
        self.server.borrow_mut().end();
        let pools: Vec<Pool> = self.pools.borrow().values().copied().collect();
        pools.into_iter().for_each(|pool| self.broker.end_by(pool, at_ms));
    }

    /// A connection came up.
    pub fn opened(&self, conn: ConnId, peer: String) {
        self.server.borrow_mut().opened(conn, peer);
    }

    /// A connection has ended.
    pub fn closed(&self, conn: ConnId) {
        self.server.borrow_mut().closed(conn);
    }

    /// A frame came on a connection.
    pub fn received(&self, conn: ConnId, frame: Frame) {
        self.server.borrow_mut().received(conn, frame, self.clock.now());
    }

    /// What came on a connection is no frame.
    pub fn broken(&self, conn: ConnId, problem: &str) {
        self.server.borrow_mut().broken(conn, problem);
    }

    /// What is to be written on a connection; taken off as it is written.
    pub fn outbox<T>(&self, conn: ConnId, write: impl FnOnce(&mut BytesMut) -> T) -> Option<T> {
        self.server.borrow_mut().outbox(conn).map(write)
    }

    /// Looks at the server's state.
    pub fn look<T>(&self, look: impl FnOnce(&Server) -> T) -> T {
        look(&self.server.borrow())
    }

    /// Jobs that are open.
    pub fn open_jobs(&self) -> usize {
        self.server.borrow().jobs.len()
    }

    /// Does all that follows from what has just happened, until nothing more follows, and tells what is left to be done.
    /// A grab is answered only when the decisions have had their word on all that came before it.
    pub fn turn(&self) -> Vec<Act> {
        let mut acts = Vec::new();
        loop {
            let mut more = false;
            loop {
                let effect = self.server.borrow_mut().next_effect();
                let Some(effect) = effect else { break };
                more = true;
                self.perform(effect, &mut acts);
            }
            while let Ok(order) = self.orders.1.borrow_mut().try_recv() {
                more = true;
                self.obey(order);
            }
            while let Ok((job, answer)) = self.answers.1.borrow_mut().try_recv() {
                more = true;
                self.server.borrow_mut().answered(job, answer, self.clock.now());
            }
            if !more && !self.server.borrow_mut().answer_grabs(self.clock.now()) {
                break;
            }
        }
        acts.extend(self.server.borrow_mut().take_dirty().into_iter().map(Act::Write));
        acts
    }

    fn perform(&self, effect: Effect, acts: &mut Vec<Act>) {
        match effect {
            Effect::Submit(id) => self.submit(id),
            Effect::Leave(job) => self.broker.left(job),
            Effect::Started(claim) => self.broker.started(claim),
            Effect::Progress(claim, done) => self.broker.progress(claim, done),
            Effect::Streams(claim) => self.broker.streams(claim),
            Effect::Ended(claim, outcome, result, load) => self.broker.ended(claim, outcome, result, load),
            Effect::Node(pool, machine) => self.broker.nodes_changed(pool, &[machine]),
            Effect::Load(pool, worker, load) => self.broker.load(pool, &worker, load),
            Effect::Close(conn, now) => acts.push(Act::Close(conn, now)),
            Effect::Shutdown => acts.push(Act::ShutDown),
        }
    }

    fn submit(&self, id: u64) {
        let now = self.clock.now();
        let server = self.server.borrow();
        let Some(job) = server.jobs.get(id) else { return };
        let function = &job.function;
        let facts = JobFacts {
            class: class_name(&function.text, job.priority, job.background),
            tenant: function.tenant.clone(),
            remaining_ms: job.until_ms - now,
            slots: 1.0,
            memory: 0.0,
            hint_ms: None,
        };
        let (pool, handle) = (function.pool, String::from_utf8_lossy(&job.handle).into_owned());
        drop(server);
        match self.broker.submit_to(pool, now, &handle, facts, Rc::new(id), &self.answers.0) {
            Ok(broker) => self.server.borrow_mut().taken(id, broker),
            Err(_) => self.server.borrow_mut().not_taken(id),
        }
    }

    fn obey(&self, order: Order) {
        match order {
            Order::Claim(claim) => {
                let Some(job) = claim.errand.downcast_ref::<u64>().copied() else { return };
                let (worker, until_ms) = (claim.node, claim.until_ms);
                let order = Claimed { claim: claim.claim, job, pool: claim.pool, worker, until_ms };
                self.server.borrow_mut().claim(&order, self.clock.now());
            }
            Order::Withdraw { claim } => self.server.borrow_mut().withdraw(claim),
            Order::WakeAt(pool, at) => drop(self.wakes.borrow_mut().insert(((at * 1e3).ceil() as u64, pool))),
            // Workers come by themselves and listen nowhere.
            Order::AskForList | Order::Probe(_) => {}
        }
    }

    /// When [`Engine::tick`] is to be called next, in whole microseconds.
    pub fn next_wake(&self) -> Option<u64> {
        let server = self.server.borrow().next_wake_ms().map(|at| (at * 1e3).ceil() as u64);
        let pools = self.wakes.borrow().first().map(|(at, _)| *at);
        let look = (self.open_jobs() > 0).then_some(self.looked.get() + LOOK);
        server.into_iter().chain(pools).chain(look).min()
    }

    /// Time has passed.
    pub fn tick(&self) {
        let now = self.clock.now();
        self.server.borrow_mut().tick(now);
        let micros = (now * 1e3) as u64;
        let mut due: BTreeSet<Pool> = {
            let mut wakes = self.wakes.borrow_mut();
            let later = wakes.split_off(&(micros + 1, Pool::PLATFORM));
            std::mem::replace(&mut *wakes, later).into_iter().map(|(_, pool)| pool).collect()
        };
        if micros >= self.looked.get() + LOOK {
            self.looked.set(micros);
            due.extend(self.pools.borrow().values());
        }
        due.into_iter().for_each(|pool| self.broker.tick(pool));
    }
}
