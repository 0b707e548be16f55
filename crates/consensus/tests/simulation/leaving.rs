//! Replicas that leave the group once they are told of their removal, and former members that join again.

use rand::Rng;
use rand::seq::IndexedRandom;
use ruddervalve_protocol::ReplicaId;

use crate::cluster::{Cluster, awake};

/// How often a former member is taken rather than a new replica, if there is one.
const FORMER_MEMBERS: f64 = 0.6;
/// The longest time until a process that left takes part again; ms.
const LONGEST_ABSENCE_MS: u64 = 300;

impl Cluster {
    /// A replica that was told of its removal drops what it has, but for what elections need. After that it answers whoever
    /// asks: a host would wait for a leader, so this is the harder case.
    pub fn leave(&mut self, place: usize) {
        let restart_at = self.now + self.random.random_range(1..LONGEST_ABSENCE_MS);
        let node = &mut self.nodes[place];
        let Some(running) = node.running.take() else { return };
        let record = running.replica.election_record();
        node.disk.leave(record);
        node.restart_at = Some(restart_at);
        self.checks.hard_state_written(node.id, record.hard_state);
        self.checks.left += 1;
    }

    /// Begins a replacement where none is open, and lets all ask the leader whether they belong to the group.
    pub fn press_replacements(&mut self) {
        if !self.plan.leavings {
            return;
        }
        self.begin_replacement();
        let Some(leader) = self.leader().map(|place| self.nodes[place].id) else { return };
        for place in 0..self.nodes.len() {
            let now = self.now;
            let Some(running) = awake(&mut self.nodes[place], now) else { continue };
            running.replica.inquire(now + running.clock_offset, leader);
            self.drain(place);
        }
    }

    /// A replica that is no member any more and whose disk is not lost, whether it has left already or not.
    pub fn former_member(&mut self, members: &[ReplicaId]) -> Option<ReplicaId> {
        if !self.random.random_bool(FORMER_MEMBERS) {
            return None;
        }
        let is_former = |node: &&crate::node::Node| {
            !members.contains(&node.id) && (node.running.is_some() || node.restart_at.is_some())
        };
        let former: Vec<ReplicaId> = self.nodes.iter().filter(is_former).map(|node| node.id).collect();
        former.choose(&mut self.random).copied()
    }
}
