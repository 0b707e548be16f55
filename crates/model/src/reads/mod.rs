//! Who may answer a read.
//!
//! Three replicas; the first leads in the old term, and one of the others may be elected in a new one. Each has a clock of
//! its own, and any of them may freeze at any point: that is, others go on and time passes before its next step. A read is
//! linearizable if it answers no older version than what was acknowledged when it came. An answer that is late, because
//! the leader froze between check and answer, is as good as the check: the read was under way all that time.

mod scenario;
mod state;
mod step;

pub use scenario::{ClockRead, ReadPolicy, ReadScenario};
pub use state::{Read, ReadState};
pub use step::{LINEARIZABLE, NEW_LEADER_ANSWERS, OLD_LEADER_ANSWERS, ReadStep};

/// The replicas of the model.
pub const REPLICAS: usize = 3;
/// The one that leads in the old term.
pub const OLD_LEADER: usize = 0;
