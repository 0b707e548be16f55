//! The state of a group, and the transitions of the consensus.

use super::entry::{Entry, Payload, common_length, latest_members};
use super::replica::{Disk, Leadership, ReplicaState, Role, index};
use super::{MAX_REPLICAS, Members, ReplicaSet, Tolerance};

/// The state of a group, and what its clients and operators have been promised.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Group {
    /// All replicas, newcomers last.
    pub replicas: Vec<ReplicaState>,
    /// What some leader has committed, and so acknowledged.
    pub acknowledged: Vec<Entry>,
    /// Two leaders committed different entries at one index.
    pub diverged: bool,
    /// What has gone wrong so far, and what still may.
    pub tolerance: Tolerance,
    /// How many commands were proposed.
    pub commands: u8,
}

impl Group {
    /// Those that run, reach each other and have their disk.
    pub fn up(&self) -> ReplicaSet {
        (0..self.replicas.len()).filter(|replica| self.replicas[*replica].is_up()).collect()
    }

    /// The membership that was acknowledged last.
    pub fn acknowledged_members(&self) -> Members {
        latest_members(&self.acknowledged).1
    }

    /// The newest term of those that are up.
    pub(super) fn newest_term(&self) -> u8 {
        self.up().iter().map(|replica| self.replicas[replica].term).max().unwrap_or(0)
    }

    /// The leader of the newest term, among those that are up.
    pub fn leader(&self) -> Option<usize> {
        let newest_term = self.newest_term();
        let leads = |replica: &usize| {
            let replica = &self.replicas[*replica];
            replica.term == newest_term && replica.leadership().is_some()
        };
        self.up().iter().find(leads)
    }

    /// Whether those that are up and would vote for the log of `candidate` are a quorum of its membership.
    pub(super) fn would_be_elected(&self, candidate: usize) -> bool {
        let state = &self.replicas[candidate];
        let would_vote = |voter: &usize| self.replicas[*voter].newest() <= state.newest();
        state.members().has_quorum(self.up().iter().filter(would_vote).collect())
    }

    /// Asks for votes in a new term.
    pub(super) fn start_campaign(&mut self, candidate: usize) {
        let replica = &mut self.replicas[candidate];
        replica.term += 1;
        replica.vote = Some(index(candidate));
        replica.role = Role::Candidate { granted: ReplicaSet::default().with(candidate) };
        self.settle_campaign(candidate);
    }

    /// Whether `voter` would vote for `candidate`.
    pub(super) fn grants(&self, voter: usize, candidate: usize) -> bool {
        let (asked, asking) = (&self.replicas[voter], &self.replicas[candidate]);
        let same_term = asked.term == asking.term;
        let is_free = asked.vote.is_none_or(|vote| usize::from(vote) == candidate);
        let may_vote = asked.term < asking.term || (same_term && is_free);
        may_vote && asked.newest() <= asking.newest()
    }

    /// `voter` is asked by `candidate`, and grants its vote.
    pub(super) fn vote(&mut self, voter: usize, candidate: usize) {
        let term = self.replicas[candidate].term;
        let asked = &mut self.replicas[voter];
        asked.become_follower(term);
        asked.vote = Some(index(candidate));
        if let Role::Candidate { granted } = &mut self.replicas[candidate].role {
            *granted = granted.with(voter);
        }
        self.settle_campaign(candidate);
    }

    fn settle_campaign(&mut self, candidate: usize) {
        let replica = &self.replicas[candidate];
        let Role::Candidate { granted } = replica.role else { return };
        if replica.members().has_quorum(granted) {
            self.become_leader(candidate);
        }
    }

    fn become_leader(&mut self, leader: usize) {
        let replica = &mut self.replicas[leader];
        let first_index = index(replica.log.len() + 1);
        let leadership = Leadership { first_index, commit: 0, matched: [0; MAX_REPLICAS] };
        replica.role = Role::Leader(leadership);
        self.append_own(leader, Payload::Empty(index(leader)));
    }

    /// Appends an entry to a leader's own log; it is not on its disk yet.
    pub(super) fn append_own(&mut self, leader: usize, payload: Payload) {
        let replica = &mut self.replicas[leader];
        let term = replica.term;
        replica.log.push(Entry { term, payload });
    }

    /// Proposes the next command.
    pub(super) fn propose(&mut self, leader: usize) {
        self.commands += 1;
        let command = self.commands;
        self.append_own(leader, Payload::Command(command));
    }

    /// Whether `leader` may send to `follower`, and would be followed.
    pub(super) fn may_append(&self, leader: usize, follower: usize) -> bool {
        let (sender, receiver) = (&self.replicas[leader], &self.replicas[follower]);
        leader != follower
            && sender.is_up()
            && receiver.is_up()
            && sender.leadership().is_some()
            && sender.members().contains(follower)
            && receiver.term <= sender.term
    }

    /// A follower takes a leader's log up, in memory.
    pub(super) fn append(&mut self, leader: usize, follower: usize) {
        let (term, log) = (self.replicas[leader].term, self.replicas[leader].log.clone());
        let replica = &mut self.replicas[follower];
        replica.become_follower(term);
        let agreed = common_length(&replica.log, &log);
        replica.durable = replica.durable.min(index(agreed));
        replica.log = log;
    }

    /// The whole log of a replica is on its disk, and it tells the leader of its term.
    pub(super) fn written(&mut self, replica: usize) {
        let state = &mut self.replicas[replica];
        state.durable = index(state.log.len());
        if let Some(leader) = self.leader_of(replica) {
            self.acknowledge(replica, leader);
        }
    }

    /// The leader that a replica can tell what it has: itself, or the one of its term if both are up.
    fn leader_of(&self, replica: usize) -> Option<usize> {
        let state = &self.replicas[replica];
        if state.leadership().is_some() {
            return Some(replica);
        }
        let leads = |other: &usize| {
            let other = &self.replicas[*other];
            other.term == state.term && other.leadership().is_some()
        };
        state.is_up().then(|| self.up().iter().find(leads)).flatten()
    }

    fn acknowledge(&mut self, replica: usize, leader: usize) {
        let follower = &self.replicas[replica];
        let agreed = common_length(&follower.log, &self.replicas[leader].log);
        let matched = index(agreed).min(follower.durable);
        if let Role::Leader(leadership) = &mut self.replicas[leader].role {
            leadership.matched[replica] = leadership.matched[replica].max(matched);
        }
        self.advance_commit(leader);
    }

    /// Commits what a quorum has on disk, if it is of this term.
    pub(super) fn advance_commit(&mut self, leader: usize) {
        let replica = &self.replicas[leader];
        let Some(leadership) = replica.leadership() else { return };
        let members = replica.members();
        let is_on_quorum = |length: &u8| {
            let has = |member: &usize| leadership.matched[*member] >= *length;
            members.has_quorum(members.voters.iter().filter(has).collect())
        };
        let reached = (leadership.first_index..=index(replica.log.len())).rev().find(is_on_quorum);
        let Some(reached) = reached.filter(|reached| *reached > leadership.commit) else { return };
        if let Role::Leader(leadership) = &mut self.replicas[leader].role {
            leadership.commit = reached;
        }
        self.note_acknowledged(leader, usize::from(reached));
        self.leave_if_removed(leader);
    }

    fn note_acknowledged(&mut self, leader: usize, length: usize) {
        let committed = &self.replicas[leader].log[..length];
        let agreed = common_length(committed, &self.acknowledged);
        self.diverged |= agreed < length.min(self.acknowledged.len());
        if length > self.acknowledged.len() {
            self.acknowledged = committed.to_vec();
        }
    }

    /// Leaves the leadership once the leader's own removal is committed.
    fn leave_if_removed(&mut self, leader: usize) {
        let is_removed = !self.replicas[leader].members().voters.contains(leader);
        if is_removed && self.membership_committed(leader) {
            self.replicas[leader].role = Role::Follower;
        }
    }

    /// Whether a leader knows that the membership in force is committed.
    pub(super) fn membership_committed(&self, leader: usize) -> bool {
        let replica = &self.replicas[leader];
        let (since, _) = latest_members(&replica.log);
        replica.leadership().is_some_and(|leadership| usize::from(leadership.commit) >= since)
    }

    /// Whether a leader may change the membership: it has committed in its term, and the one in force is committed.
    pub(super) fn may_change(&self, leader: usize) -> bool {
        let Some(leadership) = self.replicas[leader].leadership() else { return false };
        leadership.commit >= leadership.first_index && self.membership_committed(leader)
    }

    /// Appends a change of membership, which is in force at once.
    pub(super) fn change_membership(&mut self, leader: usize, members: Members) {
        self.append_own(leader, Payload::Membership(members));
        self.advance_commit(leader);
    }

    /// Forgets what is not on disk, also who leads.
    pub(super) fn restart(&mut self, replica: usize) {
        let state = &mut self.replicas[replica];
        state.log.truncate(usize::from(state.durable));
        state.role = Role::Follower;
    }

    /// A disk is gone for good, and the identity with it.
    pub(super) fn lose_disk(&mut self, replica: usize) {
        self.replicas[replica] = ReplicaState { disk: Disk::Lost, ..ReplicaState::absent() };
    }
}
