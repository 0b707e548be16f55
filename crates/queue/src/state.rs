//! The replicated state of a shard.

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::sync::Arc;

use ruddervalve_protocol::{
    Blob, EndPhase, Grant, GrantedLease, Incarnation, LeaseId, MessageId, MessagePhase, NewMessage,
};

use crate::records::{Applied, AttachedEdge, Effect, EndedMessage, OwedCallback, PendingMessage, Sequence};
use crate::settings::StateLimits;
use crate::{Action, Command, SharedMessage};

/// All messages of a shard. Identical on all replicas that have applied the same commands.
#[derive(Debug, Default)]
pub struct ShardState {
    pub(crate) limits: StateLimits,
    pub(crate) shard_ms: u64,
    pub(crate) wall_ms: u64,
    pub(crate) next_sequence: u64,
    pub(crate) next_attachment: u64,
    pub(crate) index: HashMap<Arc<str>, Sequence>,
    pub(crate) pending: BTreeMap<Sequence, PendingMessage>,
    pub(crate) ended: HashMap<Sequence, EndedMessage>,
    /// Ended messages by the time of their end.
    pub(crate) by_end: VecDeque<Sequence>,
    /// Ended messages past their time that still owe a call-back, by the time of their end. Some may be gone.
    pub(crate) overdue: VecDeque<Sequence>,
    pub(crate) owed: BTreeSet<Sequence>,
    pub(crate) edges: BTreeMap<Incarnation, AttachedEdge>,
    pub(crate) pending_bytes: usize,
    pub(crate) dead_bytes: usize,
}

impl ShardState {
    /// An empty shard.
    pub fn new() -> Self {
        Self::default()
    }

    /// Applies the next command of the log.
    pub fn apply(&mut self, command: &Command) -> Applied {
        self.shard_ms = self.shard_ms.max(command.shard_ms);
        self.wall_ms = command.wall_ms;
        let effect = self.act(&command.action);
        Applied { effect, abandoned_callbacks: self.prune() }
    }

    /// The shard time of the last command.
    pub fn shard_ms(&self) -> u64 {
        self.shard_ms
    }

    /// The time of day in the last command.
    pub fn wall_ms(&self) -> u64 {
        self.wall_ms
    }

    /// How long ended messages are kept.
    pub fn limits(&self) -> StateLimits {
        self.limits
    }

    /// The state of a message; none: it was never accepted, or ended too long ago.
    pub fn status(&self, id: &MessageId) -> Option<MessagePhase> {
        let sequence = self.sequence(id)?;
        if self.pending.contains_key(&sequence) {
            return Some(MessagePhase::Pending);
        }
        let ended = self.ended.get(&sequence)?;
        Some(MessagePhase::Ended { phase: ended.phase, signature: ended.signature.to_string() })
    }

    /// The body of a message that is pending or dead.
    pub fn body(&self, id: &MessageId) -> Option<Blob> {
        let sequence = self.sequence(id)?;
        match self.pending.get(&sequence) {
            Some(pending) => Some(pending.message.body.clone()),
            None => self.ended.get(&sequence)?.body.clone(),
        }
    }

    /// Bytes of the bodies of pending messages.
    pub fn pending_bytes(&self) -> usize {
        self.pending_bytes
    }

    /// Bytes of all bodies, those of dead letters included.
    pub fn held_bytes(&self) -> usize {
        self.pending_bytes + self.dead_bytes
    }

    /// Messages that have not ended.
    pub fn pending_count(&self) -> usize {
        self.pending.len()
    }

    /// Messages that have ended and can still be asked about.
    pub fn ended_count(&self) -> usize {
        self.ended.len()
    }

    /// The place of a message.
    pub fn sequence(&self, id: &MessageId) -> Option<Sequence> {
        self.index.get(id.0.as_str()).copied()
    }

    /// A pending message by its place.
    pub fn pending(&self, sequence: Sequence) -> Option<&PendingMessage> {
        self.pending.get(&sequence)
    }

    /// All pending messages in the order of acceptance.
    pub fn pending_messages(&self) -> impl Iterator<Item = (Sequence, &PendingMessage)> {
        self.pending.iter().map(|(sequence, pending)| (*sequence, pending))
    }

    /// What an edge needs for a delivery; none if the message has ended. `now_ms` is shard time.
    pub fn grant(&self, id: &MessageId, lease: GrantedLease, now_ms: u64) -> Option<Grant> {
        let pending = self.pending.get(&self.sequence(id)?)?;
        let message = NewMessage {
            delay_ms: 0,
            retention_ms: pending.expires_ms.saturating_sub(now_ms),
            ..NewMessage::clone(&pending.message)
        };
        Some(Grant { lease, message })
    }

    /// The call-back that is owed for a message.
    pub fn callback(&self, id: &MessageId) -> Option<OwedCallback> {
        self.owed_callback(self.sequence(id)?)
    }

    /// All messages that owe a call-back, in the order of acceptance.
    pub fn owed_callbacks(&self) -> impl Iterator<Item = (MessageId, OwedCallback)> {
        self.owed.iter().filter_map(|sequence| {
            let id = MessageId(self.ended.get(sequence)?.id.to_string());
            Some((id, self.owed_callback(*sequence)?))
        })
    }

    /// The edges that may hold leases.
    pub fn attached_edges(&self) -> impl Iterator<Item = &AttachedEdge> {
        self.edges.values()
    }

    fn owed_callback(&self, sequence: Sequence) -> Option<OwedCallback> {
        let ended = self.ended.get(&sequence)?;
        let url = ended.callback_url.as_deref()?.to_owned();
        Some(OwedCallback { sequence, url, phase: ended.phase, signature: ended.signature.to_string() })
    }

    fn act(&mut self, action: &Action) -> Effect {
        match action {
            Action::Accept { message, due_ms, expires_ms, accepted_by } => {
                self.accept(message, *due_ms, *expires_ms, *accepted_by)
            }
            Action::AttemptFailed { id, lease } => self.attempt_failed(id, *lease),
            Action::End { id, phase, signature } => self.end(id, *phase, signature),
            Action::CallbackTaken { id } => self.callback_taken(id),
            Action::AttachEdge { edge, node } => self.attach(*edge, node),
            Action::DetachEdge { edge } => match self.edges.remove(edge) {
                Some(_) => Effect::EdgeDetached,
                None => Effect::Unchanged,
            },
            Action::SetLimits(limits) => {
                self.limits = *limits;
                Effect::LimitsSet
            }
        }
    }

    fn accept(&mut self, message: &SharedMessage, due_ms: u64, expires_ms: u64, by: Incarnation) -> Effect {
        if self.index.contains_key(message.id.0.as_str()) {
            return Effect::Duplicate;
        }
        let sequence = Sequence(self.next_sequence);
        self.next_sequence = self.next_sequence.saturating_add(1);
        self.insert_pending(
            sequence,
            PendingMessage {
                message: message.clone(),
                due_ms,
                expires_ms,
                accepted_by: by,
                failed_attempts: Vec::new(),
            },
        );
        Effect::Accepted { sequence }
    }

    fn attempt_failed(&mut self, id: &MessageId, lease: LeaseId) -> Effect {
        let pending = self.sequence(id).and_then(|sequence| self.pending.get_mut(&sequence));
        let Some(pending) = pending else { return Effect::Unchanged };
        if pending.failed_attempts.contains(&lease) {
            return Effect::Unchanged;
        }
        pending.failed_attempts.push(lease);
        Effect::AttemptRecorded { attempts: u32::try_from(pending.failed_attempts.len()).unwrap_or(u32::MAX) }
    }

    fn end(&mut self, id: &MessageId, phase: EndPhase, signature: &str) -> Effect {
        let Some((id, sequence)) = self.index.get_key_value(id.0.as_str()) else { return Effect::Unchanged };
        let (id, sequence) = (Arc::clone(id), *sequence);
        let Some(pending) = self.pending.remove(&sequence) else { return Effect::Unchanged };
        self.pending_bytes -= pending.message.body.len();
        let callback_url = pending.message.callback_url.as_deref().map(Box::from);
        let callback_owed = callback_url.is_some();
        let ended_ms = self.shard_ms;
        let body = (phase == EndPhase::DeadLetter).then(|| pending.message.body.clone());
        let ended = EndedMessage {
            id,
            phase,
            signature: signature.into(),
            ended_ms,
            body,
            callback_url,
            overdue: false,
        };
        self.insert_ended(sequence, ended);
        self.by_end.push_back(sequence);
        Effect::Ended { sequence, callback_owed }
    }

    fn callback_taken(&mut self, id: &MessageId) -> Effect {
        let Some(sequence) = self.sequence(id) else { return Effect::Unchanged };
        if !self.owed.remove(&sequence) {
            return Effect::Unchanged;
        }
        let Some(ended) = self.ended.get_mut(&sequence) else { return Effect::Unchanged };
        ended.callback_url = None;
        if ended.overdue {
            self.forget(sequence);
        }
        Effect::CallbackRecorded { sequence }
    }

    fn attach(&mut self, edge: Incarnation, node: &str) -> Effect {
        if self.edges.contains_key(&edge) {
            return Effect::Unchanged;
        }
        let order = self.next_attachment;
        self.next_attachment = self.next_attachment.saturating_add(1);
        self.edges.insert(edge, AttachedEdge { edge, node: node.to_owned(), order });
        Effect::EdgeAttached
    }

    pub(crate) fn insert_pending(&mut self, sequence: Sequence, pending: PendingMessage) {
        self.pending_bytes += pending.message.body.len();
        self.index.insert(Arc::from(pending.message.id.0.as_str()), sequence);
        self.pending.insert(sequence, pending);
    }

    pub(crate) fn insert_ended(&mut self, sequence: Sequence, ended: EndedMessage) {
        self.dead_bytes += ended.body.as_ref().map_or(0, Blob::len);
        if ended.callback_url.is_some() {
            self.owed.insert(sequence);
        }
        self.index.insert(Arc::clone(&ended.id), sequence);
        self.ended.insert(sequence, ended);
    }
}
