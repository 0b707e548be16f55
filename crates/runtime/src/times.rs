//! Times and limits that follow from the settings.

use std::time::Duration;

use ruddervalve_configuration::Settings;
use ruddervalve_consensus::Timing;
use ruddervalve_mutation::{Mutation, is_active};
use ruddervalve_rpc::{Backoff, LinkSettings};

/// Elections, heartbeats and leases are parts of `LivenessMs`, after which a machine counts as in touch again: a leader
/// that is lost has to be replaced, and its followers' clients told, well within it.
const ELECTIONS_PER_LIVENESS: u64 = 20;
/// A replica that says nothing to its leader for this part of `LivenessMs` is taken for lost: more than the longest election
/// timeout, so that a pause of the processor is not, and little beside `SyncS`, within which its place is to be filled.
const LOST_PER_LIVENESS: u64 = 8;
/// Heartbeats that fit into the shortest election timeout: some may be lost or late.
const HEARTBEATS_PER_ELECTION: u64 = 4;
/// The lease in parts of the shortest election timeout; the rest is for clocks that drift and timers that fire late.
const LEASE_PERCENT: u64 = 75;
/// Entries in one message, in bytes: well below what a small link carries between two heartbeats.
const MAX_ENTRIES_BYTES: usize = 256 * 1_024;
/// A part of a snapshot, in bytes, for the same reason.
const SNAPSHOT_CHUNK_BYTES: usize = 128 * 1_024;
/// Append messages under way to a follower: enough to fill the way there and its disk's sync.
const MAX_INFLIGHT: usize = 64;
/// The longest frame, in bytes: a batch of entries with room to spare.
const MAX_FRAME_BYTES: usize = 32 * 1_024 * 1_024;
/// The part of a process's memory that may wait for one peer that does not read.
const QUEUED_PART_OF_MEMORY: u64 = 16;
/// The part of what may wait for a peer that large messages may take: the rest is for answers, which do not wait.
const WINDOW_PART_OF_QUEUED: usize = 2;
/// The part of a process's memory that each replica may keep of its log for followers that lag.
const RETAINED_PART_OF_MEMORY: u64 = 128;
/// A process that says nothing for this part of `LivenessMs` is given up; [`HEARTBEATS_PER_SILENCE`] tells how often it says something.
const SILENCES_PER_LIVENESS: u64 = 3;
/// The opener of a replica's link is silent while its groups have nothing to say, as only leaders send heartbeats. The
/// acceptor gives it up only after this multiple of `LivenessMs`.
const QUIET_REPLICA_LIVENESS: u64 = 15;
/// Heartbeats that fit into the silence after which a link is given up: one may be late.
pub(crate) const HEARTBEATS_PER_SILENCE: u32 = 3;
/// Opening a connection may take this part of `LivenessMs`: many times the way to the farthest region and back, and short
/// beside what a machine needs to start, as a try that began before it was up hangs.
const CONNECTS_PER_LIVENESS: u64 = 20;
/// The peer's machine may leave bytes unacknowledged for this part of `LivenessMs`.
const UNACKNOWLEDGED_PER_LIVENESS: u64 = 4;
/// The first pause before a lost connection is opened again, in milliseconds: the way to the next zone and back.
const FIRST_PAUSE_MS: u64 = 10;

/// The part of a coordinator's memory that updates may take which processes have not confirmed.
const UNCONFIRMED_PART_OF_MEMORY: u64 = 8;

const BYTES_PER_MB: u64 = 1_024 * 1_024;
/// Bytes that a link of one megabit a second carries in a millisecond.
const BYTES_PER_MS_IN_MBPS: f64 = 125.0;

/// How much a leader of the control group sends other processes at once.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct UpdateWindow {
    /// Bytes of updates that were sent lately and are not confirmed: while they leave, heartbeats of the group wait.
    pub recent_bytes: u64,
    /// For how long an update counts among them, in milliseconds: a process that does not answer holds others up no longer.
    pub recent_ms: u64,
    /// Bytes of updates that are not confirmed, sent at any time: they may all wait in memory.
    pub unconfirmed_bytes: u64,
}

/// How much a leader of the control group sends other processes at once.
pub fn update_window(settings: &Settings) -> UpdateWindow {
    UpdateWindow {
        recent_bytes: bytes_per_heartbeat(settings),
        recent_ms: consensus_timing(settings).election_min_ms,
        unconfirmed_bytes: settings.limits.memory_mb.saturating_mul(BYTES_PER_MB)
            / UNCONFIRMED_PART_OF_MEMORY,
    }
}

/// What the machine's link carries between two heartbeats of a consensus group, in bytes; at least 1.
fn bytes_per_heartbeat(settings: &Settings) -> u64 {
    let bytes_per_ms = settings.limits.bandwidth_mbps * BYTES_PER_MS_IN_MBPS;
    let heartbeat_ms = consensus_timing(settings).heartbeat_ms;
    // A float beyond the range becomes its end.
    ((bytes_per_ms * heartbeat_ms as f64) as u64).max(1)
}

/// Times and limits of consensus groups.
pub fn consensus_timing(settings: &Settings) -> Timing {
    let election_min_ms = (settings.bounds.liveness_ms / ELECTIONS_PER_LIVENESS).max(20);
    let heartbeat_ms = (election_min_ms / HEARTBEATS_PER_ELECTION).max(1);
    Timing {
        election_min_ms,
        election_max_ms: election_min_ms * 2,
        heartbeat_ms,
        lease_ms: election_min_ms * LEASE_PERCENT / 100,
        max_entries_bytes: MAX_ENTRIES_BYTES,
        max_inflight: MAX_INFLIGHT,
        snapshot_chunk_bytes: SNAPSHOT_CHUNK_BYTES,
    }
}

/// How long a replica says nothing to its leader until it is taken for lost, in milliseconds.
pub fn lost_after_ms(settings: &Settings) -> u64 {
    (settings.bounds.liveness_ms / LOST_PER_LIVENESS).max(1)
}

/// Limits of connections between roles.
pub fn link_settings(settings: &Settings) -> LinkSettings {
    let liveness = settings.bounds.liveness_ms;
    let queued = settings.limits.memory_mb * BYTES_PER_MB / QUEUED_PART_OF_MEMORY;
    let max_queued_bytes = usize::try_from(queued).unwrap_or(usize::MAX).max(MAX_ENTRIES_BYTES);
    let window = usize::try_from(bytes_per_heartbeat(settings)).unwrap_or(usize::MAX);
    LinkSettings {
        max_frame_bytes: MAX_FRAME_BYTES,
        max_queued_bytes,
        window_bytes: window.min(max_queued_bytes / WINDOW_PART_OF_QUEUED),
        silence_ms: (liveness / SILENCES_PER_LIVENESS).max(1),
        connect_timeout_ms: (liveness / CONNECTS_PER_LIVENESS).max(1),
        user_timeout_ms: (liveness / UNACKNOWLEDGED_PER_LIVENESS).max(1),
    }
}

/// Limits of a connection that this process opens to another one's replicas. The other end sends heartbeats on it.
pub fn replica_link_settings(settings: &Settings) -> LinkSettings {
    match is_active(Mutation::DeadReplicaLinkKept) {
        true => accepted_replica_link_settings(settings),
        false => link_settings(settings),
    }
}

/// Limits of a connection that another process has opened to this one's replicas.
pub fn accepted_replica_link_settings(settings: &Settings) -> LinkSettings {
    let silence_ms = settings.bounds.liveness_ms.saturating_mul(QUIET_REPLICA_LIVENESS).max(1);
    LinkSettings { silence_ms, ..link_settings(settings) }
}

/// How often a process says something on a link with these settings, so that the other end does not give it up for silence.
pub fn heartbeat_interval(link: &LinkSettings) -> Duration {
    Duration::from_millis((link.silence_ms / u64::from(HEARTBEATS_PER_SILENCE)).max(1))
}

/// Bytes of its log that each replica may keep for followers that lag.
pub fn retained_log_bytes(settings: &Settings) -> usize {
    let bytes = settings.limits.memory_mb * BYTES_PER_MB / RETAINED_PART_OF_MEMORY;
    usize::try_from(bytes).unwrap_or(usize::MAX)
}

/// Pauses before lost connections are opened again.
pub fn backoff(settings: &Settings, seed: u64) -> Backoff {
    Backoff {
        first_ms: FIRST_PAUSE_MS,
        longest_ms: (settings.bounds.liveness_ms / ELECTIONS_PER_LIVENESS).max(FIRST_PAUSE_MS),
        seed,
    }
}
