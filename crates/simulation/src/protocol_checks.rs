//! What consensus must keep to in each group, compared over all replicas rather than asked of one.

use std::collections::{BTreeMap, VecDeque};

use ruddervalve_consensus::{LogPosition, Membership, Payload, Replica, Role};
use ruddervalve_protocol::{GroupId, ReplicaId};

use crate::host::Host;
use crate::network::Life;
use crate::places::LIVENESS_MS;
use crate::world::World;

/// A replica that gets a vote has all that was committed so long before: several of the spans after which leaders note
/// how far followers have to be.
const CAUGHT_UP_MS: u64 = LIVENESS_MS / 4;
/// So many of the newest committed entries are looked for in the log of a new leader.
const COMPARED_ENTRIES: usize = 64;

/// A rule that was broken, and how.
type Fault = (&'static str, String);

/// A committed entry.
#[derive(Debug, Clone, Copy)]
struct CommittedEntry {
    term: u64,
    /// The term of the first replica that took it for committed: no later than this it was.
    known_in_term: u64,
}

/// What all replicas of a group have to agree upon.
#[derive(Debug, Default)]
struct GroupHistory {
    committed: BTreeMap<u64, CommittedEntry>,
    /// The memberships among the committed entries.
    memberships: BTreeMap<u64, Membership>,
    /// How far entries were committed, and since when.
    reached: VecDeque<(u64, u64)>,
}

/// A replica as it was when it was last looked at.
#[derive(Debug, Clone)]
struct Seen {
    life: Life,
    commit: u64,
    /// The term that it led.
    led: Option<u64>,
    membership: Membership,
    /// Where its log ended when it last left the group: after another leaving it has begun anew.
    floor: LogPosition,
}

/// What was seen of all groups.
#[derive(Debug, Default)]
pub struct ProtocolChecks {
    groups: BTreeMap<GroupId, GroupHistory>,
    seen: BTreeMap<(ReplicaId, GroupId), Seen>,
}

/// A replica in its process.
#[derive(Clone, Copy)]
struct View<'a> {
    replica: &'a Replica,
    life: Life,
    /// The process's own time.
    local: u64,
}

impl World {
    /// Compares the replicas of a process that has just done something with all others.
    pub fn check_protocol(&mut self, process: Life) {
        let mut checks = std::mem::take(&mut self.checks.protocol);
        let faults = checks.look(self, process);
        self.checks.protocol = checks;
        for (rule, text) in faults {
            self.checks.fail(self.now, rule, text);
        }
    }

    /// The running replicas of a group.
    fn replicas_of(&self, group: GroupId) -> Vec<View<'_>> {
        let hosts = self.hosts.iter().enumerate();
        hosts.filter_map(|(machine, host)| view(self.now, machine, host, group)).collect()
    }
}

fn view(now: u64, machine: usize, host: &Host, group: GroupId) -> Option<View<'_>> {
    let replica = host.process.as_ref()?.host()?.replica(group)?;
    Some(View { replica, life: Life { machine, life: host.life }, local: now - host.started })
}

impl ProtocolChecks {
    fn look(&mut self, world: &World, process: Life) -> Vec<Fault> {
        let host = world.hosts.get(process.machine);
        let replicas = host.and_then(|host| host.process.as_ref()).and_then(|running| running.host());
        let groups: Vec<GroupId> = replicas.into_iter().flat_map(|replicas| replicas.groups()).collect();
        let mut faults = Vec::new();
        for group in groups {
            if let Some(view) = host.and_then(|host| view(world.now, process.machine, host, group)) {
                self.look_at(world, group, view, &mut faults);
            }
        }
        faults
    }

    fn look_at(&mut self, world: &World, group: GroupId, view: View<'_>, faults: &mut Vec<Fault>) {
        let replica = view.replica;
        let key = (replica.id(), group);
        let before = self.seen.get(&key);
        let before = before.filter(|seen| seen.life == view.life && seen.floor == replica.floor());
        let history = self.groups.entry(group).or_default();
        let commit_before = before.map_or(0, |seen| seen.commit);
        let reached = history.newest();
        if replica.commit_index() < commit_before {
            let text = format!("goes back from entry {commit_before} to {}", replica.commit_index());
            faults.push(("COMMIT-BACK", named(group, replica, &text)));
        }
        faults.extend(history.take_committed(group, replica, commit_before));
        if history.newest() > reached {
            history.note_reached(world.now);
            faults.extend(history.copies(world, group, replica, before));
            let others = world.replicas_of(group).into_iter().filter(|other| other.life != view.life);
            faults.extend(others.filter_map(|other| history.lease(group, other)));
        }
        faults.extend(history.lease(group, view));
        faults.extend(history.membership(group, replica));
        if replica.role() == Role::Leader {
            faults.extend(history.leader(world, group, replica, before));
        }
        let led = (replica.role() == Role::Leader).then(|| replica.term());
        let (commit, membership) = (replica.commit_index(), replica.membership());
        if before
            .is_none_or(|seen| seen.commit != commit || seen.led != led || seen.membership != *membership)
        {
            self.seen.insert(
                key,
                Seen { life: view.life, commit, led, membership: membership.clone(), floor: replica.floor() },
            );
        }
    }
}

impl GroupHistory {
    fn newest(&self) -> u64 {
        self.committed.last_key_value().map_or(0, |(index, _)| *index)
    }

    /// Notes how far entries are committed from now on.
    fn note_reached(&mut self, now: u64) {
        while self.reached.get(1).is_some_and(|(at, _)| at + CAUGHT_UP_MS <= now) {
            self.reached.pop_front();
        }
        self.reached.push_back((now, self.newest()));
    }

    /// How far entries were committed [`CAUGHT_UP_MS`] ago.
    fn reached_before(&self, now: u64) -> u64 {
        let earlier = self.reached.iter().rev().find(|(at, _)| at + CAUGHT_UP_MS <= now);
        earlier.map_or(0, |(_, index)| *index)
    }

    /// All replicas commit the same entry at the same place.
    fn take_committed(&mut self, group: GroupId, replica: &Replica, after: u64) -> Option<Fault> {
        let mut fault = None;
        for index in (after + 1..=replica.commit_index()).rev() {
            let Some(term) = replica.entry_term(index) else { break };
            let entry = CommittedEntry { term, known_in_term: replica.term() };
            let known = *self.committed.entry(index).or_insert(entry);
            if known.term != term {
                let text = format!("commits entry {index} of term {term}, others that of {}", known.term);
                fault = Some(("SAME-ENTRY", named(group, replica, &text)));
            }
            if let Some(Payload::Membership(membership)) = replica.entry(index).map(|entry| &entry.payload) {
                self.memberships.insert(index, membership.clone());
            }
        }
        fault
    }

    /// What is committed is on the disks of a quorum.
    fn copies(
        &self,
        world: &World,
        group: GroupId,
        replica: &Replica,
        before: Option<&Seen>,
    ) -> Option<Fault> {
        let (index, entry) = self.committed.last_key_value()?;
        let replicas = world.replicas_of(group);
        let may_hold = |voter: &&ReplicaId| {
            let running = replicas.iter().find(|view| view.replica.id() == **voter);
            // Nobody can be asked about a disk whose process does not run.
            running.is_none_or(|view| holds(view.replica, *index, entry.term))
        };
        let suffices = |membership: &Membership| {
            membership.voters.iter().filter(may_hold).count() >= membership.quorum()
        };
        let was_enough = before.is_some_and(|seen| suffices(&seen.membership));
        if was_enough || suffices(replica.membership()) {
            return None;
        }
        let text = format!("commits entry {index}, which is not on the disks of a quorum");
        Some(("COPIES", named(group, replica, &text)))
    }

    /// Who may answer by its lease knows all that is committed.
    fn lease(&self, group: GroupId, view: View<'_>) -> Option<Fault> {
        let (commit, newest) = (view.replica.commit_index(), self.newest());
        if commit >= newest || !view.replica.lease_valid(view.local) {
            return None;
        }
        let text =
            format!("holds a lease and knows entries up to {commit}, committed are those up to {newest}");
        Some(("LEASE-READ", named(group, view.replica, &text)))
    }

    /// A membership that counts as committed is the one that was.
    fn membership(&self, group: GroupId, replica: &Replica) -> Option<Fault> {
        let (index, agreed) = self.memberships.range(..=replica.commit_index()).next_back()?;
        if uncommitted_changes(replica) > 0 || replica.membership() == agreed {
            return None;
        }
        let text = format!("takes {:?} for the members since {index}, not {agreed:?}", replica.membership());
        Some(("MEMBERS", named(group, replica, &text)))
    }

    fn leader(&self, world: &World, group: GroupId, replica: &Replica, before: Option<&Seen>) -> Vec<Fault> {
        let goes_on = before.filter(|seen| seen.led == Some(replica.term()));
        let faults = match goes_on {
            Some(before) => [self.own_term(replica, before), self.caught_up(world, group, replica, before)],
            None => [self.complete(replica), None],
        };
        let faults = faults.into_iter().chain([one_change(replica)]).flatten();
        faults.map(|(rule, text)| (rule, named(group, replica, &text))).collect()
    }

    /// A leader commits by counting only what is of its term.
    fn own_term(&self, replica: &Replica, before: &Seen) -> Option<Fault> {
        let commit = replica.commit_index();
        let is_own = replica.entry_term(commit).is_none_or(|term| term == replica.term());
        let is_fault = commit > before.commit && !is_own;
        is_fault.then(|| ("OWN-TERM", format!("commits entry {commit} of an earlier term")))
    }

    /// A new leader has all that was committed in earlier terms.
    fn complete(&self, replica: &Replica) -> Option<Fault> {
        let earlier = self.committed.iter().rev().filter(|(_, entry)| entry.known_in_term < replica.term());
        let mut newest = earlier.take(COMPARED_ENTRIES);
        let (index, _) = newest.find(|(index, entry)| {
            **index > replica.last_index()
                || replica.entry_term(**index).is_some_and(|term| term != entry.term)
        })?;
        Some(("LEADER-LOG", format!("leads without the committed entry {index}")))
    }

    /// Who gets a vote has what was committed until shortly before.
    fn caught_up(&self, world: &World, group: GroupId, replica: &Replica, before: &Seen) -> Option<Fault> {
        let mut new = replica.membership().voters.iter().filter(|voter| !before.membership.is_voter(**voter));
        let needed = self.reached_before(world.now);
        let replicas = world.replicas_of(group);
        let lags = |voter: &&ReplicaId| {
            let running = replicas.iter().find(|view| view.replica.id() == **voter);
            running.is_some_and(|view| view.replica.last_index() < needed)
        };
        let late = new.find(lags)?;
        Some(("CAUGHT-UP", format!("gives {late:?} a vote before it has entry {needed}")))
    }
}

/// A leader that has committed something in its term has one change of membership under way at most.
fn one_change(replica: &Replica) -> Option<Fault> {
    if replica.entry_term(replica.commit_index()) != Some(replica.term()) {
        return None;
    }
    let changes = uncommitted_changes(replica);
    (changes > 1).then(|| ("ONE-CHANGE", format!("has {changes} changes of membership under way")))
}

/// How many changes of membership a replica's log holds that it does not know to be committed.
fn uncommitted_changes(replica: &Replica) -> usize {
    let is_change = |index: &u64| {
        replica.entry(*index).is_some_and(|entry| matches!(entry.payload, Payload::Membership(_)))
    };
    (replica.commit_index() + 1..=replica.last_index()).filter(is_change).count()
}

/// Whether an entry is on a replica's disk.
fn holds(replica: &Replica, index: u64, term: u64) -> bool {
    replica.durable_index() >= index && replica.entry_term(index).is_none_or(|own| own == term)
}

fn named(group: GroupId, replica: &Replica, text: &str) -> String {
    format!("group {}, term {}: {:?} {text}", group.0, replica.term(), replica.id())
}
