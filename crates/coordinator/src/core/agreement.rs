//! The agreed state between consensus, and the leader's duties.

use ruddervalve_consensus::{Entry, Payload};
use ruddervalve_mutation::{Mutation, is_active};
use ruddervalve_protocol::{ControlMembers, GroupId};
use ruddervalve_replication::{GroupChange, GroupSnapshot};
use ruddervalve_runtime::update_window;

use super::{CoordinatorCore, CoordinatorOutput, changes_for};
use crate::error::CoordinatorError;
use crate::session::InForce;
use crate::state::ControlState;
use crate::state_command::{ControlCommand, ControlResult};

impl CoordinatorCore {
    /// Works out all that events led to.
    ///
    /// # Errors
    /// A snapshot cannot be read: the process has to end.
    pub fn settle(&mut self, now: u64) -> Result<(), CoordinatorError> {
        self.replicas.host.tick(now);
        self.hand_over(now);
        loop {
            let changes = self.replicas.flush();
            let is_applied = changes.is_empty();
            for change in changes {
                self.change(now, change)?;
            }
            if is_applied && !self.answer_reads(now) && !(self.leads(now) && self.lead(now)) {
                break;
            }
        }
        if self.leads(now) || is_active(Mutation::LowerVersionTaken) {
            self.tell(now);
        }
        self.answer_heartbeats(now);
        Ok(())
    }

    fn change(&mut self, now: u64, change: GroupChange) -> Result<(), CoordinatorError> {
        match change {
            GroupChange::Restored(_, snapshot) => {
                let state = ControlState::restore(snapshot.data.as_slice());
                self.state = state.map_err(|_| CoordinatorError::Damaged)?;
                self.applied = snapshot.index;
                self.outputs.push(CoordinatorOutput::Connect);
            }
            GroupChange::Committed(_, entries) => self.apply(entries),
            GroupChange::RoleChanged(_) => self.role_changed(now),
            GroupChange::Left(_) => self.forget_state(),
            GroupChange::SnapshotWanted(group, to) => {
                let snapshot = GroupSnapshot { applied: self.applied, data: self.state.snapshot() };
                self.replicas.host.send_snapshot(now, group, to, snapshot);
            }
        }
        Ok(())
    }

    /// The control group goes on without this coordinator; should it join again, it learns all anew.
    fn forget_state(&mut self) {
        let known = self.state.coordinators().to_vec();
        known.iter().for_each(|member| self.hear_of(member));
        self.state = ControlState::default();
        self.changes = changes_for(&self.settings);
        self.applied = 0;
    }

    fn apply(&mut self, entries: Vec<Entry>) {
        let before = self.state.directory_version();
        for entry in entries {
            self.applied = entry.index;
            let Payload::Command(command) = entry.payload else { continue };
            let result = match ControlCommand::from_bytes(command.as_slice()) {
                Ok(command) => self.state.apply(&command),
                Err(error) => {
                    tracing::error!(index = entry.index, %error, "an entry of the control group cannot be read");
                    continue;
                }
            };
            if let ControlResult::Taken { .. } = result
                && let Some(configuration) = self.state.configuration()
            {
                self.changes.note(&configuration);
            }
            self.answer(entry.index, entry.term, &result);
        }
        if self.state.directory_version() != before {
            self.outputs.push(CoordinatorOutput::Connect);
        }
    }

    fn role_changed(&mut self, now: u64) {
        let own = self.leader() == Some(self.member.replica);
        if !own {
            // Calls without an entry that is committed are left without an answer: the caller asks the new leader.
            let left = std::mem::take(&mut self.pending).into_values();
            self.outputs.extend(left.map(|pending| CoordinatorOutput::NoReply(pending.caller)));
        }
        let term = self.term();
        self.duties.role_changed(own.then_some(term), now);
        tracing::info!(term, leads = own, leader = ?self.leader().map(|leader| leader.0), "control group");
    }

    /// The leader's duties; true if something was proposed.
    fn lead(&mut self, now: u64) -> bool {
        if let Some(call) = self.duties.list_call(now) {
            self.outputs.push(CoordinatorOutput::CallPlatform(call));
        }
        let mut proposed = false;
        if let Some(replica) = self.replicas.host.replica(GroupId::CONTROL)
            && let Some(change) = self.duties.membership_change(&self.state, replica, &self.sessions, now)
            && let Some(replica) = self.replicas.host.replica_mut(GroupId::CONTROL)
        {
            match replica.change_membership(now, change) {
                Ok(index) => {
                    tracing::info!(index, ?change, "membership of the control group changes");
                    proposed = true;
                }
                Err(error) => tracing::debug!(%error, ?change, "no change of membership now"),
            }
        }
        for command in self.duties.commands(&self.state, &self.member, &self.sessions, now) {
            tracing::debug!(?command, "proposed");
            proposed |= self.propose(now, &command).is_some();
        }
        proposed
    }

    fn tell(&mut self, now: u64) {
        self.update_told();
        let configuration = self.state.configuration();
        if let Some(configuration) = &configuration {
            self.changes.note(configuration);
        }
        let in_force = InForce {
            term: self.term(),
            configuration: configuration.as_ref(),
            changes: &mut self.changes,
            directory: &self.directory,
            runners: self.duties.runners(),
            members: &self.members,
        };
        self.sessions.tell(now, in_force, &update_window(&self.settings));
    }

    /// Works out anew what sessions are told, where it has changed: there are many calls between two changes.
    fn update_told(&mut self) {
        let membership =
            self.replicas.host.replica(GroupId::CONTROL).map(|replica| replica.membership().clone());
        let membership = membership.unwrap_or_default();
        let is_new_directory = self.directory.version != self.state.directory_version();
        if is_new_directory {
            self.directory = self.state.directory();
        }
        if is_new_directory || self.membership != membership {
            let known = self.coordinators();
            let address = |member| known.iter().find(|(id, _)| *id == member).map(|(_, at)| at.to_string());
            let addresses: Vec<String> = membership.members().filter_map(address).collect();
            self.membership = membership;
            if self.members.addresses != addresses {
                self.members = ControlMembers { version: self.members.version + 1, addresses };
            }
        }
    }
}
