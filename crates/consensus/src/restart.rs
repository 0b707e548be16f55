//! Elections right after a restart of all members.
//!
//! A voter that restarts has forgotten whether it heard from a leader. It refuses votes for `election_min_ms`, as that
//! leader may hold a lease that rests on the refusal. After a loss of all power nobody leads, and that wait is in vain. So
//! a restarted voter asks all members, voters and learners, in rounds. If each says in one round that it neither leads nor
//! has heard from a leader lately, it campaigns at once, and its voters count their forgotten promises as void.
//!
//! Why no lease is broken: let `L` lead with a valid lease and `C` campaign this way, in a higher term.
//!
//! - `L` has committed an entry of its term, so a candidate that can win has it in its log, and all memberships up to it.
//!   A leader holds no lease from the moment it appends a membership without itself, so `L` is in the newest membership
//!   that `C` knows, and was asked ([`Replica::lease_valid`]).
//! - A voter's forgotten promises are older than its process. `C` counts only voters that ran before the round began
//!   (`running_ms`, with a margin for clocks of different rates), and the vote names the life that answered: a voter that
//!   has restarted since refuses as ever.
//! - So the promise to `L` is older than the answer of `L` that it does not lead. A leadership that has ended does not
//!   come back in the same term, and its lease ended with it.
//! - What the voter heard after its start is not forgotten, and it refuses as ever while that counts.

use ruddervalve_mutation::{Mutation, is_active};
use ruddervalve_protocol::ReplicaId;

use crate::body::NoLeader;
use crate::message::{Body, PreVoteReply, PreVoteRequest};
use crate::replica::{Replica, Role};

/// A voter has to have run for this many times as long as the round before it counts, for clocks of different rates.
const RUNNING_PER_ROUND: u64 = 2;

/// What a replica that has restarted learns of the others, one round at a time.
#[derive(Debug)]
pub(crate) struct RestartRounds {
    /// When the next round begins; ms.
    due: u64,
    round: Option<Round>,
    /// It has campaigned: elections go on by time-outs.
    over: bool,
}

#[derive(Debug)]
struct Round {
    id: u64,
    began_at: u64,
    answers: Vec<(ReplicaId, NoLeader)>,
}

impl RestartRounds {
    pub(crate) fn new(due: u64) -> Self {
        Self { due, round: None, over: false }
    }

    pub(crate) fn end(&mut self) {
        self.round = None;
        self.over = true;
    }
}

impl Replica {
    /// When the next round has to be begun, if any; ms.
    pub(crate) fn restart_round_due(&self) -> Option<u64> {
        let due = self.restart.due;
        (self.asks_after_restart() && due < self.no_votes_before).then_some(due)
    }

    /// Whether it is a follower that has heard nobody since its restart, and may have promised something before.
    fn asks_after_restart(&self) -> bool {
        self.role() == Role::Follower
            && self.heard_leader_at.is_none()
            && self.now < self.no_votes_before
            && !self.restart.over
            && self.is_promotable()
    }

    /// Begins a round.
    pub(crate) fn start_restart_round(&mut self) {
        let id = self.draw_number();
        self.restart.due = self.now.saturating_add(self.draw_heartbeat_gap());
        self.restart.round = Some(Round { id, began_at: self.now, answers: Vec::new() });
        let request = PreVoteRequest { candidacy: self.candidacy(), round: id };
        for member in self.other_members() {
            self.send(member, Body::PreVote(request));
        }
        self.campaign_if_vouched();
    }

    /// What this replica says to a pre-vote of a candidate that it would vote for or not, of leaders.
    pub(crate) fn no_leader(&self, would_grant: bool) -> Option<NoLeader> {
        let running_ms = self.now.saturating_sub(self.started_at);
        let statement = NoLeader { life: self.life, running_ms, would_grant };
        (!self.promised_since_start()).then_some(statement)
    }

    /// Counts an answer; campaigns if all members have said that nobody leads, and enough would grant their votes.
    pub(crate) fn on_restart_answer(&mut self, from: ReplicaId, reply: PreVoteReply) {
        if !self.asks_after_restart() || reply.asked_term != self.hard_state.term {
            return;
        }
        let now = self.now;
        let Some(round) = self.restart.round.as_mut().filter(|round| round.id == reply.round) else { return };
        let Some(answer) = reply.no_leader else {
            self.restart.round = None;
            return;
        };
        let took = now.saturating_sub(round.began_at);
        let ran_before = answer.running_ms > took.saturating_mul(RUNNING_PER_ROUND);
        if ran_before && !round.answers.iter().any(|(member, _)| *member == from) {
            round.answers.push((from, answer));
        }
        self.campaign_if_vouched();
    }

    /// Campaigns if nobody is left to be heard; at once if there is no other member.
    fn campaign_if_vouched(&mut self) {
        if let Some(vouched) = self.vouched_voters() {
            self.start_vouched_campaign(&vouched);
        }
    }

    /// The lives of all members that have answered, if all have, and a quorum of voters would grant its votes.
    fn vouched_voters(&self) -> Option<Vec<(ReplicaId, u64)>> {
        let round = self.restart.round.as_ref()?;
        let answer_of = |member: ReplicaId| round.answers.iter().find(|(from, _)| *from == member);
        let membership = self.memberships.latest();
        let all_answered = self.other_members().into_iter().all(|member| answer_of(member).is_some())
            || is_active(Mutation::LeaderAbsenceAssumed);
        let grants = |voter: &&ReplicaId| {
            **voter == self.id || answer_of(**voter).is_some_and(|(_, answer)| answer.would_grant)
        };
        let granting = membership.voters.iter().filter(grants).count();
        let lives = || round.answers.iter().map(|(member, answer)| (*member, answer.life)).collect();
        (all_answered && granting >= membership.quorum()).then(lives)
    }

    fn other_members(&self) -> Vec<ReplicaId> {
        self.memberships.latest().members().filter(|member| *member != self.id).collect()
    }
}
