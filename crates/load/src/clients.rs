//! Clients that send one request after the other.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::BytesMut;
use hdrhistogram::Histogram;
use tokio::io::AsyncWriteExt as _;
use tokio::net::TcpStream;

use super::Failure;
use super::peer::Peer;
use super::stand_ins::message;

/// A client's connection over HTTP.
pub(super) struct HttpClient {
    pub(super) stream: TcpStream,
    pub(super) read_buffer: BytesMut,
    pub(super) next_id: Rc<Cell<u64>>,
}

impl HttpClient {
    pub(super) async fn job(&mut self) -> Result<bool, Failure> {
        let id = self.next_id.get();
        self.next_id.set(id + 1);
        let request = format!(
            "POST /tint/7 HTTP/1.1\r\nHost: service.internal\r\nX-Txn: {id:x}\r\nX-Lane: tint\r\nX-Org: acme\r\n\
             X-Remaining-Ms: 5000\r\nContent-Length: 0\r\n\r\n"
        );
        self.stream.write_all(request.as_bytes()).await?;
        let head = message(&mut self.stream, &mut self.read_buffer)
            .await?
            .ok_or("the program closed a connection")?;
        Ok(head.starts_with("http/1.1 200"))
    }
}

pub(super) enum Client {
    Gearman(Peer),
    Http(HttpClient),
}

impl Client {
    pub(super) async fn job(&mut self) -> Result<bool, Failure> {
        match self {
            Self::Gearman(peer) => peer.job().await,
            Self::Http(client) => client.job().await,
        }
    }
}

#[derive(Default)]
pub(super) struct Counts {
    pub(super) served: Cell<u64>,
    pub(super) refused: Cell<u64>,
}

/// Sends jobs one after the other until the end, by the clock where a pace is set; times count from when a job was due.
pub(super) async fn send(
    mut client: Client,
    pace: Option<Duration>,
    offset: Duration,
    until: Instant,
    counts: Rc<Counts>,
    times: Rc<RefCell<Histogram<u64>>>,
) -> Result<(), Failure> {
    let mut due = Instant::now() + offset;
    while Instant::now() < until {
        let sent = match pace {
            Some(pace) => {
                tokio::time::sleep_until(due.into()).await;
                let next = due + pace;
                std::mem::replace(&mut due, next)
            }
            None => Instant::now(),
        };
        if count(&mut client, &counts).await? {
            times.borrow_mut().saturating_record(sent.elapsed().as_micros() as u64);
        }
    }
    Ok(())
}

async fn count(client: &mut Client, counts: &Counts) -> Result<bool, Failure> {
    let served = client.job().await?;
    let counter = if served { &counts.served } else { &counts.refused };
    counter.set(counter.get() + 1);
    Ok(served)
}
