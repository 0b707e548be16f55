//! Gearman clients and workers, served on the dispatcher's one core under its rules: [`codec`] frames packets, [`Server`]
//! is the protocol without I/O, [`Engine`] its way to the broker, [`Gearman`] its sockets. A worker is a node to the decisions and its connections are its
//! slots; a grab redeems a claim that the decisions made for the worker. It must never decide on a job by itself, nor give
//! a client two answers.

pub mod codec;

mod admin;
mod engine;
mod jobs;
mod net;
mod pools;
mod server;
mod workers;

pub use engine::{Act, Engine};
pub use jobs::{Bounds, Function, Priority, Tally};
pub use net::Gearman;
pub use pools::pool_settings;
pub use server::{Effect, Limits, Order, Server, label};
pub use workers::{ClaimId, ConnId};
