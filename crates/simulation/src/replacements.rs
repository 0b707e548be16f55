//! Machines with disks that are replaced by empty ones at other addresses, and the losses that follow.

use rand::Rng as _;

use crate::disk::Disk;
use crate::event::Event;
use crate::faults::{Fault, SHORTEST_MS};
use crate::host::Host;
use crate::network::Machine;
use crate::places::{GRACE_MS, LOSS_SLACK_MS, Place, SYNC_MS, seeds, settings};
use crate::world::World;

/// Machines that were told to end and are to be removed.
#[derive(Debug)]
pub struct Ending {
    replaced: Vec<Machine>,
    trouble: usize,
    /// Until when the successor counts as lost.
    successor_bound: u64,
    /// Until when the site counts as lost if it takes the machines all of their grace to end.
    grace_bound: u64,
}

impl World {
    /// A machine is lost for good with its disk, and an empty one at another address takes its place later.
    pub fn replace(&mut self, machine: Machine) {
        let wait = self.scenario.replacements.wait_ms;
        self.line(|| format!("FAULT machine {machine} is lost for good, its successor starts in {wait}"));
        let trouble = self.trouble(false);
        let replaced = self.mates(machine);
        for mate in &replaced {
            self.lose_until(*mate, self.now + wait);
            self.remove(*mate);
        }
        self.after(wait, Event::Fault(Fault::SuccessorStarts { replaced, trouble }));
    }

    /// Planned work: a new machine starts, and then the one that it replaces is told to end and is removed.
    pub fn replace_as_planned(&mut self, machine: Machine) {
        let replaced = self.mates(machine);
        self.line(|| format!("machine {machine} is to be replaced, its successor starts"));
        let trouble = self.trouble(true);
        self.newcomers_start(&replaced, true);
        let wait = self.scenario.replacements.wait_ms;
        self.lose_until(machine, self.now);
        self.after(wait, Event::Fault(Fault::PredecessorEnds { replaced, trouble }));
    }

    /// The successor of machines that are gone starts.
    pub fn successor_starts(&mut self, replaced: &[Machine], trouble: usize) {
        let now = self.now;
        self.newcomers_start(replaced, true);
        replaced.iter().for_each(|machine| self.lose_until(*machine, now));
        self.checks.trouble_ends(trouble, now);
        self.watch_repair(now);
        replaced.first().into_iter().for_each(|machine| self.plan_second_loss(*machine));
    }

    /// The successor runs: the machine that it replaces is told to end.
    pub fn predecessor_ends(&mut self, replaced: Vec<Machine>, trouble: usize) {
        let Some(first) = replaced.first().copied() else { return };
        let successor_bound = self.lost_bound(first);
        replaced.iter().for_each(|machine| self.terminate(*machine));
        // It is lost until it has ended, which is not known yet.
        self.lose_until(first, self.now + GRACE_MS);
        let ending = Ending { replaced, trouble, successor_bound, grace_bound: self.lost_bound(first) };
        self.after(SHORTEST_MS, Event::Fault(Fault::RemoveAfterEnd(ending)));
    }

    /// Removes machines that were told to end, once all of them have ended.
    pub fn remove_after_end(&mut self, ending: Ending) {
        if ending.replaced.iter().any(|machine| self.running(*machine).is_some()) {
            return self.after(SHORTEST_MS, Event::Fault(Fault::RemoveAfterEnd(ending)));
        }
        self.line(|| format!("machines {:?} are removed", ending.replaced));
        let Some(first) = ending.replaced.first().copied() else { return };
        ending.replaced.iter().for_each(|machine| self.remove(*machine));
        if self.lost_bound(first) == ending.grace_bound {
            let site = self.site(first);
            self.lost_until.insert(site, ending.successor_bound.max(self.now));
        }
        self.checks.trouble_ends(ending.trouble, self.now);
        self.watch_repair(ending.successor_bound.saturating_sub(SYNC_MS));
        self.plan_second_loss(first);
    }

    /// A machine is no more, with its disk.
    pub fn remove(&mut self, machine: Machine) {
        self.end_process(machine, true);
        let now = self.now;
        let disk = self.new_disk();
        if let Some(host) = self.hosts.get_mut(machine) {
            host.has_power = false;
            host.removed_at = Some(now);
            host.disk = disk;
        }
    }

    /// Empty machines with the roles of others start, under one new name and address. They are their successors, or stand
    /// for themselves.
    pub fn newcomers_start(&mut self, like: &[Machine], are_successors: bool) -> Vec<Machine> {
        self.newcomers = self.newcomers.saturating_add(1);
        let number = self.newcomers;
        let mut newcomers = Vec::new();
        for machine in like {
            let Some(place) = self.hosts.get(*machine).map(|host| host.place.of_newcomer(number)) else {
                continue;
            };
            let first = newcomers.first().copied();
            let own_site = first.unwrap_or(self.hosts.len());
            let site = if are_successors { self.site(*machine) } else { own_site };
            newcomers.extend(self.newcomer(place, site));
        }
        newcomers.iter().for_each(|newcomer| self.start(*newcomer));
        newcomers
    }

    fn newcomer(&mut self, place: Place, site: Machine) -> Option<Machine> {
        let seeds = seeds(self.listed_places());
        let settings = settings(&place, &seeds, &self.scenario, false).ok()?;
        let machine = self.hosts.len();
        self.by_address.extend(place.address(&settings).map(|address| (address, machine)));
        let disk: Disk = self.new_disk();
        let mut host = Host::new(place, settings, disk, site);
        host.has_founded = true;
        host.listed_since = self.now;
        self.hosts.push(host);
        Some(machine)
    }

    /// Tells a process to end; it is killed once its grace is over.
    pub fn terminate(&mut self, machine: Machine) {
        let Some(process) = self.running(machine) else { return };
        self.line(|| format!("machine {machine} is told to end"));
        if let Some(host) = self.hosts.get_mut(machine) {
            host.is_ending = true;
        }
        self.hand(process, crate::process::Input::Terminate);
        self.after(GRACE_MS, Event::Fault(Fault::GraceOver(machine, process.life)));
    }

    // Second losses.

    /// Maybe another machine is lost, as soon as the tolerance allows it after this one, or later.
    pub fn plan_second_loss(&mut self, first: Machine) {
        let replacements = self.scenario.replacements.clone();
        if replacements.second_loss_part <= 0.0
            || !self.fault_random.random_bool(replacements.second_loss_part)
        {
            return;
        }
        let later = match self.fault_random.random_bool(replacements.at_bound_part) {
            true => 0,
            false => self.fault_random.random_range(0..=replacements.latest_second_ms),
        };
        let at = self.lost_bound(first) + LOSS_SLACK_MS + later;
        self.at(at, Event::Fault(Fault::SecondLoss { first }));
    }

    /// Another machine than the first is lost: its disk, its power, or all of it for good.
    pub fn second_loss(&mut self, first: Machine) {
        if !self.faults_go_on() {
            return;
        }
        if self.is_lost(first) {
            let at = self.lost_bound(first) + LOSS_SLACK_MS;
            return self.at(at, Event::Fault(Fault::SecondLoss { first }));
        }
        let candidates: Vec<Machine> = self
            .machines_with_disks()
            .into_iter()
            .filter(|machine| self.site(*machine) != self.site(first))
            .filter(|machine| self.mates(*machine).into_iter().all(|mate| self.may_lose(mate)))
            .collect();
        let place = self.fault_random.random_range(0..candidates.len().max(1));
        let kind = self.fault_random.random_range(0..3);
        let Some(machine) = candidates.get(place).copied() else { return };
        match kind {
            0 => self.replace(machine),
            kind => {
                for mate in self.mates(machine) {
                    self.power_off(mate, kind == 1);
                }
                self.plan_second_loss(machine);
            }
        }
    }
}
