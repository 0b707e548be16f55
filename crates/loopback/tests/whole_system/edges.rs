//! The end of an edge in order.

use std::time::Duration;

use ruddervalve_loopback::{MachineRole, ProcessSignal, RunnerPlan};

use crate::load::Load;
use crate::stage::{LETTERS, STEP, Stage, letter};

const MESSAGES: usize = 30;

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_edge_that_ends_in_order_loses_no_request_and_repeats_no_run() {
    let mut stage = Stage::set_up().await;
    let _runners = [stage.runner(RunnerPlan::of(LETTERS)).await, stage.runner(RunnerPlan::of(LETTERS)).await];
    let load = Load::without_end((0..4).map(|_| (stage.system.client(), letter())).collect());
    load.answered(MESSAGES).await;
    stage.system.signal("edge-1", ProcessSignal::Terminate).unwrap();
    stage.system.unready("edge-1", STEP).await.unwrap();
    let status = stage.system.ended("edge-1", STEP).await.unwrap();
    assert!(status.success(), "{status}");
    load.answered(MESSAGES).await;
    stage.system.restart("edge-1").unwrap();
    stage.system.ready(STEP).await.unwrap();
    load.answered(MESSAGES).await;
    let sent = load.stop().await;
    let mut all = Vec::new();
    for client in sent {
        assert!(client.failed.is_empty(), "{:?}", client.failed);
        all.extend(client.accepted);
    }
    stage.all_succeed(&all).await;
    for message in &all {
        let runs = stage.log.of(&message.request_id);
        assert_eq!(runs.len(), 1, "{runs:?}");
    }
    stage.ends_well(&all);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn edges_that_are_told_to_end_together_are_ready_no_more() {
    let mut stage = Stage::set_up().await;
    let edges = stage.system.names(MachineRole::Edge);
    for edge in &edges {
        stage.system.signal(edge, ProcessSignal::Terminate).unwrap();
    }
    for edge in &edges {
        stage.system.unready(edge, STEP).await.unwrap();
    }
    // Whatever they still learn, a configuration among it, none calls itself ready again before it has ended.
    let mut second = stage.configuration.clone();
    second.resource_version += 3;
    stage.system.operator().replace(1, &second, STEP).await.unwrap();
    for edge in &edges {
        stage.system.unready(edge, Duration::ZERO).await.expect("not ready at the first question");
        let status = stage.system.ended(edge, STEP).await.unwrap();
        assert!(status.success(), "{edge}: {status}");
    }
}
