//! What a dispatcher knows of the others, and what follows from it. So far the parts of shared limits ([`Parts`]); who is
//! there and how news of it spreads comes next, as docs/membership.md tells. Free of I/O and of clocks: times are
//! milliseconds of this member's own clock, which goes on while its process is stopped. It must never let all members
//! together use more of a limit than there is, whatever each of them sees.

mod parts;

pub use parts::{Answer, Parts, Quality, Terms};
