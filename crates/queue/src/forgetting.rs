//! What the state forgets as shard time passes.

use std::collections::VecDeque;

use crate::ShardState;
use crate::records::Sequence;

impl ShardState {
    /// Forgets what is too old; returns the messages whose call-backs are given up.
    pub(crate) fn prune(&mut self) -> Vec<Sequence> {
        while let Some(sequence) = self.first_older(&self.by_end, self.limits.status_ttl_ms) {
            self.by_end.pop_front();
            self.keep_only_callback(sequence);
        }
        let mut abandoned = Vec::new();
        while let Some(sequence) = self.first_older(&self.overdue, self.limits.callback_keep_ms) {
            self.overdue.pop_front();
            if self.owed.remove(&sequence) {
                self.forget(sequence);
                abandoned.push(sequence);
            }
        }
        abandoned
    }

    /// The first of a queue if it ended longer ago than `age_ms`, or is gone.
    fn first_older(&self, queue: &VecDeque<Sequence>, age_ms: u64) -> Option<Sequence> {
        let first = *queue.front()?;
        let ended_ms = self.ended.get(&first).map_or(0, |ended| ended.ended_ms);
        let gone = !self.ended.contains_key(&first);
        (gone || ended_ms.saturating_add(age_ms) <= self.shard_ms).then_some(first)
    }

    fn keep_only_callback(&mut self, sequence: Sequence) {
        if !self.owed.contains(&sequence) {
            return self.forget(sequence);
        }
        let Some(ended) = self.ended.get_mut(&sequence) else { return };
        ended.overdue = true;
        self.dead_bytes -= ended.body.take().map_or(0, |body| body.len());
        self.overdue.push_back(sequence);
    }

    /// Removes all trace of an ended message.
    pub(crate) fn forget(&mut self, sequence: Sequence) {
        let Some(ended) = self.ended.remove(&sequence) else { return };
        self.dead_bytes -= ended.body.map_or(0, |body| body.len());
        self.index.remove(&ended.id);
    }
}
