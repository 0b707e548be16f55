//! What coordinators say.

use std::sync::Arc;

use ruddervalve_configuration::{Configuration, RouteTable};
use ruddervalve_consensus::Membership;
use ruddervalve_protocol::{ConfigurationUpdate, CoordinatorReply};
use ruddervalve_queue::SharedPolicy;

use super::{StoreCore, StoreOutput};

impl StoreCore {
    /// A coordinator says something.
    pub fn coordinator_says(&mut self, now: u64, reply: CoordinatorReply) {
        match reply {
            CoordinatorReply::Configuration(update) => self.configure(now, &update),
            CoordinatorReply::Directory(directory) if directory.version > self.directory.version => {
                self.directory = directory;
                self.found(now);
                self.care_soon();
                self.outputs.push(StoreOutput::Connect);
            }
            CoordinatorReply::Alive { term, configuration, .. } => {
                self.coordinator_leads(now, term, configuration);
            }
            _ => {}
        }
    }

    /// A coordinator says that it leads, and which configuration is in force. One of an earlier term than another has told
    /// may have been frozen or cut off since, and what it takes for the newest may have been replaced.
    fn coordinator_leads(&mut self, now: u64, term: u64, configuration: u64) {
        if term < self.coordinator_term {
            return;
        }
        self.coordinator_term = term;
        if configuration == self.policy_version {
            self.confirm_policy(now);
        }
    }

    fn configure(&mut self, now: u64, update: &ConfigurationUpdate) {
        // The same one again confirms nothing: it names no term, and the leader's next sign of life does.
        if update.version <= self.policy_version {
            return;
        }
        match Configuration::parse(update.body.as_slice()) {
            Ok(configuration) => {
                let policy: SharedPolicy = Arc::new(RouteTable::new(&configuration));
                self.policy_version = update.version;
                self.policy = Some(Arc::clone(&policy));
                let shards = self.shards.values_mut();
                shards.for_each(|shard| shard.set_policy(now, Some(Arc::clone(&policy))));
                tracing::info!(version = update.version, "configuration in force");
            }
            Err(error) => {
                tracing::error!(version = update.version, %error, "the configuration cannot be read")
            }
        }
    }

    fn confirm_policy(&mut self, now: u64) {
        self.shards.values_mut().for_each(|shard| shard.set_policy(now, None));
    }

    /// Begins the shards that are founded on this disk, but none that it has left.
    fn found(&mut self, now: u64) {
        let identity = self.replicas.identity();
        for placement in &self.directory.shards {
            let known = self.replicas.host.replica(placement.group).is_some();
            if !known && placement.founders.contains(&identity) {
                let founders = Membership { voters: placement.founders.clone(), learners: Vec::new() };
                self.replicas.host.found(now, placement.group, founders);
            }
        }
    }
}
