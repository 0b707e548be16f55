//! The core of the dispatcher that knows no protocol: the job table ([`Broker`]), the one source of time ([`Clock`]) and
//! the counts of what happens ([`Counters`]). Protocols hand jobs in and carry orders out; what is in a job, and how an
//! answer is worded, is theirs alone and must never be looked at here.

mod broker;
mod clock;
mod counters;

pub use broker::{
    Answer, Answers, Broker, Claim, Errand, ListNews, NotTaken, Order, Pending, Pool, Probe, Standing,
};
pub use clock::{Clock, FOR_EVER, span};
pub use counters::{Answered, Counters};
