//! Tests of what other parts cannot see: events of links that were replaced.

use std::cell::Cell;
use std::collections::BTreeMap;
use std::net::SocketAddr;

use ruddervalve_protocol::ReplicaId;
use ruddervalve_rpc::{LinkSettings, Outbox};

use super::{LinkNumber, StoreLinks};

const STORE: ReplicaId = ReplicaId(1);

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn outbox() -> Outbox {
    Outbox::new(&LinkSettings {
        max_frame_bytes: 1_024,
        max_queued_bytes: 1_024,
        window_bytes: 512,
        silence_ms: 1_000,
        connect_timeout_ms: 1_000,
        user_timeout_ms: 1_000,
    })
}

fn open(links: &mut StoreLinks<()>, port: u16) -> LinkNumber {
    let number = Cell::new(None);
    links.open(STORE, address(port), |opened| number.set(Some(opened)));
    number.get().expect("no link was there")
}

/// A link that was replaced by one to another address, and the one that replaced it.
fn replaced() -> (StoreLinks<()>, LinkNumber, LinkNumber) {
    let mut links = StoreLinks::new();
    let old = open(&mut links, 1);
    let addresses = BTreeMap::from([(STORE, address(2))]);
    assert_eq!(links.close_others(&addresses), [STORE]);
    let new = open(&mut links, 2);
    assert_ne!(old, new);
    (links, old, new)
}

#[test]
fn a_link_counts_while_it_is_up() {
    let mut links = StoreLinks::new();
    let number = open(&mut links, 1);
    assert!(!links.is_up(STORE, number));
    assert!(!links.down(STORE, number), "it could not be opened");
    for _ in 0..2 {
        assert!(links.up(STORE, number, outbox()));
        assert!(links.is_up(STORE, number));
        assert!(links.outbox(STORE).is_some());
        assert!(links.down(STORE, number));
        assert!(!links.is_up(STORE, number));
        assert!(links.outbox(STORE).is_none());
    }
}

#[test]
fn a_store_that_stays_where_it_was_keeps_its_link() {
    let mut links = StoreLinks::new();
    let number = open(&mut links, 1);
    links.up(STORE, number, outbox());
    assert!(links.close_others(&BTreeMap::from([(STORE, address(1))])).is_empty());
    links.open(STORE, address(1), |_| panic!("it has a link"));
    assert!(links.is_up(STORE, number));
}

#[test]
fn what_a_replaced_link_left_in_the_queue_is_passed_over() {
    let (mut links, old, new) = replaced();
    assert!(!links.up(STORE, old, outbox()));
    assert!(links.outbox(STORE).is_none(), "nothing may be sent on a link that is gone");
    assert!(!links.is_up(STORE, old), "a lease that came on it may be free by now");
    assert!(links.up(STORE, new, outbox()));
    assert!(!links.is_up(STORE, old));
    assert!(!links.down(STORE, old));
    assert!(links.is_up(STORE, new), "the end of the old link does not end the new one");
}

#[test]
fn what_a_store_that_is_gone_left_in_the_queue_is_passed_over() {
    let mut links = StoreLinks::new();
    let number = open(&mut links, 1);
    links.up(STORE, number, outbox());
    assert_eq!(links.close_others(&BTreeMap::new()), [STORE]);
    assert!(!links.is_up(STORE, number));
    assert!(!links.up(STORE, number, outbox()));
    assert!(!links.down(STORE, number));
    assert_eq!(links.outboxes().count(), 0);
}
