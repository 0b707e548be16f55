//! What must hold at every moment.

use std::collections::HashMap;

use ruddervalve_consensus::{Entry, HardState, ReadProgress, Role};
use ruddervalve_protocol::ReplicaId;

use crate::node::{Machine, Node, Running, payload_hash};

/// An entry that some replica applied.
#[derive(Debug, Clone, Copy)]
struct Committed {
    term: u64,
    hash_after: u64,
    /// The term of the first that applied it: no later than this it was committed.
    known_in_term: u64,
}

/// What has been seen so far.
#[derive(Debug, Default)]
pub struct Checks {
    committed: Vec<Committed>,
    /// How often a replica left the group.
    pub left: u64,
    leaders: HashMap<u64, ReplicaId>,
    votes: HashMap<(ReplicaId, u64), ReplicaId>,
    terms: HashMap<ReplicaId, u64>,
    /// Of each entry by index and term: the term before it, and a hash of itself.
    entries: HashMap<(u64, u64), (u64, u64)>,
    reads_confirmed: u64,
}

impl Checks {
    pub fn last_committed(&self) -> u64 {
        self.committed.len() as u64
    }

    /// No replica's disk holds two votes of a term, or a term lower than before.
    pub fn hard_state_written(&mut self, id: ReplicaId, hard_state: HardState) {
        let term = self.terms.entry(id).or_default();
        assert!(hard_state.term >= *term, "{id:?} went back from term {term} to {}", hard_state.term);
        *term = hard_state.term;
        if let Some(vote) = hard_state.vote {
            let first = *self.votes.entry((id, hard_state.term)).or_insert(vote);
            assert_eq!(first, vote, "{id:?} voted twice in term {}", hard_state.term);
        }
    }

    /// Entries of the same index and term are the same, and so are those before.
    pub fn entries_logged(&mut self, running: &mut Running, entries: &[Entry]) {
        let Some(first) = entries.first() else { return };
        running.log_terms.split_off(&first.index);
        for entry in entries {
            let before = running.log_terms.get(&(entry.index - 1)).copied().unwrap_or(0);
            let seen = (before, payload_hash(entry));
            let known = *self.entries.entry((entry.index, entry.term)).or_insert(seen);
            assert_eq!(known, seen, "logs differ at index {} of term {}", entry.index, entry.term);
            running.log_terms.insert(entry.index, entry.term);
        }
    }

    /// All replicas apply the same.
    pub fn applied(&mut self, machine: &Machine, entry: &Entry, replica_term: u64) {
        let position = usize::try_from(entry.index - 1).expect("indexes are small here");
        match self.committed.get(position) {
            Some(committed) => {
                assert_eq!(committed.term, entry.term, "entry {} was changed", entry.index);
                assert_eq!(committed.hash_after, machine.hash, "state after {} differs", entry.index);
            }
            None => {
                assert_eq!(position, self.committed.len(), "an entry was applied before the one before it");
                let (term, hash_after) = (entry.term, machine.hash);
                self.committed.push(Committed { term, hash_after, known_in_term: replica_term });
            }
        }
    }

    /// A snapshot is a state that was applied.
    pub fn restored(&self, machine: &Machine, term: u64) {
        let position = usize::try_from(machine.index - 1).expect("indexes are small here");
        let committed = self.committed.get(position).expect("a snapshot holds committed entries");
        assert_eq!((committed.term, committed.hash_after), (term, machine.hash), "a wrong snapshot");
    }

    /// At most one leader a term, which has all that was committed in earlier terms.
    pub fn role_changed(&mut self, id: ReplicaId, running: &Running) {
        let term = running.replica.term();
        if running.replica.role() != Role::Leader || running.role == Role::Leader {
            return;
        }
        let first = *self.leaders.entry(term).or_insert(id);
        assert_eq!(first, id, "two leaders in term {term}");
        let newest = self.committed.iter().rposition(|committed| committed.known_in_term < term);
        let Some(position) = newest else { return };
        let index = position as u64 + 1;
        assert!(running.replica.last_index() >= index, "{id:?} leads without entry {index}");
        if let Some(own) = running.log_terms.get(&index) {
            assert_eq!(*own, self.committed[position].term, "{id:?} leads with another entry {index}");
        }
    }

    /// How many reads were confirmed.
    pub fn reads_confirmed(&self) -> u64 {
        self.reads_confirmed
    }

    /// A read that is confirmed sees all that anyone had applied when it was asked for.
    pub fn reads(&mut self, id: ReplicaId, running: &mut Running) {
        let (replica, machine) = (&running.replica, &running.machine);
        running.reads.retain(|(read, applied)| match replica.read_progress(read) {
            ReadProgress::Waiting => true,
            ReadProgress::Lost => false,
            ReadProgress::Confirmed => {
                let own = machine.index;
                assert!(own >= *applied, "{id:?} reads at {own} what was at {applied} before it was asked");
                self.reads_confirmed += 1;
                false
            }
        });
    }

    /// While a lease is valid nobody leads in a later term, with or without a lease.
    pub fn leases(&self, nodes: &[Node], now: u64) {
        let running = || nodes.iter().filter_map(|node| Some((node.id, node.running.as_ref()?)));
        let holds = |one: &Running| one.replica.lease_valid(now + one.clock_offset);
        for (holder, leader) in running().filter(|(_, one)| one.role == Role::Leader && holds(one)) {
            let term = leader.replica.term();
            let later =
                running().find(|(_, one)| one.replica.role() == Role::Leader && one.replica.term() > term);
            if let Some((id, one)) = later {
                let other = one.replica.term();
                panic!("{id:?} leads in term {other} while {holder:?} holds a lease in term {term}");
            }
        }
    }
}
