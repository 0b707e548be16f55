//! Calls of the operator that are answered from the state: each waits until a quorum has confirmed, by messages sent after
//! the call came, that this coordinator still leads, and until all that was committed before is applied.
//!
//! No clock takes part, so that a process may be frozen at any point in between: see `ruddervalve_consensus`'s module of
//! reads for the proof. Refusals that rest on the state alone (404, 409) are answers too and wait in the same way.

use ruddervalve_consensus::{ReadProgress, ReadRequest};
use ruddervalve_protocol::GroupId;

use super::{CallerNumber, CoordinatorCore};
use crate::operator::{Answer, RetireOrder};

/// What a call wants to know of the state.
#[derive(Debug)]
pub(super) enum Question {
    /// The configuration in force.
    Configuration,
    /// How far a retirement is.
    Retirement {
        /// The store's `NodeName`.
        node: String,
    },
    /// Whether a store may be emptied: then the order is proposed.
    MayRetire(RetireOrder),
}

/// A call that waits for its confirmation.
#[derive(Debug)]
pub(super) struct WaitingRead {
    read: ReadRequest,
    question: Question,
    caller: CallerNumber,
    /// When it was asked, in milliseconds of the owner's clock.
    asked_at: u64,
}

impl CoordinatorCore {
    /// Begins to answer a call from the state.
    pub(super) fn ask_state(&mut self, now: u64, caller: CallerNumber, question: Question) {
        let replica = self.replicas.host.replica_mut(GroupId::CONTROL);
        match replica.and_then(|replica| replica.request_read(now)) {
            Some(read) => self.reads.push(WaitingRead { read, question, caller, asked_at: now }),
            None => self.refer(now, caller),
        }
    }

    /// Answers what is confirmed, and refers to others what this coordinator can answer no more. Call it when all that
    /// was handed out is applied; true if something was proposed.
    pub(super) fn answer_reads(&mut self, now: u64) -> bool {
        let mut proposed = false;
        for waiting in std::mem::take(&mut self.reads) {
            match self.read_progress(&waiting.read) {
                ReadProgress::Waiting => self.reads.push(waiting),
                ReadProgress::Lost => self.refer(now, waiting.caller),
                ReadProgress::Confirmed => proposed |= self.answer_read(now, waiting),
            }
        }
        proposed
    }

    fn read_progress(&self, read: &ReadRequest) -> ReadProgress {
        let replica = self.replicas.host.replica(GroupId::CONTROL);
        replica.map_or(ReadProgress::Lost, |replica| replica.read_progress(read))
    }

    /// True if something was proposed.
    fn answer_read(&mut self, now: u64, waiting: WaitingRead) -> bool {
        let WaitingRead { question, caller, asked_at, .. } = waiting;
        let answer = match question {
            Question::Configuration => {
                self.log_configuration_read(now.saturating_sub(asked_at));
                Answer::configuration(self.state.configuration().as_ref())
            }
            Question::Retirement { node } => Answer::retirement(self.state.retirement(&node)),
            Question::MayRetire(order) => match self.duties.check_retire(&self.state, &order.node, now) {
                Ok(()) => {
                    self.propose_for(now, &order.command(self.duties.replicas()), true, caller);
                    return true;
                }
                Err(fault) => Answer::retire_fault(fault),
            },
        };
        self.answer_caller(caller, answer);
        false
    }

    /// Logs which version a read is answered with and how long it has waited: one that was asked before a newer version
    /// was acknowledged may be answered with the older.
    fn log_configuration_read(&self, waited_ms: u64) {
        let version = self.state.configuration_version();
        tracing::info!(version, waited_ms, term = self.term(), "configuration read");
    }
}
