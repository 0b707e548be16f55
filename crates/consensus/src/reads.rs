//! Linearizable reads without a clock: a round to a quorum for each batch of reads (ReadIndex; Ongaro, *Consensus:
//! Bridging Theory and Practice*, section 6.4).
//!
//! A leader that is asked to read notes its commit index, but at least the first index of its term, and begins a round.
//! Each message that leaves from then on carries the number of the round, and its answer returns it. The read is
//! confirmed once a quorum has answered the round, or a later one, in the leader's term, and all entries up to the noted
//! index were handed out to be applied. All reads that are asked for before the next output share a round.
//!
//! Why it holds. Let a leader of term T be asked at time t, and let the quorum Q answer the round. Each replica of Q was
//! in term T at some time after t, as no message with this number left before t. Terms never fall, also over a restart,
//! as a vote leaves only after its write. So before t no replica of Q had voted in a term above T, and as quorums
//! intersect, nobody led in such a term. What was committed before t was therefore committed by leaders of terms up to T.
//! What leaders of earlier terms committed stands in this leader's log before its own first entry (leader completeness);
//! what it committed itself lies at or below its commit index. The noted index covers both.
//!
//! Assumed is what elections assume: one change of the membership at a time, and disks that keep what they have synced.
//! No clock takes part: a process may be frozen at any point, and an answer that is written late is still right, as a
//! read may take effect at any time between call and answer.

use crate::replica::Replica;

/// A read that a leader was asked for, to be followed with [`Replica::read_progress`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReadRequest {
    term: u64,
    round: u64,
    index: u64,
}

impl ReadRequest {
    /// The entry that has to be applied, with all before it, before the state may be read.
    pub fn index(&self) -> u64 {
        self.index
    }
}

/// How far a read is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReadProgress {
    /// A quorum has not answered yet, or entries have still to be committed and handed out.
    Waiting,
    /// The state may be read, as soon as all that was handed out is applied.
    Confirmed,
    /// The replica leads no more in the term in which it was asked: ask the new leader.
    Lost,
}

impl Replica {
    /// Begins a read; none if this replica does not lead, also if it only learns so now because a quorum has been silent
    /// for too long.
    pub fn request_read(&mut self, now: u64) -> Option<ReadRequest> {
        self.advance(now);
        if self.check_quorum() {
            return None;
        }
        let leadership = self.leadership.as_mut()?;
        let round = leadership.begin_read_round();
        let index = self.commit.max(leadership.first_index);
        Some(ReadRequest { term: self.hard_state.term, round, index })
    }

    /// How far a read is.
    pub fn read_progress(&self, read: &ReadRequest) -> ReadProgress {
        let Some(leadership) = &self.leadership else { return ReadProgress::Lost };
        if self.hard_state.term != read.term {
            return ReadProgress::Lost;
        }
        let is_answered = leadership.quorum_answered_round().is_some_and(|round| round >= read.round);
        if is_answered && self.applied >= read.index {
            return ReadProgress::Confirmed;
        }
        ReadProgress::Waiting
    }

    /// Asks all followers at once for what a round needs, unless that was done. Heartbeats repeat it.
    pub(crate) fn send_read_round(&mut self) {
        let Some(leadership) = &mut self.leadership else { return };
        if !leadership.take_unsent_round() {
            return;
        }
        for place in 0..leadership.peers.len() {
            self.send_heartbeat(place);
        }
    }
}
