#![doc = include_str!("../README.md")]

mod answers;
mod facade;
mod interface;
mod logic;
mod state;

pub use facade::*;
pub use interface::*;
pub use state::Dispatcher;
