//! Owns the connections to execute nodes, those kept between claims too: one claim is one request there, its stream of
//! news, and exactly one outcome. It must never send a claim again by itself, choose a node, hold more connections than
//! it is allowed, take a connection that broke after the request may have gone out for one that never came up, or take
//! another job's news or a torn line for a result.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::fmt;
use std::io;
use std::mem::MaybeUninit;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::{Rc, Weak};
use std::task::{Context, Poll, ready};
use std::time::Duration;

use actix_http::{Method, header::HeaderMap};
use actix_rt::net::{ActixStream, Ready};
use actix_service::fn_service;
use actix_tls::connect::{ConnectError as TcpError, ConnectInfo, Connection};
use awc::error::{ConnectError, SendRequestError};
use awc::{Client, Connector, http::Uri};
use bytes::{Bytes, BytesMut};
use futures_util::StreamExt as _;
use ruddervalve::{LoadReport, Outcome};
use ruddervalve_broker::{Broker, Claim, Clock, Counters, FOR_EVER, span};
use ruddervalve_settings::{Asked, Network};
use serde::Deserialize;
use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::task::AbortHandle;
use tokio::time::Sleep;

/// The longest line of news that is read: a result fills a body at most, and escapes may double it.
const LONGEST_LINE: usize = 256 << 10;
/// Claims at one node at once, far above what its slots and queue take from one dispatcher.
const AT_ONE_NODE: usize = 32;
/// After its last line a stream ends at once; one that does not loses its connection.
const TAIL: Duration = Duration::from_secs(1);
/// A job that must not run twice is sent but for its last byte, which follows so much later: longer than the way to a
/// node and back, and nothing beside the run of such a job. At least so long, as a node may be slow to say that it ended.
const HELD_BACK: Duration = Duration::from_millis(15);
/// And at least so many times the time that its connection took to come up, which is the way there and back.
const WAYS: f64 = 1.5;
/// Where the part of the claims on kept connections that breaks is larger than what a new one costs of a job's worth, what
/// must not run twice goes by new ones: such a break ends the job. Of fewer claims than these nothing can be told.
const FEWEST_TOLD: f64 = 1.0 / 64.0;
/// How much the newest claim counts in that part.
const NEWEST: f64 = 1.0 / 16.0;
/// The most free slots or waiting jobs that a report can tell of and mean.
const LARGEST_LOAD: f64 = 4_096.0;

/// A job as it goes to an execute node: the bytes that came.
#[derive(Debug)]
pub struct Request {
    /// The submitter's id of the job, by which nodes know it.
    pub id: String,
    /// The method.
    pub method: Method,
    /// Path and query.
    pub target: String,
    /// The headers that go along.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
    /// Whose it is.
    pub submitter: Submitter,
}

/// The connection of a job's submitter, as far as claims look at it.
#[derive(Debug)]
pub struct Submitter(Weak<TcpStream>);

impl Submitter {
    /// The one on this connection.
    pub fn on(stream: &Rc<TcpStream>) -> Self {
        Self(Rc::downgrade(stream))
    }

    /// Whether its end has come, seen by the connection's own task or not yet: what comes before it is that one's to read.
    fn has_left(&self) -> bool {
        let Some(stream) = self.0.upgrade() else { return true };
        match SockRef::from(&*stream).peek(&mut [MaybeUninit::uninit()]) {
            Ok(length) => length == 0,
            Err(error) => error.kind() != io::ErrorKind::WouldBlock,
        }
    }
}

/// Whether a claim may go out: "a client that closes its connection has gone", its node may have been told as leaving since
/// it was chosen, or the window for a repeat may be over when its last byte is there, `way_ms` later.
fn may_go(broker: &Broker, claim: &Claim, way_ms: f64) -> bool {
    let request = claim.errand.downcast_ref::<Request>();
    if request.is_some_and(|request| request.submitter.has_left()) {
        broker.left(claim.claim.0);
    }
    broker.may_send(claim, way_ms)
}

/// What is about to go out on a lane, as the lane and its connection both see it.
struct Outgoing {
    broker: Rc<Broker>,
    /// The claim, which counts as one once it is whole; none: a probe.
    claim: RefCell<Option<Claim>>,
    /// The next bytes written begin a request that must not run twice.
    careful: Cell<bool>,
    /// The claim was not sent, or not whole: it was too late for it when its turn came.
    withheld: Cell<bool>,
}

impl Outgoing {
    /// What goes out next; what was known of the one before is forgotten.
    fn begin(&self, claim: Option<&Claim>) {
        self.careful.set(claim.is_some_and(|claim| claim.once));
        self.claim.replace(claim.cloned());
        self.withheld.set(false);
    }

    /// Whether it may go out, now that a connection is there or the last byte's turn has come.
    fn may_go(&self, way_ms: f64) -> bool {
        let claim = self.claim.borrow();
        let may = claim.as_ref().is_none_or(|claim| may_go(&self.broker, claim, way_ms));
        self.withheld.set(!may);
        may
    }
}

/// A connection to a node. Before the last byte of a request that must not run twice it waits a little, and looks
/// whether the node still is there and has nothing to say yet: a kept connection may have ended at the other side, or bring
/// what belongs to the request before, and what breaks before the last byte is written never ran.
struct Socket {
    stream: TcpStream,
    outgoing: Rc<Outgoing>,
    held_back: Option<Pin<Box<Sleep>>>,
    /// Part of a request was written, and no answer to it waited for yet.
    writing: Cell<bool>,
    /// The way to the node, as far as the time that the connection took to come up tells it.
    way_ms: f64,
    counters: Rc<Counters>,
}

impl fmt::Debug for Socket {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.stream.fmt(f)
    }
}

impl Socket {
    /// The client reads only once it has written a request whole.
    fn reads(&self) {
        if self.writing.take() && self.outgoing.claim.borrow().is_some() {
            self.counters.claim_written();
        }
    }

    /// How long the last byte waits.
    fn wait(&self) -> Duration {
        span(self.way_ms * 2.0 * WAYS).max(HELD_BACK)
    }
}

impl AsyncRead for Socket {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        self.reads();
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl AsyncWrite for Socket {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        self.writing.set(true);
        if self.outgoing.careful.get() && buf.len() > 1 {
            let written = ready!(Pin::new(&mut self.stream).poll_write(cx, &buf[..buf.len() - 1]))?;
            if written == buf.len() - 1 {
                self.outgoing.careful.set(false);
                self.held_back = Some(Box::pin(tokio::time::sleep(self.wait())));
            }
            return Poll::Ready(Ok(written));
        }
        if let Some(held_back) = &mut self.held_back {
            ready!(held_back.as_mut().poll(cx));
            self.held_back = None;
            // Its end, or what nobody has asked for yet: an answer that comes a second time would be taken for this job's.
            let mut byte = [0];
            if let Poll::Ready(came) = self.stream.poll_peek(cx, &mut ReadBuf::new(&mut byte)) {
                return Poll::Ready(Err(came.err().unwrap_or(io::ErrorKind::BrokenPipe.into())));
            }
            if !self.outgoing.may_go(self.way_ms) {
                return Poll::Ready(Err(io::ErrorKind::TimedOut.into()));
            }
        }
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}

impl ActixStream for Socket {
    fn poll_read_ready(&self, cx: &mut Context<'_>) -> Poll<io::Result<Ready>> {
        self.reads();
        ActixStream::poll_read_ready(&self.stream, cx)
    }

    fn poll_write_ready(&self, cx: &mut Context<'_>) -> Poll<io::Result<Ready>> {
        ActixStream::poll_write_ready(&self.stream, cx)
    }
}

/// A client that holds one connection at most, so that it is known whether a claim went out on a kept one.
pub(crate) struct Lane {
    pub(crate) client: Client,
    /// Connections made so far.
    made: Rc<Cell<usize>>,
    outgoing: Rc<Outgoing>,
    idle_since_ms: f64,
}

impl Lane {
    /// What goes out next is no claim.
    pub(crate) fn for_a_probe(&self) {
        self.outgoing.begin(None);
    }

    /// How many connections it has made so far.
    pub(crate) fn made(&self) -> usize {
        self.made.get()
    }

    fn new(network: &Network, broker: &Rc<Broker>, counters: &Rc<Counters>, clock: &Clock) -> Self {
        let (clock, counters, broker) = (clock.clone(), counters.clone(), broker.clone());
        let (claim, careful, withheld) = (RefCell::new(None), Cell::new(false), Cell::new(false));
        let outgoing = Rc::new(Outgoing { broker, claim, careful, withheld });
        let made = Rc::new(Cell::new(0));
        let (count, outgoing_there) = (made.clone(), outgoing.clone());
        let connect = fn_service(move |info: ConnectInfo<Uri>| {
            let (count, outgoing, counters) = (count.clone(), outgoing_there.clone(), counters.clone());
            let clock = clock.clone();
            async move {
                let asked = clock.now();
                let stream = open(&info).await?;
                let way_ms = (clock.now() - asked) / 2.0;
                count.set(count.get() + 1);
                if !outgoing.may_go(way_ms) {
                    return Err(TcpError::Io(io::ErrorKind::TimedOut.into()));
                }
                let (held_back, writing) = (None, Cell::new(false));
                let socket = Socket { stream, outgoing, held_back, writing, way_ms, counters };
                Ok(Connection::new(info.request().clone(), socket))
            }
        });
        let connector = Connector::new().connector(connect).timeout(span(network.connect_timeout_ms));
        // How long a connection is kept is looked at here, not in the pool.
        let connector = connector.conn_keep_alive(FOR_EVER).conn_lifetime(FOR_EVER);
        let builder = Client::builder().connector(connector).disable_timeout().disable_redirects();
        Self { client: builder.no_default_headers().finish(), made, outgoing, idle_since_ms: 0.0 }
    }
}

/// A connection whose small writes go out at once: what the system still holds back goes with a reset.
async fn open(info: &ConnectInfo<Uri>) -> Result<TcpStream, TcpError> {
    let address = info.addrs().next().ok_or(TcpError::Unresolved)?;
    let stream = TcpStream::connect(address).await.map_err(TcpError::Io)?;
    stream.set_nodelay(true).map_err(TcpError::Io)?;
    Ok(stream)
}

/// The client for discovery: no retries, no redirects, no time-out but that of connecting.
pub(crate) fn client(network: &Network) -> Client {
    let connect = fn_service(|info: ConnectInfo<Uri>| async move {
        let stream = open(&info).await?;
        Ok::<_, TcpError>(Connection::new(info.request().clone(), stream))
    });
    let connector = Connector::new().connector(connect).timeout(span(network.connect_timeout_ms));
    Client::builder().connector(connector).disable_timeout().disable_redirects().no_default_headers().finish()
}

/// The claims that are out and the connections kept for further ones.
pub struct Claims {
    broker: Rc<Broker>,
    clock: Clock,
    counters: Rc<Counters>,
    network: RefCell<Network>,
    /// Connections to nodes that may be held.
    limit: Cell<usize>,
    out: RefCell<BTreeMap<(u64, usize), (SocketAddr, AbortHandle)>>,
    /// Lanes in use, those whose streams are read to their ends too.
    busy: Cell<usize>,
    /// The part of the claims on kept connections that broke.
    breaks: Cell<f64>,
    idle: RefCell<BTreeMap<SocketAddr, Vec<Lane>>>,
}

/// Counts a lane as busy for as long as it lives.
pub(crate) struct Busy(Rc<Claims>);

impl Drop for Busy {
    fn drop(&mut self) {
        self.0.busy.set(self.0.busy.get() - 1);
    }
}

/// How a claim ended.
struct End {
    outcome: Outcome,
    result: Option<Bytes>,
    load: Option<LoadReport>,
}

impl From<Outcome> for End {
    fn from(outcome: Outcome) -> Self {
        Self { outcome, result: None, load: None }
    }
}

impl Claims {
    /// Claims for a broker, on so many connections at most.
    pub fn new(
        network: Network,
        broker: Rc<Broker>,
        clock: Clock,
        counters: Rc<Counters>,
        limit: usize,
    ) -> Rc<Self> {
        Rc::new(Self {
            broker,
            clock,
            counters,
            network: RefCell::new(network),
            limit: Cell::new(limit),
            out: RefCell::default(),
            busy: Cell::new(0),
            breaks: Cell::new(0.0),
            idle: RefCell::default(),
        })
    }

    /// Takes new limits; claims that are out stay as they are, and so do kept connections as far as they fit.
    pub fn limit_to(&self, limit: usize, network: &Network) {
        self.limit.set(limit);
        self.network.replace(network.clone());
        self.make_room(&mut self.idle.borrow_mut(), limit + 1);
    }

    /// What a probe asks for, and how long it waits.
    pub(crate) fn of_probes(&self) -> (Asked, Duration) {
        let network = self.network.borrow();
        (network.probe, span(network.probe_timeout_ms))
    }

    /// Starts a claim.
    pub fn start(self: &Rc<Self>, claim: Claim) {
        let (address, errand) = (claim.address, claim.errand.clone().downcast::<Request>());
        let Some((address, errand)) = address.zip(errand.ok()) else {
            // Of a pool that listens nowhere, or another protocol's: nothing that could be sent.
            return self.broker.ended(claim.claim, Outcome::Skipped, None, None);
        };
        if !may_go(&self.broker, &claim, 0.0) {
            return self.broker.ended(claim.claim, Outcome::Skipped, None, None);
        }
        let there = self.out.borrow().values().filter(|out| out.0 == address).count();
        let too_often = self.network.borrow().connection_of_a_job.max(FEWEST_TOLD);
        let fresh = claim.fresh || (claim.once && self.breaks.get() > too_often);
        let lane = if there < AT_ONE_NODE { self.take_lane(address, fresh) } else { None };
        let Some((lane, busy)) = lane else {
            return self.broker.ended(claim.claim, Outcome::Skipped, None, None);
        };
        let this = self.clone();
        let number = claim.claim;
        // Registered before the task first runs: tasks of this thread start only after this call.
        let task = actix_rt::spawn(async move {
            this.run(claim, address, &errand, lane).await;
            drop(busy);
        });
        self.out.borrow_mut().insert(number, (address, task.abort_handle()));
    }

    /// A lane of its own to a node for one exchange, and what counts it for as long as it is in use; none beyond the limit.
    pub(crate) fn take_lane(self: &Rc<Self>, address: SocketAddr, fresh: bool) -> Option<(Lane, Busy)> {
        if self.busy.get() >= self.limit.get() {
            return None;
        }
        let lane = self.lane(address, fresh);
        self.busy.set(self.busy.get() + 1);
        Some((lane, Busy(self.clone())))
    }

    /// Keeps a lane on which an exchange was read to its end.
    pub(crate) fn keep_lane(&self, address: SocketAddr, mut lane: Lane) {
        lane.idle_since_ms = self.clock.now();
        self.idle.borrow_mut().entry(address).or_default().push(lane);
    }

    /// A lane to a node: the one used last, which the node is likeliest to have kept, or a new one, for which the one
    /// idle for longest makes room.
    fn lane(&self, address: SocketAddr, fresh: bool) -> Lane {
        let mut idle = self.idle.borrow_mut();
        // A node closes connections that were idle for `conn_idle`; a claim written to one then would be lost.
        let oldest = self.clock.now() - self.network.borrow().conn_kept_ms();
        for lanes in idle.values_mut() {
            lanes.retain(|lane| lane.idle_since_ms > oldest);
        }
        idle.retain(|_, lanes| !lanes.is_empty());
        if !fresh && let Some(lane) = idle.get_mut(&address).and_then(Vec::pop) {
            return lane;
        }
        self.make_room(&mut idle, self.limit.get());
        Lane::new(&self.network.borrow(), &self.broker, &self.counters, &self.clock)
    }

    /// Closes those idle for longest until fewer than this are held.
    fn make_room(&self, idle: &mut BTreeMap<SocketAddr, Vec<Lane>>, fewer_than: usize) {
        while self.busy.get() + idle.values().map(Vec::len).sum::<usize>() >= fewer_than {
            let since = |lanes: &Vec<Lane>| lanes.first().map_or(f64::MAX, |lane| lane.idle_since_ms);
            let longest = idle.values_mut().min_by(|left, right| since(left).total_cmp(&since(right)));
            match longest {
                Some(lanes) if !lanes.is_empty() => drop(lanes.remove(0)),
                _ => break,
            }
        }
    }

    /// Gives a claim up: its connection is closed, whatever has come on it.
    pub fn withdraw(&self, claim: (u64, usize)) {
        let Some((_, task)) = self.out.borrow_mut().remove(&claim) else {
            return; // its outcome is already told
        };
        task.abort();
        self.broker.ended(claim, Outcome::Cancelled, None, None);
    }

    async fn run(&self, claim: Claim, address: SocketAddr, errand: &Request, lane: Lane) {
        let mut tail = None;
        let wait = self.clock.until(claim.until_ms);
        let end = tokio::time::timeout(wait, self.perform(&claim, address, errand, &lane, &mut tail)).await;
        let End { outcome, result, load } = end.unwrap_or_else(|_| Outcome::TimedOut.into());
        // Whoever takes the claim off the table tells its outcome.
        if self.out.borrow_mut().remove(&claim.claim).is_none() {
            return;
        }
        self.broker.ended(claim.claim, outcome, result, load);
        // Only a stream read to its end, with nothing behind its last line, gives its connection back.
        let Some(mut stream) = tail else { return };
        if let Ok(None) = tokio::time::timeout(TAIL, stream.next()).await {
            self.keep_lane(address, lane);
        }
    }

    async fn perform(
        &self,
        claim: &Claim,
        address: SocketAddr,
        errand: &Request,
        lane: &Lane,
        tail: &mut Option<awc::ClientResponse>,
    ) -> End {
        let url = format!("http://{address}{}", errand.target);
        let mut request = lane.client.request(errand.method.clone(), url).address(address);
        *request.headers_mut() = errand.headers.clone();
        let left = (claim.until_ms - self.clock.now()).max(0.0) as u64;
        request = request.insert_header(("x-remaining-ms", left));
        let made = lane.made.get();
        lane.outgoing.begin(Some(claim));
        let sent = request.send_body(errand.body.clone()).await;
        let kept = made > 0 && lane.made.get() == made;
        if kept {
            let broke = f64::from(u8::from(sent.is_err()));
            self.breaks.set(self.breaks.get() + (broke - self.breaks.get()) * NEWEST);
        }
        let mut response = match sent {
            Ok(response) => response,
            // Held back here: nothing is told of the node, and nothing ran.
            Err(_) if lane.outgoing.withheld.get() => return Outcome::Skipped.into(),
            Err(error) => return outcome_of(&error, kept).into(),
        };
        let status = response.status().as_u16();
        if status != 200 {
            let (turned_away, load) = (turned_away(&response), header_load(&response));
            *tail = Some(response);
            let outcome = match status {
                503 | 504 if turned_away => Outcome::Full,
                // Guards nodes against jobs that no node can use: those are no failures of theirs.
                400..=499 => Outcome::Unusable,
                _ => Outcome::Error,
            };
            return End { outcome, result: None, load };
        }
        let (mut lines, mut clean) = (BytesMut::new(), true);
        while let Some(Ok(bytes)) = response.next().await {
            lines.extend_from_slice(&bytes);
            while let Some(end) = lines.iter().position(|byte| *byte == b'\n') {
                let line = lines.split_to(end + 1);
                match read_line(&line, &errand.id, &claim.node) {
                    News::Started => self.broker.started(claim.claim),
                    News::Progress(done) => self.broker.progress(claim.claim, done),
                    News::End(end) => {
                        *tail = (clean && lines.is_empty()).then_some(response);
                        return end;
                    }
                    News::Empty => {}
                    // The job's own last line may still come; a connection so confused is not used again.
                    News::Unread => {
                        clean = false;
                        self.counters.count("claims", "lines_not_read");
                        let line =
                            format_args!("{}: a line that is torn, garbled or of another job", claim.node);
                        self.counters.say(self.clock.now(), line);
                    }
                }
            }
            if lines.len() > LONGEST_LINE {
                break;
            }
        }
        // Broken or ended before its last line: the job may have run.
        Outcome::Reset.into()
    }
}

/// What a failed request says of the job. It never ran only if its last byte surely was not written: no connection came
/// up, or a write failed. A connection that ended before the answer is reported among the connect errors, too, but then
/// the request had been written. On a kept connection none of this says anything of the node: it may have closed it
/// long before.
pub(crate) fn outcome_of(error: &SendRequestError, kept: bool) -> Outcome {
    use actix_http::error::ParseError;
    match error {
        SendRequestError::Send(_) if kept => Outcome::Skipped,
        SendRequestError::Connect(ConnectError::Disconnected)
        | SendRequestError::Response(ParseError::Io(_) | ParseError::Incomplete)
            if kept =>
        {
            Outcome::Broken
        }
        SendRequestError::Connect(ConnectError::Disconnected) => Outcome::Reset,
        SendRequestError::Connect(_) | SendRequestError::Send(_) | SendRequestError::Url(_) => {
            Outcome::ConnectFailed
        }
        _ => Outcome::Reset,
    }
}

enum News {
    Started,
    Progress(f64),
    End(End),
    /// An empty line.
    Empty,
    /// Torn, garbled, unknown, or of another job or node.
    Unread,
}

#[derive(Deserialize)]
struct Line<'a> {
    #[serde(borrow)]
    id: std::borrow::Cow<'a, str>,
    #[serde(borrow)]
    from: std::borrow::Cow<'a, str>,
    #[serde(borrow)]
    state: std::borrow::Cow<'a, str>,
    share: Option<f64>,
    result: Option<String>,
    load: Option<Fields>,
}

/// One line of a node's stream about a job.
fn read_line(line: &[u8], id: &str, node: &str) -> News {
    if line.iter().all(u8::is_ascii_whitespace) {
        return News::Empty;
    }
    let Ok(line) = serde_json::from_slice::<Line<'_>>(line) else { return News::Unread };
    if line.id != id || line.from != node {
        return News::Unread;
    }
    let load = line.load.as_ref().map(read_fields);
    let end = |outcome, result| News::End(End { outcome, result, load });
    match (line.state.as_ref(), line.result) {
        ("started", _) => News::Started,
        ("running", _) => News::Progress(line.share.unwrap_or(0.0)),
        ("done", Some(result)) => end(Outcome::Served, Some(Bytes::from(result))),
        ("failed", _) => end(Outcome::Error, None),
        ("returned", _) => end(Outcome::Full, None),
        ("lost", _) => end(Outcome::Reset, None),
        // Without a result there is nothing to serve.
        _ => News::Unread,
    }
}

/// A report of amounts that make sense.
fn report(free_slots: Option<f64>, queued: Option<f64>) -> LoadReport {
    let sound = |amount: &f64| (0.0..=LARGEST_LOAD).contains(amount);
    LoadReport { free_slots: free_slots.filter(sound), queued: queued.filter(sound) }
}

/// Whether an answer says that its request was never looked at.
pub(crate) fn turned_away(answer: &awc::ClientResponse) -> bool {
    answer.headers().get("x-turned-away").is_some_and(|value| value == "1")
}

/// The load report in an answer's header.
pub(crate) fn header_load(answer: &awc::ClientResponse) -> Option<LoadReport> {
    answer.headers().get("x-pressure").and_then(|value| value.to_str().ok()).map(read_header)
}

/// A load report by its fields.
pub(crate) type Fields = BTreeMap<String, serde_json::Value>;

pub(crate) fn read_fields(load: &Fields) -> LoadReport {
    let value = |name: &str| load.get(name).and_then(serde_json::Value::as_f64);
    report(value("x0"), value("queue").or(value("backlog")))
}

/// A load report in a header: `TEXT name=value, name=value`.
pub(crate) fn read_header(text: &str) -> LoadReport {
    let pairs = text.trim_start_matches("TEXT").split(',').filter_map(|pair| pair.trim().split_once('='));
    let (mut free_slots, mut queued) = (None, None);
    for (name, value) in pairs {
        match name.trim() {
            "x0" => free_slots = value.trim().parse().ok(),
            "queue" | "backlog" => queued = value.trim().parse().ok(),
            _ => {}
        }
    }
    report(free_slots, queued)
}
