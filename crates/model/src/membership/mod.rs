//! Changes of membership under faults.
//!
//! A [`Group`] is the state of all replicas, a [`Step`] what may happen next, and a [`Scenario`] who takes part and how
//! much may go wrong. The names of steps are those of `ruddervalve_consensus`. What is left out, and why nothing is lost:
//!
//! - Messages in flight. A message and its answer are one step; a message that is late is a step that comes late, and one
//!   that is lost a step that never comes. A vote answers what the candidate asked for, which does not change in its term.
//! - Timers, pre-votes, leases and transfers of leadership. Any replica may campaign at any moment, which allows more than
//!   these do; a transfer is a campaign at a moment that the leader chose.
//! - The commit index of followers. A leader commits as soon as it knows a quorum; whoever learns it later knows less.
//! - Terms and votes that are not on disk: they are never told before.
//! - Snapshots: an append brings the whole log.

mod calm;
mod entry;
mod group;
mod members;
mod planning;
mod properties;
mod replica;
mod scenario;
mod step;
mod tolerance;

pub use entry::{Entry, Payload};
pub use group::Group;
pub use members::{Members, ReplicaSet};
pub use planning::{Planner, View, by_contract};
pub use properties::name;
pub use replica::{Disk, Leadership, ReplicaState, Role};
pub use scenario::{Beliefs, Limits, Scenario, Writes};
pub use step::Step;
pub use tolerance::Tolerance;

/// The most replicas that a scenario may have, newcomers included.
pub const MAX_REPLICAS: usize = 7;
