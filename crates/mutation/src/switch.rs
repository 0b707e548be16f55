//! Which fault is on.

#[cfg(feature = "mutants")]
use std::cell::Cell;

use crate::Mutation;

#[cfg(feature = "mutants")]
thread_local! {
    static ACTIVE: Cell<Option<Mutation>> = const { Cell::new(None) };
}

/// Whether a fault is on: never without the feature `mutants`.
#[cfg(not(feature = "mutants"))]
#[inline]
pub const fn is_active(_: Mutation) -> bool {
    false
}

/// Whether a fault is on in this thread.
#[cfg(feature = "mutants")]
pub fn is_active(mutation: Mutation) -> bool {
    ACTIVE.get() == Some(mutation)
}

/// Switches a fault on in this thread, in place of the one before, or off.
#[cfg(feature = "mutants")]
pub fn activate(mutation: Option<Mutation>) {
    ACTIVE.set(mutation);
}
