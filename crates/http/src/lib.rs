//! The platform's protocol, HTTP/1.1 over plain TCP: submitters ([`Front`]), execute nodes ([`Claims`], [`Probes`]),
//! discovery ([`MachineList`]), the operators' calls ([`Control`]) and the link of an upgrade ([`Handover`]). It must never decide
//! about a job, nor keep what the broker keeps.

mod claims;
mod control;
mod front;
mod handover;
mod machine_list;
mod probes;

pub use claims::Claims;
pub use control::{Control, SET_ASIDE};
pub use front::Front;
pub use handover::Handover;
pub use machine_list::{MachineList, next_list, read_news};
pub use probes::Probes;
