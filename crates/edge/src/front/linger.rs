//! Ends a connection on which the client may still be sending. Closing over unread bytes resets a connection, and the
//! answer may be lost with it; so what comes is read and dropped for a while.

use std::time::Duration;

use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpStream;
use tokio::time::timeout;

use super::FrontLimits;

/// What is dropped at once, in bytes.
const PIECE: usize = 4 << 10;

/// Sends a last answer, if there is one, closes the sending side, and drops what comes until the client closes too. It
/// takes no longer than a head may, and drops no more than one request.
pub(super) async fn end(stream: TcpStream, answer: Option<Vec<u8>>, limits: FrontLimits) {
    let longest = Duration::from_millis(limits.header_timeout_ms);
    let most = limits.max_header_bytes.saturating_add(limits.max_body_bytes);
    let ended = timeout(longest, say_and_drop(stream, answer.unwrap_or_default(), most)).await;
    tracing::trace!(in_time = ended.is_ok(), "connection ended");
}

async fn say_and_drop(mut stream: TcpStream, answer: Vec<u8>, most: usize) {
    if stream.write_all(&answer).await.is_err() || stream.shutdown().await.is_err() {
        return;
    }
    let mut dropped = 0;
    let mut piece = vec![0; PIECE];
    while let Ok(count @ 1..) = stream.read(&mut piece).await {
        dropped += count;
        if dropped > most {
            return;
        }
    }
}
