//! Messages on the ordinary path.

use ruddervalve_loopback::{Bounds, Misbehaviour, ReceiverPlan, RunnerPlan, eventually};

use crate::stage::{LETTERS, STEP, Stage, letter};

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_message_is_delivered_and_any_edge_tells_of_it() {
    let receiver = ReceiverPlan { failures: 2, ..ReceiverPlan::default() };
    let mut stage = Stage::of(Bounds::default(), receiver).await;
    let message = stage.send(&letter().with_callback(&stage.receiver.url())).await;
    for edge in stage.system.fronts() {
        let body = stage.client.body_at(edge, &message).await;
        assert_eq!(body.as_deref(), Some(&b"dear reader"[..]));
        let state = stage.client.state_at(edge, &message).await.unwrap();
        assert_eq!(state.phase, "pending");
    }
    let _runner = stage.runner(RunnerPlan::of(LETTERS)).await;
    stage.succeeds(&message).await;
    let runs = stage.log.of(&message.request_id);
    assert_eq!(runs.len(), 1);
    let run = &runs[0];
    assert_eq!((run.method.as_str(), run.target.as_str()), ("POST", "/letters/a?b=c"));
    assert_eq!(run.body, b"dear reader");
    for edge in stage.system.fronts() {
        let state = stage.client.state_at(edge, &message).await.unwrap();
        assert_eq!((state.phase.as_str(), state.signature.as_ref()), ("succeeded", Some(&run.signature)));
    }
    called_back(&stage, &message.request_id, "succeeded", Some(run.signature.clone())).await;
    assert_eq!(stage.receiver.refused(), 2);
    stage.ends_well(&[message]);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn what_cannot_be_done_is_a_dead_letter_with_its_body() {
    let mut stage = Stage::set_up().await;
    let runner = stage.runner(RunnerPlan::of(LETTERS)).await;
    let with_callback = letter().with_callback(&stage.receiver.url());
    runner.misbehave(Misbehaviour::Reject);
    let refused = stage.send(&with_callback).await;
    is_dead(&stage, &refused, 1).await;
    let retries = stage.configuration.routes[0].max_retries;
    (0..retries).for_each(|_| runner.misbehave(Misbehaviour::Fail));
    let failed = stage.send(&with_callback).await;
    is_dead(&stage, &failed, retries as usize).await;
    runner.misbehave(Misbehaviour::Fail);
    runner.misbehave(Misbehaviour::TurnAway);
    let done = stage.send(&with_callback).await;
    stage.succeeds(&done).await;
    stage.ends_well(&[refused, failed, done]);
}

async fn is_dead(stage: &Stage, message: &ruddervalve_loopback::Accepted, runs: usize) {
    let state = stage.client.ended(message, STEP).await.unwrap();
    assert_eq!(state.phase, "dead_letter");
    assert_eq!(stage.log.of(&message.request_id).len(), runs);
    for edge in stage.system.fronts() {
        assert_eq!(stage.client.body_at(edge, message).await.as_deref(), Some(&b"dear reader"[..]));
    }
    called_back(stage, &message.request_id, "dead_letter", None).await;
}

async fn called_back(stage: &Stage, request_id: &str, phase: &str, signature: Option<String>) {
    let look = || std::future::ready(stage.receiver.taken(request_id).into_iter().next());
    let callback = eventually("the call-back", STEP, look).await.unwrap();
    assert_eq!(callback.phase, phase);
    if signature.is_some() {
        assert_eq!(callback.signature, signature);
    }
}
