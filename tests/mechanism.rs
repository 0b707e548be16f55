//! The mechanism: tokens, the split, Last-Idle, holding.

mod common;

use std::collections::BTreeSet;

use common::*;
use ruddervalve::*;

#[test]
fn a_batch_goes_to_workers_whose_tokens_are_held() {
    let mut rig = Rig::new(settings(), 4);
    rig.teach_slots(4, 4.0);
    // Two workers have own jobs: their tokens are spent.
    let busy: BTreeSet<u64> =
        sends(&rig.round(0, &[request(1, 0), request(2, 0)])).iter().map(|send| send.1).collect();
    rig.round(MS, &[started(1, 0), started(2, 0)]);
    let batch = sends(&rig.round(MS, &[request(3, 0), request(4, 0)]));
    assert_eq!(batch.len(), 2);
    assert!(batch.iter().all(|send| !busy.contains(&send.1)), "{batch:?} avoids {busy:?}");
}

#[test]
fn the_split_among_held_tokens_is_random() {
    let mut firsts = BTreeSet::new();
    for seed in 0..40 {
        let mut dispatcher = Dispatcher::new(settings(), seed).unwrap();
        let mut out = Vec::new();
        dispatcher.round(SECOND, &[list(ListKind::Full, (0..4).map(member)), request(1, 0)], &mut out);
        firsts.insert(sends(&out)[0].1);
    }
    assert_eq!(firsts.len(), 4);
}

#[test]
fn with_no_token_held_one_job_waits_on_last_idle_and_the_rest_is_held() {
    let mut rig = Rig::new(settings(), 2);
    rig.teach_slots(2, 1.0);
    let first = sends(&rig.round(0, &[request(1, 0), request(2, 0)]));
    assert_eq!(first.len(), 2);
    rig.round(MS, &[started(1, 0), started(2, 0)]);
    let piled = sends(&rig.round(MS, &[request(3, 0), request(4, 0), request(5, 0)]));
    assert_eq!(piled.len(), 1, "one job may wait on Last-Idle: {piled:?}");
    assert!(sends(&rig.pass(50 * MS, 10 * MS)).is_empty(), "the others wait here");
}

#[test]
fn last_idle_stays_the_same_while_no_token_comes_back() {
    let mut rig = Rig::new(settings(), 3);
    rig.teach_slots(3, 1.0);
    rig.round(0, &[request(1, 0), request(2, 0), request(3, 0)]);
    rig.round(MS, &[started(1, 0), started(2, 0), started(3, 0)]);
    let piled = sends(&rig.round(MS, &[request(4, 0)]));
    rig.round(MS, &[started(4, 0)]);
    let again = sends(&rig.round(MS, &[request(5, 0)]));
    assert_eq!((piled.len(), again.len()), (1, 1));
    assert_eq!(piled[0].1, again[0].1);
}

#[test]
fn a_completion_with_a_free_report_frees_a_held_request() {
    let mut rig = Rig::busy(settings());
    assert_eq!(sends(&rig.round(MS, &[request(2, 0), request(3, 0)])).len(), 1);
    assert!(sends(&rig.round(50 * MS, &[Event::Wake])).is_empty());
    let freed = rig.round(50 * MS, &[ended(1, 0, Outcome::Served, Some((1.0, 0.0))), started(2, 0)]);
    assert_eq!(sent_requests(&freed), [3]);
}

#[test]
fn a_failure_returns_no_token() {
    for outcome in [Outcome::Error, Outcome::Reset, Outcome::ConnectFailed, Outcome::TimedOut] {
        let mut rig = Rig::new(settings(), 2);
        rig.teach_slots(2, 4.0);
        let failing = sends(&rig.round(0, &[request(1, 0)]))[0].1;
        let again = sends(&rig.round(MS, &[ended(1, 0, outcome, Some((4.0, 0.0)))]));
        assert_eq!(again.len(), 1, "{outcome:?}: a safe request goes elsewhere");
        rig.round(MS, &[started(1, 1)]);
        let next = sends(&rig.round(MS, &[request(2, 0), request(3, 0), request(4, 0)]));
        assert!(!next.is_empty());
        assert!(next.iter().all(|send| send.1 != failing), "{outcome:?}: {next:?} avoids {failing}");
    }
}

#[test]
fn sets_are_kept_for_each_kind() {
    let mut settings = settings();
    settings.classes[0].kind = Some(KindId(1));
    let members = (0..4).map(|id| Member { kind: Some(KindId(id as usize % 2)), ..member(id) });
    let mut rig = Rig::listing(settings, members);
    let batch = sends(&rig.round(0, &[request(1, 0), request(2, 0)]));
    assert_eq!(batch.len(), 2);
    assert!(batch.iter().all(|send| send.1 % 2 == 1), "{batch:?}");
}

#[test]
fn probes_go_out_in_proportion_to_requests_where_only_probes_report() {
    let mut settings = settings();
    settings.reporting = Reporting::Probes;
    settings.limits.probes = true;
    let mut rig = Rig::new(settings, 3);
    let probes = |out: &[Action]| out.iter().filter(|action| matches!(action, Action::Probe(_))).count();
    assert_eq!(probes(&rig.pass(SECOND, 100 * MS)), 0, "no traffic, no probes");
    assert_eq!(probes(&rig.round(MS, &[request(1, 0)])), 1);
    assert_eq!(probes(&rig.round(MS, &[request(2, 0), request(3, 0)])), 2);
}

#[test]
fn where_there_are_no_reports_only_workers_that_failed_are_probed_and_unwell_ones_stay_in_doubt() {
    let mut settings = settings();
    (settings.reporting, settings.limits.probes) = (Reporting::None, true);
    let mut rig = Rig::new(settings, 2);
    let probed = |out: &[Action]| {
        let probed = |action: &Action| if let Action::Probe(worker) = action { Some(worker.0) } else { None };
        out.iter().filter_map(probed).collect::<Vec<_>>()
    };
    let out = rig.round(MS, &[request(1, 0)]);
    assert_eq!(probed(&out), []);
    let failed = sends(&out)[0].1;
    let out = rig.round(MS, &[ended(1, 0, Outcome::Error, None)]);
    assert_eq!(probed(&out), [failed], "the job has paid for one probe");
    // Unwell, it gets nothing though its first doubt of a second is over; well, it gets a trial.
    let answer = |outcome| Event::Probed { worker: WorkerId(failed), outcome, report: None };
    rig.round(900 * MS, &[answer(Outcome::Error), ended(1, 1, Outcome::Served, None)]);
    let sent = |rig: &mut Rig, id| {
        let out = rig.round(300 * MS, &[request(id, 0)]);
        let to = sends(&out).first().map(|send| send.1);
        rig.round(MS, &[ended(id, 0, Outcome::Served, None)]);
        rig.round(0, &[answer(Outcome::Served)]);
        to
    };
    assert_ne!(sent(&mut rig, 2), Some(failed));
    let later: Vec<_> = (3..20).filter_map(|id| sent(&mut rig, id)).collect();
    assert!(later.contains(&failed), "{later:?}");
}

#[test]
fn worth_for_work_decides_who_waits() {
    let mut settings = settings();
    settings.classes[1].worth = 8.0;
    let mut rig = Rig::busy(settings);
    let piled = sent_requests(&rig.round(MS, &[request(2, 0), request(3, 1)]));
    assert_eq!(piled, [3]);
}

#[test]
fn of_equal_worth_the_likelier_in_time_goes_first() {
    // i36c8ed: what hardly fits any more took the slots that surer work could have used.
    let mut settings = settings();
    settings.classes[1] = ClassSettings { aim: SECOND, ..class(Effect::Safe) };
    let mut rig = Rig::busy(settings);
    let piled = sent_requests(&rig.round(MS, &[request(2, 0), request(3, 1)]));
    assert_eq!(piled, [3]);
}

#[test]
fn home_comes_first_and_crossing_waits_for_its_price() {
    let mut settings = settings();
    settings.cross_zone_price = 0.5;
    let far = |id| Member { zone: Some(ZoneId(1)), ..member(id) };
    let mut rig = Rig::listing(settings, [member(0), far(1)]);
    assert_eq!(sends(&rig.round(0, &[request(1, 0)])), [(1, 0)]);
    assert!(sends(&rig.round(MS, &[request(2, 0)])).is_empty());
    let crossed = sends(&rig.pass(400 * MS, 10 * MS));
    assert_eq!(crossed, [(2, 1)]);
}

/// The workers that serve one harmless job after the other, of six; each tells its slots free and so many jobs queued.
fn served_by(conn_kept: Micros, every: Micros, queued: f64) -> Vec<u64> {
    let mut rig = Rig::new(Settings { conn_kept, ..settings() }, 6);
    let serve = |rig: &mut Rig, id| {
        let to = sends(&rig.round(every, &[request(id, 0)]))[0].1;
        rig.round(MS, &[started(id, 0)]);
        rig.round(100 * MS, &[ended(id, 0, Outcome::Served, Some((4.0, queued)))]);
        to
    };
    (1..30).map(|id| serve(&mut rig, id)).collect()
}

#[test]
fn idle_workers_to_which_a_connection_is_kept_come_first() {
    // Guards against 300 dispatchers that each pay a new connection for two jobs of three: each chose anew among all
    // idle workers, with connections idling at some of them.
    let used = |served: &[u64]| served.iter().collect::<BTreeSet<_>>().len();
    let kept = served_by(10 * SECOND, SECOND, 0.0);
    assert_eq!(used(&kept), 1, "{kept:?}");
    // Where connections have no price, or would have ended meanwhile, the split is even.
    for spread in [served_by(0, SECOND, 0.0), served_by(10 * SECOND, 11 * SECOND, 0.0)] {
        assert!(used(&spread) > 3, "{spread:?}");
    }
    // A connection is no token: what tells that jobs wait there gets nothing while others are idle.
    let busy = served_by(10 * SECOND, SECOND, 1.0);
    assert_eq!(used(&busy[..6]), 6, "{busy:?}");
}

#[test]
fn a_report_of_all_slots_free_gives_the_token_back_however_soon() {
    // Guards against beliefs upside down: a worker that had just told that it is empty was left out, as its report might
    // be late, for workers that had told nothing at all.
    let again = |rounds: u64| {
        let mut rig = Rig::new(settings(), 2);
        rig.teach_slots(2, 4.0);
        rig.pass(rounds * 30 * SECOND, 30 * SECOND);
        for id in 0..rounds {
            rig.round(MS, &[request(1000 + id, 0)]);
            rig.round(SECOND, &[ended(1000 + id, 0, Outcome::Served, Some((4.0, 0.0)))]);
        }
        let first = sends(&rig.round(10 * SECOND, &[request(1, 0)]));
        rig.round(MS, &[started(1, 0)]);
        rig.round(10 * MS, &[ended(1, 0, Outcome::Served, Some((4.0, 0.0)))]);
        first[0].1 == sends(&rig.round(MS, &[request(2, 0)]))[0].1
    };
    assert!((0..16).any(again), "it is chosen again now and then, as every idle worker");
}

#[test]
fn equal_inputs_give_equal_actions() {
    let play = || {
        let mut rig = Rig::new(settings(), 5);
        (0..200).flat_map(|id| rig.round(7 * MS, &[request(id, id as usize % 2)])).collect::<Vec<_>>()
    };
    assert_eq!(play(), play());
}

#[test]
fn the_worst_served_class_is_ranked_up() {
    // i71126e: worth for work alone let one class starve.
    for (weight, served) in [(0.0, 3), (4.0, 2)] {
        let mut settings = settings();
        settings.worst_class_weight = weight;
        settings.classes[1] = ClassSettings { worth: 2.0, ..class(Effect::Safe) };
        let mut rig = Rig::new(settings, 1);
        rig.teach_slots(1, 1.0);
        // The dearer class is served for a while, the other one never.
        for id in 100..140 {
            rig.round(MS, &[request(id, 1)]);
            rig.round(MS, &[started(id, 0), request(1000 + id, 0)]);
            rig.round(5 * MS, &[ended(id, 0, Outcome::Served, Some((1.0, 0.0)))]);
            rig.round(MS, &[Event::ClientGone { request: RequestId(1000 + id) }]);
            rig.round(MS, &[ended(1000 + id, 0, Outcome::Cancelled, Some((1.0, 0.0)))]);
        }
        rig.round(MS, &[request(1, 1)]);
        rig.round(MS, &[started(1, 0)]);
        let piled = sent_requests(&rig.round(MS, &[request(2, 0), request(3, 1)]));
        assert_eq!(piled, [served], "weight {weight}");
    }
}

#[test]
fn the_excess_of_a_tenant_waits() {
    // i03966e, id5af26: the excess of one tenant took the place of the others.
    let mut settings = settings();
    settings.over_share_worth = 0.1;
    settings.tenants = vec![TenantSettings { quota_per_s: 5.0 }, TenantSettings { quota_per_s: 15.0 }];
    let mut rig = Rig::new(settings, 1);
    rig.teach_slots(1, 1.0);
    let of = |id, tenant| Event::Request(NewRequest { tenant: Some(TenantId(tenant)), ..new_request(id, 0) });
    for id in 10..39 {
        rig.round(MS, &[of(id, 0)]);
        rig.round(MS, &[Event::ClientGone { request: RequestId(id) }]);
        rig.round(MS, &[ended(id, 0, Outcome::Cancelled, None)]);
    }
    rig.round(MS, &[of(50, 1)]);
    rig.round(MS, &[started(50, 0)]);
    // One in four of the tenant's is within its share: the other tenant's comes second at the latest.
    let first = sends(&rig.round(MS, &[of(51, 0), of(52, 0), of(53, 0), of(54, 1)]));
    let second = sends(&rig.round(MS, &[started(first[0].0, 0)]));
    assert!([first[0].0, second[0].0].contains(&54), "{first:?} {second:?}");
}

#[test]
fn a_faded_belief_is_not_taken_for_an_empty_worker() {
    // i685bbd: between two rare reports beliefs faded to empty and all dispatchers sent at once.
    let mut settings = settings();
    settings.tells_start = false;
    settings.dispatchers = 4;
    let mut rig = Rig::new(settings, 2);
    rig.teach_slots(2, 2.0);
    for id in 0..12 {
        rig.round(200 * MS, &[request(id, 0)]);
        rig.round(100 * MS, &[ended(id, 0, Outcome::Served, Some((0.0, 4.0)))]);
    }
    rig.now += 3 * SECOND;
    let out = rig.round(0, &[request(50, 0), request(51, 0), request(52, 0), request(53, 0)]);
    assert!(sends(&out).len() < 4, "two workers that were full are not taken for two empty ones");
}

#[test]
fn where_starts_are_not_told_a_pointer_believed_full_gets_nothing() {
    // i748094, i96ebed: each of many dispatchers added to a queue on Last-Idle that none of them saw.
    for (free, sent) in [(0.2, 2), (1.5, 3)] {
        let mut settings = settings();
        settings.tells_start = false;
        let mut rig = Rig::new(settings, 1);
        rig.teach_slots(1, 3.0);
        // The others hold some of the three slots, as a noisy report has it.
        rig.round(0, &[request(90, 0)]);
        rig.round(100 * MS, &[ended(90, 0, Outcome::Served, Some((free, 0.0)))]);
        let batch: Vec<Event> = (0..6).map(|id| request(id, 0)).collect();
        assert_eq!(sends(&rig.round(0, &batch)).len(), sent, "{free} reported free");
    }
}

#[test]
fn a_worker_in_doubt_gets_one_safe_job_as_a_trial_and_trust_after_it() {
    let mut rig = Rig::new(settings(), 2);
    rig.teach_slots(2, 8.0);
    let bad = sends(&rig.round(0, &[request(1, 1)]))[0].1;
    rig.round(MS, &[ended(1, 0, Outcome::Error, None)]);
    let to_bad = |out: &[Action]| sends(out).iter().filter(|send| send.1 == bad).count();
    let mut trials = 0;
    // One round after another, each job of the other worker started at once.
    for id in 10..40 {
        let out = rig.round(20 * MS, &[request(id, 1)]);
        assert_eq!(to_bad(&out), 0, "unsafe work stays away");
        let others: Vec<Event> = sends(&out).iter().map(|send| started(send.0, 0)).collect();
        rig.round(MS, &others);
        rig.round(MS, &[ended(id, 0, Outcome::Served, Some((8.0, 0.0)))]);
    }
    rig.now += SECOND;
    let mut trial = 0;
    for id in 50..70 {
        let out = rig.round(MS, &[request(id, 0)]);
        trials += to_bad(&out);
        let sent = sends(&out);
        if to_bad(&out) > 0 {
            trial = sent[0].0;
        }
        let all: Vec<Event> = sent.iter().map(|send| started(send.0, 0)).collect();
        rig.round(MS, &all);
    }
    assert_eq!(trials, 1, "one trial at a time");
    rig.round(MS, &[ended(trial, 0, Outcome::Served, Some((8.0, 0.0)))]);
    let more = to_bad(&rig.round(MS, &[request(80, 0), request(81, 0), request(82, 0), request(83, 0)]));
    assert!(more > 0, "trust is back");
}

#[test]
fn what_says_nothing_of_a_worker_costs_it_no_trust() {
    for outcome in [Outcome::Unusable, Outcome::Broken] {
        let mut rig = Rig::new(settings(), 3);
        let first = sends(&rig.round(0, &[request(1, 0)]));
        let out = rig.round(MS, &[ended(1, 0, outcome, None)]);
        assert_eq!(sends(&out).len(), 1, "{outcome:?}: a harmless one is sent again at once");
        assert!(notes(&out).is_empty(), "{outcome:?}: nobody is distrusted");
        // A second worker that cannot use it ends it, and coming back would not help; a broken connection does not.
        let out = rig.round(MS, &[ended(1, 1, outcome, None)]);
        let failed = out.contains(&Action::Fail { request: RequestId(1) });
        assert_eq!(
            (failed, sends(&out).len()),
            if outcome == Outcome::Unusable { (true, 0) } else { (false, 1) }
        );
        assert_eq!(first.len(), 1);
        // What must not run twice is not sent again, as it may have run.
        rig.round(MS, &[request(2, 1)]);
        let out = rig.round(MS, &[ended(2, 0, outcome, None)]);
        assert!(out.contains(&Action::Fail { request: RequestId(2) }), "{outcome:?}");
    }
}

#[test]
fn a_harmless_running_job_that_gives_way_costs_no_trust() {
    // Guards workers that stop harmless jobs for dearer ones: each such reset withheld a sound worker for a typical run.
    for (class, runs, distrusted) in [(0, true, false), (0, false, true), (1, true, true)] {
        let mut rig = Rig::new(settings(), 1);
        rig.teach_slots(1, 2.0);
        rig.round(0, &[request(1, class)]);
        rig.round(MS, &if runs { vec![started(1, 0)] } else { vec![] });
        let out = rig.round(MS, &[ended(1, 0, Outcome::Reset, None)]);
        assert_eq!(!notes(&out).is_empty(), distrusted, "class {class}, runs {runs}: {out:?}");
        // Its slots are taken all the same: nothing goes there before it is heard of again.
        let next = sends(&rig.round(MS, &[request(2, class)]));
        assert!(distrusted || next.is_empty(), "class {class}: {next:?}");
    }
}

#[test]
fn what_an_error_ends_for_good_stays_away_from_a_worker_that_errs_now_and_then() {
    // A node that failed every other job within 50 ms was trusted with fragile jobs after each one it served.
    let mut rig = Rig::new(settings(), 2);
    rig.teach_slots(2, 4.0);
    let mut id = 10;
    let mut job = |rig: &mut Rig, class: usize, outcome: Outcome| {
        id += 1;
        let sent = sends(&rig.round(SECOND, &[request(id, class)]))[0].1;
        rig.round(MS, &[started(id, 0)]);
        // Worker 0 serves all.
        let outcome = if sent == 0 { Outcome::Served } else { outcome };
        rig.round(100 * MS, &[ended(id, 0, outcome, Some((4.0, 0.0)))]);
        rig.round(MS, &[Event::ClientGone { request: RequestId(id) }, ended(id, 1, Outcome::Skipped, None)]);
        sent
    };
    while job(&mut rig, 0, Outcome::Error) == 0 {}
    while job(&mut rig, 0, Outcome::Served) == 0 {}
    for _ in 0..20 {
        assert_eq!(job(&mut rig, 1, Outcome::Served), 0, "trusted with harmless ones only");
    }
    let served = (0..60).filter(|_| job(&mut rig, 0, Outcome::Served) == 1).count();
    assert!(served > 6, "harmless ones go there: {served}");
    assert!((0..60).any(|_| job(&mut rig, 1, Outcome::Served) == 1), "after enough of them, all do");
}

#[test]
fn a_report_on_the_time_before_a_restart_is_no_news() {
    // A claim that outlived the node's restart ended with the load of the process before.
    let mut rig = Rig::new(settings(), 2);
    let sent = sends(&rig.round(0, &[request(1, 0)]))[0].1;
    rig.now += SECOND;
    let booted = rig.now;
    rig.round(0, &[list(ListKind::Changes, [Member { booted, ..member(sent) }])]);
    rig.now += 20 * SECOND;
    rig.round(0, &[ended(1, 0, Outcome::Served, Some((0.0, 5.0)))]);
    let used: BTreeSet<u64> =
        sends(&rig.round(MS, &[request(2, 0), request(3, 0)])).iter().map(|send| send.1).collect();
    assert_eq!(used, BTreeSet::from([0, 1]), "both are held for idle");
}

#[test]
fn with_every_worker_in_doubt_the_pointer_still_serves() {
    let mut rig = Rig::new(settings(), 1);
    rig.round(0, &[request(1, 1)]);
    rig.round(MS, &[ended(1, 0, Outcome::Error, None)]);
    assert_eq!(sends(&rig.round(MS, &[request(2, 1)])).len(), 1);
}

#[test]
fn wide_jobs_count_for_all_the_slots_they_take() {
    let wide = |id| Event::Request(NewRequest { slots: 2.0, memory: 3.0, ..new_request(id, 0) });
    let mut settings = settings();
    settings.tells_start = false;
    let mut rig = Rig::new(settings, 1);
    rig.teach_slots(1, 4.0);
    assert_eq!(sends(&rig.round(0, &[wide(1)])).len(), 1);
    let batch: Vec<Event> = (2..8).map(|id| request(id, 0)).collect();
    assert_eq!(sends(&rig.round(MS, &batch)).len(), 1, "the fourth slot");
    rig.round(100 * MS, &[ended(1, 0, Outcome::Served, None)]);
    assert!(sends(&rig.round(MS, &[wide(9)])).is_empty(), "too little room for a wide job");
}

#[test]
fn a_late_request_leaves_a_slot_free_behind_it_and_never_piles() {
    // i716774: late work kept every slot taken, so that short work in time had to queue behind it.
    let mut settings = settings();
    settings.classes[0].late_worth = 0.3;
    let mut rig = Rig::new(settings, 1);
    rig.teach_slots(1, 3.0);
    rig.round(0, &[request(1, 1)]);
    rig.round(MS, &[started(1, 0)]);
    rig.round(MS, &[request(2, 1)]);
    rig.round(MS, &[started(2, 0)]);
    rig.round(MS, &[request(3, 1)]);
    rig.round(MS, &[started(3, 0), request(4, 1)]);
    assert!(sends(&rig.round(MS, &[request(5, 0)])).is_empty(), "no slot is free, the pile is taken");
    rig.pass(600 * MS, 10 * MS);
    // One slot free: left to what may still be in time. Two: the late request takes one.
    let end = |id| ended(id, 0, Outcome::Served, None);
    let one = rig.round(MS, &[end(1), started(4, 0), end(2)]);
    assert!(sends(&one).is_empty(), "{one:?}");
    let two = rig.round(MS, &[end(3)]);
    assert_eq!(sends(&two), [(5, 0)]);
}

#[test]
fn a_late_request_as_wide_as_a_worker_goes_once_another_worker_stays_free() {
    // Guards wide late jobs: with a slot to be left free behind them they asked for more than any worker has, and were
    // held in vain until their end.
    let mut settings = settings();
    settings.classes[0].late_worth = 0.3;
    let mut rig = Rig::new(settings, 2);
    rig.teach_slots(2, 2.0);
    let wide = |id, class| Event::Request(NewRequest { slots: 2.0, ..new_request(id, class) });
    rig.round(0, &[wide(1, 1), wide(2, 1)]);
    rig.round(MS, &[started(1, 0), started(2, 0)]);
    assert_eq!(sends(&rig.round(MS, &[wide(3, 1)])).len(), 1, "one stays on the pointer");
    assert!(sends(&rig.round(MS, &[wide(4, 0)])).is_empty(), "the next one is held");
    rig.pass(600 * MS, 10 * MS);
    let end = |id| ended(id, 0, Outcome::Served, Some((2.0, 0.0)));
    rig.round(MS, &[end(1), end(2), started(3, 0)]);
    assert!(sends(&rig.round(MS, &[])).is_empty(), "one worker is free: left to what may still be in time");
    assert_eq!(sends(&rig.round(200 * MS, &[end(3)])).len(), 1, "two are: it takes one");
}

#[test]
fn where_starts_are_not_told_work_worth_little_leaves_doubtful_slots_to_dearer_work() {
    // i716774: short dear work queued on workers whose last slots went to long cheap work on a guess.
    for (class, sent) in [(0, 0), (1, 1)] {
        let mut settings = settings();
        settings.tells_start = false;
        settings.dispatchers = 10;
        settings.classes[1].worth = 20.0;
        let mut rig = Rig::new(settings, 1);
        rig.teach_slots(1, 2.0);
        for id in 100..130 {
            rig.round(200 * MS, &[request(id, 1)]);
            rig.round(100 * MS, &[ended(id, 0, Outcome::Served, Some((0.0, 0.8)))]);
        }
        let out = rig.round(0, &[request(1, class)]);
        assert_eq!(sends(&out).len(), sent, "class {class}: hardly a slot is believed free");
    }
}

#[test]
fn one_snapshot_read_often_is_not_many_reports() {
    // iaadf58, i716774: a late snapshot that each answer repeats outweighed all that was known before.
    let believed_full = |times: u64, span: Micros| {
        let mut settings = settings();
        settings.tells_start = false;
        settings.reporting = Reporting::Probes;
        let mut rig = Rig::new(settings, 1);
        rig.teach_slots(1, 2.0);
        let report = LoadReport { free_slots: Some(2.0), queued: Some(0.0) };
        let probed = |report| Event::Probed { worker: WorkerId(0), outcome: Outcome::Served, report };
        rig.round(0, &[probed(Some(report))]);
        let full = LoadReport { free_slots: Some(0.0), queued: Some(3.0) };
        for _ in 0..times {
            rig.round(span / times, &[probed(Some(full))]);
        }
        sends(&rig.round(0, &[request(1, 0), request(2, 0)])).len() < 2
    };
    assert!(!believed_full(20, 20 * MS), "twenty readings within a fifth of a run");
    assert!(believed_full(2, 10 * SECOND), "two reports after long silences");
}

#[test]
fn run_times_seen_beside_hints_tell_what_is_too_late() {
    let mut pace = [1, 3].map(|factor| {
        let mut rig = Rig::new(settings(), 1);
        rig.teach_slots(1, 1.0);
        for id in 10..90 {
            rig.round(0, &[request(id, 0)]);
            rig.round(MS, &[started(id, 0)]);
            rig.round(factor * 100 * MS, &[ended(id, 0, Outcome::Served, Some((1.0, 0.0)))]);
            rig.now += SECOND;
        }
        rig.round(0, &[request(1, 0)]);
        rig.round(MS, &[started(1, 0), request(2, 0), request(3, 0)]);
        rig
    });
    // The aim is half a second: held for 300 ms, a job of 100 ms is still worth a start, one of 300 ms is not.
    let refused = pace.each_mut().map(|rig| answers(&rig.pass(300 * MS, 10 * MS)));
    assert_eq!(refused, [vec![], vec![(3, true)]]);
}

#[test]
fn a_trial_does_not_wait_for_attempts_lost_in_silence() {
    let mut rig = Rig::new(settings(), 2);
    rig.teach_slots(2, 4.0);
    let mut first = Vec::new();
    for id in 0..6 {
        first.extend(sends(&rig.round(0, &[request(id, 1)])));
        rig.round(MS, &[started(id, 0)]);
    }
    // One attempt at a worker fails, the others there never answer.
    let lost = first[0].1;
    assert!(first.iter().filter(|send| send.1 == lost).count() > 1, "{first:?}");
    rig.round(MS, &[ended(0, 0, Outcome::Reset, None)]);
    rig.now += SECOND;
    let trials: Vec<_> = (20..24).flat_map(|id| sends(&rig.round(MS, &[request(id, 0)]))).collect();
    assert_eq!(trials.iter().filter(|send| send.1 == lost).count(), 1, "{trials:?}");
}

#[test]
fn a_sure_slot_elsewhere_comes_before_a_doubtful_one_at_home() {
    // hb56f76: short jobs queued at home on slots free only on a guess while others were surely free.
    let mut settings = settings();
    settings.tells_start = false;
    settings.reporting = Reporting::Probes;
    let away = |id| Member { zone: Some(ZoneId(1)), ..member(id) };
    let mut rig = Rig::listing(settings, [member(0), away(1)]);
    let probed = |worker, free| {
        let report = Some(LoadReport { free_slots: Some(free), queued: Some(0.0) });
        Event::Probed { worker: WorkerId(worker), outcome: Outcome::Served, report }
    };
    rig.round(0, &[probed(0, 2.0), probed(1, 3.0), request(1, 0)]);
    rig.round(SECOND, &[ended(1, 0, Outcome::Served, None)]);
    rig.round(100 * SECOND, &[probed(0, 1.75), probed(1, 3.0)]);
    assert_eq!(sends(&rig.round(0, &[request(2, 0)])), [(2, 0)], "home is idle");
    // A slot at home is left with a quarter of it in doubt, three of the other worker.
    assert_eq!(sends(&rig.round(MS, &[request(3, 0)])), [(3, 1)]);
    assert_eq!(sends(&rig.round(MS, &[request(4, 0)])), [(4, 1)]);
}

/// The notes among the actions.
fn notes(actions: &[Action]) -> Vec<Note> {
    let note = |action: &Action| if let Action::Log(note) = action { Some(*note) } else { None };
    actions.iter().filter_map(note).collect()
}

#[test]
fn notes_tell_of_distrust_once_and_of_trust_regained() {
    let mut rig = Rig::new(settings(), 1);
    rig.teach_slots(1, 2.0);
    rig.round(0, &[request(1, 1)]);
    rig.round(MS, &[started(1, 0), request(2, 1)]);
    rig.round(MS, &[started(2, 0)]);
    let out = rig.round(MS, &[ended(1, 0, Outcome::Error, None), ended(2, 0, Outcome::Error, None)]);
    let [Note::Withheld { worker: WorkerId(0), span }] = notes(&out)[..] else { panic!("{out:?}") };
    assert!(span > 0);
    rig.now += SECOND;
    let trial = sent_requests(&rig.round(0, &[request(3, 0)]));
    let served = rig.round(MS, &[ended(trial[0], 0, Outcome::Served, None)]);
    assert_eq!(notes(&served), [Note::Trusted { worker: WorkerId(0) }]);
}

#[test]
fn notes_are_few_however_much_goes_wrong() {
    let mut rig = Rig::new(settings(), 30);
    let batch: Vec<Event> = (0..30).map(|id| request(id, 1)).collect();
    let failed: Vec<Event> =
        sends(&rig.round(0, &batch)).iter().map(|send| ended(send.0, 0, Outcome::Error, None)).collect();
    assert!(failed.len() > 10);
    assert_eq!(notes(&rig.round(MS, &failed)).len(), 4);
    // Without any worker everything is given up, and one line says so.
    let mut rig = Rig::new(settings(), 0);
    let batch: Vec<Event> = (0..30).map(|id| request(id, 0)).collect();
    rig.round(0, &batch);
    let out = rig.pass(5 * SECOND, 10 * MS);
    assert_eq!((answers(&out).len(), notes(&out).len()), (30, 1));
}

#[test]
fn slots_that_share_cores_are_not_all_used() {
    // i3b0794: workers with more slots than cores ran every job late, as each took the time of the others.
    let sent = [1, 4].map(|slower| {
        let mut rig = Rig::new(settings(), 1);
        rig.teach_slots(1, 16.0);
        // Four jobs at once keep their pace; four more have to share cores.
        for first in (10..330).step_by(8) {
            for id in first..first + 8 {
                rig.round(0, &[request(id, 0)]);
                rig.round(0, &[started(id, 0)]);
            }
            let end = |id| ended(id, 0, Outcome::Served, Some((16.0, 0.0)));
            rig.round(100 * MS, &(first..first + 4).map(end).collect::<Vec<_>>());
            rig.round((slower - 1) * 100 * MS, &(first + 4..first + 8).map(end).collect::<Vec<_>>());
            rig.now += SECOND;
        }
        let send = |id| sends(&rig.round(0, &[request(id, 1), started(id - 1, 0)])).len();
        (330..346).map(send).sum::<usize>()
    });
    assert!(sent[0] == 16 && (1..=8).contains(&sent[1]), "{sent:?}");
}

#[test]
fn empty_hints_and_runs_teach_no_pace() {
    let mut rig = Rig::new(settings(), 1);
    rig.teach_slots(1, 1.0);
    for id in 10..30_000 {
        let new = NewRequest { hint: Some(id % 2), ..new_request(id, 0) };
        rig.round(MS, &[Event::Request(new)]);
        rig.round(0, &[started(id, 0)]);
        rig.round(0, &[ended(id, 0, Outcome::Served, Some((1.0, 0.0)))]);
    }
    assert_eq!(sends(&rig.round(SECOND, &[request(1, 0)])), [(1, 0)]);
    assert!(answers(&rig.pass(SECOND, 100 * MS)).is_empty());
}

#[test]
fn dispatchers_do_not_all_probe_the_same_worker_first() {
    // At full size all dispatchers knew only the first workers of the list, and all work went there.
    let mut firsts = BTreeSet::new();
    for seed in 0..20 {
        let mut settings = settings();
        (settings.reporting, settings.limits.probes) = (Reporting::Probes, true);
        let mut dispatcher = Dispatcher::new(settings, seed).unwrap();
        let mut out = Vec::new();
        dispatcher.round(SECOND, &[list(ListKind::Full, (0..50).map(member)), request(1, 0)], &mut out);
        firsts.extend(out.iter().filter_map(|action| match action {
            Action::Probe(worker) => Some(*worker),
            _ => None,
        }));
    }
    assert!(firsts.len() > 10, "{firsts:?}");
}

/// Workers that get a job while so many requests come at once, a hundred times, each served soon after.
fn workers_used(workers: u64, at_once: u64) -> BTreeSet<u64> {
    let mut rig = Rig::new(settings(), workers);
    let mut used = BTreeSet::new();
    for batch in 0..100 {
        let ids = batch * at_once..(batch + 1) * at_once;
        let requests: Vec<_> = ids.clone().map(|id| request(id, 0)).collect();
        let sent = sends(&rig.round(100 * MS, &requests));
        used.extend(sent.iter().map(|send| send.1));
        rig.round(MS, &sent.iter().map(|send| started(send.0, 0)).collect::<Vec<_>>());
        let end = |send: &(u64, u64)| ended(send.0, 0, Outcome::Served, Some((4.0, 0.0)));
        rig.round(90 * MS, &sent.iter().map(end).collect::<Vec<_>>());
    }
    used
}

#[test]
fn thin_traffic_keeps_to_a_set_of_workers() {
    // At full size each dispatcher spread a few jobs over hundreds of workers and knew none of them.
    assert!(workers_used(100, 1).len() < 20, "few jobs, few workers");
    assert!(workers_used(100, 60).len() > 50, "many jobs, many workers");
    assert_eq!(workers_used(5, 1).len(), 5, "few workers are all kept");
}

#[test]
fn the_set_has_workers_for_a_choice_in_each_zone() {
    // Guards against sets of ten that five zones left two of a kind in the own one, for wide and narrow jobs together.
    for (zones, kept) in [(1, 10), (5, 15), (20, 60)] {
        let placed = |id| Member { zone: Some(ZoneId(id as usize % zones)), ..member(id) };
        let mut rig = Rig::listing(settings(), (0..100).map(placed));
        // No job ends: each goes to a worker whose token is held, until none is.
        let sent = (0..80).flat_map(|id| sends(&rig.round(5 * SECOND, &[request(id, 1)])));
        let used: BTreeSet<u64> = sent.map(|send| send.1).collect();
        assert_eq!(used.len(), kept, "{zones} zones");
    }
}

#[test]
fn a_failing_worker_leaves_the_set_for_another() {
    let mut rig = Rig::new(settings(), 100);
    let mut failed = BTreeSet::new();
    for id in 1..=60 {
        let sent = sends(&rig.round(5 * SECOND, &[request(id, 1)]))[0].1;
        assert!(failed.insert(sent), "unsafe work does not go back to {sent}");
        rig.round(MS, &[ended(id, 0, Outcome::Error, None)]);
    }
}

#[test]
fn dispatchers_keep_different_sets() {
    let mut all = BTreeSet::new();
    for seed in 0..30 {
        let mut dispatcher = Dispatcher::new(settings(), seed).unwrap();
        let mut out = Vec::new();
        dispatcher.round(SECOND, &[list(ListKind::Full, (0..100).map(member)), request(1, 0)], &mut out);
        all.extend(sends(&out).iter().map(|send| send.1));
    }
    assert!(all.len() > 20, "{all:?}");
}

#[test]
fn live_weights_take_a_token_away_and_return_none() {
    let mut settings = settings();
    settings.live_weights = true;
    let weighing = |id, weight| Member { weight, ..member(id) };
    let mut rig = Rig::listing(settings, (0..2).map(|id| weighing(id, 4.0)));
    rig.teach_slots(2, 4.0);
    rig.round(0, &[list(ListKind::Changes, [weighing(1, 1.0)])]);
    for id in 1..=2 {
        let sent = sends(&rig.round(MS, &[request(id, 0)]));
        assert_eq!(sent, [(id, 0)], "the list shows worker 1 with three times its size in work");
        rig.round(MS, &[started(id, 0)]);
    }
    // Idle again by the list alone: worker 0 holds two own jobs of four, worker 1 gets its slots back, no token.
    rig.round(20 * SECOND, &[list(ListKind::Changes, [weighing(1, 4.0)])]);
    assert_eq!(sends(&rig.round(MS, &[request(3, 0)])), [(3, 1)], "it is believed emptier");
}

/// A dispatcher whose job 1, of the given class, waits on a worker of one slot while another worker is idle.
fn waiting(class: usize, cancel: bool) -> Rig {
    let mut settings = settings();
    settings.limits.cancel = cancel;
    let mut rig = Rig::new(settings, 2);
    rig.teach_slots(2, 1.0);
    rig.round(0, &[request(1, class)]);
    rig
}

fn recalled(actions: &[Action]) -> bool {
    actions.iter().any(|action| matches!(action, Action::Cancel { request: RequestId(1), attempt: 0 }))
}

#[test]
fn a_harmless_job_that_does_not_start_is_called_back_while_a_token_is_held() {
    // Hung workers, and workers that others had filled, kept jobs until they were late.
    let mut rig = waiting(0, true);
    assert!(!recalled(&rig.pass(100 * MS, 10 * MS)), "not before half of its slack is gone");
    assert!(recalled(&rig.pass(150 * MS, 10 * MS)));
    let again = sends(&rig.round(MS, &[ended(1, 0, Outcome::Cancelled, None)]));
    assert_eq!(again.len(), 1, "it goes to the idle worker");
}

#[test]
fn what_may_not_or_need_not_be_called_back_stays() {
    assert!(!recalled(&waiting(1, true).pass(SECOND, 10 * MS)), "an unsafe job may have run");
    assert!(!recalled(&waiting(0, false).pass(SECOND, 10 * MS)), "the site forbids to cancel");
    let mut started_job = waiting(0, true);
    started_job.round(MS, &[started(1, 0)]);
    assert!(!recalled(&started_job.pass(SECOND, 10 * MS)), "it runs");
    let mut alone = Rig::new(settings(), 1);
    alone.teach_slots(1, 1.0);
    alone.round(0, &[request(1, 0)]);
    assert!(!recalled(&alone.pass(SECOND, 10 * MS)), "no other token is held");
}

/// A site where the second class needs kind 1, of which workers 0 to 11 are, and 12 to 15 are of kind 0.
fn two_kinds(index: usize) -> Rig {
    let mut settings = settings();
    (settings.index, settings.dispatchers) = (index, 100);
    settings.classes[1].kind = Some(KindId(1));
    let kind = |id| if id < 12 { Some(KindId(1)) } else { Some(KindId(0)) };
    let members = (0..16).map(|id| Member { kind: kind(id), ..member(id) });
    let mut rig = Rig { dispatcher: Dispatcher::new(settings, index as u64).unwrap(), now: 100 * SECOND };
    rig.round(0, &[list(ListKind::Cached, members)]);
    rig.now += 100 * SECOND;
    rig
}

#[test]
fn wide_and_narrow_jobs_keep_apart_alike_at_all_dispatchers() {
    // Guards against wide jobs at the head of a queue behind narrow ones of other dispatchers: slots stand empty
    // until all four are free. Nobody tells these dispatchers of each other, and their seeds differ.
    let mut taken = [BTreeSet::new(), BTreeSet::new()];
    for index in 0..20 {
        let mut rig = two_kinds(index);
        for id in 0..30 {
            let slots = if id % 5 == 0 { 4.0 } else { 1.0 };
            let new = NewRequest { slots, hint: None, ..new_request(id, 1) };
            for (_, worker) in sends(&rig.round(SECOND, &[Event::Request(new)])) {
                taken[usize::from(slots > 1.0)].insert(worker);
            }
            rig.round(MS, &[started(id, 0)]);
            rig.round(SECOND, &[ended(id, 0, Outcome::Served, Some((4.0, 0.0)))]);
        }
    }
    let [narrow, wide] = &taken;
    assert!(wide.len() >= 3 && narrow.len() >= 7, "{taken:?}");
    assert!(wide.is_disjoint(narrow), "{taken:?}");
}

#[test]
fn what_runs_anywhere_leaves_a_kind_that_others_need_while_there_is_room() {
    // Guards against small work that many dispatchers bring to the few workers that dearer work can run on.
    let mut rig = two_kinds(3);
    for id in 0..40 {
        let sent = sends(&rig.round(SECOND, &[request(id, 0)]));
        assert!(sent[0].1 >= 12, "{sent:?}");
        rig.round(MS, &[started(id, 0)]);
        rig.round(100 * MS, &[ended(id, 0, Outcome::Served, Some((4.0, 0.0)))]);
    }
    // With all of the others full it is kept from nothing.
    let burst: Vec<_> = (100..130).map(|id| request(id, 0)).collect();
    let sent = sends(&rig.round(SECOND, &burst));
    assert!(sent.iter().any(|send| send.1 < 12), "{sent:?}");
}

#[test]
fn what_an_older_process_of_the_dispatcher_runs_is_over_for_the_newer_one_as_runs_usually_are() {
    // Guards the time after an upgrade: as others' jobs these were believed in for four typical runs, and with all
    // nodes full so long the newer process refused a sixth of what came to it.
    let names = Names {
        classes: vec!["safe".to_owned(), "once".to_owned()],
        zones: vec!["north".to_owned()],
        kinds: vec!["box".to_owned()],
        ..Names::default()
    };
    let facade = || {
        let settings = Settings { tells_start: false, ..settings() };
        Facade::new(settings, names.clone(), 7).unwrap()
    };
    let machine = Machine {
        name: "a".to_owned(),
        availability: Availability::Ready,
        started_ms: 0.0,
        zone: Some("north".to_owned()),
        kind: Some("box".to_owned()),
        abilities: Vec::new(),
        cell: None,
        weight: 1.0,
    };
    let job = |slots| JobFacts {
        class: "safe".to_owned(),
        tenant: None,
        remaining_ms: 5_000.0,
        slots,
        memory: 0.0,
        hint_ms: Some(100.0),
    };
    let claimed = |steps: &[Step]| steps.iter().any(|step| matches!(step, Step::Claim { .. }));
    let load = |free| LoadReport { free_slots: Some(free), queued: Some(0.0) };
    let mut old = facade();
    old.list(1e5, ListKind::Full, std::slice::from_ref(&machine));
    old.load(1e5, "a", load(4.0));
    // A typical run is a second until runs are seen.
    for id in 0..4 {
        assert!(claimed(&old.pick(1e5, id, &job(1.0))));
        old.report(1e5, id, 0, Report::Started);
    }
    let learnt = old.learnt();
    assert_eq!((learnt.machines[0].used, learnt.machines[0].own), (4.0, 4.0));
    let newer = |learnt: &Learnt| {
        let mut new = facade();
        new.list(1e5, ListKind::Full, std::slice::from_ref(&machine));
        assert!(new.inherit(1e5, learnt));
        new
    };
    // At once the node is full; two runs later, with reports coming all the while, it has room for three jobs.
    assert!(!claimed(&newer(&learnt).pick(1e5, 9, &job(1.0))));
    let mut new = newer(&learnt);
    (1..=10).for_each(|report| drop(new.load(1e5 + 200.0 * f64::from(report), "a", load(4.0))));
    assert!((10..13).all(|id| claimed(&new.pick(1e5 + 2_001.0, id, &job(1.0)))));
    // One that cannot be meant is not taken.
    let mut unsound = learnt;
    unsound.machines[0].own = 5.0;
    assert!(!facade().inherit(1e5, &unsound));
}
