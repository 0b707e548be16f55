//! Judges an answer to a delivery: what is certain, and what is not.

use hyper::StatusCode;
use hyper::header::{HeaderMap, HeaderName, RETRY_AFTER};

use super::exchange::Exchanged;
use super::{InstanceLoad, NotRunReason, RunnerAnswer, UnclearReason};

const REQUEST_ID: HeaderName = HeaderName::from_static("request-id");
const RESPONSE_SIGNATURE: HeaderName = HeaderName::from_static("response-signature");
const NOT_EXECUTED: HeaderName = HeaderName::from_static("not-executed");
const INSTANCE_LOAD: HeaderName = HeaderName::from_static("instance-load");

/// One second, in milliseconds: the unit of `Retry-After`.
const SECOND_MS: u64 = 1_000;

/// What an answer says about the message that was sent.
pub(super) fn judge(exchanged: &Exchanged, request_id: &str) -> RunnerAnswer {
    let answer = judged(exchanged, request_id);
    if exchanged.status.is_success() && !matches!(answer, RunnerAnswer::Succeeded { .. }) {
        log_doubtful_success(exchanged, request_id);
    }
    answer
}

/// Which of the checks a success has failed: its message runs again.
fn log_doubtful_success(exchanged: &Exchanged, request_id: &str) {
    tracing::warn!(
        message = request_id,
        status = exchanged.status.as_u16(),
        body = ?exchanged.body,
        framing_certain = exchanged.framing_certain,
        belongs = belongs_to(exchanged, request_id),
        signatures = exchanged.headers.get_all(RESPONSE_SIGNATURE).iter().count(),
        not_executed = exchanged.headers.contains_key(NOT_EXECUTED),
        "a success cannot be trusted"
    );
}

fn judged(exchanged: &Exchanged, request_id: &str) -> RunnerAnswer {
    if !belongs_to(exchanged, request_id) {
        return garbled();
    }
    let status = exchanged.status;
    let not_executed = exchanged.headers.contains_key(NOT_EXECUTED);
    if status.is_success() {
        return if not_executed { garbled() } else { success(exchanged) };
    }
    if not_executed || status == StatusCode::MISDIRECTED_REQUEST {
        return not_run(status, &exchanged.headers);
    }
    match status {
        StatusCode::INTERNAL_SERVER_ERROR if exchanged.is_whole() => RunnerAnswer::Failed,
        StatusCode::UNPROCESSABLE_ENTITY if exchanged.is_whole() => RunnerAnswer::Rejected,
        StatusCode::INTERNAL_SERVER_ERROR | StatusCode::UNPROCESSABLE_ENTITY => garbled(),
        other => RunnerAnswer::Unclear { reason: UnclearReason::UnexpectedStatus(other.as_u16()) },
    }
}

/// Whether the connection may be kept after this answer.
pub(super) fn is_trusted(answer: &RunnerAnswer) -> bool {
    !matches!(answer, RunnerAnswer::Unclear { reason: UnclearReason::Garbled })
}

/// `Instance-Load`, if it is there and can be read.
pub(super) fn load_of(headers: &HeaderMap) -> Option<InstanceLoad> {
    headers.get(INSTANCE_LOAD)?.to_str().ok()?.parse().ok()
}

fn garbled() -> RunnerAnswer {
    RunnerAnswer::Unclear { reason: UnclearReason::Garbled }
}

/// An answer repeats the id of its message; one of another message came late. Behind such a one, an answer without an id
/// may be another of that kind.
fn belongs_to(exchanged: &Exchanged, request_id: &str) -> bool {
    let ids = exchanged.headers.get_all(REQUEST_ID);
    let is_named = ids.iter().next().is_some();
    let names_no_other = ids.iter().all(|id| id.as_bytes() == request_id.as_bytes());
    names_no_other && (is_named || !exchanged.behind_another)
}

/// The message that an answer names, if it names a single one.
pub(super) fn only_message(headers: &HeaderMap) -> Option<&str> {
    let mut ids = headers.get_all(REQUEST_ID).iter();
    let named = ids.next()?;
    ids.all(|other| other == named).then(|| named.to_str().ok()).flatten()
}

fn success(exchanged: &Exchanged) -> RunnerAnswer {
    if exchanged.body == Err(UnclearReason::Timeout) {
        return RunnerAnswer::Unclear { reason: UnclearReason::Timeout };
    }
    let signature = signature_of(&exchanged.headers).filter(|_| exchanged.is_whole());
    signature.map_or_else(garbled, |signature| RunnerAnswer::Succeeded { signature })
}

fn signature_of(headers: &HeaderMap) -> Option<String> {
    let mut signatures = headers.get_all(RESPONSE_SIGNATURE).iter();
    let signature = signatures.next()?.to_str().ok()?;
    let only = signatures.next().is_none();
    (only && !signature.is_empty()).then(|| signature.to_owned())
}

fn not_run(status: StatusCode, headers: &HeaderMap) -> RunnerAnswer {
    let reason = match status {
        StatusCode::SERVICE_UNAVAILABLE => NotRunReason::Full503,
        StatusCode::TOO_MANY_REQUESTS => NotRunReason::TooMany429,
        StatusCode::MISDIRECTED_REQUEST => NotRunReason::WrongInstance421,
        StatusCode::CONFLICT => NotRunReason::Conflict409,
        StatusCode::BAD_REQUEST => NotRunReason::BadRequest400,
        other => NotRunReason::NotExecuted { status: other.as_u16() },
    };
    RunnerAnswer::NotRun { reason, retry_after_ms: retry_after_ms(headers) }
}

fn retry_after_ms(headers: &HeaderMap) -> Option<u64> {
    let seconds: u64 = headers.get(RETRY_AFTER)?.to_str().ok()?.trim().parse().ok()?;
    Some(seconds.saturating_mul(SECOND_MS))
}
