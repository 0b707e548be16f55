//! A clock that moves only when a test says so, though sockets are real.

#![allow(dead_code, reason = "each test file uses a part of it")]

pub mod drawn_answers;
pub mod runner_rig;

use std::future::Future;
use std::sync::mpsc;
use std::time::{Duration, Instant};

use tokio::task::{LocalSet, spawn_blocking, yield_now};
use tokio::time::{advance, timeout};

/// How far the clock moves at once, in milliseconds: no further than the shortest interval of anything under test.
const STEP_MS: u64 = 10;
/// How often others may run after each step.
const TURNS: usize = 8;

/// How long a test may take on the machine's own clock. Then the paused clock is let go.
const LONGEST_TEST: Duration = Duration::from_secs(60);
/// Far more than any test lets pass: only a clock that was let go gets there.
const NEVER: Duration = Duration::from_secs(24 * 60 * 60);

/// Runs a test; one that waits for what never comes fails.
pub async fn local(test: impl Future<Output = ()>) {
    let started = Instant::now();
    let ended = LocalSet::new().run_until(timeout(NEVER, test)).await;
    // A clock that was let go may have helped the test on: that is no pass.
    let in_time = started.elapsed() < LONGEST_TEST;
    assert!(ended.is_ok() && in_time, "test waits for what never comes");
}

/// Keeps the paused clock from moving by itself while a test waits for a socket: a blocking task is under way as long as
/// this lives.
pub struct ManualClock {
    _running: mpsc::Sender<()>,
}

impl ManualClock {
    /// Stops the clock.
    pub fn stopped() -> Self {
        let (running, ended) = mpsc::channel::<()>();
        spawn_blocking(move || ended.recv_timeout(LONGEST_TEST).is_err());
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
