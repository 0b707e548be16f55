//! A request as it goes to a runner, and the client that waits for it.

use std::io;
use std::mem::MaybeUninit;
use std::rc::{Rc, Weak};

use actix_http::Method;
use actix_http::header::HeaderMap;
use bytes::Bytes;
use ruddervalve_broker::{Attempt, Broker};
use socket2::SockRef;
use tokio::net::TcpStream;

/// A request as it goes to a runner: the bytes that came.
#[derive(Debug)]
pub struct ForwardedRequest {
    /// The client's id of the request, by which runners know it.
    pub id: String,
    /// The method.
    pub method: Method,
    /// Path and query.
    pub target: String,
    /// The headers that go along.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
    /// Whether its client is still there.
    pub client: ClientPresence,
}

/// The connection of a request's client, as far as attempts look at it.
#[derive(Debug)]
pub struct ClientPresence(Weak<TcpStream>);

impl ClientPresence {
    /// The one on this connection.
    pub fn on(stream: &Rc<TcpStream>) -> Self {
        Self(Rc::downgrade(stream))
    }

    /// Whether its end has come, seen by the connection's own task or not yet: what comes before it is that one's to
    /// read.
    fn has_left(&self) -> bool {
        let Some(stream) = self.0.upgrade() else { return true };
        match SockRef::from(&*stream).peek(&mut [MaybeUninit::uninit()]) {
            Ok(length) => length == 0,
            Err(error) => error.kind() != io::ErrorKind::WouldBlock,
        }
    }
}

/// Whether an attempt may go out: "a client that closes its connection has gone", its runner may have been told as
/// leaving since it was chosen, or the window for a repeat may be over when its last byte is there, `one_way_ms` later.
pub(super) fn may_go(broker: &Broker, attempt: &Attempt, one_way_ms: f64) -> bool {
    let request = attempt.payload.downcast_ref::<ForwardedRequest>();
    if request.is_some_and(|request| request.client.has_left()) {
        broker.client_left(attempt.id.request);
    }
    broker.may_send(attempt, one_way_ms)
}
