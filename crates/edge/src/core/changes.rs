//! What a configuration changes for messages that are already kept: for logs.

use ruddervalve_configuration::{Configuration, RouteTable, Service};

/// Logs the routes that lead to another service from now on, and the services whose limits come or go.
pub fn log_moves(current: &RouteTable, next: &Configuration) {
    let version = next.version();
    for route in next.routes() {
        let known = current.route(&route.name);
        if let Some(known) = known.filter(|known| known.backend != route.backend) {
            let (route, from, to) = (&route.name, &known.backend, &route.backend);
            tracing::info!(version, route, from, to, "a route leads to another service");
        }
    }
    for service in next.services() {
        if current.service(&service.name).is_some_and(|known| is_limited(known) != is_limited(service)) {
            let (service, limited) = (&service.name, is_limited(service));
            tracing::info!(version, service, limited, "the limit of a service has come or gone");
        }
    }
}

/// Whether its deliveries are counted for all processes together.
fn is_limited(service: &Service) -> bool {
    service.rate_per_s > 0.0 || service.static_endpoint.is_some()
}
