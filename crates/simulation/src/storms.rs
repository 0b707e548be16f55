//! Configurations in quick succession, while a member is down that comes back right after.

use crate::event::Event;
use crate::network::Machine;
use crate::world::World;

/// A member is down for so long at most during a storm, in milliseconds.
const LONGEST_DOWN_MS: u64 = 20_000;

impl World {
    /// A storm of changes begins.
    pub fn storm(&mut self, machine: Machine) {
        let orders = self.scenario.orders.clone();
        let lasts = u64::from(orders.storm_changes).saturating_mul(orders.storm_step_ms).min(LONGEST_DOWN_MS);
        self.line(|| format!("a storm of {} changes begins", orders.storm_changes));
        self.operator.storm_left = orders.storm_changes;
        for mate in self.mates(machine) {
            self.kill_for(mate, lasts.max(1));
        }
        self.after(0, Event::NextStormChange);
    }

    /// The next change of a storm, unless one is under way.
    pub fn next_storm_change(&mut self) {
        if self.operator.storm_left == 0 || self.now >= self.traffic_ends() {
            return;
        }
        if self.change() {
            self.operator.storm_left -= 1;
        }
        self.after(self.scenario.orders.storm_step_ms.max(1), Event::NextStormChange);
    }
}
