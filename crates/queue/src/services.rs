//! The services of a shard's messages: what is ready for each, and how much each may get.

use std::collections::{BTreeSet, HashMap};

use ruddervalve_configuration::Distance;
use ruddervalve_protocol::Incarnation;

use crate::backoff::{Jitter, name_hash};
use crate::breaker::{Admission, Breaker};
use crate::credits::CreditBoard;
use crate::policy::ServicePolicy;
use crate::quota::{OriginWindow, TokenBucket};
use crate::ready::{ReadyKey, ReadyQueue};
use crate::settings::Waits;

/// A service, by the order in which a leader came to know it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct ServiceIndex(u32);

/// What all services go by.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ServiceSettings {
    pub(crate) window: OriginWindow,
    pub(crate) trial_waits: Waits,
    /// When the leader began. Quotas of services that it comes to know later fill from then on.
    pub(crate) started_ms: u64,
}

/// One service.
#[derive(Debug)]
pub(crate) struct Service {
    pub(crate) name: String,
    pub(crate) name_hash: u64,
    pub(crate) ready: ReadyQueue,
    pub(crate) credits: CreditBoard,
    /// Set if it is a single endpoint.
    pub(crate) endpoint: Option<Breaker>,
    quota: Option<TokenBucket>,
    outstanding: u32,
    outstanding_by_edge: HashMap<Incarnation, u32>,
    wake_ms: Option<u64>,
}

impl Service {
    fn new(name: &str) -> Self {
        Self {
            name: name.to_owned(),
            name_hash: name_hash(name),
            ready: ReadyQueue::default(),
            credits: CreditBoard::default(),
            endpoint: None,
            quota: None,
            outstanding: 0,
            outstanding_by_edge: HashMap::new(),
            wake_ms: None,
        }
    }

    /// Leases that an edge holds.
    pub(crate) fn outstanding_at(&self, edge: Incarnation) -> u32 {
        self.outstanding_by_edge.get(&edge).copied().unwrap_or(0)
    }

    /// Counts a lease.
    pub(crate) fn leased(&mut self, edge: Incarnation) {
        self.outstanding = self.outstanding.saturating_add(1);
        let at_edge = self.outstanding_by_edge.entry(edge).or_insert(0);
        *at_edge = at_edge.saturating_add(1);
    }

    /// Counts a lease no more.
    pub(crate) fn released(&mut self, edge: Incarnation) {
        self.outstanding = self.outstanding.saturating_sub(1);
        let Some(at_edge) = self.outstanding_by_edge.get_mut(&edge) else { return };
        *at_edge = at_edge.saturating_sub(1);
        if *at_edge == 0 {
            self.outstanding_by_edge.remove(&edge);
        }
    }

    /// Spends a token of its quota.
    pub(crate) fn spend_token(&mut self) {
        if let Some(quota) = &mut self.quota {
            quota.spend();
        }
    }

    /// Whether its endpoint and its quota allow another delivery.
    fn admission(&mut self, now_ms: u64) -> Admission {
        let endpoint = self.endpoint.as_ref();
        let admission =
            endpoint.map_or(Admission::Open, |breaker| breaker.admission(now_ms, self.outstanding));
        if admission != Admission::Open {
            return admission;
        }
        match self.quota.as_mut().map(|quota| quota.ready_ms(now_ms)) {
            Some(ready_ms) if ready_ms > now_ms => Admission::Until(ready_ms),
            _ => Admission::Open,
        }
    }

    fn change(&mut self, now_ms: u64, policy: Option<ServicePolicy>, settings: &ServiceSettings) {
        let rate_per_s = policy.map_or(0.0, |policy| policy.rate_per_s);
        let fresh = TokenBucket::new(now_ms, rate_per_s, settings.window);
        match (&mut self.quota, &fresh) {
            (Some(quota), Some(_)) => quota.change(now_ms, rate_per_s, settings.window),
            _ => self.quota = fresh,
        }
        let endpoint = policy.filter(|policy| policy.single_endpoint);
        match (endpoint.map(|policy| endpoint_ceiling(policy.max_connections)), &mut self.endpoint) {
            (Some(ceiling), Some(breaker)) => breaker.change_ceiling(ceiling),
            (Some(ceiling), none) => *none = Some(Breaker::new(ceiling, settings.trial_waits)),
            (None, _) => self.endpoint = None,
        }
    }
}

/// Leases outstanding at a single endpoint: three quarters of its connections, as those that close still count there.
fn endpoint_ceiling(max_connections: u32) -> u32 {
    let three_quarters = u64::from(max_connections) * 3 / 4;
    u32::try_from(three_quarters).unwrap_or(u32::MAX).max(1)
}

/// All services, and which of them to look at.
#[derive(Debug)]
pub(crate) struct Services {
    settings: ServiceSettings,
    names: HashMap<String, ServiceIndex>,
    services: Vec<Service>,
    dirty: BTreeSet<ServiceIndex>,
    /// The service that is looked at first.
    first: ServiceIndex,
    wakes: BTreeSet<(u64, ServiceIndex)>,
    credited: HashMap<Incarnation, Vec<ServiceIndex>>,
}

impl Services {
    /// No services.
    pub(crate) fn new(settings: ServiceSettings) -> Self {
        Self {
            settings,
            names: HashMap::new(),
            services: Vec::new(),
            dirty: BTreeSet::new(),
            first: ServiceIndex(0),
            wakes: BTreeSet::new(),
            credited: HashMap::new(),
        }
    }

    /// The service of a name, added if it is new; `policy` is asked for then.
    pub(crate) fn index(
        &mut self,
        name: &str,
        policy: impl FnOnce() -> Option<ServicePolicy>,
    ) -> ServiceIndex {
        if let Some(index) = self.names.get(name) {
            return *index;
        }
        let index = ServiceIndex(u32::try_from(self.services.len()).unwrap_or(u32::MAX));
        let mut service = Service::new(name);
        service.change(self.settings.started_ms, policy(), &self.settings);
        self.services.push(service);
        self.names.insert(name.to_owned(), index);
        index
    }

    /// Takes the policy of every service anew.
    pub(crate) fn change(&mut self, now_ms: u64, policy: impl Fn(&str) -> Option<ServicePolicy>) {
        for service in &mut self.services {
            service.change(now_ms, policy(&service.name), &self.settings);
        }
        self.look_at_all();
    }

    pub(crate) fn get(&self, index: ServiceIndex) -> Option<&Service> {
        self.services.get(index.0 as usize)
    }

    pub(crate) fn get_mut(&mut self, index: ServiceIndex) -> Option<&mut Service> {
        self.services.get_mut(index.0 as usize)
    }

    /// Adds a message that may run.
    pub(crate) fn add_ready(&mut self, index: ServiceIndex, key: ReadyKey) {
        if let Some(service) = self.get_mut(index) {
            service.ready.insert(key);
            self.look_at(index);
        }
    }

    /// Takes a message out.
    pub(crate) fn remove_ready(&mut self, index: ServiceIndex, key: &ReadyKey) {
        if let Some(service) = self.get_mut(index) {
            service.ready.remove(key);
        }
    }

    /// The message that runs next.
    pub(crate) fn first_ready(&mut self, now_ms: u64, index: ServiceIndex) -> Option<ReadyKey> {
        self.get_mut(index)?.ready.first(now_ms)
    }

    /// Whether another delivery may go now; asks to be looked at again when that depends on time.
    pub(crate) fn admits(&mut self, now_ms: u64, index: ServiceIndex) -> bool {
        let Some(service) = self.get_mut(index) else { return false };
        match service.admission(now_ms) {
            Admission::Open => true,
            Admission::Full => false,
            Admission::Until(at_ms) => {
                self.wake_at(at_ms, index);
                false
            }
        }
    }

    /// A lease of the service is not outstanding any more.
    pub(crate) fn released(&mut self, index: ServiceIndex, edge: Incarnation) {
        if let Some(service) = self.get_mut(index) {
            service.released(edge);
            self.look_at(index);
        }
    }

    /// Tells a single endpoint's breaker whether it answered.
    pub(crate) fn answered(&mut self, now_ms: u64, index: ServiceIndex, answered: bool, jitter: &mut Jitter) {
        let breaker = self.get_mut(index).and_then(|service| service.endpoint.as_mut());
        match breaker {
            Some(breaker) if answered => breaker.succeeded(),
            Some(breaker) => breaker.failed(now_ms, jitter),
            None => return,
        }
        self.look_at(index);
    }

    /// Replaces all credits of an edge.
    pub(crate) fn set_credits(
        &mut self,
        edge: Incarnation,
        distance: Distance,
        credits: &[(ServiceIndex, u32)],
    ) {
        self.withdraw(edge);
        for (index, count) in credits {
            let Some(service) = self.get_mut(*index) else { continue };
            service.credits.set(edge, distance, *count);
            self.look_at(*index);
        }
        self.credited.insert(edge, credits.iter().map(|(index, _)| *index).collect());
    }

    /// Takes all credits of an edge away.
    pub(crate) fn withdraw(&mut self, edge: Incarnation) {
        for index in self.credited.remove(&edge).unwrap_or_default() {
            if let Some(service) = self.get_mut(index) {
                service.credits.withdraw(edge);
            }
        }
    }

    /// Asks for a look at a service.
    pub(crate) fn look_at(&mut self, index: ServiceIndex) {
        let waits = self.get(index).is_some_and(|service| !service.ready.is_empty());
        if waits {
            self.dirty.insert(index);
        }
    }

    /// Asks for a look at all services.
    pub(crate) fn look_at_all(&mut self) {
        let waiting = self.names.values().filter(|index| {
            self.services.get(index.0 as usize).is_some_and(|service| !service.ready.is_empty())
        });
        self.dirty.extend(waiting);
    }

    /// Takes out the next service to look at.
    pub(crate) fn pop_dirty(&mut self, now_ms: u64) -> Option<ServiceIndex> {
        while let Some((at_ms, index)) = self.wakes.first().copied() {
            if at_ms > now_ms {
                break;
            }
            self.wakes.pop_first();
            if let Some(service) = self.get_mut(index) {
                service.wake_ms = None;
            }
            self.look_at(index);
        }
        let next = self.dirty.range(self.first..).next().or_else(|| self.dirty.first()).copied()?;
        self.dirty.remove(&next);
        Some(next)
    }

    /// From now on the service after this one is looked at first.
    pub(crate) fn begin_after(&mut self, index: ServiceIndex) {
        self.first = ServiceIndex(index.0.saturating_add(1));
    }

    /// Whether there is one to look at now.
    pub(crate) fn any_dirty(&self) -> bool {
        !self.dirty.is_empty()
    }

    /// When to look next.
    pub(crate) fn next_wake_ms(&self) -> Option<u64> {
        self.wakes.first().map(|(at_ms, _)| *at_ms)
    }

    fn wake_at(&mut self, at_ms: u64, index: ServiceIndex) {
        let Some(service) = self.get_mut(index) else { return };
        if let Some(earlier) = service.wake_ms.replace(at_ms) {
            self.wakes.remove(&(earlier, index));
        }
        self.wakes.insert((at_ms, index));
    }
}
