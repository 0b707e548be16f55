//! One connected process: what it has received, and what it is to be sent next.

use ruddervalve_mutation::{Mutation, is_active};
use ruddervalve_protocol::{
    ConfigurationUpdate, ControlMembers, CoordinatorReply, Directory, ReceivedUpdates, Registration,
    RunnerList,
};

use crate::changes::{ConfigurationChanges, change_bytes};

/// An entry of a directory or of a list of runners in bytes, roughly.
const ENTRY_BYTES: usize = 128;

/// What is in force: sessions are sent what they have not received of it.
#[derive(Debug)]
pub struct InForce<'a> {
    /// The leader's term.
    pub term: u64,
    /// The configuration; none before the first.
    pub configuration: Option<&'a ConfigurationUpdate>,
    /// How it follows from earlier ones.
    pub changes: &'a mut ConfigurationChanges,
    /// Stores, coordinators and shards.
    pub directory: &'a Directory,
    /// The runners; none before the first list.
    pub runners: Option<&'a RunnerList>,
    /// The members of the control group; of version 0 while none of them is known by address.
    pub members: &'a ControlMembers,
}

/// Which version of what.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum UpdateVersion {
    Configuration(u64),
    Directory(u64),
    Runners((u64, u64)),
}

/// An update that the process has not confirmed yet.
#[derive(Debug, Clone, Copy)]
pub struct SentUpdate {
    version: UpdateVersion,
    /// The configuration that the process has to have, if it is a change of that.
    base: Option<u64>,
    /// Its size.
    pub bytes: u64,
    /// When it was sent.
    pub at: u64,
}

/// A session.
#[derive(Debug)]
pub struct Session {
    /// Who it is, once that was said.
    pub registration: Option<Registration>,
    /// When the process was last heard of.
    pub heard_at: u64,
    received: ReceivedUpdates,
    /// At most one update is on its way: what comes up meanwhile is sent in its newest version after it.
    sent: Option<SentUpdate>,
    /// The members that were told last, by term and version.
    members_told: (u64, u64),
}

impl Session {
    /// A connection that has just come up.
    pub fn new(now: u64) -> Self {
        Self {
            registration: None,
            heard_at: now,
            received: ReceivedUpdates::default(),
            sent: None,
            members_told: (0, 0),
        }
    }

    /// The process says who it is and what it has.
    pub fn register(&mut self, registration: Registration, received: ReceivedUpdates) {
        self.registration = Some(registration);
        self.received = received;
        self.sent = None;
        self.members_told = (0, 0);
    }

    /// The process says what it has received.
    pub fn confirm(&mut self, received: ReceivedUpdates) {
        self.received = received;
        let is_useless = |sent: &SentUpdate| sent.base.is_some_and(|base| base != received.configuration);
        self.sent = self.sent.filter(|sent| !self.has(sent.version) && !is_useless(sent));
    }

    /// The update that is on its way.
    pub fn sent(&self) -> Option<SentUpdate> {
        self.sent
    }

    /// The members of the control group, if they were not told yet.
    pub fn tell_members(&mut self, now: &InForce<'_>) -> Option<CoordinatorReply> {
        let version = (now.term, now.members.version);
        if now.members.version == 0 || self.members_told == version {
            return None;
        }
        self.members_told = version;
        Some(CoordinatorReply::Members(now.members.clone()))
    }

    /// The next update for this process, unless one is on its way.
    pub fn next_update(&mut self, in_force: &mut InForce<'_>, now: u64) -> Option<CoordinatorReply> {
        if self.sent.is_some() {
            return None;
        }
        let version = self.missing_version(in_force)?;
        let update = self.update(version, in_force)?;
        let base = match &update {
            CoordinatorReply::ConfigurationChange(change) => Some(change.base),
            _ => None,
        };
        self.sent = Some(SentUpdate { version, base, bytes: update_bytes(&update), at: now });
        Some(update)
    }

    /// Whether something is to be sent now that [`Session::next_update`] would tell.
    pub fn is_behind(&self, in_force: &InForce<'_>) -> bool {
        self.sent.is_none() && self.missing_version(in_force).is_some()
    }

    fn update(&self, version: UpdateVersion, in_force: &mut InForce<'_>) -> Option<CoordinatorReply> {
        Some(match version {
            UpdateVersion::Configuration(_) => {
                match in_force.changes.change_from(self.received.configuration) {
                    Some(change) => CoordinatorReply::ConfigurationChange(change),
                    None => CoordinatorReply::Configuration(in_force.configuration?.clone()),
                }
            }
            UpdateVersion::Directory(_) => CoordinatorReply::Directory(in_force.directory.clone()),
            UpdateVersion::Runners(_) => CoordinatorReply::Runners(in_force.runners?.clone()),
        })
    }

    /// The first of all that this kind of process needs and has not received.
    fn missing_version(&self, in_force: &InForce<'_>) -> Option<UpdateVersion> {
        let configuration =
            in_force.configuration.map(|configuration| UpdateVersion::Configuration(configuration.version));
        let directory = Some(UpdateVersion::Directory(in_force.directory.version));
        let runners = in_force.runners.map(|list| UpdateVersion::Runners((list.term, list.sequence)));
        let needed = match self.registration.as_ref()? {
            Registration::Edge { .. } => [configuration, directory, runners],
            Registration::Store(_) => [configuration, directory, None],
            Registration::Coordinator(_) => [None, directory, None],
        };
        needed.into_iter().flatten().find(|version| !self.has(*version))
    }

    /// Whether the process has this version or a newer one.
    fn has(&self, version: UpdateVersion) -> bool {
        match version {
            UpdateVersion::Configuration(version) if is_active(Mutation::LowerVersionTaken) => {
                version == self.received.configuration
            }
            UpdateVersion::Configuration(version) => version <= self.received.configuration,
            UpdateVersion::Directory(version) => version <= self.received.directory,
            UpdateVersion::Runners(version) => version <= self.received.runners,
        }
    }
}

/// What an update takes on its way, roughly.
fn update_bytes(update: &CoordinatorReply) -> u64 {
    let bytes = match update {
        CoordinatorReply::Configuration(update) => update.body.len(),
        CoordinatorReply::ConfigurationChange(change) => change_bytes(change),
        CoordinatorReply::Directory(directory) => {
            (directory.stores.len() + directory.coordinators.len() + directory.shards.len()) * ENTRY_BYTES
        }
        CoordinatorReply::Runners(list) => list.runners.len() * ENTRY_BYTES,
        _ => 0,
    };
    u64::try_from(bytes).unwrap_or(u64::MAX)
}
