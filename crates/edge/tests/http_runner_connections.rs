//! How connections to runners are kept, shared and given up, and what a second answer on one is.

mod http_support;

use std::collections::HashSet;
use std::net::{Ipv4Addr, SocketAddr};

use bytes::Bytes;
use http_support::local;
use http_support::runner_rig::{DONE, Rig, not_run, succeeded, turns, unclear};
use ruddervalve_edge::runner::{Delivery, NotRunReason, RunnerAnswer, UnclearReason};
use socket2::{Domain, SockAddr, Socket, Type};
use tokio::net::TcpStream;

#[tokio::test(start_paused = true)]
async fn connection_is_kept_and_used_again() {
    local(async {
        let rig = Rig::new().await;
        let mut peer = rig.assert_opens().await;
        for _ in 0..3 {
            rig.assert_reuses(&mut peer).await;
        }
        assert_eq!(rig.client.open_connections(rig.address), 1);
    })
    .await;
}

#[tokio::test(start_paused = true)]
async fn kept_connection_that_breaks_after_the_request_is_unclear() {
    local(async {
        let rig = Rig::new().await;
        for reset in [false, true] {
            let mut peer = rig.assert_opens().await;
            let delivering = rig.start(rig.delivery());
            peer.request().await;
            let reason = if reset {
                peer.reset();
                UnclearReason::Reset
            } else {
                drop(peer);
                UnclearReason::Closed
            };
            assert_eq!(delivering.await.expect("delivered").answer, unclear(reason));
            rig.assert_nobody_connects().await;
        }
    })
    .await;
}

#[tokio::test(start_paused = true)]
async fn abandoned_delivery_closes_its_connection() {
    local(async {
        let rig = Rig::new().await;
        let delivering = rig.start(rig.delivery());
        let mut peer = rig.peer().await;
        peer.request().await;
        delivering.abort();
        peer.assert_ended().await;
        assert_eq!(rig.client.open_connections(rig.address), 0);
    })
    .await;
}

#[tokio::test(start_paused = true)]
async fn second_answers_on_idle_connections_are_dropped_with_them() {
    local(async {
        let rig = Rig::new().await;
        let mut peer = rig.assert_opens().await;
        peer.send(DONE).await;
        let _next = rig.assert_opens().await;
        peer.assert_ended_over_unread_bytes().await;
    })
    .await;
}

#[tokio::test(start_paused = true)]
async fn second_answer_in_one_piece_with_the_first_ends_the_connection() {
    local(async {
        let rig = Rig::new().await;
        let (result, mut peer) = rig.answered(format!("{DONE}{DONE}")).await;
        assert_eq!(result.answer, succeeded());
        peer.assert_ended().await;
        rig.assert_opens().await;
    })
    .await;
}

#[tokio::test(start_paused = true)]
async fn second_answer_that_crosses_the_next_request_is_not_its_answer() {
    local(async {
        let rig = Rig::new().await;
        let mut peer = rig.assert_opens().await;
        let delivering = rig.start(Delivery { request_id: "r-2".to_owned(), ..rig.delivery() });
        peer.request().await;
        peer.send(DONE).await;
        assert_eq!(delivering.await.expect("delivered").answer, unclear(UnclearReason::Garbled));
        peer.assert_ended().await;
    })
    .await;
}

#[tokio::test(start_paused = true)]
async fn second_answer_that_crosses_the_same_message_is_not_the_answer_to_its_repeat() {
    local(async {
        let rig = Rig::new().await;
        let failed = "HTTP/1.1 500 E\r\nRequest-Id: r-1\r\nContent-Length: 0\r\n\r\n";
        let (result, mut first) = rig.answered(failed).await;
        assert_eq!(result.answer, RunnerAnswer::Failed);
        // The message is sent again. An answer on the first connection could be the first run's once more.
        let (result, second) = rig.answered(DONE).await;
        assert_eq!(result.answer, succeeded());
        assert!(result.new_connection);
        drop(second);
        rig.assert_reuses(&mut first).await;
    })
    .await;
}

#[tokio::test(start_paused = true)]
async fn answer_before_the_whole_request_was_sent_ends_the_connection() {
    /// More than the buffers of both sides of a connection take.
    const LARGE: usize = 64 << 20;
    for answer in [
        DONE.to_owned(),
        "HTTP/1.1 503 E\r\nRequest-Id: r-1\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n".to_owned(),
    ] {
        local(async {
            let rig = Rig::new().await;
            let body = Bytes::from(vec![b'a'; LARGE]);
            let delivering = rig.start(Delivery { body, ..rig.delivery() });
            let mut peer = rig.peer().await;
            peer.more().await;
            peer.send(&answer).await;
            let result = delivering.await.expect("delivered");
            assert!(!matches!(result.answer, RunnerAnswer::Unclear { .. }), "{:?}", result.answer);
            assert_eq!(rig.client.open_connections(rig.address), 0, "the rest of a body stands before it");
            rig.assert_opens().await;
        })
        .await;
    }
}

#[tokio::test(start_paused = true)]
async fn bytes_before_any_request_are_no_answer_and_the_message_was_not_sent() {
    local(async {
        let rig = Rig::new().await;
        let delivering = rig.start(rig.delivery());
        let mut peer = rig.peer().await;
        // The request may be on its way already: what came on a new connection is judged by its id.
        peer.send(DONE.replace("r-1", "r-0")).await;
        let answer = delivering.await.expect("delivered").answer;
        assert!(
            matches!(
                answer,
                RunnerAnswer::Unclear { reason: UnclearReason::Garbled }
                    | RunnerAnswer::NotRun { reason: NotRunReason::ConnectFailed, .. }
            ),
            "{answer:?}"
        );
        rig.assert_nobody_connects().await;
    })
    .await;
}

#[tokio::test(start_paused = true)]
async fn switching_protocols_is_no_answer_and_ends_the_connection() {
    local(async {
        let rig = Rig::new().await;
        let head = "HTTP/1.1 101 Switching Protocols\r\nRequest-Id: r-1\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n";
        let (result, mut peer) = rig.answered(format!("{head}{DONE}")).await;
        assert_eq!(result.answer, unclear(UnclearReason::UnexpectedStatus(101)));
        peer.assert_ended().await;
        rig.assert_opens().await;
    })
    .await;
}

#[tokio::test(start_paused = true)]
async fn idle_connection_that_was_closed_is_not_used() {
    local(async {
        let rig = Rig::new().await;
        for reset in [false, true] {
            let peer = rig.assert_opens().await;
            if reset {
                peer.reset();
            } else {
                drop(peer);
            }
            let mut next = rig.assert_opens().await;
            rig.assert_reuses(&mut next).await;
            next.reset();
        }
    })
    .await;
}

#[tokio::test(start_paused = true)]
async fn connection_that_says_close_is_not_kept() {
    local(async {
        let rig = Rig::new().await;
        let close = DONE.replace("Request-Id", "Connection: close\r\nRequest-Id");
        let (result, mut peer) = rig.answered(close).await;
        assert_eq!(result.answer, succeeded());
        peer.assert_ended().await;
        let (result, mut peer) = rig.answered(DONE.replace("1.1 200", "1.0 200")).await;
        assert_eq!(result.answer, succeeded());
        peer.assert_ended().await;
    })
    .await;
}

#[tokio::test(start_paused = true)]
async fn idle_connections_are_given_up_ahead_of_the_runner() {
    local(async {
        let rig = Rig::new().await;
        let named = DONE.replace("Request-Id", "Keep-Alive: max=9, timeout=2\r\nRequest-Id");
        let (_, mut peer) = rig.answered(&named).await;
        rig.clock.pass(1_400).await;
        let delivering = rig.start(Delivery { request_id: "r-2".to_owned(), ..rig.delivery() });
        peer.request().await;
        peer.send(named.replace("r-1", "r-2")).await;
        assert!(!delivering.await.expect("delivered").new_connection);
        rig.clock.pass(1_500).await;
        let mut unnamed = rig.assert_opens().await;
        peer.assert_ended().await;
        rig.clock.pass(9_000).await;
        rig.assert_reuses(&mut unnamed).await;
        rig.clock.pass(10_000).await;
        rig.assert_opens().await;
        unnamed.assert_ended().await;
        let (_, mut short) =
            rig.answered(DONE.replace("Request-Id", "Keep-Alive: timeout=0\r\nRequest-Id")).await;
        short.assert_ended().await;
    })
    .await;
}

#[tokio::test(start_paused = true)]
async fn connections_to_an_address_are_bounded() {
    local(async {
        let rig = Rig::new().await;
        let first = rig.start(rig.delivery());
        let mut first_peer = rig.peer().await;
        let second = rig.start(rig.delivery());
        let mut second_peer = rig.peer().await;
        let refused = rig.client.deliver(rig.delivery()).await;
        assert_eq!(refused.answer, not_run(NotRunReason::NoConnection));
        assert!(!refused.new_connection);
        assert_eq!(refused.elapsed_ms, 0);
        for peer in [&mut first_peer, &mut second_peer] {
            peer.request().await;
            peer.send(DONE).await;
        }
        assert_eq!(first.await.expect("delivered").answer, succeeded());
        assert_eq!(second.await.expect("delivered").answer, succeeded());
        assert_eq!(rig.client.open_connections(rig.address), 2);
        let none = Delivery { max_connections_here: 0, service: "x".to_owned(), ..rig.delivery() };
        assert_eq!(rig.client.deliver(none).await.answer, not_run(NotRunReason::NoConnection));
    })
    .await;
}

#[tokio::test(start_paused = true)]
async fn connection_of_one_owner_is_not_used_by_another() {
    local(async {
        let rig = Rig::new().await;
        let mut peer = rig.assert_opens().await;
        let others = [
            Delivery { service: "other".to_owned(), ..rig.delivery() },
            Delivery { expected_instance: Some("i-2".to_owned()), ..rig.delivery() },
            Delivery { expected_instance: None, ..rig.delivery() },
        ];
        let mut peers = Vec::new();
        for other in others {
            let (Delivery { request_id, .. }, answer) = rig.another();
            let delivering = rig.start(Delivery { request_id, ..other });
            let mut peer = rig.peer().await;
            peer.request().await;
            peer.send(answer).await;
            assert!(delivering.await.expect("delivered").new_connection);
            assert!(rig.client.open_connections(rig.address) <= 2);
            peers.push(peer);
        }
        // The bound is two: idle ones of other owners have given way, the oldest first.
        peer.assert_ended().await;
        peers[0].assert_ended().await;
    })
    .await;
}

#[tokio::test(start_paused = true)]
async fn addresses_that_are_not_wanted_lose_their_connections() {
    local(async {
        let rig = Rig::new().await;
        let mut idle = rig.assert_opens().await;
        let busy = rig.start(rig.delivery());
        idle.request().await;
        let busy_too = rig.start(rig.delivery());
        let mut busy_peer = rig.peer().await;
        busy_peer.request().await;
        idle.send(DONE).await;
        busy.await.expect("delivered");
        rig.client.retain(&HashSet::from([rig.address]));
        rig.assert_reuses(&mut idle).await;
        rig.client.retain(&HashSet::new());
        idle.assert_ended().await;
        busy_peer.send(DONE).await;
        assert_eq!(busy_too.await.expect("delivered").answer, succeeded());
        busy_peer.assert_ended().await;
        rig.assert_opens().await;
    })
    .await;
}

#[tokio::test(start_paused = true)]
async fn refused_connection_means_not_run() {
    local(async {
        let rig = Rig::new().await;
        let delivery = rig.delivery();
        let Rig { client, listener, clock: _clock, .. } = rig;
        drop(listener);
        let result = client.deliver(delivery.clone()).await;
        assert_eq!(result.answer, not_run(NotRunReason::ConnectFailed));
        assert!(result.new_connection);
        assert_eq!(client.open_connections(delivery.address), 0);
    })
    .await;
}

#[tokio::test(start_paused = true)]
async fn connection_that_does_not_come_up_means_not_run() {
    local(async {
        let rig = Rig::new().await;
        let full = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
        full.bind(&SockAddr::from(SocketAddr::from((Ipv4Addr::LOCALHOST, 0)))).expect("a port");
        full.listen(0).expect("listens");
        let address = full.local_addr().expect("bound").as_socket().expect("an address");
        let _waiting = TcpStream::connect(address).await.expect("room for one");
        let delivering = rig.start(Delivery { address, ..rig.delivery() });
        turns().await;
        rig.clock.pass(290).await;
        assert!(!delivering.is_finished());
        rig.clock.pass(10).await;
        let result = delivering.await.expect("delivered");
        assert_eq!(result.answer, not_run(NotRunReason::ConnectFailed));
        assert_eq!(result.elapsed_ms, 300);
    })
    .await;
}
