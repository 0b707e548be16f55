//! The answer to the platform's question whether this process is ready.

use tokio::sync::watch;

use super::{FrontRequest, FrontResponse, Handler, Method, StatusCode};

/// Where the platform asks.
pub const READINESS_PATH: &str = "/api/ready";

/// Answers `GET /api/ready` with 200 while the process calls itself ready, else with 503; anything else with 404.
#[derive(Debug, Clone)]
pub struct Readiness {
    ready: watch::Receiver<bool>,
}

impl Readiness {
    /// Follows this value.
    pub fn new(ready: watch::Receiver<bool>) -> Self {
        Self { ready }
    }

    fn answer(&self, request: &FrontRequest) -> FrontResponse {
        let path = request.path_and_query.split('?').next().unwrap_or_default();
        if path != READINESS_PATH || !matches!(request.method, Method::GET | Method::HEAD) {
            return FrontResponse::new(StatusCode::NOT_FOUND);
        }
        let ready = *self.ready.borrow();
        FrontResponse::new(if ready { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE })
    }
}

impl Handler for Readiness {
    async fn handle(&self, request: FrontRequest) -> FrontResponse {
        self.answer(&request)
    }
}
