//! Machines that are added, and stores that the operator has emptied and taken away.

use rand::Rng as _;

use crate::event::Event;
use crate::faults::{Fault, SHORTEST_MS};
use crate::network::Machine;
use crate::operator::Wish;
use crate::places::Role;
use crate::world::World;

/// The operator asks so often how far a retirement is, in milliseconds.
const ASK_EVERY_MS: u64 = 300;

impl World {
    /// An empty machine is added. It counts as lost until it has had its time.
    pub fn add_machine(&mut self) {
        if !self.is_whole() || !self.faults_go_on() {
            return;
        }
        let stores = self.existing_stores();
        let place = self.fault_random.random_range(0..stores.len().max(1));
        let Some(like) = stores.get(place).copied() else { return };
        let mates = self.mates(like);
        self.line(|| format!("a machine like {mates:?} is added"));
        let trouble = self.trouble(true);
        let newcomers = self.newcomers_start(&mates, false);
        let now = self.now;
        newcomers.iter().for_each(|newcomer| self.lose_until(*newcomer, now));
        self.after(SHORTEST_MS, Event::Fault(Fault::TroubleOver(trouble)));
    }

    fn existing_stores(&self) -> Vec<Machine> {
        self.machines(Role::Store).into_iter().filter(|machine| self.exists(*machine)).collect()
    }

    /// The operator orders that a store's machine be emptied.
    pub fn retire(&mut self) {
        let is_under_way = self.operator.retiring.is_some_and(|machine| self.exists(machine));
        if is_under_way {
            return;
        }
        let stores = self.existing_stores();
        let place = self.fault_random.random_range(0..stores.len().max(1));
        let Some(machine) = stores.get(place).copied() else { return };
        self.operator.retiring = Some(machine);
        let node = self.name(machine).to_owned();
        self.order(Wish::StartRetire { node }, 0);
    }

    /// An order about a retirement is answered: the operator asks on, or takes the machine away.
    pub fn retirement_answered(&mut self, node: &str, status: u16, body: &[u8]) {
        let is_same = |machine: &Machine| self.name(*machine) == node && self.exists(*machine);
        let Some(machine) = self.operator.retiring.filter(is_same) else { return };
        if status != 200 {
            self.operator.retiring = None;
            return;
        }
        if String::from_utf8_lossy(body).contains("succeeded") {
            self.operator.retiring = None;
            return self.retired(machine);
        }
        self.ask_retirement();
    }

    /// The operator asks for the state of the retirement under way.
    pub fn ask_retirement(&mut self) {
        let Some(machine) = self.operator.retiring.filter(|machine| self.exists(*machine)) else { return };
        if self.now < self.traffic_ends() {
            let node = self.name(machine).to_owned();
            self.order(Wish::GetRetire { node }, ASK_EVERY_MS);
        }
    }

    /// A retirement has succeeded: the machine is removed at once with its disk, which is no loss; if it was lost before, it
    /// counts as lost for as long as it did. Maybe others lose their disks right after.
    fn retired(&mut self, machine: Machine) {
        let machines = self.mates(machine);
        self.line(|| format!("machines {machines:?} are retired and removed"));
        self.retirements += 1;
        let trouble = self.trouble(true);
        machines.iter().for_each(|machine| self.remove(*machine));
        self.after(SHORTEST_MS, Event::Fault(Fault::TroubleOver(trouble)));
        let wipes = self.fault_random.random_bool(self.scenario.fleet.wipe_part);
        if !wipes || !self.faults_go_on() {
            return;
        }
        for _ in 0..self.scenario.tolerance {
            if let Some(other) = self.spare_machine() {
                self.mates(other).into_iter().for_each(|mate| self.power_off(mate, true));
            }
        }
    }
}
