//! What goes wrong, and when it is over. Never more machines with disks are lost at once than the tolerance of one allows.

use rand::Rng as _;

use crate::clients::TRAFFIC_BEGINS_MS;
use crate::disk_troubles::DiskTrouble;
use crate::event::Event;
use crate::network::Machine;
use crate::phases::Strike;
use crate::places::{RECOVERY_MS, Role, SYNC_MS};
use crate::process::Input;
use crate::replacements::Ending;
use crate::scenario::LastFault;
use crate::world::World;

/// The last fault comes so long before the traffic ends, in milliseconds, so that recovery shows.
const LAST_FAULT_BEFORE_END_MS: u64 = RECOVERY_MS + 6_000;
/// Other faults end before that, in milliseconds.
const QUIET_BEFORE_LAST_MS: u64 = 3_000;
/// How long something lasts, in milliseconds.
pub const SHORTEST_MS: u64 = 100;
pub const LONGEST_HERD_MS: u64 = 1_000;
const PLATFORM_DOWN_MS: u64 = 4_000;

/// A kind of fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FaultKind {
    Kill,
    Power,
    LoseDisk,
    Freeze,
    Cut,
    EdgeKill,
    EdgeFreeze,
    EdgeCut,
    Reset,
    Term,
    HerdKill,
    AllPower,
    AfterAckPower,
    RunnerCrash,
    RunnerDrain,
    Platform,
    Replace,
    PlannedReplace,
    LongCut,
    Combined,
    Add,
    Retire,
    Storm,
    DiskStall,
    DiskSlow,
    DiskFull,
    ClockStep,
    HalfOpen,
    ZonePower,
}

impl FaultKind {
    const ALL: [Self; 29] = [
        Self::Kill,
        Self::Power,
        Self::LoseDisk,
        Self::Freeze,
        Self::Cut,
        Self::EdgeKill,
        Self::EdgeFreeze,
        Self::EdgeCut,
        Self::Reset,
        Self::Term,
        Self::HerdKill,
        Self::AllPower,
        Self::AfterAckPower,
        Self::RunnerCrash,
        Self::RunnerDrain,
        Self::Platform,
        Self::Replace,
        Self::PlannedReplace,
        Self::LongCut,
        Self::Combined,
        Self::Add,
        Self::Retire,
        Self::Storm,
        Self::DiskStall,
        Self::DiskSlow,
        Self::DiskFull,
        Self::ClockStep,
        Self::HalfOpen,
        Self::ZonePower,
    ];
}

/// Something that is over, or goes on.
#[derive(Debug)]
pub enum Fault {
    /// A machine has power again and starts.
    PowerOn(Machine, Option<usize>),
    Thaw(Machine, u64, usize),
    Heal(Vec<(Machine, Machine)>, usize),
    TroubleOver(usize),
    /// The grace period of a process that was told to end is over.
    GraceOver(Machine, u64),
    /// All machines with disks lose power.
    AllPower,
    /// What replaces machines that are gone starts.
    SuccessorStarts {
        replaced: Vec<Machine>,
        trouble: usize,
    },
    /// Machines whose successors run are told to end.
    PredecessorEnds {
        replaced: Vec<Machine>,
        trouble: usize,
    },
    /// Machines that were told to end are removed, once they have ended.
    RemoveAfterEnd(Ending),
    /// Another machine than the first is lost.
    SecondLoss {
        first: Machine,
    },
    /// Something strikes a machine, if the tolerance allows it.
    Strike {
        machine: Machine,
        strike: Strike,
    },
    /// The disks of machines do their work again.
    DiskWell {
        machines: Vec<Machine>,
        trouble: usize,
    },
    /// Whether all groups are whole, so many troubles after the first.
    LookAtRepair {
        from: u64,
        troubles: usize,
    },
    /// A machine that was stopped as planned starts again, once its process has ended.
    StartAfterEnd {
        machine: Machine,
        trouble: usize,
        lost_bound: u64,
    },
}

impl World {
    pub fn every(&self, kind: FaultKind) -> u64 {
        let faults = &self.scenario.faults;
        match kind {
            FaultKind::Kill => faults.kill_every_ms,
            FaultKind::Power => faults.power_every_ms,
            FaultKind::LoseDisk => faults.lose_disk_every_ms,
            FaultKind::Freeze => faults.freeze_every_ms,
            FaultKind::Cut => faults.cut_every_ms,
            FaultKind::EdgeKill => faults.edge_kill_every_ms,
            FaultKind::EdgeFreeze => faults.edge_freeze_every_ms,
            FaultKind::EdgeCut => faults.edge_cut_every_ms,
            FaultKind::Reset => faults.reset_every_ms,
            FaultKind::Term => faults.term_every_ms,
            FaultKind::HerdKill => faults.herd_kill_every_ms,
            FaultKind::AllPower => faults.all_power_every_ms,
            FaultKind::AfterAckPower => faults.after_ack_power_every_ms,
            FaultKind::RunnerCrash => faults.runner_crash_every_ms,
            FaultKind::RunnerDrain => faults.runner_drain_every_ms,
            FaultKind::Platform => faults.platform_every_ms,
            FaultKind::Replace => self.scenario.replacements.every_ms,
            FaultKind::PlannedReplace => self.scenario.replacements.planned_every_ms,
            FaultKind::LongCut => self.scenario.cuts.long_every_ms,
            FaultKind::Combined => self.scenario.cuts.combined_every_ms,
            FaultKind::Add => self.scenario.fleet.add_every_ms,
            FaultKind::Retire => self.scenario.fleet.retire_every_ms,
            FaultKind::Storm => self.scenario.orders.storm_every_ms,
            FaultKind::DiskStall => self.scenario.disks.stall_every_ms,
            FaultKind::DiskSlow => self.scenario.disks.slow_every_ms,
            FaultKind::DiskFull => self.scenario.disks.full_every_ms,
            FaultKind::ClockStep => self.scenario.disks.clock_step_every_ms,
            FaultKind::HalfOpen => faults.half_open_every_ms,
            FaultKind::ZonePower => faults.zone_power_every_ms,
        }
    }

    pub fn begin_faults(&mut self) {
        for host in &mut self.hosts {
            host.wall_offset = self.fault_random.random_range(-40..=40);
        }
        for kind in FaultKind::ALL {
            self.plan_fault(kind, TRAFFIC_BEGINS_MS);
        }
        self.at(self.last_fault_at(), Event::LastFault);
        let questions = self.traffic_ends() + crate::places::COMPLETION_MS;
        self.at(questions, Event::LastQuestions);
    }

    pub fn last_fault_at(&self) -> u64 {
        self.traffic_ends().saturating_sub(LAST_FAULT_BEFORE_END_MS)
    }

    pub fn plan_fault(&mut self, kind: FaultKind, from: u64) {
        let mean = self.every(kind);
        if mean == 0 {
            return;
        }
        let wait = self.fault_random.random_range(0..mean * 2).max(1);
        if from + wait + QUIET_BEFORE_LAST_MS < self.last_fault_at() {
            self.at(from + wait, Event::NextFault(kind));
        }
    }

    /// Whether it is early enough in the day for more faults.
    pub fn faults_go_on(&self) -> bool {
        self.now + QUIET_BEFORE_LAST_MS < self.last_fault_at()
    }

    pub fn next_fault(&mut self, kind: FaultKind) {
        self.plan_fault(kind, self.now);
        match kind {
            FaultKind::Kill => self.on_spare_machine(World::kill),
            FaultKind::Power => self.on_spare_machine(|world, machine| world.power_off(machine, false)),
            FaultKind::LoseDisk => self.on_spare_machine(|world, machine| world.power_off(machine, true)),
            FaultKind::Freeze => self.on_spare_machine(World::freeze),
            FaultKind::Cut => self.on_spare_machine(World::cut),
            FaultKind::EdgeKill => self.on_edge(World::kill),
            FaultKind::EdgeFreeze => self.on_edge(World::freeze),
            FaultKind::EdgeCut => self.on_edge(World::cut),
            FaultKind::Reset => {
                let machine = self.fault_random.random_range(0..self.hosts.len());
                self.resets(machine);
            }
            FaultKind::Term => {
                let machine = self.fault_random.random_range(0..self.hosts.len());
                if self.is_edge(machine) || self.may_lose(machine) {
                    self.term(machine);
                }
            }
            FaultKind::HerdKill => self.herd_kill(Role::Coordinator),
            FaultKind::AllPower => self.all_power(),
            FaultKind::AfterAckPower => self.loses_power_at_ack = true,
            FaultKind::RunnerCrash => {
                if let Some(uid) = self.drawn_runner() {
                    self.line(|| format!("FAULT runner {uid} crashes"));
                    self.runner_crashes(&uid);
                }
            }
            FaultKind::RunnerDrain => {
                if let Some(uid) = self.drawn_runner() {
                    self.line(|| format!("runner {uid} drains"));
                    self.runner_drains(&uid);
                }
            }
            FaultKind::Platform => {
                let lasts = self.fault_random.random_range(SHORTEST_MS..PLATFORM_DOWN_MS);
                self.runners.down_until = self.now + lasts;
                let trouble = self.trouble(false);
                self.after(lasts, Event::Fault(Fault::TroubleOver(trouble)));
            }
            FaultKind::Replace => self.on_spare_site(World::replace),
            FaultKind::PlannedReplace => self.on_spare_site(World::replace_as_planned),
            FaultKind::LongCut => self.on_spare_site(World::long_cut),
            FaultKind::Combined => self.on_spare_site(World::combined),
            FaultKind::Add => self.add_machine(),
            FaultKind::Retire => self.retire(),
            FaultKind::Storm => self.on_spare_site(World::storm),
            FaultKind::DiskStall => {
                self.on_spare_site(|world, machine| world.disk_trouble(machine, DiskTrouble::Stalls))
            }
            FaultKind::DiskSlow => {
                self.on_spare_site(|world, machine| world.disk_trouble(machine, DiskTrouble::IsSlow))
            }
            FaultKind::DiskFull => {
                self.on_spare_site(|world, machine| world.disk_trouble(machine, DiskTrouble::IsFull))
            }
            FaultKind::ClockStep => self.on_spare_site(World::clock_step),
            FaultKind::HalfOpen => self.on_spare_site(World::lose_accepted_ends),
            FaultKind::ZonePower => self.zone_power(),
        }
    }

    pub fn trouble(&mut self, is_planned: bool) -> usize {
        self.checks.trouble_begins(self.now, is_planned)
    }

    pub fn is_edge(&self, machine: Machine) -> bool {
        self.hosts.get(machine).is_some_and(|host| host.place.role == Role::Edge)
    }

    pub fn on_edge(&mut self, act: impl FnOnce(&mut World, Machine)) {
        let edges = self.machines(Role::Edge);
        let place = self.fault_random.random_range(0..edges.len());
        if let Some(machine) = edges.get(place).copied().filter(|machine| self.running(*machine).is_some()) {
            act(self, machine);
        }
    }

    /// The last fault of the day.
    pub fn last_fault(&mut self) {
        let drawn = self.fault_random.random_range(0..3);
        let last = match (self.scenario.faults.last, drawn) {
            (LastFault::Any, 0) => LastFault::AllPower,
            (LastFault::Any, 1) => LastFault::AllKill,
            (LastFault::Any, _) => LastFault::LoseDisk,
            (other, _) => other,
        };
        match last {
            LastFault::AllPower => self.power_all(true),
            LastFault::AllKill => {
                for role in [Role::Edge, Role::Coordinator, Role::Store] {
                    self.herd_kill(role);
                }
            }
            LastFault::LoseDisk => self.on_spare_machine(|world, machine| world.power_off(machine, true)),
            LastFault::LoseDisksAndPower => self.lose_disks_and_power(),
            LastFault::None | LastFault::Any => {}
        }
    }

    /// Something is over.
    pub fn fault(&mut self, fault: Fault) {
        let now = self.now;
        match fault {
            Fault::PowerOn(machine, trouble) => {
                if let Some(host) = self.hosts.get_mut(machine).filter(|host| host.exists()) {
                    host.has_power = true;
                }
                self.start(machine);
                trouble.into_iter().for_each(|trouble| self.checks.trouble_ends(trouble, now));
            }
            Fault::Thaw(machine, life, trouble) => {
                self.checks.trouble_ends(trouble, now);
                self.thaw(machine, life);
            }
            Fault::Heal(ways, trouble) => {
                self.line(|| format!("healed: {ways:?}"));
                ways.iter().for_each(|(from, to)| self.network.heal(*from, *to));
                self.checks.trouble_ends(trouble, now);
            }
            Fault::AllPower => self.all_power(),
            Fault::SuccessorStarts { replaced, trouble } => self.successor_starts(&replaced, trouble),
            Fault::PredecessorEnds { replaced, trouble } => self.predecessor_ends(replaced, trouble),
            Fault::RemoveAfterEnd(ending) => self.remove_after_end(ending),
            Fault::SecondLoss { first } => self.second_loss(first),
            Fault::Strike { machine, strike } => self.strike(machine, strike),
            Fault::DiskWell { machines, trouble } => self.disk_well(&machines, trouble),
            Fault::LookAtRepair { from, troubles } => self.look_at_repair(from, troubles),
            Fault::TroubleOver(trouble) => self.checks.trouble_ends(trouble, now),
            Fault::GraceOver(machine, life) => {
                let is_same = self.hosts.get(machine).is_some_and(|host| host.life == life && host.is_ending);
                if is_same && self.running(machine).is_some() {
                    self.line(|| format!("machine {machine} is killed at the end of its grace"));
                    self.end_process(machine, false);
                }
            }
            Fault::StartAfterEnd { machine, trouble, lost_bound } => {
                self.start_after_end(machine, trouble, lost_bound);
            }
        }
    }

    fn start_after_end(&mut self, machine: Machine, trouble: usize, lost_bound: u64) {
        let now = self.now;
        if self.running(machine).is_some_and(|process| self.is_ending(process.machine)) {
            let again = Fault::StartAfterEnd { machine, trouble, lost_bound };
            return self.after(SHORTEST_MS, Event::Fault(again));
        }
        if let Some(host) = self.hosts.get_mut(machine)
            && host.process.is_none()
            && host.has_power
        {
            host.disk.kill();
        }
        self.start(machine);
        if self.lost_bound(machine) == lost_bound && !self.is_edge(machine) {
            let site = self.site(machine);
            self.lost_until.insert(site, now + SYNC_MS);
        }
        self.checks.trouble_ends(trouble, now);
    }

    pub fn is_ending(&self, machine: Machine) -> bool {
        self.hosts.get(machine).is_some_and(|host| host.is_ending)
    }

    pub fn thaw(&mut self, machine: Machine, life: u64) {
        let Some(host) = self.hosts.get_mut(machine) else { return };
        if host.life != life || !host.is_frozen {
            return;
        }
        host.is_frozen = false;
        let backlog = std::mem::take(&mut host.backlog);
        self.line(|| format!("machine {machine} goes on"));
        let process = crate::network::Life { machine, life };
        for input in backlog {
            self.hand(process, input);
        }
        self.hand(process, Input::Wake);
    }
}
