//! The processes that are connected to this coordinator, and what each was told.

use std::collections::{BTreeMap, BTreeSet};

use ruddervalve_protocol::{
    ConfigurationUpdate, ControlMembers, CoordinatorReply, Directory, Registration, RunnerList,
};

/// What is in force: sessions are told what they do not know of it.
#[derive(Debug)]
pub struct InForce<'a> {
    /// The leader's term.
    pub term: u64,
    /// The configuration; none before the first.
    pub configuration: Option<&'a ConfigurationUpdate>,
    /// Stores, coordinators and shards.
    pub directory: &'a Directory,
    /// The runners; none before the first list.
    pub runners: Option<&'a RunnerList>,
    /// The members of the control group; of version 0 while none of them is known by address.
    pub members: &'a ControlMembers,
}

/// What a session was told, by version.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
struct Told {
    term: u64,
    configuration: u64,
    directory: u64,
    runners: u64,
    members: u64,
}

#[derive(Debug)]
struct Session {
    registration: Option<Registration>,
    told: Told,
    heard_at: u64,
}

/// All sessions, by a number of their connection.
#[derive(Debug, Default)]
pub struct Sessions {
    sessions: BTreeMap<u64, Session>,
    opened: u64,
    outputs: Vec<(u64, CoordinatorReply)>,
}

impl Sessions {
    /// A connection came up; the number names it from now on.
    pub fn open(&mut self, now: u64) -> u64 {
        self.opened += 1;
        let session = Session { registration: None, told: Told::default(), heard_at: now };
        self.sessions.insert(self.opened, session);
        self.opened
    }

    /// A connection ended.
    pub fn close(&mut self, number: u64) -> Option<Registration> {
        self.sessions.remove(&number)?.registration
    }

    /// Something came on a connection.
    pub fn heard(&mut self, number: u64, now: u64) {
        if let Some(session) = self.sessions.get_mut(&number) {
            session.heard_at = now;
        }
    }

    /// A process says who it is: it is told all anew.
    pub fn register(&mut self, number: u64, registration: Registration) {
        if let Some(session) = self.sessions.get_mut(&number) {
            session.registration = Some(registration);
            session.told = Told::default();
        }
    }

    /// Sends a reply on one connection.
    pub fn send(&mut self, number: u64, reply: CoordinatorReply) {
        self.outputs.push((number, reply));
    }

    /// What is to be sent since the last call, by connection and in order.
    pub fn outputs(&mut self) -> Vec<(u64, CoordinatorReply)> {
        std::mem::take(&mut self.outputs)
    }

    /// All that are registered, with when they were last heard of.
    pub fn registered(&self) -> impl Iterator<Item = (&Registration, u64)> {
        self.sessions.values().filter_map(|session| Some((session.registration.as_ref()?, session.heard_at)))
    }

    /// How many edges are registered; an edge with an old connection beside its newest counts once.
    pub fn edges(&self) -> u32 {
        let edges: BTreeSet<u64> = self
            .registered()
            .filter_map(|(registration, _)| match registration {
                Registration::Edge { incarnation } => Some(incarnation.0),
                _ => None,
            })
            .collect();
        u32::try_from(edges.len()).unwrap_or(u32::MAX)
    }

    /// Tells each session what it does not know yet.
    pub fn tell(&mut self, now: &InForce<'_>) {
        let registered = self.sessions.iter_mut().filter(|(_, session)| session.registration.is_some());
        for (number, session) in registered {
            session.tell(now, |reply| self.outputs.push((*number, reply)));
        }
    }
}

impl Session {
    fn tell(&mut self, now: &InForce<'_>, mut send: impl FnMut(CoordinatorReply)) {
        if self.told.term != now.term {
            self.told = Told { term: now.term, ..Told::default() };
        }
        if let Some(configuration) = now.configuration
            && configuration.version > self.told.configuration
        {
            send(CoordinatorReply::Configuration(configuration.clone()));
            self.told.configuration = configuration.version;
        }
        if now.directory.version > self.told.directory {
            send(CoordinatorReply::Directory(now.directory.clone()));
            self.told.directory = now.directory.version;
        }
        if let Some(runners) = now.runners
            && runners.sequence > self.told.runners
        {
            send(CoordinatorReply::Runners(runners.clone()));
            self.told.runners = runners.sequence;
        }
        if now.members.version > self.told.members {
            send(CoordinatorReply::Members(now.members.clone()));
            self.told.members = now.members.version;
        }
    }
}
