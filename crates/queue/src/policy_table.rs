//! The leader's view of a [`RouteTable`].

use ruddervalve_configuration::RouteTable;

use crate::policy::{Policy, RoutePolicy, ServicePolicy};

impl Policy for RouteTable {
    fn route(&self, host: &str, path: &str) -> Option<RoutePolicy<'_>> {
        let route = self.find(host, path)?;
        Some(RoutePolicy {
            service: &route.backend,
            priority_class: route.priority_class,
            max_retries: route.max_retries,
            schedule_target_ms: route.schedule_target_ms,
        })
    }

    fn service(&self, name: &str) -> Option<ServicePolicy> {
        let service = RouteTable::service(self, name)?;
        Some(ServicePolicy {
            max_connections: service.max_connections,
            rate_per_s: service.rate_per_s,
            single_endpoint: service.static_endpoint.is_some(),
        })
    }
}
