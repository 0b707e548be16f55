//! A leader and a follower with a link of limited bandwidth between them, in virtual time.

use std::collections::VecDeque;

use ruddervalve_consensus::{Message, MessageKind, Replica, Restored, Snapshot, Timing};
use ruddervalve_protocol::{Blob, ReplicaId};

use crate::group::{A, D, founded};

/// The times and limits of a deployment with a `LivenessMs` of 4,000.
pub const DEPLOYED: Timing = Timing {
    election_min_ms: 200,
    election_max_ms: 400,
    heartbeat_ms: 50,
    lease_ms: 150,
    max_entries_bytes: 256 * 1_024,
    max_inflight: 64,
    snapshot_chunk_bytes: 128 * 1_024,
};

const MICROS_PER_MS: u64 = 1_000;

/// One way of a link: messages leave one after the other, and come a while later.
struct Way {
    bits_per_micro: u64,
    delay_micros: u64,
    free_at: u64,
    messages: VecDeque<(u64, u64, Message)>,
}

impl Way {
    fn new(megabits: u64, delay_ms: u64) -> Self {
        let delay_micros = delay_ms * MICROS_PER_MS;
        Self { bits_per_micro: megabits, delay_micros, free_at: 0, messages: VecDeque::new() }
    }

    fn send(&mut self, now: u64, message: Message) {
        let took = message.size() as u64 * 8 / self.bits_per_micro;
        self.free_at = self.free_at.max(now) + took;
        self.messages.push_back((self.free_at + self.delay_micros, now, message));
    }

    fn next_at(&self) -> u64 {
        self.messages.front().map_or(u64::MAX, |(at, _, _)| *at)
    }
}

/// What a transfer took.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Transfer {
    pub took_ms: u64,
    /// The longest that a heartbeat was on its way.
    pub slowest_heartbeat_ms: u64,
    /// Bytes of parts, sent again ones too.
    pub sent_bytes: u64,
    /// Snapshots that the host was asked for.
    pub asked: usize,
}

pub struct Link {
    /// Microseconds.
    now: u64,
    replicas: [Replica; 2],
    /// To the follower, and back.
    ways: [Way; 2],
    /// While it is frozen, the follower takes nothing; ms.
    pub frozen: std::ops::Range<u64>,
    state: Blob,
    transfer: Transfer,
    restored: bool,
}

impl Link {
    /// `A` leads alone, with `D` as a learner that needs its state of so many bytes.
    pub fn new(megabits: u64, delay_ms: u64, state_bytes: usize) -> Self {
        let mut leader = Replica::new(A, DEPLOYED, 1, founded(&[A]), 0);
        leader.tick(leader.next_wake());
        settle_alone(&mut leader, 1000);
        leader.compact(u64::MAX);
        let change = ruddervalve_consensus::MembershipChange::AddLearner(D);
        leader.change_membership(1000, change).expect("D is new");
        let learner = Replica::new(D, DEPLOYED, 2, Restored::default(), 1000);
        Self {
            now: 1000 * MICROS_PER_MS,
            replicas: [leader, learner],
            ways: [Way::new(megabits, delay_ms), Way::new(megabits, delay_ms)],
            frozen: 0..0,
            state: Blob::from(vec![7; state_bytes]),
            transfer: Transfer { took_ms: 0, slowest_heartbeat_ms: 0, sent_bytes: 0, asked: 0 },
            restored: false,
        }
    }

    /// Plays until the learner has the state on disk and the leader knows; the transfer, or none within `within_ms`.
    pub fn play(&mut self, within_ms: u64) -> Option<Transfer> {
        let start = self.now;
        while self.now < start + within_ms * MICROS_PER_MS {
            self.carry_out();
            if self.restored && self.replicas[0].match_index(D) == Some(self.replicas[0].last_index()) {
                let took_ms = (self.now - start) / MICROS_PER_MS;
                return Some(Transfer { took_ms, ..self.transfer });
            }
            self.advance();
        }
        None
    }

    fn now_ms(&self) -> u64 {
        self.now / MICROS_PER_MS
    }

    fn advance(&mut self) {
        let wakes = self.replicas.iter().map(|replica| replica.next_wake().saturating_mul(MICROS_PER_MS));
        let arrivals = self.ways.iter().map(Way::next_at);
        let next = wakes.chain(arrivals).min().unwrap_or(u64::MAX);
        self.now = self.now.max(next);
        let now = self.now_ms();
        for place in 0..2 {
            if place == 1 && self.frozen.contains(&now) {
                // What comes meanwhile waits for the end of the freeze.
                let end = self.frozen.end * MICROS_PER_MS;
                self.ways[0].messages.iter_mut().for_each(|(at, _, _)| *at = (*at).max(end));
                continue;
            }
            self.replicas[place].tick(now);
            while self.ways[1 - place].next_at() <= self.now {
                let Some((_, sent, message)) = self.ways[1 - place].messages.pop_front() else { break };
                self.note(place, sent, &message);
                self.replicas[place].step(now, if place == 0 { D } else { A }, message);
            }
        }
    }

    fn note(&mut self, place: usize, sent: u64, message: &Message) {
        let frozen_since = self.frozen.start * MICROS_PER_MS;
        let was_frozen =
            !self.frozen.is_empty() && self.now >= frozen_since && sent < self.frozen.end * MICROS_PER_MS;
        if place == 1 && message.kind() == MessageKind::Heartbeat && !was_frozen {
            let took_ms = (self.now - sent) / MICROS_PER_MS;
            self.transfer.slowest_heartbeat_ms = self.transfer.slowest_heartbeat_ms.max(took_ms);
        }
    }

    fn carry_out(&mut self) {
        let now = self.now_ms();
        for place in 0..2 {
            let ready = self.replicas[place].take_ready();
            self.restored |= ready.restore.is_some();
            self.replicas[place].written(now, ready.ticket);
            for (_, message) in ready.messages.into_iter().chain(ready.messages_after_write) {
                if message.kind() == MessageKind::SnapshotChunk {
                    self.transfer.sent_bytes += message.size() as u64;
                }
                self.ways[place].send(self.now, message);
            }
            for to in ready.snapshots_wanted {
                self.transfer.asked += 1;
                self.send_snapshot(now, to);
            }
        }
    }

    fn send_snapshot(&mut self, now: u64, to: ReplicaId) {
        let leader = &mut self.replicas[0];
        let parts = leader.checkpoint(leader.applied_index());
        let (index, term, membership) = (parts.index, parts.term, parts.membership);
        leader.send_snapshot(now, to, Snapshot { index, term, membership, data: self.state.clone() });
        let ready = leader.take_ready();
        for (_, message) in ready.messages {
            self.transfer.sent_bytes += message.size() as u64;
            self.ways[0].send(self.now, message);
        }
    }
}

/// Writes of one that is alone end at once.
fn settle_alone(replica: &mut Replica, now: u64) {
    loop {
        let ready = replica.take_ready();
        if ready.is_empty() {
            return;
        }
        replica.written(now, ready.ticket);
    }
}
