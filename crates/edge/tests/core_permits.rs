//! Deliveries to services with a limit: the shard that counts the service permits them, wherever the message lies.

mod core_support;

use core_support::{CONFIGURATION, Play, group, message, store};
use ruddervalve_edge::core::{EdgeOutput, JobNumber};
use ruddervalve_edge::runner::{DeliveryResult, RunnerAnswer, UnclearReason};
use ruddervalve_protocol::{
    DeliveryOutcome, EdgeToStore, Grant, GrantedLease, GroupId, LeaseId, PermitNumber, StoreToEdge,
};

/// `ScheduleTargetMs` of all routes.
const SCHEDULE_TARGET_MS: u64 = 1_000;
const SHARDS: u64 = 3;

/// All routes lead to `service`, which has a rate.
fn limited(service: &str) -> String {
    leading_to(service, 5.0)
}

fn leading_to(service: &str, rate_per_s: f64) -> String {
    CONFIGURATION
        .replace(r#""Backend":"work""#, &format!(r#""Backend":"{service}""#))
        .replace(r#""Name":"work""#, &format!(r#""Name":"{service}""#))
        .replace(r#""RatePerS":0.0"#, &format!(r#""RatePerS":{rate_per_s:.1}"#))
}

/// An edge whose routes lead to `work`, which has a rate.
fn serving_limited() -> Play {
    let mut play = Play::serving();
    play.configure(2, &limited("work"));
    play.outputs();
    play
}

/// The shard that counts a service: messages without a key go there.
fn counting(play: &mut Play, service: &str, version: u64) -> u64 {
    play.configure(version, &limited(service));
    play.post("/p/1", &format!("probe-{version}"), None);
    let (_, _, GroupId(shard)) = play.append();
    u64::from(shard)
}

/// A shard that does not.
fn other_than(shard: u64) -> u64 {
    shard % SHARDS + 1
}

fn lease(number: u64, service: &str) -> GrantedLease {
    GrantedLease { id: LeaseId { term: 1, number }, service: service.to_owned() }
}

/// The store that leads a shard hands out a message of it.
fn grant(play: &mut Play, shard: u64, lease: GrantedLease) {
    let message = message(&format!("m{}", lease.id.number));
    let grant = Box::new(Grant { lease, message });
    play.says(shard, StoreToEdge::Deliver { group: group(shard), grant });
}

/// What an edge wants done, but for credits.
#[derive(Debug, PartialEq)]
enum Act {
    Deliver(JobNumber),
    Want { shard: u64, permit: PermitNumber, service: String },
    Hold { shard: u64, permit: PermitNumber },
    End { shard: u64, permit: PermitNumber, answered: Option<bool> },
    Report(DeliveryOutcome),
}

fn acts(play: &mut Play) -> Vec<Act> {
    play.outputs().into_iter().filter_map(act).collect()
}

fn act(output: EdgeOutput) -> Option<Act> {
    let (to, message) = match output {
        EdgeOutput::Deliver(order) => return Some(Act::Deliver(order.job)),
        EdgeOutput::Send(to, message) => (to, message),
        _ => return None,
    };
    let shard = |of: GroupId| {
        assert_eq!(to, store(u64::from(of.0)), "told to the leader of the shard");
        u64::from(of.0)
    };
    match message {
        EdgeToStore::PermitWanted { group, permit, service, .. } => {
            Some(Act::Want { shard: shard(group), permit, service })
        }
        EdgeToStore::PermitHeld { group, permit, .. } => Some(Act::Hold { shard: shard(group), permit }),
        EdgeToStore::PermitEnded { group, permit, answered } => {
            Some(Act::End { shard: shard(group), permit, answered })
        }
        EdgeToStore::Outcome { outcome, .. } => Some(Act::Report(outcome)),
        _ => None,
    }
}

fn end_delivery(play: &mut Play, job: JobNumber, answer: RunnerAnswer) {
    let result = DeliveryResult { answer, load: None, new_connection: false, elapsed_ms: 1 };
    play.core.delivered(play.now, job, &result);
}

/// Grants a message of another shard; the counting shard and the permit that is asked for there.
fn waiting(play: &mut Play) -> (u64, PermitNumber) {
    let shard = counting(play, "work", 3);
    grant(play, other_than(shard), lease(1, "work"));
    match acts(play).as_slice() {
        [Act::Want { shard: asked, permit, service }] if *asked == shard && service == "work" => {
            (shard, *permit)
        }
        other => panic!("expected one permit to be asked for, got {other:?}"),
    }
}

fn permit(play: &mut Play, shard: u64, permit: PermitNumber) -> JobNumber {
    play.says(shard, StoreToEdge::PermitGranted { group: group(shard), permit });
    match acts(play).as_slice() {
        [Act::Deliver(job)] => *job,
        other => panic!("expected a delivery alone, got {other:?}"),
    }
}

#[test]
fn a_message_that_its_own_shard_has_counted_is_delivered_at_once() {
    let mut play = serving_limited();
    let shard = counting(&mut play, "work", 3);
    grant(&mut play, shard, lease(1, "work"));
    assert!(matches!(acts(&mut play).as_slice(), [Act::Deliver(_)]));
}

#[test]
fn a_message_of_another_shard_waits_for_the_one_that_counts_its_service() {
    for (answer, answered) in [
        (RunnerAnswer::Succeeded { signature: "done".to_owned() }, true),
        (RunnerAnswer::Unclear { reason: UnclearReason::Reset }, false),
    ] {
        let mut play = serving_limited();
        let (shard, number) = waiting(&mut play);
        let job = permit(&mut play, shard, number);
        end_delivery(&mut play, job, answer);
        let acts = acts(&mut play);
        let end = Act::End { shard, permit: number, answered: Some(answered) };
        assert!(acts.contains(&end), "{acts:?}");
        assert!(acts.iter().any(|act| matches!(act, Act::Report(_))), "{acts:?}");
    }
}

#[test]
fn a_message_that_was_counted_at_another_service_waits_too() {
    let mut play = serving_limited();
    let shard = counting(&mut play, "work", 3);
    grant(&mut play, shard, lease(1, "old"));
    assert!(matches!(acts(&mut play).as_slice(), [Act::Want { shard: asked, .. }] if *asked == shard));
}

#[test]
fn a_message_for_a_service_without_a_limit_needs_no_permit() {
    let mut play = Play::serving();
    for shard in 1..=SHARDS {
        grant(&mut play, shard, lease(shard, "another"));
        assert!(matches!(acts(&mut play).as_slice(), [Act::Deliver(_)]));
    }
}

#[test]
fn a_message_that_gets_no_permit_in_time_is_given_back() {
    let mut play = serving_limited();
    let (shard, number) = waiting(&mut play);
    play.pass(SCHEDULE_TARGET_MS - 1);
    assert_eq!(acts(&mut play), []);
    play.pass(1);
    let acts_now = acts(&mut play);
    assert_eq!(acts_now[0], Act::End { shard, permit: number, answered: None });
    assert!(matches!(acts_now[1], Act::Report(DeliveryOutcome::NotRun { .. })), "{acts_now:?}");
    play.says(shard, StoreToEdge::PermitGranted { group: group(shard), permit: number });
    assert_eq!(acts(&mut play), [], "it is too late");
}

#[test]
fn an_edge_that_ends_gives_back_what_waits_for_a_permit() {
    let mut play = serving_limited();
    let (shard, number) = waiting(&mut play);
    play.core.leave(play.now);
    let acts = acts(&mut play);
    assert!(acts.contains(&Act::End { shard, permit: number, answered: None }), "{acts:?}");
    assert!(acts.iter().any(|act| matches!(act, Act::Report(DeliveryOutcome::NotRun { .. }))), "{acts:?}");
}

#[test]
fn a_new_leader_hears_of_the_permits_that_wait_and_of_those_that_are_held() {
    for is_held in [false, true] {
        let mut play = serving_limited();
        let (shard, number) = waiting(&mut play);
        if is_held {
            permit(&mut play, shard, number);
        }
        play.says(shard, StoreToEdge::Leading { groups: vec![(group(shard), 2)] });
        let acts = acts(&mut play);
        let told = match is_held {
            true => Act::Hold { shard, permit: number },
            false => Act::Want { shard, permit: number, service: "work".to_owned() },
        };
        assert!(acts.contains(&told), "{acts:?}");
    }
}

#[test]
fn a_message_whose_route_is_led_elsewhere_while_it_waits_is_counted_there() {
    let mut play = serving_limited();
    let (shard, number) = waiting(&mut play);
    let other = counting(&mut play, "other", 4);
    play.says(shard, StoreToEdge::PermitGranted { group: group(shard), permit: number });
    let acts = acts(&mut play);
    assert_eq!(acts[0], Act::End { shard, permit: number, answered: None });
    assert!(
        matches!(&acts[1], Act::Want { shard, service, .. } if *shard == other && service == "other"),
        "{acts:?}"
    );
}

#[test]
fn a_message_whose_service_has_lost_its_limit_is_delivered_under_the_permit() {
    let mut play = serving_limited();
    let (shard, number) = waiting(&mut play);
    play.configure(4, &leading_to("work", 0.0));
    permit(&mut play, shard, number);
}

#[test]
fn a_message_that_waits_for_a_permit_keeps_a_slot_free() {
    let mut play = serving_limited();
    let shard = counting(&mut play, "work", 3);
    let mut asks_to_deliver = |id: &str| {
        play.post("/p/1", id, None);
        let asked = play.outputs().into_iter().find_map(|output| match output {
            EdgeOutput::Send(_, EdgeToStore::Append { lease_here, .. }) => Some(lease_here),
            _ => None,
        });
        for number in 1..=2 {
            grant(&mut play, other_than(shard), lease(number, "work"));
        }
        asked
    };
    // The runner has four slots; the first message keeps one of them, and the probe another.
    assert_eq!(asks_to_deliver("m1"), Some(true));
    assert_eq!(asks_to_deliver("m2"), Some(false));
}

#[test]
fn a_late_permit_is_not_taken_for_the_one_that_the_message_waits_for_now() {
    let mut play = serving_limited();
    let (shard, number) = waiting(&mut play);
    let other = counting(&mut play, "other", 4);
    play.says(shard, StoreToEdge::PermitGranted { group: group(shard), permit: number });
    acts(&mut play);
    play.says(shard, StoreToEdge::PermitGranted { group: group(shard), permit: number });
    play.says(other, StoreToEdge::PermitGranted { group: group(other), permit: number });
    assert_eq!(acts(&mut play), []);
}
