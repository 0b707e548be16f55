//! A front whose handler is the test, and clients that send raw bytes and read raw bytes.

use std::collections::HashMap;
use std::net::SocketAddr;

use ruddervalve_edge::front::{Front, FrontLimits, FrontRequest, FrontResponse, Handler, StatusCode};
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, oneshot, watch};
use tokio::task::{JoinHandle, spawn_local, yield_now};

use crate::http_support::{ManualClock, local};

/// A request that the handler has got, and how it is to be answered.
pub(crate) struct Call {
    pub(crate) request: FrontRequest,
    pub(crate) answer: oneshot::Sender<FrontResponse>,
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

pub(crate) struct Rig {
    pub(crate) clock: ManualClock,
    pub(crate) front: Front,
    pub(crate) address: SocketAddr,
    pub(crate) limits: watch::Sender<FrontLimits>,
    pub(crate) calls: mpsc::UnboundedReceiver<Call>,
    pub(crate) serving: JoinHandle<()>,
}

impl Rig {
    pub(crate) async fn new(limits: FrontLimits) -> Self {
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

    pub(crate) async fn client(&self) -> Client {
        Client { stream: TcpStream::connect(self.address).await.expect("accepted"), unread: Vec::new() }
    }

    pub(crate) async fn call(&mut self) -> Call {
        self.calls.recv().await.expect("front runs")
    }

    /// Answers the next request with 202, and returns it.
    pub(crate) async fn accept(&mut self) -> FrontRequest {
        let call = self.call().await;
        call.answer.send(FrontResponse::new(StatusCode::ACCEPTED)).expect("client is there");
        call.request
    }

    pub(crate) fn has_no_call(&mut self) -> bool {
        self.calls.try_recv().is_err()
    }
}

#[derive(Debug)]
pub(crate) struct Answer {
    pub(crate) status: u16,
    pub(crate) headers: HashMap<String, String>,
    pub(crate) body: Vec<u8>,
}

impl Answer {
    pub(crate) fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name).map(String::as_str)
    }

    pub(crate) fn closes(&self) -> bool {
        self.header("connection") == Some("close")
    }
}

pub(crate) struct Client {
    pub(crate) stream: TcpStream,
    pub(crate) unread: Vec<u8>,
}

impl Client {
    pub(crate) async fn send(&mut self, bytes: impl AsRef<[u8]>) {
        self.stream.write_all(bytes.as_ref()).await.expect("connection is open");
    }

    pub(crate) async fn more(&mut self) -> usize {
        let mut piece = [0; 4096];
        let count = self.stream.read(&mut piece).await.expect("not reset");
        self.unread.extend_from_slice(&piece[..count]);
        count
    }

    pub(crate) async fn answer(&mut self) -> Answer {
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

    pub(crate) async fn assert_ended(&mut self) {
        assert_eq!(self.more().await, 0, "connection is open");
        assert_eq!(self.unread, b"", "bytes that no one asked for");
    }

    /// A whole exchange, which shows that the connection still serves.
    pub(crate) async fn assert_serves(&mut self, rig: &mut Rig) {
        self.send(SIMPLE).await;
        rig.accept().await;
        assert_eq!(self.answer().await.status, 202);
    }
}

pub(crate) const SIMPLE: &str = "POST /a HTTP/1.1\r\nHost: h\r\nRequest-Id: r\r\nContent-Length: 2\r\n\r\nhi";

pub(crate) fn limits() -> FrontLimits {
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

pub(crate) async fn turns() {
    for _ in 0..16 {
        yield_now().await;
    }
}

/// Sends bytes on a connection of their own: no handler may see them, and the connection ends after the answer.
pub(crate) async fn assert_refused(bytes: impl AsRef<[u8]>, status: u16) {
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
