//! What all roles of the system share when they run: start, clock, times, links to replicas and coordinators.

mod boot;
mod clock;
mod control;
mod difference;
mod known_coordinators;
mod listener;
mod node;
mod ports;
mod replica_links;
mod replicas;
mod signals;
mod times;
mod updates;

pub use boot::{Boot, BootError, SETTINGS_VARIABLE, draw_incarnation, draw_seed, log_to_stderr, run_role};
pub use clock::Clock;
pub use control::{ControlEvent, ControlLinks};
pub use difference::{difference, restored};
pub use known_coordinators::KnownCoordinators;
pub use listener::{Accepted, InternalListener};
pub use node::{NodeError, NodeEvent, ReplicaNode, StartedNode};
pub use ports::{InternalPort, coordinator_addresses, internal_address, seed_addresses};
pub use replica_links::serve_replica_link;
pub use replicas::{ReplicaInput, ReplicaOutput, Replicas};
pub use signals::{ProcessSignal, Signals};
pub use times::{
    UpdateWindow, accepted_replica_link_settings, backoff, consensus_timing, heartbeat_interval,
    link_settings, lost_after_ms, replica_link_settings, retained_log_bytes, update_window,
};
pub use updates::{TakenReply, Updates};
