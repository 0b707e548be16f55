//! The client side against runners and receivers that are written here.

mod http_support;

use std::cell::Cell;
use std::collections::HashSet;
use std::io::ErrorKind;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use bytes::Bytes;
use http_support::{ManualClock, local};
use ruddervalve_edge::runner::{
    CallbackResult, Delivery, DeliveryResult, HealthResult, InstanceLoad, NotRunReason, RunnerAnswer,
    RunnerClient, RunnerSettings, UnclearReason,
};
use socket2::{Domain, SockAddr, Socket, Type};
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{JoinHandle, spawn_local, yield_now};
use tokio::time::advance;

/// A runner's side of one connection.
struct Peer {
    stream: TcpStream,
    unread: Vec<u8>,
}

impl Peer {
    /// A whole request: head and body.
    async fn request(&mut self) -> String {
        loop {
            if let Some(length) = self.whole_length() {
                return String::from_utf8(self.unread.drain(..length).collect()).expect("text");
            }
            assert_ne!(self.more().await, 0, "connection ended before a request");
        }
    }

    fn whole_length(&self) -> Option<usize> {
        let head = self.unread.windows(4).position(|window| window == b"\r\n\r\n")? + 4;
        let text = std::str::from_utf8(&self.unread[..head]).expect("a head is text");
        let field = text.split("\r\n").find_map(|line| line.strip_prefix("Content-Length: "));
        let body: usize = field.map_or(0, |length| length.parse().expect("digits"));
        (self.unread.len() >= head + body).then_some(head + body)
    }

    async fn more(&mut self) -> usize {
        let mut piece = [0; 4096];
        let count = self.stream.read(&mut piece).await.expect("not reset");
        self.unread.extend_from_slice(&piece[..count]);
        count
    }

    async fn send(&mut self, bytes: impl AsRef<[u8]>) {
        self.stream.write_all(bytes.as_ref()).await.expect("connection is open");
    }

    async fn assert_ended(&mut self) {
        assert_eq!(self.more().await, 0, "connection is open");
    }

    /// Bytes that nobody read make the system reset the connection when it is closed.
    async fn assert_ended_over_unread_bytes(&mut self) {
        let ended = self.stream.read(&mut [0; 16]).await.map_err(|error| error.kind());
        assert!(matches!(ended, Ok(0) | Err(ErrorKind::ConnectionReset)), "connection is open: {ended:?}");
    }

    fn reset(self) {
        self.stream.set_zero_linger().expect("an option");
    }
}

struct Rig {
    clock: ManualClock,
    client: RunnerClient,
    listener: TcpListener,
    address: SocketAddr,
    messages: Cell<u64>,
}

impl Rig {
    async fn new() -> Self {
        let clock = ManualClock::stopped();
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("bound");
        Self { clock, client: RunnerClient::new(settings()), listener, address, messages: Cell::new(100) }
    }

    async fn peer(&self) -> Peer {
        let (stream, _) = self.listener.accept().await.expect("a connection");
        Peer { stream, unread: Vec::new() }
    }

    fn delivery(&self) -> Delivery {
        Delivery {
            address: self.address,
            service: "service".to_owned(),
            expected_instance: Some("i-1".to_owned()),
            method: "POST".to_owned(),
            host: "boye61.example".to_owned(),
            path_and_query: "/a".to_owned(),
            content_type: String::new(),
            request_id: "r-1".to_owned(),
            ordering_key: None,
            deadline_ms: 1_000,
            body: Bytes::from_static(b"body"),
            max_connections_here: 2,
        }
    }

    fn start(&self, delivery: Delivery) -> JoinHandle<DeliveryResult> {
        let client = self.client.clone();
        spawn_local(async move { client.deliver(delivery).await })
    }

    /// Delivers on a new connection, which gets this answer.
    async fn answered(&self, answer: impl AsRef<[u8]>) -> (DeliveryResult, Peer) {
        let delivering = self.start(self.delivery());
        let mut peer = self.peer().await;
        peer.request().await;
        peer.send(answer).await;
        (delivering.await.expect("delivered"), peer)
    }

    /// The delivery of a message that no connection has carried, and its answer.
    fn another(&self) -> (Delivery, String) {
        self.messages.set(self.messages.get() + 1);
        let request_id = format!("r-{}", self.messages.get());
        let answer = DONE.replace("r-1", &request_id);
        (Delivery { request_id, ..self.delivery() }, answer)
    }

    /// Delivers another message on a connection that is kept.
    async fn assert_reuses(&self, peer: &mut Peer) {
        let (delivery, answer) = self.another();
        let delivering = self.start(delivery);
        peer.request().await;
        peer.send(answer).await;
        let result = delivering.await.expect("delivered");
        assert_eq!(result.answer, succeeded());
        assert!(!result.new_connection);
    }

    /// Delivers another message, and expects that it takes a new connection.
    async fn assert_opens(&self) -> Peer {
        let (delivery, answer) = self.another();
        let delivering = self.start(delivery);
        let mut peer = self.peer().await;
        peer.request().await;
        peer.send(answer).await;
        let result = delivering.await.expect("delivered");
        assert_eq!(result.answer, succeeded());
        assert!(result.new_connection);
        peer
    }

    async fn assert_nobody_connects(&self) {
        turns().await;
        let accepted = tokio::select! {
            biased;
            accepted = self.listener.accept() => Some(accepted),
            () = turns() => None,
        };
        assert!(accepted.is_none(), "a second connection");
    }
}

const DONE: &str =
    "HTTP/1.1 200 OK\r\nRequest-Id: r-1\r\nResponse-Signature: s.1\r\nContent-Length: 2\r\n\r\nok";

fn settings() -> RunnerSettings {
    RunnerSettings {
        connect_timeout_ms: 300,
        user_timeout_ms: 4_000,
        answer_margin_ms: 0,
        idle_timeout_ms: 10_000,
        keep_alive_margin_ms: 500,
        max_idle_per_address: 4,
        max_answer_bytes: 1_000,
        callback_connections: 1,
        health_connections: 1,
    }
}

fn succeeded() -> RunnerAnswer {
    RunnerAnswer::Succeeded { signature: "s.1".to_owned() }
}

fn unclear(reason: UnclearReason) -> RunnerAnswer {
    RunnerAnswer::Unclear { reason }
}

fn not_run(reason: NotRunReason) -> RunnerAnswer {
    RunnerAnswer::NotRun { reason, retry_after_ms: None }
}

async fn turns() {
    for _ in 0..16 {
        yield_now().await;
    }
}

#[tokio::test(start_paused = true)]
async fn request_is_passed_on_unchanged() {
    local(async {
        let rig = Rig::new().await;
        let delivery = Delivery {
            method: "PUT".to_owned(),
            path_and_query: "//x/%2e./y?q=%7B1}&r=//s?".to_owned(),
            content_type: "text/x".to_owned(),
            ordering_key: Some("key 1".to_owned()),
            ..rig.delivery()
        };
        let delivering = rig.start(delivery);
        let mut peer = rig.peer().await;
        let request = peer.request().await;
        let (head, body) = request.split_once("\r\n\r\n").expect("an empty line");
        let mut lines = head.split("\r\n");
        assert_eq!(lines.next(), Some("PUT //x/%2e./y?q=%7B1}&r=//s? HTTP/1.1"));
        let mut fields: Vec<&str> = lines.collect();
        fields.sort_unstable();
        assert_eq!(
            fields,
            [
                "Content-Length: 4",
                "Content-Type: text/x",
                "Deadline-Ms: 1000",
                "Expected-Instance: i-1",
                "Host: boye61.example",
                "Ordering-Key: key 1",
                "Request-Id: r-1",
            ]
        );
        assert_eq!(body, "body");
        peer.send(DONE).await;
        assert_eq!(delivering.await.expect("delivered").answer, succeeded());
    })
    .await;
}

#[tokio::test(start_paused = true)]
async fn what_cannot_stand_in_a_request_is_not_sent() {
    local(async {
        let rig = Rig::new().await;
        let changes: [fn(&mut Delivery); 5] = [
            |delivery| delivery.path_and_query = "/a#b".to_owned(),
            |delivery| delivery.path_and_query = "/a b".to_owned(),
            |delivery| delivery.method = "P T".to_owned(),
            |delivery| delivery.host = "a\r\nX: b".to_owned(),
            |delivery| delivery.request_id = "a\n".to_owned(),
        ];
        for change in changes {
            let mut delivery = rig.delivery();
            change(&mut delivery);
            let result = rig.client.deliver(delivery).await;
            assert_eq!(result.answer, not_run(NotRunReason::Unsendable));
            assert!(!result.new_connection);
        }
        rig.assert_nobody_connects().await;
    })
    .await;
}

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
async fn load_and_time_are_told() {
    local(async {
        let rig = Rig::new().await;
        let delivering = rig.start(rig.delivery());
        let mut peer = rig.peer().await;
        peer.request().await;
        rig.clock.pass(250).await;
        peer.send("HTTP/1.1 500 E\r\nInstance-Load: 3, 0,8\r\nContent-Length: 0\r\n\r\n").await;
        let result = delivering.await.expect("delivered");
        assert_eq!(result.load, Some(InstanceLoad { running: 3, waiting: 0, slots: 8 }));
        assert_eq!(result.elapsed_ms, 250);
        for bad in ["", "1,2", "1,2,3,4", "a,b,c", "-1,0,0", "1,2,99999999999"] {
            assert!(bad.parse::<InstanceLoad>().is_err(), "{bad}");
        }
    })
    .await;
}

#[tokio::test(start_paused = true)]
async fn whole_answers_are_told_apart() {
    let signed = "Request-Id: r-1\r\nResponse-Signature: s.1\r\n";
    let retry = |reason, retry_after_ms| RunnerAnswer::NotRun { reason, retry_after_ms };
    let cases = [
        (format!("200 OK\r\n{signed}Content-Length: 0"), succeeded()),
        (format!("202 Accepted\r\n{signed}Content-Length: 0"), succeeded()),
        ("204 No Content\r\nRequest-Id: r-1\r\nResponse-Signature: s.1".to_owned(), succeeded()),
        ("200 OK\r\nResponse-Signature: s.1\r\nContent-Length: 0".to_owned(), succeeded()),
        ("500 E\r\nContent-Length: 0".to_owned(), RunnerAnswer::Failed),
        ("422 E\r\nContent-Length: 0".to_owned(), RunnerAnswer::Rejected),
        ("503 E\r\nNot-Executed: 1\r\nContent-Length: 0".to_owned(), not_run(NotRunReason::Full503)),
        (
            "503 E\r\nNot-Executed: 1\r\nRetry-After: 2\r\nContent-Length: 0".to_owned(),
            retry(NotRunReason::Full503, Some(2_000)),
        ),
        (
            "429 E\r\nNot-Executed: 1\r\nRetry-After: 1\r\nContent-Length: 0".to_owned(),
            retry(NotRunReason::TooMany429, Some(1_000)),
        ),
        ("421 E\r\nContent-Length: 0".to_owned(), not_run(NotRunReason::WrongInstance421)),
        ("409 E\r\nNot-Executed: 1\r\nContent-Length: 0".to_owned(), not_run(NotRunReason::Conflict409)),
        ("400 E\r\nNot-Executed: 1\r\nContent-Length: 0".to_owned(), not_run(NotRunReason::BadRequest400)),
        (
            "500 E\r\nNot-Executed: 1\r\nContent-Length: 0".to_owned(),
            not_run(NotRunReason::NotExecuted { status: 500 }),
        ),
        ("504 E\r\nContent-Length: 0".to_owned(), unclear(UnclearReason::UnexpectedStatus(504))),
        ("503 E\r\nContent-Length: 0".to_owned(), unclear(UnclearReason::UnexpectedStatus(503))),
        ("429 E\r\nContent-Length: 0".to_owned(), unclear(UnclearReason::UnexpectedStatus(429))),
        ("409 E\r\nContent-Length: 0".to_owned(), unclear(UnclearReason::UnexpectedStatus(409))),
        ("400 E\r\nContent-Length: 0".to_owned(), unclear(UnclearReason::UnexpectedStatus(400))),
        ("302 E\r\nContent-Length: 0".to_owned(), unclear(UnclearReason::UnexpectedStatus(302))),
    ];
    for (head, expected) in cases {
        local(async {
            let rig = Rig::new().await;
            let (result, mut peer) = rig.answered(format!("HTTP/1.1 {head}\r\n\r\n")).await;
            assert_eq!(result.answer, expected, "{head}");
            rig.assert_reuses(&mut peer).await;
        })
        .await;
    }
}

#[tokio::test(start_paused = true)]
async fn answers_that_cannot_be_trusted_count_for_nothing() {
    let signed = "Response-Signature: s.1\r\n";
    for answer in [
        format!("HTTP/1.1 200 OK\r\nRequest-Id: r-2\r\n{signed}Content-Length: 0\r\n\r\n"),
        format!("HTTP/1.1 200 OK\r\nRequest-Id: r-1\r\nRequest-Id: r-2\r\n{signed}Content-Length: 0\r\n\r\n"),
        "HTTP/1.1 500 E\r\nRequest-Id: r-2\r\nContent-Length: 0\r\n\r\n".to_owned(),
        "HTTP/1.1 422 E\r\nRequest-Id: r-2\r\nContent-Length: 0\r\n\r\n".to_owned(),
        "HTTP/1.1 503 E\r\nRequest-Id: r-2\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n".to_owned(),
        "HTTP/1.1 421 E\r\nRequest-Id: r-2\r\nContent-Length: 0\r\n\r\n".to_owned(),
        "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n".to_owned(),
        "HTTP/1.1 200 OK\r\nResponse-Signature: \r\nContent-Length: 0\r\n\r\n".to_owned(),
        format!("HTTP/1.1 200 OK\r\n{signed}{signed}Content-Length: 0\r\n\r\n"),
        format!("HTTP/1.1 200 OK\r\n{signed}Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"),
        format!(
            "HTTP/1.1 200 OK\r\n{signed}Content-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"
        ),
        format!("HTTP/1.1 200 OK\r\n{signed}Transfer-Encoding: chunked\r\n\r\nzz\r\n"),
        format!("HTTP/1.1 200 OK\r\n{signed}Content-Length: 2000\r\n\r\n{}", "a".repeat(2_000)),
        "HTTP/1.1 2x0 OK\r\n\r\n".to_owned(),
        "a second answer".to_owned(),
    ] {
        local(async {
            let rig = Rig::new().await;
            let (result, mut peer) = rig.answered(&answer).await;
            assert_eq!(result.answer, unclear(UnclearReason::Garbled), "{answer}");
            assert_eq!(result.load, None);
            peer.assert_ended().await;
            rig.assert_nobody_connects().await;
        })
        .await;
    }
}

/// The process was held up while the answer came: when it looks, the answer is there whole and the time is over.
#[tokio::test(start_paused = true)]
async fn an_answer_that_came_in_time_counts_though_it_is_read_late() {
    let chunked = DONE.replace("Content-Length: 2", "Transfer-Encoding: chunked");
    let chunked = chunked.replace("ok", "1\r\no\r\n1\r\nk\r\n0\r\n\r\n");
    for answer in [DONE, &chunked] {
        local(async {
            let rig = Rig::new().await;
            let delivering = rig.start(rig.delivery());
            let mut peer = rig.peer().await;
            peer.request().await;
            rig.clock.pass(900).await;
            peer.send(answer).await;
            advance(Duration::from_millis(200)).await;
            assert_eq!(delivering.await.expect("delivered").answer, succeeded(), "{answer}");
            rig.assert_reuses(&mut peer).await;
        })
        .await;
    }
}

/// The runner's time begins when the request has come, and its answer has to come back.
#[tokio::test(start_paused = true)]
async fn an_answer_that_is_on_its_way_when_the_time_is_over_counts() {
    local(async {
        let mut rig = Rig::new().await;
        rig.client = RunnerClient::new(RunnerSettings { answer_margin_ms: 50, ..settings() });
        let delivering = rig.start(rig.delivery());
        let mut peer = rig.peer().await;
        assert!(peer.request().await.contains("Deadline-Ms: 1000\r\n"));
        rig.clock.pass(1_040).await;
        peer.send(DONE).await;
        assert_eq!(delivering.await.expect("delivered").answer, succeeded());
        let (delivery, _) = rig.another();
        let delivering = rig.start(delivery);
        peer.request().await;
        rig.clock.pass(1_060).await;
        assert_eq!(delivering.await.expect("delivered").answer, unclear(UnclearReason::Timeout));
        peer.assert_ended().await;
    })
    .await;
}

#[tokio::test(start_paused = true)]
async fn answers_that_are_cut_count_for_nothing() {
    let signed = "Response-Signature: s.1\r\n";
    for (answer, reason) in [
        (String::new(), UnclearReason::Closed),
        ("HTTP/1.1 200 OK\r\nResponse-Sig".to_owned(), UnclearReason::Closed),
        (format!("HTTP/1.1 200 OK\r\n{signed}Content-Length: 3\r\n\r\nab"), UnclearReason::Garbled),
        (
            format!("HTTP/1.1 200 OK\r\n{signed}Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n"),
            UnclearReason::Garbled,
        ),
        (format!("HTTP/1.1 200 OK\r\n{signed}\r\nab"), UnclearReason::Garbled),
        (format!("HTTP/1.1 200 OK\r\n{signed}Transfer-Encoding: gzip\r\n\r\nab"), UnclearReason::Garbled),
        (
            format!("HTTP/1.1 200 OK\r\n{signed}Transfer-Encoding: chunked, gzip\r\n\r\nab"),
            UnclearReason::Garbled,
        ),
        ("HTTP/1.1 500 E\r\nTransfer-Encoding: identity\r\n\r\nab".to_owned(), UnclearReason::Garbled),
        ("HTTP/1.1 500 E\r\nContent-Length: 3\r\n\r\nab".to_owned(), UnclearReason::Garbled),
        ("HTTP/1.1 422 E\r\nContent-Length: 3\r\n\r\nab".to_owned(), UnclearReason::Garbled),
    ] {
        local(async {
            let rig = Rig::new().await;
            let delivering = rig.start(rig.delivery());
            let mut peer = rig.peer().await;
            peer.request().await;
            peer.send(&answer).await;
            drop(peer);
            let result = delivering.await.expect("delivered");
            assert_eq!(result.answer, unclear(reason), "{answer}");
            rig.assert_nobody_connects().await;
            assert_eq!(rig.client.open_connections(rig.address), 0);
        })
        .await;
    }
}

#[tokio::test(start_paused = true)]
async fn not_run_is_certain_from_the_head_on() {
    local(async {
        let rig = Rig::new().await;
        let delivering = rig.start(rig.delivery());
        let mut peer = rig.peer().await;
        peer.request().await;
        peer.send("HTTP/1.1 503 E\r\nNot-Executed: 1\r\nContent-Length: 9\r\n\r\nfu").await;
        drop(peer);
        assert_eq!(delivering.await.expect("delivered").answer, not_run(NotRunReason::Full503));
        rig.assert_opens().await;
    })
    .await;
}

#[tokio::test(start_paused = true)]
async fn reset_after_the_request_is_unclear() {
    local(async {
        let rig = Rig::new().await;
        let delivering = rig.start(rig.delivery());
        let mut peer = rig.peer().await;
        peer.request().await;
        peer.reset();
        assert_eq!(delivering.await.expect("delivered").answer, unclear(UnclearReason::Reset));
        rig.assert_nobody_connects().await;
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
async fn silence_ends_with_the_deadline() {
    local(async {
        let rig = Rig::new().await;
        for part in [
            "",
            "HTTP/1.1 200 OK\r\n",
            "HTTP/1.1 200 OK\r\nResponse-Signature: s.1\r\nContent-Length: 2\r\n\r\na",
        ] {
            let delivering = rig.start(rig.delivery());
            let mut peer = rig.peer().await;
            peer.request().await;
            peer.send(part).await;
            rig.clock.pass(990).await;
            assert!(!delivering.is_finished());
            rig.clock.pass(10).await;
            let result = delivering.await.expect("delivered");
            assert_eq!(result.answer, unclear(UnclearReason::Timeout), "{part}");
            assert_eq!(result.elapsed_ms, 1_000);
            peer.assert_ended().await;
        }
    })
    .await;
}

#[tokio::test(start_paused = true)]
async fn slow_head_within_the_deadline_counts() {
    local(async {
        let rig = Rig::new().await;
        let delivering = rig.start(rig.delivery());
        let mut peer = rig.peer().await;
        peer.request().await;
        for byte in DONE.as_bytes() {
            peer.send([*byte]).await;
            turns().await;
        }
        assert_eq!(delivering.await.expect("delivered").answer, succeeded());
        rig.assert_reuses(&mut peer).await;
    })
    .await;
}

#[tokio::test(start_paused = true)]
async fn interim_answers_are_not_the_answer() {
    local(async {
        let rig = Rig::new().await;
        let (result, _peer) = rig.answered(format!("HTTP/1.1 100 Continue\r\n\r\n{DONE}")).await;
        assert_eq!(result.answer, succeeded());
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

#[tokio::test(start_paused = true)]
async fn call_backs_are_told_apart() {
    local(async {
        let rig = Rig::new().await;
        let start = || {
            let client = rig.client.clone();
            let address = rig.address;
            let body = Bytes::from_static(b"{}");
            spawn_local(async move { client.call_back(address, "h:80", "/done?x", body, 500).await })
        };
        let calling = start();
        let mut peer = rig.peer().await;
        let request = peer.request().await;
        let expected = "POST /done?x HTTP/1.1\r\nHost: h:80\r\nContent-Type: application/json\r\n\
                        Content-Length: 2\r\n\r\n{}";
        assert_eq!(request, expected);
        assert_eq!(start().await.expect("called"), CallbackResult::Failed, "one connection a receiver");
        peer.send("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n").await;
        assert_eq!(calling.await.expect("called"), CallbackResult::Taken);
        rig.client.retain(&HashSet::new());
        for (answer, expected) in [
            ("HTTP/1.1 400 E\r\nContent-Length: 0\r\n\r\n", CallbackResult::Refused(400)),
            ("HTTP/1.1 204 E\r\n\r\n", CallbackResult::Refused(204)),
            ("HTTP/1.1 503 E\r\nContent-Length: 0\r\n\r\n", CallbackResult::Refused(503)),
        ] {
            let calling = start();
            peer.request().await;
            peer.send(answer).await;
            assert_eq!(calling.await.expect("called"), expected);
        }
        let calling = start();
        peer.request().await;
        peer.send("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n").await;
        drop(peer);
        assert_eq!(calling.await.expect("called"), CallbackResult::Failed);
        let calling = start();
        let mut peer = rig.peer().await;
        peer.request().await;
        rig.clock.pass(500).await;
        assert_eq!(calling.await.expect("called"), CallbackResult::Failed);
    })
    .await;
}

#[tokio::test(start_paused = true)]
async fn health_is_read() {
    local(async {
        let rig = Rig::new().await;
        let start = || {
            let client = rig.client.clone();
            let address = rig.address;
            spawn_local(async move { client.health(address, "/health", 500).await })
        };
        let asking = start();
        let mut peer = rig.peer().await;
        let request = peer.request().await;
        assert_eq!(request, format!("GET /health HTTP/1.1\r\nHost: {}\r\n\r\n", rig.address));
        peer.send("HTTP/1.1 200 OK\r\nInstance-Id: i-1\r\nInstance-Load: 1,2,3\r\nContent-Length: 0\r\n\r\n")
            .await;
        let expected = HealthResult {
            status: Some(200),
            instance_id: Some("i-1".to_owned()),
            load: Some(InstanceLoad { running: 1, waiting: 2, slots: 3 }),
        };
        assert_eq!(asking.await.expect("asked"), expected);
        let asking = start();
        peer.request().await;
        peer.send("HTTP/1.1 503 E\r\nContent-Length: 0\r\n\r\n").await;
        assert_eq!(asking.await.expect("asked").status, Some(503));
        let asking = start();
        peer.request().await;
        rig.clock.pass(500).await;
        assert_eq!(asking.await.expect("asked"), HealthResult::default());
    })
    .await;
}
