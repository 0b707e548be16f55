//! Owns the Gearman protocol as a server speaks it, free of I/O and clocks: what each packet means, what each connection is
//! owed, how a claim reaches a worker's connection and what comes of it, and when a job comes back to the broker. It must
//! never choose a worker or decide on a repeat (the decisions do), give a waiting client a second answer, or assign a job
//! for which no claim stands. What it wants done outside leaves it as [`Effect`]s, in order.

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::rc::Rc;

use bytes::{Bytes, BytesMut};
use ruddervalve::{LoadReport, Machine, Outcome};
use ruddervalve_broker::{Answer, Counters, Pool};

use crate::codec::{Frame, Kind, Magic, Packet, put};
use crate::jobs::{Bounds, End, Full, Function, Job, Jobs, Priority};
use crate::workers::{ClaimId, ConnId, Hand, News, Running, Waiting, Workers};

/// The longest client id and unique id that are taken, in bytes.
const LONGEST_ID: usize = 256;
/// A background job that was refused comes back after this at the soonest.
const SOONEST_BACK_MS: f64 = 50.0;
/// What is at least so long is held as it was read.
const LARGE: usize = 8 << 10;

/// What the server wants done outside.
#[derive(Debug)]
pub enum Effect {
    /// Hand a job to the broker.
    Submit(u64),
    /// The job of the broker's number is not wanted any more.
    Leave(u64),
    /// The job of a claim has started.
    Started(ClaimId),
    /// It is so far done.
    Progress(ClaimId, f64),
    /// A part of its result went on to clients.
    Streams(ClaimId),
    /// A claim has ended.
    Ended(ClaimId, Outcome, Option<Bytes>, Option<LoadReport>),
    /// A worker came, changed or went.
    Node(Pool, Machine),
    /// A worker's free slots.
    Load(Pool, Rc<str>, LoadReport),
    /// Close a connection once what is owed on it is written; at once where that cannot be.
    Close(ConnId, bool),
    /// The program is to end.
    Shutdown,
}

/// What bounds the server.
#[derive(Debug, Clone)]
pub struct Limits {
    /// Bytes that may wait for a peer that does not read.
    pub unread: usize,
    /// Jobs that one connection may wait for.
    pub jobs_per_connection: usize,
    /// Jobs and results.
    pub bounds: Bounds,
    /// How long a worker may take to grab.
    pub grab_ms: f64,
    /// What a client is told to wait that is turned away before its job is taken.
    pub come_back_ms: f64,
    /// Whether the text command `shutdown` ends the program.
    pub shutdown: bool,
}

/// A claim as the broker orders it.
#[derive(Debug, Clone)]
pub struct Order {
    /// The claim.
    pub claim: ClaimId,
    /// The job, by its number here.
    pub job: u64,
    /// The pool of the worker.
    pub pool: Pool,
    /// The worker.
    pub worker: String,
    /// When the claim's time is over.
    pub until_ms: f64,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Timer {
    /// A claim has to be grabbed.
    Grab(ConnId),
    /// An assigned job's claim is given up.
    Run(ConnId),
    /// A claim that waits for a busy worker has waited for all its time.
    Queue(ClaimId),
    /// A worker that was given up may be trusted again.
    Trust(ConnId),
    /// A background job comes back to the broker.
    Back(u64),
}

/// Where a claim stands.
#[derive(Debug, Clone)]
enum Stands {
    /// With a connection that is to grab it, or has.
    At(ConnId),
    /// It waits for a connection of a worker to become free.
    Queued(Pool, Rc<str>, f64),
}

/// A connection.
struct Conn {
    peer: String,
    outbox: BytesMut,
    /// It has sent a frame.
    spoke: bool,
    /// It takes exceptions.
    exceptions: bool,
    /// Its name as a worker.
    name: Rc<str>,
    /// The jobs it waits for, and for how many submissions each.
    jobs: BTreeMap<u64, usize>,
    /// For how many in all.
    waits: usize,
    /// Nothing more is read or written.
    closing: bool,
}

impl Conn {
    fn waits_for(&mut self, job: u64) {
        *self.jobs.entry(job).or_default() += 1;
        self.waits += 1;
    }
}

/// Bytes to be held for long: a copy, as what was read with them would stay in memory as long; what is large is not read
/// with much else.
fn apart(bytes: Bytes) -> Bytes {
    if bytes.len() < LARGE { Bytes::copy_from_slice(&bytes) } else { bytes }
}

/// The server.
pub struct Server {
    limits: Limits,
    functions: BTreeMap<Bytes, Rc<Function>>,
    pub(crate) counters: Rc<Counters>,
    conns: HashMap<ConnId, Conn>,
    pub(crate) workers: Workers,
    pub(crate) jobs: Jobs,
    timers: BTreeSet<(u64, Timer)>,
    effects: VecDeque<Effect>,
    /// Connections with something to write.
    dirty: Vec<ConnId>,
    /// Connections whose grab is not answered.
    grabbing: Vec<ConnId>,
    /// What handles begin with.
    prefix: String,
    /// The program ends: what is refused does not come back.
    ending: bool,
    /// Where each claim that is out stands.
    claims: HashMap<ClaimId, Stands>,
}

fn micros(ms: f64) -> u64 {
    (ms.max(0.0) * 1e3).ceil() as u64
}

impl Server {
    /// A server of these functions; handles begin with `name`.
    pub fn new(name: &str, limits: Limits, functions: Vec<Function>, counters: Rc<Counters>) -> Self {
        let mut server = Self {
            limits,
            functions: BTreeMap::new(),
            counters,
            conns: HashMap::new(),
            workers: Workers::default(),
            jobs: Jobs::default(),
            timers: BTreeSet::new(),
            effects: VecDeque::new(),
            dirty: Vec::new(),
            grabbing: Vec::new(),
            prefix: format!("H:{name}:"),
            ending: false,
            claims: HashMap::new(),
        };
        server.take_functions(functions);
        server
    }

    fn take_functions(&mut self, functions: Vec<Function>) {
        self.functions = (functions.into_iter())
            .map(|function| {
                self.counters.show_class(&label(&function));
                (function.name.clone(), Rc::new(function))
            })
            .collect();
    }

    /// The counts of a function, kept over reloads.
    pub fn tally(&self, function: &[u8]) -> Option<Rc<crate::jobs::Tally>> {
        self.functions.get(function).map(|function| function.tally.clone())
    }

    /// Takes new limits and functions. Open jobs stay under what they came with; a function that is gone, or has gone to
    /// another pool, is nobody's ability any more.
    pub fn reconfigure(&mut self, limits: Limits, functions: Vec<Function>) {
        let old = std::mem::take(&mut self.functions);
        self.limits = limits;
        self.take_functions(functions);
        let stays =
            |old: &Rc<Function>| self.functions.get(&old.name).is_some_and(|new| new.pool == old.pool);
        let gone: Vec<Bytes> =
            old.values().filter(|function| !stays(function)).map(|function| function.name.clone()).collect();
        let conns: Vec<ConnId> = self.workers.all().map(|(conn, _)| conn).collect();
        for function in gone {
            conns.iter().for_each(|conn| self.cant_do(*conn, Some(&function)));
        }
    }

    /// The program ends: jobs that are refused from now on do not come back.
    pub fn end(&mut self) {
        self.ending = true;
        let waiting: Vec<u64> =
            self.jobs.all().filter(|job| job.broker.is_none()).map(|job| job.id).collect();
        let wait_ms = self.limits.come_back_ms;
        waiting.into_iter().for_each(|id| self.finish_refused(id, wait_ms));
    }

    /// What the server wants done next.
    pub fn next_effect(&mut self) -> Option<Effect> {
        self.effects.pop_front()
    }

    /// Connections that have something to write since the last call.
    pub fn take_dirty(&mut self) -> Vec<ConnId> {
        std::mem::take(&mut self.dirty)
    }

    /// What is to be written on a connection.
    pub fn outbox(&mut self, conn: ConnId) -> Option<&mut BytesMut> {
        self.conns.get_mut(&conn).map(|conn| &mut conn.outbox)
    }

    /// Whether a connection may be given up for another one: nothing came on it.
    pub fn silent(&self, conn: ConnId) -> bool {
        self.conns.get(&conn).is_none_or(|conn| !conn.spoke)
    }

    /// Whether a connection waits for nothing and works on nothing.
    pub fn idle(&self, conn: ConnId) -> bool {
        let free = |hand: &Hand| hand.running.is_none() && hand.claim.is_none();
        self.conns.get(&conn).is_none_or(|conn| conn.jobs.is_empty() && conn.outbox.is_empty())
            && self.workers.look(conn).is_none_or(free)
    }

    /// Whether it is a worker's.
    pub fn works(&self, conn: ConnId) -> bool {
        self.workers.look(conn).is_some()
    }

    /// When [`Server::tick`] is to be called next.
    pub fn next_wake_ms(&self) -> Option<f64> {
        let timer = self.timers.first().map(|(at, _)| *at as f64 / 1e3);
        timer.into_iter().chain(self.jobs.next_expiry_ms()).reduce(f64::min)
    }

    // Connections.

    /// A connection came up.
    pub fn opened(&mut self, conn: ConnId, peer: String) {
        let (name, outbox) = (format!("conn-{conn}").into(), BytesMut::new());
        let (spoke, exceptions, jobs, waits, closing) = (false, false, BTreeMap::new(), 0, false);
        self.conns.insert(conn, Conn { peer, outbox, spoke, exceptions, name, jobs, waits, closing });
    }

    /// A connection has ended.
    pub fn closed(&mut self, conn: ConnId) {
        let Some(gone) = self.conns.remove(&conn) else { return };
        for id in gone.jobs.into_keys() {
            self.left(conn, id);
        }
        let mut news = Vec::new();
        let hand = self.workers.closed(conn, &mut news);
        self.tell(news);
        self.let_stranded_go();
        let Some(hand) = hand else { return };
        self.clear(conn, &hand);
        if let Some(claim) = hand.claim {
            // Before anything of the job was written: it never ran.
            self.counters.count("gearman", "worker_gone_before_assign");
            self.ended(claim.claim, Outcome::Skipped, None, None);
        }
        if let Some(running) = hand.running {
            self.counters.count("gearman", "worker_gone_with_job");
            self.attempt_ended(running, Outcome::Reset, None, None);
        }
    }

    /// The client of a connection no longer waits for a job.
    fn left(&mut self, conn: ConnId, id: u64) {
        let Some(job) = self.jobs.get_mut(id) else { return };
        job.waiting.retain(|waiting| *waiting != conn);
        if !job.waiting.is_empty() || job.background {
            return;
        }
        self.counters.count("gearman", "last_client_left");
        // What runs cannot be called back; what has not started is of use to nobody.
        if !job.started {
            self.counters.count("gearman", "dropped_unstarted");
            self.timers.remove(&(micros(job.until_ms), Timer::Back(id)));
            let broker = job.broker;
            self.jobs.close(id);
            self.effects.extend(broker.map(Effect::Leave));
        }
    }

    /// Drops the timers of a connection's claim and job.
    fn clear(&mut self, conn: ConnId, hand: &Hand) {
        if let Some(claim) = &hand.claim {
            self.timers.remove(&(micros(claim.grab_by_ms), Timer::Grab(conn)));
        }
        if let Some(running) = &hand.running {
            self.timers.remove(&(micros(running.until_ms), Timer::Run(conn)));
        }
    }

    fn tell(&mut self, news: Vec<News>) {
        for news in news {
            self.effects.push_back(match news {
                News::Node(pool, machine) => Effect::Node(pool, machine),
                News::Load(pool, name, load) => Effect::Load(pool, name, load),
            });
        }
    }

    /// Has bytes wait for a connection.
    fn owe(&mut self, conn: ConnId, put: impl FnOnce(&mut BytesMut)) {
        let unread = self.limits.unread;
        let Some(to) = self.conns.get_mut(&conn).filter(|to| !to.closing) else { return };
        if to.outbox.is_empty() {
            self.dirty.push(conn);
        }
        put(&mut to.outbox);
        if to.outbox.len() > unread {
            // Guards memory against peers that stop reading.
            to.closing = true;
            self.counters.count("gearman", "slow_reader_closed");
            self.effects.push_back(Effect::Close(conn, true));
        }
    }

    fn send(&mut self, conn: ConnId, kind: Kind, args: &[&[u8]]) {
        self.owe(conn, |outbox| put(outbox, Magic::Res, kind, args));
    }

    fn error(&mut self, conn: ConnId, counter: &'static str, code: &str, text: &str) {
        self.counters.count("gearman", counter);
        self.send(conn, Kind::Error, &[code.as_bytes(), text.as_bytes()]);
    }

    /// Text of the administration protocol.
    pub(crate) fn say(&mut self, conn: ConnId, text: &str) {
        self.owe(conn, |outbox| outbox.extend_from_slice(text.as_bytes()));
    }

    /// What came on a connection is no frame: it is told so, and closed.
    pub fn broken(&mut self, conn: ConnId, problem: &str) {
        self.error(conn, "broken_framing", "BAD_FRAMING", problem);
        if let Some(conn) = self.conns.get_mut(&conn) {
            conn.closing = true;
        }
        self.effects.push_back(Effect::Close(conn, false));
    }

    /// A frame came on a connection.
    pub fn received(&mut self, conn: ConnId, frame: Frame, now_ms: f64) {
        let Some(from) = self.conns.get_mut(&conn).filter(|from| !from.closing) else { return };
        from.spoke = true;
        match frame {
            Frame::Line(line) => self.line(conn, &line),
            Frame::Packet(packet) if packet.magic == Magic::Res => {
                self.error(conn, "bad_packets", "BAD_MAGIC", "a server is sent requests, not responses");
            }
            Frame::Packet(packet) => self.packet(conn, &packet, now_ms),
        }
    }

    fn packet(&mut self, conn: ConnId, packet: &Packet, now_ms: f64) {
        let done = match packet.kind {
            Kind::SubmitJob => self.submit(conn, packet, Priority::Normal, false, now_ms),
            Kind::SubmitJobHigh => self.submit(conn, packet, Priority::High, false, now_ms),
            Kind::SubmitJobLow => self.submit(conn, packet, Priority::Low, false, now_ms),
            Kind::SubmitJobBg => self.submit(conn, packet, Priority::Normal, true, now_ms),
            Kind::SubmitJobHighBg => self.submit(conn, packet, Priority::High, true, now_ms),
            Kind::SubmitJobLowBg => self.submit(conn, packet, Priority::Low, true, now_ms),
            Kind::GetStatus => self.status(conn, packet),
            Kind::GetStatusUnique => self.status_unique(conn, packet),
            Kind::OptionReq => self.option(conn, packet),
            Kind::EchoReq => {
                self.send(conn, Kind::EchoRes, &[&packet.body]);
                Some(())
            }
            Kind::CanDo => packet.split::<1>().map(|[function]| self.can_do(conn, function, None)),
            Kind::CanDoTimeout => packet.split::<2>().and_then(|[function, seconds]| {
                // 0 seconds: no time-out of its own, as with CAN_DO.
                let seconds: u32 = str::from_utf8(&seconds).ok()?.trim().parse().ok()?;
                let most_ms = (seconds > 0).then_some(f64::from(seconds) * 1e3);
                self.can_do(conn, function, most_ms);
                Some(())
            }),
            Kind::CantDo => packet.split::<1>().map(|[function]| self.cant_do(conn, Some(&function))),
            Kind::ResetAbilities => {
                self.cant_do(conn, None);
                Some(())
            }
            Kind::SetClientId => packet.split::<1>().and_then(|[name]| self.name(conn, &name)),
            Kind::AllYours => Some(()),
            Kind::PreSleep => {
                self.pre_sleep(conn, now_ms);
                Some(())
            }
            Kind::GrabJob | Kind::GrabJobUniq | Kind::GrabJobAll => {
                self.grab(conn, packet.kind, now_ms);
                Some(())
            }
            Kind::WorkComplete => packet.split::<2>().map(|[handle, result]| {
                self.worked(conn, &handle, now_ms, |server, running| server.completed(running, result));
            }),
            Kind::WorkFail => {
                packet.split::<1>().map(|[handle]| self.worked(conn, &handle, now_ms, Self::failed))
            }
            Kind::WorkStatus | Kind::WorkData | Kind::WorkWarning | Kind::WorkException => {
                self.told(conn, packet)
            }
            kind => {
                let (number, text) = (kind.number(), "this server does not carry it");
                self.error(conn, "not_carried", "NOT_CARRIED", &format!("packet {number}: {text}"));
                Some(())
            }
        };
        if done.is_none() {
            let number = packet.kind.number();
            self.error(
                conn,
                "bad_packets",
                "BAD_ARGUMENTS",
                &format!("packet {number}: arguments missing or wrong"),
            );
        }
    }

    // Clients.

    fn submit(
        &mut self,
        conn: ConnId,
        packet: &Packet,
        priority: Priority,
        background: bool,
        now_ms: f64,
    ) -> Option<()> {
        let [name, unique, payload] = packet.split::<3>()?;
        if unique.len() > LONGEST_ID {
            return None;
        }
        let Some(function) = self.functions.get(&name).cloned() else {
            self.error(conn, "unknown_function", "UNKNOWN_FUNCTION", "no such function is served here");
            return Some(());
        };
        // A unique id of '-' stands for the job's own bytes.
        let unique = if &unique[..] == b"-" { [&b"-"[..], &payload].concat().into() } else { unique };
        let come_back = format!("come back in {} ms", self.limits.come_back_ms);
        let waits = self.conns.get(&conn).map_or(0, |conn| conn.waits);
        if !background && waits >= self.limits.jobs_per_connection {
            self.error(conn, "connection_full", "TOO_MANY_JOBS", &come_back);
            return Some(());
        }
        if let Some(id) = self.jobs.same(&name, &unique).filter(|_| !unique.is_empty()) {
            self.join(conn, id, background, now_ms);
            return Some(());
        }
        if let Some(kept) = self.jobs.kept(&name, &unique).cloned() {
            self.counters.count("gearman", "answered_from_kept");
            self.send(conn, Kind::JobCreated, &[&kept.handle]);
            if !background {
                kept.data.iter().for_each(|data| self.send(conn, Kind::WorkData, &[&kept.handle, data]));
                match kept.end {
                    Some(end) => self.last_words(conn, &kept.handle, &end),
                    None => {
                        let end = End::Fail(Some(Bytes::from_static(
                            b"it ran and ended; its result is not kept any more",
                        )));
                        self.last_words(conn, &kept.handle, &end);
                    }
                }
            }
            return Some(());
        }
        let place = match self.jobs.room(&function, &unique, &self.limits.bounds) {
            Ok(place) => place,
            Err(full) => {
                let (counter, code) = match full {
                    Full::Jobs => ("jobs_full", "TOO_MANY_JOBS"),
                    Full::Queue => ("queue_full", "QUEUE_FULL"),
                    Full::Results => ("results_full", "RESULTS_FULL"),
                };
                self.counters.answered(&label(&function), |answered| answered.refused += 1);
                self.error(conn, counter, code, &come_back);
                return Some(());
            }
        };
        let wait_ms = if background { function.background_wait_ms } else { function.wait_ms };
        let handle: Bytes = format!("{}{}", self.prefix, self.jobs.next_id()).into();
        let id = self.jobs.open(Job {
            id: 0,
            handle,
            function,
            unique: apart(unique),
            payload: apart(payload),
            priority,
            background,
            waiting: if background { Vec::new() } else { vec![conn] },
            broker: None,
            until_ms: now_ms + wait_ms,
            started: false,
            running: false,
            assigned: 0,
            status: (Bytes::from_static(b"0"), Bytes::from_static(b"0")),
            data: Vec::new(),
            data_cut: false,
            exception: None,
            place,
        });
        if let Some(from) = self.conns.get_mut(&conn).filter(|_| !background) {
            from.waits_for(id);
        }
        self.counters.count("gearman", if background { "background_jobs" } else { "jobs" });
        self.effects.push_back(Effect::Submit(id));
        self.created(conn, id);
        Some(())
    }

    fn created(&mut self, conn: ConnId, id: u64) {
        if let Some(handle) = self.jobs.get(id).map(|job| job.handle.clone()) {
            self.send(conn, Kind::JobCreated, &[&handle]);
        }
    }

    /// A submission of the unique id of an open job is that job.
    fn join(&mut self, conn: ConnId, id: u64, background: bool, now_ms: f64) {
        let Some(job) = self.jobs.get_mut(id) else { return };
        self.counters.count("gearman", "joined");
        if background {
            // From now on it is promised for longer; it comes back if what it has at the broker is not enough.
            job.background = true;
            job.until_ms = job.until_ms.max(now_ms + job.function.background_wait_ms);
        } else {
            job.waiting.push(conn);
            if let Some(from) = self.conns.get_mut(&conn) {
                from.waits_for(id);
            }
        }
        let (handle, data, cut) = (job.handle.clone(), job.data.clone(), job.data_cut);
        self.send(conn, Kind::JobCreated, &[&handle]);
        if !background {
            if cut {
                self.send(
                    conn,
                    Kind::WorkWarning,
                    &[&handle, b"some of what the job sent before is not kept"],
                );
            }
            data.iter().for_each(|data| self.send(conn, Kind::WorkData, &[&handle, data]));
        }
    }

    /// The broker has taken a job.
    pub fn taken(&mut self, id: u64, broker: u64) {
        self.jobs.at_broker(id, Some(broker));
    }

    /// The broker takes no jobs now: it is drained.
    pub fn not_taken(&mut self, id: u64) {
        self.counters.count("gearman", "drained");
        self.finish_refused(id, self.limits.come_back_ms);
    }

    /// The final answer of the broker to a job.
    pub fn answered(&mut self, broker: u64, answer: Answer, now_ms: f64) {
        // Dropped since: nobody is there to be told.
        let Some(id) = self.jobs.of_broker(broker) else { return };
        match answer {
            Answer::Served(result) => self.finish(id, End::Complete(result), now_ms),
            Answer::Failed | Answer::Unusable => {
                let exception = self.jobs.get_mut(id).and_then(|job| job.exception.take());
                self.finish(id, End::Fail(exception), now_ms);
            }
            Answer::Refused { wait_ms } => self.refused(id, wait_ms, now_ms),
        }
    }

    /// A refusal is final for those who wait; what runs in the background comes back as its client would have.
    fn refused(&mut self, id: u64, wait_ms: f64, now_ms: f64) {
        self.jobs.at_broker(id, None);
        let back = now_ms + wait_ms.max(SOONEST_BACK_MS);
        let Some(job) = self.jobs.get_mut(id) else { return };
        if !job.background || self.ending || back >= job.until_ms {
            return self.finish_refused(id, wait_ms);
        }
        let (handle, waiting) = (job.handle.clone(), std::mem::take(&mut job.waiting));
        self.counters.count("gearman", "background_came_back");
        self.timers.insert((micros(back), Timer::Back(id)));
        for conn in waiting {
            self.forget_job(conn, id);
            self.refusal(conn, &handle, wait_ms);
        }
    }

    fn finish_refused(&mut self, id: u64, wait_ms: f64) {
        let Some(job) = self.jobs.close(id) else { return };
        self.counters.answered(&label(&job.function), |answered| answered.refused += 1);
        if job.background {
            self.counters.count("gearman", "background_given_up");
        }
        for conn in job.waiting {
            self.forget_job(conn, id);
            self.refusal(conn, &job.handle, wait_ms);
        }
    }

    /// The protocol has no refusal: a text that says when to come back, and a failure.
    fn refusal(&mut self, conn: ConnId, handle: &Bytes, wait_ms: f64) {
        let text = format!("refused: come back in {} ms", wait_ms.ceil());
        let exceptions = self.conns.get(&conn).is_some_and(|conn| conn.exceptions);
        let kind = if exceptions { Kind::WorkException } else { Kind::WorkWarning };
        self.send(conn, kind, &[handle, text.as_bytes()]);
        self.send(conn, Kind::WorkFail, &[handle]);
    }

    /// The end of a job: each client that waits is told, and what was promised to be kept is.
    fn finish(&mut self, id: u64, end: End, now_ms: f64) {
        let Some(job) = self.jobs.close(id) else { return };
        self.counters.answered(&label(&job.function), |answered| match end {
            End::Complete(_) => answered.served += 1,
            End::Fail(_) => answered.failed += 1,
        });
        for conn in &job.waiting {
            self.forget_job(*conn, id);
            self.last_words(*conn, &job.handle, &end);
        }
        if job.place {
            self.jobs.keep(&job, end, now_ms, &self.limits.bounds);
        }
    }

    fn forget_job(&mut self, conn: ConnId, id: u64) {
        if let Some(conn) = self.conns.get_mut(&conn) {
            conn.waits -= conn.jobs.remove(&id).unwrap_or_default();
        }
    }

    fn last_words(&mut self, conn: ConnId, handle: &Bytes, end: &End) {
        match end {
            End::Complete(result) => self.send(conn, Kind::WorkComplete, &[handle, result]),
            End::Fail(exception) => {
                let exceptions = self.conns.get(&conn).is_some_and(|conn| conn.exceptions);
                if let Some(exception) = exception.as_ref().filter(|_| exceptions) {
                    self.send(conn, Kind::WorkException, &[handle, exception]);
                }
                self.send(conn, Kind::WorkFail, &[handle]);
            }
        }
    }

    fn job_of(&self, handle: &[u8]) -> Option<&Job> {
        let number = str::from_utf8(handle).ok()?.strip_prefix(&self.prefix)?.parse().ok()?;
        self.jobs.get(number).filter(|job| job.handle == handle)
    }

    fn status(&mut self, conn: ConnId, packet: &Packet) -> Option<()> {
        let [handle] = packet.split::<1>()?;
        let job = self.job_of(&handle).map(|job| (job.running, job.status.clone()));
        let (known, running, (done, whole)) = spoken(job);
        self.send(conn, Kind::StatusRes, &[&handle, known, running, &done, &whole]);
        Some(())
    }

    fn status_unique(&mut self, conn: ConnId, packet: &Packet) -> Option<()> {
        let [unique] = packet.split::<1>()?;
        let job = self.jobs.of_unique(&unique);
        let clients = job.map_or(0, |job| job.waiting.len()).to_string();
        let (known, running, (done, whole)) = spoken(job.map(|job| (job.running, job.status.clone())));
        self.send(conn, Kind::StatusResUnique, &[&unique, known, running, &done, &whole, clients.as_bytes()]);
        Some(())
    }

    fn option(&mut self, conn: ConnId, packet: &Packet) -> Option<()> {
        let [option] = packet.split::<1>()?;
        match &option[..] {
            b"exceptions" => {
                if let Some(conn) = self.conns.get_mut(&conn) {
                    conn.exceptions = true;
                }
                self.send(conn, Kind::OptionRes, &[&option]);
            }
            _ => self.error(conn, "unknown_option", "UNKNOWN_OPTION", "no such option"),
        }
        Some(())
    }

    // Workers.

    fn can_do(&mut self, conn: ConnId, function: Bytes, most_ms: Option<f64>) {
        let Some(name) = self.conns.get(&conn).map(|conn| conn.name.clone()) else { return };
        let Some(known) = self.functions.get(&function) else {
            return self.error(
                conn,
                "unknown_function",
                "UNKNOWN_FUNCTION",
                "no such function is served here",
            );
        };
        let (pool, function) = (known.pool, known.name.clone());
        if !self.workers.can_do(conn, &name, pool, function, most_ms) {
            self.error(
                conn,
                "other_pool",
                "OTHER_POOL",
                "the function is another pool's than those offered before",
            );
            return;
        }
        // A worker that wants work already is told of with what it can do now.
        if self.workers.look(conn).is_some_and(|hand| hand.idle) {
            let mut news = Vec::new();
            self.workers.tell(conn, &mut news);
            self.workers.wants(conn, &mut news);
            self.tell(news);
        }
    }

    fn cant_do(&mut self, conn: ConnId, function: Option<&[u8]>) {
        let mut news = Vec::new();
        self.workers.cant_do(conn, function, &mut news);
        self.tell(news);
        self.let_stranded_go();
        let claim = self.workers.look(conn).and_then(|hand| hand.claim.clone());
        if let Some(claim) = claim.filter(|claim| function.is_none_or(|function| claim.function == function))
        {
            self.unclaim(conn, claim.claim, Outcome::Skipped);
        }
    }

    fn name(&mut self, conn: ConnId, name: &Bytes) -> Option<()> {
        let text = str::from_utf8(name).ok()?;
        let plain =
            !text.is_empty() && text.len() <= LONGEST_ID && text.bytes().all(|byte| byte.is_ascii_graphic());
        let name: Rc<str> = plain.then_some(text)?.into();
        self.conns.get_mut(&conn)?.name = name.clone();
        let mut news = Vec::new();
        self.workers.rename(conn, &name, &mut news);
        self.tell(news);
        self.let_stranded_go();
        Some(())
    }

    fn pre_sleep(&mut self, conn: ConnId, now_ms: f64) {
        self.lets_go(conn, now_ms);
        let Some(hand) = self.workers.hand(conn) else { return };
        hand.asleep = true;
        let claimed = hand.claim.is_some();
        if hand.running.is_none() {
            self.wants(conn, now_ms);
        }
        if claimed {
            self.wake(conn);
        }
    }

    fn wake(&mut self, conn: ConnId) {
        if let Some(hand) = self.workers.hand(conn)
            && std::mem::take(&mut hand.asleep)
        {
            self.send(conn, Kind::Noop, &[]);
        }
    }

    /// A worker that asks for more has ended what it had: one that told of an exception, or was given up, says no more.
    fn lets_go(&mut self, conn: ConnId, now_ms: f64) {
        let ended = |running: &Running| running.claim.is_none() || running.exception.is_some();
        if self.workers.look(conn).and_then(|hand| hand.running.as_ref()).is_some_and(ended) {
            self.end_run(conn, now_ms, Self::failed);
        }
    }

    /// The connection wants work: what waits for its worker it takes over, else the decisions are told.
    fn wants(&mut self, conn: ConnId, now_ms: f64) {
        if let Some(hand) = self.workers.hand(conn) {
            hand.idle = true;
        }
        self.take_queued(conn, now_ms);
        self.trust(conn, now_ms);
        let mut news = Vec::new();
        self.workers.wants(conn, &mut news);
        self.tell(news);
    }

    fn trust(&mut self, conn: ConnId, now_ms: f64) {
        let mut news = Vec::new();
        let later = self.workers.trust(conn, now_ms, &mut news);
        self.tell(news);
        if let Some(at_ms) = later {
            self.timers.insert((micros(at_ms), Timer::Trust(conn)));
        }
    }

    fn grab(&mut self, conn: ConnId, kind: Kind, now_ms: f64) {
        self.lets_go(conn, now_ms);
        let Some(hand) = self.workers.hand(conn) else {
            // It offers nothing.
            return self.send(conn, Kind::NoJob, &[]);
        };
        hand.asleep = false;
        if hand.running.is_some() || hand.grab.is_some() {
            return self.send(conn, Kind::NoJob, &[]);
        }
        hand.grab = Some(kind);
        self.grabbing.push(conn);
        self.wants(conn, now_ms);
    }

    /// Answers the grabs that wait, once the decisions have had their word: with the claim made for the connection, or
    /// with NO_JOB.
    /// False where none waited.
    pub fn answer_grabs(&mut self, now_ms: f64) -> bool {
        let grabbing = std::mem::take(&mut self.grabbing);
        let any = !grabbing.is_empty();
        for conn in grabbing {
            let Some(hand) = self.workers.hand(conn) else { continue };
            let Some(kind) = hand.grab.take() else { continue };
            match hand.claim.clone() {
                Some(claim) => self.assign(conn, kind, claim, now_ms),
                None => self.send(conn, Kind::NoJob, &[]),
            }
        }
        any
    }

    fn assign(&mut self, conn: ConnId, kind: Kind, claim: Waiting, now_ms: f64) {
        self.timers.remove(&(micros(claim.grab_by_ms), Timer::Grab(conn)));
        let most_ms =
            self.workers.look(conn).and_then(|hand| hand.abilities.get(&claim.function).copied().flatten());
        let Some(job) = self.jobs.get_mut(claim.job) else {
            // Guards against a job that has just ended.
            self.workers.unclaim(conn, claim.claim);
            self.ended(claim.claim, Outcome::Skipped, None, None);
            return self.send(conn, Kind::NoJob, &[]);
        };
        let until_ms = most_ms.map_or(claim.until_ms, |most| claim.until_ms.min(now_ms + most));
        let (handle, unique, payload) = (job.handle.clone(), job.unique.clone(), job.payload.clone());
        (job.exception, job.status) = (None, (Bytes::from_static(b"0"), Bytes::from_static(b"0")));
        let function = job.function.name.clone();
        self.jobs.runs(claim.job, true);
        let running = Running { claim: Some(claim.claim), job: claim.job, handle, until_ms, exception: None };
        let handle = running.handle.clone();
        self.workers.assign(conn, running);
        self.timers.insert((micros(until_ms), Timer::Run(conn)));
        // The worker's own word for a unique id that stands for the job's bytes.
        let unique = if unique.first() == Some(&b'-') && unique[1..] == payload {
            Bytes::from_static(b"-")
        } else {
            unique
        };
        match kind {
            Kind::GrabJobUniq => {
                self.send(conn, Kind::JobAssignUniq, &[&handle, &function, &unique, &payload])
            }
            Kind::GrabJobAll => {
                self.send(conn, Kind::JobAssignAll, &[&handle, &function, &unique, b"", &payload])
            }
            _ => self.send(conn, Kind::JobAssign, &[&handle, &function, &payload]),
        }
        self.counters.count("gearman", "assigned");
        self.effects.push_back(Effect::Started(claim.claim));
    }

    /// What a worker says at the end of its job.
    fn worked(
        &mut self,
        conn: ConnId,
        handle: &Bytes,
        now_ms: f64,
        how: impl FnOnce(&mut Self, &Running) -> (Outcome, Option<Bytes>),
    ) {
        let its = |running: &Running| running.handle == handle;
        if !self.workers.look(conn).and_then(|hand| hand.running.as_ref()).is_some_and(its) {
            return self.error(
                conn,
                "not_its_job",
                "JOB_NOT_FOUND",
                "no such job is assigned to this connection",
            );
        }
        self.end_run(conn, now_ms, how);
    }

    fn end_run(
        &mut self,
        conn: ConnId,
        now_ms: f64,
        how: impl FnOnce(&mut Self, &Running) -> (Outcome, Option<Bytes>),
    ) {
        let Some(running) = self.workers.done(conn) else { return };
        self.timers.remove(&(micros(running.until_ms), Timer::Run(conn)));
        if running.claim.is_none() {
            self.counters.count("gearman", "late_results");
            return self.wants(conn, now_ms);
        }
        let (outcome, result) = how(self, &running);
        self.workers.proved(conn);
        self.take_queued(conn, now_ms);
        let load = self.workers.load(conn);
        self.attempt_ended(running, outcome, result, Some(load));
    }

    fn completed(&mut self, _: &Running, result: Bytes) -> (Outcome, Option<Bytes>) {
        (Outcome::Served, Some(result))
    }

    fn failed(&mut self, running: &Running) -> (Outcome, Option<Bytes>) {
        if let Some(job) = self.jobs.get_mut(running.job) {
            job.exception.clone_from(&running.exception);
        }
        // A worker's word on the job, not a fault of the worker: another one may know better, where a repeat is harmless.
        (Outcome::Unusable, None)
    }

    fn attempt_ended(
        &mut self,
        running: Running,
        outcome: Outcome,
        result: Option<Bytes>,
        load: Option<LoadReport>,
    ) {
        let Some(claim) = running.claim else { return };
        self.jobs.runs(running.job, false);
        // Nobody would be told what another attempt comes to, and nothing of it would be kept.
        let unwanted = |job: &Job| job.waiting.is_empty() && !job.background && !job.function.once;
        if outcome != Outcome::Served && self.jobs.get(running.job).is_some_and(unwanted) {
            self.counters.count("gearman", "not_repeated");
            let broker = self.jobs.get(running.job).and_then(|job| job.broker);
            self.jobs.close(running.job);
            self.effects.extend(broker.map(Effect::Leave));
        }
        self.ended(claim, outcome, result, load);
    }

    fn ended(&mut self, claim: ClaimId, outcome: Outcome, result: Option<Bytes>, load: Option<LoadReport>) {
        self.claims.remove(&claim);
        self.effects.push_back(Effect::Ended(claim, outcome, result, load));
    }

    /// What a worker says while it works.
    fn told(&mut self, conn: ConnId, packet: &Packet) -> Option<()> {
        let [handle, first] = packet.split::<2>()?;
        let running = self.workers.hand(conn).and_then(|hand| hand.running.as_mut());
        let Some(running) = running.filter(|running| running.handle == handle) else {
            self.error(conn, "not_its_job", "JOB_NOT_FOUND", "no such job is assigned to this connection");
            return Some(());
        };
        let Some(claim) = running.claim else {
            self.counters.count("gearman", "late_words");
            return Some(());
        };
        if packet.kind == Kind::WorkException {
            // Told with the end of the job, if this was its last attempt.
            running.exception = Some(apart(first));
            return Some(());
        }
        let id = running.job;
        let most = self.limits.bounds.bytes;
        let Some(job) = self.jobs.get_mut(id) else { return Some(()) };
        let waiting = job.waiting.clone();
        match packet.kind {
            Kind::WorkStatus => {
                let [_, done, whole] = packet.split::<3>()?;
                let share = |text: &Bytes| str::from_utf8(text).ok()?.trim().parse::<f64>().ok();
                let share = share(&done).zip(share(&whole)).filter(|(_, whole)| *whole > 0.0);
                job.status = (apart(done), apart(whole));
                if let Some((done, whole)) = share {
                    self.effects.push_back(Effect::Progress(claim, (done / whole).clamp(0.0, 1.0)));
                }
            }
            Kind::WorkData => {
                if !job.unique.is_empty() {
                    let held: usize = job.data.iter().map(Bytes::len).sum();
                    if job.data_cut || held + first.len() > most {
                        (job.data_cut, job.data) = (true, Vec::new());
                    } else {
                        job.data.push(Bytes::copy_from_slice(&first));
                    }
                }
                // From now on another attempt would tell clients the same a second time.
                self.effects.push_back(Effect::Streams(claim));
            }
            _ => {}
        }
        for conn in waiting {
            let kind = packet.kind;
            self.send(conn, kind, &[&packet.body]);
        }
        Some(())
    }

    // Claims.

    /// A claim is ordered: it goes to a connection of the worker, which is woken if it sleeps.
    pub fn claim(&mut self, order: &Order, now_ms: f64) {
        let Some(job) = self.jobs.get(order.job) else {
            return self.ended(order.claim, Outcome::Skipped, None, None);
        };
        let function = job.function.name.clone();
        let (claim, job, until_ms) = (order.claim, order.job, order.until_ms);
        let waiting = Waiting { claim, job, function: function.clone(), until_ms, grab_by_ms: 0.0 };
        match self.workers.place_for(order.pool, &order.worker, &function) {
            Some(conn) => self.hand_to(conn, waiting, now_ms),
            None if self.workers.queue(order.pool, &order.worker, waiting) => {
                self.counters.count("gearman", "waited_for_worker");
                self.claims.insert(claim, Stands::Queued(order.pool, order.worker.as_str().into(), until_ms));
                self.timers.insert((micros(until_ms), Timer::Queue(claim)));
            }
            None => {
                self.counters.count("gearman", "worker_unfit");
                self.workers.doubt(order.pool, &order.worker);
                self.ended(claim, Outcome::Full, None, None);
            }
        }
    }

    /// A claim is this connection's to grab.
    fn hand_to(&mut self, conn: ConnId, mut claim: Waiting, now_ms: f64) {
        claim.grab_by_ms = claim.until_ms.min(now_ms + self.limits.grab_ms);
        self.timers.insert((micros(claim.grab_by_ms), Timer::Grab(conn)));
        self.claims.insert(claim.claim, Stands::At(conn));
        self.workers.claim(conn, claim);
        self.wake(conn);
    }

    /// A connection that has become free takes over what waits for its worker.
    fn take_queued(&mut self, conn: ConnId, now_ms: f64) {
        if let Some(claim) = self.workers.next_in_queue(conn) {
            self.timers.remove(&(micros(claim.until_ms), Timer::Queue(claim.claim)));
            self.hand_to(conn, claim, now_ms);
        }
    }

    /// What waits for workers that will not take it was never sent.
    fn let_stranded_go(&mut self) {
        for claim in self.workers.stranded() {
            self.timers.remove(&(micros(claim.until_ms), Timer::Queue(claim.claim)));
            self.ended(claim.claim, Outcome::Skipped, None, None);
        }
    }

    /// A claim is withdrawn. One that was grabbed goes on at the worker, which cannot be told.
    pub fn withdraw(&mut self, claim: ClaimId) {
        match self.claims.get(&claim).cloned() {
            Some(Stands::At(conn)) if self.workers.look(conn).is_some_and(|hand| hand.claim.is_some()) => {
                self.unclaim(conn, claim, Outcome::Cancelled);
            }
            Some(Stands::At(conn)) => self.give_up_run(conn, Outcome::Cancelled),
            Some(Stands::Queued(pool, name, until_ms)) => {
                self.timers.remove(&(micros(until_ms), Timer::Queue(claim)));
                if self.workers.unqueue(pool, &name, claim).is_some() {
                    self.ended(claim, Outcome::Cancelled, None, None);
                }
            }
            None => {}
        }
    }

    /// A claim that has not been grabbed ends: its job never came near a worker.
    fn unclaim(&mut self, conn: ConnId, claim: ClaimId, outcome: Outcome) {
        let Some(waiting) = self.workers.unclaim(conn, claim) else { return };
        self.timers.remove(&(micros(waiting.grab_by_ms), Timer::Grab(conn)));
        if let Some((pool, name)) = self.workers.worker_of(conn).cloned() {
            self.workers.doubt(pool, &name);
            self.ended(claim, outcome, None, None);
            // The decisions take the end for a sign of a busy worker: it still is free.
            if self.workers.look(conn).is_some_and(Hand::free) && outcome == Outcome::Cancelled {
                let load = self.workers.load(conn);
                self.effects.push_back(Effect::Load(pool, name, load));
            }
        } else {
            self.ended(claim, outcome, None, None);
        }
    }

    /// The claim of an assigned job ends, though the worker has said nothing: its connection stays taken until it does.
    fn give_up_run(&mut self, conn: ConnId, outcome: Outcome) {
        let Some(running) = self.workers.hand(conn).and_then(|hand| hand.running.as_mut()) else { return };
        let until_ms = running.until_ms;
        let ended = running.clone();
        running.claim = None;
        self.timers.remove(&(micros(until_ms), Timer::Run(conn)));
        self.attempt_ended(ended, outcome, None, None);
    }

    /// Time has passed.
    pub fn tick(&mut self, now_ms: f64) {
        self.jobs.expire(now_ms);
        while let Some(due) = self.timers.first().copied().filter(|(at, _)| *at as f64 <= now_ms * 1e3) {
            self.timers.remove(&due);
            let (_, timer) = due;
            match timer {
                Timer::Grab(conn) => {
                    let claim =
                        self.workers.look(conn).and_then(|hand| hand.claim.as_ref()).map(|claim| claim.claim);
                    let Some(claim) = claim else { continue };
                    self.counters.count("gearman", "not_grabbed");
                    // It may be hung: it is not free before it speaks again.
                    self.given_up(conn, now_ms);
                    self.unclaim(conn, claim, Outcome::ConnectFailed);
                }
                Timer::Run(conn) => {
                    self.counters.count("gearman", "run_timed_out");
                    self.given_up(conn, now_ms);
                    self.give_up_run(conn, Outcome::TimedOut);
                }
                Timer::Trust(conn) => self.trust(conn, now_ms),
                Timer::Queue(claim) => {
                    if let Some(Stands::Queued(pool, name, _)) = self.claims.get(&claim).cloned() {
                        self.workers.unqueue(pool, &name, claim);
                        self.ended(claim, Outcome::Skipped, None, None);
                    }
                }
                Timer::Back(id) => {
                    if self.jobs.get(id).is_some_and(|job| job.broker.is_none()) {
                        self.effects.push_back(Effect::Submit(id));
                    }
                }
            }
        }
    }

    /// A connection is away until it speaks, and what waits for its worker with it, if it has no other.
    fn given_up(&mut self, conn: ConnId, now_ms: f64) {
        let mut news = Vec::new();
        self.workers.given_up(conn, now_ms, &mut news);
        self.tell(news);
        self.let_stranded_go();
    }

    /// Operators drain a worker or take it again. False if none is known by this name.
    pub fn drain_worker(&mut self, name: &str, drained: bool) -> bool {
        let mut news = Vec::new();
        let known = self.workers.drain(name, drained, &mut news);
        self.tell(news);
        self.let_stranded_go();
        for conn in self.workers.hands_of(name).into_iter().filter(|_| drained) {
            if let Some(claim) =
                self.workers.look(conn).and_then(|hand| hand.claim.as_ref()).map(|claim| claim.claim)
            {
                self.unclaim(conn, claim, Outcome::Skipped);
            }
        }
        known
    }

    /// Operators cancel a job that has not started.
    pub(crate) fn cancel(&mut self, handle: &[u8]) -> Result<(), &'static str> {
        let job = self.job_of(handle).ok_or("UNKNOWN_JOB")?;
        if job.started {
            return Err("JOB_STARTED");
        }
        let (id, broker) = (job.id, job.broker);
        self.counters.count("gearman", "cancelled");
        let Some(job) = self.jobs.close(id) else { return Err("UNKNOWN_JOB") };
        self.effects.extend(broker.map(Effect::Leave));
        self.counters.answered(&label(&job.function), |answered| answered.failed += 1);
        for conn in job.waiting {
            self.forget_job(conn, id);
            self.send(conn, Kind::WorkFail, &[&job.handle]);
        }
        Ok(())
    }

    pub(crate) fn shut_down(&mut self) -> bool {
        if self.limits.shutdown {
            self.effects.push_back(Effect::Shutdown);
        }
        self.limits.shutdown
    }

    pub(crate) fn functions(&self) -> impl Iterator<Item = &Rc<Function>> {
        self.functions.values()
    }

    pub(crate) fn function(&self, name: &[u8]) -> Option<&Rc<Function>> {
        self.functions.get(name)
    }

    /// The connections, with where each comes from and its name as a worker.
    pub(crate) fn connections(&self) -> impl Iterator<Item = (ConnId, &str, &str)> {
        self.conns.iter().map(|(conn, it)| (*conn, it.peer.as_str(), &*it.name))
    }
}

/// What the counters call a function's jobs.
pub fn label(function: &Function) -> String {
    format!("gearman.{}", function.text)
}

type Status = (Bytes, Bytes);

fn spoken(job: Option<(bool, Status)>) -> (&'static [u8], &'static [u8], Status) {
    let flag = |set: bool| if set { &b"1"[..] } else { &b"0"[..] };
    let none = || (Bytes::from_static(b"0"), Bytes::from_static(b"0"));
    match job {
        Some((running, status)) => (flag(true), flag(running), status),
        None => (flag(false), flag(false), none()),
    }
}
