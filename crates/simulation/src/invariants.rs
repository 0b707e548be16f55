//! What must hold after each step of a process.

use std::collections::{BTreeMap, BTreeSet};

use ruddervalve_protocol::ReplicaId;

use crate::network::Life;
use crate::world::World;

/// Leases are compared at every so many events: each comparison looks at all machines.
const LEASE_CHECK_STEPS: u64 = 4;

impl World {
    /// What must hold after each step of a process.
    pub fn check_process(&mut self, process: Life) {
        let now = self.now;
        let Some(host) = self.hosts.get_mut(process.machine) else { return };
        let Some(running) = &host.process else { return };
        if let Some(edge) = running.edge() {
            let version = edge.configuration().map_or(0, |configuration| configuration.version());
            let before = std::mem::replace(&mut host.version, version);
            if version != before {
                self.trace.line(now, || format!("{} has configuration {version} in force", host.place.name));
            }
            if version < before {
                let text = format!("{} goes back from version {before} to {version}", host.place.name);
                self.checks.fail(now, "CONFIG", text);
            }
        }
        let follows_changes = self.scenario.phases.membership_part > 0.0;
        let mut steps = 0;
        if let Some(replicas) = running.host() {
            let identity = replicas.identity().0;
            for group in replicas.groups() {
                let Some(replica) = replicas.replica(group) else { continue };
                let members = replica.membership();
                let keeps = self.trace.keeps();
                if (keeps || follows_changes) && host.members.get(&group) != Some(members) {
                    let is_step = replica.role() == ruddervalve_consensus::Role::Leader;
                    steps += u32::from(is_step && host.members.contains_key(&group));
                    let (name, term) = (&host.place.name, replica.term());
                    let short = |ids: &[ReplicaId]| ids.iter().map(|id| id.0 % 10_000).collect::<Vec<_>>();
                    let text = format!(
                        "{name} {}: group {} has {:?} and learners {:?} at index {} term {term} {:?}",
                        identity % 10_000,
                        group.0,
                        short(&members.voters),
                        short(&members.learners),
                        replica.last_index(),
                        replica.role()
                    );
                    self.trace.line(now, || text);
                    host.members.insert(group, members.clone());
                }
                if replica.role() == ruddervalve_consensus::Role::Leader {
                    self.checks.leads(now, group.0, replica.term(), identity);
                }
            }
        }
        if let Some(coordinator) = running.coordinator()
            && let Some(update) = coordinator.state().configuration()
        {
            self.operator.committed.entry(update.version).or_insert_with(|| update.body.as_slice().to_vec());
            let is_same = self
                .operator
                .committed
                .get(&update.version)
                .is_some_and(|body| body == update.body.as_slice());
            if !is_same {
                self.checks.fail(now, "CONFIG", format!("version {} has two bodies", update.version));
            }
        }
        self.check_leases();
        for _ in 0..steps {
            self.membership_changes(process.machine);
        }
        self.check_protocol(process);
    }

    /// At most one process holds a leader's lease of a group.
    fn check_leases(&mut self) {
        if !self.steps.is_multiple_of(LEASE_CHECK_STEPS) {
            return;
        }
        let now = self.now;
        let mut holders: BTreeMap<u32, BTreeSet<u64>> = BTreeMap::new();
        for host in &self.hosts {
            let Some(replicas) = host.process.as_ref().and_then(|process| process.host()) else { continue };
            for group in replicas.groups() {
                let holds =
                    replicas.replica(group).is_some_and(|replica| replica.lease_valid(now - host.started));
                if holds {
                    holders.entry(group.0).or_default().insert(replicas.identity().0);
                }
            }
        }
        for (group, holders) in holders {
            self.checks.lease_holders(now, group, &holders);
        }
    }
}
