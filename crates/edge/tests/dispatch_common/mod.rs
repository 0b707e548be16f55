//! What the tests of the dispatch share: configurations, lists and an edge that is driven by hand.
#![allow(dead_code)]

use ruddervalve_configuration::Configuration;
use ruddervalve_configuration::Locality;
use ruddervalve_edge::dispatch::{Dispatch, DispatchOutcome, DispatchSettings, DispatchStep, RunnerLoad};
use ruddervalve_protocol::{Runner, RunnerList, RunnerPhase};

/// The zone of the edge under test.
pub const HOME: &str = "zone-0";

/// A service of a configuration, with one route of the same name.
pub struct ServiceLine<'a> {
    pub name: &'a str,
    pub max_connections: u32,
    pub schedule_target_ms: u64,
    pub endpoint: Option<&'a str>,
}

impl<'a> ServiceLine<'a> {
    pub fn listed(name: &'a str) -> Self {
        Self { name, max_connections: 96, schedule_target_ms: 1_000, endpoint: None }
    }
}

/// A configuration with these services, each with a route that goes by its name.
pub fn configuration(version: u64, services: &[ServiceLine<'_>]) -> Configuration {
    let routes: Vec<String> = services.iter().map(route).collect();
    let lines: Vec<String> = services.iter().map(service).collect();
    let body = format!(
        r#"{{"ResourceVersion":{version},"Routes":[{}],"Services":[{}],"Limits":{{"MaxHeaderBytes":16384,
        "MaxBodyBytes":262144,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}}}}"#,
        routes.join(","),
        lines.join(",")
    );
    Configuration::parse(body.as_bytes()).unwrap()
}

fn route(line: &ServiceLine<'_>) -> String {
    let ServiceLine { name, schedule_target_ms, .. } = line;
    format!(
        r#"{{"Name":"{name}","Hostname":"{name}.example","PathPrefix":"/","Type":"asynchronous","TimeoutMs":2000,
        "TargetLatencyMs":120,"PriorityClass":1,"Backend":"{name}","MaxRetries":4,"Ordered":false,"RetentionS":90.0,
        "CallbackUrl":false,"ScheduleTargetMs":{schedule_target_ms}}}"#
    )
}

fn service(line: &ServiceLine<'_>) -> String {
    let ServiceLine { name, max_connections, .. } = line;
    let endpoint = line.endpoint.map_or("null".to_owned(), |endpoint| format!("\"{endpoint}\""));
    format!(
        r#"{{"Name":"{name}","HealthPath":"/health","MaxConnections":{max_connections},"Protocol":"h1","Tls":false,
        "RatePerS":0.0,"Idempotent":false,"PullMode":false,"StaticEndpoint":{endpoint}}}"#
    )
}

/// A ready runner; its address follows from its uid.
pub fn runner(service: &str, uid: &str, zone: &str, capacity: u32) -> Runner {
    Runner {
        uid: uid.to_owned(),
        service: service.to_owned(),
        address: format!("{uid}:80"),
        zone: zone.to_owned(),
        capacity,
        phase: RunnerPhase::Ready,
        cold_remaining_ms: 0,
    }
}

/// `count` ready runners of a service at home, named r0, r1 and so on.
pub fn runners(service: &str, count: usize, capacity: u32) -> Vec<Runner> {
    (0..count).map(|number| runner(service, &format!("r{number}"), HOME, capacity)).collect()
}

/// A list of one term.
pub fn list(sequence: u64, runners: &[Runner]) -> RunnerList {
    RunnerList { term: 1, sequence, runners: runners.to_vec() }
}

/// An edge at home that knows nothing.
pub fn edge(seed: u64, other_edges: u32) -> Dispatch {
    Dispatch::new(DispatchSettings { locality: Locality::new(HOME, Vec::new()), seed, other_edges })
}

/// An edge at home that knows one service and its runners, at time 0.
pub fn edge_with(seed: u64, service: &str, runners: &[Runner]) -> Dispatch {
    let mut edge = edge(seed, 0);
    edge.set_configuration(0, &configuration(1, &[ServiceLine::listed(service)]));
    edge.set_runners(0, &list(1, runners));
    edge
}

/// A load with an answer.
pub fn load(running: u32, waiting: u32, slots: u32) -> Option<RunnerLoad> {
    Some(RunnerLoad { running, waiting, slots })
}

/// Where a job of a service is delivered; none if it is not delivered at once.
pub fn start(edge: &mut Dispatch, now: u64, job: u64, service: &str) -> Option<String> {
    delivered(&edge.start(now, job, service, service), job)
}

/// The runner that the steps deliver the job to.
pub fn delivered(steps: &[DispatchStep], job: u64) -> Option<String> {
    steps.iter().find_map(|step| match step {
        DispatchStep::Deliver { job: of, uid, .. } if *of == job => uid.clone(),
        _ => None,
    })
}

/// After how long the job may come again, if the steps give it back.
pub fn given_back(steps: &[DispatchStep], job: u64) -> Option<u64> {
    steps.iter().find_map(|step| match step {
        DispatchStep::GiveBack { job: of, retry_after_ms } if *of == job => Some(*retry_after_ms),
        _ => None,
    })
}

/// The wake-up that the steps ask for.
pub fn wake(steps: &[DispatchStep]) -> Option<u64> {
    steps.iter().find_map(|step| match step {
        DispatchStep::WakeAt(at) => Some(*at),
        _ => None,
    })
}

/// A job was served and the runner is empty.
pub fn served_empty(edge: &mut Dispatch, now: u64, job: u64, slots: u32) -> Vec<DispatchStep> {
    edge.finished(now, job, DispatchOutcome::Served, load(0, 0, slots))
}
