//! Room held on nodes for jobs that need many slots: [`Runs`] learns how long runs take, [`Rooms`] keeps what runs where,
//! what is held for whom, and answers which node could give the room soonest and what may run in the gap until then. Free
//! of I/O, clocks and chance; times are milliseconds of whoever asks. It must never choose a node for a job that holds
//! nothing, nor know what a class or a job is beyond its number.

mod rooms;
mod runs;

pub use rooms::{Ended, Hold, Limits, Need, NodeId, Review, Rooms, RunId, Why};
pub use runs::Runs;
