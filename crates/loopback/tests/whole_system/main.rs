//! The whole system as real processes on loopback.

mod configurations;
mod demonstration;
mod edges;
mod load;
mod messages;
mod operators;
mod rates;
mod rolls;
mod runners;
mod stage;
mod stores;
