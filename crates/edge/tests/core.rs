//! What an edge promises to clients and repeats to stores, without I/O.

mod core_support;

use bytes::Bytes;
use core_support::{
    CONFIGURATION, HOLD_MS, Play, SUSPECT_MS, TARGET_MS, accepted, answers, appends, group, status_of, store,
};
use ruddervalve_edge::core::EdgeOutput;
use ruddervalve_edge::front::{FrontHeader, FrontRequest, Method, StatusCode};
use ruddervalve_edge::runner::{DeliveryResult, RunnerAnswer};
use ruddervalve_protocol::{
    AppendOutcome, Blob, ConfigurationUpdate, DeliveryOutcome, Directory, EdgeToStore, EndPhase, LeaseId,
    MessagePhase, StoreToEdge,
};

const LEASE: LeaseId = LeaseId { term: 1, number: 1 };

#[test]
fn a_message_is_promised_only_after_a_leader_kept_it() {
    let mut play = Play::serving();
    let client = play.post("/p/1", "m1", None);
    let (to, request, _) = play.append();
    assert_eq!(to, 1, "the leader in the own zone");
    play.pass(10);
    assert!(answers(play.outputs()).is_empty());
    play.says(to, StoreToEdge::Appended { request, outcome: accepted(None) });
    let answers = answers(play.outputs());
    assert_eq!((answers[0].0, answers[0].1.status), (client, StatusCode::ACCEPTED));
    assert_eq!(answers[0].1.headers, [FrontHeader::MessageId("s1_m1".to_owned())]);
}

#[test]
fn connections_are_shared_among_as_many_edges_as_were_told_twice() {
    let mut play = Play::serving();
    let mut connections = |told: u32| {
        play.core.set_edges(play.now, told);
        let client = play.post("/p/1", &format!("m{}", play.last_client), None);
        let (to, request, _) = play.append();
        let lease = LeaseId { term: 1, number: client.0 };
        play.says(to, StoreToEdge::Appended { request, outcome: accepted(Some(lease)) });
        let orders = play.outputs().into_iter().filter_map(|output| match output {
            EdgeOutput::Deliver(order) => Some(order.delivery.max_connections_here),
            _ => None,
        });
        orders.last().expect("a delivery")
    };
    // 50 for all of them; the guess at the start is two.
    assert_eq!(connections(5), 10);
    assert_eq!(connections(1), 10, "a coordinator that has just started does not know all edges");
    assert_eq!(connections(1), 50);
}

#[test]
fn a_directory_and_a_configuration_that_are_no_newer_are_passed_over() {
    let mut play = Play::serving();
    assert!(!play.core.set_directory(play.now, &Directory { version: 1, ..Directory::default() }));
    assert!(play.core.set_directory(play.now, &Directory { version: 3, ..Directory::default() }));
    assert!(!play.core.set_directory(play.now, &Directory { version: 2, ..Directory::default() }));
    let body = Blob::from(CONFIGURATION.replace("/p/", "/q/").as_bytes());
    assert!(!play.core.set_configuration(play.now, &ConfigurationUpdate { version: 1, body }));
}

#[test]
fn a_coordinator_whose_office_ended_does_not_say_how_many_edges_there_are() {
    let mut play = Play::serving();
    for (term, edges) in [(2, 5), (1, 1), (1, 1)] {
        play.core.coordinator_leads(play.now, term, edges);
    }
    play.post("/p/1", "m1", None);
    let (to, request, _) = play.append();
    play.says(to, StoreToEdge::Appended { request, outcome: accepted(Some(LEASE)) });
    let orders = play.outputs().into_iter().filter_map(|output| match output {
        EdgeOutput::Deliver(order) => Some(order.delivery.max_connections_here),
        _ => None,
    });
    assert_eq!(orders.last(), Some(10), "50 for the five of term 2");
}

#[test]
fn a_lease_with_the_promise_is_delivered_and_its_outcome_repeated_until_it_is_recorded() {
    let mut play = Play::serving();
    play.post("/p/1", "m1", None);
    let (to, request, shard) = play.append();
    play.says(to, StoreToEdge::Appended { request, outcome: accepted(Some(LEASE)) });
    let orders = play.outputs().into_iter().filter_map(|output| match output {
        EdgeOutput::Deliver(order) => Some(order),
        _ => None,
    });
    let order = orders.last().expect("a delivery");
    assert_eq!(order.delivery.request_id, "m1");
    assert_eq!(order.delivery.expected_instance.as_deref(), Some("i-1"));
    assert_eq!(order.delivery.deadline_ms, 2_000);
    let answer = RunnerAnswer::Succeeded { signature: "sig".to_owned() };
    let result = DeliveryResult { answer, load: None, new_connection: true, elapsed_ms: 5 };
    play.core.delivered(play.now, order.job, &result);
    let outcomes = |outputs: Vec<EdgeOutput>| {
        let outcome = |output| match output {
            EdgeOutput::Send(to, EdgeToStore::Outcome { lease, outcome, .. }) => Some((to, lease, outcome)),
            _ => None,
        };
        outputs.into_iter().filter_map(outcome).collect::<Vec<_>>()
    };
    let succeeded = DeliveryOutcome::Succeeded { signature: "sig".to_owned() };
    assert_eq!(outcomes(play.outputs()), [(store(1), LEASE, succeeded.clone())]);
    // Another leader has not heard of it.
    play.core.store_down(play.now, store(1));
    play.says(2, StoreToEdge::Leading { groups: vec![(group(2), 1), (shard, 2)] });
    assert_eq!(outcomes(play.outputs()), [(store(2), LEASE, succeeded)]);
    play.says(2, StoreToEdge::OutcomeRecorded { group: shard, id: order_id("m1"), lease: LEASE });
    play.says(3, StoreToEdge::Leading { groups: vec![(group(3), 1), (shard, 3)] });
    assert!(outcomes(play.outputs()).is_empty());
    assert!(play.core.is_idle());
}

fn order_id(id: &str) -> ruddervalve_protocol::MessageId {
    ruddervalve_protocol::MessageId(id.to_owned())
}

#[test]
fn what_a_store_refused_goes_to_another_and_what_it_may_have_kept_does_not() {
    let mut play = Play::serving();
    play.post("/p/1", "m1", None);
    let (to, request, shard) = play.append();
    let refused = AppendOutcome::Refused { retry_after_ms: 0 };
    play.says(to, StoreToEdge::Appended { request, outcome: refused });
    let (_, _, elsewhere) = play.append();
    assert_ne!(elsewhere, shard);

    let mut play = Play::serving();
    play.post("/p/1", "m1", None);
    let (to, request, shard) = play.append();
    play.core.store_down(play.now, store(to));
    assert!(appends(&play.outputs()).is_empty());
    play.says(2, StoreToEdge::Leading { groups: vec![(group(2), 1), (shard, 2)] });
    assert_eq!(play.append(), (2, request, shard), "the same shard, under the same id");
}

#[test]
fn nothing_is_promised_about_a_message_of_unknown_fate() {
    let mut play = Play::serving();
    let client = play.post("/p/1", "m1", None);
    let (to, ..) = play.append();
    play.core.store_down(play.now, store(to));
    play.pass(TARGET_MS * 8);
    let status = status_of(play.outputs(), client);
    assert_eq!(status, StatusCode::GATEWAY_TIMEOUT);
}

#[test]
fn a_message_that_was_never_sent_may_come_back() {
    let mut play = Play::serving();
    for number in 1..=3 {
        play.says(number, StoreToEdge::Leading { groups: Vec::new() });
    }
    let client = play.post("/k/1", "m1", Some("key"));
    play.pass(TARGET_MS * 4 - 1);
    let held = play.outputs();
    assert!(appends(&held).is_empty());
    assert!(answers(held).is_empty());
    play.pass(1);
    let answers = answers(play.outputs());
    assert_eq!((answers[0].0, answers[0].1.status), (client, StatusCode::SERVICE_UNAVAILABLE));
    let says_when = |header: &FrontHeader| matches!(header, FrontHeader::RetryAfterSeconds(1..));
    assert!(answers[0].1.headers.iter().any(says_when));
}

#[test]
fn messages_of_a_key_go_to_one_shard() {
    let mut play = Play::serving();
    let mut shards = Vec::new();
    for number in 0..20 {
        play.post("/k/1", &format!("m{number}"), Some("key"));
        shards.push(play.append().2);
    }
    shards.dedup();
    assert_eq!(shards.len(), 1);
}

#[test]
fn a_store_that_owes_an_answer_and_is_silent_gets_nothing_new() {
    let mut play = Play::serving();
    play.post("/p/1", "m1", None);
    assert_eq!(play.append().0, 1);
    play.pass(SUSPECT_MS);
    play.post("/p/1", "m2", None);
    assert_ne!(play.append().0, 1);
    // It is heard again.
    play.says(1, StoreToEdge::Alive);
    play.outputs();
    play.post("/p/1", "m3", None);
    assert_eq!(play.append().0, 1);
}

#[test]
fn while_most_stores_are_silent_clients_are_told_at_once() {
    let mut play = Play::serving();
    for number in 0..30 {
        play.post("/k/1", &format!("k{number}"), Some(&format!("key{number}")));
    }
    let asked: std::collections::BTreeSet<u64> =
        appends(&play.outputs()).into_iter().map(|(to, ..)| to).collect();
    assert_eq!(asked.len(), 3, "keys are spread over all shards");
    play.pass(SUSPECT_MS);
    let client = play.post("/p/1", "m1", None);
    assert_eq!(status_of(play.outputs(), client), StatusCode::SERVICE_UNAVAILABLE);
}

#[test]
fn a_starting_edge_holds_requests_until_it_knows_stores() {
    let mut play = Play::new();
    let early = play.post("/p/1", "m1", None);
    play.pass(10);
    assert!(play.outputs().is_empty());
    for number in 1..=3 {
        play.core.store_up(play.now, store(number));
        play.says(number, StoreToEdge::Leading { groups: vec![(group(number), 1)] });
    }
    play.learn();
    let (to, request, _) = play.append();
    play.says(to, StoreToEdge::Appended { request, outcome: accepted(None) });
    assert_eq!(status_of(play.outputs(), early), StatusCode::ACCEPTED);

    let mut play = Play::new();
    let client = play.post("/p/1", "m1", None);
    play.pass(HOLD_MS);
    assert_eq!(status_of(play.outputs(), client), StatusCode::SERVICE_UNAVAILABLE);
}

#[test]
fn the_state_of_a_message_is_asked_of_its_shard_alone() {
    let mut play = Play::serving();
    let client = play.get("/api/message/s2_m1");
    let asked: Vec<_> = play
        .outputs()
        .into_iter()
        .filter_map(|output| match output {
            EdgeOutput::Send(to, EdgeToStore::Status { request, id, .. }) => Some((to, request, id)),
            _ => None,
        })
        .collect();
    assert_eq!(asked.len(), 1);
    assert_eq!((asked[0].0, &asked[0].2), (store(2), &order_id("m1")));
    let phase = MessagePhase::Ended { phase: EndPhase::Succeeded, signature: "a\"b".to_owned() };
    let answer = StoreToEdge::Status { request: asked[0].1, leads: true, phase: Some(phase), body: None };
    play.says(2, answer);
    let answers = answers(play.outputs());
    assert_eq!(answers[0].0, client);
    assert_eq!(answers[0].1.body, r#"{"Phase":"succeeded","Signature":"a\"b"}"#);
}

#[test]
fn a_message_that_no_shard_knows_is_not_found_and_a_shard_without_a_leader_is_asked_again() {
    let mut play = Play::serving();
    let client = play.get("/api/message/whatever");
    let asked = |outputs: Vec<EdgeOutput>| -> Vec<(u64, u64)> {
        let status = |output| match output {
            EdgeOutput::Send(to, EdgeToStore::Status { request, .. }) => Some((to.0, request)),
            _ => None,
        };
        outputs.into_iter().filter_map(status).collect()
    };
    let first = asked(play.outputs());
    assert_eq!(first.len(), 3);
    for (number, (to, request)) in first.into_iter().enumerate() {
        let leads = number > 0;
        play.says(to, StoreToEdge::Status { request, leads, phase: None, body: None });
    }
    assert!(answers(play.outputs()).is_empty());
    play.pass(150);
    let again = asked(play.outputs());
    assert_eq!(again.len(), 1);
    play.says(again[0].0, StoreToEdge::Status { request: again[0].1, leads: true, phase: None, body: None });
    assert_eq!(status_of(play.outputs(), client), StatusCode::NOT_FOUND);
}

#[test]
fn what_cannot_be_a_message_is_refused_with_its_reason() {
    let mut play = Play::serving();
    let client = play.post("/nowhere", "m1", None);
    assert_eq!(status_of(play.outputs(), client), StatusCode::NOT_FOUND);
    let mut request = FrontRequest {
        method: Method::POST,
        host: "a.example".to_owned(),
        path_and_query: "/p/1".to_owned(),
        request_id: None,
        delay_ms: None,
        callback_url: None,
        ordering_key: None,
        content_type: String::new(),
        deadline_ms: None,
        body: Bytes::new(),
    };
    let client = play.request(request.clone());
    assert_eq!(status_of(play.outputs(), client), StatusCode::BAD_REQUEST);
    request.request_id = Some("m2".to_owned());
    request.callback_url = Some("ftp://somewhere/else".to_owned());
    let client = play.request(request);
    assert_eq!(status_of(play.outputs(), client), StatusCode::BAD_REQUEST);
}
