//! The link of a machine to all others. The frames of its connections take turns, as much of each at once as a usual window
//! of TCP holds.

use std::collections::{BTreeMap, VecDeque};

use super::Parcel;

/// Bytes of one connection that leave in a row while others wait.
const WINDOW_BYTES: u64 = 64 * 1_024;

/// A connection of the machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Connection {
    /// To another coordinator.
    Peer(u8),
    /// A session of a process, by its number at this coordinator.
    Session(u64),
}

#[derive(Debug)]
struct Frame {
    bytes_left: u64,
    parcel: Parcel,
}

#[derive(Debug)]
pub struct Uplink {
    bytes_per_ms: u64,
    queues: BTreeMap<Connection, VecDeque<Frame>>,
    /// Connections with something to send; the first one's turn is on.
    turns: VecDeque<Connection>,
    turn_left: u64,
    advanced_to: u64,
    queued_bytes: u64,
    /// The most bytes that ever waited at once.
    pub most_queued_bytes: u64,
    /// Bytes that were ever handed over.
    pub accepted_bytes: u64,
}

impl Uplink {
    pub fn new(bytes_per_ms: u64) -> Self {
        Self {
            bytes_per_ms,
            queues: BTreeMap::new(),
            turns: VecDeque::new(),
            turn_left: WINDOW_BYTES,
            advanced_to: 0,
            queued_bytes: 0,
            most_queued_bytes: 0,
            accepted_bytes: 0,
        }
    }

    pub fn is_idle(&self) -> bool {
        self.turns.is_empty()
    }

    pub fn send(&mut self, now: u64, connection: Connection, bytes: u64, parcel: Parcel) {
        if self.is_idle() {
            self.advanced_to = now;
        }
        let queue = self.queues.entry(connection).or_default();
        if queue.is_empty() {
            self.turns.push_back(connection);
        }
        queue.push_back(Frame { bytes_left: bytes, parcel });
        self.queued_bytes += bytes;
        self.accepted_bytes += bytes;
        self.most_queued_bytes = self.most_queued_bytes.max(self.queued_bytes);
    }

    /// What has left the machine by now, in order.
    pub fn advance(&mut self, now: u64) -> Vec<(Connection, Parcel)> {
        let mut budget = now.saturating_sub(self.advanced_to) * self.bytes_per_ms;
        self.advanced_to = now;
        let mut left = Vec::new();
        while budget > 0
            && let Some(connection) = self.turns.front().copied()
        {
            let queue = self.queues.get_mut(&connection).unwrap();
            let frame = queue.front_mut().unwrap();
            let bytes = frame.bytes_left.min(budget).min(self.turn_left);
            frame.bytes_left -= bytes;
            budget -= bytes;
            self.turn_left -= bytes;
            self.queued_bytes -= bytes;
            if frame.bytes_left == 0 {
                left.push((connection, queue.pop_front().unwrap().parcel));
            }
            if queue.is_empty() {
                self.turns.pop_front();
                self.turn_left = WINDOW_BYTES;
            } else if self.turn_left == 0 {
                self.turns.rotate_left(1);
                self.turn_left = WINDOW_BYTES;
            }
        }
        left
    }
}
