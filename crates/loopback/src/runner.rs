//! A runner: it works on messages, and misbehaves when it is told to.

use std::collections::VecDeque;
use std::net::{IpAddr, SocketAddr};
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use tokio::net::TcpStream;
use tokio::sync::Semaphore;

use crate::http_connection::HttpConnection;
use crate::instance_list::{InstanceList, ListedRunner, RunnerPhase};
use crate::run_log::RunLog;
use crate::runner_exchange::serve_requests;
use crate::server::Server;

/// Runners that this process has started: each is a new incarnation with a new `Uid`.
static INCARNATIONS: AtomicU64 = AtomicU64::new(1);

/// How a runner is made.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RunnerPlan {
    /// Its service.
    pub service: String,
    /// Its zone.
    pub zone: String,
    /// Messages that it works on at the same time.
    pub slots: u32,
    /// Messages that it lets wait beyond those; more get 503.
    pub queue: u32,
    /// How long it works on a message.
    pub work: Duration,
    /// Connections across all callers; any more are reset.
    pub max_connections: u32,
    /// Whether answers carry `Instance-Load`.
    pub tells_load: bool,
}

impl RunnerPlan {
    /// A quick runner of this service with four slots.
    pub fn of(service: &str) -> Self {
        Self {
            service: service.to_owned(),
            zone: "north".to_owned(),
            slots: 4,
            queue: 8,
            work: Duration::from_millis(20),
            max_connections: 64,
            tells_load: true,
        }
    }
}

/// What a runner does with a message instead of working on it and answering.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Misbehaviour {
    /// 500: this attempt failed.
    Fail,
    /// 422: it can never be done.
    Reject,
    /// 503 with `Not-Executed`: it has not run.
    TurnAway,
    /// It runs, and the connection closes without an answer.
    LoseAnswer,
    /// It runs, and the last byte of the answer is never sent; the connection stays open.
    WithholdByte,
    /// It runs, and the connection closes before the last byte of the answer.
    CutAnswer,
    /// It runs, and the same answer is sent twice.
    SecondAnswer,
    /// It runs, and the same answer is sent a second time before the next answer on its connection.
    LateSecondAnswer,
    /// It fails, and a success of another message is sent in the place of its answer.
    ForeignAnswer,
    /// It fails, and a success without a signature is sent.
    Unsigned,
    /// It fails, and bytes are sent that are no HTTP.
    Garbage,
    /// It works on and on, and says nothing.
    Hang,
}

/// What the connections of a runner share.
#[derive(Debug)]
pub(crate) struct RunnerState {
    pub uid: String,
    pub plan: RunnerPlan,
    pub slots: Semaphore,
    pub waiting: AtomicU32,
    pub connections: AtomicU32,
    pub draining: AtomicBool,
    pub misbehaviours: Mutex<VecDeque<Misbehaviour>>,
    /// Second answers that were sent before the answer to another message.
    pub late_second_answers: AtomicU64,
    pub log: RunLog,
}

impl RunnerState {
    /// What to do with the next message.
    pub(crate) fn next_misbehaviour(&self) -> Option<Misbehaviour> {
        self.misbehaviours.lock().unwrap_or_else(PoisonError::into_inner).pop_front()
    }

    /// `Instance-Load`.
    pub(crate) fn load(&self) -> String {
        let free = u32::try_from(self.slots.available_permits()).unwrap_or(u32::MAX);
        let running = self.plan.slots.saturating_sub(free);
        format!("{running},{},{}", self.waiting.load(Ordering::Relaxed), self.plan.slots)
    }
}

/// A runner, from its start to its end. Dropped, it crashes and stays on the list.
#[derive(Debug)]
pub struct Runner {
    state: Arc<RunnerState>,
    server: Server,
    list: Option<Arc<InstanceList>>,
}

impl Runner {
    /// Starts it and puts it on the list. Its runs go into `log`.
    ///
    /// # Errors
    /// The address cannot be listened on.
    pub async fn start(
        ip: IpAddr,
        plan: RunnerPlan,
        list: &Arc<InstanceList>,
        log: &RunLog,
    ) -> std::io::Result<Self> {
        let mut runner = Self::start_unlisted(ip, plan, log).await?;
        list.add(runner.entry());
        runner.list = Some(Arc::clone(list));
        Ok(runner)
    }

    /// Starts it as a single endpoint, which appears on no list.
    ///
    /// # Errors
    /// The address cannot be listened on.
    pub async fn start_unlisted(ip: IpAddr, plan: RunnerPlan, log: &RunLog) -> std::io::Result<Self> {
        let number = INCARNATIONS.fetch_add(1, Ordering::Relaxed);
        let state = Arc::new(RunnerState {
            uid: format!("i-{number:04x}"),
            slots: Semaphore::new(plan.slots as usize),
            plan,
            waiting: AtomicU32::new(0),
            connections: AtomicU32::new(0),
            draining: AtomicBool::new(false),
            misbehaviours: Mutex::default(),
            late_second_answers: AtomicU64::new(0),
            log: log.clone(),
        });
        let served = Arc::clone(&state);
        let server = Server::start(ip, move |stream| serve(stream, Arc::clone(&served))).await?;
        Ok(Self { state, server, list: None })
    }

    /// Its `Uid`.
    pub fn uid(&self) -> &str {
        &self.state.uid
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Does this with the next message that no earlier order is for.
    pub fn misbehave(&self, misbehaviour: Misbehaviour) {
        self.state.misbehaviours.lock().unwrap_or_else(PoisonError::into_inner).push_back(misbehaviour);
    }

    /// How many second answers it has sent before the answer to another message.
    pub fn late_second_answers(&self) -> u64 {
        self.state.late_second_answers.load(Ordering::Relaxed)
    }

    /// Stands on the list as draining, and calls itself unwell; it serves on.
    pub fn drain(&self) {
        self.state.draining.store(true, Ordering::Relaxed);
        if let Some(list) = &self.list {
            list.drain(&self.state.uid);
        }
    }

    /// Ends at once: connections close, what runs is broken off. It stays on the list.
    pub fn crash(&self) {
        self.server.end();
    }

    /// Ends at once and leaves the list.
    pub fn end(&self) {
        self.crash();
        if let Some(list) = &self.list {
            list.remove(&self.state.uid);
        }
    }

    fn entry(&self) -> ListedRunner {
        ListedRunner {
            uid: self.state.uid.clone(),
            service: self.state.plan.service.clone(),
            address: self.address(),
            zone: self.state.plan.zone.clone(),
            capacity: self.state.plan.slots,
            phase: RunnerPhase::Ready,
        }
    }
}

/// Counts a connection while it is open.
struct Counted<'a>(&'a AtomicU32);

impl Drop for Counted<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

async fn serve(stream: TcpStream, state: Arc<RunnerState>) {
    let connection = HttpConnection::new(stream);
    let open = state.connections.fetch_add(1, Ordering::Relaxed);
    let _counted = Counted(&state.connections);
    if open >= state.plan.max_connections {
        connection.reset();
        return;
    }
    serve_requests(connection, &state).await;
}
