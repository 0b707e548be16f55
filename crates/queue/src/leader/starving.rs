//! Watches for services whose messages may run and are granted to nobody.

use super::ShardLeader;
use crate::observation::Observation;
use crate::services::ServiceIndex;

impl ShardLeader {
    /// No edge can be given a message of a service that has one ready.
    pub(super) fn no_edge(&mut self, now_ms: u64, service: ServiceIndex) {
        self.starving.entry(service).or_insert(now_ms);
    }

    /// Observes the services that have been without credits for `LivenessMs`, and again each time that it passes.
    pub(super) fn observe_starving(&mut self, now_ms: u64) {
        let services = &self.services;
        let ready = |index: ServiceIndex| services.get(index).map_or(0, |service| service.ready.len());
        self.starving.retain(|index, _| ready(*index) > 0);
        let liveness_ms = self.settings.liveness_ms;
        for (index, since_ms) in &mut self.starving {
            let for_ms = now_ms.saturating_sub(*since_ms);
            if for_ms < liveness_ms {
                continue;
            }
            *since_ms = now_ms;
            let Some(service) = services.get(*index) else { continue };
            let (service, messages) = (service.name.clone(), service.ready.len());
            self.observations.push(Observation::NoCredits { service, messages, for_ms });
        }
    }
}
