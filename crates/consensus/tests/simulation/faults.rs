//! What goes wrong, and when.

use rand::Rng;
use rand::seq::IndexedRandom;
use ruddervalve_protocol::ReplicaId;

use crate::cluster::Cluster;

impl Cluster {
    /// One fault or disturbance.
    pub fn disturb(&mut self) {
        match self.random.random_range(0..16) {
            0 | 1 => self.crash_one(),
            2 => self.crash_all(),
            3 => self.cut_one_way(),
            4 => self.isolate_one(),
            5 | 6 => self.network.cuts.clear(),
            7 => self.freeze_one(),
            8 | 9 => self.transfer(),
            10 | 11 => self.checkpoint_one(),
            12 => self.lose_connection(),
            13 => self.slow_disks(),
            14 => self.crash_leader(),
            _ => self.begin_replacement(),
        }
    }

    fn any_node(&mut self) -> usize {
        self.random.random_range(0..self.nodes.len())
    }

    fn any_id(&mut self) -> ReplicaId {
        let place = self.any_node();
        self.nodes[place].id
    }

    fn crash(&mut self, place: usize) {
        let restart_at = self.now + self.random.random_range(1..500);
        let survived = self.random.random_range(0..6);
        if self.nodes[place].running.is_some() {
            self.nodes[place].crash(survived, Some(restart_at));
        }
    }

    fn crash_one(&mut self) {
        let place = self.any_node();
        self.crash(place);
    }

    fn crash_leader(&mut self) {
        if let Some(place) = self.leader() {
            self.crash(place);
        }
    }

    fn crash_all(&mut self) {
        for place in 0..self.nodes.len() {
            self.crash(place);
        }
    }

    fn cut_one_way(&mut self) {
        let cut = (self.any_id(), self.any_id());
        self.network.cuts.insert(cut);
    }

    fn isolate_one(&mut self) {
        let lonely = self.any_id();
        for other in self.nodes.iter().map(|node| node.id).filter(|id| *id != lonely) {
            self.network.cuts.insert((lonely, other));
            self.network.cuts.insert((other, lonely));
        }
    }

    fn freeze_one(&mut self) {
        let place = self.any_node();
        let until = self.now + self.random.random_range(20..600);
        if let Some(running) = &mut self.nodes[place].running {
            running.frozen_until = until;
        }
    }

    fn transfer(&mut self) {
        let Some(place) = self.leader() else { return };
        let to = self.random.random_bool(0.5).then(|| self.any_id());
        let now = self.now;
        if let Some(running) = &mut self.nodes[place].running {
            running.replica.transfer_leadership(now + running.clock_offset, to);
        }
        self.drain(place);
    }

    fn checkpoint_one(&mut self) {
        let place = self.any_node();
        self.checkpoint(place);
    }

    fn lose_connection(&mut self) {
        let (place, peer) = (self.any_node(), self.any_id());
        let now = self.now;
        if let Some(running) = &mut self.nodes[place].running {
            running.replica.peer_unreachable(now + running.clock_offset, peer);
        }
        self.drain(place);
    }

    fn slow_disks(&mut self) {
        self.longest_write_ms = *[1, 5, 40, 200].choose(&mut self.random).expect("a choice");
    }
}
