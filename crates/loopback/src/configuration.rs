//! The operator's configurations.

use std::net::SocketAddr;

use serde::Serialize;

/// A route, as the operator sends it. Times are in the unit of their name.
#[derive(Debug, Clone, PartialEq, Serialize)]
#[serde(rename_all = "PascalCase")]
#[allow(missing_docs, reason = "the published protocol says what each of them is")]
pub struct Route {
    pub name: String,
    pub hostname: String,
    pub path_prefix: String,
    #[serde(rename = "Type")]
    pub kind: String,
    pub timeout_ms: u64,
    pub target_latency_ms: u64,
    pub priority_class: u32,
    pub backend: String,
    pub max_retries: u32,
    pub ordered: bool,
    pub retention_s: f64,
    pub callback_url: bool,
    pub schedule_target_ms: u64,
}

impl Route {
    /// A route for messages to a service.
    pub fn to(service: &str, hostname: &str, path_prefix: &str) -> Self {
        Self {
            name: format!("r-{service}"),
            hostname: hostname.to_owned(),
            path_prefix: path_prefix.to_owned(),
            kind: "asynchronous".to_owned(),
            timeout_ms: 1_000,
            target_latency_ms: 100,
            priority_class: 1,
            backend: service.to_owned(),
            max_retries: 4,
            ordered: false,
            retention_s: 60.0,
            callback_url: false,
            schedule_target_ms: 1_000,
        }
    }
}

/// A service, as the operator sends it.
#[derive(Debug, Clone, PartialEq, Serialize)]
#[serde(rename_all = "PascalCase")]
#[allow(missing_docs, reason = "the published protocol says what each of them is")]
pub struct Service {
    pub name: String,
    pub health_path: String,
    pub max_connections: u32,
    pub protocol: String,
    pub tls: bool,
    pub rate_per_s: f64,
    pub idempotent: bool,
    pub pull_mode: bool,
    pub static_endpoint: Option<SocketAddr>,
}

impl Service {
    /// A service whose runners are on the list.
    pub fn listed(name: &str) -> Self {
        Self {
            name: name.to_owned(),
            health_path: "/health".to_owned(),
            max_connections: 64,
            protocol: "h1".to_owned(),
            tls: false,
            rate_per_s: 0.0,
            idempotent: false,
            pull_mode: false,
            static_endpoint: None,
        }
    }
}

/// `Limits` of a configuration: what edges take from clients.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "PascalCase")]
pub struct FrontLimits {
    /// The longest head of a request, in bytes.
    pub max_header_bytes: u64,
    /// The longest body, in bytes.
    pub max_body_bytes: u64,
    /// Within what time the head has to come, in milliseconds.
    pub header_timeout_ms: u64,
    /// How long a connection stays open without a request, in milliseconds.
    pub idle_timeout_ms: u64,
}

impl Default for FrontLimits {
    fn default() -> Self {
        Self {
            max_header_bytes: 16_384,
            max_body_bytes: 262_144,
            header_timeout_ms: 3_000,
            idle_timeout_ms: 15_000,
        }
    }
}

/// A whole configuration.
#[derive(Debug, Clone, PartialEq, Serialize)]
#[serde(rename_all = "PascalCase")]
pub struct ConfigurationPlan {
    /// `ResourceVersion`.
    pub resource_version: u64,
    /// The routes.
    pub routes: Vec<Route>,
    /// The services.
    pub services: Vec<Service>,
    /// What edges take from clients.
    pub limits: FrontLimits,
}

impl ConfigurationPlan {
    /// The first version with these routes and services.
    pub fn first(routes: Vec<Route>, services: Vec<Service>) -> Self {
        Self { resource_version: 1, routes, services, limits: FrontLimits::default() }
    }

    /// The body of the call.
    pub fn to_bytes(&self) -> Vec<u8> {
        serde_json::to_vec(self).unwrap_or_default()
    }
}
