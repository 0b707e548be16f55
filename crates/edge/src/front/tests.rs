//! Tests of what other parts cannot see.

use std::rc::Rc;

use tokio::sync::watch;

use super::FrontLimits;
use super::framing::{Framing, Phase};
use super::refusal::Refusal;
use super::registry::{Admission, Place, admit};
use super::state::{Order, Shared};

/// What became of bytes that came in pieces.
#[derive(Debug, PartialEq)]
enum Outcome {
    /// One request was whole after so many bytes.
    Whole(usize),
    Unfinished(Phase),
    Refused(Refusal),
}

fn limits() -> FrontLimits {
    FrontLimits { max_header_bytes: 200, max_body_bytes: 40, ..FrontLimits::default() }
}

fn follow<'piece>(pieces: impl IntoIterator<Item = &'piece [u8]>) -> Outcome {
    let mut framing = Framing::new(limits());
    let mut taken = 0;
    for piece in pieces {
        match framing.take(piece) {
            Err(refusal) => return Outcome::Refused(refusal),
            Ok(count) => taken += count,
        }
        if framing.phase() == Phase::Serving {
            return Outcome::Whole(taken);
        }
    }
    Outcome::Unfinished(framing.phase())
}

const CASES: [&str; 12] = [
    "\r\n\r\nGET / HTTP/1.1\r\nHost: h\r\n\r\n",
    "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc",
    "POST / HTTP/1.1\r\nTransfer-Encoding: Chunked\r\nHost: h\r\n\r\n3;e=1\r\nabc\r\n1a\r\nabcdefghijklmnopqrstuvwxyz\r\n00\r\nT: t\r\n\r\n",
    "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
    "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\nContent-Length: 1\r\n\r\n",
    "POST / HTTP/1.1\r\nContent-Length: 41\r\n\r\n",
    "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n29\r\n",
    "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nab",
    "POST / HTTP/1.1\r\nA: b\nC: d",
    "POST / HTTP/1.1\r\nA: b\r\n c: d\r\n\r\n",
    "POST / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n",
    "POST / HTTP/1.1\r\nA: b",
];

#[test]
fn pieces_make_no_difference() {
    for case in CASES {
        let bytes = case.as_bytes();
        let expected = follow([bytes]);
        assert_eq!(follow(bytes.chunks(1)), expected, "{case:?} byte by byte");
        for first in 0..=bytes.len() {
            let (head, tail) = bytes.split_at(first);
            assert_eq!(follow([head, tail]), expected, "{case:?} at {first}");
        }
    }
}

#[test]
fn cases_come_out_as_meant() {
    let outcomes: Vec<Outcome> = CASES.iter().map(|case| follow([case.as_bytes()])).collect();
    let whole = |number: usize| Outcome::Whole(CASES[number].len());
    let expected = [
        whole(0),
        whole(1),
        whole(2),
        whole(3),
        Outcome::Refused(Refusal::LengthAndEncoding),
        Outcome::Refused(Refusal::BodyTooLarge),
        Outcome::Refused(Refusal::BodyTooLarge),
        Outcome::Refused(Refusal::BadChunk),
        Outcome::Refused(Refusal::BareLineEnd),
        Outcome::Refused(Refusal::FoldedHeader),
        Outcome::Refused(Refusal::BadLength),
        Outcome::Unfinished(Phase::Head),
    ];
    assert_eq!(outcomes, expected);
}

#[test]
fn bytes_of_the_next_request_are_left() {
    for case in &CASES[..4] {
        let twice = format!("{case}{case}");
        let mut framing = Framing::new(limits());
        assert_eq!(framing.take(twice.as_bytes()), Ok(case.len()));
        assert_eq!(framing.take(b"GET"), Ok(0));
        framing.answered();
        assert_eq!(framing.take(twice.as_bytes()), Ok(case.len()));
    }
}

#[test]
fn head_may_be_as_long_as_allowed_and_no_longer() {
    let base = "GET / HTTP/1.1\r\nA: \r\n\r\n".len();
    let head = |length: usize| format!("GET / HTTP/1.1\r\nA: {}\r\n\r\n", "a".repeat(length - base));
    assert_eq!(follow([head(200).as_bytes()]), Outcome::Whole(200));
    assert_eq!(follow(head(200).as_bytes().chunks(7)), Outcome::Whole(200));
    assert_eq!(follow([head(201).as_bytes()]), Outcome::Refused(Refusal::HeadTooLarge));
    assert_eq!(follow(head(201).as_bytes().chunks(7)), Outcome::Refused(Refusal::HeadTooLarge));
}

#[test]
fn refusals_say_when_to_come_back_and_close() {
    let answer = String::from_utf8(Refusal::Crowded { retry_after_seconds: 2 }.answer()).expect("text");
    assert!(answer.starts_with("HTTP/1.1 503 Service Unavailable\r\n"), "{answer}");
    assert!(answer.contains("\r\nRetry-After: 2\r\n"), "{answer}");
    assert!(answer.contains("\r\nConnection: close\r\n"), "{answer}");
}

fn served(shared: &Rc<Shared>) -> Option<Place> {
    match admit(shared) {
        Admission::Served(place) => Some(place),
        Admission::Crowded(_) | Admission::Dropped => None,
    }
}

#[test]
fn connection_that_could_not_give_way_counts_again() {
    let bounded = FrontLimits { max_connections: 2, ..FrontLimits::default() };
    let (_limits, watched) = watch::channel(bounded);
    let shared = Rc::new(Shared::new(watched));
    let first = served(&shared).expect("room");
    let second = served(&shared).expect("room");
    let third = served(&shared).expect("the first gives way");
    assert_eq!(first.state.take_order(), Some(Order::CloseIdle));
    assert!(!second.state.has_order());
    assert_eq!(shared.registry.borrow().open(), 2);
    shared.registry.borrow_mut().keep(&first.state);
    assert_eq!(shared.registry.borrow().open(), 3);
    for busy in [&first, &second, &third] {
        busy.state.phase.set(Phase::Serving);
    }
    assert!(served(&shared).is_none());
    drop(first);
    assert_eq!(shared.registry.borrow().open(), 2);
    assert!(served(&shared).is_none());
    drop(second);
    assert!(served(&shared).is_some());
    drop(third);
    assert!(shared.registry.borrow().is_empty());
}
