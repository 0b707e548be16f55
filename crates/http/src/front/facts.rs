//! What a request must look like, and the facts that the decisions need of it.

use actix_http::header::HeaderMap;
use actix_http::{HttpMessage as _, Method, Request, StatusCode};
use ruddervalve::JobFacts;

use super::Front;
use super::conversation::Rejection;
use super::headers::{header_text, named_by_connection};

/// The most slots or units of memory that a request can name and mean.
const MAX_RESOURCE_AMOUNT: f64 = 4_096.0;
/// The platform's own fields of a request.
const PLATFORM_HEADERS: [&str; 8] =
    ["x-txn", "x-lane", "x-org", "x-remaining-ms", "x-labels", "x-estimate", "cookie", "host"];
/// The names of the label for slots, and of the one for memory.
const SLOT_LABELS: [&str; 3] = ["slots", "width", "x1"];
const MEMORY_LABELS: [&str; 3] = ["memory", "mem", "x2"];

/// A request that may be handed to the broker, but for its body.
pub(super) struct ParsedHead {
    /// The client's id of it.
    pub(super) id: String,
    pub(super) facts: JobFacts,
}

impl Front {
    /// Checks a head and reads its facts.
    pub(super) fn parse_head(&self, request: &Request) -> Result<ParsedHead, Rejection> {
        check_form(request)?;
        let headers = request.headers();
        let id = one(headers, "x-txn", "x_txn")?.filter(|id| is_graphic(id)).ok_or(bad_request("x_txn"))?;
        let class = self.class(request)?;
        let tenant = one(headers, "x-org", "x_org")?;
        if !self.broker.knows_tenant(tenant) {
            return Err(bad_request("x_org"));
        }
        let remaining_ms = remaining_ms(headers)?;
        let labels = one(headers, "x-labels", "x_labels")?.unwrap_or_default();
        let facts = JobFacts {
            class: class.to_owned(),
            tenant: tenant.map(str::to_owned),
            remaining_ms: f64::from(remaining_ms.ok_or(bad_request("x_remaining_ms"))?),
            slots: label(labels, SLOT_LABELS, 1.0)?,
            memory: label(labels, MEMORY_LABELS, 0.0)?,
            hint_ms: estimate_ms(headers),
        };
        Ok(ParsedHead { id: id.to_owned(), facts })
    }

    /// The class, which the path must name, too.
    fn class<'a>(&self, request: &'a Request) -> Result<&'a str, Rejection> {
        let class = one(request.headers(), "x-lane", "x_lane")?.ok_or(bad_request("x_lane"))?;
        if request.path().split('/').nth(1) != Some(class) {
            return Err(bad_request("class_in_path"));
        }
        if !self.broker.knows_class(class) {
            return Err(Rejection::Answered(StatusCode::NOT_FOUND, "class_unknown"));
        }
        Ok(class)
    }
}

fn bad_request(problem: &'static str) -> Rejection {
    Rejection::Answered(StatusCode::BAD_REQUEST, problem)
}

/// Checks the method, and that all can be passed on as it came.
fn check_form(request: &Request) -> Result<(), Rejection> {
    if request.method() != Method::POST {
        return Err(Rejection::Answered(StatusCode::METHOD_NOT_ALLOWED, "method"));
    }
    let headers = request.headers();
    let printable = |byte: &u8| matches!(byte, b'\t' | b' '..=b'~');
    if !headers.iter().all(|(_, value)| value.as_bytes().iter().all(printable)) {
        return Err(bad_request("unprintable"));
    }
    if !request.uri().path_and_query().is_some_and(|target| is_graphic(target.as_str())) {
        return Err(bad_request("target"));
    }
    // A field that the next hop would have to leave out cannot be one that it needs.
    if named_by_connection(headers).any(|name| PLATFORM_HEADERS.contains(&name.as_str())) {
        return Err(bad_request("connection"));
    }
    Ok(())
}

fn is_graphic(text: &str) -> bool {
    text.bytes().all(|byte| byte.is_ascii_graphic())
}

/// A field that may stand once; none where it is missing or empty.
fn one<'a>(headers: &'a HeaderMap, name: &str, problem: &'static str) -> Result<Option<&'a str>, Rejection> {
    match headers.get_all(name).count() {
        0 | 1 => Ok(header_text(headers, name).filter(|value| !value.is_empty())),
        _ => Err(bad_request(problem)),
    }
}

fn remaining_ms(headers: &HeaderMap) -> Result<Option<u32>, Rejection> {
    let digits = |value: &&str| value.bytes().all(|byte| byte.is_ascii_digit());
    let text = one(headers, "x-remaining-ms", "x_remaining_ms")?.filter(digits);
    Ok(text.and_then(|ms| ms.parse().ok()))
}

/// A label's amount, or the usual one. Guards the sums of what runs where against amounts that no runner has.
fn label(labels: &str, names: [&str; 3], usual: f64) -> Result<f64, Rejection> {
    let mut pairs = labels.split(',').filter_map(|pair| pair.trim().split_once('='));
    let Some((_, value)) = pairs.find(|(name, _)| names.contains(name)) else { return Ok(usual) };
    let value = value.parse::<f64>().ok();
    value.filter(|value| (0.0..=MAX_RESOURCE_AMOUNT).contains(value)).ok_or(bad_request("x_labels"))
}

fn estimate_ms(headers: &HeaderMap) -> Option<f64> {
    let text = header_text(headers, "x-estimate")?;
    text.parse().ok().filter(|ms: &f64| ms.is_finite() && *ms >= 0.0)
}
