//! Faults that follow a phase of what processes do, and what strikes a machine at a moment that something else chose.

use rand::Rng as _;
use ruddervalve_consensus::MessageKind;

use crate::event::Event;
use crate::faults::Fault;
use crate::network::{Life, Machine};
use crate::process::Payload;
use crate::world::World;

/// A fault strikes so long after its phase at most, in milliseconds: about a sync and a way.
const LATEST_STRIKE_MS: u64 = 12;

/// What may strike a machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Strike {
    Kill,
    Power,
    LoseDisk,
    Freeze,
    Cut,
    Reset,
}

impl Strike {
    const ALL: [Self; 6] = [Self::Kill, Self::Power, Self::LoseDisk, Self::Freeze, Self::Cut, Self::Reset];
}

impl World {
    /// A step of a membership change was just appended on a leader's machine.
    pub fn membership_changes(&mut self, leader: Machine) {
        self.phase(self.scenario.phases.membership_part, &[leader]);
    }

    /// Messages between replicas are sent: one of them may be a part of a snapshot.
    pub fn look_for_snapshot(&mut self, sender: Life, receiver: Life, payload: &Payload) {
        let Payload::Envelopes(envelopes) = payload else { return };
        if envelopes.iter().any(|envelope| envelope.message.kind() == MessageKind::SnapshotChunk) {
            self.phase(self.scenario.phases.snapshot_part, &[sender.machine, receiver.machine]);
        }
    }

    /// An order has just reached a coordinator.
    pub fn order_is_proposed(&mut self, machine: Machine) {
        self.phase(self.scenario.phases.proposal_part, &[machine]);
    }

    /// An order is just being answered by a coordinator.
    pub fn order_is_answered(&mut self, machine: Machine) {
        self.phase(self.scenario.phases.answer_part, &[machine]);
    }

    /// With some probability something strikes one of those concerned, or any other machine with a disk.
    fn phase(&mut self, part: f64, concerned: &[Machine]) {
        if part <= 0.0 || !self.faults_go_on() || !self.fault_random.random_bool(part) {
            return;
        }
        let disks = self.machines_with_disks();
        let machine = match self.fault_random.random_bool(0.7) {
            true => concerned.get(self.fault_random.random_range(0..concerned.len())).copied(),
            false => disks.get(self.fault_random.random_range(0..disks.len())).copied(),
        };
        let Some(machine) = machine else { return };
        let wait = self.fault_random.random_range(0..=LATEST_STRIKE_MS);
        let strike = self.drawn_strike();
        self.after(wait, Event::Fault(Fault::Strike { machine, strike }));
    }

    pub fn drawn_strike(&mut self) -> Strike {
        let place = self.fault_random.random_range(0..Strike::ALL.len());
        Strike::ALL.get(place).copied().unwrap_or(Strike::Kill)
    }

    /// Something strikes a machine and all that shares it, if the tolerance allows it.
    pub fn strike(&mut self, machine: Machine, strike: Strike) {
        if self.is_edge(machine) || !self.may_strike(machine) {
            return;
        }
        for mate in self.mates(machine) {
            match strike {
                Strike::Kill => self.kill(mate),
                Strike::Power => self.power_off(mate, false),
                Strike::LoseDisk => self.power_off(mate, true),
                Strike::Freeze => self.freeze(mate),
                Strike::Cut => self.cut(mate),
                Strike::Reset => self.resets(mate),
            }
        }
    }
}
