//! The disk of a process's replicas and their links to peers.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Instant;

use displaydoc::Display;
use ruddervalve_configuration::Settings;
use ruddervalve_consensus::TimingError;
use ruddervalve_disk::{
    Completion, DiskError, DiskWorker, Folder, Opened, Options, ProcessState, RealFolder, open,
};
use ruddervalve_protocol::{Channel, GroupId, ReplicaId};
use ruddervalve_replication::{Checkpoint, Envelope, RestoreError};
use ruddervalve_rpc::{LinkEvent, Outbox, Peer};
use tokio::net::TcpStream;
use tokio::sync::mpsc;

use crate::replica_links::serve_replica_link;
use crate::{Boot, ReplicaInput, ReplicaOutput, backoff, consensus_timing, draw_seed, replica_link_settings};

/// The log is replaced by a checkpoint at this part of the disk, in the smallest case; two slots and two logs fit then.
const CHECKPOINT_PART_OF_DISK: u64 = 24;
/// A log is let grow to so many times the newest checkpoint, so that writing checkpoints stays a part of all writing.
const LOG_PER_CHECKPOINT: u64 = 2;
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

/// The disk of a process's replicas and their links to peers. It decides nothing.
#[derive(Debug)]
pub struct ReplicaNode {
    identity: ReplicaId,
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
    pub fn start(boot: &Boot, founding: Option<ReplicaId>) -> Result<StartedNode, NodeError> {
        let settings = &boot.settings;
        consensus_timing(settings).validate().map_err(NodeError::Timing)?;
        let begun = Instant::now();
        let opened = open(data_folder(boot)?, Options::default()).map_err(NodeError::Disk)?;
        for warning in &opened.report.warnings {
            tracing::warn!(?warning, "the data folder was mended");
        }
        let is_new = opened.state.is_none();
        let (recovered, disk, completions) = start_disk(opened, founding).map_err(NodeError::Disk)?;
        tracing::info!(took_ms = begun.elapsed().as_millis() as u64, is_new, "data folder read");
        let (sender, events) = mpsc::unbounded_channel();
        let node = Self {
            identity: recovered.identity,
            disk,
            links: BTreeMap::new(),
            completions,
            sender,
            events,
            checkpoint: None,
            checkpoint_ticket: 0,
            checkpoint_bytes: 0,
            least_log_bytes: least_log_bytes(settings),
        };
        Ok(StartedNode { node, recovered, is_new })
    }

    /// The identity of this process's disk.
    pub fn identity(&self) -> ReplicaId {
        self.identity
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
                // A heartbeat: envelopes travel from the opener only.
                LinkEvent::Message(_) | LinkEvent::Room => return,
                LinkEvent::Down(error) => {
                    tracing::debug!(peer = id.0, %error, "no connection to a peer's replicas");
                    NodeEvent::Down(id)
                }
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
        let settings = boot.settings.clone();
        tokio::task::spawn_local(async move {
            let on_envelopes = |envelopes| {
                let _ = sender.send(NodeEvent::Received(envelopes));
            };
            let error = serve_replica_link(stream, &settings, on_envelopes).await;
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

    /// What the replicas have to be told of what happened.
    ///
    /// # Errors
    /// The disk failed: the process has to end.
    pub fn handle(&mut self, event: NodeEvent) -> Result<Option<ReplicaInput>, NodeError> {
        match event {
            NodeEvent::Disk(completion) => self.completed(completion),
            NodeEvent::Received(envelopes) => Ok(Some(ReplicaInput::Received(envelopes))),
            NodeEvent::Up(id, outbox) => {
                if let Some(link) = self.links.get_mut(&id) {
                    link.outbox = Some(outbox);
                }
                Ok(None)
            }
            NodeEvent::Down(id) => {
                if let Some(link) = self.links.get_mut(&id) {
                    link.outbox = None;
                }
                Ok(Some(ReplicaInput::Unreachable(id)))
            }
        }
    }

    fn completed(&mut self, completion: Completion) -> Result<Option<ReplicaInput>, NodeError> {
        match completion {
            Completion::Written { ticket } => Ok(Some(ReplicaInput::Written { ticket })),
            Completion::CheckpointDone { ticket, bytes } => {
                self.checkpoint_bytes = bytes;
                let done = self.checkpoint.take_if(|(asked, _)| *asked == ticket);
                Ok(done.map(|(asked, covered)| {
                    tracing::debug!(ticket = asked, bytes, "checkpoint written");
                    ReplicaInput::CheckpointDone { covered }
                }))
            }
            Completion::Full { .. } => Ok(Some(ReplicaInput::DiskFull)),
            Completion::Failed(error) => Err(NodeError::Disk(error)),
        }
    }

    /// Hands what the replicas want done to disk and peers.
    pub fn carry_out(&mut self, outputs: Vec<ReplicaOutput>) {
        for output in outputs {
            match output {
                ReplicaOutput::Write { records, ticket } => self.disk.submit(records, ticket),
                ReplicaOutput::Send(envelopes) => self.send(envelopes),
            }
        }
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

    /// Whether the log has grown enough for a checkpoint.
    pub fn checkpoint_is_due(&self) -> bool {
        let due = self.least_log_bytes.max(self.checkpoint_bytes * LOG_PER_CHECKPOINT);
        self.checkpoint.is_none() && self.disk.bytes_since_checkpoint() >= due
    }

    /// Writes a checkpoint that covers all that was carried out so far.
    pub fn write_checkpoint(&mut self, checkpoint: Checkpoint) {
        self.checkpoint_ticket += 1;
        self.checkpoint = Some((self.checkpoint_ticket, checkpoint.covered));
        self.disk.checkpoint(checkpoint.state, self.checkpoint_ticket);
    }

    /// Writes what is queued and ends.
    pub fn shutdown(self) {
        self.disk.shutdown();
    }
}

fn data_folder(boot: &Boot) -> Result<Arc<dyn Folder>, NodeError> {
    if let Some(folder) = boot.given_folder() {
        return Ok(folder);
    }
    let path = boot.settings.data_dir.clone().ok_or(NodeError::NoDataDir)?;
    std::fs::create_dir_all(&path).map_err(NodeError::Folder)?;
    Ok(Arc::new(RealFolder::new(path)))
}

fn least_log_bytes(settings: &Settings) -> u64 {
    settings.limits.disk_mb * BYTES_PER_MB / CHECKPOINT_PART_OF_DISK
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
