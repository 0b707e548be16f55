//! Machines that are stopped and started in turn.

use ruddervalve_loopback::{Accepted, MachineRole, ProcessSignal, RunnerPlan};

use crate::load::Load;
use crate::stage::{LEDGER, LETTERS, STEP, Stage, entry, letter};

const MESSAGES: usize = 20;

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn stores_that_end_in_order_lose_no_request_and_repeat_no_run() {
    end_in_turn(MachineRole::Store).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn coordinators_that_end_in_order_lose_no_request_and_repeat_no_run() {
    end_in_turn(MachineRole::Coordinator).await;
}

async fn end_in_turn(role: MachineRole) {
    let mut stage = Stage::set_up().await;
    let _runners = [stage.runner(RunnerPlan::of(LETTERS)).await, stage.runner(RunnerPlan::of(LEDGER)).await];
    let clients = [letter(), letter(), entry("anna"), entry("emil")];
    let mut load = Load::of(clients.map(|message| (stage.system.client(), message)).into());
    for name in stage.system.names(role) {
        load.release(4 * MESSAGES);
        load.answered(MESSAGES).await;
        stage.system.signal(&name, ProcessSignal::Terminate).unwrap();
        load.answered(MESSAGES).await;
        let status = stage.system.ended(&name, STEP).await.unwrap();
        assert!(status.success(), "{status}");
        load.answered(MESSAGES).await;
        stage.system.restart(&name).unwrap();
        load.settled().await;
        stage.system.back_in_sync(&name).await.unwrap();
    }
    let mut all: Vec<Accepted> = Vec::new();
    for client in load.stop().await {
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
