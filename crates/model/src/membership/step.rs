//! What may happen next, for `stateright`.

use stateright::{Model, Property};

use super::replica::{Disk, ReplicaState, Role};
use super::{Group, Members, Scenario, Writes};

/// Something that may happen.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Step {
    /// A replica asks for votes in a new term; also when the leader asked it to take over (`transfer_leadership`).
    StartCampaign(usize),
    /// A voter grants its vote to a candidate, which may `become_leader` by it.
    Vote {
        /// The voter.
        voter: usize,
        /// The candidate.
        candidate: usize,
    },
    /// A leader appends a command.
    Propose(usize),
    /// A leader appends a change of membership.
    ChangeMembership {
        /// The leader.
        leader: usize,
        /// The membership from then on.
        members: Members,
    },
    /// A follower takes a leader's log up.
    Append {
        /// The leader.
        leader: usize,
        /// The follower.
        follower: usize,
    },
    /// The log of a replica is on its disk, and the leader told, which may `advance_commit` by it.
    Written(usize),
    /// A replica dies and is there again at once.
    Restart(usize),
    /// A replica is cut off; killed and not back, if it restarts meanwhile.
    Cut(usize),
    /// A replica that was cut off is back.
    Join(usize),
    /// A disk is lost for good.
    LoseDisk(usize),
    /// A newcomer starts with an empty disk.
    Replace(usize),
    /// A replica that has retired is taken away, and its disk with it.
    TakeAway(usize),
    /// The time for synchronising has passed: what was repaired counts as lost no more.
    SyncTimePasses,
}

impl Model for Scenario {
    type State = Group;
    type Action = Step;

    fn init_states(&self) -> Vec<Group> {
        self.first_leaders.iter().map(|leader| self.first_state(leader)).collect()
    }

    fn actions(&self, group: &Group, steps: &mut Vec<Step>) {
        for replica in 0..group.replicas.len() {
            self.own_steps(group, replica, steps);
            self.election_steps(group, replica, steps);
            self.leader_steps(group, replica, steps);
            self.fault_steps(group, replica, steps);
        }
        if !group.tolerance.trouble.is_empty() && self.is_repaired(group) {
            steps.push(Step::SyncTimePasses);
        }
    }

    fn next_state(&self, group: &Group, step: Step) -> Option<Group> {
        let mut next = group.clone();
        self.apply(&mut next, step);
        Some(next)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        super::properties::of(self)
    }
}

impl Scenario {
    fn own_steps(&self, group: &Group, replica: usize, steps: &mut Vec<Step>) {
        let state = &group.replicas[replica];
        if state.disk == Disk::Kept && usize::from(state.durable) < state.log.len() {
            steps.push(Step::Written(replica));
        }
    }

    fn election_steps(&self, group: &Group, replica: usize, steps: &mut Vec<Step>) {
        let state = &group.replicas[replica];
        if !state.is_up() {
            return;
        }
        if state.term < self.limits.terms && self.may_campaign(group, replica) {
            steps.push(Step::StartCampaign(replica));
        }
        let Role::Candidate { granted } = state.role else { return };
        let asked = state.members().voters.minus(granted).and(group.up());
        for voter in asked.iter().filter(|voter| group.grants(*voter, replica)) {
            steps.push(Step::Vote { voter, candidate: replica });
        }
    }

    /// Whether a replica may campaign: it votes in a membership of its log, and its pre-vote would be won.
    pub(super) fn may_campaign(&self, group: &Group, candidate: usize) -> bool {
        let state = &group.replicas[candidate];
        let is_promotable = state.is_promotable(candidate)
            || (self.learners_campaign && state.members().learners.contains(candidate));
        state.leadership().is_none() && is_promotable && group.would_be_elected(candidate)
    }

    /// Whether others may need `replica` as their leader: it votes, or its removal is not committed. It may be the only
    /// one that has the removal in its log.
    pub(super) fn is_needed(&self, group: &Group, replica: usize) -> bool {
        let members = group.replicas[replica].members();
        let is_member = |members: Members| members.voters.contains(replica);
        is_member(members)
            || is_member(group.acknowledged_members())
            || (self.learners_campaign && members.learners.contains(replica))
    }

    fn leader_steps(&self, group: &Group, leader: usize, steps: &mut Vec<Step>) {
        let state = &group.replicas[leader];
        if state.disk != Disk::Kept || state.leadership().is_none() {
            return;
        }
        for follower in (0..group.replicas.len()).filter(|follower| group.may_append(leader, *follower)) {
            if brings_news(state, &group.replicas[follower]) {
                steps.push(Step::Append { leader, follower });
            }
        }
        if state.log.len() >= self.limits.entries {
            return;
        }
        if group.commands < self.limits.commands && state.members().voters.contains(leader) {
            steps.push(Step::Propose(leader));
        }
        if group.may_change(leader) {
            let possible = self.possible_members(group, leader);
            steps.extend(possible.into_iter().map(|members| Step::ChangeMembership { leader, members }));
        }
    }

    fn fault_steps(&self, group: &Group, replica: usize, steps: &mut Vec<Step>) {
        let state = &group.replicas[replica];
        let (limits, tolerance) = (&self.limits, &group.tolerance);
        match state.disk {
            Disk::Lost => return,
            Disk::Absent => {
                if tolerance.trouble.contains(self.seats[replica]) {
                    steps.push(Step::Replace(replica));
                }
                return;
            }
            Disk::Kept => {}
        }
        let forgets = usize::from(state.durable) < state.log.len() || state.role != Role::Follower;
        if forgets && tolerance.restarts < limits.restarts {
            steps.push(Step::Restart(replica));
        }
        if !state.reachable {
            steps.push(Step::Join(replica));
        }
        if self.retiring.contains(replica) && !group.acknowledged_members().contains(replica) {
            steps.push(Step::TakeAway(replica));
        }
        if !self.may_fail(group, replica) {
            return;
        }
        if state.reachable && tolerance.outages < limits.outages {
            steps.push(Step::Cut(replica));
        }
        if tolerance.wipes < limits.wipes {
            steps.push(Step::LoseDisk(replica));
        }
    }

    /// Does a step that may happen.
    pub(super) fn apply(&self, group: &mut Group, step: Step) {
        match step {
            Step::StartCampaign(candidate) => group.start_campaign(candidate),
            Step::Vote { voter, candidate } => group.vote(voter, candidate),
            Step::Propose(leader) => group.propose(leader),
            Step::ChangeMembership { leader, members } => group.change_membership(leader, members),
            Step::Append { leader, follower } => group.append(leader, follower),
            Step::Written(replica) => group.written(replica),
            Step::Restart(replica) => {
                group.tolerance.restarts += 1;
                group.restart(replica);
            }
            Step::Cut(replica) => {
                group.replicas[replica].reachable = false;
                self.note_failure(group, replica);
            }
            Step::Join(replica) => group.replicas[replica].reachable = true,
            Step::LoseDisk(replica) => {
                group.lose_disk(replica);
                self.note_failure(group, replica);
            }
            Step::Replace(newcomer) => group.replicas[newcomer] = ReplicaState::started(Vec::new(), 0),
            Step::TakeAway(retired) => group.lose_disk(retired),
            Step::SyncTimePasses => self.sync_time_passes(group),
        }
        if self.writes == Writes::Immediate {
            self.write_all(group);
        }
    }

    fn write_all(&self, group: &mut Group) {
        for replica in 0..group.replicas.len() {
            let state = &group.replicas[replica];
            if state.disk == Disk::Kept && usize::from(state.durable) < state.log.len() {
                group.written(replica);
            }
        }
    }
}

fn brings_news(leader: &ReplicaState, follower: &ReplicaState) -> bool {
    follower.log != leader.log || follower.term < leader.term || follower.role != Role::Follower
}
