//! Owns the request table: which requests are open, who waits for their answers, which pool of runners serves them,
//! where runners listen, and whether the dispatcher serves, is drained or ends. It alone calls the decisions, of which
//! each pool has its own, and it alone gives final answers, one for each request. It must never speak a protocol or
//! open a socket, so that any front can hand it requests; what is to be sent leaves it as orders.

mod attempts;
pub mod lifecycle;
pub mod list;
pub mod orders;
pub mod pool;
pub mod requests;
mod steps;
mod table;

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

use ruddervalve::{Facade, Learnt, ListKind, Names, Settings, SettingsError};
use tokio::sync::{mpsc, watch};

use self::lifecycle::LifecycleState;
use self::list::ListUpdate;
use self::orders::Order;
use self::pool::{Pool, RunnerPool};
use self::table::Table;
use crate::clock::Clock;
use crate::counters::Counters;

/// The request table.
pub struct Broker {
    table: RefCell<Table>,
    clock: Clock,
    counters: Rc<Counters>,
    /// Of the list of runners.
    version: watch::Sender<u64>,
    /// A list of runners was had.
    ready: watch::Sender<bool>,
    lifecycle: watch::Sender<LifecycleState>,
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
            pools: vec![RunnerPool { facade, orders, runners: BTreeMap::new() }],
            requests: BTreeMap::new(),
            platform_requests: 0,
            ids: BTreeSet::new(),
            next_request: 0,
        };
        let broker = Self {
            table: RefCell::new(table),
            clock,
            counters,
            version: watch::Sender::new(0),
            ready: watch::Sender::new(false),
            lifecycle: watch::Sender::new(LifecycleState::Serving),
        };
        (Rc::new(broker), receiver)
    }

    /// A further pool, with decisions of its own, whose orders go to `orders`.
    pub fn add_pool(&self, facade: Facade, orders: mpsc::UnboundedSender<Order>) -> Pool {
        let mut table = self.table.borrow_mut();
        table.pools.push(RunnerPool { facade, orders, runners: BTreeMap::new() });
        let pool = Pool(table.pools.len() - 1);
        let steps = table.facade(pool).tick(self.clock.now());
        self.perform(&mut table, pool, steps);
        pool
    }

    /// Whether a class goes by this name.
    pub fn knows_class(&self, name: &str) -> bool {
        self.table.borrow().platform().facade.knows_class(name)
    }

    /// Whether a tenant goes by this name.
    pub fn knows_tenant(&self, name: Option<&str>) -> bool {
        self.table.borrow().platform().facade.knows_tenant(name)
    }

    /// A request of a class was refused before it was taken in.
    pub fn count_refused(&self, class: &str) {
        self.counters.count_answer(class, |answered| answered.refused += 1);
    }

    /// How many of the platform's requests are open.
    pub fn open_requests(&self) -> usize {
        self.table.borrow().platform_requests
    }

    /// Takes new settings for the decisions. Requests, attempts and what was learnt of runners stay; what the list in
    /// hand says of runners is read by the new names.
    ///
    /// # Errors
    ///
    /// Settings that cannot be used; those in force stay.
    pub fn reconfigure(&self, pool: Pool, settings: Settings, names: Names) -> Result<(), SettingsError> {
        self.table.borrow_mut().facade(pool).reconfigure(settings, names)?;
        self.apply_list_again(pool);
        if pool == Pool::PLATFORM {
            let table = self.table.borrow();
            table.platform().facade.classes().iter().for_each(|class| self.counters.show_class(class));
        }
        self.tick(pool);
        Ok(())
    }

    /// Requests of a class of a pool are expected to run for so long, until runs are seen.
    pub fn expect_run(&self, pool: Pool, class: &str, run_ms: f64) {
        self.table.borrow_mut().facade(pool).expect(class, run_ms);
    }

    /// What was learnt so far.
    pub fn learnt(&self) -> Learnt {
        self.table.borrow().platform().facade.learnt()
    }

    /// Goes on from the list and what was learnt by an earlier process of this dispatcher. False if that makes no
    /// sense: then nothing of it is taken.
    pub fn inherit(&self, update: ListUpdate, learnt: &Learnt) -> bool {
        // What is learnt is learnt of listed runners: checked on a list that could be put back would be no simpler.
        if !update.full || update.machines.is_empty() || !learnt.sound(self.clock.now()) {
            return false;
        }
        self.list_received(ListKind::Cached, update);
        self.table.borrow_mut().facade(Pool::PLATFORM).inherit(self.clock.now(), learnt)
    }

    /// Another process of this dispatcher has come to take its place, or has gone again.
    pub fn set_successor(&self, has_successor: bool) {
        self.table.borrow_mut().facade(Pool::PLATFORM).succeeded(has_successor);
    }
}

#[cfg(test)]
mod tests;
