//! Reading requests, and how long each piece of one may take.

use actix_http::error::ParseError;
use actix_http::h1::{Message, MessageType};
use actix_http::{HttpMessage as _, Request, StatusCode};
use bytes::{Bytes, BytesMut};
use ruddervalve_broker::{LONGEST_WAIT, LifecycleState};
use tokio::sync::watch;
use tokio_util::codec::Decoder as _;

use super::Front;
use super::connection::{ClientConnection, Phase};
use super::conversation::Rejection;
use super::headers::header_text;

/// The longest body, in bytes.
const MAX_BODY_BYTES: usize = 64 << 10;
/// The longest head, in bytes: what runners usually read, so that none closes on what was passed on to it.
pub(super) const MAX_HEAD_BYTES: usize = 16 << 10;
/// The first byte comes within so many milliseconds after the connection came up, and each further piece of a request
/// after the one before. Those that stop get their answer within the three seconds owed to them.
pub(super) const READ_TIMEOUT_MS: f64 = 2_000.0;
/// A request is whole so many milliseconds after its first byte, in however many pieces.
const REQUEST_TIMEOUT_MS: f64 = 10_000.0;
/// Milliseconds that a connection which comes up as idle ones are closed still has to say something, as those who ask
/// for health do.
const FIRST_BYTE_GRACE_MS: f64 = 500.0;

impl Front {
    /// Waits for a whole head.
    pub(super) async fn read_head(
        &self,
        connection: &mut ClientConnection,
        lifecycle: &mut watch::Receiver<LifecycleState>,
    ) -> Result<Request, Rejection> {
        if connection.read_buffer.is_empty() {
            self.read_first_bytes(connection, lifecycle).await?;
        }
        let now = self.clock.now();
        connection.next_piece_due_ms = now + READ_TIMEOUT_MS;
        connection.request_due_ms = now + REQUEST_TIMEOUT_MS;
        connection.enter(Phase::ReadingHead, now);
        loop {
            if let Some(request) = decode_head(connection)? {
                connection.enter(Phase::ReadingBody, self.clock.now());
                return Ok(request);
            }
            match self.read_more(connection).await? {
                Some(1..) => {}
                Some(_) => return Err(Rejection::Dropped("half_a_head")),
                None => return Err(Rejection::Answered(StatusCode::REQUEST_TIMEOUT, "slow_head")),
            }
        }
    }

    /// Waits for the first bytes of a request. Between requests a client may stay idle for as long as there is room;
    /// its first request is waited for.
    async fn read_first_bytes(
        &self,
        connection: &mut ClientConnection,
        lifecycle: &mut watch::Receiver<LifecycleState>,
    ) -> Result<(), Rejection> {
        let is_idle = connection.state.phase.get() == Phase::Idle;
        let timeout = if is_idle { LONGEST_WAIT } else { self.clock.until(connection.next_piece_due_ms) };
        let (opened_ms, state) = (connection.opened_ms, connection.state.clone());
        let idles_until_ms = |lifecycle: LifecycleState| {
            lifecycle.idles_until_ms().map(|at_ms| at_ms.max(opened_ms + FIRST_BYTE_GRACE_MS))
        };
        let over = async {
            tokio::select! {
                () = self.broker.until_limit(lifecycle, idles_until_ms) => Rejection::ClientLeft,
                () = state.evicted.notified() => Rejection::ClientLeft,
                () = tokio::time::sleep(timeout) => Rejection::Dropped("silent"),
            }
        };
        let read = tokio::select! {
            biased;
            read = connection.read() => Ok(read),
            over = over => Err(over),
        };
        // What came just as the wait was over is taken.
        match read.or_else(|over| connection.read_now().map(Ok).map_err(|_| over))? {
            Ok(1..) => Ok(()),
            _ if is_idle => Err(Rejection::ClientLeft),
            _ => Err(Rejection::Dropped("nothing_sent")),
        }
    }

    /// Reads the body of the request whose head has come.
    pub(super) async fn read_body(
        &self,
        connection: &mut ClientConnection,
        request: &Request,
    ) -> Result<Bytes, Rejection> {
        match connection.codec.message_type() {
            MessageType::None => return Ok(Bytes::new()),
            MessageType::Payload => {}
            MessageType::Stream => return Err(Rejection::Answered(StatusCode::BAD_REQUEST, "upgrade")),
        }
        if announced_length(request).is_some_and(|length| length > MAX_BODY_BYTES as u64) {
            return Err(BODY_TOO_LONG);
        }
        if request.head().expect() {
            let _ = connection.write_all(b"HTTP/1.1 100 Continue\r\n\r\n").await;
        }
        let mut body = BytesMut::new();
        loop {
            if decode_body(connection, &mut body)? {
                return Ok(body.freeze());
            }
            match self.read_more(connection).await? {
                Some(1..) => {}
                Some(_) => return Err(Rejection::Dropped("half_a_body")),
                None => return Err(Rejection::Answered(StatusCode::REQUEST_TIMEOUT, "slow_body")),
            }
        }
    }

    /// The next piece of a request that has begun: how many bytes, 0 at the end, none if it did not come in time.
    async fn read_more(&self, connection: &mut ClientConnection) -> Result<Option<usize>, Rejection> {
        let (state, late) = (connection.state.clone(), self.clock.until(connection.next_piece_due_ms));
        let read = tokio::select! {
            biased;
            read = connection.read() => read.unwrap_or_default(),
            () = state.evicted.notified() => return Err(Rejection::Evicted),
            () = tokio::time::sleep(late) => return Ok(None),
        };
        connection.next_piece_due_ms = connection.request_due_ms.min(self.clock.now() + READ_TIMEOUT_MS);
        Ok(Some(read))
    }
}

const HEAD_TOO_LONG: Rejection =
    Rejection::Answered(StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE, "head_too_long");
const BODY_TOO_LONG: Rejection = Rejection::Answered(StatusCode::PAYLOAD_TOO_LARGE, "body_too_long");

/// The head in what was read; none while it is not whole.
fn decode_head(connection: &mut ClientConnection) -> Result<Option<Request>, Rejection> {
    let mut lines = connection.read_buffer.trim_ascii_start().split(|byte| *byte == b'\n');
    let line = lines.next().unwrap_or_default();
    // The library drops a fragment, and what is passed on would not be what came.
    let has_fragment = line.contains(&b'#');
    let before = connection.read_buffer.len();
    match connection.codec.decode(&mut connection.read_buffer) {
        Ok(Some(Message::Item(request))) if !has_fragment => {
            let length = before - connection.read_buffer.len();
            if length > MAX_HEAD_BYTES { Err(HEAD_TOO_LONG) } else { Ok(Some(request)) }
        }
        Ok(None) if before > MAX_HEAD_BYTES => Err(HEAD_TOO_LONG),
        Ok(None) => Ok(None),
        Ok(Some(_)) => Err(Rejection::Answered(StatusCode::BAD_REQUEST, "target")),
        Err(ParseError::TooLarge) => Err(HEAD_TOO_LONG),
        Err(_) => Err(Rejection::Answered(StatusCode::BAD_REQUEST, "not_http")),
    }
}

fn announced_length(request: &Request) -> Option<u64> {
    header_text(request.headers(), "content-length")?.parse().ok()
}

/// Takes what was read of a body; true once it is whole.
fn decode_body(connection: &mut ClientConnection, body: &mut BytesMut) -> Result<bool, Rejection> {
    loop {
        match connection.codec.decode(&mut connection.read_buffer) {
            Ok(Some(Message::Chunk(Some(chunk)))) => {
                if body.len() + chunk.len() > MAX_BODY_BYTES {
                    return Err(BODY_TOO_LONG);
                }
                body.extend_from_slice(&chunk);
            }
            Ok(Some(_)) => return Ok(true),
            // Part of a chunk's size or trailer: no body is that long.
            Ok(None) if connection.read_buffer.len() > MAX_HEAD_BYTES => return Err(BODY_TOO_LONG),
            Ok(None) => return Ok(false),
            Err(_) => return Err(Rejection::Answered(StatusCode::BAD_REQUEST, "body_broken")),
        }
    }
}
