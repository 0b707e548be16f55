//! The operator's configuration, checked as a whole.

use std::fmt;
use std::sync::Arc;

use sonic_rs::Value;

use crate::checks::{Item, check_backends, check_hosts_and_prefixes, check_names};
use crate::convert;
use crate::fault::{Fault, FaultKind, FaultList, write_faults};
use crate::json::Document;
use crate::place::Place;
use crate::route::Route;
use crate::section::Section;
use crate::service::Service;

/// How many faults of a configuration are told; a large broken one must not cost a large answer.
const MAX_FAULTS_TOLD: usize = 32;

/// Bytes of the head of a request, if the configuration does not say: what HTTP servers commonly take.
const DEFAULT_MAX_HEADER_BYTES: u64 = 16 * 1024;
/// Bytes of a body, if the configuration does not say: what HTTP servers commonly take.
const DEFAULT_MAX_BODY_BYTES: u64 = 1024 * 1024;
/// Milliseconds for the head of a request, if the configuration does not say.
const DEFAULT_HEADER_TIMEOUT_MS: u64 = 5_000;
/// Milliseconds that a connection may idle, if the configuration does not say.
const DEFAULT_IDLE_TIMEOUT_MS: u64 = 15_000;

/// A configuration that has passed all checks that need nothing but itself. Whether its version is higher than the
/// current one is decided where the current one is known.
#[derive(Debug, Clone, PartialEq)]
pub struct Configuration {
    version: u64,
    routes: Vec<Arc<Route>>,
    services: Vec<Arc<Service>>,
    limits: Limits,
}

/// What is taken from clients.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Bytes of the head of a request; 16 KiB if it is not given.
    pub max_header_bytes: u64,
    /// Bytes of its body; 1 MiB if it is not given.
    pub max_body_bytes: u64,
    /// How long the head may take, in milliseconds; 5 s if it is not given.
    pub header_timeout_ms: u64,
    /// How long a connection may idle, in milliseconds; 15 s if it is not given.
    pub idle_timeout_ms: u64,
}

/// All that is wrong with a configuration, one fault a line when displayed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ConfigurationFaults {
    /// The first faults, at least one, in the order of the document.
    pub faults: Vec<Fault>,
    /// How many there are beyond them.
    pub omitted: usize,
}

impl Configuration {
    /// Reads a configuration and checks it.
    ///
    /// # Errors
    /// All faults: not readable in full, fields missing or of the wrong type or range, a `TimeoutMs` of 0, names given
    /// twice, routes that name an unknown service, two routes with the same host and prefix. Never panics.
    pub fn parse(body: &[u8]) -> Result<Self, ConfigurationFaults> {
        let mut faults = FaultList::new(MAX_FAULTS_TOLD);
        match Document::read(body) {
            Ok(document) => {
                let configuration = read_configuration(document.value(), &mut faults);
                match configuration {
                    Some(configuration) if faults.is_empty() => Ok(configuration),
                    _ => Err(ConfigurationFaults::from(faults)),
                }
            }
            Err(reason) => {
                faults.add(Place::ROOT, FaultKind::Unreadable(reason));
                Err(ConfigurationFaults::from(faults))
            }
        }
    }

    /// Its `ResourceVersion`.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Its routes, also those whose `Type` is not served, in the order given.
    pub fn routes(&self) -> &[Arc<Route>] {
        &self.routes
    }

    /// Its services, in the order given.
    pub fn services(&self) -> &[Arc<Service>] {
        &self.services
    }

    /// What is taken from clients.
    pub fn limits(&self) -> Limits {
        self.limits
    }
}

impl fmt::Display for ConfigurationFaults {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write_faults(formatter, &self.faults, self.omitted)
    }
}

impl std::error::Error for ConfigurationFaults {}

impl From<FaultList> for ConfigurationFaults {
    fn from(faults: FaultList) -> Self {
        let parts = faults.into_parts();
        Self { faults: parts.faults, omitted: parts.omitted }
    }
}

fn read_configuration(value: &Value, faults: &mut FaultList) -> Option<Configuration> {
    let root = Section::new(value, Place::ROOT, faults)?;
    let version = root.required("ResourceVersion", convert::whole, faults);
    let services = read_items(root, "Services", Service::parse, faults);
    let routes = read_items(root, "Routes", Route::parse, faults);
    let limits = read_limits(root, faults);
    check_names("Services", &services, faults);
    check_names("Routes", &routes, faults);
    check_backends(&routes, &services, faults);
    check_hosts_and_prefixes(&routes, faults);
    Some(Configuration { version: version?, routes: parsed(routes), services: parsed(services), limits })
}

/// The items of an array; faults are noted for those that cannot be read.
fn read_items<'a, T>(
    root: Section<'a>,
    key: &'static str,
    parse: fn(Section<'_>, &mut FaultList) -> Option<T>,
    faults: &mut FaultList,
) -> Vec<Item<'a, T>> {
    let Some(array) = root.array(true, key, faults) else { return Vec::new() };
    let root_place = root.place();
    let array_place = root_place.key(key);
    let mut items = Vec::with_capacity(array.len());
    for (index, source) in array.iter().enumerate() {
        let section = Section::new(source, array_place.index(index), faults);
        let parsed = section.and_then(|section| parse(section, faults));
        items.push(Item { source, parsed });
    }
    items
}

/// Those items that could be read, to be shared.
fn parsed<T>(items: Vec<Item<'_, T>>) -> Vec<Arc<T>> {
    items.into_iter().filter_map(|item| item.parsed).map(Arc::new).collect()
}

fn read_limits(root: Section<'_>, faults: &mut FaultList) -> Limits {
    let root_place = root.place();
    let section = root.find("Limits").and_then(|value| Section::new(value, root_place.key("Limits"), faults));
    let mut read = |key, convert, default| {
        section.and_then(|section| section.optional(key, convert, faults)).unwrap_or(default)
    };
    Limits {
        max_header_bytes: read("MaxHeaderBytes", convert::whole, DEFAULT_MAX_HEADER_BYTES),
        max_body_bytes: read("MaxBodyBytes", convert::whole, DEFAULT_MAX_BODY_BYTES),
        header_timeout_ms: read("HeaderTimeoutMs", convert::milliseconds, DEFAULT_HEADER_TIMEOUT_MS),
        idle_timeout_ms: read("IdleTimeoutMs", convert::milliseconds, DEFAULT_IDLE_TIMEOUT_MS),
    }
}
