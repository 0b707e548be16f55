//! The list of runners in hand, and the runners that are out although it names them.

use std::collections::{BTreeMap, BTreeSet};

use ruddervalve_protocol::{Runner, RunnerList};

/// The newest list, and who is out.
#[derive(Debug, Default)]
pub(crate) struct Roster {
    /// Term and sequence of the newest list; none before the first one.
    version: Option<(u64, u64)>,
    by_service: BTreeMap<String, Vec<Runner>>,
    /// Runners at whose addresses another instance answered, until a newer list names them again.
    out: BTreeSet<String>,
}

impl Roster {
    /// Takes a list; false if it is no newer than the one in hand, which then stays.
    pub(crate) fn take(&mut self, list: &RunnerList) -> bool {
        let version = (list.term, list.sequence);
        if self.version.is_some_and(|held| version <= held) {
            return false;
        }
        self.version = Some(version);
        self.out.clear();
        let mut by_service: BTreeMap<String, Vec<Runner>> = BTreeMap::new();
        for runner in &list.runners {
            by_service.entry(runner.service.clone()).or_default().push(runner.clone());
        }
        self.by_service = by_service;
        true
    }

    /// Another instance answered at the runner's address.
    pub(crate) fn take_out(&mut self, uid: &str) {
        self.out.insert(uid.to_owned());
    }

    /// The runners of a service, without those that are out.
    pub(crate) fn runners(&self, service: &str) -> impl Iterator<Item = &Runner> {
        let listed = self.by_service.get(service).map(Vec::as_slice).unwrap_or_default();
        listed.iter().filter(|runner| !self.out.contains(&runner.uid))
    }
}
