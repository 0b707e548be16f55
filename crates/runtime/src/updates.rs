//! What a process has received of what coordinators tell. Pure: no I/O, no clock.

use ruddervalve_configuration::digest;
use ruddervalve_protocol::{
    Blob, ConfigurationChange, ConfigurationUpdate, CoordinatorReply, ReceivedUpdates,
};

use crate::difference::restored;

/// The updates that a process has received.
#[derive(Debug, Default)]
pub struct Updates {
    received: ReceivedUpdates,
    /// The newest configuration: the next may come as a change of it.
    configuration: Option<ConfigurationUpdate>,
}

/// What a reply means to the process.
#[derive(Debug, PartialEq)]
pub struct TakenReply {
    /// What the process is to take; none if the reply is of no use.
    pub reply: Option<CoordinatorReply>,
    /// Whether it is an update: then all coordinators are to be told what was received, also if it was not newer, as its
    /// sender waits for that.
    pub is_update: bool,
}

impl Updates {
    /// The newest version of each update.
    pub fn received(&self) -> ReceivedUpdates {
        self.received
    }

    /// Takes note of what a coordinator says. A change of a configuration becomes the whole configuration.
    pub fn take(&mut self, reply: CoordinatorReply) -> TakenReply {
        let reply = match reply {
            CoordinatorReply::ConfigurationChange(change) => {
                let whole = self.whole(&change);
                return TakenReply { reply: whole.map(CoordinatorReply::Configuration), is_update: true };
            }
            other => other,
        };
        let received = &mut self.received;
        let is_update = match &reply {
            CoordinatorReply::Configuration(update) => {
                if update.version > received.configuration {
                    received.configuration = update.version;
                    self.configuration = Some(update.clone());
                }
                true
            }
            CoordinatorReply::Directory(directory) => {
                received.directory = received.directory.max(directory.version);
                true
            }
            CoordinatorReply::Runners(list) => {
                received.runners = received.runners.max((list.term, list.sequence));
                true
            }
            _ => false,
        };
        TakenReply { reply: Some(reply), is_update }
    }

    /// The configuration that a change leads to, if that is newer and the change can be applied.
    fn whole(&mut self, change: &ConfigurationChange) -> Option<ConfigurationUpdate> {
        let base = self.configuration.as_ref().filter(|base| base.version == change.base)?;
        let body = restored(base.body.as_slice(), &change.parts).filter(|body| digest(body) == change.digest);
        let Some(body) = body else {
            tracing::error!(
                base = change.base,
                version = change.version,
                "a change does not fit: asking anew"
            );
            self.received.configuration = 0;
            self.configuration = None;
            return None;
        };
        let update = ConfigurationUpdate { version: change.version, body: Blob::from(body) };
        self.received.configuration = change.version;
        self.configuration = Some(update.clone());
        Some(update)
    }
}
