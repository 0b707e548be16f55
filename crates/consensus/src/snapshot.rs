//! Snapshots in parts: sending, receiving, and taking one up.

use ruddervalve_mutation::{Mutation, is_active};
use ruddervalve_protocol::{Blob, ReplicaId};

use crate::entry::Snapshot;
use crate::leadership::snapshot_due;
use crate::membership::MembershipHistory;
use crate::message::{Body, Chunk, ChunkReply, Message};
use crate::progress::{Need, Progress, Sending};
use crate::replica::{HIGHEST_COUNT, Replica};
use crate::timing::Timing;

/// A snapshot of which parts have come. Dropped when the term changes, as another leader's bytes may differ, and when the
/// log has brought what it holds.
#[derive(Debug)]
pub(crate) struct Incoming {
    index: u64,
    term: u64,
    total: u64,
    data: Vec<u8>,
}

impl Incoming {
    /// The last entry that the snapshot includes.
    pub(crate) fn index(&self) -> u64 {
        self.index
    }

    fn is_of(&self, chunk: &Chunk) -> bool {
        is_active(Mutation::SnapshotPartsMixed)
            || self.index == chunk.index && self.term == chunk.term && self.total == chunk.total
    }
}

impl Replica {
    /// Sends a snapshot to a follower that needs one. It must hold at least the entries that left this replica's memory.
    pub fn send_snapshot(&mut self, now: u64, to: ReplicaId, snapshot: Snapshot) {
        self.advance(now);
        let useful = snapshot.index >= self.log.base_index() && snapshot.index <= self.commit;
        let now = self.now;
        let Some(peer) = self.leadership.as_mut().and_then(|leadership| leadership.peer_mut(to)) else {
            return;
        };
        if useful && matches!(peer.need, Need::Wanted { .. }) {
            peer.snapshot_bytes = snapshot.data.len() as u64;
            peer.need = Need::Sending(Sending::new(snapshot, now, &self.timing));
            self.send_chunks(to);
        }
    }

    /// The lowest index after which a follower needs the entries next, as a snapshot is on its way to it or has come. If
    /// they were dropped, it would need another snapshot, and then perhaps the next.
    pub(crate) fn snapshots_on_their_way(&self) -> Option<u64> {
        let leadership = self.leadership.as_ref()?;
        let peers = leadership.peers.iter().filter(|peer| !peer.is_given_up(self.now, &self.timing));
        peers.filter_map(|peer| self.needs_entries_after(peer)).min()
    }

    /// After a snapshot a follower gets the log as long as that is no more than the snapshot was.
    fn needs_entries_after(&self, peer: &Progress) -> Option<u64> {
        match &peer.need {
            Need::Sending(sending) => Some(sending.snapshot.index),
            Need::Log if self.log.bytes_after(peer.matched)? <= peer.snapshot_bytes => Some(peer.matched),
            Need::Log | Need::Wanted { .. } => None,
        }
    }

    /// Asks for, or sends, again what was not answered.
    pub(crate) fn retry_snapshots(&mut self) {
        let Some(leadership) = &mut self.leadership else { return };
        let mut rewound = Vec::new();
        for peer in &mut leadership.peers {
            if snapshot_due(peer, &self.timing).is_none_or(|due| self.now < due) {
                continue;
            }
            if peer.is_silent(self.now, &self.timing) {
                wait_for_answer(peer, self.now, &self.timing);
                continue;
            }
            match &mut peer.need {
                Need::Log => {}
                Need::Wanted { since } => {
                    *since = self.now;
                    self.output.snapshots_wanted.push(peer.id);
                }
                Need::Sending(sending) => {
                    sending.rewind(self.now);
                    rewound.push(peer.id);
                }
            }
        }
        for peer in rewound {
            self.send_chunks(peer);
        }
    }

    pub(crate) fn on_chunk(&mut self, from: ReplicaId, chunk: Chunk) {
        if chunk.index > HIGHEST_COUNT {
            return;
        }
        if chunk.index <= self.commit {
            self.incoming = None;
            self.acknowledge(from, chunk.stamp, self.commit);
            return;
        }
        let (stamp, index) = (chunk.stamp, chunk.index);
        let received = self.collect(&chunk);
        if received < chunk.total {
            self.send(from, Body::ChunkReply(ChunkReply { stamp, index, received }));
            return;
        }
        let data = self.incoming.take().map(|incoming| incoming.data).unwrap_or_default();
        let Chunk { index, term, membership, .. } = chunk;
        self.install(Snapshot { index, term, membership, data: Blob::from(data) });
        self.acknowledge(from, stamp, index);
    }

    pub(crate) fn on_chunk_reply(&mut self, from: ReplicaId, reply: ChunkReply) {
        let Some(leadership) = &mut self.leadership else { return };
        let Some(peer) = leadership.peer_mut(from) else { return };
        peer.answered(reply.stamp, self.now);
        let current = peer.is_current(reply.stamp);
        if let Need::Sending(sending) = &mut peer.need
            && current
            && sending.snapshot.index == reply.index
            && reply.received <= sending.total()
            && sending.answered(reply.received, reply.stamp.sent, self.now)
        {
            sending.rewind(self.now);
            let next_index = peer.next_index;
            peer.rewind(next_index);
        }
        leadership.refresh_quorum_answered();
        self.send_chunks(from);
    }

    /// Sends parts as far as the pipeline allows.
    pub(crate) fn send_chunks(&mut self, to: ReplicaId) {
        let Some(peer) = self.leadership.as_mut().and_then(|leadership| leadership.peer_mut(to)) else {
            return;
        };
        while let Some(chunk) = next_chunk(peer, self.timing.snapshot_chunk_bytes, self.now) {
            peer.chunk_sent(self.now);
            let message = Message { term: self.hard_state.term, body: Body::Chunk(chunk) };
            self.output.messages.push((to, message));
        }
    }

    /// Takes a part in if it is the next one; how many bytes have come without a gap.
    fn collect(&mut self, chunk: &Chunk) -> u64 {
        if !self.incoming.as_ref().is_some_and(|incoming| incoming.is_of(chunk)) {
            let is_older = self.incoming.as_ref().is_some_and(|incoming| incoming.index > chunk.index);
            if chunk.offset > 0 || is_older {
                return 0;
            }
            let (index, term, total) = (chunk.index, chunk.term, chunk.total);
            self.incoming = Some(Incoming { index, term, total, data: Vec::new() });
        }
        let Some(incoming) = &mut self.incoming else { return 0 };
        let received = incoming.data.len() as u64;
        let part = chunk.data.as_slice();
        let fits = received.saturating_add(part.len() as u64) <= incoming.total;
        if chunk.offset == received && fits {
            incoming.data.extend_from_slice(part);
        }
        incoming.data.len() as u64
    }

    /// Takes up a snapshot of committed entries beyond those known to be.
    fn install(&mut self, snapshot: Snapshot) {
        if self.log.term(snapshot.index) == Some(snapshot.term) {
            self.commit = snapshot.index;
            return;
        }
        self.log = crate::log::Log::new(snapshot.index, snapshot.term);
        if !is_active(Mutation::SnapshotWithoutMembership) {
            self.memberships = MembershipHistory::new(snapshot.index, snapshot.membership.clone());
        }
        self.commit = snapshot.index;
        self.applied = snapshot.index;
        self.output.restore = Some(snapshot.clone());
        self.writes.replaced(snapshot);
    }
}

/// Sends a follower that says nothing but heartbeats, until it answers. A snapshot on its way to it is kept for a while; a
/// wanted one is asked for anew once it answers.
fn wait_for_answer(peer: &mut Progress, now: u64, timing: &Timing) {
    let is_kept = matches!(peer.need, Need::Sending(_)) && !peer.is_given_up(now, timing);
    if !is_kept {
        peer.need = Need::Log;
    }
    peer.disconnected(now);
}

/// The next part for a follower, if one may go out.
fn next_chunk(peer: &mut Progress, chunk_bytes: usize, now: u64) -> Option<Chunk> {
    let stamp = peer.stamp(now);
    let unreachable = peer.unreachable;
    let Need::Sending(sending) = &mut peer.need else { return None };
    let unanswered = sending.next_offset.saturating_sub(sending.acknowledged);
    if unreachable || sending.end_sent || unanswered >= sending.window.bytes() {
        return None;
    }
    let offset = sending.next_offset;
    let bytes = sending.snapshot.data.as_slice();
    let rest = bytes.get(usize::try_from(offset).ok()?..)?;
    let part = rest.get(..chunk_bytes).unwrap_or(rest);
    sending.next_offset = offset.saturating_add(part.len() as u64);
    sending.end_sent = part.len() == rest.len();
    Some(Chunk {
        stamp,
        index: sending.snapshot.index,
        term: sending.snapshot.term,
        membership: sending.snapshot.membership.clone(),
        total: bytes.len() as u64,
        offset,
        data: Blob::from(part),
    })
}
