//! Who takes part, what may go wrong, and how much of it.

use super::entry::{Entry, Payload};
use super::replica::{Leadership, ReplicaState, Role, index};
use super::{Group, MAX_REPLICAS, Members, Planner, ReplicaSet, Tolerance, by_contract};

/// What leaders and coordinators know of who is there.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Beliefs {
    /// As it is.
    Exact,
    /// Each may be wrong about one replica, at each decision anew: one that is there is silent for a while, and one that
    /// is gone was heard lately.
    Mistaken,
}

/// Whether time passes between an append and the disk.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Writes {
    /// An append is on disk and told at once.
    Immediate,
    /// Anything may happen in between.
    Delayed,
}

/// How much may happen.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    /// The newest term; the group begins in term 1.
    pub terms: u8,
    /// The longest log; it begins with 2 entries.
    pub entries: usize,
    /// Commands.
    pub commands: u8,
    /// Restarts that take no time, as far as others see.
    pub restarts: u8,
    /// Replicas cut off or killed for a while.
    pub outages: u8,
    /// Disks lost.
    pub wipes: u8,
    /// The seat that fails first; any if `None`.
    pub first_failure: Option<usize>,
}

/// Who takes part, what may go wrong, and how much of it.
#[derive(Debug, Clone)]
pub struct Scenario {
    /// How many seats may be in trouble at once: f.
    pub tolerated: usize,
    /// The seat of each replica: the founders' own, then those that newcomers take.
    pub seats: Vec<usize>,
    /// How many of the replicas are founders; all of these vote at the begin.
    pub founders: usize,
    /// Founders that are to leave.
    pub retiring: ReplicaSet,
    /// Newcomers that are there from the begin; others come once their seat is in trouble.
    pub present: ReplicaSet,
    /// Those that may lead at the begin.
    pub first_leaders: ReplicaSet,
    /// How steps are chosen.
    pub planner: Planner,
    /// The fewest voters that the planner may leave.
    pub least_voters: usize,
    /// Learners count as caught up from the begin.
    pub learners_vote_early: bool,
    /// A learner may campaign as well, as the product's do.
    pub learners_campaign: bool,
    /// What leaders and coordinators know.
    pub beliefs: Beliefs,
    /// Whether time passes between an append and the disk.
    pub writes: Writes,
    /// Whether each state is also tried for what becomes of it if nothing more fails.
    pub calm: bool,
    /// How much may happen.
    pub limits: Limits,
}

impl Scenario {
    /// A full group that tolerates the loss of `tolerated` machines, with a newcomer for each of the seats `replaced`. The
    /// first two founders can lead at the begin, and the founders at these seats.
    pub fn replacement(tolerated: usize, replaced: &[usize], limits: Limits) -> Self {
        let founders = 2 * tolerated + 1;
        Self {
            tolerated,
            seats: (0..founders).chain(replaced.iter().copied()).collect(),
            founders,
            retiring: ReplicaSet::default(),
            present: ReplicaSet::default(),
            first_leaders: replaced.iter().copied().chain([0]).collect(),
            planner: by_contract,
            least_voters: 2 * tolerated,
            learners_vote_early: false,
            learners_campaign: true,
            beliefs: Beliefs::Exact,
            writes: Writes::Delayed,
            calm: false,
            limits,
        }
    }

    /// A full group of which `retiring` is to leave, with a newcomer that is there already and has a seat of its own.
    pub fn retirement(tolerated: usize, retiring: usize, limits: Limits) -> Self {
        let founders = 2 * tolerated + 1;
        Self {
            seats: (0..=founders).collect(),
            retiring: ReplicaSet::default().with(retiring),
            present: ReplicaSet::default().with(founders),
            ..Self::replacement(tolerated, &[retiring], limits)
        }
    }

    /// How many voters a group has that is whole: 2f + 1.
    pub fn full_group(&self) -> usize {
        2 * self.tolerated + 1
    }

    /// The log that all founders have at the begin: it stands for the whole state up to then.
    pub fn first_log(&self, leader: usize) -> Vec<Entry> {
        let voters = ReplicaSet::first(self.founders);
        let members = Members { voters, learners: ReplicaSet::default() };
        let payloads = [Payload::Membership(members), Payload::Empty(index(leader))];
        payloads.into_iter().map(|payload| Entry { term: 1, payload }).collect()
    }

    /// The group at the begin, led by `leader`; all founders have the whole log.
    pub(super) fn first_state(&self, leader: usize) -> Group {
        let log = self.first_log(leader);
        let replica = |replica: usize| {
            if replica < self.founders {
                ReplicaState::started(log.clone(), 1)
            } else if self.present.contains(replica) {
                ReplicaState::started(Vec::new(), 0)
            } else {
                ReplicaState::absent()
            }
        };
        let mut replicas: Vec<ReplicaState> = (0..self.seats.len()).map(replica).collect();
        let mut matched = [0; MAX_REPLICAS];
        matched[..self.founders].fill(index(log.len()));
        let commit = index(log.len());
        for founder in &mut replicas[..self.founders] {
            founder.vote = Some(index(leader));
        }
        replicas[leader].role = Role::Leader(Leadership { first_index: commit, commit, matched });
        Group { replicas, acknowledged: log, diverged: false, tolerance: Tolerance::default(), commands: 0 }
    }
}
