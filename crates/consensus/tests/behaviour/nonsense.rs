use nanoserde::{DeBin, SerBin};
use proptest::prelude::*;
use ruddervalve_consensus::{Entry, Membership, Message, MessageKind, Payload};
use ruddervalve_protocol::{Blob, ReplicaId};

use crate::group::{A, B, C, Group};

/// The kinds of messages, as the encoding numbers them.
const KINDS: u16 = 14;

/// A message of a kind, with anything after it.
fn message(kind: u16, term: u64, rest: &[u8]) -> Option<Message> {
    let mut bytes = SerBin::serialize_bin(&term);
    bytes.extend_from_slice(&kind.to_le_bytes());
    bytes.extend_from_slice(rest);
    Message::deserialize_bin(&bytes).ok()
}

fn small_or_huge() -> impl Strategy<Value = u64> {
    prop_oneof![4 => 0u64..8, 1 => any::<u64>(), 1 => (u64::MAX - 4)..=u64::MAX]
}

/// Numbers as the fields of messages hold them, and then bytes.
fn contents() -> impl Strategy<Value = Vec<u8>> {
    let numbers = proptest::collection::vec(small_or_huge(), 0..8);
    let bytes = proptest::collection::vec(any::<u8>(), 0..40);
    (numbers, bytes).prop_map(|(numbers, bytes)| {
        let mut contents: Vec<u8> = numbers.iter().flat_map(|number| number.to_le_bytes()).collect();
        contents.extend(bytes);
        contents
    })
}

#[test]
fn a_wrong_length_of_a_list_is_an_error() {
    let entry = Entry { term: 1, index: 1, payload: Payload::Membership(Membership::default()) };
    let mut bytes = SerBin::serialize_bin(&entry);
    let voters_at = bytes.len() - 16;
    bytes[voters_at..voters_at + 8].copy_from_slice(&u64::MAX.to_le_bytes());
    assert!(Entry::deserialize_bin(&bytes).is_err());
}

#[test]
fn there_are_as_many_kinds_as_are_tried() {
    let zeros = [0; 200];
    let kinds: std::collections::BTreeSet<MessageKind> =
        (0..KINDS).filter_map(|kind| message(kind, 1, &zeros)).map(|message| message.kind()).collect();
    assert_eq!(kinds.len(), usize::from(KINDS));
    assert!(message(KINDS, 1, &zeros).is_none());
}

#[test]
fn an_entry_of_any_payload_survives_its_encoding() {
    let membership = Membership { voters: vec![A, B], learners: vec![ReplicaId(u64::MAX)] };
    for payload in
        [Payload::Empty, Payload::Command(Blob::from(vec![1, 2])), Payload::Membership(membership.clone())]
    {
        let entry = Entry { term: 3, index: 9, payload };
        let bytes = SerBin::serialize_bin(&entry);
        assert_eq!(Entry::deserialize_bin(&bytes).ok(), Some(entry));
    }
}

proptest! {
    #[test]
    fn bytes_that_are_no_message_are_an_error_and_no_panic(bytes in proptest::collection::vec(any::<u8>(), 0..200)) {
        let _ = Message::deserialize_bin(&bytes);
        let _ = Entry::deserialize_bin(&bytes);
        let _ = Membership::deserialize_bin(&bytes);
    }

    /// Messages that follow no rule may make a replica useless, but must not make it panic or wake all the time.
    #[test]
    fn messages_that_make_no_sense_cause_no_panic(
        messages in proptest::collection::vec((0..KINDS, small_or_huge(), 1u64..5, contents()), 1..30),
        to_leader in any::<bool>(),
    ) {
        let mut group = Group::led_by_a(&[A, B, C]);
        let to = if to_leader { A } else { B };
        for (kind, term, from, rest) in messages {
            let Some(message) = message(kind, term, &rest) else { continue };
            group.now += 7;
            let now = group.now;
            let replica = group.replica(to);
            replica.step(now, ReplicaId(from), message);
            let ready = replica.take_ready();
            replica.written(now, ready.ticket);
            replica.tick(now);
            prop_assert!(replica.next_wake() > now);
            replica.compact(u64::MAX);
            let _ = replica.checkpoint(now);
        }
    }
}
