//! What a replica hands to its host.

use ruddervalve_protocol::ReplicaId;

use crate::entry::{Entry, Snapshot};
use crate::message::{Addressed, Body, Message};
use crate::ready::{Ready, Write};
use crate::replica::Replica;

/// What waits to be handed out, beside writes and committed entries.
#[derive(Debug, Default)]
pub(crate) struct Output {
    pub(crate) messages: Vec<Addressed>,
    after_write: Vec<Addressed>,
    pub(crate) restore: Option<Snapshot>,
    pub(crate) snapshots_wanted: Vec<ReplicaId>,
    pub(crate) role_changed: bool,
}

impl Replica {
    /// All output since the last call.
    pub fn take_ready(&mut self) -> Ready {
        self.replicate();
        self.send_read_round();
        let writes = self.take_writes();
        let committed = self.take_committed();
        Ready {
            ticket: self.writes.issued_ticket(),
            writes,
            messages: std::mem::take(&mut self.output.messages),
            messages_after_write: std::mem::take(&mut self.output.after_write),
            committed,
            restore: self.output.restore.take(),
            snapshots_wanted: std::mem::take(&mut self.output.snapshots_wanted),
            role_changed: std::mem::take(&mut self.output.role_changed),
        }
    }

    /// Sends at once, but not before the term that the message reveals is on disk.
    pub(crate) fn send(&mut self, to: ReplicaId, body: Body) {
        let message = Message { term: self.hard_state.term, body };
        if self.writes.hard_state_durable() {
            self.output.messages.push((to, message));
        } else {
            self.output.after_write.push((to, message));
        }
    }

    /// Sends once all that has been decided so far is on disk.
    pub(crate) fn send_after_write(&mut self, to: ReplicaId, body: Body) {
        let message = Message { term: self.hard_state.term, body };
        if self.writes.all_durable(self.log.last_index()) {
            self.output.messages.push((to, message));
        } else {
            self.output.after_write.push((to, message));
        }
    }

    fn take_writes(&mut self) -> Vec<Write> {
        let mut writes = Vec::new();
        let snapshot = self.writes.take_snapshot();
        let hard_state = self.writes.take_hard_state_changed();
        let first = self.writes.first_unissued();
        let last = self.log.last_index();
        writes.extend(snapshot.map(Write::Snapshot));
        if hard_state {
            writes.push(Write::HardState(self.hard_state));
        }
        if first <= last {
            writes.push(Write::Entries(self.log.between(first, last)));
        }
        if !writes.is_empty() {
            self.writes.issue(last, hard_state);
        }
        writes
    }

    fn take_committed(&mut self) -> Vec<Entry> {
        if self.applied >= self.commit {
            return Vec::new();
        }
        let committed = self.log.between(self.applied.saturating_add(1), self.commit);
        self.applied = self.commit;
        committed
    }
}
