//! The whole system in one process: the cores of all roles on a settable clock, with a network, disks, runners, clients,
//! an operator and a platform that fail by a seed.
//!
//! One seed gives one history. After each step the rules are checked as invariants, named as in the rules of the system.
//! The cores are those of the daemons, never copies; what their run-time parts do around them (links, heartbeats, group
//! commit) is done here by the clock of the simulation.

mod checks;
mod clients;
mod coordinator_process;
mod cuts;
mod delivery;
mod dialing;
mod disk;
mod disk_troubles;
mod edge_process;
mod effects;
mod ending;
mod event;
mod faults;
mod fleet;
mod host;
mod hunt;
mod invariants;
mod judging;
mod lives;
mod losses;
#[cfg(feature = "mutants")]
pub mod mutants;
mod network;
mod operator;
mod phases;
mod places;
mod process;
mod protocol_checks;
mod questions;
mod repairs;
mod replacements;
mod replica_links;
mod retirements;
mod runners;
mod scenario;
mod store_process;
mod storms;
mod trace;
mod troubles;
mod wires;
mod world;

pub use checks::Broken;
pub use hunt::hunt;
pub use repairs::Repairs;
pub use scenario::{
    Cuts, Disks, Faults, Fleet, LastFault, Orders, Phases, Replacements, Scenario, ScenarioError, Traffic,
};
pub use world::Report;

/// Plays one history. With `keeps_trace` the report has a line for each thing that happened.
pub fn play(scenario: &Scenario, seed: u64, keeps_trace: bool) -> Option<Report> {
    world::World::new(scenario, seed, keeps_trace).map(world::World::play)
}
