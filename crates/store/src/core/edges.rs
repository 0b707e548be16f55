//! What edges say, and are told.

use ruddervalve_protocol::{AppendOutcome, EdgeToStore, Greeting, GroupId, Incarnation, StoreToEdge};

use super::bodies::BodyRequest;
use super::{BYTES_PER_MB, StoreCore, StoreOutput};
use crate::edges::EdgeNumber;
use crate::shard::{Append, Shard};

/// The part of the process's memory that bodies may take, in percent: the log keeps them, too, until the next checkpoint.
const BODIES_PERCENT_OF_MEMORY: u64 = 35;

impl StoreCore {
    /// An edge has connected.
    pub fn edge_opened(&mut self, now: u64, greeting: &Greeting) -> EdgeNumber {
        let (number, older) = self.edges.open(greeting);
        self.outputs.extend(older.map(StoreOutput::CloseEdge));
        if let Some(session) = self.edges.session(number) {
            self.windows.reset(session.incarnation);
            self.bodies.forget(session.incarnation);
            self.shards.values_mut().for_each(|shard| shard.edge_connected(now, session));
        }
        let leading = StoreToEdge::Leading { groups: self.leading.clone() };
        self.outputs.push(StoreOutput::Edge(number, leading));
        number
    }

    /// An edge's connection ended.
    pub fn edge_ended(&mut self, now: u64, number: EdgeNumber) {
        if let Some(edge) = self.edges.close(number) {
            self.windows.reset(edge);
            self.bodies.forget(edge);
            self.shards.values_mut().for_each(|shard| shard.edge_disconnected(now, edge));
        }
    }

    /// The connections on which something may wait: see [`StoreCore::edge_unsent`].
    pub fn unsent_edges(&self) -> Vec<EdgeNumber> {
        self.windows.peers().filter_map(|edge| self.edges.newest(edge)).collect()
    }

    /// How many bytes wait on an edge's connection, all outputs so far being carried out. Call it before
    /// [`StoreCore::settle`] for all of [`StoreCore::unsent_edges`].
    pub fn edge_unsent(&mut self, number: EdgeNumber, bytes: usize) {
        let Some(edge) = self.edges.session(number).map(|session| session.incarnation) else { return };
        if self.windows.refresh(edge, bytes) {
            self.bodies.room_came(edge);
            self.shards.values_mut().for_each(Shard::room_came);
        }
    }

    /// An edge says something; what comes on an older connection is passed over.
    pub fn edge_says(&mut self, now: u64, number: EdgeNumber, message: EdgeToStore) {
        let Some(session) = self.edges.session(number) else { return };
        let edge = session.incarnation;
        self.take(now, edge, message);
    }

    fn take(&mut self, now: u64, edge: Incarnation, message: EdgeToStore) {
        match message {
            EdgeToStore::Append { request, group, lease_here, message } => {
                self.append(now, group, Append { edge, request, lease_here, message });
            }
            EdgeToStore::Status { request, group, id, body: true } => {
                self.body_wanted(now, edge, BodyRequest { request, group, id, asked_at: now });
            }
            EdgeToStore::Status { request, group, id, body: false } => {
                let leads = self.may_lead(group, now);
                let shard = self.shards.get(&group).filter(|_| leads);
                let phase = shard.and_then(|shard| shard.state().status(&id));
                self.send(edge, StoreToEdge::Status { request, leads, phase, body: None });
            }
            EdgeToStore::Heartbeat => {
                self.shards.values_mut().for_each(|shard| shard.take(now, edge, EdgeToStore::Heartbeat));
                self.send(edge, StoreToEdge::Alive);
            }
            EdgeToStore::Credits { .. } | EdgeToStore::Leaving => {
                self.shards.values_mut().for_each(|shard| shard.take(now, edge, message.clone()));
            }
            EdgeToStore::Outcome { group, .. }
            | EdgeToStore::CallbackTaken { group, .. }
            | EdgeToStore::CallbackFailed { group, .. }
            | EdgeToStore::Inventory { group, .. }
            | EdgeToStore::Follows { group, .. }
            | EdgeToStore::PermitWanted { group, .. }
            | EdgeToStore::PermitHeld { group, .. }
            | EdgeToStore::PermitEnded { group, .. } => {
                if let Some(shard) = self.shards.get_mut(&group) {
                    shard.take(now, edge, message);
                }
            }
        }
    }

    fn append(&mut self, now: u64, group: GroupId, append: Append) {
        let leads = self.may_lead(group, now);
        let room = self.has_room();
        let refused = |append: &Append, retry_after_ms| StoreToEdge::Appended {
            request: append.request,
            outcome: AppendOutcome::Refused { retry_after_ms },
        };
        let Some(shard) = self.shards.get_mut(&group).filter(|_| leads) else {
            return self.send(append.edge, refused(&append, 0));
        };
        // A message that is kept already takes no room.
        if !room && shard.state().status(&append.message.id).is_none() {
            let later = self.settings.bounds.visibility_timeout_ms;
            return self.send(append.edge, refused(&append, later));
        }
        let host = &mut self.replicas.host;
        shard.append(now, append, &mut |command| host.replica_mut(group)?.propose(now, command).ok());
    }

    pub(super) fn send(&mut self, edge: Incarnation, message: StoreToEdge) {
        if let Some(number) = self.edges.newest(edge) {
            self.outputs.push(StoreOutput::Edge(number, message));
        }
    }

    pub(super) fn send_all(&mut self, message: &StoreToEdge) {
        let all = self.edges.all_newest().map(|number| StoreOutput::Edge(number, message.clone()));
        self.outputs.extend(all);
    }

    fn has_room(&self) -> bool {
        let held: usize = self.shards.values().map(|shard| shard.state().held_bytes()).sum();
        let limit = self.settings.limits.memory_mb * BYTES_PER_MB * BODIES_PERCENT_OF_MEMORY / 100;
        !self.replicas.disk_full() && (held as u64) < limit
    }

    /// Whether a message may be leased without a further look at the lease: not once this store hands the shard over, as
    /// the successor may be taking stock of what edges hold.
    pub(super) fn may_lease(&self, group: GroupId, now: u64) -> bool {
        let hands_over = self.handing_over.get(&group).is_some_and(|until| now < *until);
        self.ending_since.is_none() && !hands_over && self.may_lead(group, now)
    }

    /// Whether this store may answer for a shard: it has taken office in the present term, so that all entries of earlier
    /// terms are applied, and nobody else can lead meanwhile.
    pub(super) fn may_lead(&self, group: GroupId, now: u64) -> bool {
        let Some(term) = self.shards.get(&group).and_then(Shard::office) else { return false };
        let replica = self.replicas.host.replica(group);
        replica.is_some_and(|replica| replica.term() == term && replica.lease_valid(now))
    }
}
