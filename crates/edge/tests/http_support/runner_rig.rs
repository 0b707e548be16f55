//! A runner that tests write themselves, and the client under test.

use std::cell::Cell;
use std::io::ErrorKind;
use std::net::SocketAddr;

use bytes::Bytes;
use ruddervalve_edge::runner::{
    Delivery, DeliveryResult, NotRunReason, RunnerAnswer, RunnerClient, RunnerSettings, UnclearReason,
};
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{JoinHandle, spawn_local, yield_now};

use super::ManualClock;

/// A runner's side of one connection.
pub struct Peer {
    pub stream: TcpStream,
    pub unread: Vec<u8>,
}

impl Peer {
    /// A whole request: head and body.
    pub async fn request(&mut self) -> String {
        loop {
            if let Some(length) = self.whole_length() {
                return String::from_utf8(self.unread.drain(..length).collect()).expect("text");
            }
            assert_ne!(self.more().await, 0, "connection ended before a request");
        }
    }

    pub fn whole_length(&self) -> Option<usize> {
        let head = self.unread.windows(4).position(|window| window == b"\r\n\r\n")? + 4;
        let text = std::str::from_utf8(&self.unread[..head]).expect("a head is text");
        let field = text.split("\r\n").find_map(|line| line.strip_prefix("Content-Length: "));
        let body: usize = field.map_or(0, |length| length.parse().expect("digits"));
        (self.unread.len() >= head + body).then_some(head + body)
    }

    pub async fn more(&mut self) -> usize {
        let mut piece = [0; 4096];
        let count = self.stream.read(&mut piece).await.expect("not reset");
        self.unread.extend_from_slice(&piece[..count]);
        count
    }

    pub async fn send(&mut self, bytes: impl AsRef<[u8]>) {
        self.stream.write_all(bytes.as_ref()).await.expect("connection is open");
    }

    pub async fn assert_ended(&mut self) {
        assert_eq!(self.more().await, 0, "connection is open");
    }

    /// Bytes that nobody read make the system reset the connection when it is closed.
    pub async fn assert_ended_over_unread_bytes(&mut self) {
        let ended = self.stream.read(&mut [0; 16]).await.map_err(|error| error.kind());
        assert!(matches!(ended, Ok(0) | Err(ErrorKind::ConnectionReset)), "connection is open: {ended:?}");
    }

    pub fn reset(self) {
        self.stream.set_zero_linger().expect("an option");
    }
}

pub struct Rig {
    pub clock: ManualClock,
    pub client: RunnerClient,
    pub listener: TcpListener,
    pub address: SocketAddr,
    pub messages: Cell<u64>,
}

impl Rig {
    pub async fn new() -> Self {
        let clock = ManualClock::stopped();
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("bound");
        Self { clock, client: RunnerClient::new(settings()), listener, address, messages: Cell::new(100) }
    }

    pub async fn peer(&self) -> Peer {
        let (stream, _) = self.listener.accept().await.expect("a connection");
        // Else the system holds small pieces back until others are acknowledged.
        stream.set_nodelay(true).expect("an option");
        Peer { stream, unread: Vec::new() }
    }

    pub fn delivery(&self) -> Delivery {
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

    pub fn start(&self, delivery: Delivery) -> JoinHandle<DeliveryResult> {
        let client = self.client.clone();
        spawn_local(async move { client.deliver(delivery).await })
    }

    /// Delivers on a new connection, which gets this answer.
    pub async fn answered(&self, answer: impl AsRef<[u8]>) -> (DeliveryResult, Peer) {
        let delivering = self.start(self.delivery());
        let mut peer = self.peer().await;
        peer.request().await;
        peer.send(answer).await;
        (delivering.await.expect("delivered"), peer)
    }

    /// The delivery of a message that no connection has carried, and its answer.
    pub fn another(&self) -> (Delivery, String) {
        self.messages.set(self.messages.get() + 1);
        let request_id = format!("r-{}", self.messages.get());
        let answer = DONE.replace("r-1", &request_id);
        (Delivery { request_id, ..self.delivery() }, answer)
    }

    /// Delivers another message on a connection that is kept.
    pub async fn assert_reuses(&self, peer: &mut Peer) {
        let (delivery, answer) = self.another();
        let delivering = self.start(delivery);
        peer.request().await;
        peer.send(answer).await;
        let result = delivering.await.expect("delivered");
        assert_eq!(result.answer, succeeded());
        assert!(!result.new_connection);
    }

    /// Delivers another message, and expects that it takes a new connection.
    pub async fn assert_opens(&self) -> Peer {
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

    pub async fn assert_nobody_connects(&self) {
        turns().await;
        let accepted = tokio::select! {
            biased;
            accepted = self.listener.accept() => Some(accepted),
            () = turns() => None,
        };
        assert!(accepted.is_none(), "a second connection");
    }
}

pub const DONE: &str =
    "HTTP/1.1 200 OK\r\nRequest-Id: r-1\r\nResponse-Signature: s.1\r\nContent-Length: 2\r\n\r\nok";

pub fn settings() -> RunnerSettings {
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

pub fn succeeded() -> RunnerAnswer {
    RunnerAnswer::Succeeded { signature: "s.1".to_owned() }
}

pub fn unclear(reason: UnclearReason) -> RunnerAnswer {
    RunnerAnswer::Unclear { reason }
}

pub fn not_run(reason: NotRunReason) -> RunnerAnswer {
    RunnerAnswer::NotRun { reason, retry_after_ms: None }
}

pub async fn turns() {
    for _ in 0..16 {
        yield_now().await;
    }
}
