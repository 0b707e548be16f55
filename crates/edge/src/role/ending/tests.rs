//! Tests of the end's steps.

use super::{Ending, EndingStep};

const GRACE_MS: u64 = 6_000;
const BEGUN: u64 = 1_000;

/// The steps until the process ends, with their times, where it is never idle.
fn steps(grace_ms: u64) -> (Vec<(u64, EndingStep)>, u64) {
    let mut ending = Ending::begin(BEGUN, grace_ms);
    let mut steps = Vec::new();
    let mut now = BEGUN;
    while !ending.is_over(now, false) {
        now = ending.next_wake().expect("it ends").max(now);
        while let Some(step) = ending.advance(now) {
            steps.push((now, step));
        }
    }
    (steps, now)
}

#[test]
fn clients_are_answered_before_the_last_moment_and_that_before_the_grace_is_over() {
    let (steps, last) = steps(GRACE_MS);
    assert_eq!(steps, [(BEGUN + 2_000, EndingStep::Drain), (BEGUN + 4_800, EndingStep::AnswerAll)]);
    assert_eq!(last, BEGUN + 5_400);
}

#[test]
fn a_short_grace_has_the_same_steps() {
    let (steps, last) = steps(100);
    assert_eq!(
        steps.iter().map(|(_, step)| *step).collect::<Vec<_>>(),
        [EndingStep::Drain, EndingStep::AnswerAll]
    );
    assert!(last < BEGUN + 100);
}

#[test]
fn an_idle_process_ends_once_the_platform_has_taken_it_out() {
    let mut ending = Ending::begin(BEGUN, GRACE_MS);
    assert!(!ending.is_over(BEGUN, true));
    assert!(ending.advance(BEGUN + 2_000).is_some());
    assert!(ending.is_over(BEGUN + 2_000, true));
    assert!(!Ending::No.is_over(u64::MAX, true));
}
