//! The front against clients that are written here: raw bytes in, raw bytes out.

mod http_support;

use std::collections::HashMap;
use std::net::SocketAddr;

use http_support::{ManualClock, local};
use ruddervalve_edge::front::{
    Front, FrontHeader, FrontLimits, FrontRequest, FrontResponse, Handler, Method, READINESS_PATH, Readiness,
    StatusCode,
};
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, oneshot, watch};
use tokio::task::{JoinHandle, spawn_local, yield_now};

/// A request that the handler has got, and how it is to be answered.
struct Call {
    request: FrontRequest,
    answer: oneshot::Sender<FrontResponse>,
}

/// Hands each request to the test and waits for its answer.
struct Scripted(mpsc::UnboundedSender<Call>);

impl Handler for Scripted {
    async fn handle(&self, request: FrontRequest) -> FrontResponse {
        let (answer, answered) = oneshot::channel();
        self.0.send(Call { request, answer }).unwrap_or_else(|_| panic!("test has ended"));
        answered.await.expect("test answers each request")
    }
}

struct Rig {
    clock: ManualClock,
    front: Front,
    address: SocketAddr,
    limits: watch::Sender<FrontLimits>,
    calls: mpsc::UnboundedReceiver<Call>,
    serving: JoinHandle<()>,
}

impl Rig {
    async fn new(limits: FrontLimits) -> Self {
        let clock = ManualClock::stopped();
        let (limits, watched) = watch::channel(limits);
        let front = Front::new(watched);
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("bound");
        let (sender, calls) = mpsc::unbounded_channel();
        let served = front.clone();
        let serving = spawn_local(async move { served.serve(listener, Scripted(sender)).await });
        Self { clock, front, address, limits, calls, serving }
    }

    async fn client(&self) -> Client {
        Client { stream: TcpStream::connect(self.address).await.expect("accepted"), unread: Vec::new() }
    }

    async fn call(&mut self) -> Call {
        self.calls.recv().await.expect("front runs")
    }

    /// Answers the next request with 202, and returns it.
    async fn accept(&mut self) -> FrontRequest {
        let call = self.call().await;
        call.answer.send(FrontResponse::new(StatusCode::ACCEPTED)).expect("client is there");
        call.request
    }

    fn has_no_call(&mut self) -> bool {
        self.calls.try_recv().is_err()
    }
}

#[derive(Debug)]
struct Answer {
    status: u16,
    headers: HashMap<String, String>,
    body: Vec<u8>,
}

impl Answer {
    fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name).map(String::as_str)
    }

    fn closes(&self) -> bool {
        self.header("connection") == Some("close")
    }
}

struct Client {
    stream: TcpStream,
    unread: Vec<u8>,
}

impl Client {
    async fn send(&mut self, bytes: impl AsRef<[u8]>) {
        self.stream.write_all(bytes.as_ref()).await.expect("connection is open");
    }

    async fn more(&mut self) -> usize {
        let mut piece = [0; 4096];
        let count = self.stream.read(&mut piece).await.expect("not reset");
        self.unread.extend_from_slice(&piece[..count]);
        count
    }

    async fn answer(&mut self) -> Answer {
        let end = loop {
            if let Some(end) = self.unread.windows(4).position(|window| window == b"\r\n\r\n") {
                break end + 4;
            }
            assert_ne!(self.more().await, 0, "connection ended before an answer");
        };
        let head = String::from_utf8(self.unread.drain(..end).collect()).expect("a head is text");
        let mut lines = head.split("\r\n");
        let status =
            lines.next().and_then(|line| line.split(' ').nth(1)).expect("a status").parse().expect("digits");
        let headers: HashMap<String, String> = lines
            .filter_map(|line| line.split_once(": "))
            .map(|(name, value)| (name.to_ascii_lowercase(), value.to_owned()))
            .collect();
        let length: usize = headers.get("content-length").map_or(0, |length| length.parse().expect("digits"));
        while self.unread.len() < length {
            assert_ne!(self.more().await, 0, "answer is cut");
        }
        Answer { status, headers, body: self.unread.drain(..length).collect() }
    }

    async fn assert_ended(&mut self) {
        assert_eq!(self.more().await, 0, "connection is open");
        assert_eq!(self.unread, b"", "bytes that no one asked for");
    }

    /// A whole exchange, which shows that the connection still serves.
    async fn assert_serves(&mut self, rig: &mut Rig) {
        self.send(SIMPLE).await;
        rig.accept().await;
        assert_eq!(self.answer().await.status, 202);
    }
}

const SIMPLE: &str = "POST /a HTTP/1.1\r\nHost: h\r\nRequest-Id: r\r\nContent-Length: 2\r\n\r\nhi";

fn limits() -> FrontLimits {
    FrontLimits {
        max_header_bytes: 512,
        max_body_bytes: 100,
        header_timeout_ms: 300,
        idle_timeout_ms: 1_000,
        max_connections: 8,
        retry_after_ms: 1_200,
        longest_delay_ms: 60_000,
    }
}

async fn turns() {
    for _ in 0..16 {
        yield_now().await;
    }
}

/// Sends bytes on a connection of their own: no handler may see them, and the connection ends after the answer.
async fn assert_refused(bytes: impl AsRef<[u8]>, status: u16) {
    let bytes = bytes.as_ref();
    let shown = String::from_utf8_lossy(bytes).into_owned();
    local(async {
        let mut rig = Rig::new(limits()).await;
        let mut client = rig.client().await;
        client.send(bytes).await;
        let answer = client.answer().await;
        assert_eq!(answer.status, status, "{shown}: {answer:?}");
        assert!(answer.closes(), "{shown}");
        client.assert_ended().await;
        assert!(rig.has_no_call(), "{shown}");
    })
    .await;
}

#[tokio::test(start_paused = true)]
async fn request_reaches_handler_with_all_its_parts() {
    local(async {
        let mut rig = Rig::new(limits()).await;
        let mut client = rig.client().await;
        client
            .send(
                "PUT /x/%2e./y?q=%7B1}&r=//s? HTTP/1.1\r\nhost: boye61.example:80\r\nRequest-Id: 9c.A_-\r\n\
                 Delay-Ms: 1500\r\nCallback-Url: http://10.20.0.4:8080/done\r\nOrdering-Key: key 1\r\n\
                 Content-Type: text/x\r\nDeadline-Ms: 500\r\nContent-Length: 3\r\n\r\nabc",
            )
            .await;
        let request = rig.accept().await;
        let expected = FrontRequest {
            method: Method::PUT,
            host: "boye61.example:80".to_owned(),
            path_and_query: "/x/%2e./y?q=%7B1}&r=//s?".to_owned(),
            request_id: Some("9c.A_-".to_owned()),
            delay_ms: Some(1_500),
            callback_url: Some("http://10.20.0.4:8080/done".to_owned()),
            ordering_key: Some("key 1".to_owned()),
            content_type: "text/x".to_owned(),
            deadline_ms: Some(500),
            body: "abc".into(),
        };
        assert_eq!(request, expected);
        let answer = client.answer().await;
        assert_eq!(answer.status, 202);
        assert!(!answer.closes());
    })
    .await;
}

#[tokio::test(start_paused = true)]
async fn body_in_chunks_comes_whole_and_the_connection_is_kept() {
    local(async {
        let mut rig = Rig::new(limits()).await;
        let mut client = rig.client().await;
        for _ in 0..2 {
            client
                .send("POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3;x=y\r\nabc\r\n")
                .await;
            turns().await;
            client.send("0A\r\n0123456789\r\n0\r\nTrailer: t\r\n\r\n").await;
            assert_eq!(rig.accept().await.body, "abc0123456789");
            assert_eq!(client.answer().await.status, 202);
        }
        assert_eq!(rig.front.counters().answered, 2);
    })
    .await;
}

#[tokio::test(start_paused = true)]
async fn pipelined_requests_are_handled_one_after_the_other() {
    local(async {
        let mut rig = Rig::new(limits()).await;
        let mut client = rig.client().await;
        let requests: String = (0..5)
            .map(|number| format!("POST /{number} HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\n{number}"))
            .collect();
        client.send(requests).await;
        for number in 0..5 {
            let call = rig.call().await;
            assert_eq!(call.request.path_and_query, format!("/{number}"));
            assert_eq!(call.request.body, number.to_string());
            turns().await;
            assert!(rig.has_no_call(), "second request before the first was answered");
            let body = format!("answer {number}");
            call.answer
                .send(FrontResponse::new(StatusCode::OK).with_body("text/plain", body))
                .expect("there");
        }
        for number in 0..5 {
            assert_eq!(client.answer().await.body, format!("answer {number}").into_bytes());
        }
    })
    .await;
}

#[tokio::test(start_paused = true)]
async fn refused_request_does_not_take_the_answer_before_it_along() {
    local(async {
        let mut rig = Rig::new(limits()).await;
        let mut client = rig.client().await;
        client.send(SIMPLE).await;
        client.send("GET / HTTP/1.1\r\nHost: h\nContent-Length: 9\r\n\r\n").await;
        rig.accept().await;
        assert_eq!(client.answer().await.status, 202);
        assert_eq!(client.answer().await.status, 400);
        client.assert_ended().await;
    })
    .await;
}

#[tokio::test(start_paused = true)]
async fn smuggling_is_refused() {
    let post = "POST / HTTP/1.1\r\nHost: h\r\n";
    let inner = "GET /in HTTP/1.1\r\nHost: h\r\n\r\n";
    for fields in [
        "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        "Transfer-Encoding: chunked\r\nContent-Length: 4\r\n\r\n0\r\n\r\n",
        "transfer-encoding: chunked\r\ncontent-length: 5\r\n\r\n0\r\n\r\n",
        "Content-Length: 1\r\nContent-Length: 2\r\n\r\nab",
        "Content-Length: 1, 1\r\n\r\na",
        "Content-Length: +1\r\n\r\na",
        "Content-Length: -1\r\n\r\na",
        "Content-Length: 0x1\r\n\r\na",
        "Content-Length:\r\n\r\na",
        "Content-Length : 1\r\n\r\na",
        "Transfer-Encoding: identity\r\n\r\n",
        "Transfer-Encoding: chunked, chunked\r\n\r\n0\r\n\r\n",
        "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
        "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        "Transfer-Encoding: xchunked\r\n\r\n0\r\n\r\n",
        "Transfer-Encoding: \x0bchunked\r\n\r\n0\r\n\r\n",
        "X: a\r\n folded\r\n\r\n",
        "X: a\r\n\tTransfer-Encoding: chunked\r\n\r\n",
        "X: a\nY: b\r\n\r\n",
        "X: a\rY: b\r\n\r\n",
        "X: a\0\r\n\r\n",
        "X\r\n\r\n",
        ": x\r\n\r\n",
        "Content-Length: 1\n\r\na",
    ] {
        assert_refused(format!("{post}{fields}{inner}"), 400).await;
    }
    for first in [
        "POST /a b HTTP/1.1\r\nHost: h\r\n\r\n",
        "POST  / HTTP/1.1\r\nHost: h\r\n\r\n",
        "POST /a#b HTTP/1.1\r\nHost: h\r\n\r\n",
        "POST /\u{e9} HTTP/1.1\r\nHost: h\r\n\r\n",
        "CONNECT h:80 HTTP/1.1\r\nHost: h\r\n\r\n",
        "POST / HTTP/2.0\r\nHost: h\r\n\r\n",
        "POST / HTTP/1.10\r\nHost: h\r\n\r\n",
        "POST /\r\nHost: h\r\n\r\n",
        "GET / HTTP/1.1\nHost: h\n\n",
        "POST / HTTP/1.0\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
    ] {
        assert_refused(first, 400).await;
    }
}

#[tokio::test(start_paused = true)]
async fn bad_chunks_are_refused() {
    for chunks in [
        "x\r\n",
        "\r\n",
        ";a\r\n",
        "-1\r\na\r\n",
        "+1\r\na\r\n",
        "0x1\r\na\r\n",
        "1 \r\na\r\n",
        " 1\r\na\r\n",
        "1\na\r\n0\r\n\r\n",
        "1\r\nab\r\n0\r\n\r\n",
        "1\r\na\n0\r\n\r\n",
        "1;a\nb\r\na\r\n0\r\n\r\n",
        "10000000000000001\r\na\r\n",
        "0\r\nT: a\nU: b\r\n\r\n",
        "0\r\n\n",
    ] {
        let head = "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n";
        assert_refused(format!("{head}{chunks}"), 400).await;
    }
}

#[tokio::test(start_paused = true)]
async fn repeated_headers_are_refused() {
    for fields in [
        "Host: h\r\nHost: h\r\n",
        "Host: h\r\nRequest-Id: a\r\nRequest-Id: b\r\n",
        "Host: h\r\nRequest-Id: a\r\nrequest-id: a\r\n",
        "Host: h\r\nDelay-Ms: 1\r\nDelay-Ms: 1\r\n",
        "Host: h\r\nOrdering-Key: 1\r\nOrdering-Key: 1\r\n",
        "Host: h\r\nCallback-Url: 1\r\nCallback-Url: 1\r\n",
        "X: no host\r\n",
    ] {
        assert_refused(format!("POST / HTTP/1.1\r\n{fields}\r\n"), 400).await;
    }
    assert_refused("GET http://other/ HTTP/1.1\r\nHost: h\r\n\r\n", 400).await;
}

#[tokio::test(start_paused = true)]
async fn bad_values_are_answered_and_the_connection_is_kept() {
    local(async {
        let mut rig = Rig::new(limits()).await;
        let mut client = rig.client().await;
        let long = format!("Request-Id: {}", "a".repeat(65));
        for field in [
            "Delay-Ms: -1",
            "Delay-Ms: +1",
            "Delay-Ms: 1.5",
            "Delay-Ms: 1e3",
            "Delay-Ms: ",
            "Delay-Ms: soon",
            "Delay-Ms: 60001",
            "Delay-Ms: 99999999999999999999999",
            "Deadline-Ms: x",
            "Request-Id: ",
            "Request-Id: a/b",
            "Request-Id: a b",
            "Request-Id: \u{e9}",
            "Ordering-Key: \u{e9}",
            &long,
        ] {
            client
                .send(format!("POST / HTTP/1.1\r\nHost: h\r\n{field}\r\nContent-Length: 2\r\n\r\nhi"))
                .await;
            let answer = client.answer().await;
            assert_eq!(answer.status, 400, "{field}");
            assert!(!answer.closes(), "{field}");
        }
        assert!(rig.has_no_call());
        let longest = "a".repeat(64);
        client
            .send(format!("POST / HTTP/1.1\r\nHost: h\r\nDelay-Ms: 60000\r\nRequest-Id: {longest}\r\n\r\n"))
            .await;
        let request = rig.accept().await;
        assert_eq!((request.delay_ms, request.request_id), (Some(60_000), Some(longest)));
    })
    .await;
}

#[tokio::test(start_paused = true)]
async fn large_heads_and_bodies_are_refused_as_soon_as_known() {
    let long = "a".repeat(600);
    assert_refused(format!("GET / HTTP/1.1\r\nHost: h\r\nX: {long}"), 431).await;
    assert_refused(format!("GET / HTTP/1.1\r\nHost: h\r\nX: {long}\r\n\r\n"), 431).await;
    assert_refused("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 101\r\n\r\n", 413).await;
    assert_refused("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 99999999999999999999999\r\n\r\n", 413)
        .await;
    let chunked = "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n";
    assert_refused(format!("{chunked}65\r\n"), 413).await;
    assert_refused(format!("{chunked}64\r\n{}\r\n1\r\n", "a".repeat(100)), 413).await;
}

#[tokio::test(start_paused = true)]
async fn large_body_under_way_does_not_lose_the_answer() {
    local(async {
        let rig = Rig::new(limits()).await;
        let mut client = rig.client().await;
        client.send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 500\r\n\r\n").await;
        turns().await;
        client.send([b'a'; 500]).await;
        let answer = client.answer().await;
        assert_eq!(answer.status, 413);
        client.assert_ended().await;
    })
    .await;
}

#[tokio::test(start_paused = true)]
async fn more_fields_than_hyper_reads_are_refused() {
    local(async {
        let mut rig = Rig::new(FrontLimits { max_header_bytes: 16 << 10, ..limits() }).await;
        let mut client = rig.client().await;
        client.send(format!("GET / HTTP/1.1\r\nHost: h\r\n{}\r\n", "X: y\r\n".repeat(100))).await;
        assert_eq!(client.answer().await.status, 431);
        client.assert_ended().await;
        assert!(rig.has_no_call());
    })
    .await;
}

#[tokio::test(start_paused = true)]
async fn body_is_asked_for_where_the_client_waits_for_that() {
    local(async {
        let mut rig = Rig::new(limits()).await;
        let mut client = rig.client().await;
        client.send("POST / HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n").await;
        assert_eq!(client.answer().await.status, 100);
        client.send("hi").await;
        assert_eq!(rig.accept().await.body, "hi");
        assert_eq!(client.answer().await.status, 202);
    })
    .await;
}

#[tokio::test(start_paused = true)]
async fn target_may_name_the_host_again() {
    local(async {
        let mut rig = Rig::new(limits()).await;
        let mut client = rig.client().await;
        client.send("GET http://H.example/a?b HTTP/1.1\r\nHost: h.example\r\n\r\n").await;
        let request = rig.accept().await;
        assert_eq!((request.host.as_str(), request.path_and_query.as_str()), ("h.example", "/a?b"));
        assert_eq!(client.answer().await.status, 202);
    })
    .await;
}

#[tokio::test(start_paused = true)]
async fn limits_may_change_while_it_runs() {
    local(async {
        let mut rig = Rig::new(limits()).await;
        let mut client = rig.client().await;
        client.assert_serves(&mut rig).await;
        rig.limits.send_modify(|limits| limits.max_body_bytes = 1);
        client.send(SIMPLE).await;
        assert_eq!(client.answer().await.status, 413);
        let mut within = rig.client().await;
        rig.limits.send_modify(|limits| limits.max_body_bytes = 2);
        within.send("POST / HTTP/1.1\r\nHost: h\r\n").await;
        turns().await;
        rig.limits.send_modify(|limits| limits.max_body_bytes = 1);
        within.send("Content-Length: 2\r\n\r\nhi").await;
        rig.accept().await;
        assert_eq!(within.answer().await.status, 202);
    })
    .await;
}

#[tokio::test(start_paused = true)]
async fn slow_head_is_told_so() {
    local(async {
        let mut rig = Rig::new(limits()).await;
        let mut client = rig.client().await;
        client.send("POST / HT").await;
        rig.clock.pass(200).await;
        client.send("TP/1.1\r\n").await;
        rig.clock.pass(200).await;
        let answer = client.answer().await;
        assert_eq!(answer.status, 408);
        assert!(answer.closes());
        client.assert_ended().await;
        assert!(rig.has_no_call());
    })
    .await;
}

#[tokio::test(start_paused = true)]
async fn paused_body_is_told_so_and_a_slow_one_is_not() {
    local(async {
        let mut rig = Rig::new(limits()).await;
        let mut client = rig.client().await;
        client.send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\n").await;
        for byte in ["a", "b", "c", "d"] {
            rig.clock.pass(800).await;
            client.send(byte).await;
        }
        assert_eq!(rig.accept().await.body, "abcd");
        assert_eq!(client.answer().await.status, 202);
        client.send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nab").await;
        rig.clock.pass(1_200).await;
        assert_eq!(client.answer().await.status, 408);
        client.assert_ended().await;
    })
    .await;
}

#[tokio::test(start_paused = true)]
async fn idle_connections_end_in_silence() {
    local(async {
        let mut rig = Rig::new(limits()).await;
        let mut fresh = rig.client().await;
        let mut kept = rig.client().await;
        kept.assert_serves(&mut rig).await;
        rig.clock.pass(900).await;
        kept.assert_serves(&mut rig).await;
        rig.clock.pass(300).await;
        fresh.assert_ended().await;
        kept.assert_serves(&mut rig).await;
        rig.clock.pass(1_200).await;
        kept.assert_ended().await;
        rig.front.ended().await;
        assert_eq!(rig.front.counters().refused, 0);
    })
    .await;
}

#[tokio::test(start_paused = true)]
async fn handler_may_take_longer_than_any_limit() {
    local(async {
        let mut rig = Rig::new(limits()).await;
        let mut client = rig.client().await;
        client.send(SIMPLE).await;
        let call = rig.call().await;
        rig.clock.pass(5_000).await;
        call.answer.send(FrontResponse::new(StatusCode::ACCEPTED)).expect("client is there");
        assert_eq!(client.answer().await.status, 202);
    })
    .await;
}

#[tokio::test(start_paused = true)]
async fn client_that_leaves_within_a_request_is_noticed() {
    local(async {
        let mut rig = Rig::new(limits()).await;
        for part in ["POST / HT", "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nab"] {
            let mut client = rig.client().await;
            client.send(part).await;
            turns().await;
            drop(client);
            rig.front.ended().await;
        }
        assert!(rig.has_no_call());
        assert_eq!(rig.front.counters().clients_left, 2);
    })
    .await;
}

#[tokio::test(start_paused = true)]
async fn client_that_resets_is_not_worked_for() {
    local(async {
        let mut rig = Rig::new(limits()).await;
        let mut client = rig.client().await;
        client.send(SIMPLE).await;
        let mut call = rig.call().await;
        client.stream.set_zero_linger().expect("an option");
        drop(client);
        call.answer.closed().await;
        rig.front.ended().await;
        assert_eq!(rig.front.counters().clients_left, 1);
    })
    .await;
}

#[tokio::test(start_paused = true)]
async fn client_that_only_stops_sending_is_answered() {
    local(async {
        let mut rig = Rig::new(limits()).await;
        let mut client = rig.client().await;
        client.send(SIMPLE).await;
        let call = rig.call().await;
        client.stream.shutdown().await.expect("open");
        turns().await;
        call.answer.send(FrontResponse::new(StatusCode::ACCEPTED)).expect("still worked for");
        assert_eq!(client.answer().await.status, 202);
        client.assert_ended().await;
        rig.front.ended().await;
    })
    .await;
}

#[tokio::test(start_paused = true)]
async fn client_that_does_not_read_is_given_up() {
    local(async {
        let mut rig = Rig::new(limits()).await;
        let mut client = rig.client().await;
        client.send(SIMPLE).await;
        let call = rig.call().await;
        let large = vec![b'x'; 64 << 20];
        call.answer.send(FrontResponse::new(StatusCode::OK).with_body("text/plain", large)).expect("there");
        turns().await;
        rig.clock.pass(800).await;
        client.send("more").await;
        rig.clock.pass(100).await;
        assert_eq!(rig.front.counters().open_connections, 1);
        rig.clock.pass(400).await;
        rig.front.ended().await;
    })
    .await;
}

#[tokio::test(start_paused = true)]
async fn drain_lets_present_requests_end() {
    local(async {
        let mut rig = Rig::new(limits()).await;
        let mut idle = rig.client().await;
        idle.assert_serves(&mut rig).await;
        let mut fresh = rig.client().await;
        let mut reading = rig.client().await;
        reading.send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nh").await;
        let mut busy = rig.client().await;
        busy.send(SIMPLE).await;
        let call = rig.call().await;
        turns().await;
        rig.front.drain(0);
        idle.assert_ended().await;
        fresh.assert_ended().await;
        call.answer.send(FrontResponse::new(StatusCode::ACCEPTED)).expect("client is there");
        reading.send("i").await;
        rig.accept().await;
        for client in [&mut busy, &mut reading] {
            let answer = client.answer().await;
            assert_eq!(answer.status, 202);
            assert!(answer.closes());
            client.assert_ended().await;
        }
        rig.front.ended().await;
        let mut late = rig.client().await;
        late.send(SIMPLE).await;
        rig.accept().await;
        assert!(late.answer().await.closes());
        late.assert_ended().await;
        rig.front.stop_accepting();
        rig.serving.await.expect("serve returns");
        assert!(TcpStream::connect(rig.address).await.is_err());
    })
    .await;
}

#[tokio::test(start_paused = true)]
async fn drain_keeps_idle_connections_for_its_grace() {
    local(async {
        let mut rig = Rig::new(limits()).await;
        let mut used = rig.client().await;
        used.assert_serves(&mut rig).await;
        let mut unused = rig.client().await;
        turns().await;
        rig.front.drain(400);
        rig.clock.pass(300).await;
        used.send(SIMPLE).await;
        rig.accept().await;
        assert!(used.answer().await.closes());
        used.assert_ended().await;
        rig.clock.pass(200).await;
        unused.assert_ended().await;
        rig.front.ended().await;
    })
    .await;
}

#[tokio::test(start_paused = true)]
async fn drain_answers_requests_that_were_read_ahead() {
    local(async {
        let mut rig = Rig::new(limits()).await;
        let mut client = rig.client().await;
        client.send(SIMPLE).await;
        client.send(SIMPLE).await;
        let call = rig.call().await;
        turns().await;
        rig.front.drain(0);
        call.answer.send(FrontResponse::new(StatusCode::ACCEPTED)).expect("client is there");
        rig.accept().await;
        assert!(!client.answer().await.closes());
        assert!(client.answer().await.closes());
        client.assert_ended().await;
    })
    .await;
}

#[tokio::test(start_paused = true)]
async fn request_that_has_arrived_is_served_though_idle_connections_close() {
    local(async {
        let mut rig = Rig::new(limits()).await;
        let mut client = rig.client().await;
        client.assert_serves(&mut rig).await;
        // Nothing has run since these bytes came: the front does not know of them.
        client.stream.try_write(SIMPLE.as_bytes()).expect("room");
        rig.front.drain(0);
        rig.accept().await;
        assert!(client.answer().await.closes());
        client.assert_ended().await;
    })
    .await;
}

#[tokio::test(start_paused = true)]
async fn connection_that_has_come_up_is_served_though_the_front_stops_accepting() {
    local(async {
        let mut rig = Rig::new(limits()).await;
        rig.client().await.assert_serves(&mut rig).await;
        // Nothing has run since this connection came up: the front has not accepted it.
        let stream = std::net::TcpStream::connect(rig.address).expect("accepted by the system");
        stream.set_nonblocking(true).expect("an option");
        rig.front.stop_accepting();
        let mut client =
            Client { stream: TcpStream::from_std(stream).expect("a socket"), unread: Vec::new() };
        client.assert_serves(&mut rig).await;
        rig.serving.await.expect("serve returns");
    })
    .await;
}

#[tokio::test(start_paused = true)]
async fn handler_may_close() {
    local(async {
        let mut rig = Rig::new(limits()).await;
        let mut client = rig.client().await;
        client.send(SIMPLE).await;
        let call = rig.call().await;
        call.answer.send(FrontResponse::new(StatusCode::ACCEPTED).closing()).expect("client is there");
        assert!(client.answer().await.closes());
        client.assert_ended().await;
    })
    .await;
}

#[tokio::test(start_paused = true)]
async fn oldest_idle_connection_gives_way() {
    local(async {
        let mut rig = Rig::new(FrontLimits { max_connections: 3, ..limits() }).await;
        let mut first = rig.client().await;
        first.assert_serves(&mut rig).await;
        let mut second = rig.client().await;
        second.assert_serves(&mut rig).await;
        rig.clock.pass(50).await;
        first.assert_serves(&mut rig).await;
        let mut third = rig.client().await;
        third.assert_serves(&mut rig).await;
        let mut fourth = rig.client().await;
        fourth.assert_serves(&mut rig).await;
        second.assert_ended().await;
        let mut fifth = rig.client().await;
        fifth.assert_serves(&mut rig).await;
        first.assert_ended().await;
        third.assert_serves(&mut rig).await;
        assert_eq!(rig.front.counters().open_connections, 3);
    })
    .await;
}

#[tokio::test(start_paused = true)]
async fn idle_connection_with_a_request_under_way_does_not_give_way() {
    local(async {
        let mut rig = Rig::new(FrontLimits { max_connections: 1, ..limits() }).await;
        let mut kept = rig.client().await;
        kept.assert_serves(&mut rig).await;
        // Nothing runs in between: the front hears of the new connection first, while the kept one still seems idle.
        let stream = std::net::TcpStream::connect(rig.address).expect("accepted by the system");
        kept.stream.try_write(SIMPLE.as_bytes()).expect("room");
        stream.set_nonblocking(true).expect("an option");
        let mut new = Client { stream: TcpStream::from_std(stream).expect("a socket"), unread: Vec::new() };
        rig.accept().await;
        assert_eq!(kept.answer().await.status, 202);
        new.assert_serves(&mut rig).await;
        assert_eq!(rig.front.counters().open_connections, 2);
    })
    .await;
}

#[tokio::test(start_paused = true)]
async fn too_many_busy_connections_are_told_when_to_come_back() {
    local(async {
        let mut rig = Rig::new(FrontLimits { max_connections: 2, ..limits() }).await;
        let mut busy = [rig.client().await, rig.client().await];
        let mut calls = Vec::new();
        for client in &mut busy {
            client.send(SIMPLE).await;
            calls.push(rig.call().await);
        }
        let mut refused = rig.client().await;
        refused.send(SIMPLE).await;
        let answer = refused.answer().await;
        assert_eq!(answer.status, 503);
        assert_eq!(answer.header("retry-after"), Some("2"));
        assert!(answer.closes());
        refused.assert_ended().await;
        drop(refused);
        assert!(rig.has_no_call());
        for call in calls {
            call.answer.send(FrontResponse::new(StatusCode::ACCEPTED)).expect("client is there");
        }
        for client in &mut busy {
            assert_eq!(client.answer().await.status, 202);
        }
        let mut next = rig.client().await;
        next.assert_serves(&mut rig).await;
        assert_eq!(rig.front.counters().refused, 1);
    })
    .await;
}

#[tokio::test(start_paused = true)]
async fn headers_of_answers_are_worded() {
    local(async {
        let mut rig = Rig::new(limits()).await;
        let mut client = rig.client().await;
        client.send(SIMPLE).await;
        let answer = FrontResponse::new(StatusCode::SERVICE_UNAVAILABLE)
            .with_header(FrontHeader::retry_after_ms(1_001))
            .with_header(FrontHeader::MessageId("m-1".to_owned()))
            .with_body("application/json", "{}");
        rig.call().await.answer.send(answer).expect("client is there");
        let answer = client.answer().await;
        assert_eq!(answer.status, 503);
        assert_eq!(answer.header("retry-after"), Some("2"));
        assert_eq!(answer.header("message-id"), Some("m-1"));
        assert_eq!(answer.header("content-type"), Some("application/json"));
        assert_eq!(answer.body, b"{}");
        client.send(SIMPLE).await;
        let bad = FrontResponse::new(StatusCode::OK).with_header(FrontHeader::MessageId("a\r\nb".to_owned()));
        rig.call().await.answer.send(bad).expect("client is there");
        assert_eq!(client.answer().await.status, 500);
        client.send(SIMPLE).await;
        rig.call().await.answer.send(FrontResponse::new(StatusCode::CONTINUE)).expect("client is there");
        assert_eq!(client.answer().await.status, 500);
    })
    .await;
}

#[tokio::test(start_paused = true)]
async fn readiness_follows_the_process() {
    local(async {
        let _clock = ManualClock::stopped();
        let (_limits, watched) = watch::channel(limits());
        let front = Front::new(watched);
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("bound");
        let (ready, watched) = watch::channel(false);
        let served = front.clone();
        spawn_local(async move { served.serve(listener, Readiness::new(watched)).await });
        let stream = TcpStream::connect(address).await.expect("accepted");
        let mut client = Client { stream, unread: Vec::new() };
        let question = format!("GET {READINESS_PATH} HTTP/1.1\r\nHost: h\r\n\r\n");
        client.send(&question).await;
        assert_eq!(client.answer().await.status, 503);
        ready.send_replace(true);
        client.send(&question).await;
        assert_eq!(client.answer().await.status, 200);
        client.send("GET /other HTTP/1.1\r\nHost: h\r\n\r\n").await;
        assert_eq!(client.answer().await.status, 404);
    })
    .await;
}
