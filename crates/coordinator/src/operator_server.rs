//! The operator's API on the `ControlPlane` address, by gotham. It reads requests whole and hands them to the role, which
//! decides; it decides nothing itself.

use std::pin::Pin;

use bytes::Bytes;
use gotham::handler::{Handler, HandlerFuture, HandlerResult, NewHandler};
use gotham::helpers::http::Body;
use gotham::state::{FromState as _, State};
use http::{HeaderMap, Method, Response, StatusCode, Uri, header};
use http_body_util::{BodyExt as _, Full, Limited};
use tokio::net::TcpListener;
use tokio::sync::{mpsc, oneshot};

use crate::core::OperatorReply;
use crate::operator::{Answer, Endpoint, OperatorCall, Status};

const BASE_VERSION: &str = "Base-Version";
/// When a caller may ask again that could not be answered, in whole seconds: the shortest that can be said.
const RETRY_AFTER_SECONDS: &str = "1";

/// A call that waits for its answer.
#[derive(Debug)]
pub struct OperatorRequest {
    /// The call, checked by itself.
    pub call: OperatorCall,
    /// Where the answer goes.
    pub reply: oneshot::Sender<OperatorReply>,
}

/// Hands calls to the role.
#[derive(Debug, Clone)]
struct OperatorHandler {
    requests: mpsc::UnboundedSender<OperatorRequest>,
    max_body_bytes: usize,
}

/// Serves the API until it is dropped.
pub async fn serve(
    listener: TcpListener,
    requests: mpsc::UnboundedSender<OperatorRequest>,
    max_body_bytes: usize,
) {
    let handler = OperatorHandler { requests, max_body_bytes };
    let wrap = |stream: tokio::net::TcpStream| {
        let set = stream.set_nodelay(true);
        std::future::ready(set.map(|()| stream).map_err(|_| ()))
    };
    gotham::bind_server(listener, handler, wrap).await;
}

impl NewHandler for OperatorHandler {
    type Instance = Self;

    fn new_handler(&self) -> gotham::anyhow::Result<Self> {
        Ok(self.clone())
    }
}

impl Handler for OperatorHandler {
    fn handle(self, state: State) -> Pin<Box<HandlerFuture>> {
        Box::pin(self.answer(state))
    }
}

impl OperatorHandler {
    async fn answer(self, mut state: State) -> HandlerResult {
        let target =
            Uri::borrow_from(&state).path_and_query().map_or("", |target| target.as_str()).to_owned();
        let reply = match self.read(&mut state, &target).await {
            Ok(call) => self.ask(call).await,
            Err(answer) => OperatorReply::Answer(answer),
        };
        let response = respond(reply, &target);
        Ok((state, response))
    }

    async fn read(&self, state: &mut State, target: &str) -> Result<OperatorCall, Answer> {
        let endpoint = Endpoint::parse(Method::borrow_from(state).as_str(), target)?;
        let body = Body::take_from(state);
        let body = match Limited::new(body, self.max_body_bytes).collect().await {
            Ok(body) => body.to_bytes(),
            Err(error) if error.is::<http_body_util::LengthLimitError>() => {
                return Err(Answer::too_large(self.max_body_bytes));
            }
            Err(_) => return Err(Answer::unavailable("the body did not come whole: send the call again")),
        };
        let base = HeaderMap::borrow_from(state).get(BASE_VERSION).map(|value| value.as_bytes().to_vec());
        endpoint.read(base.as_deref(), &body, self.max_body_bytes)
    }

    async fn ask(&self, call: OperatorCall) -> OperatorReply {
        let (reply, answer) = oneshot::channel();
        let _ = self.requests.send(OperatorRequest { call, reply });
        answer.await.unwrap_or_else(|_| OperatorReply::Answer(Answer::outcome_unknown()))
    }
}

fn respond(reply: OperatorReply, target: &str) -> Response<Body> {
    match reply {
        OperatorReply::Answer(answer) => {
            let mut response = response(answer.status.code(), answer.body);
            let headers = response.headers_mut();
            headers.insert(header::CONTENT_TYPE, header::HeaderValue::from_static("application/json"));
            if let Some(allow) = answer.allow {
                headers.insert(header::ALLOW, header::HeaderValue::from_static(allow));
            }
            if matches!(answer.status, Status::Unavailable | Status::OutcomeUnknown) {
                let after = header::HeaderValue::from_static(RETRY_AFTER_SECONDS);
                headers.insert(header::RETRY_AFTER, after);
            }
            response
        }
        OperatorReply::Redirect(address) => {
            let mut response = response(StatusCode::TEMPORARY_REDIRECT.as_u16(), Vec::new());
            if let Ok(location) = format!("http://{address}{target}").try_into() {
                response.headers_mut().insert(header::LOCATION, location);
            }
            response
        }
    }
}

fn response(status: u16, body: Vec<u8>) -> Response<Body> {
    let body = Full::new(Bytes::from(body)).map_err(|never| match never {});
    let mut response = Response::new(Body::new(body));
    *response.status_mut() = StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    response
}
