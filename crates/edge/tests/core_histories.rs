//! Random histories of an edge with three stores: leaders change, connections break, messages lie on their way for long,
//! entries survive or not. Whatever happens, a promise is kept, a message that was refused never runs, none is delivered that
//! may run elsewhere, and a success is told until it is recorded.

mod core_support;

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use core_support::{Play, accepted, granted, group, store};
use rand::{Rng as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;
use ruddervalve_edge::core::{EdgeOutput, JobNumber};
use ruddervalve_edge::front::StatusCode;
use ruddervalve_edge::runner::{DeliveryResult, NotRunReason, RunnerAnswer, UnclearReason};
use ruddervalve_protocol::{
    AppendOutcome, DeliveryOutcome, EdgeToStore, Grant, GroupId, InventoryItem, LeaseId, MessageId,
    NewMessage, StoreToEdge,
};

const STORES: u64 = 3;
const SHARDS: u64 = 3;
const HISTORIES: u64 = 200;
const STEPS: usize = 400;
/// Longer than an edge waits for anything.
const SETTLED_MS: u64 = 6_000;

/// An entry that is proposed and not committed.
#[derive(Debug)]
struct Proposed {
    request: u64,
    wants_lease: bool,
    message: NewMessage,
}

/// A shard as its group of stores sees it.
#[derive(Debug, Default)]
struct Shard {
    leader: u64,
    term: u64,
    leases: u64,
    proposed: VecDeque<Proposed>,
    kept: BTreeMap<String, NewMessage>,
    /// Ended by a success, here or elsewhere.
    done: BTreeSet<String>,
    /// What the leader knows this edge to hold.
    held: BTreeMap<LeaseId, String>,
    /// Whether the edge has said on this connection that it follows this leader.
    is_followed: bool,
    /// Whether the leader knows what the edge holds on this connection.
    has_stock: bool,
}

/// The connection to a store, with what is on its way.
#[derive(Debug, Default)]
struct Link {
    is_up: bool,
    to_store: VecDeque<EdgeToStore>,
    to_edge: VecDeque<StoreToEdge>,
}

struct World {
    play: Play,
    random: ChaCha8Rng,
    shards: BTreeMap<u64, Shard>,
    links: BTreeMap<u64, Link>,
    sent: u64,
    /// By the client's number.
    unanswered: BTreeMap<u64, String>,
    /// Told that they will never run.
    refused: BTreeSet<String>,
    running: BTreeMap<u64, String>,
    succeeded_here: BTreeSet<String>,
}

fn result(answer: RunnerAnswer) -> DeliveryResult {
    DeliveryResult { answer, load: None, new_connection: false, elapsed_ms: 1 }
}

impl World {
    fn new(seed: u64) -> Self {
        let mut play = Play::new();
        play.learn();
        let shard = |number| Shard { leader: number, term: 1, ..Shard::default() };
        let mut world = Self {
            play,
            random: ChaCha8Rng::seed_from_u64(seed),
            shards: (1..=SHARDS).map(|number| (number, shard(number))).collect(),
            links: (1..=STORES).map(|number| (number, Link::default())).collect(),
            sent: 0,
            unanswered: BTreeMap::new(),
            refused: BTreeSet::new(),
            running: BTreeMap::new(),
            succeeded_here: BTreeSet::new(),
        };
        (1..=STORES).for_each(|number| world.connect(number));
        world
    }

    fn step(&mut self) {
        let (store, shard) = (self.random.random_range(1..=STORES), self.random.random_range(1..=SHARDS));
        match self.random.random_range(0..40) {
            0..6 => self.send_message(),
            6..14 => self.store_reads(store),
            14..20 => self.commit(shard),
            20..28 => self.edge_reads(store),
            28..31 => self.grant(shard),
            31..34 => self.end_delivery(),
            34..37 => self.pass(),
            37 => self.change_leader(shard, store),
            38 => self.disconnect(store),
            _ => self.connect(store),
        }
        self.take_outputs();
    }

    // Clients and runners.

    fn send_message(&mut self) {
        self.sent += 1;
        let id = format!("m{}", self.sent);
        let key = self.random.random_bool(0.3).then_some("key");
        let path = if key.is_some() { "/k/1" } else { "/p/1" };
        let client = self.play.post(path, &id, key);
        self.unanswered.insert(client.0, id);
    }

    fn end_delivery(&mut self) {
        let count = self.running.len();
        if count == 0 {
            return;
        }
        let job = *self.running.keys().nth(self.random.random_range(0..count)).expect("counted");
        let answer = match self.random.random_range(0..3) {
            0 => RunnerAnswer::NotRun { reason: NotRunReason::Full503, retry_after_ms: None },
            1 => RunnerAnswer::Unclear { reason: UnclearReason::Reset },
            _ => RunnerAnswer::Succeeded { signature: "s".to_owned() },
        };
        self.answer(job, answer);
    }

    fn answer(&mut self, job: u64, answer: RunnerAnswer) {
        let id = self.running.remove(&job).expect("it runs");
        if matches!(answer, RunnerAnswer::Succeeded { .. }) {
            self.succeeded_here.insert(id);
        }
        self.play.core.delivered(self.play.now, JobNumber(job), &result(answer));
    }

    fn pass(&mut self) {
        let by_ms = self.random.random_range(1..120);
        self.play.pass(by_ms);
    }

    // What the edge wants done: here the rules are checked.

    fn take_outputs(&mut self) {
        for output in self.play.outputs() {
            match output {
                EdgeOutput::Respond(client, response) => self.check_answer(client.0, response.status),
                EdgeOutput::Deliver(order) => self.check_delivery(order.job.0, order.delivery.request_id),
                EdgeOutput::Send(to, message) => {
                    let link = self.links.get_mut(&to.0).expect("a store");
                    if link.is_up {
                        link.to_store.push_back(message);
                    }
                }
                EdgeOutput::CallBack(..) => {}
            }
        }
    }

    fn check_answer(&mut self, client: u64, status: StatusCode) {
        let id = self.unanswered.remove(&client).expect("answered once");
        let places = self.shards.values().filter(|shard| shard.kept.contains_key(&id)).count();
        assert!(places <= 1, "{id} is in {places} shards");
        match status {
            StatusCode::ACCEPTED => assert_eq!(places, 1, "{id} was promised and is not kept"),
            StatusCode::SERVICE_UNAVAILABLE => {
                let proposed = |shard: &Shard| shard.proposed.iter().any(|entry| entry.message.id.0 == id);
                assert_eq!(places, 0, "{id} was refused and is kept");
                assert!(!self.shards.values().any(proposed), "{id} was refused and may be kept");
                self.refused.insert(id);
            }
            other => assert_eq!(other, StatusCode::GATEWAY_TIMEOUT),
        }
    }

    fn check_delivery(&mut self, job: u64, id: String) {
        let is_done = self.shards.values().any(|shard| shard.done.contains(&id));
        assert!(!is_done, "{id} begins here though it was free and ran elsewhere");
        assert!(!self.running.values().any(|running| *running == id), "{id} runs twice at once");
        self.running.insert(job, id);
    }

    // Stores.

    fn tell(&mut self, to_edge_of: u64, message: StoreToEdge) {
        let link = self.links.get_mut(&to_edge_of).expect("a store");
        if link.is_up {
            link.to_edge.push_back(message);
        }
    }

    fn tell_leading(&mut self, number: u64) {
        let led = self.shards.iter().filter(|(_, shard)| shard.leader == number);
        let groups = led.map(|(shard, state)| (group(*shard), state.term)).collect();
        self.tell(number, StoreToEdge::Leading { groups });
    }

    fn connect(&mut self, number: u64) {
        let link = self.links.get_mut(&number).expect("a store");
        if link.is_up {
            return;
        }
        link.is_up = true;
        self.play.core.store_up(self.play.now, store(number));
        let led = self.shards.values_mut().filter(|shard| shard.leader == number);
        led.for_each(Shard::forget_stock);
        self.tell_leading(number);
    }

    fn disconnect(&mut self, number: u64) {
        if std::mem::take(self.links.get_mut(&number).expect("a store")).is_up {
            self.play.core.store_down(self.play.now, store(number));
        }
    }

    fn edge_reads(&mut self, number: u64) {
        let message = self.links.get_mut(&number).and_then(|link| link.to_edge.pop_front());
        if let Some(message) = message {
            self.play.says(number, message);
        }
    }

    fn store_reads(&mut self, number: u64) {
        let Some(message) = self.links.get_mut(&number).and_then(|link| link.to_store.pop_front()) else {
            return;
        };
        match message {
            EdgeToStore::Append { request, group, lease_here, message } => {
                self.append(number, group, Proposed { request, wants_lease: lease_here, message });
            }
            EdgeToStore::Outcome { group, id, lease, outcome } => {
                self.outcome(number, group, id, lease, outcome)
            }
            EdgeToStore::Follows { group, term } => {
                if let Some(shard) = self.led(number, group) {
                    shard.is_followed |= shard.term == term;
                }
            }
            EdgeToStore::Inventory { group, items } => self.inventory(number, group, items),
            _ => {}
        }
    }

    fn led(&mut self, number: u64, group: GroupId) -> Option<&mut Shard> {
        self.shards.get_mut(&u64::from(group.0)).filter(|shard| shard.leader == number)
    }

    fn append(&mut self, number: u64, group: GroupId, entry: Proposed) {
        let request = entry.request;
        let outcome = match self.led(number, group) {
            Some(shard) if shard.kept.contains_key(&entry.message.id.0) => accepted(None),
            Some(shard) => return shard.proposed.push_back(entry),
            None => AppendOutcome::Refused { retry_after_ms: 0 },
        };
        self.tell(number, StoreToEdge::Appended { request, outcome });
    }

    fn keep(&mut self, number: u64, message: NewMessage) {
        let id = message.id.0.clone();
        assert!(!self.refused.contains(&id), "{id} was refused and is kept after all");
        self.shards.get_mut(&number).expect("a shard").kept.entry(id).or_insert(message);
    }

    fn commit(&mut self, number: u64) {
        let shard = self.shards.get_mut(&number).expect("a shard");
        let (leader, Some(entry)) = (shard.leader, shard.proposed.pop_front()) else { return };
        let is_free = shard.is_free(&entry.message.id.0);
        let lease = (entry.wants_lease && is_free).then(|| shard.lease(&entry.message.id.0)).flatten();
        self.keep(number, entry.message);
        self.tell(leader, StoreToEdge::Appended { request: entry.request, outcome: accepted(lease) });
    }

    fn grant(&mut self, number: u64) {
        let shard = self.shards.get_mut(&number).expect("a shard");
        let free = shard.kept.iter().find(|(id, _)| shard.is_free(id)).map(|(_, message)| message.clone());
        let Some(message) = free else { return };
        let (leader, Some(lease)) = (shard.leader, shard.lease(&message.id.0)) else { return };
        let grant = Box::new(Grant { lease: granted(lease), message });
        self.tell(leader, StoreToEdge::Deliver { group: group(number), grant });
    }

    fn outcome(
        &mut self,
        number: u64,
        group: GroupId,
        id: MessageId,
        lease: LeaseId,
        outcome: DeliveryOutcome,
    ) {
        let Some(shard) = self.led(number, group) else { return };
        shard.held.remove(&lease);
        if matches!(outcome, DeliveryOutcome::Succeeded { .. }) {
            shard.done.insert(id.0.clone());
        }
        self.tell(number, StoreToEdge::OutcomeRecorded { group, id, lease });
    }

    /// The first stock on a connection: what is not named is free, and another edge may have it at once.
    fn inventory(&mut self, number: u64, group: GroupId, items: Vec<InventoryItem>) {
        let runs_elsewhere = self.random.random_bool(0.5);
        let running: BTreeSet<String> = self.running.values().cloned().collect();
        let Some(shard) = self.led(number, group).filter(|shard| shard.is_followed) else { return };
        if std::mem::replace(&mut shard.has_stock, true) {
            return;
        }
        shard.held.clear();
        for item in items {
            if let Some(lease) = item.lease.filter(|_| !shard.done.contains(&item.id.0)) {
                shard.held.insert(lease, item.id.0);
            }
        }
        let free: BTreeSet<String> = shard.kept.keys().filter(|id| shard.is_free(id)).cloned().collect();
        let both: Vec<&String> = free.intersection(&running).collect();
        assert!(both.is_empty(), "free though they run here: {both:?}");
        if runs_elsewhere {
            shard.done.extend(free);
        }
    }

    /// Another store leads: proposals survive or not, and the old leader tells so.
    fn change_leader(&mut self, number: u64, to: u64) {
        let shard = self.shards.get_mut(&number).expect("a shard");
        let from = std::mem::replace(&mut shard.leader, to);
        shard.term += 1;
        shard.leases = 0;
        shard.held.clear();
        shard.forget_stock();
        for entry in std::mem::take(&mut shard.proposed) {
            if self.random.random_bool(0.5) {
                self.keep(number, entry.message);
            }
            let unknown = StoreToEdge::Appended { request: entry.request, outcome: AppendOutcome::Unknown };
            self.tell(from, unknown);
        }
        self.tell_leading(from);
        self.tell_leading(to);
    }

    fn is_settled(&self) -> bool {
        let is_quiet = |link: &Link| link.to_store.is_empty() && link.to_edge.is_empty();
        let is_done = |shard: &Shard| shard.proposed.is_empty();
        self.unanswered.is_empty()
            && self.play.core.is_idle()
            && self.links.values().all(is_quiet)
            && self.shards.values().all(is_done)
    }

    /// All is well again: everybody is answered, and what succeeded is recorded.
    fn settle(&mut self) {
        (1..=STORES).for_each(|number| self.connect(number));
        self.take_outputs();
        for _ in 0..SETTLED_MS {
            for number in 1..=STORES {
                self.store_reads(number);
                self.commit(number);
                self.edge_reads(number);
            }
            let running: Vec<u64> = self.running.keys().copied().collect();
            for job in running {
                self.answer(job, RunnerAnswer::Succeeded { signature: "s".to_owned() });
            }
            self.play.pass(1);
            self.take_outputs();
            if self.is_settled() {
                break;
            }
        }
        assert_eq!(self.unanswered, BTreeMap::new());
        for id in &self.succeeded_here {
            assert!(self.shards.values().any(|shard| shard.done.contains(id)), "the success of {id} is lost");
        }
        let held: Vec<&String> = self.shards.values().flat_map(|shard| shard.held.values()).collect();
        assert!(held.is_empty(), "held by an edge that knows nothing of it: {held:?}");
        assert!(self.play.core.is_idle());
    }
}

impl Shard {
    /// The edge has another connection, or another leader to follow.
    fn forget_stock(&mut self) {
        self.is_followed = false;
        self.has_stock = false;
    }

    fn is_free(&self, id: &str) -> bool {
        !self.done.contains(id) && !self.held.values().any(|held| held == id)
    }

    /// A lease for this edge, if the leader knows what it holds.
    fn lease(&mut self, id: &str) -> Option<LeaseId> {
        if !self.has_stock {
            return None;
        }
        self.leases += 1;
        let lease = LeaseId { term: self.term, number: self.leases };
        self.held.insert(lease, id.to_owned());
        Some(lease)
    }
}

#[test]
fn no_history_breaks_a_promise_or_runs_what_is_free() {
    let mut answered = 0;
    for seed in 0..HISTORIES {
        let mut world = World::new(seed);
        (0..STEPS).for_each(|_| world.step());
        world.settle();
        answered += world.sent;
    }
    assert!(answered > HISTORIES * 10, "the histories do little: {answered} messages");
}
