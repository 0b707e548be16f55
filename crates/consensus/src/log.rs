//! The log in memory: what no snapshot replaces yet, and a tail of what one does.

use std::collections::VecDeque;

use crate::entry::Entry;

/// An entry, and where it ends in the stream of all entries of this life.
#[derive(Debug)]
struct Stored {
    entry: Entry,
    end_bytes: u64,
}

/// Entries without a gap, after a base of which only index and term are known.
#[derive(Debug)]
pub(crate) struct Log {
    base_index: u64,
    base_term: u64,
    base_bytes: u64,
    entries: VecDeque<Stored>,
}

impl Log {
    pub(crate) fn new(base_index: u64, base_term: u64) -> Self {
        Self { base_index, base_term, base_bytes: 0, entries: VecDeque::new() }
    }

    /// The index before the first entry that is here.
    pub(crate) fn base_index(&self) -> u64 {
        self.base_index
    }

    /// The index of the newest entry.
    pub(crate) fn last_index(&self) -> u64 {
        self.base_index.saturating_add(self.entries.len() as u64)
    }

    /// The term of the newest entry.
    pub(crate) fn last_term(&self) -> u64 {
        self.entries.back().map_or(self.base_term, |stored| stored.entry.term)
    }

    /// The term of the entry at `index`, as far as it is known.
    pub(crate) fn term(&self, index: u64) -> Option<u64> {
        if index == self.base_index {
            return Some(self.base_term);
        }
        self.get(index).map(|stored| stored.entry.term)
    }

    /// The entry at `index`, if it is here.
    pub(crate) fn entry(&self, index: u64) -> Option<&Entry> {
        self.get(index).map(|stored| &stored.entry)
    }

    /// The highest index up to `index` whose term is at most `term`; below the base where no known entry is.
    pub(crate) fn last_index_up_to(&self, index: u64, term: u64) -> u64 {
        if index < self.base_index {
            return index;
        }
        if self.base_term > term {
            return self.base_index.saturating_sub(1);
        }
        let not_newer = self.entries.partition_point(|stored| stored.entry.term <= term);
        index.min(self.base_index.saturating_add(not_newer as u64))
    }

    /// Adds an entry; only the one after the newest is taken.
    pub(crate) fn append(&mut self, entry: Entry) -> bool {
        if entry.index != self.last_index().saturating_add(1) {
            return false;
        }
        let end_bytes = self.end_bytes().saturating_add(entry.size() as u64);
        self.entries.push_back(Stored { entry, end_bytes });
        true
    }

    /// Takes away the entry at `index` and all after it.
    pub(crate) fn truncate_from(&mut self, index: u64) {
        let kept = index.saturating_sub(self.base_index).saturating_sub(1);
        self.entries.truncate(usize::try_from(kept).unwrap_or(usize::MAX));
    }

    /// About how many bytes the entries after `index` take; `None` if not all of them are here.
    pub(crate) fn bytes_after(&self, index: u64) -> Option<u64> {
        let bytes = if index == self.base_index { self.base_bytes } else { self.get(index)?.end_bytes };
        Some(self.end_bytes().saturating_sub(bytes))
    }

    /// Entries from `first` on: one, and as many more as `max_bytes` hold.
    pub(crate) fn batch(&self, first: u64, max_bytes: usize) -> Vec<Entry> {
        let Some(start) = self.position(first) else { return Vec::new() };
        let start_bytes =
            self.get(first.saturating_sub(1)).map_or(self.base_bytes, |stored| stored.end_bytes);
        let limit = start_bytes.saturating_add(max_bytes as u64);
        let fitting = self.entries.partition_point(|stored| stored.end_bytes <= limit);
        let end = fitting.max(start.saturating_add(1)).min(self.entries.len());
        self.entries.range(start..end).map(|stored| stored.entry.clone()).collect()
    }

    /// Entries from `first` to `last`, both included; those that are here.
    pub(crate) fn between(&self, first: u64, last: u64) -> Vec<Entry> {
        let Some(start) = self.position(first.max(self.base_index.saturating_add(1))) else {
            return Vec::new();
        };
        let end = last.min(self.last_index()).saturating_sub(self.base_index);
        let end = usize::try_from(end).unwrap_or(usize::MAX).min(self.entries.len());
        if start >= end {
            return Vec::new();
        }
        self.entries.range(start..end).map(|stored| stored.entry.clone()).collect()
    }

    /// Drops entries up to `index`, but keeps `retained_bytes` of the newest of them.
    pub(crate) fn compact(&mut self, index: u64, retained_bytes: usize) {
        let Some(end_bytes) = self.get(index).map(|stored| stored.end_bytes) else { return };
        let keep_after = end_bytes.saturating_sub(retained_bytes as u64);
        while self.entries.front().is_some_and(|stored| stored.end_bytes <= keep_after) {
            let Some(stored) = self.entries.pop_front() else { return };
            self.base_index = stored.entry.index;
            self.base_term = stored.entry.term;
            self.base_bytes = stored.end_bytes;
        }
    }

    fn position(&self, index: u64) -> Option<usize> {
        let position = index.checked_sub(self.base_index)?.checked_sub(1)?;
        let position = usize::try_from(position).ok()?;
        (position < self.entries.len()).then_some(position)
    }

    fn get(&self, index: u64) -> Option<&Stored> {
        self.entries.get(self.position(index)?)
    }

    fn end_bytes(&self) -> u64 {
        self.entries.back().map_or(self.base_bytes, |stored| stored.end_bytes)
    }
}
