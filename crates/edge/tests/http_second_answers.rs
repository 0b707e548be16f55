//! Second answers to earlier messages, which a runner in trouble sends later on the same connection.

mod http_support;

use bytes::Bytes;
use http_support::drawn_answers::{drawn_answer, send_in_pieces};
use http_support::local;
use http_support::runner_rig::{Peer, Rig, not_run, succeeded, turns, unclear};
use rand::{Rng as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;
use ruddervalve_edge::runner::{Delivery, DeliveryResult, NotRunReason, RunnerAnswer, UnclearReason};
use tokio::task::JoinHandle;

/// Histories that are played, each with several messages.
const SEEDS: u64 = 60;
const MESSAGES: u64 = 8;

/// A connection that has carried a message, and the next message on it.
struct Next {
    peer: Peer,
    /// The answer to the message before.
    earlier: String,
    /// The answer to this one.
    answer: String,
    delivering: JoinHandle<DeliveryResult>,
}

impl Next {
    async fn new(rig: &Rig) -> Self {
        Self::changed(rig, |delivery| delivery).await
    }

    /// With a message that differs from the usual one.
    async fn changed(rig: &Rig, change: impl Fn(Delivery) -> Delivery) -> Self {
        let (delivery, earlier) = rig.another();
        let delivering = rig.start(delivery);
        let mut peer = rig.peer().await;
        peer.request().await;
        peer.send(&earlier).await;
        assert_eq!(delivering.await.expect("delivered").answer, succeeded());
        let (delivery, answer) = rig.another();
        let delivering = rig.start(change(delivery));
        Self { peer, earlier, answer, delivering }
    }

    /// The runner reads the request and sends these bytes.
    async fn gets(mut self, bytes: impl AsRef<[u8]>) -> (DeliveryResult, Peer) {
        self.peer.request().await;
        self.peer.send(bytes).await;
        self.result().await
    }

    async fn result(self) -> (DeliveryResult, Peer) {
        (self.delivering.await.expect("delivered"), self.peer)
    }
}

#[tokio::test(start_paused = true)]
async fn success_behind_a_second_answer_to_an_earlier_message_counts() {
    local(async {
        let rig = Rig::new().await;
        let next = Next::new(&rig).await;
        let bytes = format!("{}{}", next.earlier, next.answer);
        let (result, mut peer) = next.gets(bytes).await;
        assert_eq!(result.answer, succeeded());
        assert!(!result.new_connection);
        peer.assert_ended().await;
        rig.assert_opens().await;
    })
    .await;
}

#[tokio::test(start_paused = true)]
async fn second_answer_while_the_message_runs_does_not_end_its_run() {
    local(async {
        let rig = Rig::new().await;
        let mut next = Next::new(&rig).await;
        next.peer.request().await;
        next.peer.send(&next.earlier).await;
        rig.clock.pass(500).await;
        assert!(!next.delivering.is_finished());
        next.peer.send(&next.answer).await;
        let (result, _peer) = next.result().await;
        assert_eq!(result.answer, succeeded());
        assert_eq!(result.elapsed_ms, 500);
    })
    .await;
}

#[tokio::test(start_paused = true)]
async fn every_kind_of_answer_behind_a_second_one_counts_for_what_it_says() {
    let kinds = [
        ("500 E", "", RunnerAnswer::Failed),
        ("422 E", "", RunnerAnswer::Rejected),
        ("503 E", "Not-Executed: 1\r\n", not_run(NotRunReason::Full503)),
        ("421 E", "", not_run(NotRunReason::WrongInstance421)),
        ("504 E", "", unclear(UnclearReason::UnexpectedStatus(504))),
    ];
    for (status, field, expected) in kinds {
        local(async {
            let rig = Rig::new().await;
            let next = Next::new(&rig).await;
            let answer =
                format!("HTTP/1.1 {status}\r\nRequest-Id: r-102\r\n{field}Content-Length: 0\r\n\r\n");
            let bytes = format!("{}{answer}", next.earlier);
            let (result, _peer) = next.gets(bytes).await;
            assert_eq!(result.answer, expected, "{status}");
        })
        .await;
    }
}

#[tokio::test(start_paused = true)]
async fn second_answers_of_every_kind_are_passed_over() {
    for earlier in [
        "HTTP/1.1 500 E\r\nRequest-Id: r-101\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 503 E\r\nRequest-Id: r-101\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 204 No Content\r\nRequest-Id: r-101\r\nResponse-Signature: s.1\r\n\r\n",
        "HTTP/1.1 200 OK\r\nRequest-Id: r-101\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
    ] {
        local(async {
            let rig = Rig::new().await;
            let mut next = Next::new(&rig).await;
            next.peer.request().await;
            next.peer.send(format!("{earlier}{}", next.answer)).await;
            assert_eq!(next.result().await.0.answer, succeeded(), "{earlier}");
        })
        .await;
    }
}

#[tokio::test(start_paused = true)]
async fn answers_that_are_no_certain_second_ones_end_the_connection() {
    for answer in [
        // No message of this connection, two messages, and one whose end cannot be told.
        "HTTP/1.1 200 OK\r\nRequest-Id: r-7\r\nResponse-Signature: s.1\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 200 OK\r\nRequest-Id: r-101\r\nRequest-Id: r-102\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 200 OK\r\nRequest-Id: r-101\r\nContent-Length: 0\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
    ] {
        local(async {
            let rig = Rig::new().await;
            let next = Next::new(&rig).await;
            let bytes = format!("{answer}{}", next.answer);
            let (result, _peer) = next.gets(bytes).await;
            assert_eq!(result.answer, unclear(UnclearReason::Garbled), "{answer}");
            assert_eq!(result.load, None);
            assert_eq!(rig.client.open_connections(rig.address), 0);
        })
        .await;
    }
}

#[tokio::test(start_paused = true)]
async fn message_has_one_second_answer() {
    local(async {
        let rig = Rig::new().await;
        let next = Next::new(&rig).await;
        let bytes = format!("{0}{0}{1}", next.earlier, next.answer);
        let (result, _peer) = next.gets(bytes).await;
        assert_eq!(result.answer, unclear(UnclearReason::Garbled));
    })
    .await;
}

#[tokio::test(start_paused = true)]
async fn second_answers_to_several_messages_are_passed_over() {
    local(async {
        let rig = Rig::new().await;
        let mut next = Next::new(&rig).await;
        next.peer.request().await;
        next.peer.send(&next.answer).await;
        let (earlier, between) = (next.earlier.clone(), next.answer.clone());
        let mut peer = next.result().await.1;
        let (delivery, answer) = rig.another();
        let delivering = rig.start(delivery);
        peer.request().await;
        peer.send(format!("{between}{earlier}{answer}")).await;
        assert_eq!(delivering.await.expect("delivered").answer, succeeded());
    })
    .await;
}

#[tokio::test(start_paused = true)]
async fn answer_without_an_id_behind_a_second_one_counts_for_nothing() {
    local(async {
        let rig = Rig::new().await;
        let next = Next::new(&rig).await;
        let answer = "HTTP/1.1 200 OK\r\nResponse-Signature: s.1\r\nContent-Length: 0\r\n\r\n";
        let bytes = format!("{}{answer}", next.earlier);
        let (result, _peer) = next.gets(bytes).await;
        assert_eq!(result.answer, unclear(UnclearReason::Garbled));
    })
    .await;
}

#[tokio::test(start_paused = true)]
async fn silence_behind_a_second_answer_ends_with_the_deadline() {
    local(async {
        let rig = Rig::new().await;
        let mut next = Next::new(&rig).await;
        next.peer.request().await;
        next.peer.send(&next.earlier).await;
        rig.clock.pass(990).await;
        assert!(!next.delivering.is_finished());
        rig.clock.pass(20).await;
        let (result, mut peer) = next.result().await;
        assert_eq!(result.answer, unclear(UnclearReason::Timeout));
        peer.assert_ended().await;
    })
    .await;
}

#[tokio::test(start_paused = true)]
async fn close_behind_a_second_answer_is_unclear() {
    local(async {
        let rig = Rig::new().await;
        let mut next = Next::new(&rig).await;
        next.peer.request().await;
        next.peer.send(&next.earlier).await;
        turns().await;
        let Next { peer, delivering, .. } = next;
        drop(peer);
        assert_eq!(delivering.await.expect("delivered").answer, unclear(UnclearReason::Closed));
        rig.assert_nobody_connects().await;
    })
    .await;
}

#[tokio::test(start_paused = true)]
async fn answers_to_head_end_with_their_heads() {
    local(async {
        let rig = Rig::new().await;
        let head = |delivery| Delivery { method: "HEAD".to_owned(), body: Bytes::new(), ..delivery };
        let mut next = Next::changed(&rig, head).await;
        next.peer.request().await;
        let earlier = next.earlier.strip_suffix("ok").expect("a body");
        let answer = next.answer.strip_suffix("ok").expect("a body");
        next.peer.send(format!("{earlier}{answer}")).await;
        assert_eq!(next.result().await.0.answer, succeeded());
    })
    .await;
}

#[tokio::test(start_paused = true)]
async fn second_answer_before_the_whole_request_was_sent_ends_the_connection() {
    /// More than the buffers of both sides of a connection take.
    const LARGE: usize = 64 << 20;
    local(async {
        let rig = Rig::new().await;
        let large = |delivery| Delivery { body: Bytes::from(vec![b'a'; LARGE]), ..delivery };
        let mut next = Next::changed(&rig, large).await;
        next.peer.more().await;
        next.peer.send(&next.earlier).await;
        let (result, _peer) = next.result().await;
        assert_eq!(result.answer, unclear(UnclearReason::Garbled));
        assert_eq!(rig.client.open_connections(rig.address), 0);
    })
    .await;
}

/// Messages that follow one another on connections on which, now and then, the message before is answered once more.
async fn play(seed: u64) {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let rig = Rig::new().await;
    let mut kept: Option<(Peer, String)> = None;
    for message in 0..MESSAGES {
        let request_id = format!("r-{message}");
        let delivering = rig.start(Delivery { request_id: request_id.clone(), ..rig.delivery() });
        let (mut peer, earlier) = match kept.take() {
            Some((peer, earlier)) => (peer, Some(earlier)),
            None => (rig.peer().await, None),
        };
        peer.request().await;
        let earlier = earlier.filter(|_| random.random_bool(0.6));
        let mut bytes = Vec::new();
        if let Some(earlier) = &earlier {
            bytes = drawn_answer(&mut random, earlier, 0.0).0;
        }
        let (answer, closes) = drawn_answer(&mut random, &request_id, 0.2);
        bytes.extend_from_slice(&answer);
        send_in_pieces(&mut random, &rig, &mut peer, &bytes).await;
        let result = delivering.await.expect("delivered");
        let text = String::from_utf8_lossy(&bytes).into_owned();
        assert_eq!(result.answer, succeeded(), "seed {seed}, message {message}, {result:?}: {text}");
        kept = (!closes && earlier.is_none()).then_some((peer, request_id));
    }
}

#[tokio::test(start_paused = true)]
async fn second_answers_are_passed_over_in_any_framing_and_in_any_pieces() {
    for seed in 0..SEEDS {
        local(play(seed)).await;
    }
}
