//! Calls the platform for its list of runners.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, StatusCode, header};
use http_body_util::{BodyExt as _, Empty, Limited};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::listing::ListAnswer;
use crate::listing_page::ListPage;

/// The longest page that is taken, in bytes: thousands of entries.
const MAX_PAGE_BYTES: usize = 4 * 1_024 * 1_024;
const MS_PER_SECOND: u64 = 1_000;

/// Makes one call.
pub async fn call(address: SocketAddr, target: &str, time_limit: Duration) -> ListAnswer {
    match timeout(time_limit, exchange(address, target)).await {
        Ok(Ok(answer)) => answer,
        Ok(Err(reason)) => {
            tracing::debug!(%reason, "the platform's list could not be had");
            ListAnswer::Failed
        }
        Err(_) => ListAnswer::Failed,
    }
}

type Reason = Box<dyn std::error::Error + Send + Sync>;

async fn exchange(address: SocketAddr, target: &str) -> Result<ListAnswer, Reason> {
    let stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    let (mut sender, connection) = hyper::client::conn::http1::handshake(TokioIo::new(stream)).await?;
    let driver = tokio::task::spawn_local(connection);
    let request =
        Request::get(target).header(header::HOST, address.to_string()).body(Empty::<Bytes>::new())?;
    let response = sender.send_request(request).await?;
    let answer = match response.status() {
        StatusCode::OK => {
            let body = Limited::new(response.into_body(), MAX_PAGE_BYTES).collect().await?;
            ListAnswer::Page(ListPage::parse(&body.to_bytes())?)
        }
        StatusCode::TOO_MANY_REQUESTS => {
            let after = response.headers().get(header::RETRY_AFTER).and_then(|value| value.to_str().ok());
            let seconds = after.and_then(|value| value.parse::<u64>().ok());
            ListAnswer::TooMany {
                retry_after_ms: seconds.map(|seconds| seconds.saturating_mul(MS_PER_SECOND)),
            }
        }
        status => return Err(format!("it answered {status}").into()),
    };
    driver.abort();
    Ok(answer)
}
