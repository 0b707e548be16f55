//! Bodies of which many are more than may wait on a connection.

use std::collections::BTreeSet;
use std::time::Duration;

use ruddervalve_loopback::{
    Accepted, MachineRole, Message, ProcessSignal, ReceiverPlan, Route, Runner, RunnerPlan, Service,
    SystemPlan, holds,
};
use tokio::task::JoinSet;

use crate::stage::{HOST, STEP, Stage, plan};

const ARCHIVE: &str = "archive";
/// `MemoryMb`: a connection is ended when more than a sixteenth of it waits.
const MEMORY_MB: u64 = 32;
const BODY_BYTES: usize = 128_000;
/// Messages of which half are more than that, so that they are too many for one edge of two.
const MESSAGES: usize = 60;
/// `MaxConnections` of the archive, and messages that it works on at the same time.
const CONNECTIONS: u32 = 128;
/// How long it works on a message: longer than it takes to send all of them.
const WORK: Duration = Duration::from_secs(3);
/// Longer than any test.
const DELAY_MS: u64 = 50_000;

/// A system with little memory and a single endpoint that takes many messages at once.
async fn set_up() -> (Stage, Runner) {
    let stage = Stage::planned(SystemPlan { memory_mb: MEMORY_MB, ..plan() }, ReceiverPlan::default()).await;
    let plan = RunnerPlan {
        slots: CONNECTIONS,
        queue: CONNECTIONS,
        max_connections: CONNECTIONS,
        work: WORK,
        ..RunnerPlan::of(ARCHIVE)
    };
    let archive = Runner::start_unlisted(stage.system.next_ip(), plan, &stage.log).await.unwrap();
    let mut next = stage.configuration.clone();
    next.resource_version = 2;
    next.routes.push(Route { timeout_ms: 10_000, ..Route::to(ARCHIVE, HOST, "/archive/") });
    let listed = Service::listed(ARCHIVE);
    let static_endpoint = Some(archive.address());
    next.services.push(Service { max_connections: CONNECTIONS, static_endpoint, ..listed });
    stage.system.operator().replace(1, &next, STEP).await.unwrap();
    (stage, archive)
}

fn large() -> Message {
    Message { body: vec![b'x'; BODY_BYTES], ..Message::to(HOST, "/archive/formula") }
}

/// Guards against grants that overflow the connection of their edge, and are all made again once it has come back.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn large_messages_that_come_free_at_once_reach_an_edge() {
    let (mut stage, _archive) = set_up().await;
    let mut all = vec![stage.sends_once_in_force(&large()).await];
    all.extend(stage.send_all(&large(), MESSAGES - 1).await);
    let have_begun = || all.iter().all(|message| !stage.log.of(&message.request_id).is_empty());
    holds("the start of all runs", STEP, have_begun).await.unwrap();
    let edges = stage.system.names(MachineRole::Edge);
    for edge in &edges {
        stage.system.signal(edge, ProcessSignal::Kill).unwrap();
    }
    for edge in &edges {
        stage.system.kill(edge).unwrap();
        stage.system.restart(edge).unwrap();
    }
    stage.system.ready(STEP).await.unwrap();
    let again = || all.iter().filter(|message| stage.log.of(&message.request_id).len() > 1).count();
    let all_ran = || all.iter().all(|message| stage.log.successes(&message.request_id) > 0);
    let ended = holds("a success of all", STEP, all_ran).await;
    assert!(ended.is_ok(), "{} of {MESSAGES} messages have reached the endpoint again", again());
    stage.all_succeed(&all).await;
    stage.ends_well(&all);
}

/// Guards against answers that overflow the connection of the edge that asked for them.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn many_large_bodies_that_are_asked_for_at_once_all_come() {
    let (mut stage, _archive) = set_up().await;
    let delayed = Message { delay_ms: Some(DELAY_MS), ..large() };
    let mut all = vec![stage.sends_once_in_force(&delayed).await];
    all.extend(stage.send_all(&delayed, MESSAGES - 1).await);
    let edge = stage.system.fronts()[0];
    let mut asked = JoinSet::new();
    for message in all.clone() {
        let client = stage.system.client();
        asked.spawn(async move { (client.body_at(edge, &message).await, message) });
    }
    let mut missing = BTreeSet::new();
    while let Some(answered) = asked.join_next().await {
        let (body, message): (Option<Vec<u8>>, Accepted) = answered.unwrap();
        if body.is_none_or(|body| body.len() != BODY_BYTES) {
            missing.insert(message.name);
        }
    }
    assert!(missing.is_empty(), "{} of {MESSAGES} bodies did not come: {missing:?}", missing.len());
    stage.ends_well(&all);
}
