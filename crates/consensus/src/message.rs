//! What replicas of a group say to each other.

use nanoserde::{DeBin, DeBinErr, SerBin};
use ruddervalve_protocol::ReplicaId;

pub(crate) use crate::body::*;
use crate::entry::Entry;

/// A message between replicas of a group. What it says concerns replicas only; hosts carry it.
#[derive(Debug, Clone, PartialEq)]
pub struct Message {
    /// The sender's own term.
    pub(crate) term: u64,
    pub(crate) body: Body,
}

impl Message {
    /// What kind of message it is, for counters and logs.
    pub fn kind(&self) -> MessageKind {
        match &self.body {
            Body::PreVote(_) => MessageKind::PreVote,
            Body::PreVoteReply(_) => MessageKind::PreVoteReply,
            Body::Vote(_) => MessageKind::Vote,
            Body::VoteReply(_) => MessageKind::VoteReply,
            Body::Append(_) => MessageKind::Append,
            Body::AppendReply(_) => MessageKind::AppendReply,
            Body::Heartbeat(_) => MessageKind::Heartbeat,
            Body::HeartbeatReply(_) => MessageKind::HeartbeatReply,
            Body::Chunk(_) => MessageKind::SnapshotChunk,
            Body::ChunkReply(_) => MessageKind::SnapshotChunkReply,
            Body::Stale => MessageKind::Stale,
            Body::TimeoutNow => MessageKind::TimeoutNow,
            Body::Inquiry(_) => MessageKind::Inquiry,
            Body::NotMember(_) => MessageKind::NotMember,
        }
    }

    /// About how many bytes it takes, for limits on queues.
    pub fn size(&self) -> usize {
        match &self.body {
            Body::Append(append) => {
                size_of::<Self>() + append.entries.0.iter().map(Entry::size).sum::<usize>()
            }
            Body::Chunk(chunk) => size_of::<Self>() + chunk.data.len(),
            _ => size_of::<Self>(),
        }
    }
}

/// The kinds of messages.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum MessageKind {
    /// Would you vote for me?
    PreVote,
    /// The answer to a pre-vote.
    PreVoteReply,
    /// Vote for me.
    Vote,
    /// The answer to a request for a vote.
    VoteReply,
    /// Entries to append.
    Append,
    /// Entries appended, or why not.
    AppendReply,
    /// A sign of life of a leader.
    Heartbeat,
    /// The answer to a heartbeat.
    HeartbeatReply,
    /// A part of a snapshot.
    SnapshotChunk,
    /// How much of a snapshot has come.
    SnapshotChunkReply,
    /// The sender knows a newer term than the leader that wrote to it.
    Stale,
    /// A leader asks a voter to take over at once.
    TimeoutNow,
    /// Does a replica still belong to the group?
    Inquiry,
    /// The receiver belongs to the group no more.
    NotMember,
}

impl MessageKind {
    /// Whether a leader sends it to a member, so that a process without the group begins it on that word.
    pub fn is_replication(self) -> bool {
        matches!(self, Self::Append | Self::Heartbeat | Self::SnapshotChunk)
    }
}

/// A message and whom it is for.
pub(crate) type Addressed = (ReplicaId, Message);

impl SerBin for Message {
    fn ser_bin(&self, output: &mut Vec<u8>) {
        self.term.ser_bin(output);
        self.body.ser_bin(output);
    }
}

impl DeBin for Message {
    fn de_bin(offset: &mut usize, bytes: &[u8]) -> Result<Self, DeBinErr> {
        let term = u64::de_bin(offset, bytes)?;
        let body = Body::de_bin(offset, bytes)?;
        Ok(Self { term, body })
    }
}
