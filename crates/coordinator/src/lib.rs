//! The coordinator: configuration, members, placement of shards and the list of runners, agreed upon.

mod absence;
pub mod changes;
mod core;
pub mod duties;
mod error;
pub mod founding;
mod list_client;
pub mod listing;
pub mod listing_pace;
pub mod listing_page;
pub mod operator;
pub mod operator_answer;
pub mod operator_call;
mod operator_server;
pub mod placement;
pub mod placement_improve;
pub mod placement_return;
pub mod placement_spread;
mod role;
mod session;
mod sessions;
pub mod state;
pub mod state_command;
pub mod state_envelope;
mod state_members;
mod state_placement;
mod state_retirement;

pub use core::{CallerNumber, CoordinatorCore, CoordinatorOutput, OperatorReply};
pub use error::CoordinatorError;
pub use role::run_coordinator;
