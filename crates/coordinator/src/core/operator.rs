//! Calls of the operator. One that changes something is answered from its applied entry, one that asks or may be refused
//! from the confirmed state ([`super::reads`]); never from what this coordinator only believes to be in force.

use ruddervalve_mutation::{Mutation, is_active};
use ruddervalve_protocol::GroupId;

use super::reads::Question;
use super::{CallerNumber, CoordinatorCore, CoordinatorOutput, OperatorReply, Pending};
use crate::operator::{Answer, OperatorCall, answer_replace, answer_retire};
use crate::state_command::{ControlCommand, ControlResult};

impl CoordinatorCore {
    /// An operator calls; `caller` names the call in [`CoordinatorOutput::Reply`].
    pub fn operator(&mut self, now: u64, caller: CallerNumber, call: OperatorCall) {
        // Whoever was frozen since its last turn has to learn first that its office may have ended.
        self.replicas.host.tick(now);
        if self.leader() != Some(self.member.replica) {
            return self.refer(now, caller);
        }
        match call {
            OperatorCall::GetConfiguration => self.ask_state(now, caller, Question::Configuration),
            OperatorCall::GetRetire { node } => self.ask_state(now, caller, Question::Retirement { node }),
            OperatorCall::StartRetire(order) => self.ask_state(now, caller, Question::MayRetire(order)),
            OperatorCall::ReplaceConfiguration(order) => {
                let command = ControlCommand::ReplaceConfiguration(order.replacement);
                self.propose_for(now, &command, false, caller);
            }
        }
    }

    /// Sends a caller to the leader, if that was heard of lately. Nothing was or will be done about the call.
    pub(super) fn refer(&mut self, now: u64, caller: CallerNumber) {
        let reply = match self.leader_control_address(now) {
            Some(address) => OperatorReply::Redirect(address),
            None => OperatorReply::Answer(Answer::unavailable("no coordinator leads at present: ask again")),
        };
        self.reply(caller, reply);
    }

    /// Proposes a command, whose result will be the answer.
    pub(super) fn propose_for(
        &mut self,
        now: u64,
        command: &ControlCommand,
        is_retire: bool,
        caller: CallerNumber,
    ) {
        match self.propose(now, command) {
            Some(index) => {
                let pending = Pending { term: self.term(), is_retire, caller };
                self.pending.insert(index, pending);
            }
            None => {
                let answer = Answer::unavailable("this coordinator is handing over: ask again");
                self.answer_caller(caller, answer);
            }
        }
    }

    pub(super) fn propose(&mut self, now: u64, command: &ControlCommand) -> Option<u64> {
        let replica = self.replicas.host.replica_mut(GroupId::CONTROL)?;
        replica.propose(now, command.to_blob()).ok()
    }

    pub(super) fn answer_caller(&mut self, caller: CallerNumber, answer: Answer) {
        self.reply(caller, OperatorReply::Answer(answer));
    }

    fn reply(&mut self, caller: CallerNumber, reply: OperatorReply) {
        self.outputs.push(CoordinatorOutput::Reply(caller, reply));
    }

    /// A call's entry was applied.
    pub(super) fn answer(&mut self, index: u64, term: u64, result: &ControlResult) {
        let newest = || self.pending.keys().next_back().copied().unwrap_or(index);
        let index = if is_active(Mutation::CallsCrossed) { newest() } else { index };
        let Some(pending) = self.pending.remove(&index) else { return };
        if pending.term != term {
            // The place in the log was taken by another leader's entry: what became of the call is not known.
            return self.outputs.push(CoordinatorOutput::NoReply(pending.caller));
        }
        if let ControlResult::Taken { version } = result {
            tracing::info!(version, "configuration taken");
        }
        let answer = if pending.is_retire { answer_retire(result) } else { answer_replace(result) };
        self.answer_caller(pending.caller, answer);
    }
}
