//! A host, its disk, and losses of power.

use std::sync::Arc;

use ruddervalve_consensus::{Membership, Timing};
use ruddervalve_disk::testing::FaultyFolder;
use ruddervalve_disk::{DiskError, Journal, Options, open};
use ruddervalve_protocol::{Blob, GroupId, ReplicaId};
use ruddervalve_replication::{GroupChange, GroupSnapshot, HostOutput, ReplicaHost};

const GROUP: GroupId = GroupId(0);
const IDENTITY: ReplicaId = ReplicaId(5);
const TIMING: Timing = Timing {
    election_min_ms: 200,
    election_max_ms: 400,
    heartbeat_ms: 50,
    lease_ms: 150,
    max_entries_bytes: 256 * 1_024,
    max_inflight: 64,
    snapshot_chunk_bytes: 128 * 1_024,
};

/// A host that is alone in its group: all that it writes is committed once it is durable.
struct Process {
    host: ReplicaHost,
    journal: Journal,
    now: u64,
    /// The last entry that was applied: what was acknowledged.
    applied: u64,
}

impl Process {
    fn start(folder: &FaultyFolder) -> Result<Self, DiskError> {
        let mut opened = open(Arc::new(folder.clone()), Options::default())?;
        let state = opened.state.take();
        let journal = match &state {
            Some(_) => opened.resume()?,
            None => opened.found(IDENTITY)?,
        };
        let mut host = ReplicaHost::new(IDENTITY, TIMING, 1);
        for (group, group_state) in state.into_iter().flat_map(|state| state.groups) {
            host.restore(0, group, &group_state).expect("what was written can be read");
        }
        host.found(0, GROUP, Membership { voters: vec![IDENTITY], learners: Vec::new() });
        let mut process = Self { host, journal, now: 0, applied: 0 };
        process.settle()?;
        process.now = process.host.next_wake().unwrap_or(0);
        process.host.tick(process.now);
        process.settle()?;
        Ok(process)
    }

    fn settle(&mut self) -> Result<(), DiskError> {
        loop {
            let HostOutput { records, ticket, changes, .. } = self.host.drain();
            for change in changes {
                if let GroupChange::Committed(_, entries) = change {
                    self.applied = entries.last().map_or(self.applied, |entry| entry.index);
                }
            }
            if records.is_empty() {
                return Ok(());
            }
            self.journal.append(&records);
            self.journal.sync()?;
            self.host.written(self.now, ticket);
        }
    }

    fn propose(&mut self, bytes: usize) -> Result<(), DiskError> {
        let command = Blob::from(vec![7; bytes]);
        let replica = self.host.replica_mut(GROUP).expect("it was founded");
        replica.propose(self.now, command).expect("it leads");
        self.settle()
    }

    fn checkpoint(&mut self) -> Result<(), DiskError> {
        let applied = self.applied;
        let checkpoint = self.host.checkpoint(|_| GroupSnapshot { applied, data: Blob::from(vec![1; 100]) });
        let done = self.journal.begin_checkpoint(&checkpoint.state)?.run()?;
        self.journal.finish_checkpoint(done);
        self.host.compact(&checkpoint.covered);
        Ok(())
    }

    fn last_index(&self) -> u64 {
        self.host.replica(GROUP).map_or(0, |replica| replica.last_index())
    }

    fn term(&self) -> u64 {
        self.host.replica(GROUP).map_or(0, |replica| replica.term())
    }
}

/// Changes with a checkpoint now and then; what was acknowledged, and in which term, when the power went.
fn play(folder: &FaultyFolder, changes: u64, bytes: usize, per_checkpoint: u64) -> Option<(u64, u64)> {
    let mut process = Process::start(folder).ok()?;
    for change in 1..=changes {
        let worked = process.propose(bytes).is_ok();
        let checkpointed = !change.is_multiple_of(per_checkpoint) || process.checkpoint().is_ok();
        if !worked || !checkpointed {
            break;
        }
    }
    Some((process.applied, process.term()))
}

#[test]
fn six_hundred_changes_start_again_with_all_that_was_acknowledged() {
    let folder = FaultyFolder::new();
    let (applied, term) = play(&folder, 600, 20_000, 280).expect("nothing fails");
    assert_eq!(applied, 601);
    for seed in 0..8 {
        let copy = folder.copy();
        copy.lose_power(seed);
        let process = Process::start(&copy).expect("it starts");
        assert!(process.last_index() >= applied, "seed {seed}");
        assert_eq!(process.term(), term + 1, "seed {seed}: it leads in a new term");
        assert!(process.applied > applied, "seed {seed}: and commits what there was");
    }
}

#[test]
fn power_loss_at_each_operation_of_a_storm_loses_nothing_acknowledged() {
    let whole = FaultyFolder::new();
    play(&whole, 24, 300, 5).expect("nothing fails");
    for operation in 1..=whole.operations() {
        let folder = FaultyFolder::new();
        folder.lose_power_at(operation);
        let known = play(&folder, 24, 300, 5);
        for seed in 0..16 {
            let copy = folder.copy();
            copy.lose_power(seed);
            let process = Process::start(&copy).unwrap_or_else(|error| panic!("{operation} {seed}: {error}"));
            let (applied, term) = known.unwrap_or((0, 0));
            assert!(process.last_index() > applied, "operation {operation}, seed {seed}");
            assert!(process.term() > term || known.is_none(), "operation {operation}, seed {seed}");
        }
    }
}
