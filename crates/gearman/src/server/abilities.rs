//! What workers can do and what they are called.

use std::rc::Rc;

use bytes::Bytes;
use ruddervalve::Outcome;

use super::Server;
use super::submission::MAX_ID_BYTES;
use crate::workers::ConnectionId;

impl Server {
    pub(super) fn can_do(&mut self, connection: ConnectionId, function: Bytes, most_ms: Option<f64>) {
        let Some(name) = self.connections.get(&connection).map(|connection| connection.name.clone()) else {
            return;
        };
        let Some(known) = self.functions.get(&function) else {
            return self.unknown_function(connection);
        };
        let (pool, function) = (known.pool, known.name.clone());
        if !self.workers.can_do(connection, &name, pool, function, most_ms) {
            self.error(
                connection,
                "other_pool",
                "OTHER_POOL",
                "the function is another pool's than those offered before",
            );
            return;
        }
        // A worker that wants work already is told of with what it can do now.
        if self.workers.slot(connection).is_some_and(|slot| slot.idle) {
            let mut updates = Vec::new();
            self.workers.report(connection, &mut updates);
            self.workers.becomes_idle(connection, &mut updates);
            self.report(updates);
        }
    }

    pub(super) fn cant_do(&mut self, connection: ConnectionId, function: Option<&[u8]>) {
        let mut updates = Vec::new();
        self.workers.cant_do(connection, function, &mut updates);
        self.report(updates);
        self.end_orphaned();
        let attempt = self.workers.slot(connection).and_then(|slot| slot.attempt.clone());
        if let Some(attempt) =
            attempt.filter(|attempt| function.is_none_or(|function| attempt.function == function))
        {
            self.end_ungrabbed(connection, attempt.id, Outcome::Skipped);
        }
    }

    pub(super) fn set_client_id(&mut self, connection: ConnectionId, name: &Bytes) -> Option<()> {
        let text = str::from_utf8(name).ok()?;
        let plain = !text.is_empty()
            && text.len() <= MAX_ID_BYTES
            && text.bytes().all(|byte| byte.is_ascii_graphic());
        let name: Rc<str> = plain.then_some(text)?.into();
        self.connections.get_mut(&connection)?.name = name.clone();
        let mut updates = Vec::new();
        self.workers.rename(connection, &name, &mut updates);
        self.report(updates);
        self.end_orphaned();
        Some(())
    }

    /// Operators drain a worker or take it again. False if none is known by this name.
    pub fn drain_worker(&mut self, name: &str, drained: bool) -> bool {
        let mut updates = Vec::new();
        let known = self.workers.drain(name, drained, &mut updates);
        self.report(updates);
        self.end_orphaned();
        for connection in self.workers.slots_of(name).into_iter().filter(|_| drained) {
            if let Some(attempt) = self.workers.offered(connection) {
                self.end_ungrabbed(connection, attempt, Outcome::Skipped);
            }
        }
        known
    }
}
