//! Members that leave: stores that are emptied, and whoever is gone for good.

use ruddervalve_protocol::{CoordinatorMember, ShardPlacement, StoreMember};

use super::{Duties, is_retiring};
use crate::placement::{RetireFault, check_retire};
use crate::state::{ControlState, RetirementPhase};
use crate::state_command::ControlCommand;

impl Duties {
    /// The end of a retirement whose store holds nothing any more.
    pub(super) fn finished_retirement(&self, state: &ControlState) -> Option<ControlCommand> {
        let is_finished =
            |store: &&StoreMember| is_retiring(state, &store.node) && self.holds_nothing(state, store);
        let store = state.stores().iter().find(is_finished)?;
        Some(ControlCommand::FinishRetire { node: store.node.clone() })
    }

    /// Whether no shard wants a store, none has it as a member as far as is known, and the coordinator that shares its
    /// machine, if there is one, is no member of the control group.
    fn holds_nothing(&self, state: &ControlState, store: &StoreMember) -> bool {
        let holds = |shard: &ShardPlacement| {
            let members = self.members.get(&shard.group);
            members.is_none_or(|members| members.contains(store.replica))
        };
        let beside = state.coordinators().iter().filter(|member| member.node == store.node);
        let coordinates = beside.map(|member| member.replica).any(|id| self.group_members.contains(&id));
        !coordinates && !state.shards().iter().any(|shard| shard.wanted.contains(&store.node) || holds(shard))
    }

    /// A member that is gone for good and holds nothing any more.
    pub(super) fn forgotten(
        &self,
        state: &ControlState,
        own: &CoordinatorMember,
        now: u64,
    ) -> Option<ControlCommand> {
        let gone_after = self.rules.gone_after_ms;
        let is_gone = |store: &&StoreMember| {
            let away = self.lost.get(&store.node).map_or(0, |since| now.saturating_sub(*since));
            away >= gone_after && !is_retiring(state, &store.node) && self.holds_nothing(state, store)
        };
        if !state.shards().is_empty()
            && let Some(store) = state.stores().iter().find(is_gone)
        {
            return Some(ControlCommand::ForgetStore { node: store.node.clone() });
        }
        let is_gone = |member: &&CoordinatorMember| {
            let is_member = self.group_members.contains(&member.replica) || member.replica == own.replica;
            !is_member && self.away.is_away(member.replica, gone_after, now)
        };
        let coordinator = state.coordinators().iter().find(is_gone)?;
        Some(ControlCommand::ForgetCoordinator { node: coordinator.node.clone() })
    }

    /// Whether a store may be emptied. An order for one that is being emptied, or was, is a repeat and may go on.
    ///
    /// # Errors
    /// Too few others would remain, or it is not known.
    pub fn check_retire(&self, state: &ControlState, node: &str, now: u64) -> Result<(), RetireFault> {
        let is_listed = state.stores().iter().any(|store| store.node == node);
        let is_repeated = match state.retirement(node).map(|retirement| retirement.phase) {
            Some(RetirementPhase::Running) => true,
            Some(RetirementPhase::Succeeded) => !is_listed,
            None => false,
        };
        if is_repeated {
            return Ok(());
        }
        check_retire(&self.views(state, now), &self.rules, node)
    }
}
