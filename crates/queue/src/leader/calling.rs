//! Call-backs that edges have made.

use ruddervalve_protocol::{Incarnation, MessageId};

use super::ShardLeader;
use crate::output::LeaderOutput;
use crate::records::Sequence;

impl ShardLeader {
    /// The receiver took a call-back. `CallbackRecorded` follows once that is durable, at once if none is owed.
    pub fn callback_taken(&mut self, now_ms: u64, from: Incarnation, id: &MessageId) {
        self.heard(now_ms, from);
        self.callbacks.taken(from, id, &mut self.outputs);
    }

    /// A call-back could not be made now: it is granted again after a backoff.
    pub fn callback_failed(&mut self, now_ms: u64, from: Incarnation, id: &MessageId) {
        self.heard(now_ms, from);
        self.callbacks.failed(now_ms, from, id, &mut self.jitter);
    }

    /// An edge names a call-back: it makes it, or need not any more.
    pub(super) fn take_callback_over(&mut self, edge: Incarnation, id: &MessageId) -> Option<Sequence> {
        let sequence = self.callbacks.take_over(edge, id);
        if sequence.is_none() {
            self.outputs.push(LeaderOutput::CallbackRecorded { edge, id: id.clone() });
        }
        sequence
    }
}
