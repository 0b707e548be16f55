//! A folder in memory that fails as disks do, for tests and simulations.

mod faulty;
mod random;
mod volume;

pub use faulty::FaultyFolder;
