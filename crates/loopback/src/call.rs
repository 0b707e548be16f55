//! One request on a connection of its own.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::http_connection::{HttpConnection, HttpError};
use crate::http_message::{HttpRequest, HttpResponse};

/// Redirections that a caller of `control_plane` follows.
const MAX_REDIRECTIONS: usize = 2;

/// Sends a request on a new connection and reads the answer.
///
/// # Errors
/// There was no whole answer within the limit: it is unknown what became of the request, unless no connection came up.
pub async fn call(
    address: SocketAddr,
    request: &HttpRequest,
    limit: Duration,
) -> Result<HttpResponse, HttpError> {
    timeout(limit, exchange(address, request)).await.unwrap_or(Err(HttpError::Silent(limit)))
}

/// The same, and follows 307.
///
/// # Errors
/// As [`call`], at any of the addresses.
pub async fn follow(
    address: SocketAddr,
    request: &HttpRequest,
    limit: Duration,
) -> Result<HttpResponse, HttpError> {
    let mut address = address;
    for _ in 0..MAX_REDIRECTIONS {
        let response = call(address, request, limit).await?;
        match location(&response) {
            Some(next) => address = next,
            None => return Ok(response),
        }
    }
    call(address, request, limit).await
}

async fn exchange(address: SocketAddr, request: &HttpRequest) -> Result<HttpResponse, HttpError> {
    let stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    let mut connection = HttpConnection::new(stream);
    connection.write_request(request).await?;
    connection.read_response().await
}

fn location(response: &HttpResponse) -> Option<SocketAddr> {
    if response.status != 307 {
        return None;
    }
    let rest = response.headers.get("Location")?.strip_prefix("http://")?;
    rest.split('/').next()?.parse().ok()
}
