//! What is on disk, what is being written, and what has still to be handed out.

use std::collections::VecDeque;

use crate::entry::Snapshot;

/// Writes that were handed out and are not known to be on disk.
#[derive(Debug)]
struct Outstanding {
    ticket: u64,
    /// The log up to here will be on disk.
    last_index: u64,
}

/// Follows the writes of a replica.
#[derive(Debug)]
pub(crate) struct Writes {
    issued_ticket: u64,
    written_ticket: u64,
    outstanding: VecDeque<Outstanding>,
    /// The log up to here is on disk.
    durable_index: u64,
    /// The first entry that was not handed out.
    first_unissued: u64,
    hard_state_changed: bool,
    /// The ticket of the newest hard state that was handed out.
    hard_state_ticket: u64,
    snapshot: Option<Snapshot>,
}

impl Writes {
    /// Nothing to write: the log up to `durable_index` was read from disk.
    pub(crate) fn new(durable_index: u64) -> Self {
        Self {
            issued_ticket: 0,
            written_ticket: 0,
            outstanding: VecDeque::new(),
            durable_index,
            first_unissued: durable_index.saturating_add(1),
            hard_state_changed: false,
            hard_state_ticket: 0,
            snapshot: None,
        }
    }

    pub(crate) fn durable_index(&self) -> u64 {
        self.durable_index
    }

    pub(crate) fn first_unissued(&self) -> u64 {
        self.first_unissued
    }

    pub(crate) fn issued_ticket(&self) -> u64 {
        self.issued_ticket
    }

    pub(crate) fn hard_state_changed(&mut self) {
        self.hard_state_changed = true;
    }

    /// Whether term and vote are on disk as they are.
    pub(crate) fn hard_state_durable(&self) -> bool {
        !self.hard_state_changed && self.hard_state_ticket <= self.written_ticket
    }

    /// Whether everything is on disk, given the log's newest index.
    pub(crate) fn all_durable(&self, last_index: u64) -> bool {
        !self.hard_state_changed
            && self.snapshot.is_none()
            && self.first_unissued > last_index
            && self.written_ticket >= self.issued_ticket
    }

    /// The log was cut before `index`.
    pub(crate) fn truncated_from(&mut self, index: u64) {
        let kept = index.saturating_sub(1);
        self.first_unissued = self.first_unissued.min(index);
        self.durable_index = self.durable_index.min(kept);
        for outstanding in &mut self.outstanding {
            outstanding.last_index = outstanding.last_index.min(kept);
        }
    }

    /// The log and what came before were replaced.
    pub(crate) fn replaced(&mut self, snapshot: Snapshot) {
        self.truncated_from(0);
        self.first_unissued = snapshot.index.saturating_add(1);
        self.snapshot = Some(snapshot);
    }

    pub(crate) fn take_snapshot(&mut self) -> Option<Snapshot> {
        self.snapshot.take()
    }

    pub(crate) fn take_hard_state_changed(&mut self) -> bool {
        std::mem::take(&mut self.hard_state_changed)
    }

    /// Gives the writes up to the log's newest index a ticket.
    pub(crate) fn issue(&mut self, last_index: u64, with_hard_state: bool) {
        self.issued_ticket = self.issued_ticket.saturating_add(1);
        self.first_unissued = last_index.saturating_add(1);
        if with_hard_state {
            self.hard_state_ticket = self.issued_ticket;
        }
        self.outstanding.push_back(Outstanding { ticket: self.issued_ticket, last_index });
    }

    /// The writes up to `ticket` are on disk.
    pub(crate) fn written(&mut self, ticket: u64) {
        let ticket = ticket.min(self.issued_ticket);
        self.written_ticket = self.written_ticket.max(ticket);
        while self.outstanding.front().is_some_and(|outstanding| outstanding.ticket <= ticket) {
            if let Some(outstanding) = self.outstanding.pop_front() {
                self.durable_index = self.durable_index.max(outstanding.last_index);
            }
        }
    }
}
