//! How much of a snapshot may be unanswered: enough to keep the way to the follower busy, and little more.
//!
//! Parts of a snapshot share a connection with heartbeats and appends, of this group and of others. What waits on the way
//! delays those. So the window goes by the time that answers take: it grows until they take a heartbeat's interval longer
//! than the shortest that was seen, as then so much waits on the way, and shrinks from there (as LEDBAT, RFC 6817, does).

use crate::timing::Timing;

/// Parts that a transfer begins with.
const FIRST_PARTS: u64 = 4;

/// Doubling ends once parts wait on the way for this part of the longest time, as the answers to what doubled the window
/// last are still to come then (as HyStart does).
const DOUBLING_PART_OF_WAIT: u64 = 5;

/// The window of one transfer. Sizes are bytes, times are ms.
#[derive(Debug)]
pub(crate) struct SnapshotWindow {
    bytes: u64,
    part_bytes: u64,
    most_bytes: u64,
    /// The longest that parts may wait on the way.
    wait_ms: u64,
    /// The shortest time that an answer took.
    shortest_ms: u64,
    /// Whether it doubles with each round trip, or gains one part.
    doubles: bool,
    /// When the window last shrank; ms.
    shrunk_at: u64,
}

impl SnapshotWindow {
    pub(crate) fn new(timing: &Timing) -> Self {
        let part_bytes = timing.snapshot_chunk_bytes as u64;
        let most_bytes = part_bytes.saturating_mul(timing.max_inflight as u64);
        Self {
            bytes: part_bytes.saturating_mul(FIRST_PARTS).min(most_bytes),
            part_bytes,
            most_bytes,
            wait_ms: timing.heartbeat_ms,
            shortest_ms: u64::MAX,
            doubles: true,
            shrunk_at: 0,
        }
    }

    /// How many bytes may be unanswered.
    pub(crate) fn bytes(&self) -> u64 {
        self.bytes
    }

    /// So many more bytes are known to have come, by the answer to what was sent at `sent`.
    pub(crate) fn answered(&mut self, bytes: u64, sent: u64, now: u64) {
        let took_ms = now.saturating_sub(sent);
        self.shortest_ms = self.shortest_ms.min(took_ms);
        let waited_ms = took_ms - self.shortest_ms;
        self.doubles &= waited_ms <= self.wait_ms / DOUBLING_PART_OF_WAIT;
        if waited_ms > self.wait_ms {
            self.shrink(sent, now);
        } else {
            self.grow(bytes);
        }
    }

    /// What was sent is lost, or its answers are.
    pub(crate) fn lost(&mut self, now: u64) {
        self.bytes = self.part_bytes.min(self.most_bytes);
        self.doubles = false;
        self.shrunk_at = now;
    }

    /// Doubles with each round trip at first; later gains one part with each.
    fn grow(&mut self, bytes: u64) {
        let slow_gain = bytes.saturating_mul(self.part_bytes).div_ceil(self.bytes.max(1));
        let gain = if self.doubles { bytes } else { slow_gain };
        self.bytes = self.bytes.saturating_add(gain).min(self.most_bytes);
    }

    /// Halves, but once only for all that was sent before it last did.
    fn shrink(&mut self, sent: u64, now: u64) {
        if sent >= self.shrunk_at {
            self.bytes = (self.bytes / 2).max(self.part_bytes);
            self.shrunk_at = now;
        }
    }
}
