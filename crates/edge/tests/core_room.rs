//! Appends wait for room on the connections to stores.

mod core_support;

use std::collections::BTreeSet;

use bytes::Bytes;
use core_support::{Play, SUSPECT_MS, TARGET_MS, accepted, answers, appends, group, store};
use ruddervalve_edge::front::StatusCode;
use ruddervalve_protocol::StoreToEdge;

/// Bytes that may wait on the connection to a store.
const WINDOW: usize = 2_000;
/// A body of which two leave room for a third, and three fill the window.
const LARGE: usize = WINDOW * 2 / 5;

fn large() -> Bytes {
    Bytes::from(vec![0; LARGE])
}

fn serving() -> Play {
    Play::with_window(WINDOW).served()
}

/// Sends messages with one key: only one shard may have them. The store that leads it.
fn post_keyed(play: &mut Play, count: usize) -> u64 {
    for number in 0..count {
        play.post_body("/k/1", &format!("m{number}"), Some("anna"), large());
    }
    let sent = appends(&play.outputs());
    assert_eq!(sent.len(), 3, "{sent:?}");
    let stores: BTreeSet<u64> = sent.iter().map(|(to, _, _)| *to).collect();
    assert_eq!(stores.len(), 1, "{sent:?}");
    sent[0].0
}

#[test]
fn no_more_is_sent_to_a_store_than_the_window_of_its_connection_takes() {
    let mut play = serving();
    let leader = post_keyed(&mut play, 7);
    play.core.store_unsent(play.now, store(leader), WINDOW);
    assert!(appends(&play.outputs()).is_empty(), "there is no room yet");
    play.core.store_unsent(play.now, store(leader), 2 * LARGE);
    assert_eq!(appends(&play.outputs()).len(), 1);
    play.core.store_unsent(play.now, store(leader), 0);
    assert_eq!(appends(&play.outputs()).len(), 3);
    play.core.store_unsent(play.now, store(leader), 0);
    assert!(appends(&play.outputs()).is_empty(), "each was sent once");
}

#[test]
fn what_waits_for_room_is_sent_in_the_order_in_which_it_came() {
    let mut play = serving();
    let leader = post_keyed(&mut play, 6);
    play.core.store_unsent(play.now, store(leader), 0);
    let numbers: Vec<u64> = appends(&play.outputs()).into_iter().map(|(_, number, _)| number).collect();
    assert_eq!(numbers, [4, 5, 6]);
}

#[test]
fn a_message_that_may_go_anywhere_goes_where_there_is_room() {
    let mut play = serving();
    for number in 0..9 {
        play.post_body("/p/1", &format!("m{number}"), None, large());
    }
    let sent = appends(&play.outputs());
    let to = |number: u64| sent.iter().filter(|(to, _, _)| *to == number).count();
    assert_eq!((to(1), to(2), to(3)), (3, 3, 3), "{sent:?}");
}

#[test]
fn a_message_for_which_no_room_comes_is_refused_with_a_promise() {
    let mut play = serving();
    let leader = post_keyed(&mut play, 4);
    for _ in 0..4 * TARGET_MS {
        // The store reads, slowly: it says something now and then.
        play.says(leader, StoreToEdge::Alive);
        play.pass(1);
    }
    let answers = answers(play.outputs());
    let refused: Vec<_> =
        answers.iter().filter(|(_, answer)| answer.status == StatusCode::SERVICE_UNAVAILABLE).collect();
    assert_eq!(refused.len(), 1, "{answers:?}");
    assert_eq!(refused[0].0.0, 4, "the one that was never sent");
}

#[test]
fn what_waits_for_room_follows_its_shard_to_the_next_leader() {
    let mut play = serving();
    let leader = post_keyed(&mut play, 5);
    play.core.store_down(play.now, store(leader));
    assert!(appends(&play.outputs()).is_empty());
    let next = leader % 3 + 1;
    play.says(next, StoreToEdge::Leading { groups: vec![(group(next), 1), (group(leader), 2)] });
    let sent = appends(&play.outputs());
    assert_eq!(sent.len(), 3, "{sent:?}");
    assert!(sent.iter().all(|(to, _, _)| *to == next), "{sent:?}");
    play.core.store_unsent(play.now, store(next), 0);
    let sent = appends(&play.outputs());
    assert_eq!(sent.len(), 2, "{sent:?}");
}

#[test]
fn a_client_whose_message_waited_for_room_gets_its_answer_once() {
    let mut play = serving();
    let leader = post_keyed(&mut play, 4);
    play.pass(SUSPECT_MS / 2);
    play.core.store_unsent(play.now, store(leader), 0);
    let (to, request, _) = play.append();
    play.says(to, StoreToEdge::Appended { request, outcome: accepted(None) });
    let answers = answers(play.outputs());
    assert_eq!(answers.len(), 1, "{answers:?}");
    assert_eq!((answers[0].0.0, answers[0].1.status), (4, StatusCode::ACCEPTED));
}
