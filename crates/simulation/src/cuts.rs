//! Cuts, short ones and long ones, and faults that come together.

use rand::Rng as _;

use crate::event::Event;
use crate::faults::{Fault, SHORTEST_MS};
use crate::network::{Life, Machine, Side};
use crate::places::{LIVENESS_MS, Role};
use crate::process::ConnectionId;
use crate::world::World;

const LONGEST_CUT_MS: u64 = 5_000;
/// The second of two faults comes so long after the first at most, in milliseconds.
const LATEST_COMBINED_MS: u64 = 6_000;

/// The ways of a machine that a cut closes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Ways {
    Both,
    Out,
    In,
}

impl World {
    /// Cuts a machine off from some or all others, one way or both, for a short time.
    pub fn cut(&mut self, machine: Machine) {
        let lasts = self.fault_random.random_range(SHORTEST_MS..LONGEST_CUT_MS);
        let from_all = self.fault_random.random_bool(0.5);
        let ways = match self.fault_random.random_range(0..4) {
            1 => Ways::In,
            2 => Ways::Out,
            _ => Ways::Both,
        };
        let mut others = Vec::new();
        for other in self.others(machine) {
            if from_all || self.fault_random.random_bool(0.5) {
                others.push(other);
            }
        }
        self.hold_cut(&[machine], &others, ways, lasts);
    }

    /// Cuts a machine and all that shares it off for a long time: from all machines or from the coordinators alone.
    pub fn long_cut(&mut self, machine: Machine) {
        let longest = self.scenario.cuts.lasts_ms;
        let lasts = self.fault_random.random_range(longest / 2..=longest);
        let mut others = self.others(machine);
        if self.fault_random.random_bool(0.3) {
            let coordinators = self.machines(Role::Coordinator);
            others.retain(|other| coordinators.contains(other));
        }
        let ways = match self.fault_random.random_range(0..4) {
            0 => Ways::In,
            1 => Ways::Out,
            _ => Ways::Both,
        };
        let mates = self.mates(machine);
        self.hold_cut(&mates, &others, ways, lasts);
    }

    /// The connections that replicas elsewhere have opened to a machine, and to all that shares it, are gone at its end. The
    /// openers are told nothing, as after a cut of one way.
    pub fn lose_accepted_ends(&mut self, machine: Machine) {
        let mates = self.mates(machine);
        let processes: Vec<Life> = mates.iter().filter_map(|mate| self.running(*mate)).collect();
        self.line(|| format!("FAULT ends of connections to {mates:?} are gone"));
        let trouble = self.trouble(false);
        for process in processes {
            for id in self.accepted_replica_links(process) {
                self.lose_accepted_end(id);
            }
        }
        mates.iter().for_each(|mate| self.lose_until(*mate, self.now + LIVENESS_MS));
        self.after(LIVENESS_MS, Event::Fault(Fault::TroubleOver(trouble)));
    }

    fn lose_accepted_end(&mut self, id: ConnectionId) {
        if let Some(connection) = self.network.connections.get_mut(&id) {
            connection.acceptor.is_lost = true;
        }
        self.end_comes(id, Side::Acceptor);
    }

    /// All machines that do not share this one.
    fn others(&self, machine: Machine) -> Vec<Machine> {
        let mates = self.mates(machine);
        (0..self.hosts.len()).filter(|other| !mates.contains(other)).collect()
    }

    fn hold_cut(&mut self, machines: &[Machine], others: &[Machine], closed: Ways, lasts: u64) {
        let mut ways = Vec::new();
        for machine in machines {
            for other in others {
                if closed != Ways::In {
                    ways.push((*machine, *other));
                }
                if closed != Ways::Out {
                    ways.push((*other, *machine));
                }
            }
        }
        self.line(|| format!("FAULT cut for {lasts}: {ways:?}"));
        ways.iter().for_each(|(from, to)| self.network.cut(*from, *to));
        let trouble = self.trouble(false);
        machines.iter().for_each(|machine| self.lose_until(*machine, self.now + lasts));
        self.after(lasts, Event::Fault(Fault::Heal(ways, trouble)));
    }

    /// Something befalls a machine, and something else meanwhile or right after.
    pub fn combined(&mut self, machine: Machine) {
        match self.fault_random.random_range(0..3) {
            0 => self.long_cut(machine),
            1 => self.mates(machine).into_iter().for_each(|mate| self.freeze(mate)),
            _ => self.mates(machine).into_iter().for_each(|mate| self.kill(mate)),
        }
        let wait = self.fault_random.random_range(0..=LATEST_COMBINED_MS);
        let strike = self.drawn_strike();
        self.after(wait, Event::Fault(Fault::Strike { machine, strike }));
    }
}
