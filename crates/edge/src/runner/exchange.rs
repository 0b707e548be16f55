//! An answer as it came, before it is judged.

use hyper::header::{CONTENT_LENGTH, HeaderMap, TRANSFER_ENCODING};
use hyper::{StatusCode, header::HeaderName};

use super::UnclearReason;

/// The one transfer coding that tells where a body ends.
const CHUNKED: &str = "chunked";
const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");

/// One second, in milliseconds: the unit of `Keep-Alive: timeout`.
const SECOND_MS: u64 = 1_000;

/// An answer whose head came whole.
#[derive(Debug)]
pub(super) struct Exchanged {
    /// The status.
    pub(super) status: StatusCode,
    /// The headers.
    pub(super) headers: HeaderMap,
    /// Whether the end of the body can be told from a cut.
    pub(super) framing_certain: bool,
    /// Whether the body came whole.
    pub(super) body: Result<(), UnclearReason>,
    /// Whether an answer to an earlier message was passed over before it.
    pub(super) behind_another: bool,
    /// How long the other side keeps the connection idle, in milliseconds, where it says so.
    pub(super) keep_alive_ms: Option<u64>,
    /// Whether the next request could be sent on this connection.
    pub(super) reusable: bool,
}

impl Exchanged {
    /// Whether body and framing are whole.
    pub(super) fn is_whole(&self) -> bool {
        self.framing_certain && self.body.is_ok()
    }
}

/// Whether the end of the body is told by a length or by chunks, and by only one of them. A body that ends with the
/// connection looks whole wherever it is cut; so does one whose last transfer coding is another than chunks (RFC 9112,
/// section 6.3).
pub(super) fn framing_is_certain(status: StatusCode, headers: &HeaderMap) -> bool {
    let has_length = headers.contains_key(CONTENT_LENGTH);
    if headers.contains_key(TRANSFER_ENCODING) {
        return !has_length && is_chunked(headers);
    }
    let is_bodiless = matches!(status, StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED);
    has_length || is_bodiless
}

fn is_chunked(headers: &HeaderMap) -> bool {
    let last =
        headers.get_all(TRANSFER_ENCODING).iter().next_back().and_then(|codings| codings.to_str().ok());
    let last = last.and_then(|codings| codings.rsplit(',').next());
    last.is_some_and(|coding| coding.trim().eq_ignore_ascii_case(CHUNKED))
}

/// `timeout` of `Keep-Alive`, in milliseconds.
pub(super) fn keep_alive_ms(headers: &HeaderMap) -> Option<u64> {
    let text = headers.get(KEEP_ALIVE)?.to_str().ok()?;
    let seconds =
        text.split(',').find_map(|word| word.trim().strip_prefix("timeout=")?.parse::<u64>().ok())?;
    Some(seconds.saturating_mul(SECOND_MS))
}
