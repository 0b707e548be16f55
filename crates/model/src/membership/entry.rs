//! Entries of the log.

use super::Members;

/// What an entry holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Payload {
    /// A new leader's first entry, and whose it is: so that entries of two leaders of one term differ.
    Empty(u8),
    /// A command to the state machine, by its number.
    Command(u8),
    /// The membership from this entry on.
    Membership(Members),
}

/// An entry of the log; its index is its place there, from 1 on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Entry {
    /// The term of the leader that made it.
    pub term: u8,
    /// What it holds.
    pub payload: Payload,
}

impl Entry {
    pub(super) fn membership(&self) -> Option<Members> {
        match self.payload {
            Payload::Membership(members) => Some(members),
            Payload::Empty(_) | Payload::Command(_) => None,
        }
    }
}

/// The newest membership of a log, committed or not, and its index; none before any.
pub(super) fn latest_members(log: &[Entry]) -> (usize, Members) {
    let newest = log.iter().enumerate().rev();
    let mut memberships = newest.filter_map(|(place, entry)| Some((place + 1, entry.membership()?)));
    memberships.next().unwrap_or_default()
}

/// How many entries two logs have in common, from the first on.
pub(super) fn common_length(one: &[Entry], other: &[Entry]) -> usize {
    one.iter().zip(other).take_while(|(left, right)| left == right).count()
}
