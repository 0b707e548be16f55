//! The control group's own membership: it follows the coordinators that are there.

use std::collections::BTreeSet;

use ruddervalve_consensus::{MembershipChange, Replica};
use ruddervalve_protocol::{CoordinatorMember, ReplicaId};
use ruddervalve_replication::{LeaderView, next_change};
use ruddervalve_runtime::lost_after_ms;

use super::{Duties, connected_coordinators, is_retiring};
use crate::sessions::Sessions;
use crate::state::ControlState;

impl Duties {
    /// The next step of the control group's own membership towards the coordinators that are there.
    pub fn membership_change(
        &mut self,
        state: &ControlState,
        replica: &Replica,
        sessions: &Sessions,
        now: u64,
    ) -> Option<MembershipChange> {
        self.watch_coordinators(state, replica, sessions, now);
        if !replica.membership_committed() || state.coordinators().is_empty() {
            return None;
        }
        let wanted = self.wanted_voters(state, replica, sessions, now);
        let least_voters = self.full_group().saturating_sub(1);
        let view = LeaderView { replica, now, lost_after_ms: lost_after_ms(&self.settings) };
        next_change(replica.membership(), &wanted, least_voters, &view)
    }

    fn watch_coordinators(&mut self, state: &ControlState, replica: &Replica, sessions: &Sessions, now: u64) {
        self.group_members = replica.membership().members().collect();
        let connected: BTreeSet<ReplicaId> =
            connected_coordinators(sessions).map(|member| member.replica).collect();
        let known = state.coordinators().iter().map(|member| member.replica);
        let known: BTreeSet<ReplicaId> = known.chain(self.group_members.iter().copied()).collect();
        let is_there =
            |id: ReplicaId| id == replica.id() || connected.contains(&id) || replica.recently_active(id, now);
        self.away.watch(&known, is_there, now);
    }

    /// How many voters the group has where enough coordinators are there.
    fn full_group(&self) -> usize {
        usize::try_from(self.replicas()).unwrap_or(usize::MAX)
    }

    /// The voters as they are, without those whose disk was replaced or whose machine is to be emptied, filled up with
    /// coordinators that are connected. One that is away makes room for another that is connected, and stays as long as
    /// there is none. If it returns before the other has its vote, it is wanted again.
    fn wanted_voters(
        &self,
        state: &ControlState,
        replica: &Replica,
        sessions: &Sessions,
        now: u64,
    ) -> Vec<ReplicaId> {
        let stays = |member: &&CoordinatorMember| !is_retiring(state, &member.node);
        let known: Vec<ReplicaId> =
            state.coordinators().iter().filter(stays).map(|member| member.replica).collect();
        let leaves = |voter: ReplicaId| {
            let member = state.coordinators().iter().find(|member| member.replica == voter);
            member.is_some_and(|member| is_retiring(state, &member.node))
        };
        let mut wanted = replica.membership().voters.clone();
        wanted.retain(|voter| !state.is_fenced(*voter) && !leaves(*voter));
        let candidates = self.candidates(state, replica, sessions, now);
        for candidate in candidates.into_iter().filter(|candidate| known.contains(candidate)) {
            if wanted.contains(&candidate) {
                continue;
            }
            let is_away = |voter: &ReplicaId| self.away.is_away(*voter, self.rules.away_after_ms, now);
            if wanted.len() < self.full_group() {
                wanted.push(candidate);
            } else if let Some(away) = wanted.iter_mut().find(|voter| is_away(voter)) {
                *away = candidate;
            }
        }
        wanted
    }

    /// Coordinators that are connected: first those that learn the log already, then those in the zones with fewest
    /// voters. A coordinator's zone is that of the store on its machine, where it is known.
    fn candidates(
        &self,
        state: &ControlState,
        replica: &Replica,
        sessions: &Sessions,
        now: u64,
    ) -> Vec<ReplicaId> {
        let zone = |id: ReplicaId| {
            let member = state.coordinators().iter().find(|member| member.replica == id)?;
            let beside = state.stores().iter().find(|store| store.node == member.node)?;
            Some(beside.zone.as_str())
        };
        let voters = &replica.membership().voters;
        let is_there = |voter: &ReplicaId| !self.away.is_away(*voter, self.rules.away_after_ms, now);
        let crowding = |id: ReplicaId| {
            let own = zone(id);
            voters.iter().filter(|voter| is_there(voter) && zone(**voter) == own).count()
        };
        let mut candidates: Vec<ReplicaId> =
            connected_coordinators(sessions).map(|member| member.replica).collect();
        candidates.sort_by_key(|id| (!replica.membership().is_learner(*id), crowding(*id)));
        candidates
    }
}
