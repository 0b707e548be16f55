//! The edge: accepts messages, delivers them to runners, calls back

pub mod dispatch;
pub mod front;
pub mod runner;
pub mod core;
mod role;

pub use role::{EdgeError, run_edge};
