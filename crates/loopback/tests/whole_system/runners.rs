//! Runners that misbehave, and runners that leave.

use std::time::Duration;

use ruddervalve_loopback::{Misbehaviour, Outcome, RunnerPlan};
use tokio::time::Instant;

use crate::stage::{LETTERS, Stage, letter};

const MESSAGES: usize = 30;

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn garbled_answers_do_not_count() {
    let mut stage = Stage::set_up().await;
    let runner = stage.runner(RunnerPlan::of(LETTERS)).await;
    let garbled = [
        Misbehaviour::ForeignAnswer,
        Misbehaviour::Unsigned,
        Misbehaviour::Garbage,
        Misbehaviour::CutAnswer,
        Misbehaviour::LoseAnswer,
        Misbehaviour::WithholdByte,
    ];
    let mut all = Vec::new();
    for misbehaviour in garbled {
        runner.misbehave(misbehaviour);
        let message = stage.send(&letter()).await;
        stage.succeeds(&message).await;
        let runs = stage.log.of(&message.request_id);
        assert_eq!(runs.len(), 2, "{misbehaviour:?}: {runs:?}");
        let state = stage.client.state(&message).await.unwrap();
        assert_eq!(state.signature.as_ref(), Some(&runs[1].signature), "{misbehaviour:?}");
        all.push(message);
    }
    stage.ends_well(&all);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_second_answer_does_not_count_for_the_next_message() {
    let mut stage = Stage::set_up().await;
    let runner = stage.runner(RunnerPlan::of(LETTERS)).await;
    let mut all = Vec::new();
    for _ in 0..4 {
        runner.misbehave(Misbehaviour::SecondAnswer);
        let first = stage.send(&letter()).await;
        stage.succeeds(&first).await;
        assert_eq!(stage.log.of(&first.request_id).len(), 1);
        runner.misbehave(Misbehaviour::Fail);
        let second = stage.send(&letter()).await;
        stage.succeeds(&second).await;
        let runs = stage.log.of(&second.request_id);
        assert_eq!(runs.iter().filter(|run| run.outcome == Some(Outcome::Succeeded)).count(), 1);
        all.extend([first, second]);
    }
    stage.ends_well(&all);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn success_behind_a_late_second_answer_is_not_run_again() {
    let mut stage = Stage::set_up().await;
    let runner = stage.runner(RunnerPlan::of(LETTERS)).await;
    let mut all = Vec::new();
    for _ in 0..MESSAGES {
        runner.misbehave(Misbehaviour::LateSecondAnswer);
        let message = stage.send(&letter()).await;
        stage.succeeds(&message).await;
        all.push(message);
    }
    assert!(runner.late_second_answers() > 0, "no connection was used again");
    for message in &all {
        let runs = stage.log.of(&message.request_id);
        assert_eq!(runs.len(), 1, "{runs:?}");
    }
    stage.ends_well(&all);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_runner_that_drains_gets_nothing_more() {
    let mut stage = Stage::set_up().await;
    let leaving = stage.runner(RunnerPlan::of(LETTERS)).await;
    let _staying = stage.runner(RunnerPlan::of(LETTERS)).await;
    let mut all = stage.send_all(&letter(), MESSAGES).await;
    stage.all_succeed(&all).await;
    let runs = stage.log.all();
    assert!(runs.iter().any(|run| run.uid == leaving.uid()), "the runner had nothing to lose");
    leaving.drain();
    let lag = ruddervalve_loopback::ListPlan::default().lag;
    let bound = Instant::now() + lag + Duration::from_millis(stage.system.bounds().drain_timeout_ms);
    while Instant::now() < bound {
        let message = stage.send(&letter()).await;
        stage.succeeds(&message).await;
        all.push(message);
    }
    all.extend(stage.send_all(&letter(), MESSAGES).await);
    stage.all_succeed(&all).await;
    let late: Vec<_> =
        stage.log.all().into_iter().filter(|run| run.uid == leaving.uid() && run.began >= bound).collect();
    assert!(late.is_empty(), "{late:?}");
    stage.ends_well(&all);
}
