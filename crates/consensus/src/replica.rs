//! One replica of one group: its state, its clock, and what it hands to its host.

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use ruddervalve_mutation::{Mutation, is_active};
use ruddervalve_protocol::ReplicaId;

use crate::election::Ballot;
use crate::entry::{Entry, HardState, LogPosition, Payload, Restored};
use crate::leadership::Leadership;
use crate::log::Log;
use crate::membership::MembershipHistory;
use crate::message::{Body, Message};
use crate::output::Output;
use crate::restart::RestartRounds;
use crate::snapshot::Incoming;
use crate::timing::Timing;
use crate::writes::Writes;

/// Terms and indexes above this are not taken from anyone, so that counting up from them never overflows.
pub(crate) const HIGHEST_COUNT: u64 = u64::MAX / 2;

/// The stream of random numbers that names processes and rounds; times are drawn from another.
const NUMBERS_STREAM: u64 = 1;

/// What a replica is to its group.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Role {
    /// Follows a leader, or waits for one.
    Follower,
    /// Asks whether it would be elected.
    PreCandidate,
    /// Asks for votes.
    Candidate,
    /// Leads.
    Leader,
}

/// One replica of one group.
#[derive(Debug)]
pub struct Replica {
    pub(crate) id: ReplicaId,
    pub(crate) timing: Timing,
    /// Draws times.
    random: ChaCha8Rng,
    /// Draws numbers that name processes and rounds.
    numbers: ChaCha8Rng,
    pub(crate) now: u64,
    pub(crate) hard_state: HardState,
    pub(crate) log: Log,
    pub(crate) memberships: MembershipHistory,
    pub(crate) writes: Writes,
    pub(crate) commit: u64,
    pub(crate) applied: u64,
    retained_bytes: usize,
    pub(crate) role: Role,
    pub(crate) leader: Option<ReplicaId>,
    /// Set exactly while the role is [`Role::Leader`].
    pub(crate) leadership: Option<Leadership>,
    pub(crate) ballot: Ballot,
    pub(crate) incoming: Option<Incoming>,
    /// The end of the log that it had when it left the group, if it ever did: what it votes by, beside its own log.
    pub(crate) floor: LogPosition,
    /// A leader told that it belongs to the group no more, and none has said otherwise since.
    pub(crate) removed: bool,
    /// When a leader was last heard; it may count on this replica's refusal of votes for `election_min_ms` from then on,
    /// whatever term comes: never cleared.
    pub(crate) heard_leader_at: Option<u64>,
    /// No votes before: what was promised before the restart is not known; ms.
    pub(crate) no_votes_before: u64,
    /// When this process started; ms.
    pub(crate) started_at: u64,
    /// Tells this replica from earlier ones of the same disk, in this process or in others.
    pub(crate) life: u64,
    pub(crate) restart: RestartRounds,
    election_timeout_ms: u64,
    election_due: u64,
    pub(crate) output: Output,
}

impl Replica {
    /// A replica with what was found on its disk. `seed` chooses its election timeouts and the number by which votes name this
    /// process: it must differ between replicas, and between processes.
    /// `now` is ms of the clock that all later calls use. A voter that was in use before grants no vote for
    /// `election_min_ms`, as it may have forgotten hearing from a leader whose lease runs. Use only a timing that
    /// [`Timing::validate`] accepts.
    pub fn new(id: ReplicaId, timing: Timing, seed: u64, restored: Restored, now: u64) -> Self {
        let Restored { hard_state, snapshot, entries, founding, floor } = restored;
        let (base_index, base_term, membership) = match snapshot {
            Some(snapshot) => (snapshot.index, snapshot.term, snapshot.membership),
            None => (0, 0, founding.unwrap_or_default()),
        };
        let mut log = Log::new(base_index, base_term);
        let mut memberships = MembershipHistory::new(base_index, membership);
        restore_entries(&mut log, &mut memberships, entries);
        let hard_state = not_behind(hard_state, log.last_term());
        let forgotten = HardState { vote: None, ..hard_state };
        let hard_state = if is_active(Mutation::VoteForgotten) { forgotten } else { hard_state };
        let was_in_use = hard_state.term > 0 && !is_active(Mutation::VoteForgotten);
        let mut numbers = ChaCha8Rng::seed_from_u64(seed);
        numbers.set_stream(NUMBERS_STREAM);
        let no_votes_before = if was_in_use { now.saturating_add(timing.election_min_ms) } else { now };
        let mut replica = Self {
            id,
            timing,
            random: ChaCha8Rng::seed_from_u64(seed),
            numbers,
            now,
            hard_state,
            writes: Writes::new(log.last_index()),
            log,
            memberships,
            commit: base_index,
            applied: base_index,
            retained_bytes: 0,
            role: Role::Follower,
            leader: None,
            leadership: None,
            ballot: Ballot::default(),
            incoming: None,
            floor,
            removed: false,
            heard_leader_at: None,
            no_votes_before,
            started_at: now,
            life: 0,
            restart: RestartRounds::new(now),
            election_timeout_ms: 0,
            election_due: 0,
            output: Output::default(),
        };
        replica.life = replica.draw_number().wrapping_add(now);
        replica.draw_election_timeout();
        replica
    }

    /// Does what is due at `now`; ms.
    pub fn tick(&mut self, now: u64) {
        self.advance(now);
        if self.role == Role::Leader {
            self.lead();
        } else if self.is_promotable() && self.now >= self.election_due {
            self.start_pre_vote();
        } else if self.restart_round_due().is_some_and(|due| self.now >= due) {
            self.start_restart_round();
        }
    }

    /// When to call [`Replica::tick`] next, at the latest; ms. May change with each call; `u64::MAX` for never.
    pub fn next_wake(&self) -> u64 {
        if let Some(leadership) = &self.leadership {
            return leadership.next_wake(&self.timing);
        }
        let election_due = if self.is_promotable() { self.election_due } else { u64::MAX };
        self.restart_round_due().map_or(election_due, |due| due.min(election_due))
    }

    /// Takes a message in. Duplicates, reordering, loss and messages of others than members are tolerated.
    pub fn step(&mut self, now: u64, from: ReplicaId, message: Message) {
        self.advance(now);
        let Message { term, body } = message;
        if from == self.id || term > HIGHEST_COUNT {
            return;
        }
        match body {
            Body::PreVote(request) => self.on_pre_vote(from, term, request),
            Body::PreVoteReply(reply) => self.on_pre_vote_reply(from, term, reply),
            Body::Vote(request) => self.on_vote(from, term, request),
            Body::VoteReply(reply) => self.on_vote_reply(from, term, reply),
            Body::TimeoutNow => self.on_timeout_now(from, term),
            Body::Append(append) => {
                if self.accept_leader(from, term) {
                    self.on_append(from, append);
                }
            }
            Body::Heartbeat(heartbeat) => {
                if self.accept_leader(from, term) {
                    self.on_heartbeat(from, heartbeat);
                }
            }
            Body::Chunk(chunk) => {
                if self.accept_leader(from, term) {
                    self.on_chunk(from, chunk);
                }
            }
            Body::AppendReply(reply) => {
                if self.accept_answer(from, term) {
                    self.on_append_reply(from, reply);
                }
            }
            Body::HeartbeatReply(reply) => {
                if self.accept_answer(from, term) {
                    self.on_heartbeat_reply(from, reply);
                }
            }
            Body::ChunkReply(reply) => {
                if self.accept_answer(from, term) {
                    self.on_chunk_reply(from, reply);
                }
            }
            Body::Inquiry(inquiry) => self.on_inquiry(from, inquiry),
            Body::NotMember(notice) => self.on_not_member(notice),
            Body::Stale => {
                self.accept_answer(from, term);
            }
        }
    }

    /// All writes of tickets up to `ticket` are on disk.
    pub fn written(&mut self, now: u64, ticket: u64) {
        self.advance(now);
        self.writes.written(ticket);
        match self.role {
            Role::Leader => self.advance_commit(),
            Role::Candidate => self.count_own_vote(),
            Role::Follower | Role::PreCandidate => {}
        }
    }

    /// A checkpoint with a snapshot at `index`, which must be applied, is durable: entries up to it leave the memory, but
    /// for the retained tail and what follows a snapshot that is on its way to a follower.
    pub fn compact(&mut self, index: u64) {
        let index = index.min(self.applied).min(self.writes.first_unissued().saturating_sub(1));
        let held_from = self.snapshots_on_their_way().unwrap_or(index);
        self.log.compact(index.min(held_from), self.retained_bytes);
        self.memberships.compact(self.log.base_index());
    }

    /// How many bytes of entries [`Replica::compact`] keeps, so that followers that lag a little need no snapshot.
    pub fn set_retained_bytes(&mut self, retained_bytes: usize) {
        self.retained_bytes = retained_bytes;
    }

    /// Whether it may campaign: it is a member as far as it knows, or its removal is not known to be committed. The others
    /// may need it until then, as it may be the only one that has the removal in its log.
    ///
    /// So it is with a learner: a leader that is lost may have replaced, at the learner alone, the entry that gives it a
    /// vote, while another member that still has this entry needs the learner's vote to be elected, and is refused it. The
    /// learner is elected by voters only, and hands its office over with its first commit. One that was told of its removal
    /// may not campaign, nor one whose log does not reach as far again as when it left.
    pub(crate) fn is_promotable(&self) -> bool {
        let reaches_floor = self.log_end() >= self.floor;
        let is_member = self.memberships.is_voter_since(self.commit, self.id)
            || self.memberships.latest().is_learner(self.id);
        reaches_floor && !self.removed && is_member
    }

    /// The newest entry's place.
    pub(crate) fn log_end(&self) -> LogPosition {
        LogPosition { term: self.log.last_term(), index: self.log.last_index() }
    }

    pub(crate) fn set_role(&mut self, role: Role, leader: Option<ReplicaId>) {
        if self.role != role || self.leader != leader {
            self.output.role_changed = true;
        }
        if role != Role::Leader {
            self.leadership = None;
            self.output.snapshots_wanted.clear();
        }
        self.role = role;
        self.leader = leader;
    }

    pub(crate) fn set_hard_state(&mut self, hard_state: HardState) {
        self.hard_state = hard_state;
        self.writes.hard_state_changed();
    }

    /// Whether a term may still be counted up.
    pub(crate) fn has_next_term(&self) -> bool {
        self.hard_state.term < HIGHEST_COUNT
    }

    pub(crate) fn reset_election_timer(&mut self) {
        self.election_due = self.now.saturating_add(self.election_timeout_ms);
    }

    pub(crate) fn draw_election_timeout(&mut self) {
        let shortest = self.timing.election_min_ms;
        let longest = self.timing.election_max_ms.max(shortest);
        self.election_timeout_ms = self.random.random_range(shortest..=longest);
        self.reset_election_timer();
    }

    /// A pause of about a heartbeat, so that replicas that start together ask one after the other; ms.
    pub(crate) fn draw_heartbeat_gap(&mut self) -> u64 {
        let heartbeat_ms = self.timing.heartbeat_ms.max(1);
        self.random.random_range(heartbeat_ms.div_ceil(2)..=heartbeat_ms.saturating_mul(3).div_ceil(2))
    }

    pub(crate) fn draw_number(&mut self) -> u64 {
        self.numbers.random()
    }

    /// Appends an entry to the log; whether it was the one after the newest.
    pub(crate) fn append(&mut self, entry: Entry) -> bool {
        let membership = match &entry.payload {
            Payload::Membership(membership) => Some(membership.clone()),
            Payload::Empty | Payload::Command(_) => None,
        };
        let index = entry.index;
        let appended = self.log.append(entry);
        if let (true, Some(membership)) = (appended, membership) {
            self.memberships.record(index, membership);
        }
        appended
    }

    pub(crate) fn advance(&mut self, now: u64) {
        self.now = self.now.max(now);
    }
}

/// The hard state, or a later one if a crash left entries of a later term before it: nothing was said in that term yet.
fn not_behind(hard_state: HardState, last_term: u64) -> HardState {
    if hard_state.term < last_term { HardState { term: last_term, vote: None } } else { hard_state }
}

fn restore_entries(log: &mut Log, memberships: &mut MembershipHistory, entries: Vec<Entry>) {
    let base_index = log.base_index();
    for entry in entries.into_iter().filter(|entry| entry.index > base_index) {
        let membership = match &entry.payload {
            Payload::Membership(membership) => Some(membership.clone()),
            Payload::Empty | Payload::Command(_) => None,
        };
        let index = entry.index;
        if !log.append(entry) {
            return;
        }
        if let Some(membership) = membership {
            memberships.record(index, membership);
        }
    }
}
