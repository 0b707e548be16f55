//! The whole system as real processes on loopback.

mod configurations;
mod demonstration;
mod edges;
mod large_bodies;
mod load;
mod messages;
mod operators;
mod rates;
mod rolls;
mod runners;
mod stage;
mod stores;
