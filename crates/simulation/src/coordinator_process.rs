//! A coordinator in the simulation.

use std::collections::BTreeMap;

use ruddervalve_configuration::Settings;
use ruddervalve_coordinator::{CoordinatorCore, CoordinatorError, CoordinatorOutput};
use ruddervalve_disk::ProcessState;
use ruddervalve_protocol::{Channel, Registration};
use ruddervalve_replication::{Checkpoint, ReplicaHost};
use ruddervalve_runtime::{InternalPort, internal_address};

use crate::process::{ConnectionId, Effect, Input, Payload, Process};
use crate::replica_links::{RoleLinks, replica_input};

/// A coordinator.
pub struct CoordinatorProcess {
    core: CoordinatorCore,
    links: RoleLinks,
    sessions: BTreeMap<ConnectionId, u64>,
    connections: BTreeMap<u64, ConnectionId>,
}

impl CoordinatorProcess {
    /// Starts a coordinator on what its disk holds.
    ///
    /// # Errors
    /// The state cannot be read.
    pub fn start(
        settings: &Settings,
        recovered: &ProcessState,
        is_new: bool,
        seed: u64,
        now: u64,
        effects: &mut Vec<Effect>,
    ) -> Result<Self, CoordinatorError> {
        let internal = internal_address(settings, settings.ip, InternalPort::Coordinator);
        let control = settings.listen.control_plane.ok_or(CoordinatorError::NoControlAddress)?;
        let core = CoordinatorCore::start(settings, recovered, is_new, internal, control, seed, now)?;
        let links = RoleLinks::new(Registration::Coordinator(core.member().clone()));
        let (sessions, connections) = (BTreeMap::new(), BTreeMap::new());
        let mut coordinator = Self { core, links, sessions, connections };
        coordinator.settle(now, effects);
        Ok(coordinator)
    }

    fn settle(&mut self, now: u64, effects: &mut Vec<Effect>) {
        if let Err(error) = self.core.settle(now) {
            effects.push(Effect::Failed(error.to_string()));
        }
        self.links.carry_out(self.core.replica_outputs(), effects);
        for (number, reply) in self.core.session_outputs() {
            if let Some(connection) = self.connections.get(&number) {
                effects.push(Effect::Send(*connection, Payload::Reply(reply)));
            }
        }
        for output in self.core.outputs() {
            match output {
                CoordinatorOutput::Reply(caller, reply) => effects.push(Effect::Reply(caller, Some(reply))),
                CoordinatorOutput::NoReply(caller) => effects.push(Effect::Reply(caller, None)),
                CoordinatorOutput::CallPlatform(call) => effects.push(Effect::CallPlatform(call)),
                CoordinatorOutput::Connect => {
                    let own = Some(self.core.member().replica);
                    self.links.set(own, &self.core.coordinators(), &self.core.others(), &[], effects);
                }
            }
        }
    }

    fn take(&mut self, now: u64, input: Input, effects: &mut Vec<Effect>) {
        match input {
            Input::Heartbeat => self.links.heartbeat(self.core.leads(now), effects),
            Input::LinkUp(link, connection) => self.links.up(link, connection, effects),
            Input::LinkDown(link) => {
                if let Some(input) = self.links.down(link) {
                    self.core.replica_input(now, input);
                }
            }
            Input::Accepted(connection, greeting) if greeting.channel == Channel::Control => {
                let number = self.core.session_opened(now);
                self.sessions.insert(connection, number);
                self.connections.insert(number, connection);
            }
            Input::Ended(connection) => {
                if let Some(number) = self.sessions.remove(&connection) {
                    self.connections.remove(&number);
                    self.core.session_ended(now, number);
                }
            }
            Input::Message(connection, Payload::Request(request)) => {
                if let Some(number) = self.sessions.get(&connection) {
                    self.core.session_says(now, *number, request);
                }
            }
            Input::Message(connection, Payload::Reply(reply)) => {
                if let Some((from, reply)) = self.links.hear(connection, reply, effects) {
                    self.core.coordinator_says(now, from, reply);
                }
            }
            Input::List(number, answer) => self.core.list_answered(now, number, answer),
            Input::Operator(caller, call) => self.core.operator(now, caller, *call),
            Input::Terminate => self.core.terminate(now),
            _ => {}
        }
    }
}

impl Process for CoordinatorProcess {
    fn handle(&mut self, now: u64, input: Input, effects: &mut Vec<Effect>) {
        match replica_input(input) {
            Ok(input) => self.core.replica_input(now, input),
            Err(input) => self.take(now, input, effects),
        }
        self.settle(now, effects);
    }

    fn next_wake(&self, now: u64) -> u64 {
        self.core.next_wake(now)
    }

    fn ended(&self, now: u64) -> bool {
        self.core.ended(now)
    }

    fn host(&self) -> Option<&ReplicaHost> {
        Some(self.core.host())
    }

    fn checkpoint(&self) -> Option<Checkpoint> {
        Some(self.core.checkpoint())
    }

    fn coordinator(&self) -> Option<&CoordinatorCore> {
        Some(&self.core)
    }
}
