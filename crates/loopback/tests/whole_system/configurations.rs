//! Configurations: the loss of the leading coordinator, repeats, races, and what is invalid.

use std::net::SocketAddr;
use std::time::Duration;

use ruddervalve_loopback::{
    ConfigurationPlan, HttpRequest, HttpResponse, MachineRole, Message, Route, RunnerPlan, call, eventually,
};

use crate::stage::{HOST, LETTERS, STEP, Stage};

const ASK: Duration = Duration::from_secs(1);

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn the_leading_coordinator_is_lost_and_orders_are_taken() {
    let mut stage = Stage::set_up().await;
    let _runner = stage.runner(RunnerPlan::of(LETTERS)).await;
    let leader = leading_coordinator(&stage).await;
    stage.system.kill(&leader).unwrap();
    let operator = stage.system.operator();
    let second = with_route(&stage.configuration, 4, "/parcels/");
    operator.replace(1, &second, STEP).await.unwrap();
    operator.replace(1, &second, STEP).await.unwrap();
    assert_eq!(operator.newest(STEP).await.unwrap().body, second.to_bytes());
    let parcel = Message::to(HOST, "/parcels/1").with_body("heavy");
    for front in stage.system.fronts() {
        is_taken(front, &parcel).await;
    }
    stage.system.restart(&leader).unwrap();
    let third = with_route(&second, 9, "/crates/");
    let rival = with_route(&second, 9, "/barrels/");
    let addresses = stage.system.control_addresses();
    let (first, last) = (addresses[0], addresses[2]);
    let (one, other) =
        tokio::join!(clear(&stage, first, 4, third.to_bytes()), clear(&stage, last, 4, rival.to_bytes()),);
    let mut statuses = [one.status, other.status];
    statuses.sort_unstable();
    assert_eq!(statuses, [200, 412]);
    let winner = if one.status == 200 { &third } else { &rival };
    assert_eq!(operator.newest(STEP).await.unwrap().body, winner.to_bytes());
    operator.replace(4, winner, STEP).await.unwrap();
    stage.ends_well(&[]);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_emptied_coordinator_refills_and_another_may_be_lost() {
    let mut stage = Stage::set_up().await;
    let operator = stage.system.operator();
    let names = stage.system.names(MachineRole::Coordinator);
    let mut current = stage.configuration.clone();
    for name in &names {
        stage.system.lose_disk(name).unwrap();
        let version = current.resource_version;
        let next = with_route(&current, version + 3, &format!("/parcels-{version}/"));
        operator.replace(version, &next, STEP).await.unwrap();
        current = next;
        stage.system.restart(name).unwrap();
        stage.system.back_in_sync(name).await.unwrap();
    }
    assert_eq!(operator.newest(STEP).await.unwrap().body, current.to_bytes());
    let parcel = Message::to(HOST, "/parcels-1/1").with_body("heavy");
    for front in stage.system.fronts() {
        is_taken(front, &parcel).await;
    }
    stage.ends_well(&[]);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn invalid_configurations_are_refused_with_their_place() {
    let mut stage = Stage::set_up().await;
    let operator = stage.system.operator();
    let newer = with_route(&stage.configuration, 2, "/parcels/");
    let mut unknown_service = newer.clone();
    unknown_service.routes[2].backend = "nobody".to_owned();
    let mut same_prefix = newer.clone();
    same_prefix.routes[2].path_prefix = "/letters/".to_owned();
    let mut no_time = newer.clone();
    no_time.routes[2].timeout_ms = 0;
    let not_higher = ConfigurationPlan { resource_version: 1, ..newer.clone() };
    let mut cut = newer.to_bytes();
    cut.truncate(cut.len() - 2);
    let invalid = [
        (unknown_service.to_bytes(), "/Routes/2/Backend"),
        (same_prefix.to_bytes(), "/Routes/2"),
        (no_time.to_bytes(), "/Routes/2/TimeoutMs"),
        (not_higher.to_bytes(), ""),
        (cut, ""),
    ];
    for (body, place) in invalid {
        let response = operator.replace_bytes(1, body, STEP).await.unwrap();
        assert!((400..500).contains(&response.status), "{response:?}");
        let told = response.json();
        let at = told.get("At").and_then(|at| at.as_str()).unwrap_or_default();
        assert!(at.starts_with(place), "{place}: {told}");
        assert!(told.get("Error").is_some(), "{told}");
        assert_eq!(operator.newest(STEP).await.unwrap().body, stage.configuration.to_bytes());
    }
    operator.replace(1, &newer, STEP).await.unwrap();
    stage.ends_well(&[]);
}

fn with_route(base: &ConfigurationPlan, version: u64, prefix: &str) -> ConfigurationPlan {
    let mut next = base.clone();
    next.resource_version = version;
    let name = format!("r{}", prefix.replace('/', "-"));
    next.routes.push(Route { name, ..Route::to(LETTERS, HOST, prefix) });
    next
}

/// Sends an order to one coordinator until it gives a clear answer.
async fn clear(stage: &Stage, coordinator: SocketAddr, base: u64, body: Vec<u8>) -> HttpResponse {
    let operator = stage.system.operator();
    let send = async || {
        let response = operator.replace_at(coordinator, base, body.clone()).await.ok()?;
        (response.status < 500 && response.status != 307).then_some(response)
    };
    eventually("a clear answer", STEP, send).await.unwrap()
}

/// The name of the coordinator that does not send callers on to another.
async fn leading_coordinator(stage: &Stage) -> String {
    let request = HttpRequest::new("GET", "/api/Config.Get").with("Host", "control");
    let names = stage.system.names(MachineRole::Coordinator);
    let addresses = stage.system.control_addresses();
    let look = async || {
        for (name, address) in names.iter().zip(&addresses) {
            if call(*address, &request, ASK).await.is_ok_and(|response| response.status == 200) {
                return Some(name.clone());
            }
        }
        None
    };
    eventually("a leading coordinator", STEP, look).await.unwrap()
}

async fn is_taken(front: SocketAddr, message: &Message) {
    let send = async || {
        let request = message.request(&ruddervalve_loopback::Client::new_request_id());
        let response = call(front, &request, ASK).await.ok()?;
        (response.status == 202).then_some(())
    };
    eventually("an edge that takes the new route", STEP, send).await.unwrap();
}
