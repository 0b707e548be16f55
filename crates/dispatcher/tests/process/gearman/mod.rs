//! Gearman clients and workers before the real program: faults injected at seeded points, drains, the end of the program,
//! hostile peers, and both protocols at once.

mod faults;
mod jobs;
mod lifecycle;
mod program;
mod protocol;
mod workers;
