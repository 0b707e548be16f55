//! Bodies of which many are more than may wait on a connection.

mod cluster;

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use cluster::{CONFIGURATION, Cluster, GROUP, LIVENESS_MS, bytes_of, message, settings};
use ruddervalve_protocol::{
    ANSWER_WANTED_MS, DeliveryOutcome, EdgeToStore, Grant, InventoryItem, LeaseId, MessageId, ReplicaId,
    StoreToEdge,
};
use ruddervalve_runtime::link_settings;
use ruddervalve_store::EdgeNumber;

const LEADER: ReplicaId = ReplicaId(1);
/// The version of [`CONFIGURATION`].
const VERSION: u64 = 1;
/// The edge.
const EDGE: u64 = 7;
const MEMORY_MB: u32 = 32;
const BODY_BYTES: usize = 200_000;
/// Messages: some five times what may wait on a connection, and less than a store has room for.
const MESSAGES: usize = 50;
/// How long a runner works on a message.
const WORK_MS: u64 = 20;

/// An edge at the end of a connection that carries so many bytes in a millisecond, and ends when too much waits on it.
struct SlowEdge {
    cluster: Cluster,
    number: EdgeNumber,
    bytes_per_ms: usize,
    max_queued_bytes: usize,
    /// What waits on the connection, each with its bytes.
    waiting: VecDeque<(usize, StoreToEdge)>,
    waiting_bytes: usize,
    most_waiting_bytes: usize,
    /// Bytes of the first that has come.
    came_bytes: usize,
    /// Messages at runners: when each is done, and its lease.
    running: BTreeMap<MessageId, (u64, LeaseId)>,
    done: BTreeSet<MessageId>,
    bodies: BTreeSet<u64>,
    overflows: usize,
}

impl SlowEdge {
    /// A shard that is led and has accepted all messages, and an edge that has told that it holds nothing.
    fn new(bytes_per_ms: usize) -> Self {
        let mut cluster = Cluster::with_memory(["s1", "s2", "s3"], MEMORY_MB);
        assert!(cluster.run_until(3 * LIVENESS_MS, |cluster| cluster.leader() == Some(LEADER)));
        cluster.run(LIVENESS_MS);
        cluster.configure(LEADER, VERSION, CONFIGURATION);
        let number = cluster.edge(LEADER, EDGE);
        cluster.takes_stock(LEADER, number);
        cluster.run(2 * LIVENESS_MS);
        for place in 0..MESSAGES {
            let message = message(&format!("m{place:02}"), BODY_BYTES);
            let append =
                EdgeToStore::Append { request: place as u64, group: GROUP, lease_here: false, message };
            cluster.edge_says(LEADER, number, append);
            cluster.settle();
        }
        cluster.told(LEADER);
        let max_queued_bytes = link_settings(&settings("s1", MEMORY_MB)).max_queued_bytes;
        Self {
            cluster,
            number,
            bytes_per_ms,
            max_queued_bytes,
            waiting: VecDeque::new(),
            waiting_bytes: 0,
            most_waiting_bytes: 0,
            came_bytes: 0,
            running: BTreeMap::new(),
            done: BTreeSet::new(),
            bodies: BTreeSet::new(),
            overflows: 0,
        }
    }

    fn says(&mut self, message: EdgeToStore) {
        self.cluster.edge_says(LEADER, self.number, message);
    }

    /// It can start all messages at once.
    fn offers(&mut self) {
        self.says(EdgeToStore::Credits { services: vec![("s".to_owned(), MESSAGES as u32)] });
    }

    fn asks_for_bodies(&mut self, count: usize) {
        for place in 0..count {
            let id = MessageId(format!("m{place:02}"));
            self.says(EdgeToStore::Status { request: 1_000 + place as u64, group: GROUP, id, body: true });
        }
    }

    fn run(&mut self, milliseconds: u64) {
        for _ in 0..milliseconds {
            self.cluster.now += 1;
            self.reports();
            self.reads();
            let unsent = BTreeMap::from([(self.number, self.waiting_bytes)]);
            self.cluster.member(LEADER).unsent = unsent;
            self.cluster.settle();
            self.is_sent();
        }
    }

    fn run_until(&mut self, milliseconds: u64, holds: impl Fn(&Self) -> bool) -> bool {
        (0..milliseconds).any(|_| {
            self.run(1);
            holds(self)
        })
    }

    /// Runners are done.
    fn reports(&mut self) {
        let now = self.cluster.now;
        if now.is_multiple_of(LIVENESS_MS / 10) {
            self.says(EdgeToStore::Heartbeat);
        }
        let (ended, running): (BTreeMap<_, _>, BTreeMap<_, _>) =
            std::mem::take(&mut self.running).into_iter().partition(|(_, (at, _))| *at <= now);
        self.running = running;
        for (id, (_, lease)) in ended {
            let outcome = DeliveryOutcome::Succeeded { signature: "s".to_owned() };
            self.done.insert(id.clone());
            self.says(EdgeToStore::Outcome { group: GROUP, id, lease, outcome });
        }
    }

    /// What the store has sent is queued, and the connection ends when too much is.
    fn is_sent(&mut self) {
        for (number, message) in std::mem::take(&mut self.cluster.member(LEADER).to_edges) {
            if number != self.number {
                continue;
            }
            if self.waiting_bytes > self.max_queued_bytes {
                return self.overflows();
            }
            let bytes = bytes_of(&message);
            self.waiting_bytes += bytes;
            self.most_waiting_bytes = self.most_waiting_bytes.max(self.waiting_bytes);
            self.waiting.push_back((bytes, message));
        }
    }

    /// The connection ends and the edge opens the next one: all that waited is lost, and it says what it holds.
    fn overflows(&mut self) {
        self.overflows += 1;
        self.waiting.clear();
        (self.waiting_bytes, self.came_bytes) = (0, 0);
        let now = self.cluster.now;
        let ended = self.number;
        self.cluster.member(LEADER).core.edge_ended(now, ended);
        self.number = self.cluster.edge(LEADER, EDGE);
        let term = self.cluster.member(LEADER).core.shards()[&GROUP].office().unwrap();
        self.says(EdgeToStore::Follows { group: GROUP, term });
        let held = self.running.iter();
        let items =
            held.map(|(id, (_, lease))| InventoryItem { id: id.clone(), lease: Some(*lease) }).collect();
        self.says(EdgeToStore::Inventory { group: GROUP, items });
        self.offers();
    }

    fn reads(&mut self) {
        self.came_bytes += self.bytes_per_ms.min(self.waiting_bytes);
        while let Some((bytes, _)) = self.waiting.front()
            && self.came_bytes >= *bytes
        {
            let Some((bytes, message)) = self.waiting.pop_front() else { return };
            self.came_bytes -= bytes;
            self.waiting_bytes -= bytes;
            self.takes(message);
        }
        if self.waiting.is_empty() {
            self.came_bytes = 0;
        }
    }

    fn takes(&mut self, message: StoreToEdge) {
        match message {
            StoreToEdge::Deliver { grant, .. } => {
                let Grant { lease, message } = *grant;
                let done_at = self.cluster.now + WORK_MS;
                self.running.insert(message.id, (done_at, lease.id));
            }
            StoreToEdge::Status { request, body: Some(body), .. } => {
                assert_eq!(body.len(), BODY_BYTES);
                self.bodies.insert(request);
            }
            _ => {}
        }
    }
}

/// Guards against grants that overflow a connection, come free by the next inventory, and are all made again.
#[test]
fn messages_that_are_more_than_a_connection_takes_reach_the_edge_one_after_the_other() {
    let mut edge = SlowEdge::new(50_000);
    edge.offers();
    // All bytes at the rate of the connection, and as long again.
    let limit_ms = (2 * MESSAGES * BODY_BYTES / 50_000) as u64;
    let all_done = edge.run_until(limit_ms, |edge| edge.done.len() == MESSAGES);
    assert!(all_done, "{} done, {} connections ended", edge.done.len(), edge.overflows);
    assert_eq!(edge.overflows, 0);
    assert!(edge.most_waiting_bytes <= edge.max_queued_bytes, "{}", edge.most_waiting_bytes);
}

#[test]
fn an_edge_that_reads_nothing_for_a_while_gets_the_rest_when_it_reads_again() {
    let mut edge = SlowEdge::new(0);
    edge.offers();
    edge.run(LIVENESS_MS / 4);
    assert_eq!((edge.overflows, edge.done.len()), (0, 0));
    edge.bytes_per_ms = 50_000;
    let limit_ms = (2 * MESSAGES * BODY_BYTES / 50_000) as u64;
    assert!(edge.run_until(limit_ms, |edge| edge.done.len() == MESSAGES), "{} done", edge.done.len());
    assert_eq!(edge.overflows, 0);
}

/// Guards against answers that overflow the connection of the edge that asked for them.
#[test]
fn all_bodies_that_are_asked_for_at_once_come() {
    let mut edge = SlowEdge::new(50_000);
    edge.asks_for_bodies(MESSAGES);
    let limit_ms = (2 * MESSAGES * BODY_BYTES / 50_000) as u64;
    let all_came = edge.run_until(limit_ms, |edge| edge.bodies.len() == MESSAGES);
    assert!(all_came, "{} came, {} connections ended", edge.bodies.len(), edge.overflows);
    assert_eq!(edge.overflows, 0);
    assert!(edge.most_waiting_bytes <= edge.max_queued_bytes, "{}", edge.most_waiting_bytes);
}

#[test]
fn bodies_and_deliveries_share_what_a_connection_carries() {
    let mut edge = SlowEdge::new(50_000);
    edge.offers();
    edge.asks_for_bodies(MESSAGES);
    // Half of all bytes: neither waits for the other to end.
    edge.run((MESSAGES * BODY_BYTES / 50_000) as u64);
    let (delivered, answered) = (edge.done.len() + edge.running.len(), edge.bodies.len());
    assert!(delivered >= MESSAGES / 4, "{delivered} delivered, {answered} answered");
    assert!(answered >= MESSAGES / 4, "{delivered} delivered, {answered} answered");
    let limit_ms = (2 * MESSAGES * BODY_BYTES / 50_000) as u64;
    let all = |edge: &SlowEdge| edge.done.len() == MESSAGES && edge.bodies.len() == MESSAGES;
    assert!(edge.run_until(limit_ms, all), "{} done, {} answered", edge.done.len(), edge.bodies.len());
    assert_eq!(edge.overflows, 0);
}

#[test]
fn a_body_that_nobody_waits_for_any_more_is_not_sent() {
    let mut edge = SlowEdge::new(0);
    edge.asks_for_bodies(MESSAGES);
    edge.run(ANSWER_WANTED_MS);
    edge.bytes_per_ms = 50_000;
    edge.run((2 * MESSAGES * BODY_BYTES / 50_000) as u64);
    assert!(edge.bodies.len() < MESSAGES / 2, "{} came late", edge.bodies.len());
}
