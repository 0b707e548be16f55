//! Which coordinators a process looks for the leader at. Pure: no I/O, no clock.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use ruddervalve_protocol::{CoordinatorReply, Registration};

/// Candidates that are taken from one coordinator: more than any system has, so that a faulty one cannot ask for
/// connections without end.
const MOST_CANDIDATES: usize = 1_024;

/// The coordinators that a process keeps connections to.
///
/// Right after its start a process knows the seeds alone, and none of them need belong to the control group. So it also
/// connects to whoever the ones that it reaches name, until it hears the leader: with the leader's directory its owner knows
/// all of them.
#[derive(Debug, Default)]
pub struct KnownCoordinators {
    /// The address of this very process, if it is a coordinator: it keeps no connection to itself.
    own: Option<SocketAddr>,
    /// The addresses that the owner knows, from the settings and the directory.
    listed: BTreeSet<SocketAddr>,
    /// The leader that was heard last, whether the owner knows its address or not.
    leader: Option<SocketAddr>,
    /// Where the coordinators that do not lead say that the leader may be found, since a leader was last heard: only
    /// addresses that were not known otherwise, so that in calm times there are none.
    candidates: BTreeMap<SocketAddr, Vec<SocketAddr>>,
}

impl KnownCoordinators {
    /// What a process with this registration knows before it has heard anything: nothing.
    pub fn new(registration: &Registration) -> Self {
        let own = match registration {
            Registration::Coordinator(member) => member.address.parse().ok(),
            Registration::Edge { .. } | Registration::Store(_) => None,
        };
        Self { own, ..Self::default() }
    }

    /// Replaces the addresses that the owner knows.
    pub fn set_listed(&mut self, addresses: &[SocketAddr]) {
        self.listed = addresses.iter().copied().collect();
    }

    /// Takes note of what a coordinator says about who leads; whether that changes [`KnownCoordinators::addresses`].
    pub fn hear(&mut self, from: SocketAddr, reply: &CoordinatorReply) -> bool {
        match reply {
            CoordinatorReply::NotLeader { candidates } => self.set_candidates(from, candidates),
            CoordinatorReply::Alive { .. } => {
                let before = self.leader.replace(from);
                let had_candidates = !std::mem::take(&mut self.candidates).is_empty();
                before != Some(from) || had_candidates
            }
            _ => false,
        }
    }

    /// Replaces what a coordinator has named; whether that changes anything.
    fn set_candidates(&mut self, from: SocketAddr, named: &[String]) -> bool {
        let named = named.iter().take(MOST_CANDIDATES).filter_map(|address| address.parse().ok());
        let is_new = |address: &SocketAddr| !self.listed.contains(address) && self.leader != Some(*address);
        let candidates: Vec<SocketAddr> = named.filter(is_new).collect();
        if candidates.is_empty() {
            return self.candidates.remove(&from).is_some();
        }
        let before = self.candidates.insert(from, candidates);
        before.as_ref() != self.candidates.get(&from)
    }

    /// All addresses that a connection is to be kept to.
    pub fn addresses(&self) -> BTreeSet<SocketAddr> {
        let candidates = self.candidates.values().flatten();
        let all = self.listed.iter().chain(&self.leader).chain(candidates).copied();
        all.filter(|address| Some(*address) != self.own).collect()
    }
}
