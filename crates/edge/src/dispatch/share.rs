//! Which of a service's runners an edge delivers to, where they accept too few connections for all edges.
//!
//! Every edge keeps at least one connection to each runner that it delivers to. With more edges than a runner accepts
//! connections the runner resets some, and what was sent on them may have run. Each edge then delivers to some of the runners
//! only: near ones first, as edges elsewhere have others that are near, and among those equally near by a draw of its own.

use std::hash::Hasher as _;

use fnv::FnvHasher;
use ruddervalve_configuration::Locality;
use ruddervalve_protocol::{Runner, RunnerPhase};

/// The part of a runner's connections that edges plan for, in percent: draws are uneven, and connections that close still
/// count.
const PLANNED_PERCENT: u64 = 75;

/// How the edges share the connections of a service's runners.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct RunnerShare {
    /// How many edges there are.
    pub(crate) edges: u32,
    /// Connections that each runner accepts; 0: not known.
    pub(crate) connections: u32,
}

impl RunnerShare {
    /// All runners are everyone's.
    pub(crate) const ALL: Self = Self { edges: 1, connections: 0 };

    /// Of these runners those that an edge delivers to. Those that drain stay, as they get nothing new anyhow.
    pub(crate) fn select<'a>(
        self,
        locality: &Locality,
        seed: u64,
        listed: impl Iterator<Item = &'a Runner>,
    ) -> Vec<&'a Runner> {
        let (mut ready, draining): (Vec<&Runner>, Vec<&Runner>) =
            listed.partition(|runner| runner.phase == RunnerPhase::Ready);
        let count = self.count(ready.len());
        if count < ready.len() {
            ready.sort_by_cached_key(|runner| (locality.distance_to(&runner.zone), draw(seed, &runner.uid)));
            ready.truncate(count);
        }
        ready.extend(draining);
        ready
    }

    /// How many of so many runners an edge delivers to: at least one, and all where their connections are enough for all
    /// edges.
    fn count(self, runners: usize) -> usize {
        if self.connections == 0 || self.edges <= self.connections {
            return runners;
        }
        let connections = u64::from(self.connections) * PLANNED_PERCENT / 100;
        let planned = u64::try_from(runners).unwrap_or(u64::MAX).saturating_mul(connections);
        let count = planned / u64::from(self.edges.max(1));
        usize::try_from(count).unwrap_or(usize::MAX).clamp(1, runners.max(1))
    }
}

fn draw(seed: u64, uid: &str) -> u64 {
    let mut hasher = FnvHasher::with_key(seed);
    hasher.write(uid.as_bytes());
    hasher.finish()
}
