//! One connection from its first byte to its end.

use std::io;
use std::net::Shutdown;
use std::time::Duration;

use actix_http::{ConnectionType, Response, StatusCode};
use bytes::Bytes;
use ruddervalve_broker::{Answer, LifecycleState};
use socket2::SockRef;
use tokio::net::TcpStream;

use super::Front;
use super::answer::response_for;
use super::connection::{ClientConnection, Phase};

/// How long a client may take to read an answer.
const WRITE_TIMEOUT: Duration = Duration::from_secs(5);
/// After its last answer a connection is read on for so long and what comes is dropped: "a close over unread bytes
/// resets the connection", and the answer with it.
const LINGER_TIMEOUT: Duration = Duration::from_secs(1);
/// Bytes that are dropped at once.
pub(super) const DISCARD_CHUNK_BYTES: usize = 64 << 10;

/// Why what came is not handed to the broker.
pub(super) enum Rejection {
    /// It gets an error, and its connection ends.
    Answered(StatusCode, &'static str),
    /// Nobody is there to be told, or nobody who asked for anything.
    Dropped(&'static str),
    /// The client left between requests: nothing bad.
    ClientLeft,
    /// It has to make room for others before it was whole: nothing bad, and worth another try.
    Evicted,
}

/// What came of a request.
pub(super) enum Handled {
    Answer(Response<Bytes>),
    /// The client left while its request was in flight.
    ClientLeft,
}

impl Front {
    /// One connection, from its first byte to its end.
    pub(super) async fn serve_connection(&self, mut connection: ClientConnection) {
        let mut lifecycle = self.broker.lifecycle();
        loop {
            let handled = match self.read_head(&mut connection, &mut lifecycle).await {
                Ok(request) => self.handle(&mut connection, request).await,
                Err(rejection) => Err(rejection),
            };
            let Some(mut response) = self.response_to(handled) else { break };
            if connection.overrun || *lifecycle.borrow() != LifecycleState::Serving {
                response.head_mut().set_connection_type(ConnectionType::Close);
            }
            let written = tokio::time::timeout(WRITE_TIMEOUT, connection.write(response)).await;
            if !matches!(written, Ok(Ok(()))) {
                self.counters.count("connections", "answers_not_read");
                break;
            }
            if !connection.codec.keep_alive() {
                break;
            }
            connection.enter(Phase::Idle, self.clock.now());
        }
        self.linger(connection).await;
    }

    /// What is answered; none where nobody is to be told.
    fn response_to(&self, handled: Result<Handled, Rejection>) -> Option<Response<Bytes>> {
        match handled {
            Ok(Handled::Answer(response)) => Some(response),
            Ok(Handled::ClientLeft) | Err(Rejection::ClientLeft) => None,
            Err(Rejection::Evicted) => Some(self.refused_for_want_of_room()),
            Err(Rejection::Dropped(problem)) => {
                self.counters.count("bad_input", problem);
                None
            }
            Err(Rejection::Answered(status, problem)) => {
                self.counters.count("bad_input", problem);
                self.counters.log(self.clock.now(), format_args!("bad input: {problem}"));
                // What follows what cannot be read, or was not read, means nothing.
                Some(last_response(Response::with_body(status, Bytes::from_static(problem.as_bytes()))))
            }
        }
    }

    /// The client is to come back; its connection ends.
    pub(super) fn refused_for_want_of_room(&self) -> Response<Bytes> {
        let wait_ms = self.crowded_retry_after_ms.get();
        last_response(response_for(Answer::Refused { wait_ms }))
    }

    /// The one way in which a connection ends: nothing is sent any more, what still comes is dropped for a while, and
    /// it is closed over nothing unread.
    async fn linger(&self, connection: ClientConnection) {
        connection.enter(Phase::Lingering, self.clock.now());
        self.limit_lingering();
        if SockRef::from(&*connection.stream).shutdown(Shutdown::Write).is_ok() {
            tokio::select! {
                _ = tokio::time::timeout(LINGER_TIMEOUT, self.discard_input(&connection.stream)) => {}
                () = connection.state.evicted.notified() => {}
            }
            let _ = connection.stream.try_read(&mut self.discard_buffer.borrow_mut());
        }
    }

    async fn discard_input(&self, stream: &TcpStream) {
        while stream.readable().await.is_ok() {
            match stream.try_read(&mut self.discard_buffer.borrow_mut()) {
                Ok(0) => return,
                Err(error) if error.kind() != io::ErrorKind::WouldBlock => return,
                _ => {}
            }
            // A client that sends at full speed must not keep the thread.
            tokio::task::yield_now().await;
        }
    }
}

/// A response after which its connection ends.
fn last_response(mut response: Response<Bytes>) -> Response<Bytes> {
    response.head_mut().set_connection_type(ConnectionType::Close);
    response
}
