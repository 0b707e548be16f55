//! The replicas of one process.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use nanoserde::{DeBin, SerBin};
use ruddervalve_consensus::{
    ElectionRecord, Entry, LogPosition, Membership, Message, Ready, Replica, Restored, Snapshot, Timing,
};
use ruddervalve_disk::{GroupState, ProcessState, Record, StoredLogPosition};
use ruddervalve_protocol::{Blob, GroupId, ReplicaId};

use crate::records::{
    RestoreError, election_record, encode_membership, left_record, left_state, restored, stored_entry,
    stored_hard_state, stored_position, stored_snapshot, write_records,
};

/// Spreads seeds: the odd number nearest to 2^64 over the golden ratio.
const SPREAD: u64 = 0x9E37_79B9_7F4A_7C15;

/// A consensus message with its way.
#[derive(Debug, Clone, PartialEq, SerBin, DeBin)]
pub struct Envelope {
    /// The group.
    pub group: GroupId,
    /// Who sends it.
    pub from: ReplicaId,
    /// Whom it is for; another identity drops it.
    pub to: ReplicaId,
    /// The message.
    pub message: Message,
}

/// What changed in a group, in the order in which it has to be taken.
#[derive(Debug, Clone, PartialEq)]
pub enum GroupChange {
    /// The state machine is to be replaced.
    Restored(GroupId, Snapshot),
    /// Entries are to be applied.
    Committed(GroupId, Vec<Entry>),
    /// The replica's role or the leader that it knows changed.
    RoleChanged(GroupId),
    /// The group was left: its state machine is to be dropped.
    Left(GroupId),
    /// A follower needs the state machine: answer with [`ReplicaHost::send_snapshot`].
    SnapshotWanted(GroupId, ReplicaId),
}

/// What the owner has to do now.
#[derive(Debug, Default)]
pub struct HostOutput {
    /// Records to write, in order after those of earlier outputs; empty: nothing to write.
    pub records: Vec<Record>,
    /// To be given to [`ReplicaHost::written`] once they are durable.
    pub ticket: u64,
    /// Messages to send.
    pub envelopes: Vec<Envelope>,
    /// Changes for the state machines.
    pub changes: Vec<GroupChange>,
}

/// The state machine of a group after an entry.
#[derive(Debug, Clone, PartialEq)]
pub struct GroupSnapshot {
    /// The index of the last entry that was applied.
    pub applied: u64,
    /// The state machine, encoded.
    pub data: Blob,
}

/// Messages that wait for a write.
#[derive(Debug, Default)]
struct Unwritten {
    ticket: u64,
    replicas: Vec<(GroupId, u64)>,
    left: Vec<GroupId>,
    envelopes: Vec<Envelope>,
}

impl Unwritten {
    /// Drops what a replica that has left its group waits for: what it would say holds no more.
    fn forget(&mut self, group: GroupId) {
        self.replicas.retain(|(written, _)| *written != group);
        self.envelopes.retain(|envelope| envelope.group != group);
    }
}

/// A group that was left.
#[derive(Debug, Clone, Copy)]
struct LeftGroup {
    record: ElectionRecord,
    /// Whether the record is on disk; before, the group is not joined again, as the replica would take it for durable.
    durable: bool,
}

/// The replicas of one process.
#[derive(Debug)]
pub struct ReplicaHost {
    identity: ReplicaId,
    timing: Timing,
    seed: u64,
    replicas: BTreeMap<GroupId, Replica>,
    founded: BTreeMap<GroupId, Blob>,
    left: BTreeMap<GroupId, LeftGroup>,
    /// Groups that may have output.
    touched: BTreeSet<GroupId>,
    records: Vec<Record>,
    last_ticket: u64,
    unwritten: VecDeque<Unwritten>,
}

impl ReplicaHost {
    /// A host without replicas.
    pub fn new(identity: ReplicaId, timing: Timing, seed: u64) -> Self {
        Self {
            identity,
            timing,
            seed,
            replicas: BTreeMap::new(),
            founded: BTreeMap::new(),
            left: BTreeMap::new(),
            touched: BTreeSet::new(),
            records: Vec::new(),
            last_ticket: 0,
            unwritten: VecDeque::new(),
        }
    }

    /// The identity of this process's disk.
    pub fn identity(&self) -> ReplicaId {
        self.identity
    }

    /// Goes on with a group that was found on disk; one that was left stays left.
    ///
    /// # Errors
    /// Something on disk cannot be read.
    pub fn restore(&mut self, now: u64, group: GroupId, state: &GroupState) -> Result<(), RestoreError> {
        if state.is_left() {
            self.left.insert(group, LeftGroup { record: election_record(state), durable: true });
            return Ok(());
        }
        let restored = restored(group, state)?;
        if let Some(founded) = &state.founded {
            self.founded.insert(group, founded.clone());
        }
        self.insert(now, group, restored);
        Ok(())
    }

    /// Begins a group whose founding members are known to be these, this process among them. Nothing happens if the
    /// group is there already, or was left.
    pub fn found(&mut self, now: u64, group: GroupId, founders: Membership) {
        if self.replicas.contains_key(&group) || self.left.contains_key(&group) {
            return;
        }
        let membership = encode_membership(&founders);
        self.records.push(Record::Founded { group, membership: membership.clone() });
        self.founded.insert(group, membership);
        self.insert(now, group, Restored { founding: Some(founders), ..Restored::default() });
    }

    /// Leaves a group whose leader told that this replica does not belong to it; what elections need stays.
    fn leave(
        &mut self,
        group: GroupId,
        record: ElectionRecord,
        output: &mut HostOutput,
        held: &mut Unwritten,
    ) {
        self.replicas.remove(&group);
        self.founded.remove(&group);
        self.unwritten.iter_mut().for_each(|unwritten| unwritten.forget(group));
        self.left.insert(group, LeftGroup { record, durable: false });
        held.left.push(group);
        output.records.push(left_record(group, record));
        output.changes.push(GroupChange::Left(group));
        tracing::info!(group = group.0, floor = ?record.floor, "left a group");
    }

    fn insert(&mut self, now: u64, group: GroupId, restored: Restored) {
        let seed = (self.seed ^ u64::from(group.0).wrapping_add(1)).wrapping_mul(SPREAD);
        self.replicas.insert(group, Replica::new(self.identity, self.timing, seed, restored, now));
        self.touched.insert(group);
    }

    /// The groups that this process has replicas of.
    pub fn groups(&self) -> impl Iterator<Item = GroupId> + '_ {
        self.replicas.keys().copied()
    }

    /// A replica.
    pub fn replica(&self, group: GroupId) -> Option<&Replica> {
        self.replicas.get(&group)
    }

    /// A replica, to be told or asked something; its output is had with the next [`ReplicaHost::drain`].
    pub fn replica_mut(&mut self, group: GroupId) -> Option<&mut Replica> {
        let replica = self.replicas.get_mut(&group)?;
        self.touched.insert(group);
        Some(replica)
    }

    /// Asks others whether this replica still belongs to a group, unless a leader was heard of late. If it does not, the
    /// group is left: [`GroupChange::Left`] tells.
    pub fn inquire(&mut self, now: u64, group: GroupId, others: impl IntoIterator<Item = ReplicaId>) {
        if let Some(replica) = self.replica_mut(group) {
            others.into_iter().for_each(|other| replica.inquire(now, other));
        }
    }

    /// Takes a message from a peer. A group that is not known, or was left, begins here as one that joins when a leader
    /// says so.
    pub fn receive(&mut self, now: u64, envelope: Envelope) {
        let Envelope { group, from, to, message } = envelope;
        if to != self.identity {
            return;
        }
        if !self.replicas.contains_key(&group) && message.kind().is_replication() {
            self.join(now, group);
        }
        if let Some(replica) = self.replica_mut(group) {
            replica.step(now, from, message);
        }
    }

    /// Begins a group with an empty log, but with what elections need of the time before it was left.
    fn join(&mut self, now: u64, group: GroupId) {
        let left = self.left.get(&group).copied();
        if left.is_some_and(|left| !left.durable) {
            return;
        }
        self.left.remove(&group);
        let ElectionRecord { hard_state, floor } = left.map(|left| left.record).unwrap_or_default();
        self.insert(now, group, Restored { hard_state, floor, ..Restored::default() });
    }

    /// The connection to a peer is lost.
    pub fn peer_unreachable(&mut self, now: u64, peer: ReplicaId) {
        for replica in self.replicas.values_mut() {
            replica.peer_unreachable(now, peer);
        }
    }

    /// Time has passed.
    pub fn tick(&mut self, now: u64) {
        for (group, replica) in &mut self.replicas {
            if replica.next_wake() <= now {
                replica.tick(now);
                self.touched.insert(*group);
            }
        }
    }

    /// When to call [`ReplicaHost::tick`] at the latest.
    pub fn next_wake(&self) -> Option<u64> {
        self.replicas.values().map(Replica::next_wake).min()
    }

    /// All records up to this ticket are durable.
    pub fn written(&mut self, now: u64, ticket: u64) -> Vec<Envelope> {
        let mut released = Vec::new();
        while self.unwritten.front().is_some_and(|unwritten| unwritten.ticket <= ticket) {
            let Some(unwritten) = self.unwritten.pop_front() else { break };
            for (group, replica_ticket) in unwritten.replicas {
                if let Some(replica) = self.replica_mut(group) {
                    replica.written(now, replica_ticket);
                }
            }
            for group in unwritten.left {
                if let Some(left) = self.left.get_mut(&group) {
                    left.durable = true;
                }
            }
            released.extend(unwritten.envelopes);
        }
        released
    }

    /// Answers [`GroupChange::SnapshotWanted`].
    pub fn send_snapshot(&mut self, now: u64, group: GroupId, to: ReplicaId, state: GroupSnapshot) {
        let Some(replica) = self.replica_mut(group) else { return };
        let parts = replica.checkpoint(state.applied);
        if parts.index != state.applied {
            return;
        }
        let (index, term, membership) = (parts.index, parts.term, parts.membership);
        replica.send_snapshot(now, to, Snapshot { index, term, membership, data: state.data });
    }

    /// All output since the last call. It has to be carried out whole.
    pub fn drain(&mut self) -> HostOutput {
        let mut output = HostOutput { records: std::mem::take(&mut self.records), ..HostOutput::default() };
        let mut held = Unwritten::default();
        while let Some(group) = self.touched.pop_first() {
            let Some(replica) = self.replicas.get_mut(&group) else { continue };
            if replica.is_removed() {
                let record = replica.election_record();
                self.leave(group, record, &mut output, &mut held);
                continue;
            }
            let ready = replica.take_ready();
            self.take(group, ready, &mut output, &mut held);
        }
        self.hold(&mut output, held);
        output
    }

    fn take(&self, group: GroupId, ready: Ready, output: &mut HostOutput, held: &mut Unwritten) {
        let from = self.identity;
        let envelope = |(to, message)| Envelope { group, from, to, message };
        if !ready.writes.is_empty() {
            held.replicas.push((group, ready.ticket));
        }
        output.records.extend(ready.writes.into_iter().map(|write| write_records(group, write)));
        output.envelopes.extend(ready.messages.into_iter().map(envelope));
        held.envelopes.extend(ready.messages_after_write.into_iter().map(envelope));
        if let Some(snapshot) = ready.restore {
            output.changes.push(GroupChange::Restored(group, snapshot));
        }
        if !ready.committed.is_empty() {
            output.changes.push(GroupChange::Committed(group, ready.committed));
        }
        if ready.role_changed {
            output.changes.push(GroupChange::RoleChanged(group));
        }
        let wanted = ready.snapshots_wanted.into_iter();
        output.changes.extend(wanted.map(|to| GroupChange::SnapshotWanted(group, to)));
    }

    /// Messages that need a write wait for it, and for those before it.
    fn hold(&mut self, output: &mut HostOutput, mut held: Unwritten) {
        if !output.records.is_empty() {
            self.last_ticket += 1;
            output.ticket = self.last_ticket;
            held.ticket = self.last_ticket;
            self.unwritten.push_back(held);
        } else if let Some(last) = self.unwritten.back_mut() {
            last.envelopes.extend(held.envelopes);
        } else {
            output.envelopes.extend(held.envelopes);
        }
    }

    /// The state of all groups for a checkpoint. It covers what was drained: call it right after a drain whose records
    /// were handed to the disk, and all changes applied.
    pub fn checkpoint(&self, mut machine: impl FnMut(GroupId) -> GroupSnapshot) -> Checkpoint {
        let left = self.left.iter().map(|(group, left)| (*group, left_state(left.record)));
        let mut groups: BTreeMap<GroupId, GroupState> = left.collect();
        let mut covered = Vec::new();
        for (group, replica) in &self.replicas {
            let state = machine(*group);
            let parts = replica.checkpoint(state.applied);
            let snapshot = Snapshot {
                index: parts.index,
                term: parts.term,
                membership: parts.membership,
                data: state.data,
            };
            let snapshot = (parts.index > 0).then(|| stored_snapshot(snapshot));
            let stored = GroupState {
                founded: self.founded.get(group).cloned(),
                hard_state: stored_hard_state(parts.hard_state),
                floor: floor_on_disk(replica.floor()),
                snapshot,
                entries: parts.entries.into_iter().map(stored_entry).collect(),
            };
            groups.insert(*group, stored);
            covered.push((*group, parts.index));
        }
        Checkpoint { state: ProcessState { identity: self.identity, groups }, covered }
    }

    /// A checkpoint is durable: entries that it covers need not be kept.
    pub fn compact(&mut self, covered: &[(GroupId, u64)]) {
        for (group, index) in covered {
            if let Some(replica) = self.replicas.get_mut(group) {
                replica.compact(*index);
            }
        }
    }

    /// Bytes of entries that each replica keeps for followers that lag.
    pub fn set_retained_bytes(&mut self, bytes: usize) {
        for replica in self.replicas.values_mut() {
            replica.set_retained_bytes(bytes);
        }
    }
}

/// The floor as it is stored: none if the group was never left.
fn floor_on_disk(floor: LogPosition) -> Option<StoredLogPosition> {
    (floor != LogPosition::default()).then(|| stored_position(floor))
}

/// The state of all groups, and up to where it covers their logs.
#[derive(Debug)]
pub struct Checkpoint {
    /// What to store.
    pub state: ProcessState,
    /// For [`ReplicaHost::compact`], once it is durable.
    pub covered: Vec<(GroupId, u64)>,
}
