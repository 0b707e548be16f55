//! The core of the dispatcher that knows no protocol: the request table ([`Broker`]), the one source of time
//! ([`Clock`]) and the counts of what happens ([`Counters`]). Protocols hand requests in and carry orders out; what is
//! in a request, and how an answer is worded, is theirs alone and must never be looked at here.

mod broker;
mod clock;
mod counters;

pub use broker::Broker;
pub use broker::lifecycle::LifecycleState;
pub use broker::list::ListUpdate;
pub use broker::orders::{Attempt, AttemptId, Order, Payload, Probe};
pub use broker::pool::Pool;
pub use broker::requests::{Answer, AnswerSender, PendingRequest, SubmitError};
pub use clock::{Clock, LONGEST_WAIT, duration_from_ms};
pub use counters::{AnswerCounts, Counters};
