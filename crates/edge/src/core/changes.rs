//! What a configuration changes for messages that are already kept: for logs.

use ruddervalve_configuration::{Configuration, RouteTable};

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
        if current.service(&service.name).is_some_and(|known| known.is_limited() != service.is_limited()) {
            let (service, limited) = (&service.name, service.is_limited());
            tracing::info!(version, service, limited, "the limit of a service has come or gone");
        }
    }
}
