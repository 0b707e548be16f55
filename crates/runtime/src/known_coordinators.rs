//! Which coordinators a process looks for the leader at. Pure: no I/O, no clock.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use ruddervalve_protocol::{ControlMembers, CoordinatorReply, Registration};

use crate::times::HEARTBEATS_PER_SILENCE;

/// Candidates that are taken from one coordinator: more than any system has, so that a faulty one cannot ask for
/// connections without end.
const MOST_CANDIDATES: usize = 1_024;

/// The coordinators that a process keeps connections to.
///
/// Right after its start a process knows the seeds alone, and none of them need belong to the control group. So it also
/// connects to whoever the ones that it reaches name, until it hears the leader: with the leader's directory its owner knows
/// all of them. While a leader answers, connections to it and to the other members of the control group are enough, as the
/// next leader is one of these; when none has answered for a while all coordinators are asked again.
#[derive(Debug, Default)]
pub struct KnownCoordinators {
    /// The address of this very process, if it is a coordinator: it keeps no connection to itself.
    own: Option<SocketAddr>,
    /// The addresses that the owner knows, from the settings and the directory.
    listed: BTreeSet<SocketAddr>,
    /// The leader that was heard last, whether the owner knows its address or not.
    leader: Option<SocketAddr>,
    /// The members of the control group as the leader told them; empty while no leader answers.
    members: BTreeSet<SocketAddr>,
    /// Heartbeats that were sent since a leader answered one.
    unanswered_heartbeats: u32,
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
            CoordinatorReply::Members(members) => self.set_members(members),
            CoordinatorReply::Alive { .. } => {
                self.unanswered_heartbeats = 0;
                let before = self.leader.replace(from);
                let had_candidates = !std::mem::take(&mut self.candidates).is_empty();
                before != Some(from) || had_candidates
            }
            _ => false,
        }
    }

    /// A heartbeat goes to all that a connection is kept to; whether that changes [`KnownCoordinators::addresses`]: no leader
    /// has answered the last ones.
    pub fn heartbeat_sent(&mut self) -> bool {
        self.unanswered_heartbeats = self.unanswered_heartbeats.saturating_add(1);
        let is_lost = self.unanswered_heartbeats > HEARTBEATS_PER_SILENCE;
        is_lost && !std::mem::take(&mut self.members).is_empty()
    }

    /// The owner leads itself: no other answers as leader, and none is missing.
    pub fn leads_itself(&mut self) {
        self.unanswered_heartbeats = 0;
    }

    /// Replaces the members; whether that changes anything.
    fn set_members(&mut self, members: &ControlMembers) -> bool {
        let addresses = members.addresses.iter().take(MOST_CANDIDATES);
        let members: BTreeSet<SocketAddr> = addresses.filter_map(|address| address.parse().ok()).collect();
        let is_new = members != self.members;
        self.members = members;
        is_new
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
        let known = if self.members.is_empty() { &self.listed } else { &self.members };
        let all = known.iter().chain(&self.leader).chain(candidates).copied();
        all.filter(|address| Some(*address) != self.own).collect()
    }
}
