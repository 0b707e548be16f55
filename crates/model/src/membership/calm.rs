//! What becomes of a group if nothing more fails: the protocol does what it can, until nothing is left to do.

use super::{Group, ReplicaSet, Scenario, Step};

/// More rounds than any repair takes: each round has one election or one change.
const ROUNDS: usize = 24;

impl Scenario {
    /// Whether a group in which nothing more fails comes to rest under a leader, with all members that are up agreed and
    /// all changes made; and whether it is whole again if enough replicas are up for that.
    pub(super) fn calm_brings_repair(&self, group: &Group) -> bool {
        let mut group = group.clone();
        for _ in 0..ROUNDS {
            let Some(leader) = self.calm_leader(&mut group) else { return false };
            self.replicate(&mut group, leader);
            // Its removal is committed, so that another has to lead.
            if group.replicas[leader].leadership().is_none() {
                continue;
            }
            if !group.may_change(leader) {
                return false;
            }
            match self.next_members(&group, leader) {
                Some(members) => self.apply(&mut group, Step::ChangeMembership { leader, members }),
                None => return self.is_as_whole_as_may_be(&group, leader),
            }
        }
        false
    }

    fn is_as_whole_as_may_be(&self, group: &Group, leader: usize) -> bool {
        let able = group.up().minus(self.retiring);
        let voters = group.replicas[leader].members().voters;
        able.len() < self.full_group() || (voters.minus(able).is_empty() && voters.len() == self.full_group())
    }

    /// The leader that all that are up follow, elected if there is none.
    fn calm_leader(&self, group: &mut Group) -> Option<usize> {
        let newest_term = group.newest_term();
        if let Some(leader) = group.leader() {
            return Some(leader);
        }
        for replica in group.up().iter() {
            group.replicas[replica].become_follower(newest_term);
        }
        let candidate = group
            .up()
            .iter()
            .find(|candidate| self.is_needed(group, *candidate) && self.may_campaign(group, *candidate))?;
        self.apply(group, Step::StartCampaign(candidate));
        let voters = group.replicas[candidate].members().voters.without(candidate).and(group.up());
        for voter in voters.iter() {
            let is_elected = group.replicas[candidate].leadership().is_some();
            if !is_elected && group.grants(voter, candidate) {
                self.apply(group, Step::Vote { voter, candidate });
            }
        }
        group.replicas[candidate].leadership().is_some().then_some(candidate)
    }

    fn replicate(&self, group: &mut Group, leader: usize) {
        self.apply(group, Step::Written(leader));
        let followers: ReplicaSet = group.up().without(leader);
        for follower in followers.iter() {
            if group.may_append(leader, follower) {
                self.apply(group, Step::Append { leader, follower });
                self.apply(group, Step::Written(follower));
            }
        }
    }
}
