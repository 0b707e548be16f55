//! The follower's side of replication.

use ruddervalve_mutation::{Mutation, is_active};
use ruddervalve_protocol::ReplicaId;

use crate::entry::Entry;
use crate::message::{Append, AppendReply, Body, Heartbeat, HeartbeatReply, Hint, Stamp};
use crate::replica::Replica;

impl Replica {
    pub(crate) fn on_append(&mut self, from: ReplicaId, append: Append) {
        let Append { stamp, previous_index, previous_term, commit, entries } = append;
        if !is_sequence(previous_index, self.hard_state.term, &entries.0) {
            return;
        }
        if !self.agrees(previous_index, previous_term) {
            let rejection = Some(self.hint(previous_index, previous_term));
            self.send(from, Body::AppendReply(AppendReply { stamp, matched: 0, rejection }));
            return;
        }
        let last_index = previous_index.saturating_add(entries.0.len() as u64);
        self.take_entries(entries.0);
        self.commit_up_to(commit.min(last_index));
        self.acknowledge(from, stamp, last_index);
    }

    pub(crate) fn on_heartbeat(&mut self, from: ReplicaId, heartbeat: Heartbeat) {
        let Heartbeat { stamp, check_index, check_term, commit } = heartbeat;
        let agrees = self.agrees(check_index, check_term);
        let (matched, rejection) = if agrees {
            (check_index.min(self.writes.durable_index()), None)
        } else {
            (0, Some(self.hint(check_index, check_term)))
        };
        if agrees {
            self.commit_up_to(commit.min(check_index));
        }
        self.send(from, Body::HeartbeatReply(HeartbeatReply { stamp, matched, rejection }));
    }

    /// Tells the leader, once it is on disk, that the logs agree up to `matched`.
    pub(crate) fn acknowledge(&mut self, to: ReplicaId, stamp: Stamp, matched: u64) {
        let reply = Body::AppendReply(AppendReply { stamp, matched, rejection: None });
        if is_active(Mutation::AcknowledgedBeforeWrite) {
            return self.send(to, reply);
        }
        self.send_after_write(to, reply);
    }

    /// Whether the log agrees with the leader's up to an entry: committed ones always do.
    fn agrees(&self, index: u64, term: u64) -> bool {
        index <= self.commit || self.log.term(index) == Some(term)
    }

    /// Where the logs may agree, if they do not at an entry of the leader's.
    fn hint(&self, index: u64, term: u64) -> Hint {
        let index = self.log.last_index_up_to(index.min(self.log.last_index()), term).max(self.commit);
        Hint { index, term: self.log.term(index).unwrap_or(0) }
    }

    /// Appends what is new; replaces what conflicts, but never what is committed.
    fn take_entries(&mut self, entries: Vec<Entry>) {
        for entry in entries {
            if entry.index <= self.commit || self.log.term(entry.index) == Some(entry.term) {
                continue;
            }
            if entry.index <= self.log.last_index() {
                self.truncate_from(entry.index);
            }
            self.append(entry);
        }
    }

    fn truncate_from(&mut self, index: u64) {
        self.log.truncate_from(index);
        self.memberships.truncate_from(index);
        self.writes.truncated_from(index);
    }

    fn commit_up_to(&mut self, index: u64) {
        self.commit = self.commit.max(index.min(self.log.last_index()));
        self.incoming = self.incoming.take().filter(|incoming| incoming.index() > self.commit);
    }
}

/// Whether the entries follow the previous one without a gap, in terms that do not fall and are not newer than the
/// leader's.
fn is_sequence(previous_index: u64, leader_term: u64, entries: &[Entry]) -> bool {
    let mut index = previous_index;
    let mut term = 0;
    for entry in entries {
        let next = index.checked_add(1);
        if next != Some(entry.index) || entry.term < term || entry.term > leader_term {
            return false;
        }
        index = entry.index;
        term = entry.term;
    }
    true
}
