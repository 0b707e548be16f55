//! What a client is answered.

use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{CONNECTION, CONTENT_TYPE, HeaderName, HeaderValue, RETRY_AFTER};
use hyper::{Response, StatusCode};

/// One second, in milliseconds: the unit of `Retry-After`.
const SECOND_MS: u64 = 1_000;

const MESSAGE_ID: HeaderName = HeaderName::from_static("message-id");

/// An answer to a client.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FrontResponse {
    /// The status; 1xx is not for answers and is sent as 500.
    pub status: StatusCode,
    /// The headers.
    pub headers: Vec<FrontHeader>,
    /// The body.
    pub body: Bytes,
    /// Whether the connection ends after this answer.
    pub close: bool,
}

/// A header of an answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum FrontHeader {
    /// `Retry-After`: when to come back, in whole seconds.
    RetryAfterSeconds(u64),
    /// `Message-Id`: the name of the message.
    MessageId(String),
    /// `Content-Type` of the body.
    ContentType(String),
}

impl FrontHeader {
    /// `Retry-After` for a wait in milliseconds, rounded up to whole seconds.
    pub fn retry_after_ms(milliseconds: u64) -> Self {
        Self::RetryAfterSeconds(milliseconds.div_ceil(SECOND_MS))
    }
}

impl FrontResponse {
    /// An answer of a status alone.
    pub fn new(status: StatusCode) -> Self {
        Self { status, headers: Vec::new(), body: Bytes::new(), close: false }
    }

    /// With one more header.
    #[must_use]
    pub fn with_header(mut self, header: FrontHeader) -> Self {
        self.headers.push(header);
        self
    }

    /// With a body of this type.
    #[must_use]
    pub fn with_body(mut self, content_type: impl Into<String>, body: impl Into<Bytes>) -> Self {
        self.headers.push(FrontHeader::ContentType(content_type.into()));
        self.body = body.into();
        self
    }

    /// That ends the connection.
    #[must_use]
    pub fn closing(mut self) -> Self {
        self.close = true;
        self
    }

    /// As hyper sends it. A value that cannot stand in a header makes it a 500: an answer without its header would say
    /// something else.
    pub(super) fn into_http(self) -> Response<Full<Bytes>> {
        let close = self.close;
        let mut response = Self::written(self).unwrap_or_else(server_fault);
        if close {
            response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
        }
        response
    }

    fn written(self) -> Option<Response<Full<Bytes>>> {
        if self.status.is_informational() {
            return None;
        }
        let mut response = Response::new(Full::new(self.body));
        *response.status_mut() = self.status;
        for header in self.headers {
            let (name, value) = header.into_pair()?;
            response.headers_mut().insert(name, value);
        }
        Some(response)
    }
}

impl FrontHeader {
    fn into_pair(self) -> Option<(HeaderName, HeaderValue)> {
        match self {
            Self::RetryAfterSeconds(seconds) => Some((RETRY_AFTER, HeaderValue::from(seconds))),
            Self::MessageId(id) => HeaderValue::try_from(id).ok().map(|value| (MESSAGE_ID, value)),
            Self::ContentType(kind) => HeaderValue::try_from(kind).ok().map(|value| (CONTENT_TYPE, value)),
        }
    }
}

fn server_fault() -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::default());
    *response.status_mut() = StatusCode::INTERNAL_SERVER_ERROR;
    response
}
