//! The orders of the broker, and the times at which its pools want to be ticked.

use std::collections::BTreeSet;
use std::rc::Rc;

use ruddervalve_broker::{Broker, Clock, LONGEST_WAIT, Order, Pool};
use ruddervalve_http::{Attempts, Probes, RunnerList};
use tokio::sync::mpsc;

/// Those who do what the broker orders for the platform's pool.
pub struct OrderExecutor {
    pub attempts: Rc<Attempts>,
    pub probes: Rc<Probes>,
    pub list: Rc<RunnerList>,
    pub broker: Rc<Broker>,
    pub clock: Clock,
}

impl OrderExecutor {
    /// Does what the broker orders, in its order, for as long as the broker lives.
    pub async fn run(self, mut orders: mpsc::UnboundedReceiver<Order>) {
        let mut wakes = Wakes::default();
        loop {
            let wait = wakes.next_micros().map_or(LONGEST_WAIT, |at| self.clock.until(at as f64 / 1e3));
            tokio::select! {
                biased;
                order = orders.recv() => match order {
                    None => return,
                    Some(order) => self.execute(order, &mut wakes),
                },
                () = tokio::time::sleep(wait) => {
                    let due = wakes.take_due((self.clock.now() * 1e3) as u64);
                    due.into_iter().for_each(|pool| self.broker.tick(pool));
                }
            }
        }
    }

    fn execute(&self, order: Order, wakes: &mut Wakes) {
        match order {
            Order::Send(attempt) => self.attempts.start(attempt),
            Order::Withdraw { attempt } => self.attempts.withdraw(attempt),
            Order::AskForList => self.list.ask(),
            Order::Probe(probe) => self.probes.start(probe),
            Order::WakeAt(pool, at_ms) => wakes.add(pool, at_ms),
        }
    }
}

/// When pools want to be ticked, in whole microseconds, upwards: a wake must not come before its time.
#[derive(Default)]
struct Wakes(BTreeSet<(u64, Pool)>);

impl Wakes {
    fn add(&mut self, pool: Pool, at_ms: f64) {
        self.0.insert(((at_ms * 1e3).ceil() as u64, pool));
    }

    fn next_micros(&self) -> Option<u64> {
        self.0.first().map(|(at, _)| *at)
    }

    /// The pools whose time has come, each once.
    fn take_due(&mut self, now_micros: u64) -> BTreeSet<Pool> {
        let later = self.0.split_off(&(now_micros + 1, Pool::PLATFORM));
        let due = std::mem::replace(&mut self.0, later);
        due.into_iter().map(|(_, pool)| pool).collect()
    }
}
