//! Who answers requests.

use std::future::Future;

use super::{FrontRequest, FrontResponse};

/// Answers requests that were read whole.
pub trait Handler: 'static {
    /// Answers one request.
    ///
    /// The future is dropped at any of its waits when the client's connection breaks: what must go on regardless has to
    /// be spawned. A client that only closed its sending side still gets the answer. There is no time limit here; the
    /// handler must set its own.
    fn handle(&self, request: FrontRequest) -> impl Future<Output = FrontResponse>;
}
