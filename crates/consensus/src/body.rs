//! The contents of messages. All is public in a private module, as the derivation of the encoding asks for it; none of it
//! leaves the crate.

use nanoserde::{DeBin, DeBinErr, SerBin};
use ruddervalve_protocol::{Blob, ReplicaId};

use crate::entry::Entry;
use crate::membership::Membership;
use crate::wire::decode_list;

#[derive(Debug, Clone, PartialEq, SerBin, DeBin)]
pub enum Body {
    PreVote(PreVoteRequest),
    PreVoteReply(PreVoteReply),
    Vote(VoteRequest),
    VoteReply(VoteReply),
    Append(Append),
    AppendReply(AppendReply),
    Heartbeat(Heartbeat),
    HeartbeatReply(HeartbeatReply),
    Chunk(Chunk),
    ChunkReply(ChunkReply),
    Stale,
    TimeoutNow,
    Inquiry(Inquiry),
    NotMember(NotMember),
}

/// How far the log of one that would lead goes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, SerBin, DeBin)]
pub struct Candidacy {
    pub last_index: u64,
    pub last_term: u64,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, SerBin, DeBin)]
pub struct PreVoteRequest {
    pub candidacy: Candidacy,
    /// Drawn anew for each round; returned in the answer.
    pub round: u64,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, SerBin, DeBin)]
pub struct PreVoteReply {
    /// The term that the asker had when it asked.
    pub asked_term: u64,
    /// The round of the request.
    pub round: u64,
    pub granted: bool,
    /// Set if the sender neither leads nor has heard from a leader lately.
    pub no_leader: Option<NoLeader>,
}

/// The sender neither leads nor has heard from a leader lately.
#[derive(Debug, Clone, Copy, PartialEq, Eq, SerBin, DeBin)]
pub struct NoLeader {
    /// Drawn when the sender's process started.
    pub life: u64,
    /// For how long it has run; ms.
    pub running_ms: u64,
    /// It would grant its vote, were it not for what it may have promised before it started.
    pub would_grant: bool,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, SerBin, DeBin)]
pub struct VoteRequest {
    pub candidacy: Candidacy,
    /// The leader itself gave up its lease for this candidate, so its voters need not wait for the lease's end.
    pub transfer: bool,
    /// The receiver's [`NoLeader::life`], if all members have said that there is no leader: what this life's process may have
    /// promised before it started binds it no more.
    pub vouched_life: Option<u64>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, SerBin, DeBin)]
pub struct VoteReply {
    pub granted: bool,
}

/// Returned unchanged in the answer to what a leader sends.
#[derive(Debug, Clone, Copy, PartialEq, Eq, SerBin, DeBin)]
pub struct Stamp {
    /// When the leader sent it, by its own clock; ms.
    pub sent: u64,
    /// Counts how often the leader began anew with this follower: refusals of what it sent before are void.
    pub stream: u32,
    /// The newest round of reads that the leader had begun when it sent it.
    pub round: u64,
}

#[derive(Debug, Clone, PartialEq, Eq, SerBin, DeBin)]
pub struct Append {
    pub stamp: Stamp,
    pub previous_index: u64,
    pub previous_term: u64,
    pub commit: u64,
    pub entries: EntryList,
}

/// Entries, decoded without trust in the stated length.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EntryList(pub Vec<Entry>);

impl SerBin for EntryList {
    fn ser_bin(&self, output: &mut Vec<u8>) {
        self.0.ser_bin(output);
    }
}

impl DeBin for EntryList {
    fn de_bin(offset: &mut usize, bytes: &[u8]) -> Result<Self, DeBinErr> {
        Ok(Self(decode_list(offset, bytes)?))
    }
}

/// Where a follower's log may still agree with the leader's: at or before this entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq, SerBin, DeBin)]
pub struct Hint {
    pub index: u64,
    pub term: u64,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, SerBin, DeBin)]
pub struct AppendReply {
    pub stamp: Stamp,
    /// Up to here the follower's log agrees with the leader's and is on its disk.
    pub matched: u64,
    /// Set if the follower lacks the entry that the appended ones follow.
    pub rejection: Option<Hint>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, SerBin, DeBin)]
pub struct Heartbeat {
    pub stamp: Stamp,
    /// The newest entry that the leader has sent to this follower: does it have it?
    pub check_index: u64,
    pub check_term: u64,
    pub commit: u64,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, SerBin, DeBin)]
pub struct HeartbeatReply {
    pub stamp: Stamp,
    /// Up to here the follower's log agrees with the leader's and is on its disk.
    pub matched: u64,
    /// Set if the follower lacks the entry asked for.
    pub rejection: Option<Hint>,
}

/// A part of a snapshot.
#[derive(Debug, Clone, PartialEq, Eq, SerBin, DeBin)]
pub struct Chunk {
    pub stamp: Stamp,
    /// The last entry that the snapshot includes.
    pub index: u64,
    pub term: u64,
    pub membership: Membership,
    /// Bytes of the whole snapshot.
    pub total: u64,
    /// Where in the snapshot this part begins; bytes.
    pub offset: u64,
    pub data: Blob,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, SerBin, DeBin)]
pub struct ChunkReply {
    pub stamp: Stamp,
    /// Which snapshot.
    pub index: u64,
    /// How much of it has come without a gap; bytes.
    pub received: u64,
}

/// Does a replica still belong to the group?
#[derive(Debug, Clone, Copy, PartialEq, Eq, SerBin, DeBin)]
pub struct Inquiry {
    pub about: ReplicaId,
}

/// The receiver does not belong to the group as of an entry that is committed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, SerBin, DeBin)]
pub struct NotMember {
    pub index: u64,
    pub term: u64,
}
