//! A process that hosts one replica.

use std::collections::BTreeMap;

use ruddervalve_consensus::{Entry, Payload, ReadRequest, Replica, Role, Snapshot, Timing};
use ruddervalve_protocol::{Blob, ReplicaId};

use crate::disk::{Disk, PendingQueue};

/// The state machine: a hash over all that was applied.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Machine {
    pub index: u64,
    pub hash: u64,
}

/// Bytes of an encoded state machine: several parts of a snapshot.
const MACHINE_BYTES: usize = 300;

impl Machine {
    pub fn apply(&mut self, entry: &Entry) {
        assert_eq!(entry.index, self.index + 1, "entries are applied in order, each once");
        self.index = entry.index;
        self.hash = chain(self.hash, payload_hash(entry));
    }

    pub fn encode(&self) -> Blob {
        let mut bytes = vec![7; MACHINE_BYTES];
        bytes[..8].copy_from_slice(&self.index.to_le_bytes());
        bytes[MACHINE_BYTES - 8..].copy_from_slice(&self.hash.to_le_bytes());
        Blob::from(bytes)
    }

    pub fn decode(data: &Blob) -> Self {
        let bytes = data.as_slice();
        assert_eq!(bytes.len(), MACHINE_BYTES, "a snapshot comes whole");
        let number = |at: usize| u64::from_le_bytes(bytes[at..at + 8].try_into().expect("eight bytes"));
        Self { index: number(0), hash: number(MACHINE_BYTES - 8) }
    }
}

fn chain(hash: u64, value: u64) -> u64 {
    (hash ^ value).wrapping_mul(0x9e37_79b9_7f4a_7c15).rotate_left(23)
}

pub fn payload_hash(entry: &Entry) -> u64 {
    let start = chain(entry.term, entry.index);
    match &entry.payload {
        Payload::Empty => start,
        Payload::Command(command) => {
            command.as_slice().iter().fold(start, |hash, byte| chain(hash, u64::from(*byte)))
        }
        Payload::Membership(membership) => {
            let voters = membership.voters.iter().fold(chain(start, 1), |hash, id| chain(hash, id.0));
            membership.learners.iter().fold(chain(voters, 2), |hash, id| chain(hash, id.0))
        }
    }
}

/// A running replica and what is in its process's memory.
pub struct Running {
    pub replica: Replica,
    pub machine: Machine,
    pub pending: PendingQueue,
    /// When the sync under way ends, and the one after it, which takes all writes of until then; ms of the world.
    sync_ends: (u64, u64),
    /// The terms of its log's entries, by index, as it handed them out to be written.
    pub log_terms: BTreeMap<u64, u64>,
    /// Its clock is ahead of the world's by this; ms.
    pub clock_offset: u64,
    /// Stopped until then: neither messages nor timers nor finished writes are noticed; ms of the world.
    pub frozen_until: u64,
    pub role: Role,
    /// Reads that wait for a quorum, each with the newest entry that anyone had applied when it was asked for.
    pub reads: Vec<(ReadRequest, u64)>,
}

impl Running {
    /// When a write that begins now is on disk, if another sync takes `sync_ms`.
    pub fn next_sync_end(&mut self, now: u64, sync_ms: u64) -> u64 {
        let (under_way, next) = self.sync_ends;
        if next <= now {
            self.sync_ends = (now + sync_ms, now + sync_ms);
        } else if under_way <= now {
            self.sync_ends = (next, next + sync_ms);
        } else if under_way == next {
            self.sync_ends = (under_way, next + sync_ms);
        }
        self.sync_ends.1
    }
}

pub struct Node {
    pub id: ReplicaId,
    pub disk: Disk,
    pub running: Option<Running>,
    /// The process is started again then; `None` for never; ms of the world.
    pub restart_at: Option<u64>,
}

impl Node {
    pub fn new(id: ReplicaId, disk: Disk) -> Self {
        Self { id, disk, running: None, restart_at: Some(0) }
    }

    pub fn start(&mut self, timing: Timing, seed: u64, clock_offset: u64, now: u64) {
        let restored = self.disk.restored();
        let snapshot = restored.snapshot.as_ref();
        let machine = snapshot.map(|snapshot| Machine::decode(&snapshot.data)).unwrap_or_default();
        let mut log_terms = BTreeMap::new();
        log_terms.extend(snapshot.map(|snapshot| (snapshot.index, snapshot.term)));
        log_terms.extend(restored.entries.iter().map(|entry| (entry.index, entry.term)));
        let mut replica = Replica::new(self.id, timing, seed, restored, now + clock_offset);
        replica.set_retained_bytes(600);
        self.running = Some(Running {
            replica,
            machine,
            pending: PendingQueue::new(),
            sync_ends: (0, 0),
            log_terms,
            clock_offset,
            frozen_until: 0,
            role: Role::Follower,
            reads: Vec::new(),
        });
        self.restart_at = None;
    }

    /// The process is killed after `survived` of the single writes that were not known to be synced.
    pub fn crash(&mut self, survived: usize, restart_at: Option<u64>) {
        let pending = self.running.take().map(|running| running.pending).unwrap_or_default();
        for write in pending.into_iter().flat_map(|pending| pending.writes).take(survived) {
            self.disk.apply(write);
        }
        self.restart_at = restart_at;
    }

    /// Takes a checkpoint at once, with a snapshot of all that is applied.
    pub fn checkpoint(&mut self) {
        let Some(running) = &mut self.running else { return };
        let parts = running.replica.checkpoint(running.machine.index);
        assert_eq!(parts.index, running.machine.index, "what is applied can be checkpointed");
        for write in running.pending.iter_mut().flat_map(|pending| pending.writes.drain(..)) {
            self.disk.apply(write);
        }
        self.disk.checkpoint(parts, running.machine.encode());
        running.replica.compact(running.machine.index);
    }

    /// A snapshot of all that is applied, for a follower.
    pub fn snapshot(&self) -> Option<Snapshot> {
        let running = self.running.as_ref()?;
        let parts = running.replica.checkpoint(running.machine.index);
        Some(Snapshot {
            index: parts.index,
            term: parts.term,
            membership: parts.membership,
            data: running.machine.encode(),
        })
    }
}
