//! What a shard's leader needs of the configuration in force.

use std::sync::Arc;

/// A route, as the leader sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RoutePolicy<'a> {
    /// The name of its service.
    pub service: &'a str,
    /// 0 is the highest.
    pub priority_class: u32,
    /// A message ends at so many answers 500; 0 counts as 1.
    pub max_retries: u32,
    /// How soon a run is to begin, in milliseconds; retries fit into it.
    pub schedule_target_ms: u64,
}

/// A service, as the leader sees it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ServicePolicy {
    /// Connections that each runner accepts from all callers together.
    pub max_connections: u32,
    /// Arrivals that all dispatchers together may cause in a second; unlimited unless over 0.
    pub rate_per_s: f64,
    /// Whether it is a single endpoint at a fixed address.
    pub single_endpoint: bool,
}

/// Routes and services in force.
pub trait Policy: Send + Sync {
    /// The route of a message; none if there is none, or if it takes no messages.
    fn route(&self, host: &str, path: &str) -> Option<RoutePolicy<'_>>;

    /// A service by its name.
    fn service(&self, name: &str) -> Option<ServicePolicy>;
}

/// A policy that several shards share.
pub type SharedPolicy = Arc<dyn Policy>;
