//! The whole system in one process: the cores of all roles on a settable clock, with a network, disks, runners, clients,
//! an operator and a platform that fail by a seed.
//!
//! One seed gives one history. After each step the rules are checked as invariants, named as in the rules of the system.
//! The cores are those of the daemons, never copies; what their run-time parts do around them (links, heartbeats, group
//! commit) is done here by the clock of the simulation.

mod checks;
mod clients;
mod coordinator_process;
mod delivery;
mod dialing;
mod disk;
mod edge_process;
mod effects;
mod ending;
mod event;
mod faults;
mod fleet;
mod hunt;
mod invariants;
mod judging;
mod lives;
#[cfg(feature = "mutants")]
pub mod mutants;
mod network;
mod operator;
mod places;
mod process;
mod protocol_checks;
mod questions;
mod replica_links;
mod runners;
mod scenario;
mod store_process;
mod trace;
mod troubles;
mod wires;
mod world;

pub use checks::Broken;
pub use hunt::hunt;
pub use scenario::{Faults, LastFault, Scenario, ScenarioError, Traffic};
pub use world::Report;

/// Plays one history. With `keeps_trace` the report has a line for each thing that happened.
pub fn play(scenario: &Scenario, seed: u64, keeps_trace: bool) -> Option<Report> {
    world::World::new(scenario, seed, keeps_trace).map(world::World::play)
}
