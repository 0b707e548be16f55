//! Gearman clients and workers, served on the dispatcher's one core under its rules: [`codec`] frames packets,
//! [`Server`] is the protocol without I/O, [`Engine`] connects it to the broker, [`Gearman`] to its sockets. A worker
//! is a runner to the decisions and its connections are its slots; a grab takes up an attempt that the decisions made
//! for the worker. It must never decide on a job by itself, nor give a client two answers.

pub mod codec;

mod admin;
mod engine;
mod jobs;
mod net;
mod pools;
mod server;
mod workers;

pub use engine::{Engine, SocketAction};
pub use jobs::{Function, JobCounts, Priority, StorageLimits};
pub use net::Gearman;
pub use pools::pool_settings;
pub use server::{AttemptOrder, Closing, Effect, EndedAttempt, Limits, Server, label};
pub use workers::ConnectionId;
