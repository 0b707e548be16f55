//! Answers that the front gives by itself, before a request was read whole.

use displaydoc::Display;
use hyper::StatusCode;

/// Why a request is refused while it is being read. The connection is closed after the answer, as nobody can tell where
/// the next request would begin.
#[derive(Debug, Display, Clone, Copy, PartialEq, Eq)]
pub(super) enum Refusal {
    /// line without CR LF: end each line of the head with CR LF
    BareLineEnd,
    /// head is not HTTP/1.1: send method, target and version, then fields of the form name: value
    BadHead,
    /// target is not a path: send visible ASCII, without a fragment
    BadTarget,
    /// header continues on another line: send each field on one line
    FoldedHeader,
    /// Content-Length is not a number or stands more than once: send it once, in digits
    BadLength,
    /// Transfer-Encoding is not 'chunked' alone: send the body in chunks or with a length
    BadEncoding,
    /// both Content-Length and Transfer-Encoding: send one of them
    LengthAndEncoding,
    /// chunk is malformed: send its size in hexadecimal digits, CR LF, the bytes and CR LF
    BadChunk,
    /// body is malformed: send it again whole
    BadBody,
    /// head is too large: send fewer or shorter header fields
    HeadTooLarge,
    /// body is too large: send a smaller one
    BodyTooLarge,
    /// request took too long to arrive: send it again at once
    TooSlow,
    /// too many connections: come back after Retry-After
    Crowded {
        /// When to come back.
        retry_after_seconds: u64,
    },
}

impl std::error::Error for Refusal {}

impl Refusal {
    /// The status of the answer.
    pub(super) fn status(self) -> StatusCode {
        match self {
            Self::HeadTooLarge => StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
            Self::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::TooSlow => StatusCode::REQUEST_TIMEOUT,
            Self::Crowded { .. } => StatusCode::SERVICE_UNAVAILABLE,
            _ => StatusCode::BAD_REQUEST,
        }
    }

    /// The whole answer as it goes over the wire.
    pub(super) fn answer(self) -> Vec<u8> {
        let status = self.status();
        let text = self.to_string();
        let retry = match self {
            Self::Crowded { retry_after_seconds } => format!("Retry-After: {retry_after_seconds}\r\n"),
            _ => String::new(),
        };
        let reason = status.canonical_reason().unwrap_or("Refused");
        format!(
            "HTTP/1.1 {} {reason}\r\nContent-Type: text/plain\r\nContent-Length: {}\r\n{retry}Connection: close\r\n\r\n{text}",
            status.as_u16(),
            text.len(),
        )
        .into_bytes()
    }
}
