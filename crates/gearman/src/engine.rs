//! Owns the way between the server's state, the broker and the time, without sockets: what the server wants is done
//! with the broker, and what the decisions order comes back to the server, until nothing more follows. It must never
//! read or write a connection, so that tests drive it through any order of events on a clock set by hand.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

use bytes::BytesMut;
use ruddervalve::{Facade, JobFacts, Names, Settings, SettingsError};
use ruddervalve_broker::{Answer, AnswerSender, Broker, Clock, Counters, Order, Pool};
use ruddervalve_operators::GearmanSettings;
use tokio::sync::mpsc;

use crate::codec::Frame;
use crate::pools::{class_name, expected_runs, functions, limits, pool_names, pool_settings};
use crate::server::{AttemptOrder, Closing, Effect, Server};
use crate::workers::ConnectionId;

/// What is left to be done on sockets.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SocketAction {
    /// Write what waits for a connection.
    Write(ConnectionId),
    /// Close a connection.
    Close(ConnectionId, Closing),
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
    answers: (AnswerSender, RefCell<mpsc::UnboundedReceiver<(u64, Answer)>>),
    /// When pools want to be ticked, in whole microseconds.
    wakes: RefCell<BTreeSet<(u64, Pool)>>,
    /// When pools with open jobs were last ticked, in whole microseconds.
    last_polled: Cell<u64>,
}

/// While jobs are open pools are ticked this often, in microseconds: the decisions give up what has become hopeless
/// when something happens, and here nothing else may.
const POOL_POLL_MICROS: u64 = 100_000;

impl Engine {
    /// The Gearman side of a broker as the operator file tells it, with pools of its own beside the platform's.
    ///
    /// # Errors
    ///
    /// Settings that cannot be used.
    pub fn new(
        name: &str,
        gearman_settings: &GearmanSettings,
        platform: (&Settings, &Names),
        seed: u64,
        broker: Rc<Broker>,
        clock: Clock,
        counters: Rc<Counters>,
    ) -> Result<Self, SettingsError> {
        let (orders, answers) = (mpsc::unbounded_channel(), mpsc::unbounded_channel());
        let server = Server::new(name, limits(gearman_settings, platform.0), Vec::new(), counters);
        let engine = Self {
            broker,
            clock,
            server: RefCell::new(server),
            pools: RefCell::default(),
            seed,
            orders: (orders.0, RefCell::new(orders.1)),
            answers: (answers.0, RefCell::new(answers.1)),
            wakes: RefCell::default(),
            last_polled: Cell::new(0),
        };
        engine.reconfigure(gearman_settings, platform)?;
        Ok(engine)
    }

    /// Takes another operator file, or other settings of the platform. Open jobs stay under what they came with.
    ///
    /// # Errors
    ///
    /// Settings that cannot be used; nothing of them is in force then.
    pub fn reconfigure(
        &self,
        gearman_settings: &GearmanSettings,
        (settings, names): (&Settings, &Names),
    ) -> Result<(), SettingsError> {
        // All are checked before one is put in force.
        let pools: Vec<_> = pool_names(gearman_settings)
            .into_iter()
            .map(|pool| (pool_settings(&pool, gearman_settings, settings, names), pool))
            .collect();
        pools.iter().try_for_each(|((settings, _), _)| settings.validate())?;
        for ((pool_settings, pool_names), pool) in pools {
            let number = self.put_pool(&pool, pool_settings, pool_names)?;
            for (class, run_ms) in expected_runs(&pool, gearman_settings, settings, names) {
                self.broker.expect_run(number, &class, run_ms);
            }
            self.pools.borrow_mut().insert(pool, number);
        }
        let mut server = self.server.borrow_mut();
        let functions =
            functions(gearman_settings, settings, names, &self.pools.borrow(), |name| server.counts(name));
        server.reconfigure(limits(gearman_settings, settings), functions);
        Ok(())
    }

    /// Puts a pool's settings in force; its number.
    fn put_pool(&self, pool: &str, settings: Settings, names: Names) -> Result<Pool, SettingsError> {
        if let Some(known) = self.pools.borrow().get(pool).copied() {
            self.broker.reconfigure(known, settings, names)?;
            return Ok(known);
        }
        let seed = self.seed.wrapping_add(self.pools.borrow().len() as u64 + 1);
        Ok(self.broker.add_pool(Facade::new(settings, names, seed)?, self.orders.0.clone()))
    }

    /// The program ends, and jobs have until then.
    pub fn shut_down_by(&self, at_ms: f64) {
        self.server.borrow_mut().shut_down();
        let pools: Vec<Pool> = self.pools.borrow().values().copied().collect();
        pools.into_iter().for_each(|pool| self.broker.shut_down_by(pool, at_ms));
    }

    /// A connection came up.
    pub fn opened(&self, connection: ConnectionId, peer: String) {
        self.server.borrow_mut().opened(connection, peer);
    }

    /// A connection has ended.
    pub fn closed(&self, connection: ConnectionId) {
        self.server.borrow_mut().closed(connection);
    }

    /// A frame came on a connection.
    pub fn received(&self, connection: ConnectionId, frame: Frame) {
        self.server.borrow_mut().received(connection, frame, self.clock.now());
    }

    /// What came on a connection is no frame.
    pub fn broken(&self, connection: ConnectionId, problem: &str) {
        self.server.borrow_mut().broken(connection, problem);
    }

    /// What is to be written on a connection; taken off as it is written.
    pub fn write_buffer<T>(
        &self,
        connection: ConnectionId,
        write: impl FnOnce(&mut BytesMut) -> T,
    ) -> Option<T> {
        self.server.borrow_mut().write_buffer(connection).map(write)
    }

    /// Looks at the server's state.
    pub fn look<T>(&self, look: impl FnOnce(&Server) -> T) -> T {
        look(&self.server.borrow())
    }

    /// Jobs that are open.
    pub fn open_jobs(&self) -> usize {
        self.server.borrow().jobs.len()
    }

    /// Does all that follows from what has just happened, until nothing more follows, and tells what is left to be
    /// done. A grab is answered only when the decisions have had their word on all that came before it.
    pub fn turn(&self) -> Vec<SocketAction> {
        let mut actions = Vec::new();
        while self.perform_effects(&mut actions) | self.execute_orders() | self.pass_on_answers()
            || self.server.borrow_mut().answer_grabs(self.clock.now())
        {}
        let with_output = self.server.borrow_mut().take_with_output();
        actions.extend(with_output.into_iter().map(SocketAction::Write));
        actions
    }

    /// False where there was nothing to do.
    fn perform_effects(&self, actions: &mut Vec<SocketAction>) -> bool {
        let mut any = false;
        loop {
            let effect = self.server.borrow_mut().next_effect();
            let Some(effect) = effect else { return any };
            any = true;
            self.perform(effect, actions);
        }
    }

    /// False where there was nothing to do.
    fn execute_orders(&self) -> bool {
        let mut any = false;
        while let Ok(order) = self.orders.1.borrow_mut().try_recv() {
            any = true;
            self.execute(order);
        }
        any
    }

    /// False where there was nothing to do.
    fn pass_on_answers(&self) -> bool {
        let mut any = false;
        while let Ok((request, answer)) = self.answers.1.borrow_mut().try_recv() {
            any = true;
            self.server.borrow_mut().answered(request, answer, self.clock.now());
        }
        any
    }

    fn perform(&self, effect: Effect, actions: &mut Vec<SocketAction>) {
        match effect {
            Effect::Submit(id) => self.submit(id),
            Effect::Leave(job) => self.broker.client_left(job),
            Effect::Started(attempt) => self.broker.attempt_started(attempt),
            Effect::Progress(attempt, done) => self.broker.attempt_progressed(attempt, done),
            Effect::Streams(attempt) => self.broker.result_streams(attempt),
            Effect::Ended(ended) => {
                self.broker.attempt_ended(ended.id, ended.outcome, ended.result, ended.load);
            }
            Effect::Worker(pool, machine) => self.broker.runners_changed(pool, &[machine]),
            Effect::Load(pool, worker, load) => self.broker.load_reported(pool, &worker, load),
            Effect::Close(connection, closing) => actions.push(SocketAction::Close(connection, closing)),
            Effect::Shutdown => actions.push(SocketAction::ShutDown),
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
            remaining_ms: job.deadline_ms - now,
            slots: 1.0,
            memory: 0.0,
            hint_ms: None,
        };
        let (pool, handle) = (function.pool, String::from_utf8_lossy(&job.handle).into_owned());
        drop(server);
        match self.broker.submit_to(pool, now, &handle, facts, Rc::new(id), &self.answers.0) {
            Ok(request) => self.server.borrow_mut().taken(id, request),
            Err(_) => self.server.borrow_mut().not_taken(id),
        }
    }

    fn execute(&self, order: Order) {
        match order {
            Order::Send(attempt) => {
                let Some(job) = attempt.payload.downcast_ref::<u64>().copied() else { return };
                let (worker, deadline_ms) = (attempt.runner, attempt.deadline_ms);
                let order = AttemptOrder { id: attempt.id, job, pool: attempt.pool, worker, deadline_ms };
                self.server.borrow_mut().start_attempt(&order, self.clock.now());
            }
            Order::Withdraw { attempt } => self.server.borrow_mut().withdraw(attempt),
            Order::WakeAt(pool, at) => drop(self.wakes.borrow_mut().insert(((at * 1e3).ceil() as u64, pool))),
            // Workers come by themselves and listen nowhere.
            Order::AskForList | Order::Probe(_) => {}
        }
    }

    /// When [`Engine::tick`] is to be called next, in whole microseconds.
    pub fn next_wake(&self) -> Option<u64> {
        let server = self.server.borrow().next_wake_ms().map(|at| (at * 1e3).ceil() as u64);
        let pools = self.wakes.borrow().first().map(|(at, _)| *at);
        let poll = (self.open_jobs() > 0).then_some(self.last_polled.get() + POOL_POLL_MICROS);
        server.into_iter().chain(pools).chain(poll).min()
    }

    /// Time has passed.
    pub fn tick(&self) {
        let now = self.clock.now();
        self.server.borrow_mut().tick(now);
        let microseconds = (now * 1e3) as u64;
        let mut due: BTreeSet<Pool> = {
            let mut wakes = self.wakes.borrow_mut();
            let later = wakes.split_off(&(microseconds + 1, Pool::PLATFORM));
            std::mem::replace(&mut *wakes, later).into_iter().map(|(_, pool)| pool).collect()
        };
        if microseconds >= self.last_polled.get() + POOL_POLL_MICROS {
            self.last_polled.set(microseconds);
            due.extend(self.pools.borrow().values());
        }
        due.into_iter().for_each(|pool| self.broker.tick(pool));
    }
}
