//! The operator.

use std::net::SocketAddr;
use std::time::Duration;

use displaydoc::Display;

use crate::call::follow;
use crate::configuration::ConfigurationPlan;
use crate::eventually::{TimedOut, eventually};
use crate::http_connection::HttpError;
use crate::http_message::{HttpRequest, HttpResponse};

/// Callers of `control_plane` go on to another dispatcher after so much silence.
const SILENCE: Duration = Duration::from_secs(1);

/// Why an order was not taken.
#[derive(Debug, Display)]
pub enum OperatorError {
    /// no coordinator acknowledged the order: {0}
    TimedOut(TimedOut),
    /// the order was refused with {0}: {1}
    Refused(u16, String),
}

impl std::error::Error for OperatorError {}

impl From<TimedOut> for OperatorError {
    fn from(error: TimedOut) -> Self {
        Self::TimedOut(error)
    }
}

/// An operator with its list of `ControlPlane` addresses.
#[derive(Debug, Clone)]
pub struct Operator {
    coordinators: Vec<SocketAddr>,
}

impl Operator {
    /// One that calls these.
    pub fn of(coordinators: Vec<SocketAddr>) -> Self {
        Self { coordinators }
    }

    /// Sends a configuration until it is acknowledged, to one coordinator after the other.
    ///
    /// # Errors
    /// It was refused, or there was no clear answer within the limit.
    pub async fn replace(
        &self,
        base: u64,
        configuration: &ConfigurationPlan,
        limit: Duration,
    ) -> Result<(), OperatorError> {
        let body = configuration.to_bytes();
        let response = self.until_clear(&replace_request(base, body), limit).await?;
        match response.status {
            200 => Ok(()),
            status => {
                Err(OperatorError::Refused(status, String::from_utf8_lossy(&response.body).into_owned()))
            }
        }
    }

    /// Sends a configuration once to this coordinator, and follows redirections.
    ///
    /// # Errors
    /// There was no whole answer.
    pub async fn replace_at(
        &self,
        coordinator: SocketAddr,
        base: u64,
        body: Vec<u8>,
    ) -> Result<HttpResponse, HttpError> {
        follow(coordinator, &replace_request(base, body), SILENCE).await
    }

    /// Sends bytes as a configuration until there is a clear answer: neither silence nor 5xx, 408 or 429.
    ///
    /// # Errors
    /// There was no clear answer within the limit.
    pub async fn replace_bytes(
        &self,
        base: u64,
        body: Vec<u8>,
        limit: Duration,
    ) -> Result<HttpResponse, TimedOut> {
        self.until_clear(&replace_request(base, body), limit).await
    }

    /// The newest configuration, as it was sent.
    ///
    /// # Errors
    /// There was no clear answer within the limit.
    pub async fn newest(&self, limit: Duration) -> Result<HttpResponse, TimedOut> {
        self.until_clear(&HttpRequest::new("GET", "/api/Config.Get").with("Host", "control"), limit).await
    }

    async fn until_clear(&self, request: &HttpRequest, limit: Duration) -> Result<HttpResponse, TimedOut> {
        let mut turn = self.coordinators.iter().cycle();
        let condition = format!("a clear answer to {}", request.target);
        eventually(&condition, limit, || {
            let coordinator = turn.next().copied();
            async move {
                let response = follow(coordinator?, request, SILENCE).await.ok()?;
                let is_clear = response.status < 500 && !matches!(response.status, 307 | 408 | 429);
                is_clear.then_some(response)
            }
        })
        .await
    }
}

fn replace_request(base: u64, body: Vec<u8>) -> HttpRequest {
    HttpRequest::new("POST", "/api/Config.Replace")
        .with("Host", "control")
        .with("Base-Version", &base.to_string())
        .with("Content-Type", "application/json")
        .with_body(body)
}
