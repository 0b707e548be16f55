//! The retirements in the state of the control group.

use crate::state::{ControlState, REMEMBERED_RETIREMENTS, Retirement, RetirementPhase};
use crate::state_command::ControlResult;

impl ControlState {
    pub(crate) fn start_retire(
        &mut self,
        node: &str,
        deadline_ms: u64,
        minimum_stores: u32,
    ) -> ControlResult {
        let phase = self.retirement(node).map(|retirement| retirement.phase);
        if phase == Some(RetirementPhase::Running) {
            return ControlResult::RetireUnderWay;
        }
        if !self.has_store(node) {
            let is_retired = phase == Some(RetirementPhase::Succeeded);
            return if is_retired { ControlResult::AlreadyRetired } else { ControlResult::UnknownNode };
        }
        let left = self.staying_stores().saturating_sub(1);
        if left < minimum_stores {
            return ControlResult::TooFewLeft { left, needed: minimum_stores };
        }
        self.retirements.retain(|retirement| retirement.node != node);
        self.retirements.push(Retirement {
            node: node.to_owned(),
            deadline_ms,
            phase: RetirementPhase::Running,
        });
        ControlResult::RetireStarted
    }

    pub(crate) fn finish_retire(&mut self, node: &str) -> ControlResult {
        let Some(retirement) = self.retirement(node) else { return ControlResult::UnknownNode };
        if retirement.phase == RetirementPhase::Succeeded {
            return ControlResult::AlreadyRetired;
        }
        if self.is_wanted(node) {
            return ControlResult::StillPlaced;
        }
        self.strike_off_store(node);
        self.end_retirement(node);
        ControlResult::RetireFinished
    }

    /// Marks a running retirement as done and lets go of the oldest finished ones.
    pub(crate) fn end_retirement(&mut self, node: &str) {
        let Some(index) = self.retirements.iter().position(|known| known.node == node) else { return };
        let mut retirement = self.retirements.remove(index);
        retirement.phase = RetirementPhase::Succeeded;
        self.retirements.push(retirement);
        let is_finished = |known: &Retirement| known.phase == RetirementPhase::Succeeded;
        let finished = self.retirements.iter().filter(|known| is_finished(known)).count();
        if finished > REMEMBERED_RETIREMENTS
            && let Some(oldest) = self.retirements.iter().position(is_finished)
        {
            self.retirements.remove(oldest);
        }
    }

    /// How many stores are not retiring.
    fn staying_stores(&self) -> u32 {
        let is_retiring = |node: &str| self.retiring().any(|retirement| retirement.node == node);
        let staying = self.stores.iter().filter(|store| !is_retiring(&store.node)).count();
        u32::try_from(staying).unwrap_or(u32::MAX)
    }
}
