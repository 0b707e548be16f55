//! Rates of services, and how much a single endpoint gets at a time.

mod support;

use ruddervalve_protocol::DeliveryOutcome;
use support::{Shard, TestPolicy, edge, message, settings, success};

fn limited_policy(rate_per_s: f64) -> TestPolicy {
    TestPolicy::default().route("/s/", "s").limited("s", rate_per_s)
}

fn endpoint_policy(max_connections: u32) -> TestPolicy {
    TestPolicy::default().route("/s/", "s").endpoint("s", max_connections)
}

/// The most of these times that lie within any window of the length.
fn most_in_window(times_ms: &[u64], window_ms: u64) -> usize {
    let within = |start: u64| times_ms.iter().filter(|at| (start..start + window_ms).contains(at)).count();
    times_ms.iter().map(|start| within(*start)).max().unwrap_or(0)
}

fn allowed(rate_per_s: f64) -> f64 {
    let settings = settings();
    rate_per_s * settings.origin_window_ms as f64 / 1000.0 * settings.origin_overshoot + 5.0
}

/// Lets an endless demand run for a while; every delivery ends at once, and did not run.
fn run_demand(shard: &mut Shard, for_ms: u64, times_ms: &mut Vec<u64>) {
    let end_ms = shard.now_ms + for_ms;
    while shard.now_ms < end_ms {
        shard.credits(1, "s", 1000);
        for (name, holder, lease) in shard.grants() {
            times_ms.push(shard.now_ms);
            shard.outcome(holder, &name, lease, DeliveryOutcome::NotRun { retry_after_ms: 0 });
        }
        shard.advance(7);
    }
}

#[test]
fn a_rate_holds_in_every_window_with_room_to_spare_and_is_used() {
    for rate_per_s in [0.5, 3.0, 37.0, 400.0] {
        let mut shard = Shard::new(limited_policy(rate_per_s));
        shard.join(1, "near");
        for number in 0..600 {
            shard.accept(message(&format!("m{number}"), "/s/"));
        }
        let mut times_ms = Vec::new();
        run_demand(&mut shard, 20_000, &mut times_ms);
        let allowed = allowed(rate_per_s);
        let most = most_in_window(&times_ms, 5000) as f64;
        assert!(most <= allowed - 3.0, "{rate_per_s}: {most} of {allowed}");
        let used = rate_per_s * 20.0 * 0.95 - 1.0;
        assert!(times_ms.len() as f64 >= used, "{rate_per_s}: {}", times_ms.len());
    }
}

#[test]
fn a_rate_holds_across_changes_of_the_leader() {
    let rate_per_s = 37.0;
    let mut shard = Shard::new(limited_policy(rate_per_s));
    shard.join(1, "near");
    for number in 0..300 {
        shard.accept(message(&format!("m{number}"), "/s/"));
    }
    let mut times_ms = Vec::new();
    for _ in 0..20 {
        run_demand(&mut shard, 900, &mut times_ms);
        shard.change_leader();
        shard.join(1, "near");
    }
    let most = most_in_window(&times_ms, 5000) as f64;
    assert!(most <= allowed(rate_per_s) - 3.0, "{most}");
    assert!(times_ms.len() > 300);
}

#[test]
fn a_new_leader_starts_without_tokens() {
    let mut shard = Shard::new(limited_policy(10.0));
    shard.join_with_credits(1, "near", "s", 9);
    shard.accept(message("a", "/s/"));
    shard.advance(60_000);
    shard.change_leader();
    shard.join_with_credits(1, "near", "s", 9);
    assert!(shard.grants().is_empty());
    shard.advance(99);
    assert!(shard.grants().is_empty());
    shard.advance(1);
    shard.granted("a");
}

#[test]
fn a_lease_at_once_spends_a_token_too() {
    let mut shard = Shard::new(limited_policy(1.0));
    shard.join(1, "near");
    shard.advance(1000);
    shard.leader.heartbeat(shard.now_ms, edge(1));
    assert!(shard.accept_at(message("a", "/s/"), 1, true).is_some());
    assert!(shard.accept_at(message("b", "/s/"), 1, true).is_none());
}

#[test]
fn a_service_without_a_rate_is_not_held_back() {
    for rate_per_s in [0.0, -1.0, f64::NAN, f64::INFINITY] {
        let mut shard = Shard::new(limited_policy(rate_per_s));
        shard.join_with_credits(1, "near", "s", 500);
        for number in 0..500 {
            shard.accept(message(&format!("m{number}"), "/s/"));
        }
        assert_eq!(shard.grants().len(), 500);
    }
}

#[test]
fn a_quota_holds_back_only_its_own_service() {
    let policy = limited_policy(1.0).route("/t/", "t").service("t");
    let mut shard = Shard::new(policy);
    shard.join(1, "near");
    let credits = [("s".to_owned(), 9), ("t".to_owned(), 9)];
    shard.leader.credits(shard.now_ms, edge(1), &credits);
    shard.accept(message("a", "/s/"));
    shard.accept(message("b", "/t/"));
    assert_eq!(shard.granted_names(), ["b"]);
}

#[test]
fn an_endpoint_needs_no_credits_and_gets_three_quarters_of_its_connections() {
    let mut shard = Shard::new(endpoint_policy(46));
    shard.join(1, "near");
    for number in 0..100 {
        shard.accept(message(&format!("m{number}"), "/s/"));
    }
    let grants = shard.grants();
    assert_eq!(grants.len(), 34);
    let (name, holder, lease) = grants[0].clone();
    shard.outcome(holder, &name, lease, success());
    assert_eq!(shard.grants().len(), 1);
}

#[test]
fn an_endpoint_with_hardly_any_connections_still_gets_one() {
    let mut shard = Shard::new(endpoint_policy(0));
    shard.join(1, "near");
    shard.accept(message("a", "/s/"));
    shard.accept(message("b", "/s/"));
    assert_eq!(shard.grants().len(), 1);
}

#[test]
fn an_endpoint_is_served_by_one_edge_until_it_has_many() {
    let mut shard = Shard::new(endpoint_policy(40));
    for number in 1..=4 {
        shard.join(number, "near");
    }
    let mut holders = Vec::new();
    for number in 0..30 {
        shard.accept(message(&format!("m{number}"), "/s/"));
        holders.extend(shard.grants().into_iter().map(|(_, holder, _)| holder));
    }
    assert_eq!(holders.len(), 30);
    assert!(holders[..15].iter().all(|holder| *holder == holders[0]));
    assert_ne!(holders[15], holders[0]);
}

#[test]
fn endpoints_are_spread_over_edges_and_stay_where_they_are_when_one_leaves() {
    let mut policy = TestPolicy::default();
    for number in 0..24 {
        policy =
            policy.route(&format!("/{number}/"), &format!("s{number}")).endpoint(&format!("s{number}"), 40);
    }
    let mut shard = Shard::new(policy);
    for number in 1..=4 {
        shard.join(number, "near");
    }
    let holders = |shard: &mut Shard, round: u64| -> Vec<u64> {
        let mut holders = Vec::new();
        for number in 0..24 {
            shard.accept(message(&format!("{round}-{number}"), &format!("/{number}/")));
            holders.push(shard.grants()[0].1);
        }
        holders
    };
    let before = holders(&mut shard, 1);
    assert!((1..=4).all(|edge| before.contains(&edge)), "{before:?}");
    shard.leader.leaving(edge(4));
    let after = holders(&mut shard, 2);
    for (before, after) in before.iter().zip(&after) {
        assert!(before == after || *before == 4);
    }
}

#[test]
fn the_accepting_edge_gets_an_endpoints_message_if_it_wants_it() {
    let mut shard = Shard::new(endpoint_policy(40));
    for number in 1..=4 {
        shard.join(number, "near");
        assert!(shard.accept_at(message(&format!("m{number}"), "/s/"), number, true).is_some());
    }
}

#[test]
fn an_endpoint_that_does_not_answer_is_tried_with_one_message_at_growing_intervals() {
    for outcome in [DeliveryOutcome::Unclear, DeliveryOutcome::NotRun { retry_after_ms: 0 }] {
        let mut shard = Shard::new(endpoint_policy(40));
        shard.join(1, "near");
        for number in 0..100 {
            shard.accept(message(&format!("m{number}"), "/s/"));
        }
        let mut trials = Vec::new();
        let start_ms = shard.now_ms;
        let mut grants = shard.grants();
        while shard.now_ms < start_ms + 30_000 {
            trials.push((shard.now_ms, grants.len()));
            for (name, holder, lease) in grants {
                shard.outcome(holder, &name, lease, outcome.clone());
            }
            shard.leader.heartbeat(shard.now_ms, edge(1));
            grants = shard.grants_within(1400);
            while grants.is_empty() {
                shard.advance(1);
                shard.leader.heartbeat(shard.now_ms, edge(1));
                grants = shard.grants_within(1400);
            }
        }
        assert!(trials.len() < 60, "{}", trials.len());
        let late = &trials[trials.len() - 5..];
        assert!(late.iter().all(|(_, count)| *count == 1), "{late:?}");
        assert!(late.windows(2).all(|pair| pair[1].0 - pair[0].0 >= 1000), "{late:?}");
        assert!(late.windows(2).all(|pair| pair[1].0 - pair[0].0 <= 2000), "{late:?}");

        let mut rounds = 0;
        let mut most = 0;
        while most < 30 {
            rounds += 1;
            for (name, holder, lease) in std::mem::take(&mut grants) {
                shard.outcome(holder, &name, lease, success());
            }
            grants = shard.grants();
            most = grants.len();
            assert!(rounds < 10, "opens fast");
        }
    }
}

#[test]
fn a_few_failures_do_not_close_an_endpoint() {
    let mut shard = Shard::new(endpoint_policy(40));
    shard.join(1, "near");
    for number in 0..200 {
        shard.accept(message(&format!("m{number}"), "/s/"));
    }
    let mut grants = shard.grants();
    assert_eq!(grants.len(), 30);
    for (index, (name, holder, lease)) in std::mem::take(&mut grants).into_iter().enumerate() {
        let outcome = if index % 3 == 0 { DeliveryOutcome::Unclear } else { success() };
        shard.outcome(holder, &name, lease, outcome);
    }
    assert_eq!(shard.grants().len(), 30);
}

#[test]
fn answers_of_failure_keep_an_endpoint_open() {
    let mut shard = Shard::new(endpoint_policy(40));
    shard.join(1, "near");
    for number in 0..100 {
        shard.accept(message(&format!("m{number}"), "/s/"));
    }
    for (name, holder, lease) in shard.grants() {
        shard.outcome(holder, &name, lease, DeliveryOutcome::Rejected);
    }
    assert_eq!(shard.grants().len(), 30);
}
