//! What the operator's configuration tells the decisions.

use std::collections::BTreeMap;

use ruddervalve_configuration::{Configuration, Service};

use super::pacing::Pacing;
use super::share::RunnerShare;

/// Part of an endpoint's connections that one edge may use: half, so that the edge that takes an endpoint's messages over
/// from another finds room beside what that one still has open. How many messages are out is the queue's to bound.
const ENDPOINT_PART: u32 = 2;

/// Where the messages of a service go.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Target {
    /// To the runners on the list.
    Runners {
        /// How long things wait.
        pacing: Pacing,
    },
    /// To one endpoint.
    Endpoint {
        /// `ip:port`.
        address: String,
    },
}

/// One service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct ServicePlan {
    /// Where its messages go.
    pub(crate) target: Target,
    /// Connections to one address of it that this edge may have open.
    pub(crate) max_connections: u32,
    /// How the edges share the connections of its runners.
    pub(crate) share: RunnerShare,
}

/// The services of a configuration, and which route leads to which.
#[derive(Debug, Default)]
pub(crate) struct Plan {
    /// The service of each route that is served, by the route's name.
    routes: BTreeMap<String, String>,
    services: BTreeMap<String, ServicePlan>,
}

impl Plan {
    /// The plan of a configuration for one of `edges` edges.
    pub(crate) fn new(configuration: &Configuration, edges: u32) -> Self {
        let mut routes = BTreeMap::new();
        let mut targets_ms: BTreeMap<&str, u64> = BTreeMap::new();
        for route in configuration.routes().iter().filter(|route| route.is_served()) {
            routes.insert(route.name.clone(), route.backend.clone());
            let target = targets_ms.entry(&route.backend).or_insert(route.schedule_target_ms);
            *target = route.schedule_target_ms.min(*target);
        }
        let plan = |service: &Service| {
            let pacing = Pacing::of(targets_ms.get(service.name.as_str()).copied());
            service_plan(service, pacing, edges)
        };
        let services = configuration.services().iter();
        let services = services.map(|service| (service.name.clone(), plan(service))).collect();
        Self { routes, services }
    }

    /// The service, if the route is served and leads there.
    pub(crate) fn find(&self, route: &str, service: &str) -> Option<&ServicePlan> {
        let leads = self.routes.get(route).is_some_and(|backend| backend == service);
        if leads { self.services.get(service) } else { None }
    }

    /// Services whose runners are listed, with their plans and waits.
    pub(crate) fn listed(&self) -> impl Iterator<Item = (&str, &ServicePlan, Pacing)> {
        self.services.iter().filter_map(|(name, plan)| match plan.target {
            Target::Runners { pacing } => Some((name.as_str(), plan, pacing)),
            Target::Endpoint { .. } => None,
        })
    }
}

fn service_plan(service: &Service, pacing: Pacing, edges: u32) -> ServicePlan {
    let target = match service.static_endpoint {
        Some(address) => Target::Endpoint { address: address.to_string() },
        None => Target::Runners { pacing },
    };
    let parts = match target {
        Target::Endpoint { .. } => ENDPOINT_PART,
        Target::Runners { .. } => edges,
    };
    let share = RunnerShare { edges, connections: service.max_connections };
    ServicePlan { target, max_connections: part(service.max_connections, parts), share }
}

/// This edge's part of the connections; at least one. 0 means that no limit is known.
fn part(connections: u32, parts: u32) -> u32 {
    match connections {
        0 => u32::MAX,
        connections => (connections / parts.max(1)).max(1),
    }
}
