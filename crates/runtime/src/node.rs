//! The replicas of a process with their disk and their links to peers.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use displaydoc::Display;
use ruddervalve_consensus::TimingError;
use ruddervalve_disk::{Completion, DiskError, DiskWorker, Opened, Options, ProcessState, RealFolder, open};
use ruddervalve_protocol::{Channel, GroupId, ReplicaId};
use ruddervalve_replication::{Envelope, GroupChange, GroupSnapshot, HostOutput, ReplicaHost, RestoreError};
use ruddervalve_rpc::{LinkEvent, Outbox, Peer, run};
use tokio::net::TcpStream;
use tokio::sync::mpsc;

use crate::{Boot, backoff, consensus_timing, draw_seed, replica_link_settings};

/// The log is replaced by a checkpoint at this part of the disk, in the smallest case; two slots and two logs fit then.
const CHECKPOINT_PART_OF_DISK: u64 = 24;
/// A log is let grow to so many times the newest checkpoint, so that writing checkpoints stays a part of all writing.
const LOG_PER_CHECKPOINT: u64 = 2;
/// The part of the process's memory that each replica may keep of its log for followers that lag.
const RETAINED_PART_OF_MEMORY: u64 = 128;

const BYTES_PER_MB: u64 = 1_024 * 1_024;

/// Why the replicas of a process cannot start or go on.
#[derive(Debug, Display)]
pub enum NodeError {
    /// DataDir is not set: set it to the folder that this role may write to
    NoDataDir,
    /// the data folder cannot be used: {0}
    Folder(std::io::Error),
    /// {0}
    Disk(DiskError),
    /// {0}
    Restore(RestoreError),
    /// the times of consensus don't go together, raise LivenessMs: {0}
    Timing(TimingError),
}

impl std::error::Error for NodeError {}

/// Something for [`ReplicaNode::handle`].
#[derive(Debug)]
pub enum NodeEvent {
    /// The disk is done with something.
    Disk(Completion),
    /// Messages came from a peer.
    Received(Vec<Envelope>),
    /// A link to a peer came up.
    Up(ReplicaId, Outbox),
    /// A link to a peer ended.
    Down(ReplicaId),
}

#[derive(Debug)]
struct PeerLink {
    peer: Peer,
    outbox: Option<Outbox>,
}

/// The replicas of a process with their disk and their links to peers.
#[derive(Debug)]
pub struct ReplicaNode {
    /// The replicas.
    pub host: ReplicaHost,
    disk: DiskWorker,
    links: BTreeMap<ReplicaId, PeerLink>,
    completions: mpsc::UnboundedReceiver<Completion>,
    sender: mpsc::UnboundedSender<NodeEvent>,
    events: mpsc::UnboundedReceiver<NodeEvent>,
    /// The checkpoint under way: its ticket and what it covers.
    checkpoint: Option<(u64, Vec<(GroupId, u64)>)>,
    checkpoint_ticket: u64,
    checkpoint_bytes: u64,
    least_log_bytes: u64,
    retained_bytes: usize,
    full: bool,
}

/// A node that has started.
#[derive(Debug)]
pub struct StartedNode {
    /// The node.
    pub node: ReplicaNode,
    /// What the disk held: state machines go on from the snapshots of their groups.
    pub recovered: ProcessState,
    /// Whether the disk was empty.
    pub is_new: bool,
}

impl ReplicaNode {
    /// Opens the disk. An empty one gets the identity `founding`, or one that is drawn.
    ///
    /// # Errors
    /// The folder cannot be used or is damaged.
    pub fn start(boot: &Boot, founding: Option<ReplicaId>, now: u64) -> Result<StartedNode, NodeError> {
        let settings = &boot.settings;
        let timing = consensus_timing(settings);
        timing.validate().map_err(NodeError::Timing)?;
        let path = settings.data_dir.clone().ok_or(NodeError::NoDataDir)?;
        std::fs::create_dir_all(&path).map_err(NodeError::Folder)?;
        let opened = open(Arc::new(RealFolder::new(path)), Options::default()).map_err(NodeError::Disk)?;
        for warning in &opened.report.warnings {
            tracing::warn!(?warning, "the data folder was mended");
        }
        let is_new = opened.state.is_none();
        let (recovered, disk, completions) = start_disk(opened, founding).map_err(NodeError::Disk)?;
        let mut host = ReplicaHost::new(recovered.identity, timing, draw_seed());
        for (group, state) in &recovered.groups {
            host.restore(now, *group, state).map_err(NodeError::Restore)?;
        }
        let (sender, events) = mpsc::unbounded_channel();
        let node = Self {
            host,
            disk,
            links: BTreeMap::new(),
            completions,
            sender,
            events,
            checkpoint: None,
            checkpoint_ticket: 0,
            checkpoint_bytes: 0,
            least_log_bytes: settings.limits.disk_mb * BYTES_PER_MB / CHECKPOINT_PART_OF_DISK,
            retained_bytes: usize::try_from(
                settings.limits.memory_mb * BYTES_PER_MB / RETAINED_PART_OF_MEMORY,
            )
            .unwrap_or(usize::MAX),
            full: false,
        };
        Ok(StartedNode { node, recovered, is_new })
    }

    /// The identity of this process's disk.
    pub fn identity(&self) -> ReplicaId {
        self.host.identity()
    }

    /// Whether the disk took no more when it was last written to.
    pub fn disk_full(&self) -> bool {
        self.full
    }

    /// Keeps links to these peers, and no others.
    pub fn set_peers(&mut self, boot: &Boot, peers: &[(ReplicaId, SocketAddr)]) {
        let identity = self.identity();
        self.links.retain(|id, link| peers.iter().any(|(peer, at)| peer == id && *at == link.peer.address()));
        for (id, address) in peers {
            if *id != identity && !self.links.contains_key(id) {
                let link = self.open(boot, *id, *address);
                self.links.insert(*id, link);
            }
        }
    }

    fn open(&self, boot: &Boot, id: ReplicaId, address: SocketAddr) -> PeerLink {
        let sender = self.sender.clone();
        let sink = move |event: LinkEvent<Vec<Envelope>>| {
            let _ = sender.send(match event {
                LinkEvent::Up(outbox) => NodeEvent::Up(id, outbox),
                LinkEvent::Message(envelopes) => NodeEvent::Received(envelopes),
                LinkEvent::Down(_) => NodeEvent::Down(id),
            });
        };
        let greeting = boot.greeting(Channel::Replica);
        let settings = replica_link_settings(&boot.settings);
        let backoff = backoff(&boot.settings, draw_seed());
        PeerLink { peer: Peer::keep(address, greeting, settings, backoff, sink), outbox: None }
    }

    /// Serves a connection that a peer opened: it carries the peer's messages.
    pub fn serve(&self, boot: &Boot, stream: TcpStream) {
        let sender = self.sender.clone();
        let settings = replica_link_settings(&boot.settings);
        tokio::task::spawn_local(async move {
            let outbox = Outbox::new(settings.max_queued_bytes);
            let on_message = |envelopes| {
                let _ = sender.send(NodeEvent::Received(envelopes));
            };
            let error = run(stream, &settings, &outbox, on_message).await;
            tracing::debug!(%error, "a replica's connection ended");
        });
    }

    /// What happens next.
    pub async fn next(&mut self) -> NodeEvent {
        tokio::select! {
            Some(completion) = self.completions.recv() => NodeEvent::Disk(completion),
            Some(event) = self.events.recv() => event,
            else => std::future::pending().await,
        }
    }

    /// What has happened already, without waiting.
    pub fn ready(&mut self) -> Option<NodeEvent> {
        if let Ok(completion) = self.completions.try_recv() {
            return Some(NodeEvent::Disk(completion));
        }
        self.events.try_recv().ok()
    }

    /// Takes what happened.
    ///
    /// # Errors
    /// The disk failed: the process has to end.
    pub fn handle(&mut self, now: u64, event: NodeEvent) -> Result<(), NodeError> {
        match event {
            NodeEvent::Disk(completion) => self.completed(now, completion)?,
            NodeEvent::Received(envelopes) => {
                envelopes.into_iter().for_each(|envelope| self.host.receive(now, envelope));
            }
            NodeEvent::Up(id, outbox) => {
                if let Some(link) = self.links.get_mut(&id) {
                    link.outbox = Some(outbox);
                }
            }
            NodeEvent::Down(id) => {
                if let Some(link) = self.links.get_mut(&id) {
                    link.outbox = None;
                }
                self.host.peer_unreachable(now, id);
            }
        }
        Ok(())
    }

    fn completed(&mut self, now: u64, completion: Completion) -> Result<(), NodeError> {
        match completion {
            Completion::Written { ticket } => {
                self.full = false;
                let released = self.host.written(now, ticket);
                self.send(released);
            }
            Completion::CheckpointDone { ticket, bytes } => {
                self.checkpoint_bytes = bytes;
                if let Some((asked, covered)) = self.checkpoint.take_if(|(asked, _)| *asked == ticket) {
                    tracing::debug!(ticket = asked, bytes, "checkpoint written");
                    self.host.set_retained_bytes(self.retained_bytes);
                    self.host.compact(&covered);
                }
            }
            Completion::Full { .. } => self.full = true,
            Completion::Failed(error) => return Err(NodeError::Disk(error)),
        }
        Ok(())
    }

    /// Hands what the replicas want done to disk and peers, and returns what changed for the state machines.
    pub fn flush(&mut self) -> Vec<GroupChange> {
        let HostOutput { records, ticket, envelopes, changes } = self.host.drain();
        if !records.is_empty() {
            self.disk.submit(records, ticket);
        }
        self.send(envelopes);
        changes
    }

    fn send(&mut self, envelopes: Vec<Envelope>) {
        let mut batches: BTreeMap<ReplicaId, Vec<Envelope>> = BTreeMap::new();
        for envelope in envelopes {
            batches.entry(envelope.to).or_default().push(envelope);
        }
        for (to, batch) in batches {
            let outbox = self.links.get(&to).and_then(|link| link.outbox.as_ref());
            // What cannot be sent is lost: consensus repeats it.
            if let Some(outbox) = outbox {
                outbox.send(&batch);
            }
        }
    }

    /// Writes a checkpoint if the log has grown enough. Call it when all changes of the last flush are applied and nothing
    /// was told to the replicas since.
    pub fn checkpoint_if_due(&mut self, machine: impl FnMut(GroupId) -> GroupSnapshot) {
        let due = self.least_log_bytes.max(self.checkpoint_bytes * LOG_PER_CHECKPOINT);
        if self.checkpoint.is_some() || self.disk.bytes_since_checkpoint() < due {
            return;
        }
        let checkpoint = self.host.checkpoint(machine);
        self.checkpoint_ticket += 1;
        self.checkpoint = Some((self.checkpoint_ticket, checkpoint.covered));
        self.disk.checkpoint(checkpoint.state, self.checkpoint_ticket);
    }

    /// Writes what is queued and ends.
    pub fn shutdown(self) {
        self.disk.shutdown();
    }
}

type StartedDisk = (ProcessState, DiskWorker, mpsc::UnboundedReceiver<Completion>);

fn start_disk(mut opened: Opened, founding: Option<ReplicaId>) -> Result<StartedDisk, DiskError> {
    let (recovered, journal) = match opened.state.take() {
        Some(state) => (state, opened.resume()?),
        None => {
            let identity = founding.unwrap_or_else(|| ReplicaId(draw_seed()));
            let state = ProcessState { identity, groups: BTreeMap::new() };
            (state, opened.found(identity)?)
        }
    };
    let (sender, completions) = mpsc::unbounded_channel();
    let disk = DiskWorker::start(journal, move |completion| {
        let _ = sender.send(completion);
    });
    Ok((recovered, disk, completions))
}
