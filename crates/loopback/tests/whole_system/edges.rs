//! The end of an edge in order.

use ruddervalve_loopback::{ProcessSignal, RunnerPlan};

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
