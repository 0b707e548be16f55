//! Waiting for a condition, with a deadline.

use std::time::Duration;

use displaydoc::Display;
use tokio::time::{Instant, sleep};

/// The pause between two looks at a condition, in milliseconds: short against every bound of a system, long enough that
/// looking costs little.
const PAUSE_MS: u64 = 20;

/// {condition} did not come within {limit:?}: look into the logs of the processes
#[derive(Debug, Display, Clone, PartialEq, Eq)]
pub struct TimedOut {
    /// What was waited for.
    pub condition: String,
    /// For how long.
    pub limit: Duration,
}

impl std::error::Error for TimedOut {}

/// Looks again and again until `look` gives something. `condition` says what is waited for.
///
/// # Errors
/// Nothing came within the limit.
pub async fn eventually<T, F>(
    condition: &str,
    limit: Duration,
    mut look: impl FnMut() -> F,
) -> Result<T, TimedOut>
where
    F: Future<Output = Option<T>>,
{
    let deadline = Instant::now() + limit;
    loop {
        if let Some(found) = look().await {
            return Ok(found);
        }
        if Instant::now() >= deadline {
            return Err(TimedOut { condition: condition.to_owned(), limit });
        }
        sleep(Duration::from_millis(PAUSE_MS)).await;
    }
}

/// Looks again and again until `look` is true.
///
/// # Errors
/// It was not true within the limit.
pub async fn holds(condition: &str, limit: Duration, look: impl Fn() -> bool) -> Result<(), TimedOut> {
    eventually(condition, limit, || std::future::ready(look().then_some(()))).await
}
