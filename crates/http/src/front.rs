//! Owns the platform's protocol towards submitters: their connections and how long each may keep the program waiting,
//! what a job must look like, and how answers are worded. It must never decide about a job, nor answer one by itself once
//! the broker has it, nor end a connection by its own choice while a job's answer is owed on it, nor read a request on one
//! that it has shut down.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io;
use std::net::Shutdown;
use std::rc::Rc;
use std::time::Duration;

use actix_http::body::MessageBody as _;
use actix_http::error::ParseError;
use actix_http::h1::{Codec, Message, MessageType};
use actix_http::header::{self, HeaderMap, HeaderName};
use actix_http::{
    ConnectionType, HttpMessage as _, KeepAlive, Method, Request, Response, ServiceConfig,
    ServiceConfigBuilder, StatusCode,
};
use bytes::{Bytes, BytesMut};
use futures_util::FutureExt as _;
use ruddervalve::JobFacts;
use ruddervalve_broker::{Answer, Broker, Clock, Counters, FOR_EVER, NotTaken, Standing};
use ruddervalve_settings::Network;
use socket2::SockRef;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Notify, watch};
use tokio::task::coop::{consume_budget, unconstrained};
use tokio_util::codec::{Decoder as _, Encoder as _};

use crate::claims::{self, Submitter};

/// The longest body.
const LONGEST_BODY: usize = 64 << 10;
/// The longest head: what nodes usually read, so that none closes on what was passed on to it.
const LONGEST_HEAD: usize = 16 << 10;
/// The first byte comes so soon after the connection came up, and each further piece of a request so soon after the one
/// before. Those that stop get their answer within the three seconds owed to them.
const PIECE_MS: f64 = 2_000.0;
/// A request is whole so long after its first byte, in however many pieces.
const WHOLE_MS: f64 = 10_000.0;
/// How long a submitter may take to read an answer.
const WRITE_TIMEOUT: Duration = Duration::from_secs(5);
/// After its last answer a connection is read on for so long and what comes is dropped: "a close over unread bytes resets
/// the connection", and the answer with it.
const LINGER: Duration = Duration::from_secs(1);
/// Connections that linger, beside those that submitters hold: one for so many of these. What is left of the descriptors
/// is for discovery and the program itself.
const HELD_FOR_EACH_ENDING: usize = 4;
/// A connection that comes up later than that still has so long to say something, as those who ask for health do.
const FIRST_WORD_MS: f64 = 500.0;
/// What is read at once.
const READ: usize = 4 << 10;
/// What is dropped at once.
const DROP: usize = 64 << 10;
/// Connections end about as fast as jobs do: long enough for some to, and short beside a submitter's patience.
const CROWDED_WAIT_MS: f64 = 250.0;
/// After an error of accepting, such as a want of descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(5);
/// The most slots or units of memory that a job can name and mean.
const LARGEST_NEED: f64 = 4_096.0;

/// The platform's front.
pub struct Front {
    broker: Rc<Broker>,
    clock: Clock,
    counters: Rc<Counters>,
    /// By number, so that the first is the oldest.
    connections: RefCell<BTreeMap<u64, Rc<Connection>>>,
    /// Connections that submitters may hold; on further ones nothing is taken.
    most: Cell<usize>,
    /// When submitters come back that found too many others connected.
    crowded_wait_ms: Cell<f64>,
    /// Where bytes are read to that nobody wants.
    dropped: RefCell<Vec<u8>>,
    /// Told whenever a connection has ended.
    ended: Notify,
}

/// What a connection is busy with, in the order in which connections are evicted where too many are held. Its own task
/// alone moves it on, but for [`Connection::evict`]; it ends in one way, [`Front::end`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Phase {
    /// Nothing has come.
    Silent,
    /// A part of a head has come.
    Head,
    /// Idle between requests.
    Kept,
    /// A head has come, its body has not.
    Body,
    /// A job is out: never evicted.
    Job,
    /// It is to make room. Its task has not looked at it since: should a request have come just then, it goes on.
    Evicted,
    /// Nothing is sent any more nor taken for a request, only the other side's end is waited for.
    Ending,
}

/// A submitter's connection as the others see it.
struct Connection {
    phase: Cell<Phase>,
    /// Since when.
    since_ms: Cell<f64>,
    /// Tells its task that it is to make room.
    evicted: Notify,
}

impl Connection {
    fn held(&self) -> bool {
        self.phase.get() < Phase::Evicted
    }

    /// It is to make room; one that is ending already waits no longer.
    fn evict(&self) {
        if self.held() {
            self.phase.set(Phase::Evicted);
        }
        self.evicted.notify_one();
    }
}

/// A submitter's connection as its task sees it.
struct Wire {
    stream: Rc<TcpStream>,
    codec: Codec,
    inbox: BytesMut,
    connection: Rc<Connection>,
    /// When it came up.
    opened_ms: f64,
    /// When the next piece of the request that is being read must have come.
    due_ms: f64,
    /// When it must be whole.
    whole_ms: f64,
    /// More came behind a job than is kept, and was dropped: its answer is the last one here.
    overrun: bool,
}

/// Forgets a connection when its task ends, however it ends.
struct Registered {
    front: Rc<Front>,
    number: u64,
}

impl Drop for Registered {
    fn drop(&mut self) {
        self.front.connections.borrow_mut().remove(&self.number);
        self.front.ended.notify_one();
    }
}

/// Why a request is no job, or no request.
enum Bad {
    /// It gets an error, and its connection ends.
    Told(StatusCode, &'static str),
    /// Nobody is there to be told, or nobody who asked for anything.
    Silent(&'static str),
    /// The submitter left between requests: nothing bad.
    Left,
    /// It has to make room for others before it was whole: nothing bad, and worth another try.
    Evicted,
}

/// What came of a request.
enum Made {
    Answer(Response<Bytes>),
    /// The submitter left while its job was out.
    Left,
}

impl Front {
    /// A front to a broker.
    pub fn new(
        broker: Rc<Broker>,
        clock: Clock,
        counters: Rc<Counters>,
        most: usize,
        network: &Network,
    ) -> Rc<Self> {
        let front = Self {
            broker,
            clock,
            counters,
            connections: RefCell::default(),
            most: Cell::new(most),
            crowded_wait_ms: Cell::new(0.0),
            dropped: RefCell::new(vec![0; DROP]),
            ended: Notify::new(),
        };
        front.limit_to(most, network);
        Rc::new(front)
    }

    /// Takes new limits.
    pub fn limit_to(&self, most: usize, network: &Network) {
        self.most.set(most);
        self.crowded_wait_ms.set(network.max_retry_after_ms.min(CROWDED_WAIT_MS));
    }

    /// How many connections submitters hold.
    fn held(&self) -> usize {
        self.connections.borrow().values().filter(|connection| connection.held()).count()
    }

    /// Waits until submitters have no connection.
    pub async fn empty(&self) {
        while !self.connections.borrow().is_empty() {
            self.ended.notified().await;
        }
    }

    /// Serves connections until the program ends and no new ones come any more; those that are held go on. On a socket
    /// shared with other processes none is accepted that cannot be served.
    pub async fn serve(self: Rc<Self>, listener: TcpListener, shared: bool) {
        let config = ServiceConfigBuilder::new().keep_alive(KeepAlive::Os).build();
        let mut standing = self.broker.standing();
        if shared {
            tokio::select! {
                () = self.broker.until_ready() => {}
                () = self.broker.passed(&mut standing, Standing::no_more_accepted) => return,
            }
        }
        let mut numbers = 0..;
        let mut taken = |stream| self.take(numbers.next().unwrap_or_default(), stream, &config);
        loop {
            let accepted = tokio::select! {
                biased;
                () = self.broker.passed(&mut standing, Standing::no_more_accepted) => break,
                accepted = listener.accept() => accepted,
            };
            match accepted {
                Ok((stream, _)) => taken(stream),
                Err(error) => {
                    self.counters.count("connections", "accept_failed");
                    self.counters.say(self.clock.now(), format_args!("accept: {error}"));
                    self.make_room();
                    tokio::time::sleep(ACCEPT_PAUSE).await;
                }
            }
            // Those taken read first, so that a crowd of silent ones behind them does not push them out.
            tokio::task::yield_now().await;
        }
        // What came up before is taken, too: a listener that closes resets it. A shared one stays open at others.
        tokio::task::yield_now().await;
        while !shared && let Some(Ok((stream, _))) = unconstrained(listener.accept()).now_or_never() {
            taken(stream);
        }
    }

    fn take(self: &Rc<Self>, number: u64, stream: TcpStream, config: &ServiceConfig) {
        let _ = stream.set_nodelay(true);
        // One that was to make room may have gone on, so more than one may be over the limit.
        while self.held() >= self.most.get() && self.make_room() {}
        let now = self.clock.now();
        let connection = Rc::new(Connection {
            phase: Cell::new(Phase::Silent),
            since_ms: Cell::new(now),
            evicted: Notify::new(),
        });
        self.connections.borrow_mut().insert(number, connection.clone());
        self.counters.highest("connections", "submitters_at_once", self.held() as u64);
        self.counters.count("connections", "submitters");
        let (codec, inbox) = (Codec::new(config.clone()), BytesMut::new());
        let wire = Wire {
            stream: Rc::new(stream),
            codec,
            inbox,
            connection,
            opened_ms: now,
            due_ms: now + PIECE_MS,
            whole_ms: 0.0,
            overrun: false,
        };
        let registered = Registered { front: self.clone(), number };
        actix_rt::spawn(async move {
            registered.front.converse(wire).await;
            drop(registered);
        });
    }

    /// Guards against submitters that connect and stay: of those without a job the one that shows least is evicted, the
    /// oldest first. False if there is none.
    fn make_room(&self) -> bool {
        let connections = self.connections.borrow();
        let without = connections.values().filter(|connection| connection.phase.get() < Phase::Job);
        let least = without.min_by(|left, right| {
            let phase = left.phase.get().cmp(&right.phase.get());
            phase.then(left.since_ms.get().total_cmp(&right.since_ms.get()))
        });
        let Some(connection) = least else { return false };
        self.counters.count(
            "connections",
            match connection.phase.get() {
                Phase::Silent => "silent_given_up",
                Phase::Kept => "idle_given_up",
                _ => "others_given_up",
            },
        );
        connection.evict();
        true
    }

    /// One connection, from its first byte to its end.
    async fn converse(&self, mut wire: Wire) {
        let mut standing = self.broker.standing();
        loop {
            let made = match self.head(&mut wire, &mut standing).await {
                Ok(request) => self.handle(&mut wire, request).await,
                Err(bad) => Err(bad),
            };
            let mut response = match made {
                Ok(Made::Answer(response)) => response,
                Ok(Made::Left) | Err(Bad::Left) => break,
                Err(Bad::Evicted) => {
                    let mut response = worded(Answer::Refused { wait_ms: self.crowded_wait_ms.get() });
                    response.head_mut().set_connection_type(ConnectionType::Close);
                    response
                }
                Err(Bad::Silent(problem)) => {
                    self.counters.count("bad_input", problem);
                    break;
                }
                Err(Bad::Told(status, problem)) => {
                    self.counters.count("bad_input", problem);
                    self.counters.say(self.clock.now(), format_args!("bad input: {problem}"));
                    let mut response = Response::with_body(status, Bytes::from_static(problem.as_bytes()));
                    // What follows what cannot be read, or was not read, means nothing.
                    response.head_mut().set_connection_type(ConnectionType::Close);
                    response
                }
            };
            if wire.overrun || *standing.borrow() != Standing::Serving {
                response.head_mut().set_connection_type(ConnectionType::Close);
            }
            let written = tokio::time::timeout(WRITE_TIMEOUT, wire.write(response)).await;
            if !matches!(written, Ok(Ok(()))) {
                self.counters.count("connections", "answers_not_read");
                break;
            }
            if !wire.codec.keep_alive() {
                break;
            }
            wire.enter(Phase::Kept, self.clock.now());
        }
        self.end(wire).await;
    }

    /// The one way in which a connection ends: nothing is sent any more, what still comes is dropped for a while, and it is
    /// closed over nothing unread.
    async fn end(&self, wire: Wire) {
        wire.enter(Phase::Ending, self.clock.now());
        self.bound_the_ending();
        if SockRef::from(&*wire.stream).shutdown(Shutdown::Write).is_ok() {
            tokio::select! {
                _ = tokio::time::timeout(LINGER, self.drop_the_rest(&wire.stream)) => {}
                () = wire.connection.evicted.notified() => {}
            }
            let _ = wire.stream.try_read(&mut self.dropped.borrow_mut());
        }
    }

    /// Where too many linger, the oldest does no longer.
    fn bound_the_ending(&self) {
        let connections = self.connections.borrow();
        let ending = || connections.values().filter(|connection| connection.phase.get() == Phase::Ending);
        if ending().count() > self.most.get() / HELD_FOR_EACH_ENDING {
            let oldest = ending().min_by(|left, right| left.since_ms.get().total_cmp(&right.since_ms.get()));
            oldest.into_iter().for_each(|connection| connection.evict());
        }
    }

    async fn drop_the_rest(&self, stream: &TcpStream) {
        while stream.readable().await.is_ok() {
            match stream.try_read(&mut self.dropped.borrow_mut()) {
                Ok(0) => return,
                Err(error) if error.kind() != io::ErrorKind::WouldBlock => return,
                _ => {}
            }
            // A submitter that sends at full speed must not keep the thread.
            tokio::task::yield_now().await;
        }
    }

    /// Waits for a whole head.
    async fn head(&self, wire: &mut Wire, standing: &mut watch::Receiver<Standing>) -> Result<Request, Bad> {
        let kept = wire.connection.phase.get() == Phase::Kept;
        if wire.inbox.is_empty() {
            // Between requests a submitter may stay idle for as long as there is room; its first one is waited for.
            let most = if kept { FOR_EVER } else { self.clock.until(wire.due_ms) };
            let (opened_ms, connection) = (wire.opened_ms, wire.connection.clone());
            let no_more_idle =
                |standing: Standing| standing.no_more_idle().map(|at| at.max(opened_ms + FIRST_WORD_MS));
            let over = async {
                tokio::select! {
                    () = self.broker.passed(standing, no_more_idle) => Bad::Left,
                    () = connection.evicted.notified() => Bad::Left,
                    () = tokio::time::sleep(most) => Bad::Silent("silent"),
                }
            };
            let read = tokio::select! {
                biased;
                read = wire.read() => Ok(read),
                over = over => Err(over),
            };
            match read.or_else(|over| wire.read_now().map(Ok).map_err(|_| over))? {
                Ok(1..) => {}
                _ if kept => return Err(Bad::Left),
                _ => return Err(Bad::Silent("nothing_sent")),
            }
        }
        let now = self.clock.now();
        (wire.due_ms, wire.whole_ms) = (now + PIECE_MS, now + WHOLE_MS);
        wire.enter(Phase::Head, now);
        loop {
            let mut lines = wire.inbox.trim_ascii_start().split(|byte| *byte == b'\n');
            let line = lines.next().unwrap_or_default();
            // The library drops a fragment, and what is passed on would not be what came.
            let fragment = line.contains(&b'#');
            let before = wire.inbox.len();
            match wire.codec.decode(&mut wire.inbox) {
                Ok(Some(Message::Item(request))) if !fragment => {
                    if before - wire.inbox.len() > LONGEST_HEAD {
                        return Err(Bad::Told(StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE, "head_too_long"));
                    }
                    wire.enter(Phase::Body, self.clock.now());
                    return Ok(request);
                }
                Ok(None) if before > LONGEST_HEAD => {
                    return Err(Bad::Told(StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE, "head_too_long"));
                }
                Ok(None) => {}
                Ok(Some(_)) => return Err(Bad::Told(StatusCode::BAD_REQUEST, "target")),
                Err(error) => return Err(unreadable(&error)),
            }
            match self.piece(wire).await? {
                Some(1..) => {}
                Some(_) => return Err(Bad::Silent("half_a_head")),
                None => return Err(Bad::Told(StatusCode::REQUEST_TIMEOUT, "slow_head")),
            }
        }
    }

    /// Reads the body of the request whose head has come.
    async fn body(&self, wire: &mut Wire, request: &Request) -> Result<Bytes, Bad> {
        let too_long = Bad::Told(StatusCode::PAYLOAD_TOO_LARGE, "body_too_long");
        match wire.codec.message_type() {
            MessageType::None => return Ok(Bytes::new()),
            MessageType::Payload => {}
            MessageType::Stream => return Err(Bad::Told(StatusCode::BAD_REQUEST, "upgrade")),
        }
        let length = text(request.headers(), "content-length").and_then(|length| length.parse().ok());
        if length.is_some_and(|length: u64| length > LONGEST_BODY as u64) {
            return Err(too_long);
        }
        if request.head().expect() {
            let _ = wire.write_all(b"HTTP/1.1 100 Continue\r\n\r\n").await;
        }
        let mut body = BytesMut::new();
        loop {
            match wire.codec.decode(&mut wire.inbox) {
                Ok(Some(Message::Chunk(Some(chunk)))) => {
                    if body.len() + chunk.len() > LONGEST_BODY {
                        return Err(too_long);
                    }
                    body.extend_from_slice(&chunk);
                    continue;
                }
                Ok(Some(_)) => return Ok(body.freeze()),
                // Part of a chunk's size or trailer: no body is that long.
                Ok(None) if wire.inbox.len() > LONGEST_HEAD => return Err(too_long),
                Ok(None) => {}
                Err(_) => return Err(Bad::Told(StatusCode::BAD_REQUEST, "body_broken")),
            }
            match self.piece(wire).await? {
                Some(1..) => {}
                Some(_) => return Err(Bad::Silent("half_a_body")),
                None => return Err(Bad::Told(StatusCode::REQUEST_TIMEOUT, "slow_body")),
            }
        }
    }

    /// The next piece of a request that has begun: how many bytes, 0 at the end, none if it did not come in time.
    async fn piece(&self, wire: &mut Wire) -> Result<Option<usize>, Bad> {
        let (connection, late) = (wire.connection.clone(), self.clock.until(wire.due_ms));
        let read = tokio::select! {
            biased;
            read = wire.read() => read.unwrap_or_default(),
            () = connection.evicted.notified() => return Err(Bad::Evicted),
            () = tokio::time::sleep(late) => return Ok(None),
        };
        wire.due_ms = wire.whole_ms.min(self.clock.now() + PIECE_MS);
        Ok(Some(read))
    }

    async fn handle(&self, wire: &mut Wire, request: Request) -> Result<Made, Bad> {
        let came_ms = self.clock.now();
        if request.path() == "/healthz" {
            self.body(wire, &request).await?;
            let ready = self.broker.ready() && *self.broker.standing().borrow() == Standing::Serving;
            let status = if ready { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
            return Ok(Made::Answer(Response::with_body(status, Bytes::new())));
        }
        let (id, facts) = self.facts(&request)?;
        let body = self.body(wire, &request).await?;
        let jobs = |connection: &&Rc<Connection>| connection.phase.get() == Phase::Job;
        if self.connections.borrow().values().filter(jobs).count() >= self.most.get() {
            // Guards against running out of descriptors: a dispatcher that cannot claim or accept would lose what it took.
            self.counters.count("answers", "crowded");
            self.broker.refused(&facts.class);
            let mut response = worded(Answer::Refused { wait_ms: self.crowded_wait_ms.get() });
            response.head_mut().set_connection_type(ConnectionType::Close);
            return Ok(Made::Answer(response));
        }
        let errand = claims::Request {
            id: id.clone(),
            method: request.method().clone(),
            target: (request.uri().path_and_query()).map_or("/", |target| target.as_str()).to_owned(),
            headers: passed_on(request.headers()),
            body,
            submitter: Submitter::on(&wire.stream),
        };
        let pending = match self.broker.submit(came_ms, &id, facts, Rc::new(errand)) {
            Ok(pending) => pending,
            Err(NotTaken::IdOpen) => return Err(Bad::Told(StatusCode::CONFLICT, "x_txn_open")),
            Err(NotTaken::Drained) => {
                let wait_ms = self.crowded_wait_ms.get();
                return Ok(Made::Answer(worded(Answer::Refused { wait_ms })));
            }
        };
        wire.enter(Phase::Job, self.clock.now());
        tokio::select! {
            biased;
            answer = pending.answer() => Ok(answer.map_or(Made::Left, |answer| Made::Answer(worded(answer)))),
            () = wire.left() => Ok(Made::Left),
        }
    }

    /// The fields that decisions need, and the job's id.
    fn facts(&self, request: &Request) -> Result<(String, JobFacts), Bad> {
        let bad = |problem| Bad::Told(StatusCode::BAD_REQUEST, problem);
        let headers = request.headers();
        if request.method() != Method::POST {
            return Err(Bad::Told(StatusCode::METHOD_NOT_ALLOWED, "method"));
        }
        let plain = |byte: &u8| matches!(byte, b'\t' | b' '..=b'~');
        if !headers.iter().all(|(_, value)| value.as_bytes().iter().all(plain)) {
            return Err(bad("unprintable"));
        }
        if !request
            .uri()
            .path_and_query()
            .is_some_and(|target| target.as_str().bytes().all(|byte| byte.is_ascii_graphic()))
        {
            return Err(bad("target"));
        }
        // A field that the next hop would have to leave out cannot be one that it needs.
        if named_by_connection(headers).any(|name| OURS.contains(&name.as_str())) {
            return Err(bad("connection"));
        }
        let one = |name, problem| match headers.get_all(name).count() {
            0 | 1 => Ok(text(headers, name).filter(|value| !value.is_empty())),
            _ => Err(bad(problem)),
        };
        let printable = |id: &&str| id.bytes().all(|byte| byte.is_ascii_graphic());
        let id = one("x-txn", "x_txn")?.filter(printable).ok_or(bad("x_txn"))?;
        let class = one("x-lane", "x_lane")?.ok_or(bad("x_lane"))?;
        if request.path().split('/').nth(1) != Some(class) {
            return Err(bad("class_in_path"));
        }
        if !self.broker.knows_class(class) {
            return Err(Bad::Told(StatusCode::NOT_FOUND, "class_unknown"));
        }
        let tenant = one("x-org", "x_org")?;
        if !self.broker.knows_tenant(tenant) {
            return Err(bad("x_org"));
        }
        let digits = |value: &&str| value.bytes().all(|byte| byte.is_ascii_digit());
        let remaining = one("x-remaining-ms", "x_remaining_ms")?.filter(digits);
        let remaining = remaining.and_then(|ms| ms.parse::<u32>().ok());
        let labels = one("x-labels", "x_labels")?.unwrap_or_default();
        // Guards the sums of what runs where against amounts that no node has.
        let label = |names: [&str; 3], usual: f64| {
            let mut pairs = labels.split(',').filter_map(|pair| pair.trim().split_once('='));
            let Some((_, value)) = pairs.find(|(name, _)| names.contains(name)) else { return Ok(usual) };
            let value = value.parse::<f64>().ok();
            value.filter(|value| (0.0..=LARGEST_NEED).contains(value)).ok_or(bad("x_labels"))
        };
        let facts = JobFacts {
            class: class.to_owned(),
            tenant: tenant.map(str::to_owned),
            remaining_ms: f64::from(remaining.ok_or(bad("x_remaining_ms"))?),
            slots: label(["slots", "width", "x1"], 1.0)?,
            memory: label(["memory", "mem", "x2"], 0.0)?,
            hint_ms: text(headers, "x-estimate")
                .and_then(|ms| ms.parse().ok())
                .filter(|ms: &f64| ms.is_finite() && *ms >= 0.0),
        };
        Ok((id.to_owned(), facts))
    }
}

impl Wire {
    fn enter(&self, phase: Phase, now_ms: f64) {
        if self.connection.phase.replace(phase) == Phase::Evicted {
            // It has looked: it goes on, or ends as it was to.
            let _ = self.connection.evicted.notified().now_or_never();
        }
        self.connection.since_ms.set(now_ms);
    }

    /// Waits for what comes next. Given up, it has taken nothing.
    async fn read(&mut self) -> io::Result<usize> {
        // A submitter that sends at full speed must not keep the thread.
        consume_budget().await;
        loop {
            self.stream.readable().await?;
            match self.read_now() {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                read => return read,
            }
        }
    }

    /// What is there to read without waiting.
    fn read_now(&mut self) -> io::Result<usize> {
        self.inbox.reserve(READ);
        self.stream.try_read_buf(&mut self.inbox)
    }

    /// Waits until the submitter has left; one that ends its sending has left, too. What it sends meanwhile is kept for
    /// later, up to a bound: beyond it all is dropped, and read on, so that its end is seen whatever comes before.
    async fn left(&mut self) {
        while matches!(self.read().await, Ok(1..)) {
            if self.inbox.len() > LONGEST_HEAD {
                self.overrun = true;
            }
            if self.overrun {
                self.inbox.clear();
            }
        }
    }

    async fn write(&mut self, response: Response<Bytes>) -> io::Result<()> {
        let (response, body) = response.into_parts();
        let mut outbox = BytesMut::new();
        self.codec.encode(Message::Item((response, body.size())), &mut outbox)?;
        if !body.is_empty() {
            self.codec.encode(Message::Chunk(Some(body)), &mut outbox)?;
            self.codec.encode(Message::Chunk(None), &mut outbox)?;
        }
        self.write_all(&outbox).await
    }

    async fn write_all(&self, mut bytes: &[u8]) -> io::Result<()> {
        while !bytes.is_empty() {
            self.stream.writable().await?;
            match self.stream.try_write(bytes) {
                Ok(0) => return Err(io::ErrorKind::WriteZero.into()),
                Ok(written) => bytes = &bytes[written..],
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(error) => return Err(error),
            }
        }
        Ok(())
    }
}

/// How what cannot be read is answered.
fn unreadable(error: &ParseError) -> Bad {
    match error {
        ParseError::TooLarge => Bad::Told(StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE, "head_too_long"),
        _ => Bad::Told(StatusCode::BAD_REQUEST, "not_http"),
    }
}

/// How an answer is worded in the platform's protocol.
fn worded(answer: Answer) -> Response<Bytes> {
    match answer {
        Answer::Served(result) => Response::with_body(StatusCode::OK, result),
        Answer::Refused { wait_ms } => {
            let mut response = Response::with_body(StatusCode::SERVICE_UNAVAILABLE, Bytes::new());
            let seconds = format!("{:.3}", wait_ms / 1e3);
            if let Ok(value) = header::HeaderValue::from_str(&seconds) {
                response.headers_mut().insert(header::RETRY_AFTER, value);
            }
            response
        }
        Answer::Failed => Response::with_body(StatusCode::BAD_GATEWAY, Bytes::new()),
        Answer::Unusable => Response::with_body(StatusCode::BAD_REQUEST, Bytes::new()),
    }
}

fn text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

/// The platform's own fields of a job.
const OURS: [&str; 8] =
    ["x-txn", "x-lane", "x-org", "x-remaining-ms", "x-labels", "x-estimate", "cookie", "host"];

/// The fields that belong to the one connection because its `Connection` field says so.
fn named_by_connection(headers: &HeaderMap) -> impl Iterator<Item = String> {
    let values = headers.get_all(header::CONNECTION).filter_map(|value| value.to_str().ok());
    values.flat_map(|value| value.split(',')).map(|name| name.trim().to_ascii_lowercase())
}

/// The headers that go on to an execute node: all but those of the one connection and of the time left.
fn passed_on(headers: &HeaderMap) -> HeaderMap {
    const OWN: [HeaderName; 9] = [
        header::CONNECTION,
        header::CONTENT_LENGTH,
        header::EXPECT,
        header::PROXY_AUTHORIZATION,
        header::TE,
        header::TRAILER,
        header::TRANSFER_ENCODING,
        header::UPGRADE,
        HeaderName::from_static("x-remaining-ms"),
    ];
    let named: Vec<String> =
        named_by_connection(headers).chain(["keep-alive", "proxy-connection"].map(str::to_owned)).collect();
    headers
        .iter()
        .filter(|(name, _)| !OWN.contains(name) && !named.iter().any(|named| named == name.as_str()))
        .map(|(name, value)| (name.clone(), value.clone()))
        .collect()
}
