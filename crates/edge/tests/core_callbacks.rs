//! Call-backs that wait for their turn at an edge, and what becomes of those that wait.

mod core_support;

use core_support::{Play, group};
use ruddervalve_edge::core::{CallbackOrder, EdgeOutput};
use ruddervalve_edge::runner::CallbackResult;
use ruddervalve_protocol::{EdgeToStore, EndPhase, MessageId, StoreToEdge};

const RECEIVER: &str = "http://10.0.0.4:8080/done";
const OTHER_RECEIVER: &str = "http://10.0.0.5:8080/done";

/// The edge of `core_support` makes two call-backs at once to one receiver.
fn call_back(id: &str, url: &str) -> StoreToEdge {
    StoreToEdge::CallBack {
        group: group(1),
        id: MessageId(id.to_owned()),
        url: url.to_owned(),
        phase: EndPhase::Succeeded,
        signature: "s".to_owned(),
    }
}

/// The call-backs that begin, and the ids of those that are given back or told as failed.
fn progress(play: &mut Play) -> (Vec<CallbackOrder>, Vec<String>) {
    let (mut begun, mut failed) = (Vec::new(), Vec::new());
    for output in play.outputs() {
        match output {
            EdgeOutput::CallBack(_, order) => begun.push(*order),
            EdgeOutput::Send(_, EdgeToStore::CallbackFailed { id, .. }) => failed.push(id.0),
            _ => {}
        }
    }
    (begun, failed)
}

fn ids(orders: &[CallbackOrder]) -> Vec<&str> {
    orders.iter().map(|order| order.id.0.as_str()).collect()
}

fn with_callbacks(count: usize) -> (Play, Vec<CallbackOrder>) {
    let mut play = Play::serving();
    for number in 0..count {
        play.says(1, call_back(&format!("m{number}"), RECEIVER));
    }
    let (begun, failed) = progress(&mut play);
    assert!(failed.is_empty());
    (play, begun)
}

fn ended(
    play: &mut Play,
    order: &CallbackOrder,
    result: CallbackResult,
) -> (Vec<CallbackOrder>, Vec<String>) {
    play.core.called_back(play.now, group(1), order, result);
    progress(play)
}

#[test]
fn callbacks_beyond_the_connections_of_a_receiver_wait_for_their_turn() {
    let (mut play, begun) = with_callbacks(4);
    assert_eq!(ids(&begun), ["m0", "m1"]);
    play.says(1, call_back("other", OTHER_RECEIVER));
    assert_eq!(ids(&progress(&mut play).0), ["other"], "another receiver has its own turns");
    let (next, failed) = ended(&mut play, &begun[0], CallbackResult::Taken);
    assert_eq!((ids(&next), failed.len()), (vec!["m2"], 0));
    let (next, failed) = ended(&mut play, &begun[1], CallbackResult::Refused(500));
    assert_eq!((ids(&next), failed), (vec!["m3"], vec!["m1".to_owned()]));
}

#[test]
fn those_that_wait_are_given_back_when_the_receiver_does_not_answer() {
    let (mut play, mut under_way) = with_callbacks(6);
    for number in 0..2 {
        let (next, failed) = ended(&mut play, &under_way[number], CallbackResult::Failed);
        assert_eq!(failed, [format!("m{number}")], "a few are lost at any receiver");
        under_way.extend(next);
    }
    let (next, failed) = ended(&mut play, &under_way[2], CallbackResult::Failed);
    assert!(next.is_empty());
    assert_eq!(failed, ["m2", "m4", "m5"]);
    ended(&mut play, &under_way[3], CallbackResult::Taken);
    play.says(1, call_back("m4", RECEIVER));
    assert_eq!(ids(&progress(&mut play).0), ["m4"], "it is called anew when it is granted anew");
}

#[test]
fn an_edge_that_ends_gives_back_what_has_not_begun() {
    let (mut play, begun) = with_callbacks(4);
    play.core.leave(play.now);
    assert_eq!(progress(&mut play).1, ["m2", "m3"]);
    for order in &begun {
        assert!(!play.core.is_idle());
        assert!(ended(&mut play, order, CallbackResult::Refused(503)).0.is_empty());
    }
    assert!(play.core.is_idle());
}

#[test]
fn a_new_leader_hears_of_those_that_wait() {
    let (mut play, _) = with_callbacks(3);
    play.says(2, StoreToEdge::Leading { groups: vec![(group(1), 9)] });
    let named = play.outputs().into_iter().find_map(|output| match output {
        EdgeOutput::Send(_, EdgeToStore::Inventory { items, .. }) => Some(items.len()),
        _ => None,
    });
    assert_eq!(named, Some(3));
}
