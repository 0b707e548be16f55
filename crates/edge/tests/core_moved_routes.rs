//! Routes whose service changes under way.

mod core_support;

use core_support::{CONFIGURATION, Play, accepted, group, message, store};
use ruddervalve_edge::core::{EdgeOutput, JobNumber};
use ruddervalve_edge::runner::{DeliveryResult, NotRunReason, RunnerAnswer};
use ruddervalve_protocol::{
    DeliveryOutcome, EdgeToStore, Grant, GrantedLease, GroupId, LeaseId, StoreToEdge,
};

/// The services that the ordered route leads to in turn: one without a limit, one with a rate, a single endpoint.
const OTHER_SERVICES: [&str; 3] = [
    r#""RatePerS":0.0,"Idempotent":true,"PullMode":false,"StaticEndpoint":null"#,
    r#""RatePerS":5.0,"Idempotent":true,"PullMode":false,"StaticEndpoint":null"#,
    r#""RatePerS":5.0,"Idempotent":true,"PullMode":false,"StaticEndpoint":"127.0.0.7:70""#,
];

/// All routes lead to `other`, of which `fields` tells the rest.
fn moved_to(other: &str, fields: &str) -> String {
    let service = format!(
        r#"{{"Name":"{other}","HealthPath":"/health","MaxConnections":50,"Protocol":"h1","Tls":false,{fields}}}"#
    );
    CONFIGURATION
        .replace(r#""Backend":"work""#, &format!(r#""Backend":"{other}""#))
        .replace(r#""Services":["#, &format!(r#""Services":[{service},"#))
}

/// The shard that a new message of a key goes to.
fn shard_of(play: &mut Play, key: &str) -> GroupId {
    let id = format!("m{}", play.last_client + 1);
    play.post("/k/1", &id, Some(key));
    let (to, request, shard) = play.append();
    play.says(to, StoreToEdge::Appended { request, outcome: accepted(None) });
    play.outputs();
    shard
}

#[test]
fn messages_of_a_key_go_to_one_shard_whatever_service_their_route_leads_to() {
    let mut play = Play::serving();
    let keys: Vec<String> = (0..20).map(|number| format!("key-{number}")).collect();
    let before: Vec<GroupId> = keys.iter().map(|key| shard_of(&mut play, key)).collect();
    let mut version = 1;
    for fields in OTHER_SERVICES {
        for other in ["books", "journal", "supplier"] {
            version += 1;
            play.configure(version, &moved_to(other, fields));
            let after: Vec<GroupId> = keys.iter().map(|key| shard_of(&mut play, key)).collect();
            assert_eq!(after, before, "{other} {fields}");
        }
    }
}

/// Store 1 grants a message that was accepted for `work` and goes to `books` now.
fn grant_for_books(play: &mut Play, number: u64) {
    let lease = GrantedLease { id: LeaseId { term: 1, number }, service: "books".to_owned() };
    let grant = Box::new(Grant { lease, message: message(&format!("m{number}")) });
    play.says(1, StoreToEdge::Deliver { group: group(1), grant });
}

fn result(answer: RunnerAnswer) -> DeliveryResult {
    DeliveryResult { answer, load: None, new_connection: false, elapsed_ms: 1 }
}

/// What a store may still grant of a service, as the edge has told it.
struct StoreCredits {
    left: u32,
}

impl StoreCredits {
    /// Takes what the edge has told store 1; the deliveries that it wants made.
    fn take(&mut self, outputs: Vec<EdgeOutput>, service: &str) -> Vec<JobNumber> {
        let mut jobs = Vec::new();
        for output in outputs {
            match output {
                EdgeOutput::Send(to, EdgeToStore::Credits { services }) if to == store(1) => {
                    let told = services.into_iter().find(|(name, _)| name == service);
                    self.left = told.map_or(0, |(_, count)| count);
                }
                EdgeOutput::Deliver(order) => jobs.push(order.job),
                _ => {}
            }
        }
        jobs
    }
}

#[test]
fn a_store_may_go_on_granting_messages_that_were_accepted_for_another_service() {
    let mut play = Play::serving();
    play.configure(2, &moved_to("books", OTHER_SERVICES[0]));
    play.list_runners(2, &["work", "books"]);
    let mut credits = StoreCredits { left: 0 };
    credits.take(play.outputs(), "books");
    for number in 1..=50 {
        assert!(credits.left > 0, "the store may grant no more after {} messages", number - 1);
        credits.left -= 1;
        grant_for_books(&mut play, number);
        let jobs = credits.take(play.outputs(), "books");
        assert_eq!(jobs.len(), 1);
        let answer = RunnerAnswer::Succeeded { signature: "done".to_owned() };
        play.core.delivered(play.now, jobs[0], &result(answer));
        credits.take(play.outputs(), "books");
    }
}

#[test]
fn a_message_that_did_not_run_comes_again_at_the_pace_of_the_service_that_it_was_sent_to() {
    /// A sixteenth of the route's `ScheduleTargetMs`: there are runners, none of them in doubt.
    const RETRY_MS: u64 = 1_000 / 16;
    let mut play = Play::serving();
    play.configure(2, &moved_to("books", OTHER_SERVICES[0]));
    play.list_runners(2, &["books"]);
    play.outputs();
    grant_for_books(&mut play, 1);
    let delivered = play.outputs().into_iter().find_map(|output| match output {
        EdgeOutput::Deliver(order) => Some(order.job),
        _ => None,
    });
    let answer = RunnerAnswer::NotRun { reason: NotRunReason::Full503, retry_after_ms: None };
    play.core.delivered(play.now, delivered.expect("a delivery"), &result(answer));
    let outcome = play.outputs().into_iter().find_map(|output| match output {
        EdgeOutput::Send(_, EdgeToStore::Outcome { outcome, .. }) => Some(outcome),
        _ => None,
    });
    assert_eq!(outcome, Some(DeliveryOutcome::NotRun { retry_after_ms: RETRY_MS }));
}
