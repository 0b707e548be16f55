//! What has to hold between the routes and services of a configuration. Checked on the document, so that an item that is
//! faulty in another way is checked as well.

use std::collections::hash_map::Entry;
use std::collections::{HashMap, HashSet};

use sonic_rs::{JsonValueTrait, Value, pointer};

use crate::FaultKind;
use crate::fault::FaultList;
use crate::place::Place;
use crate::route::{Route, normal_host};
use crate::service::Service;

/// An item of an array.
pub(crate) struct Item<'a, T> {
    /// The item in the document.
    pub(crate) source: &'a Value,
    /// The same, read; none if it is faulty.
    pub(crate) parsed: Option<T>,
}

impl<'a, T> Item<'a, T> {
    fn text(&self, key: &'static str) -> Option<&'a str> {
        self.source.pointer(pointer![key]).and_then(|value| value.as_str())
    }
}

/// No two items of the array may have the same name.
pub(crate) fn check_names<T>(array: &'static str, items: &[Item<'_, T>], faults: &mut FaultList) {
    let array_place = Place::ROOT.key(array);
    let names = items.iter().map(|item| item.text("Name").filter(|name| !name.is_empty()));
    for repeat in repeats(names) {
        let other = array_place.index(repeat.first).to_string();
        faults.add(array_place.index(repeat.index).key("Name"), FaultKind::NameTaken { other });
    }
}

/// Each route has to name a service that there is.
pub(crate) fn check_backends(
    routes: &[Item<'_, Route>],
    services: &[Item<'_, Service>],
    faults: &mut FaultList,
) {
    let array_place = Place::ROOT.key("Routes");
    let known: HashSet<&str> = services.iter().filter_map(|service| service.text("Name")).collect();
    for (index, route) in routes.iter().enumerate() {
        let unknown = route.text("Backend").filter(|backend| !known.contains(backend));
        if let Some(backend) = unknown {
            let service = backend.to_owned();
            faults.add(array_place.index(index).key("Backend"), FaultKind::UnknownService { service });
        }
    }
}

/// No two routes may have the same host and prefix.
pub(crate) fn check_hosts_and_prefixes(routes: &[Item<'_, Route>], faults: &mut FaultList) {
    let array_place = Place::ROOT.key("Routes");
    let hosts_and_prefixes =
        routes.iter().map(|route| Some((normal_host(route.text("Hostname")?), route.text("PathPrefix")?)));
    for repeat in repeats(hosts_and_prefixes) {
        let other = array_place.index(repeat.first).to_string();
        faults.add(array_place.index(repeat.index), FaultKind::SameHostAndPrefix { other });
    }
}

/// A key that stands twice.
struct Repeat {
    index: usize,
    first: usize,
}

/// The keys that stood before, each with where it stood first.
fn repeats<K: std::hash::Hash + Eq>(keys: impl Iterator<Item = Option<K>>) -> Vec<Repeat> {
    let mut seen = HashMap::new();
    let mut repeats = Vec::new();
    for (index, key) in keys.enumerate() {
        let Some(key) = key else { continue };
        match seen.entry(key) {
            Entry::Vacant(vacant) => {
                vacant.insert(index);
            }
            Entry::Occupied(first) => repeats.push(Repeat { index, first: *first.get() }),
        }
    }
    repeats
}
