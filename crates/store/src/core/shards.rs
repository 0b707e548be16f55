//! The shards between consensus and edges.

use std::ops::Bound::{Excluded, Included, Unbounded};

use ruddervalve_consensus::{Payload, Role};
use ruddervalve_protocol::{GroupId, StoreToEdge};
use ruddervalve_replication::GroupChange;

use super::{StoreCore, StoreOutput, shard_settings};
use crate::error::StoreError;
use crate::shard::{Shard, ShardOutput};

/// Whether a shard still belongs to this store is asked again after this part of `LivenessMs`.
const INQUIRIES_PER_LIVENESS: u64 = 2;

impl StoreCore {
    /// Works out all that events led to.
    ///
    /// # Errors
    /// A snapshot cannot be read: the process has to end.
    pub fn settle(&mut self, now: u64, wall: u64) -> Result<(), StoreError> {
        self.replicas.host.tick(now);
        loop {
            let changes = self.replicas.flush();
            let idle = changes.is_empty();
            for change in changes {
                self.apply_change(now, wall, change)?;
            }
            self.update_leaderships(now);
            self.inquire(now);
            let proposed = self.poll(now);
            let membership_changed = self.care(now);
            if idle && !proposed && !membership_changed {
                break;
            }
        }
        Ok(())
    }

    fn apply_change(&mut self, now: u64, wall: u64, change: GroupChange) -> Result<(), StoreError> {
        match change {
            GroupChange::Restored(group, snapshot) => {
                let restored = self.shard(group, now, wall).restore(now, snapshot.index, &snapshot.data);
                restored.map_err(|_| StoreError::Damaged(group.0))?;
            }
            GroupChange::Committed(group, entries) => {
                if entries.iter().any(|entry| matches!(entry.payload, Payload::Membership(_))) {
                    self.care_soon();
                }
                let may_lease = self.may_lease(group, now);
                self.shard(group, now, wall);
                if let Some(shard) = self.shards.get_mut(&group) {
                    shard.apply(now, entries, may_lease, &mut self.windows);
                }
            }
            GroupChange::RoleChanged(group) => {
                self.shard(group, now, wall);
            }
            GroupChange::Left(group) => self.drop_shard(group),
            GroupChange::SnapshotWanted(group, to) => {
                let snapshot = self.shard(group, now, wall).snapshot();
                self.replicas.host.send_snapshot(now, group, to, snapshot);
            }
        }
        Ok(())
    }

    /// The shard of a group; one that this process has joined begins empty.
    fn shard(&mut self, group: GroupId, now: u64, wall: u64) -> &mut Shard {
        let settings = &self.settings;
        let new = || Shard::new(group, shard_settings(settings), now, wall, 0);
        self.shards.entry(group).or_insert_with(new)
    }

    /// Forgets a shard that this store holds no more.
    fn drop_shard(&mut self, group: GroupId) {
        self.steady.remove(&group);
        self.members_told.remove(&group);
        self.handing_over.remove(&group);
        let Some(mut shard) = self.shards.remove(&group) else { return };
        shard.leave_office();
        self.send_outputs(shard.outputs());
        if self.leading.iter().any(|(led, _)| *led == group) {
            self.leading.retain(|(led, _)| *led != group);
            self.send_all(&StoreToEdge::Leading { groups: self.leading.clone() });
        }
        tracing::info!(group = group.0, "a shard that is held elsewhere is dropped");
    }

    /// Asks the stores that are to hold a shard whether this one still does, where no leader was heard of late: it may have
    /// been removed while it was away, and those that it knows as members may have been, too.
    fn inquire(&mut self, now: u64) {
        if now < self.inquire_at {
            return;
        }
        self.inquire_at = now + (self.settings.bounds.liveness_ms / INQUIRIES_PER_LIVENESS).max(1);
        for placement in &self.directory.shards {
            let stores = self.directory.stores.iter();
            let holders = stores.filter(|store| placement.wanted.contains(&store.node));
            let holders = holders.map(|store| store.replica);
            self.replicas.host.inquire(now, placement.group, holders);
        }
    }

    /// Begins and ends the leadership of shards as consensus says.
    fn update_leaderships(&mut self, now: u64) {
        let mut changed = false;
        for (group, shard) in &mut self.shards {
            let Some(replica) = self.replicas.host.replica(*group) else { continue };
            let leads = replica.role() == Role::Leader;
            let term = replica.term();
            if shard.office().is_some_and(|led_term| !leads || led_term != term) {
                shard.leave_office();
                self.steady.remove(group);
                self.members_told.remove(group);
                changed = true;
            }
            if shard.office().is_none() && leads && replica.lease_valid(now) {
                let policy = self.policy.clone();
                shard.take_office(now, term, policy, self.seeds.next(), self.edges.sessions());
                tracing::info!(
                    group = group.0,
                    term,
                    pending = shard.state().pending_count(),
                    "leads a shard"
                );
                changed = true;
            }
        }
        if changed {
            self.care_soon();
            let led = self.shards.iter().filter_map(|(group, shard)| Some((*group, shard.office()?)));
            self.leading = led.collect();
            self.send_all(&StoreToEdge::Leading { groups: self.leading.clone() });
        }
    }

    /// Polls all shards that are led; true if something was proposed. Where there is no room for more messages on
    /// connections, the shards take turns at being the first that gets what comes free.
    fn poll(&mut self, now: u64) -> bool {
        self.send_bodies(now, true);
        let proposed = self.poll_shards(now);
        self.send_bodies(now, false);
        proposed
    }

    fn poll_shards(&mut self, now: u64) -> bool {
        let mut proposed = false;
        let mut outputs = Vec::new();
        let mut last_granted = None;
        let mut ran_out = false;
        let from_first = (Included(self.first_polled), Unbounded);
        let before_first = (Unbounded, Excluded(self.first_polled));
        for groups in [from_first, before_first] {
            for (group, shard) in self.shards.range_mut(groups) {
                let replica = self.replicas.host.replica(*group);
                if replica.is_some_and(|replica| replica.lease_valid(now)) {
                    let host = &mut self.replicas.host;
                    shard.poll(now, &mut self.windows, &mut |command| {
                        let index = host.replica_mut(*group)?.propose(now, command).ok()?;
                        proposed = true;
                        Some(index)
                    });
                    let used = shard.room_use();
                    ran_out |= used.ran_out;
                    last_granted = if used.granted { Some(*group) } else { last_granted };
                }
                outputs.extend(shard.outputs());
            }
        }
        if let Some(group) = last_granted.filter(|_| ran_out) {
            self.first_polled = GroupId(group.0.saturating_add(1));
        }
        self.send_outputs(outputs);
        proposed
    }

    fn send_outputs(&mut self, outputs: Vec<ShardOutput>) {
        for ShardOutput::Send(edge, message) in outputs {
            if let Some(number) = self.edges.newest(edge) {
                self.outputs.push(StoreOutput::Edge(number, message));
            }
        }
    }
}
