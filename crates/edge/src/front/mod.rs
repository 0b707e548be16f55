//! The front: takes requests from clients, and the platform's question whether this process is ready.
//!
//! It owns the connections, how requests are told apart on them, how long each may take, and how answers are worded. It
//! never decides about a message: a request that was read whole goes to a [`Handler`], and what that answers is sent.
//!
//! hyper reads heads, decodes bodies and writes answers. Ahead of it stands a guard ([`guard`](self)) that follows the
//! same bytes and lets through one request at a time. Whatever two readers could understand in two ways is refused, and
//! the guard says which answer and when to close. `gotham`, the house's choice, gives too little say over closing
//! connections, over bytes that are not read, and over idle time-outs.

mod chunked;
mod connection;
mod framing;
mod guard;
mod handler;
mod head;
mod limits;
mod linger;
mod readiness;
mod refusal;
mod registry;
mod request;
mod response;
mod server;
mod state;
mod sweep;

pub use handler::Handler;
pub use hyper::{Method, StatusCode};
pub use limits::FrontLimits;
pub use readiness::{READINESS_PATH, Readiness};
pub use request::FrontRequest;
pub use response::{FrontHeader, FrontResponse};
pub use server::{Front, FrontCounters};

#[cfg(test)]
mod tests;
