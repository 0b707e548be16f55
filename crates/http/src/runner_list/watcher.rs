//! The watch on a discovery service: its one clock of silence, and the version to go on from.

use std::cell::{Cell, RefCell};
use std::convert::Infallible;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use awc::Client;
use bytes::BytesMut;
use futures_util::StreamExt as _;
use ruddervalve::ListKind;
use ruddervalve_broker::{Broker, Clock, ListUpdate, duration_from_ms};
use ruddervalve_settings::Network;

use super::format::{next_list, read_list};

/// "An empty line comes every 2 s while nothing changes": a watch that is silent for longer by half has fallen silent,
/// and as long again is left to open another one and be told.
const WATCH_SILENCE_MS: f64 = 3_000.0;
/// "What it misses counts as told 6 s after it fell silent", and it did no sooner than something was last heard.
const TOLD_AFTER_SILENCE_MS: f64 = 6_000.0;
/// "After SIGHUP it counts 4 s later."
const TOLD_AFTER_MOVE_MS: f64 = 4_000.0;
/// A call that is not answered within this is made again: a second one still fits in before what a silent watch missed
/// counts as told. Discovery that is asked handles calls in turn and may let them wait for longer than that: each call
/// in a row that is given up doubles the time of the next one, so many times at most.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
const CALL_DOUBLINGS: u32 = 2;

/// The state of the watch. Only [`ListWatcher`]'s functions named for a transition change it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) enum Watch {
    /// There is none; in time somebody asks for one.
    Closed,
    /// It was called for, and nothing has come yet.
    Called { since_ms: f64 },
    /// This was when something was last heard of it.
    Open { heard_ms: f64 },
}

/// What the watch has to know of its list.
pub(super) struct ListWatcher {
    pub(super) client: RefCell<Client>,
    pub(super) broker: Rc<Broker>,
    pub(super) clock: Clock,
    pub(super) watch: Cell<Watch>,
    /// Milliseconds of the clock: when what was missed since something was last heard counts as told, whatever becomes
    /// of further calls; for ever where only the decisions' own time for asking counts.
    pub(super) counts_as_told_ms: Cell<f64>,
    /// The list in hand is this discovery's: its version is one to go on from.
    pub(super) same_service: Cell<bool>,
    /// How long an agent beside the dispatcher may take to answer, and the longest pause before it is called again;
    /// none where discovery is asked, as the decisions then say when.
    pub(super) agent: Cell<Option<AgentTimes>>,
    /// Watches on an agent that ended since one last told something.
    pub(super) ended: Cell<u32>,
    /// Calls given up in a row.
    pub(super) unanswered: Cell<u32>,
}

/// How an agent is called.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct AgentTimes {
    /// How long it may take to answer.
    answer: Duration,
    /// The longest pause before it is called again.
    longest_pause: Duration,
}

/// What an agent has counts as told while no watch is open, and asking it costs nothing: the pauses grow only while it
/// stays silent, and a call with the pause behind it stays short beside the grace.
const FIRST_PAUSE: Duration = Duration::from_millis(50);
/// The parts of the grace that a pause and a call may take.
const PAUSE_SHARE_OF_GRACE: f64 = 0.125;
const CALL_SHARE_OF_GRACE: f64 = 0.25;
/// An agent on the dispatcher's own machine answers at once; so long it may take where the grace is short.
const MIN_AGENT_TIMEOUT: Duration = Duration::from_millis(250);

/// How an agent is called under these settings; none where discovery is asked.
pub(super) fn agent_times(network: &Network) -> Option<AgentTimes> {
    network.list_pushed.then(|| AgentTimes {
        answer: duration_from_ms(network.drain_grace_ms * CALL_SHARE_OF_GRACE)
            .clamp(MIN_AGENT_TIMEOUT, CALL_TIMEOUT),
        longest_pause: duration_from_ms(network.drain_grace_ms * PAUSE_SHARE_OF_GRACE).max(FIRST_PAUSE),
    })
}

impl ListWatcher {
    /// A call goes out.
    fn call_sent(&self) {
        self.watch.set(Watch::Called { since_ms: self.clock.now() });
    }

    /// A call was answered, be it with an error.
    fn call_answered(&self) {
        self.unanswered.set(0);
    }

    /// Something was heard, be it an empty line.
    fn heard(&self) {
        let now = self.clock.now();
        self.watch.set(Watch::Open { heard_ms: now });
        self.counts_as_told_ms.set(now + TOLD_AFTER_SILENCE_MS);
        self.ended.set(0);
    }

    /// The list is had elsewhere from now on.
    pub(super) fn moved(&self) {
        self.same_service.set(false);
        self.unanswered.set(0);
        self.counts_as_told_ms.set(self.clock.now() + TOLD_AFTER_MOVE_MS);
    }

    /// A call failed or the watch ended, broken off from either side. Returns how long to pause before the next call;
    /// none where the decisions say when to call.
    pub(super) fn watch_failed(&self, problem: &str) -> Option<Duration> {
        let silent = self.due().is_some_and(|due| due <= self.clock.now());
        match self.watch.replace(Watch::Closed) {
            // Its end was told: the clock of silence does not run.
            Watch::Open { .. } if !silent => self.counts_as_told_ms.set(f64::INFINITY),
            Watch::Called { .. } if silent => self.unanswered.set(self.unanswered.get() + 1),
            _ => {}
        }
        let counts_as_told_ms = self.counts_as_told_ms.get();
        let Some(agent) = self.agent.get() else {
            self.broker.list_failed(problem, false, counts_as_told_ms);
            return None;
        };
        let ended = self.ended.get();
        self.broker.list_failed(problem, ended > 0, counts_as_told_ms);
        self.ended.set(ended.saturating_add(1));
        Some((FIRST_PAUSE * (1 << ended.min(8))).min(agent.longest_pause))
    }

    /// When the watch is given up unless something is heard before.
    fn due(&self) -> Option<f64> {
        let asked = || CALL_TIMEOUT * (1 << self.unanswered.get().min(CALL_DOUBLINGS));
        let answer = self.agent.get().map_or_else(asked, |agent| agent.answer);
        match self.watch.get() {
            Watch::Closed => None,
            Watch::Called { since_ms } => Some(since_ms + answer.as_secs_f64() * 1e3),
            Watch::Open { heard_ms } => Some(heard_ms + WATCH_SILENCE_MS),
        }
    }

    /// Waits for what comes next of the watch, for as long as it may keep silent.
    pub(super) async fn next<T>(&self, comes: impl Future<Output = T>) -> Result<T, String> {
        let wait = self.clock.until(self.due().unwrap_or_default());
        tokio::time::timeout(wait, comes).await.map_err(|_| match self.watch.get() {
            // A machine that was cut off says nothing, and its connection stays open.
            Watch::Open { .. } => "the watch fell silent".to_owned(),
            _ => "no answer".to_owned(),
        })
    }

    /// One watch, from its call to its end, which always is a failure.
    pub(super) async fn run_watch(&self, address: SocketAddr) -> String {
        match self.follow(address).await {
            Err(problem) => problem,
            Ok(never) => match never {},
        }
    }

    pub(super) async fn follow(&self, address: SocketAddr) -> Result<Infallible, String> {
        self.call_sent();
        // Versions are a service's own: another one is asked for its whole list.
        let version = if self.same_service.get() { *self.broker.list_version().borrow() } else { 0 };
        let url = format!("http://{address}/v1/servers?stream=1&index={version}");
        let call = self.client.borrow().get(url).address(address).send();
        let mut response = self.next(call).await?.map_err(|error| error.to_string())?;
        self.call_answered();
        if !response.status().is_success() {
            return Err(format!("status {}", response.status()));
        }
        let (mut read_buffer, mut answered) = (BytesMut::new(), false);
        loop {
            let bytes = self.next(response.next()).await?.ok_or("the watch ended")?;
            read_buffer.extend_from_slice(&bytes.map_err(|error| error.to_string())?);
            self.heard();
            while let Some(list) = next_list(&mut read_buffer)? {
                answered = true;
                self.apply(read_list(&list)?)?;
            }
            // Nothing but an empty line first: nothing changed since the version asked for, and the call is answered
            // so.
            if read_buffer.is_empty() && !std::mem::replace(&mut answered, true) {
                self.broker.list_unchanged();
            }
        }
    }

    fn apply(&self, update: ListUpdate) -> Result<(), String> {
        let in_hand = *self.broker.list_version().borrow();
        match (self.same_service.get(), update.full) {
            // What the list in hand says of runners that leave is not taken back by what was true before. Should the
            // service count anew, its answer to a call for the whole list says so again.
            (true, true) if update.version < in_hand => {
                self.same_service.set(false);
                return Err(format!("a whole list of version {}, older than {in_hand}", update.version));
            }
            // The other process of an upgrade was told sooner, and this one by it.
            (true, false) if update.version <= in_hand => self.broker.list_unchanged(),
            (_, full) => {
                self.same_service.set(true);
                self.broker.list_received(if full { ListKind::Full } else { ListKind::Changes }, update);
            }
        }
        Ok(())
    }
}
