//! What a client sent.

use bytes::Bytes;
use hyper::header::{AsHeaderName, CONTENT_TYPE, HOST, HeaderMap};
use hyper::http::request::Parts;
use hyper::{Method, Version};

use super::FrontLimits;

/// The longest request id, in characters, as the protocol has it.
const LONGEST_REQUEST_ID: usize = 64;

/// A request that was read whole.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FrontRequest {
    /// The method.
    pub method: Method,
    /// The `Host` header, with a port if the client sent one; empty where HTTP/1.0 sent none.
    pub host: String,
    /// The path with its query, byte by byte as it was sent.
    pub path_and_query: String,
    /// `Request-Id`: up to 64 letters, digits or `-_.`.
    pub request_id: Option<String>,
    /// `Delay-Ms`, in milliseconds.
    pub delay_ms: Option<u64>,
    /// `Callback-Url`, not checked.
    pub callback_url: Option<String>,
    /// `Ordering-Key`.
    pub ordering_key: Option<String>,
    /// `Content-Type`, empty where none was sent.
    pub content_type: String,
    /// `Deadline-Ms`: how long the client waits, in milliseconds.
    pub deadline_ms: Option<u64>,
    /// The body, without any chunking.
    pub body: Bytes,
}

/// Why a request that was read whole is answered 400.
#[derive(Debug, displaydoc::Display, Clone, Copy, PartialEq, Eq)]
pub(super) enum BadRequest {
    /// header {name} stands more than once: send it once
    Repeated {
        /// The header.
        name: &'static str,
    },
    /// header {name} has characters that are not visible ASCII: send it in ASCII
    Unreadable {
        /// The header.
        name: &'static str,
    },
    /// header {name} is not a whole number of milliseconds in range: send digits, or leave it out
    BadNumber {
        /// The header.
        name: &'static str,
    },
    /// Request-Id is empty, too long or has other characters: send up to 64 letters, digits or -_.
    RequestId,
    /// Host is missing: send it
    NoHost,
    /// target names another host than Host: send the path alone
    OtherHost,
}

impl std::error::Error for BadRequest {}

impl BadRequest {
    /// Whether the request could mean something else to another reader, so that the connection can't be trusted.
    pub(super) fn closes(self) -> bool {
        matches!(self, Self::Repeated { .. } | Self::NoHost | Self::OtherHost)
    }
}

/// Reads the head of a request; the body is filled in later.
pub(super) fn read_head(parts: Parts, limits: &FrontLimits) -> Result<FrontRequest, BadRequest> {
    let headers = &parts.headers;
    let host = single(headers, HOST, "Host")?;
    if host.is_none() && parts.version != Version::HTTP_10 {
        return Err(BadRequest::NoHost);
    }
    let host = host.unwrap_or_default();
    if parts.uri.authority().is_some_and(|authority| !authority.as_str().eq_ignore_ascii_case(host)) {
        return Err(BadRequest::OtherHost);
    }
    let request_id = single(headers, "request-id", "Request-Id")?;
    if request_id.is_some_and(|id| !is_request_id(id)) {
        return Err(BadRequest::RequestId);
    }
    Ok(FrontRequest {
        host: host.to_owned(),
        path_and_query: parts.uri.path_and_query().map_or("/", |path| path.as_str()).to_owned(),
        request_id: request_id.map(str::to_owned),
        delay_ms: milliseconds(headers, "delay-ms", "Delay-Ms", limits.longest_delay_ms)?,
        callback_url: single(headers, "callback-url", "Callback-Url")?.map(str::to_owned),
        ordering_key: single(headers, "ordering-key", "Ordering-Key")?.map(str::to_owned),
        content_type: single(headers, CONTENT_TYPE, "Content-Type")?.unwrap_or_default().to_owned(),
        deadline_ms: milliseconds(headers, "deadline-ms", "Deadline-Ms", u64::MAX)?,
        body: Bytes::new(),
        method: parts.method,
    })
}

fn is_request_id(id: &str) -> bool {
    !id.is_empty()
        && id.len() <= LONGEST_REQUEST_ID
        && id.bytes().all(|byte| byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'_' | b'.'))
}

fn single<'headers>(
    headers: &'headers HeaderMap,
    key: impl AsHeaderName,
    name: &'static str,
) -> Result<Option<&'headers str>, BadRequest> {
    let mut values = headers.get_all(key).iter();
    let Some(value) = values.next() else { return Ok(None) };
    if values.next().is_some() {
        return Err(BadRequest::Repeated { name });
    }
    value.to_str().map(Some).map_err(|_| BadRequest::Unreadable { name })
}

fn milliseconds(
    headers: &HeaderMap,
    key: &'static str,
    name: &'static str,
    most: u64,
) -> Result<Option<u64>, BadRequest> {
    let Some(text) = single(headers, key, name)? else { return Ok(None) };
    if !text.bytes().all(|byte| byte.is_ascii_digit()) {
        return Err(BadRequest::BadNumber { name });
    }
    let number = text.parse::<u64>().ok().filter(|number| *number <= most);
    number.map(Some).ok_or(BadRequest::BadNumber { name })
}
