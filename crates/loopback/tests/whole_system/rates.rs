//! A single endpoint with a rate.

use std::time::Duration;

use ruddervalve_loopback::{Bounds, Message, ReceiverPlan, Route, Runner, RunnerPlan, Service};

use crate::load::Load;
use crate::stage::{HOST, STEP, Stage};

const DESK: &str = "desk";
const RATE_PER_S: f64 = 20.0;
const MESSAGES: usize = 70;
/// Arrivals beyond the rate that a window may hold, whatever its length.
const SLACK: f64 = 5.0;

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_endpoint_gets_no_more_than_its_rate() {
    let bounds = Bounds { origin_window_s: 1.0, ..Bounds::default() };
    let mut stage = Stage::of(bounds.clone(), ReceiverPlan::default()).await;
    let plan = RunnerPlan { slots: 16, ..RunnerPlan::of(DESK) };
    let endpoint = Runner::start_unlisted(stage.system.next_ip(), plan, &stage.log).await.unwrap();
    let mut next = stage.configuration.clone();
    next.resource_version = 2;
    next.routes.push(Route::to(DESK, HOST, "/desk/"));
    let listed = Service::listed(DESK);
    next.services.push(Service {
        rate_per_s: RATE_PER_S,
        static_endpoint: Some(endpoint.address()),
        ..listed
    });
    stage.system.operator().replace(1, &next, STEP).await.unwrap();
    let message = Message::to(HOST, "/desk/price").with_body("blue");
    let first = stage.sends_once_in_force(&message).await;
    let mut load = Load::of((0..4).map(|_| (stage.system.client(), message.clone())).collect());
    load.release(MESSAGES);
    load.settled().await;
    let mut all = vec![first];
    for client in load.stop().await {
        assert!(client.failed.is_empty(), "{:?}", client.failed);
        all.extend(client.accepted);
    }
    stage.all_succeed(&all).await;
    let arrivals: Vec<_> = stage.log.all().into_iter().map(|run| run.began).collect();
    let window = Duration::from_secs_f64(bounds.origin_window_s);
    let most = RATE_PER_S * bounds.origin_window_s * bounds.origin_overshoot + SLACK;
    for from in &arrivals {
        let within = arrivals.iter().filter(|at| **at >= *from && **at < *from + window).count();
        assert!(within as f64 <= most, "{within} arrivals within {window:?}, {most} allowed");
    }
    stage.ends_well(&all);
}
