//! Answers that come to the wrong question, too late, or from a store that has no say any more.

mod core_support;

use core_support::{Play, TARGET_MS, accepted, answers, granted, group, message, status_of, store};
use ruddervalve_edge::core::{DeliveryOrder, EdgeOutput};
use ruddervalve_edge::front::StatusCode;
use ruddervalve_edge::runner::{DeliveryResult, RunnerAnswer};
use ruddervalve_protocol::{
    AppendOutcome, DeliveryOutcome, EdgeToStore, EndPhase, Grant, LeaseId, MessagePhase, StoreToEdge,
};

const OLD_TERM: u64 = 1;
const NEW_TERM: u64 = 2;
const OLD_LEASE: LeaseId = LeaseId { term: OLD_TERM, number: 7 };
const NEW_LEASE: LeaseId = LeaseId { term: NEW_TERM, number: 1 };

fn deliver(shard: u64, id: &str, lease: LeaseId) -> StoreToEdge {
    StoreToEdge::Deliver {
        group: group(shard),
        grant: Box::new(Grant { lease: granted(lease), message: message(id) }),
    }
}

fn leading(shard: u64, term: u64) -> StoreToEdge {
    StoreToEdge::Leading { groups: vec![(group(shard), term)] }
}

fn deliveries(outputs: Vec<EdgeOutput>) -> Vec<DeliveryOrder> {
    let order = |output| match output {
        EdgeOutput::Deliver(order) => Some(*order),
        _ => None,
    };
    outputs.into_iter().filter_map(order).collect()
}

/// Leases whose outcomes are told, and to which store.
fn outcomes(outputs: &[EdgeOutput]) -> Vec<(u64, LeaseId, DeliveryOutcome)> {
    let outcome = |output: &EdgeOutput| match output {
        EdgeOutput::Send(to, EdgeToStore::Outcome { lease, outcome, .. }) => {
            Some((to.0, *lease, outcome.clone()))
        }
        _ => None,
    };
    outputs.iter().filter_map(outcome).collect()
}

/// Questions about messages: store, number, and the id that is asked for.
fn questions(outputs: Vec<EdgeOutput>) -> Vec<(u64, u64, String)> {
    let question = |output| match output {
        EdgeOutput::Send(to, EdgeToStore::Status { request, id, .. }) => Some((to.0, request, id.0)),
        _ => None,
    };
    outputs.into_iter().filter_map(question).collect()
}

fn unknown(request: u64) -> StoreToEdge {
    StoreToEdge::Status { request, leads: true, phase: None, body: None }
}

fn pending(request: u64) -> StoreToEdge {
    StoreToEdge::Status { request, leads: true, phase: Some(MessagePhase::Pending), body: None }
}

fn done() -> DeliveryResult {
    DeliveryResult {
        answer: RunnerAnswer::Succeeded { signature: "s".to_owned() },
        load: None,
        new_connection: false,
        elapsed_ms: 1,
    }
}

// Leases.

#[test]
fn a_lease_of_an_older_term_that_comes_after_the_new_leader_took_stock_is_not_delivered() {
    let mut play = Play::serving();
    // Store 3 takes over shard 2 and is told that nothing of it is held here.
    play.says(3, StoreToEdge::Leading { groups: vec![(group(3), 1), (group(2), NEW_TERM)] });
    play.outputs();
    play.says(2, deliver(2, "m1", OLD_LEASE));
    assert!(deliveries(play.outputs()).is_empty(), "the new leader may have granted it to another edge");
    play.says(3, deliver(2, "m1", NEW_LEASE));
    assert_eq!(deliveries(play.outputs()).len(), 1);
}

#[test]
fn a_promise_with_a_lease_of_an_older_term_is_kept_and_its_lease_is_not_used() {
    let mut play = Play::serving();
    let client = play.post("/p/1", "m1", None);
    let (to, request, shard) = play.append();
    let successor = to % 3 + 1;
    play.says(successor, StoreToEdge::Leading { groups: vec![(group(successor), 1), (shard, NEW_TERM)] });
    play.outputs();
    play.says(to, StoreToEdge::Appended { request, outcome: accepted(Some(OLD_LEASE)) });
    let outputs = play.outputs();
    assert!(!outputs.iter().any(|output| matches!(output, EdgeOutput::Deliver(_))));
    assert_eq!(status_of(outputs, client), StatusCode::ACCEPTED, "a quorum had it before the term ended");
}

#[test]
fn a_lease_that_was_begun_before_the_leader_changed_goes_on_and_is_in_the_stock() {
    let mut play = Play::serving();
    play.says(2, deliver(2, "m1", OLD_LEASE));
    let order = deliveries(play.outputs()).remove(0);
    play.says(3, StoreToEdge::Leading { groups: vec![(group(3), 1), (group(2), NEW_TERM)] });
    let told = play.outputs().into_iter().any(|output| match output {
        EdgeOutput::Send(to, EdgeToStore::Inventory { group: of, items }) => {
            to == store(3) && of == group(2) && items.iter().any(|item| item.lease == Some(OLD_LEASE))
        }
        _ => false,
    });
    assert!(told);
    play.core.delivered(play.now, order.job, &done());
    let told = outcomes(&play.outputs());
    assert!(matches!(told.as_slice(), [(3, OLD_LEASE, DeliveryOutcome::Succeeded { .. })]), "{told:?}");
}

#[test]
fn a_lease_that_is_given_back_does_not_take_the_place_of_a_success_that_is_not_recorded() {
    let mut play = Play::serving();
    let client = play.post("/p/1", "m1", None);
    let (to, request, shard) = play.append();
    // The promise does not come in time; the client is told that nothing is known.
    play.pass(TARGET_MS * 8);
    assert_eq!(answers(play.outputs())[0].0, client);
    // The message was kept, is granted, and succeeds here.
    let number = u64::from(shard.0);
    play.says(to, deliver(number, "m1", LeaseId { term: OLD_TERM, number: 8 }));
    let order = deliveries(play.outputs()).remove(0);
    play.core.delivered(play.now, order.job, &done());
    play.outputs();
    // The promise comes after all, with a lease that was free meanwhile.
    play.says(to, StoreToEdge::Appended { request, outcome: accepted(Some(OLD_LEASE)) });
    play.outputs();
    // The leader is lost before it has recorded anything.
    let successor = to % 3 + 1;
    play.says(successor, StoreToEdge::Leading { groups: vec![(group(successor), 1), (shard, NEW_TERM)] });
    let told = outcomes(&play.outputs());
    let succeeded = told.iter().any(|(_, _, outcome)| matches!(outcome, DeliveryOutcome::Succeeded { .. }));
    assert!(succeeded, "the message would run again: {told:?}");
}

// Appends.

#[test]
fn an_answer_to_an_earlier_sending_does_not_end_the_wait_for_the_later_one() {
    for late in [AppendOutcome::Unknown, AppendOutcome::Refused { retry_after_ms: 500 }] {
        let mut play = Play::serving();
        let client = play.post("/p/1", "m1", None);
        let (to, request, shard) = play.append();
        let successor = to % 3 + 1;
        play.says(successor, StoreToEdge::Leading { groups: vec![(group(successor), 1), (shard, NEW_TERM)] });
        assert_eq!(play.append(), (successor, request, shard));
        play.says(to, StoreToEdge::Appended { request, outcome: late.clone() });
        play.pass(TARGET_MS);
        let outputs = play.outputs();
        assert!(core_support::appends(&outputs).is_empty(), "sent again though its answer is on its way");
        assert!(answers(outputs).is_empty(), "{late:?}");
        play.says(successor, StoreToEdge::Appended { request, outcome: accepted(None) });
        assert_eq!(status_of(play.outputs(), client), StatusCode::ACCEPTED);
    }
}

#[test]
fn a_lease_for_an_append_of_unknown_fate_is_given_back_however_many_have_ended_since() {
    let mut play = Play::serving();
    play.post("/p/1", "late", None);
    let (to, request, _) = play.append();
    play.pass(TARGET_MS * 8);
    play.outputs();
    for number in 0..5_000 {
        play.post("/p/1", &format!("m{number}"), None);
        let (to, request, _) = play.append();
        play.says(to, StoreToEdge::Appended { request, outcome: accepted(None) });
        play.outputs();
    }
    play.says(to, StoreToEdge::Appended { request, outcome: accepted(Some(OLD_LEASE)) });
    let told = outcomes(&play.outputs());
    assert!(matches!(told.as_slice(), [(_, OLD_LEASE, DeliveryOutcome::NotRun { .. })]), "{told:?}");
}

// Questions about messages.

#[test]
fn a_name_of_a_shard_that_is_not_known_here_is_never_not_found() {
    let mut play = Play::serving();
    let client = play.get("/api/message/s9_m1");
    for (to, request, _) in questions(play.outputs()) {
        play.says(to, unknown(request));
    }
    assert_eq!(status_of(play.outputs(), client), StatusCode::SERVICE_UNAVAILABLE);
}

#[test]
fn an_id_that_looks_like_a_name_is_asked_of_all_shards_before_it_is_not_found() {
    for known in [true, false] {
        let mut play = Play::serving();
        let client = play.get("/api/message/s2_m1");
        let first = questions(play.outputs());
        assert_eq!(first.len(), 1);
        play.says(2, unknown(first[0].1));
        let mut answered = Vec::new();
        let all = questions(play.outputs_and(&mut answered));
        assert!(answered.is_empty(), "it may be the id of a message of any shard: {answered:?}");
        assert_eq!(all.len(), 3);
        for (to, request, id) in all {
            assert_eq!(id, "s2_m1");
            play.says(to, if known && to == 3 { pending(request) } else { unknown(request) });
        }
        let expected = if known { StatusCode::OK } else { StatusCode::NOT_FOUND };
        assert_eq!(status_of(play.outputs(), client), expected);
    }
}

#[test]
fn a_late_answer_about_the_id_in_a_name_says_nothing_of_the_whole_name() {
    let mut play = Play::serving();
    let client = play.get("/api/message/s2_m1");
    let of_old_leader = questions(play.outputs()).remove(0).1;
    play.says(3, StoreToEdge::Leading { groups: vec![(group(3), 1), (group(2), NEW_TERM)] });
    let of_new_leader = questions(play.outputs()).remove(0).1;
    play.says(3, unknown(of_new_leader));
    let whole = questions(play.outputs());
    assert_eq!(whole.len(), 3);
    play.says(2, unknown(of_old_leader));
    for (to, request, _) in &whole[..2] {
        play.says(*to, unknown(*request));
    }
    assert!(answers(play.outputs()).is_empty(), "one shard has not answered yet");
    let (to, request, _) = &whole[2];
    play.says(*to, pending(*request));
    assert_eq!(status_of(play.outputs(), client), StatusCode::OK);
}

#[test]
fn a_question_goes_to_the_new_leader_when_the_old_one_does_not_answer() {
    let mut play = Play::serving();
    let client = play.get("/api/message/s2_m1");
    assert_eq!(questions(play.outputs()).len(), 1);
    play.says(3, StoreToEdge::Leading { groups: vec![(group(3), 1), (group(2), NEW_TERM)] });
    let again = questions(play.outputs());
    assert_eq!(again.len(), 1, "the leader that was asked may be frozen");
    assert_eq!(again[0].0, 3);
    play.says(3, pending(again[0].1));
    assert_eq!(status_of(play.outputs(), client), StatusCode::OK);
}

#[test]
fn a_state_that_no_leader_can_tell_is_answered_503_before_the_asker_gives_up() {
    const ASKER_WAITS_MS: u64 = 2_000;
    for shards_led in [0, 2] {
        let mut play = Play::serving();
        for number in shards_led + 1..=3 {
            play.says(number, StoreToEdge::Leading { groups: Vec::new() });
        }
        let client = play.get("/api/message/m1");
        let mut answered = Vec::new();
        for _ in 0..ASKER_WAITS_MS - 100 {
            for (to, request, _) in questions(play.outputs_and(&mut answered)) {
                play.says(to, unknown(request));
            }
            play.pass(1);
        }
        play.outputs_and(&mut answered);
        assert_eq!(answered.len(), 1);
        assert_eq!((answered[0].0, answered[0].1.status), (client, StatusCode::SERVICE_UNAVAILABLE));
    }
}

#[test]
fn an_answer_to_one_question_is_not_the_answer_to_another() {
    let mut play = Play::serving();
    let first = play.get("/api/message/s2_m1");
    let asked_first = questions(play.outputs()).remove(0).1;
    let second = play.get("/api/message/s2_m2");
    let asked_second = questions(play.outputs()).remove(0).1;
    let phase = MessagePhase::Ended { phase: EndPhase::Succeeded, signature: "of-m2".to_owned() };
    let answer = StoreToEdge::Status { request: asked_second, leads: true, phase: Some(phase), body: None };
    play.says(2, answer.clone());
    let told = answers(play.outputs());
    assert_eq!(told.len(), 1);
    assert_eq!(told[0].0, second);
    play.says(2, answer);
    assert!(answers(play.outputs()).is_empty(), "an answer counts once");
    play.says(2, pending(asked_first));
    let told = answers(play.outputs());
    assert_eq!(told.len(), 1);
    assert_eq!(told[0].0, first);
    assert_eq!(told[0].1.body, r#"{"Phase":"pending"}"#);
}

// The end of the process.

#[test]
fn an_edge_that_leaves_is_not_ready_whatever_it_learns_afterwards() {
    let mut play = Play::serving();
    assert!(play.core.is_ready());
    play.core.leave(play.now);
    assert!(!play.core.is_ready());
    play.learn_again();
    play.core.store_down(play.now, store(2));
    play.core.store_up(play.now, store(2));
    play.says(2, leading(2, NEW_TERM));
    play.pass(5_000);
    assert!(!play.core.is_ready());
}

#[test]
fn an_edge_that_leaves_still_promises_and_takes_no_lease() {
    let mut play = Play::serving();
    play.core.leave(play.now);
    play.outputs();
    let client = play.post("/p/1", "m1", None);
    let (to, request, _) = play.append();
    play.says(to, StoreToEdge::Appended { request, outcome: accepted(None) });
    assert_eq!(status_of(play.outputs(), client), StatusCode::ACCEPTED);
    play.says(2, deliver(2, "m2", OLD_LEASE));
    let outputs = play.outputs();
    assert!(matches!(outcomes(&outputs).as_slice(), [(2, OLD_LEASE, DeliveryOutcome::NotRun { .. })]));
    assert!(deliveries(outputs).is_empty());
}

// What travels unchanged.

#[test]
fn an_ordering_key_reaches_the_runner_as_the_client_sent_it() {
    for key in ["k", "Key 1, two", "~!@#$%^&*()_+`{}|[]\\:\";'<>?,./=-", ""] {
        let mut play = Play::serving();
        play.post("/k/1", "m1", Some(key));
        let appended = play.outputs().into_iter().find_map(|output| match output {
            EdgeOutput::Send(to, EdgeToStore::Append { message, group, .. }) => Some((to, message, group)),
            _ => None,
        });
        let (to, kept, shard) = appended.expect("an append");
        assert_eq!(kept.ordering_key.as_deref(), Some(key));
        let grant = Box::new(Grant { lease: granted(OLD_LEASE), message: kept });
        play.says(to.0, StoreToEdge::Deliver { group: shard, grant });
        let order = deliveries(play.outputs()).remove(0);
        assert_eq!(order.delivery.ordering_key.as_deref(), Some(key));
    }
}

/// A process that ends must not cut off a request that it has read.
#[test]
fn all_clients_are_answered_before_the_process_ends() {
    let mut play = Play::serving();
    let unknown = play.post("/p/1", "m1", None);
    play.append();
    let asked = play.get("/api/message/s1_m0");
    play.core.leave(play.now);
    play.core.answer_all(play.now);
    let answered = answers(play.outputs());
    let status =
        |client| answered.iter().find(|(known, _)| *known == client).map(|(_, answer)| answer.status);
    assert_eq!(status(unknown), Some(StatusCode::GATEWAY_TIMEOUT), "a store may have kept it");
    assert_eq!(status(asked), Some(StatusCode::SERVICE_UNAVAILABLE));
    let mut starting = Play::new();
    let held = starting.post("/p/1", "m2", None);
    starting.core.answer_all(starting.now);
    assert_eq!(status_of(starting.outputs(), held), StatusCode::SERVICE_UNAVAILABLE);
}

/// Else it goes on granting to an edge that gives everything back.
#[test]
fn a_new_leader_hears_that_the_edge_ends() {
    let mut play = Play::serving();
    play.core.leave(play.now);
    play.outputs();
    play.says(2, leading(1, NEW_TERM));
    let tells_it =
        |output: &EdgeOutput| matches!(output, EdgeOutput::Send(to, EdgeToStore::Leaving) if *to == store(2));
    assert!(play.outputs().iter().any(tells_it));
}
