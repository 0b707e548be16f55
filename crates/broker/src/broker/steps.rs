//! What the decisions want done, in the order in which they want it.

use ruddervalve::{LoadReport, Outcome, Step};

use super::Broker;
use super::attempts::ChosenRunner;
use super::orders::{AttemptId, Order, Probe};
use super::pool::Pool;
use super::requests::Answer;
use super::table::Table;

impl Broker {
    /// Time has passed for a pool.
    pub fn tick(&self, pool: Pool) {
        let mut table = self.table.borrow_mut();
        let steps = table.facade(pool).tick(self.clock.now());
        self.perform(&mut table, pool, steps);
    }

    /// A runner of a pool tells its load unasked.
    pub fn load_reported(&self, pool: Pool, runner: &str, load: LoadReport) {
        let mut table = self.table.borrow_mut();
        let steps = table.facade(pool).load(self.clock.now(), runner, load);
        self.perform(&mut table, pool, steps);
    }

    /// A probe ended.
    pub fn probed(&self, probe: &Probe, outcome: Outcome, load: Option<LoadReport>) {
        let mut table = self.table.borrow_mut();
        let steps = table.facade(probe.pool).probed(self.clock.now(), &probe.runner, outcome, load);
        self.perform(&mut table, probe.pool, steps);
    }

    /// Only a runner that listens and is neither leaving nor gone is probed.
    fn probe(&self, table: &mut Table, pool: Pool, runner: String) {
        let listed = table.pools[pool.0].runners.get(&runner);
        match listed.filter(|listed| listed.is_ready()).and_then(|listed| listed.address) {
            Some(address) => table.order(pool, Order::Probe(Probe { pool, runner, address })),
            None => {
                let steps = table.facade(pool).probed(self.clock.now(), &runner, Outcome::Skipped, None);
                self.perform(table, pool, steps);
            }
        }
    }

    /// Does what the decisions of a pool want. Orders go out in the order of the steps.
    pub(super) fn perform(&self, table: &mut Table, pool: Pool, steps: Vec<Step>) {
        for step in steps {
            match step {
                Step::Claim { job: request, claim: number, machine, once, by_ms } => {
                    let id = AttemptId { request, number };
                    self.order_attempt(table, ChosenRunner { id, runner: machine, run_once: once, by_ms });
                }
                Step::Withdraw { job: request, claim: number } => {
                    table.order(pool, Order::Withdraw { attempt: AttemptId { request, number } });
                }
                Step::Refuse { job, wait_ms } => self.answer(table, job, Answer::Refused { wait_ms }),
                Step::Fail { job } => {
                    let unusable = table.requests.get(&job).is_some_and(|open| open.unusable);
                    self.answer(table, job, if unusable { Answer::Unusable } else { Answer::Failed });
                }
                Step::AskForList => table.order(pool, Order::AskForList),
                Step::Probe { machine } => self.probe(table, pool, machine),
                Step::WakeAt(at) => table.order(pool, Order::WakeAt(pool, at)),
                Step::Say(line) => self.counters.log(self.clock.now(), line),
            }
        }
    }
}
