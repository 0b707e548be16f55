//! Switches for deliberate faults in the protocol code, by which the simulation proves that it finds such faults.
//!
//! Without the feature `mutants` every switch is a constant `false`, and the compiler takes the faulty branch away. With
//! it a thread may switch one fault on for whatever runs on it.

mod mutation;
mod switch;

pub use mutation::Mutation;
#[cfg(feature = "mutants")]
pub use switch::activate;
pub use switch::is_active;
