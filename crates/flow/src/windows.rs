//! How much may wait on the connections to peers.

use std::collections::BTreeMap;

/// Bytes of messages that were handed to the connection of each peer and have not left yet. A sender of large messages
/// asks for room first and waits if there is none: a connection on which too much waits is ended, and all is lost with it.
#[derive(Debug)]
pub struct SendWindows<Peer> {
    limit_bytes: usize,
    /// Peers for which something may wait.
    unsent: BTreeMap<Peer, usize>,
}

impl<Peer: Copy + Ord> SendWindows<Peer> {
    /// Nothing waits. A peer has room as long as less than this waits for it: so a message of any size goes out in time.
    pub fn new(limit_bytes: usize) -> Self {
        Self { limit_bytes: limit_bytes.max(1), unsent: BTreeMap::new() }
    }

    /// Another limit is in force.
    pub fn set_limit(&mut self, limit_bytes: usize) {
        self.limit_bytes = limit_bytes.max(1);
    }

    /// Whether another message may go to a peer.
    pub fn has_room(&self, peer: Peer) -> bool {
        self.unsent.get(&peer).is_none_or(|bytes| *bytes < self.limit_bytes)
    }

    /// A message goes to a peer.
    pub fn charge(&mut self, peer: Peer, bytes: usize) {
        let unsent = self.unsent.entry(peer).or_default();
        *unsent = unsent.saturating_add(bytes);
    }

    /// What waits for a peer now, all messages counted; returns whether it has room again.
    pub fn refresh(&mut self, peer: Peer, unsent_bytes: usize) -> bool {
        let had_room = self.has_room(peer);
        match unsent_bytes {
            0 => drop(self.unsent.remove(&peer)),
            _ => drop(self.unsent.insert(peer, unsent_bytes)),
        }
        !had_room && self.has_room(peer)
    }

    /// The connection of a peer has ended, or is a new one: nothing waits for it.
    pub fn reset(&mut self, peer: Peer) {
        self.unsent.remove(&peer);
    }

    /// The peers for which something may wait: their connections have to be asked how much still does.
    pub fn peers(&self) -> impl Iterator<Item = Peer> + '_ {
        self.unsent.keys().copied()
    }
}
