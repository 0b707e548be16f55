//! A process that left a group: what it writes, when it may join again, and what it remembers.

use ruddervalve_consensus::{Membership, MembershipChange, MessageKind, Replica, Role, Timing};
use ruddervalve_disk::{GroupState, ProcessState, Record, StoredHardState, StoredLogPosition};
use ruddervalve_protocol::{Blob, GroupId, ReplicaId};
use ruddervalve_replication::{Envelope, GroupChange, GroupSnapshot, ReplicaHost};

const GROUP: GroupId = GroupId(1);
const A: ReplicaId = ReplicaId(1);
const B: ReplicaId = ReplicaId(2);
const C: ReplicaId = ReplicaId(3);
/// Longer than any election timeout; ms.
const LONG_MS: u64 = 5_000;

const TIMING: Timing = Timing {
    election_min_ms: 1_000,
    election_max_ms: 2_000,
    heartbeat_ms: 100,
    lease_ms: 800,
    max_entries_bytes: 1_000,
    max_inflight: 4,
    snapshot_chunk_bytes: 10,
};

/// A process without disk and network.
struct Process {
    host: ReplicaHost,
    /// All records that it wrote.
    records: Vec<Record>,
    changes: Vec<GroupChange>,
    /// Its writes do not end while it is slow; the newest ticket.
    slow: bool,
    ticket: u64,
}

impl Process {
    fn new(identity: ReplicaId) -> Self {
        let host = ReplicaHost::new(identity, TIMING, identity.0);
        Self { host, records: Vec::new(), changes: Vec::new(), slow: false, ticket: 0 }
    }

    /// Takes its output; what it sends.
    fn drain(&mut self, now: u64) -> Vec<Envelope> {
        let output = self.host.drain();
        let mut envelopes = output.envelopes;
        self.changes.extend(output.changes);
        if !output.records.is_empty() {
            self.records.extend(output.records);
            self.ticket = output.ticket;
        }
        if !self.slow {
            envelopes.extend(self.host.written(now, self.ticket));
        }
        envelopes
    }

    fn has_left(&self) -> bool {
        self.host.replica(GROUP).is_none() && self.changes.contains(&GroupChange::Left(GROUP))
    }
}

struct World {
    now: u64,
    processes: Vec<Process>,
    /// Processes that are cut off.
    cut: Vec<ReplicaId>,
    /// What was sent to processes that are cut off.
    lost: Vec<Envelope>,
}

impl World {
    /// Three processes found a group that `A` leads.
    fn led_by_a() -> Self {
        let mut world = Self { now: 0, processes: Vec::new(), cut: Vec::new(), lost: Vec::new() };
        let founders = Membership { voters: vec![A, B, C], learners: Vec::new() };
        for identity in [A, B, C] {
            let mut process = Process::new(identity);
            process.host.found(0, GROUP, founders.clone());
            world.processes.push(process);
        }
        world.now = world.replica(A).next_wake();
        let now = world.now;
        world.process(A).host.tick(now);
        world.settle();
        world.run(200);
        assert_eq!(world.replica(A).role(), Role::Leader);
        world
    }

    fn process(&mut self, id: ReplicaId) -> &mut Process {
        self.processes
            .iter_mut()
            .find(|process| process.host.identity() == id)
            .expect("a process of the test")
    }

    fn replica(&mut self, id: ReplicaId) -> &Replica {
        self.process(id).host.replica(GROUP).expect("it has the group")
    }

    fn change(&mut self, change: MembershipChange) {
        let now = self.now;
        let leader = self.process(A).host.replica_mut(GROUP).expect("it has the group");
        leader.change_membership(now, change).expect("A leads and nothing is pending");
        self.settle();
    }

    fn settle(&mut self) {
        loop {
            let now = self.now;
            let envelopes: Vec<Envelope> =
                self.processes.iter_mut().flat_map(|process| process.drain(now)).collect();
            if envelopes.is_empty() {
                return;
            }
            for envelope in envelopes {
                if self.cut.contains(&envelope.from) || self.cut.contains(&envelope.to) {
                    self.lost.push(envelope);
                } else {
                    self.process(envelope.to).host.receive(now, envelope);
                }
            }
            self.answer_snapshots();
        }
    }

    fn answer_snapshots(&mut self) {
        let now = self.now;
        for process in &mut self.processes {
            for change in std::mem::take(&mut process.changes) {
                if let GroupChange::SnapshotWanted(group, to) = change {
                    let applied = process.host.replica(group).map_or(0, Replica::applied_index);
                    let state = GroupSnapshot { applied, data: Blob::default() };
                    process.host.send_snapshot(now, group, to, state);
                } else {
                    process.changes.push(change);
                }
            }
        }
    }

    fn run(&mut self, milliseconds: u64) {
        for _ in 0..milliseconds {
            self.now += 1;
            let now = self.now;
            self.processes.iter_mut().for_each(|process| process.host.tick(now));
            self.settle();
        }
    }

    /// C is removed while it is cut off, and comes back.
    fn c_is_removed_and_returns(&mut self) {
        self.cut.push(C);
        self.change(MembershipChange::Remove(C));
        self.run(LONG_MS);
        self.cut.clear();
        self.run(LONG_MS);
    }
}

fn left_record(process: &Process) -> (StoredHardState, StoredLogPosition) {
    let left = process.records.iter().rev().find_map(|record| match record {
        Record::Left { group: GROUP, state, floor } => Some((*state, *floor)),
        _ => None,
    });
    left.expect("it wrote that it left")
}

fn checkpoint(process: &Process) -> ProcessState {
    process.host.checkpoint(|_| GroupSnapshot { applied: 0, data: Blob::default() }).state
}

/// The process ends and starts again from a state on its disk.
fn restarted(state: &ProcessState, now: u64) -> Process {
    let mut process = Process::new(state.identity);
    for (group, state) in &state.groups {
        process.host.restore(now, *group, state).expect("the state is whole");
    }
    process
}

#[test]
fn a_process_that_was_removed_while_it_was_away_leaves_and_keeps_its_vote_and_the_end_of_its_log() {
    let mut world = World::led_by_a();
    let (term, last_index) = (world.replica(C).term(), world.replica(C).last_index());
    world.c_is_removed_and_returns();
    assert!(world.process(C).has_left());
    let (hard_state, floor) = left_record(world.process(C));
    assert_eq!(hard_state, StoredHardState { term, vote: Some(A) });
    assert_eq!(floor, StoredLogPosition { term, index: last_index });
    let stored = checkpoint(world.process(C));
    let expected = GroupState { hard_state, floor: Some(floor), ..GroupState::default() };
    assert_eq!(stored.groups.get(&GROUP), Some(&expected));
}

#[test]
fn a_group_that_was_left_is_not_founded_again_also_after_a_restart() {
    let mut world = World::led_by_a();
    world.c_is_removed_and_returns();
    let state = checkpoint(world.process(C));
    let founders = Membership { voters: vec![A, B, C], learners: Vec::new() };
    let now = world.now;
    world.process(C).host.found(now, GROUP, founders.clone());
    assert!(world.process(C).host.replica(GROUP).is_none());
    let mut process = restarted(&state, now);
    process.host.found(now, GROUP, founders);
    assert!(process.host.replica(GROUP).is_none());
    assert_eq!(process.host.drain().records, []);
    assert_eq!(checkpoint(&process), state);
}

#[test]
fn nobody_but_a_leader_makes_a_process_begin_a_group_that_it_left_or_never_had() {
    let mut world = World::led_by_a();
    world.c_is_removed_and_returns();
    let now = world.now;
    // B asks for pre-votes and, once it is granted one, for votes.
    world.cut.push(A);
    let mut asked = Vec::new();
    world.lost.clear();
    world.run(LONG_MS);
    for envelope in std::mem::take(&mut world.lost) {
        if envelope.from == B && !envelope.message.kind().is_replication() {
            asked.push(Envelope { to: C, ..envelope });
        }
    }
    assert!(asked.iter().any(|envelope| envelope.message.kind() == MessageKind::PreVote));
    let mut never_had = Process::new(C);
    for envelope in asked {
        world.process(C).host.receive(now, envelope.clone());
        never_had.host.receive(now, envelope);
    }
    assert!(world.process(C).host.replica(GROUP).is_none());
    assert!(never_had.host.replica(GROUP).is_none());
}

#[test]
fn a_process_that_left_joins_again_as_learner_with_its_vote_and_floor() {
    let mut world = World::led_by_a();
    world.c_is_removed_and_returns();
    let (hard_state, floor) = left_record(world.process(C));
    let state = checkpoint(world.process(C));
    let now = world.now;
    *world.process(C) = restarted(&state, now);
    world.change(MembershipChange::AddLearner(C));
    world.run(300);
    let replica = world.replica(C);
    assert_eq!(replica.term(), hard_state.term);
    assert_eq!((replica.floor().term, replica.floor().index), (floor.term, floor.index));
    assert!(replica.membership().is_learner(C));
    let stored = checkpoint(world.process(C)).groups.remove(&GROUP).expect("it has the group");
    assert_eq!(
        (stored.hard_state, stored.floor),
        (hard_state, Some(floor)),
        "term and vote are those from before"
    );
    world.change(MembershipChange::PromoteLearner(C));
    world.run(300);
    assert!(world.replica(C).membership().is_voter(C));
    world.cut.push(A);
    world.run(LONG_MS);
    let leads = |world: &mut World, id| world.replica(id).role() == Role::Leader;
    assert!(leads(&mut world, B) || leads(&mut world, C), "C counts again");
}

#[test]
fn a_group_is_not_joined_again_before_the_disk_has_what_was_kept_of_it() {
    let mut world = World::led_by_a();
    world.cut.push(C);
    world.change(MembershipChange::Remove(C));
    world.run(LONG_MS);
    world.process(C).slow = true;
    world.cut.clear();
    world.run(LONG_MS);
    assert!(world.process(C).has_left());
    world.change(MembershipChange::AddLearner(C));
    world.run(300);
    assert!(world.process(C).host.replica(GROUP).is_none(), "its vote could be lost with the power");
    world.process(C).slow = false;
    world.run(300);
    assert!(world.replica(C).membership().is_learner(C));
}

#[test]
fn what_waited_for_a_write_is_not_said_any_more_once_the_group_was_left() {
    let mut world = World::led_by_a();
    world.process(C).slow = true;
    let now = world.now;
    let leader = world.process(A).host.replica_mut(GROUP).expect("it has the group");
    leader.propose(now, Blob::from(b"x".as_slice())).expect("A leads");
    world.settle();
    world.c_is_removed_and_returns();
    assert!(world.process(C).has_left());
    let ticket = world.process(C).ticket;
    let now = world.now;
    assert_eq!(world.process(C).host.written(now, ticket), [], "it has not kept what it would acknowledge");
}
