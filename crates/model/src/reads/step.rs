//! What may happen next, for `stateright`.

use stateright::{Model, Property};

use super::{ClockRead, OLD_LEADER, REPLICAS, Read, ReadPolicy, ReadScenario, ReadState};

/// The name of the property that reads are linearizable.
pub const LINEARIZABLE: &str = "a read answers what was acknowledged when it came";
/// The name of the property that the old leader answers at all.
pub const OLD_LEADER_ANSWERS: &str = "the old leader answers";
/// The name of the property that the new leader answers what was acknowledged before it.
pub const NEW_LEADER_ANSWERS: &str = "the new leader answers the newest version";

/// The version that the old leader writes.
const OLD_LEADERS_VERSION: u8 = 2;
/// The version that the new leader writes.
const NEW_LEADERS_VERSION: u8 = 3;
/// The followers of the old leader.
const FOLLOWERS: std::ops::Range<usize> = 1..REPLICAS;

/// Something that may happen.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum ReadStep {
    /// A tick of true time. A follower whose clock misses one refuses votes for longer, which harms no lease.
    Tick {
        /// The old leader's clock misses it.
        is_missed: bool,
    },
    /// A replica begins a turn of its event loop, and reads its clock.
    BeginTurn(usize),
    /// The old leader sends a heartbeat to a follower.
    SendHeartbeat(usize),
    /// A follower takes a heartbeat in, and the old leader its answer. What counts is when the heartbeat was sent, so that
    /// an answer that comes later is the same.
    TakeHeartbeat(usize),
    /// The old leader commits its version with a follower.
    WriteInOldTerm(usize),
    /// A follower has itself elected by the other one.
    BecomeLeader(usize),
    /// The new leader commits the first entry of its term, and all before it.
    CommitOwnTerm,
    /// The new leader commits its version.
    WriteInNewTerm,
    /// The read comes to a replica that leads as far as it knows.
    ReadArrives(usize),
    /// A leader asks a follower whether it leads, and gets a yes.
    ConfirmLeadership {
        /// The leader.
        leader: usize,
        /// The follower.
        follower: usize,
    },
    /// The leader checks that it may answer, and answers now or later.
    Answer,
}

impl Model for ReadScenario {
    type State = ReadState;
    type Action = ReadStep;

    fn init_states(&self) -> Vec<ReadState> {
        vec![ReadState::first()]
    }

    fn actions(&self, state: &ReadState, steps: &mut Vec<ReadStep>) {
        self.time_steps(state, steps);
        for follower in FOLLOWERS {
            self.old_term_steps(state, follower, steps);
        }
        self.new_term_steps(state, steps);
        self.read_steps(state, steps);
    }

    fn next_state(&self, state: &ReadState, step: ReadStep) -> Option<ReadState> {
        let mut next = state.clone();
        self.apply(&mut next, step);
        (next != *state).then_some(next)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always(LINEARIZABLE, |_, state: &ReadState| match state.read {
                Read::Answered { least, version, .. } => version >= least,
                Read::Unborn | Read::Waiting { .. } => true,
            }),
            Property::sometimes(OLD_LEADER_ANSWERS, |_, state: &ReadState| {
                matches!(state.read, Read::Answered { at: OLD_LEADER, .. })
            }),
            Property::sometimes(
                NEW_LEADER_ANSWERS,
                |_, state: &ReadState| matches!(state.read, Read::Answered { at, version: NEW_LEADERS_VERSION, .. } if at != OLD_LEADER),
            ),
        ]
    }
}

impl ReadScenario {
    fn time_steps(&self, state: &ReadState, steps: &mut Vec<ReadStep>) {
        if state.time < self.end {
            steps.push(ReadStep::Tick { is_missed: false });
            if state.time - state.clocks[OLD_LEADER] < self.drift {
                steps.push(ReadStep::Tick { is_missed: true });
            }
        }
        let has_turns = self.hearing == ClockRead::AtTurnStart
            || self.policy == ReadPolicy::Lease(ClockRead::AtTurnStart);
        if has_turns {
            steps.extend((0..REPLICAS).map(ReadStep::BeginTurn));
        }
    }

    fn old_term_steps(&self, state: &ReadState, follower: usize, steps: &mut Vec<ReadStep>) {
        let leads = state.leads(OLD_LEADER);
        if leads && state.heartbeats[follower].is_none() && matches!(self.policy, ReadPolicy::Lease(_)) {
            steps.push(ReadStep::SendHeartbeat(follower));
        }
        if state.heartbeats[follower].is_some() {
            steps.push(ReadStep::TakeHeartbeat(follower));
        }
        if leads && !state.in_new_term[follower] && state.acknowledged < OLD_LEADERS_VERSION {
            steps.push(ReadStep::WriteInOldTerm(follower));
        }
    }

    fn new_term_steps(&self, state: &ReadState, steps: &mut Vec<ReadStep>) {
        if state.new_leader.is_some() {
            steps.push(ReadStep::CommitOwnTerm);
            if state.own_term_committed {
                steps.push(ReadStep::WriteInNewTerm);
            }
            return;
        }
        for candidate in FOLLOWERS {
            let voter = ReadState::third(candidate);
            let may_vote =
                |replica: usize| state.clocks[replica] >= state.heard[replica].saturating_add(self.refusal);
            let is_up_to_date = state.logged[candidate] >= state.logged[voter];
            if may_vote(candidate) && may_vote(voter) && is_up_to_date {
                steps.push(ReadStep::BecomeLeader(candidate));
            }
        }
    }

    fn read_steps(&self, state: &ReadState, steps: &mut Vec<ReadStep>) {
        let leaders = (0..REPLICAS).filter(|replica| state.leads(*replica));
        match state.read {
            Read::Unborn => {
                for leader in leaders {
                    steps.push(ReadStep::ReadArrives(leader));
                    if self.policy == ReadPolicy::EarlierRound {
                        confirmations(state, leader, steps);
                    }
                }
            }
            Read::Waiting { at, .. } => {
                if matches!(self.policy, ReadPolicy::Round | ReadPolicy::EarlierRound) {
                    confirmations(state, at, steps);
                }
                if state.leads(at) && self.may_answer(state, at) {
                    steps.push(ReadStep::Answer);
                }
            }
            Read::Answered { .. } => {}
        }
    }

    /// Whether a leader may answer from what it knows.
    fn may_answer(&self, state: &ReadState, leader: usize) -> bool {
        if leader != OLD_LEADER && self.own_term_first && !state.own_term_committed {
            return false;
        }
        match self.policy {
            // Nobody comes after the new leader in this model.
            ReadPolicy::Lease(_) if leader != OLD_LEADER => true,
            ReadPolicy::Lease(clock) => {
                let now = self.clock(state, OLD_LEADER, clock);
                let answered = state.answered.iter().flatten().max();
                answered.is_some_and(|answered| now < answered.saturating_add(self.lease))
            }
            ReadPolicy::Round | ReadPolicy::EarlierRound => state.confirmed == Some(leader),
        }
    }

    fn clock(&self, state: &ReadState, replica: usize, read: ClockRead) -> u8 {
        match read {
            ClockRead::AfterInput => state.clocks[replica],
            ClockRead::AtTurnStart => state.turns[replica],
        }
    }

    fn apply(&self, state: &mut ReadState, step: ReadStep) {
        match step {
            ReadStep::Tick { is_missed } => {
                state.time += 1;
                state.clocks[OLD_LEADER] += u8::from(!is_missed);
                for follower in FOLLOWERS {
                    state.clocks[follower] = state.time;
                }
            }
            ReadStep::BeginTurn(replica) => state.turns[replica] = state.clocks[replica],
            ReadStep::SendHeartbeat(follower) => state.heartbeats[follower] = Some(state.clocks[OLD_LEADER]),
            ReadStep::TakeHeartbeat(follower) => self.take_heartbeat(state, follower),
            ReadStep::WriteInOldTerm(follower) => write(state, OLD_LEADER, follower, OLD_LEADERS_VERSION),
            ReadStep::BecomeLeader(candidate) => {
                state.new_leader = Some(candidate);
                for replica in [candidate, ReadState::third(candidate)] {
                    state.in_new_term[replica] = true;
                }
            }
            ReadStep::CommitOwnTerm => commit_own_term(state),
            ReadStep::WriteInNewTerm => {
                if let Some(leader) = state.new_leader {
                    write(state, leader, ReadState::third(leader), NEW_LEADERS_VERSION);
                }
            }
            ReadStep::ReadArrives(leader) => {
                let (least, noted) = (state.acknowledged, state.known[leader]);
                state.read = Read::Waiting { at: leader, least, noted };
            }
            ReadStep::ConfirmLeadership { leader, .. } => state.confirmed = Some(leader),
            ReadStep::Answer => self.answer(state),
        }
    }

    fn take_heartbeat(&self, state: &mut ReadState, follower: usize) {
        let sent = state.heartbeats[follower].take();
        if !state.in_new_term[follower] {
            let now = self.clock(state, follower, self.hearing);
            state.heard[follower] = state.heard[follower].max(now);
            state.answered[follower] = state.answered[follower].max(sent);
        }
    }

    fn answer(&self, state: &mut ReadState) {
        let Read::Waiting { at, least, noted } = state.read else { return };
        // A round confirms what was noted before it, a lease what is known at the check.
        let version = match self.policy {
            ReadPolicy::Lease(_) => state.known[at],
            ReadPolicy::Round | ReadPolicy::EarlierRound => noted,
        };
        state.read = Read::Answered { at, least, version };
    }
}

/// A follower that has not gone on to another term says that `leader` leads.
fn confirmations(state: &ReadState, leader: usize, steps: &mut Vec<ReadStep>) {
    let is_new = state.new_leader == Some(leader);
    let others = (0..REPLICAS).filter(|replica| *replica != leader);
    let confirming = others.filter(|replica| state.in_new_term[*replica] == is_new);
    steps.extend(confirming.map(|follower| ReadStep::ConfirmLeadership { leader, follower }));
}

/// What a read notes counts from then on.
fn commit_own_term(state: &mut ReadState) {
    let Some(leader) = state.new_leader else { return };
    state.own_term_committed = true;
    state.known[leader] = state.logged[leader];
    if let Read::Waiting { at, noted, .. } = &mut state.read
        && *at == leader
    {
        *noted = state.known[leader];
    }
}

fn write(state: &mut ReadState, leader: usize, follower: usize, version: u8) {
    state.logged[leader] = version;
    state.logged[follower] = version;
    state.known[leader] = version;
    state.acknowledged = state.acknowledged.max(version);
}
