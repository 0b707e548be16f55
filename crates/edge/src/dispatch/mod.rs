//! Which runner gets which message: the decisions of one edge, without I/O and without a clock.
//!
//! The policy is the decision module's (Persistent-Idle with splitting): a message goes to a runner drawn at random
//! among those whose idle token is held; with none held, to a free slot of a partly busy runner, and with none of these
//! to the Last-Idle runner as long as it is listed ready. There is one such module for each listed service, as tokens
//! and pointer are kept for each set of runners that are eligible together, and as what is typical of one service says
//! nothing of another. This module translates: configuration and list into the decision module's settings, answers of
//! runners into load reports, and its steps into deliveries.
//!
//! What is added here, because messages are kept in the queue and not at the edge:
//! - A message that finds no slot for a while is given back; the queue brings it again.
//! - A service all of whose runners have failed gets single trials, paced, and no others.
//! - Where runners accept fewer connections than there are edges, each edge delivers to some of them only, near ones first.
//! - A runner that answers for another instance is out until a newer list names it again.
//! - An endpoint that stands in the configuration is not chosen at all: its messages go there.
//!
//! Times are milliseconds of one monotonic clock.

mod engine;
mod errors;
mod jobs;
mod loads;
mod pacing;
mod plan;
mod pool;
mod roster;
mod runners;
mod settings;
mod share;
mod step;

pub use engine::Dispatch;
pub use settings::DispatchSettings;
pub use step::{DispatchOutcome, DispatchStep, RunnerLoad};
