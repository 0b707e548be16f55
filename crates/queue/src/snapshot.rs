//! A shard's state in one piece.

use std::collections::VecDeque;
use std::sync::Arc;

use nanoserde::{DeBin, DeBinErr, SerBin};
use ruddervalve_protocol::Blob;

use crate::records::{AttachedEdge, EndedMessage, PendingMessage, Sequence};
use crate::settings::StateLimits;
use crate::wire::{
    DecodeError, get_incarnation, get_lease, get_list, get_optional_text, get_phase, get_text, put_list,
    put_optional_text, put_text, read_whole,
};
use crate::{ShardState, SharedMessage};

/// The first number of a snapshot; others belong to other versions.
const FORMAT: u32 = 1;
/// What a message takes besides its body, in bytes; only to reserve room.
const RECORD_BYTES: usize = 384;

/// Why a snapshot cannot be restored.
#[derive(Debug, Clone, PartialEq, Eq, displaydoc::Display)]
pub enum SnapshotError {
    /// snapshot of format {found}, this program reads format 1: run the version that wrote it, or fetch one from another replica
    Format {
        /// What stands in it.
        found: u32,
    },
    /// snapshot damaged ({0}): fetch one from another replica
    Damaged(DecodeError),
    /// snapshot contradicts itself at place {place}: fetch one from another replica
    Inconsistent {
        /// The place of the message.
        place: u64,
    },
}

impl std::error::Error for SnapshotError {}

impl From<DecodeError> for SnapshotError {
    fn from(error: DecodeError) -> Self {
        Self::Damaged(error)
    }
}

struct Contents {
    format: u32,
    limits: StateLimits,
    shard_ms: u64,
    wall_ms: u64,
    next_sequence: u64,
    next_attachment: u64,
    edges: Vec<AttachedEdge>,
    pending: Vec<(Sequence, PendingMessage)>,
    ended: Vec<(Sequence, EndedMessage)>,
}

impl ShardState {
    /// Everything, in bytes. Equal states give equal bytes.
    pub fn snapshot(&self) -> Blob {
        let records = self.pending_count() + self.ended_count();
        let mut output = Vec::with_capacity(self.held_bytes() + records * RECORD_BYTES);
        FORMAT.ser_bin(&mut output);
        self.limits.ser_bin(&mut output);
        self.shard_ms.ser_bin(&mut output);
        self.wall_ms.ser_bin(&mut output);
        self.next_sequence.ser_bin(&mut output);
        self.next_attachment.ser_bin(&mut output);
        put_list(self.edges.len(), self.edges.values(), &mut output, put_edge);
        put_list(self.pending.len(), self.pending.iter(), &mut output, put_pending);
        let ended = self.overdue.iter().chain(&self.by_end);
        let ended = ended.filter_map(|sequence| Some((sequence, self.ended.get(sequence)?)));
        put_list(self.ended.len(), ended, &mut output, put_ended);
        output.into()
    }

    /// The state that [`ShardState::snapshot`] wrote.
    ///
    /// # Errors
    /// When the bytes are of another format, damaged or contradictory.
    pub fn restore(snapshot: &Blob) -> Result<Self, SnapshotError> {
        let contents = read_whole(snapshot.as_slice(), get_contents)?;
        if contents.format != FORMAT {
            return Err(SnapshotError::Format { found: contents.format });
        }
        let mut state = Self {
            limits: contents.limits,
            shard_ms: contents.shard_ms,
            wall_ms: contents.wall_ms,
            next_sequence: contents.next_sequence,
            next_attachment: contents.next_attachment,
            edges: contents.edges.into_iter().map(|edge| (edge.edge, edge)).collect(),
            ..Self::default()
        };
        for (sequence, pending) in contents.pending {
            state.check_new(sequence, &pending.message.id.0)?;
            state.insert_pending(sequence, pending);
        }
        for (sequence, ended) in contents.ended {
            state.check_new(sequence, &ended.id)?;
            state.queue_of(ended.overdue).push_back(sequence);
            state.insert_ended(sequence, ended);
        }
        Ok(state)
    }

    fn queue_of(&mut self, overdue: bool) -> &mut VecDeque<Sequence> {
        if overdue { &mut self.overdue } else { &mut self.by_end }
    }

    fn check_new(&self, sequence: Sequence, id: &str) -> Result<(), SnapshotError> {
        let known = self.pending.contains_key(&sequence) || self.ended.contains_key(&sequence);
        if known || sequence.0 >= self.next_sequence || self.index.contains_key(id) {
            return Err(SnapshotError::Inconsistent { place: sequence.0 });
        }
        Ok(())
    }
}

fn get_contents(offset: &mut usize, bytes: &[u8]) -> Result<Contents, DeBinErr> {
    Ok(Contents {
        format: u32::de_bin(offset, bytes)?,
        limits: StateLimits::de_bin(offset, bytes)?,
        shard_ms: u64::de_bin(offset, bytes)?,
        wall_ms: u64::de_bin(offset, bytes)?,
        next_sequence: u64::de_bin(offset, bytes)?,
        next_attachment: u64::de_bin(offset, bytes)?,
        edges: get_list(offset, bytes, get_edge)?,
        pending: get_list(offset, bytes, get_pending)?,
        ended: get_list(offset, bytes, get_ended)?,
    })
}

fn put_edge(edge: &AttachedEdge, output: &mut Vec<u8>) {
    edge.edge.ser_bin(output);
    put_text(&edge.node, output);
    edge.order.ser_bin(output);
}

fn get_edge(offset: &mut usize, bytes: &[u8]) -> Result<AttachedEdge, DeBinErr> {
    Ok(AttachedEdge {
        edge: get_incarnation(offset, bytes)?,
        node: get_text(offset, bytes)?,
        order: u64::de_bin(offset, bytes)?,
    })
}

fn put_pending((sequence, pending): (&Sequence, &PendingMessage), output: &mut Vec<u8>) {
    sequence.0.ser_bin(output);
    pending.message.ser_bin(output);
    pending.due_ms.ser_bin(output);
    pending.expires_ms.ser_bin(output);
    pending.accepted_by.ser_bin(output);
    let attempts = &pending.failed_attempts;
    put_list(attempts.len(), attempts.iter(), output, |lease, output| lease.ser_bin(output));
}

fn get_pending(offset: &mut usize, bytes: &[u8]) -> Result<(Sequence, PendingMessage), DeBinErr> {
    let sequence = Sequence(u64::de_bin(offset, bytes)?);
    let pending = PendingMessage {
        message: SharedMessage::de_bin(offset, bytes)?,
        due_ms: u64::de_bin(offset, bytes)?,
        expires_ms: u64::de_bin(offset, bytes)?,
        accepted_by: get_incarnation(offset, bytes)?,
        failed_attempts: get_list(offset, bytes, get_lease)?,
    };
    Ok((sequence, pending))
}

fn put_ended((sequence, ended): (&Sequence, &EndedMessage), output: &mut Vec<u8>) {
    sequence.0.ser_bin(output);
    put_text(&ended.id, output);
    ended.phase.ser_bin(output);
    put_text(&ended.signature, output);
    ended.ended_ms.ser_bin(output);
    ended.body.ser_bin(output);
    put_optional_text(ended.callback_url.as_deref(), output);
    ended.overdue.ser_bin(output);
}

fn get_ended(offset: &mut usize, bytes: &[u8]) -> Result<(Sequence, EndedMessage), DeBinErr> {
    let sequence = Sequence(u64::de_bin(offset, bytes)?);
    let ended = EndedMessage {
        id: Arc::from(get_text(offset, bytes)?),
        phase: get_phase(offset, bytes)?,
        signature: get_text(offset, bytes)?.into(),
        ended_ms: u64::de_bin(offset, bytes)?,
        body: Option::de_bin(offset, bytes)?,
        callback_url: get_optional_text(offset, bytes)?.map(String::into),
        overdue: bool::de_bin(offset, bytes)?,
    };
    Ok((sequence, ended))
}
