//! What an edge makes of answers to appends that come late or refuse.

use bytes::Bytes;
use ruddervalve_edge::core::{ClientNumber, EdgeCore, EdgeOutput, EdgeSettings};
use ruddervalve_edge::front::{FrontRequest, StatusCode};
use ruddervalve_protocol::{
    AppendOutcome, Blob, ConfigurationUpdate, Directory, EdgeToStore, GrantedLease, GroupId, LeaseId,
    ReplicaId, Runner, RunnerList, RunnerPhase, ShardPlacement, StoreMember, StoreToEdge,
};

const A: ReplicaId = ReplicaId(1);
const B: ReplicaId = ReplicaId(2);

fn edge() -> EdgeCore {
    let settings = EdgeSettings {
        locality: ruddervalve_configuration::Locality::new("z", Vec::new()),
        seed: 1,
        other_edges: 1,
        ack_timeout_ms: 5000,
        callback_timeout_ms: 5000,
        callbacks_at_once: 2,
        suspect_after_ms: 100,
        start_hold_ms: 500,
        max_waiting_bytes: 1 << 20,
        store_window_bytes: 1 << 20,
    };
    let mut core = EdgeCore::new(settings);
    let body = r#"{"ResourceVersion":1,"Routes":[{"Name":"r","Hostname":"h.example","PathPrefix":"/","Type":"asynchronous","TimeoutMs":1000,"TargetLatencyMs":100,"PriorityClass":0,"Backend":"s","MaxRetries":3,"Ordered":false,"RetentionS":90.0,"CallbackUrl":false,"ScheduleTargetMs":800}],"Services":[{"Name":"s","HealthPath":"/health","MaxConnections":64,"Protocol":"h1","Tls":false,"RatePerS":0.0,"Idempotent":false,"PullMode":false,"StaticEndpoint":null}]}"#;
    assert!(
        core.set_configuration(1, &ConfigurationUpdate { version: 1, body: Blob::from(body.as_bytes()) })
    );
    let store = |node: &str, replica| StoreMember {
        node: node.into(),
        replica,
        address: "10.0.0.1:1".into(),
        zone: "z".into(),
    };
    let shard = |group, wanted: &str| ShardPlacement {
        group: GroupId(group),
        founders: vec![A, B],
        wanted: vec![wanted.into()],
    };
    core.set_directory(
        1,
        &Directory {
            version: 1,
            stores: vec![store("a", A), store("b", B)],
            coordinators: vec![],
            shards: vec![shard(1, "a"), shard(2, "b")],
        },
    );
    let runner = Runner {
        uid: "u".into(),
        service: "s".into(),
        address: "10.0.1.1:80".into(),
        zone: "z".into(),
        capacity: 4,
        phase: RunnerPhase::Ready,
        cold_remaining_ms: 0,
    };
    core.set_runners(1, &RunnerList { term: 1, sequence: 1, runners: vec![runner] });
    core.store_up(1, A);
    core.store_up(1, B);
    core.store_says(1, A, StoreToEdge::Leading { groups: vec![(GroupId(1), 1)] });
    core.store_says(1, B, StoreToEdge::Leading { groups: vec![(GroupId(2), 1)] });
    core.tick(1);
    let _ = core.outputs();
    core
}

fn request() -> FrontRequest {
    FrontRequest {
        method: "POST".parse().unwrap(),
        host: "h.example".into(),
        path_and_query: "/x".into(),
        request_id: Some("m1".into()),
        delay_ms: None,
        callback_url: None,
        ordering_key: None,
        content_type: String::new(),
        deadline_ms: None,
        body: Bytes::from_static(b"b"),
    }
}

fn appends(core: &mut EdgeCore) -> Vec<(ReplicaId, u64, GroupId, bool)> {
    core.outputs()
        .into_iter()
        .filter_map(|output| match output {
            EdgeOutput::Send(store, EdgeToStore::Append { request, group, lease_here, .. }) => {
                Some((store, request, group, lease_here))
            }
            _ => None,
        })
        .collect()
}

#[test]
fn what_a_store_may_have_kept_goes_to_no_other_shard() {
    let mut core = edge();
    core.request(2, ClientNumber(1), request());
    let first = appends(&mut core)[0];
    let (store, number, group, _) = first;
    // The leader is slow: it is asked again.
    core.tick(403);
    let again = appends(&mut core);
    assert_eq!(again.len(), 1);
    assert_eq!((again[0].0, again[0].2), (store, group));
    // It lost its lease meanwhile: the second append is refused; the first stands in its log and may be committed.
    core.store_says(
        404,
        store,
        StoreToEdge::Appended { request: number, outcome: AppendOutcome::Refused { retry_after_ms: 0 } },
    );
    core.tick(404);
    let third = appends(&mut core);
    assert!(third.iter().all(|(_, _, to, _)| *to == group), "sent to another shard: {third:?}");
}

#[test]
fn what_a_store_may_have_kept_is_never_answered_503() {
    let mut core = edge();
    core.request(2, ClientNumber(1), request());
    let (store, number, ..) = appends(&mut core)[0];
    core.tick(403);
    let _ = appends(&mut core);
    let other = if store == A { B } else { A };
    core.store_down(404, other);
    core.store_says(
        405,
        store,
        StoreToEdge::Appended { request: number, outcome: AppendOutcome::Refused { retry_after_ms: 0 } },
    );
    let mut status = None;
    for now in 406..4000 {
        core.tick(now);
        for output in core.outputs() {
            match output {
                EdgeOutput::Respond(_, response) => status = Some((now, response.status)),
                EdgeOutput::Send(store, EdgeToStore::Append { request, .. }) => {
                    core.store_says(
                        now,
                        store,
                        StoreToEdge::Appended {
                            request,
                            outcome: AppendOutcome::Refused { retry_after_ms: 0 },
                        },
                    );
                }
                _ => {}
            }
        }
    }
    assert_ne!(status.map(|(_, status)| status), Some(StatusCode::SERVICE_UNAVAILABLE));
}

#[test]
fn a_lease_that_comes_after_its_client_was_answered_is_given_back() {
    let mut core = edge();
    core.request(2, ClientNumber(1), request());
    let (store, number, _, lease_here) = appends(&mut core)[0];
    assert!(lease_here);
    let mut answered = false;
    for now in 3..3000 {
        core.tick(now);
        answered |= core.outputs().iter().any(|output| matches!(output, EdgeOutput::Respond(..)));
    }
    assert!(answered);
    let lease = Some(GrantedLease { id: LeaseId { term: 1, number: 1 }, service: "work".to_owned() });
    core.store_says(
        3001,
        store,
        StoreToEdge::Appended { request: number, outcome: AppendOutcome::Accepted { lease } },
    );
    core.tick(3002);
    let outputs = core.outputs();
    let told = outputs.iter().any(|output| {
        matches!(output, EdgeOutput::Send(_, EdgeToStore::Outcome { .. }) | EdgeOutput::Deliver(_))
    });
    assert!(told, "the lease is held by an edge that knows nothing of it");
}

#[test]
fn a_store_that_owes_nothing_is_not_suspected() {
    let mut core = edge();
    core.request(2, ClientNumber(1), request());
    let (store, number, _, _) = appends(&mut core)[0];
    core.store_says(
        5,
        store,
        StoreToEdge::Appended { request: number, outcome: AppendOutcome::Accepted { lease: None } },
    );
    // Nothing is owed to this edge, and nothing is said for 150 ms: less than between two heartbeats.
    core.tick(155);
    let _ = core.outputs();
    core.request(156, ClientNumber(2), FrontRequest { request_id: Some("m2".into()), ..request() });
    let outputs = core.outputs();
    assert!(outputs.iter().any(|output| matches!(output, EdgeOutput::Send(_, EdgeToStore::Append { .. }))));
}
