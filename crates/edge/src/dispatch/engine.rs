//! All services of an edge behind one interface.

use std::collections::{BTreeMap, HashSet};

use ruddervalve_configuration::Configuration;
use ruddervalve_protocol::RunnerList;

use super::pacing::Pacing;
use super::plan::{Plan, Target};
use super::pool::Pool;
use super::roster::Roster;
use super::settings::DispatchSettings;
use super::step::{DispatchOutcome, DispatchStep, RunnerLoad};

/// Chooses runners for the messages of one edge. Knows nothing at its start; without a configuration and a list of
/// runners every job is given back.
#[derive(Debug)]
pub struct Dispatch {
    settings: DispatchSettings,
    plan: Plan,
    roster: Roster,
    pools: BTreeMap<String, Pool>,
    /// Jobs at endpoints that stand in the configuration.
    endpoint_jobs: HashSet<u64>,
    /// The next wake-up that was asked for and has not come.
    asked_ms: Option<u64>,
}

impl Dispatch {
    /// The decisions of an edge that knows nothing yet.
    pub fn new(settings: DispatchSettings) -> Self {
        Self {
            settings,
            plan: Plan::default(),
            roster: Roster::default(),
            pools: BTreeMap::new(),
            endpoint_jobs: HashSet::new(),
            asked_ms: None,
        }
    }

    /// Takes the configuration in force. Jobs that are out stay out; those that wait here for a service that is named no
    /// more, or is a single endpoint now, are given back.
    pub fn set_configuration(&mut self, now: u64, configuration: &Configuration) -> Vec<DispatchStep> {
        let mut out = Vec::new();
        self.plan = Plan::new(configuration, self.settings.edges());
        self.retire_unlisted(now, &mut out);
        self.open_listed(now, &mut out);
        self.conclude(now, out)
    }

    /// How many other edges share the runners' connections; true if that is news. It counts from the next
    /// [`Dispatch::set_configuration`] on: what is open beyond the new share ends as it falls idle.
    pub fn set_other_edges(&mut self, other_edges: u32) -> bool {
        std::mem::replace(&mut self.settings.other_edges, other_edges) != other_edges
    }

    fn retire_unlisted(&mut self, now: u64, out: &mut Vec<DispatchStep>) {
        for (name, pool) in &mut self.pools {
            if !self.plan.listed().any(|(listed, ..)| listed == name) {
                pool.retire(now, out);
            }
        }
    }

    fn open_listed(&mut self, now: u64, out: &mut Vec<DispatchStep>) {
        for (name, plan, pacing) in self.plan.listed() {
            if !self.pools.contains_key(name) {
                match Pool::new(&self.settings, name) {
                    Ok(pool) => drop(self.pools.insert(name.to_owned(), pool)),
                    // Its messages are given back as if it had no runners.
                    Err(error) => tracing::error!("service {name} cannot be served: {error}"),
                }
            }
            let Some(pool) = self.pools.get_mut(name) else { continue };
            pool.configure(pacing, plan);
            pool.list(now, self.roster.runners(name), out);
        }
    }

    /// Takes the list of runners; one that is no newer than the list in hand by term and sequence changes nothing. A
    /// runner that drains, or that the list does not name, gets nothing from now on.
    pub fn set_runners(&mut self, now: u64, list: &RunnerList) -> Vec<DispatchStep> {
        let mut out = Vec::new();
        if self.roster.take(list) {
            for (name, pool) in &mut self.pools {
                pool.list(now, self.roster.runners(name), &mut out);
            }
        }
        self.conclude(now, out)
    }

    /// How many further deliveries of a service could start now, from what this edge knows; 0 for services that it does
    /// not know and for single endpoints, whose deliveries the queue counts.
    pub fn startable(&mut self, now: u64, service: &str) -> u32 {
        self.pools.get_mut(service).map_or(0, |pool| pool.startable(now))
    }

    /// The services that [`Dispatch::startable`] counts for.
    pub fn services(&self) -> impl Iterator<Item = &str> {
        self.plan.listed().map(|(name, ..)| name)
    }

    /// After how many milliseconds a message of the service had better come again that was not run now.
    pub fn retry_after(&self, now: u64, service: &str) -> u64 {
        match self.pools.get(service) {
            Some(pool) => pool.retry_after(now),
            None => Pacing::of(None).longest_trial_ms,
        }
    }

    /// Takes a job, a granted message. Its delivery, or that it is given back, comes as a step, now or later. A number that
    /// is taken already changes nothing. A job is given back at once if the configuration in force has no such route, or
    /// one that leads to another service.
    pub fn start(&mut self, now: u64, job: u64, route: &str, service: &str) -> Vec<DispatchStep> {
        let mut out = Vec::new();
        if self.endpoint_jobs.contains(&job) || self.pools.values().any(|pool| pool.has(job)) {
            return out;
        }
        let Some(plan) = self.plan.find(route, service) else {
            let retry_after_ms = self.retry_after(now, service);
            return vec![DispatchStep::GiveBack { job, retry_after_ms }];
        };
        match (&plan.target, self.pools.get_mut(service)) {
            (Target::Endpoint { address }, _) => {
                let address = address.clone();
                let max_connections = plan.max_connections;
                self.endpoint_jobs.insert(job);
                return vec![DispatchStep::Deliver { job, uid: None, address, max_connections }];
            }
            (Target::Runners { .. }, Some(pool)) => pool.start(now, job, &mut out),
            (Target::Runners { pacing }, None) => {
                let retry_after_ms = pacing.longest_trial_ms;
                out.push(DispatchStep::GiveBack { job, retry_after_ms });
            }
        }
        self.conclude(now, out)
    }

    /// The delivery of a job ended; `load` is the `Instance-Load` of the answer. Jobs that are not out are ignored.
    pub fn finished(
        &mut self,
        now: u64,
        job: u64,
        outcome: DispatchOutcome,
        load: Option<RunnerLoad>,
    ) -> Vec<DispatchStep> {
        let mut out = Vec::new();
        if self.endpoint_jobs.remove(&job) {
            return out;
        }
        let Some((name, pool)) = self.pools.iter_mut().find(|(_, pool)| pool.has(job)) else { return out };
        // Before the end is told, or a job that waits could go there.
        if outcome == DispatchOutcome::WrongInstance
            && let Some(uid) = pool.runner_of(job)
        {
            self.roster.take_out(uid);
            pool.list(now, self.roster.runners(name), &mut out);
        }
        pool.finished(now, job, outcome, load, &mut out);
        self.pools.retain(|_, pool| !pool.is_done());
        self.conclude(now, out)
    }

    /// A probe of a runner ended: whether it answered 200, and its `Instance-Load`.
    pub fn probed(
        &mut self,
        now: u64,
        service: &str,
        uid: &str,
        healthy: bool,
        load: Option<RunnerLoad>,
    ) -> Vec<DispatchStep> {
        let mut out = Vec::new();
        if let Some(pool) = self.pools.get_mut(service) {
            pool.probed(now, uid, healthy, load, &mut out);
        }
        self.conclude(now, out)
    }

    /// Time has passed. Does no harm if it is called more often than asked for.
    pub fn tick(&mut self, now: u64) -> Vec<DispatchStep> {
        let mut out = Vec::new();
        for pool in self.pools.values_mut() {
            pool.tick(now, &mut out);
        }
        self.pools.retain(|_, pool| !pool.is_done());
        self.conclude(now, out)
    }

    /// Adds the next wake-up, if it comes before the one that was asked for.
    fn conclude(&mut self, now: u64, mut out: Vec<DispatchStep>) -> Vec<DispatchStep> {
        let wakes = self.pools.values_mut().filter_map(|pool| pool.next_wake(now));
        let Some(wake) = wakes.min().map(|wake| wake.max(now.saturating_add(1))) else { return out };
        if self.asked_ms.is_none_or(|asked| asked <= now || wake < asked) {
            self.asked_ms = Some(wake);
            out.push(DispatchStep::WakeAt(wake));
        }
        out
    }
}
