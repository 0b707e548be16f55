//! The faults themselves.

use rand::Rng as _;

use crate::event::Event;
use crate::faults::{Fault, LONGEST_HERD_MS, SHORTEST_MS};
use crate::network::Machine;
use crate::places::{GRACE_MS, Role};
use crate::world::World;

const LONGEST_DOWN_MS: u64 = 4_000;
const LONGEST_FREEZE_MS: u64 = 5_000;
/// A write has about so many operations at which the power may go.
const OPERATIONS_OF_A_WRITE: u64 = 2;

impl World {
    pub fn kill(&mut self, machine: Machine) {
        let down = self.fault_random.random_range(SHORTEST_MS..LONGEST_DOWN_MS);
        self.kill_for(machine, down);
    }

    pub fn kill_for(&mut self, machine: Machine, down: u64) {
        self.line(|| format!("FAULT machine {machine} is killed, back in {down}"));
        let trouble = self.trouble(false);
        self.lose_until(machine, self.now + down);
        self.end_process(machine, false);
        if let Some(host) = self.hosts.get_mut(machine) {
            host.disk.kill();
        }
        self.after(down, Event::Fault(Fault::PowerOn(machine, Some(trouble))));
    }

    pub fn power_off(&mut self, machine: Machine, loses_disk: bool) {
        let down = self.fault_random.random_range(SHORTEST_MS..LONGEST_DOWN_MS);
        self.power_off_for(machine, down, loses_disk);
    }

    pub fn power_off_for(&mut self, machine: Machine, down: u64, loses_disk: bool) {
        self.line(|| {
            format!("FAULT machine {machine} loses power, and its disk {loses_disk}, back in {down}")
        });
        let trouble = self.trouble(false);
        self.lose_until(machine, self.now + down);
        self.end_process(machine, true);
        let during = self.fault_random.random_bool(0.5);
        let step = during.then(|| self.fault_random.random_range(0..OPERATIONS_OF_A_WRITE));
        let seed = self.fault_random.random();
        let new_disk = loses_disk.then(|| self.new_disk());
        if let Some(host) = self.hosts.get_mut(machine) {
            host.has_power = false;
            host.disk.lose_power(step, seed);
            if let Some(disk) = new_disk {
                host.disk = disk;
            }
        }
        self.after(down, Event::Fault(Fault::PowerOn(machine, Some(trouble))));
    }

    pub fn freeze(&mut self, machine: Machine) {
        let lasts = self.fault_random.random_range(SHORTEST_MS..LONGEST_FREEZE_MS);
        let Some(host) = self.hosts.get_mut(machine) else { return };
        if host.is_frozen {
            return;
        }
        host.is_frozen = true;
        let life = host.life;
        self.line(|| format!("FAULT machine {machine} stands still for {lasts}"));
        let trouble = self.trouble(false);
        self.lose_until(machine, self.now + lasts);
        self.after(lasts, Event::Fault(Fault::Thaw(machine, life, trouble)));
    }

    pub fn resets(&mut self, machine: Machine) {
        self.line(|| format!("FAULT connections of machine {machine} are reset"));
        let trouble = self.trouble(false);
        self.reset_connections(machine);
        self.after(SHORTEST_MS, Event::Fault(Fault::TroubleOver(trouble)));
    }

    /// Planned work: a machine is stopped and started again.
    pub fn term(&mut self, machine: Machine) {
        let is_there = self.running(machine).is_some();
        if !is_there || self.hosts.get(machine).is_none_or(|host| host.is_frozen || host.is_ending) {
            return;
        }
        let trouble = self.trouble(true);
        self.lose_until(machine, self.now + GRACE_MS);
        self.terminate(machine);
        let start = Fault::StartAfterEnd { machine, trouble, lost_bound: self.lost_bound(machine) };
        self.after(SHORTEST_MS, Event::Fault(start));
    }

    pub fn herd_kill(&mut self, role: Role) {
        for machine in self.machines(role) {
            if self.running(machine).is_some() {
                let down = self.fault_random.random_range(SHORTEST_MS..LONGEST_HERD_MS);
                self.kill_for(machine, down);
            }
        }
    }

    pub fn all_power(&mut self) {
        if self.is_whole() {
            self.power_all(false);
        }
    }

    /// All machines of a drawn zone lose power, unless something counts as lost. Nothing else is lost until they count again.
    pub fn zone_power(&mut self) {
        let zone = self.fault_random.random_range(0..self.scenario.zones);
        if !self.is_whole() {
            return;
        }
        self.line(|| format!("FAULT zone {zone} loses power"));
        let down = self.fault_random.random_range(SHORTEST_MS..LONGEST_DOWN_MS);
        for machine in 0..self.hosts.len() {
            let is_there =
                self.hosts.get(machine).is_some_and(|host| host.exists() && host.place.zone == zone);
            if is_there && self.running(machine).is_some() {
                self.power_off_for(machine, down, false);
            }
        }
    }

    /// Something was acknowledged just now.
    pub fn has_acknowledged(&mut self) {
        if std::mem::take(&mut self.loses_power_at_ack) && self.now < self.last_fault_at() {
            let wait = self.fault_random.random_range(0..3);
            self.after(wait, Event::Fault(Fault::AllPower));
        }
    }

    /// As many machines as the tolerance allows lose their disks, and all others lose power with them.
    pub fn lose_disks_and_power(&mut self) {
        for _ in 0..self.scenario.tolerance {
            let down = self.drawn_herd_time();
            self.on_spare_machine(|world, machine| world.power_off_for(machine, down, true));
        }
        for machine in 0..self.hosts.len() {
            if self.exists(machine) && self.running(machine).is_some() {
                let down = self.drawn_herd_time();
                self.power_off_for(machine, down, false);
            }
        }
    }

    /// How long a machine is down that has lost power with all others, in milliseconds.
    fn drawn_herd_time(&mut self) -> u64 {
        self.fault_random.random_range(SHORTEST_MS..LONGEST_HERD_MS * 2)
    }

    pub fn power_all(&mut self, with_edges: bool) {
        for machine in 0..self.hosts.len() {
            if self.exists(machine) && (with_edges || !self.is_edge(machine)) {
                let down = self.drawn_herd_time();
                self.power_off_for(machine, down, false);
            }
        }
    }
}
