//! Headers of requests, and which of them go on to runners.

use actix_http::header;
use actix_http::header::{HeaderMap, HeaderName};

/// A field as text; none where it is missing or no text.
pub(super) fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

/// The fields that belong to the one connection because its `Connection` field says so.
pub(super) fn named_by_connection(headers: &HeaderMap) -> impl Iterator<Item = String> {
    let values = headers.get_all(header::CONNECTION).filter_map(|value| value.to_str().ok());
    values.flat_map(|value| value.split(',')).map(|name| name.trim().to_ascii_lowercase())
}

/// The headers that go on to a runner: all but those of the one connection and of the time left.
pub(super) fn forwarded_headers(headers: &HeaderMap) -> HeaderMap {
    const OWN: [HeaderName; 9] = [
        header::CONNECTION,
        header::CONTENT_LENGTH,
        header::EXPECT,
        header::PROXY_AUTHORIZATION,
        header::TE,
        header::TRAILER,
        header::TRANSFER_ENCODING,
        header::UPGRADE,
        HeaderName::from_static("x-remaining-ms"),
    ];
    let named: Vec<String> =
        named_by_connection(headers).chain(["keep-alive", "proxy-connection"].map(str::to_owned)).collect();
    headers
        .iter()
        .filter(|(name, _)| !OWN.contains(name) && !named.iter().any(|named| named == name.as_str()))
        .map(|(name, value)| (name.clone(), value.clone()))
        .collect()
}
