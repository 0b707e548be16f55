//! Which messages a connection has carried.
//!
//! A runner in trouble may answer a request a second time, later. On a connection that has carried other messages since,
//! the `Request-Id` tells such an answer apart; on one that carries the same message again nothing does. So no message goes
//! twice over one connection. A connection on which such an answer came is closed after the exchange.

use std::collections::VecDeque;
use std::hash::Hasher as _;

use fnv::FnvHasher;

/// How many messages are remembered. A late answer that comes after more exchanges than these is no answer to be passed
/// over any more: it ends the connection.
const REMEMBERED: usize = 16;

/// The newest messages of a connection, as hashes of their ids: two that share one only cost a connection.
#[derive(Debug, Default)]
pub(super) struct Carried {
    newest: VecDeque<u64>,
}

impl Carried {
    /// A message is sent.
    pub(super) fn note(&mut self, request_id: &str) {
        if self.newest.len() == REMEMBERED {
            self.newest.pop_front();
        }
        self.newest.push_back(hash(request_id));
    }

    /// Whether the message was sent here before.
    pub(super) fn contains(&self, request_id: &str) -> bool {
        self.newest.contains(&hash(request_id))
    }

    /// No more answers to this message are expected.
    pub(super) fn forget(&mut self, request_id: &str) {
        let hash = hash(request_id);
        self.newest.retain(|message| *message != hash);
    }

    /// How many messages were sent here after this one.
    pub(super) fn sent_since(&self, request_id: &str) -> Option<usize> {
        let hash = hash(request_id);
        self.newest.iter().rev().position(|newer| *newer == hash)
    }
}

fn hash(request_id: &str) -> u64 {
    let mut hasher = FnvHasher::default();
    hasher.write(request_id.as_bytes());
    hasher.finish()
}
