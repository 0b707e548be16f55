//! The connections in use and those kept for further attempts.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;

use super::Attempts;
use super::connection::RunnerConnection;

/// Counts a connection as busy for as long as it lives.
pub(crate) struct ConnectionPermit(Rc<Attempts>);

impl Drop for ConnectionPermit {
    fn drop(&mut self) {
        self.0.in_use.set(self.0.in_use.get() - 1);
    }
}

impl Attempts {
    /// A connection of its own to a runner for one exchange, and what counts it for as long as it is in use; none
    /// beyond the limit.
    pub(crate) fn acquire(
        self: &Rc<Self>,
        address: SocketAddr,
        new_connection: bool,
    ) -> Option<(RunnerConnection, ConnectionPermit)> {
        if self.in_use.get() >= self.limit.get() {
            return None;
        }
        let connection = self.idle_or_new(address, new_connection);
        self.in_use.set(self.in_use.get() + 1);
        Some((connection, ConnectionPermit(self.clone())))
    }

    /// Keeps a connection on which an exchange was read to its end.
    pub(crate) fn release(&self, address: SocketAddr, mut connection: RunnerConnection) {
        connection.idle_since_ms = self.clock.now();
        self.idle.borrow_mut().entry(address).or_default().push(connection);
    }

    /// A connection to a runner: the one used last, which the runner is likeliest to have kept, or a new one, for which
    /// the one idle for longest makes room.
    pub(super) fn idle_or_new(&self, address: SocketAddr, new_connection: bool) -> RunnerConnection {
        let mut idle = self.idle.borrow_mut();
        // A runner closes connections that were idle for `conn_idle`; an attempt written to one then would be lost.
        let oldest = self.clock.now() - self.network.borrow().conn_kept_ms();
        for connections in idle.values_mut() {
            connections.retain(|connection| connection.idle_since_ms > oldest);
        }
        idle.retain(|_, connections| !connections.is_empty());
        if !new_connection && let Some(connection) = idle.get_mut(&address).and_then(Vec::pop) {
            return connection;
        }
        self.close_longest_idle(&mut idle, self.limit.get());
        RunnerConnection::new(&self.network.borrow(), &self.broker, &self.counters, &self.clock)
    }

    /// Closes those idle for longest until fewer than this are held.
    pub(super) fn close_longest_idle(
        &self,
        idle: &mut BTreeMap<SocketAddr, Vec<RunnerConnection>>,
        fewer_than: usize,
    ) {
        while self.in_use.get() + idle.values().map(Vec::len).sum::<usize>() >= fewer_than {
            let since = |connections: &Vec<RunnerConnection>| {
                connections.first().map_or(f64::MAX, |connection| connection.idle_since_ms)
            };
            let longest = idle.values_mut().min_by(|left, right| since(left).total_cmp(&since(right)));
            match longest {
                Some(connections) if !connections.is_empty() => drop(connections.remove(0)),
                _ => break,
            }
        }
    }
}
