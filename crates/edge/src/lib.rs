//! The edge: accepts messages, delivers them to runners, calls back

pub mod core;
pub mod dispatch;
pub mod front;
mod role;
pub mod runner;
mod store_links;

pub use role::{EdgeError, run_edge};
