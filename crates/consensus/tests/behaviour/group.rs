//! Replicas whose messages and writes go through at once, unless a test holds them.

use std::collections::HashSet;

use ruddervalve_consensus::{
    Entry, HardState, Membership, Message, MessageKind, Payload, Ready, Replica, Restored, Role, Snapshot,
    Timing, Write,
};
use ruddervalve_protocol::{Blob, ReplicaId};

pub const TIMING: Timing = Timing {
    election_min_ms: 1000,
    election_max_ms: 2000,
    heartbeat_ms: 100,
    lease_ms: 800,
    max_entries_bytes: 1000,
    max_inflight: 4,
    snapshot_chunk_bytes: 10,
};

pub const A: ReplicaId = ReplicaId(1);
pub const B: ReplicaId = ReplicaId(2);
pub const C: ReplicaId = ReplicaId(3);
pub const D: ReplicaId = ReplicaId(4);

pub fn voters(ids: &[ReplicaId]) -> Membership {
    Membership { voters: ids.to_vec(), learners: Vec::new() }
}

pub fn founded(ids: &[ReplicaId]) -> Restored {
    Restored { founding: Some(voters(ids)), ..Restored::default() }
}

/// A voter that was in use before, with a log of empty entries of a term.
pub fn used(ids: &[ReplicaId], term: u64, last_index: u64) -> Restored {
    let entries = (1..=last_index).map(|index| Entry { term, index, payload: Payload::Empty }).collect();
    Restored { hard_state: HardState { term, vote: None }, entries, ..founded(ids) }
}

pub fn command(text: &str) -> Blob {
    Blob::from(text.as_bytes())
}

/// A replica, and what it gave its host.
pub struct Member {
    pub replica: Replica,
    pub applied: Vec<Entry>,
    pub restored: Vec<Snapshot>,
    pub written: Vec<Write>,
}

pub struct Group {
    pub now: u64,
    pub members: Vec<Member>,
    /// One-way cuts.
    pub cuts: HashSet<(ReplicaId, ReplicaId)>,
    /// Every message that was sent.
    pub sent: Vec<(ReplicaId, ReplicaId, MessageKind)>,
    /// Snapshots are answered with this state.
    pub state: Blob,
    /// Leave out the next messages of this kind: kind, how many.
    pub lose: Option<(MessageKind, usize)>,
    /// Members whose writes do not end; what waits for them is lost.
    pub slow_disks: HashSet<ReplicaId>,
    /// Kinds that are held back, and what was held.
    pub hold: Option<MessageKind>,
    pub held: Vec<(ReplicaId, ReplicaId, Message)>,
}

impl Group {
    pub fn new(members: Vec<(ReplicaId, Restored)>) -> Self {
        let mut group = Self {
            now: 0,
            members: Vec::new(),
            cuts: HashSet::new(),
            sent: Vec::new(),
            state: Blob::default(),
            lose: None,
            slow_disks: HashSet::new(),
            hold: None,
            held: Vec::new(),
        };
        for (id, restored) in members {
            group.join(id, restored);
        }
        group
    }

    pub fn founded(ids: &[ReplicaId]) -> Self {
        Self::new(ids.iter().map(|id| (*id, founded(ids))).collect())
    }

    /// A group that `A` leads, with its first entry committed.
    pub fn led_by_a(ids: &[ReplicaId]) -> Self {
        let mut group = Self::founded(ids);
        group.elect(A);
        group.run(200);
        let now = group.now;
        assert!(group.replica(A).lease_valid(now));
        group
    }

    pub fn join(&mut self, id: ReplicaId, restored: Restored) {
        let replica = Replica::new(id, TIMING, id.0, restored, self.now);
        let member = Member { replica, applied: Vec::new(), restored: Vec::new(), written: Vec::new() };
        self.members.push(member);
    }

    pub fn member(&mut self, id: ReplicaId) -> &mut Member {
        self.members.iter_mut().find(|member| member.replica.id() == id).expect("a member of the test")
    }

    pub fn replica(&mut self, id: ReplicaId) -> &mut Replica {
        &mut self.member(id).replica
    }

    /// Lets only `id` see its election time, until it leads.
    pub fn elect(&mut self, id: ReplicaId) {
        let now = self.now.max(self.replica(id).next_wake());
        self.now = now;
        self.replica(id).tick(now);
        self.settle();
        assert_eq!(self.replica(id).role(), Role::Leader, "{id:?} is not elected");
    }

    /// Lets time pass, with all timers.
    pub fn run(&mut self, duration_ms: u64) {
        let end = self.now + duration_ms;
        loop {
            self.settle();
            let wake = self.members.iter().map(|member| member.replica.next_wake()).min().unwrap_or(u64::MAX);
            if wake > end {
                self.now = end;
                return;
            }
            self.now = self.now.max(wake);
            let now = self.now;
            for member in &mut self.members {
                if member.replica.next_wake() <= now {
                    member.replica.tick(now);
                }
            }
        }
    }

    /// Carries messages and writes until none are left.
    pub fn settle(&mut self) {
        loop {
            let mut flights = Vec::new();
            for place in 0..self.members.len() {
                flights.extend(self.drain(place));
            }
            if flights.is_empty() {
                return;
            }
            for (from, to, message) in flights {
                self.carry(from, to, message);
            }
        }
    }

    pub fn release(&mut self) {
        self.hold = None;
        for (from, to, message) in std::mem::take(&mut self.held) {
            self.carry(from, to, message);
        }
        self.settle();
    }

    /// Lets the oldest message that was held through, but none that it leads to.
    pub fn release_one(&mut self) {
        let (from, to, message) = self.held.remove(0);
        let now = self.now;
        self.replica(to).step(now, from, message);
        self.settle();
    }

    pub fn isolate(&mut self, id: ReplicaId) {
        for other in self.members.iter().map(|member| member.replica.id()) {
            self.cuts.insert((id, other));
            self.cuts.insert((other, id));
        }
    }

    pub fn count(&self, kind: MessageKind) -> usize {
        self.sent.iter().filter(|(_, _, sent)| *sent == kind).count()
    }

    pub fn commands(&mut self, id: ReplicaId) -> Vec<String> {
        let text = |entry: &Entry| match &entry.payload {
            Payload::Command(command) => Some(String::from_utf8_lossy(command.as_slice()).into_owned()),
            Payload::Empty | Payload::Membership(_) => None,
        };
        self.member(id).applied.iter().filter_map(text).collect()
    }

    fn carry(&mut self, from: ReplicaId, to: ReplicaId, message: Message) {
        self.sent.push((from, to, message.kind()));
        if self.cuts.contains(&(from, to)) {
            return;
        }
        if self.hold == Some(message.kind()) {
            self.held.push((from, to, message));
            return;
        }
        if let Some((kind, left)) = &mut self.lose
            && *kind == message.kind()
            && *left > 0
        {
            *left -= 1;
            return;
        }
        let now = self.now;
        if let Some(member) = self.members.iter_mut().find(|member| member.replica.id() == to) {
            member.replica.step(now, from, message);
        }
    }

    fn drain(&mut self, place: usize) -> Vec<(ReplicaId, ReplicaId, Message)> {
        let now = self.now;
        let state = self.state.clone();
        let slow = self.slow_disks.contains(&self.members[place].replica.id());
        let member = &mut self.members[place];
        let id = member.replica.id();
        let mut flights = Vec::new();
        loop {
            let Ready {
                ticket,
                writes,
                messages,
                messages_after_write,
                committed,
                restore,
                snapshots_wanted,
                role_changed,
            } = member.replica.take_ready();
            let idle = writes.is_empty() && messages.is_empty() && messages_after_write.is_empty();
            if idle && committed.is_empty() && snapshots_wanted.is_empty() && !role_changed {
                return flights;
            }
            member.restored.extend(restore);
            member.applied.extend(committed);
            member.written.extend(writes);
            for to in snapshots_wanted {
                let parts = member.replica.checkpoint(member.replica.applied_index());
                let (index, term, membership) = (parts.index, parts.term, parts.membership);
                let snapshot = Snapshot { index, term, membership, data: state.clone() };
                member.replica.send_snapshot(now, to, snapshot);
            }
            flights.extend(messages.into_iter().map(|(to, message)| (id, to, message)));
            if !slow {
                member.replica.written(now, ticket);
                flights.extend(messages_after_write.into_iter().map(|(to, message)| (id, to, message)));
            }
        }
    }
}
