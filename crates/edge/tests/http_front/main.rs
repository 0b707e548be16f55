//! The front against clients that are written here: raw bytes in, raw bytes out.

mod capacity;
mod clients;
mod draining;
#[path = "../http_support/mod.rs"]
mod http_support;
mod refusals;
mod requests;
mod rig;
