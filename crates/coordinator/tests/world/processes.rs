//! Edges that are connected to all coordinators of a [`World`], as far as these are concerned.

use std::collections::BTreeMap;

use ruddervalve_protocol::{CoordinatorReply, CoordinatorRequest, Incarnation, Registration};
use ruddervalve_runtime::{TakenReply, Updates};

use super::{MACHINES, World};
use crate::group::LIVENESS_MS;

/// How often a process sends a heartbeat.
const HEARTBEAT_MS: u64 = LIVENESS_MS / 9;

#[derive(Debug, Default)]
pub struct Process {
    /// Its sessions, by coordinator.
    sessions: BTreeMap<u8, u64>,
    /// The configurations that came, each with when it did.
    pub configurations: Vec<(u64, u64)>,
    next_heartbeat: u64,
    updates: Updates,
}

impl Process {
    pub fn next_heartbeat(&self) -> u64 {
        self.next_heartbeat
    }

    /// When it had a configuration of at least this version.
    pub fn has_since(&self, version: u64) -> Option<u64> {
        self.configurations.iter().find(|(of, _)| *of >= version).map(|(_, at)| *at)
    }
}

impl World {
    /// So many edges connect to all coordinators and register.
    pub fn connect_processes(&mut self, count: u64) {
        for number in 0..count {
            let registration = Registration::Edge { incarnation: Incarnation(number + 1) };
            let mut process =
                Process { next_heartbeat: self.now + self.chance.below(HEARTBEAT_MS), ..Process::default() };
            for machine in MACHINES {
                process.sessions.insert(machine, self.session(machine, registration.clone()));
            }
            self.processes.push(process);
        }
        MACHINES.into_iter().for_each(|machine| self.settle(machine));
    }

    pub(super) fn send_heartbeats(&mut self) {
        let now = self.now;
        let mut heard = [false; MACHINES.len()];
        for process in self.processes.iter_mut().filter(|process| process.next_heartbeat <= now) {
            process.next_heartbeat = now + HEARTBEAT_MS;
            for (place, machine) in MACHINES.into_iter().enumerate() {
                let Some(running) = self.running.get_mut(&machine) else { continue };
                running.core.session_says(now, process.sessions[&machine], CoordinatorRequest::Heartbeat);
                heard[place] = true;
            }
        }
        for (place, machine) in MACHINES.into_iter().enumerate() {
            if heard[place] {
                self.settle(machine);
            }
        }
    }

    pub(super) fn process_is_told(&mut self, machine: u8, session: u64, reply: CoordinatorReply) {
        let now = self.now;
        let is_told = |process: &&mut Process| process.sessions.get(&machine) == Some(&session);
        let Some(process) = self.processes.iter_mut().find(is_told) else { return };
        let TakenReply { reply, is_update } = process.updates.take(reply);
        if let Some(CoordinatorReply::Configuration(update)) = reply {
            process.configurations.push((update.version, now));
        }
        if !is_update {
            return;
        }
        let (received, sessions) = (process.updates.received(), process.sessions.clone());
        for (machine, session) in sessions {
            if let Some(running) = self.running.get_mut(&machine) {
                running.core.session_says(now, session, CoordinatorRequest::Received(received));
                self.settle(machine);
            }
        }
    }
}
