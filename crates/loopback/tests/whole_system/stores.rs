//! The loss of stores, and of everything.

use ruddervalve_loopback::{Accepted, MachineRole, ProcessSignal, RunnerPlan};

use crate::load::Load;
use crate::stage::{LEDGER, LETTERS, STEP, Stage, entry, letter};

/// Keys of the ledger that belong to three shards.
const KEYS: [&str; 3] = ["anna", "emil", "fritz"];
const MESSAGES: usize = 30;

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn order_is_kept_while_stores_are_killed() {
    let mut stage = Stage::set_up().await;
    let _runners = [stage.runner(quick(LEDGER)).await, stage.runner(quick(LEDGER)).await];
    let mut load = Load::of(KEYS.iter().map(|key| (stage.system.client(), entry(key))).collect());
    for store in stage.system.names(MachineRole::Store) {
        load.release(3 * MESSAGES);
        load.answered(MESSAGES).await;
        stage.system.kill(&store).unwrap();
        load.answered(MESSAGES).await;
        stage.system.restart(&store).unwrap();
        load.settled().await;
        stage.system.back_in_sync(&store).await.unwrap();
    }
    let mut all = Vec::new();
    for sent in load.stop().await {
        stage.all_succeed(&sent.accepted).await;
        let ids: Vec<String> = sent.accepted.iter().map(|message| message.request_id.clone()).collect();
        let early = stage.log.out_of_turn(&ids);
        assert!(early.is_empty(), "{early:?}");
        all.extend(sent.accepted);
    }
    stage.ends_well(&all);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_store_killed_while_messages_are_accepted_loses_nothing() {
    let mut stage = Stage::set_up().await;
    let mut load = Load::of((0..4).map(|_| (stage.system.client(), letter())).collect());
    for store in stage.system.names(MachineRole::Store) {
        load.release(2 * MESSAGES);
        load.answered(MESSAGES).await;
        stage.system.kill(&store).unwrap();
        load.settled().await;
        stage.system.restart(&store).unwrap();
        stage.system.back_in_sync(&store).await.unwrap();
    }
    let sent = load.stop().await;
    let accepted: Vec<Accepted> = sent.into_iter().flat_map(|sent| sent.accepted).collect();
    let _runners = [stage.runner(quick(LETTERS)).await, stage.runner(quick(LETTERS)).await];
    stage.all_succeed(&accepted).await;
    stage.ends_well(&accepted);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_emptied_store_refills_and_another_may_be_lost() {
    let mut stage = Stage::set_up().await;
    let mut all = stage.send_all(&letter(), MESSAGES).await;
    for store in stage.system.names(MachineRole::Store) {
        stage.system.lose_disk(&store).unwrap();
        all.extend(stage.send_all(&letter(), MESSAGES).await);
        stage.system.restart(&store).unwrap();
        stage.system.back_in_sync(&store).await.unwrap();
    }
    let _runner = stage.runner(quick(LETTERS)).await;
    stage.all_succeed(&all).await;
    stage.ends_well(&all);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn all_processes_killed_at_once_lose_nothing() {
    let mut stage = Stage::set_up().await;
    let runner = stage.runner(quick(LETTERS)).await;
    let done = stage.send_all(&letter(), MESSAGES).await;
    stage.all_succeed(&done).await;
    let runs: Vec<usize> = done.iter().map(|message| stage.log.of(&message.request_id).len()).collect();
    runner.end();
    let queued = stage.send_all(&letter(), MESSAGES).await;
    let ordered = stage.send_all(&entry("anna"), MESSAGES).await;
    stage.system.kill_all().unwrap();
    stage.system.restart_all().unwrap();
    stage.system.ready(STEP).await.unwrap();
    let newest = stage.system.operator().newest(STEP).await.unwrap();
    assert_eq!(newest.body, stage.configuration.to_bytes());
    stage.all_succeed(&done).await;
    let _runners = [stage.runner(quick(LETTERS)).await, stage.runner(quick(LEDGER)).await];
    stage.all_succeed(&queued).await;
    stage.all_succeed(&ordered).await;
    let ids: Vec<String> = ordered.iter().map(|message| message.request_id.clone()).collect();
    let early = stage.log.out_of_turn(&ids);
    assert!(early.is_empty(), "{early:?}");
    let again: Vec<usize> = done.iter().map(|message| stage.log.of(&message.request_id).len()).collect();
    assert_eq!(again, runs, "what had ended ran again");
    let all = [done, queued, ordered].concat();
    stage.ends_well(&all);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_store_that_freezes_holds_nothing_up() {
    let mut stage = Stage::set_up().await;
    let _runners = [stage.runner(quick(LETTERS)).await, stage.runner(quick(LEDGER)).await];
    let clients = [letter(), entry("anna"), entry("emil"), entry("fritz")];
    let mut load = Load::of(clients.map(|message| (stage.system.client(), message)).into());
    load.release(2 * MESSAGES);
    load.answered(MESSAGES).await;
    stage.system.signal("store-2", ProcessSignal::Freeze).unwrap();
    load.settled().await;
    load.release(MESSAGES);
    load.settled().await;
    let sent = load.stop().await;
    let accepted: Vec<Accepted> = sent.into_iter().flat_map(|sent| sent.accepted).collect();
    stage.all_succeed(&accepted).await;
    stage.system.signal("store-2", ProcessSignal::Thaw).unwrap();
    let later = stage.send_all(&letter(), MESSAGES).await;
    stage.all_succeed(&later).await;
    stage.ends_well(&[accepted, later].concat());
}

fn quick(service: &str) -> RunnerPlan {
    RunnerPlan { work: std::time::Duration::from_millis(2), slots: 8, queue: 32, ..RunnerPlan::of(service) }
}
