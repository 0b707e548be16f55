//! The ordinary path: idle tokens, the Last-Idle runner, home and elsewhere, runners that drain.

mod dispatch_common;

use std::collections::{BTreeMap, BTreeSet};

use dispatch_common::*;
use ruddervalve_edge::dispatch::{Dispatch, DispatchOutcome};
use ruddervalve_protocol::RunnerPhase;

const SERVICE: &str = "service";

#[test]
fn idle_runners_are_drawn_evenly() {
    /// As many as tokens are kept for where traffic is thin.
    const RUNNERS: usize = 10;
    const JOBS: u64 = 2_000;
    /// The value of chi-square with 9 degrees of freedom that one draw in a thousand exceeds.
    const UNLIKELY: f64 = 27.88;
    let mut edge = edge_with(3, SERVICE, &runners(SERVICE, RUNNERS, 4));
    let mut counts: BTreeMap<String, u64> = BTreeMap::new();
    for job in 0..JOBS {
        let now = 20 * job;
        let uid = start(&mut edge, now, job, SERVICE).unwrap();
        *counts.entry(uid).or_default() += 1;
        served_empty(&mut edge, now + 10, job, 4);
    }
    let expected = JOBS as f64 / RUNNERS as f64;
    let chi_square: f64 = counts.values().map(|count| (*count as f64 - expected).powi(2) / expected).sum();
    assert_eq!(counts.len(), RUNNERS);
    assert!(chi_square < UNLIKELY, "{chi_square}: {counts:?}");
}

#[test]
fn jobs_go_to_idle_runners_before_busy_ones() {
    for seed in 0..50 {
        let mut edge = edge_with(seed, SERVICE, &runners(SERVICE, 9, 4));
        let chosen: BTreeSet<_> = (0..9).map(|job| start(&mut edge, 0, job, SERVICE).unwrap()).collect();
        assert_eq!(chosen.len(), 9);
    }
}

#[test]
fn idle_runners_at_home_go_first_and_idle_ones_elsewhere_before_busy_ones_at_home() {
    for seed in 0..50 {
        let home = (0..2).map(|number| runner(SERVICE, &format!("home{number}"), HOME, 4));
        let away = (0..6).map(|number| runner(SERVICE, &format!("away{number}"), "zone-1", 4));
        let mut edge = edge_with(seed, SERVICE, &home.chain(away).collect::<Vec<_>>());
        let order: Vec<String> = (0..8).map(|job| start(&mut edge, 0, job, SERVICE).unwrap()).collect();
        assert!(order[..2].iter().all(|uid| uid.starts_with("home")), "{order:?}");
        assert!(order[2..].iter().all(|uid| uid.starts_with("away")), "{order:?}");
        assert_eq!(order.iter().collect::<BTreeSet<_>>().len(), 8);
        // No token is left: free slots at home come next.
        assert!(start(&mut edge, 0, 8, SERVICE).unwrap().starts_with("home"));
    }
}

/// Two runners of one slot, of which half a slot is believed to be taken by other edges. Gives the edge, the time, the
/// Last-Idle runner and the other one.
fn half_believed(seed: u64) -> (Dispatch, u64, String, String) {
    let mut edge = edge_with(seed, SERVICE, &runners(SERVICE, 2, 1));
    let other = start(&mut edge, 0, 0, SERVICE).unwrap();
    // When this one goes out, its token is the only one held: it is the Last-Idle runner from now on.
    let last_idle = start(&mut edge, 0, 1, SERVICE).unwrap();
    for round in 0..2 {
        let now = 100 * (round + 1);
        edge.finished(now, 2 * round, DispatchOutcome::Served, load(1, 0, 1));
        edge.finished(now, 2 * round + 1, DispatchOutcome::Served, load(1, 0, 1));
        if round == 0 {
            assert!(start(&mut edge, now, 2, SERVICE).is_some());
            assert!(start(&mut edge, now, 3, SERVICE).is_some());
        }
    }
    (edge, 200, last_idle, other)
}

#[test]
fn with_no_token_held_a_job_stays_on_the_last_idle_runner() {
    for seed in 0..50 {
        let (mut edge, now, last_idle, other) = half_believed(seed);
        assert_ne!(last_idle, other);
        assert_eq!(edge.startable(now, SERVICE), 1);
        assert_eq!(start(&mut edge, now, 10, SERVICE), Some(last_idle));
        // It is believed full now, and the other one is not it: the next job waits here.
        assert_eq!(edge.startable(now, SERVICE), 0);
        assert_eq!(start(&mut edge, now, 11, SERVICE), None);
    }
}

#[test]
fn the_last_idle_runner_gets_nothing_once_it_drains() {
    for seed in 0..50 {
        let (mut edge, now, last_idle, other) = half_believed(seed);
        let mut listed = runners(SERVICE, 2, 1);
        let draining = listed.iter_mut().filter(|runner| runner.uid == last_idle);
        draining.for_each(|runner| runner.phase = RunnerPhase::Draining);
        edge.set_runners(now, &list(2, &listed));
        assert_eq!(start(&mut edge, now, 10, SERVICE), Some(other));
    }
}

#[test]
fn a_runner_that_drains_or_leaves_the_list_gets_nothing_new() {
    for gone in [false, true] {
        let mut listed = runners(SERVICE, 3, 4);
        let mut edge = edge_with(5, SERVICE, &listed);
        let uids: Vec<String> = (0..3).map(|job| start(&mut edge, 0, job, SERVICE).unwrap()).collect();
        if gone {
            listed.retain(|runner| runner.uid != uids[0]);
        } else {
            let draining = listed.iter_mut().filter(|runner| runner.uid == uids[0]);
            draining.for_each(|runner| runner.phase = RunnerPhase::Draining);
        }
        edge.set_runners(10, &list(2, &listed));
        // Two runners with three free slots each.
        assert_eq!(edge.startable(10, SERVICE), 6);
        for job in 10..16 {
            assert_ne!(start(&mut edge, 10, job, SERVICE).as_ref(), Some(&uids[0]));
        }
        // What it has is finished there, and its idle slots change nothing.
        served_empty(&mut edge, 20, 0, 4);
        assert_eq!(edge.startable(20, SERVICE), 0);
        assert_eq!(start(&mut edge, 20, 20, SERVICE), None);
    }
}

#[test]
fn a_job_that_finds_no_slot_waits_and_is_given_back() {
    let mut edge = edge_with(1, SERVICE, &runners(SERVICE, 1, 2));
    start(&mut edge, 0, 0, SERVICE).unwrap();
    start(&mut edge, 0, 1, SERVICE).unwrap();
    let steps = edge.start(0, 2, SERVICE, SERVICE);
    assert_eq!((delivered(&steps, 2), given_back(&steps, 2)), (None, None));
    let mut at = wake(&steps).unwrap();
    let retry_after_ms = loop {
        let steps = edge.tick(at);
        if let Some(retry_after_ms) = given_back(&steps, 2) {
            break retry_after_ms;
        }
        at = wake(&steps).unwrap();
    };
    // An eighth and a sixteenth of the schedule target, which is a second.
    assert!((125..250).contains(&at), "{at}");
    assert_eq!(retry_after_ms, 62);
}

#[test]
fn only_a_few_jobs_wait() {
    let mut edge = edge_with(1, SERVICE, &runners(SERVICE, 1, 1));
    start(&mut edge, 0, 0, SERVICE).unwrap();
    for job in 1..=8 {
        assert_eq!(given_back(&edge.start(0, job, SERVICE, SERVICE), job), None);
    }
    assert_eq!(given_back(&edge.start(0, 9, SERVICE, SERVICE), 9), Some(62));
}

#[test]
fn a_job_that_waits_is_delivered_when_a_slot_is_free() {
    let mut edge = edge_with(1, SERVICE, &runners(SERVICE, 1, 1));
    let uid = start(&mut edge, 0, 0, SERVICE);
    assert_eq!(start(&mut edge, 0, 1, SERVICE), None);
    let steps = served_empty(&mut edge, 50, 0, 1);
    assert_eq!(delivered(&steps, 1), uid);
}

#[test]
fn before_any_answer_the_capacity_on_the_list_counts() {
    let mut edge = edge_with(1, SERVICE, &runners(SERVICE, 7, 6));
    assert_eq!(edge.startable(0, SERVICE), 42);
    for job in 0..42 {
        assert_eq!(edge.startable(0, SERVICE), 42 - job);
        assert!(start(&mut edge, 0, u64::from(job), SERVICE).is_some());
    }
    assert_eq!(edge.startable(0, SERVICE), 0);
}

#[test]
fn slots_that_other_edges_hold_are_not_counted() {
    let mut edge = edge_with(1, SERVICE, &runners(SERVICE, 1, 6));
    start(&mut edge, 100_000, 0, SERVICE).unwrap();
    // Long enough after the list, beside the run, that the report is all that counts.
    edge.finished(100_010, 0, DispatchOutcome::Served, load(5, 0, 6));
    assert_eq!(edge.startable(100_010, SERVICE), 1);
}

#[test]
fn a_runner_that_claims_more_slots_than_the_list_gives_it_is_not_believed() {
    let mut edge = edge_with(1, SERVICE, &runners(SERVICE, 1, 2));
    start(&mut edge, 0, 0, SERVICE).unwrap();
    edge.finished(10, 0, DispatchOutcome::Served, load(0, 0, u32::MAX));
    assert_eq!(edge.startable(10, SERVICE), 2);
}

#[test]
fn an_edge_that_believes_all_full_and_has_nothing_out_is_woken_and_believes_again() {
    let mut edge = edge_with(1, SERVICE, &runners(SERVICE, 2, 1));
    let mut steps = Vec::new();
    for job in 0..2 {
        start(&mut edge, 0, job, SERVICE).unwrap();
        steps = edge.finished(1, job, DispatchOutcome::Full, None);
    }
    assert_eq!(edge.startable(1, SERVICE), 0);
    let mut at = wake(&steps).unwrap();
    let mut wakes = 0;
    while edge.startable(at, SERVICE) == 0 {
        at = wake(&edge.tick(at)).unwrap();
        wakes += 1;
    }
    assert!(at < 2_000 && wakes < 40, "{at} after {wakes}");
}

#[test]
fn tokens_return_without_any_load_told_once_nothing_is_out_there() {
    let mut edge = edge_with(1, SERVICE, &runners(SERVICE, 2, 3));
    for job in 0..2 {
        start(&mut edge, 0, job, SERVICE).unwrap();
    }
    assert_eq!(edge.startable(0, SERVICE), 4);
    for job in 0..2 {
        edge.finished(10, job, DispatchOutcome::Served, None);
    }
    assert_eq!(edge.startable(10, SERVICE), 6);
}

#[test]
fn equal_seeds_and_events_give_equal_steps() {
    let play = |seed: u64| -> Vec<Option<String>> {
        let mut edge = edge_with(seed, SERVICE, &runners(SERVICE, 9, 4));
        (0..20).map(|job| start(&mut edge, job, job, SERVICE)).collect()
    };
    assert_eq!(play(4), play(4));
    assert_ne!(play(4), play(5));
}
