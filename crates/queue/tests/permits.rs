//! Deliveries of messages that lie in other shards, counted at the services of this one.

mod support;

use std::sync::Arc;

use ruddervalve_protocol::{DeliveryOutcome, PermitNumber};
use ruddervalve_queue::{LeaderOutput, ShardLeader};
use support::{Shard, TestPolicy, edge, grants_in, message, settings, success};

const PRIORITY: u32 = 1;
const RATE_PER_S: f64 = 10.0;
/// The time that a token takes to come at that rate.
const TOKEN_MS: u64 = 100;

fn limited() -> Shard {
    let mut shard = Shard::new(TestPolicy::default().route("/s/", "s").limited("s", RATE_PER_S));
    shard.join(1, "near");
    shard.join(2, "near");
    shard
}

fn endpoint(max_connections: u32) -> Shard {
    let mut shard = Shard::new(TestPolicy::default().route("/s/", "s").endpoint("s", max_connections));
    shard.join(1, "near");
    shard.join(2, "near");
    shard
}

/// An edge asks for a permit, a little later than what came before.
fn want(shard: &mut Shard, from: u64, number: u64) {
    shard.advance(1);
    shard.leader.permit_wanted(shard.now_ms, edge(from), PermitNumber(number), "s", PRIORITY);
}

fn hold(shard: &mut Shard, from: u64, number: u64) {
    shard.leader.permit_held(shard.now_ms, edge(from), PermitNumber(number), "s");
}

fn end(shard: &mut Shard, from: u64, number: u64, answered: Option<bool>) {
    shard.leader.permit_ended(shard.now_ms, edge(from), PermitNumber(number), answered);
}

/// Edges and numbers of the permits granted among these.
fn permits_in(outputs: &[LeaderOutput]) -> Vec<(u64, u64)> {
    let permits = outputs.iter().filter_map(|output| match output {
        LeaderOutput::Permit { edge, number } => Some((edge.0, number.0)),
        _ => None,
    });
    permits.collect()
}

fn permitted(shard: &mut Shard) -> Vec<(u64, u64)> {
    permits_in(&shard.poll())
}

#[test]
fn permits_and_own_messages_share_one_rate_in_the_order_in_which_they_came() {
    let mut shard = limited();
    want(&mut shard, 1, 1);
    shard.advance(1);
    shard.accept(message("a", "/s/"));
    want(&mut shard, 2, 1);
    shard.advance(1);
    shard.accept(message("b", "/s/"));
    let mut order = Vec::new();
    for _ in 0..4 {
        shard.advance(TOKEN_MS);
        shard.credits(1, "s", 9);
        let outputs = shard.poll();
        order.push((permits_in(&outputs), grants_in(&outputs).into_iter().map(|grant| grant.0).collect()));
    }
    let permit = |edge| (vec![(edge, 1)], Vec::<String>::new());
    let grant = |name: &str| (Vec::new(), vec![name.to_owned()]);
    assert_eq!(order, [permit(1), grant("a"), permit(2), grant("b")]);
}

#[test]
fn a_permit_needs_no_credits() {
    let mut shard = limited();
    shard.advance(TOKEN_MS);
    want(&mut shard, 1, 1);
    assert_eq!(permitted(&mut shard), [(1, 1)]);
}

#[test]
fn a_permit_is_granted_once_however_often_it_is_asked_for() {
    let mut shard = limited();
    shard.advance(10 * TOKEN_MS);
    for _ in 0..3 {
        want(&mut shard, 1, 1);
        hold(&mut shard, 1, 1);
    }
    assert_eq!(permitted(&mut shard), [(1, 1)]);
    want(&mut shard, 1, 1);
    assert_eq!(permitted(&mut shard), []);
}

#[test]
fn a_permit_that_is_given_up_takes_no_token() {
    let mut shard = limited();
    want(&mut shard, 1, 1);
    want(&mut shard, 2, 7);
    end(&mut shard, 1, 1, None);
    shard.advance(TOKEN_MS);
    assert_eq!(permitted(&mut shard), [(2, 7)]);
}

#[test]
fn permits_count_against_the_connections_of_an_endpoint() {
    let mut shard = endpoint(4);
    for number in 1..=3 {
        want(&mut shard, 1, number);
    }
    hold(&mut shard, 2, 1);
    shard.advance(1);
    shard.accept(message("a", "/s/"));
    let outputs = shard.poll();
    assert_eq!(permits_in(&outputs), [(1, 1), (1, 2)]);
    assert_eq!(grants_in(&outputs), []);
    end(&mut shard, 1, 1, Some(true));
    assert_eq!(permitted(&mut shard), [(1, 3)]);
    end(&mut shard, 2, 1, Some(true));
    let (holder, lease) = shard.granted("a");
    end(&mut shard, 1, 2, Some(true));
    shard.outcome(holder, "a", lease, success());
    assert_eq!(permitted(&mut shard), []);
}

#[test]
fn an_endpoint_that_does_not_answer_under_permits_is_tried_less() {
    let mut shard = endpoint(40);
    let mut granted = Vec::new();
    for number in 1..=200 {
        want(&mut shard, 1, number);
        granted = permitted(&mut shard);
        for (holder, number) in &granted {
            end(&mut shard, *holder, *number, Some(false));
        }
    }
    assert_eq!(granted, [], "it is closed for a while");
}

#[test]
fn what_an_edge_held_counts_no_more_once_its_connection_is_gone() {
    for reconnects in [false, true] {
        let mut shard = endpoint(4);
        for number in 1..=5 {
            want(&mut shard, 1, number);
        }
        assert_eq!(permitted(&mut shard).len(), 3);
        if reconnects {
            shard.connect(1, "node-1", "near");
        } else {
            shard.leader.edge_disconnected(shard.now_ms, edge(1));
        }
        for number in 1..=4 {
            want(&mut shard, 2, number);
        }
        assert_eq!(permitted(&mut shard), [(2, 1), (2, 2), (2, 3)]);
    }
}

#[test]
fn a_new_leader_counts_what_is_held_and_begins_without_tokens() {
    let mut shard = limited();
    shard.advance(10 * TOKEN_MS);
    want(&mut shard, 1, 1);
    assert_eq!(permitted(&mut shard), [(1, 1)]);
    shard.change_leader();
    shard.join(1, "near");
    hold(&mut shard, 1, 1);
    want(&mut shard, 1, 2);
    assert_eq!(permitted(&mut shard), []);
    shard.advance(TOKEN_MS);
    assert_eq!(permitted(&mut shard), [(1, 2)]);
    end(&mut shard, 1, 1, Some(true));
    end(&mut shard, 1, 2, Some(true));
}

#[test]
fn a_leader_without_a_policy_permits_nothing() {
    let mut shard = limited();
    shard.leader = ShardLeader::new(2, shard.now_ms, &shard.state, None, settings());
    shard.join(1, "near");
    want(&mut shard, 1, 1);
    shard.advance(10 * TOKEN_MS);
    assert_eq!(permitted(&mut shard), []);
    let policy = Arc::clone(&shard.policy);
    shard.leader.set_policy(shard.now_ms, policy);
    want(&mut shard, 1, 1);
    shard.advance(TOKEN_MS);
    assert_eq!(permitted(&mut shard), [(1, 1)]);
}

#[test]
fn an_edge_without_a_connection_gets_no_permit() {
    let mut shard = limited();
    shard.leader.edge_disconnected(shard.now_ms, edge(1));
    shard.advance(10 * TOKEN_MS);
    want(&mut shard, 1, 1);
    want(&mut shard, 9, 1);
    assert_eq!(permitted(&mut shard), []);
}

#[test]
fn a_service_whose_limit_goes_permits_all_that_wait() {
    let mut shard = limited();
    for number in 1..=3 {
        want(&mut shard, 1, number);
    }
    assert_eq!(permitted(&mut shard), []);
    shard.policy = TestPolicy::default().route("/s/", "s").service("s").shared();
    shard.leader.set_policy(shard.now_ms, Arc::clone(&shard.policy));
    assert_eq!(permitted(&mut shard), [(1, 1), (1, 2), (1, 3)]);
}

#[test]
fn a_message_given_back_for_want_of_a_permit_runs_later() {
    let mut shard = limited();
    shard.advance(TOKEN_MS);
    shard.credits(1, "s", 9);
    shard.accept(message("a", "/s/"));
    let (holder, lease) = shard.granted("a");
    shard.outcome(holder, "a", lease, DeliveryOutcome::NotRun { retry_after_ms: 50 });
    shard.advance(TOKEN_MS);
    shard.credits(1, "s", 9);
    shard.granted("a");
}
