//! HTTP/1.1 messages, whole.

/// One header.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Header {
    /// The name.
    pub name: String,
    /// The value; bytes that are no UTF-8 are replaced.
    pub value: String,
}

/// The headers of a message, in their order.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Headers(pub Vec<Header>);

impl Headers {
    /// Adds one.
    pub fn add(&mut self, name: &str, value: &str) {
        self.0.push(Header { name: name.to_owned(), value: value.to_owned() });
    }

    /// The first of this name, in whatever case.
    pub fn get(&self, name: &str) -> Option<&str> {
        let found = self.0.iter().find(|header| header.name.eq_ignore_ascii_case(name));
        found.map(|header| header.value.as_str())
    }

    /// The first of this name as a whole number.
    pub fn number(&self, name: &str) -> Option<u64> {
        self.get(name)?.trim().parse().ok()
    }
}

/// A request, whole.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct HttpRequest {
    /// The method.
    pub method: String,
    /// The path with its query.
    pub target: String,
    /// The headers; the length of the body is added when it is written.
    pub headers: Headers,
    /// The body.
    pub body: Vec<u8>,
}

/// An answer, whole.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct HttpResponse {
    /// The status.
    pub status: u16,
    /// The headers; the length of the body is added when it is written.
    pub headers: Headers,
    /// The body.
    pub body: Vec<u8>,
}

impl HttpRequest {
    /// A request without headers and body.
    pub fn new(method: &str, target: &str) -> Self {
        Self { method: method.to_owned(), target: target.to_owned(), ..Self::default() }
    }

    /// With one more header.
    pub fn with(mut self, name: &str, value: &str) -> Self {
        self.headers.add(name, value);
        self
    }

    /// With this body.
    pub fn with_body(mut self, body: Vec<u8>) -> Self {
        self.body = body;
        self
    }

    /// The path without its query.
    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }

    /// A value of the query.
    pub fn query(&self, key: &str) -> Option<&str> {
        let (_, query) = self.target.split_once('?')?;
        query
            .split('&')
            .find_map(|pair| pair.split_once('=').filter(|(name, _)| *name == key))
            .map(|pair| pair.1)
    }

    /// The bytes on the connection.
    pub fn to_bytes(&self) -> Vec<u8> {
        let first = format!("{} {} HTTP/1.1\r\n", self.method, self.target);
        message_bytes(first, &self.headers, &self.body)
    }
}

impl HttpResponse {
    /// An answer without headers and body.
    pub fn new(status: u16) -> Self {
        Self { status, ..Self::default() }
    }

    /// With one more header.
    pub fn with(mut self, name: &str, value: &str) -> Self {
        self.headers.add(name, value);
        self
    }

    /// With this body.
    pub fn with_body(mut self, body: Vec<u8>) -> Self {
        self.body = body;
        self
    }

    /// With a JSON body.
    pub fn with_json(self, body: &serde_json::Value) -> Self {
        self.with("Content-Type", "application/json").with_body(body.to_string().into_bytes())
    }

    /// The body as JSON; null where it is none.
    pub fn json(&self) -> serde_json::Value {
        serde_json::from_slice(&self.body).unwrap_or_default()
    }

    /// The bytes on the connection.
    pub fn to_bytes(&self) -> Vec<u8> {
        message_bytes(format!("HTTP/1.1 {} Status\r\n", self.status), &self.headers, &self.body)
    }
}

fn message_bytes(first_line: String, headers: &Headers, body: &[u8]) -> Vec<u8> {
    let mut text = first_line;
    for header in &headers.0 {
        text.push_str(&format!("{}: {}\r\n", header.name, header.value));
    }
    text.push_str(&format!("Content-Length: {}\r\n\r\n", body.len()));
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}
