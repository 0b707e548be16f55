//! A group, its network and its disks, in simulated time.

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use ruddervalve_consensus::{Membership, MembershipChange, Ready, Role, Timing, Write};
use ruddervalve_protocol::{Blob, ReplicaId};

use crate::checks::Checks;
use crate::disk::{Disk, Pending};
use crate::network::{CALM, Network, Weather};
use crate::node::{Machine, Node, Running};

const TIMING: Timing = Timing {
    election_min_ms: 100,
    election_max_ms: 220,
    heartbeat_ms: 25,
    lease_ms: 80,
    max_entries_bytes: 250,
    max_inflight: 4,
    snapshot_chunk_bytes: 64,
};

/// How long faults go on; ms.
const STORM_MS: u64 = 2500;
/// The part of reads after which the process is frozen at once.
const FROZEN_READS: f64 = 0.02;
/// How long the group has to mend afterwards; ms.
const MENDING_MS: u64 = 6000;

/// What to play.
#[derive(Debug, Clone, Copy)]
pub struct Plan {
    pub replicas: u64,
    /// The network loses, repeats and delays.
    pub losses: bool,
    /// Replicas are replaced by others on empty disks, some after their disk was lost.
    pub replacements: bool,
    /// One replacement follows the other, and replicas without a leader ask whether they still belong to the group.
    pub leavings: bool,
}

/// What was played, to compare runs.
#[derive(Debug, PartialEq, Eq)]
pub struct Outcome {
    pub committed: u64,
    pub term: u64,
    pub reads: u64,
    /// How often a replica left the group.
    pub left: u64,
}

/// One replica takes the place of another.
#[derive(Debug, Clone, Copy)]
struct Replacement {
    old: ReplicaId,
    new: ReplicaId,
}

pub struct Cluster {
    pub plan: Plan,
    pub random: ChaCha8Rng,
    pub now: u64,
    pub nodes: Vec<Node>,
    pub network: Network,
    pub longest_write_ms: u64,
    /// How often no commands come for a while; share of the pauses between them.
    quiet_times: f64,
    pub checks: Checks,
    replacement: Option<Replacement>,
    next_id: u64,
    next_command: u64,
}

impl Cluster {
    /// Plays a seed; panics if anything is wrong.
    pub fn play(plan: Plan, seed: u64) -> Outcome {
        let mut cluster = Self::new(plan, seed);
        cluster.storm();
        cluster.mend();
        cluster.outcome()
    }

    fn new(plan: Plan, seed: u64) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let voters: Vec<ReplicaId> = (1..=plan.replicas).map(ReplicaId).collect();
        let founding = Membership { voters: voters.clone(), learners: Vec::new() };
        let disk = Disk { founding: Some(founding), ..Disk::default() };
        let rough = Weather {
            loss: random.random_range(0.0..0.15),
            duplicates: random.random_range(0.0..0.15),
            stragglers: random.random_range(0.0..0.03),
            longest_delay_ms: random.random_range(1..30),
        };
        let quiet_times = if random.random_bool(0.5) { random.random_range(0.0..0.6) } else { 0.0 };
        Self {
            plan,
            random,
            quiet_times,
            now: 0,
            nodes: voters.into_iter().map(|id| Node::new(id, disk.clone())).collect(),
            network: Network::new(if plan.losses { rough } else { CALM }),
            longest_write_ms: 5,
            checks: Checks::default(),
            replacement: None,
            next_id: plan.replicas + 1,
            next_command: 0,
        }
    }

    fn storm(&mut self) {
        let (mut next_command, mut next_fault, mut next_repair) = (0, 300, 0);
        while self.now < STORM_MS {
            let due = self.next_event().min(next_command).min(next_fault).min(next_repair);
            self.advance_to(due);
            if self.now >= next_command {
                self.read(FROZEN_READS);
                self.propose();
                let quiet = self.random.random_bool(self.quiet_times);
                let longest = if quiet { 600 } else { 20 };
                next_command = self.now + self.random.random_range(1..longest);
            }
            if self.now >= next_fault {
                self.disturb();
                next_fault = self.now + self.random.random_range(1..150);
            }
            if self.now >= next_repair {
                self.administer();
                self.press_replacements();
                next_repair = self.now + 20;
            }
        }
    }

    /// Ends all faults and waits until every member has applied a new command.
    fn mend(&mut self) {
        self.network.cuts.clear();
        self.network.weather = CALM;
        self.longest_write_ms = 3;
        for node in &mut self.nodes {
            if let Some(running) = &mut node.running {
                running.frozen_until = 0;
            }
        }
        let end = self.now + MENDING_MS;
        let mut next_try = self.now;
        while self.now < end && !self.is_whole() {
            let due = self.next_event().min(next_try);
            self.advance_to(due);
            if self.now >= next_try {
                self.read(0.0);
                self.propose();
                self.administer();
                next_try = self.now + 50;
            }
        }
        assert!(self.is_whole(), "the group did not mend; {}", self.describe());
    }

    /// Whether a leader with a lease leads, no replacement is open, all members have applied all, and reads are confirmed.
    fn is_whole(&self) -> bool {
        let Some(place) = self.leader() else { return false };
        let Some(leader) = &self.nodes[place].running else { return false };
        let members: Vec<ReplicaId> = leader.replica.membership().members().collect();
        let complete = |node: &Node| {
            node.running.as_ref().is_some_and(|running| running.machine.index == self.checks.last_committed())
        };
        self.replacement.is_none()
            && self.checks.reads_confirmed() > 0
            && leader.replica.lease_valid(self.now + leader.clock_offset)
            && leader.replica.membership_committed()
            && leader.replica.commit_index() == leader.replica.last_index()
            && members.iter().all(|id| self.nodes.iter().any(|node| node.id == *id && complete(node)))
    }

    fn outcome(&self) -> Outcome {
        let running = self.nodes.iter().filter_map(|node| node.running.as_ref());
        let term = running.map(|running| running.replica.term()).max().unwrap_or(0);
        Outcome {
            committed: self.checks.last_committed(),
            term,
            reads: self.checks.reads_confirmed(),
            left: self.checks.left,
        }
    }

    fn describe(&self) -> String {
        let mut lines = vec![format!("now {}, {:?}", self.now, self.replacement)];
        for node in &self.nodes {
            let Some(running) = &node.running else {
                lines.push(format!("{:?} down until {:?}", node.id, node.restart_at));
                continue;
            };
            let replica = &running.replica;
            lines.push(format!(
                "{:?} {:?} term {} commit {} last {} applied {} leader {:?} {:?}",
                node.id,
                replica.role(),
                replica.term(),
                replica.commit_index(),
                replica.last_index(),
                running.machine.index,
                replica.leader(),
                replica.membership(),
            ));
        }
        if std::env::var_os("SIMULATION_DETAILS").is_some() {
            for running in self.nodes.iter().filter_map(|node| node.running.as_ref()) {
                lines.push(format!("{:?}\n{:?}\n", running.replica, running.pending));
            }
        }
        lines.join("\n")
    }

    /// The node that leads in the highest term.
    pub fn leader(&self) -> Option<usize> {
        let term = |node: &Node| {
            let running = node.running.as_ref()?;
            (running.replica.role() == Role::Leader).then(|| running.replica.term())
        };
        let leaders = self.nodes.iter().enumerate().filter_map(|(place, node)| Some((term(node)?, place)));
        leaders.max().map(|(_, place)| place)
    }

    fn next_event(&self) -> u64 {
        let wakes = self.nodes.iter().map(|node| next_wake(node, self.now));
        let due = wakes.min().unwrap_or(u64::MAX).min(self.network.next_due().unwrap_or(u64::MAX));
        due.max(self.now + 1)
    }

    fn advance_to(&mut self, due: u64) {
        self.now = due.max(self.now);
        for place in 0..self.nodes.len() {
            if self.nodes[place].restart_at.is_some_and(|at| at <= self.now) {
                self.start(place);
            }
            self.finish_writes(place);
            self.tick(place);
        }
        let mut late = Vec::new();
        while let Some(flight) = self.network.take_due(self.now) {
            late.push(flight);
        }
        for flight in late {
            let message = flight.message();
            self.deliver(flight.from, flight.to, message);
        }
        self.checks.leases(&self.nodes, self.now);
    }

    fn start(&mut self, place: usize) {
        let clock_offset = self.random.random_range(0..10_000);
        let seed = self.random.random();
        self.nodes[place].start(TIMING, seed, clock_offset, self.now);
        self.drain(place);
    }

    fn tick(&mut self, place: usize) {
        let now = self.now;
        let Some(running) = awake(&mut self.nodes[place], now) else { return };
        let clock = now + running.clock_offset;
        if running.replica.next_wake() <= clock {
            running.replica.tick(clock);
            assert!(running.replica.next_wake() > clock, "a tick leaves something due");
            self.drain(place);
        }
    }

    fn finish_writes(&mut self, place: usize) {
        let now = self.now;
        loop {
            let node = &mut self.nodes[place];
            let Some(running) = awake(node, now) else { return };
            if running.pending.front().is_none_or(|pending| pending.due > now) {
                return;
            }
            let Some(Pending { ticket, writes, messages, .. }) = running.pending.pop_front() else { return };
            running.replica.written(now + running.clock_offset, ticket);
            let id = node.id;
            for write in writes {
                node.disk.apply(write);
            }
            self.checks.hard_state_written(id, node.disk.hard_state);
            for (to, message) in messages {
                self.network.send(&mut self.random, now, id, to, &message);
            }
            self.drain(place);
        }
    }

    fn deliver(&mut self, from: ReplicaId, to: ReplicaId, message: ruddervalve_consensus::Message) {
        let Some(place) = self.nodes.iter().position(|node| node.id == to) else { return };
        let now = self.now;
        let Some(running) = &mut self.nodes[place].running else { return };
        if running.frozen_until > now {
            let wait = running.frozen_until - now;
            self.network.send(&mut self.random, now + wait, from, to, &message);
            return;
        }
        running.replica.step(now + running.clock_offset, from, message);
        self.drain(place);
    }

    /// Does all that a replica wants done.
    pub fn drain(&mut self, place: usize) {
        let now = self.now;
        loop {
            let node = &mut self.nodes[place];
            let Some(running) = &mut node.running else { return };
            if running.replica.is_removed() {
                return self.leave(place);
            }
            let ready = running.replica.take_ready();
            if ready.is_empty() {
                self.checks.reads(node.id, running);
                return;
            }
            let Ready { ticket, writes, messages, messages_after_write, committed, restore, .. } = ready;
            if ready.role_changed {
                self.checks.role_changed(node.id, running);
                running.role = running.replica.role();
            }
            if let Some(snapshot) = restore {
                let applied = running.machine.index;
                assert!(snapshot.index > applied, "a snapshot of entry {} after {applied}", snapshot.index);
                running.machine = Machine::decode(&snapshot.data);
                assert_eq!(running.machine.index, snapshot.index);
                self.checks.restored(&running.machine, snapshot.term);
            }
            for write in &writes {
                match write {
                    Write::Entries(entries) => self.checks.entries_logged(running, entries),
                    Write::Snapshot(snapshot) => {
                        running.log_terms.clear();
                        running.log_terms.insert(snapshot.index, snapshot.term);
                    }
                    Write::HardState(_) => {}
                }
            }
            for entry in &committed {
                running.machine.apply(entry);
                self.checks.applied(&running.machine, entry, running.replica.term());
            }
            let idle = writes.is_empty() && messages_after_write.is_empty();
            if !idle {
                let sync_ms = self.random.random_range(0..=self.longest_write_ms);
                let due = running.next_sync_end(now, sync_ms);
                running.pending.push_back(Pending { due, ticket, writes, messages: messages_after_write });
            }
            let id = node.id;
            for (to, message) in messages {
                self.network.send(&mut self.random, now, id, to, &message);
            }
            for to in ready.snapshots_wanted {
                self.send_snapshot(place, to);
            }
        }
    }

    fn send_snapshot(&mut self, place: usize, to: ReplicaId) {
        let Some(snapshot) = self.nodes[place].snapshot() else { return };
        let now = self.now;
        if let Some(running) = &mut self.nodes[place].running {
            running.replica.send_snapshot(now + running.clock_offset, to, snapshot);
        }
    }

    pub fn checkpoint(&mut self, place: usize) {
        let id = self.nodes[place].id;
        self.nodes[place].checkpoint();
        self.checks.hard_state_written(id, self.nodes[place].disk.hard_state);
    }

    /// Reads are asked of whoever believes to lead; a part of them is frozen before anything that it does then leaves.
    fn read(&mut self, frozen_part: f64) {
        let applied = self.checks.last_committed();
        for place in 0..self.nodes.len() {
            let now = self.now;
            let Some(running) = awake(&mut self.nodes[place], now) else { continue };
            let read = running.replica.request_read(now + running.clock_offset);
            running.reads.extend(read.map(|read| (read, applied)));
            if read.is_some() && self.random.random_bool(frozen_part) {
                running.frozen_until = now + self.random.random_range(1..2 * TIMING.election_max_ms);
            } else {
                self.drain(place);
            }
        }
    }

    /// Commands go to whoever believes to lead.
    fn propose(&mut self) {
        for place in 0..self.nodes.len() {
            let now = self.now;
            let Some(running) = awake(&mut self.nodes[place], now) else { continue };
            if running.replica.role() != Role::Leader {
                continue;
            }
            for _ in 0..self.random.random_range(1..4) {
                self.next_command += 1;
                let mut command = self.next_command.to_le_bytes().to_vec();
                command.resize(8 + self.random.random_range(0..120), 1);
                let _ = running.replica.propose(now + running.clock_offset, Blob::from(command));
            }
            self.drain(place);
        }
    }

    /// A new replica on an empty disk takes the place of another, whose disk may be lost now.
    pub fn begin_replacement(&mut self) {
        if !self.plan.replacements || self.replacement.is_some() {
            return;
        }
        let Some(place) = self.leader() else { return };
        let Some(leader) = &self.nodes[place].running else { return };
        let settled = leader.replica.membership_committed()
            && leader.replica.membership().learners.is_empty()
            && leader.replica.lease_valid(self.now + leader.clock_offset);
        if !settled {
            return;
        }
        let voters = leader.replica.membership().voters.clone();
        let old = voters[self.random.random_range(0..voters.len())];
        let members: Vec<ReplicaId> = leader.replica.membership().members().collect();
        let new = self.former_member(&members).unwrap_or_else(|| self.newcomer());
        self.replacement = Some(Replacement { old, new });
        if voters.len() > 2 && self.random.random_bool(0.5) {
            for node in self.nodes.iter_mut().filter(|node| node.id == old) {
                node.crash(0, None);
            }
        }
    }

    /// A replica on an empty disk.
    fn newcomer(&mut self) -> ReplicaId {
        let new = ReplicaId(self.next_id);
        self.next_id += 1;
        let mut node = Node::new(new, Disk::default());
        node.restart_at = Some(self.now + 1);
        self.nodes.push(node);
        new
    }

    /// Brings an open replacement a step further.
    fn administer(&mut self) {
        let Some(Replacement { old, new }) = self.replacement else { return };
        let Some(place) = self.leader() else { return };
        let now = self.now;
        let Some(running) = awake(&mut self.nodes[place], now) else { return };
        let replica = &mut running.replica;
        let clock = now + running.clock_offset;
        let membership = replica.membership();
        let change = if !membership.contains(new) {
            MembershipChange::AddLearner(new)
        } else if membership.is_learner(new) {
            MembershipChange::PromoteLearner(new)
        } else if membership.contains(old) {
            MembershipChange::Remove(old)
        } else {
            if replica.membership_committed() && replica.lease_valid(clock) {
                self.replacement = None;
            }
            return;
        };
        let _ = replica.change_membership(clock, change);
        self.drain(place);
    }
}

fn next_wake(node: &Node, now: u64) -> u64 {
    let Some(running) = &node.running else { return node.restart_at.unwrap_or(u64::MAX) };
    let timer = running.replica.next_wake().saturating_sub(running.clock_offset);
    let written = running.pending.front().map_or(u64::MAX, |pending| pending.due);
    let due = timer.min(written);
    if running.frozen_until > now { due.max(running.frozen_until) } else { due }
}

/// The replica of a node, unless its process is down or frozen.
pub fn awake(node: &mut Node, now: u64) -> Option<&mut Running> {
    node.running.as_mut().filter(|running| running.frozen_until <= now)
}
