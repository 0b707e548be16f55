//! The platform's protocol, HTTP/1.1 over plain TCP: clients ([`Front`]), runners ([`Attempts`], [`Probes`]), discovery
//! ([`RunnerList`]), the operators' calls ([`Control`]) and the link of an upgrade ([`Handover`]). It must never decide
//! about a request, nor keep what the broker keeps.

mod attempts;
mod control;
mod front;
mod handover;
mod load_report;
mod probes;
mod runner_list;

pub use attempts::Attempts;
pub use control::{Control, RESERVED_DESCRIPTORS};
pub use front::Front;
pub use handover::Handover;
pub use probes::Probes;
pub use runner_list::RunnerList;
pub use runner_list::format::{next_list, read_list};
