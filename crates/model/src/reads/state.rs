//! The state of three replicas, their clocks, and one read.

use super::{OLD_LEADER, REPLICAS};

/// A read, from its coming to its answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Read {
    /// It has not come.
    Unborn,
    /// It waits for the leader's check.
    Waiting {
        /// The replica that it came to.
        at: usize,
        /// What was acknowledged when it came.
        least: u8,
        /// What that replica knew to be committed when it came.
        noted: u8,
    },
    /// It was checked, and is answered now or later.
    Answered {
        /// The replica that it came to.
        at: usize,
        /// What was acknowledged when it came.
        least: u8,
        /// The version in the answer.
        version: u8,
    },
}

/// The state of three replicas, their clocks, and one read.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct ReadState {
    /// True time; ticks.
    pub time: u8,
    /// What each clock shows.
    pub clocks: [u8; REPLICAS],
    /// What each clock showed when the replica's turn began.
    pub turns: [u8; REPLICAS],
    /// When each follower last heard from the old leader, by its clock.
    pub heard: [u8; REPLICAS],
    /// Those that have gone on to the new term.
    pub in_new_term: [bool; REPLICAS],
    /// Who leads in the new term.
    pub new_leader: Option<usize>,
    /// The new leader has committed an entry of its term.
    pub own_term_committed: bool,
    /// The newest version in each log.
    pub logged: [u8; REPLICAS],
    /// The newest version that each knows to be committed.
    pub known: [u8; REPLICAS],
    /// The newest version that was acknowledged.
    pub acknowledged: u8,
    /// Heartbeats of the old leader on their way, by when it sent them.
    pub heartbeats: [Option<u8>; REPLICAS],
    /// When the old leader sent the newest of what each has answered, by its clock.
    pub answered: [Option<u8>; REPLICAS],
    /// The leader that a quorum has confirmed last.
    pub confirmed: Option<usize>,
    /// The read.
    pub read: Read,
}

impl ReadState {
    /// The old leader leads, and all have heard from it just now. Version 1 is committed.
    pub(super) fn first() -> Self {
        Self {
            time: 0,
            clocks: [0; REPLICAS],
            turns: [0; REPLICAS],
            heard: [0; REPLICAS],
            in_new_term: [false; REPLICAS],
            new_leader: None,
            own_term_committed: false,
            logged: [1; REPLICAS],
            known: [1; REPLICAS],
            acknowledged: 1,
            heartbeats: [None; REPLICAS],
            answered: [None; REPLICAS],
            confirmed: None,
            read: Read::Unborn,
        }
    }

    /// Whether `replica` leads, as far as it knows.
    pub(super) fn leads(&self, replica: usize) -> bool {
        self.new_leader == Some(replica) || (replica == OLD_LEADER && !self.in_new_term[OLD_LEADER])
    }

    /// The one that is neither the old leader nor `replica`.
    pub(super) fn third(replica: usize) -> usize {
        REPLICAS - replica - OLD_LEADER
    }
}
