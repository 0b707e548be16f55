//! One connection from its first byte to its end.

use std::cell::RefCell;
use std::future::{Future, poll_fn};
use std::mem::MaybeUninit;
use std::pin::{Pin, pin};
use std::rc::Rc;
use std::task::{Context, Poll};

use bytes::{Bytes, BytesMut};
use displaydoc::Display;
use http_body_util::{BodyExt as _, Full};
use hyper::body::{Body as _, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use tokio::net::TcpStream;

use super::framing::Phase;
use super::guard::Guard;
use super::linger;
use super::refusal::Refusal;
use super::registry::{CrowdedPlace, Place};
use super::request::{BadRequest, read_head};
use super::state::{ConnectionState, Order, Shared, count};
use super::{FrontResponse, Handler};

/// Room made for a body ahead of its bytes, in bytes: a length that is only announced must not take memory.
const ROOM_AHEAD: usize = 16 << 10;

/// body did not come whole: the connection is closed
#[derive(Debug, Display)]
struct BodyBroken;

impl std::error::Error for BodyBroken {}

/// Serves a connection until it ends.
pub(super) async fn run<H: Handler>(shared: Rc<Shared>, place: Place, stream: TcpStream, handler: Rc<H>) {
    let stream = Rc::new(RefCell::new(stream));
    let order = serve(&shared, &place.state, Rc::clone(&stream), handler).await;
    let Some(stream) = Rc::into_inner(stream).map(RefCell::into_inner) else { return };
    end(&shared, &place.state, stream, order).await;
}

/// Serves requests until hyper is done or an order ends it.
async fn serve<H: Handler>(
    shared: &Rc<Shared>,
    state: &Rc<ConnectionState>,
    stream: Rc<RefCell<TcpStream>>,
    handler: Rc<H>,
) -> Option<Order> {
    let guard = Guard::new(Rc::clone(shared), Rc::clone(state), Rc::clone(&stream));
    let service =
        service_fn(|request| answer(Rc::clone(shared), Rc::clone(state), Rc::clone(&handler), request));
    let connection = http1::Builder::new()
        .auto_date_header(false)
        .title_case_headers(true)
        .header_read_timeout(None)
        .serve_connection(TokioIo::new(guard), service);
    let mut connection = pin!(connection);
    poll_fn(|context| poll_until_order(connection.as_mut(), shared, state, &stream, context)).await
}

/// Lets hyper work first, so that an order meets the connection as it is.
fn poll_until_order(
    connection: Pin<&mut impl Future<Output = hyper::Result<()>>>,
    shared: &Shared,
    state: &ConnectionState,
    stream: &RefCell<TcpStream>,
    context: &mut Context<'_>,
) -> Poll<Option<Order>> {
    state.watch(context.waker());
    if connection.poll(context).is_ready() {
        return Poll::Ready(None);
    }
    let Some(order) = state.take_order() else { return Poll::Pending };
    let phase = state.phase.get();
    let applies = match order {
        Order::CloseIdle => phase == Phase::Idle && !has_unread_bytes(&stream.borrow()),
        Order::RefuseSlow => matches!(phase, Phase::Head | Phase::Body),
        Order::Abort => state.write_blocked.get(),
    };
    if applies {
        return Poll::Ready(Some(order));
    }
    shared.registry.borrow_mut().keep(state);
    Poll::Pending
}

/// Whether the system holds bytes that the runtime may not know of yet: a request that is there is served, not reset.
fn has_unread_bytes(stream: &TcpStream) -> bool {
    let mut byte = [MaybeUninit::uninit()];
    matches!(SockRef::from(stream).peek(&mut byte), Ok(1..))
}

/// Answers one request.
async fn answer<H: Handler>(
    shared: Rc<Shared>,
    state: Rc<ConnectionState>,
    handler: Rc<H>,
    request: Request<Incoming>,
) -> Result<Response<Full<Bytes>>, BodyBroken> {
    let limits = shared.limits();
    let (parts, body) = request.into_parts();
    let head = read_head(parts, &limits);
    let body = collect(body).await?;
    if state.phase.get() != Phase::Serving {
        return Err(BodyBroken);
    }
    let mut response = match head {
        Ok(mut request) => {
            request.body = body;
            handler.handle(request).await
        }
        Err(bad) => bad_request(bad),
    };
    count(&shared.answered);
    // A further request that has been read is owed its answer too.
    response.close |= shared.draining.get().is_some() && !state.further_bytes.get();
    state.answer_made.set(true);
    Ok(response.into_http())
}

fn bad_request(bad: BadRequest) -> FrontResponse {
    let mut response = FrontResponse::new(StatusCode::BAD_REQUEST).with_body("text/plain", bad.to_string());
    response.close = bad.closes();
    response
}

/// The whole body; not copied where it came in one piece.
async fn collect(mut body: Incoming) -> Result<Bytes, BodyBroken> {
    let Some(first) = next_piece(&mut body).await? else { return Ok(Bytes::new()) };
    if body.is_end_stream() {
        return Ok(first);
    }
    let expected = usize::try_from(body.size_hint().lower()).unwrap_or(usize::MAX);
    let mut whole = BytesMut::with_capacity(first.len().saturating_add(expected.min(ROOM_AHEAD)));
    whole.extend_from_slice(&first);
    while let Some(piece) = next_piece(&mut body).await? {
        whole.extend_from_slice(&piece);
    }
    Ok(whole.freeze())
}

/// The next bytes; trailers are dropped.
async fn next_piece(body: &mut Incoming) -> Result<Option<Bytes>, BodyBroken> {
    while let Some(frame) = body.frame().await {
        if let Ok(bytes) = frame.map_err(|_| BodyBroken)?.into_data() {
            return Ok(Some(bytes));
        }
    }
    Ok(None)
}

/// Closes the connection, with an answer first if a request was refused.
async fn end(shared: &Shared, state: &ConnectionState, stream: TcpStream, order: Option<Order>) {
    let within = matches!(state.phase.get(), Phase::Head | Phase::Body);
    let refusal = match order {
        Some(Order::CloseIdle | Order::Abort) => return,
        Some(Order::RefuseSlow) => Some(Refusal::TooSlow),
        None => state.refusal.take(),
    };
    if refusal.is_none() && left(state) {
        count(&shared.clients_left);
        return;
    }
    // hyper gave up on a request without an answer: it and the guard read it differently.
    let refusal = refusal.or((within && !state.written.get()).then_some(Refusal::BadBody));
    if let Some(refusal) = refusal {
        count(&shared.refused);
        tracing::debug!(%refusal, "request refused");
    }
    if refusal.is_some() || within || state.further_bytes.get() {
        Box::pin(linger::end(stream, refusal.map(Refusal::answer), shared.limits())).await;
    }
}

/// Whether the client went away in the middle of a request or before its answer.
fn left(state: &ConnectionState) -> bool {
    match state.phase.get() {
        Phase::Idle => false,
        Phase::Head | Phase::Body => state.client_ended.get(),
        Phase::Serving => !state.written.get(),
    }
}

/// Tells a client that there are too many connections.
pub(super) async fn refuse_crowded(shared: Rc<Shared>, place: CrowdedPlace, stream: TcpStream) {
    let limits = shared.limits();
    let refusal = Refusal::Crowded { retry_after_seconds: limits.retry_after_ms.div_ceil(1_000) };
    linger::end(stream, Some(refusal.answer()), limits).await;
    drop(place);
}
