//! Disks that stall, are slow or are full, and steps of the time of day.

use rand::Rng as _;

use crate::event::Event;
use crate::faults::{Fault, SHORTEST_MS};
use crate::network::Machine;
use crate::world::World;

/// What a disk does not do.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DiskTrouble {
    Stalls,
    IsSlow,
    IsFull,
}

impl World {
    /// A machine's disk, and that of all that shares the machine, is in trouble for a while.
    pub fn disk_trouble(&mut self, machine: Machine, kind: DiskTrouble) {
        let lasts =
            self.fault_random.random_range(SHORTEST_MS..=self.scenario.disks.lasts_ms.max(SHORTEST_MS));
        let factor = self.scenario.disks.slow_factor;
        let until = self.now + lasts;
        let machines = self.mates(machine);
        self.line(|| format!("FAULT the disk of machines {machines:?} {kind:?} for {lasts}"));
        let trouble = self.trouble(false);
        for mate in &machines {
            self.lose_until(*mate, until);
            let Some(host) = self.hosts.get_mut(*mate) else { continue };
            match kind {
                DiskTrouble::Stalls => host.disk.stalls_until = until,
                DiskTrouble::IsSlow => host.disk.slowness = factor,
                DiskTrouble::IsFull => host.disk.fill(),
            }
        }
        self.after(lasts, Event::Fault(Fault::DiskWell { machines, trouble }));
    }

    /// The disks of machines do their work again.
    pub fn disk_well(&mut self, machines: &[Machine], trouble: usize) {
        for machine in machines {
            if let Some(host) = self.hosts.get_mut(*machine) {
                host.disk.recover();
            }
        }
        self.line(|| format!("healed: the disks of machines {machines:?}"));
        self.checks.trouble_ends(trouble, self.now);
    }

    /// The time of day of a machine jumps.
    pub fn clock_step(&mut self, machine: Machine) {
        let most = i64::try_from(self.scenario.disks.clock_step_ms).unwrap_or(i64::MAX);
        let step = self.fault_random.random_range(-most..=most);
        self.line(|| format!("FAULT the time of day of machine {machine} jumps by {step}"));
        self.checks.clocks_jump = true;
        let trouble = self.trouble(false);
        if let Some(host) = self.hosts.get_mut(machine) {
            host.wall_offset += step;
            if let Some(process) = &mut host.process {
                process.step_clock(step);
            }
        }
        self.lose_until(machine, self.now);
        self.after(SHORTEST_MS, Event::Fault(Fault::TroubleOver(trouble)));
    }
}
