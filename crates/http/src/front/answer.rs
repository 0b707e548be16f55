//! How answers are worded.

use actix_http::{Response, StatusCode, header};
use bytes::Bytes;
use ruddervalve_broker::Answer;

/// How an answer is worded in the platform's protocol.
pub(super) fn response_for(answer: Answer) -> Response<Bytes> {
    match answer {
        Answer::Served(result) => Response::with_body(StatusCode::OK, result),
        Answer::Refused { wait_ms } => {
            let mut response = Response::with_body(StatusCode::SERVICE_UNAVAILABLE, Bytes::new());
            let seconds = format!("{:.3}", wait_ms / 1e3);
            if let Ok(value) = header::HeaderValue::from_str(&seconds) {
                response.headers_mut().insert(header::RETRY_AFTER, value);
            }
            response
        }
        Answer::Failed => Response::with_body(StatusCode::BAD_GATEWAY, Bytes::new()),
        Answer::Unusable => Response::with_body(StatusCode::BAD_REQUEST, Bytes::new()),
    }
}
