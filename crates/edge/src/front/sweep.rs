//! Ends connections whose time has run out. One coarse timer serves all of them, and none runs while there are none.

use std::rc::{Rc, Weak};
use std::time::Duration;

use tokio::sync::Notify;

use super::FrontLimits;
use super::framing::Phase;
use super::state::{ConnectionState, Draining, Order, Shared};

/// A sweep comes so many times within the shortest time limit, so that a limit is late by an eighth at most.
const SWEEPS_WITHIN_LIMIT: u64 = 8;
/// Sweeps come no more often than that, in milliseconds: each wakes the process and looks at every connection.
const SHORTEST_INTERVAL_MS: u64 = 20;
/// Sweeps come no less often than that, in milliseconds.
const LONGEST_INTERVAL_MS: u64 = 1_000;

/// Sweeps as long as the front exists.
pub(super) async fn run(shared: Weak<Shared>, activity: Rc<Notify>) {
    loop {
        let Some(interval) = shared.upgrade().map(|shared| interval_if_needed(&shared)) else { return };
        match interval {
            Some(interval) => tokio::time::sleep(interval).await,
            None => activity.notified().await,
        }
        let Some(shared) = shared.upgrade() else { return };
        sweep(&shared);
    }
}

fn interval_if_needed(shared: &Shared) -> Option<Duration> {
    if shared.registry.borrow().is_empty() {
        return None;
    }
    let limits = shared.limits();
    let shortest = limits.header_timeout_ms.min(limits.idle_timeout_ms);
    let shortest = shared.draining.get().map_or(shortest, |draining| draining.grace_ms.min(shortest));
    let interval = (shortest / SWEEPS_WITHIN_LIMIT).clamp(SHORTEST_INTERVAL_MS, LONGEST_INTERVAL_MS);
    Some(Duration::from_millis(interval))
}

/// Looks at every connection once.
pub(super) fn sweep(shared: &Shared) {
    let now_ms = shared.now_ms();
    let limits = shared.limits();
    let draining = shared.draining.get();
    for connection in shared.registry.borrow().iter() {
        if connection.has_order() {
            continue;
        }
        if let Some(order) = order_for(connection, now_ms, &limits, draining) {
            connection.give(order);
        }
    }
}

fn order_for(
    connection: &ConnectionState,
    now_ms: u64,
    limits: &FrontLimits,
    draining: Option<Draining>,
) -> Option<Order> {
    let since_ms = connection.stamp(now_ms);
    let unchanged_ms = now_ms.saturating_sub(since_ms);
    let (limit_ms, order) = match connection.phase.get() {
        _ if connection.write_blocked.get() => (limits.idle_timeout_ms, Order::Abort),
        Phase::Idle => {
            if draining.is_some_and(|draining| is_over(draining, since_ms, now_ms)) {
                return Some(Order::CloseIdle);
            }
            (limits.idle_timeout_ms, Order::CloseIdle)
        }
        Phase::Head => (limits.header_timeout_ms, Order::RefuseSlow),
        Phase::Body => (limits.idle_timeout_ms, Order::RefuseSlow),
        Phase::Serving => return None,
    };
    (unchanged_ms >= limit_ms).then_some(order)
}

/// Whether an idle connection has had its grace, from the start of the drain or from when it became idle.
fn is_over(draining: Draining, idle_since_ms: u64, now_ms: u64) -> bool {
    now_ms.saturating_sub(draining.since_ms.max(idle_since_ms)) >= draining.grace_ms
}
