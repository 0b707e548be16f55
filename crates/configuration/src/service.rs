//! Services of a configuration.

use std::net::SocketAddr;

use crate::convert;
use crate::fault::FaultList;
use crate::section::Section;

/// Where runners answer health checks if the configuration does not say.
const DEFAULT_HEALTH_PATH: &str = "/health";
/// What runners speak if the configuration does not say: HTTP/1.1.
const DEFAULT_PROTOCOL: &str = "h1";

/// A service: all runners of one kind, or one endpoint.
#[derive(Debug, Clone, PartialEq)]
pub struct Service {
    /// Its name, unique among services.
    pub name: String,
    /// The path of its health checks; `/health` if it is not given.
    pub health_path: String,
    /// Connections that one runner accepts from all callers together; 0 if it is not given: no limit is known.
    pub max_connections: u32,
    /// Messages a second that all processes together may send it; 0: no limit, also if it is not given.
    pub rate_per_s: f64,
    /// Whether its runners share one table of ids, so that a repeat is answered and not run; false if it is not given.
    pub idempotent: bool,
    /// `PullMode`; false if it is not given.
    pub pull_mode: bool,
    /// The single endpoint, where the service is one; it then stands on no list.
    pub static_endpoint: Option<SocketAddr>,
    /// What its runners speak; `h1` (HTTP/1.1) if it is not given.
    pub protocol: String,
    /// Whether its runners want TLS; false if it is not given.
    pub tls: bool,
}

impl Service {
    /// Whether its deliveries are counted for all processes together: by a rate, or by the connections of a single endpoint.
    pub fn is_limited(&self) -> bool {
        self.rate_per_s > 0.0 || self.static_endpoint.is_some()
    }

    pub(crate) fn parse(section: Section<'_>, faults: &mut FaultList) -> Option<Self> {
        let name = section.required("Name", convert::name, faults);
        let health_path = section.optional("HealthPath", convert::name, faults);
        let max_connections = section.optional("MaxConnections", convert::whole_32, faults);
        let rate_per_s = section.optional("RatePerS", convert::number, faults);
        let idempotent = section.optional("Idempotent", convert::flag, faults);
        let pull_mode = section.optional("PullMode", convert::flag, faults);
        let static_endpoint = section.optional("StaticEndpoint", convert::address, faults);
        let protocol = section.optional("Protocol", convert::text, faults);
        let tls = section.optional("Tls", convert::flag, faults);
        Some(Self {
            name: name?,
            health_path: health_path.unwrap_or_else(|| DEFAULT_HEALTH_PATH.to_owned()),
            max_connections: max_connections.unwrap_or(0),
            rate_per_s: rate_per_s.unwrap_or(0.0),
            idempotent: idempotent.unwrap_or(false),
            pull_mode: pull_mode.unwrap_or(false),
            static_endpoint,
            protocol: protocol.unwrap_or_else(|| DEFAULT_PROTOCOL.to_owned()),
            tls: tls.unwrap_or(false),
        })
    }
}
