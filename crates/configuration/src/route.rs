//! Routes of a configuration.

use std::borrow::Cow;

use crate::convert;
use crate::fault::FaultList;
use crate::section::Section;

/// The `Type` of routes whose requests are messages.
const ASYNCHRONOUS: &str = "asynchronous";
/// Runs before a message is dead, if the configuration does not say: the first and no other.
const DEFAULT_MAX_RETRIES: u32 = 1;

/// What the requests of a route are.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RouteKind {
    /// Messages: answered 202 and delivered later.
    Asynchronous,
    /// A `Type` that this program does not know. The route is kept and never served.
    Other(String),
}

/// A route: which requests are messages for which service, and how these are treated.
#[derive(Debug, Clone, PartialEq)]
pub struct Route {
    /// Its name, unique among routes.
    pub name: String,
    /// The host, in small letters and without a port.
    pub hostname: String,
    /// What the path begins with, as a plain text.
    pub path_prefix: String,
    /// Its `Type`.
    pub kind: RouteKind,
    /// The time for a single delivery, in milliseconds; over 0.
    pub timeout_ms: u64,
    /// Within what time the 202 is wanted, in milliseconds; as `timeout_ms` if it is not given.
    pub target_latency_ms: u64,
    /// Its priority, 0 the highest; 0 if it is not given.
    pub priority_class: u32,
    /// The name of its service.
    pub backend: String,
    /// How many answers of 500 end a message; 1 if it is not given.
    pub max_retries: u32,
    /// Whether messages with the same `Ordering-Key` run one after the other; false if it is not given.
    pub ordered: bool,
    /// How long after it was first sent a message ends, in milliseconds; 100 years if it is not given: it does not end by
    /// age.
    pub retention_ms: u64,
    /// Whether messages may name a URL for call-backs; false if it is not given.
    pub callback_url: bool,
    /// Within what time a run is to start, in milliseconds; as `timeout_ms` if it is not given.
    pub schedule_target_ms: u64,
}

impl Route {
    /// Whether requests on it are taken.
    pub fn is_served(&self) -> bool {
        self.kind == RouteKind::Asynchronous
    }

    pub(crate) fn parse(section: Section<'_>, faults: &mut FaultList) -> Option<Self> {
        let name = section.required("Name", convert::name, faults);
        let hostname = section.required("Hostname", convert::name, faults);
        let path_prefix = section.required("PathPrefix", convert::text, faults);
        let kind = section.required("Type", convert::text, faults);
        let timeout_ms = section.required("TimeoutMs", convert::positive_milliseconds, faults);
        let target_latency_ms = section.optional("TargetLatencyMs", convert::milliseconds, faults);
        let priority_class = section.optional("PriorityClass", convert::whole_32, faults);
        let backend = section.required("Backend", convert::text, faults);
        let max_retries = section.optional("MaxRetries", convert::whole_32, faults);
        let ordered = section.optional("Ordered", convert::flag, faults);
        let retention_ms = section.optional("RetentionS", convert::seconds, faults);
        let callback_url = section.optional("CallbackUrl", convert::flag, faults);
        let schedule_target_ms = section.optional("ScheduleTargetMs", convert::milliseconds, faults);
        let timeout_ms = timeout_ms?;
        Some(Self {
            name: name?,
            hostname: normal_host(&hostname?).into_owned(),
            path_prefix: path_prefix?,
            kind: RouteKind::from(kind?),
            timeout_ms,
            target_latency_ms: target_latency_ms.unwrap_or(timeout_ms),
            priority_class: priority_class.unwrap_or(0),
            backend: backend?,
            max_retries: max_retries.unwrap_or(DEFAULT_MAX_RETRIES),
            ordered: ordered.unwrap_or(false),
            retention_ms: retention_ms.unwrap_or(convert::MAX_DURATION_MS),
            callback_url: callback_url.unwrap_or(false),
            schedule_target_ms: schedule_target_ms.unwrap_or(timeout_ms),
        })
    }
}

impl From<String> for RouteKind {
    fn from(kind: String) -> Self {
        if kind == ASYNCHRONOUS { Self::Asynchronous } else { Self::Other(kind) }
    }
}

/// The host without its port and in small letters; borrows where nothing has to change but the port.
pub(crate) fn normal_host(host: &str) -> Cow<'_, str> {
    let host = without_port(host);
    if host.bytes().any(|byte| byte.is_ascii_uppercase()) {
        return Cow::Owned(host.to_ascii_lowercase());
    }
    Cow::Borrowed(host)
}

/// Cuts `:8080` off; an IPv6 number stands in brackets, and its colons stay.
fn without_port(host: &str) -> &str {
    match host.rsplit_once(':') {
        Some((name, port)) if port.bytes().all(|byte| byte.is_ascii_digit()) && !is_open_bracket(name) => {
            name
        }
        _ => host,
    }
}

/// Whether the colon after `name` stands within an IPv6 number in brackets.
fn is_open_bracket(name: &str) -> bool {
    name.starts_with('[') && !name.ends_with(']')
}
