//! Elections: pre-votes, votes, and following whoever leads.

use ruddervalve_mutation::{Mutation, is_active};
use ruddervalve_protocol::ReplicaId;

use crate::entry::{HardState, LogPosition};
use crate::membership::Membership;
use crate::message::{Body, Candidacy, PreVoteReply, PreVoteRequest, VoteReply, VoteRequest};
use crate::replica::{Replica, Role};

/// The answers to a pre-vote or a vote.
#[derive(Debug, Default)]
pub(crate) struct Ballot {
    granted: Vec<ReplicaId>,
    denied: Vec<ReplicaId>,
}

impl Ballot {
    fn clear(&mut self) {
        self.granted.clear();
        self.denied.clear();
    }

    fn count(&mut self, voter: ReplicaId, granted: bool) {
        if self.granted.contains(&voter) || self.denied.contains(&voter) {
            return;
        }
        let answers = if granted { &mut self.granted } else { &mut self.denied };
        answers.push(voter);
    }

    fn is_won(&self, membership: &Membership) -> bool {
        is_quorum(&self.granted, membership)
    }

    fn is_lost(&self, membership: &Membership) -> bool {
        is_quorum(&self.denied, membership)
    }
}

fn is_quorum(replicas: &[ReplicaId], membership: &Membership) -> bool {
    let voters = replicas.iter().filter(|id| membership.is_voter(**id)).count();
    voters >= membership.quorum()
}

impl Replica {
    /// Asks whether it would be elected, before it raises the term.
    pub(crate) fn start_pre_vote(&mut self) {
        self.set_role(Role::PreCandidate, None);
        self.draw_election_timeout();
        self.ballot.clear();
        self.ballot.count(self.id, true);
        let request = PreVoteRequest { candidacy: self.candidacy(), round: self.draw_number() };
        for voter in self.other_voters() {
            self.send(voter, Body::PreVote(request));
        }
        if self.ballot.is_won(self.memberships.latest()) {
            self.start_campaign(false);
        }
    }

    /// Asks for votes in a new term. `transfer`: the leader gave up its lease for this campaign.
    pub(crate) fn start_campaign(&mut self, transfer: bool) {
        self.campaign(transfer, &[]);
    }

    /// Asks for votes after all members have said that nobody leads: `lives` names the processes that said so.
    pub(crate) fn start_vouched_campaign(&mut self, lives: &[(ReplicaId, u64)]) {
        self.campaign(false, lives);
    }

    fn campaign(&mut self, transfer: bool, lives: &[(ReplicaId, u64)]) {
        if !self.has_next_term() {
            return;
        }
        self.set_role(Role::Candidate, None);
        self.restart.end();
        self.incoming = None;
        self.set_hard_state(HardState { term: self.hard_state.term + 1, vote: Some(self.id) });
        self.draw_election_timeout();
        self.ballot.clear();
        let candidacy = self.candidacy();
        for voter in self.other_voters() {
            let vouched_life = lives.iter().find(|(member, _)| *member == voter).map(|(_, life)| *life);
            self.send_after_write(voter, Body::Vote(VoteRequest { candidacy, transfer, vouched_life }));
        }
    }

    /// Its own vote counts only once it is on disk.
    pub(crate) fn count_own_vote(&mut self) {
        if self.writes.hard_state_durable() {
            self.ballot.count(self.id, true);
            self.settle_campaign();
        }
    }

    pub(crate) fn on_pre_vote(&mut self, from: ReplicaId, term: u64, request: PreVoteRequest) {
        let would_grant = term >= self.hard_state.term && self.is_up_to_date(request.candidacy);
        let granted = would_grant && !self.refuses_votes();
        let no_leader = self.no_leader(would_grant);
        let reply = PreVoteReply { asked_term: term, round: request.round, granted, no_leader };
        self.send(from, Body::PreVoteReply(reply));
        self.ask_about_stranger(from);
    }

    pub(crate) fn on_pre_vote_reply(&mut self, from: ReplicaId, term: u64, reply: PreVoteReply) {
        self.on_restart_answer(from, reply);
        if self.role() != Role::PreCandidate || reply.asked_term != self.hard_state.term {
            return;
        }
        if !reply.granted && term > self.hard_state.term {
            self.become_follower(term, None);
            return;
        }
        self.ballot.count(from, reply.granted);
        if self.ballot.is_won(self.memberships.latest()) {
            self.start_campaign(false);
        } else if self.ballot.is_lost(self.memberships.latest()) {
            self.set_role(Role::Follower, None);
        }
    }

    pub(crate) fn on_vote(&mut self, from: ReplicaId, term: u64, request: VoteRequest) {
        let is_vouched = request.vouched_life == Some(self.life) && !self.promised_since_start();
        if !request.transfer && !is_vouched && self.refuses_votes() {
            return;
        }
        if term > self.hard_state.term {
            self.become_follower(term, None);
        }
        let free = self.hard_state.vote.is_none_or(|vote| vote == from) || is_active(Mutation::SecondVote);
        let granted = term == self.hard_state.term && free && self.is_up_to_date(request.candidacy);
        if granted {
            if self.hard_state.vote.is_none() {
                self.set_hard_state(HardState { vote: Some(from), ..self.hard_state });
            }
            self.reset_election_timer();
        }
        self.send_after_write(from, Body::VoteReply(VoteReply { granted }));
    }

    pub(crate) fn on_vote_reply(&mut self, from: ReplicaId, term: u64, reply: VoteReply) {
        if self.role() != Role::Candidate || term < self.hard_state.term {
            return;
        }
        if term > self.hard_state.term {
            self.become_follower(term, None);
            return;
        }
        self.ballot.count(from, reply.granted);
        self.settle_campaign();
    }

    /// Follows `leader`, or nobody until one is heard, in `term`.
    pub(crate) fn become_follower(&mut self, term: u64, leader: Option<ReplicaId>) {
        if term > self.hard_state.term {
            self.incoming = None;
            self.set_hard_state(HardState { term, vote: None });
        }
        if self.role() != Role::Follower {
            self.draw_election_timeout();
        }
        self.set_role(Role::Follower, leader);
    }

    /// Whether `from` leads in a term that counts; then it is followed, and heard.
    pub(crate) fn accept_leader(&mut self, from: ReplicaId, term: u64) -> bool {
        if term < self.hard_state.term {
            self.send(from, Body::Stale);
            return false;
        }
        let same_term = term == self.hard_state.term;
        let other_leader = self.leader.is_some_and(|leader| leader != from);
        if same_term && other_leader {
            return false;
        }
        if !same_term || self.leader.is_none() || self.role() != Role::Follower {
            self.become_follower(term, Some(from));
        }
        self.heard_leader_at = Some(self.now);
        self.removed = false;
        self.reset_election_timer();
        true
    }

    fn settle_campaign(&mut self) {
        let membership = self.memberships.latest();
        if self.ballot.is_won(membership) && self.writes.hard_state_durable() {
            self.become_leader();
        } else if self.ballot.is_lost(membership) {
            self.become_follower(self.hard_state.term, None);
        }
    }

    pub(crate) fn candidacy(&self) -> Candidacy {
        Candidacy { last_index: self.log.last_index(), last_term: self.log.last_term() }
    }

    /// Whether a candidate's log reaches as far as this replica's, and as far as the one that it had when it left the group:
    /// see [`crate::ElectionRecord`] and the `removal` module.
    fn is_up_to_date(&self, candidacy: Candidacy) -> bool {
        let Candidacy { last_term: term, last_index: index } = candidacy;
        LogPosition { term, index } >= self.log_end().max(self.floor)
            || is_active(Mutation::VoteForShorterLog)
    }

    fn other_voters(&self) -> Vec<ReplicaId> {
        let voters = &self.memberships.latest().voters;
        voters.iter().copied().filter(|voter| *voter != self.id).collect()
    }
}
