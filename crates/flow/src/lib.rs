//! Flow control between processes, as state without I/O and without a clock.

mod windows;

pub use windows::SendWindows;
