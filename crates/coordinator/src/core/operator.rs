//! Calls of the operator.

use ruddervalve_mutation::{Mutation, is_active};
use ruddervalve_protocol::GroupId;

use super::{CallerNumber, CoordinatorCore, CoordinatorOutput, OperatorReply, Pending};
use crate::operator::{Answer, OperatorCall, answer_replace, answer_retire};
use crate::state_command::{ControlCommand, ControlResult};

impl CoordinatorCore {
    /// An operator calls; `caller` names the call in [`CoordinatorOutput::Reply`].
    pub fn operator(&mut self, now: u64, caller: CallerNumber, call: OperatorCall) {
        if !self.leads(now) {
            let reply = match self.leader_control_address(now) {
                Some(address) => OperatorReply::Redirect(address),
                None => {
                    OperatorReply::Answer(Answer::unavailable("no coordinator leads at present: ask again"))
                }
            };
            return self.reply(caller, reply);
        }
        match call {
            OperatorCall::GetConfiguration => {
                let answer = Answer::configuration(self.state.configuration().as_ref());
                self.reply(caller, OperatorReply::Answer(answer));
            }
            OperatorCall::GetRetire { node } => {
                let answer = Answer::retirement(self.state.retirement(&node));
                self.reply(caller, OperatorReply::Answer(answer));
            }
            OperatorCall::ReplaceConfiguration(order) => {
                let command = ControlCommand::ReplaceConfiguration(order.replacement);
                self.propose_for(now, command, false, caller);
            }
            OperatorCall::StartRetire(order) => match self.duties.check_retire(&self.state, &order.node, now)
            {
                Ok(()) => self.propose_for(now, order.command(self.duties.replicas()), true, caller),
                Err(fault) => self.reply(caller, OperatorReply::Answer(Answer::retire_fault(fault))),
            },
        }
    }

    fn propose_for(&mut self, now: u64, command: ControlCommand, is_retire: bool, caller: CallerNumber) {
        match self.propose(now, &command) {
            Some(index) => {
                let pending = Pending { term: self.term(), is_retire, caller };
                self.pending.insert(index, pending);
            }
            None => {
                let answer = Answer::unavailable("this coordinator is handing over: ask again");
                self.reply(caller, OperatorReply::Answer(answer));
            }
        }
    }

    pub(super) fn propose(&mut self, now: u64, command: &ControlCommand) -> Option<u64> {
        let replica = self.replicas.host.replica_mut(GroupId::CONTROL)?;
        replica.propose(now, command.to_blob()).ok()
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
        self.reply(pending.caller, OperatorReply::Answer(answer));
    }
}
