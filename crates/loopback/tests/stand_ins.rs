//! The stand-ins themselves: what they answer has to be what the protocol says.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use ruddervalve_loopback::{
    CallbackReceiver, HttpRequest, HttpResponse, InstanceList, ListPlan, ListedRunner, Misbehaviour, Outcome,
    ReceiverPlan, RunLog, Runner, RunnerPhase, RunnerPlan, call, holds,
};

const HERE: IpAddr = IpAddr::V4(Ipv4Addr::LOCALHOST);
const LIMIT: Duration = Duration::from_secs(5);

async fn get(address: SocketAddr, target: &str) -> HttpResponse {
    call(address, &HttpRequest::new("GET", target).with("Host", "here"), LIMIT).await.unwrap()
}

fn listed(number: u16, zone: &str) -> ListedRunner {
    ListedRunner {
        uid: format!("i-{number}"),
        service: "letters".to_owned(),
        address: SocketAddr::new(HERE, number),
        zone: zone.to_owned(),
        capacity: 4,
        phase: RunnerPhase::Ready,
    }
}

fn uids(response: &HttpResponse) -> Vec<String> {
    let body = response.json();
    let instances = body["Instances"].as_array().unwrap();
    instances.iter().map(|instance| instance["Uid"].as_str().unwrap().to_owned()).collect()
}

#[tokio::test]
async fn the_list_has_pages_and_zones() {
    let plan = ListPlan { page_size: 2, rate_per_s: 100.0, lag: Duration::ZERO };
    let list = InstanceList::start(HERE, plan).await.unwrap();
    for number in 1..=3 {
        list.add(listed(number, if number == 2 { "east" } else { "north" }));
    }
    list.drain("i-3");
    let first = get(list.address(), "/instances").await;
    assert_eq!(uids(&first), ["i-1", "i-2"]);
    let token = first.json()["NextPageToken"].as_str().unwrap().to_owned();
    let last = get(list.address(), &format!("/instances?PageToken={token}")).await;
    assert_eq!(uids(&last), ["i-3"]);
    assert_eq!(last.json()["Instances"][0]["Phase"], "draining");
    assert!(last.json()["NextPageToken"].is_null());
    let north = get(list.address(), "/instances?Zone=north").await;
    assert_eq!(uids(&north), ["i-1", "i-3"]);
}

#[tokio::test]
async fn the_list_refuses_calls_over_its_rate() {
    let plan = ListPlan { rate_per_s: 2.0, ..ListPlan::default() };
    let list = InstanceList::start(HERE, plan).await.unwrap();
    let mut statuses = Vec::new();
    for _ in 0..3 {
        statuses.push(get(list.address(), "/instances").await.status);
    }
    assert_eq!(statuses, [200, 200, 429]);
    assert_eq!(list.refused(), 1);
}

#[tokio::test]
async fn the_list_lags() {
    let plan = ListPlan { lag: Duration::from_secs(60), ..ListPlan::default() };
    let list = InstanceList::start(HERE, plan).await.unwrap();
    list.add(listed(1, "north"));
    assert_eq!(uids(&get(list.address(), "/instances").await), Vec::<String>::new());
}

fn delivery(id: &str) -> HttpRequest {
    HttpRequest::new("POST", "/letters/1").with("Host", "here").with("Request-Id", id)
}

async fn runner(plan: RunnerPlan, log: &RunLog) -> Runner {
    let list = Arc::new(InstanceList::start(HERE, ListPlan::default()).await.unwrap());
    Runner::start(HERE, plan, &list, log).await.unwrap()
}

#[tokio::test]
async fn a_runner_signs_what_it_has_done() {
    let log = RunLog::default();
    let runner = runner(RunnerPlan::of("letters"), &log).await;
    let response = call(runner.address(), &delivery("m1"), LIMIT).await.unwrap();
    let run = log.of("m1").remove(0);
    assert_eq!(response.status, 200);
    assert_eq!(response.headers.get("Request-Id"), Some("m1"));
    assert_eq!(response.headers.get("Response-Signature"), Some(run.signature.as_str()));
    assert_eq!(response.headers.get("Instance-Load"), Some("1,0,4"));
    assert_eq!(run.outcome, Some(Outcome::Succeeded));
}

#[tokio::test]
async fn a_runner_says_what_it_has_not_run() {
    let log = RunLog::default();
    let runner = runner(RunnerPlan { queue: 0, slots: 1, ..RunnerPlan::of("letters") }, &log).await;
    let other = delivery("m1").with("Expected-Instance", "i-other");
    let response = call(runner.address(), &other, LIMIT).await.unwrap();
    assert_eq!((response.status, response.headers.get("Not-Executed").is_some()), (421, true));
    runner.misbehave(Misbehaviour::Hang);
    let address = runner.address();
    let hanging = tokio::spawn(async move { call(address, &delivery("m2"), LIMIT).await.map(|_| ()) });
    holds("the run of m2", LIMIT, || !log.of("m2").is_empty()).await.unwrap();
    let full = call(address, &delivery("m3"), LIMIT).await.unwrap();
    assert_eq!((full.status, full.headers.get("Not-Executed").is_some()), (503, true));
    runner.crash();
    assert!(hanging.await.unwrap().is_err());
    holds("the end of m2", LIMIT, || log.of("m2").iter().all(|run| run.outcome == Some(Outcome::Broken)))
        .await
        .unwrap();
    assert!(log.of("m1").is_empty() && log.of("m3").is_empty());
}

#[tokio::test]
async fn a_runner_ends_its_work_at_the_deadline() {
    let log = RunLog::default();
    let runner = runner(RunnerPlan::of("letters"), &log).await;
    runner.misbehave(Misbehaviour::Hang);
    let response = call(runner.address(), &delivery("m1").with("Deadline-Ms", "20"), LIMIT).await.unwrap();
    assert_eq!(response.status, 504);
    assert_eq!(log.of("m1").remove(0).outcome, Some(Outcome::OutOfTime));
}

#[tokio::test]
async fn a_runner_that_drains_is_unwell_and_serves_on() {
    let log = RunLog::default();
    let runner = runner(RunnerPlan::of("letters"), &log).await;
    let well = get(runner.address(), "/health").await;
    assert_eq!((well.status, well.headers.get("Instance-Id")), (200, Some(runner.uid())));
    runner.drain();
    assert_eq!(get(runner.address(), "/health").await.status, 503);
    assert_eq!(call(runner.address(), &delivery("m1"), LIMIT).await.unwrap().status, 200);
}

#[tokio::test]
async fn a_receiver_fails_first_and_refuses_what_is_no_end() {
    let receiver =
        CallbackReceiver::start(HERE, ReceiverPlan { failures: 1, ..ReceiverPlan::default() }).await.unwrap();
    let ended = HttpRequest::new("POST", "/done")
        .with_body(br#"{"Uid":"m1","Phase":"succeeded","Signature":"s"}"#.to_vec());
    let pending = HttpRequest::new("POST", "/done").with_body(br#"{"Uid":"m1","Phase":"pending"}"#.to_vec());
    let mut statuses = Vec::new();
    for request in [&ended, &ended, &pending] {
        statuses.push(call(receiver.address(), request, LIMIT).await.unwrap().status);
    }
    assert_eq!(statuses, [503, 200, 400]);
    assert_eq!(receiver.taken("m1").len(), 1);
}
