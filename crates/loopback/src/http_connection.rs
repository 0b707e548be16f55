//! Connections that carry HTTP/1.1: whole messages, and raw bytes where a stand-in has to misbehave.

use std::time::Duration;

use displaydoc::Display;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpStream;

use crate::http_message::{Header, Headers, HttpRequest, HttpResponse};

/// The most headers of one message.
const MAX_HEADERS: usize = 64;
/// The longest head, in bytes; a longer one is a fault of the sender.
const MAX_HEAD_BYTES: usize = 64 * 1_024;
/// The longest body, in bytes: the stand-ins keep bodies in memory.
const MAX_BODY_BYTES: usize = 16 * 1_024 * 1_024;
/// Bytes that are made room for in one read.
const READ_BYTES: usize = 16 * 1_024;

/// Why a message could not be read or written.
#[derive(Debug, Display)]
pub enum HttpError {
    /// the connection failed ({0}): send again on a new one
    Io(std::io::Error),
    /// the connection was closed within a message: send again on a new one
    Closed,
    /// the other side does not speak HTTP/1.1 ({0}): look into its log
    Malformed(&'static str),
    /// the message is larger than a stand-in takes: send a smaller one
    TooLarge,
    /// no whole answer came within {0:?}: look whether the process runs
    Silent(Duration),
}

impl std::error::Error for HttpError {}

impl From<std::io::Error> for HttpError {
    fn from(error: std::io::Error) -> Self {
        Self::Io(error)
    }
}

/// A connection that carries HTTP/1.1 messages in either direction.
#[derive(Debug)]
pub struct HttpConnection {
    stream: TcpStream,
    buffer: Vec<u8>,
    /// Bytes that go before the next answer.
    owed: Vec<u8>,
}

impl HttpConnection {
    /// Over this connection.
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self { stream, buffer: Vec::new(), owed: Vec::new() }
    }

    /// The next request; none where the connection was closed between two.
    ///
    /// # Errors
    /// The connection failed, or the bytes are no request.
    pub async fn read_request(&mut self) -> Result<Option<HttpRequest>, HttpError> {
        loop {
            let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
            let mut parsed = httparse::Request::new(&mut headers);
            let status =
                parsed.parse(&self.buffer).map_err(|_| HttpError::Malformed("the request's head"))?;
            if let httparse::Status::Complete(length) = status {
                let mut request =
                    HttpRequest::new(parsed.method.unwrap_or_default(), parsed.path.unwrap_or_default());
                request.headers = owned(parsed.headers);
                self.buffer.drain(..length);
                request.body = self.read_body(&request.headers).await?;
                return Ok(Some(request));
            }
            if self.fill().await? == 0 {
                return if self.buffer.is_empty() { Ok(None) } else { Err(HttpError::Closed) };
            }
            self.check_head()?;
        }
    }

    /// The next answer.
    ///
    /// # Errors
    /// The connection failed or was closed, or the bytes are no answer.
    pub async fn read_response(&mut self) -> Result<HttpResponse, HttpError> {
        loop {
            let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
            let mut parsed = httparse::Response::new(&mut headers);
            let status = parsed.parse(&self.buffer).map_err(|_| HttpError::Malformed("the answer's head"))?;
            if let httparse::Status::Complete(length) = status {
                let mut response = HttpResponse::new(parsed.code.unwrap_or_default());
                response.headers = owned(parsed.headers);
                self.buffer.drain(..length);
                response.body = self.read_body(&response.headers).await?;
                return Ok(response);
            }
            if self.fill().await? == 0 {
                return Err(HttpError::Closed);
            }
            self.check_head()?;
        }
    }

    /// Writes a request.
    ///
    /// # Errors
    /// The connection failed.
    pub async fn write_request(&mut self, request: &HttpRequest) -> Result<(), HttpError> {
        self.write_bytes(&request.to_bytes()).await
    }

    /// Writes an answer, and before it what is owed.
    ///
    /// # Errors
    /// The connection failed.
    pub async fn write_response(&mut self, response: &HttpResponse) -> Result<(), HttpError> {
        let mut bytes = std::mem::take(&mut self.owed);
        bytes.extend(response.to_bytes());
        self.write_bytes(&bytes).await
    }

    /// Holds an answer back until the next one is written.
    pub fn owe(&mut self, response: &HttpResponse) {
        self.owed = response.to_bytes();
    }

    /// Whether an answer is held back.
    pub fn owes(&self) -> bool {
        !self.owed.is_empty()
    }

    /// Writes bytes as they are.
    ///
    /// # Errors
    /// The connection failed.
    pub async fn write_bytes(&mut self, bytes: &[u8]) -> Result<(), HttpError> {
        Ok(self.stream.write_all(bytes).await?)
    }

    /// Returns once the other side has closed or reset the connection. What it sends meanwhile is kept.
    pub async fn closed(&mut self) {
        while matches!(self.fill().await, Ok(count) if count > 0) {}
    }

    /// Closes the connection with a reset.
    pub fn reset(self) {
        let _ = self.stream.set_zero_linger();
    }

    async fn read_body(&mut self, headers: &Headers) -> Result<Vec<u8>, HttpError> {
        let chunked =
            headers.get("Transfer-Encoding").is_some_and(|coding| coding.eq_ignore_ascii_case("chunked"));
        if chunked {
            return self.read_chunks().await;
        }
        let length = headers.number("Content-Length").unwrap_or(0);
        self.take(usize::try_from(length).unwrap_or(usize::MAX)).await
    }

    async fn read_chunks(&mut self) -> Result<Vec<u8>, HttpError> {
        let mut body = Vec::new();
        loop {
            let line = self.take_line().await?;
            let size = line.split(';').next().unwrap_or_default().trim();
            let size =
                usize::from_str_radix(size, 16).map_err(|_| HttpError::Malformed("a chunk's length"))?;
            if size == 0 {
                while !self.take_line().await?.is_empty() {}
                return Ok(body);
            }
            body.extend(self.take(size).await?);
            if body.len() > MAX_BODY_BYTES {
                return Err(HttpError::TooLarge);
            }
            self.take_line().await?;
        }
    }

    async fn take(&mut self, count: usize) -> Result<Vec<u8>, HttpError> {
        if count > MAX_BODY_BYTES {
            return Err(HttpError::TooLarge);
        }
        while self.buffer.len() < count {
            if self.fill().await? == 0 {
                return Err(HttpError::Closed);
            }
        }
        Ok(self.buffer.drain(..count).collect())
    }

    async fn take_line(&mut self) -> Result<String, HttpError> {
        loop {
            if let Some(end) = self.buffer.windows(2).position(|pair| pair == b"\r\n") {
                let line: Vec<u8> = self.buffer.drain(..end + 2).take(end).collect();
                return String::from_utf8(line).map_err(|_| HttpError::Malformed("a line"));
            }
            self.check_head()?;
            if self.fill().await? == 0 {
                return Err(HttpError::Closed);
            }
        }
    }

    async fn fill(&mut self) -> Result<usize, HttpError> {
        self.buffer.reserve(READ_BYTES);
        Ok(self.stream.read_buf(&mut self.buffer).await?)
    }

    fn check_head(&self) -> Result<(), HttpError> {
        if self.buffer.len() > MAX_HEAD_BYTES { Err(HttpError::TooLarge) } else { Ok(()) }
    }
}

fn owned(headers: &[httparse::Header<'_>]) -> Headers {
    let one = |header: &httparse::Header<'_>| Header {
        name: header.name.to_owned(),
        value: String::from_utf8_lossy(header.value).into_owned(),
    };
    Headers(headers.iter().map(one).collect())
}
