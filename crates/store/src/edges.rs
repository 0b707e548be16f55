//! Connections of edges.

use std::collections::BTreeMap;

use ruddervalve_protocol::{Greeting, Incarnation, StoreToEdge};
use ruddervalve_queue::EdgeSession;
use ruddervalve_rpc::Outbox;

/// A connection of an edge, counted by this store.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct EdgeNumber(u64);

#[derive(Debug)]
struct Connection {
    session: EdgeSession,
    outbox: Outbox,
}

/// All connections of edges. An edge may have an old one beside its newest; only the newest counts.
#[derive(Debug, Default)]
pub struct EdgeConnections {
    connections: BTreeMap<EdgeNumber, Connection>,
    newest: BTreeMap<Incarnation, EdgeNumber>,
    opened: u64,
}

impl EdgeConnections {
    /// An edge has connected.
    pub fn open(&mut self, greeting: &Greeting, outbox: Outbox) -> EdgeNumber {
        self.opened += 1;
        let number = EdgeNumber(self.opened);
        let session = EdgeSession {
            incarnation: greeting.incarnation,
            node: greeting.node.clone(),
            zone: greeting.zone.clone(),
        };
        if let Some(older) = self.newest.insert(session.incarnation, number)
            && let Some(older) = self.connections.get(&older)
        {
            older.outbox.close();
        }
        self.connections.insert(number, Connection { session, outbox });
        number
    }

    /// A connection ended; the edge that has none now, if it was its newest.
    pub fn close(&mut self, number: EdgeNumber) -> Option<Incarnation> {
        let connection = self.connections.remove(&number)?;
        let edge = connection.session.incarnation;
        let was_newest = self.newest.get(&edge) == Some(&number);
        if was_newest {
            self.newest.remove(&edge);
        }
        was_newest.then_some(edge)
    }

    /// The edge of a connection, if that is its newest.
    pub fn session(&self, number: EdgeNumber) -> Option<&EdgeSession> {
        let connection = self.connections.get(&number)?;
        let newest = self.newest.get(&connection.session.incarnation) == Some(&number);
        newest.then_some(&connection.session)
    }

    /// All edges that are connected.
    pub fn sessions(&self) -> impl Iterator<Item = &EdgeSession> {
        self.newest.values().filter_map(|number| Some(&self.connections.get(number)?.session))
    }

    /// Sends to an edge; what cannot be sent is lost with its connection.
    pub fn send(&self, edge: Incarnation, message: &StoreToEdge) {
        let number = self.newest.get(&edge);
        if let Some(connection) = number.and_then(|number| self.connections.get(number)) {
            connection.outbox.send(message);
        }
    }

    /// Sends to all edges.
    pub fn send_all(&self, message: &StoreToEdge) {
        for number in self.newest.values() {
            if let Some(connection) = self.connections.get(number) {
                connection.outbox.send(message);
            }
        }
    }
}
