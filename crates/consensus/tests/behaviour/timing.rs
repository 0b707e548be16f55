use ruddervalve_consensus::{Timing, TimingError};

use crate::group::TIMING;

#[test]
fn times_that_go_together_are_accepted() {
    assert_eq!(TIMING.validate(), Ok(()));
}

#[test]
fn a_lease_shorter_than_the_refusal_of_votes_is_asked_for() {
    let timing = Timing { lease_ms: TIMING.election_min_ms, ..TIMING };
    let error = TimingError::LeaseTooLong { lease_ms: 1000, election_min_ms: 1000 };
    assert_eq!(timing.validate(), Err(error));
}

#[test]
fn a_lease_longer_than_a_heartbeat_is_asked_for() {
    let timing = Timing { heartbeat_ms: 800, ..TIMING };
    assert_eq!(timing.validate(), Err(TimingError::LeaseTooShort { heartbeat_ms: 800, lease_ms: 800 }));
}

#[test]
fn election_timeouts_that_differ_are_asked_for() {
    let timing = Timing { election_max_ms: 1000, ..TIMING };
    let error = TimingError::NoSpread { election_min_ms: 1000, election_max_ms: 1000 };
    assert_eq!(timing.validate(), Err(error));
}

#[test]
fn limits_of_zero_are_refused() {
    assert_eq!(Timing { heartbeat_ms: 0, ..TIMING }.validate(), Err(TimingError::NoHeartbeat));
    assert_eq!(Timing { max_entries_bytes: 0, ..TIMING }.validate(), Err(TimingError::NoEntriesBytes));
    assert_eq!(Timing { max_inflight: 0, ..TIMING }.validate(), Err(TimingError::NoInflight));
    assert_eq!(Timing { snapshot_chunk_bytes: 0, ..TIMING }.validate(), Err(TimingError::NoChunkBytes));
}
