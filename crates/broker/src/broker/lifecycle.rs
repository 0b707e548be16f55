//! Whether the dispatcher serves, is drained or ends, and the times that follow from it.

use tokio::sync::watch;

use super::Broker;
use super::pool::Pool;
use crate::clock::LONGEST_WAIT;

/// Milliseconds from a drain until no request is taken any more: four seconds after the call for it no request of the
/// last two may be out.
pub(super) const DRAINED_ACCEPT_MS: f64 = 1_900.0;
/// "SIGKILL comes no sooner than the longest deadline plus 0.7 s after SIGTERM. The longest deadline counts as 3 s
/// where it is longer." And "what SIGKILL finds unanswered is also lost, if that request came more than 0.7 s after
/// SIGTERM".
pub(super) const KILL_GRACE_MS: f64 = 700.0;
/// Milliseconds; source as above.
const LONGEST_DEADLINE_MS: f64 = 3_000.0;
/// What has to be answered before SIGKILL is answered so many milliseconds sooner.
pub(super) const KILL_MARGIN_MS: f64 = 150.0;
/// Milliseconds: "new connections keep coming for 0.2 to 0.4 s" after the program's end has begun, and half of that is
/// left for a stall.
const KEEP_ACCEPTING_MS: f64 = 600.0;
/// Milliseconds from a drain until silent and idle connections are closed: new ones have stopped by then, and what
/// is sent on them until then is answered in time.
const DRAINED_IDLE_MS: f64 = 1_000.0;
/// Where another process accepts, connections stay open for so many milliseconds after the end has begun: most are used
/// once more, and end with an answer.
const SUCCESSOR_IDLE_MS: f64 = 2_000.0;

/// The lifecycle state of the dispatcher. Fronts and the operators' address read it, nobody else keeps a copy.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum LifecycleState {
    /// It takes requests.
    Serving,
    /// Operators had it send clients away, and may take that back.
    Drained {
        /// When.
        since_ms: f64,
    },
    /// The program ends.
    Ending {
        /// Since when.
        since_ms: f64,
        /// Others accept on its socket, or will: new connections are theirs.
        has_successor: bool,
    },
}

impl LifecycleState {
    /// From when on no connection is accepted any more.
    pub fn accepts_until_ms(self) -> Option<f64> {
        match self {
            Self::Serving | Self::Drained { .. } => None,
            Self::Ending { since_ms, has_successor: true } => Some(since_ms),
            Self::Ending { since_ms, .. } => Some(since_ms + KEEP_ACCEPTING_MS),
        }
    }

    /// From when on a client's connection may not be idle any more.
    pub fn idles_until_ms(self) -> Option<f64> {
        match self {
            Self::Serving => None,
            Self::Drained { since_ms } => Some(since_ms + DRAINED_IDLE_MS),
            Self::Ending { since_ms, has_successor: true } => Some(since_ms + SUCCESSOR_IDLE_MS),
            Self::Ending { since_ms, .. } => Some(since_ms + KEEP_ACCEPTING_MS),
        }
    }
}

impl Broker {
    /// What the dispatcher is doing, now and when it changes.
    pub fn lifecycle(&self) -> watch::Receiver<LifecycleState> {
        self.lifecycle.subscribe()
    }

    /// Waits until the time has passed that follows from the lifecycle state, whatever becomes of that meanwhile.
    pub async fn until_limit(
        &self,
        lifecycle: &mut watch::Receiver<LifecycleState>,
        when: impl Fn(LifecycleState) -> Option<f64>,
    ) {
        loop {
            let at = when(*lifecycle.borrow_and_update());
            let wait = at.map_or(LONGEST_WAIT, |at| self.clock.until(at));
            tokio::select! {
                Ok(()) = lifecycle.changed() => {}
                () = tokio::time::sleep(wait) => return,
            }
        }
    }

    /// Has clients sent away. Once the program ends they are sent away anyhow.
    pub fn drain(&self) {
        if *self.lifecycle.borrow() == LifecycleState::Serving {
            self.lifecycle.send_replace(LifecycleState::Drained { since_ms: self.clock.now() });
        }
    }

    /// Takes clients again. False where it is too late for that.
    pub fn cancel_drain(&self) -> bool {
        let ending = matches!(*self.lifecycle.borrow(), LifecycleState::Ending { .. });
        if !ending {
            self.lifecycle.send_replace(LifecycleState::Serving);
        }
        !ending
    }

    /// The program ends; there is no way back. `has_successor`: others accept on its socket.
    pub fn shut_down(&self, has_successor: bool) {
        let since_ms = self.clock.now();
        self.lifecycle.send_replace(LifecycleState::Ending { since_ms, has_successor });
        if has_successor {
            let last_answer_ms = self.last_answer_ms(since_ms);
            self.shut_down_by(Pool::PLATFORM, last_answer_ms);
        }
    }

    /// The program ends then: requests of a pool that cannot be done until then are refused at once where that is
    /// harmless, and what is still out at that time fails.
    pub fn shut_down_by(&self, pool: Pool, at_ms: f64) {
        let mut table = self.table.borrow_mut();
        let steps = table.facade(pool).ends(self.clock.now(), at_ms);
        self.perform(&mut table, pool, steps);
    }

    /// When the last answer has to be out, if the end began then.
    pub(super) fn last_answer_ms(&self, since_ms: f64) -> f64 {
        let longest = self.table.borrow().platform().facade.longest_deadline_ms();
        since_ms + longest.min(LONGEST_DEADLINE_MS) + KILL_GRACE_MS - KILL_MARGIN_MS
    }
}
