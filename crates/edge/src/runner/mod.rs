//! The client side towards runners, and towards the receivers of call-backs.
//!
//! It owns the connections to them, sends one request at a time on each, and says exactly what became of it: done,
//! failed, certainly not run, or unclear. It never repeats a request of which a byte may have been written, and never
//! decides what to do next.
//!
//! hyper writes requests and reads answers. Its connections are driven by whoever waits for an answer; idle ones are not
//! driven at all, so that they cost nothing, and are looked at before they are used again.

mod answer;
mod carried;
mod client;
mod connection;
mod connection_io;
mod delivery;
mod exchange;
mod http;
mod load;
mod pool;
mod request;
mod settings;
mod stream;

pub use client::RunnerClient;
pub use delivery::{
    CallbackResult, Delivery, DeliveryResult, HealthResult, NotRunReason, RunnerAnswer, UnclearReason,
};
pub use load::{BadLoad, InstanceLoad};
pub use settings::RunnerSettings;

#[cfg(test)]
mod tests;
