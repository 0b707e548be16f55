//! Connections of edges.

use std::collections::BTreeMap;

use ruddervalve_protocol::{Greeting, Incarnation};
use ruddervalve_queue::EdgeSession;

/// A connection of an edge, counted by this store.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct EdgeNumber(u64);

/// All connections of edges. An edge may have an old one beside its newest; only the newest counts.
#[derive(Debug, Default)]
pub struct EdgeConnections {
    connections: BTreeMap<EdgeNumber, EdgeSession>,
    newest: BTreeMap<Incarnation, EdgeNumber>,
    opened: u64,
}

impl EdgeConnections {
    /// An edge has connected; its number, and that of an older connection of the same edge, which is to be closed.
    pub fn open(&mut self, greeting: &Greeting) -> (EdgeNumber, Option<EdgeNumber>) {
        self.opened += 1;
        let number = EdgeNumber(self.opened);
        let session = EdgeSession {
            incarnation: greeting.incarnation,
            node: greeting.node.clone(),
            zone: greeting.zone.clone(),
        };
        let older = self.newest.insert(session.incarnation, number);
        self.connections.insert(number, session);
        (number, older)
    }

    /// A connection ended; the edge that has none now, if it was its newest.
    pub fn close(&mut self, number: EdgeNumber) -> Option<Incarnation> {
        let edge = self.connections.remove(&number)?.incarnation;
        let was_newest = self.newest.get(&edge) == Some(&number);
        if was_newest {
            self.newest.remove(&edge);
        }
        was_newest.then_some(edge)
    }

    /// The edge of a connection, if that is its newest.
    pub fn session(&self, number: EdgeNumber) -> Option<&EdgeSession> {
        let session = self.connections.get(&number)?;
        let newest = self.newest.get(&session.incarnation) == Some(&number);
        newest.then_some(session)
    }

    /// All edges that are connected.
    pub fn sessions(&self) -> impl Iterator<Item = &EdgeSession> {
        self.newest.values().filter_map(|number| self.connections.get(number))
    }

    /// The newest connection of an edge.
    pub fn newest(&self, edge: Incarnation) -> Option<EdgeNumber> {
        self.newest.get(&edge).copied()
    }

    /// The newest connections of all edges.
    pub fn all_newest(&self) -> impl Iterator<Item = EdgeNumber> + '_ {
        self.newest.values().copied()
    }
}
