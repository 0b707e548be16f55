//! What a coordinator decides, without I/O and without a clock: it joins the agreed state with consensus, the leader's
//! duties, sessions of other processes and calls of the operator.
//!
//! Its owner feeds it what came in, lets it [`CoordinatorCore::settle`], and then carries out all outputs in order. Times
//! are milliseconds of the owner's monotonic clock.

mod agreement;
mod links;
mod operator;
mod reads;
mod sessions;

use std::collections::BTreeMap;
use std::net::SocketAddr;

use ruddervalve_configuration::Settings;
use ruddervalve_consensus::{Membership, Replica};
use ruddervalve_disk::ProcessState;
use ruddervalve_protocol::{
    ControlMembers, CoordinatorMember, CoordinatorReply, Directory, GroupId, ReplicaId,
};
use ruddervalve_replication::{Checkpoint, GroupSnapshot, ReplicaHost};
use ruddervalve_runtime::{
    NodeError, ReplicaInput, ReplicaOutput, Replicas, consensus_timing, retained_log_bytes,
};

use crate::changes::ConfigurationChanges;
use crate::duties::Duties;
use crate::error::CoordinatorError;
use crate::founding::founders;
use crate::listing::ListCall;
use crate::operator::Answer;
use crate::sessions::Sessions;
use crate::state::ControlState;
use reads::WaitingRead;

const BYTES_PER_MB: u64 = 1_024 * 1_024;
/// The part of a coordinator's memory that earlier configurations may take, to tell what has changed since.
const EARLIER_PART_OF_MEMORY: u64 = 16;

/// A call of the operator, counted by the owner.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct CallerNumber(pub u64);

/// What a call is answered.
#[derive(Debug)]
pub enum OperatorReply {
    /// The answer.
    Answer(Answer),
    /// Ask the coordinator at this `ControlPlane` address.
    Redirect(String),
}

/// What a coordinator wants done, in order.
#[derive(Debug)]
pub enum CoordinatorOutput {
    /// Answer a call of the operator.
    Reply(CallerNumber, OperatorReply),
    /// What became of a call is not known: its entry may be committed yet, by another leader.
    NoReply(CallerNumber),
    /// Call the platform and tell its answer with [`CoordinatorCore::list_answered`].
    CallPlatform(ListCall),
    /// The coordinators that are known have changed: see [`CoordinatorCore::coordinators`] and
    /// [`CoordinatorCore::others`].
    Connect,
}

/// An operator's call whose entry is not committed yet.
#[derive(Debug)]
struct Pending {
    term: u64,
    is_retire: bool,
    caller: CallerNumber,
}

/// The state of a coordinator.
pub struct CoordinatorCore {
    settings: Settings,
    member: CoordinatorMember,
    replicas: Replicas,
    state: ControlState,
    applied: u64,
    sessions: Sessions,
    /// Configurations as changes of earlier ones.
    changes: ConfigurationChanges,
    /// Sessions whose heartbeats are to be answered.
    heartbeats: Vec<u64>,
    duties: Duties,
    /// Coordinators that the log on disk named at the start, and those that have connected since.
    heard_of: Vec<CoordinatorMember>,
    pending: BTreeMap<u64, Pending>,
    /// Calls that wait until this coordinator is confirmed to lead.
    reads: Vec<WaitingRead>,
    /// The agreed state's directory as sessions are told it.
    directory: Directory,
    /// The control group's membership as sessions are told it, and the addresses that it comes to.
    membership: Membership,
    members: ControlMembers,
    /// The directory as the leader told it, for one that joins and has none of its own yet.
    told: Option<Directory>,
    /// The leader's internal address as its answers to heartbeats show it, and when the last came.
    told_leader: Option<(SocketAddr, u64)>,
    /// Since when the process is ending.
    ending_since: Option<u64>,
    outputs: Vec<CoordinatorOutput>,
}

/// No configurations yet, and room for some.
fn changes_for(settings: &Settings) -> ConfigurationChanges {
    let bytes = settings.limits.memory_mb.saturating_mul(BYTES_PER_MB) / EARLIER_PART_OF_MEMORY;
    ConfigurationChanges::new(usize::try_from(bytes).unwrap_or(usize::MAX))
}

impl CoordinatorCore {
    /// A coordinator that goes on with what its disk held, under that identity. `is_new`: the disk was empty. `address`
    /// and `control_address` are where it listens; `seed` is drawn anew for each start.
    ///
    /// # Errors
    /// Something on disk cannot be read.
    pub fn start(
        settings: &Settings,
        recovered: &ProcessState,
        is_new: bool,
        address: SocketAddr,
        control_address: SocketAddr,
        seed: u64,
        now: u64,
    ) -> Result<Self, CoordinatorError> {
        let (timing, retained) = (consensus_timing(settings), retained_log_bytes(settings));
        let replicas = Replicas::restore(recovered, timing, retained, seed, now);
        let mut replicas = replicas.map_err(NodeError::Restore)?;
        if let Some(founders) = founders(settings)
            && is_new
        {
            replicas.host.found(now, GroupId::CONTROL, founders);
        }
        let snapshot = recovered.groups.get(&GroupId::CONTROL).and_then(|group| group.snapshot.as_ref());
        let (state, applied) = match snapshot {
            Some(snapshot) => {
                let state = ControlState::restore(snapshot.data.as_slice());
                (state.map_err(|_| CoordinatorError::Damaged)?, snapshot.index)
            }
            None => (ControlState::default(), 0),
        };
        let member = CoordinatorMember {
            node: settings.node.clone(),
            replica: recovered.identity,
            address: address.to_string(),
            control_address: control_address.to_string(),
        };
        Ok(Self {
            settings: settings.clone(),
            member,
            replicas,
            state,
            applied,
            sessions: Sessions::default(),
            changes: changes_for(settings),
            heartbeats: Vec::new(),
            // Another seed than that of the elections.
            duties: Duties::new(settings, !seed),
            heard_of: links::logged_members(recovered),
            pending: BTreeMap::new(),
            reads: Vec::new(),
            directory: Directory::default(),
            membership: Membership::default(),
            members: ControlMembers::default(),
            told: None,
            told_leader: None,
            ending_since: None,
            outputs: vec![CoordinatorOutput::Connect],
        })
    }

    /// Other settings are in force.
    pub fn set_settings(&mut self, settings: &Settings) {
        self.settings = settings.clone();
        self.outputs.push(CoordinatorOutput::Connect);
    }

    /// How this coordinator is known to others.
    pub fn member(&self) -> &CoordinatorMember {
        &self.member
    }

    /// The replica of the control group.
    pub fn host(&self) -> &ReplicaHost {
        &self.replicas.host
    }

    /// The agreed state as far as it was applied.
    pub fn state(&self) -> &ControlState {
        &self.state
    }

    /// Whether it has a replica of the control group: not before it joins, nor after it has left.
    pub fn is_member(&self) -> bool {
        self.replicas.host.replica(GroupId::CONTROL).is_some()
    }

    /// The last entry that was applied.
    pub fn applied(&self) -> u64 {
        self.applied
    }

    /// What disk and peers are to be handed since the last call.
    pub fn replica_outputs(&mut self) -> Vec<ReplicaOutput> {
        self.replicas.outputs()
    }

    /// What sessions are to be sent since the last call.
    pub fn session_outputs(&mut self) -> Vec<(u64, CoordinatorReply)> {
        self.sessions.outputs()
    }

    /// What else is to be done since the last call.
    pub fn outputs(&mut self) -> Vec<CoordinatorOutput> {
        std::mem::take(&mut self.outputs)
    }

    /// The agreed state for a checkpoint. Call it when all output of the last [`CoordinatorCore::settle`] was carried out.
    pub fn checkpoint(&self) -> Checkpoint {
        self.replicas.checkpoint(|_| GroupSnapshot { applied: self.applied, data: self.state.snapshot() })
    }

    /// Whether it leads and its lease is valid.
    pub fn leads(&self, now: u64) -> bool {
        let replica = self.replicas.host.replica(GroupId::CONTROL);
        replica.is_some_and(|replica| replica.lease_valid(now))
    }

    fn term(&self) -> u64 {
        self.replicas.host.replica(GroupId::CONTROL).map_or(0, Replica::term)
    }

    fn leader(&self) -> Option<ReplicaId> {
        self.replicas.host.replica(GroupId::CONTROL)?.leader()
    }

    /// Ended: nothing is left to hand over, somebody else leads, or there was no time left for it.
    pub fn ended(&self, now: u64) -> bool {
        let Some(since) = self.ending_since else { return false };
        let out_of_time = now >= since + self.settings.bounds.grace_period_ms / 2;
        out_of_time || self.leader() != Some(self.member.replica)
    }

    /// When to call [`CoordinatorCore::settle`] at the latest.
    pub fn next_wake(&self, now: u64) -> u64 {
        let replicas = self.replicas.host.next_wake().unwrap_or(u64::MAX);
        let leads = self.leads(now);
        let duties = if leads { self.duties.next_wake() } else { u64::MAX };
        let updates = if leads { self.sessions.next_wake() } else { u64::MAX };
        let longest = now + self.settings.bounds.liveness_ms;
        let end =
            self.ending_since.map_or(u64::MAX, |since| since + self.settings.bounds.grace_period_ms / 2);
        replicas.min(duties).min(updates).min(longest).min(end)
    }

    /// The process is to end: it hands its office over.
    pub fn terminate(&mut self, now: u64) {
        self.ending_since = Some(now);
        self.hand_over(now);
    }

    /// Hands the office over while the process is ending, again and again until somebody takes it.
    fn hand_over(&mut self, now: u64) {
        if self.ending_since.is_none() || self.leader() != Some(self.member.replica) {
            return;
        }
        if let Some(replica) = self.replicas.host.replica_mut(GroupId::CONTROL) {
            replica.transfer_leadership(now, None);
        }
    }

    /// Disk or peers have something for the replicas.
    pub fn replica_input(&mut self, now: u64, input: ReplicaInput) {
        self.replicas.handle(now, input);
    }

    /// The coordinator at this internal address says something.
    pub fn coordinator_says(&mut self, now: u64, from: SocketAddr, reply: CoordinatorReply) {
        match reply {
            CoordinatorReply::Alive { .. } => self.told_leader = Some((from, now)),
            CoordinatorReply::Directory(directory) => self.told_directory(directory),
            _ => {}
        }
    }

    fn told_directory(&mut self, directory: Directory) {
        if self.told.as_ref().is_none_or(|told| told.version < directory.version) {
            self.told = Some(directory);
            self.outputs.push(CoordinatorOutput::Connect);
        }
    }
}
