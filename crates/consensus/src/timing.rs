//! Times and limits of a group.

use displaydoc::Display;

/// Times and limits of a group: the same at all of its replicas.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Timing {
    /// How long a voter refuses votes after it heard from a leader, and the shortest silence before it campaigns; ms.
    pub election_min_ms: u64,
    /// The longest silence before a voter campaigns, and the longest that a leader leads without a quorum's answers; ms.
    pub election_max_ms: u64,
    /// How long a leader lets a follower go without a message; ms.
    pub heartbeat_ms: u64,
    /// For how long a leader may trust that it leads after it sent what a quorum has answered; ms.
    pub lease_ms: u64,
    /// Bytes of entries in one append message; a single larger entry still goes, alone.
    pub max_entries_bytes: usize,
    /// Append messages, or chunks of a snapshot, that a follower may have unanswered.
    pub max_inflight: usize,
    /// Bytes of a snapshot in one message.
    pub snapshot_chunk_bytes: usize,
}

impl Timing {
    /// Checks that the times and limits go together.
    ///
    /// # Errors
    /// The first that do not, and what would mend them.
    pub fn validate(&self) -> Result<(), TimingError> {
        if self.heartbeat_ms == 0 {
            return Err(TimingError::NoHeartbeat);
        }
        if self.heartbeat_ms >= self.lease_ms {
            return Err(TimingError::LeaseTooShort {
                heartbeat_ms: self.heartbeat_ms,
                lease_ms: self.lease_ms,
            });
        }
        if self.lease_ms >= self.election_min_ms {
            return Err(TimingError::LeaseTooLong {
                lease_ms: self.lease_ms,
                election_min_ms: self.election_min_ms,
            });
        }
        if self.election_min_ms >= self.election_max_ms {
            return Err(TimingError::NoSpread {
                election_min_ms: self.election_min_ms,
                election_max_ms: self.election_max_ms,
            });
        }
        self.validate_limits()
    }

    fn validate_limits(&self) -> Result<(), TimingError> {
        if self.max_entries_bytes == 0 {
            return Err(TimingError::NoEntriesBytes);
        }
        if self.max_inflight == 0 {
            return Err(TimingError::NoInflight);
        }
        if self.snapshot_chunk_bytes == 0 {
            return Err(TimingError::NoChunkBytes);
        }
        Ok(())
    }
}

/// Times or limits that do not go together.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum TimingError {
    /// heartbeat_ms is 0: set it to at least 1
    NoHeartbeat,
    /// the lease of {lease_ms} ms would run out between heartbeats every {heartbeat_ms} ms: make the lease several heartbeats long
    LeaseTooShort {
        /// The heartbeat's interval; ms.
        heartbeat_ms: u64,
        /// The lease; ms.
        lease_ms: u64,
    },
    /// the lease of {lease_ms} ms could outlast the refusal of votes for {election_min_ms} ms: make the lease shorter, by what clocks may drift apart
    LeaseTooLong {
        /// The lease; ms.
        lease_ms: u64,
        /// The refusal of votes; ms.
        election_min_ms: u64,
    },
    /// all voters would campaign at once, {election_min_ms} to {election_max_ms} ms after a leader is lost: raise election_max_ms
    NoSpread {
        /// The shortest silence; ms.
        election_min_ms: u64,
        /// The longest silence; ms.
        election_max_ms: u64,
    },
    /// max_entries_bytes is 0: set it to the bytes that an append message may hold
    NoEntriesBytes,
    /// max_inflight is 0: set it to at least 1
    NoInflight,
    /// snapshot_chunk_bytes is 0: set it to the bytes that a message with a part of a snapshot may hold
    NoChunkBytes,
}

impl std::error::Error for TimingError {}
