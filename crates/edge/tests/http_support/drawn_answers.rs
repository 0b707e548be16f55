//! Answers in any framing, sent in any pieces.

use rand::Rng as _;
use rand_chacha::ChaCha8Rng;
use tokio::task::yield_now;

use super::runner_rig::{Peer, Rig, turns};

/// Bodies are this long at most, within what the client reads.
const LONGEST_BODY: usize = 900;

/// A success with a body of a drawn length and framing; whether the runner closes the connection after it, which it does
/// with the probability `closing`.
pub fn drawn_answer(random: &mut ChaCha8Rng, request_id: &str, closing: f64) -> (Vec<u8>, bool) {
    let body = vec![b'x'; random.random_range(0..=LONGEST_BODY)];
    let closes = random.random_bool(closing);
    let mut answer = format!("HTTP/1.1 200 OK\r\nResponse-Signature: s.1\r\nRequest-Id: {request_id}\r\n");
    if random.random_bool(0.7) {
        answer.push_str("Instance-Load: 1,0,8\r\n");
    }
    answer.push_str(if closes { "Connection: close\r\n" } else { "Keep-Alive: timeout=10\r\n" });
    let mut answer = answer.into_bytes();
    if random.random_bool(0.5) {
        answer.extend_from_slice(format!("Content-Length: {}\r\n\r\n", body.len()).as_bytes());
        answer.extend_from_slice(&body);
    } else {
        answer.extend_from_slice(b"Transfer-Encoding: chunked\r\n\r\n");
        push_chunks(random, &mut answer, &body);
    }
    (answer, closes)
}

fn push_chunks(random: &mut ChaCha8Rng, answer: &mut Vec<u8>, body: &[u8]) {
    let mut rest = body;
    while !rest.is_empty() {
        let (chunk, after) = rest.split_at(random.random_range(1..=rest.len()));
        answer.extend_from_slice(format!("{:x}\r\n", chunk.len()).as_bytes());
        answer.extend_from_slice(chunk);
        answer.extend_from_slice(b"\r\n");
        rest = after;
    }
    answer.extend_from_slice(b"0\r\n\r\n");
}

/// Sends an answer in drawn pieces, between which others run or time passes. The client may be held up until its time is
/// over: what has come by then counts.
pub async fn send_in_pieces(random: &mut ChaCha8Rng, rig: &Rig, peer: &mut Peer, answer: &[u8]) {
    let mut rest = answer;
    while !rest.is_empty() {
        let (piece, after) = rest.split_at(random.random_range(1..=rest.len()));
        peer.send(piece).await;
        rest = after;
        match random.random_range(0..4) {
            0 => rig.clock.pass(10).await,
            1 => turns().await,
            2 => yield_now().await,
            _ => {}
        }
    }
    if random.random_bool(0.2) {
        tokio::time::advance(std::time::Duration::from_millis(2_000)).await;
    }
}
