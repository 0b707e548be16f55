//! Requests as hyper sends them.

use std::net::SocketAddr;

use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{CONTENT_TYPE, HOST, HeaderName, HeaderValue};
use hyper::http::uri::PathAndQuery;
use hyper::{Method, Request, Uri};

use super::Delivery;

const REQUEST_ID: HeaderName = HeaderName::from_static("request-id");
const ORDERING_KEY: HeaderName = HeaderName::from_static("ordering-key");
const DEADLINE_MS: HeaderName = HeaderName::from_static("deadline-ms");
const EXPECTED_INSTANCE: HeaderName = HeaderName::from_static("expected-instance");

/// The type of a call-back's body.
const JSON: HeaderValue = HeaderValue::from_static("application/json");

/// A delivery; none where a part of it cannot stand in a request unchanged.
pub(super) fn delivery(delivery: &Delivery) -> Option<Request<Full<Bytes>>> {
    let method = Method::from_bytes(delivery.method.as_bytes()).ok()?;
    let body = Full::new(delivery.body.clone());
    let mut request = request(method, &delivery.host, &delivery.path_and_query, body)?;
    let headers = request.headers_mut();
    headers.insert(REQUEST_ID, HeaderValue::from_str(&delivery.request_id).ok()?);
    headers.insert(DEADLINE_MS, HeaderValue::from(delivery.deadline_ms));
    if !delivery.content_type.is_empty() {
        headers.insert(CONTENT_TYPE, HeaderValue::from_str(&delivery.content_type).ok()?);
    }
    if let Some(key) = &delivery.ordering_key {
        headers.insert(ORDERING_KEY, HeaderValue::from_str(key).ok()?);
    }
    if let Some(instance) = &delivery.expected_instance {
        headers.insert(EXPECTED_INSTANCE, HeaderValue::from_str(instance).ok()?);
    }
    Some(request)
}

/// A call-back.
pub(super) fn call_back(host: &str, path: &str, body: Bytes) -> Option<Request<Full<Bytes>>> {
    let mut request = request(Method::POST, host, path, Full::new(body))?;
    request.headers_mut().insert(CONTENT_TYPE, JSON);
    Some(request)
}

/// A health check.
pub(super) fn health(address: SocketAddr, path: &str) -> Option<Request<Full<Bytes>>> {
    request(Method::GET, &address.to_string(), path, Full::default())
}

fn request(method: Method, host: &str, path: &str, body: Full<Bytes>) -> Option<Request<Full<Bytes>>> {
    let target = PathAndQuery::try_from(path).ok().filter(|target| target.as_str() == path)?;
    let mut request = Request::new(body);
    *request.method_mut() = method;
    *request.uri_mut() = Uri::from(target);
    request.headers_mut().insert(HOST, HeaderValue::from_str(host).ok()?);
    Some(request)
}
