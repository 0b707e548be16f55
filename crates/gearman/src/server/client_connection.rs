//! The connections as the server sees them: coming, going, and what is written on them.

use std::collections::BTreeMap;
use std::rc::Rc;

use bytes::BytesMut;
use ruddervalve::Outcome;

use super::timers::{Timer, microseconds};
use super::{Closing, Effect, Server};
use crate::codec::{Kind, Magic, encode_packet};
use crate::workers::{ConnectionId, Slot, WorkerUpdate};

/// A connection, be it a client's or a worker's.
pub(super) struct ConnectionState {
    pub(super) peer: String,
    pub(super) write_buffer: BytesMut,
    /// It has sent a frame.
    pub(super) has_sent: bool,
    /// It takes exceptions.
    pub(super) exceptions: bool,
    /// Its name as a worker.
    pub(super) name: Rc<str>,
    /// The jobs it waits for, and for how many submissions each.
    pub(super) jobs: BTreeMap<u64, usize>,
    /// The submissions that it waits for in all.
    pub(super) waits: usize,
    /// Nothing more is read or written.
    pub(super) closing: bool,
}

impl ConnectionState {
    pub(super) fn waits_for(&mut self, job: u64) {
        *self.jobs.entry(job).or_default() += 1;
        self.waits += 1;
    }
}

impl Server {
    /// A connection came up.
    pub fn opened(&mut self, connection: ConnectionId, peer: String) {
        let (name, write_buffer) = (format!("conn-{connection}").into(), BytesMut::new());
        let (has_sent, exceptions, jobs, waits, closing) = (false, false, BTreeMap::new(), 0, false);
        self.connections.insert(
            connection,
            ConnectionState { peer, write_buffer, has_sent, exceptions, name, jobs, waits, closing },
        );
    }

    /// A connection has ended.
    pub fn closed(&mut self, connection: ConnectionId) {
        let Some(gone) = self.connections.remove(&connection) else { return };
        for id in gone.jobs.into_keys() {
            self.client_left(connection, id);
        }
        let mut updates = Vec::new();
        let slot = self.workers.closed(connection, &mut updates);
        self.report(updates);
        self.end_orphaned();
        let Some(slot) = slot else { return };
        self.drop_timers(connection, &slot);
        if let Some(attempt) = slot.attempt {
            // Before anything of the job was written: it never ran.
            self.counters.count("gearman", "worker_gone_before_assign");
            self.ended(attempt.id, Outcome::Skipped, None, None);
        }
        if let Some(running) = slot.running {
            self.counters.count("gearman", "worker_gone_with_job");
            self.attempt_ended(running, Outcome::Reset, None, None);
        }
    }

    /// The client of a connection no longer waits for a job.
    fn client_left(&mut self, connection: ConnectionId, id: u64) {
        let Some(job) = self.jobs.get_mut(id) else { return };
        job.waiting.retain(|waiting| *waiting != connection);
        if !job.waiting.is_empty() || job.background {
            return;
        }
        self.counters.count("gearman", "last_client_left");
        // What runs cannot be called back; what has not started is of use to nobody.
        if !job.started {
            self.counters.count("gearman", "dropped_unstarted");
            self.timers.remove(&(microseconds(job.deadline_ms), Timer::Resubmit(id)));
            self.drop_job(id);
        }
    }

    /// Drops the timers of a connection's attempt and job.
    fn drop_timers(&mut self, connection: ConnectionId, slot: &Slot) {
        if let Some(attempt) = &slot.attempt {
            self.timers.remove(&(microseconds(attempt.grab_deadline_ms), Timer::Grab(connection)));
        }
        if let Some(running) = &slot.running {
            self.timers.remove(&(microseconds(running.deadline_ms), Timer::Run(connection)));
        }
    }

    pub(super) fn report(&mut self, updates: Vec<WorkerUpdate>) {
        for update in updates {
            self.effects.push_back(match update {
                WorkerUpdate::Worker(pool, machine) => Effect::Worker(pool, machine),
                WorkerUpdate::Load(pool, name, load) => Effect::Load(pool, name, load),
            });
        }
    }

    /// Has bytes wait for a connection.
    fn enqueue(&mut self, connection: ConnectionId, write: impl FnOnce(&mut BytesMut)) {
        let unread_bytes = self.limits.unread_bytes;
        let Some(to) = self.connections.get_mut(&connection).filter(|to| !to.closing) else { return };
        if to.write_buffer.is_empty() {
            self.with_output.push(connection);
        }
        write(&mut to.write_buffer);
        if to.write_buffer.len() > unread_bytes {
            // Guards memory against peers that stop reading.
            to.closing = true;
            self.counters.count("gearman", "slow_reader_closed");
            self.effects.push_back(Effect::Close(connection, Closing::AtOnce));
        }
    }

    pub(super) fn send(&mut self, connection: ConnectionId, kind: Kind, args: &[&[u8]]) {
        self.enqueue(connection, |write_buffer| encode_packet(write_buffer, Magic::Res, kind, args));
    }

    pub(super) fn error(&mut self, connection: ConnectionId, counter: &'static str, code: &str, text: &str) {
        self.counters.count("gearman", counter);
        self.send(connection, Kind::Error, &[code.as_bytes(), text.as_bytes()]);
    }

    /// Text of the administration protocol.
    pub(crate) fn send_text(&mut self, connection: ConnectionId, text: &str) {
        self.enqueue(connection, |write_buffer| write_buffer.extend_from_slice(text.as_bytes()));
    }

    /// What came on a connection is no frame: it is told so, and closed.
    pub fn broken(&mut self, connection: ConnectionId, problem: &str) {
        self.error(connection, "broken_framing", "BAD_FRAMING", problem);
        if let Some(connection) = self.connections.get_mut(&connection) {
            connection.closing = true;
        }
        self.effects.push_back(Effect::Close(connection, Closing::AfterOutput));
    }

    pub(super) fn stop_waiting(&mut self, connection: ConnectionId, id: u64) {
        if let Some(connection) = self.connections.get_mut(&connection) {
            connection.waits -= connection.jobs.remove(&id).unwrap_or_default();
        }
    }
}
