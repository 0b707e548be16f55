//! Owns what is known of Gearman workers, free of I/O: which connections make up which worker, what each can do, which of
//! them are free, and what of that the decisions are told. It must never choose a worker (the decisions do) nor give a
//! connection more than one job at a time.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::rc::Rc;

use bytes::Bytes;
use ruddervalve::{Availability, LoadReport, Machine};
use ruddervalve_broker::Pool;

use crate::codec::Kind;

/// A connection's number; later ones have higher numbers.
pub type ConnId = u64;
/// A claim: the broker's number of its job, and which of the job's claims it is.
pub type ClaimId = (u64, usize);

/// A worker that was given up and speaks again is trusted so long after it was given up, and twice as long for each time
/// in a row that it was, so many times at most.
const TRUST_MS: f64 = 1_000.0;
const TRUST_DOUBLINGS: u32 = 6;

/// A claim that waits for its connection to grab it.
#[derive(Debug, Clone)]
pub struct Waiting {
    /// The claim.
    pub claim: ClaimId,
    /// The job, by its number here.
    pub job: u64,
    /// Its function.
    pub function: Bytes,
    /// When the claim's time is over.
    pub until_ms: f64,
    /// When it must have been grabbed.
    pub grab_by_ms: f64,
}

/// A job assigned to a connection.
#[derive(Debug, Clone)]
pub struct Running {
    /// The claim; none once it has ended though the worker has not said so.
    pub claim: Option<ClaimId>,
    /// The job.
    pub job: u64,
    /// Its handle, by which the worker speaks of it.
    pub handle: Bytes,
    /// When the claim is given up.
    pub until_ms: f64,
    /// What the worker said went wrong.
    pub exception: Option<Bytes>,
}

/// A connection in its part as a worker's.
#[derive(Debug, Default)]
pub struct Hand {
    /// What it can do, and how long a job of it may take there.
    pub abilities: BTreeMap<Bytes, Option<f64>>,
    /// The pool of its functions.
    pub pool: Option<Pool>,
    /// It has said that it wants work, and got none since.
    pub idle: bool,
    /// It sleeps until it is sent a NOOP.
    pub asleep: bool,
    /// A grab that has not been answered.
    pub grab: Option<Kind>,
    /// A claim made for it.
    pub claim: Option<Waiting>,
    /// The job it has.
    pub running: Option<Running>,
    /// The decisions were told that it is free.
    told: bool,
    /// When its job, or a claim that it did not grab, was given up, if it has not spoken since.
    given_up_ms: Option<f64>,
}

impl Hand {
    /// Whether a claim can be made for it.
    pub fn free(&self) -> bool {
        self.idle && self.claim.is_none() && self.running.is_none()
    }

    /// Whether it will ask for work, as far as is known: one that was given up is away until it speaks.
    fn alive(&self) -> bool {
        self.idle || self.given_up_ms.is_none()
    }

    /// Whether it will do a job of a function, as far as is known.
    fn will_do(&self, function: &[u8]) -> bool {
        self.alive() && self.abilities.contains_key(function)
    }

    /// How soon a claim would be grabbed; the lower, the sooner.
    fn distance(&self) -> u8 {
        if self.grab.is_some() { 0 } else { u8::from(!self.asleep) + 1 }
    }
}

/// A worker: all connections of one client id, or a connection that gave none.
#[derive(Debug, Default)]
struct Worker {
    hands: BTreeSet<ConnId>,
    /// Operators want it to get nothing new.
    drained: bool,
    /// The decisions know it, with these abilities.
    listed: Option<(Availability, Vec<String>, f64)>,
    /// What the decisions believe of its free slots may be wrong.
    doubtful: bool,
    /// How often in a row it was given up, and when it last counted as started anew.
    given_up: u32,
    started_ms: f64,
    /// Claims that wait for one of its connections to become free, as the design has jobs stay on a busy worker.
    queue: VecDeque<Waiting>,
}

/// All workers.
#[derive(Debug, Default)]
pub struct Workers {
    workers: BTreeMap<(Pool, Rc<str>), Worker>,
    /// Where a connection stands.
    place: BTreeMap<ConnId, (Pool, Rc<str>)>,
    hands: BTreeMap<ConnId, Hand>,
    /// Workers that operators drained, also while they are away.
    drained: BTreeSet<Rc<str>>,
    /// Claims whose worker has gone.
    stranded: Vec<Waiting>,
}

/// What the decisions are to be told.
#[derive(Debug, Clone, PartialEq)]
pub enum News {
    /// A worker came, changed or went.
    Node(Pool, Machine),
    /// A worker's free slots.
    Load(Pool, Rc<str>, LoadReport),
}

impl Workers {
    /// A connection's part as a worker's, if it has one.
    pub fn hand(&mut self, conn: ConnId) -> Option<&mut Hand> {
        self.hands.get_mut(&conn)
    }

    /// The same to look at.
    pub fn look(&self, conn: ConnId) -> Option<&Hand> {
        self.hands.get(&conn)
    }

    /// The worker that a connection belongs to.
    pub fn worker_of(&self, conn: ConnId) -> Option<&(Pool, Rc<str>)> {
        self.place.get(&conn)
    }

    /// The connection can do a function of a pool. False if it serves another pool.
    pub fn can_do(
        &mut self,
        conn: ConnId,
        name: &Rc<str>,
        pool: Pool,
        function: Bytes,
        most_ms: Option<f64>,
    ) -> bool {
        let hand = self.hands.entry(conn).or_default();
        if hand.pool.is_some_and(|known| known != pool) {
            return false;
        }
        hand.pool = Some(pool);
        hand.abilities.insert(function, most_ms);
        self.join(conn, pool, name);
        true
    }

    fn join(&mut self, conn: ConnId, pool: Pool, name: &Rc<str>) {
        let place = (pool, name.clone());
        let worker = self.workers.entry(place.clone()).or_default();
        worker.drained |= self.drained.contains(name);
        worker.hands.insert(conn);
        self.place.insert(conn, place);
    }

    /// The connection goes by another name from now on. What it had goes with it.
    pub fn rename(&mut self, conn: ConnId, name: &Rc<str>, news: &mut Vec<News>) {
        let Some((pool, old)) = self.place.get(&conn).cloned() else { return };
        if old != *name {
            self.leave(conn, news);
            self.join(conn, pool, name);
            self.tell(conn, news);
        }
    }

    /// The connection can no longer do a function. With none left it may serve another pool.
    pub fn cant_do(&mut self, conn: ConnId, function: Option<&[u8]>, news: &mut Vec<News>) {
        let Some(hand) = self.hands.get_mut(&conn) else { return };
        match function {
            Some(function) => drop(hand.abilities.remove(function)),
            None => hand.abilities.clear(),
        }
        if hand.abilities.is_empty() {
            hand.pool = None;
            self.leave(conn, news);
        } else {
            self.tell(conn, news);
        }
    }

    /// The connection wants work: from now on its worker counts.
    pub fn wants(&mut self, conn: ConnId, news: &mut Vec<News>) {
        let Some(hand) = self.hands.get_mut(&conn) else { return };
        hand.idle = true;
        let fresh = hand.free() && !hand.told;
        // Told on every grab, what its connections can do would be gathered each time: to one that is listed as ready this
        // changes nothing.
        let worker = self.place.get(&conn).and_then(|place| self.workers.get(place));
        let ready =
            |worker: &Worker| worker.listed.as_ref().is_some_and(|told| told.0 == Availability::Ready);
        if !worker.is_some_and(ready) {
            self.tell(conn, news);
        }
        let doubtful =
            self.place.get(&conn).and_then(|place| self.workers.get(place)).is_some_and(|it| it.doubtful);
        if (fresh || doubtful)
            && let Some((pool, name)) = self.place.get(&conn).cloned()
        {
            let load = self.load(conn);
            news.push(News::Load(pool, name, load));
        }
    }

    /// The free slots of a connection's worker, which the decisions are told thereby.
    pub fn load(&mut self, conn: ConnId) -> LoadReport {
        let Some(worker) = self.place.get(&conn).and_then(|place| self.workers.get_mut(place)) else {
            return LoadReport::default();
        };
        worker.doubtful = false;
        let mut free = 0;
        for hand in &worker.hands {
            if let Some(hand) = self.hands.get_mut(hand)
                && hand.free()
            {
                hand.told = true;
                free += 1;
            }
        }
        LoadReport { free_slots: Some(f64::from(free)), queued: Some(0.0) }
    }

    /// What the decisions believe of a worker's free slots was wrong, or was taken for wrong.
    pub fn doubt(&mut self, pool: Pool, name: &str) {
        if let Some(worker) = self.workers.get_mut(&(pool, name.into())) {
            worker.doubtful = true;
        }
    }

    /// Where a claim for a worker goes: of its free connections that can do the function the one that grabs soonest.
    pub fn place_for(&self, pool: Pool, name: &str, function: &[u8]) -> Option<ConnId> {
        let worker = self.workers.get(&(pool, name.into())).filter(|worker| !worker.drained)?;
        let hands = worker.hands.iter().filter_map(|conn| Some((*conn, self.hands.get(conn)?)));
        let able = hands.filter(|(_, hand)| hand.free() && hand.abilities.contains_key(function));
        able.min_by_key(|(_, hand)| hand.distance()).map(|(conn, _)| conn)
    }

    /// Claims the connection.
    pub fn claim(&mut self, conn: ConnId, claim: Waiting) {
        if let Some(hand) = self.hands.get_mut(&conn) {
            (hand.claim, hand.told) = (Some(claim), false);
        }
    }

    /// Takes the connection's claim off it, if that is the one.
    pub fn unclaim(&mut self, conn: ConnId, claim: ClaimId) -> Option<Waiting> {
        let hand = self.hands.get_mut(&conn)?;
        hand.claim.take_if(|waiting| waiting.claim == claim)
    }

    /// Has a claim wait until a connection of the worker is free. False where none of them can do the function.
    pub fn queue(&mut self, pool: Pool, name: &str, claim: Waiting) -> bool {
        let Some(worker) = self.workers.get_mut(&(pool, name.into())).filter(|worker| !worker.drained) else {
            return false;
        };
        let able = |conn: &ConnId| self.hands.get(conn).is_some_and(|hand| hand.will_do(&claim.function));
        let any = worker.hands.iter().any(able);
        if any {
            worker.queue.push_back(claim);
        }
        any
    }

    /// The claim that a connection which has become free takes over from those that wait for its worker.
    pub fn next_in_queue(&mut self, conn: ConnId) -> Option<Waiting> {
        let hand = self.hands.get(&conn).filter(|hand| hand.free())?;
        let queue = &mut self.workers.get_mut(self.place.get(&conn)?)?.queue;
        let first = queue.iter().position(|claim| hand.abilities.contains_key(&claim.function))?;
        queue.remove(first)
    }

    /// Takes a claim out of those that wait for a worker.
    pub fn unqueue(&mut self, pool: Pool, name: &Rc<str>, claim: ClaimId) -> Option<Waiting> {
        let queue = &mut self.workers.get_mut(&(pool, name.clone()))?.queue;
        let place = queue.iter().position(|waiting| waiting.claim == claim)?;
        queue.remove(place)
    }

    /// The claims that wait for workers that will not take them: the worker is drained, or can no longer do the function.
    pub fn stranded(&mut self) -> Vec<Waiting> {
        let mut stranded = std::mem::take(&mut self.stranded);
        for worker in self.workers.values_mut().filter(|worker| !worker.queue.is_empty()) {
            let able = |claim: &Waiting| {
                let can = |conn| self.hands.get(conn).is_some_and(|hand| hand.will_do(&claim.function));
                !worker.drained && worker.hands.iter().any(can)
            };
            let (stay, go) = std::mem::take(&mut worker.queue).into_iter().partition(able);
            worker.queue = stay;
            stranded.extend::<VecDeque<_>>(go);
        }
        stranded
    }

    /// The claim is grabbed: the job is the connection's from now on.
    pub fn assign(&mut self, conn: ConnId, running: Running) {
        if let Some(hand) = self.hands.get_mut(&conn) {
            (hand.claim, hand.running, hand.idle) = (None, Some(running), false);
        }
    }

    /// The connection's job has ended: it is free, as it will ask for the next one.
    pub fn done(&mut self, conn: ConnId) -> Option<Running> {
        let hand = self.hands.get_mut(&conn)?;
        hand.idle = true;
        hand.running.take()
    }

    /// The connection has closed.
    pub fn closed(&mut self, conn: ConnId, news: &mut Vec<News>) -> Option<Hand> {
        self.leave(conn, news);
        self.hands.remove(&conn)
    }

    fn leave(&mut self, conn: ConnId, news: &mut Vec<News>) {
        let Some(place) = self.place.remove(&conn) else { return };
        let Some(worker) = self.workers.get_mut(&place) else { return };
        worker.hands.remove(&conn);
        if !worker.hands.is_empty() {
            return self.tell_worker(&place, news);
        }
        let Some(gone) = self.workers.remove(&place) else { return };
        self.stranded.extend(gone.queue);
        if gone.listed.is_some() {
            news.push(News::Node(place.0, machine(&place.1, Availability::Gone, Vec::new(), 0.0)));
        }
    }

    /// Tells of a connection's worker where something has changed.
    pub fn tell(&mut self, conn: ConnId, news: &mut Vec<News>) {
        if let Some(place) = self.place.get(&conn).cloned() {
            self.tell_worker(&place, news);
        }
    }

    /// Tells of a worker where something has changed; of one that never wanted work there is nothing to tell.
    fn tell_worker(&mut self, place: &(Pool, Rc<str>), news: &mut Vec<News>) {
        let Some(worker) = self.workers.get_mut(place) else { return };
        let hands = || worker.hands.iter().filter_map(|conn| self.hands.get(conn));
        if worker.listed.is_none() && !hands().any(|hand| hand.idle) {
            return;
        }
        let able: BTreeSet<&Bytes> = hands().flat_map(|hand| hand.abilities.keys()).collect();
        let able: Vec<String> =
            able.into_iter().map(|name| String::from_utf8_lossy(name).into_owned()).collect();
        let away = worker.drained || !hands().any(Hand::alive);
        let availability = if away { Availability::Draining } else { Availability::Ready };
        let listed = Some((availability, able.clone(), worker.started_ms));
        if worker.listed != listed {
            worker.listed = listed;
            news.push(News::Node(place.0, machine(&place.1, availability, able, worker.started_ms)));
        }
    }

    /// Operators drain a worker, in all pools and also when it comes back, or take it again. False if none is known by
    /// this name.
    pub fn drain(&mut self, name: &str, drained: bool, news: &mut Vec<News>) -> bool {
        let places: Vec<_> = self.workers.keys().filter(|(_, known)| &**known == name).cloned().collect();
        let known = match drained {
            true if places.is_empty() => false,
            true => {
                self.drained.insert(name.into());
                true
            }
            false => self.drained.remove(name),
        };
        for place in places {
            if let Some(worker) = self.workers.get_mut(&place) {
                worker.drained = drained;
            }
            self.tell_worker(&place, news);
        }
        known
    }

    /// A connection's job or claim was given up: the decisions withhold work from its worker, and where no job may be
    /// tried twice they would for ever.
    pub fn given_up(&mut self, conn: ConnId, now_ms: f64, news: &mut Vec<News>) {
        let Some(hand) = self.hands.get_mut(&conn) else { return };
        (hand.given_up_ms, hand.idle) = (Some(now_ms), false);
        if let Some(worker) = self.place.get(&conn).and_then(|place| self.workers.get_mut(place)) {
            worker.given_up += 1;
        }
        self.tell(conn, news);
    }

    /// The worker of a connection has ended a job in time.
    pub fn proved(&mut self, conn: ConnId) {
        if let Some(worker) = self.place.get(&conn).and_then(|place| self.workers.get_mut(place)) {
            worker.given_up = 0;
        }
    }

    /// A connection that was given up wants work again, which shows that it does not hang: its worker counts as started
    /// anew, at once or, where it is given up again and again, later each time. Then that time is returned.
    pub fn trust(&mut self, conn: ConnId, now_ms: f64, news: &mut Vec<News>) -> Option<f64> {
        let hand = self.hands.get_mut(&conn).filter(|hand| hand.idle)?;
        let since_ms = hand.given_up_ms?;
        let worker = self.workers.get_mut(self.place.get(&conn)?)?;
        let at_ms =
            since_ms + TRUST_MS * f64::from(1_u32 << worker.given_up.saturating_sub(1).min(TRUST_DOUBLINGS));
        if now_ms < at_ms {
            return Some(at_ms);
        }
        hand.given_up_ms = None;
        worker.started_ms = now_ms;
        self.tell(conn, news);
        None
    }

    /// The connections of a worker.
    pub fn hands_of(&self, name: &str) -> Vec<ConnId> {
        let named = self.workers.iter().filter(|((_, known), _)| &**known == name);
        named.flat_map(|(_, worker)| worker.hands.iter().copied()).collect()
    }

    /// All connections that are a worker's, with their parts.
    pub fn all(&self) -> impl Iterator<Item = (ConnId, &Hand)> {
        self.hands.iter().map(|(conn, hand)| (*conn, hand))
    }

    /// How many connections can do a function.
    pub fn able(&self, function: &[u8]) -> usize {
        self.hands.values().filter(|hand| hand.abilities.contains_key(function)).count()
    }

    /// How many workers there are.
    pub fn count(&self) -> usize {
        self.workers.len()
    }
}

fn machine(name: &str, availability: Availability, abilities: Vec<String>, started_ms: f64) -> Machine {
    Machine {
        name: name.to_owned(),
        availability,
        // A worker takes one job at a time on a connection, so that none is pushed over at its start: pools have no cold
        // nodes, and this tells only from when on it is to be believed in anew.
        started_ms,
        zone: None,
        kind: None,
        abilities,
        cell: None,
        weight: 1.0,
    }
}
