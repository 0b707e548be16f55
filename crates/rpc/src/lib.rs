//! Framed connections between the processes of the system.
//!
//! A connection begins with a [`Greeting`] and then carries frames: a 32-bit little-endian length and a message in
//! nanoserde binary. Frames that are queued while a write is under way leave together in the next write. Queues are
//! bounded in bytes; a peer that does not read is cut off, as is one that stays silent or sends nonsense. Everything
//! here runs on one thread.

mod error;
mod frame;
mod link;
mod outbox;
mod peer;

pub use error::RpcError;
pub use frame::MAGIC;
pub use link::{LinkSettings, accept, connect, run, run_paced};
pub use outbox::Outbox;
pub use peer::{Backoff, LinkEvent, Peer};
