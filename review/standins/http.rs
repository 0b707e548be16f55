//! HTTP/1.1 over blocking sockets, as little of it as the stand-ins need.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// The longest head or body that a stand-in reads, in bytes.
const LONGEST: u64 = 16 << 20;

/// A request or an answer. `start` is its first line.
#[derive(Debug, Clone, Default)]
pub struct Message {
    pub start: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    /// The first header of this name.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(key, _)| key.eq_ignore_ascii_case(name)).map(|(_, value)| value.as_str())
    }

    /// The status of an answer.
    pub fn status(&self) -> u16 {
        self.start.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0)
    }

    /// The target of a request.
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// An answer with a length.
pub fn answer(status: &str, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut bytes = format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        bytes.push_str(&format!("{name}: {value}\r\n"));
    }
    bytes.push_str("\r\n");
    let mut bytes = bytes.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

/// Reads one request or answer; none at the end of the connection.
pub fn read(reader: &mut impl BufRead) -> std::io::Result<Option<Message>> {
    let mut message = Message::default();
    if reader.by_ref().take(LONGEST).read_line(&mut message.start)? == 0 {
        return Ok(None);
    }
    message.start.truncate(message.start.trim_end().len());
    loop {
        let mut line = String::new();
        if reader.by_ref().take(LONGEST).read_line(&mut line)? == 0 {
            return Err(std::io::ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        if let Some((name, value)) = line.split_once(':') {
            message.headers.push((name.trim().to_owned(), value.trim().to_owned()));
        }
    }
    let length = message.header("content-length").and_then(|length| length.parse().ok()).unwrap_or(0u64);
    message.body = vec![0; length.min(LONGEST) as usize];
    reader.read_exact(&mut message.body)?;
    Ok(Some(message))
}

/// One request over a connection of its own, to be answered within the limit.
pub fn call(
    address: SocketAddr,
    request_line: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    limit: Duration,
) -> std::io::Result<Message> {
    let end = Instant::now() + limit;
    let mut stream = TcpStream::connect_timeout(&address, limit)?;
    let mut bytes = format!("{request_line} HTTP/1.1\r\n");
    if !headers.iter().any(|(name, _)| name.eq_ignore_ascii_case("host")) {
        bytes.push_str(&format!("Host: {address}\r\n"));
    }
    for (name, value) in headers {
        bytes.push_str(&format!("{name}: {value}\r\n"));
    }
    bytes.push_str(&format!("Content-Length: {}\r\nConnection: close\r\n\r\n", body.len()));
    let mut bytes = bytes.into_bytes();
    bytes.extend_from_slice(body);
    stream.set_nodelay(true)?;
    stream.set_write_timeout(Some(limit))?;
    stream.write_all(&bytes)?;
    let left = end.saturating_duration_since(Instant::now()).max(Duration::from_millis(1));
    stream.set_read_timeout(Some(left))?;
    read(&mut BufReader::new(stream))?.ok_or_else(|| std::io::ErrorKind::UnexpectedEof.into())
}

/// Serves each connection on a thread of its own; `handle` is given each connection.
pub fn serve(address: SocketAddr, handle: impl Fn(TcpStream) + Send + Sync + 'static) -> std::io::Result<()> {
    let listener = TcpListener::bind(address)?;
    let handle = Arc::new(handle);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handle = Arc::clone(&handle);
            thread::spawn(move || handle(stream));
        }
    });
    Ok(())
}

/// Serves requests one after the other on each connection.
pub fn serve_requests(
    address: SocketAddr,
    respond: impl Fn(&Message) -> Vec<u8> + Send + Sync + 'static,
) -> std::io::Result<()> {
    serve(address, move |stream| {
        let _ = stream.set_nodelay(true);
        let Ok(clone) = stream.try_clone() else { return };
        let (mut reader, mut writer) = (BufReader::new(clone), stream);
        while let Ok(Some(request)) = read(&mut reader) {
            if writer.write_all(&respond(&request)).is_err() {
                return;
            }
        }
    })
}
