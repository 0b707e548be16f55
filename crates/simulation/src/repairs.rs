//! How long it takes until nothing is missing any more after a machine was replaced.

use std::collections::BTreeMap;

use ruddervalve_consensus::{Replica, Role};
use ruddervalve_protocol::{GroupId, ReplicaId};

use crate::event::Event;
use crate::faults::Fault;
use crate::world::World;

/// Repairs are looked at so often, in milliseconds.
const LOOK_EVERY_MS: u64 = 50;

/// What came of the repairs of a history.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Repairs {
    /// From a successor's start until each group has all its voters again, all of them living and with full copies; in
    /// milliseconds.
    pub took_ms: Vec<u64>,
    /// Repairs during which something else was lost.
    pub cut_short: u32,
    /// Repairs that had not ended at the end of the day, though nothing else was lost.
    pub unended: u32,
}

impl World {
    /// A machine is gone, whose successor has started at `from`.
    pub fn watch_repair(&mut self, from: u64) {
        self.repairs.unended += 1;
        self.look_again(from, self.checks.troubles_begun());
    }

    fn look_again(&mut self, from: u64, troubles: usize) {
        self.after(LOOK_EVERY_MS, Event::Fault(Fault::LookAtRepair { from, troubles }));
    }

    /// Looks whether a repair is done.
    pub fn look_at_repair(&mut self, from: u64, troubles: usize) {
        if self.is_repaired() {
            let took = self.now - from;
            self.line(|| format!("all groups are whole {took} after the start of the successor"));
            self.repairs.took_ms.push(took);
            self.repairs.unended -= 1;
        } else if self.checks.troubles_begun() > troubles {
            self.repairs.cut_short += 1;
            self.repairs.unended -= 1;
        } else {
            self.look_again(from, troubles);
        }
    }

    /// Whether each group has as many voters as the tolerance asks for, all of them living and with full copies.
    fn is_repaired(&self) -> bool {
        let mut whole: BTreeMap<GroupId, bool> = BTreeMap::new();
        for host in &self.hosts {
            let Some(replicas) = host.process.as_ref().and_then(|process| process.host()) else { continue };
            for group in replicas.groups() {
                let is_whole = replicas.replica(group).is_some_and(|replica| self.is_whole_group(replica));
                *whole.entry(group).or_default() |= is_whole;
            }
        }
        whole.values().all(|is_whole| *is_whole)
    }

    fn is_whole_group(&self, replica: &Replica) -> bool {
        let voters = &replica.membership().voters;
        let wanted = 2 * self.scenario.tolerance as usize + 1;
        let is_full = |voter: &ReplicaId| *voter == replica.id() || replica.is_caught_up(*voter);
        replica.role() == Role::Leader
            && replica.membership_committed()
            && voters.len() == wanted
            && voters.iter().all(|voter| self.is_living(*voter) && is_full(voter))
    }

    /// Whether a process with this disk runs.
    pub fn is_living(&self, replica: ReplicaId) -> bool {
        let lives = |host: &crate::host::Host| {
            let replicas = host.process.as_ref().and_then(|process| process.host());
            !host.is_frozen && replicas.is_some_and(|replicas| replicas.identity() == replica)
        };
        self.hosts.iter().any(lives)
    }
}
