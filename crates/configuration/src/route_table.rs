//! Which route a request takes.

use std::cmp::Reverse;
use std::collections::HashMap;
use std::sync::Arc;

use crate::configuration::{Configuration, Limits};
use crate::route::{Route, normal_host};
use crate::service::Service;

/// The routes and services of one configuration, ready for look-ups. Clones share everything.
#[derive(Debug, Clone)]
pub struct RouteTable {
    tables: Arc<Tables>,
}

#[derive(Debug)]
struct Tables {
    version: u64,
    limits: Limits,
    /// Routes of a host, the longest prefix first.
    routes_by_host: HashMap<String, Vec<Arc<Route>>>,
    routes_by_name: HashMap<String, Arc<Route>>,
    services_by_name: HashMap<String, Arc<Service>>,
}

impl RouteTable {
    /// The table of a configuration.
    pub fn new(configuration: &Configuration) -> Self {
        let tables = Tables {
            version: configuration.version(),
            limits: configuration.limits(),
            routes_by_host: routes_by_host(configuration.routes()),
            routes_by_name: by_name(configuration.routes(), |route| &route.name),
            services_by_name: by_name(configuration.services(), |service| &service.name),
        };
        Self { tables: Arc::new(tables) }
    }

    /// The `ResourceVersion` of the configuration.
    pub fn version(&self) -> u64 {
        self.tables.version
    }

    /// What is taken from clients.
    pub fn limits(&self) -> Limits {
        self.tables.limits
    }

    /// The route with the longest prefix at the start of `path`, among those of `host`. Letters of the host count as
    /// small ones and its port is passed over; the query of the path does not count. None, too, if the longest prefix
    /// belongs to a route that is not served: its requests must not reach another route's service.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let path = without_query(path);
        let routes = self.tables.routes_by_host.get(normal_host(host).as_ref())?;
        let longest = routes.iter().find(|route| path.starts_with(&route.path_prefix))?;
        longest.is_served().then_some(longest)
    }

    /// The route of this name, served or not.
    pub fn route(&self, name: &str) -> Option<&Arc<Route>> {
        self.tables.routes_by_name.get(name)
    }

    /// The service of this name.
    pub fn service(&self, name: &str) -> Option<&Arc<Service>> {
        self.tables.services_by_name.get(name)
    }

    /// All routes, served or not, in no particular order.
    pub fn routes(&self) -> impl Iterator<Item = &Arc<Route>> {
        self.tables.routes_by_name.values()
    }

    /// All services, in no particular order.
    pub fn services(&self) -> impl Iterator<Item = &Arc<Service>> {
        self.tables.services_by_name.values()
    }
}

fn routes_by_host(routes: &[Arc<Route>]) -> HashMap<String, Vec<Arc<Route>>> {
    let mut hosts: HashMap<String, Vec<Arc<Route>>> = HashMap::new();
    for route in routes {
        hosts.entry(route.hostname.clone()).or_default().push(Arc::clone(route));
    }
    for routes in hosts.values_mut() {
        routes.sort_by_key(|route| Reverse(route.path_prefix.len()));
    }
    hosts
}

fn by_name<T>(items: &[Arc<T>], name: fn(&T) -> &String) -> HashMap<String, Arc<T>> {
    items.iter().map(|item| (name(item).clone(), Arc::clone(item))).collect()
}

fn without_query(path: &str) -> &str {
    path.split_once('?').map_or(path, |(path, _)| path)
}
