//! The list of runners.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use ruddervalve::{Availability, ListKind, Machine};
use tokio::sync::watch;

use super::Broker;
use super::pool::{ListedRunner, Pool};

/// A list of runners, or changes of one.
#[derive(Debug, Clone, PartialEq)]
pub struct ListUpdate {
    /// The version that the list has with it.
    pub version: u64,
    /// The whole list, not only changes.
    pub full: bool,
    /// The runners.
    pub machines: Vec<Machine>,
    /// Where each of them listens.
    pub addresses: BTreeMap<String, SocketAddr>,
    /// What could not be read of them, a line each.
    pub faults: Vec<String>,
}

impl Broker {
    /// Whether requests can be served: a list of runners was had.
    pub fn ready(&self) -> bool {
        *self.ready.borrow()
    }

    /// Waits until requests can be served.
    pub async fn until_ready(&self) {
        // The sender lives in here.
        let _ = self.ready.subscribe().wait_for(|ready| *ready).await;
    }

    /// How many runners are on the list of runners.
    pub fn runner_count(&self) -> usize {
        self.table.borrow().platform().runners.len()
    }

    /// How many of them the decisions avoid at present.
    pub fn out_of_rotation(&self) -> usize {
        self.table.borrow().platform().facade.out_of_rotation()
    }

    /// The version of the list of runners in hand, now and when it changes.
    pub fn list_version(&self) -> watch::Receiver<u64> {
        self.version.subscribe()
    }

    /// The list of runners in hand, whole.
    pub fn list_in_hand(&self) -> ListUpdate {
        let table = self.table.borrow();
        let runners = &table.platform().runners;
        let addresses = runners.iter().filter_map(|(name, runner)| Some((name.clone(), runner.address?)));
        ListUpdate {
            version: *self.version.borrow(),
            full: true,
            machines: runners.values().map(|runner| runner.machine.clone()).collect(),
            addresses: addresses.collect(),
            faults: Vec::new(),
        }
    }

    /// A list that another process of this dispatcher has in hand, taken if it is newer, or if the one in hand is, like
    /// it, from before any version.
    pub fn list_from_other_process(&self, update: ListUpdate) {
        let in_hand = *self.version.borrow();
        // Told back and forth, the same list changes nothing.
        let before_any = in_hand == 0 && update != self.list_in_hand();
        if update.full && (update.version > in_hand || before_any) {
            self.list_received(ListKind::Cached, update);
        }
    }

    /// Takes the list of runners or changes of it.
    pub fn list_received(&self, kind: ListKind, update: ListUpdate) {
        self.counters.count("list", if kind == ListKind::Changes { "changes" } else { "whole" });
        for fault in &update.faults {
            self.counters.count("list", "machines_not_read");
            self.counters.log(self.clock.now(), format_args!("machine list: {fault}"));
        }
        let listed = |machine: &Machine| update.addresses.get(&machine.name).copied().map(Some);
        self.apply_list(Pool::PLATFORM, kind, &update.machines, listed);
        if !update.machines.is_empty() {
            self.ready.send_replace(true);
        }
        self.version.send_replace(update.version);
    }

    /// Runners of a pool have come, changed or gone: runners that come to the dispatcher by themselves and listen
    /// nowhere.
    pub fn runners_changed(&self, pool: Pool, machines: &[Machine]) {
        self.apply_list(pool, ListKind::Changes, machines, |_| Some(None));
    }

    pub(super) fn apply_list_again(&self, pool: Pool) {
        let mut table = self.table.borrow_mut();
        let machines: Vec<Machine> =
            table.pools[pool.0].runners.values().map(|runner| runner.machine.clone()).collect();
        if !machines.is_empty() {
            let steps = table.facade(pool).list(self.clock.now(), ListKind::Cached, &machines);
            self.perform(&mut table, pool, steps);
        }
    }

    /// `listed` tells where a runner listens, or that no request can be sent to it.
    fn apply_list(
        &self,
        pool: Pool,
        kind: ListKind,
        machines: &[Machine],
        listed: impl Fn(&Machine) -> Option<Option<SocketAddr>>,
    ) {
        let mut table = self.table.borrow_mut();
        let runners = &mut table.pools[pool.0].runners;
        if kind != ListKind::Changes {
            runners.clear();
        }
        for machine in machines {
            // Runners come and go for as long as the program runs: what is gone is forgotten.
            match listed(machine) {
                Some(address) if machine.availability != Availability::Gone => {
                    runners.insert(machine.name.clone(), ListedRunner { machine: machine.clone(), address });
                }
                _ => drop(runners.remove(&machine.name)),
            }
        }
        let steps = table.facade(pool).list(self.clock.now(), kind, machines);
        self.perform(&mut table, pool, steps);
    }

    /// A call for the list was answered, and nothing has changed.
    pub fn list_unchanged(&self) {
        self.apply_list(Pool::PLATFORM, ListKind::Changes, &[], |_| None);
    }

    /// A call for the list failed or the watch on it ended; `again`: as the one before did, which was told. What was
    /// missed counts as told at `told_ms`, heard or not.
    pub fn list_failed(&self, problem: &str, again: bool, told_ms: f64) {
        self.counters.count("list", "failed");
        if again {
            return;
        }
        self.counters.log(self.clock.now(), format_args!("machine list: {problem}"));
        let mut table = self.table.borrow_mut();
        let steps = table.facade(Pool::PLATFORM).list_failed(self.clock.now(), told_ms);
        self.perform(&mut table, Pool::PLATFORM, steps);
    }
}
