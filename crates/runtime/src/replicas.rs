//! The replicas of a process without their disk and links: what came in, and what is to be written and sent.

use ruddervalve_consensus::Timing;
use ruddervalve_disk::{ProcessState, Record};
use ruddervalve_protocol::{GroupId, ReplicaId};
use ruddervalve_replication::{
    Checkpoint, Envelope, GroupChange, GroupSnapshot, HostOutput, ReplicaHost, RestoreError,
};

/// Something that disk or links have for the replicas.
#[derive(Debug)]
pub enum ReplicaInput {
    /// All records up to a ticket are durable.
    Written {
        /// The ticket of [`ReplicaOutput::Write`].
        ticket: u64,
    },
    /// A checkpoint is durable.
    CheckpointDone {
        /// What it covers.
        covered: Vec<(GroupId, u64)>,
    },
    /// The disk took no more.
    DiskFull,
    /// Messages came from a peer.
    Received(Vec<Envelope>),
    /// The link to a peer ended.
    Unreachable(ReplicaId),
}

/// What the replicas want done, in order.
#[derive(Debug)]
pub enum ReplicaOutput {
    /// Write these records after those of earlier outputs, and tell when they are durable.
    Write {
        /// The records, at least one.
        records: Vec<Record>,
        /// For [`ReplicaInput::Written`].
        ticket: u64,
    },
    /// Send these to their peers. What cannot be sent is lost: consensus repeats it.
    Send(Vec<Envelope>),
}

/// The replicas of a process. No I/O and no clock.
#[derive(Debug)]
pub struct Replicas {
    /// The replicas.
    pub host: ReplicaHost,
    outputs: Vec<ReplicaOutput>,
    /// Bytes of its log that each replica keeps for followers that lag, from the first checkpoint on.
    retained_bytes: usize,
    full: bool,
}

impl Replicas {
    /// Goes on with what the disk held. `seed` draws election timeouts and should differ from process to process.
    ///
    /// # Errors
    /// Something on disk cannot be read.
    pub fn restore(
        recovered: &ProcessState,
        timing: Timing,
        retained_bytes: usize,
        seed: u64,
        now: u64,
    ) -> Result<Self, RestoreError> {
        let mut host = ReplicaHost::new(recovered.identity, timing, seed);
        for (group, state) in &recovered.groups {
            host.restore(now, *group, state)?;
        }
        Ok(Self { host, outputs: Vec::new(), retained_bytes, full: false })
    }

    /// The identity of this process's disk.
    pub fn identity(&self) -> ReplicaId {
        self.host.identity()
    }

    /// Whether the disk took no more when it was last written to.
    pub fn disk_full(&self) -> bool {
        self.full
    }

    /// Takes what came from disk or links.
    pub fn handle(&mut self, now: u64, input: ReplicaInput) {
        match input {
            ReplicaInput::Written { ticket } => {
                self.full = false;
                let released = self.host.written(now, ticket);
                self.send(released);
            }
            ReplicaInput::CheckpointDone { covered } => {
                self.host.set_retained_bytes(self.retained_bytes);
                self.host.compact(&covered);
            }
            ReplicaInput::DiskFull => self.full = true,
            ReplicaInput::Received(envelopes) => {
                envelopes.into_iter().for_each(|envelope| self.host.receive(now, envelope));
            }
            ReplicaInput::Unreachable(peer) => self.host.peer_unreachable(now, peer),
        }
    }

    /// Collects what the replicas want done, and returns what changed for the state machines.
    pub fn flush(&mut self) -> Vec<GroupChange> {
        let HostOutput { records, ticket, envelopes, changes } = self.host.drain();
        if !records.is_empty() {
            self.outputs.push(ReplicaOutput::Write { records, ticket });
        }
        self.send(envelopes);
        changes
    }

    /// What is to be done since the last call. It has to be carried out whole and in order.
    pub fn outputs(&mut self) -> Vec<ReplicaOutput> {
        std::mem::take(&mut self.outputs)
    }

    /// The state of all groups. Call it when all changes of the last flush are applied and its output was carried out.
    pub fn checkpoint(&self, machine: impl FnMut(GroupId) -> GroupSnapshot) -> Checkpoint {
        self.host.checkpoint(machine)
    }

    fn send(&mut self, envelopes: Vec<Envelope>) {
        if !envelopes.is_empty() {
            self.outputs.push(ReplicaOutput::Send(envelopes));
        }
    }
}
