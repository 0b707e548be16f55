//! Reading the platform's list of runners.

use proptest::prelude::*;
use ruddervalve_configuration::Settings;
use ruddervalve_coordinator::listing::{ListAnswer, ListCall, ListProgress, ListReader};
use ruddervalve_coordinator::listing_pace::{Backoff, ListPace};
use ruddervalve_coordinator::listing_page::{ListPage, PageFault};
use ruddervalve_protocol::{Runner, RunnerPhase};

const PACE: ListPace =
    ListPace { interval_ms: 750, gap_ms: 50, call_timeout_ms: 750, collection_limit_ms: 2200 };
const TERM: u64 = 4;
const SEED: u64 = 7;

fn runner(uid: &str) -> Runner {
    Runner {
        uid: uid.to_owned(),
        service: "library".to_owned(),
        address: "10.128.0.9:8080".to_owned(),
        zone: "north".to_owned(),
        capacity: 12,
        phase: RunnerPhase::Ready,
        cold_remaining_ms: 0,
    }
}

fn page(uids: &[&str], next_page: Option<&str>) -> ListAnswer {
    ListAnswer::Page(ListPage {
        runners: uids.iter().map(|uid| runner(uid)).collect(),
        next_page: next_page.map(str::to_owned),
        skipped: 0,
    })
}

fn reader() -> ListReader {
    ListReader::new(PACE, TERM, SEED, 0)
}

fn uids(reader: &ListReader) -> Vec<&str> {
    reader.list().map_or(Vec::new(), |list| list.runners.iter().map(|runner| runner.uid.as_str()).collect())
}

/// The call at the time at which the reader wants to be woken.
fn next_call(reader: &mut ListReader, now_ms: &mut u64) -> ListCall {
    *now_ms = reader.next_wake_ms().max(*now_ms);
    reader.poll(*now_ms).expect("a call is due")
}

#[test]
fn a_page_is_read_and_broken_entries_are_counted() {
    let body = r#"{"Instances":[
        {"Backend":"library","Address":"10.128.0.9:8080","Zone":"north","ResourceVersion":"v1","Capacity":12,"Phase":"ready","ColdRemainingMs":150.5,"Uid":"i-1"},
        {"Backend":"library","Address":"10.128.0.10:8080","Zone":"north","Capacity":3,"Phase":"draining","Uid":"i-2"},
        {"Backend":"library","Address":"10.128.0.10:8080","Capacity":3,"Phase":"leaving soon","ColdRemainingMs":-3,"Uid":"i-3"},
        {"Backend":"library","Address":"10.128.0.10","Capacity":3,"Phase":"ready","Uid":"i-4"},
        {"Backend":"library","Address":"10.128.0.10:8080","Capacity":-3,"Phase":"ready","Uid":"i-5"},
        {"Backend":"library","Address":"10.128.0.10:8080","Phase":"ready","Uid":"i-6"},
        {"Backend":"library","Address":"10.128.0.10:8080","Capacity":3,"Uid":"i-7"},
        {"Backend":"library","Address":"10.128.0.10:8080","Capacity":3,"Phase":"ready"},
        {"Backend":"","Address":"10.128.0.10:8080","Capacity":3,"Phase":"ready","Uid":"i-9"},
        null, 7, []],"NextPageToken":"p-50","Colour":1}"#;
    insta::assert_debug_snapshot!(ListPage::parse(body.as_bytes()).expect("the page is whole"));
}

#[test]
fn the_last_page_has_no_token() {
    for token in [r#","NextPageToken":null"#, r#","NextPageToken":"""#, ""] {
        let body = format!(r#"{{"Instances":[]{token}}}"#);
        assert_eq!(ListPage::parse(body.as_bytes()), Ok(ListPage::default()));
    }
}

#[test]
fn a_page_that_is_broken_as_a_whole_is_a_fault() {
    assert_eq!(ListPage::parse(b"{}"), Err(PageFault::NoInstances));
    assert_eq!(ListPage::parse(br#"{"Instances":{}}"#), Err(PageFault::NoInstances));
    assert_eq!(ListPage::parse(br#"{"Instances":[],"NextPageToken":5}"#), Err(PageFault::BadToken));
    assert!(matches!(ListPage::parse(br#"{"Instances":["#), Err(PageFault::Unreadable(_))));
}

#[test]
fn a_list_is_made_of_all_its_pages() {
    let mut reader = reader();
    let first = reader.poll(0).expect("it is due");
    assert_eq!((first.target.as_str(), first.give_up_ms), ("/instances", 750));
    assert_eq!(reader.poll(10), None);
    assert_eq!(reader.answer(first.number, page(&["b", "a"], Some("p 5/ü")), 20), ListProgress::Unfinished);
    assert_eq!(reader.list(), None);
    assert_eq!((reader.poll(69), reader.next_wake_ms()), (None, 70));
    let second = reader.poll(70).expect("it is due");
    assert_eq!(second.target, "/instances?PageToken=p%205%2F%C3%BC");
    assert_eq!(reader.answer(second.number, page(&["c"], None), 90), ListProgress::Changed);
    assert_eq!(uids(&reader), ["a", "b", "c"]);
    assert_eq!(reader.list().map(|list| (list.term, list.sequence)), Some((TERM, 1)));
    // The next list starts an interval after this one did.
    assert_eq!(reader.next_wake_ms(), 750);
    assert_eq!(reader.poll(750).map(|call| call.target).as_deref(), Some("/instances"));
}

#[test]
fn a_list_that_takes_longer_than_the_interval_is_followed_after_the_gap() {
    let mut reader = reader();
    let call = reader.poll(0).expect("it is due");
    reader.answer(call.number, page(&["a"], Some("p")), 700);
    let call = reader.poll(750).expect("it is due");
    reader.answer(call.number, page(&["b"], None), 1400);
    assert_eq!(reader.next_wake_ms(), 1450);
}

#[test]
fn a_list_that_says_the_same_keeps_its_sequence() {
    let mut reader = reader();
    let mut now = 0;
    let call = next_call(&mut reader, &mut now);
    assert_eq!(reader.answer(call.number, page(&["a"], None), now), ListProgress::Changed);
    let call = next_call(&mut reader, &mut now);
    let warmer =
        ListPage { runners: vec![Runner { cold_remaining_ms: 9, ..runner("a") }], ..ListPage::default() };
    assert_eq!(reader.answer(call.number, ListAnswer::Page(warmer), now), ListProgress::Unchanged);
    assert_eq!(reader.list().map(|list| list.sequence), Some(1));
    for changed in [
        Runner { phase: RunnerPhase::Draining, ..runner("a") },
        Runner { capacity: 1, ..runner("a") },
        Runner { address: "10.128.0.9:8081".to_owned(), ..runner("a") },
        runner("z"),
    ] {
        let call = next_call(&mut reader, &mut now);
        let answer = ListAnswer::Page(ListPage { runners: vec![changed], ..ListPage::default() });
        assert_eq!(reader.answer(call.number, answer, now), ListProgress::Changed);
    }
    assert_eq!(reader.list().map(|list| list.sequence), Some(5));
}

#[test]
fn a_runner_on_two_pages_stands_once_with_its_later_entry() {
    let mut reader = reader();
    let mut now = 0;
    let call = next_call(&mut reader, &mut now);
    reader.answer(call.number, page(&["a", "b"], Some("p")), now);
    let call = next_call(&mut reader, &mut now);
    let draining = Runner { phase: RunnerPhase::Draining, ..runner("b") };
    let answer = ListAnswer::Page(ListPage { runners: vec![draining], next_page: None, skipped: 2 });
    reader.answer(call.number, answer, now);
    assert_eq!(uids(&reader), ["a", "b"]);
    let phases: Vec<RunnerPhase> =
        reader.list().map_or(Vec::new(), |list| list.runners.iter().map(|runner| runner.phase).collect());
    assert_eq!(phases, [RunnerPhase::Ready, RunnerPhase::Draining]);
    assert_eq!(reader.skipped(), 2);
}

#[test]
fn a_failed_page_is_asked_for_again_and_no_half_list_is_told() {
    let mut reader = reader();
    let mut now = 0;
    let call = next_call(&mut reader, &mut now);
    reader.answer(call.number, page(&["a"], None), now);
    let call = next_call(&mut reader, &mut now);
    reader.answer(call.number, page(&["b"], Some("p")), now);
    let call = next_call(&mut reader, &mut now);
    assert_eq!(call.target, "/instances?PageToken=p");
    assert_eq!(reader.answer(call.number, ListAnswer::Failed, now), ListProgress::Unfinished);
    assert_eq!(uids(&reader), ["a"]);
    let call = next_call(&mut reader, &mut now);
    assert_eq!(call.target, "/instances?PageToken=p");
    assert_eq!(reader.answer(call.number, page(&["c"], None), now), ListProgress::Changed);
    assert_eq!(uids(&reader), ["b", "c"]);
}

#[test]
fn a_page_that_keeps_failing_has_the_list_begun_anew() {
    let mut reader = reader();
    let mut now = 0;
    let call = next_call(&mut reader, &mut now);
    reader.answer(call.number, page(&["b"], Some("lapsed")), now);
    for _ in 0..3 {
        let call = next_call(&mut reader, &mut now);
        assert_eq!(call.target, "/instances?PageToken=lapsed");
        reader.answer(call.number, ListAnswer::Failed, now);
    }
    assert_eq!(next_call(&mut reader, &mut now).target, "/instances");
}

#[test]
fn pages_that_are_too_old_are_no_base_for_a_list() {
    let mut reader = reader();
    let call = reader.poll(0).expect("it is due");
    reader.answer(call.number, page(&["a"], Some("p")), 10);
    let call = reader.poll(2300).expect("it is due");
    reader.answer(call.number, ListAnswer::Failed, 2310);
    assert_eq!(reader.poll(5000).map(|call| call.target).as_deref(), Some("/instances"));
}

#[test]
fn a_page_that_names_itself_as_the_next_is_a_failure() {
    let mut reader = reader();
    let mut now = 0;
    let call = next_call(&mut reader, &mut now);
    reader.answer(call.number, page(&["a"], Some("p")), now);
    for _ in 0..3 {
        let call = next_call(&mut reader, &mut now);
        assert_eq!(reader.answer(call.number, page(&["b"], Some("p")), now), ListProgress::Unfinished);
    }
    assert_eq!(next_call(&mut reader, &mut now).target, "/instances");
    assert_eq!(reader.list(), None);
}

#[test]
fn a_silent_platform_is_given_up_on_and_the_last_list_is_kept() {
    let mut reader = reader();
    let mut now = 0;
    let call = next_call(&mut reader, &mut now);
    reader.answer(call.number, page(&["a"], None), now);
    let silent = next_call(&mut reader, &mut now);
    assert_eq!(reader.next_wake_ms(), silent.give_up_ms);
    assert_eq!(reader.poll(silent.give_up_ms - 1), None);
    assert_eq!(reader.poll(silent.give_up_ms), None);
    assert!(reader.next_wake_ms() > silent.give_up_ms);
    let next = next_call(&mut reader, &mut now);
    // The late answer of the first call counts for nothing.
    assert_eq!(reader.answer(silent.number, page(&["late"], None), now), ListProgress::Unfinished);
    assert_eq!(uids(&reader), ["a"]);
    assert_eq!(reader.answer(next.number, page(&["b"], None), now), ListProgress::Changed);
    assert_eq!(reader.answer(next.number, page(&["c"], None), now), ListProgress::Unfinished);
    assert_eq!(uids(&reader), ["b"]);
}

#[test]
fn too_many_calls_are_answered_by_waiting_as_asked_up_to_the_interval() {
    let mut reader = reader();
    let call = reader.poll(0).expect("it is due");
    reader.answer(call.number, ListAnswer::TooMany { retry_after_ms: Some(300) }, 0);
    assert_eq!(reader.next_wake_ms(), 300);
    let call = reader.poll(300).expect("it is due");
    reader.answer(call.number, ListAnswer::TooMany { retry_after_ms: Some(60_000) }, 300);
    assert_eq!(reader.next_wake_ms(), 300 + PACE.interval_ms);
}

#[test]
fn the_pace_follows_from_the_settings() {
    let settings = |drain_timeout_ms: u64, lag_ms: u64, rate: f64| {
        let body = format!(
            r#"{{"NodeName":"n","Serves":[],"Ip":"10.1.0.40","Zone":"z","InternalPortRange":[7780,7780],"SeedNodes":[],
            "Bounds":{{"LivenessMs":4000,"DrainTimeoutMs":{drain_timeout_ms}}},
            "CloudProvider":{{"Address":"10.9.9.9:80","RatePerS":{rate},"MaxLagMs":{lag_ms}}}}}"#
        );
        Settings::parse(body.as_bytes()).expect("it is valid")
    };
    let pace =
        |settings: &Settings| ListPace::new(&settings.cloud_provider.expect("it is given"), &settings.bounds);
    let usual = pace(&settings(3000, 800, 50.0));
    assert_eq!(
        usual,
        ListPace { interval_ms: 750, gap_ms: 50, call_timeout_ms: 750, collection_limit_ms: 2200 }
    );
    let tight = pace(&settings(0, 800, 0.001));
    assert_eq!((tight.interval_ms, tight.gap_ms, tight.collection_limit_ms), (50, 2_500_000, 50));
}

/// What the platform does with a call.
#[derive(Debug, Clone, Copy)]
enum Fate {
    Page,
    LastPage,
    TooMany,
    Failed,
    Silent,
}

fn any_fate() -> impl Strategy<Value = Fate> {
    prop::sample::select(vec![
        Fate::Page,
        Fate::Page,
        Fate::LastPage,
        Fate::TooMany,
        Fate::Failed,
        Fate::Silent,
    ])
}

proptest! {
    #[test]
    fn calls_keep_their_distance_whatever_the_platform_does(
        fates in prop::collection::vec((any_fate(), 0_u64..400), 1..80),
        seed: u64,
    ) {
        let mut reader = ListReader::new(PACE, TERM, seed, 0);
        let mut now = 0;
        let mut last_call: Option<u64> = None;
        let mut tokens = 0_u64;
        for (fate, delay) in fates {
            let call = loop {
                now = reader.next_wake_ms().max(now);
                if let Some(call) = reader.poll(now) {
                    break call;
                }
            };
            if let Some(last) = last_call {
                prop_assert!(now - last >= PACE.gap_ms, "{} ms after the last call", now - last);
                prop_assert!(now - last <= PACE.call_timeout_ms + PACE.interval_ms);
            }
            last_call = Some(now);
            let before = uids(&reader).len();
            let answered = now + delay;
            tokens += 1;
            let progress = match fate {
                Fate::Page => reader.answer(call.number, page(&["a"], Some(&tokens.to_string())), answered),
                Fate::LastPage => reader.answer(call.number, page(&["a", "b"], None), answered),
                Fate::TooMany => {
                    reader.answer(call.number, ListAnswer::TooMany { retry_after_ms: Some(delay * 10) }, answered)
                }
                Fate::Failed => reader.answer(call.number, ListAnswer::Failed, answered),
                Fate::Silent => ListProgress::Unfinished,
            };
            prop_assert_eq!(progress != ListProgress::Unfinished, matches!(fate, Fate::LastPage));
            prop_assert!(uids(&reader).len() >= before);
            if !matches!(fate, Fate::Silent) {
                now = answered;
            }
        }
    }

    #[test]
    fn waits_grow_from_the_gap_to_the_interval(seed: u64, failures in 1_usize..100) {
        let mut backoff = Backoff::new(PACE, seed);
        let waits: Vec<u64> = (0..failures).map(|_| backoff.next(None)).collect();
        prop_assert!(waits.iter().all(|wait| (PACE.gap_ms..=PACE.interval_ms).contains(wait)));
        prop_assert_eq!(waits.first(), Some(&PACE.gap_ms));
        prop_assert!(waits.iter().skip(5).all(|wait| *wait >= PACE.interval_ms / 2));
        backoff.reset();
        prop_assert_eq!(backoff.next(None), PACE.gap_ms);
    }

    #[test]
    fn no_bytes_make_it_panic(bytes in prop::collection::vec(any::<u8>(), 0..300)) {
        let _ = ListPage::parse(&bytes);
    }
}
