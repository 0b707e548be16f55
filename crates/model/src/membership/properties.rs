//! What has to hold in each state.

use stateright::Property;

use super::entry::{Entry, Payload, common_length, latest_members};
use super::{Group, Members, ReplicaSet, ReplicaState, Scenario};

/// The names of the properties.
pub mod name {
    /// No two leaders commit different entries at one index.
    pub const AGREEMENT: &str = "what was acknowledged is never replaced";
    /// What was acknowledged is on the disks of f + 1 members, less those that were lost and not replaced yet.
    pub const COPIES: &str = "what was acknowledged is on f + 1 disks";
    /// A leader has all that was acknowledged up to its term.
    pub const COMPLETENESS: &str = "a leader has what was acknowledged";
    /// Each term has one leader at most.
    pub const ONE_LEADER: &str = "a term has one leader";
    /// No log has two changes that are not committed.
    pub const ONE_CHANGE: &str = "one change at a time";
    /// No membership has fewer than 2f voters.
    pub const VOTERS: &str = "a group has 2f voters or more";
    /// Those that are up can elect a leader.
    pub const ELECTABLE: &str = "a leader can be elected";
    /// The voters that are up and have the old state are a quorum: nobody waits until a newcomer has it.
    pub const WHOLE_QUORUM: &str = "a quorum has the old state";
    /// If nothing more fails, there is a leader, all that are up agree, and newcomers have taken the places of the lost.
    pub const CALM: &str = "calm brings repair";
    /// A newcomer takes a place.
    pub const REPLACED: &str = "a newcomer takes the place";
    /// A newcomer steps back for one that has returned.
    pub const STEPPED_BACK: &str = "a newcomer steps back";
    /// A failure is repaired, and then another one comes.
    pub const ANOTHER_LOSS: &str = "another loss comes after the repair";
    /// One that has retired is gone, and then a disk is lost.
    pub const LOSS_AFTER_RETIREMENT: &str = "a loss comes after the retirement";
}

/// The properties of a scenario.
pub(super) fn of(scenario: &Scenario) -> Vec<Property<Scenario>> {
    let mut properties = vec![
        Property::always(name::AGREEMENT, |_, group: &Group| !group.diverged),
        Property::always(name::COPIES, has_copies),
        Property::always(name::COMPLETENESS, |_, group| leaders_are_complete(group)),
        Property::always(name::ONE_LEADER, |_, group| terms_have_one_leader(group)),
        Property::always(name::ONE_CHANGE, |_, group| changes_one_at_a_time(group)),
        Property::always(name::VOTERS, has_enough_voters),
        Property::always(name::ELECTABLE, |scenario: &Scenario, group| scenario.electable(group).is_some()),
        Property::always(name::WHOLE_QUORUM, has_whole_quorum),
        Property::sometimes(name::REPLACED, newcomer_votes),
    ];
    if scenario.calm {
        properties.push(Property::always(name::CALM, Scenario::calm_brings_repair));
    }
    if scenario.retiring.is_empty() && scenario.limits.outages > 0 {
        properties.push(Property::sometimes(name::STEPPED_BACK, newcomer_stepped_back));
    }
    if scenario.retiring.is_empty() && scenario.limits.outages + scenario.limits.wipes > 1 {
        properties.push(Property::sometimes(name::ANOTHER_LOSS, |_, group: &Group| {
            group.tolerance.repairs > 0 && !group.tolerance.trouble.is_empty()
        }));
    }
    if !scenario.retiring.is_empty() && scenario.limits.wipes > 0 {
        properties.push(Property::sometimes(name::LOSS_AFTER_RETIREMENT, has_loss_after_retirement));
    }
    properties
}

fn has_copies(scenario: &Scenario, group: &Group) -> bool {
    // A learner counts too: the change that gives it the vote is in force before it is acknowledged.
    let Members { voters, learners } = group.acknowledged_members();
    let has = |member: &usize| group.replicas[*member].holds_durably(&group.acknowledged);
    let copies = voters.or(learners).iter().filter(has).count();
    copies + group.tolerance.lost.len() > scenario.tolerated
}

fn leaders_are_complete(group: &Group) -> bool {
    // The last entry that was acknowledged is of the term in which it was.
    let acknowledged_in = group.acknowledged.last().map_or(0, |entry| entry.term);
    let is_due = |leader: &&ReplicaState| leader.leadership().is_some() && leader.term >= acknowledged_in;
    group.replicas.iter().filter(is_due).all(|leader| leader.log.starts_with(&group.acknowledged))
}

fn terms_have_one_leader(group: &Group) -> bool {
    let mut leaders = [None; u8::MAX as usize + 1];
    let logs = group.replicas.iter().flat_map(|replica| &replica.log);
    logs.chain(&group.acknowledged).all(|entry| match entry.payload {
        Payload::Empty(leader) => *leaders[usize::from(entry.term)].get_or_insert(leader) == leader,
        Payload::Command(_) | Payload::Membership(_) => true,
    })
}

fn changes_one_at_a_time(group: &Group) -> bool {
    group.replicas.iter().all(|replica| {
        let committed = common_length(&replica.log, &group.acknowledged);
        replica.log[committed..].iter().filter(|entry| entry.membership().is_some()).count() <= 1
    })
}

fn has_enough_voters(scenario: &Scenario, group: &Group) -> bool {
    let least = 2 * scenario.tolerated;
    group.replicas.iter().filter(|replica| replica.is_up()).all(|replica| {
        let (since, members) = latest_members(&replica.log);
        since == 0 || members.voters.len() >= least
    })
}

impl Scenario {
    /// One that is up and leads with a quorum behind it, or would be elected by those that are up.
    fn electable(&self, group: &Group) -> Option<usize> {
        let leads = |candidate: usize| group.replicas[candidate].leadership().is_some();
        let would_win = |candidate: usize| self.may_campaign(group, candidate) || leads(candidate);
        group.up().iter().find(|candidate| {
            self.is_needed(group, *candidate) && would_win(*candidate) && group.would_be_elected(*candidate)
        })
    }
}

fn has_whole_quorum(scenario: &Scenario, group: &Group) -> bool {
    let old_length = scenario.first_log(0).len();
    let Some(candidate) = scenario.electable(group) else { return false };
    let is_whole = |replica: &usize| group.replicas[*replica].log.len() >= old_length;
    let whole: ReplicaSet = group.up().iter().filter(is_whole).collect();
    group.replicas[candidate].members().has_quorum(whole)
}

fn newcomer_votes(scenario: &Scenario, group: &Group) -> bool {
    let voters = group.acknowledged_members().voters;
    let newcomers = voters.minus(ReplicaSet::first(scenario.founders));
    !newcomers.is_empty() && voters.len() == scenario.full_group()
}

fn newcomer_stepped_back(scenario: &Scenario, group: &Group) -> bool {
    let removed = |entry: &Entry| entry.membership().is_some_and(|members| !members.learners.is_empty());
    let was_learner = group.acknowledged.iter().any(removed);
    let members = group.acknowledged_members();
    was_learner && members.learners.is_empty() && members.voters == ReplicaSet::first(scenario.founders)
}

fn has_loss_after_retirement(scenario: &Scenario, group: &Group) -> bool {
    let is_left = group.acknowledged_members().voters.and(scenario.retiring).is_empty();
    is_left && !group.tolerance.lost.is_empty()
}
