//! What the replicas of a shard agree on.

use nanoserde::{DeBin, DeBinErr, SerBin};
use ruddervalve_protocol::{Blob, EndPhase, Incarnation, LeaseId, MessageId};

use crate::SharedMessage;
use crate::settings::StateLimits;
use crate::wire::{
    DecodeError, get_id, get_incarnation, get_lease, get_phase, get_text, put_id, put_text, read_whole,
};

/// One entry of a shard's log.
#[derive(Debug, Clone, PartialEq)]
pub struct Command {
    /// The leader's shard time when it proposed this, in milliseconds; see [`crate::ShardClock`].
    pub shard_ms: u64,
    /// The leader's time of day then, in milliseconds since 1970. Only for estimating how long all replicas were down.
    pub wall_ms: u64,
    /// What happens.
    pub action: Action,
}

/// What a command does.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Keeps a message; nothing if its id is known.
    Accept {
        /// The message.
        message: SharedMessage,
        /// Must not run before, in shard time.
        due_ms: u64,
        /// Ends unless it has succeeded by then, in shard time.
        expires_ms: u64,
        /// The edge that accepted it.
        accepted_by: Incarnation,
    },
    /// A runner answered 500. Counts once for each lease, however often it is proposed.
    AttemptFailed {
        /// The message.
        id: MessageId,
        /// The lease of the attempt.
        lease: LeaseId,
    },
    /// Ends a message; nothing if it has ended.
    End {
        /// The message.
        id: MessageId,
        /// How it ended.
        phase: EndPhase,
        /// `Response-Signature` of the successful run, else empty.
        signature: String,
    },
    /// The receiver took the call-back.
    CallbackTaken {
        /// The message.
        id: MessageId,
    },
    /// An edge may hold leases from now on.
    AttachEdge {
        /// Its life.
        edge: Incarnation,
        /// Its `NodeName`.
        node: String,
    },
    /// An edge holds no leases and gets none.
    DetachEdge {
        /// Its life.
        edge: Incarnation,
    },
    /// How long ended messages are kept from now on.
    SetLimits(StateLimits),
}

const ACCEPT: u8 = 1;
const ATTEMPT_FAILED: u8 = 2;
const END: u8 = 3;
const CALLBACK_TAKEN: u8 = 4;
const ATTACH_EDGE: u8 = 5;
const DETACH_EDGE: u8 = 6;
const SET_LIMITS: u8 = 7;

/// What an entry takes besides the body and the names, in bytes; only to reserve room.
const ENTRY_OVERHEAD_BYTES: usize = 512;

impl Command {
    /// The bytes of a log entry.
    pub fn encode(&self) -> Blob {
        let body = match &self.action {
            Action::Accept { message, .. } => message.body.len(),
            _ => 0,
        };
        let mut output = Vec::with_capacity(body + ENTRY_OVERHEAD_BYTES);
        self.ser_bin(&mut output);
        output.into()
    }

    /// Reads what [`Command::encode`] wrote; the body is copied once.
    ///
    /// # Errors
    /// When the bytes are not exactly one command.
    pub fn decode(bytes: &[u8]) -> Result<Self, DecodeError> {
        read_whole(bytes, Self::de_bin)
    }
}

impl SerBin for Command {
    fn ser_bin(&self, output: &mut Vec<u8>) {
        self.shard_ms.ser_bin(output);
        self.wall_ms.ser_bin(output);
        self.action.ser_bin(output);
    }
}

impl DeBin for Command {
    fn de_bin(offset: &mut usize, bytes: &[u8]) -> Result<Self, DeBinErr> {
        Ok(Self {
            shard_ms: u64::de_bin(offset, bytes)?,
            wall_ms: u64::de_bin(offset, bytes)?,
            action: Action::de_bin(offset, bytes)?,
        })
    }
}

impl SerBin for Action {
    fn ser_bin(&self, output: &mut Vec<u8>) {
        match self {
            Self::Accept { message, due_ms, expires_ms, accepted_by } => {
                output.push(ACCEPT);
                message.ser_bin(output);
                due_ms.ser_bin(output);
                expires_ms.ser_bin(output);
                accepted_by.ser_bin(output);
            }
            Self::AttemptFailed { id, lease } => {
                output.push(ATTEMPT_FAILED);
                put_id(id, output);
                lease.ser_bin(output);
            }
            Self::End { id, phase, signature } => {
                output.push(END);
                put_id(id, output);
                phase.ser_bin(output);
                put_text(signature, output);
            }
            Self::CallbackTaken { id } => {
                output.push(CALLBACK_TAKEN);
                put_id(id, output);
            }
            Self::AttachEdge { edge, node } => {
                output.push(ATTACH_EDGE);
                edge.ser_bin(output);
                put_text(node, output);
            }
            Self::DetachEdge { edge } => {
                output.push(DETACH_EDGE);
                edge.ser_bin(output);
            }
            Self::SetLimits(limits) => {
                output.push(SET_LIMITS);
                limits.ser_bin(output);
            }
        }
    }
}

impl DeBin for Action {
    fn de_bin(offset: &mut usize, bytes: &[u8]) -> Result<Self, DeBinErr> {
        let start = *offset;
        match u8::de_bin(offset, bytes)? {
            ACCEPT => Ok(Self::Accept {
                message: SharedMessage::de_bin(offset, bytes)?,
                due_ms: u64::de_bin(offset, bytes)?,
                expires_ms: u64::de_bin(offset, bytes)?,
                accepted_by: get_incarnation(offset, bytes)?,
            }),
            ATTEMPT_FAILED => {
                Ok(Self::AttemptFailed { id: get_id(offset, bytes)?, lease: get_lease(offset, bytes)? })
            }
            END => Ok(Self::End {
                id: get_id(offset, bytes)?,
                phase: get_phase(offset, bytes)?,
                signature: get_text(offset, bytes)?,
            }),
            CALLBACK_TAKEN => Ok(Self::CallbackTaken { id: get_id(offset, bytes)? }),
            ATTACH_EDGE => {
                Ok(Self::AttachEdge { edge: get_incarnation(offset, bytes)?, node: get_text(offset, bytes)? })
            }
            DETACH_EDGE => Ok(Self::DetachEdge { edge: get_incarnation(offset, bytes)? }),
            SET_LIMITS => StateLimits::de_bin(offset, bytes).map(Self::SetLimits),
            unknown => Err(DeBinErr::new(start, usize::from(unknown), bytes.len())),
        }
    }
}
