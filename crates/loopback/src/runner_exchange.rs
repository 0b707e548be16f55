//! What a runner does on one connection.

use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use tokio::sync::SemaphorePermit;
use tokio::time::{Instant, sleep};

use crate::http_connection::HttpConnection;
use crate::http_message::{HttpRequest, HttpResponse};
use crate::run_log::{Outcome, Run, RunLog, RunNumber};
use crate::runner::{Misbehaviour, RunnerState};

/// How long connections that are left idle stay open, in seconds, as answers say it.
const KEEP_ALIVE: &str = "timeout=10";
/// `Deadline-Ms` where a request has none.
const LONGEST_RUN_MS: u64 = 60_000;

/// Whether the connection may carry another request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Next {
    GoOn,
    Close,
}

/// Serves the requests of a connection, one at a time.
pub(crate) async fn serve_requests(mut connection: HttpConnection, state: &RunnerState) {
    while let Ok(Some(request)) = connection.read_request().await {
        let next = match request.headers.get("Request-Id") {
            None => answer(&mut connection, health(&request, state).await).await,
            Some(id) => {
                let id = id.to_owned();
                deliver(&mut connection, state, &request, &id).await
            }
        };
        if next == Next::Close {
            return;
        }
    }
}

/// The health, after a wait for a slot.
async fn health(request: &HttpRequest, state: &RunnerState) -> HttpResponse {
    if request.method != "GET" {
        return HttpResponse::new(400).with("Not-Executed", "no id");
    }
    let _slot = state.slots.acquire().await;
    let status = if state.draining.load(Ordering::Relaxed) { 503 } else { 200 };
    HttpResponse::new(status).with("Instance-Id", &state.uid).with("Instance-Load", &state.load())
}

async fn deliver(
    connection: &mut HttpConnection,
    state: &RunnerState,
    request: &HttpRequest,
    id: &str,
) -> Next {
    let misbehaviour = state.next_misbehaviour();
    if request.headers.get("Expected-Instance").is_some_and(|uid| uid != state.uid) {
        return answer(connection, not_executed(421, id)).await;
    }
    if misbehaviour == Some(Misbehaviour::TurnAway) {
        return answer(connection, not_executed(503, id)).await;
    }
    let Some(slot) = slot(connection, state).await else {
        return answer(connection, not_executed(503, id)).await;
    };
    if connection.owes() {
        state.late_second_answers.fetch_add(1, Ordering::Relaxed);
    }
    let run = Running::begin(state, request, id);
    let outcome = work(connection, state, request, misbehaviour).await;
    let next = conclude(connection, state, &run, outcome, misbehaviour).await;
    drop(slot);
    next
}

/// A slot, perhaps after a wait; none where too many wait already, or the caller left.
async fn slot<'a>(connection: &mut HttpConnection, state: &'a RunnerState) -> Option<SemaphorePermit<'a>> {
    if let Ok(slot) = state.slots.try_acquire() {
        return Some(slot);
    }
    let waiting = state.waiting.fetch_add(1, Ordering::Relaxed);
    let _waits = Waits(&state.waiting);
    if waiting >= state.plan.queue {
        return None;
    }
    tokio::select! {
        slot = state.slots.acquire() => slot.ok(),
        () = connection.closed() => None,
    }
}

/// Works until it is done, the deadline is reached or the caller leaves.
async fn work(
    connection: &mut HttpConnection,
    state: &RunnerState,
    request: &HttpRequest,
    misbehaviour: Option<Misbehaviour>,
) -> Outcome {
    let deadline = Duration::from_millis(request.headers.number("Deadline-Ms").unwrap_or(LONGEST_RUN_MS));
    let needs = if misbehaviour == Some(Misbehaviour::Hang) { Duration::MAX } else { state.plan.work };
    tokio::select! {
        () = sleep(needs.min(deadline)) => {}
        () = connection.closed() => return Outcome::Broken,
    }
    if needs > deadline {
        return Outcome::OutOfTime;
    }
    match misbehaviour {
        Some(Misbehaviour::Reject) => Outcome::Rejected,
        Some(
            Misbehaviour::Fail | Misbehaviour::ForeignAnswer | Misbehaviour::Unsigned | Misbehaviour::Garbage,
        ) => Outcome::Failed,
        _ => Outcome::Succeeded,
    }
}

/// Notes the end of the run, and answers.
async fn conclude(
    connection: &mut HttpConnection,
    state: &RunnerState,
    run: &Running<'_>,
    outcome: Outcome,
    misbehaviour: Option<Misbehaviour>,
) -> Next {
    run.end(outcome);
    let right = right_answer(state, run, outcome);
    match misbehaviour {
        _ if matches!(outcome, Outcome::Broken) => Next::Close,
        Some(Misbehaviour::LoseAnswer) => Next::Close,
        Some(Misbehaviour::CutAnswer) => {
            write_all_but_last(connection, &right).await;
            Next::Close
        }
        Some(Misbehaviour::WithholdByte) => {
            write_all_but_last(connection, &right).await;
            connection.closed().await;
            Next::Close
        }
        Some(Misbehaviour::SecondAnswer) => {
            let mut twice = right.to_bytes();
            twice.extend(right.to_bytes());
            let _ = connection.write_bytes(&twice).await;
            Next::GoOn
        }
        Some(Misbehaviour::LateSecondAnswer) => {
            let next = answer(connection, right.clone()).await;
            connection.owe(&right);
            next
        }
        Some(Misbehaviour::ForeignAnswer) => {
            let foreign = succeeded(state, "0000foreign", "toy.of-another-message");
            answer(connection, foreign).await
        }
        Some(Misbehaviour::Unsigned) => {
            answer(connection, with_id(200, run.id).with_body(b"done".to_vec())).await
        }
        Some(Misbehaviour::Garbage) => {
            let _ = connection.write_bytes(b"\x16\x03\x01 this is no answer\r\n\r\n").await;
            Next::Close
        }
        _ => answer(connection, right).await,
    }
}

fn right_answer(state: &RunnerState, run: &Running<'_>, outcome: Outcome) -> HttpResponse {
    match outcome {
        Outcome::Succeeded => succeeded(state, run.id, &run.signature),
        Outcome::Rejected => told(state, with_id(422, run.id)),
        Outcome::OutOfTime => told(state, with_id(504, run.id)),
        Outcome::Failed | Outcome::Broken => told(state, with_id(500, run.id)),
    }
}

fn succeeded(state: &RunnerState, id: &str, signature: &str) -> HttpResponse {
    told(state, with_id(200, id)).with("Response-Signature", signature).with_body(b"{\"done\":true}".to_vec())
}

fn told(state: &RunnerState, response: HttpResponse) -> HttpResponse {
    if state.plan.tells_load { response.with("Instance-Load", &state.load()) } else { response }
}

fn not_executed(status: u16, id: &str) -> HttpResponse {
    with_id(status, id).with("Not-Executed", "true")
}

fn with_id(status: u16, id: &str) -> HttpResponse {
    HttpResponse::new(status).with("Request-Id", id).with("Keep-Alive", KEEP_ALIVE)
}

async fn answer(connection: &mut HttpConnection, response: HttpResponse) -> Next {
    match connection.write_response(&response).await {
        Ok(()) => Next::GoOn,
        Err(_) => Next::Close,
    }
}

async fn write_all_but_last(connection: &mut HttpConnection, response: &HttpResponse) {
    let mut bytes = response.to_bytes();
    bytes.pop();
    let _ = connection.write_bytes(&bytes).await;
}

/// Counts one that waits for a slot.
struct Waits<'a>(&'a AtomicU32);

impl Drop for Waits<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// A run that has begun. Dropped before its end, it is broken off.
struct Running<'a> {
    log: &'a RunLog,
    number: RunNumber,
    id: &'a str,
    signature: String,
}

impl<'a> Running<'a> {
    fn begin(state: &'a RunnerState, request: &HttpRequest, id: &'a str) -> Self {
        let attempt = state.log.of(id).len() + 1;
        let signature = format!("toy.{}.{id}.{attempt}", state.uid);
        let number = state.log.begin(Run {
            request_id: id.to_owned(),
            ordering_key: request.headers.get("Ordering-Key").map(str::to_owned),
            signature: signature.clone(),
            uid: state.uid.clone(),
            method: request.method.clone(),
            target: request.target.clone(),
            body: request.body.clone(),
            began: Instant::now(),
            ended: None,
            outcome: None,
        });
        Self { log: &state.log, number, id, signature }
    }

    fn end(&self, outcome: Outcome) {
        self.log.end(self.number, outcome);
    }
}

impl Drop for Running<'_> {
    fn drop(&mut self) {
        self.end(Outcome::Broken);
    }
}
