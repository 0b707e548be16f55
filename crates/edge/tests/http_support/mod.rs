//! A clock that moves only when a test says so, though sockets are real.

use std::sync::mpsc;
use std::time::Duration;

use tokio::task::{spawn_blocking, yield_now};
use tokio::time::advance;

/// How far the clock moves at once, in milliseconds: no further than the shortest interval of anything under test.
const STEP_MS: u64 = 10;
/// How often others may run after each step.
const TURNS: usize = 8;

/// Keeps the paused clock from moving by itself while a test waits for a socket: a blocking task is under way as long as
/// this lives.
pub struct ManualClock {
    _running: mpsc::Sender<()>,
}

impl ManualClock {
    /// Stops the clock.
    pub fn stopped() -> Self {
        let (running, ended) = mpsc::channel::<()>();
        spawn_blocking(move || ended.recv().is_err());
        Self { _running: running }
    }

    /// Lets time pass, step by step, so that each timer meets its time.
    pub async fn pass(&self, milliseconds: u64) {
        for _ in 0..milliseconds.div_ceil(STEP_MS) {
            advance(Duration::from_millis(STEP_MS)).await;
            for _ in 0..TURNS {
                yield_now().await;
            }
        }
    }
}
