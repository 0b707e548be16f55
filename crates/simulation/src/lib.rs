//! The whole system in one process on a settable clock: seeded faults, and the rules as invariants.
