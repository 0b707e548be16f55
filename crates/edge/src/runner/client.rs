//! Sends requests over pooled connections.

use std::cell::{Cell, RefCell};
use std::collections::HashSet;
use std::net::SocketAddr;
use std::pin::{Pin, pin};
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Request, StatusCode};
use tokio::time::{Instant, Sleep, sleep};

use super::answer::{is_trusted, judge, load_of};
use super::connection::{Exchange, ExchangeError, RunnerConnection};
use super::exchange::Exchanged;
use super::pool::{OwnerRef, Permit, Pool, Pooled};
use super::{
    CallbackResult, Delivery, DeliveryResult, HealthResult, InstanceLoad, NotRunReason, RunnerAnswer,
    RunnerSettings, UnclearReason, request, stream,
};

/// Connections whose time is over are looked for so often at most, in milliseconds, along with other work; there is no
/// timer for them.
const PRUNE_INTERVAL_MS: u64 = 1_000;

const INSTANCE_ID: hyper::header::HeaderName = hyper::header::HeaderName::from_static("instance-id");

type Connections = Pool<RunnerConnection>;

/// Sends to runners and receivers. Clones share the connections. It must be used on one thread.
#[derive(Clone)]
pub struct RunnerClient {
    inner: Rc<Inner>,
}

struct Inner {
    settings: RunnerSettings,
    started: Instant,
    deliveries: RefCell<Connections>,
    callbacks: RefCell<Connections>,
    health: RefCell<Connections>,
    pruned_ms: Cell<u64>,
}

/// Where a request goes.
#[derive(Clone, Copy)]
struct Target<'name> {
    pool: &'name RefCell<Connections>,
    address: SocketAddr,
    owner: OwnerRef<'name>,
    most: usize,
    /// The id of the message, which must not have gone over the same connection before.
    request_id: Option<&'name str>,
}

/// Why there is no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum SendError {
    /// It was not sent.
    NotRun(NotRunReason),
    /// It may have arrived.
    Unclear(UnclearReason),
}

/// An answer and the connection that it came on.
struct Answered {
    exchanged: Exchanged,
    pooled: Pooled<RunnerConnection>,
}

impl RunnerClient {
    /// Without connections.
    pub fn new(settings: RunnerSettings) -> Self {
        let pool = || RefCell::new(Pool::new(settings.max_idle_per_address));
        let inner = Inner {
            settings,
            started: Instant::now(),
            deliveries: pool(),
            callbacks: pool(),
            health: pool(),
            pruned_ms: Cell::new(0),
        };
        Self { inner: Rc::new(inner) }
    }

    /// Delivers a message once. Dropping the future closes the connection, and most runners then drop the message.
    pub async fn deliver(&self, delivery: Delivery) -> DeliveryResult {
        let started = Instant::now();
        let mut new_connection = false;
        let (answer, load) = match self.inner.deliver(&delivery, &mut new_connection).await {
            Ok(delivered) => (delivered.answer, delivered.load),
            Err(SendError::NotRun(reason)) => (RunnerAnswer::NotRun { reason, retry_after_ms: None }, None),
            Err(SendError::Unclear(reason)) => (RunnerAnswer::Unclear { reason }, None),
        };
        DeliveryResult { answer, load, new_connection, elapsed_ms: milliseconds(started.elapsed()) }
    }

    /// Tells a receiver how a message ended.
    pub async fn call_back(
        &self,
        address: SocketAddr,
        host: &str,
        path: &str,
        body: Bytes,
        timeout_ms: u64,
    ) -> CallbackResult {
        let inner = &self.inner;
        let target = Target {
            pool: &inner.callbacks,
            address,
            owner: OwnerRef { service: host, instance: None },
            most: inner.settings.callback_connections,
            request_id: None,
        };
        let build = || request::call_back(host, path, body.clone());
        let Ok(answered) = inner.send(target, build, timeout_ms, &mut false).await else {
            return CallbackResult::Failed;
        };
        let status = answered.exchanged.status;
        let whole = answered.exchanged.is_whole();
        inner.keep(target, answered);
        match status {
            _ if !whole => CallbackResult::Failed,
            StatusCode::OK => CallbackResult::Taken,
            other => CallbackResult::Refused(other.as_u16()),
        }
    }

    /// Asks a runner how it is. The runner answers when it has a slot.
    pub async fn health(&self, address: SocketAddr, path: &str, timeout_ms: u64) -> HealthResult {
        let inner = &self.inner;
        let target = Target {
            pool: &inner.health,
            address,
            owner: OwnerRef { service: "", instance: None },
            most: inner.settings.health_connections,
            request_id: None,
        };
        let build = || request::health(address, path);
        let Ok(answered) = inner.send(target, build, timeout_ms, &mut false).await else {
            return HealthResult::default();
        };
        let headers = &answered.exchanged.headers;
        let result = HealthResult {
            status: answered.exchanged.is_whole().then(|| answered.exchanged.status.as_u16()),
            instance_id: headers.get(INSTANCE_ID).and_then(|id| id.to_str().ok()).map(str::to_owned),
            load: load_of(headers),
        };
        inner.keep(target, answered);
        if result.status.is_some() { result } else { HealthResult::default() }
    }

    /// Closes idle connections to runners whose address is not among these, and busy ones after their present request.
    /// Connections to receivers of call-backs stay until their time is over.
    pub fn retain(&self, addresses: &HashSet<SocketAddr>) {
        self.inner.deliveries.borrow_mut().retain(|address| addresses.contains(address));
        self.inner.health.borrow_mut().retain(|address| addresses.contains(address));
    }

    /// How many connections for deliveries are open to an address, idle ones included.
    pub fn open_connections(&self, address: SocketAddr) -> usize {
        self.inner.deliveries.borrow().open_connections(&address)
    }
}

/// What a runner answered.
struct Delivered {
    answer: RunnerAnswer,
    load: Option<InstanceLoad>,
}

impl Inner {
    async fn deliver(&self, delivery: &Delivery, new_connection: &mut bool) -> Result<Delivered, SendError> {
        let target = Target {
            pool: &self.deliveries,
            address: delivery.address,
            owner: OwnerRef { service: &delivery.service, instance: delivery.expected_instance.as_deref() },
            most: delivery.max_connections_here,
            request_id: Some(&delivery.request_id),
        };
        let build = || request::delivery(delivery);
        let limit_ms = delivery.deadline_ms.saturating_add(self.settings.answer_margin_ms);
        let answered = self.send(target, build, limit_ms, new_connection).await?;
        let answer = judge(&answered.exchanged, &delivery.request_id);
        let trusted = is_trusted(&answer);
        // An answer of another message says nothing about the runner now.
        let load = trusted.then(|| load_of(&answered.exchanged.headers)).flatten();
        if trusted {
            self.keep(target, answered);
        }
        Ok(Delivered { answer, load })
    }

    /// Sends a request once. If an idle connection turns out to be closed before a byte was given to the system, the
    /// request goes to a new one. The proof is the socket's own: no write of this exchange was taken by the system, not
    /// even in part. What hyper says of the request (that it was cancelled, or that it hands it back) is not asked.
    async fn send(
        &self,
        target: Target<'_>,
        build: impl Fn() -> Option<Request<Full<Bytes>>>,
        limit_ms: u64,
        new_connection: &mut bool,
    ) -> Result<Answered, SendError> {
        let build = || build().ok_or(SendError::NotRun(NotRunReason::Unsendable));
        let first = build()?;
        self.prune();
        if let Some(mut pooled) = self.take_idle(target) {
            let mut limit = pin!(sleep(Duration::from_millis(limit_ms)));
            match self.exchange(&mut pooled, target, first, limit.as_mut()).await {
                Ok(exchanged) => return Ok(Answered { exchanged, pooled }),
                Err(ExchangeError::Unclear(reason)) => return Err(SendError::Unclear(reason)),
                Err(ExchangeError::NotWritten) if limit.is_elapsed() => {
                    return Err(SendError::NotRun(NotRunReason::ConnectFailed));
                }
                Err(ExchangeError::NotWritten) => {}
            }
        }
        let mut pooled = self.open(target, new_connection).await?;
        let limit = pin!(sleep(Duration::from_millis(limit_ms)));
        match self.exchange(&mut pooled, target, build()?, limit).await {
            Ok(exchanged) => Ok(Answered { exchanged, pooled }),
            Err(ExchangeError::NotWritten) => Err(SendError::NotRun(NotRunReason::ConnectFailed)),
            Err(ExchangeError::Unclear(reason)) => Err(SendError::Unclear(reason)),
        }
    }

    async fn exchange(
        &self,
        pooled: &mut Pooled<RunnerConnection>,
        target: Target<'_>,
        request: Request<Full<Bytes>>,
        limit: Pin<&mut Sleep>,
    ) -> Result<Exchanged, ExchangeError> {
        let exchange =
            Exchange { request, request_id: target.request_id, most: self.settings.max_answer_bytes };
        pooled.connection.exchange(exchange, limit).await
    }

    /// An idle connection that is still open and has not carried this message.
    fn take_idle(&self, target: Target<'_>) -> Option<Pooled<RunnerConnection>> {
        let is_new_there = |connection: &RunnerConnection| {
            target.request_id.is_none_or(|request_id| !connection.has_carried(request_id))
        };
        loop {
            let now_ms = self.now_ms();
            let mut pool = target.pool.borrow_mut();
            let pooled = pool.take_idle(target.address, target.owner, now_ms, is_new_there)?;
            drop(pool);
            if pooled.connection.is_usable() {
                return Some(pooled);
            }
        }
    }

    async fn open(
        &self,
        target: Target<'_>,
        new_connection: &mut bool,
    ) -> Result<Pooled<RunnerConnection>, SendError> {
        let permit = self.permit(target).ok_or(SendError::NotRun(NotRunReason::NoConnection))?;
        *new_connection = true;
        let failed = SendError::NotRun(NotRunReason::ConnectFailed);
        let stream = stream::open(target.address, &self.settings).await.map_err(|_| failed)?;
        let connection = RunnerConnection::new(stream).await.map_err(|_| failed)?;
        Ok(Pooled { connection, owner: target.owner.into(), permit })
    }

    fn permit(&self, target: Target<'_>) -> Option<Permit> {
        let now_ms = self.now_ms();
        target.pool.borrow_mut().permit(target.address, target.most, now_ms)
    }

    /// Puts a connection back if it can be used again.
    fn keep(&self, target: Target<'_>, answered: Answered) {
        if !answered.exchanged.reusable {
            return;
        }
        let longest_ms = self.settings.idle_timeout_ms;
        let kept_ms = answered.exchanged.keep_alive_ms.map_or(longest_ms, |theirs_ms| {
            theirs_ms.saturating_sub(self.settings.keep_alive_margin_ms).min(longest_ms)
        });
        if kept_ms > 0 {
            let expires_ms = self.now_ms().saturating_add(kept_ms);
            target.pool.borrow_mut().checkin(target.address, answered.pooled, expires_ms);
        }
    }

    fn prune(&self) {
        let now_ms = self.now_ms();
        if now_ms < self.pruned_ms.get().saturating_add(PRUNE_INTERVAL_MS) {
            return;
        }
        self.pruned_ms.set(now_ms);
        for pool in [&self.deliveries, &self.callbacks, &self.health] {
            pool.borrow_mut().prune(now_ms);
        }
    }

    fn now_ms(&self) -> u64 {
        milliseconds(self.started.elapsed())
    }
}

fn milliseconds(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
