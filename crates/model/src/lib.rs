//! Small models that are explored exhaustively, state by state, up to the bounds of a scenario.
//!
//! [`membership`] is about changes of a group's membership: which disks hold what was acknowledged, and whether those that
//! are left can elect a leader, whatever fails in between. It decides by the product's own `next_change` and abstracts the
//! rest of the consensus to its transitions. [`reads`] is about who may answer a read: a leader with a lease, or one that a
//! quorum has confirmed after the read came.

pub mod membership;
pub mod reads;
