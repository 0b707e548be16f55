//! Runners and the discovery that lists them.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::BytesMut;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::{TcpListener, TcpStream};

use super::Failure;

/// Reads a head and what its length announces; the head.
pub(super) async fn message(
    stream: &mut TcpStream,
    read_buffer: &mut BytesMut,
) -> Result<Option<String>, Failure> {
    loop {
        if let Some(end) = read_buffer.windows(4).position(|four| four == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&read_buffer[..end]).to_lowercase();
            let length = head
                .split("content-length: ")
                .nth(1)
                .and_then(|rest| rest.split("\r\n").next()?.parse().ok());
            let whole = end + 4 + length.unwrap_or(0);
            if read_buffer.len() >= whole {
                let _ = read_buffer.split_to(whole);
                return Ok(Some(head));
            }
        }
        if stream.read_buf(read_buffer).await? == 0 {
            return Ok(None);
        }
    }
}

/// A runner that does nothing with each job.
async fn node(name: String, listener: TcpListener) -> Result<(), Failure> {
    loop {
        let (mut stream, _) = listener.accept().await?;
        stream.set_nodelay(true)?;
        let name = name.clone();
        tokio::task::spawn_local(async move {
            let mut read_buffer = BytesMut::new();
            while let Ok(Some(head)) = message(&mut stream, &mut read_buffer).await {
                let id = head
                    .split("x-txn: ")
                    .nth(1)
                    .and_then(|rest| rest.split("\r\n").next())
                    .unwrap_or_default();
                let line = |state: &str, more: &str| {
                    let line =
                        format!("{{\"id\":\"{id}\",\"from\":\"{name}\",\"state\":\"{state}\"{more}}}\n");
                    format!("{:x}\r\n{line}\r\n", line.len())
                };
                let done = line("done", ",\"result\":\"\",\"load\":{\"x0\":4}");
                let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
                let answer = format!("{head}{}{done}0\r\n\r\n", line("started", ""));
                if stream.write_all(answer.as_bytes()).await.is_err() {
                    return;
                }
            }
        });
    }
}

/// Discovery, which lists these runners.
pub(super) async fn discovery(listener: TcpListener, list: Rc<str>) -> Result<(), Failure> {
    loop {
        let (mut stream, _) = listener.accept().await?;
        let list = list.clone();
        tokio::task::spawn_local(async move {
            let mut read_buffer = BytesMut::new();
            if let Ok(Some(_)) = message(&mut stream, &mut read_buffer).await {
                let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
                let mut text = format!("{head}{:x}\r\n{list}\r\n", list.len());
                while stream.write_all(text.as_bytes()).await.is_ok() {
                    text = "1\r\n\n\r\n".to_owned();
                    tokio::time::sleep(Duration::from_secs(2)).await;
                }
            }
        });
    }
}

/// Runs a stand-in on a thread of its own, so that it does not take turns with the clients.
pub(super) fn aside<F: Future<Output = Result<(), Failure>> + 'static>(
    what: impl FnOnce() -> F + Send + 'static,
) {
    std::thread::spawn(move || {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
        let Ok(runtime) = runtime else { return };
        // Stand-ins end with the program that they serve.
        let _ = tokio::task::LocalSet::new().block_on(&runtime, what());
    });
}

fn bound() -> Result<(std::net::TcpListener, SocketAddr), Failure> {
    let listener = std::net::TcpListener::bind("127.0.0.1:0")?;
    listener.set_nonblocking(true)?;
    let address = listener.local_addr()?;
    Ok((listener, address))
}

/// Starts runners and the discovery that lists them; its address.
pub(super) fn fleet(nodes: usize) -> Result<SocketAddr, Failure> {
    let (listener, gearman) = bound()?;
    let (mut entries, mut listeners) = (Vec::new(), Vec::new());
    for number in 0..nodes {
        let (name, (listener, address)) = (format!("s-{number:04}"), bound()?);
        entries.push(format!(
            "{{\"id\":\"{name}\",\"addr\":\"{address}\",\"zone\":\"north\",\"kind\":\"box\",\"cell\":0,\
             \"state\":\"active\",\"weight\":1.0,\"started_ms\":0}}"
        ));
        listeners.push((name, listener));
    }
    let list = format!("{{\"version\":1,\"full\":true,\"servers\":[{}]}}\n", entries.join(","));
    aside(move || async move {
        for (name, listener) in listeners {
            let listener = TcpListener::from_std(listener)?;
            tokio::task::spawn_local(
                async move { node(name, listener).await.map_err(|error| error.to_string()) },
            );
        }
        discovery(TcpListener::from_std(listener)?, list.into()).await
    });
    Ok(gearman)
}
