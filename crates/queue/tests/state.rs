//! The replicated state: commands, ends, forgetting, snapshots.

mod support;

use ruddervalve_protocol::{Blob, EndPhase, GrantedLease, LeaseId, MessagePhase};
use ruddervalve_queue::{
    Action, Command, DecodeError, Effect, Sequence, ShardState, SnapshotError, StateLimits,
};
use support::{calling, edge, id, keyed, message};

const LIMITS: StateLimits = StateLimits { status_ttl_ms: 100, callback_keep_ms: 500 };

fn apply(state: &mut ShardState, at_ms: u64, action: Action) -> Effect {
    state.apply(&Command { shard_ms: at_ms, wall_ms: at_ms + 7, action }).effect
}

fn accept(message: ruddervalve_protocol::NewMessage) -> Action {
    Action::Accept { message: message.into(), due_ms: 5, expires_ms: 900, accepted_by: edge(1) }
}

fn end(name: &str, phase: EndPhase) -> Action {
    let signature = if phase == EndPhase::Succeeded { "sig" } else { "" };
    Action::End { id: id(name), phase, signature: signature.to_owned() }
}

fn limited_state() -> ShardState {
    let mut state = ShardState::new();
    assert_eq!(apply(&mut state, 0, Action::SetLimits(LIMITS)), Effect::LimitsSet);
    state
}

fn all_actions() -> Vec<Action> {
    vec![
        accept(calling("a", "/s/1", "http://10.0.0.1:80/x")),
        accept(keyed("b", "/s/1?q", "key")),
        Action::AttemptFailed { id: id("a"), lease: LeaseId { term: 2, number: 9 } },
        end("a", EndPhase::Succeeded),
        end("b", EndPhase::DeadLetter),
        Action::CallbackTaken { id: id("a") },
        Action::AttachEdge { edge: edge(3), node: "edge-1".to_owned() },
        Action::DetachEdge { edge: edge(3) },
        Action::SetLimits(LIMITS),
    ]
}

#[test]
fn commands_come_back_as_they_were_written() {
    for action in all_actions() {
        let command = Command { shard_ms: 12, wall_ms: 34, action };
        assert_eq!(Command::decode(command.encode().as_slice()), Ok(command));
    }
}

#[test]
fn cut_or_extended_commands_are_errors() {
    for action in all_actions() {
        let bytes = Command { shard_ms: 12, wall_ms: 34, action }.encode();
        for length in 0..bytes.len() {
            let cut = Command::decode(&bytes.as_slice()[..length]);
            assert!(matches!(cut, Err(DecodeError::Malformed { .. })), "{length}");
        }
        let mut longer = bytes.as_slice().to_vec();
        longer.push(0);
        assert_eq!(Command::decode(&longer), Err(DecodeError::Trailing { count: 1 }));
    }
}

#[test]
fn damaged_commands_never_panic() {
    for action in all_actions() {
        let bytes = Command { shard_ms: 12, wall_ms: 34, action }.encode();
        for position in 0..bytes.len() {
            for value in [0x00, 0x7f, 0x80, 0xff] {
                let mut damaged = bytes.as_slice().to_vec();
                damaged[position] = value;
                let _ = Command::decode(&damaged);
            }
        }
    }
}

#[test]
fn a_message_is_pending_with_its_bytes_until_it_ends() {
    let mut state = limited_state();
    assert_eq!(apply(&mut state, 1, accept(message("a", "/s/"))), Effect::Accepted { sequence: Sequence(0) });
    assert_eq!(state.status(&id("a")), Some(MessagePhase::Pending));
    assert_eq!(state.body(&id("a")), Some(Blob::from(&b"body of a"[..])));
    assert_eq!((state.pending_count(), state.pending_bytes()), (1, 9));
    assert_eq!(state.status(&id("b")), None);
}

#[test]
fn the_body_is_shared_with_the_command() {
    let mut state = limited_state();
    let action = accept(message("a", "/s/"));
    let Action::Accept { message, .. } = &action else { unreachable!() };
    let bytes = message.body.as_slice().as_ptr();
    apply(&mut state, 1, action.clone());
    assert_eq!(state.body(&id("a")).expect("kept").as_slice().as_ptr(), bytes);
}

#[test]
fn a_known_id_is_not_accepted_again_even_after_its_end() {
    let mut state = limited_state();
    apply(&mut state, 1, accept(message("a", "/s/")));
    assert_eq!(apply(&mut state, 2, accept(message("a", "/other/"))), Effect::Duplicate);
    apply(&mut state, 3, end("a", EndPhase::Succeeded));
    assert_eq!(apply(&mut state, 4, accept(message("a", "/s/"))), Effect::Duplicate);
    assert_eq!(state.pending_count(), 0);
}

#[test]
fn the_first_end_stands_and_a_success_drops_the_body() {
    let mut state = limited_state();
    apply(&mut state, 1, accept(message("a", "/s/")));
    let ended = Effect::Ended { sequence: Sequence(0), callback_owed: false };
    assert_eq!(apply(&mut state, 2, end("a", EndPhase::Succeeded)), ended);
    assert_eq!(apply(&mut state, 3, end("a", EndPhase::DeadLetter)), Effect::Unchanged);
    let phase = MessagePhase::Ended { phase: EndPhase::Succeeded, signature: "sig".to_owned() };
    assert_eq!(state.status(&id("a")), Some(phase));
    assert_eq!(state.body(&id("a")), None);
    assert_eq!((state.held_bytes(), state.pending_bytes()), (0, 0));
}

#[test]
fn a_dead_letter_keeps_its_body_for_the_status_time() {
    let mut state = limited_state();
    apply(&mut state, 1, accept(message("a", "/s/")));
    apply(&mut state, 10, end("a", EndPhase::DeadLetter));
    assert_eq!((state.held_bytes(), state.pending_bytes()), (9, 0));
    apply(&mut state, 109, Action::DetachEdge { edge: edge(9) });
    assert!(state.body(&id("a")).is_some());
    apply(&mut state, 110, Action::DetachEdge { edge: edge(9) });
    assert_eq!(state.status(&id("a")), None);
    assert_eq!((state.held_bytes(), state.ended_count()), (0, 0));
}

#[test]
fn nothing_is_forgotten_before_limits_are_set() {
    let mut state = ShardState::new();
    apply(&mut state, 1, accept(message("a", "/s/")));
    apply(&mut state, 2, end("a", EndPhase::Succeeded));
    apply(&mut state, u64::MAX - 10, Action::DetachEdge { edge: edge(9) });
    assert!(state.status(&id("a")).is_some());
}

#[test]
fn an_attempt_counts_once_for_each_lease() {
    let mut state = limited_state();
    apply(&mut state, 1, accept(message("a", "/s/")));
    let failed = |number| Action::AttemptFailed { id: id("a"), lease: LeaseId { term: 1, number } };
    assert_eq!(apply(&mut state, 2, failed(1)), Effect::AttemptRecorded { attempts: 1 });
    assert_eq!(apply(&mut state, 3, failed(1)), Effect::Unchanged);
    assert_eq!(apply(&mut state, 4, failed(2)), Effect::AttemptRecorded { attempts: 2 });
    apply(&mut state, 5, end("a", EndPhase::Succeeded));
    assert_eq!(apply(&mut state, 6, failed(3)), Effect::Unchanged);
}

#[test]
fn an_owed_callback_outlives_the_status_time_and_is_given_up_at_its_bound() {
    let mut state = limited_state();
    for name in ["a", "b"] {
        apply(&mut state, 1, accept(calling(name, "/s/", "http://r:1/x")));
        apply(&mut state, 10, end(name, EndPhase::DeadLetter));
    }
    apply(&mut state, 200, Action::DetachEdge { edge: edge(9) });
    assert!(state.callback(&id("a")).is_some());
    assert_eq!(state.held_bytes(), 0);
    let taken = Effect::CallbackRecorded { sequence: Sequence(0) };
    assert_eq!(apply(&mut state, 300, Action::CallbackTaken { id: id("a") }), taken);
    assert_eq!(state.status(&id("a")), None);
    let tick = Command { shard_ms: 510, wall_ms: 0, action: Action::DetachEdge { edge: edge(9) } };
    assert_eq!(state.apply(&tick).abandoned_callbacks, [Sequence(1)]);
    assert_eq!((state.status(&id("b")), state.ended_count()), (None, 0));
}

#[test]
fn a_callback_is_taken_once() {
    let mut state = limited_state();
    apply(&mut state, 1, accept(calling("a", "/s/", "http://r:1/x")));
    assert_eq!(apply(&mut state, 2, Action::CallbackTaken { id: id("a") }), Effect::Unchanged);
    apply(&mut state, 10, end("a", EndPhase::Succeeded));
    let owed = state.callback(&id("a")).expect("owed");
    assert_eq!((owed.url.as_str(), owed.signature.as_str()), ("http://r:1/x", "sig"));
    apply(&mut state, 11, Action::CallbackTaken { id: id("a") });
    assert_eq!(apply(&mut state, 12, Action::CallbackTaken { id: id("a") }), Effect::Unchanged);
    assert!(state.callback(&id("a")).is_none());
    assert!(state.status(&id("a")).is_some());
}

#[test]
fn shard_time_never_goes_back() {
    let mut state = limited_state();
    apply(&mut state, 50, accept(message("a", "/s/")));
    apply(&mut state, 20, end("a", EndPhase::Succeeded));
    assert_eq!(state.shard_ms(), 50);
    apply(&mut state, 149, Action::DetachEdge { edge: edge(9) });
    assert!(state.status(&id("a")).is_some());
}

#[test]
fn a_grant_carries_what_is_left_of_the_retention_and_no_delay() {
    let mut state = limited_state();
    apply(&mut state, 1, accept(message("a", "/s/")));
    let lease = GrantedLease { id: LeaseId { term: 1, number: 1 }, service: "s".to_owned() };
    let grant = state.grant(&id("a"), lease.clone(), 400).expect("pending");
    assert_eq!((grant.message.retention_ms, grant.message.delay_ms), (500, 0));
    apply(&mut state, 2, end("a", EndPhase::Succeeded));
    assert!(state.grant(&id("a"), lease, 400).is_none());
}

#[test]
fn a_snapshot_restores_an_equal_state() {
    let mut state = limited_state();
    for action in all_actions() {
        apply(&mut state, 5, action);
        let restored = ShardState::restore(&state.snapshot()).expect("own snapshot");
        assert_same_contents(&restored, &state);
    }
}

#[test]
fn a_restored_state_goes_on_like_the_original() {
    let actions = all_actions();
    for restored_after in 0..actions.len() {
        let mut state = limited_state();
        let mut restored = limited_state();
        for (index, action) in actions.iter().enumerate() {
            let at_ms = 5 + 60 * index as u64;
            let effect = apply(&mut state, at_ms, action.clone());
            assert_eq!(apply(&mut restored, at_ms, action.clone()), effect);
            if index == restored_after {
                restored = ShardState::restore(&state.snapshot()).expect("own snapshot");
            }
            assert_same_contents(&restored, &state);
        }
    }
}

/// Compares what can be asked, not the bytes of snapshots alone: what a snapshot leaves out is missing in both.
fn assert_same_contents(restored: &ShardState, state: &ShardState) {
    assert_eq!(restored.snapshot(), state.snapshot());
    assert_eq!((restored.shard_ms(), restored.wall_ms()), (state.shard_ms(), state.wall_ms()));
    assert_eq!(restored.limits(), state.limits());
    assert_eq!(restored.held_bytes(), state.held_bytes());
    assert_eq!(restored.pending_bytes(), state.pending_bytes());
    assert_eq!(restored.ended_count(), state.ended_count());
    assert!(restored.pending_messages().eq(state.pending_messages()));
    assert!(restored.owed_callbacks().eq(state.owed_callbacks()));
    assert!(restored.attached_edges().eq(state.attached_edges()));
    for name in ["a", "b", "z"] {
        assert_eq!(restored.sequence(&id(name)), state.sequence(&id(name)));
        assert_eq!(restored.status(&id(name)), state.status(&id(name)));
        assert_eq!(restored.body(&id(name)), state.body(&id(name)));
    }
}

#[test]
fn damaged_snapshots_are_errors_and_never_panic() {
    let mut state = limited_state();
    for action in all_actions().into_iter().take(5) {
        apply(&mut state, 5, action);
    }
    let bytes = state.snapshot().as_slice().to_vec();
    for length in 0..bytes.len() {
        assert!(ShardState::restore(&Blob::from(&bytes[..length])).is_err());
    }
    for position in 0..bytes.len() {
        for value in [0x00, 0x7f, 0x80, 0xff] {
            let mut damaged = bytes.clone();
            damaged[position] = value;
            let Ok(mut restored) = ShardState::restore(&Blob::from(damaged)) else { continue };
            apply(&mut restored, 6, accept(message("z", "/s/")));
            apply(&mut restored, 7, end("z", EndPhase::Succeeded));
        }
    }
}

#[test]
fn a_snapshot_of_another_format_is_named() {
    let mut bytes = ShardState::new().snapshot().as_slice().to_vec();
    bytes[0] = 9;
    let error = ShardState::restore(&Blob::from(bytes)).expect_err("format 9");
    assert_eq!(error, SnapshotError::Format { found: 9 });
    assert!(error.to_string().contains("run the version that wrote it"));
}
